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

// simulation plays a group whose members are killed, cut off and given the wrong disks, in a time of its own.
type simulation struct {
	rng      *rand.Rand
	now      int // ticks
	replicas []*replica
	mail     []delivery
	plant    string

	images  map[uint64][]byte // by applied index
	told    map[string]string // key: value of writes that were told as done
	orders  int
	epochs  map[uint64]uint64 // of the last write, by applied index
	carried map[string]bool   // by replica and order
	found   []string
}

// replica is a member's place: its disk outlives its processes.
type replica struct {
	name   string
	disk   *journal.Memory
	old    *journal.Memory // a copy of the disk of long ago
	core   *Core
	down   int // until then
	cut    int
	epoch  uint64 // that it holds the duty under
	seq    uint64
	open   *command
	wrong  bool // its disk is not what it was
	id     uint64
	copied []uint64 // starts of which the copy knows
	seen   uint64   // applied index that was last compared
}

type delivery struct {
	at       int
	from, to *replica
	life     *Core
	id       uint64
	boot     Boot
	m        *raftpb.Message
}

var seedFlag = flag.Uint64("seed", 0, "the first seed")

const writing = "writer"

func (h *simulation) fail(property, format string, args ...any) {
	if len(h.found) < 6 {
		h.found = append(h.found, fmt.Sprintf("%s: at %d: ", property, h.now)+fmt.Sprintf(format, args...))
	}
}

func copyOf(m *journal.Memory) *journal.Memory {
	c := &journal.Memory{}
	for _, bucket := range append([]string{"data"}, Buckets...) {
		m.Read(bucket, func(key string, v []byte) error {
			return c.Write([]journal.Record{{Bucket: bucket, Key: key, Value: v}})
		})
	}
	return c
}

func (h *simulation) boot(s *replica, found bool) {
	id := h.rng.Uint64()>>1 + 1
	core, records, err := Load(s.disk, s.name, len(h.replicas)-1, []string{"data"}, id, h.rng.Uint64())
	if err != nil {
		h.fail("Start", "%s: %v", s.name, err)
		return
	}
	if found {
		first, err := core.Bootstrap()
		if err != nil {
			h.fail("Start", "%s: %v", s.name, err)
		}
		records = append(records, first...)
	}
	s.disk.Write(records)
	if h.plant == "an only voter is not confirmed" {
		core.confirmed = nil
	}
	s.core, s.epoch, s.open, s.id = core, 0, nil, core.self.ID
}

// confirm has the others say what they know of a member that its journal says votes alone.
func (h *simulation) confirm(s *replica) {
	for _, o := range h.replicas {
		if o == s || o.core == nil || h.now < o.cut || h.now < s.cut {
			continue
		}
		if err := o.core.CheckBoot(s.core.self.ID, s.core.self.Boot); err != nil {
			s.core.wrong = err
			return
		}
		s.core.Confirm(o.name, o.core.self.ID, o.core.found)
		h.drain(o)
	}
}

func (h *simulation) lead() *replica {
	for _, s := range h.replicas {
		if s.core != nil && s.core.leads() == nil {
			return s
		}
	}
	return nil
}

// bearsLoss says whether a majority of the voters is left when one of them loses its disk.
func (h *simulation) bearsLoss() bool {
	lead := h.lead()
	return lead != nil && len(h.replicas) > 3 && len(lead.core.conf.Voters) >= 3
}

// drain does what a member has to do; it may be killed before any part of it.
func (h *simulation) drain(s *replica) {
	for s.core != nil {
		if h.plant == "what was written last is forgotten" {
			delete(s.core.state.Wrote, writing)
		}
		w := s.core.Ready()
		if w == nil {
			return
		}
		if h.now < 600 && h.rng.IntN(2000) == 0 {
			h.kill(s) // before it is written
			return
		}
		if h.plant == "nothing is written before it is sent" && h.rng.IntN(4) == 0 {
			w.Records = slices.DeleteFunc(w.Records, func(r journal.Record) bool { return strings.HasPrefix(r.Key, entryPrefix) })
		}
		if h.plant == "records are not written with what is applied" && h.rng.IntN(4) == 0 {
			w.Records = slices.DeleteFunc(w.Records, func(r journal.Record) bool { return r.Bucket == "data" })
		}
		s.disk.Write(w.Records)
		for _, r := range w.Records {
			if r.Key == "last" && !s.wrong && !slices.ContainsFunc(w.Records, func(r journal.Record) bool { return r.Key == baseKey }) { // no snapshot
				if at := s.name + string(r.Value); h.carried[at] {
					h.fail("Once", "%s carried %s out again", s.name, r.Value)
				}
				h.carried[s.name+string(r.Value)] = true
			}
		}
		if h.now < 600 && h.rng.IntN(2000) == 0 {
			h.kill(s) // after it is written, before it is sent
			return
		}
		for _, m := range w.Messages {
			h.post(s, m)
		}
		h.compare(s)
		for _, r := range w.Results {
			h.result(s, r)
		}
		s.core.Advance()
	}
}

