package limit

import (
	"math"
	"time"
)

// Usual is the part of the aim that a usual answer may take: more of it presses, less eases.
const Usual = 0.5

const (
	MostPressure = 2.0  // callers that repeat what is refused take more than one refusal to stop
	noise        = 0.15 // pressure that noise alone builds: it sheds nothing
	pressureGain = 0.2  // of the intake shed for an answer one aim off: a few late answers halve it
	easeOver     = 16.0 // aims in which pressure halves by itself
)

// Pressure is the share of the usual requests to shed, moved by how full servers are or how long answers take. It is an
// integrating controller: what presses for long sheds as much as it takes to end it.
type Pressure struct {
	Raw   float64 // before what noise builds is taken off
	moved time.Duration
	eased time.Duration
}

// Move takes in a part of the aim, 1 being what no aim allows, and how much it is worth from 0 to 1.
func (p *Pressure) Move(part, worth float64) {
	p.Raw = min(max(0, p.Raw+worth*pressureGain*(min(part, 2)-Usual)), MostPressure)
}

// Meet takes in what a request has met that others, which come as this one within a usual answer's time, meet as well. Danger:
// were each counted for itself, a moment's crowd would have callers shed for seconds.
func (p *Pressure) Meet(part float64, now time.Duration, each float64) {
	p.Move(part, min(1, (now-p.moved).Seconds()/max(each, 1e-3)))
	p.moved = now
}

// Ease lets time pass. Danger: under pressure little is let through to tell that servers are idle again.
func (p *Pressure) Ease(now, aim time.Duration) {
	p.Raw *= math.Exp2((p.eased - now).Seconds() / (easeOver * aim.Seconds()))
	p.eased = now
}

// Shed is the share of the usual requests to shed, above 1 where more asks than that.
func (p *Pressure) Shed() float64 { return max(0, p.Raw-noise) }
