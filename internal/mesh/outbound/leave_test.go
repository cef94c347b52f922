package outbound

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// soon bounds how long a test waits for what must happen, on a machine that is busy; patiently is how
// long clients, routes and backends wait here, so that nothing but the client's leave ends a run.
const (
	soon      = 10 * time.Second
	patiently = 5 * time.Minute
)

// holdingBackend is a backend that works on each request until it is told to answer, or until its
// connection has closed.
type holdingBackend struct {
	t       *testing.T
	address string
	arrived chan string // tries that it began
	dropped chan string // of these, those whose connection closed

	mu      sync.Mutex
	answers map[string]chan struct{}
}

func newHoldingBackend(t *testing.T) *holdingBackend {
	b := &holdingBackend{t: t, arrived: make(chan string, 1000), dropped: make(chan string, 1000), answers: map[string]chan struct{}{}}
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	t.Cleanup(func() { b.answer("") })
	b.address = server.Listener.Addr().String()
	return b
}

func (b *holdingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	try := r.Header.Get(inbound.TryIDHeader)
	b.mu.Lock()
	answer := b.answers[try]
	if answer == nil {
		answer = make(chan struct{})
		b.answers[try] = answer
	}
	b.mu.Unlock()
	b.arrived <- try
	select {
	case <-answer:
	case <-r.Context().Done():
		b.dropped <- try
		return
	}
	w.Header().Set(inbound.TryIDHeader, try)
	w.Header().Set(inbound.SealHeader, "s")
	io.WriteString(w, try)
}

// answer lets the backend answer a try; an empty one stands for all that it has.
func (b *holdingBackend) answer(try string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, c := range b.answers {
		if try == "" || id == try {
			close(c)
			delete(b.answers, id)
		}
	}
}

func (b *holdingBackend) awaitArrival(try string) { b.await(b.arrived, try, "reaches its backend") }
func (b *holdingBackend) awaitDrop(try string)    { b.await(b.dropped, try, "is no longer worked on") }

func (b *holdingBackend) await(from chan string, try, what string) {
	b.t.Helper()
	select {
	case got := <-from:
		require.Equal(b.t, try, got, what)
	case <-time.After(soon):
		require.Fail(b.t, "never", "%s %s", try, what)
	}
}

