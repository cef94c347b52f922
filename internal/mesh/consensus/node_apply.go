package consensus

import (
	"github.com/samber/oops"
)

// processOutput does the work that the machine requests, until there is none left or more committed
// entries are to be applied. In the second case it reports true, and the caller processes queued
// requests before it continues, so that a long backlog does not delay heartbeats.
func (n *Node) processOutput() (moreToApply bool, err error) {
	if n.machine == nil {
		n.publishStatus()
		return false, nil
	}
	n.completeLeaveCalls()
	for !moreToApply {
		output := n.machine.NextOutput()
		if output.Empty() {
			break
		}
		moreToApply = output.MoreToApply
		for _, msg := range output.Messages {
			n.options.Send(msg)
		}
		if err := n.updateTable(&output); err != nil {
			return false, err
		}
		for _, completion := range output.Completions {
			if call := n.pendingCalls[completion.ID]; call != nil {
				call.result <- callResult{result: Result{completion.Index, n.replies[completion.ID]}, err: completion.Err}
				delete(n.pendingCalls, completion.ID)
			}
		}
		clear(n.replies)
		if output.Compact {
			n.machine.Compact(n.options.Table.Snapshot())
		}
		if output.Save != nil {
			n.saveInProgress = true
			n.saveJobs <- saveJob{n.disk, output.Save}
		}
	}
	n.completeLeaveCalls()
	n.publishStatus()
	return moreToApply, nil
}

// updateTable restores the table from the snapshot of an output, applies its entries, and lets the
// table publish its state. Publishing comes before the proposals and reads of the output complete,
// so that their callers find the results in the table. A new machine replays committed entries that
// the table has applied already; these are skipped.
func (n *Node) updateTable(o *Output) error {
	if s := o.Restore; s != nil && s.Index > n.tableIndex {
		if err := n.options.Table.Restore(s.Index, s.Data); err != nil {
			return oops.In("consensus").Wrapf(err, "the table can't be restored from the snapshot at index %d", s.Index)
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

// isBacklogApplied reports whether everything is applied that was committed when the node fell
// behind. Entries that were committed since then form the next backlog, so that the table is
// published even under a constant load of proposals.
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

// applyEntries applies entries to the table, and stores the replies for callers at this node.
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
