package inbound

import (
	"net"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// silentAfter is how long an exchange is under way before its sender is probed: a machine without
// power closes nothing.
const silentAfter = time.Second

// silentSender is how a sender is probed that has said nothing for so long.
var silentSender = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// session is a sender's connection. Its reader takes what comes, at any time: requests, one at a
// time, cancellations, and the end of the connection. Its worker carries out the exchanges. There
// are two goroutines for each connection and none for each request.
type session struct {
	host *Host
	conn *transport.Conn
	work chan *arrival

	mu      sync.Mutex
	current *arrival // the exchange in hand; nil: there is none
	probing bool     // the kernel probes the sender
}

// arrival is a request that came over a session.
type arrival struct {
	Caller // has left once the sender has cancelled the request, or is gone itself

	ask    *transport.Request
	body   []byte
	began  time.Time
	wanted chan bool   // of a body that was only offered: whether it may come
	came   chan []byte // closed without a value: it never will
}

// Serve takes requests off a connection, one at a time, until it ends. They are numbered one after
// the other; what comes out of turn is none that the sender has sent, so the connection ends.
func (h *Host) Serve(c *transport.Conn) {
	s := &session{host: h, conn: c, work: make(chan *arrival)}
	h.sessions.Store(s, nil)
	defer h.sessions.Delete(s)
	go s.carryOut()
	s.read()
	s.cancel()
	close(s.work)
	c.Close()
}

// read takes what the sender says until the connection ends.
func (s *session) read() {
	for number := uint64(0); ; {
		ask := new(transport.Request)
		if s.conn.Receive(ask) != nil {
			return
		}
		switch {
		case ask.Cancel && ask.Number == number:
			s.cancel() // of an exchange that is over it changes nothing
		case ask.Cancel || ask.Number != number+1:
			return
		default:
			number++
			if !s.take(ask) {
				return
			}
		}
	}
}

// take hands a request to the worker with its body, which may only have been offered.
func (s *session) take(ask *transport.Request) bool {
	a := &arrival{Caller: Caller{Disconnected: s.gone}, ask: ask, began: time.Now()}
	if ask.ExpectContinue {
		a.wanted, a.came = make(chan bool, 1), make(chan []byte, 1)
		defer close(a.came)
	} else {
		s.host.admitShort(ask)
		body, err := s.body(a)
		s.host.bodyEnded(ask)
		if err != nil {
			s.host.budget.Release(ask.Body)
			return false
		}
		a.body = body
	}
	s.mu.Lock()
	s.current = a
	s.mu.Unlock()
	if !ask.ExpectContinue && s.conn.Buffered() > 0 && !s.cancelled(a) {
		s.host.budget.Release(ask.Body)
		return false
	}
	s.work <- a
	return !ask.ExpectContinue || s.offered(a)
}

// cancelled reads what came together with a request, which can only be its cancellation. Danger:
// after the process stood still both are found at once, and the request would be begun first.
func (s *session) cancelled(a *arrival) bool {
	var next transport.Request
	if s.conn.Receive(&next) != nil || !next.Cancel || next.Number != a.ask.Number {
		return false
	}
	a.MarkGone()
	return true
}

// offered reads a body once the worker has asked for it. Until then only the end of the connection
// can come: a sender cancels what it has only offered by closing.
func (s *session) offered(a *arrival) bool {
	if s.conn.WaitReadable() != nil {
		return false
	}
	if !<-a.wanted {
		return true // what has come is the next request
	}
	body, err := s.body(a)
	if err != nil {
		return false
	}
	a.came <- body
	return true
}

// body reads the body of a request. Danger: a sender without power says nothing, and its body would
// be waited for, and hold room, for ever; nobody wants it beyond the request's time.
func (s *session) body(a *arrival) ([]byte, error) {
	if a.ask.Body == 0 {
		return nil, nil
	}
	s.conn.SetReadDeadline(a.began.Add(max(a.ask.Left, answerSlack)))
	defer s.conn.SetReadDeadline(time.Time{})
	return s.conn.ReceiveVerifiedBody(a.ask.Body, s.host.mostBody, a.ask.Sum)
}

// cancel takes in that the sender wants no answer to the exchange in hand any more.
func (s *session) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.MarkGone()
	}
}

// carryOut answers requests until there will be no more.
func (s *session) carryOut() {
	for a := range s.work {
		reply, out := s.host.answer(s, a)
		s.mu.Lock()
		s.current = nil
		s.mu.Unlock()
		if reply == nil {
			s.conn.Close() // its body never came
			continue
		}
		reply.Number, reply.Sum = a.ask.Number, transport.Checksum(out)
		if s.conn.Send(reply, out) != nil {
			s.conn.Close()
		}
	}
}

// gone looks whether the sender has closed the connection, or has cancelled the exchange in hand:
// it says nothing else meanwhile.
func (s *session) gone() bool { return !s.conn.IsQuiet() }

// probe has the kernel ask for a sign of the sender while an exchange lasts long, and no longer.
func (s *session) probe(now time.Time) {
	c, ok := s.conn.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	s.mu.Lock()
	long := s.current != nil && now.Sub(s.current.began) >= silentAfter
	change := long != s.probing
	s.probing = long
	s.mu.Unlock()
	if !change {
		return
	}
	config := net.KeepAliveConfig{}
	if long {
		config = silentSender
	}
	c.SetKeepAliveConfig(config)
}
