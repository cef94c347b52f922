package inbound

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/connpool"
	"example.org/micaline/internal/mesh/flightrecorder"
	"example.org/micaline/internal/mesh/transport"
)

// run is a request that the backend has in work.
type run struct {
	repeat bool
	failed bool // a call of its own brought no success
}

const (
	mostConns = 1024            // to the backend: far above what any takes at once
	idleClose = 9 * time.Second // backends close what is idle for ten, and some sooner
)

// lanes is how many long bodies come at once: as many as keep the link busy, and no more of its time than laneTime queued.
func lanes(linkBps float64) int {
	if linkBps <= 0 {
		return mostLanes
	}
	return int(min(mostLanes, max(1, linkBps/8*laneTime.Seconds()/laneWindow)))
}

const (
	mostLanes  = 64
	laneTime   = 20 * time.Millisecond
	laneWindow = 64 << 10 // bytes that one connection has on its way
)

// roomAgain is when there may be room for a body again: bodies are held for about so long.
const roomAgain = 250 * time.Millisecond

// Host runs a Gate: it serves exchanges and hands over to the backend over connections of its own.
type Host struct {
	pool       *connpool.Pool
	mostAnswer int64
	mostBody   int64
	room       *transport.Room // for bodies
	lane       chan struct{}   // long bodies on their way
	began      time.Time
	news       func() // others should hear of the backend; called without the lock

	mu       sync.Mutex
	gate     *Gate
	target   *connpool.Target // the life of the backend that targetID names
	targetID string
	runs     map[string]*run // what the backend has in work, by try

	Ways flightrecorder.Ring // of what was refused or broke here

	// Counters.
	Handed, Answered, Failed atomic.Uint64
	open                     atomic.Bool
}

// NewHost returns a host whose backend has not been heard.
func NewHost(r Rules, mostBody int64, room *transport.Room, news func()) *Host {
	h := &Host{room: room, began: time.Now(), mostAnswer: mostBody, mostBody: mostBody, news: news, runs: map[string]*run{}}
	h.gate = New(0, r)
	h.lane = make(chan struct{}, lanes(r.LinkBps))
	h.pool = connpool.New(connpool.Options{Network: connpool.TCP{}, ConnectTimeout: time.Second, IdleClose: idleClose, Most: mostConns})
	h.open.Store(true)
	return h
}

func (h *Host) now() time.Duration { return time.Since(h.began) }

// With runs a function on the gate; if it says so, others hear of the backend.
func (h *Host) With(f func(now time.Duration, g *Gate) (news bool)) {
	h.mu.Lock()
	news := f(h.now(), h.gate)
	h.mu.Unlock()
	if news {
		h.news()
	}
}

// Serve takes requests off a connection, one at a time, until it ends. They are numbered one after
// the other; what comes out of turn is none that the sender has sent, so the connection ends.
func (h *Host) Serve(c *transport.Conn) {
	defer c.Close()
	for number := uint64(1); ; number++ {
		var ask transport.Ask
		if err := c.Receive(&ask); err != nil || ask.Number != number {
			return
		}
		if !h.serve(c, &ask) {
			return
		}
	}
}

// serve carries out one exchange, and says whether the connection may carry another.
func (h *Host) serve(c *transport.Conn, ask *transport.Ask) bool {
	if f := h.coming(ask); f != nil {
		h.note(ask, f, 0, 0)
		r := h.reply(f)
		r.Number = ask.Number
		return c.Send(r, nil) == nil
	}
	defer h.room.Free(ask.Body)
	body, err := h.receive(c, ask)
	h.came(ask)
	if err != nil {
		return false
	}
	reply, out := h.Handle(ask, body)
	reply.Number, reply.Sum = ask.Number, transport.Sum(out)
	return c.Send(reply, out) == nil
}

// receive reads the body of a request, which it asks for if that was only offered.
func (h *Host) receive(c *transport.Conn, ask *transport.Ask) ([]byte, error) {
	if ask.Hold {
		if err := c.Send(&transport.Reply{Number: ask.Number, Go: true}, nil); err != nil {
			return nil, err
		}
	}
	return c.SummedBody(ask.Body, h.mostBody, ask.Sum)
}

// coming takes in that a request's body is on its way, or refuses it where that may still be said. Long ones come one after the other
// as far as the link makes them wait anyway: each that comes beside others puts a window of bytes before all that is short.
func (h *Host) coming(a *transport.Ask) *transport.Failure {
	h.mu.Lock()
	if !a.Hold {
		h.room.Free(-a.Body) // short, and on its way: it is taken, and long ones find less
		h.gate.Coming(a.Body)
		h.mu.Unlock()
		return nil
	}
	f := h.gate.Offer(h.now(), a)
	if f == nil && !h.room.Take(a.Body) {
		f = &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, After: roomAgain}
	}
	if f == nil {
		h.gate.Coming(a.Body)
	}
	h.mu.Unlock()
	if f != nil {
		return f
	}
	select {
	case h.lane <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(a.Patient)
	defer timer.Stop()
	select {
	case h.lane <- struct{}{}:
		return nil
	case <-timer.C:
	}
	h.mu.Lock()
	h.gate.Came(a.Body)
	h.mu.Unlock()
	h.room.Free(a.Body)
	return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, After: a.Patient}
}

