package work

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/mutation"
	"example.org/micaline/policy"
)

// hall is a piece of work with three keepers, the agent that took it and two that take it over whenever they like, at the same time
// too. What was sent once may arrive at any time, in any order, more than once or never; a keeper starts anew with nothing; an owner
// that was allowed writes whenever it likes.
type hall struct {
	keepers []*Keeper
	names   []string
	owners  []*player
	mail    []letter
	now     time.Duration
	bug     string
	effect  policy.Effect
	window  time.Duration
	found   []string

	effects  []string                 // groups in which it happened
	knows    map[string]time.Duration // until when a group drops repeats
	written  map[string]bool
	granted  map[string]map[int]bool // by attempt: keepers
	ends     map[End]int             // that were told, to whoever asked
	unproven bool                    // unknown was told, and nothing had been granted by then
	life     uint64
}

type letter struct {
	to   int // keeper
	from *player
	ask  Ask
}

// player is an owner and what it is doing.
type player struct {
	*Owner
	phase  string // "", taking, keeping, allowing, writing, waiting, closing, over
	server int
	plan   Plan
	end    End
	tries  int
	until  time.Duration // a keyed attempt may leave
}

const serversOf = 2

func group(server int) string { return fmt.Sprint("g", server) }

func newHall(effect policy.Effect, bug string) *hall {
	h := &hall{
		bug: bug, effect: effect, window: 40, written: map[string]bool{}, granted: map[string]map[int]bool{}, knows: map[string]time.Duration{}, ends: map[End]int{}, names: []string{"k0", "k1", "k2"},
	}
	var seats []Seat
	for i := range h.names {
		h.life++
		h.keepers = append(h.keepers, &Keeper{Life: h.life})
		seats = append(seats, Seat{h.names[i], h.life})
	}
	for i := range 3 {
		o := &Owner{Work: "w", Ballot: Ballot{uint64(i + 1), fmt.Sprint("a", i)}, Effect: effect, Seats: seats, Grants: 2}
		if bug == "one keeper is enough to allow" {
			o.Grants = 1
			o.Seats = append(seats[:len(seats):len(seats)], Seat{"nobody", 0})[:3]
		}
		h.owners = append(h.owners, &player{Owner: o, server: i % serversOf})
	}
	return h
}

func (h *hall) fail(property, format string, args ...any) {
	h.found = append(h.found, property+": "+fmt.Sprintf(format, args...))
}

func (h *hall) post(p *player, all []Ask) {
	for _, a := range all {
		if i := slices.Index(h.names, a.Seat.Name); i >= 0 {
			h.mail = append(h.mail, letter{i, p, a})
		}
	}
}

// has is the owner's, with what is planted.
func (h *hall) has(p *player, k Kind) bool {
	switch {
	case h.bug == "permission by the clock alone" && k == Allow:
		return true
	case h.bug == "one keeper is enough to allow" && k == Allow, h.bug == "one keeper is enough to withdraw" && k == Withdraw:
		return !p.Lost && len(p.heard[k]) >= 1
	}
	return p.Has(k)
}

// deliver has a keeper answer, and the answer arrive, or not.
func (h *hall) deliver(l letter, lost bool) {
	k, op := h.keepers[l.to], l.ask.Op
	r := k.records[op.Work]
	switch {
	case h.bug == "a keeper's life does not matter":
		op.Life = k.Life
	case h.bug == "a withdrawal without a record leaves no mark" && op.Kind == Withdraw && r == nil:
		l.from.Heard(l.ask.Seat, &l.ask.Op, &Reply{Ballot: op.Ballot})
		return
	case h.bug == "a lower ballot is allowed" && op.Kind == Allow && r != nil:
		r.Ballot = op.Ballot
	case h.bug == "a withdrawal hides what was allowed" && op.Kind == Withdraw && r != nil:
		defer func(a []Attempt) { r.Attempts = a }(r.Attempts)
		r.Attempts = nil
	case h.bug == "an end is not kept" && r != nil:
		r.End = None
	case h.bug == "the last end that is found counts" && op.Kind == Withdraw && r != nil && r.End != None:
		r.Closed = Ballot{uint64(100 + l.to), "x"}
	}
	reply := k.Apply(h.now, &op)
	if op.Kind == Allow && reply.Refused == "" {
		at := fmt.Sprintf("%v.%d", op.Ballot, op.Attempt.Number)
		if h.granted[at] == nil {
			h.granted[at] = map[int]bool{}
		}
		h.granted[at][l.to] = true
	}
	if !lost {
		l.from.Heard(l.ask.Seat, &l.ask.Op, &reply)
	}
}

