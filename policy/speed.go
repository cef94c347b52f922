package policy

// What is learnt of the servers from their answers and reports: speed, crowd and width.

import (
	"math"
	"time"

	"example.org/micaline/internal/ewma"
	"example.org/micaline/internal/outlier"
	"example.org/micaline/internal/weighted"
)

const (
	speedStep = 0.1 // change of speed that is worth a new line; less is noise
	abroad    = 0.5 // weight of a server in another zone, where crossing costs
)

// warmth is the least share of its capacity that a server has by now.
func (b *Balancer) warmth(s *server) float64 {
	age := b.now - s.Start
	if s.Start == 0 || age >= b.set.WarmAfter {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*max(0, age.Seconds()/b.set.WarmAfter.Seconds())
}

// observe learns from how long an answer took beside others of its class and of its kind of machine.
func (b *Balancer) observe(c *class, s *server, took, sure float64) {
	ratio, k := took/c.usual.V, b.fleet.Kind(s.Kind)
	c.usual.Add(min(took, 4*c.usual.V), ewma.FleetGain*sure)
	b.service.Add(took, ewma.FleetGain*sure)
	b.learn(s, &k.Ratio, min(ratio, 4), sure)
	if s.load.ServiceTime <= 0 && s.load.Rate <= 0 { // else it says so itself; a queue of our own is no slowness
		// Danger: where nothing tells how many it serves at once, our own in flight may be no queue at all: who is sent
		// more would look faster and be sent more again, until it jams.
		if ratio /= k.Ratio.V; b.set.Reports != ReportsOff {
			ratio /= 1 + float64(s.inFlight)/b.width.Requests()
		}
		b.slower(s, ratio, ewma.Gain*sure)
	}
}

// learn takes in how long a kind takes; a cold server is no example.
func (b *Balancer) learn(s *server, pace *weighted.Mean, sample, sure float64) {
	if (b.warmth(s) == 1 || !pace.Known) && !s.tellsQueue() {
		b.fleet.Learn(b.fleet.Kind(s.Kind), pace, sample, sure)
	}
}

// slower takes in a sample of how many times slower than usual a server is.
func (b *Balancer) slower(s *server, ratio, weight float64) {
	s.pace.Slower(ratio, weight, b.classes[0].usual.V, b.now)
	b.rate(s)
}

// rate has the lines built anew once a server's speed is no longer the one in them.
func (b *Balancer) rate(s *server) {
	if math.Abs(b.weight(s)-s.built) > speedStep*s.built {
		b.epoch++
	}
}

// speed is what a server can do when warm.
func (b *Balancer) speed(s *server) float64 {
	// Danger: were a server that breaks a quarter of its requests ejected for it, and half of the fleet does, the rest
	// would be crowded and those let in on trial would get all of the traffic in turn.
	return b.fleet.Speed(b.fleet.Kind(s.Kind), &s.pace, max(outlier.Sound(s.health), 0.1))
}

// weight is what a server stands for in a line: what it can do now, less where the way there costs.
func (b *Balancer) weight(s *server) float64 {
	w := b.speed(s) * b.warmth(s)
	if b.set.CrossZone > 0 && s.Zone != b.set.Zone {
		w *= abroad
	}
	return w
}

// report takes in a server's own figures, which may have lain unread so long.
func (b *Balancer) report(s *server, l Load, late time.Duration) {
	if !l.Known {
		return
	}
	if s.load, s.loadAt, s.since = l, b.now-late, 0; l.ServiceTime > 0 {
		k := b.fleet.Kind(s.Kind) // one report of this is noise, their maximum is worse
		b.learn(s, &k.Recent, l.ServiceTime.Seconds(), 1)
		b.fleet.Reported(l.ServiceTime.Seconds())
		b.slower(s, l.ServiceTime.Seconds()/k.Recent.V, 2*ewma.Gain)
		b.width.Report(l.Rate, l.ServiceTime.Seconds(), l.InFlight)
	}
	if told := l.ErrorRate + l.Rate; l.ErrorRate >= 0 && l.Rate >= 0 && told > 0 {
		// Danger: an agent meets most servers seldom, and each of many would have to be failed for itself.
		for i := range b.classes {
			c, h := &b.classes[i], &s.health[i]
			if h.Fails = l.ErrorRate / (told + 1); h.Failing() && b.doubt(c, s) == 1 {
				b.blame(c, s, 1, "errors that it reports")
			}
		}
	}
	if width := b.width.Requests(); b.tellsCrowd(s) {
		over := max(0, l.InFlight-width)
		if l.Queue >= 0 {
			b.queue.Add(over/width, ewma.FleetGain)
		}
		b.press(min(1, over/(2*b.crowd*math.Sqrt(width)))) // where most is shed, only reports of idle servers end it
	}
}

func (s *server) tellsQueue() bool { return s.load.Known && s.load.Queue >= 0 }

// tellsCrowd says whether a server's reports say how crowded it is.
func (b *Balancer) tellsCrowd(s *server) bool {
	return s.tellsQueue() || s.load.Known && s.load.InFlight >= 0 && b.width.Known()
}
