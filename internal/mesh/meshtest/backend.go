package meshtest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Headers of the protocol.
const (
	tryHeader    = "Try-Id"
	leftHeader   = "Time-Left"
	targetHeader = "Target-Server"
	callerHeader = "Calling-Service"
	sealHeader   = "Server-Seal"
	notRunHeader = "Not-Run"
	serverHeader = "Server-Id"
)

const (
	healthPath = "/health"

	capacity    = 6   // requests that a backend works on at once
	queueRoom   = 2   // that wait beside
	callShare   = 0.2 // of a backend's runs that call another service
	mostAnswer  = 4 << 10
	mostRequest = 1 << 20
	longer      = 300 * time.Millisecond // a backend goes on after its drain
	callFor     = time.Second            // that an agent has to acknowledge
)

// Backend is the application beside an agent. Its lives come and go; its address stays.
type Backend struct {
	g      *Cluster
	m      *Machine
	client *http.Client // to the agents: beats, and its own calls
	heard  atomic.Bool  // an agent has acknowledged the present life

	mu   sync.Mutex
	life *life
	born int
}

// life is one process of a backend.
type life struct {
	b       *Backend
	id      string
	server  *http.Server
	slots   chan struct{}
	held    atomic.Int64
	calls   atomic.Uint64
	beating sync.Mutex // one call at a time
	leaving atomic.Bool
	// signedOff: the life has said that it ends, and beats no more; guarded by beating.
	signedOff bool
	over      context.Context
	end       context.CancelFunc
}

func newBackend(g *Cluster, m *Machine) *Backend {
	return &Backend{g: g, m: m, client: &http.Client{Transport: &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 16}}}
}

// Start begins a new life at the backend's address.
func (b *Backend) Start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life != nil {
		return fmt.Errorf("the backend of %s runs already", b.m.Name)
	}
	listener, err := listenAgain(b.m.at(appPort))
	if err != nil {
		return err
	}
	b.born++
	l := &life{b: b, id: fmt.Sprintf("%s-%s-%d", b.m.Service, b.m.Name, b.born), slots: make(chan struct{}, capacity)}
	l.over, l.end = context.WithCancel(context.Background())
	l.server = &http.Server{Handler: l, IdleTimeout: time.Minute}
	go l.server.Serve(listener)
	go l.beats()
	b.life = l
	return nil
}

// listenAgain listens at an address where a listener has just been closed. Danger: a process that is
// being started holds a copy of that listener between its fork and its exec, so the address may be in
// use for a moment more.
func listenAgain(address string) (net.Listener, error) {
	until := time.Now().Add(time.Second)
	for {
		listener, err := net.Listen("tcp4", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return listener, err
		}
		time.Sleep(time.Millisecond)
	}
}

// Crash ends the life without a word.
func (b *Backend) Crash() {
	b.mu.Lock()
	l := b.life
	b.life = nil
	b.mu.Unlock()
	if l != nil {
		b.heard.Store(false)
		l.end()
		l.server.Close()
	}
}

// Leave ends the life in order: it says that it drains, serves on for the bound and a little
// longer, signs off and ends. Between, once an agent has acknowledged the drain, it calls
// acknowledged, if that is set.
func (b *Backend) Leave(ctx context.Context, acknowledged func()) error {
	return b.Depart(ctx, Departure{Acknowledged: acknowledged})
}

// Departure is how a life ends in order.
type Departure struct {
	SignOffFirst bool          // it never says that it drains, and signs off before it serves on
	LateBeat     time.Duration // after the acknowledgement, when a beat that was begun before comes; 0: none
	LateByCore   bool          // that beat comes by way of a core machine
	ServeOn      time.Duration // after the acknowledgement; 0: the bound and a little longer
	Acknowledged func()        // called then, if it is set
}

