package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// uploadSlots is how many long bodies come at once: as many as keep the link busy, which is two at
// least, as the next is asked for while one comes, and no more of its time than uploadQueue queued.
func uploadSlots(linkBps float64) int {
	if linkBps <= 0 {
		return mostUploads
	}
	return int(min(mostUploads, max(leastUploads, linkBps/8*uploadQueue.Seconds()/uploadWindow)))
}

const (
	mostUploads  = 64
	leastUploads = 2
	uploadQueue  = 20 * time.Millisecond
	uploadWindow = 64 << 10 // bytes that one connection has on its way
)

// roomAgain is when there may be room for a body again: bodies are held for about so long.
const roomAgain = 250 * time.Millisecond

// answer carries out one exchange. There is no reply if the body of the request never came.
func (h *Host) answer(s *session, a *arrival) (*transport.Reply, []byte) {
	if a.ask.ExpectContinue {
		f, came := h.receive(s, a)
		if f != nil {
			h.note(a.ask, f, 0, 0)
			return h.reply(f), nil
		}
		defer h.budget.Release(a.ask.Body)
		if !came {
			return nil, nil
		}
	} else {
		defer h.budget.Release(a.ask.Body)
	}
	return h.Handle(&a.Caller, a.ask, a.body)
}

// receive has a body come that was only offered, or refuses it.
func (h *Host) receive(s *session, a *arrival) (f *transport.Failure, came bool) {
	if f = h.admitLong(a); f != nil {
		a.wanted <- false
		return f, false
	}
	defer h.bodyEnded(a.ask)
	a.wanted <- true
	if s.conn.Send(&transport.Reply{Number: a.ask.Number, Continue: true}, nil) != nil {
		s.conn.Close()
	}
	a.body, came = <-a.came
	return nil, came
}

// admitShort takes in that a short request's body is on its way: it is taken, and long ones find
// less room.
func (h *Host) admitShort(a *transport.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Release(-a.Body)
	h.gate.BodyStarted(a.Body)
}

// admitLong decides whether a body that was offered may come. Long ones come one after the other as
// far as the link makes them wait anyway: each that comes beside others puts a window of bytes
// before all that is short.
func (h *Host) admitLong(a *arrival) *transport.Failure {
	ask := a.ask
	h.mu.Lock()
	f, patience := h.gate.AdmitUpload(h.now(), ask), h.gate.bodyPatience(ask)
	if f == nil && !h.budget.Reserve(ask.Body) {
		f = &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: roomAgain}
	}
	if f == nil {
		h.gate.BodyStarted(ask.Body)
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
	left := make(chan struct{})
	stop := a.whenLeft(func() { close(left) })
	defer stop()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case h.uploads <- struct{}{}:
		return nil
	case <-timer.C:
		f = &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: patience}
	case <-left:
		f = cancelled(transport.NotRun)
	}
	h.mu.Lock()
	h.gate.BodyEnded(ask.Body)
	h.mu.Unlock()
	h.budget.Release(ask.Body)
	return f
}

func (h *Host) bodyEnded(a *transport.Request) {
	if a.ExpectContinue {
		<-h.uploads
	}
	h.mu.Lock()
	h.gate.BodyEnded(a.Body)
	h.mu.Unlock()
}

// cancelled is the failure of a request whose caller has gone.
func cancelled(v transport.Verdict) *transport.Failure {
	return &transport.Failure{Verdict: v, Reason: transport.Cancelled}
}
