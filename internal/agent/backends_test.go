package agent

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"example.org/micaline/policy"
)

// A backend at the address of one that has gone has connections of its own: those of the old one close, the one in
// use when it is back, and the new one's stay when the old one is forgotten.
func TestNewBackendAtAnOldAddress(t *testing.T) {
	goOn := make(chan struct{}, 1)
	b := newBackend(t, func(int, *http.Request) (string, bool) {
		<-goOn
		return okResponse, false
	})
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	l, err := newLoop(cfg, newBackendClient(TCP{}, &cfg.Settings, 4, 1<<20, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	list := func(mode policy.ListMode, members ...member) {
		l.processInput(t.Context(), input{event: policy.Event{Kind: policy.EventList, ListMode: mode}, members: members})
	}
	old, next := member{ID: "old", HostPort: b.Addr, Phase: "Ready"}, member{ID: "next", HostPort: b.Addr, Phase: "Ready"}
	list(policy.ListFull, old)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	m := newMessage("GET", "/", "x", nil, nil, nil)
	inUse := make(chan result, 1)
	first := l.targets[l.servers.idFor("old")]
	go func() { inUse <- l.backends.exchange(ctx, first, &m, time.Time{}, nil) }()
	receive(t, "request", b.Got)
	list(policy.ListDelta, next)
	goOn <- struct{}{}
	second := l.targets[l.servers.idFor("next")]
	inUse2 := make(chan result, 1)
	receive(t, "answer of the old one", inUse)
	go func() { inUse2 <- l.backends.exchange(ctx, second, &m, time.Time{}, nil) }()
	receive(t, "request", b.Got)
	if n := len(b.Accepted); n != 2 {
		t.Errorf("%d connections to two backends", n)
	}
	goOn <- struct{}{}
	receive(t, "answer of the new one", inUse2)
	old.Phase = "Gone"
	list(policy.ListDelta, old)
	receive(t, "close of the old one's connection", b.Ended)
	// A restart of the process at the same address is another target as well, and what comes back late closes.
	go func() { inUse2 <- l.backends.exchange(ctx, second, &m, time.Time{}, nil) }()
	receive(t, "request", b.Got)
	next.UpSince = 5
	list(policy.ListDelta, next)
	goOn <- struct{}{}
	receive(t, "late answer", inUse2)
	receive(t, "close of the connection that came back late", b.Ended)
	if n := len(b.Accepted); n != 2 {
		t.Errorf("%d connections: the new one's went with the old one's", n)
	}
}

// An idle connection that the backend has closed is not written to: it would end as a reset, which an unsafe
// request does not survive.
func TestStaleConnection(t *testing.T) {
	b := newBackend(t, alwaysOK)
	a := startAgentWith(t, testSettings, b)
	for i := range 3 {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		if status != 200 {
			t.Fatalf("request %d: answered %d", i, status)
		}
		receive(t, "connection", b.Accepted).Close()
	}
}

func TestConnectionsAreReused(t *testing.T) {
	b := newBackend(t, alwaysOK)
	a := startAgentWith(t, testSettings, b)
	for range 5 {
		a.do(t, a.request("unsafe", "15000m"))
	}
	if n := len(b.Accepted); n != 1 {
		t.Errorf("%d connections for one request at a time", n)
	}
}

// The pool keeps to its sockets: an idle connection makes room, one in use does not.
func TestPoolIsBounded(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, func(int, *http.Request) (string, bool) { return "", false })
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	p := newBackendClient(TCP{}, &cfg.Settings, 1, 1<<20, slog.New(slog.DiscardHandler))
	toX, toY := p.NewTarget(x.Addr, 0), p.NewTarget(y.Addr, 0)
	m := newMessage("GET", "/", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if r := p.exchange(ctx, toX, &m, time.Time{}, nil); r.outcome != policy.OK {
		t.Fatalf("outcome %d", r.outcome)
	}
	silent := make(chan result, 1)
	held, giveUp := context.WithCancel(ctx)
	go func() { silent <- p.exchange(held, toY, &m, time.Time{}, nil) }()
	receive(t, "close of the idle connection", x.Ended)
	receive(t, "request", y.Got)
	if r := p.exchange(ctx, toX, &m, time.Time{}, nil); r.outcome != policy.NotSent {
		t.Errorf("with the only socket in use: outcome %d", r.outcome)
	}
	giveUp()
	if r := receive(t, "cancelled attempt", silent); r.outcome != policy.Cancelled {
		t.Errorf("given up: outcome %d", r.outcome)
	}
	if r := p.exchange(ctx, toX, &m, time.Time{}, nil); r.outcome != policy.OK {
		t.Errorf("with the socket free again: outcome %d", r.outcome)
	}
}
