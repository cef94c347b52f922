package rules

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Rule is one of the four.
type Rule uint8

// The rules.
const (
	Lost  Rule = iota // no request is lost: one final answer in time, and nothing sent after it
	Twice             // no effect happens twice
	Drain             // nothing new goes to a backend that drains or is gone, after a grace
	Cold              // no cold backend is pushed over
	rules
)

var ruleNames = [...]string{
	Lost: "no request lost", Twice: "no effect twice", Drain: "drains kept", Cold: "no cold backend pushed over",
}

func (r Rule) String() string { return ruleNames[r] }

// Effect says how often a class's requests may run.
type Effect uint8

// The effects.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Scope is the group of backends that drop each other's repeats of a keyed request.
type Scope uint8

// The scopes.
const (
	All Scope = iota
	Zone
	Cell
)

// Class is what the rules know of a class of requests.
type Class struct {
	Effect Effect
	Scope  Scope
	Window time.Duration // that repeats are dropped for, from the first send that may have run
}

// Terms are the figures that the rules hang on.
type Terms struct {
	Classes        map[string]Class
	Slack          time.Duration // by which each time limit is longer
	DrainGrace     time.Duration
	ToldWithin     time.Duration // what discovery has to tell counts as told after this, if it tells at all; 0: never
	OverloadFactor float64
	OverloadFor    time.Duration
	Lag            time.Duration // by which what crosses the network is seen later at most
	Longest        time.Duration // between the first and the last record of an operation, at most
}

// Verdict is what the records say of one rule.
type Verdict struct {
	Rule     Rule
	Broken   int       // times
	Unknown  int       // times that the records don't suffice
	Findings []Finding // some of both
}

// Kept says that the rule was not seen broken.
func (v *Verdict) Kept() bool { return v.Broken == 0 }

// String is the verdict in a word or two.
func (v *Verdict) String() string {
	switch {
	case v.Broken > 0:
		return fmt.Sprintf("broken %d times", v.Broken)
	case v.Unknown > 0:
		return fmt.Sprintf("kept; can't tell %d times", v.Unknown)
	}
	return "kept"
}

// Finding is one breach, or one doubt, with the records that prove it.
type Finding struct {
	CantTell bool
	What     string
	Evidence []string
}

const (
	mostFindings = 20   // of a rule that are told in full
	sweepEvery   = 4096 // records
)

// call is one try of a client.
type call struct {
	asked    Record
	broken   *Record // its connection ended; the client may ask again
	again    bool    // and did
	final    *Record // an answer, or the client's going
	attempts []attempt
	made     []string // bodies of answers to it
}

type attempt struct {
	arrived  Record
	rejected time.Duration // 0: it was not
}

// operation is what a client wants, over all its tries.
type operation struct {
	ran  []Record
	last time.Duration
}

// backend is one of them, in its present process.
type backend struct {
	started  Record
	arrivals []Record // while it is cold, as far back as OverloadFor
}

// told is what an agent has been told of a backend.
type told struct {
	Record
	since  time.Duration // when it first heard of this process
	drains time.Duration // since when it is told to drain or to be gone; -1: it is not
}

type agent struct {
	killed  time.Duration // when it last was; -1: never
	clients link
	told    map[string]told
	barred  map[string]*Record // backends that its operators took out
}

// Checker takes records one by one and keeps no more of them than it needs.
type Checker struct {
	terms      Terms
	now        time.Duration
	seen       int
	calls      map[string]*call
	operations map[string]*operation
	backends   map[string]*backend
	agents     map[string]*agent
	links      map[string]*link  // to backends
	listed     map[string]Record // by backend
	listDown   bool
	listUp     time.Duration // since when discovery tells
	verdicts   [rules]Verdict
}

// NewChecker returns a checker that has seen nothing.
func NewChecker(t Terms) *Checker {
	c := &Checker{
		terms: t, calls: map[string]*call{}, operations: map[string]*operation{},
		backends: map[string]*backend{}, agents: map[string]*agent{}, links: map[string]*link{}, listed: map[string]Record{},
	}
	for i := range c.verdicts {
		c.verdicts[i].Rule = Rule(i)
	}
	return c
}

