package site

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// newsEvery is how long a pacer may say nothing new of a return and be followed: it takes a step in half a second, and one that
// has nothing to send there proves nothing.
const newsEvery = 5 * time.Second

// Word is what the pacer of a site says of it.
type PacerStatus struct {
	Loss  uint64  `json:"loss"` // counts the losses that it has found, and the epochs of pacers above: none comes again
	State State   `json:"state"`
	Part  float64 `json:"part"` // of its servers that are let in
}

// Check says what is wrong with a word that somebody else has said.
func (w *PacerStatus) Validate() error {
	if w.State > Recovering || !(w.Part >= 0 && w.Part <= 1) {
		return fmt.Errorf("state %d, part %v: a state is at most %d and a part from 0 to 1", w.State, w.Part, Recovering)
	}
	return nil
}

// Word is what this agent would say of a site as its pacer. There is nothing to say of one that it has never lost.
func (m *Monitor) PacerStatus(name string) (w PacerStatus, ok bool) {
	i := slices.Index(m.set.Names, name)
	if i < 0 || m.sites[i].losses == 0 {
		return PacerStatus{}, false
	}
	s := &m.sites[i]
	w = PacerStatus{Loss: s.losses, State: s.state, Part: 1}
	if n := len(s.servers); !s.open() && n > 0 {
		in := 0
		for _, o := range s.servers {
			if o.in {
				in++
			}
		}
		w.Part = float64(in) / float64(n)
	}
	return w, true
}

// Follow takes in what a site's pacer says, and the epoch under which it does; nil where nobody says anything.
func (m *Monitor) FollowPacer(now time.Duration, name string, epoch uint64, w *PacerStatus) {
	m.now = max(now, m.now)
	i := slices.Index(m.set.Names, name)
	if i < 0 {
		return
	}
	s := &m.sites[i]
	if w == nil {
		s.word = nil
		return
	}
	said := *w
	said.Loss += epoch << 32 // another pacer's first loss is not this one's
	if s.word == nil || *s.word != said {
		s.wordAt = m.now
	}
	s.word = &said
}

// Fits is how well this agent could pace a site, by what it has in work: who sends much proves much. One that has not found the site
// lost has nothing to say of it, and one that reaches nothing can't tell.
func (m *Monitor) PacerWeight(name string) float64 {
	i := slices.Index(m.set.Names, name)
	if i < 0 || m.sites[i].state != Lost && m.sites[i].state != Recovering || !m.anyStands() {
		return 0
	}
	held := 0.0
	for j := range m.sites {
		h, _ := m.carries(j)
		held += h
	}
	return 1 + min(held, 63)
}

// pacer is the word that is followed. That a site is lost holds as long as somebody says so.
func (m *Monitor) pacer(s *site) *PacerStatus {
	if w := s.word; w != nil && (w.State == Lost || m.now-s.wordAt < newsEvery) {
		return w
	}
	return nil
}

// proven says that the site's pacer has proven the next step of a return for all.
func (m *Monitor) proven(s *site) bool {
	w := m.pacer(s)
	return w != nil && w.State != Lost && s.let < m.most(s)
}

// most is how many of a returning site's servers may be let in.
func (m *Monitor) most(s *site) int {
	w := m.pacer(s)
	switch {
	case w == nil, w.State == Lost && m.now-s.wordAt >= newsEvery: // it may be the pacer that is cut off
		return len(s.servers)
	case w.State == Lost: // again: what is let in here stays while it answers
		return s.let
	}
	return min(len(s.servers), max(1, int(math.Ceil(w.Part*float64(len(s.servers))))))
}
