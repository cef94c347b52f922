package outbound

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// startFakeGate starts a gate that replies as the function says; without a reply it closes the
// connection. It returns the address.
func startFakeGate(t *testing.T, respond func(request *transport.Request, body []byte) (*transport.Reply, []byte)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c := transport.NewConn(raw)
				defer c.Close()
				for ok := c.Receive(new(transport.Hello)) == nil; ok; {
					var request transport.Request
					if c.Receive(&request) != nil {
						return
					}
					body, _ := c.ReceiveBody(request.Body, 1<<20)
					reply, replyBody := respond(&request, body)
					if ok = reply != nil; ok {
						reply.Number, reply.Body, reply.Sum = request.Number, int64(len(replyBody)), transport.Checksum(replyBody)
						c.Send(reply, replyBody)
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// newTestSender returns a sender with the given gates and two routes, one safe and one unsafe.
func newTestSender(t *testing.T, gates ...string) *Sender {
	route := `{"item_kind":"routes","metadata":{"name":"%s","version":"1"},"body":{"domain":"d","path_start":"/%[1]s/",
		"kind":"%[1]s","give_up":"5s","target_time":"4s","tries":2,"service":"s"}}`
	patch, err := meshconfig.ParsePatch(fmt.Appendf(nil, `{"add":{"items":[{"item_kind":"services","metadata":{"name":"s","version":"1"},"body":{}},
		{"item_kind":"limits","metadata":{"version":"1"},"body":{"header_bytes":16384,"body_bytes":1000,"header_wait":"3s","idle":"15s"}},%s,%s]}}`,
		fmt.Sprintf(route, "safe"), fmt.Sprintf(route, "unsafe")))
	require.NoError(t, err)
	config, _, err := meshconfig.New().Apply(patch)
	require.NoError(t, err)
	settings := &bootstrap.Settings{IP: "10.0.0.1", Zone: "z", Zones: map[string]string{"z": "r"}, Service: "caller"}
	settings.Bounds.RetryWindow, settings.Bounds.RetryRatio, settings.Bounds.ExtraTries = 10*time.Second, 0.2, 50
	gateConns := &transport.Pool{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerGate: 8}
	s := New(settings, inbound.NewHost(inbound.Rules{}, 1<<20, transport.NewByteBudget(1<<30), func() {}), gateConns, transport.NewByteBudget(1<<30), &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	view := &View{Config: config, ConfigIndex: 1}
	for i, g := range gates {
		view.Agents = append(view.Agents, transport.StationStatus{Station: transport.Station{Agent: fmt.Sprint("10.0.1.", i), Gate: g, Zone: "z",
			Life: 1, Seq: 1, Open: true, Backend: &transport.Backend{ID: fmt.Sprint("b", i), Service: "s", Zone: "z", Capacity: 4}}})
	}
	s.SetView(view)
	return s
}

// applyPatch applies a patch to a sender's configuration.
func applyPatch(s *Sender, patchText string) {
	patch, err := meshconfig.ParsePatch([]byte(patchText))
	if err != nil {
		panic(err)
	}
	view := *s.View()
	if view.Config, _, err = view.Config.Apply(patch); err != nil {
		panic(err)
	}
	s.SetView(&view)
}

func newTestRequest(method, path, try string, body io.Reader) *http.Request {
	r := httptest.NewRequest(method, path, body)
	r.Host = "d"
	r.Header.Set(inbound.TryIDHeader, try)
	r.Header.Set(inbound.TimeLeftHeader, "4000")
	return r
}

// gateRecord is what gates replied to one request.
type gateRecord struct {
	possibleRuns, status int // possibleRuns counts runs, and breaks after which a run is possible
	body                 string
}

// notRunStatuses promise that the request did not run.
var notRunStatuses = []int{408, 421, 429, 503}

// TestServe checks the rules TWICE, REFUSED, MIXED, UNASKED and ROUTE with gates that refuse, close
// the connection, or pass on responses with a status that denies the run. The rules are those of
// meshtest.Rules.
func TestServe(t *testing.T) {
	var mu sync.Mutex
	records := map[string]*gateRecord{}
	rng := rand.New(rand.NewPCG(1, 6))
	newGate := func(n int) string {
		return startFakeGate(t, func(request *transport.Request, body []byte) (*transport.Reply, []byte) {
			mu.Lock()
			defer mu.Unlock()
			record := records[request.Try]
			if record == nil || request.Target != fmt.Sprint("b", n) || request.Caller != "caller" || string(body) != "asked "+request.Try ||
				request.Unsafe != strings.HasPrefix(request.URI, "/unsafe/") || record.possibleRuns > 0 && !request.Repeat || request.Left >= 4*time.Second {
				panic(fmt.Sprintf("unexpected request at the gate: %+v", request))
			}
			k := rng.IntN(20)
			if k < 4 {
				return &transport.Reply{Verdict: transport.NotRun, Reason: transport.Full, After: time.Duration(k) * 100 * time.Millisecond}, nil
			}
			if record.possibleRuns++; k == 4 {
				return &transport.Reply{Reason: transport.Broken}, nil
			} else if k == 5 {
				return nil, nil
			}
			record.status = append(notRunStatuses, 500, 404, 200, 200, 200, 200, 200, 200, 200, 200)[rng.IntN(14)]
			record.body = fmt.Sprint("said ", request.Try, record.possibleRuns)
			return &transport.Reply{Verdict: transport.Ran, Status: record.status, Header: []string{inbound.SealHeader, record.body}}, []byte(record.body)
		})
	}
	dead, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	dead.Close()
	s := newTestSender(t, newGate(0), newGate(1), dead.Addr().String(), newGate(3), newGate(4))
	view, statusCounts := s.View(), map[int]int{}
	for i := range 1500 {
		if i%20 == 0 { // a sender that has learnt nothing about gates that failed
			s = New(s.settings, s.localGate, s.gateConns, s.bodyBudget, s.log)
			s.SetView(view)
		}
		try, record := fmt.Sprint("t", i), &gateRecord{}
		mu.Lock()
		records[try] = record
		mu.Unlock()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, newTestRequest("POST", []string{"/safe/x", "/unsafe/x"}[i%2], try, strings.NewReader("asked "+try)))
		mu.Lock()
		statusCounts[w.Code]++
		require.LessOrEqual(t, record.possibleRuns, 2-i%2, "TWICE, or more backends than the route's tries")
		require.False(t, i%2 == 1 && record.possibleRuns > 0 && slices.Contains(notRunStatuses, w.Code), "REFUSED: it may have run")
		if w.Code/100 == 2 {
			require.Equal(t, []any{w.Code, record.body, record.body}, []any{record.status, w.Body.String(), w.Header().Get(inbound.SealHeader)}, "MIXED")
		}
		if w.Code == http.StatusServiceUnavailable {
			after, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			require.True(t, after > 0 && after <= maxRetryAfter.Seconds())
		}
		mu.Unlock()
	}
	require.Greater(t, min(statusCounts[200], statusCounts[404], statusCounts[502], statusCounts[503]), 20, "too few cases: %v", statusCounts)
}

// TestOneRequest checks the rules UNASKED and DENIED: which parts of a request are forwarded
// unchanged, which are set whatever the client sent, and what the sender itself responds.
func TestOneRequest(t *testing.T) {
	var got transport.Request
	s := newTestSender(t, startFakeGate(t, func(request *transport.Request, body []byte) (*transport.Reply, []byte) {
		got = *request
		return &transport.Reply{Verdict: transport.Ran, Status: 200, Header: []string{inbound.SealHeader, "seal"}}, nil
	}))
	serve := func(r *http.Request) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		return w
	}
	r := newTestRequest("HEAD", "/safe/%41?q=%42", "t", nil)
	for name, value := range map[string]string{inbound.CallingServiceHeader: "forged", inbound.TargetServerHeader: "forged", "X-Kept": "yes", "Cookie": "c",
		"Connection": "x-hop", "X-Hop": "no", "Te": "trailers"} {
		r.Header.Set(name, value)
	}
	w := serve(r)
	require.Equal(t, 200, w.Code)
	require.Equal(t, "seal", w.Header().Get(inbound.SealHeader))
	require.Empty(t, w.Header().Get("Content-Length"), "a response to HEAD has no body, and its length is unknown here")
	require.Equal(t, []string{"HEAD", "/safe/%41?q=%42", "d", "caller", "b0", "t"}, []string{got.Method, got.URI, got.Host, got.Caller, got.Target, got.Try})
	require.InDelta(t, 3.5, got.Left.Seconds(), 0.5-clientTransitTime.Seconds(), "Time-Left counts down")
	require.ElementsMatch(t, []string{"X-Kept", "yes", "Cookie", "c"}, got.Header)

	got = transport.Request{}
	long := strings.Repeat("x", 1001)
	chunked := newTestRequest("POST", "/safe/", "t", strings.NewReader(long))
	chunked.ContentLength = -1
	late := newTestRequest("POST", "/unsafe/", "t", nil)
	late.Header.Set(inbound.TimeLeftHeader, "0")
	require.Equal(t, 404, serve(newTestRequest("GET", "/none/", "t", nil)).Code)
	require.Equal(t, 413, serve(newTestRequest("POST", "/safe/", "t", strings.NewReader(long))).Code)
	require.Equal(t, 413, serve(chunked).Code)
	require.Equal(t, 503, serve(late).Code)
	cut := newTestRequest("POST", "/unsafe/", "t", strings.NewReader("half"))
	cut.ContentLength = 8
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { serve(cut) }, "an incomplete request gets no response")
	s = New(s.settings, s.localGate, s.gateConns, s.bodyBudget, s.log)
	w = serve(newTestRequest("GET", "/safe/", "t", nil))
	require.Equal(t, 503, w.Code, "there is no configuration yet")
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Zero(t, got, "one of these reached a gate")
}

// TestTries: a hedge counts as one of the route's tries; an attempt that did not run doesn't.
func TestTries(t *testing.T) {
	var sendOnce func() transport.Reason
	sends, hedgeReason := 0, transport.NoReason
	s := newTestSender(t, startFakeGate(t, func(*transport.Request, []byte) (*transport.Reply, []byte) {
		if sends++; sends == 1 {
			hedgeReason = sendOnce()
		}
		return &transport.Reply{Verdict: transport.NotRun, Reason: transport.Full}, nil
	}))
	singleTryRoute := *s.View().Config.Route("d", "/safe/")
	singleTryRoute.Tries = 1
	p := &pendingRequest{done: make(chan struct{}), route: &singleTryRoute, deadline: time.Now().Add(time.Minute)}
	target := s.balancer("s").targets[serverIDOf("10.0.1.0")]
	sendOnce = func() transport.Reason {
		return s.runAttempt(p, policy.Action{Server: target.id}, target, 0).failure.Reason
	}
	require.Equal(t, transport.Full, sendOnce())
	require.Equal(t, transport.LocalShortage, hedgeReason, "sent to a second backend on a route of one try")
	require.Equal(t, transport.Full, sendOnce())
}

// TestSilent checks the rule MIXED: a connection on which a reply is still outstanding is not
// reused.
func TestSilent(t *testing.T) {
	release := make(chan bool)
	defer close(release)
	s := newTestSender(t, startFakeGate(t, func(request *transport.Request, _ []byte) (*transport.Reply, []byte) {
		if request.Try == "100" {
			<-release
		}
		return &transport.Reply{Verdict: transport.Ran, Status: 200}, nil
	}))
	for _, left := range []string{"100", "2000"} {
		w, r := httptest.NewRecorder(), newTestRequest("GET", "/unsafe/", left, nil)
		r.Header.Set(inbound.TimeLeftHeader, left)
		s.ServeHTTP(w, r)
		require.Equal(t, map[string]int{"100": 504, "2000": 200}[left], w.Code)
	}
}

// TestAges: the target latency counts from a client's first try. Later tries tell of it only by
// their remaining time.
func TestAges(t *testing.T) {
	var targetLatency time.Duration
	s := newTestSender(t, startFakeGate(t, func(request *transport.Request, _ []byte) (*transport.Reply, []byte) {
		targetLatency = request.Aim
		return &transport.Reply{Verdict: transport.Ran, Status: 200}, nil
	}))
	for _, c := range []struct {
		path, statedMillis string
		wantSeconds        float64
	}{{"/safe/", "3000", 4}, {"/safe/", "4000", 4}, {"/safe/", "3000", 3}, {"/safe/", "500", 0.5}, {"/unsafe/", "500", 4}} {
		r := newTestRequest("GET", c.path, "t", nil)
		r.Header.Set(inbound.TimeLeftHeader, c.statedMillis)
		s.ServeHTTP(httptest.NewRecorder(), r)
		require.InDelta(t, c.wantSeconds, targetLatency.Seconds(), 0.2, "%+v", c)
	}
	var estimator waitEstimator
	for i, want := range []time.Duration{0, 3, 3, 0, 0} { // a time that nobody has stated for two generations is forgotten
		elapsed := []time.Duration{0, estimateGeneration - 1, estimateGeneration, 2 * estimateGeneration, 3 * estimateGeneration}[i]
		require.Equal(t, want, estimator.timeWaited(time.Unix(0, 0).Add(elapsed), "r", []time.Duration{5, 2, 2, 2, 2}[i]))
	}
}

// TestLeave checks the rule LOST: requests that a silent gate, or the silent backend on this
// machine, holds at the end of the process are answered before, and without a promise.
func TestLeave(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // accepts connections and sends nothing
	require.NoError(t, err)
	defer silent.Close()
	for _, local := range []bool{false, true} {
		s := newTestSender(t, silent.Addr().String())
		if local {
			view := *s.View()
			view.Agents[0].Station.Agent = s.settings.IP
			s.localGate.WithGate(func(now time.Duration, g *inbound.Gate) bool {
				g.SetLife(view.Agents[0].Station.Life)
				return g.ProbeSucceeded(now, 0, transport.Backend{ID: "b0", Service: "s", Address: silent.Addr().String(), Capacity: 4, Calls: 1})
			})
			s.SetView(&view)
		}
		deadline := time.Now().Add(30 * time.Millisecond)
		s.BeginShutdown(ShutdownSchedule{AcceptUntil: deadline, BackendDeadline: deadline, AnswerBy: deadline})
		w := httptest.NewRecorder()
		s.ServeHTTP(w, newTestRequest("POST", "/unsafe/", "t", nil))
		require.Equal(t, 504, w.Code, "local: %v", local)
		require.Equal(t, "close", w.Header().Get("Connection"))
		w = httptest.NewRecorder()
		s.ServeHTTP(w, newTestRequest("POST", "/unsafe/", "u", nil))
		require.Equal(t, 503, w.Code, "a request after the end must not be begun")
	}
}
