package agent

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/micaline/policy"
)

// A banned backend gets no requests, even after it has left the list and returned. Two bans are
// ended by one call, after which the backend counts as just started.
func TestBanOutlivesTheList(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	discoveryServer := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0)))
	a := startAgent(t, testConfig(t, discoveryServer.Addr, testSettings))
	ban := func(id string, banned, want bool) {
		t.Helper()
		if known, err := a.agent.Ban(t.Context(), id, banned); known != want || err != nil {
			t.Fatalf("ban of %s: known %v, %v", id, known, err)
		}
	}
	ban("x", true, true)
	ban("x", true, true)
	ban("z", true, false)
	ban("z", false, false)
	discoveryServer.Next <- listJSON(2, false, `{"id":"x","phase":"Gone"}`)
	discoveryServer.Next <- listJSON(3, false, memberJSON("x", x.Addr, "Ready", 0))
	discoveryServer.Next <- listJSON(4, false, memberJSON("z", y.Addr, "Terminating", 0))
	// Once z is shown, the lists before it have been processed.
	for start := time.Now(); len(controlState(t, a).Backends) < 3; time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal("the list was not processed")
		}
	}
	a.serveRequests(t, 30)
	figures, err := a.agent.Figures(t.Context())
	if err != nil || figures.Known != 3 || figures.Excluded != 2 || figures.Attempts != 30 || figures.Classes[2].Served != 30 {
		t.Errorf("figures %+v, %v", figures, err)
	}
	if s := controlState(t, a).Backends[0]; len(x.Got) > 0 || s.HeldBy != heldByOperator {
		t.Errorf("%d requests sent to the banned backend; shown as %+v", len(x.Got), s)
	}
	ban("x", false, true)
	if s := controlState(t, a).Backends[0]; s.Warmth >= 1 || s.HeldBy != "" {
		t.Errorf("after the end of the ban it is shown as %+v", s)
	}
	for start := time.Now(); len(x.Got) == 0; a.serveRequests(t, 1) {
		if time.Since(start) > testTimeout {
			t.Fatal("no request is sent to the backend after its ban")
		}
	}
}

// A draining agent reports that it is not ready, answers the requests that still arrive, and closes
// its connections: active ones after their answer, idle ones after a while. After the drain it
// serves as before.
func TestDrainByHand(t *testing.T) {
	a := startAgentWith(t, testSettings, newBackend(t, alwaysOK))
	addr := strings.TrimPrefix(a.url, "http://")
	idle, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	idle.SetDeadline(time.Now().Add(testTimeout))
	br := bufio.NewReader(idle)
	checkReadiness := func() *http.Response {
		io.WriteString(idle, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	if resp := checkReadiness(); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("readiness: %v", resp.Status)
	}
	a.agent.SetDraining(true)
	if a.agent.Ready() {
		t.Error("the agent is ready during a drain")
	}
	if resp, err := a.client.Get(a.url + readyPath); err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("readiness during the drain: %+v, %v", resp, err)
	}
	resp, err := a.client.Do(a.request("safe", "15000m")) // on a new connection
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("a request during the drain: %+v, %v", resp, err)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection ended with %v", err)
	}
	a.agent.SetDraining(false)
	a.serveRequests(t, 3)
	if resp, err := a.client.Get(a.url + readyPath); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("readiness after the drain: %+v, %v", resp, err)
	}
}

// slowDialNetwork is a network on which each dial waits for a value from proceed.
type slowDialNetwork struct {
	TCP
	dialing chan string
	proceed chan struct{}
}

func (n *slowDialNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.dialing <- addr
	<-n.proceed
	return n.TCP.Dial(ctx, addr)
}

// A backend that is banned after it was chosen for a request, but before the request's first byte
// is sent, gets nothing. The request is sent to another backend.
func TestBanBetweenChoiceAndFirstByte(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	network := &slowDialNetwork{dialing: make(chan string, 10), proceed: make(chan struct{}, 10)}
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	eventLoop, err := newLoop(cfg, newBackendClient(network, &cfg.Settings, 8, 1<<20, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	eventLoop.send(input{event: policy.Event{Kind: policy.EventList, ListMode: policy.ListFull}, members: []member{
		{ID: "x", HostPort: x.Addr, Phase: "Ready"}, {ID: "y", HostPort: y.Addr, Phase: "Ready"},
	}})
	pending := &call{callID: "c", class: 2, deadline: eventLoop.clock.now() + testTimeout, answers: make(chan answer, 1)}
	pending.message = newMessage(http.MethodPost, "/unsafe/1", "x", http.Header{callIDHeader: {"c"}}, nil, nil)
	eventLoop.send(input{event: policy.Event{Kind: policy.EventRequest}, call: pending})
	chosen, other := x, y
	bannedID := "x"
	if receive(t, "choice", network.dialing) == y.Addr {
		chosen, other, bannedID = y, x, "y"
	}
	eventLoop.withLock(func() { eventLoop.setHold(t.Context(), bannedID, indefiniteHold, heldByOperator) })
	network.proceed <- struct{}{}
	network.proceed <- struct{}{}
	if a := receive(t, "answer", pending.answers); a.status != http.StatusOK || len(chosen.Got) != 0 || len(other.Got) != 1 {
		t.Errorf("answered %d, %d requests sent to the banned backend, %d to the other", a.status, len(chosen.Got), len(other.Got))
	}
}
