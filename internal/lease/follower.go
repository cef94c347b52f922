package lease

import "time"

// Follower is the side of a process that follows the word (message) that a duty's holder publishes.
// It regularly queries a member that has the table. The member may lag, so an answer older than an
// earlier one is ignored. A word is valid for MaxAge after the query that first returned its
// version, and each renewal makes a new version. So no clocks are compared, and the word of a
// holder that has stopped, or of a table that is no longer updated, expires by itself.
type Follower struct {
	MaxAge time.Duration

	epoch, version uint64
	word           []byte
	requestedAt    time.Duration
}

// Update processes the answer to a query that was sent at the given time.
func (f *Follower) Update(requestedAt time.Duration, epoch, version uint64, word []byte) {
	if epoch < f.epoch || epoch == f.epoch && version <= f.version {
		return
	}
	f.epoch, f.version, f.word, f.requestedAt = epoch, version, word, requestedAt
}

// Current returns the word to follow and the epoch under which it was published, or nil if none is
// valid.
func (f *Follower) Current(now time.Duration) (word []byte, epoch uint64) {
	if f.word == nil || now-f.requestedAt >= f.MaxAge {
		return nil, 0
	}
	return f.word, f.epoch
}
