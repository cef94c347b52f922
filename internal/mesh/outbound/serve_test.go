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

// gate is one on loopback that says what it is told to. No reply closes the connection.
func gate(t *testing.T, say func(a *transport.Request, body []byte) (*transport.Reply, []byte)) string {
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
					var a transport.Request
					if c.Receive(&a) != nil {
						return
					}
					body, _ := c.ReceiveBody(a.Body, 1<<20)
					reply, out := say(&a, body)
					if ok = reply != nil; ok {
						reply.Number, reply.Body, reply.Sum = a.Number, int64(len(out)), transport.Checksum(out)
						c.Send(reply, out)
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// sender is one that knows two routes, of which one may not run twice, and the gates given.
func sender(t *testing.T, gates ...string) *Sender {
	route := `{"item_kind":"routes","metadata":{"name":"%s","version":"1"},"body":{"domain":"d","path_start":"/%[1]s/",
		"kind":"%[1]s","give_up":"5s","target_time":"4s","tries":2,"service":"s"}}`
	patch, err := meshconfig.ParsePatch(fmt.Appendf(nil, `{"add":{"items":[{"item_kind":"services","metadata":{"name":"s","version":"1"},"body":{}},
		{"item_kind":"limits","metadata":{"version":"1"},"body":{"header_bytes":16384,"body_bytes":1000,"header_wait":"3s","idle":"15s"}},%s,%s]}}`,
		fmt.Sprintf(route, "safe"), fmt.Sprintf(route, "unsafe")))
	require.NoError(t, err)
	config, _, err := meshconfig.New().Apply(patch)
	require.NoError(t, err)
	set := &bootstrap.Settings{IP: "10.0.0.1", Zone: "z", Zones: map[string]string{"z": "r"}, Service: "caller"}
	set.Bounds.RetryWindow, set.Bounds.RetryRatio, set.Bounds.ExtraTries = 10*time.Second, 0.2, 50
	links := &transport.Pool{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerGate: 8}
	s := New(set, inbound.NewHost(inbound.Rules{}, 1<<20, transport.NewByteBudget(1<<30), func() {}), links, transport.NewByteBudget(1<<30), &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	view := &View{Config: config, ConfigIndex: 1}
	for i, g := range gates {
		view.Agents = append(view.Agents, transport.StationStatus{Station: transport.Station{Agent: fmt.Sprint("10.0.1.", i), Gate: g, Zone: "z",
			Life: 1, Seq: 1, Open: true, Backend: &transport.Backend{ID: fmt.Sprint("b", i), Service: "s", Zone: "z", Capacity: 4}}})
	}
	s.SetView(view)
	return s
}

// change applies a patch to what a sender knows.
func change(s *Sender, text string) {
	patch, err := meshconfig.ParsePatch([]byte(text))
	if err != nil {
		panic(err)
	}
	view := *s.View()
	if view.Config, _, err = view.Config.Apply(patch); err != nil {
		panic(err)
	}
	s.SetView(&view)
}

func request(method, path, try string, body io.Reader) *http.Request {
	r := httptest.NewRequest(method, path, body)
	r.Host = "d"
	r.Header.Set(inbound.TryIDHeader, try)
	r.Header.Set(inbound.TimeLeftHeader, "4000")
	return r
}

// told is what gates said to one request.
type told struct {
	ran, status int // times that it ran or may have
	body        string
}

var promised = []int{408, 421, 429, 503}

// TestServe provokes TWICE, REFUSED, MIXED, UNASKED and ROUTE through gates that refuse, break off,
// and pass on backends which answer with a promise although they ran.
func TestServe(t *testing.T) {
	var mu sync.Mutex
	heard := map[string]*told{}
	r := rand.New(rand.NewPCG(1, 6))
	serve := func(n int) string {
		return gate(t, func(a *transport.Request, body []byte) (*transport.Reply, []byte) {
			mu.Lock()
			defer mu.Unlock()
			h := heard[a.Try]
			if h == nil || a.Target != fmt.Sprint("b", n) || a.Caller != "caller" || string(body) != "asked "+a.Try ||
				a.Unsafe != strings.HasPrefix(a.URI, "/unsafe/") || h.ran > 0 && !a.Repeat || a.Left >= 4*time.Second {
				panic(fmt.Sprintf("asked what was not meant: %+v", a))
			}
			k := r.IntN(20)
			if k < 4 {
				return &transport.Reply{Verdict: transport.NotRun, Reason: transport.Full, After: time.Duration(k) * 100 * time.Millisecond}, nil
			}
			if h.ran++; k == 4 {
				return &transport.Reply{Reason: transport.Broken}, nil
			} else if k == 5 {
				return nil, nil
			}
			h.status = append(promised, 500, 404, 200, 200, 200, 200, 200, 200, 200, 200)[r.IntN(14)]
			h.body = fmt.Sprint("said ", a.Try, h.ran)
			return &transport.Reply{Verdict: transport.Ran, Status: h.status, Header: []string{inbound.SealHeader, h.body}}, []byte(h.body)
		})
	}
	dead, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	dead.Close()
	s := sender(t, serve(0), serve(1), dead.Addr().String(), serve(3), serve(4))
	view, counted := s.View(), map[int]int{}
	for i := range 1500 {
		if i%20 == 0 { // with nothing learnt of gates that failed
			s = New(s.set, s.host, s.links, s.budget, s.log)
			s.SetView(view)
		}
		try, h := fmt.Sprint("t", i), &told{}
		mu.Lock()
		heard[try] = h
		mu.Unlock()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, request("POST", []string{"/safe/x", "/unsafe/x"}[i%2], try, strings.NewReader("asked "+try)))
		mu.Lock()
		counted[w.Code]++
		require.LessOrEqual(t, h.ran, 2-i%2, "TWICE, or more backends than the route's tries")
		require.False(t, i%2 == 1 && h.ran > 0 && slices.Contains(promised, w.Code), "REFUSED: it may have run")
		if w.Code/100 == 2 {
			require.Equal(t, []any{w.Code, h.body, h.body}, []any{h.status, w.Body.String(), w.Header().Get(inbound.SealHeader)}, "MIXED")
		}
		if w.Code == http.StatusServiceUnavailable {
			after, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			require.True(t, after > 0 && after <= mostAfter.Seconds())
		}
		mu.Unlock()
	}
	require.Greater(t, min(counted[200], counted[404], counted[502], counted[503]), 20, "the load provokes too few: %v", counted)
}

// TestOneRequest provokes UNASKED and DENIED: what passes unchanged, what is set whatever was sent,
// and what the sender says itself.
func TestOneRequest(t *testing.T) {
	var got transport.Request
	s := sender(t, gate(t, func(a *transport.Request, body []byte) (*transport.Reply, []byte) {
		got = *a
		return &transport.Reply{Verdict: transport.Ran, Status: 200, Header: []string{inbound.SealHeader, "seal"}}, nil
	}))
	say := func(r *http.Request) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		return w
	}
	r := request("HEAD", "/safe/%41?q=%42", "t", nil)
	for name, value := range map[string]string{inbound.CallingServiceHeader: "forged", inbound.TargetServerHeader: "forged", "X-Kept": "yes", "Cookie": "c",
		"Connection": "x-hop", "X-Hop": "no", "Te": "trailers"} {
		r.Header.Set(name, value)
	}
	w := say(r)
	require.Equal(t, 200, w.Code)
	require.Equal(t, "seal", w.Header().Get(inbound.SealHeader))
	require.Empty(t, w.Header().Get("Content-Length"), "a HEAD has no body, and its length is not known here")
	require.Equal(t, []string{"HEAD", "/safe/%41?q=%42", "d", "caller", "b0", "t"}, []string{got.Method, got.URI, got.Host, got.Caller, got.Target, got.Try})
	require.InDelta(t, 3.5, got.Left.Seconds(), 0.5-wayBack.Seconds(), "Time-Left counts down")
	require.ElementsMatch(t, []string{"X-Kept", "yes", "Cookie", "c"}, got.Header)

	got = transport.Request{}
	long := strings.Repeat("x", 1001)
	chunked := request("POST", "/safe/", "t", strings.NewReader(long))
	chunked.ContentLength = -1
	late := request("POST", "/unsafe/", "t", nil)
	late.Header.Set(inbound.TimeLeftHeader, "0")
	require.Equal(t, 404, say(request("GET", "/none/", "t", nil)).Code)
	require.Equal(t, 413, say(request("POST", "/safe/", "t", strings.NewReader(long))).Code)
	require.Equal(t, 413, say(chunked).Code)
	require.Equal(t, 503, say(late).Code)
	cut := request("POST", "/unsafe/", "t", strings.NewReader("half"))
	cut.ContentLength = 8
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { say(cut) }, "half a request has no answer")
	s = New(s.set, s.host, s.links, s.budget, s.log)
	w = say(request("GET", "/safe/", "t", nil))
	require.Equal(t, 503, w.Code, "nothing is known yet")
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Zero(t, got, "one of these reached a gate")
}