// gateOf is a gate beside a backend, as others reach it.
func gateOf(t *testing.T, b *holdingBackend, id string, capacity int) (*inbound.Host, string) {
	host := inbound.NewHost(inbound.Rules{}, 1<<20, transport.NewByteBudget(1<<30), func() {})
	host.WithGate(func(now time.Duration, g *inbound.Gate) bool {
		g.SetLife(1)
		return g.ProbeSucceeded(now, 0, transport.Backend{ID: id, Service: "s", Address: b.address, Zone: "z", Capacity: capacity, Calls: 1})
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(_ transport.Hello, c *transport.Conn) { host.Serve(c) }
	go (&transport.Server{Handlers: map[string]func(transport.Hello, *transport.Conn){transport.UseExchange: serve}}).Serve(l)
	return host, l.Addr().String()
}

// patientSender is a sender whose routes wait patiently; target is their target_time.
func patientSender(t *testing.T, target time.Duration, gates ...string) *Sender {
	s := sender(t, gates...)
	for _, kind := range []string{"safe", "unsafe"} {
		change(s, fmt.Sprintf(`{"add":{"items":[{"item_kind":"routes","metadata":{"name":"%s","version":"2"},"body":{"domain":"d","path_start":"/%[1]s/",
			"kind":"%[1]s","give_up":"300s","target_time":"%dms","tries":2,"service":"s"}}]}}`, kind, target.Milliseconds()))
	}
	return s
}

// listenFor serves clients of a sender and returns its address. Those that connect before serve is
// called wait in the listener's queue, as they do while a process stands still.
func listenFor(t *testing.T, s *Sender) (address string, serve func()) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(s)
	t.Cleanup(func() { server.Close(); l.Close() })
	return l.Addr().String(), func() { go server.Serve(l) }
}

// serveClients serves clients of a sender at once.
func serveClients(t *testing.T, s *Sender) (address string) {
	address, serve := listenFor(t, s)
	serve()
	return address
}

// ask opens a connection and sends a request over it, "kind try".
func ask(t *testing.T, address, request string) *net.TCPConn {
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	send(t, c, request)
	return c.(*net.TCPConn)
}

func send(t *testing.T, c net.Conn, request string) {
	kind, try, _ := strings.Cut(request, " ")
	body := ""
	if kind == "unsafe" {
		body = "body"
	}
	_, err := fmt.Fprintf(c, "POST /%s/ HTTP/1.1\r\nHost: d\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		kind, inbound.TryIDHeader, try, inbound.TimeLeftHeader, patiently.Milliseconds(), len(body), body)
	require.NoError(t, err)
}

// leaves are the ways in which a client's connection ends.
var leaves = map[string]func(*net.TCPConn){
	"closes":      func(c *net.TCPConn) { c.Close() },
	"resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
}

// idle says whether gates hold nothing.
func idle(hosts ...*inbound.Host) func() bool {
	return func() bool {
		for _, h := range hosts {
			if h.Outstanding() > 0 {
				return false
			}
		}
		return true
	}
}

// TestClientLeaves: work that may be repeated ends at the backend once its client has left, on this
// machine and on another; other work runs to its end.
func TestClientLeaves(t *testing.T) {
	for way, leave := range leaves {
		for _, place := range []string{"here", "elsewhere"} {
			t.Run(way+" "+place, func(t *testing.T) {
				t.Parallel()
				b := newHoldingBackend(t)
				host, gate := gateOf(t, b, "b0", 4)
				s := patientSender(t, 100*time.Second, gate)
				if place == "here" {
					s.host = host
					v := *s.View()
					v.Agents[0].Station.Agent = s.set.IP
					s.SetView(&v)
				}
				address := serveClients(t, s)
				c := ask(t, address, "safe t1")
				b.awaitArrival("t1")
				leave(c)
				b.awaitDrop("t1")
				require.Eventually(t, func() bool { return idle(host)() && s.InFlight() == 0 }, soon, time.Millisecond, "slots are given back")

				c = ask(t, address, "safe t2")
				b.awaitArrival("t2")
				send(t, c, "safe t3") // the next request waits behind the one that is worked on
				leave(c)
				b.awaitDrop("t2")

				c = ask(t, address, "unsafe t4")
				b.awaitArrival("t4")
				leave(c)
				again := ask(t, address, "unsafe t4") // by now the leave has long been seen, and the id is remembered
				text, err := io.ReadAll(io.LimitReader(again, 12))
				require.NoError(t, err)
				require.Equal(t, "HTTP/1.1 502", string(text))
				b.answer("t4")
				require.Eventually(t, func() bool { return host.Answered.Load() == 1 }, soon, time.Millisecond, "it runs to its end")
				require.Empty(t, b.dropped)
				require.Eventually(t, func() bool { return idle(host)() && s.InFlight() == 0 }, soon, time.Millisecond)
			})
		}
	}
}

// TestNextRequestWaits: a request that comes while one is worked on is served after it, and so is the
// one after that; who stays loses nothing by being watched.
func TestNextRequestWaits(t *testing.T) {
	b := newHoldingBackend(t)
	_, gate := gateOf(t, b, "b0", 4)
	s := patientSender(t, 100*time.Second, gate)
	address := serveClients(t, s)
	c := ask(t, address, "safe t0")
	answers := bufio.NewReader(c)
	for i := range 20 {
		try := fmt.Sprint("t", i)
		b.awaitArrival(try)
		send(t, c, fmt.Sprintf("%s t%d", []string{"unsafe", "safe"}[i%2], i+1))
		b.answer(try)
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, try, string(text))
	}
	b.awaitArrival("t20")
	require.Empty(t, b.dropped)
}

// TestCloseWaitsInSocket: what a process that stood still finds in its sockets with the close behind
// it is not begun, by the sender or by the gate.
func TestCloseWaitsInSocket(t *testing.T) {
	b := newHoldingBackend(t)
	host, gate := gateOf(t, b, "b0", 100)
	s := patientSender(t, 100*time.Second, gate)
	address, serve := listenFor(t, s)
	for i := range 20 {
		c := ask(t, address, fmt.Sprintf("%s t%d", []string{"safe", "unsafe"}[i%2], i))
		c.Close()
	}
	serve()
	ended := func() uint64 { return s.Count.Left.Load() + s.Count.Bad.Load() }
	require.Eventually(t, func() bool { return ended()+uint64(len(b.arrived)) >= 20 }, soon, time.Millisecond)
	require.Empty(t, b.arrived, "requests reached the backend")
	require.EqualValues(t, 20, ended())

	for i := range 20 { // an exchange that was cancelled when it is read
		near, far := net.Pipe()
		c := transport.NewConn(&heldBack{Conn: far})
		go func() {
			defer far.Close()
			ask := transport.Request{Number: 1, Life: 1, Try: fmt.Sprint("u", i), Target: "b0", Method: "GET", URI: "/", Host: "d",
				Unsafe: i%2 == 0, Left: patiently, Aim: time.Second, Patient: time.Second}
			c.Send(&ask, nil)
			c.Send(&transport.Request{Number: 1, Cancel: true}, nil)
			var reply transport.Reply
			assert.NoError(t, c.Receive(&reply))
			assert.Equal(t, transport.NotRun, reply.Verdict)
			assert.Equal(t, transport.Cancelled, reply.Reason)
		}()
		host.Serve(transport.NewConn(near))
	}
	require.Eventually(t, idle(host), soon, time.Millisecond)
	require.Empty(t, b.arrived)
}

// heldBack is a connection whose first write goes out with the second, as what waits in a socket
// does.
type heldBack struct {
	net.Conn
	first []byte
}

func (c *heldBack) Write(b []byte) (int, error) {
	if c.first == nil {
		c.first = slices.Clone(b)
		return len(b), nil
	}
	_, err := c.Conn.Write(append(c.first, b...))
	return len(b), err
}

// TestLeavesTheQueue: a request that waits at a gate for a slot takes none once its client has left.
func TestLeavesTheQueue(t *testing.T) {
	b := newHoldingBackend(t)
	host, gate := gateOf(t, b, "b0", 1)
	s := patientSender(t, 100*time.Second, gate)
	address := serveClients(t, s)
	ask(t, address, "safe first")
	b.awaitArrival("first")
	for _, kind := range []string{"safe", "unsafe"} {
		c := ask(t, address, kind+" "+kind)
		require.Eventually(t, func() bool { return host.Outstanding() == 2 }, soon, time.Millisecond, "it waits")
		c.Close()
		require.Eventually(t, func() bool { return host.Outstanding() == 1 }, soon, time.Millisecond, "it waits no more")
	}
	b.answer("first")
	ask(t, address, "safe last")
	b.awaitArrival("last")
	b.answer("last")
	require.Eventually(t, func() bool { return idle(host)() && s.InFlight() == 0 }, soon, time.Millisecond)
}

// TestNothingIsSentAnew: a copy that falls due after its client has left is not sent.
func TestNothingIsSentAnew(t *testing.T) {
	b := newHoldingBackend(t)
	_, one := gateOf(t, b, "b0", 4)
	_, two := gateOf(t, b, "b1", 4)
	s := patientSender(t, 400*time.Millisecond, one, two)
	address := serveClients(t, s)
	c := ask(t, address, "safe t1")
	b.awaitArrival("t1")
	c.Close()
	b.awaitDrop("t1")
	require.Eventually(t, func() bool { return s.InFlight() == 0 }, soon, time.Millisecond)
	ask(t, address, "safe t2") // whose copy comes: by then that of the first would have come
	b.awaitArrival("t2")
	b.awaitArrival("t2")
	require.Empty(t, b.arrived)
}

// TestLoserOfTwoCopies: the attempt that is still out when another has brought the answer ends.
func TestLoserOfTwoCopies(t *testing.T) {
	slow, quick := newHoldingBackend(t), newHoldingBackend(t)
	one, gateOne := gateOf(t, slow, "b0", 4)
	two, gateTwo := gateOf(t, quick, "b1", 4)
	s := patientSender(t, 400*time.Millisecond, gateOne, gateTwo)
	address := serveClients(t, s)
	ask(t, address, "safe t1")
	slow.awaitArrival("t1")
	quick.awaitArrival("t1")
	quick.answer("t1")
	slow.awaitDrop("t1")
	require.Eventually(t, idle(one, two), soon, time.Millisecond)
}

// TestSenderEnds: a process that ends, in order or not, leaves no work behind that may be repeated.
func TestSenderEnds(t *testing.T) {
	b := newHoldingBackend(t)
	host, gate := gateOf(t, b, "b0", 4)
	s := patientSender(t, 100*time.Second, gate)
	address := serveClients(t, s)
	c := ask(t, address, "safe t1")
	b.awaitArrival("t1")
	now := time.Now()
	s.BeginShutdown(ShutdownSchedule{AcceptUntil: now, DoneBy: now, GiveUp: now})
	b.awaitDrop("t1")
	text, err := io.ReadAll(io.LimitReader(c, 12))
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 503", string(text), "work that may be repeated is told to come back")
	require.Eventually(t, idle(host), soon, time.Millisecond)
}

// TestTreeOfCalls: what a backend calls through its own agent ends with the run that called it, at
// each level.
func TestTreeOfCalls(t *testing.T) {
	const depth = 17
	last := newHoldingBackend(t)
	host, gate := gateOf(t, last, "b0", 4)
	hosts := []*inbound.Host{host}
	s := patientSender(t, 100*time.Second, gate)
	address := serveClients(t, s)
	for range depth {
		next := address
		caller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			call, _ := http.NewRequestWithContext(r.Context(), "GET", "http://"+next+"/safe/", nil)
			call.Host = "d"
			call.Header.Set(inbound.TryIDHeader, r.Header.Get(inbound.TryIDHeader)+".1")
			call.Header.Set(inbound.TimeLeftHeader, r.Header.Get(inbound.TimeLeftHeader))
			if resp, err := http.DefaultTransport.RoundTrip(call); err == nil {
				resp.Body.Close()
			}
		}))
		t.Cleanup(caller.Close)
		host, gate := gateOf(t, &holdingBackend{address: caller.Listener.Addr().String()}, "b0", 4)
		hosts = append(hosts, host)
		s := patientSender(t, 100*time.Second, gate)
		address = serveClients(t, s)
	}
	c := ask(t, address, "safe t")
	try := "t" + strings.Repeat(".1", depth)
	last.awaitArrival(try)
	c.Close()
	last.awaitDrop(try)
	require.Eventually(t, idle(hosts...), soon, time.Millisecond)
}

