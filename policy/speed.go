package policy

import (
	"math"
	"time"

	"example.org/micaline/internal/ewma"
	"example.org/micaline/internal/outlier"
	"example.org/micaline/internal/weighted"
)

const (
	rebuildStep      = 0.1 // relative change of a weight that requires new pools; less is noise
	remoteZoneWeight = 0.5 // factor on the weight of a server in another zone, where crossing costs
)

// warmFraction is the least share of its capacity that a server has by now.
func (b *Balancer) warmFraction(s *server) float64 {
	age := b.now - s.Start
	if s.Start == 0 || age >= b.cfg.WarmAfter {
		return 1
	}
	return b.cfg.ColdFrom + (1-b.cfg.ColdFrom)*max(0, age.Seconds()/b.cfg.WarmAfter.Seconds())
}

// observeLatency learns from an answer's latency, relative to its class and to its kind of machine.
func (b *Balancer) observeLatency(c *class, s *server, latency, confidence float64) {
	ratio, kind := latency/c.typicalLatency.Value, b.fleet.Kind(s.Kind)
	c.typicalLatency.Add(min(latency, 4*c.typicalLatency.Value), ewma.FleetGain*confidence)
	b.serviceTime.Add(latency, ewma.FleetGain*confidence)
	b.observeKind(s, &kind.RelativeLatency, min(ratio, 4), confidence)
	if s.load.ServiceTime <= 0 && s.load.Rate <= 0 { // else the server reports it; own queueing is no slowness
		// With unknown parallelism own requests may not queue at all: dividing by them would make a server that is
		// sent more look faster and be sent still more, until it is congested.
		if ratio /= kind.RelativeLatency.Value; b.cfg.Reports != ReportsOff {
			ratio /= 1 + float64(s.inFlight)/b.parallelism.Slots()
		}
		b.observeSlowdown(s, ratio, ewma.ServerGain*confidence)
	}
}

func (b *Balancer) observeKind(s *server, mean *weighted.Mean, sample, confidence float64) {
	if (b.warmFraction(s) == 1 || !mean.Known) && !s.reportsQueue() { // cold servers are not typical of their kind
		b.fleet.ObserveKind(b.fleet.Kind(s.Kind), mean, sample, confidence)
	}
}

func (b *Balancer) observeSlowdown(s *server, ratio, weight float64) {
	s.speed.ObserveSlowdown(ratio, weight, b.classes[0].typicalLatency.Value, b.now)
	b.invalidatePools(s)
}

// invalidatePools has the pools rebuilt once a server's weight differs from the one in them.
func (b *Balancer) invalidatePools(s *server) {
	if math.Abs(b.drawWeight(s)-s.poolWeight) > rebuildStep*s.poolWeight {
		b.epoch++
	}
}

func (b *Balancer) warmSpeed(s *server) float64 {
	// Failures lower the speed. If half of the servers failed a quarter of their requests and were ejected for it,
	// the rest would be overloaded and each readmitted server in turn would get all the traffic.
	return b.fleet.Speed(b.fleet.Kind(s.Kind), &s.speed, max(outlier.BestSuccessRate(s.health), 0.1))
}

func (b *Balancer) drawWeight(s *server) float64 {
	w := b.warmSpeed(s) * b.warmFraction(s)
	if b.cfg.CrossZone > 0 && s.Zone != b.cfg.Zone {
		w *= remoteZoneWeight
	}
	return w
}

// applyReport learns from a server's own report, which may have been unread for agentDelay.
func (b *Balancer) applyReport(s *server, l Load, agentDelay time.Duration) {
	if !l.Known {
		return
	}
	if s.load, s.reportedAt, s.sentSinceReport = l, b.now-agentDelay, 0; l.ServiceTime > 0 {
		kind := b.fleet.Kind(s.Kind) // a single report is noise, and the maximum of several is worse
		b.observeKind(s, &kind.ServiceTime, l.ServiceTime.Seconds(), 1)
		b.fleet.ObserveServiceTime(l.ServiceTime.Seconds())
		b.observeSlowdown(s, l.ServiceTime.Seconds()/kind.ServiceTime.Value, 2*ewma.ServerGain)
		b.parallelism.Observe(l.Rate, l.ServiceTime.Seconds(), l.InFlight)
	}
	if totalRate := l.ErrorRate + l.Rate; l.ErrorRate >= 0 && l.Rate >= 0 && totalRate > 0 {
		for i := range b.classes { // else each of many agents would have to see a server's failures itself
			c, h := &b.classes[i], &s.health[i]
			if h.FailureRate = l.ErrorRate / (totalRate + 1); h.Failing() && b.failureWeight(c, s) == 1 {
				b.addFailureScore(c, s, 1, "reported errors")
			}
		}
	}
	if parallelism := b.parallelism.Slots(); b.reportsLoad(s) {
		excess := max(0, l.InFlight-parallelism) // 0 for idle servers: if most is shed, only their reports end it
		if l.Queue >= 0 {
			b.queueRatio.Add(excess/parallelism, ewma.FleetGain)
		}
		b.updateShedding(min(1, excess/(2*b.queueFactor*math.Sqrt(parallelism))))
	}
}

func (s *server) reportsQueue() bool { return s.load.Known && s.load.Queue >= 0 }

func (b *Balancer) reportsLoad(s *server) bool {
	return s.reportsQueue() || s.load.Known && s.load.InFlight >= 0 && b.parallelism.Known()
}
