package lease

import (
	"bytes"
	"hash/fnv"
	"math"
	"time"
)

// Holder is the side of a process that wants a duty. The times passed to it are those of a
// monotonic clock, which may drift.
type Holder struct {
	Duty string
	Name string // of this process, never used by another process
	Term time.Duration
	// NoRest keeps the duty from resting, however many of its holders are lost.
	NoRest bool

	epoch         uint64
	validUntil    time.Duration // the lease is valid before this time
	baton         []byte
	requestNumber uint64 // number of the latest request
	requestedAt   time.Duration
	inFlight      bool          // the latest request is neither answered nor abandoned
	nextRequestAt time.Duration // earliest time of the next renewal; an acquire delay starts then
	lastTick      time.Duration
	releaseReason string // why the holder should release the duty
	word          []byte // to publish
	publishedWord []byte // sent with the latest renewal
}

// Request is a request to the group. Its answer goes to HandleAnswer with the same number.
type Request struct {
	Number uint64
	Op     Op
}

// A lease is renewed after term/renewalFraction, and an unanswered request is abandoned after
// term/retryFraction. So two renewals may be lost before the lease expires.
const (
	renewalFraction = 3
	retryFraction   = 3
)

// Holds reports whether the duty is held, under which epoch, and until when.
func (h *Holder) Holds(now time.Duration) (epoch uint64, until time.Duration, holds bool) {
	if h.epoch == 0 || now >= h.validUntil {
		return 0, 0, false
	}
	return h.epoch, h.validUntil, true
}

// Baton returns the data that the previous holder left.
func (h *Holder) Baton() []byte { return h.baton }

// Tick returns the next request to send, or nil. It has to be called regularly. If free is true,
// the duty appears to have no holder and is acquired after acquireDelay. The delay should differ
// between processes, so that they do not all send requests at once.
func (h *Holder) Tick(now time.Duration, free bool, acquireDelay time.Duration) *Request {
	if h.epoch != 0 && now >= h.validUntil {
		h.loseLease(now)
	}
	if h.epoch != 0 && h.lastTick > 0 && now-h.lastTick > h.Term/renewalFraction {
		h.releaseReason = "this process is late" // the next renewal may come after the lease has expired
	}
	h.lastTick = now
	if h.inFlight && now-h.requestedAt >= h.Term/retryFraction {
		h.inFlight = false // a later answer is ignored
	}
	switch {
	case h.inFlight:
	case h.epoch != 0 && (now >= h.nextRequestAt || !bytes.Equal(h.word, h.publishedWord)):
		h.publishedWord = h.word
		return h.newRequest(now, Op{Kind: Renew, Duty: h.Duty, Holder: h.Name, Epoch: h.epoch, Word: h.word})
	case h.epoch == 0 && !free:
		h.nextRequestAt = max(h.nextRequestAt, now)
	case h.epoch == 0 && now >= h.nextRequestAt+acquireDelay:
		h.nextRequestAt = now
		return h.newRequest(now, Op{Kind: Acquire, Duty: h.Duty, Holder: h.Name, Term: h.Term, NoRest: h.NoRest})
	}
	return nil
}

// Publish sets the word for the followers of this holder. It is sent with the next renewal, which
// is due at once if the word has changed.
func (h *Holder) Publish(word []byte) { h.word = word }

// AcquireDelay returns how long a process waits before it requests a free duty. It is less than a
// term. It uses rendezvous hashing (highest random weight, Thaler and Ravishankar 1998), which
// needs no coordinator: each duty has its own order of the processes, in which a process of twice
// the weight is first twice as often, and the first running process requests the duty first. The
// others see that it is held before their delays end, so a fleet that starts at once sends a few
// requests instead of one per process.
func AcquireDelay(duty, process string, weight float64, term time.Duration) time.Duration {
	hash := fnv.New64a()
	hash.Write([]byte(duty))
	hash.Write([]byte{0})
	hash.Write([]byte(process))
	sum := hash.Sum64() // its high bits differ too little between names with the same ending
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd // MurmurHash3's finalizer
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	sum ^= sum >> 33
	uniform := (float64(sum>>11) + 0.5) / (1 << 53)
	return time.Duration(float64(term) * (1 - math.Pow(uniform, 1/weight)))
}

// ReleaseReason returns why the holder should stop its work and release the duty, or "" if it need
// not.
func (h *Holder) ReleaseReason() string { return h.releaseReason }

// Release gives the duty up and returns the request to send, with a baton for the next holder. If
// to is not empty, only that process or member may acquire the duty for one term. The work under
// the duty must have ended.
func (h *Holder) Release(now time.Duration, to string, baton []byte) *Request {
	if h.epoch == 0 {
		return nil
	}
	op := Op{Kind: Release, Duty: h.Duty, Holder: h.Name, Epoch: h.epoch, To: to, Baton: baton}
	h.loseLease(now)
	return h.newRequest(now, op)
}

func (h *Holder) newRequest(now time.Duration, op Op) *Request {
	h.requestNumber++
	h.requestedAt, h.inFlight = now, true
	return &Request{h.requestNumber, op}
}

// loseLease ends the lease on this side. This process does not try to acquire the duty for a term,
// so that others come first.
func (h *Holder) loseLease(now time.Duration) {
	h.epoch, h.validUntil, h.inFlight, h.releaseReason, h.nextRequestAt, h.word, h.publishedWord = 0, 0, false, "", now+h.Term, nil, nil
}

// HandleAnswer processes the answer to a request. The term counts from when the request was sent,
// not from when the answer arrived, because the group may have started to count at any time
// between. Answers to earlier requests are ignored, because they say nothing about the current one.
func (h *Holder) HandleAnswer(now time.Duration, number uint64, answer Answer) {
	if !h.inFlight || number != h.requestNumber {
		return
	}
	h.inFlight = false
	renewing := h.epoch != 0
	switch {
	case answer.Refused != "" || answer.Holder != h.Name || renewing && answer.Epoch != h.epoch:
		if renewing {
			h.loseLease(now)
		}
		return
	case !renewing:
		h.baton, h.lastTick = answer.Baton, now
	}
	h.epoch, h.validUntil, h.nextRequestAt = answer.Epoch, h.requestedAt+h.Term, h.requestedAt+h.Term/renewalFraction
	if answer.Release {
		h.releaseReason = "the group hands the duty over to another process"
	}
	if now >= h.validUntil {
		h.loseLease(now)
	}
}
