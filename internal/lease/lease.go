// Package lease says who holds a duty that one process may hold at a time, and until when. It does no I/O, has no clock and
// starts no goroutines. It has three parts:
//
//   - A Table is what a group agrees on: for each duty its holder and the epoch under which it holds. It changes by Ops that all
//     members take in the same order, so that no clock has a part in it. That a time is over comes to it as an Op (End).
//   - A Watch is the group's lead's clock of that table: it says which times are over. A new lead has a new one, and counts
//     every time from when it began to lead.
//   - A Holder is the side of a process that wants a duty: it asks, renews, and knows by its own clock until when it may act.
//
// Whoever acts under a duty carries its epoch, and whoever takes an effect refuses an epoch that is lower than one it has seen.
// So a holder that is stopped in mid-write, for however long, does no harm when it wakes.
//
// What is promised, and explored in explore_test.go. Clocks may run apart by Drift, each:
//   - One: no two Holders hold a duty in one moment.
//   - Order: each grant of any duty has a higher epoch than all before it.
//   - Hand: a duty that is handed to somebody is granted to nobody else meanwhile, and its baton comes with it.
//   - Revoked: what was revoked is renewed no more, and granted to nobody before its holder's time is over.
//   - Back: once nothing fails any more, a duty that somebody wants is held.
//   - Rest: a duty that has outlived mostLost holders in a row rests, and is granted again after that, unless it was asked for
//     with NoRest.
//   - Word: what a holder says is read under its own epoch only, and goes with it.
package lease

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// Drift is how far a clock may run from the true one, as a share: far above what crystals do and what a clock that is being
	// set right is slewed by (500 in a million).
	MaxClockDrift = 0.01
	// MostBaton is what a holder may leave to the next one, in bytes.
	MaxBatonBytes = 64 << 10
	// MostWord is what a holder may say to those who follow it, in bytes.
	MaxWordBytes = 1 << 10
	// MostDuties and mostHistory bound the table.
	MaxDuties   = 4096
	mostHistory = 128
	// mostLost holders in a row that were lost soon: the duty seems to be what loses them.
	mostLost = 3
	// settled renewals say that a holder was not lost by the duty.
	settled = 20
	// restTerms is for how many terms a duty rests then.
	restTerms = 10
	// MinTerm and MaxTerm bound terms.
	MinTerm = 100 * time.Millisecond
	MaxTerm = 10 * time.Minute
)

// Margin is how long the group waits before it grants anew what was granted for a term. A slow clock makes of a term
// term/(1-Drift), of which a fast clock shows (1+Drift) times as much.
func RegrantDelay(term time.Duration) time.Duration {
	return time.Duration(float64(term)*(1+MaxClockDrift)/(1-MaxClockDrift)) + 1
}

// Duty is what is known of one.
type Duty struct {
	Holder  string        `json:"holder,omitempty"` // a process, by a name that no other has ever had; "" for nobody
	Epoch   uint64        `json:"epoch"`            // of the present or the last grant
	Term    time.Duration `json:"term"`
	Version uint64        `json:"version"`           // grows with each change, so that the end of a time is of that time
	Renewed uint64        `json:"renewed"`           // times since the grant
	To      string        `json:"to,omitempty"`      // it is handed to; nobody else is granted it until that time is over
	Baton   []byte        `json:"baton,omitempty"`   // of the holder before
	Word    []byte        `json:"word,omitempty"`    // of this holder, to those who follow it
	Revoked bool          `json:"revoked,omitempty"` // it is renewed no more
	Lost    int           `json:"lost,omitempty"`    // holders in a row that were lost soon
	Resting bool          `json:"resting,omitempty"`
	NoRest  bool          `json:"no_rest,omitempty"` // it never rests
	Why     string        `json:"why,omitempty"`     // it last moved
}

// Change is a step in the history of the duties.
type Change struct {
	Number uint64 `json:"number"`
	Duty   string `json:"duty"`
	Holder string `json:"holder,omitempty"`
	Epoch  uint64 `json:"epoch"`
	Why    string `json:"why"`
}

// Table is what a group agrees on.
type Table struct {
	Last    uint64           `json:"last"` // epoch granted
	Steps   uint64           `json:"steps"`
	Duties  map[string]*Duty `json:"duties"`
	History []Change         `json:"history,omitempty"` // the newest last
}

// Kind says what an Op is.
type Kind uint8

// The kinds.
const (
	Acquire  Kind = iota + 1 // by Holder, for Term
	Renew                    // by Holder under Epoch, who says Word
	Release                  // by Holder under Epoch, with a Baton, to To or to anybody
	Revoke                   // by an operator, who says Why
	HandOver                 // by an operator: what is released next is for To
	Expire                   // by the lead: the time of Version is over
)