// TestTries: a copy beside one that is out counts as one of the route's tries; what did not run
// does not.
func TestTries(t *testing.T) {
	var send func() transport.Reason
	asks, copied := 0, transport.NoReason
	s := sender(t, gate(t, func(*transport.Request, []byte) (*transport.Reply, []byte) {
		if asks++; asks == 1 {
			copied = send()
		}
		return &transport.Reply{Verdict: transport.NotRun, Reason: transport.Full}, nil
	}))
	only := *s.View().Config.Route("d", "/safe/")
	only.Tries = 1
	j := &job{over: make(chan struct{}), route: &only, deadline: time.Now().Add(time.Minute)}
	to := s.chooser("s").targets[idOf("10.0.1.0")]
	send = func() transport.Reason { return s.attempt(j, policy.Action{Server: to.id}, to, 0).fail.Reason }
	require.Equal(t, transport.Full, send())
	require.Equal(t, transport.LocalShortage, copied, "sent to a second backend on a route of one try")
	require.Equal(t, transport.Full, send())
}

// TestSilent provokes MIXED: nothing more is asked where an answer is still due.
func TestSilent(t *testing.T) {
	held := make(chan bool)
	defer close(held)
	s := sender(t, gate(t, func(a *transport.Request, _ []byte) (*transport.Reply, []byte) {
		if a.Try == "100" {
			<-held
		}
		return &transport.Reply{Verdict: transport.Ran, Status: 200}, nil
	}))
	for _, left := range []string{"100", "2000"} {
		w, r := httptest.NewRecorder(), request("GET", "/unsafe/", left, nil)
		r.Header.Set(inbound.TimeLeftHeader, left)
		s.ServeHTTP(w, r)
		require.Equal(t, map[string]int{"100": 504, "2000": 200}[left], w.Code)
	}
}

