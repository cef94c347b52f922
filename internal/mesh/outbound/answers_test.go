package outbound

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshtest/relay"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/internal/mutation"
	"github.com/stretchr/testify/require"
)

var strideFlag = flag.Int("stride", 37, "distance in bytes between the faults on a hop; 1: a fault at every byte")

// recoveryTimeout is how long it may take, even on a busy machine, until requests succeed again
// after a fault.
const recoveryTimeout = 10 * time.Second

// backendRun is one execution of a request by a backend, and the response that it made.
type backendRun struct{ method, uri, caller, body, answer string }

// gateNode is a gate and the backend beside it. Both are reached through relays that inject faults.
type gateNode struct {
	host                  *inbound.Host
	gateLink, backendLink *relay.Link
}

// requestPath is all that a request passes, in one process: the relay to the clients, a sender, and
// two gates with their backends.
type requestPath struct {
	t          testing.TB
	sender     *Sender       // replaced for each case, so that it has learnt nothing; the connections are kept
	injectBug  func(*Sender) // plants a bug in a new sender; nil: none
	nodes      []*gateNode
	clientLink *relay.Link

	mu         sync.Mutex
	sent       map[string]clientRequest // what clients sent, by the id of the try
	runs       map[string][]backendRun  // what backends ran, by the id of the try
	violations []string                 // of the rules
	cases      int
}

// clientRequest is a request of a client.
type clientRequest struct {
	try, method, uri, body string
	chunked                bool
}

// requestKinds are the kinds of requests that are sent. The path tells the backend how to respond.
var requestKinds = []clientRequest{
	{method: "GET", uri: "/safe/length"},
	{method: "GET", uri: "/safe/chunked"},
	{method: "POST", uri: "/unsafe/length", body: "book one seat"},
	{method: "POST", uri: "/unsafe/chunked", body: "book one seat", chunked: true},
	{method: "POST", uri: "/unsafe/full", body: "book one seat"},
	{method: "PUT", uri: "/unsafe/upload", body: strings.Repeat("0123456789abcdef", maxImmediateBody/16+100)},
}

func newRequestPath(t testing.TB, injectBug func(*Sender)) *requestPath {
	p := &requestPath{t: t, injectBug: injectBug, sent: map[string]clientRequest{}, runs: map[string][]backendRun{}}
	var gates []string
	for i := range 2 {
		node := &gateNode{host: inbound.NewHost(inbound.Rules{HeartbeatInterval: time.Hour}, 1<<20, transport.NewByteBudget(1<<30), func() {})}
		node.backendLink = p.relayTo(p.listen(func(l net.Listener) { (&http.Server{Handler: http.HandlerFunc(p.serveBackend)}).Serve(l) }), uint64(i))
		node.host.WithGate(func(now time.Duration, g *inbound.Gate) bool {
			g.SetLife(1)
			return g.ProbeSucceeded(now, 0, transport.Backend{ID: fmt.Sprint("b", i), Service: "s", Zone: "z", Capacity: 64, Address: node.backendLink.Address(), Calls: 1})
		})
		node.gateLink = p.relayTo(p.listen(func(l net.Listener) { serveGate(l, node.host) }), uint64(i))
		p.nodes, gates = append(p.nodes, node), append(gates, node.gateLink.Address())
	}
	p.sender = newTestSender(t.(*testing.T), gates...)
	raiseBodyLimit(p.sender)
	p.clientLink = p.relayTo(p.listen(func(l net.Listener) { p.clientServer().Serve(l) }), 9)
	return p
}

// senderKey is the key of the sender in the context of a client's connection.
type senderKey struct{}

// clientServer serves clients. A connection belongs to the sender at the time when it is accepted,
// as it would belong to one process: a duplicated request that is read after the sender was
// replaced reaches the one that remembers its id.
func (p *requestPath) clientServer() *http.Server {
	return &http.Server{
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, senderKey{}, p.currentSender())
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Context().Value(senderKey{}).(*Sender).ServeHTTP(w, r)
		}),
	}
}

// raiseBodyLimit allows long bodies, which the other tests' configuration does not.
func raiseBodyLimit(s *Sender) {
	patch := `{"add":{"items":[{"item_kind":"limits","metadata":{"version":"2"},"body":{"header_bytes":16384,"body_bytes":1000000,"header_wait":"3s","idle":"15s"}}]}}`
	applyPatch(s, patch)
}

