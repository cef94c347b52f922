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

// image is all that is agreed on.
type image struct {
	State state                        `json:"state"`
	Data  map[string]map[string][]byte `json:"data"`
}

func (c *Core) image() []byte {
	text, err := json.Marshal(image{c.state, c.data})
	if err != nil {
		panic(err) // of our own types, which hold nothing that JSON can't
	}
	return text
}

// apply carries out an entry that is agreed on.
func (c *Core) apply(w *Output, e *raftpb.Entry) {
	c.state.Applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		var m Member
		if proto.Unmarshal(e.GetData(), &cc) != nil || json.Unmarshal(cc.GetContext(), &m) != nil {
			break // of a build that this one does not know: the others have not agreed on it either
		}
		c.conf = c.raw.ApplyConfChange(&cc)
		if cc.GetType() == raftpb.ConfChangeRemoveNode {
			delete(c.state.Members, m.ID)
			delete(c.state.Starts, m.ID)
			delete(c.state.Old, m.ID)
			if c.state.Gone = append(c.state.Gone, m.ID); len(c.state.Gone) > mostGone {
				c.state.Gone = c.state.Gone[1:]
			}
			if m.ID == c.self.ID {
				c.wrong = ErrRemoved
			}
		} else {
			c.state.Members[m.ID] = &Member{m.Name, m.ID, cc.GetType() == raftpb.ConfChangeAddNode}
		}
	case raftpb.EntryNormal:
		var cmd command
		if len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &cmd) != nil {
			break // a new lead's first
		}
		r := Result{ID: cmd.ID}
		switch {
		case cmd.Start != nil:
			c.heard(cmd.Start)
		case cmd.Lease != nil:
			r.Lease = c.state.Leases.Apply(cmd.Lease)
			c.dirty[cmd.Lease.Duty] = true
			r.Refused = r.Lease.Refused
		case cmd.Write != nil:
			r.Refused = c.write(w, cmd.Write)
		}
		if c.waits[cmd.ID] {
			delete(c.waits, cmd.ID)
			c.results = append(c.results, r)
		}
	}
}

// write carries out what a duty's holder writes.
func (c *Core) write(w *Output, x *write) string {
	d, last := c.state.Leases.Duties[x.Duty], c.state.Wrote[x.Duty]
	if last.Epoch != x.Epoch {
		last = wrote{x.Epoch, 0}
	}
	switch {
	case d == nil || d.Epoch != x.Epoch || d.Holder == "":
		return "another holds the duty, or nobody"
	case x.Seq == last.Seq:
		return "" // it has been done
	case x.Seq != last.Seq+1:
		return fmt.Sprintf("write %d comes after %d", x.Seq, last.Seq)
	}
	for _, r := range x.Records {
		if !slices.Contains(c.buckets, r.Bucket) {
			return fmt.Sprintf("there is no bucket %q", r.Bucket)
		}
	}
	c.state.Wrote[x.Duty] = wrote{x.Epoch, x.Seq}
	for _, r := range x.Records {
		if r.Value == nil {
			delete(c.data[r.Bucket], r.Key)
		} else {
			c.data[r.Bucket][r.Key] = r.Value
		}
	}
	w.Records = append(w.Records, x.Records...)
	return ""
}

// restore takes a snapshot in the place of all that is known.
func (c *Core) restore(w *Output, s *raftpb.Snapshot) error {
	var im image
	if err := json.Unmarshal(s.GetData(), &im); err != nil {
		return fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	last, _ := c.log.LastIndex()
	for i := c.first; i <= last; i++ {
		w.Records = append(w.Records, journal.Record{Bucket: logBucket, Key: entryKey(i)})
	}
	if err := c.log.ApplySnapshot(s); err != nil {
		return err
	}
	c.first, c.conf = s.GetMetadata().GetIndex()+1, s.GetMetadata().GetConfState()
	for _, bucket := range c.buckets {
		for key := range c.data[bucket] {
			if _, stays := im.Data[bucket][key]; !stays {
				w.Records = append(w.Records, journal.Record{Bucket: bucket, Key: key})
			}
		}
		c.data[bucket] = map[string][]byte{}
		for _, key := range slices.Sorted(maps.Keys(im.Data[bucket])) {
			c.data[bucket][key] = im.Data[bucket][key]
			w.Records = append(w.Records, journal.Record{Bucket: bucket, Key: key, Value: im.Data[bucket][key]})
		}
	}
	for name := range c.state.Leases.Duties {
		if im.State.Leases.Duties[name] == nil {
			w.Records = append(w.Records, journal.Record{Bucket: stateBucket, Key: dutyPrefix + name})
		}
	}
	c.state, c.steps = im.State, 0
	for name := range c.state.Leases.Duties {
		c.dirty[name] = true
	}
	if c.state.Wrote == nil {
		c.state.Wrote = map[string]wrote{}
	}
	c.state.Applied = s.GetMetadata().GetIndex()
	w.Records = append(append(w.Records, putProto(logBucket, baseKey, s.GetMetadata())), c.stateRecords()...)
	return nil
}

// cut drops the beginning of a log that has become long.
func (c *Core) cut(w *Output) {
	if c.state.Applied < c.first+mostLog {
		return
	}
	at := c.state.Applied - keepLog
	term, err := c.log.Term(at)
	if err != nil || c.log.Compact(at) != nil {
		return
	}
	for ; c.first <= at; c.first++ {
		w.Records = append(w.Records, journal.Record{Bucket: logBucket, Key: entryKey(c.first)})
	}
	w.Records = append(w.Records, putProto(logBucket, baseKey, &raftpb.SnapshotMetadata{Index: &at, Term: &term, ConfState: c.conf}))
}
