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
	// mostDelivery is how many bytes a batch may have: a snapshot of the whole, as text in text.
	mostDelivery = 64 << 20
	mostAsk      = 4096
	mostLease    = 128 << 10       // a baton, as text in text
	orderIn      = 5 * time.Second // until an order is agreed on, or said not to be
)

// Route is a part of a member's interface.
type Route struct {
	Handler http.HandlerFunc
	Role    api.Role
}

// Routes are what a member answers to beside its manager's.
func (n *Node) Routes() map[string]Route {
	of := func(most int64, role api.Role, f func(r *http.Request) (any, error)) Route {
		return Route{api.Handler(most, problem, f), role}
	}
	return map[string]Route{
		"POST /v1/group/messages": of(mostDelivery, api.Member, func(r *http.Request) (any, error) {
			var b Batch
			if err := api.Body(r, &b); err != nil {
				return nil, err
			}
			return struct{}{}, n.Receive(r.Context(), &b)
		}),
		"GET /v1/group/identity": of(mostAsk, api.Member, func(r *http.Request) (any, error) { return n.Identity(r.Context()) }),
		"GET /v1/group":          of(mostAsk, api.Read, func(*http.Request) (any, error) { return n.Group(), nil }),
		"DELETE /v1/group/members/{name}": of(mostAsk, api.Change, func(r *http.Request) (any, error) {
			ctx, cancel := context.WithTimeout(r.Context(), orderIn)
			defer cancel()
			if err := n.Remove(ctx, r.PathValue("name")); err != nil {
				return nil, n.refusal("name", err)
			}
			return n.Group(), nil
		}),
		"GET /v1/duties/words": of(mostAsk, api.Hold, func(*http.Request) (any, error) { return n.words() }),
		"POST /v1/duties/{name}/lease": of(mostLease, api.Hold, func(r *http.Request) (any, error) {
			var op lease.Op
			if err := api.Body(r, &op); err != nil {
				return nil, err
			}
			switch {
			case op.Duty != r.PathValue("name") || !duty.IsShared(op.Duty):
				return nil, &api.Problem{Status: 422, Title: "no duty of agents", Detail: fmt.Sprintf("%.100q", op.Duty), Field: "duty"}
			case op.Kind > lease.Release:
				return nil, &api.Problem{Status: 422, Title: "not a holder's to ask", Detail: fmt.Sprintf("kind %d", op.Kind), Field: "kind"}
			}
			if err := op.Check(); err != nil {
				return nil, &api.Problem{Status: 422, Title: "the lease can't be asked for", Detail: err.Error()}
			}
			ctx, cancel := context.WithTimeout(r.Context(), orderIn)
			defer cancel()
			a, err := n.Lease(ctx, op)
			return &a, err
		}),
		"GET /v1/duties": of(mostAsk, api.Read, func(*http.Request) (any, error) { return n.Duties(), nil }),
		"POST /v1/duties/{name}/hand": of(mostAsk, api.Change, func(r *http.Request) (any, error) {
			var b struct {
				To string `json:"to"`
			}
			if err := api.Body(r, &b); err != nil {
				return nil, err
			}
			if !duty.IsShared(r.PathValue("name")) && !slices.ContainsFunc(n.view().members, func(m Member) bool { return m.Name == b.To }) {
				return nil, &api.Problem{Status: 422, Title: "the duty can't be handed on", Detail: fmt.Sprintf("%.100q is no member", b.To), Field: "to"}
			}
			return n.order(r, lease.Op{Kind: lease.HandOver, Duty: r.PathValue("name"), To: b.To})
		}),
		"POST /v1/duties/{name}/revoke": of(mostAsk, api.Change, func(r *http.Request) (any, error) {
			var b struct {
				Why string `json:"why"`
			}
			if err := api.Body(r, &b); err != nil {
				return nil, err
			}
			if b.Why == "" || len(b.Why) > 200 {
				return nil, &api.Problem{Status: 422, Title: "the duty can't be revoked", Detail: fmt.Sprintf("it has %d bytes, and 1 to 200 are wanted", len(b.Why)), Field: "why"}
			}
			return n.order(r, lease.Op{Kind: lease.Revoke, Duty: r.PathValue("name"), Why: b.Why})
		}),
	}
}

func problem(err error) *api.Problem {
	var p *api.Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, ErrStaleDisk):
		return &api.Problem{Status: http.StatusGone, Title: "this is not the disk of that member", Detail: err.Error()}
	}
	return &api.Problem{Status: 503, Title: "the member did not do it", Detail: err.Error()}
}

