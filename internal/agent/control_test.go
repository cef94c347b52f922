package agent

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/policy"
)

func controlState(t *testing.T, a *runningAgent) *control.State {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s, err := a.agent.State(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (r *runningAgent) holdBackend(t *testing.T, backend string, d time.Duration) bool {
	t.Helper()
	known, err := r.agent.Hold(t.Context(), backend, d)
	if err != nil {
		t.Fatal(err)
	}
	return known
}

func (r *runningAgent) apply(t *testing.T, text string) {
	t.Helper()
	d, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Check(r.agent.Base()); err != nil {
		t.Fatal(err)
	}
	for _, part := range document.Parts {
		if err := r.agent.Apply(t.Context(), part, d); err != nil {
			t.Fatal(err)
		}
	}
}

// serve makes so many requests, all of which are to be served.
func (r *runningAgent) serveRequests(t *testing.T, n int) {
	t.Helper()
	for range n {
		if status, _ := r.do(t, r.request("unsafe", "15000m")); status != http.StatusOK {
			t.Fatalf("answered %d", status)
		}
	}
}

// A backend that is held out gets nothing, and is in again when it is let in or its time is over. One that drains gets
// nothing, whoever lets it in.
func TestHold(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	l := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0)))
	a := startAgent(t, testConfig(t, l.Addr, testSettings))
	if a.holdBackend(t, "nobody", time.Hour) {
		t.Error("a backend that nobody knows is held")
	}
	if !a.holdBackend(t, "x", time.Hour) {
		t.Fatal("x is not known")
	}
	a.serveRequests(t, 30)
	if len(x.Got) > 0 {
		t.Errorf("%d sent to who is held out", len(x.Got))
	}
	if s := controlState(t, a); s.Backends[0].Held <= 0 || s.Backends[0].Phase != "Ready" {
		t.Errorf("shown as %+v", s.Backends[0])
	}
	a.holdBackend(t, "x", 0)
	a.serveRequests(t, 60)
	if len(x.Got) == 0 {
		t.Error("nothing is sent to who is let in")
	}
	// A list that comes while x is held does not let it in, and its drain stays when the hold ends.
	a.holdBackend(t, "x", time.Hour)
	l.Next <- listJSON(2, false, memberJSON("x", x.Addr, "Ready", 0))
	l.Next <- listJSON(3, false, memberJSON("x", x.Addr, "Terminating", 0)) // which the agent takes after the one before
	for begun := time.Now(); controlState(t, a).Backends[0].Phase != "Terminating"; time.Sleep(time.Millisecond) {
		if time.Since(begun) > testTimeout {
			t.Fatal("the drain does not come")
		}
	}
	sent := len(x.Got)
	a.holdBackend(t, "x", 0)
	a.serveRequests(t, 30)
	if n := len(x.Got) - sent; n > 0 {
		t.Errorf("%d sent to who drains and was let in", n)
	}
}

func TestHoldEndsByItself(t *testing.T) {
	x := newBackend(t, alwaysOK)
	a := startAgentWith(t, testSettings, x)
	a.holdBackend(t, "s-0", time.Millisecond)
	for begun := time.Now(); len(x.Got) == 0; {
		a.do(t, a.request("unsafe", "15000m"))
		if time.Since(begun) > testTimeout {
			t.Fatal("held out for good")
		}
	}
}

// What is decided by changes while requests are open: they are answered all the same, by the module that took them,
// which then ends.
func TestDecisionsChangeUnderTraffic(t *testing.T) {
	goOn := make(chan struct{})
	b := newBackend(t, func(n int, _ *http.Request) (string, bool) {
		if n < 5 {
			<-goOn
		}
		return okResponse, false
	})
	a := startAgentWith(t, testSettings, b)
	answers := make(chan int, 5)
	for range 5 {
		go func() {
			status, _ := a.do(t, a.request("unsafe", "15000m"))
			answers <- status
		}()
	}
	for range 5 {
		receive(t, "request", b.Got)
	}
	a.apply(t, `{"decisions":{"max_attempts":7,"classes":{"unsafe":{"worth":9}}}}`)
	a.serveRequests(t, 10)
	modules := func() (n, most int) {
		if err := a.agent.loop.runInLoop(t.Context(), func() { n, most = len(a.agent.loop.modules), a.agent.loop.moduleSettings.MaxAttempts }); err != nil {
			t.Fatal(err)
		}
		return n, most
	}
	if n, most := modules(); n != 2 || most != 7 {
		t.Errorf("%d modules, %d attempts at most", n, most)
	}
	if s := controlState(t, a); len(s.Requests) != 5 || s.Requests[0].Out != 1 {
		t.Errorf("open: %+v", s.Requests)
	}
	close(goOn)
	for range 5 {
		if status := receive(t, "answer", answers); status != http.StatusOK {
			t.Errorf("answered %d", status)
		}
	}
	if n, _ := modules(); n != 1 {
		t.Errorf("%d modules are left", n)
	}
	if a.agent.Base().Module.MaxAttempts != 3 {
		t.Error("the platform's settings have changed")
	}
	a.apply(t, `{}`)
	if _, most := modules(); most != 3 {
		t.Errorf("without a document %d attempts at most", most)
	}
}