func (p *requestPath) listen(serve func(net.Listener)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(p.t, err)
	p.t.Cleanup(func() { l.Close() })
	go serve(l)
	return l.Addr().String()
}

func (p *requestPath) relayTo(address string, seed uint64) *relay.Link {
	l, err := relay.Listen("127.0.0.1:0", address, seed)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { l.Close() })
	return l
}

// serveGate accepts the connections of senders, as an agent does.
func serveGate(l net.Listener, h *inbound.Host) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			c := transport.NewConn(raw)
			if c.Receive(new(transport.Hello)) != nil {
				c.Close()
				return
			}
			h.Serve(c)
		}()
	}
}

func (p *requestPath) currentSender() *Sender {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sender
}

// resetSender replaces the sender by one that has learnt nothing about gates that broke.
func (p *requestPath) resetSender() {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.sender
	p.sender = New(previous.settings, previous.localGate, previous.gateConns, previous.bodyBudget, previous.log)
	p.sender.SetView(previous.View())
	if p.injectBug != nil {
		p.injectBug(p.sender)
	}
}

// serveBackend responds as a backend does.
func (p *requestPath) serveBackend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // incomplete request
	}
	try := r.Header.Get(inbound.TryIDHeader)
	w.Header().Set(inbound.TryIDHeader, try)
	if r.URL.Path == "/unsafe/full" {
		w.Header().Set(inbound.NotRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.mu.Lock()
	answer := fmt.Sprintf("answer %d to %s", len(p.runs[try]), try)
	p.runs[try] = append(p.runs[try], backendRun{r.Method, r.RequestURI, r.Header.Get(inbound.CallingServiceHeader), string(body), answer})
	p.mu.Unlock()
	w.Header().Set(inbound.SealHeader, answer)
	io.WriteString(w, answer[:5])
	if r.URL.Path == "/safe/chunked" {
		w.(http.Flusher).Flush()
	}
	io.WriteString(w, answer[5:])
}

// writeTo writes a request to a client's connection.
func (r *clientRequest) writeTo(c net.Conn, remaining time.Duration) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: d\r\n%s: %s\r\n%s: %d\r\n%s: forged\r\n", r.method, r.uri, inbound.TryIDHeader, r.try,
		inbound.TimeLeftHeader, remaining.Milliseconds(), inbound.CallingServiceHeader)
	switch {
	case r.chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 4, r.body[:4], len(r.body)-4, r.body[4:])
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	}
	_, err := c.Write(b.Bytes())
	return err
}

// sendAndCheck sends a request and checks its response against the rules. It returns the status, 0
// if there is no complete response.
func (p *requestPath) sendAndCheck(conn net.Conn, reader *bufio.Reader, request clientRequest, remaining time.Duration) int {
	if request.writeTo(conn, remaining) != nil {
		return 0
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: request.method})
	if err != nil {
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := p.runs[request.try]
	unsafe := strings.HasPrefix(request.uri, "/unsafe/")
	if resp.StatusCode/100 == 2 && !slices.ContainsFunc(runs, func(run backendRun) bool {
		return run.answer == string(body) && resp.Header.Get(inbound.SealHeader) == run.answer && resp.Header.Get(inbound.TryIDHeader) == request.try
	}) {
		p.addViolation("MIXED", request, "got %d %q, the backends' runs were %q", resp.StatusCode, body, runs)
	}
	if unsafe && promisesNotRun(resp.StatusCode) && len(runs) > 0 {
		p.addViolation("REFUSED", request, "got %d although it ran", resp.StatusCode)
	}
	return resp.StatusCode
}

func (p *requestPath) hasViolations() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.violations) > 0
}

func (p *requestPath) addViolation(rule string, request clientRequest, format string, args ...any) {
	request.body = fmt.Sprint(len(request.body), " bytes")
	p.violations = append(p.violations, fmt.Sprintf("%s: %+v: ", rule, request)+fmt.Sprintf(format, args...))
}

// checkRuns checks all runs of the backends against what clients sent.
func (p *requestPath) checkRuns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for try, runs := range p.runs {
		request, known := p.sent[try]
		for _, run := range runs {
			if !known || run.method != request.method || run.uri != request.uri || run.body != request.body || run.caller != "caller" {
				p.addViolation("UNASKED", request, "%s ran as %s %s of %s, %d bytes", try, run.method, run.uri, run.caller, len(run.body))
			}
		}
		if len(runs) > 1 && strings.HasPrefix(request.uri, "/unsafe/") {
			p.addViolation("TWICE", request, "ran %d times", len(runs))
		}
	}
}