func (h *simulation) compare(s *replica) {
	if s.seen == s.core.state.Applied {
		return
	}
	s.seen = s.core.state.Applied
	im := s.core.image()
	if at := s.core.state.Applied; h.images[at] == nil {
		h.images[at], h.epochs[at] = im, s.core.state.Wrote[writing].Epoch
	} else if !bytes.Equal(h.images[at], im) {
		h.fail("Same", "%s at %d:\n%s\n%s", s.name, at, im, h.images[at])
	}
}

func (h *simulation) kill(s *replica) {
	s.core, s.epoch, s.open, s.seen = nil, 0, nil, 0
	s.down = h.now + h.rng.IntN(60)
}

func (h *simulation) post(s *replica, m *raftpb.Message) {
	text, _ := proto.Marshal(m)
	for range 1 + h.rng.IntN(20)/19 {
		if h.now < 600 && h.rng.IntN(25) == 0 || h.now < s.cut {
			s.core.ReportUnreachable(m)
			continue
		}
		c := &raftpb.Message{}
		proto.Unmarshal(text, c)
		there := false
		for _, to := range h.replicas {
			if to.core != nil && (to.core.self.ID == m.GetTo() || s.core.state.Members[m.GetTo()] != nil && s.core.state.Members[m.GetTo()].Name == to.name) {
				h.mail = append(h.mail, delivery{h.now + h.rng.IntN(3), s, to, s.core, s.core.self.ID, s.core.self.Boot, c})
				there = true
			}
		}
		if !there {
			s.core.ReportUnreachable(m)
		}
	}
}

func (h *simulation) result(s *replica, r Result) {
	if s.open == nil || s.open.ID != r.ID {
		return
	}
	cmd := s.open
	s.open = nil
	switch {
	case r.Refused != "":
		s.epoch = 0
	case cmd.Lease != nil:
		s.epoch, s.seq = r.Lease.Epoch, 0
	default:
		h.told[cmd.Write.Records[0].Key] = string(cmd.Write.Records[0].Value)
	}
}

// act has a member want something: the duty, or to write under it.
func (h *simulation) act(s *replica) {
	if s.open != nil {
		if h.rng.IntN(30) == 0 {
			s.core.propose(s.open) // again: nobody knows what became of it
		}
		return
	}
	if h.now > 700 {
		return
	}
	h.orders++
	id := fmt.Sprint("o", h.orders)
	switch {
	case s.epoch == 0 && h.rng.IntN(40) == 0:
		s.open = &command{ID: id, Lease: &lease.Op{Kind: lease.Acquire, Duty: writing, Holder: id, Term: time.Second}}
	case s.epoch != 0 && h.rng.IntN(5) == 0:
		s.seq++
		s.open = &command{ID: id, Write: &write{writing, s.epoch, s.seq, []journal.Record{
			{Bucket: "data", Key: fmt.Sprintf("%d.%d", s.epoch, s.seq), Value: []byte(id)}, {Bucket: "data", Key: "last", Value: []byte(id)},
		}}}
	default:
		return
	}
	s.core.propose(s.open)
}

