package consensus

import (
	"github.com/samber/oops"
)

// settle carries out what the machine wants, until it wants no more or has only more to apply. Then
// it reports that the node is behind: what has come meanwhile goes first.
func (n *Node) processOutput() (behind bool, err error) {
	if n.machine == nil {
		n.publishStatus()
		return false, nil
	}
	n.completeLeaveCalls()
	for !behind {
		o := n.machine.NextOutput()
		if o.Empty() {
			break
		}
		behind = o.MoreToApply
		for _, m := range o.Messages {
			n.options.Send(m)
		}
		if err := n.updateTable(&o); err != nil {
			return false, err
		}
		for _, d := range o.Completions {
			if w := n.pendingCalls[d.ID]; w != nil {
				w.result <- callResult{result: Result{d.Index, n.replies[d.ID]}, err: d.Err}
				delete(n.pendingCalls, d.ID)
			}
		}
		clear(n.replies)
		if o.Compact {
			n.machine.Compact(n.options.Table.Snapshot())
		}
		if o.Save != nil {
			n.saveInProgress = true
			n.saveJobs <- saveJob{n.disk, o.Save}
		}
	}
	n.completeLeaveCalls()
	n.publishStatus()
	return behind, nil
}

// bring brings the table to where the machine is. A machine that was made anew goes once more through
// what the table holds already: that is committed, and never goes back. Whoever is told that a read
// or a proposal is done finds it in the table, so the table shows it before.
func (n *Node) updateTable(o *Output) error {
	if s := o.Restore; s != nil && s.Index > n.tableIndex {
		if err := n.options.Table.Restore(s.Index, s.Data); err != nil {
			return oops.In("consensus").Wrapf(err, "the table can't take the snapshot as of %d", s.Index)
		}
		n.tableIndex = s.Index
	}
	apply := func() { n.applyEntries(o.Apply) }
	if table, ok := n.options.Table.(Batcher); ok {
		table.Batch(apply, n.isBacklogApplied(o) || len(o.Completions) > 0)
	} else {
		apply()
	}
	return nil
}

// endsBacklog tells whether all is applied that was committed when the node fell behind. What is
// committed since is the next backlog: where orders never cease, the table is shown all the same.
func (n *Node) isBacklogApplied(o *Output) bool {
	switch {
	case !o.MoreToApply:
		n.backlogEnd = 0
		return true
	case n.backlogEnd == 0:
		n.backlogEnd = n.machine.commitIndex
		return false
	case n.machine.appliedIndex < n.backlogEnd:
		return false
	}
	n.backlogEnd = n.machine.commitIndex
	return true
}

func (n *Node) applyEntries(entries []Entry) {
	for _, e := range entries {
		if e.Index <= n.tableIndex {
			continue
		}
		n.tableIndex = e.Index
		if e.Origin == 0 {
			continue
		}
		reply := n.options.Table.Apply(e.Index, e.Command)
		if e.Origin == n.machine.incarnation && n.pendingCalls[e.ID] != nil {
			n.replies[e.ID] = reply
		}
	}
}
