package rollout

import (
	"fmt"
	"time"

	"example.org/micaline/internal/change"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential delay between failed attempts of a
	// Reconciler.
	minRetryDelay = time.Second
	maxRetryDelay = 5 * time.Minute
)

// Reconciler brings one instance back to its desired document whenever the instance reports another
// one. This happens after a restart, which loses applied changes, and after a manual change.
type Reconciler struct {
	Name    string
	Desired string // hash of the desired document; "" for none

	target      change.Target
	document    string // hash of the document that the current attempt applies
	epoch       string
	base        uint64
	attempt     int
	inProgress  bool
	requestOpen bool
	retryAt     time.Duration
	retryDelay  time.Duration
}

// Observe records the state that the instance reports, and returns the request to send, if any. It
// sends nothing while busy is set, which means that something else changes the instance.
func (r *Reconciler) Observe(now time.Duration, observation Observation, busy bool) (OutgoingRequest, bool) {
	switch {
	case r.requestOpen:
		return OutgoingRequest{}, false
	case observation.Hash == r.Desired && !observation.Mixed || r.Desired == "" || busy:
		r.inProgress, r.retryDelay, r.retryAt = false, 0, 0
		return OutgoingRequest{}, false
	case observation.Epoch != r.epoch: // the delay was due to failures of another process
		r.retryDelay, r.retryAt = 0, 0
	}
	if now < r.retryAt {
		return OutgoingRequest{}, false
	}
	r.target, r.inProgress, r.document, r.epoch, r.base = change.Target{}, true, r.Desired, observation.Epoch, observation.Revision
	r.attempt++
	return r.nextRequest()
}

// nextRequest returns the next request of the current attempt, if any.
func (r *Reconciler) nextRequest() (OutgoingRequest, bool) {
	request := r.target.NextRequest(true)
	if request == change.NoRequest {
		return OutgoingRequest{}, false
	}
	r.requestOpen = true
	return OutgoingRequest{Instance: r.Name, Request: request, ID: fmt.Sprintf("keep/%s/%s/%d", r.document, r.epoch, r.attempt), Document: r.document, Base: r.base, FromReconciler: true}, true
}

// RecordAnswer records the answer of the instance, and returns the next request, if any. It sends
// no commit if the desired document has changed since the prepare, because the commit would apply
// the outdated document.
func (r *Reconciler) RecordAnswer(now time.Duration, busy bool, a change.Answer) (OutgoingRequest, bool) {
	r.requestOpen = false
	if !r.inProgress {
		return OutgoingRequest{}, false
	}
	r.target.RecordAnswer(a)
	switch {
	case r.target.State == change.Done:
		r.inProgress, r.retryDelay = false, 0
	case r.target.State.Final():
		r.scheduleRetry(now)
	case r.Desired != r.document || busy:
		r.inProgress = false // the prepared change expires
	default:
		return r.nextRequest()
	}
	return OutgoingRequest{}, false
}

// RecordNoAnswer records that the instance did not answer. Its next observation shows the outcome
// of a commit.
func (r *Reconciler) RecordNoAnswer(now time.Duration) {
	r.requestOpen = false
	r.scheduleRetry(now)
}

// scheduleRetry ends the current attempt and doubles the delay before the next one.
func (r *Reconciler) scheduleRetry(now time.Duration) {
	r.inProgress = false
	r.retryDelay = min(max(minRetryDelay, 2*r.retryDelay), maxRetryDelay)
	r.retryAt = now + r.retryDelay
}

// FailureReason returns why the last attempt failed. It is "" if the attempt did not fail, and also
// if the instance gave no answer.
func (r *Reconciler) FailureReason() string {
	if r.retryDelay == 0 {
		return ""
	}
	return r.target.Reason
}

// SlidingWindow keeps recent request counts of an instance. They are the baseline for the
// evaluation of a change.
type SlidingWindow struct {
	epoch   string
	samples []sample // oldest first
}

type sample struct {
	at     time.Duration
	served change.RequestCounts
}

const (
	maxSamples     = 7
	sampleInterval = 5 * time.Second // with maxSamples, the window covers half a minute
)

// Add records the total counts of an instance, and returns the counts since the oldest sample. A
// new epoch empties the window.
func (w *SlidingWindow) Add(now time.Duration, epoch string, served change.RequestCounts) change.RequestCounts {
	if epoch != w.epoch {
		w.epoch, w.samples = epoch, nil
	}
	if n := len(w.samples); n == 0 || now-w.samples[n-1].at >= sampleInterval {
		if n == maxSamples {
			copy(w.samples, w.samples[1:])
			w.samples = w.samples[:n-1]
		}
		w.samples = append(w.samples, sample{now, served})
	}
	return served.Sub(w.samples[0].served)
}
