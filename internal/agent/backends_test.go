package agent

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"example.org/micaline/policy"
)

// A new backend at the address of an old one gets connections of its own. The connections of the
// old one are closed when it leaves the list, those in use after their answer, and the new one's
// stay open.
func TestNewBackendAtAnOldAddress(t *testing.T) {
	proceed := make(chan struct{}, 1)
	b := newBackend(t, func(int, *http.Request) (string, bool) {
		<-proceed
		return okResponse, false
	})
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	eventLoop, err := newLoop(cfg, newBackendClient(TCP{}, &cfg.Settings, 4, 1<<20, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	list := func(mode policy.ListMode, members ...member) {
		eventLoop.processInput(t.Context(), input{event: policy.Event{Kind: policy.EventList, ListMode: mode}, members: members})
	}
	old, next := member{ID: "old", HostPort: b.Addr, Phase: "Ready"}, member{ID: "next", HostPort: b.Addr, Phase: "Ready"}
	list(policy.ListFull, old)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	msg := newMessage("GET", "/", "x", nil, nil, nil)
	firstResult := make(chan result, 1)
	first := eventLoop.targets[eventLoop.servers.idFor("old")]
	go func() { firstResult <- eventLoop.backends.exchange(ctx, first, &msg, time.Time{}, nil) }()
	receive(t, "request", b.Got)
	list(policy.ListDelta, next)
	proceed <- struct{}{}
	second := eventLoop.targets[eventLoop.servers.idFor("next")]
	secondResult := make(chan result, 1)
	receive(t, "answer of the old backend", firstResult)
	go func() { secondResult <- eventLoop.backends.exchange(ctx, second, &msg, time.Time{}, nil) }()
	receive(t, "request", b.Got)
	if n := len(b.Accepted); n != 2 {
		t.Errorf("%d connections for two backends", n)
	}
	proceed <- struct{}{}
	receive(t, "answer of the new backend", secondResult)
	old.Phase = "Gone"
	list(policy.ListDelta, old)
	receive(t, "close of the old backend's connection", b.Ended)
	// A restarted process at the same address is a new target too. A connection to the previous
	// process that is still in use is closed after its answer.
	go func() { secondResult <- eventLoop.backends.exchange(ctx, second, &msg, time.Time{}, nil) }()
	receive(t, "request", b.Got)
	next.UpSince = 5
	list(policy.ListDelta, next)
	proceed <- struct{}{}
	receive(t, "answer after the restart", secondResult)
	receive(t, "close of the connection to the previous process", b.Ended)
	if n := len(b.Accepted); n != 2 {
		t.Errorf("%d connections: the new backend's was closed with the old one's", n)
	}
}

// A request is not sent over an idle connection that the backend has closed. It would end in a
// connection reset, after which an unsafe request must not be retried.
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
		t.Errorf("%d connections for sequential requests", n)
	}
}

// The pool never uses more than its number of sockets: it closes an idle connection to make room,
// but not one in use.
func TestPoolIsBounded(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, func(int, *http.Request) (string, bool) { return "", false })
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	client := newBackendClient(TCP{}, &cfg.Settings, 1, 1<<20, slog.New(slog.DiscardHandler))
	toX, toY := client.NewTarget(x.Addr, 0), client.NewTarget(y.Addr, 0)
	msg := newMessage("GET", "/", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if r := client.exchange(ctx, toX, &msg, time.Time{}, nil); r.outcome != policy.OK {
		t.Fatalf("outcome %d", r.outcome)
	}
	silentResult := make(chan result, 1)
	attemptCtx, cancelAttempt := context.WithCancel(ctx)
	go func() { silentResult <- client.exchange(attemptCtx, toY, &msg, time.Time{}, nil) }()
	receive(t, "close of the idle connection", x.Ended)
	receive(t, "request", y.Got)
	if r := client.exchange(ctx, toX, &msg, time.Time{}, nil); r.outcome != policy.NotSent {
		t.Errorf("with the only socket in use: outcome %d", r.outcome)
	}
	cancelAttempt()
	if r := receive(t, "cancelled attempt", silentResult); r.outcome != policy.Cancelled {
		t.Errorf("cancelled: outcome %d", r.outcome)
	}
	if r := client.exchange(ctx, toX, &msg, time.Time{}, nil); r.outcome != policy.OK {
		t.Errorf("with the socket free again: outcome %d", r.outcome)
	}
}
