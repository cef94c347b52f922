package controlplane

import (
	"context"
	"net/http"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/duties"
)

const mostDutyOrder = 4 << 10 // bytes of an operator's call about a duty

// dutyOrder is the body of a call by which operators move a duty. It names the fence that it is
// about, so that a call which comes twice, or late, moves nothing that was granted since.
type dutyOrder struct {
	Fence uint64 `json:"fence"`
	To    string `json:"to"`  // of hand: the name of a core machine
	Why   string `json:"why"` // of revoke
}

// dutyOrders are the calls POST /api/duties/{duty}/hand and .../revoke.
type dutyOrders struct {
	c    *Core
	kind lease.Kind
}

func (h *dutyOrders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		only(w, "POST")
		return
	}
	duty := r.PathValue("duty")
	if h.c.duty == nil || duty != duties.UsageReport {
		problem(w, http.StatusNotFound, "duty: "+duty+" is none of the settings' duties")
		return
	}
	var order dutyOrder
	if !readJSON(w, r, mostDutyOrder, &order) {
		return
	}
	if wrong := order.wrong(h.kind); wrong != "" {
		problem(w, http.StatusBadRequest, wrong)
		return
	}
	h.c.agreeDuty(w, r, &lease.Op{Kind: h.kind, Duty: duty, Epoch: order.Fence, To: order.To, Why: order.Why})
}

// wrong says what is wrong with the order, and names the field; empty: nothing.
func (o *dutyOrder) wrong(kind lease.Kind) string {
	switch {
	case o.Fence == 0:
		return "fence: the one that the order is about is missing"
	case kind == lease.Hand && o.To == "":
		return "to: the name of a core machine is missing"
	case kind == lease.Revoke && o.Why == "":
		return "why: a reason is missing"
	}
	return ""
}

// agreeDuty has an operator's order about a duty agreed on, and answers the caller.
func (c *Core) agreeDuty(w http.ResponseWriter, r *http.Request, op *lease.Op) {
	if err := op.Check(); err != nil {
		problem(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerIn)
	defer cancel()
	reply, err := c.proposeDuty(ctx, &duties.Command{Lease: op})
	switch {
	case err != nil:
		problem(w, statusOf(err), err.Error())
	case reply.Lease.Refused != "":
		problem(w, http.StatusConflict, reply.Lease.Refused)
	default:
		acknowledge(w)
	}
}