// The service part: how many requests are held at once, whether any are taken, and where discovery is.
func TestServicePart(t *testing.T) {
	goOn := make(chan struct{})
	b := newBackend(t, func(int, *http.Request) (string, bool) {
		<-goOn
		return okResponse, false
	})
	a := startAgentWith(t, testSettings, b)
	a.apply(t, `{"service":{"requests":1}}`)
	first := make(chan int, 1)
	go func() {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		first <- status
	}()
	receive(t, "request", b.Got)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != statusRefused {
		t.Errorf("one more than are held: answered %d", status)
	}
	a.agent.SetAccepting(false)
	close(goOn)
	if status := receive(t, "answer", first); status != http.StatusOK {
		t.Errorf("what was taken before is answered %d", status)
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != statusRefused || controlState(t, a).Taking {
		t.Errorf("while nothing is taken: answered %d", status)
	}
	if s := controlState(t, a); s.Service.Refused != 2 || s.Service.Requests != 3 || len(s.Causes) != 1 || s.Causes[0].Count != 2 {
		t.Errorf("counted %+v, causes %+v", s.Service, s.Causes)
	}
	a.agent.SetAccepting(true)
	a.serveRequests(t, 3)
	next := newScriptedDiscovery(t, listJSON(1, true, memberJSON("z", b.Addr, "Ready", 0)))
	a.apply(t, `{"service":{"discovery":"`+next.Addr+`"}}`)
	if q := receive(t, "call to the new discovery", next.Calls); q != "" {
		t.Errorf("the first call asks %q", q)
	}
	receive(t, "watch", next.Calls)
	if s := controlState(t, a); len(s.Backends) != 1 || s.Backends[0].Name != "z" {
		t.Errorf("shown: %+v", s.Backends)
	}
	a.serveRequests(t, 3)
}

// Requests are counted by how they ended, and refusals and failures by why.
func TestCounts(t *testing.T) {
	b := newBackend(t, func(n int, _ *http.Request) (string, bool) {
		if n == 0 {
			return "", true
		}
		return okResponse, false
	})
	a := startAgentWith(t, testSettings, b)
	a.do(t, a.request("unsafe", "15000m"))
	a.serveRequests(t, 2)
	s := controlState(t, a)
	if want := (control.RequestCounts{Requests: 3, InAim: 2, Served: 2, Failed: 1}); s.Service != want {
		t.Errorf("counted %+v", s.Service)
	}
	if want := []control.FailureCause{{Answer: "failed", Class: "unsafe", Cause: "reset", Count: 1}}; !slices.Equal(s.Causes, want) {
		t.Errorf("causes %+v", s.Causes)
	}
}

// deciderFunc is a decision module of a test.
type deciderFunc func(ev policy.Event, out []policy.Action) []policy.Action

func (f deciderFunc) Handle(_ time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	return f(ev, out)
}

// A module that ends by an event does not keep the next one from hearing of it: it might be a drain.
func TestModuleThatEndsByAnEvent(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	l, err := newLoop(cfg, newBackendClient(TCP{}, &cfg.Settings, 4, 1<<20, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	heard := 0
	old := &module{retired: true, openRequests: 1, Decider: deciderFunc(func(ev policy.Event, out []policy.Action) []policy.Action {
		return append(out, policy.Action{Kind: policy.ActRefuse, Request: 7})
	})}
	l.current = &module{Decider: deciderFunc(func(ev policy.Event, out []policy.Action) []policy.Action {
		heard++
		return out
	})}
	l.modules = []*module{old, l.current}
	r := &request{module: old, call: &call{id: 7, answers: make(chan answer, 1)}}
	l.requests[r.id] = r
	l.processInput(t.Context(), input{event: policy.Event{Kind: policy.EventList, ListMode: policy.ListFull}, members: []member{{ID: "x", HostPort: "127.0.0.1:1", Phase: "Ready"}}})
	if heard != 1 || len(l.modules) != 1 || l.modules[0] != l.current || len(l.requests) != 0 {
		t.Errorf("heard %d times, %d modules and %d requests are left", heard, len(l.modules), len(l.requests))
	}
}