// Op is a change that somebody asks for.
type Op struct {
	Kind    Kind          `json:"kind"`
	Duty    string        `json:"duty"`
	Holder  string        `json:"holder,omitempty"`
	Epoch   uint64        `json:"epoch,omitempty"` // of Revoke and Hand: the grant that is meant, 0 for any
	Term    time.Duration `json:"term,omitempty"`
	To      string        `json:"to,omitempty"`
	Baton   []byte        `json:"baton,omitempty"`
	Word    []byte        `json:"word,omitempty"`
	Version uint64        `json:"version,omitempty"`
	Why     string        `json:"why,omitempty"`
	NoRest  bool          `json:"no_rest,omitempty"` // of Acquire: the duty is not what loses its holders
}

// Answer is what an Op has come to.
type Answer struct {
	Refused string `json:"refused,omitempty"` // why; "" if it is done
	Holder  string `json:"holder,omitempty"`  // now
	Epoch   uint64 `json:"epoch,omitempty"`
	Baton   []byte `json:"baton,omitempty"`   // of Acquire
	Release bool   `json:"release,omitempty"` // of Renew: it is wanted elsewhere, and to be released
}

// Check says what is wrong with an operation, whatever the table is.
func (op *Op) Check() error {
	switch {
	case op.Kind < Acquire || op.Kind > Expire:
		return fmt.Errorf("kind: there is no kind %d", op.Kind)
	case op.Duty == "" || len(op.Duty) > 100:
		return errors.New("duty: a name has 1 to 100 bytes")
	case (op.Kind <= Release) && (op.Holder == "" || len(op.Holder) > 200):
		return errors.New("holder: a name has 1 to 200 bytes")
	case op.Kind == Acquire && (op.Term < MinTerm || op.Term > MaxTerm):
		return fmt.Errorf("term: %v is not between %v and %v", op.Term, MinTerm, MaxTerm)
	case len(op.Baton) > MaxBatonBytes:
		return fmt.Errorf("baton: it has %d bytes, and %d are allowed", len(op.Baton), MaxBatonBytes)
	case len(op.Word) > MaxWordBytes:
		return fmt.Errorf("word: it has %d bytes, and %d are allowed", len(op.Word), MaxWordBytes)
	case len(op.To) > 200 || len(op.Why) > 200:
		return errors.New("to, why: at most 200 bytes")
	}
	return nil
}

