// Package level keeps named levels of reduced service: which one an instance is in, by measured figures, and what it
// turns away there before the decision module sees it. It does no I/O, has no clock and starts no goroutines.
//
// Levels are a ladder above normal service. A Machine looks at the figures again and again (Step). It goes up when a figure
// has reached what a level is entered at, and down when all figures have come back to what it is left at, which is
// easier, so that a figure that hovers at a threshold moves nothing. It goes one step at a time but for emergencies. A level
// is kept for its dwell at least. What it relieves looks well while it is in force, so the figures alone don't tell whether the
// cause is over: it is left then only when no more is asked, turned away or not, than was answered in time when it was entered.
// Where as much is asked as then, leaving it is a trial, for which the dwell is twice as long each time that the
// level has to be entered again soon after. So with n levels and a dwell
// of d there are at most 2t/d + n changes in any time t, beside those that operators make: a way down takes a dwell, and each
// way up but n is behind one.
//
// A figure that is missing or old meets no condition, so that the level stays. The one exception is a level under which
// nothing comes through that could be measured: it is left on trial when its dwell is over.
package level

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"example.org/micaline/internal/limit"
)

// Normal is the name of full service, below all levels.
const Normal = "normal"

const (
	// MostLevels is how many levels there may be above normal service.
	MaxLevels = 8
	// MostHistory is how many changes are remembered.
	MaxHistory = 64

	window   = 5  // looks that shares are taken over: one alone is noise
	fewest   = 10 // requests that a share is taken of; of fewer it is unknown
	relapses = 3  // times that the dwell doubles at most
	jitter   = 0.25
)

// Figures are what is measured, since the last look or at this one.
type Sample struct {
	Completed      int           // requests that the decision module has ended,
	InAim          int           // of these, answered within their aim
	Refused        int           // or refused
	Shed           int           // turned away by the level
	Pressure       float64       // of the decision module; negative if unknown
	ListAge        time.Duration // since discovery last told anything; negative if unknown
	Backends       int           // listed as ready; 0 if unknown
	Ejected        int           // of these, ejected for some class
	AgentLateness  float64       // part of the soonest aim by which the agent itself is late
	WithdrawnSites float64       // share of the sites that are withdrawn
}

// Change is a change of level, or of who keeps it.
type Change struct {
	At       time.Duration
	From, To string
	Reason   string
}

// Refusal is why a request is turned away.
type Refusal struct {
	Level, Reason string
	RetryAfter    time.Duration // when to come again: the soonest that the level may be left, spread by up to a quarter
}

// Machine is the level of one instance. It is not safe for concurrent use.
type Controller struct {
	levels   []rung // of which the first is normal service
	config   Config
	portions []float64 // of accounts
	rng      *rand.Rand
	mix      limit.TenantMix

	at       int
	since    time.Duration   // when the level was entered
	left     time.Duration   // when it was last left for the one below,
	again    int             // and how often it was entered soon after, in a row
	looks    []Sample        // the last ones, the newest last
	reached  []time.Duration // by level: since when a figure is where it is entered; negative if none is
	fits     []float64       // by level: requests a look that were answered in time when it was entered
	held     bool
	until    time.Duration // of the hold
	history  []Change
	refusals []RefusalCount // as many as there are levels and reasons
}

// rung is a level with its classes by position.
type rung struct {
	Level
	shed []bool
}

// New returns a Machine in normal service, for classes and accounts by their positions. The configuration has been checked
// against them.
func New(c *Config, s *Service, seed uint64, now time.Duration) *Controller {
	m := &Controller{
		config: *c, portions: s.Portions, rng: rand.New(rand.NewPCG(seed, 1)), mix: limit.NewTenantMix(len(s.Portions)), since: now,
		levels: []rung{{Level: Level{Name: Normal}, shed: make([]bool, len(s.Classes))}}, reached: make([]time.Duration, len(c.Level)+1),
		fits: make([]float64, len(c.Level)+1),
	}
	for _, l := range c.Level {
		r := rung{Level: l, shed: make([]bool, len(s.Classes))}
		for i, class := range s.Classes {
			for _, name := range l.Shed {
				r.shed[i] = r.shed[i] || name == class.Name
			}
		}
		m.levels = append(m.levels, r)
	}
	for i := range m.reached {
		m.reached[i] = -1
	}
	return m
}

// Allowed is what the level leaves the decision module.
func (m *Controller) Allowed() Allowed {
	l := &m.levels[m.at]
	return Allowed{Hedges: !l.NoSecondCopies, Retries: !l.NoRetries, Probes: !l.NoProbes}
}

// Allowed is what the decision module may do.
type Allowed struct{ Hedges, Retries, Probes bool }

// Judge says whether a request may go on to the decision module; nil lets it. All requests are judged, as accounts' parts are
// taken of them.
func (m *Controller) Admit(now time.Duration, class, account, body int) *Refusal {
	over := m.over(account)
	l := &m.levels[m.at]
	why := ""
	switch {
	case class >= 0 && class < len(l.shed) && l.shed[class] && m.rng.Float64() < l.Part:
		why = "class"
	case l.MostBody > 0 && body > l.MostBody:
		why = "body size"
	case l.OverShare > 0 && over > l.OverShare:
		why = "account over its share"
	default:
		return nil
	}
	m.count(l.Name, why)
	return &Refusal{Level: l.Name, Reason: why, RetryAfter: m.after(now)}
}

// Refused counts what a level has turned away for one reason.
type RefusalCount struct {
	Level, Reason string
	Count         int64
}

