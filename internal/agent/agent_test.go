package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/micaline/internal/standin"
)

// The classes: a keyed one dropped by all, a keyed one dropped by its cell, an unsafe one and a safe one.
const testSettings = `{
 "categories":[
  {"name":"keyed","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"all","repeatWindow":30000},
  {"name":"celled","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"cell","repeatWindow":30000},
  {"name":"unsafe","aim":20000,"deadline":30000,"credit":1,"effect":"side_effect"},
  {"name":"safe","aim":20000,"deadline":30000,"credit":1,"effect":"pure"}],
 "accounts":[{"name":"acme","portion":1}],
 "localities":["a"],"skus":["m1"],"replicasOfMe":1,"rank":0,"discovery":"automatic","tick":5,
 "report":{"fields":["outstanding","recent_ms"],"how":"off"},
 "limits":{"maxAttempts":3,"cancel":true,"secondCopies":true,"connectTimeout":2000,"idleClose":30000},
 "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"extraFloor":100,"extraWindow":1000}}`

// wait bounds what a test waits for; nothing passes by it.
const testTimeout = 20 * time.Second

func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// running is an agent under test.
type runningAgent struct {
	url    string
	stop   context.CancelFunc
	ended  chan error
	client *http.Client

	agent   *Agent
	reloads chan *Config
	calls   atomic.Int64 // requests made
}

// start runs an agent and waits until it is up, which it is once it has a list that names a backend.
func startAgent(t *testing.T, cfg *Config) *runningAgent {
	t.Helper()
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningAgent{
		url: "http://" + listener.Addr().String(), stop: stop, ended: make(chan error, 1),
		client:  &http.Client{Transport: &http.Transport{}, Timeout: testTimeout},
		reloads: make(chan *Config),
	}
	if r.agent, err = New(cfg, listener, TCP{}, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	go func() { r.ended <- r.agent.Run(ctx, r.reloads) }()
	t.Cleanup(func() {
		stop()
		r.client.CloseIdleConnections()
	})
	for begun := time.Now(); time.Since(begun) < testTimeout; time.Sleep(time.Millisecond) {
		resp, err := r.client.Get(r.url + readyPath)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return r
		}
	}
	t.Fatal("the agent does not come up")
	return nil
}

// eventually waits until a condition holds, and fails if it does not within the time that a test waits for anything.
func (r *runningAgent) eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > testTimeout {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// sendHeldRequest starts an agent over a backend that answers once goOn is closed or sent to, and sends it a request; status is
// told what the client got.
func sendPendingRequest(t *testing.T) (a *runningAgent, backend *standin.Script, goOn chan struct{}, status chan int) {
	t.Helper()
	goOn, status = make(chan struct{}), make(chan int, 1)
	backend = newBackend(t, func(int, *http.Request) (string, bool) {
		<-goOn
		return okResponse, false
	})
	a = startAgentWith(t, testSettings, backend)
	go func() {
		got, _ := a.do(t, a.request("unsafe", "15000m"))
		status <- got
	}()
	return a, backend, goOn, status
}

// request makes a client's request of a class.
func (r *runningAgent) request(class string, budget string) *http.Request {
	method, body := http.MethodPost, "body of "+class
	if class == "safe" {
		method, body = http.MethodGet, ""
	}
	req, _ := http.NewRequest(method, r.url+"/"+class+"/7f%2F3a?x=1&y", strings.NewReader(body))
	req.Header.Set(callIDHeader, fmt.Sprintf("call-%d", r.calls.Add(1)))
	req.Header.Set(classHeader, class)
	req.Header.Set(tenantHeader, "acme")
	req.Header.Set(budgetHeader, budget)
	if class == "keyed" || class == "celled" {
		req.Header.Set(keyHeader, "key-1")
	}
	return req
}

func (r *runningAgent) do(t *testing.T, req *http.Request) (int, string) {
	t.Helper()
	resp, err := r.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Type: text/x-made\r\n\r\nserved"

func alwaysOK(int, *http.Request) (string, bool) { return okResponse, false }

// newBackend starts a scripted backend that ends with the test.
func newBackend(t *testing.T, answer standin.Answer) *standin.Script {
	t.Helper()
	s, err := standin.NewScript(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// newLists starts a scripted discovery that ends with the test.
func newScriptedDiscovery(t *testing.T, whole []byte) *standin.ListScript {
	t.Helper()
	l, err := standin.NewListScript(whole)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// agentFor starts an agent that knows the backends, each in a cell of its own number.
func startAgentWith(t *testing.T, settings string, backends ...*standin.Script) *runningAgent {
	t.Helper()
	var members []string
	for i, b := range backends {
		members = append(members, memberJSON(fmt.Sprintf("s-%d", i), b.Addr, "Ready", i))
	}
	l := newScriptedDiscovery(t, listJSON(1, true, members...))
	return startAgent(t, testConfig(t, l.Addr, settings))
}

func TestPassesOnUnchanged(t *testing.T) {
	b := newBackend(t, alwaysOK)
	a := startAgentWith(t, testSettings, b)
	req := a.request("keyed", "1500m")
	req.Header.Set("Traceparent", "00-1-2-01")
	resp, err := a.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != 200 || string(body) != "served" || resp.Header.Get("Content-Type") != "text/x-made" {
		t.Errorf("answer %d %q %v", resp.StatusCode, body, resp.Header)
	}
	got := receive(t, "request", b.Got)
	sent, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/keyed/7f%2F3a?x=1&y" || string(sent) != "body of keyed" ||
		got.Header.Get(callIDHeader) != "call-1" || got.Header.Get(keyHeader) != "key-1" ||
		got.Header.Get("Traceparent") != "00-1-2-01" {
		t.Errorf("the backend got %s %s %q %v", got.Method, got.RequestURI, sent, got.Header)
	}
	if left, err := parseBudget(got.Header.Get(budgetHeader)); err != nil || left > 1500*time.Millisecond {
		t.Errorf("budget %v, error %v", left, err)
	}
}

// An agent that is to stop answers what it has taken and what still comes, closes its connections behind the
// answers, and ends well.
func TestStop(t *testing.T) {
	goOn := make(chan struct{})
	b := newBackend(t, func(int, *http.Request) (string, bool) {
		<-goOn
		return okResponse, false
	})
	a := startAgentWith(t, testSettings, b)
	answers := make(chan *http.Response, 2)
	ask := func() {
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(a.request("unsafe", "15000m"))
		if err != nil {
			t.Error(err)
		}
		answers <- resp
	}
	go ask()
	receive(t, "request", b.Got)
	a.stop()
	go ask() // the listener is still open
	receive(t, "request after the signal", b.Got)
	close(goOn)
	for range 2 {
		resp := receive(t, "answer", answers)
		if resp == nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("answered %v", resp)
		}
	}
	if err := receive(t, "end", a.ended); err != nil {
		t.Error(err)
	}
}
