package lease

import (
	"bytes"
	"hash/fnv"
	"math"
	"time"
)

// Holder is the side of a process that wants a duty. Its clock is monotonic, and may drift.
type Holder struct {
	Duty string
	Name string // of this process, which no other has ever had
	Term time.Duration
	// NoRest says that the duty does not rest, however many of its holders are lost.
	NoRest bool

	epoch         uint64
	validUntil    time.Duration // it may act before then
	baton         []byte
	requestNumber uint64 // number of the last question
	requestedAt   time.Duration
	inFlight      bool          // it has not been answered, nor given up
	nextRequestAt time.Duration // when to ask again
	lastTick      time.Duration
	releaseReason string // why it should let go
	word          []byte // to be said
	publishedWord []byte // with the last renewal
}

// Ask is a question to the group, to be answered by Answered with its turn.
type Request struct {
	Number uint64
	Op     Op
}

// renewEvery and askAgain are parts of a term: two renewals may be lost before it is over.
const (
	renewalFraction = 3
	retryFraction   = 3
)

// Holds says whether the duty is held, under which epoch, and until when.
func (h *Holder) Holds(now time.Duration) (epoch uint64, until time.Duration, holds bool) {
	if h.epoch == 0 || now >= h.validUntil {
		return 0, 0, false
	}
	return h.epoch, h.validUntil, true
}

// Baton is what the holder before has left.
func (h *Holder) Baton() []byte { return h.baton }

// Step goes on, and returns what is to be asked. Free says that nobody seems to hold the duty: it is asked for then, after a
// patience that is each process's own, so that not all ask at once.
func (h *Holder) Tick(now time.Duration, free bool, acquireDelay time.Duration) *Request {
	if h.epoch != 0 && now >= h.validUntil {
		h.loseLease(now)
	}
	if h.epoch != 0 && h.lastTick > 0 && now-h.lastTick > h.Term/renewalFraction {
		h.releaseReason = "this process is late" // the next renewal may be too late
	}
	h.lastTick = now
	if h.inFlight && now-h.requestedAt >= h.Term/retryFraction {
		h.inFlight = false // what comes of it now is not heard any more
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

// Say has those who follow this holder told something, with the next renewal, which is at once if it is news.
func (h *Holder) Publish(word []byte) { h.word = word }

// Patience is how long a process leaves a free duty to others before it asks for it, less than a term. It is a rendezvous
// (highest random weight, Thaler and Ravishankar 1998) that nobody has to preside over: each duty has an order of its own of the
// processes, in which one of twice the weight is first twice as often, and whoever is first among those that live asks first. The
// others see it held before their turn comes, so that a fleet that starts at once asks a few times and not once each.
func AcquireDelay(duty, process string, weight float64, term time.Duration) time.Duration {
	hash := fnv.New64a()
	hash.Write([]byte(duty))
	hash.Write([]byte{0})
	hash.Write([]byte(process))
	sum := hash.Sum64() // whose high bits alone differ too little between names that end alike
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd // MurmurHash3's finalizer
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	sum ^= sum >> 33
	uniform := (float64(sum>>11) + 0.5) / (1 << 53)
	return time.Duration(float64(term) * (1 - math.Pow(uniform, 1/weight)))
}

// Wanted says why the holder should end what it does and let go; "" if it need not.
func (h *Holder) ReleaseReason() string { return h.releaseReason }

// LetGo gives the duty back, with a baton for the next holder, who is to be to if that is not empty. What is done under the
// duty must have ended.
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

// drop ends the holding. Others go first for a term.
func (h *Holder) loseLease(now time.Duration) {
	h.epoch, h.validUntil, h.inFlight, h.releaseReason, h.nextRequestAt, h.word, h.publishedWord = 0, 0, false, "", now+h.Term, nil, nil
}

// Answered takes in what a question has come to. Danger: the time counts from when it was asked, not from now, and an answer
// to an earlier question says nothing of this one.
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
		h.releaseReason = "the group wants it elsewhere"
	}
	if now >= h.validUntil {
		h.loseLease(now)
	}
}
