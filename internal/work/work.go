// Package work keeps the record of a piece of work that an agent has taken, at other agents, so that another can take it over once
// its agent is lost. It does no I/O, has no clock and starts no goroutines.
//
// A piece of work has Keepers, a set of R agents that does not change while it is in hand, and an Owner: the agent that took it, or
// one that took it over. Each owner has a ballot, higher than those before it (of Lamport's Paxos, whose two phases these are). An
// attempt's first byte leaves only after W keepers have granted it to the owner's ballot. Whoever takes the work over first withdraws
// that right at Q keepers, W+Q > R: a keeper that has heard of a ballot grants nothing to a lower one, ever. So of every attempt that
// was or will be allowed to an earlier owner one of those Q knows, and what none of them knows can never leave. An agent that was
// stopped between permission and write may write after an hour: that attempt was allowed, and counts as one that may have run.
// How it ended is agreed on in the same way: an end counts once W keepers have it under one ballot, and a new owner closes with the end of the
// highest ballot that it finds.
//
// No clock has a part in any of this but one: a keyed attempt may be repeated in its group while the key is remembered, counted from when a
// keeper granted the first, which is before anything left.
//
// A keeper holds its records in memory. One that starts again has another life, and what was asked of the life before it answers with
// nothing: it counts neither for a permission nor for a withdrawal.
//
// What is promised, and explored in explore_test.go:
//   - Permitted: nothing leaves that W keepers of the work have not granted.
//   - Once: an unsafe effect happens once at most, whoever owned the work and whoever woke when.
//   - Group: a keyed one is asked for within one group only.
//   - Alike: a piece of work ends in one way, at whoever asks again and in the record.
//   - Unknown: it ends as unknown only where a permission had been given.
package work

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/micaline/policy"
)

const (
	// MostRequest is how long a request may be that is protected, in bytes.
	MostRequest = 64 << 10
	// MostRecords and MostBytes bound what one agent keeps for others.
	MostRecords, MostBytes = 4096, 16 << 20
	// mostAttempts bounds a record's.
	mostAttempts = 16
)

// Ballot is an owner's number. Ballots are ordered by Turn, then by name.
type Ballot struct {
	Turn uint64 `json:"turn"`
	By   string `json:"by"`
}

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Turn, o.Turn), cmp.Compare(b.By, o.By))
}

// Fate is what has become of an attempt.
type Fate uint8

// The fates.
const (
	Open   Fate = iota // allowed; it may have run
	Served             // it was answered well
	Failed             // it was answered otherwise, and may have run
	NotRun             // it is known that it did not run, and never will
)

// Attempt is one that was allowed.
type Attempt struct {
	Ballot Ballot        `json:"ballot"`
	Number int           `json:"number"` // of its owner's
	Server string        `json:"server"`
	Group  string        `json:"group"` // of servers that know its key
	Fate   Fate          `json:"fate"`
	Age    time.Duration `json:"age"` // since this keeper granted it; where it was only told of, 0
	at     time.Duration
}

// End is how a piece of work has ended.
type End uint8

// The ends.
const (
	None    End = iota
	Done        // with an answer
	Refused     // it never ran; trying again is harmless
	Gone        // it failed, and trying again may do it twice
	Unknown     // it may have run, and nobody can say
)

// Record is what a keeper has of a piece of work.
type Record struct {
	Known    bool          `json:"known"` // else it was only heard that somebody takes it over
	Effect   policy.Effect `json:"effect"`
	Request  []byte        `json:"request,omitempty"`
	Ballot   Ballot        `json:"ballot"` // the highest heard of
	Attempts []Attempt     `json:"attempts,omitempty"`
	End      End           `json:"end"`
	Closed   Ballot        `json:"closed"` // of who closed it so
	Answer   []byte        `json:"answer,omitempty"`
}

// Kind says what is asked of a keeper.
type Kind uint8

// The kinds.
const (
	Keep     Kind = iota + 1 // a copy of work that has come
	Allow                    // Attempt
	Withdraw                 // what was allowed to lower ballots stays, and nothing more is
	Learn                    // the fate of Attempt
	Close                    // the work, with End and Answer
)

// Op is a question to one keeper.
type Op struct {
	Kind    Kind          `json:"kind"`
	Work    string        `json:"work"` // a name that no other work has ever had
	Life    uint64        `json:"life"` // of the keeper, as it was when the work came
	Ballot  Ballot        `json:"ballot"`
	Effect  policy.Effect `json:"effect,omitempty"`
	Request []byte        `json:"request,omitempty"`
	Attempt Attempt       `json:"attempt,omitzero"`
	End     End           `json:"end,omitempty"`
	Answer  []byte        `json:"answer,omitempty"`
}

