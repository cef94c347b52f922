package control

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/document"
)

// Client is a client of the control interface of one instance.
type Client struct{ caller *api.Caller }

// NewClient returns a client that sends its requests through the given caller.
func NewClient(caller *api.Caller) *Client { return &Client{caller} }

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	return c.caller.Call(ctx, method, path, nil, in, out)
}

// callIdempotent sends a change under an idempotency key, so that a retry with the same id is not
// applied twice. If id is empty, it generates one.
func (c *Client) callIdempotent(ctx context.Context, id, method, path string, in, out any) error {
	if id == "" {
		id = rand.Text()
	}
	return c.caller.Call(ctx, method, path, http.Header{api.IdempotencyKey: {id}}, in, out)
}

// Identity returns the identity of the process that serves the control interface.
func (c *Client) Identity(ctx context.Context) (*Identity, error) {
	var v Identity
	return &v, c.call(ctx, http.MethodGet, "instance", nil, &v)
}

// Summary returns the identity of the process and its request counts. A fencing token above 0 is the
// one of the calling manager: the instance records it and refuses lower ones from then on. If the
// instance is of an older version that cannot record tokens (404), or has recorded a higher token (412),
// the summary is requested without the token.
func (c *Client) Summary(ctx context.Context, fencingToken uint64) (*Summary, error) {
	var v Summary
	if fencingToken > 0 {
		err := c.call(ctx, http.MethodPost, "fence", fenceBody{fencingToken}, &v)
		var p *api.Problem
		if !errors.As(err, &p) || p.Status != http.StatusNotFound && p.Status != http.StatusPreconditionFailed {
			return &v, err
		}
	}
	return &v, c.call(ctx, http.MethodGet, "summary", nil, &v)
}

// State returns the full state of the instance.
func (c *Client) State(ctx context.Context) (*State, error) {
	var v State
	return &v, c.call(ctx, http.MethodGet, "state", nil, &v)
}

// Document returns the settings document in force, with its revision and hash.
func (c *Client) Document(ctx context.Context) (*VersionedDocument, error) {
	v := VersionedDocument{Document: &document.Document{}}
	return &v, c.call(ctx, http.MethodGet, "document", nil, &v)
}

// Change returns the status of a change.
func (c *Client) Change(ctx context.Context, id string) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodGet, "changes/"+url.PathEscape(id), nil, &v)
}

// Prepare has the instance validate a change and store it until it is committed. It applies nothing.
func (c *Client) Prepare(ctx context.Context, id string, p *Proposal) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodPut, "changes/"+url.PathEscape(id), p, &v)
}

type fenceBody struct {
	Fence uint64 `json:"fence"`
}

// Commit applies a prepared change.
func (c *Client) Commit(ctx context.Context, id string, fencingToken uint64) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodPost, "changes/"+url.PathEscape(id)+"/commit", fenceBody{fencingToken}, &v)
}

// Abort discards a change that is not committed.
func (c *Client) Abort(ctx context.Context, id string, fencingToken uint64) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodPost, "changes/"+url.PathEscape(id)+"/abort", fenceBody{fencingToken}, &v)
}

// Confirm makes an applied change permanent that would otherwise be reverted at its confirmation
// deadline.
func (c *Client) Confirm(ctx context.Context, id string, fencingToken uint64) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodPost, "changes/"+url.PathEscape(id)+"/confirm", fenceBody{fencingToken}, &v)
}

// Hold excludes a backend from traffic for the given number of seconds; 0 ends the hold. A retry with
// the same id is not applied again; an empty id stands for a new one.
func (c *Client) Hold(ctx context.Context, id, backend string, seconds float64) (*BackendHold, error) {
	var v BackendHold
	path := "holds/" + url.PathEscape(backend)
	if seconds == 0 {
		return &v, c.callIdempotent(ctx, id, http.MethodDelete, path, nil, &v)
	}
	return &v, c.callIdempotent(ctx, id, http.MethodPut, path, map[string]float64{"for_s": seconds}, &v)
}

// Level returns the current level of reduced service.
func (c *Client) Level(ctx context.Context) (*Level, error) {
	var v Level
	return &v, c.call(ctx, http.MethodGet, "level", nil, &v)
}

// HoldLevel pins a level of reduced service for the given number of seconds; 0 returns to automatic
// selection. A retry with the same id is not applied again; an empty id stands for a new one.
func (c *Client) HoldLevel(ctx context.Context, id, level string, seconds float64, reason string) (*Level, error) {
	var v Level
	if seconds == 0 {
		return &v, c.callIdempotent(ctx, id, http.MethodDelete, "level", nil, &v)
	}
	return &v, c.callIdempotent(ctx, id, http.MethodPut, "level", map[string]any{"level": level, "for_s": seconds, "why": reason}, &v)
}

// Sites returns the state of the sites.
func (c *Client) Sites(ctx context.Context) (*Sites, error) {
	var v Sites
	return &v, c.call(ctx, http.MethodGet, "sites", nil, &v)
}

// EvacuateSite evacuates a site for the given number of seconds; 0 ends the evacuation. Unless force is
// set, the instance refuses if the other sites could not carry the load. A retry with the same id is
// not applied again; an empty id stands for a new one.
func (c *Client) EvacuateSite(ctx context.Context, id, site string, seconds float64, force bool, reason string) (*Sites, error) {
	var v Sites
	path := "sites/" + url.PathEscape(site) + "/out"
	if seconds == 0 {
		return &v, c.callIdempotent(ctx, id, http.MethodDelete, path, nil, &v)
	}
	return &v, c.callIdempotent(ctx, id, http.MethodPut, path, map[string]any{"for_s": seconds, "force": force, "why": reason}, &v)
}

// SetAccepting sets whether the instance accepts requests. A retry with the same id is not applied
// again; an empty id stands for a new one.
func (c *Client) SetAccepting(ctx context.Context, id string, on bool) (*Admission, error) {
	var v Admission
	return &v, c.callIdempotent(ctx, id, http.MethodPut, "taking", &Admission{on}, &v)
}

// Reload has the instance reread its platform configuration. A retry with the same id is not applied
// again; an empty id stands for a new one.
func (c *Client) Reload(ctx context.Context, id string) (*Identity, error) {
	var v Identity
	return &v, c.callIdempotent(ctx, id, http.MethodPost, "reload", struct{}{}, &v)
}

// Watch calls handle with each event of the watch stream. It returns when the context ends, handle
// returns an error, the stream breaks, or the instance misses three heartbeats.
func (c *Client) Watch(ctx context.Context, handle func(*Event) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := c.caller.Open(ctx, http.MethodGet, "watch", nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	heartbeatTimer := newWatchdog(3*heartbeatInterval, cancel)
	defer heartbeatTimer.stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		heartbeatTimer.reset()
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return fmt.Errorf("invalid event from the instance: %w", err)
		}
		if err := handle(&e); err != nil {
			return err
		}
	}
	switch {
	case heartbeatTimer.expired():
		return errInstanceSilent
	case lines.Err() != nil:
		return fmt.Errorf("reading the watch stream: %w", lines.Err())
	}
	return io.ErrUnexpectedEOF
}

var errInstanceSilent = errors.New("the instance sent no heartbeat")
