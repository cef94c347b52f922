package standin

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/standin/network"
)

// process is one life of a backend.
type process struct {
	b        *Backend
	listener net.Listener
	started  time.Duration
	cold     bool
	station  station
	timer    *time.Timer
	dead     chan struct{}
	conns    map[net.Conn]struct{}
	pushes   []push // while it is cold
	served   meter
	failed   meter
	took     float64 // moving mean of service times, seconds
}

type push struct {
	at   time.Duration
	work float64
}

// meter is a rate of events, forgotten with a time constant of half a second.
type meter struct {
	at   time.Duration
	rate float64
}

func (m *meter) add(now time.Duration, n float64) float64 {
	const span = 500 * time.Millisecond
	if gone := float64(now-m.at) / float64(span); gone > 0 {
		m.rate, m.at = m.rate/(1+gone+gone*gone/2), now
	}
	m.rate += n / span.Seconds()
	return m.rate
}

// warmth is the part of its capacity that the process has by now.
func (p *process) warmth(now time.Duration) float64 {
	age := float64(now-p.started) / float64(max(1, p.b.cfg.WarmAfter))
	if !p.cold || age >= 1 {
		return 1
	}
	return p.b.cfg.ColdFrom + (1-p.b.cfg.ColdFrom)*age
}

// factor is what the station does of its usual. The backend's mutex is held.
func (p *process) factor(now time.Duration) float64 {
	return p.warmth(now) * (1 - p.b.trouble.Taken)
}

func (p *process) end() {
	p.b.mu.Lock()
	if p.timer != nil {
		p.timer.Stop()
	}
	select {
	case <-p.dead:
		p.b.mu.Unlock()
		return
	default:
	}
	close(p.dead)
	conns := make([]net.Conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.b.mu.Unlock()
	p.listener.Close()
	for _, c := range conns {
		network.Reset(c)
	}
}

// run goes on with the work and sets the timer for the next time. The backend's mutex is held.
func (p *process) run() {
	p.station.advance(p.b.log.Now())
	p.rearm()
}

func (p *process) rearm() {
	p.b.inFlight = max(p.b.inFlight, p.station.held())
	next := p.station.next()
	if next == math.MaxInt64 {
		return
	}
	wait := max(0, next-p.b.log.Now())
	if p.timer != nil {
		p.timer.Reset(wait)
		return
	}
	p.timer = time.AfterFunc(wait, func() {
		p.b.mu.Lock()
		defer p.b.mu.Unlock()
		select {
		case <-p.dead:
		default:
			p.run()
		}
	})
}

func (p *process) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.b.mu.Lock()
		select {
		case <-p.dead:
			p.b.mu.Unlock()
			network.Reset(c)
			continue
		default:
		}
		full := p.b.cfg.Connections > 0 && len(p.conns) >= p.b.cfg.Connections
		p.conns[c] = struct{}{}
		p.b.mu.Unlock()
		go p.serve(c, full)
	}
}

// coming is the first byte of a request, or the end of the connection.
type coming struct {
	at  time.Duration
	err error
}

// incoming waits for the first byte of the next request, or for the end of the connection. The byte has come when it
// has, and not when the process gets round to it: that may still have a handshake to work off.
func (p *process) incoming(br *bufio.Reader) chan coming {
	next := make(chan coming, 1)
	go func() {
		_, err := br.Peek(1)
		next <- coming{p.b.log.Now(), err}
	}()
	return next
}

// serve handles one connection.
func (p *process) serve(c net.Conn, full bool) {
	defer func() {
		c.Close()
		p.b.mu.Lock()
		delete(p.conns, c)
		p.b.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	next := p.incoming(br)
	if work := p.b.cfg.Handshake; work > 0 {
		p.free(work)
	}
	for {
		var idle <-chan time.Time
		if p.b.cfg.IdleClose > 0 {
			idle = time.After(p.b.cfg.IdleClose)
		}
		var first coming
		select {
		case first = <-next:
			if first.err != nil {
				return
			}
		case <-idle:
			return
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, mostBody))
		if err != nil || req.ContentLength >= 0 && int64(len(body)) != req.ContentLength {
			return // its last byte has not come
		}
		if _, whole := unfill(body); !whole {
			return // and what has come is not what its client sent
		}
		next = p.incoming(br)
		text := p.answer(req, first.at, next, full)
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil || req.Close || full {
			return
		}
	}
}

