package group

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/cryptotest"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mutation"
)

// simulation runs a group in simulated time, in which members are killed, partitioned and restarted
// with old or empty disks.
type simulation struct {
	rng        *rand.Rand
	now        int // in ticks
	replicas   []*replica
	deliveries []delivery
	bug        string

	snapshots    map[uint64][]byte // by applied index
	acknowledged map[string]string // values of acknowledged writes, by key
	commands     int
	epochs       map[uint64]uint64 // of the last applied write, by applied index
	applied      map[string]bool   // by replica name and command ID
	failures     []string
}

// replica is a member whose disk outlives its processes. core is nil while no process runs.
type replica struct {
	name          string
	disk          *journal.Memory
	oldDisk       *journal.Memory // an earlier copy of the disk
	core          *Core
	downUntil     int // tick at which the process restarts
	cutOffUntil   int
	epoch         uint64 // of its lease; 0: it does not hold the duty
	seq           uint64
	pending       *command
	diskReplaced  bool // its disk was replaced by an old or an empty one
	id            uint64
	oldDiskBoots  []uint64 // boot numbers that oldDisk contains
	comparedIndex uint64   // applied index of the last comparison of snapshots
}

type delivery struct {
	at       int
	from, to *replica
	core     *Core
	id       uint64
	boot     Boot
	message  *raftpb.Message
}

var seedFlag = flag.Uint64("seed", 0, "the first seed")

const writerDuty = "writer"

func (h *simulation) fail(property, format string, args ...any) {
	if len(h.failures) < 6 {
		h.failures = append(h.failures, fmt.Sprintf("%s: at %d: ", property, h.now)+fmt.Sprintf(format, args...))
	}
}

func copyDisk(original *journal.Memory) *journal.Memory {
	copied := &journal.Memory{}
	for _, bucket := range append([]string{"data"}, Buckets...) {
		original.Read(bucket, func(key string, v []byte) error {
			return copied.Write([]journal.Record{{Bucket: bucket, Key: key, Value: v}})
		})
	}
	return copied
}

func (h *simulation) boot(s *replica, bootstrap bool) {
	id := h.rng.Uint64()>>1 + 1
	core, records, err := Load(s.disk, s.name, len(h.replicas)-1, []string{"data"}, id, h.rng.Uint64())
	if err != nil {
		h.fail("Start", "%s: %v", s.name, err)
		return
	}
	if bootstrap {
		bootstrapRecords, err := core.Bootstrap()
		if err != nil {
			h.fail("Start", "%s: %v", s.name, err)
		}
		records = append(records, bootstrapRecords...)
	}
	s.disk.Write(records)
	if h.bug == "an only voter is not confirmed" {
		core.confirmedBy = nil
	}
	s.core, s.epoch, s.pending, s.id = core, 0, nil, core.self.ID
}

// confirm passes the responses of the reachable members to a member that needs confirmation.
func (h *simulation) confirm(s *replica) {
	for _, o := range h.replicas {
		if o == s || o.core == nil || h.now < o.cutOffUntil || h.now < s.cutOffUntil {
			continue
		}
		if err := o.core.CheckBoot(s.core.self.ID, s.core.self.Boot); err != nil {
			s.core.failure = err
			return
		}
		s.core.Confirm(o.name, o.core.self.ID, o.core.inGroup)
		h.drain(o)
	}
}

func (h *simulation) leader() *replica {
	for _, s := range h.replicas {
		if s.core != nil && s.core.checkLeader() == nil {
			return s
		}
	}
	return nil
}

// canLoseDisk reports whether a majority of the voters remains if one of them loses its disk.
func (h *simulation) canLoseDisk() bool {
	leader := h.leader()
	return leader != nil && len(h.replicas) > 3 && len(leader.core.confState.Voters) >= 3
}

