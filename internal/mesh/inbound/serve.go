package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// uploadSlots is how many long bodies are received at the same time. At least two keep the link
// busy, because one can be requested while another arrives. More are received only as long as the
// data in transit for them takes no more than uploadQueueTime on the link.
func uploadSlots(linkBitsPerSecond float64) int {
	if linkBitsPerSecond <= 0 {
		return maxUploads
	}
	return int(min(maxUploads, max(minUploads, linkBitsPerSecond/8*uploadQueueTime.Seconds()/connWindowBytes)))
}

const (
	maxUploads      = 64
	minUploads      = 2
	uploadQueueTime = 20 * time.Millisecond
	connWindowBytes = 64 << 10 // bytes that one connection has in transit
)

// memoryRetryAfter is the retry delay when there is no memory for a body. Bodies are held for about
// this long.
const memoryRetryAfter = 250 * time.Millisecond

// processExchange carries out one exchange. It returns no reply if the body of the request never
// arrived.
func (h *Host) processExchange(s *session, ex *exchange) (*transport.Reply, []byte) {
	if ex.req.ExpectContinue {
		failure, arrived := h.receiveUpload(s, ex)
		if failure != nil {
			h.recordFailure(ex.req, failure, 0, 0)
			return h.failureReply(failure), nil
		}
		defer h.bodyBudget.Release(ex.req.Body)
		if !arrived {
			return nil, nil
		}
	} else {
		defer h.bodyBudget.Release(ex.req.Body)
	}
	return h.Handle(&ex.Caller, ex.req, ex.body)
}

// receiveUpload receives the body that the sender has offered, or refuses it.
func (h *Host) receiveUpload(s *session, ex *exchange) (failure *transport.Failure, arrived bool) {
	if failure = h.admitUpload(ex); failure != nil {
		ex.bodyWanted <- false
		return failure, false
	}
	defer h.endBody(ex.req)
	ex.bodyWanted <- true
	if s.conn.Send(&transport.Reply{Number: ex.req.Number, Continue: true}, nil) != nil {
		s.conn.Close()
	}
	ex.body, arrived = <-ex.bodyArrived
	return nil, arrived
}

// startSmallBody counts a body that is sent without an offer. It is always accepted, and reduces
// the memory that is left for offered bodies.
func (h *Host) startSmallBody(req *transport.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodyBudget.Release(-req.Body)
	h.gate.BodyStarted(req.Body)
}

// admitUpload decides whether an offered body may be sent. Long bodies are received one after the
// other where the link would delay them anyway: each additional parallel upload puts a window of
// bytes in front of all short messages.
func (h *Host) admitUpload(ex *exchange) *transport.Failure {
	req := ex.req
	h.mu.Lock()
	failure, maxWait := h.gate.AdmitUpload(h.now(), req), h.gate.maxUploadWait(req)
	if failure == nil && !h.bodyBudget.Reserve(req.Body) {
		failure = &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: memoryRetryAfter}
	}
	if failure == nil {
		h.gate.BodyStarted(req.Body)
	}
	h.mu.Unlock()
	if failure != nil {
		return failure
	}
	select {
	case h.uploadSemaphore <- struct{}{}:
		return nil
	default:
	}
	gone := make(chan struct{})
	stop := ex.afterGone(func() { close(gone) })
	defer stop()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case h.uploadSemaphore <- struct{}{}:
		return nil
	case <-timer.C:
		failure = &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: maxWait}
	case <-gone:
		failure = cancelledFailure(transport.NotRun)
	}
	h.mu.Lock()
	h.gate.BodyEnded(req.Body)
	h.mu.Unlock()
	h.bodyBudget.Release(req.Body)
	return failure
}

// endBody records that a body is no longer being received, and frees the upload slot of an offered
// one. The memory of the body is released separately.
func (h *Host) endBody(req *transport.Request) {
	if req.ExpectContinue {
		<-h.uploadSemaphore
	}
	h.mu.Lock()
	h.gate.BodyEnded(req.Body)
	h.mu.Unlock()
}

// cancelledFailure returns the failure of a request whose caller is gone.
func cancelledFailure(verdict transport.Verdict) *transport.Failure {
	return &transport.Failure{Verdict: verdict, Reason: transport.Cancelled}
}
