package lease

import "time"

// Follower is the side of a process that follows what a duty's holder says. It asks somebody who knows the table now and then,
// who may be behind: what is older than what was heard before is not heard. A word is fresh for a Life from when it was first
// asked for in its present version, as each renewal makes a new one: no clock is compared with another, and the word of a holder
// that has stopped, or of a table that nobody renews, ends by itself.
type Follower struct {
	MaxAge time.Duration

	epoch, version uint64
	word           []byte
	asked          time.Duration
}

// Heard takes in what was answered to a question that was asked at a time.
func (f *Follower) Update(asked time.Duration, epoch, version uint64, word []byte) {
	if epoch < f.epoch || epoch == f.epoch && version <= f.version {
		return
	}
	f.epoch, f.version, f.word, f.asked = epoch, version, word, asked
}

// Word is what is to be followed, and the epoch under which it was said; nil if there is nothing fresh.
func (f *Follower) Current(now time.Duration) (word []byte, epoch uint64) {
	if f.word == nil || now-f.asked >= f.MaxAge {
		return nil, 0
	}
	return f.word, f.epoch
}
