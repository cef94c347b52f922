package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/standin"
)

// Report is what came of a day. Requests are counted as clients see them: all tries of one are one request.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Front    string  `json:"front,omitempty"`
	Seconds  float64 `json:"seconds"`

	Requests    int `json:"requests"`
	Served      int `json:"served"`
	ServedInAim int `json:"served_in_aim"`
	Refused     int `json:"refused"`
	Failed      int `json:"failed"`
	HungUp      int `json:"hung_up"`
	Retries     int `json:"retries"` // of clients
	Attempts    int `json:"attempts"`
	Messages    int `json:"messages"`     // of one agent that came to another
	RudeIgnored int `json:"rude_ignored"` // rude requests that got neither an error nor a close

	Lost         int `json:"lost"`
	EffectsTwice int `json:"effects_twice"`
	DrainsBroken int `json:"drains_broken"`
	ColdPushed   int `json:"cold_pushed_over"`
	CantTell     int `json:"cant_tell"`

	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`

	Rules  []RuleReport `json:"rules"`
	Beside *Report      `json:"beside,omitempty"`
}

// RuleReport is what the records say of one rule.
type RuleReport struct {
	Rule     string          `json:"rule"`
	Verdict  string          `json:"verdict"`
	Findings []rules.Finding `json:"findings,omitempty"`
}

// Kept says that no rule was seen broken.
func (r *Report) Kept() bool {
	return r.Lost+r.EffectsTwice+r.DrainsBroken+r.ColdPushed == 0
}

// Snapshot is how a day goes on.
type Snapshot struct {
	At       time.Duration
	Rate     float64 // requests that began, a second
	Share    float64 // of those that ended since the last snapshot: served in their aim
	Refused  int     // since the last snapshot
	Failed   int
	Retries  int
	P50, P99 time.Duration // of those served since the last snapshot
	Backends []BackendSnapshot
	Faults   []string // that are on
}

// BackendSnapshot is one backend in a Snapshot.
type BackendSnapshot struct {
	Name     string
	Up       bool
	InFlight int // at most, since the last snapshot
}

const watchEvery = time.Second

// share is an agent's part of the load: by its rank, from the busiest to the quietest.
func (f *fleet) share(a *proc) float64 {
	part := func(rank int) float64 {
		return math.Pow(f.Scenario.Clients.Skew, -float64(rank)/float64(max(1, len(f.agents)-1)))
	}
	sum := 0.0
	for i := range f.agents {
		sum += part(i)
	}
	return part(a.rank) / sum
}

// watch follows the load's course and tells how the day goes, until it ends.
func (f *fleet) watch(day context.Context, began time.Time) {
	const step = 100 * time.Millisecond
	last, next := standin.Tally{}, watchEvery
	for sleep(day, step) {
		at := time.Since(began)
		for _, a := range f.agents {
			a.clients.SetRate(f.Scenario.Rate(at) * f.share(a))
		}
		if f.Watch == nil || at < next {
			continue
		}
		next = at + watchEvery
		now, took := f.tally()
		s := Snapshot{
			At: at, Rate: float64(now.Requests-last.Requests) / watchEvery.Seconds(), Refused: now.Refused - last.Refused,
			Failed: now.Failed - last.Failed, Retries: now.Retries - last.Retries, P50: percentile(took, 0.5), P99: percentile(took, 0.99),
		}
		ended := func(t *standin.Tally) int { return t.Served + t.Refused + t.Failed + t.HungUp }
		if n := ended(&now) - ended(&last); n > 0 {
			s.Share = float64(now.InAim-last.InAim) / float64(n)
		}
		last = now
		f.mu.Lock()
		s.Faults = slices.Clone(f.active)
		for _, b := range f.backends {
			held, up := b.now.Sample()
			s.Backends = append(s.Backends, BackendSnapshot{b.now.Name(), up, held})
		}
		f.mu.Unlock()
		f.Watch(&s)
	}
}

// tally sums up the clients' counts, and takes what was served since the last call, sorted.
func (f *fleet) tally() (sum standin.Tally, took []time.Duration) {
	for _, a := range f.agents {
		t, more := a.clients.Take()
		sum.Requests += t.Requests
		sum.Served += t.Served
		sum.InAim += t.InAim
		sum.Refused += t.Refused
		sum.Failed += t.Failed
		sum.HungUp += t.HungUp
		sum.Tries += t.Tries
		sum.Retries += t.Retries
		sum.RudeAsked += t.RudeAsked
		sum.RudeUnanswered += t.RudeUnanswered
		took = append(took, more...)
	}
	slices.Sort(took)
	for _, d := range took {
		f.took.add(d)
	}
	return sum, took
}

// sample is an even sample of times, however many there were: a day may be long (Vitter, "Random sampling with a
// reservoir", 1985, algorithm R).
type sample struct {
	rng  *rand.Rand
	seen int
	kept []time.Duration
}

const mostSampled = 1 << 18

func (s *sample) add(d time.Duration) {
	s.seen++
	if len(s.kept) < mostSampled {
		s.kept = append(s.kept, d)
	} else if i := s.rng.IntN(s.seen); i < mostSampled {
		s.kept[i] = d
	}
}

// percentile of what is sorted; 0 of nothing.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// report sums the day up.
func (f *fleet) report(took time.Duration) *Report {
	t, _ := f.tally()
	slices.Sort(f.took.kept)
	millis := func(d time.Duration) float64 { return math.Round(float64(d)/float64(10*time.Microsecond)) / 100 }
	r := &Report{
		Scenario: f.Scenario.Name, Seed: f.Seed, Seconds: math.Round(took.Seconds()*10) / 10,
		Requests: t.Requests, Served: t.Served, ServedInAim: t.InAim, Refused: t.Refused, Failed: t.Failed, HungUp: t.HungUp,
		Retries: t.Retries, RudeIgnored: t.RudeUnanswered, P50: millis(percentile(f.took.kept, 0.5)), P99: millis(percentile(f.took.kept, 0.99)),
	}
	for _, b := range f.backends {
		for _, b := range append(b.past, b.now) {
			r.Attempts += b.Attempts()
		}
	}
	r.Messages, _ = f.peers.Carried()
	v := f.log.Verdicts()
	r.Lost, r.EffectsTwice = v[rules.Lost].Broken, v[rules.Twice].Broken
	r.DrainsBroken, r.ColdPushed = v[rules.Drain].Broken, v[rules.Cold].Broken
	for i := range v {
		r.CantTell += v[i].Unknown
		r.Rules = append(r.Rules, RuleReport{v[i].Rule.String(), v[i].String(), v[i].Findings})
	}
	return r
}