// drain processes a member's outputs. The member may be killed before any part of that.
func (h *simulation) drain(s *replica) {
	for s.core != nil {
		if h.bug == "what was written last is forgotten" {
			delete(s.core.state.Wrote, writerDuty)
		}
		output := s.core.Ready()
		if output == nil {
			return
		}
		if h.now < 600 && h.rng.IntN(2000) == 0 {
			h.kill(s) // before the output is written
			return
		}
		if h.bug == "nothing is written before it is sent" && h.rng.IntN(4) == 0 {
			output.Records = slices.DeleteFunc(output.Records, func(r journal.Record) bool { return strings.HasPrefix(r.Key, entryPrefix) })
		}
		if h.bug == "records are not written with what is applied" && h.rng.IntN(4) == 0 {
			output.Records = slices.DeleteFunc(output.Records, func(r journal.Record) bool { return r.Bucket == "data" })
		}
		s.disk.Write(output.Records)
		for _, r := range output.Records {
			// Records of a snapshot may repeat earlier ones.
			if r.Key == "last" && !s.diskReplaced && !slices.ContainsFunc(output.Records, func(r journal.Record) bool { return r.Key == snapshotKey }) {
				if key := s.name + string(r.Value); h.applied[key] {
					h.fail("Once", "%s applied %s again", s.name, r.Value)
				}
				h.applied[s.name+string(r.Value)] = true
			}
		}
		if h.now < 600 && h.rng.IntN(2000) == 0 {
			h.kill(s) // after the output is written, before messages are sent
			return
		}
		for _, m := range output.Messages {
			h.send(s, m)
		}
		h.compareSnapshots(s)
		for _, r := range output.Results {
			h.handleResult(s, r)
		}
		s.core.Advance()
	}
}

func (h *simulation) compareSnapshots(s *replica) {
	if s.comparedIndex == s.core.state.Applied {
		return
	}
	s.comparedIndex = s.core.state.Applied
	snapshot := s.core.encodeSnapshot()
	if index := s.core.state.Applied; h.snapshots[index] == nil {
		h.snapshots[index], h.epochs[index] = snapshot, s.core.state.Wrote[writerDuty].Epoch
	} else if !bytes.Equal(h.snapshots[index], snapshot) {
		h.fail("Same", "%s at %d:\n%s\n%s", s.name, index, snapshot, h.snapshots[index])
	}
}

func (h *simulation) kill(s *replica) {
	s.core, s.epoch, s.pending, s.comparedIndex = nil, 0, nil, 0
	s.downUntil = h.now + h.rng.IntN(60)
}

func (h *simulation) send(s *replica, m *raftpb.Message) {
	encoded, _ := proto.Marshal(m)
	for range 1 + h.rng.IntN(20)/19 {
		if h.now < 600 && h.rng.IntN(25) == 0 || h.now < s.cutOffUntil {
			s.core.ReportUnreachable(m)
			continue
		}
		copied := &raftpb.Message{}
		proto.Unmarshal(encoded, copied)
		delivered := false
		for _, to := range h.replicas {
			if to.core != nil && (to.core.self.ID == m.GetTo() || s.core.state.Members[m.GetTo()] != nil && s.core.state.Members[m.GetTo()].Name == to.name) {
				h.deliveries = append(h.deliveries, delivery{h.now + h.rng.IntN(3), s, to, s.core, s.core.self.ID, s.core.self.Boot, copied})
				delivered = true
			}
		}
		if !delivered {
			s.core.ReportUnreachable(m)
		}
	}
}

func (h *simulation) handleResult(s *replica, r Result) {
	if s.pending == nil || s.pending.ID != r.ID {
		return
	}
	cmd := s.pending
	s.pending = nil
	switch {
	case r.Refused != "":
		s.epoch = 0
	case cmd.Lease != nil:
		s.epoch, s.seq = r.Lease.Epoch, 0
	default:
		h.acknowledged[cmd.Write.Records[0].Key] = string(cmd.Write.Records[0].Value)
	}
}

