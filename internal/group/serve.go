package group

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/duty"
	"example.org/micaline/internal/lease"
)

const (
	// maxBatchBytes allows for a snapshot of the whole state, which is base64 within base64.
	maxBatchBytes     = 64 << 20
	maxSmallBodyBytes = 4096
	maxLeaseBodyBytes = 128 << 10       // allows for a baton, encoded as base64 in JSON
	operationTimeout  = 5 * time.Second // for an operation to be committed and applied
)

// Route is the handler of an HTTP pattern and the role that a caller needs for it.
type Route struct {
	Handler http.HandlerFunc
	Role    api.Role
}

// Routes returns the HTTP routes of a member, by pattern.
func (n *Node) Routes() map[string]Route {
	route := func(maxBytes int64, role api.Role, f func(r *http.Request) (any, error)) Route {
		return Route{api.Handler(maxBytes, problemFor, f), role}
	}
	return map[string]Route{
		"POST /v1/group/messages": route(maxBatchBytes, api.Member, func(r *http.Request) (any, error) {
			var batch Batch
			if err := api.Body(r, &batch); err != nil {
				return nil, err
			}
			return struct{}{}, n.Receive(r.Context(), &batch)
		}),
		"GET /v1/group/identity": route(maxSmallBodyBytes, api.Member, func(r *http.Request) (any, error) { return n.Identity(r.Context()) }),
		"GET /v1/group":          route(maxSmallBodyBytes, api.Read, func(*http.Request) (any, error) { return n.Group(), nil }),
		"DELETE /v1/group/members/{name}": route(maxSmallBodyBytes, api.Change, func(r *http.Request) (any, error) {
			ctx, cancel := context.WithTimeout(r.Context(), operationTimeout)
			defer cancel()
			if err := n.Remove(ctx, r.PathValue("name")); err != nil {
				return nil, n.orderProblem("name", err)
			}
			return n.Group(), nil
		}),
		"GET /v1/duties/words": route(maxSmallBodyBytes, api.Hold, func(*http.Request) (any, error) { return n.holderMessages() }),
		"POST /v1/duties/{name}/lease": route(maxLeaseBodyBytes, api.Hold, func(r *http.Request) (any, error) {
			var op lease.Op
			if err := api.Body(r, &op); err != nil {
				return nil, err
			}
			switch {
			case op.Duty != r.PathValue("name") || !duty.IsShared(op.Duty):
				return nil, &api.Problem{Status: 422, Title: "not a duty of agents", Detail: fmt.Sprintf("%.100q", op.Duty), Field: "duty"}
			case op.Kind > lease.Release:
				return nil, &api.Problem{Status: 422, Title: "not an operation of a holder", Detail: fmt.Sprintf("kind %d", op.Kind), Field: "kind"}
			}
			if err := op.Check(); err != nil {
				return nil, &api.Problem{Status: 422, Title: "invalid lease request", Detail: err.Error()}
			}
			ctx, cancel := context.WithTimeout(r.Context(), operationTimeout)
			defer cancel()
			answer, err := n.Lease(ctx, op)
			return &answer, err
		}),
		"GET /v1/duties": route(maxSmallBodyBytes, api.Read, func(*http.Request) (any, error) { return n.Duties(), nil }),
		"POST /v1/duties/{name}/hand": route(maxSmallBodyBytes, api.Change, func(r *http.Request) (any, error) {
			var body struct {
				To string `json:"to"`
			}
			if err := api.Body(r, &body); err != nil {
				return nil, err
			}
			if !duty.IsShared(r.PathValue("name")) && !slices.ContainsFunc(n.view().members, func(m Member) bool { return m.Name == body.To }) {
				return nil, &api.Problem{Status: 422, Title: "the duty can't be handed over", Detail: fmt.Sprintf("%.100q is no member", body.To), Field: "to"}
			}
			return n.executeOrder(r, lease.Op{Kind: lease.HandOver, Duty: r.PathValue("name"), To: body.To})
		}),
		"POST /v1/duties/{name}/revoke": route(maxSmallBodyBytes, api.Change, func(r *http.Request) (any, error) {
			var body struct {
				Why string `json:"why"`
			}
			if err := api.Body(r, &body); err != nil {
				return nil, err
			}
			if body.Why == "" || len(body.Why) > 200 {
				return nil, &api.Problem{Status: 422, Title: "the duty can't be revoked", Detail: fmt.Sprintf("it has %d bytes, and 1 to 200 are allowed", len(body.Why)), Field: "why"}
			}
			return n.executeOrder(r, lease.Op{Kind: lease.Revoke, Duty: r.PathValue("name"), Why: body.Why})
		}),
	}
}

