// Package ewma estimates the relative speed of servers by exponentially weighted moving averages
// that start from a prior.
//
// Each server belongs to a kind of machine. The prior is the weight that the server list gives.
// Latencies, or the service times that servers report, are learned for each kind, because a single
// server is seen too seldom, and replace the prior as samples accumulate. A single server only has
// a slowdown relative to its kind, which decays with time. Speeds are meaningful only relative to
// one another.
//
// The package does no I/O and has no clock: the caller passes the time.
package ewma

import (
	"math"
	"time"

	"example.org/micaline/internal/weighted"
)

const (
	ServerGain  = 0.15           // weight of a sample of one server: a dozen settle a mean
	FleetGain   = ServerGain / 4 // weight of a sample in a mean over many servers
	MaxSlowdown = 8.0            // upper bound of a slowdown; slower servers are left to ejection

	priorWeight        = 8.0  // samples of all kinds after which learned speeds count as much as the prior
	slowdownHalfLife   = 40.0 // typical latencies after which half of a slowdown is forgotten
	minRelativeLatency = 1e-3 // lower bound of a kind's relative latency
)

// Kind is what servers of one kind of machine have in common.
type Kind struct {
	RelativeLatency weighted.Mean // latency over the typical latency of its class
	ServiceTime     weighted.Mean // reported service time, seconds
	samples         float64       // number of samples, weighted by confidence
}

// Fleet is what is known of all servers. The zero value knows nothing.
type Fleet struct {
	kinds       map[int]*Kind
	samples     float64       // samples of all kinds
	serviceTime weighted.Mean // reported service time of all servers, seconds
}

// Kind returns the record of a kind of machine, which it creates if there is none.
func (f *Fleet) Kind(kind int) *Kind {
	k := f.kinds[kind]
	if k == nil {
		if f.kinds == nil {
			f.kinds = map[int]*Kind{}
		}
		k = &Kind{RelativeLatency: weighted.Mean{Value: 1, Known: true}}
		f.kinds[kind] = k
	}
	return k
}

// ObserveKind adds a sample to one of a kind's two means, with a confidence from 0 to 1.
func (f *Fleet) ObserveKind(k *Kind, mean *weighted.Mean, sample, confidence float64) {
	k.samples, f.samples = k.samples+confidence, f.samples+confidence
	mean.Add(sample, confidence*max(FleetGain, 1/(k.samples+priorWeight/2)))
}

// ObserveServiceTime adds a service time in seconds that any server has reported.
func (f *Fleet) ObserveServiceTime(serviceTime float64) { f.serviceTime.Add(serviceTime, FleetGain) }

// Server is what is known of one server. Call Reset before its first use.
type Server struct {
	BaseSpeed float64 // relative speed by the server list, 0 until Reset
	Slowdown  float64 // times slower than its kind
	updatedAt time.Duration
}

// Reset starts over with a weight of the server list: what was learned of an earlier process does
// not apply to the next.
func (s *Server) Reset(weight float64) {
	s.Slowdown = 1
	if s.BaseSpeed = weight; !(weight > 0 && weight < math.MaxFloat32) {
		s.BaseSpeed = 1
	}
}

// ObserveSlowdown adds a sample of how many times slower than its kind the server is. The typical
// latency is in seconds.
func (s *Server) ObserveSlowdown(ratio, weight, typicalLatency float64, now time.Duration) {
	s.Slowdown = 1 + (s.Slowdown-1)*math.Exp2(-(now-s.updatedAt).Seconds()/(slowdownHalfLife*typicalLatency))
	s.Slowdown += weight * (min(max(ratio, 1/MaxSlowdown), MaxSlowdown) - s.Slowdown)
	s.updatedAt = now
}

// Speed returns the relative speed of a server of a kind, which serves the given share of its
// requests without failure. It moves from the weight in the server list to the learned latency of
// the kind. Weights that leave out how fast a kind's cores are overload the slow kind, and single
// servers are seen too seldom to correct that. The number of requests in flight is left out: a
// server that is sent more would look faster and be sent still more.
func (f *Fleet) Speed(k *Kind, s *Server, successRate float64) float64 {
	learnedShare := f.samples / (f.samples + priorWeight)
	latency := k.RelativeLatency.Value
	if k.ServiceTime.Known {
		latency = k.ServiceTime.Value / f.serviceTime.Value
	}
	return successRate * successRate * math.Pow(s.BaseSpeed, 1-learnedShare) *
		math.Pow(max(latency, minRelativeLatency), -learnedShare) / s.Slowdown
}
