// Package lease decides which process holds a duty, which at most one process may hold at a time,
// and until when. It does no I/O, has no clock and starts no goroutines. It has three parts:
//
//   - A Table is the replicated state of a group: for each duty the holder and the epoch (fencing
//     token) of its lease. It changes only by Ops that all members apply in the same order, so no
//     clock affects it. The expiry of a lease is an Op too (Expire).
//   - An ExpiryTracker is the group leader's clock for that table and finds the leases that have
//     expired. A new leader has a new one, which counts every lease from when it began to lead.
//   - A Holder is the side of a process that wants a duty. It acquires and renews the lease, and
//     knows by its own clock until when the lease is valid.
//
// Every action under a duty carries its epoch, and a receiver refuses an epoch that is lower than
// one it has seen. So a holder that is suspended in the middle of a write, for however long, does
// no harm when it resumes.
//
// The package guarantees these properties, which explore_test.go checks. Each clock may drift by
// MaxClockDrift:
//   - One: no two Holders hold a duty at the same time.
//   - Order: each grant of any duty has a higher epoch than all earlier grants.
//   - Hand: a duty that is handed over to a process is not granted to others meanwhile, and its
//     baton reaches the next holder.
//   - Revoked: a revoked lease is not renewed, and its duty is not granted to others before the
//     lease has expired.
//   - Back: once there are no more faults, a duty that a process wants is held.
//   - Rest: a duty that has lost maxLostHolders holders in a row rests (is not granted) and is
//     granted again afterwards, unless it was acquired with NoRest.
//   - Word: a word, the message that a holder publishes to followers, is read only under its own
//     epoch and disappears with the holder.
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
	// MaxClockDrift is the maximum relative error of a clock's rate. It is far above that of quartz
	// clocks and above the slew of a clock that is being adjusted (500 ppm).
	MaxClockDrift = 0.01
	// MaxBatonBytes limits the data that a holder leaves to the next holder.
	MaxBatonBytes = 64 << 10
	// MaxWordBytes limits the message that a holder publishes to its followers.
	MaxWordBytes = 1 << 10
	// MaxDuties and maxHistory limit the size of a Table.
	MaxDuties  = 4096
	maxHistory = 128
	// maxLostHolders is the number of holders lost in a row after which a duty rests: its work is
	// then likely to be what makes them fail.
	maxLostHolders = 3
	// settledRenewals is the number of renewals after which the loss of a holder is not attributed
	// to the duty.
	settledRenewals = 20
	// restTerms is how long a duty rests, in lease terms.
	restTerms = 10
	// MinTerm and MaxTerm limit the term (duration) of a lease.
	MinTerm = 100 * time.Millisecond
	MaxTerm = 10 * time.Minute
)

// RegrantDelay returns how long the group waits after the grant or the latest renewal of a lease
// before it grants the duty again. By a slow clock the holder's term lasts term/(1-MaxClockDrift),
// and a fast clock of the leader measures (1+MaxClockDrift) times that.
func RegrantDelay(term time.Duration) time.Duration {
	return time.Duration(float64(term)*(1+MaxClockDrift)/(1-MaxClockDrift)) + 1
}

// Duty is the state of a duty.
type Duty struct {
	Holder  string        `json:"holder,omitempty"` // process name, never used by another process; "": free
	Epoch   uint64        `json:"epoch"`            // of the current or the latest grant
	Term    time.Duration `json:"term"`
	Version uint64        `json:"version"`           // grows with each change, so that an Expire of an earlier state is refused
	Renewed uint64        `json:"renewed"`           // number of renewals since the grant
	To      string        `json:"to,omitempty"`      // for a term after the release only this process or member may acquire it
	Baton   []byte        `json:"baton,omitempty"`   // data that the previous holder left
	Word    []byte        `json:"word,omitempty"`    // message of the current holder to its followers
	Revoked bool          `json:"revoked,omitempty"` // the lease is not renewed any more
	Lost    int           `json:"lost,omitempty"`    // holders lost in a row, each before settledRenewals
	Resting bool          `json:"resting,omitempty"` // not granted for restTerms
	NoRest  bool          `json:"no_rest,omitempty"` // the duty never rests
	Why     string        `json:"why,omitempty"`     // reason of the latest change
}

// Change is an entry of the history of the duties.
type Change struct {
	Number uint64 `json:"number"`
	Duty   string `json:"duty"`
	Holder string `json:"holder,omitempty"`
	Epoch  uint64 `json:"epoch"`
	Why    string `json:"why"`
}

// Table is the replicated state of all duties.
type Table struct {
	Last    uint64           `json:"last"`  // latest epoch that was granted
	Steps   uint64           `json:"steps"` // number of changes, including those dropped from History
	Duties  map[string]*Duty `json:"duties"`
	History []Change         `json:"history,omitempty"` // the newest last
}