// hop is one direction of one kind of link.
type hop struct {
	name             string
	links            []*relay.Link
	direction        relay.Direction
	injectDuplicates bool // duplicated bytes stand for a fault of the sending process, not of the network
}

func (p *requestPath) hops() []hop {
	var links, backends []*relay.Link
	for _, n := range p.nodes {
		links, backends = append(links, n.gateLink), append(backends, n.backendLink)
	}
	clients := []*relay.Link{p.clientLink}
	return []hop{
		{"from client", clients, relay.ToServer, true}, {"to client", clients, relay.ToClient, false},
		{"to gate", links, relay.ToServer, true}, {"from gate", links, relay.ToClient, true},
		{"to backend", backends, relay.ToServer, false}, {"from backend", backends, relay.ToClient, true},
	}
}

// allowsDuplicates reports whether bytes may be duplicated on the hop without changing the request.
// In a client's long body they would make it another request.
func (h *hop) allowsDuplicates(p *requestPath, kind clientRequest) bool {
	return h.injectDuplicates && (h.links[0] != p.clientLink || len(kind.body) <= maxImmediateBody)
}

// injectFault lets a fault hit what passes the hop next.
func (h *hop) injectFault(fault relay.Fault) {
	for _, l := range h.links {
		l.Next(h.direction, fault)
	}
}

// clearFaults removes faults that have hit nothing, and reports whether one has hit something.
func (h *hop) clearFaults() bool {
	triggered := false
	for _, l := range h.links {
		triggered = l.Clear() == 0 || triggered
	}
	return triggered
}

// breakHop breaks a hop at offsets that are a stride apart, once for each, under one kind of
// request, on new or reused connections. After each fault, requests must get their own responses
// again, also on the same client connection if it is still open.
func (p *requestPath) breakHop(rng *rand.Rand, h hop, kind clientRequest, fault relay.Fault, remaining time.Duration, stride int) {
	withNewID := func(request clientRequest) clientRequest {
		request.try = fmt.Sprintf("%016x", rng.Uint64())
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sent[request.try] = request
		return request
	}
	timeout := 5 * time.Second
	if fault.Action == relay.Silence && h.links[0] == p.clientLink {
		timeout = 4 * remaining // here only the client's own timeout ends the wait
	}
	for fault.After = rng.IntN(stride); !p.hasViolations(); fault.After += stride {
		p.resetSender()
		conn, err := net.Dial("tcp4", p.clientLink.Address())
		require.NoError(p.t, err)
		conn.SetDeadline(time.Now().Add(timeout))
		reader := bufio.NewReader(conn)
		if rng.IntN(2) == 0 {
			p.sendAndCheck(conn, reader, withNewID(requestKinds[0]), time.Second)
		}
		h.injectFault(fault)
		status := p.sendAndCheck(conn, reader, withNewID(kind), remaining)
		triggered := h.clearFaults()
		duplicated := fault.Action == relay.Duplicate && h.links[0] == p.clientLink // two responses are due
		if status != 0 && !duplicated {
			p.sendAndCheck(conn, reader, withNewID(requestKinds[0]), time.Second)
		}
		p.awaitRecovery(withNewID)
		conn.Close()
		p.cases++
		if !triggered || fault.Action == relay.Duplicate {
			return // the hop carries no more bytes
		}
	}
}

// awaitRecovery sends requests of new clients until they are served again. Unsafe requests may meet
// one more connection whose break was not noticed, so they are sent several times.
func (p *requestPath) awaitRecovery(withNewID func(clientRequest) clientRequest) {
	statuses := []int{}
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline) && !p.hasViolations(); {
		p.resetSender()
		conn, err := net.Dial("tcp4", p.clientLink.Address())
		require.NoError(p.t, err)
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		reader := bufio.NewReader(conn)
		first, second := p.sendAndCheck(conn, reader, withNewID(requestKinds[0]), time.Second), p.sendAndCheck(conn, reader, withNewID(requestKinds[2]), time.Second)
		conn.Close()
		if first == 200 && second == 200 {
			return
		}
		statuses = append(statuses, first, second)
	}
	if p.hasViolations() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addViolation("NOT SERVED", clientRequest{}, "after a fault: %d", statuses)
}

// allFaults are the faults injected at each offset.
var allFaults = []relay.Action{relay.Reset, relay.Truncate, relay.Duplicate}

