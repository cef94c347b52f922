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

// raftStorage is the raft.Storage of a member. Snapshots are encoded only when raft requests one.
type raftStorage struct {
	*raft.MemoryStorage
	core *Core
}

func (s *raftStorage) InitialState() (*raftpb.HardState, *raftpb.ConfState, error) {
	hardState, _, err := s.MemoryStorage.InitialState()
	return hardState, s.core.confState, err
}

func (s *raftStorage) Snapshot() (*raftpb.Snapshot, error) {
	c := s.core
	term, err := s.Term(c.state.Applied)
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return &raftpb.Snapshot{
		Data:     c.encodeSnapshot(),
		Metadata: &raftpb.SnapshotMetadata{Index: new(c.state.Applied), Term: &term, ConfState: c.confState},
	}, nil
}

// quietLogger discards raft's log output, because a member's status has the relevant parts, and
// turns raft's fatal errors into panics.
type quietLogger struct{}

func (quietLogger) Debug(...any)                   {}
func (quietLogger) Debugf(string, ...any)          {}
func (quietLogger) Error(...any)                   {}
func (quietLogger) Errorf(string, ...any)          {}
func (quietLogger) Info(...any)                    {}
func (quietLogger) Infof(string, ...any)           {}
func (quietLogger) Warning(...any)                 {}
func (quietLogger) Warningf(string, ...any)        {}
func (quietLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quietLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (quietLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quietLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Load creates a member from its journal. The buckets are the replicated ones, and peers is the
// number of other processes in the deployment. id becomes the member's ID if the journal is empty,
// and bootNumber is a random number for this start. The returned records must be written before the
// Core is used.
func Load(store journal.Store, name string, peers int, buckets []string, id, bootNumber uint64) (*Core, []journal.Record, error) {
	core := &Core{
		self: localRecord{Name: name, ID: id}, buckets: buckets, log: raft.NewMemoryStorage(), confState: &raftpb.ConfState{}, firstIndex: 1,
		data: map[string]map[string][]byte{}, awaitedIDs: map[string]bool{}, dirtyDuties: map[string]bool{},
		state: state{Members: map[uint64]*Member{}, Wrote: map[string]lastWrite{}}, peerCount: peers,
	}
	damaged := func(bucket, key string) error {
		return fmt.Errorf("the journal's record %s/%q is damaged", bucket, key)
	}
	var hardState raftpb.HardState
	var snapshotMeta raftpb.SnapshotMetadata
	var entries []*raftpb.Entry
	err := store.Read(logBucket, func(key string, v []byte) error {
		var err error
		switch {
		case v == nil:
			return damaged(logBucket, key)
		case key == hardStateKey:
			err = proto.Unmarshal(v, &hardState)
		case key == snapshotKey:
			err = proto.Unmarshal(v, &snapshotMeta)
		case key == selfKey:
			err = json.Unmarshal(v, &core.self)
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
	if core.self.Name != name {
		return nil, nil, fmt.Errorf("the journal belongs to member %q, not to %q", core.self.Name, name)
	}
	duties := map[string]*lease.Duty{}
	var history []lease.Change
	err = store.Read(stateBucket, func(key string, v []byte) error {
		core.inGroup = true
		var err error
		if name, ok := strings.CutPrefix(key, dutyPrefix); ok {
			duties[name] = &lease.Duty{}
			err = json.Unmarshal(v, duties[name])
		} else if key == historyKey {
			err = json.Unmarshal(v, &history)
		} else {
			err = json.Unmarshal(v, &core.state)
		}
		if v == nil || err != nil {
			return damaged(stateBucket, key)
		}
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	if core.state.Leases.Duties == nil {
		core.state.Leases.Duties = duties
	}
	maps.Copy(core.state.Leases.Duties, duties)
	if history != nil {
		core.state.Leases.History = history
	}
	for name := range core.state.Leases.Duties { // earlier versions stored all duties in the state record
		core.dirtyDuties[name] = duties[name] == nil
	}
	for _, bucket := range buckets {
		core.data[bucket] = map[string][]byte{}
		err := store.Read(bucket, func(key string, v []byte) error {
			if v == nil && core.inGroup {
				return damaged(bucket, key)
			}
			core.data[bucket][key] = v
			return nil
		})
		if err != nil {
			return nil, nil, err
		}
	}
	if err := proto.Unmarshal(core.state.Conf, core.confState); err != nil {
		return nil, nil, damaged(stateBucket, stateKey)
	}
	if core.self.Life != 0 {
		core.self.Past = append(core.self.Past, core.self.Life)
		core.self.Past = core.self.Past[max(0, len(core.self.Past)-maxPastBoots):]
	}
	core.self.Life = bootNumber
	if snapshotMeta.GetIndex() > 0 {
		core.firstIndex = snapshotMeta.GetIndex() + 1
		core.log.ApplySnapshot(&raftpb.Snapshot{Metadata: &snapshotMeta}) // can't fail: the log is empty
	}
	slices.SortFunc(entries, func(a, b *raftpb.Entry) int { return cmp.Compare(a.GetIndex(), b.GetIndex()) })
	for i, e := range entries {
		if e.GetIndex() != core.firstIndex+uint64(i) {
			return nil, nil, fmt.Errorf("the journal's log lacks entry %d", core.firstIndex+uint64(i))
		}
	}
	if err := core.log.Append(entries); err != nil {
		return nil, nil, err
	}
	core.log.SetHardState(&hardState)
	if core.inGroup {
		if peers > 0 && core.isOnlyVoter() {
			core.confirmedBy = map[string]bool{}
		}
		if err := core.startRaft(); err != nil {
			return nil, nil, err
		}
	}
	return core, []journal.Record{jsonRecord(logBucket, selfKey, core.self)}, nil
}

// startRaft starts raft from the loaded or bootstrapped state.
func (c *Core) startRaft() error {
	return c.recoverPanic(func() (err error) {
		c.raft, err = raft.NewRawNode(&raft.Config{
			ID: c.self.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: &raftStorage{c.log, c}, Applied: c.state.Applied,
			MaxSizePerMsg: maxMessageBytes, MaxCommittedSizePerReady: 4 * maxMessageBytes, MaxUncommittedEntriesSize: maxUncommittedBytes, MaxInflightMsgs: maxInflightMessages,
			CheckQuorum: true, PreVote: true, Logger: quietLogger{},
		})
		return err
	})
}

// JournalOwner returns the member name that is stored in a journal, and whether the journal belongs
// to a member of a group.
func JournalOwner(store journal.Store) (name string, grouped bool, err error) {
	if err := store.Read(stateBucket, func(string, []byte) error { grouped = true; return nil }); err != nil {
		return "", false, err
	}
	err = store.Read(logBucket, func(key string, v []byte) error {
		var record localRecord
		if key != selfKey {
			return nil
		}
		if err := json.Unmarshal(v, &record); err != nil {
			return fmt.Errorf("the journal's record %s/%q is damaged", logBucket, key)
		}
		name = record.Name
		return nil
	})
	return name, grouped, err
}

func jsonRecord(bucket, key string, v any) journal.Record {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't happen: all types are encodable
	}
	return journal.Record{Bucket: bucket, Key: key, Value: encoded}
}

func protoRecord(bucket, key string, m proto.Message) journal.Record {
	encoded, err := proto.Marshal(m)
	if err != nil {
		panic(err) // can't happen: raft's types are encodable
	}
	return journal.Record{Bucket: bucket, Key: key, Value: encoded}
}

func entryKey(index uint64) string {
	return entryPrefix + string(binary.BigEndian.AppendUint64(nil, index))
}

// stateRecords returns records for the changed parts of the state. Each duty has its own record, so
// that a renewal of one among thousands does not write them all.
func (c *Core) stateRecords() []journal.Record {
	encoded, err := proto.Marshal(c.confState)
	if err != nil {
		panic(err) // can't happen: raft's types are encodable
	}
	c.state.Conf = encoded
	remainder := c.state
	remainder.Leases.Duties, remainder.Leases.History = nil, nil
	records := []journal.Record{jsonRecord(stateBucket, stateKey, remainder)}
	if table := &c.state.Leases; c.savedSteps != table.Steps {
		c.savedSteps = table.Steps
		records = append(records, jsonRecord(stateBucket, historyKey, table.History))
	}
	for _, name := range slices.Sorted(maps.Keys(c.dirtyDuties)) {
		if d := c.state.Leases.Duties[name]; c.dirtyDuties[name] && d != nil {
			records = append(records, jsonRecord(stateBucket, dutyPrefix+name, d))
		}
	}
	clear(c.dirtyDuties)
	return records
}