// act has an owner do what it may do next; came is what becomes of an attempt that it writes.
func (h *hall) act(p *player, came Fate) {
	allow := func() {
		p.phase = "allowing"
		if p.tries++; p.tries == 1 && p.until == 0 {
			p.until = h.now + h.window
		}
		h.post(p, p.Allow(fmt.Sprint("s", p.server), group(p.server)))
	}
	finish := func(e End) {
		p.phase, p.end = "closing", e
		if e == Unknown && len(h.granted) == 0 {
			h.unproven = true
		}
		h.post(p, p.Close(e, []byte("x")))
	}
	if p.Lost && h.bug != "permission by the clock alone" && p.phase != "writing" {
		p.phase = "over"
	}
	switch p.phase {
	case "":
		if p == h.owners[0] {
			p.phase = "keeping"
			h.post(p, p.Keep([]byte("x")))
		} else {
			p.phase, p.until = "taking", h.now
			h.post(p, p.Take())
		}
	case "taking":
		if !h.has(p, Withdraw) {
			return
		}
		p.plan = p.Plan(h.window)
		switch {
		case h.bug == "what may have run is sent again" && p.plan.End == Unknown:
			p.plan = Plan{Step: SendOn}
		case h.bug == "a key is known everywhere" && p.plan.Step == Repeat:
			p.plan.Group = group(p.server)
		case h.bug == "unknown where nothing was allowed" && p.plan.Step == SendOn:
			p.plan = Plan{Step: Finish, End: Unknown}
		}
		switch p.plan.Step {
		case Finish:
			finish(p.plan.End)
		case Repeat:
			p.server = int(p.plan.Group[1] - '0')
			p.until += p.plan.Left // counted from when it asked
			allow()
		default:
			p.until = h.now + h.window
			allow()
		}
	case "keeping":
		if h.has(p, Keep) {
			allow()
		}
	case "allowing":
		if h.has(p, Allow) {
			p.phase = "writing"
		}
	case "writing": // it was allowed, and may have stood still for long
		if h.effect == policy.Keyed && h.now >= p.until && h.bug != "a key is known for ever" {
			p.phase = "over" // a key may be forgotten by now
			return
		}
		at := fmt.Sprintf("%v.%d", p.Ballot, p.number)
		if !h.written[at] {
			h.written[at] = true
			if len(h.granted[at]) < 2 {
				h.fail("Permitted", "%s wrote with %d grants", at, len(h.granted[at]))
			}
			switch came {
			case NotRun: // the connection broke before the last byte, and this is known
				p.phase = "not run"
			case Open: // it ran, and nobody hears of it
				h.run(p)
				p.phase = "over"
			default:
				h.run(p)
				p.phase = "answered"
			}
		}
	case "not run":
		h.post(p, p.Learned(NotRun))
		if p.tries < 2 {
			allow()
		} else {
			p.phase = "over"
		}
	case "answered":
		finish(Done)
	case "closing":
		if h.has(p, Close) {
			h.ends[p.end]++
			p.phase = "over"
		}
	}
}

func (h *hall) run(p *player) {
	g := group(p.server)
	if h.effect == policy.Keyed && h.now < h.knows[g] {
		return // its servers drop the repeat
	}
	if h.knows[g] == 0 {
		h.knows[g] = h.now + h.window
	}
	h.effects = append(h.effects, g)
}

