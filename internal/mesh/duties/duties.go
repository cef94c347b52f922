// Package duties holds the replicated state for calls to the operators' platform that only one
// control-plane node may make at a time. It does no I/O and has no clock.
//
// A duty is split into parts, each with its own holder. A part consists of a duty and a subject, by
// which the platform tracks fencing tokens: tokens increase within one subject. The usage report
// has a single subject (all windows) and so a single part. Each part is a lease (package lease),
// and the epoch of its grant is the holder's fencing token. A holder makes a report final in the
// replicated state before it sends the report, so that the next holder of the part sends the same.
//
// The epoch of a grant is never lower than the log index at which the part was granted. Fencing
// tokens therefore continue to increase when a mesh is restored from a backup, because the restored
// log starts at indexes far above those of the old one.
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

// UsageReport is the duty to report to the platform, for each window, the number of requests that
// backends started, by tenant.
const UsageReport = "usage_report"

// Command is a change of the Table. Exactly one field is set.
type Command struct {
	Lease *lease.Op
	Fix   *FinalizeReport
	Taken *ReportAccepted
}

// FinalizeReport makes a report final. Only the holder of the part may do this.
type FinalizeReport struct {
	Holder string
	Epoch  uint64
	Report *usage.Report
}

// ReportAccepted records that the platform has accepted the report of a window.
type ReportAccepted struct{ Window int64 }

// Reply is the result of a Command.
type Reply struct {
	Lease   lease.Answer // result of a lease command, including the reason for its refusal
	Refused string       // the reason for refusing another command; empty if it was applied
}

// Table is the replicated state. It is not safe for concurrent use.
type Table struct {
	Leases lease.Table   `json:"leases"`
	Usage  *usage.Ledger `json:"usage"`
}

// NewTable returns a table without grants and reports.
func NewTable() *Table { return &Table{Usage: &usage.Ledger{}} }

// Apply applies the command at the given log index.
func (t *Table) Apply(index uint64, c *Command) Reply {
	switch {
	case c.Lease != nil:
		if c.Lease.Kind == lease.Acquire && index > 0 {
			t.Leases.Last = max(t.Leases.Last, index-1)
		}
		return Reply{Lease: t.Leases.Apply(c.Lease)}
	case c.Fix != nil:
		return replyFor(t.finalize(c.Fix))
	case c.Taken != nil:
		return replyFor(t.Usage.MarkAccepted(c.Taken.Window))
	}
	return Reply{Refused: "command: it has no content"}
}

func (t *Table) finalize(f *FinalizeReport) error {
	d := t.Leases.Duties[UsageReport]
	if d == nil || d.Holder != f.Holder || d.Epoch != f.Epoch {
		return fmt.Errorf("holder: %s does not hold %s under epoch %d", f.Holder, UsageReport, f.Epoch)
	}
	return t.Usage.Finalize(f.Report)
}

func replyFor(err error) Reply {
	if err != nil {
		return Reply{Refused: err.Error()}
	}
	return Reply{}
}

// Clone returns a copy that can change independently.
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

// Encode encodes the table for a snapshot. Equal tables have equal encodings.
func (t *Table) Encode() []byte {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return text
}

// Decode decodes the output of Encode. Empty input yields an empty table.
func Decode(text []byte) (*Table, error) {
	t := NewTable()
	if len(text) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("duties in the snapshot: %w", err)
	}
	if t.Usage == nil {
		t.Usage = &usage.Ledger{}
	}
	return t, nil
}

// EncodeCommand encodes a command as a log entry.
func EncodeCommand(c *Command) []byte { return plaingob.Encode(c) }

// DecodeCommand decodes the output of EncodeCommand.
func DecodeCommand(text []byte) (*Command, error) { return plaingob.Decode[Command](text) }

// EncodeReply encodes a reply for the proposer.
func EncodeReply(r *Reply) []byte { return plaingob.Encode(r) }

// DecodeReply decodes the output of EncodeReply.
func DecodeReply(text []byte) (*Reply, error) { return plaingob.Decode[Reply](text) }