// order has an operator's order agreed on. What becomes of one that is not answered in time is not known, and is said so.
func (n *Node) order(r *http.Request, op lease.Op) (any, error) {
	ctx, cancel := context.WithTimeout(r.Context(), orderIn)
	defer cancel()
	a, err := n.Lease(ctx, op)
	switch {
	case err != nil:
		return nil, &api.Problem{Status: 503, Title: "it is not known whether the order was taken", Detail: err.Error()}
	case a.Refused != "":
		return nil, n.refusal("name", errors.New(a.Refused))
	}
	return n.Duties(), nil
}

// refusal says that an order can't be done, and who leads if another does.
func (n *Node) refusal(field string, err error) error {
	p := &api.Problem{Status: 409, Title: "the order can't be taken", Detail: err.Error(), Field: field}
	if v := n.view(); !v.leads && v.lead != "" {
		p.Status, p.Detail = http.StatusMisdirectedRequest, fmt.Sprintf("%v; %s leads", err, v.lead)
	}
	return p
}

// Group is what this member says of the group.
func (n *Node) Group() *duty.Group {
	v := n.view()
	g := &duty.Group{Name: n.opts.Name, Lead: v.lead, Applied: v.applied, Members: []duty.Member{}, Others: []duty.Other{}}
	if v.wrong != nil {
		g.Why = v.wrong.Error()
	}
	for _, m := range v.members {
		g.Members = append(g.Members, duty.Member{Name: m.Name, ID: fmt.Sprintf("%016x", m.ID), Voter: m.Voter})
	}
	for _, name := range slices.Sorted(maps.Keys(v.refused)) {
		g.Others = append(g.Others, duty.Other{Name: name, Why: v.refused[name]})
	}
	return g
}

// Duties are what this member knows of the duties.
func (n *Node) Duties() *duty.Duties {
	v := n.view()
	all := &duty.Duties{Duties: []duty.Duty{}, History: []lease.Change{}}
	for _, name := range slices.Sorted(maps.Keys(v.duties)) {
		d := v.duties[name]
		c := duty.Duty{Name: name, State: "free", Holder: d.Holder, Epoch: d.Epoch, Term: d.Term.Seconds(), To: d.To, Baton: len(d.Baton), Why: d.Why}
		switch {
		case d.Resting:
			c.State = "resting"
		case d.Revoked:
			c.State = "revoked"
		case d.Holder != "":
			c.State = "held"
		case d.To != "":
			c.State = "handed"
		}
		if v.leads {
			c.Left = v.left[name].Seconds()
		}
		if until, ok := n.own.Load(name); ok {
			c.Own = max(0, (until.(time.Duration) - n.now()).Seconds())
		}
		all.Duties = append(all.Duties, c)
	}
	for _, c := range slices.Backward(v.history) {
		all.History = append(all.History, c)
	}
	return all
}

// words are what the holders of agents' duties say. Danger: a member that hears no lead would tell old ones as if they were new.
func (n *Node) words() (*duty.HolderMessages, error) {
	v := n.view()
	if v.wrong != nil {
		return nil, v.wrong
	}
	if v.lead == "" {
		return nil, errors.New("it hears nobody lead the group")
	}
	all := &duty.HolderMessages{Words: []duty.HolderMessage{}}
	for _, name := range slices.Sorted(maps.Keys(v.duties)) {
		if d := v.duties[name]; duty.IsShared(name) {
			all.Words = append(all.Words, duty.HolderMessage{Duty: name, Free: d.Holder == "" && !d.Resting, Epoch: d.Epoch, Version: d.Version, Word: d.Word, To: d.To})
		}
	}
	return all, nil
}

// peer is another process over its interface.
type peer struct{ at *api.Caller }

// PeerAt returns the process that a caller calls.
func NewPeer(at *api.Caller) Peer { return peer{at} }

func (p peer) Deliver(ctx context.Context, b *Batch) error {
	var none struct{}
	err := p.at.Call(ctx, http.MethodPost, "group/messages", nil, b, &none)
	var refused *api.Problem
	if errors.As(err, &refused) && refused.Status == http.StatusGone {
		return ErrStaleDisk
	}
	return err
}

func (p peer) Identity(ctx context.Context) (*Identity, error) {
	var v Identity
	return &v, p.at.Call(ctx, http.MethodGet, "group/identity", nil, nil, &v)
}
