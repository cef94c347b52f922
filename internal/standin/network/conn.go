package network

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection in memory. As with a socket, what was sent before the other side ended can still
// be read, and what is written after it is lost.
type Conn struct {
	pair          *pair
	in, out       *stream
	owner         *Dialer
	to            string // the address dialed
	local, remote net.Addr
}

// pair is what both ends share. Its mutex guards both streams.
type pair struct {
	net  *Network
	mu   sync.Mutex
	cond Conditions
	ends [2]*Conn
	left int // ends not closed
}

// stream is one direction.
type stream struct {
	pair   *pair
	up     bool
	change sync.Cond
	timer  *time.Timer // broadcasts when time alone changes what can be read or written
	wake   time.Time   // when it is due
	chunks []chunk
	held   int       // bytes in chunks
	last   time.Time // nothing arrives before what was sent earlier
	ended  error     // what comes behind the last chunk: io.EOF or a reset
	endAt  time.Time
	gone   bool // the reader has closed: what is written is lost

	readBy, writeBy time.Time // deadlines
	readerClosed    bool      // by its own end
	writerClosed    bool
}

type chunk struct {
	at   time.Time
	data []byte
}

func (d *Dialer) pair(to string, local, remote net.Addr) (near, far *Conn) {
	n := d.net
	p := &pair{net: n, left: 2}
	up, down := newStream(p, true), newStream(p, false)
	near = &Conn{pair: p, in: down, out: up, owner: d, to: to, local: local, remote: remote}
	far = &Conn{pair: p, in: up, out: down, owner: d, to: to, local: remote, remote: local}
	p.ends = [2]*Conn{near, far}
	n.mu.Lock()
	p.cond = n.conditions(d.from, to)
	n.conns[near] = struct{}{}
	n.mu.Unlock()
	return near, far
}

func newStream(p *pair, up bool) *stream {
	s := &stream{pair: p, up: up}
	s.change.L = &p.mu
	return s
}

func (p *pair) setConditions(c Conditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cond = c
	p.ends[0].in.change.Broadcast()
	p.ends[0].out.change.Broadcast()
}

// stalled says that nothing arrives now.
func (s *stream) stalled() bool {
	c := &s.pair.cond
	return c.Cut || s.up && c.StallUp || !s.up && c.StallDown
}

// retransmit is when TCP sends for the second time what nobody has acknowledged: the least that Linux waits, doubled each
// time (RFC 6298). What was lost arrives after LastRetransmit at the latest.
const (
	retransmit     = 200 * time.Millisecond
	LastRetransmit = (1 + 2 + 4) * retransmit
)

// arrival is when what is sent now arrives.
func (s *stream) arrival() time.Time {
	at := time.Now().Add(s.pair.cond.Delay)
	if j := s.pair.cond.Jitter; j > 0 {
		at = at.Add(s.pair.net.random(j))
	}
	for again := retransmit; s.pair.cond.Loss > 0 && again < 8*retransmit && s.pair.net.chance() < s.pair.cond.Loss; again *= 2 {
		at = at.Add(again)
	}
	if at.Before(s.last) {
		at = s.last
	}
	s.last = at
	return at
}

// wakeAt has those who wait look again at a time.
func (s *stream) wakeAt(at time.Time) {
	if s.wake.After(time.Now()) && !at.Before(s.wake) {
		return // they look again before that
	}
	s.wake = at
	wait := max(0, time.Until(at))
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, func() {
			s.pair.mu.Lock()
			s.change.Broadcast()
			s.pair.mu.Unlock()
		})
		return
	}
	s.timer.Reset(wait)
}

func (s *stream) quiet() bool {
	s.pair.mu.Lock()
	defer s.pair.mu.Unlock()
	now := time.Now()
	switch {
	case s.readerClosed:
		return false
	case s.stalled():
		return true
	case len(s.chunks) > 0:
		return s.chunks[0].at.After(now)
	}
	return s.ended == nil || s.endAt.After(now)
}

// Read reads what has arrived.
func (c *Conn) Read(b []byte) (int, error) {
	s := c.in
	s.pair.mu.Lock()
	defer s.pair.mu.Unlock()
	for {
		now := time.Now()
		next := s.readBy
		switch {
		case s.readerClosed:
			return 0, opError("read", net.ErrClosed)
		case !s.readBy.IsZero() && !now.Before(s.readBy):
			return 0, opError("read", os.ErrDeadlineExceeded)
		case len(b) == 0:
			return 0, nil
		case s.stalled():
		case len(s.chunks) > 0:
			if at := s.chunks[0].at; at.After(now) {
				next = sooner(next, at)
				break
			}
			return s.take(b), nil
		case s.ended != nil:
			if s.endAt.After(now) {
				next = sooner(next, s.endAt)
				break
			}
			if s.ended == io.EOF {
				return 0, io.EOF
			}
			return 0, opError("read", s.ended)
		}
		if !next.IsZero() {
			s.wakeAt(next)
		}
		s.change.Wait()
	}
}

// Waiting reads what has arrived, whatever the deadline, and does not wait. It returns 0 if there is nothing.
func (c *Conn) Waiting(b []byte) int {
	s := c.in
	s.pair.mu.Lock()
	defer s.pair.mu.Unlock()
	if s.readerClosed || s.stalled() || len(b) == 0 || len(s.chunks) == 0 || s.chunks[0].at.After(time.Now()) {
		return 0
	}
	return s.take(b)
}

