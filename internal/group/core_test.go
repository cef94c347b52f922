package group

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"example.org/micaline/internal/journal"
)

// entries are empty ones of a term.
func entries(term uint64, indexes ...uint64) (all []*raftpb.Entry) {
	for _, index := range indexes {
		all = append(all, &raftpb.Entry{Term: &term, Index: &index})
	}
	return all
}

// finish carries out what a member has to do.
func finish(t *testing.T, core *Core, disk *journal.Memory) {
	t.Helper()
	for work := core.Ready(); work != nil; work = core.Ready() {
		if err := disk.Write(work.Records); err != nil {
			t.Fatal(err)
		}
		core.Advance()
	}
	if core.wrong != nil {
		t.Fatal(core.wrong)
	}
}

// A disk that was put back holds entries of an earlier leader that were replaced. The present leader's heartbeat, which takes the
// log for the one that it knew, has none of them applied; its append does, once it has replaced them.
func TestHeartbeatAppliesNothingThatWasNotCompared(t *testing.T) {
	const this, leader, earlier, present = 7, 8, 3, 5
	disk := &journal.Memory{}
	core, records, err := Load(disk, "m1", 1, []string{"data"}, this, 1)
	if err != nil {
		t.Fatal(err)
	}
	founding, err := core.Bootstrap()
	if err != nil {
		t.Fatal(err)
	}
	core.conf.Voters = append(core.conf.Voters, leader)
	records = append(append(records, founding...), core.stateRecords()...)
	for _, e := range entries(earlier, 2, 3, 4, 5) {
		records = append(records, putProto(logBucket, entryKey(e.GetIndex()), e))
	}
	disk.Write(records)

	if core, _, err = Load(disk, "m1", 1, []string{"data"}, this, 2); err != nil {
		t.Fatal(err)
	}
	term, commit := uint64(present), uint64(4)
	to, from := uint64(this), uint64(leader)
	core.Step(&raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), To: &to, From: &from, Term: &term, Commit: &commit})
	finish(t, core, disk)
	if core.state.Applied != 1 {
		t.Errorf("applied up to %d by a heartbeat", core.state.Applied)
	}
	one := uint64(1)
	core.Step(&raftpb.Message{
		Type: raftpb.MsgApp.Enum(), To: &to, From: &from, Term: &term, Index: &one, LogTerm: &one, Entries: entries(present, 2, 3, 4), Commit: &commit,
	})
	finish(t, core, disk)
	if core.state.Applied != commit {
		t.Errorf("applied up to %d by an append", core.state.Applied)
	}
}