// TestLeavesAtAnyMoment has clients leave at random moments, about when their answers come. What
// stays gets its own answer, nothing is left behind, and links to gates last.
func TestLeavesAtAnyMoment(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		try := r.Header.Get(inbound.TryIDHeader)
		timer := time.NewTimer(rand.N(2 * time.Millisecond))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		w.Header().Set(inbound.TryIDHeader, try)
		w.Header().Set(inbound.SealHeader, "s")
		io.WriteString(w, try)
	}))
	t.Cleanup(backend.Close)
	var hosts []*inbound.Host
	var gates []string
	for i := range 2 {
		host, gate := gateOf(t, &holdingBackend{address: backend.Listener.Addr().String()}, fmt.Sprint("b", i), 3)
		hosts, gates = append(hosts, host), append(gates, gate)
	}
	s := patientSender(t, time.Second, gates...)
	address := serveClients(t, s)
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			for i := range 100 {
				kind, try := []string{"safe", "unsafe"}[rand.N(2)], fmt.Sprintf("c%d-%d", n, i)
				c := ask(t, address, kind+" "+try)
				if rand.N(3) > 0 {
					c.SetReadDeadline(time.Now().Add(rand.N(3 * time.Millisecond)))
				}
				text, _ := io.ReadAll(io.LimitReader(c, 12))
				c.Close()
				if len(text) == 12 && !strings.HasPrefix(string(text), "HTTP/1.1 200") && !strings.HasPrefix(string(text), "HTTP/1.1 503") {
					t.Errorf("%s %s got %q", kind, try, text)
				}
			}
		})
	}
	clients.Wait()
	require.Eventually(t, func() bool { return idle(hosts...)() && s.InFlight() == 0 }, soon, time.Millisecond)
	open, made := s.links.Counts()
	require.Less(t, made, uint64(200), "links are made anew for each that leaves")
	require.LessOrEqual(t, open, 2*s.links.MaxIdlePerGate)
}
