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

	epoch  uint64
	until  time.Duration // it may act before then
	baton  []byte
	turn   uint64 // number of the last question
	asked  time.Duration
	out    bool          // it has not been answered, nor given up
	next   time.Duration // when to ask again
	looked time.Duration
	wanted string // why it should let go
	word   []byte // to be said
	said   []byte // with the last renewal
}

// Ask is a question to the group, to be answered by Answered with its turn.
type Request struct {
	Number uint64
	Op     Op
}

// renewEvery and askAgain are parts of a term: two renewals may be lost before it is over.
const (
	renewEvery = 3
	askAgain   = 3
)

// Holds says whether the duty is held, under which epoch, and until when.
func (h *Holder) Holds(now time.Duration) (epoch uint64, until time.Duration, holds bool) {
	if h.epoch == 0 || now >= h.until {
		return 0, 0, false
	}
	return h.epoch, h.until, true
}

// Baton is what the holder before has left.
func (h *Holder) Baton() []byte { return h.baton }

// Step goes on, and returns what is to be asked. Free says that nobody seems to hold the duty: it is asked for then, after a
// patience that is each process's own, so that not all ask at once.
func (h *Holder) Tick(now time.Duration, free bool, patience time.Duration) *Request {
	if h.epoch != 0 && now >= h.until {
		h.drop(now)
	}
	if h.epoch != 0 && h.looked > 0 && now-h.looked > h.Term/renewEvery {
		h.wanted = "this process is late" // the next renewal may be too late
	}
	h.looked = now
	if h.out && now-h.asked >= h.Term/askAgain {
		h.out = false // what comes of it now is not heard any more
	}
	switch {
	case h.out:
	case h.epoch != 0 && (now >= h.next || !bytes.Equal(h.word, h.said)):
		h.said = h.word
		return h.ask(now, Op{Kind: Renew, Duty: h.Duty, Holder: h.Name, Epoch: h.epoch, Word: h.word})
	case h.epoch == 0 && !free:
		h.next = max(h.next, now)
	case h.epoch == 0 && now >= h.next+patience:
		h.next = now
		return h.ask(now, Op{Kind: Acquire, Duty: h.Duty, Holder: h.Name, Term: h.Term, NoRest: h.NoRest})
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
	h := fnv.New64a()
	h.Write([]byte(duty))
	h.Write([]byte{0})
	h.Write([]byte(process))
	x := h.Sum64() // whose high bits alone differ too little between names that end alike
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd // MurmurHash3's finalizer
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return time.Duration(float64(term) * (1 - math.Pow(u, 1/weight)))
}

// Wanted says why the holder should end what it does and let go; "" if it need not.
func (h *Holder) ReleaseReason() string { return h.wanted }

// LetGo gives the duty back, with a baton for the next holder, who is to be to if that is not empty. What is done under the
// duty must have ended.
func (h *Holder) Release(now time.Duration, to string, baton []byte) *Request {
	if h.epoch == 0 {
		return nil
	}
	op := Op{Kind: Release, Duty: h.Duty, Holder: h.Name, Epoch: h.epoch, To: to, Baton: baton}
	h.drop(now)
	return h.ask(now, op)
}

func (h *Holder) ask(now time.Duration, op Op) *Request {
	h.turn++
	h.asked, h.out = now, true
	return &Request{h.turn, op}
}

// drop ends the holding. Others go first for a term.
func (h *Holder) drop(now time.Duration) {
	h.epoch, h.until, h.out, h.wanted, h.next, h.word, h.said = 0, 0, false, "", now+h.Term, nil, nil
}

// Answered takes in what a question has come to. Danger: the time counts from when it was asked, not from now, and an answer
// to an earlier question says nothing of this one.
func (h *Holder) HandleAnswer(now time.Duration, turn uint64, a Answer) {
	if !h.out || turn != h.turn {
		return
	}
	h.out = false
	renewal := h.epoch != 0
	switch {
	case a.Refused != "" || a.Holder != h.Name || renewal && a.Epoch != h.epoch:
		if renewal {
			h.drop(now)
		}
		return
	case !renewal:
		h.baton, h.looked = a.Baton, now
	}
	h.epoch, h.until, h.next = a.Epoch, h.asked+h.Term, h.asked+h.Term/renewEvery
	if a.Release {
		h.wanted = "the group wants it elsewhere"
	}
	if now >= h.until {
		h.drop(now)
	}
}
