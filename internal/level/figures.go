package level

import (
	"fmt"
	"time"
)

// readings are the measured values over the sample window. A nil value is unknown.
// requestsPerSample includes the requests that the level refused. allShed is set if requests
// arrived in the window, but the level refused all of them.
type readings struct {
	pressure, inAim, refused, ejected, agentLateness, withdrawnSites *float64
	listAge                                                          *time.Duration
	requestsPerSample                                                float64
	allShed                                                          bool
}

// currentReadings computes the readings over the sample window. Requests that the level itself
// refused do not count as refused: otherwise a level would keep itself in force by its own
// refusals.
func (c *Controller) currentReadings() (r readings) {
	var completed, inAim, refused, shed int
	for i := range c.samples {
		sample := &c.samples[i]
		completed, inAim, refused, shed = completed+sample.Completed, inAim+sample.InAim, refused+sample.Refused, shed+sample.Shed
	}
	r.allShed = len(c.samples) == sampleWindow && completed == 0 && shed > 0
	if len(c.samples) == 0 {
		return r
	}
	r.requestsPerSample = float64(completed+shed) / float64(len(c.samples))
	last := &c.samples[len(c.samples)-1]
	r.agentLateness, r.withdrawnSites = &last.AgentLateness, &last.WithdrawnSites
	if completed >= minRequests {
		r.inAim, r.refused = ratio(inAim, completed), ratio(refused, completed)
	} else if len(c.samples) == sampleWindow && shed == 0 {
		// An instance without requests is healthy.
		allInAim, noneRefused := 1.0, 0.0
		r.inAim, r.refused = &allInAim, &noneRefused
	}
	// The decision module reduces its pressure only as requests arrive, so without requests the
	// value is meaningless.
	if last.Pressure >= 0 && completed > 0 {
		r.pressure = &last.Pressure
	} else if last.Pressure >= 0 && len(c.samples) == sampleWindow && shed == 0 {
		noPressure := 0.0
		r.pressure = &noPressure
	}
	if last.ListAge >= 0 {
		r.listAge = &last.ListAge
	}
	// A list that is too old says nothing about the present number of ejected backends.
	if fresh := c.config.Fresh.D(); last.Backends > 0 && last.ListAge >= 0 && last.ListAge <= fresh {
		r.ejected = ratio(last.Ejected, last.Backends)
	}
	return r
}

func ratio(count, total int) *float64 {
	value := float64(count) / float64(total)
	return &value
}

// describe returns the readings as text for display.
func (r *readings) describe() []string {
	format := func(name string, value *float64) string {
		if value == nil {
			return name + " unknown"
		}
		return fmt.Sprintf("%s %.2f", name, *value)
	}
	age := "list age unknown"
	if r.listAge != nil {
		age = fmt.Sprintf("list age %v", r.listAge.Round(100*time.Millisecond))
	}
	return []string{format("pressure", r.pressure), format("in aim", r.inAim), format("refused", r.refused), format("out", r.ejected), format("late", r.agentLateness), format("sites", r.withdrawnSites), age}
}

// anyReached reports whether any threshold is reached, and which. An unknown value reaches none.
func (t *Thresholds) anyReached(r *readings) (reached bool, reason string) {
	for _, c := range t.compare(r) {
		if c.known && c.reached {
			return true, c.description
		}
	}
	return false, ""
}

// allCleared reports whether no threshold is reached any more. An unknown value is not cleared.
func (t *Thresholds) allCleared(r *readings) (cleared bool, reason string) {
	for _, c := range t.compare(r) {
		if !c.known || c.reached {
			return false, ""
		}
		if reason != "" {
			reason += ", "
		}
		reason += c.description
	}
	return true, reason
}

// comparison is the result of comparing one value with its threshold.
type comparison struct {
	known, reached bool
	description    string
}

// compare compares the readings with the thresholds that are set.
func (t *Thresholds) compare(r *readings) (comparisons []comparison) {
	add := func(name string, limit, value *float64, atMost bool) {
		if limit == nil {
			return
		}
		c := comparison{known: value != nil}
		if c.known {
			c.reached = *value >= *limit
			if atMost {
				c.reached = *value <= *limit
			}
			c.description = fmt.Sprintf("%s %.2f (limit %g)", name, *value, *limit)
		}
		comparisons = append(comparisons, c)
	}
	add("pressure", t.Pressure, r.pressure, false)
	add("in aim", t.InAim, r.inAim, true)
	add("refused", t.Refused, r.refused, false)
	add("out", t.Out, r.ejected, false)
	add("late", t.Late, r.agentLateness, false)
	add("sites", t.Sites, r.withdrawnSites, false)
	if t.ListAge != nil {
		c := comparison{known: r.listAge != nil}
		if c.known {
			c.reached = *r.listAge >= t.ListAge.D()
			c.description = fmt.Sprintf("list age %v (limit %v)", r.listAge.Round(time.Millisecond), t.ListAge.D())
		}
		comparisons = append(comparisons, c)
	}
	return comparisons
}
