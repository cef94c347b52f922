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

// eventTimeout bounds how long a test waits for an expected event on a busy machine. longWait is
// the timeout of clients, routes and backends here, so that only the client's leaving ends a run.
const (
	eventTimeout = 10 * time.Second
	longWait     = 5 * time.Minute
)

// holdingBackend is a backend that works on each request until the test releases it or its
// connection is closed.
type holdingBackend struct {
	t         *testing.T
	address   string
	arrived   chan string // tries whose runs began
	cancelled chan string // tries whose connection was closed

	mu       sync.Mutex
	releases map[string]chan struct{} // closed when the backend may respond, by try
}

func newHoldingBackend(t *testing.T) *holdingBackend {
	b := &holdingBackend{t: t, arrived: make(chan string, 1000), cancelled: make(chan string, 1000), releases: map[string]chan struct{}{}}
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	t.Cleanup(func() { b.release("") })
	b.address = server.Listener.Addr().String()
	return b
}

func (b *holdingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	try := r.Header.Get(inbound.TryIDHeader)
	b.mu.Lock()
	released := b.releases[try]
	if released == nil {
		released = make(chan struct{})
		b.releases[try] = released
	}
	b.mu.Unlock()
	b.arrived <- try
	select {
	case <-released:
	case <-r.Context().Done():
		b.cancelled <- try
		return
	}
	w.Header().Set(inbound.TryIDHeader, try)
	w.Header().Set(inbound.SealHeader, "s")
	io.WriteString(w, try)
}

// release lets the backend respond to a try, or to all that it has if the id is empty.
func (b *holdingBackend) release(try string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, c := range b.releases {
		if try == "" || id == try {
			close(c)
			delete(b.releases, id)
		}
	}
}

func (b *holdingBackend) awaitArrival(try string) { b.await(b.arrived, try, "to reach its backend") }
func (b *holdingBackend) awaitCancel(try string) {
	b.await(b.cancelled, try, "to be cancelled at its backend")
}

func (b *holdingBackend) await(events chan string, try, event string) {
	b.t.Helper()
	select {
	case got := <-events:
		require.Equal(b.t, try, got, event)
	case <-time.After(eventTimeout):
		require.Fail(b.t, "timeout", "waited for %s %s", try, event)
	}
}