// free does work that nobody waits for a slot with, and waits until it is done.
func (p *process) free(work time.Duration) {
	done := make(chan struct{})
	p.b.mu.Lock()
	p.station.advance(p.b.log.Now())
	p.station.add(&job{left: work.Seconds(), free: true, done: func() { close(done) }})
	p.rearm()
	p.b.mu.Unlock()
	select {
	case <-done:
	case <-p.dead:
	}
}

// mostBody bounds bodies, in bytes.
const mostBody = 64 << 20

const noBody = "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n"

// answer handles a request whose last byte has come, and returns what is to be written; nothing to end the
// connection. What is in next has come behind the request, which its sender has then given up.
func (p *process) answer(req *http.Request, first time.Duration, next chan coming, full bool) string {
	switch req.URL.Path {
	case alivePath, loadPath:
		return p.probed(req, next)
	}
	id := req.Header.Get(callIDHeader)
	if id == "" {
		return fmt.Sprintf(noBody, "404 Not Found")
	}
	b := p.b
	work := time.Duration(0)
	if us, err := strconv.Atoi(req.URL.Query().Get("work")); err == nil {
		work = time.Duration(us) * time.Microsecond
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	var key string
	if k := req.Header.Get(idempotencyHeader); k != "" {
		key = class + "/" + k
	}

	keys, window := b.cfg.Memory(class) // which locks others than this backend
	b.mu.Lock()
	b.attempts++
	rec := rules.Record{Backend: b.cfg.Name, Attempt: b.attempts, Call: id, Work: work, First: first}
	note := func(k rules.Kind) {
		rec.Kind = k
		b.log.Add(rec)
	}
	note(rules.Arrived)
	if p.pushedOver(work) {
		b.mu.Unlock()
		p.end()
		return ""
	}
	t := b.trouble
	turnsAway := full || b.draining || b.rng.Float64() < t.Rejects
	swallows, fails, spoils := b.rng.Float64() < t.Swallow, b.rng.Float64() < max(t.Errors, b.cfg.ErrorRate), b.rng.Float64() < t.Spoil
	done := make(chan struct{})
	started, repeat := false, false
	j := &job{left: work.Seconds(), done: func() { close(done) }}
	j.start = func() bool {
		started = true
		if key != "" && !keys.first(key, first, b.log.Now(), window) {
			repeat = true
			note(rules.Dropped)
			return false
		}
		note(rules.Ran)
		return true
	}
	p.station.advance(b.log.Now())
	switch {
	case swallows:
		b.mu.Unlock()
		p.gone(next)
		return ""
	case turnsAway || !p.station.add(j):
		note(rules.Rejected)
		b.mu.Unlock()
		return "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	}
	p.rearm()
	b.mu.Unlock()

	left, ok := parseBudget(req.Header.Get(budgetHeader))
	var over <-chan time.Time
	if ok {
		over = time.After(left)
	}
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case c := <-next:
			next <- c // for the connection
			p.drop(j)
			return ""
		case <-p.dead:
			return ""
		case <-over:
			over = nil
			b.mu.Lock()
			p.station.advance(b.log.Now())
			if !started { // its time is over before its turn
				p.station.remove(j)
				note(rules.Rejected)
				p.rearm()
				b.mu.Unlock()
				return "HTTP/1.1 504 Gateway Timeout\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
			}
			b.mu.Unlock()
		}
	}

	b.mu.Lock()
	now := b.log.Now()
	if fails && !repeat {
		p.failed.add(now, 1)
		b.mu.Unlock()
		return fmt.Sprintf(noBody, "500 Internal Server Error")
	}
	p.served.add(now, 1)
	p.took += 0.2 * ((work.Seconds() / b.cfg.Speed / max(0.01, p.factor(now))) - p.took)
	text := fmt.Sprintf("%s#%d", b.cfg.Name, rec.Attempt)
	rec.Body = text
	note(rules.Made)
	pick, report := b.rng.IntN(len(spoilt)), ""
	if b.cfg.Inline {
		report = fmt.Sprintf("%s: %s\r\n", loadHeader, p.report())
	}
	b.mu.Unlock()
	if size, err := strconv.Atoi(req.URL.Query().Get("answer")); err == nil {
		text = fill(text, min(size, mostBody))
	}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", report, len(text), text)
	if spoils {
		return spoilt[pick].spoil(whole, text)
	}
	return whole
}

