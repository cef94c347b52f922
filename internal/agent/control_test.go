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

// controlState returns what operators see of an agent.
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

// holdBackend puts a backend on hold, or ends its hold if the duration is 0. It reports whether the
// backend is known.
func (r *runningAgent) holdBackend(t *testing.T, backend string, d time.Duration) bool {
	t.Helper()
	known, err := r.agent.Hold(t.Context(), backend, d)
	if err != nil {
		t.Fatal(err)
	}
	return known
}

// applyDocument parses, checks and applies an operators' document.
func (r *runningAgent) applyDocument(t *testing.T, text string) {
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

// serveRequests makes n requests and fails the test if any is not served.
func (r *runningAgent) serveRequests(t *testing.T, n int) {
	t.Helper()
	for range n {
		if status, _ := r.do(t, r.request("unsafe", "15000m")); status != http.StatusOK {
			t.Fatalf("answered %d", status)
		}
	}
}

// A backend on hold gets no requests until the hold is ended or expires. A draining backend gets
// none, even when a hold on it is ended.
func TestHold(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	discoveryServer := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0)))
	a := startAgent(t, testConfig(t, discoveryServer.Addr, testSettings))
	if a.holdBackend(t, "nobody", time.Hour) {
		t.Error("an unknown backend was put on hold")
	}
	if !a.holdBackend(t, "x", time.Hour) {
		t.Fatal("backend x is unknown")
	}
	a.serveRequests(t, 30)
	if len(x.Got) > 0 {
		t.Errorf("%d requests sent to the backend on hold", len(x.Got))
	}
	if s := controlState(t, a); s.Backends[0].Held <= 0 || s.Backends[0].Phase != "Ready" {
		t.Errorf("shown as %+v", s.Backends[0])
	}
	a.holdBackend(t, "x", 0)
	a.serveRequests(t, 60)
	if len(x.Got) == 0 {
		t.Error("no request is sent after the end of the hold")
	}
	// A list that arrives during the hold does not end it, and a drain stays in force after the
	// hold. Lists are processed in order.
	a.holdBackend(t, "x", time.Hour)
	discoveryServer.Next <- listJSON(2, false, memberJSON("x", x.Addr, "Ready", 0))
	discoveryServer.Next <- listJSON(3, false, memberJSON("x", x.Addr, "Terminating", 0))
	for start := time.Now(); controlState(t, a).Backends[0].Phase != "Terminating"; time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal("the drain was not processed")
		}
	}
	sent := len(x.Got)
	a.holdBackend(t, "x", 0)
	a.serveRequests(t, 30)
	if n := len(x.Got) - sent; n > 0 {
		t.Errorf("%d requests sent to a draining backend after its hold", n)
	}
}

func TestHoldEndsByItself(t *testing.T) {
	x := newBackend(t, alwaysOK)
	a := startAgentWith(t, testSettings, x)
	a.holdBackend(t, "s-0", time.Millisecond)
	for start := time.Now(); len(x.Got) == 0; {
		a.do(t, a.request("unsafe", "15000m"))
		if time.Since(start) > testTimeout {
			t.Fatal("the hold did not end")
		}
	}
}