// startGate starts a gate with a backend and returns it with its address.
func startGate(t *testing.T, backend *holdingBackend, id string, capacity int) (*inbound.Host, string) {
	host := inbound.NewHost(inbound.Rules{}, 1<<20, transport.NewByteBudget(1<<30), func() {})
	host.WithGate(func(now time.Duration, g *inbound.Gate) bool {
		g.SetLife(1)
		return g.ProbeSucceeded(now, 0, transport.Backend{ID: id, Service: "s", Address: backend.address, Zone: "z", Capacity: capacity, Calls: 1})
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(_ transport.Hello, c *transport.Conn) { host.Serve(c) }
	go (&transport.Server{Handlers: map[string]func(transport.Hello, *transport.Conn){transport.UseExchange: serve}}).Serve(l)
	return host, l.Addr().String()
}

// patientSender returns a sender whose routes wait longWait. targetLatency is their target_time.
func patientSender(t *testing.T, targetLatency time.Duration, gates ...string) *Sender {
	s := newTestSender(t, gates...)
	for _, kind := range []string{"safe", "unsafe"} {
		applyPatch(s, fmt.Sprintf(`{"add":{"items":[{"item_kind":"routes","metadata":{"name":"%s","version":"2"},"body":{"domain":"d","path_start":"/%[1]s/",
			"kind":"%[1]s","give_up":"300s","target_time":"%dms","tries":2,"service":"s"}}]}}`, kind, targetLatency.Milliseconds()))
	}
	return s
}

// listenFor returns the address at which clients reach a sender. Clients that connect before serve
// is called wait in the listener's queue, as they do while a process is paused.
func listenFor(t *testing.T, s *Sender) (address string, serve func()) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(s)
	t.Cleanup(func() { server.Close(); l.Close() })
	return l.Addr().String(), func() { go server.Serve(l) }
}

// serveClients serves clients of a sender right away, and returns the address.
func serveClients(t *testing.T, s *Sender) (address string) {
	address, serve := listenFor(t, s)
	serve()
	return address
}

// openRequest opens a connection and sends a request over it: "kind try".
func openRequest(t *testing.T, address, request string) *net.TCPConn {
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	writeRequest(t, c, request)
	return c.(*net.TCPConn)
}

// writeRequest sends a request over a connection: "kind try".
func writeRequest(t *testing.T, c net.Conn, request string) {
	kind, try, _ := strings.Cut(request, " ")
	body := ""
	if kind == "unsafe" {
		body = "body"
	}
	_, err := fmt.Fprintf(c, "POST /%s/ HTTP/1.1\r\nHost: d\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		kind, inbound.TryIDHeader, try, inbound.TimeLeftHeader, longWait.Milliseconds(), len(body), body)
	require.NoError(t, err)
}

// disconnects are the ways in which a client ends its connection.
var disconnects = map[string]func(*net.TCPConn){
	"closes":      func(c *net.TCPConn) { c.Close() },
	"resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
}

// allIdle returns a condition: the gates have no requests in flight.
func allIdle(hosts ...*inbound.Host) func() bool {
	return func() bool {
		for _, h := range hosts {
			if h.Outstanding() > 0 {
				return false
			}
		}
		return true
	}
}

// TestClientLeaves: safe work is cancelled at the backend once its client has left, on this machine
// and on another; unsafe work runs to its end.
func TestClientLeaves(t *testing.T) {
	for disconnectName, disconnect := range disconnects {
		for _, place := range []string{"here", "elsewhere"} {
			t.Run(disconnectName+" "+place, func(t *testing.T) {
				t.Parallel()
				backend := newHoldingBackend(t)
				host, gate := startGate(t, backend, "b0", 4)
				s := patientSender(t, 100*time.Second, gate)
				if place == "here" {
					s.localGate = host
					v := *s.View()
					v.Agents[0].Station.Agent = s.settings.IP
					s.SetView(&v)
				}
				address := serveClients(t, s)
				client := openRequest(t, address, "safe t1")
				backend.awaitArrival("t1")
				disconnect(client)
				backend.awaitCancel("t1")
				require.Eventually(t, func() bool { return allIdle(host)() && s.InFlight() == 0 }, eventTimeout, time.Millisecond, "slots are released")

				client = openRequest(t, address, "safe t2")
				backend.awaitArrival("t2")
				writeRequest(t, client, "safe t3") // the next request waits behind the one in flight
				disconnect(client)
				backend.awaitCancel("t2")

				client = openRequest(t, address, "unsafe t4")
				backend.awaitArrival("t4")
				disconnect(client)
				// By now the sender has noticed that the client left, and it remembers the id.
				repeated := openRequest(t, address, "unsafe t4")
				text, err := io.ReadAll(io.LimitReader(repeated, 12))
				require.NoError(t, err)
				require.Equal(t, "HTTP/1.1 502", string(text))
				backend.release("t4")
				require.Eventually(t, func() bool { return host.Answered.Load() == 1 }, eventTimeout, time.Millisecond, "the unsafe request must run to its end")
				require.Empty(t, backend.cancelled)
				require.Eventually(t, func() bool { return allIdle(host)() && s.InFlight() == 0 }, eventTimeout, time.Millisecond)
			})
		}
	}
}

// TestNextRequestWaits: a request that arrives while another one of the connection is in flight is
// served after it, and so is the next one. Watching the connection for a close must lose no bytes
// of a client that stays.
func TestNextRequestWaits(t *testing.T) {
	backend := newHoldingBackend(t)
	_, gate := startGate(t, backend, "b0", 4)
	s := patientSender(t, 100*time.Second, gate)
	address := serveClients(t, s)
	client := openRequest(t, address, "safe t0")
	reader := bufio.NewReader(client)
	for i := range 20 {
		try := fmt.Sprint("t", i)
		backend.awaitArrival(try)
		writeRequest(t, client, fmt.Sprintf("%s t%d", []string{"unsafe", "safe"}[i%2], i+1))
		backend.release(try)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, try, string(text))
	}
	backend.awaitArrival("t20")
	require.Empty(t, backend.cancelled)
}

// TestCloseWaitsInSocket: requests that a paused process finds in its sockets, with the client's
// close behind them, must be begun neither by the sender nor by the gate.
func TestCloseWaitsInSocket(t *testing.T) {
	backend := newHoldingBackend(t)
	host, gate := startGate(t, backend, "b0", 100)
	s := patientSender(t, 100*time.Second, gate)
	address, serve := listenFor(t, s)
	for i := range 20 {
		client := openRequest(t, address, fmt.Sprintf("%s t%d", []string{"safe", "unsafe"}[i%2], i))
		client.Close()
	}
	serve()
	ended := func() uint64 { return s.Counters.ClientLeft.Load() + s.Counters.BadRequests.Load() }
	require.Eventually(t, func() bool { return ended()+uint64(len(backend.arrived)) >= 20 }, eventTimeout, time.Millisecond)
	require.Empty(t, backend.arrived, "requests reached the backend")
	require.EqualValues(t, 20, ended())

	for i := range 20 { // exchanges whose cancellation has arrived when they are read
		near, far := net.Pipe()
		c := transport.NewConn(&delayedWriteConn{Conn: far})
		go func() {
			defer far.Close()
			request := transport.Request{Number: 1, Life: 1, Try: fmt.Sprint("u", i), Target: "b0", Method: "GET", URI: "/", Host: "d",
				Unsafe: i%2 == 0, Left: longWait, Aim: time.Second, Patient: time.Second}
			c.Send(&request, nil)
			c.Send(&transport.Request{Number: 1, Cancel: true}, nil)
			var reply transport.Reply
			assert.NoError(t, c.Receive(&reply))
			assert.Equal(t, transport.NotRun, reply.Verdict)
			assert.Equal(t, transport.Cancelled, reply.Reason)
		}()
		host.Serve(transport.NewConn(near))
	}
	require.Eventually(t, allIdle(host), eventTimeout, time.Millisecond)
	require.Empty(t, backend.arrived)
}

// delayedWriteConn is a connection whose first write is sent together with the second, like bytes
// that wait in a socket.
type delayedWriteConn struct {
	net.Conn
	first []byte
}

func (c *delayedWriteConn) Write(b []byte) (int, error) {
	if c.first == nil {
		c.first = slices.Clone(b)
		return len(b), nil
	}
	_, err := c.Conn.Write(append(c.first, b...))
	return len(b), err
}

// TestLeavesTheQueue: a request that queues at a gate for a slot takes none once its client has
// left.
func TestLeavesTheQueue(t *testing.T) {
	backend := newHoldingBackend(t)
	host, gate := startGate(t, backend, "b0", 1)
	s := patientSender(t, 100*time.Second, gate)
	address := serveClients(t, s)
	openRequest(t, address, "safe first")
	backend.awaitArrival("first")
	for _, kind := range []string{"safe", "unsafe"} {
		client := openRequest(t, address, kind+" "+kind)
		require.Eventually(t, func() bool { return host.Outstanding() == 2 }, eventTimeout, time.Millisecond, "the request must queue")
		client.Close()
		require.Eventually(t, func() bool { return host.Outstanding() == 1 }, eventTimeout, time.Millisecond, "the request must leave the queue")
	}
	backend.release("first")
	openRequest(t, address, "safe last")
	backend.awaitArrival("last")
	backend.release("last")
	require.Eventually(t, func() bool { return allIdle(host)() && s.InFlight() == 0 }, eventTimeout, time.Millisecond)
}

// TestNothingIsSentAnew: a hedge that is due after the client has left is not sent.
func TestNothingIsSentAnew(t *testing.T) {
	backend := newHoldingBackend(t)
	_, gateOne := startGate(t, backend, "b0", 4)
	_, gateTwo := startGate(t, backend, "b1", 4)
	s := patientSender(t, 400*time.Millisecond, gateOne, gateTwo)
	address := serveClients(t, s)
	client := openRequest(t, address, "safe t1")
	backend.awaitArrival("t1")
	client.Close()
	backend.awaitCancel("t1")
	require.Eventually(t, func() bool { return s.InFlight() == 0 }, eventTimeout, time.Millisecond)
	openRequest(t, address, "safe t2") // by the time of its hedge, the first request's would have come
	backend.awaitArrival("t2")
	backend.awaitArrival("t2")
	require.Empty(t, backend.arrived)
}

// TestLoserOfTwoCopies: once one of two attempts has brought the answer, the other one is
// cancelled.
func TestLoserOfTwoCopies(t *testing.T) {
	slow, quick := newHoldingBackend(t), newHoldingBackend(t)
	slowHost, slowGate := startGate(t, slow, "b0", 4)
	quickHost, quickGate := startGate(t, quick, "b1", 4)
	s := patientSender(t, 400*time.Millisecond, slowGate, quickGate)
	address := serveClients(t, s)
	openRequest(t, address, "safe t1")
	slow.awaitArrival("t1")
	quick.awaitArrival("t1")
	quick.release("t1")
	slow.awaitCancel("t1")
	require.Eventually(t, allIdle(slowHost, quickHost), eventTimeout, time.Millisecond)
}

// TestSenderEnds: a process that ends leaves no safe work behind at the backends.
func TestSenderEnds(t *testing.T) {
	backend := newHoldingBackend(t)
	host, gate := startGate(t, backend, "b0", 4)
	s := patientSender(t, 100*time.Second, gate)
	address := serveClients(t, s)
	client := openRequest(t, address, "safe t1")
	backend.awaitArrival("t1")
	now := time.Now()
	s.BeginShutdown(ShutdownSchedule{AcceptUntil: now, BackendDeadline: now, AnswerBy: now})
	backend.awaitCancel("t1")
	text, err := io.ReadAll(io.LimitReader(client, 12))
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 503", string(text), "safe work must be refused with a Retry-After")
	require.Eventually(t, allIdle(host), eventTimeout, time.Millisecond)
}

// TestTreeOfCalls: the requests that a backend makes through its own agent end with the run that
// made them, at each level.
func TestTreeOfCalls(t *testing.T) {
	const depth = 17
	last := newHoldingBackend(t)
	host, gate := startGate(t, last, "b0", 4)
	hosts := []*inbound.Host{host}
	s := patientSender(t, 100*time.Second, gate)
	address := serveClients(t, s)
	for range depth {
		nextAddress := address
		caller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			call, _ := http.NewRequestWithContext(r.Context(), "GET", "http://"+nextAddress+"/safe/", nil)
			call.Host = "d"
			call.Header.Set(inbound.TryIDHeader, r.Header.Get(inbound.TryIDHeader)+".1")
			call.Header.Set(inbound.TimeLeftHeader, r.Header.Get(inbound.TimeLeftHeader))
			if resp, err := http.DefaultTransport.RoundTrip(call); err == nil {
				resp.Body.Close()
			}
		}))
		t.Cleanup(caller.Close)
		host, gate := startGate(t, &holdingBackend{address: caller.Listener.Addr().String()}, "b0", 4)
		hosts = append(hosts, host)
		s := patientSender(t, 100*time.Second, gate)
		address = serveClients(t, s)
	}
	client := openRequest(t, address, "safe t")
	try := "t" + strings.Repeat(".1", depth)
	last.awaitArrival(try)
	client.Close()
	last.awaitCancel(try)
	require.Eventually(t, allIdle(hosts...), eventTimeout, time.Millisecond)
}

