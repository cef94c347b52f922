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
func (k *Reconciler) Observe(now time.Duration, l Observation, busy bool) (OutgoingRequest, bool) {
	switch {
	case k.requestOpen:
		return OutgoingRequest{}, false
	case l.Hash == k.Desired && !l.Mixed || k.Desired == "" || busy:
		k.inProgress, k.retryDelay, k.retryAt = false, 0, 0
		return OutgoingRequest{}, false
	case l.Epoch != k.epoch: // the delay was due to failures of another process
		k.retryDelay, k.retryAt = 0, 0
	}
	if now < k.retryAt {
		return OutgoingRequest{}, false
	}
	k.target, k.inProgress, k.document, k.epoch, k.base = change.Target{}, true, k.Desired, l.Epoch, l.Revision
	k.attempt++
	return k.nextRequest()
}

// nextRequest returns the next request of the current attempt, if any.
func (k *Reconciler) nextRequest() (OutgoingRequest, bool) {
	q := k.target.NextRequest(true)
	if q == change.NoRequest {
		return OutgoingRequest{}, false
	}
	k.requestOpen = true
	return OutgoingRequest{Instance: k.Name, Request: q, ID: fmt.Sprintf("keep/%s/%s/%d", k.document, k.epoch, k.attempt), Document: k.document, Base: k.base, FromReconciler: true}, true
}

// RecordAnswer records the answer of the instance, and returns the next request, if any. It sends
// no commit if the desired document has changed since the prepare, because the commit would apply
// the outdated document.
func (k *Reconciler) RecordAnswer(now time.Duration, busy bool, a change.Answer) (OutgoingRequest, bool) {
	k.requestOpen = false
	if !k.inProgress {
		return OutgoingRequest{}, false
	}
	k.target.RecordAnswer(a)
	switch {
	case k.target.State == change.Done:
		k.inProgress, k.retryDelay = false, 0
	case k.target.State.Final():
		k.scheduleRetry(now)
	case k.Desired != k.document || busy:
		k.inProgress = false // the prepared change expires
	default:
		return k.nextRequest()
	}
	return OutgoingRequest{}, false
}

// RecordNoAnswer records that the instance did not answer. Its next observation shows the outcome
// of a commit.
func (k *Reconciler) RecordNoAnswer(now time.Duration) {
	k.requestOpen = false
	k.scheduleRetry(now)
}

// scheduleRetry ends the current attempt and doubles the delay before the next one.
func (k *Reconciler) scheduleRetry(now time.Duration) {
	k.inProgress = false
	k.retryDelay = min(max(minRetryDelay, 2*k.retryDelay), maxRetryDelay)
	k.retryAt = now + k.retryDelay
}

// FailureReason returns why the last attempt failed, "" if it did not fail.
func (k *Reconciler) FailureReason() string {
	if k.retryDelay == 0 {
		return ""
	}
	return k.target.Reason
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
	sampleInterval = 5 * time.Second // time between samples; with maxSamples, the window covers half a minute
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