// judge holds what has become of it against what is promised.
func (h *hall) judge() {
	if h.effect == policy.SideEffect && len(h.effects) > 1 {
		h.fail("Once", "it happened %d times", len(h.effects))
	}
	if h.effect == policy.Keyed && len(h.effects) > 1 {
		h.fail("Group", "it happened in %v", h.effects)
	}
	if len(h.ends) > 1 {
		h.fail("Alike", "it ended as %v", h.ends)
	}
	if h.unproven {
		h.fail("Unknown", "nothing had been allowed")
	}
}

// play takes steps at random: an owner acts, a letter arrives, again or for the first time, a keeper starts anew, a stop.
func play(seed uint64, effect policy.Effect, bug string) []string {
	rng := rand.New(rand.NewPCG(seed, 7))
	h := newHall(effect, bug)
	anew := rng.IntN(3) // one keeper may lose what it has, once
	late := rng.IntN(60)
	for step := range 160 {
		h.now++
		switch rng.IntN(12) {
		case 0, 1, 2, 3:
			i := rng.IntN(3)
			if i > 0 && step < late {
				i = 0 // they begin at any time
			}
			h.act(h.owners[i], [...]Fate{NotRun, Open, Served, Served}[rng.IntN(4)])
		case 4:
			if anew == 1 && rng.IntN(6) == 0 {
				anew = 0
				h.life++
				h.keepers[rng.IntN(len(h.keepers))] = &Keeper{Life: h.life}
			}
		default:
			if len(h.mail) > 0 {
				h.deliver(h.mail[rng.IntN(len(h.mail))], rng.IntN(8) == 0)
			}
		}
		if h.judge(); len(h.found) > 0 {
			return h.found
		}
	}
	return nil
}

func TestExplore(t *testing.T) {
	seeds := uint64(30000)
	if testing.Short() {
		seeds = 3000
	}
	for _, effect := range []policy.Effect{policy.SideEffect, policy.Keyed} {
		for seed := range seeds {
			if found := play(seed, effect, ""); len(found) > 0 {
				t.Fatalf("effect %d, seed %d: %s", effect, seed, strings.Join(found, "\n"))
			}
		}
	}
}

// clone copies all that steps change.
func (h *hall) clone() *hall {
	c := *h
	c.mail, c.found, c.effects = slices.Clone(h.mail), nil, slices.Clone(h.effects)
	c.written, c.ends, c.knows = maps.Clone(h.written), maps.Clone(h.ends), maps.Clone(h.knows)
	c.granted, c.keepers, c.owners = map[string]map[int]bool{}, nil, nil
	for at, by := range h.granted {
		c.granted[at] = maps.Clone(by)
	}
	for _, k := range h.keepers {
		n := &Keeper{Life: k.Life, bytes: k.bytes, records: map[string]*Record{}}
		for name, r := range k.records {
			r := *r
			r.Attempts = slices.Clone(r.Attempts)
			n.records[name] = &r
		}
		c.keepers = append(c.keepers, n)
	}
	for _, p := range h.owners {
		o, q := *p.Owner, *p
		o.heard, o.records = map[Kind]map[string]bool{}, maps.Clone(p.records)
		for k, by := range p.heard {
			o.heard[k] = maps.Clone(by)
		}
		q.Owner = &o
		c.owners = append(c.owners, &q)
		for i := range c.mail {
			if c.mail[i].from == p {
				c.mail[i].from = &q
			}
		}
	}
	return &c
}

