package rollout

import (
	"fmt"
	"time"

	"example.org/micaline/internal/change"
)

const (
	firstAgain = time.Second // after an instance that could not be brought to what is wanted
	lastAgain  = 5 * time.Minute
)

// Keeper brings one instance to the document that is wanted of it, whenever it shows another: after its process has
// begun anew, with nothing applied, or after somebody has set another by hand.
type Reconciler struct {
	Name    string
	Desired string // hash; "" for none

	target change.Target
	doc    string // that it is being brought to
	epoch  string
	base   uint64
	try    int
	active bool
	asked  bool
	due    time.Duration
	wait   time.Duration
}

// Look takes in what the instance shows, and returns what is to be sent. Nothing is while others change the instance.
func (k *Reconciler) Observe(now time.Duration, l Observation, busy bool) (OutgoingRequest, bool) {
	switch {
	case k.asked:
		return OutgoingRequest{}, false
	case l.Hash == k.Desired && !l.Mixed || k.Desired == "" || busy:
		k.active, k.wait, k.due = false, 0, 0
		return OutgoingRequest{}, false
	case l.Epoch != k.epoch: // there was nothing wrong with this one
		k.wait, k.due = 0, 0
	}
	if now < k.due {
		return OutgoingRequest{}, false
	}
	k.target, k.active, k.doc, k.epoch, k.base = change.Target{}, true, k.Desired, l.Epoch, l.Revision
	k.try++
	return k.next()
}

func (k *Reconciler) next() (OutgoingRequest, bool) {
	q := k.target.NextRequest(true)
	if q == change.NoRequest {
		return OutgoingRequest{}, false
	}
	k.asked = true
	return OutgoingRequest{Instance: k.Name, Request: q, ID: fmt.Sprintf("keep/%s/%s/%d", k.doc, k.epoch, k.try), Document: k.doc, Base: k.base, FromReconciler: true}, true
}

// Answered takes in the instance's answer, and returns what is to be sent next. Danger: the wanted document may be
// another by now, and a commit would bring the old one.
func (k *Reconciler) RecordAnswer(now time.Duration, busy bool, a change.Answer) (OutgoingRequest, bool) {
	k.asked = false
	if !k.active {
		return OutgoingRequest{}, false
	}
	k.target.RecordAnswer(a)
	switch {
	case k.target.State == change.Done:
		k.active, k.wait = false, 0
	case k.target.State.Final():
		k.later(now)
	case k.Desired != k.doc || busy:
		k.active = false // what is prepared expires
	default:
		return k.next()
	}
	return OutgoingRequest{}, false
}

// Silent takes in that the instance did not answer. What became of a commit its next look shows.
func (k *Reconciler) RecordNoAnswer(now time.Duration) {
	k.asked = false
	k.later(now)
}

func (k *Reconciler) later(now time.Duration) {
	k.active = false
	k.wait = min(max(firstAgain, 2*k.wait), lastAgain)
	k.due = now + k.wait
}

// Refusal is why the instance is not as is wanted, "" if nothing is known against it.
func (k *Reconciler) FailureReason() string {
	if k.wait == 0 {
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
	windowSamples = 7
	windowStep    = 5 * time.Second // between samples: half a minute is remembered
)

// Add takes in an instance's counts, and returns what it has served since the oldest that are remembered.
func (w *SlidingWindow) Add(now time.Duration, epoch string, served change.RequestCounts) change.RequestCounts {
	if epoch != w.epoch {
		w.epoch, w.samples = epoch, nil
	}
	if n := len(w.samples); n == 0 || now-w.samples[n-1].at >= windowStep {
		if n == windowSamples {
			copy(w.samples, w.samples[1:])
			w.samples = w.samples[:n-1]
		}
		w.samples = append(w.samples, sample{now, served})
	}
	return served.Sub(w.samples[0].served)
}
