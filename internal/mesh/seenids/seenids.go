// Package seenids remembers the ids of requests that must not run twice, for a limited time.
//
// A Set has two generations. An id is added to the younger one. When the lifetime of a generation
// is over, the older one is discarded and the younger one takes its place. An id is therefore
// remembered for at least one lifetime and at most two, and the size of a Set is bounded by the
// lifetime and by the maximum number of ids of a generation.
//
// A Set has no I/O, clock or goroutines, and is not safe for concurrent use.
package seenids

import "time"

// Set is a set of recently seen ids.
type Set struct {
	lifetime    time.Duration          // of a generation
	maxIDs      int                    // per generation
	rotatedAt   time.Duration          // when the younger generation began
	generations [2]map[string]struct{} // the younger one first
}

// New returns an empty set. A generation lasts for lifetime and holds at most maxIDs ids.
func New(now, lifetime time.Duration, maxIDs int) *Set {
	return &Set{lifetime: lifetime, maxIDs: maxIDs, rotatedAt: now, generations: [2]map[string]struct{}{{}, {}}}
}

// Advance discards generations whose lifetime is over. Callers pass the current time before they
// use the set.
func (s *Set) Advance(now time.Duration) {
	for range s.generations {
		if now-s.rotatedAt < s.lifetime {
			return
		}
		s.rotatedAt = min(s.rotatedAt+s.lifetime, now)
		s.generations[0], s.generations[1] = map[string]struct{}{}, s.generations[0]
	}
	s.rotatedAt = now // both are empty
}

// Contains reports whether an id is remembered.
func (s *Set) Contains(id string) bool {
	for _, generation := range s.generations {
		if _, known := generation[id]; known {
			return true
		}
	}
	return false
}

// Full reports whether the younger generation has no room for another id. A caller must refuse new
// requests then: discarding an id to make room would let its request run twice.
func (s *Set) Full() bool { return len(s.generations[0]) >= s.maxIDs }

// Add remembers an id.
func (s *Set) Add(id string) { s.generations[0][id] = struct{}{} }

// Remove forgets an id whose request is proven not to have run.
func (s *Set) Remove(id string) {
	for _, generation := range s.generations {
		delete(generation, id)
	}
}