// key tells states apart. Keepers are alike but for what they have, so that the order in which they stand is none.
func (h *hall) key() string {
	var keepers []string
	for i, k := range h.keepers {
		var b strings.Builder
		r := k.records["w"]
		if r != nil {
			fmt.Fprint(&b, r.Ballot.Turn, r.Known, len(r.Attempts), r.End, r.Closed.Turn)
			for _, a := range r.Attempts {
				fmt.Fprint(&b, a.Ballot.Turn)
			}
		}
		for _, l := range h.mail {
			if l.to == i {
				fmt.Fprint(&b, "|", l.from.Ballot.Turn, l.ask.Op.Kind)
			}
		}
		for _, p := range h.owners {
			for kind := Keep; kind <= Close; kind++ {
				if p.heard[kind][h.names[i]] {
					fmt.Fprint(&b, "+", p.Ballot.Turn, kind)
				}
			}
			if r, ok := p.records[h.names[i]]; ok {
				fmt.Fprint(&b, "=", r.Known, len(r.Attempts), r.End, r.Closed.Turn)
			}
		}
		keepers = append(keepers, b.String())
	}
	slices.Sort(keepers)
	var b strings.Builder
	fmt.Fprint(&b, keepers, h.effects, h.ends, len(h.written))
	for _, p := range h.owners {
		fmt.Fprint(&b, ";", p.phase, p.Lost, p.plan.Step, p.end)
	}
	return b.String()
}

// whole visits each state of an unsafe piece of work with two owners, all of whose questions arrive once or never, and are answered or
// not, in any order; an attempt that is written runs, and its owner hears of it or not. It returns what is wrong, and how many states there are.
func whole(bug string, most int) (found []string, states int) {
	first := newHall(policy.SideEffect, bug)
	first.owners = first.owners[:2]
	seen, open := map[string]bool{first.key(): true}, []*hall{first}
	for len(open) > 0 && states < most {
		h := open[len(open)-1]
		open = open[:len(open)-1]
		states++
		next := func(do func(c *hall)) {
			c := h.clone()
			do(c)
			c.judge()
			if len(c.found) > 0 && found == nil {
				found = c.found
			}
			if key := c.key(); !seen[key] {
				seen[key] = true
				open = append(open, c)
			}
		}
		for i := range h.owners {
			next(func(c *hall) { c.act(c.owners[i], Served) })
			if h.owners[i].phase == "writing" {
				next(func(c *hall) { c.act(c.owners[i], Open) })
			}
		}
		for i := range h.mail {
			for _, lost := range []bool{false, true} {
				next(func(c *hall) {
					l := c.mail[i]
					c.mail = slices.Delete(c.mail, i, i+1)
					c.deliver(l, lost)
				})
			}
		}
		if found != nil {
			return found, states
		}
	}
	return nil, states
}

var wholeFlag = flag.Bool("whole", false, "visit every state of a small hall")

func TestExploreWhole(t *testing.T) {
	if !*wholeFlag {
		t.Skip("-whole has it take two minutes")
	}
	const most = 4_000_000
	found, states := whole("", most)
	if len(found) > 0 || states == most {
		t.Errorf("%d states: %v", states, found)
	}
	t.Logf("%d states", states)
	if found, states := whole("one keeper is enough to withdraw", most); found == nil {
		t.Errorf("a planted bug is in none of %d states", states)
	}
}

// Each planted bug breaks the property that is named beforehand.
func TestPlanted(t *testing.T) {
	mutation.Each(t, map[string]string{
		"permission by the clock alone":                "Permitted",
		"one keeper is enough to allow":                "Permitted",
		"one keeper is enough to withdraw":             "Once",
		"a keeper's life does not matter":              "Once",
		"a withdrawal without a record leaves no mark": "Once",
		"a lower ballot is allowed":                    "Once",
		"a withdrawal hides what was allowed":          "Once",
		"what may have run is sent again":              "Once",
		"a key is known everywhere":                    "Group",
		"an end is not kept":                           "Alike",
		"the last end that is found counts":            "Alike",
		"a key is known for ever":                      "Group",
		"unknown where nothing was allowed":            "Unknown",
	}, 30000, func(seed uint64, bug string) []string {
		if strings.HasPrefix(bug, "a key is known") {
			return play(seed, policy.Keyed, bug)
		}
		return play(seed, policy.SideEffect, bug)
	})
}
