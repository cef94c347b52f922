package policy

// The list of servers, and the order that they stand in.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/micaline/internal/limit"
	"example.org/micaline/internal/outlier"
)

func (b *Balancer) onList(ev *Event) {
	if ev.ListMode == ListFailed {
		// Danger: agents that fail together and ask again together fail again.
		b.asks++
		b.askIn((0.5 + b.rng.Float64()) * float64(min(b.set.MustAskIn, time.Second<<min(b.asks, 5))))
		return
	}
	b.epoch, b.asks = b.epoch+1, 0
	if ev.ListMode == ListCached && b.set.AskList {
		// The list service has a fixed capacity: the agents' first calls are spread by rank.
		b.askIn(0.6 * float64(b.set.MustAskIn) * (float64(b.set.Rank) + b.rng.Float64()) / float64(b.set.Agents))
	}
	if ev.ListMode != ListDelta {
		for _, s := range b.ring { // who is absent from a whole list is gone
			s.State = Gone
		}
	}
	for i := range ev.Servers {
		e := &ev.Servers[i]
		if s := b.entry(e); s != nil {
			if s.pace.Base == 0 || s.Start != e.Start {
				s.restart(e)
			}
			s.ServerEntry = *e
		}
	}
	b.ring = slices.DeleteFunc(b.ring, func(s *server) bool {
		gone := s.State == Gone && s.inFlight == 0
		if gone {
			delete(b.servers, s.ID)
		}
		return gone
	})
}

// restart forgets what was learnt of a process that is gone.
func (s *server) restart(e *ServerEntry) {
	s.full, s.used, s.load.Known, s.room = 0, 0, false, limit.Concurrency{}
	s.pace.Restart(e.Weight)
	clear(s.health)
}

// entry finds the server of a line of the list, or makes it; a server not known that is gone stays unknown.
func (b *Balancer) entry(e *ServerEntry) *server {
	s := b.servers[e.ID]
	if s == nil && e.State != Gone {
		s = &server{rank: b.order(e.ID), health: make([]outlier.Record, len(b.classes))}
		b.servers[e.ID] = s
		byRank := func(o *server, rank float64) int { return cmp.Compare(o.rank, rank) }
		i, _ := slices.BinarySearchFunc(b.ring, s.rank, byRank)
		b.ring = slices.Insert(b.ring, i, s)
	}
	return s
}

// order places a server on this agent's ring by rendezvous hashing: one that comes or goes moves no other.
func (b *Balancer) order(id ServerID) float64 {
	return -float64(rand.NewPCG(uint64(id), uint64(b.set.Rank)).Uint64())
}

// askIn asks for the list after a while.
func (b *Balancer) askIn(wait float64) {
	b.act(Action{Kind: ActTimer, Token: tokenAsk, Wait: time.Duration(wait)})
}