// TestAges: the aim counts from a client's first try, of which each later one tells only what time it has left.
func TestAges(t *testing.T) {
	var aim time.Duration
	s := sender(t, gate(t, func(a *transport.Request, _ []byte) (*transport.Reply, []byte) {
		aim = a.Aim
		return &transport.Reply{Verdict: transport.Ran, Status: 200}, nil
	}))
	for _, c := range []struct {
		path, left string
		aim        float64
	}{{"/safe/", "3000", 4}, {"/safe/", "4000", 4}, {"/safe/", "3000", 3}, {"/safe/", "500", 0.5}, {"/unsafe/", "500", 4}} {
		r := request("GET", c.path, "t", nil)
		r.Header.Set(inbound.TimeLeftHeader, c.left)
		s.ServeHTTP(httptest.NewRecorder(), r)
		require.InDelta(t, c.aim, aim.Seconds(), 0.2, "%+v", c)
	}
	var a ages
	for i, want := range []time.Duration{0, 3, 3, 0, 0} { // what nobody has told for two generations is forgotten
		at := []time.Duration{0, generation - 1, generation, 2 * generation, 3 * generation}[i]
		require.Equal(t, want, a.of(time.Unix(0, 0).Add(at), "r", []time.Duration{5, 2, 2, 2, 2}[i]))
	}
}

// TestLeave provokes LOST: what a silent gate, or the silent backend on this machine, holds when the
// process ends is answered before, and without a promise.
func TestLeave(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // takes connections and says nothing
	require.NoError(t, err)
	defer silent.Close()
	for _, local := range []bool{false, true} {
		s := sender(t, silent.Addr().String())
		if local {
			view := *s.View()
			view.Agents[0].Station.Agent = s.set.IP
			s.host.WithGate(func(now time.Duration, g *inbound.Gate) bool {
				g.SetLife(view.Agents[0].Station.Life)
				return g.ProbeSucceeded(now, 0, transport.Backend{ID: "b0", Service: "s", Address: silent.Addr().String(), Capacity: 4, Calls: 1})
			})
			s.SetView(&view)
		}
		end := time.Now().Add(30 * time.Millisecond)
		s.BeginShutdown(ShutdownSchedule{AcceptUntil: end, DoneBy: end, GiveUp: end})
		w := httptest.NewRecorder()
		s.ServeHTTP(w, request("POST", "/unsafe/", "t", nil))
		require.Equal(t, 504, w.Code, "local: %v", local)
		require.Equal(t, "close", w.Header().Get("Connection"))
		w = httptest.NewRecorder()
		s.ServeHTTP(w, request("POST", "/unsafe/", "u", nil))
		require.Equal(t, 503, w.Code, "what comes after the end is not begun")
	}
}
