package limit

import (
	"math"
	"time"
)

// ShedSetpoint is the load signal at which the level of shedding stays as it is. A higher signal
// raises the level, and a lower one reduces it.
const ShedSetpoint = 0.5

const (
	MaxShedLevel = 2.0  // above 1, as callers that retry refused requests have to be refused more than once
	noiseLevel   = 0.15 // level that noise alone reaches: it sheds nothing
	shedGain     = 0.2  // level added by a signal 1 above the setpoint: a few late answers have half of the requests shed
	decayTargets = 16.0 // target latencies after which the level has halved by itself
)

// ShedController computes the share of requests to shed from load signals. A load signal is the
// latency over the target latency, or tells in the same range how full servers are. It is an
// integral controller: a lasting overload raises the level until enough is shed to end it.
type ShedController struct {
	Level     float64 // share to shed before noiseLevel is deducted
	updatedAt time.Duration
	decayedAt time.Duration
}

// Update adds a load signal with a weight from 0 to 1.
func (c *ShedController) Update(load, weight float64) {
	c.Level = min(max(0, c.Level+weight*shedGain*(min(load, 2)-ShedSetpoint)), MaxShedLevel)
}

// UpdateRateLimited adds a load signal that other requests of the same moment share: signals within
// one service time together count as one. Otherwise a short burst would shed requests for seconds.
func (c *ShedController) UpdateRateLimited(load float64, now time.Duration, serviceSeconds float64) {
	c.Update(load, min(1, (now-c.updatedAt).Seconds()/max(serviceSeconds, 1e-3)))
	c.updatedAt = now
}

// Decay lowers the level with time, because under overload few requests are admitted that could
// show idle servers.
func (c *ShedController) Decay(now, targetLatency time.Duration) {
	c.Level *= math.Exp2((c.decayedAt - now).Seconds() / (decayTargets * targetLatency.Seconds()))
	c.decayedAt = now
}

// ShedRatio returns the share of ordinary requests to shed, which may be above 1.
func (c *ShedController) ShedRatio() float64 { return max(0, c.Level-noiseLevel) }