func (m *Controller) count(level, why string) {
	for i := range m.refusals {
		if r := &m.refusals[i]; r.Level == level && r.Reason == why {
			r.Count++
			return
		}
	}
	m.refusals = append(m.refusals, RefusalCount{level, why, 1})
}

// over counts a request and returns its account's part of the recent ones over its share.
func (m *Controller) over(account int) float64 {
	if account < 0 || account >= len(m.portions) || !(m.portions[account] > 0) {
		return 1
	}
	portion := m.portions[account]
	return m.mix.AddRequest(account, portion)
}

// after is when a request that is turned away may come again. Danger: all that are turned away together come back together.
func (m *Controller) after(now time.Duration) time.Duration {
	until := m.since + m.dwell()
	if m.held {
		until = m.until
	}
	wait := max(until-now, m.config.Every.D())
	return wait + time.Duration(jitter*m.rng.Float64()*float64(wait))
}

// dwell is how long the present level is kept at least.
func (m *Controller) dwell() time.Duration {
	return m.config.Dwell.D() << min(m.again, relapses)
}

// Step takes in the figures of a look, and returns the change that it made, if any.
func (m *Controller) Update(now time.Duration, f Sample) *Change {
	if m.looks = append(m.looks, f); len(m.looks) > window {
		m.looks = m.looks[1:]
	}
	k := m.known()
	for i := range m.levels[1:] {
		switch met, _ := m.levels[i+1].Enter.any(&k); {
		case !met:
			m.reached[i+1] = -1
		case m.reached[i+1] < 0:
			m.reached[i+1] = now
		}
	}
	if m.held {
		if now < m.until {
			return nil
		}
		m.held = false
		return m.move(now, m.at, "the hold is over")
	}
	for to := len(m.levels) - 1; to > m.at; to-- {
		if met, why := m.levels[to].Emergency.any(&k); met {
			return m.move(now, to, "emergency: "+why)
		}
	}
	if to := m.at + 1; to < len(m.levels) {
		l := &m.levels[to]
		if met, why := l.Enter.any(&k); met && now-m.reached[to] >= l.After.D() {
			return m.move(now, to, why)
		}
	}
	if m.at > 0 && now-m.since >= m.dwell() {
		if k.blind {
			return m.move(now, m.at-1, "on trial: nothing comes through to be measured")
		}
	}
	if m.at > 0 && now-m.since >= m.config.Dwell.D() {
		fits := k.asked <= m.fits[m.at]
		if met, why := m.levels[m.at].Exit.all(&k); met && (fits || now-m.since >= m.dwell()) {
			if fits {
				why = strings.TrimPrefix(fmt.Sprintf("%s, %.1f requests a look and %.1f fit", why, k.asked, m.fits[m.at]), ", ")
			} else {
				why = strings.TrimPrefix(why+", on trial", ", ")
			}
			return m.move(now, m.at-1, why)
		}
	}
	return nil
}

// move goes to a level. What was measured before says nothing of it.
func (m *Controller) move(now time.Duration, to int, why string) *Change {
	c := Change{At: now, From: m.levels[m.at].Name, To: m.levels[to].Name, Reason: why}
	switch {
	case to > m.at:
		// Soon after it was left means that the cause had not gone, and that it looked so only for the level.
		if m.left > 0 && now-m.left < 2*m.dwell() {
			m.again++
		} else {
			m.again = 0
		}
		k := m.known()
		for i := m.at + 1; i <= to; i++ {
			if m.fits[i] = 0; k.inAim != nil {
				m.fits[i] = k.asked * *k.inAim
			}
		}
	case to < m.at:
		m.left = now
	}
	if to != m.at {
		m.at, m.since, m.looks = to, now, nil
		for i := range m.reached {
			m.reached[i] = -1
		}
	}
	if m.history = append(m.history, c); len(m.history) > MaxHistory {
		m.history = m.history[1:]
	}
	return &c
}

// Hold keeps a level by hand, for so long, whatever the figures say. Its error names what can't be.
func (m *Controller) Hold(now time.Duration, name string, d time.Duration, why string) (*Change, error) {
	if d <= 0 || d > MaxHold {
		return nil, fmt.Errorf("a hold lasts up to %v, not %v", MaxHold, d)
	}
	for i := range m.levels {
		if m.levels[i].Name == name {
			m.held, m.until = true, now+d
			return m.move(now, i, fmt.Sprintf("held for %v: %s", d, why)), nil
		}
	}
	return nil, fmt.Errorf("there is no level %.80q", name)
}

// Release ends a hold. The level stays until the figures move it.
func (m *Controller) Release(now time.Duration) *Change {
	if !m.held {
		return nil
	}
	m.held = false
	return m.move(now, m.at, "released by hand")
}

// View is what there is to see of a Machine.
type Status struct {
	Level     string
	Levels    []string // from normal service on
	Since     time.Duration
	MinDwell  time.Duration // least time in the level, with what relapses add
	HeldUntil time.Duration // until when by hand; 0 if it is not
	Readings  []string      // the figures as they are judged, those that are unknown among them
	Refusals  []RefusalCount
	History   []Change // the newest last
}

// View returns a copy.
func (m *Controller) Status() Status {
	v := Status{Level: m.levels[m.at].Name, Since: m.since, MinDwell: m.dwell()}
	if m.held {
		v.HeldUntil = m.until
	}
	for i := range m.levels {
		v.Levels = append(v.Levels, m.levels[i].Name)
	}
	k := m.known()
	v.Readings = k.words()
	v.Refusals = append(v.Refusals, m.refusals...)
	v.History = append(v.History, m.history...)
	return v
}
