package group

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"example.org/micaline/internal/journal"
)

// emptyEntries returns empty log entries of a term.
func emptyEntries(term uint64, indexes ...uint64) (all []*raftpb.Entry) {
	for _, index := range indexes {
		all = append(all, &raftpb.Entry{Term: &term, Index: &index})
	}
	return all
}

// drainOutput writes a member's outputs until there are none. Its messages are dropped.
func drainOutput(t *testing.T, core *Core, disk *journal.Memory) {
	t.Helper()
	for output := core.Ready(); output != nil; output = core.Ready() {
		if err := disk.Write(output.Records); err != nil {
			t.Fatal(err)
		}
		core.Advance()
	}
	if core.failure != nil {
		t.Fatal(core.failure)
	}
}

// A disk that was restored from a copy holds entries of an earlier leader that were replaced since.
// The current leader's heartbeat commits by index and must not make the member apply them. Its
// append replaces the entries, and then they are applied.
func TestHeartbeatAppliesNothingThatWasNotCompared(t *testing.T) {
	const thisID, leaderID, earlierTerm, currentTerm = 7, 8, 3, 5
	disk := &journal.Memory{}
	core, records, err := Load(disk, "m1", 1, []string{"data"}, thisID, 1)
	if err != nil {
		t.Fatal(err)
	}
	bootstrapRecords, err := core.Bootstrap()
	if err != nil {
		t.Fatal(err)
	}
	core.confState.Voters = append(core.confState.Voters, leaderID)
	records = append(append(records, bootstrapRecords...), core.stateRecords()...)
	for _, e := range emptyEntries(earlierTerm, 2, 3, 4, 5) {
		records = append(records, protoRecord(logBucket, entryKey(e.GetIndex()), e))
	}
	disk.Write(records)

	if core, _, err = Load(disk, "m1", 1, []string{"data"}, thisID, 2); err != nil {
		t.Fatal(err)
	}
	term, commit := uint64(currentTerm), uint64(4)
	to, from := uint64(thisID), uint64(leaderID)
	core.Step(&raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), To: &to, From: &from, Term: &term, Commit: &commit})
	drainOutput(t, core, disk)
	if core.state.Applied != 1 {
		t.Errorf("applied up to %d by a heartbeat", core.state.Applied)
	}
	firstIndex := uint64(1)
	core.Step(&raftpb.Message{
		Type: raftpb.MsgApp.Enum(), To: &to, From: &from, Term: &term, Index: &firstIndex, LogTerm: &firstIndex, Entries: emptyEntries(currentTerm, 2, 3, 4), Commit: &commit,
	})
	drainOutput(t, core, disk)
	if core.state.Applied != commit {
		t.Errorf("applied up to %d by an append", core.state.Applied)
	}
}
