package work

import (
	"slices"
	"time"

	"example.org/micaline/policy"
)

// Seat is a keeper of a piece of work.
type Seat struct {
	Name string
	Life uint64
}

// Owner is who has a piece of work in hand. It is not safe for concurrent use.
type Owner struct {
	Work   string
	Ballot Ballot
	Effect policy.Effect
	Seats  []Seat // R of them, the same for all owners
	Grants int    // W: what it takes to keep, allow and close

	Lost    bool // another has taken it over: nothing more is sent, or said
	number  int  // of attempts asked for
	heard   map[Kind]map[string]bool
	records map[string]Record // by keeper, of Withdraw
	last    Attempt
}

// Withdrawals is Q, how many keepers must have heard of a new owner.
func (o *Owner) Withdrawals() int { return len(o.Seats) - o.Grants + 1 }

// Ask is a question to a keeper.
type Ask struct {
	Seat Seat
	Op   Op
}

// ask makes a question to all keepers, and what was heard to such a one before no longer counts.
func (o *Owner) ask(op Op) (all []Ask) {
	if o.heard == nil {
		o.heard = map[Kind]map[string]bool{}
	}
	o.heard[op.Kind] = map[string]bool{}
	for _, s := range o.Seats {
		op.Work, op.Life, op.Ballot, op.Effect = o.Work, s.Life, o.Ballot, o.Effect
		all = append(all, Ask{s, op})
	}
	return all
}

// Keep has the work kept; it is protected once Has(Keep).
func (o *Owner) Keep(request []byte) []Ask { return o.ask(Op{Kind: Keep, Request: request}) }

// Allow asks for an attempt; its first byte may leave once Has(Allow).
func (o *Owner) Allow(server, group string) []Ask {
	o.number++
	o.last = Attempt{Ballot: o.Ballot, Number: o.number, Server: server, Group: group}
	return o.ask(Op{Kind: Allow, Attempt: o.last})
}

// Learned tells of the fate of the last attempt.
func (o *Owner) Learned(f Fate) []Ask {
	o.last.Fate = f
	return o.ask(Op{Kind: Learn, Attempt: o.last})
}

// Take withdraws what earlier owners may do; Plan says what is left to be done, once Has(Withdraw).
func (o *Owner) Take() []Ask {
	o.records = map[string]Record{}
	return o.ask(Op{Kind: Withdraw})
}

// Close ends the work. Danger: whoever says an end to a client before Has(Close) may say another than who takes it over.
func (o *Owner) Close(e End, answer []byte) []Ask {
	return o.ask(Op{Kind: Close, End: e, Answer: answer})
}

// Heard takes in a reply. One to an earlier question of its kind is not heard.
func (o *Owner) Heard(s Seat, op *Op, r *Reply) {
	switch {
	case op.Ballot != o.Ballot || op.Kind == Allow && op.Attempt.Number != o.number:
		return
	case r.Refused != "":
		o.Lost = o.Lost || r.Ballot.compare(o.Ballot) > 0
		return
	case op.Kind == Withdraw:
		o.records[s.Name] = r.Record
	}
	if o.heard[op.Kind] != nil {
		o.heard[op.Kind][s.Name] = true
	}
}

// Has says that enough keepers have done what was asked last of a kind.
func (o *Owner) Has(k Kind) bool {
	need := o.Grants
	if k == Withdraw {
		need = o.Withdrawals()
	}
	return !o.Lost && len(o.heard[k]) >= need
}

// Step is what is left to be done with work that was taken over.
type Step uint8

// The steps.
const (
	SendOn Step = iota // nothing of it can have run: send it like any request
	Repeat             // it is keyed: send it again within Group, for Left at most
	Finish             // close it with End and Answer
)

// Plan is what a new owner does.
type Plan struct {
	Step    Step
	Group   string
	Left    time.Duration
	End     End
	Answer  []byte
	Request []byte
}

// Plan says what is left to be done. Window is how long servers remember a key.
func (o *Owner) Plan(window time.Duration) Plan {
	p, closed := Plan{Step: SendOn, Left: window}, Ballot{}
	var all []Attempt
	known := false
	for _, r := range o.records {
		if r.Known {
			known, o.Effect, p.Request = true, r.Effect, r.Request
		}
		if r.End != None && r.Closed.compare(closed) > 0 {
			p.Step, p.End, p.Answer, closed = Finish, r.End, r.Answer, r.Closed
		}
		for _, a := range r.Attempts {
			if i := slices.IndexFunc(all, func(b Attempt) bool { return b.Ballot == a.Ballot && b.Number == a.Number }); i < 0 {
				all = append(all, a)
			} else {
				all[i].Fate, all[i].Age = max(all[i].Fate, a.Fate), max(all[i].Age, a.Age)
			}
		}
	}
	if p.Step == Finish {
		return p
	}
	if !known { // W keepers never had it, so nothing of it was allowed, and its client was told nothing of it
		return Plan{Step: Finish, End: Refused}
	}
	for _, a := range all {
		switch {
		case a.Fate == NotRun || o.Effect == policy.Pure:
		case o.Effect == policy.Keyed && a.Age < window && (p.Group == "" || p.Group == a.Group):
			p.Step, p.Group, p.Left = Repeat, a.Group, min(p.Left, window-a.Age)
		default: // it may have run, and nobody will drop its repeat
			return Plan{Step: Finish, End: Unknown}
		}
	}
	return p
}