// Kind is the kind of an Op.
type Kind uint8

// The kinds of operations.
const (
	Acquire  Kind = iota + 1 // by Holder, for Term
	Renew                    // by Holder under Epoch, with its current Word
	Release                  // by Holder under Epoch, with a Baton; if To is set, only To may acquire the duty for one term
	Revoke                   // by an operator, for the reason Why
	HandOver                 // by an operator: the holder is asked to release the duty, and To acquires it
	Expire                   // by the leader: the lease, rest or reservation that Version identifies has timed out
)

// Op is an operation on a Table. Its Kind determines which fields are used.
type Op struct {
	Kind    Kind          `json:"kind"`
	Duty    string        `json:"duty"`
	Holder  string        `json:"holder,omitempty"`
	Epoch   uint64        `json:"epoch,omitempty"` // Revoke and HandOver: the grant that is meant; 0: any
	Term    time.Duration `json:"term,omitempty"`
	To      string        `json:"to,omitempty"`
	Baton   []byte        `json:"baton,omitempty"`
	Word    []byte        `json:"word,omitempty"`
	Version uint64        `json:"version,omitempty"`
	Why     string        `json:"why,omitempty"`
	NoRest  bool          `json:"no_rest,omitempty"` // Acquire: the duty never rests, because its work is not what makes holders fail
}

// Answer is the result of an Op.
type Answer struct {
	Refused string `json:"refused,omitempty"` // why the operation was refused; "": it was applied
	Holder  string `json:"holder,omitempty"`  // after the operation
	Epoch   uint64 `json:"epoch,omitempty"`
	Baton   []byte `json:"baton,omitempty"`   // Acquire: data that the previous holder left
	Release bool   `json:"release,omitempty"` // Renew: the holder should release the duty, which is to be handed over
}

// Check returns an error if an operation is invalid whatever the state of the table is.
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
		return fmt.Errorf("baton: it has %d bytes, and at most %d are allowed", len(op.Baton), MaxBatonBytes)
	case len(op.Word) > MaxWordBytes:
		return fmt.Errorf("word: it has %d bytes, and at most %d are allowed", len(op.Word), MaxWordBytes)
	case len(op.To) > 200 || len(op.Why) > 200:
		return errors.New("to, why: at most 200 bytes")
	}
	return nil
}

