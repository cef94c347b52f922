package transport

import "sync/atomic"

// ByteBudget bounds the bytes of bodies that a process holds at once. Danger: a process that goes over
// its memory is killed with all that it has in hand, so what finds no budget is refused while that may
// still be said.
type ByteBudget struct{ available atomic.Int64 }

// NewByteBudget returns a budget of so many bytes.
func NewByteBudget(bytes int64) *ByteBudget {
	b := &ByteBudget{}
	b.available.Store(bytes)
	return b
}

// Reserve takes bytes for a body, if there are enough.
func (b *ByteBudget) Reserve(bytes int64) bool {
	if b.available.Add(-bytes) >= 0 {
		return true
	}
	b.available.Add(bytes)
	return false
}

// Release gives bytes back.
func (b *ByteBudget) Release(bytes int64) { b.available.Add(bytes) }

// Available is how many bytes are left.
func (b *ByteBudget) Available() int64 { return b.available.Load() }