// Apply takes an Op in. All members do so in the same order.
func (t *Table) Apply(op *Op) Answer {
	if err := op.Check(); err != nil {
		return Answer{Refused: err.Error()}
	}
	d := t.Duties[op.Duty]
	if d == nil {
		if op.Kind != Acquire {
			return Answer{Refused: "nobody has ever had this duty"}
		}
		if len(t.Duties) >= MaxDuties {
			return Answer{Refused: fmt.Sprintf("there are %d duties already", len(t.Duties))}
		}
		if t.Duties == nil {
			t.Duties = map[string]*Duty{}
		}
		d = &Duty{}
		t.Duties[op.Duty] = d
	}
	refused := func(format string, args ...any) Answer {
		return Answer{Refused: fmt.Sprintf(format, args...), Holder: d.Holder, Epoch: d.Epoch}
	}
	held := d.Holder != "" && d.Holder == op.Holder && d.Epoch == op.Epoch
	switch op.Kind {
	case Acquire:
		switch {
		case d.Resting:
			return refused("it rests: %d holders in a row were lost", mostLost)
		case d.Holder != "":
			return refused("%s holds it", d.Holder)
		case d.To != "" && !MatchesHolder(d.To, op.Holder):
			return refused("it is handed to %s", d.To)
		}
		t.Last++
		baton := d.Baton
		d.Holder, d.Epoch, d.Term, d.Renewed, d.Revoked, d.To, d.Word = op.Holder, t.Last, op.Term, 0, false, "", nil
		d.NoRest = op.NoRest
		t.moved(op.Duty, d, "granted")
		return Answer{Holder: d.Holder, Epoch: d.Epoch, Baton: baton}
	case Renew:
		switch {
		case !held:
			return refused("it is not held so")
		case d.Revoked:
			return refused("it is revoked: %s", d.Why)
		}
		d.Version++
		d.Word = op.Word
		if d.Renewed++; d.Renewed == settled {
			d.Lost = 0
		}
		return Answer{Holder: d.Holder, Epoch: d.Epoch, Release: d.To != ""}
	case Release:
		if !held {
			return refused("it is not held so")
		}
		to := op.To
		if to == "" {
			to = d.To
		}
		d.Holder, d.Baton, d.To, d.Lost, d.Word = "", op.Baton, to, 0, nil
		t.moved(op.Duty, d, "released by "+op.Holder)
	case Revoke:
		switch {
		case op.Epoch > d.Epoch:
			return refused("epoch %d has not been granted", op.Epoch)
		case op.Epoch != 0 && (op.Epoch < d.Epoch || d.Holder == "" || d.Revoked):
			return Answer{Holder: d.Holder, Epoch: d.Epoch} // it has come about
		case d.Holder == "":
			return refused("nobody holds it")
		}
		d.Revoked = true // danger: its holder may act until its time is over, and nobody else before
		t.moved(op.Duty, d, op.Why)
	case HandOver:
		if MatchesHolder(op.To, d.Holder) {
			if op.Epoch != 0 && op.Epoch < d.Epoch {
				return Answer{Holder: d.Holder, Epoch: d.Epoch} // it has come about
			}
			return refused("%s holds it", d.Holder)
		}
		if op.Epoch != 0 && op.Epoch != d.Epoch {
			return refused("epoch %d is not the last that was granted", op.Epoch)
		}
		if op.Epoch != 0 && d.To == op.To {
			return Answer{Holder: d.Holder, Epoch: d.Epoch} // it is under way
		}
		d.To, d.Resting = op.To, false
		t.moved(op.Duty, d, "to be handed to "+op.To)
	case Expire:
		if op.Version != d.Version {
			return refused("its time has begun anew")
		}
		switch {
		case d.Holder != "":
			why := "the time of " + d.Holder + " is over"
			if d.Revoked {
				why = "revoked"
			} else if d.Renewed < settled {
				d.Lost++
			}
			d.Holder, d.Revoked, d.Word = "", false, nil
			if d.Lost >= mostLost && !d.NoRest {
				d.Resting, why = true, fmt.Sprintf("it rests: %d holders in a row were lost, %s", d.Lost, why)
			}
			t.moved(op.Duty, d, why)
		case d.Resting:
			d.Resting, d.Lost = false, 0
			t.moved(op.Duty, d, "it has rested")
		case d.To != "":
			to := d.To
			d.To = ""
			t.moved(op.Duty, d, to+" has not taken it")
		}
	}
	return Answer{Holder: d.Holder, Epoch: d.Epoch}
}

// Meant says whether a process is the one that a name names, or one of those of a member: a member's are called MEMBER/ONE.
func MatchesHolder(name, holder string) bool {
	return holder == name || strings.HasPrefix(holder, name+"/")
}

// moved notes a change of a duty.
func (t *Table) moved(name string, d *Duty, why string) {
	d.Version++
	d.Why = why
	t.Steps++
	t.History = append(t.History, Change{t.Steps, name, d.Holder, d.Epoch, why})
	if len(t.History) > mostHistory {
		t.History = slices.Delete(t.History, 0, len(t.History)-mostHistory)
	}
}

// wait is how long what is of a duty's present version lasts; 0 for ever.
func (d *Duty) wait() time.Duration {
	switch {
	case d.Holder != "":
		return RegrantDelay(d.Term)
	case d.Resting:
		return restTerms * d.Term
	case d.To != "":
		return d.Term
	}
	return 0
}

// Watch is a lead's clock of a table. Danger: what one lead has counted says nothing to the next.
type ExpiryTracker struct{ seen map[string]seen }

type seen struct {
	version uint64
	since   time.Duration
}

// Due returns what is over, to be proposed. It must see the table each time that it has changed.
func (w *ExpiryTracker) Expired(now time.Duration, t *Table) (over []Op) {
	if w.seen == nil {
		w.seen = map[string]seen{}
	}
	for _, name := range slices.Sorted(maps.Keys(t.Duties)) {
		d := t.Duties[name]
		s, known := w.seen[name]
		if !known || s.version != d.Version {
			w.seen[name] = seen{d.Version, now}
			continue
		}
		if wait := d.wait(); wait > 0 && now-s.since >= wait {
			over = append(over, Op{Kind: Expire, Duty: name, Version: d.Version})
		}
	}
	return over
}

// Left is how much of a duty's time is left by this clock, as far as it has seen.
func (w *ExpiryTracker) Remaining(now time.Duration, name string, d *Duty) time.Duration {
	s, known := w.seen[name]
	if !known || s.version != d.Version {
		return d.wait()
	}
	return max(0, s.since+d.wait()-now)
}