// drop gives a job up whose sender has gone: work stops when its request is cancelled.
func (p *process) drop(j *job) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.station.advance(p.b.log.Now())
	p.station.remove(j)
	p.rearm()
}

// gone waits until the sender has gone, or the process has ended.
func (p *process) gone(next chan coming) {
	select {
	case <-next:
	case <-p.dead:
	}
}

// pushedOver says that the process, which is cold, has been sent more than it bears. The mutex is held.
func (p *process) pushedOver(work time.Duration) bool {
	b, now := p.b, p.b.log.Now()
	if !p.cold || now >= p.started+b.cfg.WarmAfter || b.cfg.OverloadFactor <= 0 {
		return false
	}
	p.pushes = append(p.pushes, push{now, work.Seconds()})
	for p.pushes[0].at < now-b.cfg.OverloadFor {
		p.pushes = p.pushes[1:]
	}
	sum, largest := 0.0, 0.0
	for _, q := range p.pushes {
		sum, largest = sum+q.work, max(largest, q.work)
	}
	room := b.cfg.OverloadFactor * float64(b.cfg.Cores) * b.cfg.Speed * p.warmth(now) * b.cfg.OverloadFor.Seconds()
	if sum <= 1.1*room+largest { // a little slack for chance
		return false
	}
	b.log.Add(rules.Record{Kind: rules.Fell, Backend: b.cfg.Name})
	b.fallen, b.proc = true, nil
	return true
}

// probed answers a probe.
func (p *process) probed(req *http.Request, next chan coming) string {
	b := p.b
	if b.cfg.ProbeWork > 0 {
		b.mu.Lock()
		p.station.advance(b.log.Now())
		p.station.add(&job{left: b.cfg.ProbeWork.Seconds(), free: true})
		p.rearm()
		b.mu.Unlock()
	}
	b.mu.Lock()
	hangs, draining := b.trouble.Hang, b.draining
	report := p.report()
	b.mu.Unlock()
	switch {
	case hangs:
		p.gone(next)
		return ""
	case draining:
		return fmt.Sprintf(noBody, "503 Service Unavailable")
	case req.URL.Path == alivePath:
		return fmt.Sprintf(noBody, "200 OK")
	case len(b.cfg.Reports) == 0:
		return fmt.Sprintf(noBody, "404 Not Found")
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
}

// report is the load report. The mutex is held.
func (p *process) report() string {
	now := p.b.log.Now()
	p.station.advance(now)
	p.rearm()
	var fields []string
	for _, name := range p.b.cfg.Reports {
		v := 0.0
		switch name {
		case "outstanding":
			v = float64(p.station.held())
		case "backlog":
			v = float64(len(p.station.wait))
		case "utilization":
			v = min(1, float64(len(p.station.work))/p.station.cores)
		case "recent_ms":
			v = 1000 * p.took
		case "throughput":
			v = p.served.add(now, 0)
		case "errors_per_s":
			v = p.failed.add(now, 0)
		}
		fields = append(fields, fmt.Sprintf("%s=%.4g", name, v))
	}
	return strings.Join(fields, ",")
}

func parseBudget(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	return time.Duration(v * float64(unit)), ok && err == nil
}
