// Package seenids remembers ids for a while: those of requests that must not run twice.
//
// A Set has two generations. An id is added to the younger one; when a generation's time is over,
// the elder is forgotten and the younger takes its place. So an id is known for one such time at
// least and two at most, and what a Set holds is bounded by both its time and its size.
//
// A Set is a machine without I/O, clock or goroutines, and not safe for concurrent use.
package seenids

import "time"

// Set is the ids that were seen lately.
type Set struct {
	lasts       time.Duration
	most        int
	turned      time.Duration
	generations [2]map[string]struct{} // the younger first
}

// New returns an empty set, of which a generation lasts for a time and holds so many ids.
func New(now, lasts time.Duration, most int) *Set {
	return &Set{lasts: lasts, most: most, turned: now, generations: [2]map[string]struct{}{{}, {}}}
}

// Step lets time pass.
func (s *Set) Advance(now time.Duration) {
	for range s.generations {
		if now-s.turned < s.lasts {
			return
		}
		s.turned = min(s.turned+s.lasts, now)
		s.generations[0], s.generations[1] = map[string]struct{}{}, s.generations[0]
	}
	s.turned = now // both are empty
}

// Contains says whether an id is known.
func (s *Set) Contains(id string) bool {
	for _, generation := range s.generations {
		if _, known := generation[id]; known {
			return true
		}
	}
	return false
}

// Full says that no id can be added until the generation is over. Danger: to forget one in place of
// it would let that run twice.
func (s *Set) Full() bool { return len(s.generations[0]) >= s.most }

// Add takes in an id.
func (s *Set) Add(id string) { s.generations[0][id] = struct{}{} }

// Remove forgets an id: its request is proven not to have run.
func (s *Set) Remove(id string) {
	for _, generation := range s.generations {
		delete(generation, id)
	}
}
