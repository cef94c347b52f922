package group

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/lease"
)

// store is raft's view of the log: its snapshots are made when they are needed.
type store struct {
	*raft.MemoryStorage
	core *Core
}

func (s *store) InitialState() (*raftpb.HardState, *raftpb.ConfState, error) {
	hard, _, err := s.MemoryStorage.InitialState()
	return hard, s.core.conf, err
}

func (s *store) Snapshot() (*raftpb.Snapshot, error) {
	c := s.core
	term, err := s.Term(c.state.Applied)
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return &raftpb.Snapshot{
		Data:     c.image(),
		Metadata: &raftpb.SnapshotMetadata{Index: new(c.state.Applied), Term: &term, ConfState: c.conf},
	}, nil
}

// quiet is the logger of raft: what matters is in the status.
type quiet struct{}

func (quiet) Debug(...any)                   {}
func (quiet) Debugf(string, ...any)          {}
func (quiet) Error(...any)                   {}
func (quiet) Errorf(string, ...any)          {}
func (quiet) Info(...any)                    {}
func (quiet) Infof(string, ...any)           {}
func (quiet) Warning(...any)                 {}
func (quiet) Warningf(string, ...any)        {}
func (quiet) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (quiet) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Load makes a member of what its journal holds. The buckets are those whose records are agreed on; peers is how many others the
// deployment names; id is that of its disk, if that is empty, and life at random. What it returns must be written first.
func Load(s journal.Store, name string, peers int, buckets []string, id, life uint64) (*Core, []journal.Record, error) {
	c := &Core{
		self: self{Name: name, ID: id}, buckets: buckets, log: raft.NewMemoryStorage(), conf: &raftpb.ConfState{}, first: 1,
		data: map[string]map[string][]byte{}, waits: map[string]bool{}, dirty: map[string]bool{},
		state: state{Members: map[uint64]*Member{}, Wrote: map[string]wrote{}}, peers: peers,
	}
	damaged := func(bucket, key string) error {
		return fmt.Errorf("the journal's record %s/%q is damaged", bucket, key)
	}
	var hard raftpb.HardState
	var base raftpb.SnapshotMetadata
	var entries []*raftpb.Entry
	err := s.Read(logBucket, func(key string, v []byte) error {
		var err error
		switch {
		case v == nil:
			return damaged(logBucket, key)
		case key == hardKey:
			err = proto.Unmarshal(v, &hard)
		case key == baseKey:
			err = proto.Unmarshal(v, &base)
		case key == selfKey:
			err = json.Unmarshal(v, &c.self)
		case strings.HasPrefix(key, entryPrefix):
			var e raftpb.Entry
			err = proto.Unmarshal(v, &e)
			entries = append(entries, &e)
		}
		if err != nil {
			return damaged(logBucket, key)
		}
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	if c.self.Name != name {
		return nil, nil, fmt.Errorf("the journal is that of member %q, not of %q", c.self.Name, name)
	}
	duties := map[string]*lease.Duty{}
	var history []lease.Change
	err = s.Read(stateBucket, func(key string, v []byte) error {
		c.found = true
		var err error
		if name, ok := strings.CutPrefix(key, dutyPrefix); ok {
			duties[name] = &lease.Duty{}
			err = json.Unmarshal(v, duties[name])
		} else if key == historyKey {
			err = json.Unmarshal(v, &history)
		} else {
			err = json.Unmarshal(v, &c.state)
		}
		if v == nil || err != nil {
			return damaged(stateBucket, key)
		}
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	if c.state.Leases.Duties == nil {
		c.state.Leases.Duties = duties
	}
	maps.Copy(c.state.Leases.Duties, duties)
	if history != nil {
		c.state.Leases.History = history
	}
	for name := range c.state.Leases.Duties { // of a journal that had them in one record
		c.dirty[name] = duties[name] == nil
	}
	for _, bucket := range buckets {
		c.data[bucket] = map[string][]byte{}
		err := s.Read(bucket, func(key string, v []byte) error {
			if v == nil && c.found {
				return damaged(bucket, key)
			}
			c.data[bucket][key] = v
			return nil
		})
		if err != nil {
			return nil, nil, err
		}
	}
	if err := proto.Unmarshal(c.state.Conf, c.conf); err != nil {
		return nil, nil, damaged(stateBucket, stateKey)
	}
	if c.self.Life != 0 {
		c.self.Past = append(c.self.Past, c.self.Life)
		c.self.Past = c.self.Past[max(0, len(c.self.Past)-mostPast):]
	}
	c.self.Life = life
	if base.GetIndex() > 0 {
		c.first = base.GetIndex() + 1
		c.log.ApplySnapshot(&raftpb.Snapshot{Metadata: &base}) // never older than an empty log
	}
	slices.SortFunc(entries, func(a, b *raftpb.Entry) int { return cmp.Compare(a.GetIndex(), b.GetIndex()) })
	for i, e := range entries {
		if e.GetIndex() != c.first+uint64(i) {
			return nil, nil, fmt.Errorf("the journal's log lacks entry %d", c.first+uint64(i))
		}
	}
	if err := c.log.Append(entries); err != nil {
		return nil, nil, err
	}
	c.log.SetHardState(&hard)
	if c.found {
		if peers > 0 && c.onlyVoter() {
			c.confirmed = map[string]bool{}
		}
		if err := c.start(); err != nil {
			return nil, nil, err
		}
	}
	return c, []journal.Record{put(logBucket, selfKey, c.self)}, nil
}

func (c *Core) start() error {
	return c.safely(func() (err error) {
		c.raw, err = raft.NewRawNode(&raft.Config{
			ID: c.self.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: &store{c.log, c}, Applied: c.state.Applied,
			MaxSizePerMsg: mostMessage, MaxCommittedSizePerReady: 4 * mostMessage, MaxUncommittedEntriesSize: mostPending, MaxInflightMsgs: mostInflight,
			CheckQuorum: true, PreVote: true, Logger: quiet{},
		})
		return err
	})
}

// Grouped says whose journal it is, if it is that of a member of a group.
func JournalOwner(s journal.Store) (name string, grouped bool, err error) {
	if err := s.Read(stateBucket, func(string, []byte) error { grouped = true; return nil }); err != nil {
		return "", false, err
	}
	err = s.Read(logBucket, func(key string, v []byte) error {
		var me self
		if key != selfKey {
			return nil
		}
		if err := json.Unmarshal(v, &me); err != nil {
			return fmt.Errorf("the journal's record %s/%q is damaged", logBucket, key)
		}
		name = me.Name
		return nil
	})
	return name, grouped, err
}

func put(bucket, key string, v any) journal.Record {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // of our own types
	}
	return journal.Record{Bucket: bucket, Key: key, Value: text}
}

func putProto(bucket, key string, m proto.Message) journal.Record {
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err) // of raft's own types
	}
	return journal.Record{Bucket: bucket, Key: key, Value: text}
}

func entryKey(index uint64) string {
	return entryPrefix + string(binary.BigEndian.AppendUint64(nil, index))
}

// stateRecords are what has changed of the state. Each duty has a record of its own: a renewal among thousands must not write them all.
func (c *Core) stateRecords() []journal.Record {
	text, err := proto.Marshal(c.conf)
	if err != nil {
		panic(err) // of raft's own type
	}
	c.state.Conf = text
	rest := c.state
	rest.Leases.Duties, rest.Leases.History = nil, nil
	records := []journal.Record{put(stateBucket, stateKey, rest)}
	if t := &c.state.Leases; c.steps != t.Steps {
		c.steps = t.Steps
		records = append(records, put(stateBucket, historyKey, t.History))
	}
	for _, name := range slices.Sorted(maps.Keys(c.dirty)) {
		if d := c.state.Leases.Duties[name]; c.dirty[name] && d != nil {
			records = append(records, put(stateBucket, dutyPrefix+name, d))
		}
	}
	clear(c.dirty)
	return records
}