// Reply is what a keeper says to it.
type Reply struct {
	Refused string `json:"refused,omitempty"`
	Ballot  Ballot `json:"ballot"`          // the highest that it has heard of
	Record  Record `json:"record,omitzero"` // of Withdraw
}

// Keeper keeps records for others. It is not safe for concurrent use.
type Keeper struct {
	Life    uint64 // drawn at random at its start
	records map[string]*Record
	bytes   int
}

// Check says what is wrong with a question, whatever is kept.
func (op *Op) Check() error {
	switch {
	case op.Kind < Keep || op.Kind > Close:
		return fmt.Errorf("kind: there is no kind %d", op.Kind)
	case op.Work == "" || len(op.Work) > 200:
		return errors.New("work: a name has 1 to 200 bytes")
	case op.Ballot.By == "" || len(op.Ballot.By) > 200:
		return errors.New("ballot.by: a name has 1 to 200 bytes")
	case op.Effect > policy.SideEffect:
		return fmt.Errorf("effect: there is no effect %d", op.Effect)
	case len(op.Request) > MostRequest || len(op.Answer) > MostRequest:
		return fmt.Errorf("request, answer: at most %d bytes", MostRequest)
	case op.Attempt.Fate > NotRun || op.Attempt.Number < 0 || len(op.Attempt.Server) > 200 || len(op.Attempt.Group) > 200:
		return errors.New("attempt: no such attempt")
	case op.Kind == Close && (op.End == None || op.End > Unknown):
		return fmt.Errorf("end: there is no end %d", op.End)
	}
	return nil
}

// Apply answers a question.
func (k *Keeper) Apply(now time.Duration, op *Op) Reply {
	if err := op.Check(); err != nil {
		return Reply{Refused: err.Error()}
	}
	if op.Life != k.Life {
		return Reply{Refused: "this keeper has started anew"}
	}
	r := k.records[op.Work]
	if r == nil {
		if len(k.records) >= MostRecords {
			return Reply{Refused: "there is no room for more records"}
		}
		if op.Kind != Keep && op.Kind != Withdraw {
			return Reply{Refused: "nothing is kept of it"}
		}
		if k.records == nil {
			k.records = map[string]*Record{}
		}
		// Danger: a withdrawal that left no mark would let what is still on its way be allowed later.
		r = &Record{Ballot: op.Ballot}
		k.records[op.Work] = r
		k.bytes += len(op.Work)
	}
	refused := func(why string) Reply { return Reply{Refused: why, Ballot: r.Ballot} }
	if op.Kind != Learn && op.Ballot.compare(r.Ballot) < 0 {
		return refused("another has taken it over")
	}
	before := r.size()
	defer func() { k.bytes += r.size() - before }()
	if grows := len(op.Request) + len(op.Answer); k.bytes+grows > MostBytes {
		return refused("there is no room for more bytes")
	}
	switch op.Kind {
	case Keep:
		if !r.Known {
			r.Known, r.Effect, r.Request = true, op.Effect, slices.Clone(op.Request)
		}
	case Allow:
		i := r.find(&op.Attempt)
		switch {
		case !r.Known:
			return refused("nothing is kept of it")
		case r.End != None:
			return refused("it has ended")
		case i < 0 && len(r.Attempts) >= mostAttempts:
			return refused("it has too many attempts")
		case i < 0:
			a := op.Attempt
			a.at, a.Fate = now, Open
			r.Attempts = append(r.Attempts, a)
		}
		r.Ballot = op.Ballot
	case Withdraw:
		r.Ballot = op.Ballot
		c := *r
		c.Attempts = slices.Clone(r.Attempts)
		for i := range c.Attempts {
			c.Attempts[i].Age = now - c.Attempts[i].at
		}
		return Reply{Ballot: r.Ballot, Record: c}
	case Learn:
		if i := r.find(&op.Attempt); i >= 0 && r.Attempts[i].Fate == Open {
			r.Attempts[i].Fate = op.Attempt.Fate
		}
	case Close:
		// A higher ballot's is the one that counts: who has it had looked at what lower ones have closed.
		r.Ballot, r.Closed, r.End, r.Answer = op.Ballot, op.Ballot, op.End, slices.Clone(op.Answer)
	}
	return Reply{Ballot: r.Ballot}
}

// Forget drops a record whose time is over: nobody asks for it any more.
func (k *Keeper) Forget(name string) {
	if r := k.records[name]; r != nil {
		k.bytes -= len(name) + r.size()
		delete(k.records, name)
	}
}

// size is how many bytes a record holds beside its name, as far as others decide it.
func (r *Record) size() int { return len(r.Request) + len(r.Answer) }

func (r *Record) find(a *Attempt) int {
	return slices.IndexFunc(r.Attempts, func(o Attempt) bool { return o.Ballot == a.Ballot && o.Number == a.Number })
}