// problemFor returns the HTTP error for an error of a route.
func problemFor(err error) *api.Problem {
	var p *api.Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, ErrStaleDisk):
		return &api.Problem{Status: http.StatusGone, Title: "the member's disk is not its latest one", Detail: err.Error()}
	}
	return &api.Problem{Status: 503, Title: "the member could not process the request", Detail: err.Error()}
}

// executeOrder executes an operation that an operator ordered. If it times out its outcome is
// unknown, and the error says so.
func (n *Node) executeOrder(r *http.Request, op lease.Op) (any, error) {
	ctx, cancel := context.WithTimeout(r.Context(), operationTimeout)
	defer cancel()
	answer, err := n.Lease(ctx, op)
	switch {
	case err != nil:
		return nil, &api.Problem{Status: 503, Title: "it is not known whether the order was applied", Detail: err.Error()}
	case answer.Refused != "":
		return nil, n.orderProblem("name", errors.New(answer.Refused))
	}
	return n.Duties(), nil
}

// orderProblem returns the HTTP error for a refused order. If another member leads, it names the
// leader.
func (n *Node) orderProblem(field string, err error) error {
	p := &api.Problem{Status: 409, Title: "the order is refused", Detail: err.Error(), Field: field}
	if v := n.view(); !v.isLeader && v.leader != "" {
		p.Status, p.Detail = http.StatusMisdirectedRequest, fmt.Sprintf("%v; %s is the leader", err, v.leader)
	}
	return p
}

// Group returns this member's view of the group.
func (n *Node) Group() *duty.Group {
	v := n.view()
	g := &duty.Group{Name: n.opts.Name, Lead: v.leader, Applied: v.applied, Members: []duty.Member{}, Others: []duty.Other{}}
	if v.failure != nil {
		g.Why = v.failure.Error()
	}
	for _, m := range v.members {
		g.Members = append(g.Members, duty.Member{Name: m.Name, ID: fmt.Sprintf("%016x", m.ID), Voter: m.Voter})
	}
	for _, name := range slices.Sorted(maps.Keys(v.rejected)) {
		g.Others = append(g.Others, duty.Other{Name: name, Why: v.rejected[name]})
	}
	return g
}

// Duties returns this member's view of the duties.
func (n *Node) Duties() *duty.Duties {
	v := n.view()
	result := &duty.Duties{Duties: []duty.Duty{}, History: []lease.Change{}}
	for _, name := range slices.Sorted(maps.Keys(v.duties)) {
		state := v.duties[name]
		status := duty.Duty{Name: name, State: "free", Holder: state.Holder, Epoch: state.Epoch, Term: state.Term.Seconds(), To: state.To, Baton: len(state.Baton), Why: state.Why}
		switch {
		case state.Resting:
			status.State = "resting"
		case state.Revoked:
			status.State = "revoked"
		case state.Holder != "":
			status.State = "held"
		case state.To != "":
			status.State = "handed"
		}
		if v.isLeader {
			status.Left = v.remaining[name].Seconds()
		}
		if until, ok := n.heldUntil.Load(name); ok {
			status.Own = max(0, (until.(time.Duration) - n.now()).Seconds())
		}
		result.Duties = append(result.Duties, status)
	}
	for _, change := range slices.Backward(v.history) {
		result.History = append(result.History, change)
	}
	return result
}

// holderMessages returns the messages that the holders of agents' duties publish. It fails without
// a leader, because the member would otherwise present outdated messages as current ones.
func (n *Node) holderMessages() (*duty.HolderMessages, error) {
	v := n.view()
	if v.failure != nil {
		return nil, v.failure
	}
	if v.leader == "" {
		return nil, errors.New("it knows no leader of the group")
	}
	messages := &duty.HolderMessages{Words: []duty.HolderMessage{}}
	for _, name := range slices.Sorted(maps.Keys(v.duties)) {
		if d := v.duties[name]; duty.IsShared(name) {
			messages.Words = append(messages.Words, duty.HolderMessage{Duty: name, Free: d.Holder == "" && !d.Resting, Epoch: d.Epoch, Version: d.Version, Word: d.Word, To: d.To})
		}
	}
	return messages, nil
}

// httpPeer is a Peer that is called over HTTP.
type httpPeer struct{ caller *api.Caller }

// NewPeer returns the Peer that a caller calls.
func NewPeer(caller *api.Caller) Peer { return httpPeer{caller} }

func (p httpPeer) Deliver(ctx context.Context, b *Batch) error {
	var response struct{}
	err := p.caller.Call(ctx, http.MethodPost, "group/messages", nil, b, &response)
	var refused *api.Problem
	if errors.As(err, &refused) && refused.Status == http.StatusGone {
		return ErrStaleDisk
	}
	return err
}

func (p httpPeer) Identity(ctx context.Context) (*Identity, error) {
	var v Identity
	return &v, p.caller.Call(ctx, http.MethodGet, "group/identity", nil, nil, &v)
}
