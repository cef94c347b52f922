package group

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/micaline/internal/journal"
)

// snapshotData is the content of a snapshot: the whole replicated state.
type snapshotData struct {
	State state                        `json:"state"`
	Data  map[string]map[string][]byte `json:"data"`
}

func (c *Core) encodeSnapshot() []byte {
	encoded, err := json.Marshal(snapshotData{c.state, c.data})
	if err != nil {
		panic(err) // can't happen: all types are encodable
	}
	return encoded
}

// apply applies a committed log entry.
func (c *Core) apply(output *Output, e *raftpb.Entry) {
	c.state.Applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		var change raftpb.ConfChange
		var m Member
		if proto.Unmarshal(e.GetData(), &change) != nil || json.Unmarshal(change.GetContext(), &m) != nil {
			break // written by an unknown version: the other members do not apply it either
		}
		c.confState = c.raft.ApplyConfChange(&change)
		if change.GetType() == raftpb.ConfChangeRemoveNode {
			delete(c.state.Members, m.ID)
			delete(c.state.Starts, m.ID)
			delete(c.state.Old, m.ID)
			if c.state.Gone = append(c.state.Gone, m.ID); len(c.state.Gone) > maxRemovedIDs {
				c.state.Gone = c.state.Gone[1:]
			}
			if m.ID == c.self.ID {
				c.failure = ErrRemoved
			}
		} else {
			c.state.Members[m.ID] = &Member{m.Name, m.ID, change.GetType() == raftpb.ConfChangeAddNode}
		}
	case raftpb.EntryNormal:
		var cmd command
		if len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &cmd) != nil {
			break // the empty entry that a new leader appends, or one that can't be decoded
		}
		result := Result{ID: cmd.ID}
		switch {
		case cmd.Start != nil:
			c.applyBoot(cmd.Start)
		case cmd.Lease != nil:
			result.Lease = c.state.Leases.Apply(cmd.Lease)
			c.dirtyDuties[cmd.Lease.Duty] = true
			result.Refused = result.Lease.Refused
		case cmd.Write != nil:
			result.Refused = c.applyWrite(output, cmd.Write)
		}
		if c.awaitedIDs[cmd.ID] {
			delete(c.awaitedIDs, cmd.ID)
			c.results = append(c.results, result)
		}
	}
}

// applyWrite applies a write of the holder of a duty. It returns the reason if the write is
// refused.
func (c *Core) applyWrite(output *Output, write *writeCommand) string {
	d, last := c.state.Leases.Duties[write.Duty], c.state.Wrote[write.Duty]
	if last.Epoch != write.Epoch {
		last = lastWrite{write.Epoch, 0}
	}
	switch {
	case d == nil || d.Epoch != write.Epoch || d.Holder == "":
		return "the duty is held under another epoch, or not at all"
	case write.Seq == last.Seq:
		return "" // a duplicate: it was applied already
	case write.Seq != last.Seq+1:
		return fmt.Sprintf("write %d does not follow write %d", write.Seq, last.Seq)
	}
	for _, r := range write.Records {
		if !slices.Contains(c.buckets, r.Bucket) {
			return fmt.Sprintf("there is no bucket %q", r.Bucket)
		}
	}
	c.state.Wrote[write.Duty] = lastWrite{write.Epoch, write.Seq}
	for _, r := range write.Records {
		if r.Value == nil {
			delete(c.data[r.Bucket], r.Key)
		} else {
			c.data[r.Bucket][r.Key] = r.Value
		}
	}
	output.Records = append(output.Records, write.Records...)
	return ""
}

// restoreSnapshot replaces the whole state and the log by a snapshot.
func (c *Core) restoreSnapshot(output *Output, snapshot *raftpb.Snapshot) error {
	var data snapshotData
	if err := json.Unmarshal(snapshot.GetData(), &data); err != nil {
		return fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	lastIndex, _ := c.log.LastIndex()
	for i := c.firstIndex; i <= lastIndex; i++ {
		output.Records = append(output.Records, journal.Record{Bucket: logBucket, Key: entryKey(i)})
	}
	if err := c.log.ApplySnapshot(snapshot); err != nil {
		return err
	}
	c.firstIndex, c.confState = snapshot.GetMetadata().GetIndex()+1, snapshot.GetMetadata().GetConfState()
	for _, bucket := range c.buckets {
		for key := range c.data[bucket] {
			if _, kept := data.Data[bucket][key]; !kept {
				output.Records = append(output.Records, journal.Record{Bucket: bucket, Key: key})
			}
		}
		c.data[bucket] = map[string][]byte{}
		for _, key := range slices.Sorted(maps.Keys(data.Data[bucket])) {
			c.data[bucket][key] = data.Data[bucket][key]
			output.Records = append(output.Records, journal.Record{Bucket: bucket, Key: key, Value: data.Data[bucket][key]})
		}
	}
	for name := range c.state.Leases.Duties {
		if data.State.Leases.Duties[name] == nil {
			output.Records = append(output.Records, journal.Record{Bucket: stateBucket, Key: dutyPrefix + name})
		}
	}
	c.state, c.savedSteps = data.State, 0
	for name := range c.state.Leases.Duties {
		c.dirtyDuties[name] = true
	}
	if c.state.Wrote == nil {
		c.state.Wrote = map[string]lastWrite{}
	}
	c.state.Applied = snapshot.GetMetadata().GetIndex()
	output.Records = append(append(output.Records, protoRecord(logBucket, snapshotKey, snapshot.GetMetadata())), c.stateRecords()...)
	return nil
}

// compactLog drops the oldest entries of a log that has become long.
func (c *Core) compactLog(output *Output) {
	if c.state.Applied < c.firstIndex+compactionThreshold {
		return
	}
	index := c.state.Applied - keptLogEntries
	term, err := c.log.Term(index)
	if err != nil || c.log.Compact(index) != nil {
		return
	}
	for ; c.firstIndex <= index; c.firstIndex++ {
		output.Records = append(output.Records, journal.Record{Bucket: logBucket, Key: entryKey(c.firstIndex)})
	}
	output.Records = append(output.Records, protoRecord(logBucket, snapshotKey, &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: c.confState}))
}
