package controlplane

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"

	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/tcp"
)

// errRefusedSince is returned for an attempt at a call that was refused to a later attempt.
var errRefusedSince = errors.New("the same call was refused since this attempt arrived: send it again if it is still wanted")

// refusedSinceReply is the table's reply to an attempt that fails with errRefusedSince.
var refusedSinceReply = []byte("refused since")

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// isAbandoned reports whether the client of a request has closed its connection.
func isAbandoned(r *http.Request) bool {
	conn, ok := r.Context().Value(connectionKey{}).(syscall.Conn)
	return ok && tcp.HungUp(conn)
}

// operatorCall is one attempt at an operator's call. It is immutable. The zero value stands for an
// order that no operator has asked for.
type operatorCall struct {
	body     []byte
	identity []byte // equal for all attempts, which clients send unchanged
	since    uint64 // index of the latest order that this node had applied when the attempt arrived
}

// operatorCallKey is the context key of a request's operatorCall.
type operatorCallKey struct{}

func callOf(r *http.Request) operatorCall {
	call, _ := r.Context().Value(operatorCallKey{}).(operatorCall)
	return call
}

// callIdentity returns the digest of all that makes a request the same call as another one.
func callIdentity(r *http.Request, body []byte) []byte {
	const size = 16
	digest := sha256.New()
	io.WriteString(digest, r.Method+" "+r.URL.Path+"\n")
	digest.Write(body)
	return digest.Sum(nil)[:size]
}

// acceptCall reads a request with a body of up to maxBytes and serves it as an operatorCall, if its
// client is still connected.
//
// While this process is paused, its kernel still accepts requests, and their clients move on to
// other control-plane nodes. What such a client was told there must not be undone by the request
// that has waited here: an evacuation could evacuate a zone again that was returned since, and a
// change could come into force that was refused.
//
// The index at arrival is taken before the client is found to be connected, so that a pause between
// the two, or later, makes the attempt an earlier one.
func (c *Core) acceptCall(maxBytes int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since := c.table.applied.Load()
		body, ok := readBody(w, r, maxBytes)
		if !ok {
			return
		}
		if isAbandoned(r) {
			c.counters.abandoned.Add(1)
			panic(http.ErrAbortHandler)
		}
		call := operatorCall{body: body, identity: callIdentity(r, body), since: since}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorCallKey{}, call)))
	})
}

// proposeCall proposes the order of a call and returns the table's reply. The error is
// errRefusedSince or one of package consensus.
func (c *Core) proposeCall(ctx context.Context, call operatorCall, order meshconfig.Order) (consensus.Result, error) {
	order.Call, order.Since = call.identity, call.since
	result, err := c.node.Propose(ctx, encodeOrder(&order))
	if err == nil && bytes.Equal(result.Reply, refusedSinceReply) {
		c.counters.refusedSince.Add(1)
		err = errRefusedSince
	}
	return result, err
}

// refuseCall refuses a call for a reason that only this node knows. It writes the response once the
// refusal is in the log, where earlier attempts at the call find it.
func (c *Core) refuseCall(w http.ResponseWriter, r *http.Request, status int, reason string) {
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	if _, err := c.proposeCall(ctx, callOf(r), meshconfig.Order{Op: opRefusal}); err != nil {
		writeProblem(w, statusFor(err), err.Error())
		return
	}
	writeProblem(w, status, reason)
}