func (c *Checker) find(r Rule, cantTell bool, what string, evidence ...*Record) {
	v := &c.verdicts[r]
	if cantTell {
		v.Unknown++
	} else {
		v.Broken++
	}
	if len(v.Findings) >= mostFindings {
		return
	}
	f := Finding{CantTell: cantTell, What: what}
	slices.SortStableFunc(evidence, func(a, b *Record) int { return cmp.Compare(a.At, b.At) })
	for _, e := range evidence {
		f.Evidence = append(f.Evidence, e.String())
	}
	v.Findings = append(v.Findings, f)
}

func (c *Checker) agent(name string) *agent {
	a := c.agents[name]
	if a == nil {
		a = &agent{killed: -1, clients: link{mended: -1}, told: map[string]told{}, barred: map[string]*Record{}}
		c.agents[name] = a
	}
	return a
}

func (c *Checker) link(backend string) *link {
	l := c.links[backend]
	if l == nil {
		l = &link{mended: -1}
		c.links[backend] = l
	}
	return l
}

// arriving is how long what was held up may still arrive after it was let go.
func (c *Checker) arriving() time.Duration { return c.terms.Lag + c.terms.Slack }

// sent is when an attempt was sent at the earliest.
func (c *Checker) sent(r *Record) time.Duration {
	first := r.First
	if l := c.link(r.Backend); l.heldUp(first, c.arriving()) {
		first = min(first, l.from)
	}
	return first - c.terms.Lag
}

// Add takes the next record.
func (c *Checker) Add(r Record) {
	c.now = r.At
	switch r.Kind {
	case Asked:
		c.asked(r)
	case Withdrawn:
		delete(c.calls, r.Call)
	case Answered:
		c.answered(r)
	case Broken, HungUp, GaveUp:
		c.left(r)
	case Arrived:
		c.arrived(r)
	case Rejected:
		if a := c.attempt(r); a != nil {
			a.rejected = r.At
		}
	case Ran:
		c.ran(r)
	case Made:
		if k := c.calls[r.Call]; k != nil {
			k.made = append(k.made, r.Body)
		}
	case Started:
		c.backends[r.Backend] = &backend{started: r}
	case Fell:
		c.fell(r)
	case Told:
		c.told(r)
	case Barred:
		if a := c.agent(r.Agent); a.barred[r.Backend] == nil {
			a.barred[r.Backend] = &r
		}
	case Let:
		delete(c.agent(r.Agent).barred, r.Backend)
	case Listed:
		if before, known := c.listed[r.Backend]; known && before.State != Ready && r.State != Ready && before.Process == r.Process {
			r.At = before.At // it has been wanting nothing new since then
		}
		c.listed[r.Backend] = r
	case ListDown:
		c.listDown = true
	case ListUp:
		c.listDown, c.listUp = false, r.At
	case Killed:
		c.agent(r.Agent).killed = r.At
	case Troubled, Mended:
		l := c.link(r.Backend)
		if r.Agent != "" {
			l = &c.agent(r.Agent).clients
		}
		l.note(&r, c.arriving())
	}
	if c.seen++; c.seen%sweepEvery == 0 {
		c.sweep(r.At - c.terms.Longest)
	}
}

// Verdicts judges what is still open, the records being complete, and returns one verdict for each rule.
func (c *Checker) Verdicts() [4]Verdict {
	c.sweep(math.MaxInt64)
	return c.verdicts
}

// sweep closes the calls whose time ended before a time, in the order of their ids, and forgets them.
func (c *Checker) sweep(before time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		k := c.calls[id]
		if k.asked.At+k.asked.Budget >= before {
			continue
		}
		if k.final == nil {
			c.close(k)
		}
		delete(c.calls, id)
	}
	for id, o := range c.operations {
		if o.last < before {
			delete(c.operations, id)
		}
	}
}