// When the decision module is replaced while requests are open, the previous module still answers
// them and is then removed.
func TestDecisionsChangeUnderTraffic(t *testing.T) {
	proceed := make(chan struct{})
	b := newBackend(t, func(n int, _ *http.Request) (string, bool) {
		if n < 5 {
			<-proceed
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
	a.applyDocument(t, `{"decisions":{"max_attempts":7,"classes":{"unsafe":{"worth":9}}}}`)
	a.serveRequests(t, 10)
	modules := func() (count, maxAttempts int) {
		if err := a.agent.loop.runInLoop(t.Context(), func() { count, maxAttempts = len(a.agent.loop.modules), a.agent.loop.moduleSettings.MaxAttempts }); err != nil {
			t.Fatal(err)
		}
		return count, maxAttempts
	}
	if count, maxAttempts := modules(); count != 2 || maxAttempts != 7 {
		t.Errorf("%d modules, at most %d attempts", count, maxAttempts)
	}
	if s := controlState(t, a); len(s.Requests) != 5 || s.Requests[0].Out != 1 {
		t.Errorf("open requests: %+v", s.Requests)
	}
	close(proceed)
	for range 5 {
		if status := receive(t, "answer", answers); status != http.StatusOK {
			t.Errorf("answered %d", status)
		}
	}
	if count, _ := modules(); count != 1 {
		t.Errorf("%d modules are left after the last answer", count)
	}
	if a.agent.Base().Module.MaxAttempts != 3 {
		t.Error("the platform's settings were modified")
	}
	a.applyDocument(t, `{}`)
	if _, maxAttempts := modules(); maxAttempts != 3 {
		t.Errorf("without a document: at most %d attempts", maxAttempts)
	}
}

// The service part of a document sets the limit of concurrent requests and the address of
// discovery. SetAccepting sets whether requests are accepted.
func TestServicePart(t *testing.T) {
	proceed := make(chan struct{})
	b := newBackend(t, func(int, *http.Request) (string, bool) {
		<-proceed
		return okResponse, false
	})
	a := startAgentWith(t, testSettings, b)
	a.applyDocument(t, `{"service":{"requests":1}}`)
	firstStatus := make(chan int, 1)
	go func() {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		firstStatus <- status
	}()
	receive(t, "request", b.Got)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != statusRefused {
		t.Errorf("above the limit of concurrent requests: answered %d", status)
	}
	a.agent.SetAccepting(false)
	close(proceed)
	if status := receive(t, "answer", firstStatus); status != http.StatusOK {
		t.Errorf("the request accepted before was answered %d", status)
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != statusRefused || controlState(t, a).Taking {
		t.Errorf("while no requests are accepted: answered %d", status)
	}
	if s := controlState(t, a); s.Service.Refused != 2 || s.Service.Requests != 3 || len(s.Causes) != 1 || s.Causes[0].Count != 2 {
		t.Errorf("counted %+v, causes %+v", s.Service, s.Causes)
	}
	a.agent.SetAccepting(true)
	a.serveRequests(t, 3)
	newServer := newScriptedDiscovery(t, listJSON(1, true, memberJSON("z", b.Addr, "Ready", 0)))
	a.applyDocument(t, `{"service":{"discovery":"`+newServer.Addr+`"}}`)
	if query := receive(t, "call to the new discovery", newServer.Calls); query != "" {
		t.Errorf("the query of the first call is %q", query)
	}
	receive(t, "watch", newServer.Calls)
	if s := controlState(t, a); len(s.Backends) != 1 || s.Backends[0].Name != "z" {
		t.Errorf("shown: %+v", s.Backends)
	}
	a.serveRequests(t, 3)
}

// Requests are counted by their result, and refusals and failures also by their cause.
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

// deciderFunc is a function that acts as the decision module in a test.
type deciderFunc func(ev policy.Event, out []policy.Action) []policy.Action

func (f deciderFunc) Handle(_ time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	return f(ev, out)
}

// If a retired module is removed while an event is handed to all modules, the remaining module must
// still get the event, which might be a drain.
func TestModuleThatEndsByAnEvent(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	eventLoop, err := newLoop(cfg, newBackendClient(TCP{}, &cfg.Settings, 4, 1<<20, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	events := 0
	retired := &module{retired: true, openRequests: 1, Decider: deciderFunc(func(ev policy.Event, out []policy.Action) []policy.Action {
		return append(out, policy.Action{Kind: policy.ActRefuse, Request: 7})
	})}
	eventLoop.current = &module{Decider: deciderFunc(func(ev policy.Event, out []policy.Action) []policy.Action {
		events++
		return out
	})}
	eventLoop.modules = []*module{retired, eventLoop.current}
	r := &request{module: retired, call: &call{id: 7, answers: make(chan answer, 1)}}
	eventLoop.requests[r.id] = r
	eventLoop.processInput(t.Context(), input{event: policy.Event{Kind: policy.EventList, ListMode: policy.ListFull}, members: []member{{ID: "x", HostPort: "127.0.0.1:1", Phase: "Ready"}}})
	if events != 1 || len(eventLoop.modules) != 1 || eventLoop.modules[0] != eventLoop.current || len(eventLoop.requests) != 0 {
		t.Errorf("%d events received, %d modules and %d requests are left", events, len(eventLoop.modules), len(eventLoop.requests))
	}
}
