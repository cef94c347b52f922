package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"example.org/micaline/internal/mesh/meshconfig"
)

// refusal is the reason why an order was refused, both in the table's reply and in the HTTP
// response. All members produce the same reply to an order, because they apply the same log.
type refusal struct {
	Status int    `json:"status"`
	Field  string `json:"field,omitempty"` // field of the request, or the item
	Error  string `json:"error"`
	Stale  bool   `json:"stale,omitempty"` // the opposite order was applied in the meantime
}

// newRefusal converts an error into a refusal and selects the HTTP status. Clients give up on 400
// and 409, and retry after a 5xx, which means that the outcome is not decided.
func newRefusal(err error) *refusal {
	var (
		invalid   *meshconfig.InvalidError
		conflict  *meshconfig.ConflictError
		forgotten *meshconfig.ForgottenVersionError
		stale     *meshconfig.StaleOrderError
	)
	r := &refusal{Status: http.StatusBadRequest, Error: err.Error()}
	switch {
	case errors.As(err, &invalid):
		r.Field = invalid.Field
	case errors.As(err, &conflict):
		r.Status, r.Field = http.StatusConflict, conflict.Item
	case errors.As(err, &forgotten):
		r.Status, r.Field = http.StatusServiceUnavailable, forgotten.Item
	case errors.As(err, &stale):
		r.Status, r.Field, r.Stale = http.StatusServiceUnavailable, "zone", true
	}
	return r
}

// isFinal reports whether clients give up on the refusal.
func (r *refusal) isFinal() bool { return r.Status < http.StatusInternalServerError }

func (r *refusal) encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return text
}

func decodeRefusal(reply []byte) *refusal {
	r := new(refusal)
	if err := json.Unmarshal(reply, r); err != nil {
		message := "invalid reply from the table: " + err.Error()
		return &refusal{Status: http.StatusInternalServerError, Error: message}
	}
	return r
}

func (r *refusal) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	w.Write(r.encode())
}

// writeProblem writes an error that concerns no particular field.
func writeProblem(w http.ResponseWriter, status int, message string) {
	(&refusal{Status: status, Error: message}).write(w)
}

// acknowledge writes the response to a successful request.
func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}")
}

// handleOrder proposes an order and writes the response.
func (c *Core) handleOrder(w http.ResponseWriter, r *http.Request, order meshconfig.Order) {
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	call := callOf(r)
	for {
		refused, err := c.proposeOrder(ctx, call, order)
		switch {
		case err != nil:
			writeProblem(w, statusFor(err), err.Error())
		case refused == nil:
			acknowledge(w)
		case refused.Stale && ctx.Err() == nil:
			call.since = c.table.applied.Load()
			continue // the client still waits, so this order is the later one
		default:
			refused.write(w)
		}
		return
	}
}

// proposeOrder proposes the order of a call once. The order is refused if it contradicts a confirmed
// one, or if the opposite order was applied since the call arrived.
func (c *Core) proposeOrder(ctx context.Context, call operatorCall, order meshconfig.Order) (*refusal, error) {
	order.Strict = true
	result, err := c.proposeCall(ctx, call, order)
	c.counters.countProposal(result, err)
	if err != nil || len(result.Reply) == 0 {
		return nil, err
	}
	return decodeRefusal(result.Reply), nil
}