func (h *Host) came(a *transport.Ask) {
	if a.Hold {
		<-h.lane
	}
	h.mu.Lock()
	h.gate.Came(a.Body)
	h.mu.Unlock()
}

// Handle brings a request to the backend and returns its answer, or why there is none.
func (h *Host) Handle(a *transport.Ask, body []byte) (*transport.Reply, []byte) {
	arrived := time.Now()
	address, waited, f := h.admit(a)
	if f != nil {
		h.note(a, f, waited, time.Since(arrived))
		r := h.reply(f)
		r.Waited = waited
		return r, nil
	}
	h.Handed.Add(1)
	working := &run{repeat: a.Repeat}
	h.mu.Lock()
	h.runs[a.Try] = working
	h.mu.Unlock()
	if a.Left -= time.Since(arrived); a.Left < time.Millisecond {
		a.Left = time.Millisecond
	}
	sent := time.Now()
	// Danger: a backend's silence proves nothing, so it is waited for until nobody waits for the answer.
	deadline := sent.Add(a.Left + 50*time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), sent.Add(min(a.Left, time.Second)))
	ans, f := h.exchange(ctx, address, a, body, deadline)
	cancel()
	took := time.Since(sent)
	var meant *transport.Failure
	if f == nil {
		meant = ans.meaning()
	}
	var lost bool
	h.mu.Lock()
	now := h.now()
	well := f == nil && meant == nil && (ans.status < 500 || working.failed)
	delete(h.runs, a.Try)
	h.gate.Done(now, took, f == nil && meant == nil, well)
	if f != nil && f.Reason == transport.Unknown || meant != nil && meant.Reason == transport.Unknown {
		// Danger: nobody listens where it was, or somebody else does: it is gone until a beat tells otherwise.
		lost = h.gate.Left(now, a.Target)
	}
	h.mu.Unlock()
	if lost {
		h.news()
	}
	if f == nil {
		f = meant
	}
	if f != nil {
		h.Failed.Add(1)
		h.note(a, f, waited, waited+took)
		r := h.reply(f)
		r.Waited = waited
		r.Arrived = meant != nil
		return r, nil
	}
	h.Answered.Add(1)
	h.Ways.Plain()
	r := &transport.Reply{Verdict: transport.Ran, Status: ans.status, Header: ans.header, Body: int64(len(ans.body)), Waited: waited}
	r.Load = h.load()
	r.Inner = working.failed && ans.status >= 500
	return r, ans.body
}

// admit waits for a slot, and says how long.
func (h *Host) admit(a *transport.Ask) (address string, waited time.Duration, f *transport.Failure) {
	if !h.open.Load() {
		return "", 0, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Draining}
	}
	h.mu.Lock()
	t, f := h.gate.Admit(h.now(), a)
	if f != nil {
		h.mu.Unlock()
		return "", 0, f
	}
	address = h.gate.backend.Address
	if t == nil {
		h.mu.Unlock()
		return address, 0, nil
	}
	began := time.Now()
	granted := make(chan *transport.Failure, 1)
	t.Grant = func(ok bool, f *transport.Failure) { granted <- f }
	h.mu.Unlock()
	timer := time.NewTimer(a.Patient)
	defer timer.Stop()
	select {
	case f := <-granted:
		return address, time.Since(began), f
	case <-timer.C:
	}
	h.mu.Lock()
	abandoned := h.gate.Abandon(h.now(), t)
	h.mu.Unlock()
	if abandoned {
		return "", time.Since(began), &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, After: a.Patient}
	}
	f = <-granted
	return address, time.Since(began), f
}

func (h *Host) reply(f *transport.Failure) *transport.Reply {
	return &transport.Reply{Verdict: f.Verdict, Reason: f.Reason, After: f.After, Load: h.load()}
}

func (h *Host) load() transport.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.Load(h.now())
}

// Parent says whether a try is one that a run on this machine calls, and whether that run is a repeat. A backend's own calls have ids
// that begin with the one of the request it runs, and a dot; where they don't, none is found, and the call is one like any other.
func (h *Host) Parent(try string) (inner, repeat bool) {
	if !strings.Contains(try, ".") {
		return false, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.parent(try)
	return r != nil, r != nil && r.repeat
}

// CallFailed says that a call of a run on this machine brought no success: if the run fails too, that is not the backend's fault.
func (h *Host) CallFailed(try string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.parent(try); r != nil {
		r.failed = true
	}
}

// parent finds the run that makes a call. A call's own calls have ids that are longer by one more part.
func (h *Host) parent(try string) *run {
	id, _, _ := strings.Cut(try, ".")
	if r := h.runs[id]; r != nil {
		return r
	}
	if i := strings.LastIndexByte(try, '.'); i > 0 {
		return h.runs[try[:i]]
	}
	return nil
}

// Close has it take nothing more; what it has in hand goes on.
func (h *Host) Close() { h.open.Store(false) }

// Open says whether it takes requests.
func (h *Host) Open() bool { return h.open.Load() }

// Tick lets time pass.
func (h *Host) Tick() {
	h.With(func(now time.Duration, g *Gate) bool { return g.Tick(now) })
	h.pool.Sweep()
}

// Held is how many requests it has in hand.
func (h *Host) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.inFlight + len(h.gate.waiting)
}
