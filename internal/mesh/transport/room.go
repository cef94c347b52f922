package transport

import "sync/atomic"

// Room bounds the bytes of bodies that a process holds at once. Danger: a process that goes over its memory is killed with all that it
// has in hand, so what finds no room is refused while that may still be said.
type Room struct{ left atomic.Int64 }

// NewRoom returns room for so many bytes.
func NewRoom(bytes int64) *Room {
	r := &Room{}
	r.left.Store(bytes)
	return r
}

// Take takes room for a body, if there is some.
func (r *Room) Take(bytes int64) bool {
	if r.left.Add(-bytes) >= 0 {
		return true
	}
	r.left.Add(bytes)
	return false
}

// Free gives room back.
func (r *Room) Free(bytes int64) { r.left.Add(bytes) }

// Left is how many bytes there is room for.
func (r *Room) Left() int64 { return r.left.Load() }
