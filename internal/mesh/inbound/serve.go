package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// uploadSlots is how many long bodies come at once: as many as keep the link busy, and no more of its time than uploadQueue queued.
func uploadSlots(linkBps float64) int {
	if linkBps <= 0 {
		return mostUploads
	}
	return int(min(mostUploads, max(1, linkBps/8*uploadQueue.Seconds()/uploadWindow)))
}

const (
	mostUploads  = 64
	uploadQueue  = 20 * time.Millisecond
	uploadWindow = 64 << 10 // bytes that one connection has on its way
)

// roomAgain is when there may be room for a body again: bodies are held for about so long.
const roomAgain = 250 * time.Millisecond

// Serve takes requests off a connection, one at a time, until it ends. They are numbered one after
// the other; what comes out of turn is none that the sender has sent, so the connection ends.
func (h *Host) Serve(c *transport.Conn) {
	defer c.Close()
	for number := uint64(1); ; number++ {
		var ask transport.Request
		if err := c.Receive(&ask); err != nil || ask.Number != number {
			return
		}
		if !h.serve(c, &ask) {
			return
		}
	}
}

// serve carries out one exchange, and says whether the connection may carry another.
func (h *Host) serve(c *transport.Conn, ask *transport.Request) bool {
	if f := h.admitBody(ask); f != nil {
		h.note(ask, f, 0, 0)
		r := h.reply(f)
		r.Number = ask.Number
		return c.Send(r, nil) == nil
	}
	defer h.budget.Release(ask.Body)
	body, err := h.receive(c, ask)
	h.bodyEnded(ask)
	if err != nil {
		return false
	}
	reply, out := h.Handle(ask, body)
	reply.Number, reply.Sum = ask.Number, transport.Sum(out)
	return c.Send(reply, out) == nil
}

// receive reads the body of a request, which it asks for if that was only offered.
func (h *Host) receive(c *transport.Conn, ask *transport.Request) ([]byte, error) {
	if ask.ExpectContinue {
		if err := c.Send(&transport.Reply{Number: ask.Number, Continue: true}, nil); err != nil {
			return nil, err
		}
	}
	return c.SummedBody(ask.Body, h.mostBody, ask.Sum)
}

// admitBody takes in that a request's body is on its way, or refuses it where that may still be said. Long ones come one after the other
// as far as the link makes them wait anyway: each that comes beside others puts a window of bytes before all that is short.
func (h *Host) admitBody(a *transport.Request) *transport.Failure {
	h.mu.Lock()
	if !a.ExpectContinue {
		h.budget.Release(-a.Body) // short, and on its way: it is taken, and long ones find less
		h.gate.Coming(a.Body)
		h.mu.Unlock()
		return nil
	}
	f := h.gate.Offer(h.now(), a)
	if f == nil && !h.budget.Reserve(a.Body) {
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
	case h.uploads <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(a.Patient)
	defer timer.Stop()
	select {
	case h.uploads <- struct{}{}:
		return nil
	case <-timer.C:
	}
	h.mu.Lock()
	h.gate.Came(a.Body)
	h.mu.Unlock()
	h.budget.Release(a.Body)
	return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, After: a.Patient}
}

func (h *Host) bodyEnded(a *transport.Request) {
	if a.ExpectContinue {
		<-h.uploads
	}
	h.mu.Lock()
	h.gate.Came(a.Body)
	h.mu.Unlock()
}