// close judges a call that has no final answer.
func (c *Checker) close(k *call) {
	due := k.asked.At + k.asked.Budget + c.terms.Slack + c.terms.Lag
	switch {
	case c.excused(k, c.now):
	case k.broken != nil && k.broken.Kept && len(k.attempts) == 0:
		// An agent may close a connection between requests. The client was to ask again on a new one and could not.
		c.find(Lost, true, "its agent may have closed the connection before it read the request", c.story(k, k.broken)...)
	case k.broken != nil:
		c.find(Lost, false, "its connection ended without an answer", c.story(k, k.broken)...)
	case c.now > due:
		c.find(Lost, false, "it was never answered", c.story(k)...)
	default:
		c.find(Lost, true, "the records end before its time was up", c.story(k)...)
	}
}

// excused says that nobody owes the call an answer, or that it may have been lost by the network.
func (c *Checker) excused(k *call, until time.Duration) bool {
	a := c.agent(k.asked.Agent)
	if a.killed >= k.asked.At-c.terms.Lag && a.killed <= until {
		return true
	}
	if a.clients.heldUp(k.asked.At, 0) {
		c.find(Lost, true, "the network between it and its agent was in trouble", c.story(k)...)
		return true
	}
	return false
}

// story is all that is known of a call, and what else bears on it.
func (c *Checker) story(k *call, more ...*Record) []*Record {
	s := []*Record{&k.asked}
	for i := range k.attempts {
		s = append(s, &k.attempts[i].arrived)
	}
	return append(s, more...)
}

func (c *Checker) asked(r Record) {
	k := c.calls[r.Call]
	if k == nil {
		c.calls[r.Call] = &call{asked: r}
	} else if k.broken != nil && !k.again && k.final == nil { // the client's one repeat of what the agent has not read
		k.again, k.broken = true, nil
	}
	o := c.operations[r.Operation]
	if o == nil {
		o = &operation{}
		c.operations[r.Operation] = o
	}
	o.last = r.At
}

func (c *Checker) answered(r Record) {
	k := c.calls[r.Call]
	switch {
	case k == nil:
		c.find(Lost, true, "an answer to a call of which no record is left", &r)
		return
	case k.final != nil:
		c.find(Lost, false, "it was answered twice", c.story(k, k.final, &r)...)
		return
	}
	k.final = &r
	if r.At > k.asked.At+k.asked.Budget+c.terms.Slack+c.terms.Lag {
		c.find(Lost, false, "it was answered too late", c.story(k, &r)...)
	}
	switch r.Status {
	case 200:
		if !slices.Contains(k.made, r.Body) {
			c.find(Lost, false, "it was served what no backend made for it", c.story(k, &r)...)
		}
	case 429, 503:
		c.refused(k, &r)
	}
}

// refused judges a refusal, which says that trying again is harmless.
func (c *Checker) refused(k *call, r *Record) {
	class := c.terms.Classes[k.asked.Class]
	for i := range k.attempts {
		a := &k.attempts[i]
		late := r.At > a.arrived.First+class.Window+c.terms.Slack+c.terms.Lag
		if a.rejected == 0 && (class.Effect == Unsafe || class.Effect == Keyed && (class.Scope != All || late)) {
			c.find(Twice, false, "it was refused, which promises that it did not run, and it may have run", c.story(k, r)...)
			return
		}
	}
}

func (c *Checker) left(r Record) {
	k := c.calls[r.Call]
	if k == nil || k.final != nil {
		return
	}
	switch {
	case r.Kind == HungUp:
		k.final = &r
	case r.Kind == GaveUp:
		k.final = &r
		if !c.excused(k, r.At) {
			c.find(Lost, false, "it was not answered in time", c.story(k, &r)...)
		}
	default:
		// A connection that closes under a request which nobody has read is the client's to repeat, once.
		k.broken = &r
	}
}
