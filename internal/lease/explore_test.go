package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/mutation"
)

// world plays agents that want two duties, and a group with leads that come and go. Clocks drift, processes are stopped, crash
// and are cut off; messages are late, doubled and lost. The table changes at one point in time, as a group that agrees has it.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	table  Table
	watch  ExpiryTracker
	lead   float64 // how fast its clock runs
	noLead time.Duration
	agents []*worker
	mail   []mail
	plant  string

	granted uint64
	handed  map[string]string // duty: to whom, since the last release
	revoked map[string]uint64 // duty: epoch
	batons  map[string]string
	lost    map[string]int // holders in a row
	side    *rand.Rand
	behind  map[string]*Duty // of somebody who hears nothing new
	last    map[string]*Duty
	found   []string
}

type worker struct {
	name    string
	life    int
	rate    float64
	offset  time.Duration
	holders map[string]*Holder
	follows map[string]*Follower
	newest  map[string]uint64 // epoch that was followed, over all of this life
	stopped time.Duration     // until then
	cut     time.Duration
}

type mail struct {
	at time.Duration
	do func()
}

const (
	term  = 300 * time.Millisecond
	beat  = 20 * time.Millisecond
	play  = 16 * time.Second
	quiet = 8 * time.Second // no faults from then on
)

func (w *world) clock(rate float64) time.Duration { return time.Duration(float64(w.now) * rate) }

func (a *worker) clock(now time.Duration) time.Duration {
	return a.offset + time.Duration(float64(now)*a.rate)
}

func (w *world) drift() float64 {
	return 1 + MaxClockDrift*[]float64{-1, 1, 2*w.rng.Float64() - 1}[w.rng.IntN(3)]
}