// proposeRandomCommand makes a member acquire the duty or write under it, or propose its pending
// command again.
func (h *simulation) proposeRandomCommand(s *replica) {
	if s.pending != nil {
		if h.rng.IntN(30) == 0 {
			s.core.propose(s.pending) // its outcome is unknown
		}
		return
	}
	if h.now > 700 {
		return
	}
	h.commands++
	id := fmt.Sprint("o", h.commands)
	switch {
	case s.epoch == 0 && h.rng.IntN(40) == 0:
		s.pending = &command{ID: id, Lease: &lease.Op{Kind: lease.Acquire, Duty: writerDuty, Holder: id, Term: time.Second}}
	case s.epoch != 0 && h.rng.IntN(5) == 0:
		s.seq++
		s.pending = &command{ID: id, Write: &writeCommand{writerDuty, s.epoch, s.seq, []journal.Record{
			{Bucket: "data", Key: fmt.Sprintf("%d.%d", s.epoch, s.seq), Value: []byte(id)}, {Bucket: "data", Key: "last", Value: []byte(id)},
		}}}
	default:
		return
	}
	s.core.propose(s.pending)
}

func (h *simulation) step() {
	h.now++
	for i := 0; i < len(h.deliveries); i++ {
		d := h.deliveries[i]
		if d.at > h.now {
			continue
		}
		h.deliveries = slices.Delete(h.deliveries, i, i+1)
		i--
		senderRuns := d.from.core == d.core // the sending process runs and learns whether the message arrived
		if d.to.core == nil || h.now < d.to.cutOffUntil {
			if senderRuns {
				d.from.core.ReportUnreachable(d.message)
			}
			continue
		}
		if senderRuns {
			d.from.core.ReportSent(d.message)
		}
		if err := d.to.core.CheckBoot(d.id, d.boot); err != nil {
			if d.from.core == d.core && errors.Is(err, ErrStaleDisk) && h.bug != "an old disk is heard" {
				d.from.core.failure = fmt.Errorf("%w: %s knows %+v, and received %+v", ErrStaleDisk, d.to.name, d.to.core.self.Known[d.id], d.boot)
			}
			if h.bug != "an old disk is heard" {
				continue
			}
		}
		d.to.core.Step(d.message)
		h.drain(d.to)
	}
	for _, s := range h.replicas {
		if s.core == nil {
			if h.now >= s.downUntil {
				h.boot(s, false)
			}
			continue
		}
		if s.core.needsConfirmation() {
			h.confirm(s)
		}
		s.core.Tick()
		h.proposeRandomCommand(s)
		h.drain(s)
		if s.core != nil && s.core.IsCaughtUpLeader() {
			for _, op := range s.core.leaseExpiry.Expired(time.Duration(h.now)*tickInterval, &s.core.state.Leases) {
				s.core.propose(&command{Lease: &op})
			}
			for _, o := range h.replicas {
				if o.core != nil && h.now >= o.cutOffUntil && h.now >= s.cutOffUntil && o.core.failure == nil {
					if m := s.core.memberByName(o.name); m == nil || m.ID != o.core.self.ID {
						if err := s.core.Add(o.name, o.core.self.ID); err != nil && m != nil && !strings.Contains(err.Error(), "another disk") {
							h.fail("Named", "%s: %v", o.name, err)
						}
					}
				}
			}
			h.drain(s)
		} else if s.core != nil {
			s.core.leaseExpiry = lease.ExpiryTracker{}
		}
	}
	if h.now >= 600 {
		return
	}
	s := h.replicas[h.rng.IntN(len(h.replicas))]
	switch h.rng.IntN(150) {
	case 0:
		h.kill(s)
	case 1, 2:
		s.cutOffUntil = h.now + h.rng.IntN(80)
	case 3:
		if s.oldDisk == nil && s.core != nil && s.core.inGroup {
			s.oldDisk, s.oldDiskBoots = copyDisk(s.disk), append(slices.Clone(s.core.self.Past), s.core.self.Life)
		}
	case 4: // once per run, a disk is replaced by an old or an empty one
		if s.core != nil && s.core.inGroup && h.now > 200 && !slices.ContainsFunc(h.replicas, func(o *replica) bool { return o.diskReplaced }) && h.canLoseDisk() {
			switch {
			case h.rng.IntN(2) == 0:
				s.disk = &journal.Memory{}
			case s.oldDisk != nil && slices.ContainsFunc(h.replicas, func(o *replica) bool {
				return o.core != nil && o.core.self.Known[s.id].Life != 0 && !slices.Contains(s.oldDiskBoots, o.core.self.Known[s.id].Life)
			}):
				s.disk = s.oldDisk
			default:
				return
			}
			s.diskReplaced = true
			h.kill(s)
			if h.rng.IntN(2) == 0 {
				s.cutOffUntil = s.downUntil + h.rng.IntN(80) // at first no member can tell it that its disk is old
			}
		}
	}
}

