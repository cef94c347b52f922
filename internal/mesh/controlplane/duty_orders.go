package controlplane

import (
	"context"
	"net/http"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/duties"
)

const maxDutyOrderBytes = 4 << 10

// dutyOrder is the body of an operator's request that moves a duty. It has the fencing token of the
// grant that it refers to, so a repeated or late request does not affect a newer grant.
type dutyOrder struct {
	Fence uint64 `json:"fence"`
	To    string `json:"to"`  // hand only: name of the new holder's node
	Why   string `json:"why"` // revoke only
}

// dutyOrderHandler serves POST /api/duties/{duty}/hand and .../revoke.
type dutyOrderHandler struct {
	core *Core
	kind lease.Kind
}

func (h *dutyOrderHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		methodNotAllowed(w, "POST")
		return
	}
	duty := r.PathValue("duty")
	if h.core.dutyHolder == nil || duty != duties.UsageReport {
		writeProblem(w, http.StatusNotFound, "duty: "+duty+" is none of the settings' duties")
		return
	}
	var order dutyOrder
	if !decodeBody(w, r, &order) {
		return
	}
	if invalid := order.validate(h.kind); invalid != "" {
		writeProblem(w, http.StatusBadRequest, invalid)
		return
	}
	h.core.handleDutyOp(w, r, &lease.Op{Kind: h.kind, Duty: duty, Epoch: order.Fence, To: order.To, Why: order.Why})
}

// validate returns a description of the first invalid field, or an empty string.
func (o *dutyOrder) validate(kind lease.Kind) string {
	switch {
	case o.Fence == 0:
		return "fence: missing, give the fencing token of the grant to move"
	case kind == lease.HandOver && o.To == "":
		return "to: missing, give the name of a core machine"
	case kind == lease.Revoke && o.Why == "":
		return "why: missing, give a reason"
	}
	return ""
}

// handleDutyOp proposes an operator's change of a duty and writes the response.
func (c *Core) handleDutyOp(w http.ResponseWriter, r *http.Request, op *lease.Op) {
	if err := op.Check(); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	reply, err := c.proposeDuty(ctx, callOf(r), &duties.Command{Lease: op})
	switch {
	case err != nil:
		writeProblem(w, statusFor(err), err.Error())
	case reply.Lease.Refused != "":
		writeProblem(w, http.StatusConflict, reply.Lease.Refused)
	default:
		acknowledge(w)
	}
}