func (w *world) fail(property, format string, args ...any) {
	if len(w.found) < 8 {
		w.found = append(w.found, fmt.Sprintf("%s: at %v: ", property, w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *world) born(a *worker) {
	a.life++
	a.offset = time.Duration(w.rng.Int64N(int64(time.Hour)))
	a.holders, a.follows, a.newest = map[string]*Holder{}, map[string]*Follower{}, map[string]uint64{}
	for _, duty := range []string{"x", "y"} {
		a.holders[duty] = &Holder{Duty: duty, Name: fmt.Sprintf("%s/%d", a.name, a.life), Term: term}
		a.follows[duty] = &Follower{MaxAge: term}
	}
}

// apply is the table's, with what is planted.
func (w *world) apply(op Op) Answer {
	d := w.table.Duties[op.Duty]
	switch w.plant {
	case "an older epoch is renewed":
		if op.Kind == Renew && d != nil && d.Holder != "" {
			return Answer{Holder: op.Holder, Epoch: op.Epoch}
		}
	case "the end of an old time ends the new one":
		if op.Kind == Expire && d != nil {
			op.Version = d.Version
		}
	case "a duty that is held is granted":
		if op.Kind == Acquire && d != nil {
			d.Holder = ""
		}
	case "a revoked duty is free at once":
		if op.Kind == Revoke && d != nil {
			w.table.Apply(&op)
			d.Holder, d.Revoked = "", false
			return Answer{}
		}
	case "a revoked duty is renewed":
		if op.Kind == Renew && d != nil {
			d.Revoked = false
		}
	case "an epoch comes again":
		if op.Kind == Acquire && w.rng.IntN(3) == 0 && w.table.Last > 0 {
			w.table.Last--
		}
	case "whoever comes takes what is handed to another":
		if op.Kind == Acquire && d != nil {
			d.To = ""
		}
	case "the baton is lost":
		if op.Kind == Acquire && d != nil {
			d.Baton = nil
		}
	case "it never rests":
		if d != nil {
			d.Lost = 0
		}
	case "it rests for ever":
		if op.Kind == Expire && d != nil && d.Resting {
			return Answer{}
		}
	case "anybody releases it":
		if op.Kind == Release && d != nil {
			op.Holder, op.Epoch = d.Holder, d.Epoch
		}
	}
	before := Duty{}
	if d != nil {
		before = *d
	}
	a := w.table.Apply(&op)
	d = w.table.Duties[op.Duty]
	if w.plant == "a word outlives its holder" && op.Kind != Renew && d != nil {
		d.Word = before.Word
	}
	if d != nil && d.Word != nil && string(d.Word) != fmt.Sprint(d.Epoch) {
		w.fail("Word", "%q is said under epoch %d", d.Word, d.Epoch)
	}
	if op.Kind == Acquire && a.Refused == "" {
		if a.Epoch <= w.granted {
			w.fail("Order", "epoch %d after %d", a.Epoch, w.granted)
		}
		w.granted = max(w.granted, a.Epoch)
		if to := w.handed[op.Duty]; to != "" && to != op.Holder {
			w.fail("Hand", "%s got what was handed to %s", op.Holder, to)
		}
		if b := w.batons[op.Duty]; b != string(a.Baton) {
			w.fail("Hand", "the baton is %q and was %q", a.Baton, b)
		}
		delete(w.handed, op.Duty)
	}
	switch {
	case a.Refused != "":
	case op.Kind == Release:
		w.handed[op.Duty], w.batons[op.Duty] = d.To, string(op.Baton)
	case op.Kind == Expire && before.Holder == "" && before.To != "":
		delete(w.handed, op.Duty)
	case op.Kind == HandOver:
		w.handed[op.Duty] = d.To
	case op.Kind == Revoke:
		w.revoked[op.Duty] = before.Epoch
	case op.Kind == Renew && w.revoked[op.Duty] == op.Epoch:
		w.fail("Revoked", "epoch %d of %s was revoked and renewed", op.Epoch, op.Duty)
	case op.Kind == Expire && before.Holder != "" && !before.Revoked && before.Renewed < settled:
		if w.lost[op.Duty]++; w.lost[op.Duty] >= mostLost && !d.Resting {
			w.fail("Rest", "%s goes on", op.Duty)
		}
	}
	if a.Refused == "" && (op.Kind == Release || d.Renewed >= settled || before.Resting) {
		w.lost[op.Duty] = 0
	}
	return a
}

// late is how long a message takes: now and then far longer than usual.
func (w *world) late() time.Duration {
	d := time.Duration(w.rng.Int64N(int64(30 * time.Millisecond)))
	if w.now < quiet && w.rng.IntN(8) == 0 {
		d *= 10
	}
	return d
}

// ask sends a question, which comes late, or twice, or never, as does its answer.
func (w *world) ask(a *worker, h *Holder, q *Request) {
	if q == nil {
		return
	}
	life := a.life
	lost := func() bool { return w.now < a.cut || w.now < quiet && w.rng.IntN(20) == 0 }
	answer := func(r Answer) {
		if a.life == life && !lost() {
			w.answered(a, h, q, r)
		}
	}
	for range 1 + w.rng.IntN(8)/7 {
		if lost() {
			continue
		}
		w.mail = append(w.mail, mail{w.now + w.late(), func() {
			r := w.apply(q.Op)
			for range 1 + w.rng.IntN(2) {
				w.mail = append(w.mail, mail{w.now + w.late(), func() {
					if w.now < a.stopped { // it reads that when it goes on
						w.mail = append(w.mail, mail{a.stopped, func() { answer(r) }})
						return
					}
					answer(r)
				}})
			}
		}})
	}
}

func (w *world) answered(a *worker, h *Holder, q *Request, r Answer) {
	now := a.clock(w.now)
	switch w.plant {
	case "the term counts from the answer":
		asked := h.asked
		if h.asked = now; !h.out || q.Number != h.turn {
			h.asked = asked
		}
	case "any answer will do":
		q.Number, h.out = h.turn, true
		h.asked = now
	}
	h.HandleAnswer(now, q.Number, r)
}

func (w *world) step() {
	w.now += beat / 4
	for i := 0; i < len(w.mail); i++ {
		if m := w.mail[i]; m.at <= w.now {
			w.mail = slices.Delete(w.mail, i, i+1)
			i--
			m.do()
		}
	}
	if w.now >= w.noLead {
		lead := w.clock(w.lead)
		if w.plant == "the lead's clock runs ahead of the margin" {
			lead += lead / 5
		}
		for _, op := range w.watch.Expired(lead, &w.table) {
			w.mail = append(w.mail, mail{w.now + w.late(), func() { w.apply(op) }})
		}
	}
	for _, a := range w.agents {
		if w.now < a.stopped {
			continue
		}
		for _, duty := range []string{"x", "y"} {
			h := a.holders[duty]
			now := a.clock(w.now)
			d := w.table.Duties[duty]
			free := d == nil || d.Holder == ""
			if _, _, holds := h.Holds(now); holds && (h.ReleaseReason() != "" || w.now < quiet && w.rng.IntN(600) == 0) {
				to := ""
				if w.rng.IntN(2) == 0 {
					o := w.agents[w.rng.IntN(len(w.agents))]
					to = o.holders[duty].Name
				}
				w.ask(a, h, h.Release(now, to, fmt.Appendf(nil, "%d", w.rng.IntN(1000))))
				continue
			}
			if h.epoch != 0 {
				h.Publish(fmt.Append(nil, h.epoch))
			}
			w.follow(a, duty)
			w.ask(a, h, h.Tick(now, free, time.Duration(w.rng.Int64N(int64(beat)))))
			if w.plant == "it holds on when its time is over" && h.epoch != 0 {
				h.until = now + term
			}
		}
	}
	w.trouble()
	for _, duty := range []string{"x", "y"} {
		var who []string
		for _, a := range w.agents {
			// One that is stopped does nothing now. What it does when it wakes carries an epoch that is refused.
			if _, _, holds := a.holders[duty].Holds(a.clock(w.now)); holds && w.now >= a.stopped {
				who = append(who, a.holders[duty].Name)
			}
		}
		if len(who) > 1 {
			w.fail("One", "%s is held by %v", duty, who)
		}
	}
}

// follow has an agent hear what a duty's holder says and judges what it makes of it. In the end one agent asks somebody who is
// behind for good.
func (w *world) follow(a *worker, duty string) {
	f, asked := a.follows[duty], a.clock(w.now)
	if d := w.table.Duties[duty]; d != nil && w.side.IntN(4) == 0 && w.now >= a.cut {
		heard := Duty{Epoch: d.Epoch, Version: d.Version, Word: d.Word}
		if a == w.agents[0] && w.now > quiet {
			if w.behind[duty] == nil {
				w.behind[duty] = &heard
			}
			heard = *w.behind[duty]
		}
		switch w.plant {
		case "whatever is heard last is followed":
			f.epoch, f.version = 0, 0
		case "a word is as old as its answer":
			f.version = 0
		}
		if w.side.IntN(8) == 0 && w.last[duty] != nil && w.now <= quiet { // an answer of before
			f.Update(asked, w.last[duty].Epoch, w.last[duty].Version, w.last[duty].Word)
		}
		f.Update(asked, heard.Epoch, heard.Version, heard.Word)
		if w.side.IntN(20) == 0 {
			w.last[duty] = &heard
		}
	}
	word, epoch := f.Current(asked)
	if word == nil {
		return
	}
	if epoch < a.newest[duty] {
		w.fail("Word", "%s follows epoch %d of %s after %d", a.name, epoch, duty, a.newest[duty])
	}
	a.newest[duty] = epoch
	if a == w.agents[0] && w.now > quiet+5*term {
		w.fail("Word", "%s follows for ever what was said once", a.name)
	}
}

func (w *world) trouble() {
	if w.now >= quiet {
		return
	}
	a := w.agents[w.rng.IntN(len(w.agents))]
	long := time.Duration(w.rng.Int64N(int64(3 * term)))
	switch w.rng.IntN(400) {
	case 0:
		w.born(a)
	case 1:
		a.stopped = w.now + long
	case 2:
		a.cut = w.now + long
	case 3: // another leads
		w.lead, w.noLead = w.drift(), w.now+long/2
		if w.plant != "a new lead goes on with the clock of the one before" {
			w.watch = ExpiryTracker{}
		} else {
			for name, s := range w.watch.seen {
				s.version, s.since = w.table.Duties[name].Version, s.since-term
				w.watch.seen[name] = s
			}
		}
	case 4, 5:
		if d := w.table.Duties["x"]; d != nil {
			w.apply(Op{Kind: Revoke, Duty: "x", Why: "by hand"})
		}
	case 6, 7:
		if d := w.table.Duties["y"]; d != nil {
			w.apply(Op{Kind: HandOver, Duty: "y", To: a.holders["y"].Name})
		}
	}
}

func explore(seed uint64, plant string) []string {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), plant: plant, handed: map[string]string{}, revoked: map[string]uint64{}, batons: map[string]string{}, lost: map[string]int{}, side: rand.New(rand.NewPCG(seed, 9)), behind: map[string]*Duty{}, last: map[string]*Duty{}}
	w.lead = w.drift()
	for _, name := range []string{"a", "b", "c"} {
		a := &worker{name: name, rate: w.drift()}
		w.born(a)
		w.agents = append(w.agents, a)
	}
	held := map[string]int{}
	steps := 0
	for w.now < play {
		w.step()
		if w.now < play-2*time.Second { // after ten terms of rest and one each for those that are gone
			continue
		}
		steps++
		for _, duty := range []string{"x", "y"} {
			for _, a := range w.agents {
				if _, _, holds := a.holders[duty].Holds(a.clock(w.now)); holds {
					held[duty]++
				}
			}
		}
	}
	for _, duty := range []string{"x", "y"} {
		if held[duty] < steps/3 {
			w.fail("Back", "%s is held in %d of %d looks of the end: %+v", duty, held[duty], steps, *w.table.Duties[duty])
		}
	}
	return w.found
}

func TestExplore(t *testing.T) {
	seeds := uint64(2000)
	if testing.Short() {
		seeds = 200
	}
	for seed := range seeds {
		if found := explore(seed, ""); len(found) > 0 {
			t.Fatalf("seed %d:\n%s", seed, strings.Join(found, "\n"))
		}
	}
}

// Each planted bug is found by the property that is named beforehand.
func TestPlanted(t *testing.T) {
	mutation.Each(t, map[string]string{
		"an older epoch is renewed":                           "One",
		"the end of an old time ends the new one":             "One",
		"a duty that is held is granted":                      "One",
		"a revoked duty is free at once":                      "One",
		"a revoked duty is renewed":                           "Revoked",
		"an epoch comes again":                                "Order",
		"whoever comes takes what is handed to another":       "Hand",
		"the baton is lost":                                   "Hand",
		"it never rests":                                      "Rest",
		"it rests for ever":                                   "Back",
		"anybody releases it":                                 "One",
		"the term counts from the answer":                     "One",
		"any answer will do":                                  "One",
		"the lead's clock runs ahead of the margin":           "One",
		"it holds on when its time is over":                   "One",
		"a new lead goes on with the clock of the one before": "One",
		"a word outlives its holder":                          "Word",
		"whatever is heard last is followed":                  "Word",
		"a word is as old as its answer":                      "Word",
	}, 400, explore)
}
