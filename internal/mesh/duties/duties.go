// Package duties is what the core machines agree on about calls to the operators' platform that one
// process at a time makes. It does no I/O and has no clock.
//
// A duty is split into parts, and each part has its own holder: a part is a duty and what the
// platform numbers its calls by (its subject), as a fence rises within one subject. The usage report
// has one subject, all windows, and so one part. Parts are leases (package lease), and the fence of a
// holder is the epoch of its grant. A report is fixed by the holder of its part before it is sent, so
// that whoever holds the part next sends the same.
//
// A grant's epoch is never lower than the index of the log at which it was granted. So fences go on
// to rise where a mesh is made anew from a backup, as its indexes begin far above those of before.
package duties

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/plaingob"
	"example.org/micaline/internal/mesh/usage"
)

// UsageReport is the duty to report to the platform what backends began, by tenant, in each window.
const UsageReport = "usage_report"

// Command is a change that is asked for: one of its fields is set.
type Command struct {
	Lease *lease.Op
	Fix   *FinalizeReport
	Taken *ReportAccepted
}

// Fix asks that a report is made final. Only the holder of the part may.
type FinalizeReport struct {
	Holder string
	Epoch  uint64
	Report *usage.Report
}

// Taken says that the platform has a report.
type ReportAccepted struct{ Window int64 }

// Reply is what a command has come to.
type Reply struct {
	Lease   lease.Answer
	Refused string // why; empty: it is done
}

// Table is the state. It is not safe for concurrent use.
type Table struct {
	Leases lease.Table   `json:"leases"`
	Usage  *usage.Ledger `json:"usage"`
}

// New returns a table in which nothing has been granted.
func NewTable() *Table { return &Table{Usage: &usage.Ledger{}} }

// Apply carries a command out, which stands at an index of the log.
func (t *Table) Apply(index uint64, c *Command) Reply {
	switch {
	case c.Lease != nil:
		if c.Lease.Kind == lease.Acquire && index > 0 {
			t.Leases.Last = max(t.Leases.Last, index-1)
		}
		return Reply{Lease: t.Leases.Apply(c.Lease)}
	case c.Fix != nil:
		return refusal(t.fix(c.Fix))
	case c.Taken != nil:
		return refusal(t.Usage.MarkAccepted(c.Taken.Window))
	}
	return Reply{Refused: "command: it asks for nothing"}
}

func (t *Table) fix(f *FinalizeReport) error {
	d := t.Leases.Duties[UsageReport]
	if d == nil || d.Holder != f.Holder || d.Epoch != f.Epoch {
		return fmt.Errorf("holder: %s does not hold %s under epoch %d", f.Holder, UsageReport, f.Epoch)
	}
	return t.Usage.Finalize(f.Report)
}

func refusal(err error) Reply {
	if err != nil {
		return Reply{Refused: err.Error()}
	}
	return Reply{}
}

// Clone returns a table that changes by itself.
func (t *Table) Clone() *Table {
	c := &Table{Leases: t.Leases, Usage: t.Usage.Clone()}
	c.Leases.History = slices.Clone(t.Leases.History)
	c.Leases.Duties = maps.Clone(t.Leases.Duties)
	for name, d := range c.Leases.Duties {
		copied := *d
		c.Leases.Duties[name] = &copied
	}
	return c
}

// Encode gives the table for a snapshot. Equal tables give equal bytes.
func (t *Table) Encode() []byte {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return text
}

// Decode reads what Encode gave; nothing is a table in which nothing has been granted.
func Decode(text []byte) (*Table, error) {
	t := NewTable()
	if len(text) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("the duties of a snapshot: %w", err)
	}
	if t.Usage == nil {
		t.Usage = &usage.Ledger{}
	}
	return t, nil
}

// EncodeCommand gives a command for the log.
func EncodeCommand(c *Command) []byte { return plaingob.Encode(c) }

// DecodeCommand reads what EncodeCommand gave.
func DecodeCommand(text []byte) (*Command, error) { return plaingob.Decode[Command](text) }

// EncodeReply gives a reply for the proposer.
func EncodeReply(r *Reply) []byte { return plaingob.Encode(r) }

// DecodeReply reads what EncodeReply gave.
func DecodeReply(text []byte) (*Reply, error) { return plaingob.Decode[Reply](text) }
