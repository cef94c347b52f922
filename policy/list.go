package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/micaline/internal/limit"
	"example.org/micaline/internal/outlier"
)

func (b *Balancer) onList(ev *Event) {
	if ev.ListMode == ListFailed { // jitter and backoff: agents that failed together must not retry together
		b.listFailures++
		b.subscribeAfter((0.5 + b.rng.Float64()) * float64(min(b.cfg.MustAskIn, time.Second<<min(b.listFailures, 5))))
		return
	}
	b.epoch, b.listFailures = b.epoch+1, 0
	if ev.ListMode == ListCached && b.cfg.AskList { // spread by rank: the capacity of the list service is fixed
		b.subscribeAfter(0.6 * float64(b.cfg.MustAskIn) * (float64(b.cfg.Rank) + b.rng.Float64()) / float64(b.cfg.Agents))
	}
	if ev.ListMode != ListDelta {
		for _, s := range b.ring { // servers that are not in a full list are gone
			s.State = Gone
		}
	}
	for i := range ev.Servers {
		e := &ev.Servers[i]
		if s := b.findOrAdd(e); s != nil {
			if s.speed.BaseSpeed == 0 || s.Start != e.Start {
				s.resetLearned(e)
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

func (s *server) resetLearned(e *ServerEntry) {
	s.avoidUntil, s.answeredAt, s.load.Known, s.concurrency = 0, 0, false, limit.ConcurrencyLimit{}
	s.speed.Reset(e.Weight)
	clear(s.health)
}

func (b *Balancer) findOrAdd(e *ServerEntry) *server {
	s := b.servers[e.ID]
	if s == nil && e.State != Gone {
		s = &server{position: b.ringPosition(e.ID), health: make([]outlier.Record, len(b.classes))}
		b.servers[e.ID] = s
		byPosition := func(o *server, position float64) int { return cmp.Compare(o.position, position) }
		i, _ := slices.BinarySearchFunc(b.ring, s.position, byPosition)
		b.ring = slices.Insert(b.ring, i, s)
	}
	return s
}

// ringPosition places a server on this agent's ring by rendezvous hashing: one that joins or leaves moves no other.
func (b *Balancer) ringPosition(id ServerID) float64 {
	return -float64(rand.NewPCG(uint64(id), uint64(b.cfg.Rank)).Uint64())
}

func (b *Balancer) subscribeAfter(wait float64) {
	b.emit(Action{Kind: ActTimer, Token: timerSubscribe, Wait: time.Duration(wait)})
}