// TestLeavesAtAnyMoment has clients leave at random moments around the time of their response.
// Clients that stay must get their own response, nothing may be left behind, and the connections to
// gates must be kept.
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
		host, gate := startGate(t, &holdingBackend{address: backend.Listener.Addr().String()}, fmt.Sprint("b", i), 3)
		hosts, gates = append(hosts, host), append(gates, gate)
	}
	s := patientSender(t, time.Second, gates...)
	address := serveClients(t, s)
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			for i := range 100 {
				kind, try := []string{"safe", "unsafe"}[rand.N(2)], fmt.Sprintf("c%d-%d", n, i)
				client := openRequest(t, address, kind+" "+try)
				if rand.N(3) > 0 {
					client.SetReadDeadline(time.Now().Add(rand.N(3 * time.Millisecond)))
				}
				text, _ := io.ReadAll(io.LimitReader(client, 12))
				client.Close()
				if len(text) == 12 && !strings.HasPrefix(string(text), "HTTP/1.1 200") && !strings.HasPrefix(string(text), "HTTP/1.1 503") {
					t.Errorf("%s %s got %q", kind, try, text)
				}
			}
		})
	}
	clients.Wait()
	require.Eventually(t, func() bool { return allIdle(hosts...)() && s.InFlight() == 0 }, eventTimeout, time.Millisecond)
	open, opened := s.gateConns.Counts()
	require.Less(t, opened, uint64(200), "a connection is opened for each client that leaves")
	require.LessOrEqual(t, open, 2*s.gateConns.MaxIdlePerGate)
}
