package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"example.org/micaline/internal/mesh/meshconfig"
)

// refusal is why an order was not carried out, as the table replies and as the caller is told. Each
// member replies the same to an order, as each decides by the same log.
type refusal struct {
	Status int    `json:"status"`
	Field  string `json:"field,omitempty"` // of the call, or the item
	Error  string `json:"error"`
	Stale  bool   `json:"stale,omitempty"` // an opposite order came in between
}

// refusalOf gives each reason its status. A caller ends at once on 400 and 409, and goes on after a
// 5xx: that is for what isn't decided.
func refusalOf(err error) *refusal {
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
		problem := "the table's reply can't be read: " + err.Error()
		return &refusal{Status: http.StatusInternalServerError, Error: problem}
	}
	return r
}

func (r *refusal) answer(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	w.Write(r.encode())
}

// problem answers with an error that concerns no field.
func problem(w http.ResponseWriter, status int, what string) {
	(&refusal{Status: status, Error: what}).answer(w)
}

// acknowledge answers that the call holds.
func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}")
}

// agree has an order agreed on and answers the caller.
func (c *Core) agree(w http.ResponseWriter, r *http.Request, o meshconfig.Order) {
	ctx, cancel := context.WithTimeout(r.Context(), answerIn)
	defer cancel()
	for {
		refused, err := c.propose(ctx, o)
		switch {
		case err != nil:
			problem(w, statusOf(err), err.Error())
		case refused == nil:
			acknowledge(w)
		case refused.Stale && ctx.Err() == nil:
			continue // the caller still waits, so this order is the later one
		default:
			refused.answer(w)
		}
		return
	}
}

// propose has an order carried out once. It is refused if it contradicts what was confirmed, or if
// the opposite one is carried out before it.
func (c *Core) propose(ctx context.Context, o meshconfig.Order) (*refusal, error) {
	o.Strict, o.Since = true, c.table.applied.Load()
	result, err := c.node.Propose(ctx, encodeOrder(&o))
	c.count.proposed(result, err)
	if err != nil || len(result.Reply) == 0 {
		return nil, err
	}
	return decodeRefusal(result.Reply), nil
}
