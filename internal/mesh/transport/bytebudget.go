package transport

import "sync/atomic"

// ByteBudget limits the memory for the bodies that a process holds at once. A process that exceeds
// its memory limit is killed together with all requests in progress, so a body that does not fit
// the budget is refused while the request can still be refused safely.
type ByteBudget struct{ available atomic.Int64 }

// NewByteBudget returns a budget of the given size.
func NewByteBudget(bytes int64) *ByteBudget {
	b := &ByteBudget{}
	b.available.Store(bytes)
	return b
}

// Reserve takes bytes from the budget. It returns false if not enough are available.
func (b *ByteBudget) Reserve(bytes int64) bool {
	if b.available.Add(-bytes) >= 0 {
		return true
	}
	b.available.Add(bytes)
	return false
}

// Release returns bytes to the budget. A negative number takes bytes without a check, for a body
// that must be accepted.
func (b *ByteBudget) Release(bytes int64) { b.available.Add(bytes) }

// Available returns how many bytes are left. It is negative if too many were taken without a check.
func (b *ByteBudget) Available() int64 { return b.available.Load() }
