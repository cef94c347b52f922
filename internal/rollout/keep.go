package rollout

import (
	"fmt"
	"time"

	"example.org/micaline/internal/change"
)

const (
	minRetryDelay = time.Second // after an instance that could not be brought to what is wanted
	maxRetryDelay = 5 * time.Minute
)

// Keeper brings one instance to the document that is wanted of it, whenever it shows another: after its process has
// begun anew, with nothing applied, or after somebody has set another by hand.
type Reconciler struct {
	Name    string
	Desired string // hash; "" for none

	target      change.Target
	document    string // that it is being brought to
	epoch       string
	base        uint64
	attempt     int
	inProgress  bool
	requestOpen bool
	retryAt     time.Duration
	retryDelay  time.Duration
}

// Look takes in what the instance shows, and returns what is to be sent. Nothing is while others change the instance.
func (k *Reconciler) Observe(now time.Duration, l Observation, busy bool) (OutgoingRequest, bool) {
	switch {
	case k.requestOpen:
		return OutgoingRequest{}, false
	case l.Hash == k.Desired && !l.Mixed || k.Desired == "" || busy:
		k.inProgress, k.retryDelay, k.retryAt = false, 0, 0
		return OutgoingRequest{}, false
	case l.Epoch != k.epoch: // there was nothing wrong with this one
		k.retryDelay, k.retryAt = 0, 0
	}
	if now < k.retryAt {
		return OutgoingRequest{}, false
	}
	k.target, k.inProgress, k.document, k.epoch, k.base = change.Target{}, true, k.Desired, l.Epoch, l.Revision
	k.attempt++
	return k.nextRequest()
}

func (k *Reconciler) nextRequest() (OutgoingRequest, bool) {
	q := k.target.NextRequest(true)
	if q == change.NoRequest {
		return OutgoingRequest{}, false
	}
	k.requestOpen = true
	return OutgoingRequest{Instance: k.Name, Request: q, ID: fmt.Sprintf("keep/%s/%s/%d", k.document, k.epoch, k.attempt), Document: k.document, Base: k.base, FromReconciler: true}, true
}

// Answered takes in the instance's answer, and returns what is to be sent next. Danger: the wanted document may be
// another by now, and a commit would bring the old one.
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
		k.inProgress = false // what is prepared expires
	default:
		return k.nextRequest()
	}
	return OutgoingRequest{}, false
}

// Silent takes in that the instance did not answer. What became of a commit its next look shows.
func (k *Reconciler) RecordNoAnswer(now time.Duration) {
	k.requestOpen = false
	k.scheduleRetry(now)
}

func (k *Reconciler) scheduleRetry(now time.Duration) {
	k.inProgress = false
	k.retryDelay = min(max(minRetryDelay, 2*k.retryDelay), maxRetryDelay)
	k.retryAt = now + k.retryDelay
}

// Refusal is why the instance is not as is wanted, "" if nothing is known against it.
func (k *Reconciler) FailureReason() string {
	if k.retryDelay == 0 {
		return ""
	}
	return k.target.Reason
}

// Window remembers what an instance has served lately, to compare with.
type SlidingWindow struct {
	epoch   string
	samples []sample // the oldest first
}

type sample struct {
	at     time.Duration
	served change.RequestCounts
}

const (
	maxSamples     = 7
	sampleInterval = 5 * time.Second // between samples: half a minute is remembered
)

// Add takes in an instance's counts, and returns what it has served since the oldest that are remembered.
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