// Depart ends the life in order.
func (b *Backend) Depart(ctx context.Context, d Departure) error {
	b.mu.Lock()
	l := b.life
	b.mu.Unlock()
	if l == nil {
		return fmt.Errorf("the backend of %s is down", b.m.Name)
	}
	l.beating.Lock() // a beat behind the call would have it listed again
	late := l.body("ready")
	l.leaving.Store(true)
	l.signedOff = d.SignOffFirst
	l.beating.Unlock()
	for !l.sayLeaving(ctx, d.SignOffFirst) { // each of which takes its time where nobody answers
		if ctx.Err() != nil {
			return fmt.Errorf("the leave of %s was not acknowledged: %w", l.id, ctx.Err())
		}
	}
	if d.LateBeat > 0 {
		timer := time.AfterFunc(d.LateBeat, func() { l.sign(l.over, http.MethodPut, late, d.LateByCore) })
		defer timer.Stop()
	}
	serveOn := d.ServeOn
	if serveOn == 0 {
		serveOn = b.g.record.story.Terms.Drain + longer
	}
	until := time.NewTimer(serveOn)
	defer until.Stop()
	if d.Acknowledged != nil {
		d.Acknowledged()
	}
	select {
	case <-until.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	l.beating.Lock()
	defer l.beating.Unlock()
	if !d.SignOffFirst {
		l.sign(ctx, http.MethodDelete, nil, false)
	}
	b.Crash()
	return nil
}

func (b *Backend) close() {
	b.Crash()
	b.client.CloseIdleConnections()
}

// beats tells of the life until it ends.
func (l *life) beats() {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		if l.beat(l.over) {
			l.b.heard.Store(true)
		}
		select {
		case <-tick.C:
		case <-l.over.Done():
			return
		}
	}
}

// beat tells of the life once, and says whether that was acknowledged.
func (l *life) beat(ctx context.Context) bool {
	l.beating.Lock()
	defer l.beating.Unlock()
	if l.over.Err() != nil || l.signedOff {
		return false
	}
	state, leaving := "ready", l.leaving.Load()
	if leaving {
		state = "draining"
	}
	ok := l.sign(ctx, http.MethodPut, l.body(state), false)
	if ok && leaving {
		l.left()
	}
	return ok
}

// sayLeaving says once that the life leaves, and says whether that was acknowledged.
func (l *life) sayLeaving(ctx context.Context, signOff bool) bool {
	if !signOff {
		return l.beat(ctx)
	}
	l.beating.Lock()
	defer l.beating.Unlock()
	ok := l.sign(ctx, http.MethodDelete, nil, false)
	if ok {
		l.left()
	}
	return ok
}

// left takes down that an agent has acknowledged that the life leaves.
func (l *life) left() {
	l.b.g.record.note(func(now time.Duration, s *Story) {
		if _, known := s.Leaves[l.id]; !known {
			s.Leaves[l.id] = now
		}
	})
}

// body is the life's next call.
func (l *life) body(state string) []byte {
	body, err := json.Marshal(map[string]any{"service": l.b.m.Service, "address": l.b.m.reached(appPort), "zone": l.b.m.Zone, "version": "v1",
		"capacity": capacity, "state": state, "warmup_left": "0ms", "call_count": l.calls.Add(1)})
	if err != nil {
		panic(err) // plain fields always encode
	}
	return body
}

// sign makes a call about the life at its own agent, and at core machines if that brings no
// acknowledgement, or only there.
func (l *life) sign(ctx context.Context, method string, body []byte, byCore bool) bool {
	machines := append([]*Machine{l.b.m}, l.b.g.Cores...)
	if byCore {
		machines = l.b.g.Cores
	}
	for _, m := range machines {
		one, cancel := context.WithTimeout(ctx, callFor)
		status, _ := call(one, l.b.client, method, "http://"+m.at(controlPort)+"/api/servers/"+l.id, body)
		cancel()
		if status/100 == 2 {
			return true
		}
	}
	return false
}

