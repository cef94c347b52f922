package level

import (
	"fmt"
	"time"
)

// known are the figures over the last looks. Each is a pointer, nil where it is unknown.
type known struct {
	pressure, inAim, refused, out, late, sites *float64
	listAge                                    *time.Duration
	asked                                      float64 // requests a look, turned away by the level or not
	blind                                      bool    // requests came, and none of them to the decision module
}

// known takes shares over the last looks. Danger: what the level itself turns away must not count, or a level would keep
// itself up by its own refusals.
func (m *Controller) known() (k known) {
	var ended, inAim, refused, shed int
	for i := range m.looks {
		f := &m.looks[i]
		ended, inAim, refused, shed = ended+f.Completed, inAim+f.InAim, refused+f.Refused, shed+f.Shed
	}
	k.blind = len(m.looks) == window && ended == 0 && shed > 0
	if len(m.looks) == 0 {
		return k
	}
	k.asked = float64(ended+shed) / float64(len(m.looks))
	last := &m.looks[len(m.looks)-1]
	k.late, k.sites = &last.AgentLateness, &last.WithdrawnSites
	if ended >= fewest {
		k.inAim, k.refused = part(inAim, ended), part(refused, ended)
	} else if len(m.looks) == window && shed == 0 { // a quiet instance is well
		one, none := 1.0, 0.0
		k.inAim, k.refused = &one, &none
	}
	// The module's pressure eases with what comes to it, so without requests it tells nothing.
	if last.Pressure >= 0 && ended > 0 {
		k.pressure = &last.Pressure
	} else if last.Pressure >= 0 && len(m.looks) == window && shed == 0 {
		none := 0.0
		k.pressure = &none
	}
	if last.ListAge >= 0 {
		k.listAge = &last.ListAge
	}
	// What the list said before it grew old is no share of what there is.
	if fresh := m.config.Fresh.D(); last.Backends > 0 && last.ListAge >= 0 && last.ListAge <= fresh {
		k.out = part(last.Ejected, last.Backends)
	}
	return k
}

func part(n, of int) *float64 {
	v := float64(n) / float64(of)
	return &v
}

// words are the figures for people to read.
func (k *known) words() []string {
	share := func(name string, v *float64) string {
		if v == nil {
			return name + " unknown"
		}
		return fmt.Sprintf("%s %.2f", name, *v)
	}
	age := "list age unknown"
	if k.listAge != nil {
		age = fmt.Sprintf("list age %v", k.listAge.Round(100*time.Millisecond))
	}
	return []string{share("pressure", k.pressure), share("in aim", k.inAim), share("refused", k.refused), share("out", k.out), share("late", k.late), share("sites", k.sites), age}
}

// any says whether a figure has reached its threshold, and which. Unknown figures reach none.
func (t *Thresholds) any(k *known) (met bool, why string) {
	for _, c := range t.compare(k) {
		if c.known && c.bad {
			return true, c.what
		}
	}
	return false, ""
}

// all says whether each figure that is named is back. One that is unknown is not.
func (t *Thresholds) all(k *known) (met bool, why string) {
	for _, c := range t.compare(k) {
		if !c.known || c.bad {
			return false, ""
		}
		if why != "" {
			why += ", "
		}
		why += c.what
	}
	return true, why
}

type compared struct {
	known, bad bool
	what       string
}

// compare holds the figures against the thresholds that are named.
func (t *Thresholds) compare(k *known) (out []compared) {
	add := func(name string, limit, v *float64, below bool) {
		if limit == nil {
			return
		}
		c := compared{known: v != nil}
		if c.known {
			c.bad = *v >= *limit
			if below {
				c.bad = *v <= *limit
			}
			c.what = fmt.Sprintf("%s %.2f (limit %g)", name, *v, *limit)
		}
		out = append(out, c)
	}
	add("pressure", t.Pressure, k.pressure, false)
	add("in aim", t.InAim, k.inAim, true)
	add("refused", t.Refused, k.refused, false)
	add("out", t.Out, k.out, false)
	add("late", t.Late, k.late, false)
	add("sites", t.Sites, k.sites, false)
	if t.ListAge != nil {
		c := compared{known: k.listAge != nil}
		if c.known {
			c.bad = *k.listAge >= t.ListAge.D()
			c.what = fmt.Sprintf("list age %v (limit %v)", k.listAge.Round(time.Millisecond), t.ListAge.D())
		}
		out = append(out, c)
	}
	return out
}