func simulate(t *testing.T, seed uint64, size int, bug string, written *int) []string {
	cryptotest.SetGlobalRandom(t, seed) // raft draws its election timeouts from the process's random source
	h := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), bug: bug, snapshots: map[uint64][]byte{}, acknowledged: map[string]string{}, epochs: map[uint64]uint64{}, applied: map[string]bool{}}
	for i := range size {
		s := &replica{name: fmt.Sprint("m", i+1), disk: &journal.Memory{}}
		h.replicas = append(h.replicas, s)
	}
	for i, s := range h.replicas {
		h.boot(s, i == 0)
	}
	if founder := h.replicas[0]; h.rng.IntN(2) == 0 {
		founder.oldDisk, founder.oldDiskBoots = copyDisk(founder.disk), []uint64{founder.core.self.Life}
	}
	for h.now < 1000 {
		h.step()
	}
	leader := h.leader()
	if leader == nil {
		for _, s := range h.replicas {
			if s.core != nil {
				h.fail("Back", "%s is not the leader: %v, members %v", s.name, s.core.checkParticipates(), s.core.confState)
			}
		}
		return append(h.failures, "Back: there is no leader in the end")
	}
	for _, s := range h.replicas {
		switch {
		case s.diskReplaced:
			if s.core != nil && s.core.checkParticipates() == nil {
				h.fail("Named", "%s participates with a replaced disk: %+v, members %v", s.name, s.core.self, s.core.confState)
			}
		case s.core == nil || s.core.state.Applied != leader.core.state.Applied:
			h.fail("Back", "%s has not caught up: %+v", s.name, s.core)
			if s.core != nil {
				h.fail("Back", "%s: %v", s.name, s.core.failure)
			}
		}
	}
	for key, value := range h.acknowledged {
		if got := string(leader.core.data["data"][key]); got != value {
			h.fail("Kept", "%s is %q, and %q was acknowledged", key, got, value)
		}
	}
	newest := uint64(0)
	for _, index := range slices.Sorted(maps.Keys(h.epochs)) {
		if h.epochs[index] < newest {
			h.fail("Fenced", "at index %d epoch %d wrote after epoch %d", index, h.epochs[index], newest)
		}
		newest = max(newest, h.epochs[index])
	}
	if written != nil {
		*written += len(h.acknowledged)
	}
	return h.failures
}

func TestExplore(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 60
	}
	written := 0
	for seed := *seedFlag; seed < *seedFlag+seeds; seed++ {
		if failures := simulate(t, seed, 3+2*int(seed%2), "", &written); len(failures) > 0 {
			t.Errorf("seed %d:\n%s", seed, strings.Join(failures, "\n"))
			return
		}
	}
	if uint64(written) < 10*seeds { // a single run may have few writes
		t.Errorf("%d writes are too few for this test", written)
	}
}

// Each injected bug must break one of the properties listed with it.
func TestPlanted(t *testing.T) {
	if testing.Short() {
		t.Skip("takes minutes under the race detector and has no concurrency")
	}
	mutation.EachInTurn(t, map[string]string{
		"nothing is written before it is sent":         "Start|Kept|Same",
		"records are not written with what is applied": "Same|Kept",
		"an old disk is heard":                         "Named",
		"what was written last is forgotten":           "Once",
		"an only voter is not confirmed":               "Same|Kept|Fenced",
	}, 300, func(t *testing.T, seed uint64, bug string) []string { return simulate(t, seed, 5, bug, nil) })
}
