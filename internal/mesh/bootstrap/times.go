package bootstrap

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// mostFigure bounds every number: beyond it none is meant, and whole numbers are no longer exact.
const mostFigure = 1 << 52

const mostTime = 1000 * time.Hour // beyond it a time is a mistake, and sums of times could overflow

const leastWindow = 100 * time.Millisecond // of usage: shorter ones would be more reports than a platform takes

// ParseTime reads a time as the pages write it: a number, fractions allowed, with ms or s.
func ParseTime(s string) (time.Duration, error) {
	digits, unit := s, time.Duration(0)
	if d, ok := strings.CutSuffix(s, "ms"); ok {
		digits, unit = d, time.Millisecond
	} else if d, ok := strings.CutSuffix(s, "s"); ok {
		digits, unit = d, time.Second
	}
	// The check of the letters keeps out what ParseFloat takes besides: signs, exponents, Inf, hex.
	f, err := strconv.ParseFloat(digits, 64)
	if unit == 0 || err != nil || strings.Trim(digits, "0123456789.") != "" {
		return 0, fmt.Errorf("%q is no time: write a number with ms or s, as 1500ms or 2.5s", s)
	}
	if f *= float64(unit); f > float64(mostTime) {
		return 0, fmt.Errorf("%q is too long: write a time of up to %g s", s, mostTime.Seconds())
	}
	return time.Duration(math.Round(f)), nil
}

// defaults is the one table of the figures that may be absent, with where they go (a
// *time.Duration or a *float64) and what holds then: a rule without figures isn't in force, so each
// default only has to keep the process at sound work, on the careful side.
var defaults = []struct {
	field, absent string
	into          func(*Settings) any
}{
	// Twice a second, the most often that any deployment beats: leases by it are short, never stale.
	{"beat_every", "500ms", func(s *Settings) any { return &s.BeatEvery }},
	// How long callers go on coming by an old list: long, as the old agents must serve them.
	{"bounds.seed_delay", "3s", func(s *Settings) any { return &s.Bounds.SeedDelay }},
	// An address may be given away at once: nothing may lean on its staying free.
	{"bounds.reuse_after", "0s", func(s *Settings) any { return &s.Bounds.ReuseAfter }},
	// Time to be well again after trouble: short, as all duties begin after it.
	{"bounds.in_touch", "3s", func(s *Settings) any { return &s.Bounds.InTouch }},
	// How long an order may take to be acknowledged: short, so that it is passed on soon.
	{"bounds.ack_within", "5s", func(s *Settings) any { return &s.Bounds.AckWithin }},
	// How long a machine that is back counts as lost: short, as it counts again after it.
	{"bounds.catch_up", "4s", func(s *Settings) any { return &s.Bounds.CatchUp }},
	// How long requests may still reach a backend that leaves: short, so that they stop early.
	{"bounds.drain", "2500ms", func(s *Settings) any { return &s.Bounds.Drain }},
	// From SIGTERM to SIGKILL: short, so that work is ended well before it.
	{"bounds.grace", "6s", func(s *Settings) any { return &s.Bounds.Grace }},
	// What may be cut off around planned work: nothing.
	{"bounds.loss_slack", "0s", func(s *Settings) any { return &s.Bounds.LossSlack }},
	// Until a configuration is in force everywhere: short, so that agents ask often enough.
	{"bounds.apply_within", "2500ms", func(s *Settings) any { return &s.Bounds.ApplyWithin }},
	// How long an older configuration may still be seen: not at all.
	{"bounds.fallback", "0s", func(s *Settings) any { return &s.Bounds.Fallback }},
	// What trouble in the core adds to the bounds: nothing.
	{"bounds.stretch", "0s", func(s *Settings) any { return &s.Bounds.Stretch }},
	// Repeats for each request: a tenth, as is usual for a retry budget.
	{"bounds.retry_ratio", "0.1", func(s *Settings) any { return &s.Bounds.RetryRatio }},
	// What the ratio is counted over: long, so that the budget isn't spent in bursts.
	{"bounds.retry_window", "10s", func(s *Settings) any { return &s.Bounds.RetryWindow }},
	// Repeats that all agents share beside the ratio: none that could be counted on.
	{"bounds.extra_tries", "0", func(s *Settings) any { return &s.Bounds.ExtraTries }},
	// How far a cold backend may be pressed over what it bears: not at all, but for one request.
	{"bounds.warmup_excess", "1", func(s *Settings) any { return &s.Bounds.WarmupExcess }},
	{"bounds.warmup_margin", "1", func(s *Settings) any { return &s.Bounds.WarmupMargin }},
	// Until nothing reaches a zone that is emptied: short, so that all agents are told at once.
	{"bounds.evacuate", "5s", func(s *Settings) any { return &s.Bounds.Evacuate }},
	// Until all serve again after the loss of everything: short, so that nothing waits longer.
	{"bounds.recovery", "15s", func(s *Settings) any { return &s.Bounds.Recovery }},
	// Within which a duty may not go to another process and back: long, so that it stays where it is.
	{"bounds.lease", "3s", func(s *Settings) any { return &s.Bounds.Lease }},
	// The span of time that a usage report is about, and until when after its end it is due.
	{"bounds.report_window", "5s", func(s *Settings) any { return &s.Bounds.ReportWindow }},
	{"bounds.usage_delay", "10s", func(s *Settings) any { return &s.Bounds.UsageDelay }},
}

// defaulted fills in the figures of the table.
func (c *checker) defaulted(s *Settings) {
	for _, d := range defaults {
		value := d.absent
		if at, there := c.lines[d.field]; there {
			value = at.value
		}
		switch into := d.into(s).(type) {
		case *time.Duration:
			t, err := ParseTime(value)
			if err != nil {
				c.wrong(d.field, value, "no time", "write a number with ms or s")
			}
			*into = t
		case *float64:
			f, _ := strconv.ParseFloat(value, 64) // which protojson could read
			*into = c.figure(d.field, f)
		}
	}
	if s.BeatEvery == 0 {
		c.wrong("beat_every", c.lines["beat_every"].value, "no time between beats", "write one over 0ms")
	}
	if s.Bounds.ReportWindow < leastWindow {
		c.wrong("bounds.report_window", c.lines["bounds.report_window"].value, "too short a window", "write 100ms or more")
	}
}
