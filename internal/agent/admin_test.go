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

// A backend that is called out gets nothing, also once it has left the list and come back; called out twice, it is in by
// one call back, and is taken for one that has just started.
func TestBanOutlivesTheList(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	l := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0)))
	a := startAgent(t, testConfig(t, l.Addr, testSettings))
	ban := func(id string, out, want bool) {
		t.Helper()
		if known, err := a.agent.Ban(t.Context(), id, out); known != want || err != nil {
			t.Fatalf("ban of %s: known %v, %v", id, known, err)
		}
	}
	ban("x", true, true)
	ban("x", true, true)
	ban("z", true, false)
	ban("z", false, false)
	l.Next <- listJSON(2, false, `{"id":"x","phase":"Gone"}`)
	l.Next <- listJSON(3, false, memberJSON("x", x.Addr, "Ready", 0))
	l.Next <- listJSON(4, false, memberJSON("z", y.Addr, "Terminating", 0)) // which shows that the one before was taken
	for begun := time.Now(); len(controlState(t, a).Backends) < 3; time.Sleep(time.Millisecond) {
		if time.Since(begun) > testTimeout {
			t.Fatal("the list does not come")
		}
	}
	a.serveRequests(t, 30)
	f, err := a.agent.Figures(t.Context())
	if err != nil || f.Known != 3 || f.Excluded != 2 || f.Attempts != 30 || f.Classes[2].Served != 30 {
		t.Errorf("figures %+v, %v", f, err)
	}
	if s := controlState(t, a).Backends[0]; len(x.Got) > 0 || s.HeldBy != heldByOperator {
		t.Errorf("%d sent to who is out; shown as %+v", len(x.Got), s)
	}
	ban("x", false, true)
	if s := controlState(t, a).Backends[0]; s.Warmth >= 1 || s.HeldBy != "" {
		t.Errorf("back from a restart it is shown as %+v", s)
	}
	for begun := time.Now(); len(x.Got) == 0; a.serveRequests(t, 1) {
		if time.Since(begun) > testTimeout {
			t.Fatal("nothing is sent to who is back")
		}
	}
}

// A drained agent says no, answers what still comes and ends its connections, idle ones by themselves; when the drain
// ends it serves as before.
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
	ask := func() *http.Response {
		io.WriteString(idle, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	if resp := ask(); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("up: %v", resp.Status)
	}
	a.agent.SetDraining(true)
	if a.agent.Ready() {
		t.Error("ready while it drains")
	}
	if resp, err := a.client.Get(a.url + readyPath); err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("up while it drains: %+v, %v", resp, err)
	}
	resp, err := a.client.Do(a.request("safe", "15000m")) // on a new connection
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("a request on a drained agent: %+v, %v", resp, err)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection ends with %v", err)
	}
	a.agent.SetDraining(false)
	a.serveRequests(t, 3)
	if resp, err := a.client.Get(a.url + readyPath); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("up after the drain: %+v, %v", resp, err)
	}
}

// slowDial is a network on which connections come up when they are let.
type slowDial struct {
	TCP
	dialing chan string
	proceed chan struct{}
}

func (n *slowDial) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.dialing <- addr
	<-n.proceed
	return n.TCP.Dial(ctx, addr)
}

// A backend that is called out in the instant between the choice and the first byte gets nothing; what was to go there goes
// elsewhere.
func TestBanBetweenChoiceAndFirstByte(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	net := &slowDial{dialing: make(chan string, 10), proceed: make(chan struct{}, 10)}
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	l, err := newLoop(cfg, newBackendClient(net, &cfg.Settings, 8, 1<<20, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.send(input{event: policy.Event{Kind: policy.EventList, ListMode: policy.ListFull}, members: []member{
		{ID: "x", HostPort: x.Addr, Phase: "Ready"}, {ID: "y", HostPort: y.Addr, Phase: "Ready"},
	}})
	c := &call{callID: "c", class: 2, deadline: l.clock.now() + testTimeout, answers: make(chan answer, 1)}
	c.message = newMessage(http.MethodPost, "/unsafe/1", "x", http.Header{callIDHeader: {"c"}}, nil, nil)
	l.send(input{event: policy.Event{Kind: policy.EventRequest}, call: c})
	first, other := x, y
	out := "x"
	if receive(t, "choice", net.dialing) == y.Addr {
		first, other, out = y, x, "y"
	}
	l.withLock(func() { l.setHold(t.Context(), out, indefiniteHold, heldByOperator) })
	net.proceed <- struct{}{}
	net.proceed <- struct{}{}
	if a := receive(t, "answer", c.answers); a.status != http.StatusOK || len(first.Got) != 0 || len(other.Got) != 1 {
		t.Errorf("answered %d, %d sent to who is out, %d to the other", a.status, len(first.Got), len(other.Got))
	}
}