// take copies what has arrived, a byte at a time where bytes trickle.
func (s *stream) take(b []byte) int {
	gap := s.pair.cond.Trickle
	if gap > 0 {
		b = b[:1]
	}
	first := &s.chunks[0]
	n := copy(b, first.data)
	if first.data = first.data[n:]; len(first.data) == 0 {
		s.chunks[0] = chunk{}
		s.chunks = s.chunks[1:]
	}
	if s.held -= n; gap > 0 && len(s.chunks) > 0 {
		s.chunks[0].at = time.Now().Add(gap)
	}
	s.change.Broadcast() // a writer may have room now
	return n
}

func sooner(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Write sends. It returns once all is on its way, not when it has arrived.
func (c *Conn) Write(b []byte) (n int, err error) {
	s := c.out
	s.pair.mu.Lock()
	defer s.pair.mu.Unlock()
	ending, breaks := Ending{}, false
	if s.pair.cond.Break != nil && len(b) > 0 {
		ending, breaks = s.pair.cond.Break(s.up, len(b))
	}
	for {
		now := time.Now()
		switch {
		case s.writerClosed:
			return n, opError("write", net.ErrClosed)
		case s.ended != nil:
			return n, opError("write", syscall.EPIPE)
		case c.in.ended != nil && c.in.ended != io.EOF && !c.in.endAt.After(now):
			return n, opError("write", syscall.ECONNRESET)
		case !s.writeBy.IsZero() && !now.Before(s.writeBy):
			return n, opError("write", os.ErrDeadlineExceeded)
		case len(b) == 0:
			return n, nil
		}
		if s.gone {
			// Nobody reads: it is lost on the way, and the writer hears of that when the reset is back.
			s.pair.reset(c.in)
			return n + len(b), nil
		}
		size := min(len(b), window-s.held)
		if breaks {
			size = min(size, ending.After-n)
		}
		if size > 0 {
			s.chunks = append(s.chunks, chunk{at: s.arrival(), data: append([]byte(nil), b[:size]...)})
			s.held += size
			b, n = b[size:], n+size
			s.change.Broadcast()
		}
		switch {
		case breaks && n >= ending.After:
			if ending.Half { // its process has ended its side by itself and knows
				s.end(io.EOF)
				return n + len(b), nil
			}
			s.end(syscall.ECONNRESET)
			s.pair.reset(c.in)
			if len(b) > 0 {
				return n, opError("write", syscall.ECONNRESET)
			}
			return n, nil
		case len(b) == 0:
			return n, nil
		case s.held >= window:
			if !s.writeBy.IsZero() {
				s.wakeAt(s.writeBy)
			}
			s.change.Wait()
		}
	}
}

// end closes a stream behind what is on its way, if nothing has before.
func (s *stream) end(how error) {
	if s.ended == nil {
		s.ended, s.endAt = how, s.arrival()
		s.change.Broadcast()
	}
}

// reset ends a stream with a reset, also behind an orderly end that has not been read.
func (p *pair) reset(s *stream) {
	if s.ended == nil || s.ended == io.EOF {
		s.ended, s.endAt = syscall.ECONNRESET, s.arrival()
		s.change.Broadcast()
	}
}

// Close closes this end. What it has sent still arrives, unless there is something that it has not read: then the
// other side is reset, as the kernel does.
func (c *Conn) Close() error { return c.close(false) }

// Reset closes this end without an orderly end.
func (c *Conn) Reset() { c.close(true) }

func (c *Conn) close(reset bool) error {
	p := c.pair
	p.mu.Lock()
	if c.in.readerClosed {
		p.mu.Unlock()
		return opError("close", net.ErrClosed)
	}
	unread := len(c.in.chunks) > 0 && !c.in.chunks[0].at.After(time.Now())
	c.in.readerClosed, c.out.writerClosed, c.in.gone = true, true, true
	c.in.chunks, c.in.held = nil, 0
	if reset || unread {
		p.reset(c.out)
	} else {
		c.out.end(io.EOF)
	}
	c.in.change.Broadcast()
	c.out.change.Broadcast()
	p.left--
	last := p.left == 0
	if last {
		for _, s := range [2]*stream{c.in, c.out} {
			if s.timer != nil {
				s.timer.Stop()
			}
		}
	}
	p.mu.Unlock()
	if last {
		p.net.mu.Lock()
		delete(p.net.conns, p.ends[0])
		p.net.mu.Unlock()
	}
	return nil
}

// CloseWrite ends what this end sends and goes on reading.
func (c *Conn) CloseWrite() error {
	c.pair.mu.Lock()
	defer c.pair.mu.Unlock()
	if c.out.writerClosed {
		return opError("close", net.ErrClosed)
	}
	c.out.writerClosed = true
	c.out.end(io.EOF)
	return nil
}

// LocalAddr returns this end's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the other end's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets when reads stop waiting; the zero time is never.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.in, &c.in.readBy, t) }

// SetWriteDeadline sets when writes stop waiting; the zero time is never.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(c.out, &c.out.writeBy, t) }

func (c *Conn) setDeadline(s *stream, which *time.Time, t time.Time) error {
	c.pair.mu.Lock()
	defer c.pair.mu.Unlock()
	if c.in.readerClosed {
		return opError("set", net.ErrClosed)
	}
	*which = t
	s.change.Broadcast()
	return nil
}