func (h *simulation) step() {
	h.now++
	for i := 0; i < len(h.mail); i++ {
		l := h.mail[i]
		if l.at > h.now {
			continue
		}
		h.mail = slices.Delete(h.mail, i, i+1)
		i--
		told := l.from.core == l.life // whether it arrived
		if l.to.core == nil || h.now < l.to.cut {
			if told {
				l.from.core.ReportUnreachable(l.m)
			}
			continue
		}
		if told {
			l.from.core.ReportSent(l.m)
		}
		if err := l.to.core.CheckBoot(l.id, l.boot); err != nil {
			if l.from.core == l.life && errors.Is(err, ErrStaleDisk) && h.plant != "an old disk is heard" {
				l.from.core.wrong = fmt.Errorf("%w: %s knows %+v, and hears %+v", ErrStaleDisk, l.to.name, l.to.core.self.Known[l.id], l.boot)
			}
			if h.plant != "an old disk is heard" {
				continue
			}
		}
		l.to.core.Step(l.m)
		h.drain(l.to)
	}
	for _, s := range h.replicas {
		if s.core == nil {
			if h.now >= s.down {
				h.boot(s, false)
			}
			continue
		}
		if s.core.unconfirmed() {
			h.confirm(s)
		}
		s.core.Tick()
		h.act(s)
		h.drain(s)
		if s.core != nil && s.core.IsCaughtUpLeader() {
			for _, op := range s.core.clock.Expired(time.Duration(h.now)*tick, &s.core.state.Leases) {
				s.core.propose(&command{Lease: &op})
			}
			for _, o := range h.replicas {
				if o.core != nil && h.now >= o.cut && h.now >= s.cut && o.core.wrong == nil {
					if m := s.core.member(o.name); m == nil || m.ID != o.core.self.ID {
						if err := s.core.Add(o.name, o.core.self.ID); err != nil && m != nil && !strings.Contains(err.Error(), "another disk") {
							h.fail("Named", "%s: %v", o.name, err)
						}
					}
				}
			}
			h.drain(s)
		} else if s.core != nil {
			s.core.clock = lease.ExpiryTracker{}
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
		s.cut = h.now + h.rng.IntN(80)
	case 3:
		if s.old == nil && s.core != nil && s.core.found {
			s.old, s.copied = copyOf(s.disk), append(slices.Clone(s.core.self.Past), s.core.self.Life)
		}
	case 4: // once, a disk of long ago comes back, or none
		if s.core != nil && s.core.found && h.now > 200 && !slices.ContainsFunc(h.replicas, func(o *replica) bool { return o.wrong }) && h.bearsLoss() {
			switch {
			case h.rng.IntN(2) == 0:
				s.disk = &journal.Memory{}
			case s.old != nil && slices.ContainsFunc(h.replicas, func(o *replica) bool {
				return o.core != nil && o.core.self.Known[s.id].Life != 0 && !slices.Contains(s.copied, o.core.self.Known[s.id].Life)
			}):
				s.disk = s.old
			default:
				return
			}
			s.wrong = true
			h.kill(s)
			if h.rng.IntN(2) == 0 {
				s.cut = s.down + h.rng.IntN(80) // nobody tells it at first
			}
		}
	}
}

func play(t *testing.T, seed uint64, size int, plant string, written *int) []string {
	cryptotest.SetGlobalRandom(t, seed) // raft draws its election timeouts from the process's random source
	h := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), plant: plant, images: map[uint64][]byte{}, told: map[string]string{}, epochs: map[uint64]uint64{}, carried: map[string]bool{}}
	for i := range size {
		s := &replica{name: fmt.Sprint("m", i+1), disk: &journal.Memory{}}
		h.replicas = append(h.replicas, s)
	}
	for i, s := range h.replicas {
		h.boot(s, i == 0)
	}
	if founder := h.replicas[0]; h.rng.IntN(2) == 0 {
		founder.old, founder.copied = copyOf(founder.disk), []uint64{founder.core.self.Life}
	}
	for h.now < 1000 {
		h.step()
	}
	lead := h.lead()
	if lead == nil {
		for _, s := range h.replicas {
			if s.core != nil {
				h.fail("Back", "%s does not lead: %v, members %v", s.name, s.core.part(), s.core.conf)
			}
		}
		return append(h.found, "Back: nobody leads in the end")
	}
	for _, s := range h.replicas {
		switch {
		case s.wrong:
			if s.core != nil && s.core.part() == nil {
				h.fail("Named", "%s takes part with another disk: %+v, among %v", s.name, s.core.self, s.core.conf)
			}
		case s.core == nil || s.core.state.Applied != lead.core.state.Applied:
			h.fail("Back", "%s has not what the others have: %+v", s.name, s.core)
			if s.core != nil {
				h.fail("Back", "%s: %v", s.name, s.core.wrong)
			}
		}
	}
	for key, value := range h.told {
		if got := string(lead.core.data["data"][key]); got != value {
			h.fail("Kept", "%s is %q, and was told as %q", key, got, value)
		}
	}
	newest := uint64(0)
	for _, at := range slices.Sorted(maps.Keys(h.epochs)) {
		if h.epochs[at] < newest {
			h.fail("Fenced", "at %d epoch %d wrote after %d", at, h.epochs[at], newest)
		}
		newest = max(newest, h.epochs[at])
	}
	if written != nil {
		*written += len(h.told)
	}
	return h.found
}

func TestExplore(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 60
	}
	written := 0
	for seed := *seedFlag; seed < *seedFlag+seeds; seed++ {
		if found := play(t, seed, 3+2*int(seed%2), "", &written); len(found) > 0 {
			t.Errorf("seed %d:\n%s", seed, strings.Join(found, "\n"))
			return
		}
	}
	if uint64(written) < 10*seeds { // one play may have nobody who writes for long
		t.Errorf("%d writes show nothing", written)
	}
}

// Each planted bug is found by one of the properties that are named beforehand.
func TestPlanted(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector makes minutes of it, and nothing here runs at once")
	}
	mutation.EachInTurn(t, map[string]string{
		"nothing is written before it is sent":         "Start|Kept|Same",
		"records are not written with what is applied": "Same|Kept",
		"an old disk is heard":                         "Named",
		"what was written last is forgotten":           "Once",
		"an only voter is not confirmed":               "Same|Kept|Fenced",
	}, 300, func(t *testing.T, seed uint64, plant string) []string { return play(t, seed, 5, plant, nil) })
}
