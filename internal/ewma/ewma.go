// Package ewma learns how fast servers are beside one another, by exponentially weighted means
// that are shrunk towards a prior.
//
// There are servers, each of one kind of machine. The list of servers gives each a weight; that is
// the prior. How long answers take, or what servers say that they take, is learnt for each kind, as
// single servers are seen too seldom, and replaces the prior the more has been seen. A single
// server is only told from its kind by how many times slower it is, and what was learnt of it is
// forgotten with time. Speeds mean nothing but beside one another.
//
// It does no I/O and has no clock: the caller says when things happened.
package ewma

import (
	"math"
	"time"

	"example.org/micaline/internal/weighted"
)

const (
	Gain      = 0.15     // weight of a sample of one server: a dozen settle a mean
	FleetGain = Gain / 4 // weight of one of all servers
	MaxSlow   = 8.0      // slower than this is the business of ejection

	kindDoubt = 8.0  // answers after which a kind's learnt speed counts as much as the list's weights
	forget    = 40.0 // usual answers' time after which half of a learnt speed is forgotten
	least     = 1e-3 // pace of a kind at least
)

// Kind is what servers of one kind of machine have in common.
type Kind struct {
	Ratio  weighted.Mean // time of an answer over its class's
	Recent weighted.Mean // reported service time, seconds
	seen   float64       // answers and reports that its pace was learnt from
}

// Fleet is what is learnt of all servers. The zero value knows nothing.
type Fleet struct {
	kinds  map[int]*Kind
	seen   float64       // answers and reports that kinds' paces were learnt from
	recent weighted.Mean // reported service time of all servers, seconds
}

// Kind returns what is known of a kind of machine.
func (f *Fleet) Kind(kind int) *Kind {
	k := f.kinds[kind]
	if k == nil {
		if f.kinds == nil {
			f.kinds = map[int]*Kind{}
		}
		k = &Kind{Ratio: weighted.Mean{V: 1, Known: true}}
		f.kinds[kind] = k
	}
	return k
}

// Learn takes in a sample of one of a kind's two means, and how sure it is from 0 to 1.
func (f *Fleet) Learn(k *Kind, pace *weighted.Mean, sample, sure float64) {
	k.seen, f.seen = k.seen+sure, f.seen+sure
	pace.Add(sample, sure*max(FleetGain, 1/(k.seen+kindDoubt/2)))
}

// Reported takes in a service time that any server has told of.
func (f *Fleet) Reported(recent float64) { f.recent.Add(recent, FleetGain) }

// Server is what is learnt of one server. The zero value is that of one that has not been met.
type Server struct {
	Base     float64 // speed by the list's first weight, 0 until Restart
	Slow     float64 // times slower than its kind
	learntAt time.Duration
}

// Restart begins anew, with a weight of the list: of another process nothing learnt holds.
func (s *Server) Restart(weight float64) {
	s.Slow = 1
	if s.Base = weight; !(weight > 0 && weight < math.MaxFloat32) {
		s.Base = 1
	}
}

// Slower takes in a sample of how many times slower than usual the server is; usual is a usual
// answer's time in seconds.
func (s *Server) Slower(ratio, weight, usual float64, now time.Duration) {
	s.Slow = 1 + (s.Slow-1)*math.Exp2(-(now-s.learntAt).Seconds()/(forget*usual))
	s.Slow += weight * (min(max(ratio, 1/MaxSlow), MaxSlow) - s.Slow)
	s.learntAt = now
}

// Speed is what a server of a kind can do, where so large a share of its requests does not fail: by
// the list's weight, then by how long its kind takes. Danger: weights without the cores' speed
// overload the slow kind; single servers are seen too seldom to mend that. How many are in work has
// no part in it: who is sent more would look faster and be sent more again.
func (f *Fleet) Speed(k *Kind, s *Server, sound float64) float64 {
	known := f.seen / (f.seen + kindDoubt)
	pace := k.Ratio.V
	if k.Recent.Known {
		pace = k.Recent.V / f.recent.V
	}
	return sound * sound * math.Pow(s.Base, 1-known) * math.Pow(max(pace, least), -known) / s.Slow
}