// findViolations injects the faults on all hops under all kinds of requests, and returns the
// violations of the rules.
func findViolations(t testing.TB, seed uint64, stride int, injectBug func(*Sender), faults ...relay.Action) []string {
	p := newRequestPath(t, injectBug)
	rng := rand.New(rand.NewPCG(seed, 7))
	for _, h := range p.hops() {
		for _, kind := range requestKinds {
			hopStride := stride
			if len(kind.body) > maxImmediateBody && h.direction == relay.ToServer {
				hopStride *= 101 // most offsets in a long body are alike
			}
			for _, action := range faults {
				if action != relay.Duplicate || h.allowsDuplicates(p, kind) {
					p.breakHop(rng, h, kind, relay.Fault{Action: action}, time.Second, hopStride)
				}
			}
		}
	}
	p.checkRuns()
	p.mu.Lock() // a request that was sent twice may still be running
	defer p.mu.Unlock()
	t.Logf("%d faults, %d requests, %d ran", p.cases, len(p.sent), len(p.runs))
	return slices.Clone(p.violations)
}

// TestEveryByte breaks each hop of a request's path at offsets a stride apart, and checks what
// clients and backends saw against the rules MIXED, REFUSED, TWICE and UNASKED (see
// meshtest.Rules).
func TestEveryByte(t *testing.T) {
	require.Empty(t, findViolations(t, 1, *strideFlag, nil, allFaults...))
}

// TestSilentHops lets each hop swallow bytes until the client's time is over.
func TestSilentHops(t *testing.T) {
	for i, kind := range requestKinds {
		t.Run(kind.uri, func(t *testing.T) {
			t.Parallel()
			p := newRequestPath(t, nil)
			rng := rand.New(rand.NewPCG(uint64(i), 8))
			for _, h := range p.hops() {
				p.breakHop(rng, h, kind, relay.Fault{Action: relay.Silence}, 60*time.Millisecond, 100*(1+len(kind.body)/100))
			}
			p.checkRuns()
			require.Empty(t, p.violations)
		})
	}
}

// reuseDirtyConns plants a bug: connections are reused whatever is unread on them, and a reply
// counts as the one to the last request.
func reuseDirtyConns(s *Sender) {
	var mu sync.Mutex
	conns := map[transport.Endpoint]*transport.Conn{}
	s.sendRemote = func(p *pendingRequest, gate transport.Endpoint, request *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
		mu.Lock()
		defer mu.Unlock()
		conn := conns[gate]
		if conn == nil {
			conn, _ = transport.Dial(context.Background(), transport.UseExchange, "", gate.Address)
			conns[gate] = conn
		}
		var reply transport.Reply
		var body []byte
		request.Number, request.Sum = conn.NextExchangeNumber(), transport.Checksum(p.body)
		conn.SetDeadline(p.deadline)
		err := conn.Send(request, p.body)
		if err == nil {
			err = conn.Receive(&reply)
		}
		if err == nil {
			body, err = conn.ReceiveBody(reply.Body, maxResponseBytes)
		}
		if err != nil {
			conn.Close()
			delete(conns, gate)
			return nil, nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.Broken, Cause: err}
		}
		return &reply, body, nil
	}
}

// treatBrokenAsNotRun plants a bug: after a broken connection, a request counts as not run.
func treatBrokenAsNotRun(s *Sender) {
	sendRemote := s.sendRemote
	s.sendRemote = func(p *pendingRequest, gate transport.Endpoint, request *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
		reply, body, failure := sendRemote(p, gate, request)
		if failure != nil && failure.Reason == transport.Broken {
			failure.Verdict = transport.NotRun
		}
		return reply, body, failure
	}
}

// TestEveryByteFindsWhatIsPlanted shows that the checks of TestEveryByte detect planted bugs.
func TestEveryByteFindsWhatIsPlanted(t *testing.T) {
	const dirtyReuse, unsafeResend = "a connection with bytes unread is used again", "unsafe work is sent again after a reset"
	bugs := map[string]func(*Sender){dirtyReuse: reuseDirtyConns, unsafeResend: treatBrokenAsNotRun}
	// Faults under which the bugs show.
	faults := map[string]relay.Action{dirtyReuse: relay.Duplicate, unsafeResend: relay.Reset}
	mutation.Each(t, map[string]string{dirtyReuse: "MIXED", unsafeResend: "TWICE|REFUSED"}, 40,
		func(seed uint64, bug string) []string { return findViolations(t, seed, 60, bugs[bug], faults[bug]) })
}