// call makes a call with a JSON body; its status is 0 if there is no whole answer.
func call(ctx context.Context, c *http.Client, method, url string, body []byte) (status int, answer []byte) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // we made the address
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(io.LimitReader(resp.Body, 8<<20)); err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// ServeHTTP does what an application backend does with a request.
func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(serverHeader, l.id)
	try := r.Header.Get(tryHeader)
	h.Set(tryHeader, try)
	turnAway := func(status int) {
		h.Set(notRunHeader, "1")
		w.WriteHeader(status)
	}
	if target := r.Header.Get(targetHeader); target != "" && target != l.id {
		turnAway(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == healthPath {
		if l.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	left, err := strconv.Atoi(r.Header.Get(leftHeader))
	if try == "" || err != nil {
		turnAway(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, mostRequest))
	if err != nil {
		return // it is not whole
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	defer l.held.Add(-1)
	if l.held.Add(1) > capacity+queueRoom {
		turnAway(http.StatusServiceUnavailable)
		return
	}
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		turnAway(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-l.slots }()
	run := &Run{Try: try, Backend: l.id, Service: l.b.m.Service, Zone: l.b.m.Zone, Machine: l.b.m.Name, Within: time.Duration(left) * time.Millisecond,
		Message: Message{Method: r.Method, Host: r.Host, URI: r.RequestURI, Caller: r.Header.Get(callerHeader), Customer: r.Header.Get(customerHeader), Body: hash(body)}}
	if r.Header.Get("Authorization") != "" {
		run.Customer = "was shown a key"
	}
	l.b.g.record.ran(run)
	status := l.work(ctx, run)
	l.b.g.record.note(func(now time.Duration, _ *Story) { run.Ended = now })
	if status == 0 { // the connection has closed, or the life is over
		l.b.g.record.note(func(time.Duration, *Story) { run.BackendEnded = l.over.Err() != nil })
		return
	}
	answer := bytes.Repeat([]byte(try), 1+rand.N(mostAnswer/max(1, len(try))))
	a := Answer{Status: status, Try: try, Seal: fmt.Sprintf("%016x", rand.Uint64()), Length: len(answer), Body: hash(answer)}
	l.b.g.record.note(func(time.Duration, *Story) { run.Answer = a })
	h.Set(sealHeader, a.Seal)
	h.Set("Content-Type", "application/octet-stream")
	w.WriteHeader(status)
	w.Write(answer)
}

// work runs a request, and returns the status of its answer, 0 for none.
func (l *life) work(ctx context.Context, r *Run) int {
	half := time.Duration(float64(l.b.g.opt.Work) * min(4, rand.ExpFloat64()) / 2)
	l.b.g.record.note(func(now time.Duration, _ *Story) { r.Due = now + 2*half })
	for i := range 2 {
		timer := time.NewTimer(half)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if context.Cause(ctx) == context.DeadlineExceeded {
				return http.StatusGatewayTimeout
			}
			return 0
		case <-l.over.Done():
			timer.Stop()
			return 0
		}
		if i == 0 && l.b.m.Service == l.b.g.services[0] && len(l.b.g.services) > 1 && rand.Float64() < callShare {
			if status := l.call(ctx, r); status/100 != 2 {
				return http.StatusInternalServerError
			}
		}
	}
	return http.StatusOK
}

// call asks another service through the agent of this machine, on behalf of a run.
func (l *life) call(ctx context.Context, parent *Run) int {
	k := kinds[innerKind]
	t := &Try{ID: parent.Try + ".1", Kind: k.kind, Machine: l.b.m.Name,
		Message: Message{Method: http.MethodGet, Host: host, URI: k.path + "of?run=1", Caller: l.b.m.Service, Customer: parent.Customer, Body: hash(nil)}}
	end, _ := ctx.Deadline()
	a, _ := l.b.g.send(ctx, l.b.client, l.b.m, t, nil, time.Until(end))
	return a.Status
}

func hash(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