// Apply applies an Op and returns its result. All members must apply the same Ops in the same
// order. The texts of Duty.Why and Change.Why are part of the replicated state, so different
// versions of the program must write the same texts.
func (t *Table) Apply(op *Op) Answer {
	if err := op.Check(); err != nil {
		return Answer{Refused: err.Error()}
	}
	duty := t.Duties[op.Duty]
	if duty == nil {
		if op.Kind != Acquire {
			return Answer{Refused: "no process has acquired this duty yet"}
		}
		if len(t.Duties) >= MaxDuties {
			return Answer{Refused: fmt.Sprintf("there are %d duties already", len(t.Duties))}
		}
		if t.Duties == nil {
			t.Duties = map[string]*Duty{}
		}
		duty = &Duty{}
		t.Duties[op.Duty] = duty
	}
	refused := func(format string, args ...any) Answer {
		return Answer{Refused: fmt.Sprintf(format, args...), Holder: duty.Holder, Epoch: duty.Epoch}
	}
	isHolder := duty.Holder != "" && duty.Holder == op.Holder && duty.Epoch == op.Epoch
	switch op.Kind {
	case Acquire:
		switch {
		case duty.Resting:
			return refused("the duty is resting: %d holders in a row were lost", maxLostHolders)
		case duty.Holder != "":
			return refused("%s holds it", duty.Holder)
		case duty.To != "" && !MatchesHolder(duty.To, op.Holder):
			return refused("it is being handed over to %s", duty.To)
		}
		t.Last++
		baton := duty.Baton
		duty.Holder, duty.Epoch, duty.Term, duty.Renewed, duty.Revoked, duty.To, duty.Word = op.Holder, t.Last, op.Term, 0, false, "", nil
		duty.NoRest = op.NoRest
		t.recordChange(op.Duty, duty, "granted")
		return Answer{Holder: duty.Holder, Epoch: duty.Epoch, Baton: baton}
	case Renew:
		switch {
		case !isHolder:
			return refused("it is not held so")
		case duty.Revoked:
			return refused("the lease is revoked: %s", duty.Why)
		}
		duty.Version++
		duty.Word = op.Word
		if duty.Renewed++; duty.Renewed == settledRenewals {
			duty.Lost = 0
		}
		return Answer{Holder: duty.Holder, Epoch: duty.Epoch, Release: duty.To != ""}
	case Release:
		if !isHolder {
			return refused("it is not held so")
		}
		to := op.To
		if to == "" {
			to = duty.To
		}
		duty.Holder, duty.Baton, duty.To, duty.Lost, duty.Word = "", op.Baton, to, 0, nil
		t.recordChange(op.Duty, duty, "released by "+op.Holder)
	case Revoke:
		switch {
		case op.Epoch > duty.Epoch:
			return refused("epoch %d has not been granted", op.Epoch)
		case op.Epoch != 0 && (op.Epoch < duty.Epoch || duty.Holder == "" || duty.Revoked):
			return Answer{Holder: duty.Holder, Epoch: duty.Epoch} // it was done already
		case duty.Holder == "":
			return refused("nobody holds it")
		}
		duty.Revoked = true // the holder may act until the lease expires, so the duty is not free before that
		t.recordChange(op.Duty, duty, op.Why)
	case HandOver:
		if MatchesHolder(op.To, duty.Holder) {
			if op.Epoch != 0 && op.Epoch < duty.Epoch {
				return Answer{Holder: duty.Holder, Epoch: duty.Epoch} // it was done already
			}
			return refused("%s holds it", duty.Holder)
		}
		if op.Epoch != 0 && op.Epoch != duty.Epoch {
			return refused("epoch %d is not the latest grant", op.Epoch)
		}
		if op.Epoch != 0 && duty.To == op.To {
			return Answer{Holder: duty.Holder, Epoch: duty.Epoch} // it was ordered already
		}
		duty.To, duty.Resting = op.To, false
		t.recordChange(op.Duty, duty, "to be handed to "+op.To)
	case Expire:
		if op.Version != duty.Version {
			return refused("the duty has changed since this timeout started")
		}
		switch {
		case duty.Holder != "":
			why := "the time of " + duty.Holder + " is over"
			if duty.Revoked {
				why = "revoked"
			} else if duty.Renewed < settledRenewals {
				duty.Lost++
			}
			duty.Holder, duty.Revoked, duty.Word = "", false, nil
			if duty.Lost >= maxLostHolders && !duty.NoRest {
				duty.Resting, why = true, fmt.Sprintf("it rests: %d holders in a row were lost, %s", duty.Lost, why)
			}
			t.recordChange(op.Duty, duty, why)
		case duty.Resting:
			duty.Resting, duty.Lost = false, 0
			t.recordChange(op.Duty, duty, "it has rested")
		case duty.To != "":
			to := duty.To
			duty.To = ""
			t.recordChange(op.Duty, duty, to+" has not taken it")
		}
	}
	return Answer{Holder: duty.Holder, Epoch: duty.Epoch}
}

// MatchesHolder reports whether a name is that of the holder process or that of the member it
// belongs to. The processes of a member are called MEMBER/PROCESS.
func MatchesHolder(name, holder string) bool {
	return holder == name || strings.HasPrefix(holder, name+"/")
}

// recordChange records a change of a duty and its reason.
func (t *Table) recordChange(name string, d *Duty, why string) {
	d.Version++
	d.Why = why
	t.Steps++
	t.History = append(t.History, Change{t.Steps, name, d.Holder, d.Epoch, why})
	if len(t.History) > maxHistory {
		t.History = slices.Delete(t.History, 0, len(t.History)-maxHistory)
	}
}

// timeout returns how long the current state of a duty lasts unless it changes. 0 means no limit.
func (d *Duty) timeout() time.Duration {
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

// ExpiryTracker measures for the leader how long each duty's version has been in the table. A new
// leader must start with an empty one: times that another leader measured are not valid by its
// clock.
type ExpiryTracker struct{ seen map[string]versionSeen }

// versionSeen is a duty's version and the time at which this tracker first saw it.
type versionSeen struct {
	version uint64
	since   time.Duration
}

// Expired returns the Expire operations to propose. It has to be called after each change of the
// table.
func (e *ExpiryTracker) Expired(now time.Duration, t *Table) (expired []Op) {
	if e.seen == nil {
		e.seen = map[string]versionSeen{}
	}
	for _, name := range slices.Sorted(maps.Keys(t.Duties)) {
		d := t.Duties[name]
		last, known := e.seen[name]
		if !known || last.version != d.Version {
			e.seen[name] = versionSeen{d.Version, now}
			continue
		}
		if timeout := d.timeout(); timeout > 0 && now-last.since >= timeout {
			expired = append(expired, Op{Kind: Expire, Duty: name, Version: d.Version})
		}
	}
	return expired
}

// Remaining returns how long a duty's current state still lasts by this tracker's clock. 0 also
// means no limit.
func (e *ExpiryTracker) Remaining(now time.Duration, name string, d *Duty) time.Duration {
	last, known := e.seen[name]
	if !known || last.version != d.Version {
		return d.timeout()
	}
	return max(0, last.since+d.timeout()-now)
}
