package inbound

import (
	"net"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// probeAfter is how long an exchange lasts before TCP keep-alive probes are sent to its sender. A
// machine that loses power never closes its connections.
const probeAfter = time.Second

// senderKeepAlive is the keep-alive configuration while a sender is probed.
var senderKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// session is a sender's connection. Its reader goroutine handles what arrives at any time:
// requests, one at a time, cancellations, and the end of the connection. Its worker goroutine
// carries out the exchanges. A connection takes these two goroutines, and a request needs none of
// its own.
type session struct {
	host      *Host
	conn      *transport.Conn
	exchanges chan *exchange

	mu      sync.Mutex
	current *exchange // the exchange in progress; nil if there is none
	probing bool      // the kernel probes the sender with keep-alives
}

// exchange is a request that arrived on a session.
type exchange struct {
	Caller // gone once the sender has cancelled the request or disconnected

	req         *transport.Request
	body        []byte
	startedAt   time.Time
	bodyWanted  chan bool   // for an offered body: whether the sender may send it
	bodyArrived chan []byte // for an offered body; closed without a value if it never arrives
}

// Serve handles the requests on a connection, one at a time, until the connection ends. Requests
// are numbered consecutively. A message with an unexpected number cannot come from a correct
// sender, so it ends the connection.
func (h *Host) Serve(conn *transport.Conn) {
	s := &session{host: h, conn: conn, exchanges: make(chan *exchange)}
	h.sessions.Store(s, nil)
	defer h.sessions.Delete(s)
	go s.processExchanges()
	s.readRequests()
	s.cancelCurrent()
	close(s.exchanges)
	conn.Close()
}

// readRequests reads messages until the connection ends.
func (s *session) readRequests() {
	for lastNumber := uint64(0); ; {
		req := new(transport.Request)
		if s.conn.Receive(req) != nil {
			return
		}
		switch {
		case req.Cancel && req.Number == lastNumber:
			s.cancelCurrent() // no effect if the exchange has ended
		case req.Cancel || req.Number != lastNumber+1:
			return
		default:
			lastNumber++
			if !s.accept(req) {
				return
			}
		}
	}
}

// accept passes a request to the worker, after its body unless that was only offered. It returns
// false if the connection has to be closed.
func (s *session) accept(req *transport.Request) bool {
	ex := &exchange{Caller: Caller{Disconnected: s.senderGone}, req: req, startedAt: time.Now()}
	if req.ExpectContinue {
		ex.bodyWanted, ex.bodyArrived = make(chan bool, 1), make(chan []byte, 1)
		defer close(ex.bodyArrived)
	} else {
		s.host.startSmallBody(req)
		body, err := s.readBody(ex)
		s.host.endBody(req)
		if err != nil {
			s.host.bodyBudget.Release(req.Body)
			return false
		}
		ex.body = body
	}
	s.mu.Lock()
	s.current = ex
	s.mu.Unlock()
	if !req.ExpectContinue && s.conn.Buffered() > 0 && !s.readCancellation(ex) {
		s.host.bodyBudget.Release(req.Body)
		return false
	}
	s.exchanges <- ex
	return !req.ExpectContinue || s.receiveOffered(ex)
}

// readCancellation reads a message that arrived together with a request, which can only be its
// cancellation. After a stall of the process both are found at once, and without this check the
// cancelled request would be started.
func (s *session) readCancellation(ex *exchange) bool {
	var next transport.Request
	if s.conn.Receive(&next) != nil || !next.Cancel || next.Number != ex.req.Number {
		return false
	}
	ex.MarkGone()
	return true
}

// receiveOffered reads an offered body once the worker has asked for it. Until then nothing but the
// end of the connection can arrive, because a sender cancels an offer by closing the connection. It
// returns false if the connection has to be closed.
func (s *session) receiveOffered(ex *exchange) bool {
	if s.conn.WaitReadable() != nil {
		return false
	}
	if !<-ex.bodyWanted {
		return true // what arrived is the next request
	}
	body, err := s.readBody(ex)
	if err != nil {
		return false
	}
	ex.bodyArrived <- body
	return true
}

// readBody reads the body of a request. The read has a deadline because a sender that loses power
// would otherwise block it, and hold its memory, forever. Nobody needs the body after the
// request's time limit.
func (s *session) readBody(ex *exchange) ([]byte, error) {
	if ex.req.Body == 0 {
		return nil, nil
	}
	s.conn.SetReadDeadline(ex.startedAt.Add(max(ex.req.Left, responseSlack)))
	defer s.conn.SetReadDeadline(time.Time{})
	return s.conn.ReceiveVerifiedBody(ex.req.Body, s.host.maxBodyBytes, ex.req.Sum)
}

// cancelCurrent marks the caller of the current exchange as gone.
func (s *session) cancelCurrent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.MarkGone()
	}
}

// processExchanges carries out exchanges until the session ends.
func (s *session) processExchanges() {
	for ex := range s.exchanges {
		reply, replyBody := s.host.processExchange(s, ex)
		s.mu.Lock()
		s.current = nil
		s.mu.Unlock()
		if reply == nil {
			s.conn.Close() // the body never arrived
			continue
		}
		reply.Number, reply.Sum = ex.req.Number, transport.Checksum(replyBody)
		if s.conn.Send(reply, replyBody) != nil {
			s.conn.Close()
		}
	}
}

// senderGone reports whether the sender has closed the connection or cancelled the current
// exchange. It sends nothing else during an exchange.
func (s *session) senderGone() bool { return !s.conn.IsQuiet() }

// updateProbing enables keep-alive probes of the sender while an exchange takes long, and disables
// them afterwards.
func (s *session) updateProbing(now time.Time) {
	tcpConn, ok := s.conn.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	s.mu.Lock()
	shouldProbe := s.current != nil && now.Sub(s.current.startedAt) >= probeAfter
	changed := shouldProbe != s.probing
	s.probing = shouldProbe
	s.mu.Unlock()
	if !changed {
		return
	}
	config := net.KeepAliveConfig{}
	if shouldProbe {
		config = senderKeepAlive
	}
	tcpConn.SetKeepAliveConfig(config)
}
