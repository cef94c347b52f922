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

// testSettings has four classes: a keyed one that all backends deduplicate, a keyed one that only
// the backends of one cell deduplicate, an unsafe one and a safe one.
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

// testTimeout bounds each wait of a test. A test that runs into it fails.
const testTimeout = 20 * time.Second

// receive returns the next value of a channel, and fails the test if none arrives in time.
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

// runningAgent is an agent under test.
type runningAgent struct {
	url    string
	stop   context.CancelFunc
	ended  chan error
	client *http.Client

	agent   *Agent
	reloads chan *Config
	calls   atomic.Int64 // requests created
}

// startAgent runs an agent and waits until it is ready, which requires a list with a backend.
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
	for start := time.Now(); time.Since(start) < testTimeout; time.Sleep(time.Millisecond) {
		resp, err := r.client.Get(r.url + readyPath)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return r
		}
	}
	t.Fatal("the agent did not become ready")
	return nil
}

// eventually waits until a condition holds, and fails the test after testTimeout.
func (r *runningAgent) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatalf("condition not met within %v: %s", testTimeout, what)
		}
	}
}

// sendPendingRequest starts an agent with a backend that answers once proceed is closed or receives
// a value, and sends it a request. The status of the answer is sent to the status channel.
func sendPendingRequest(t *testing.T) (a *runningAgent, backend *standin.Script, proceed chan struct{}, status chan int) {
	t.Helper()
	proceed, status = make(chan struct{}), make(chan int, 1)
	backend = newBackend(t, func(int, *http.Request) (string, bool) {
		<-proceed
		return okResponse, false
	})
	a = startAgentWith(t, testSettings, backend)
	go func() {
		got, _ := a.do(t, a.request("unsafe", "15000m"))
		status <- got
	}()
	return a, backend, proceed, status
}

// request creates a client's request of a class.
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

// do sends a request and returns the status and the body of its answer.
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

// alwaysOK is a script of a backend that answers each request with okResponse.
func alwaysOK(int, *http.Request) (string, bool) { return okResponse, false }

// newBackend starts a scripted backend that is closed at the end of the test.
func newBackend(t *testing.T, answer standin.Answer) *standin.Script {
	t.Helper()
	s, err := standin.NewScript(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// newScriptedDiscovery starts a scripted discovery service that is closed at the end of the test.
func newScriptedDiscovery(t *testing.T, fullList []byte) *standin.ListScript {
	t.Helper()
	l, err := standin.NewListScript(fullList)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// startAgentWith starts an agent whose list has the given backends, each in a cell of its own.
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
		t.Errorf("the backend received %s %s %q %v", got.Method, got.RequestURI, sent, got.Header)
	}
	if left, err := parseBudget(got.Header.Get(budgetHeader)); err != nil || left > 1500*time.Millisecond {
		t.Errorf("budget %v, error %v", left, err)
	}
}

// An agent that shuts down answers the requests it has accepted and those that still arrive, closes
// each connection after its answer, and ends without an error.
func TestStop(t *testing.T) {
	proceed := make(chan struct{})
	b := newBackend(t, func(int, *http.Request) (string, bool) {
		<-proceed
		return okResponse, false
	})
	a := startAgentWith(t, testSettings, b)
	answers := make(chan *http.Response, 2)
	sendRequest := func() {
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(a.request("unsafe", "15000m"))
		if err != nil {
			t.Error(err)
		}
		answers <- resp
	}
	go sendRequest()
	receive(t, "request", b.Got)
	a.stop()
	go sendRequest() // the listener still accepts
	receive(t, "request during the shutdown", b.Got)
	close(proceed)
	for range 2 {
		resp := receive(t, "answer", answers)
		if resp == nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("answered %v", resp)
		}
	}
	if err := receive(t, "end of the agent", a.ended); err != nil {
		t.Error(err)
	}
}
