package duties

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/usage"
)

var (
	seedFlag = flag.Uint64("seed", 1, "seed of the first simulation")
	runsFlag = flag.Int("plays", 150, "number of simulations, each with its own seed")
)

var bounds = Bounds{Lease: 3 * time.Second, WindowLength: 5 * time.Second, DueAfter: 10 * time.Second}

const (
	simStep      = 50 * time.Millisecond
	simDuration  = 3 * time.Minute
	faultsEnd    = simDuration - 40*time.Second // no faults are injected from then on
	machineCount = 4
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

// machine is a simulated control-plane node.
type machine struct {
	name          string
	incarnation   int
	holder        *Holder
	startedAt     time.Duration
	clockRate     float64       // clock speed, relative to simulated time
	pausedUntil   time.Duration // the process is stopped until then
	isolatedUntil time.Duration // no agents are connected until then
}

func (m *machine) now(t time.Duration) time.Duration {
	return time.Duration(float64(t-m.startedAt) * m.clockRate)
}

// platformCall is a call that the platform accepted.
type platformCall struct {
	at          time.Duration
	holder      string
	undisturbed bool // its machine was not affected by a fault around that time
}

// world simulates machines, their replicated log and the platform, which checks the calls.
type world struct {
	*rand.Rand
	now               time.Duration
	machines          [machineCount]*machine
	table             *Table
	index             uint64
	watch             lease.ExpiryTracker // of the leader
	events            []event
	platformDownUntil time.Duration // the platform does not respond until then

	plantedBug   string
	highestFence uint64            // highest fencing token that the platform has seen
	fenceOwners  map[uint64]string // machine that first used each token
	reports      map[int64]map[string]uint64
	calls        []platformCall
	failure      string
}

func newWorld(seed uint64, plantedBug string) *world {
	w := &world{Rand: rand.New(rand.NewPCG(seed, 0)), table: NewTable(), plantedBug: plantedBug, fenceOwners: map[uint64]string{}, reports: map[int64]map[string]uint64{}}
	for i := range w.machines {
		w.machines[i] = &machine{name: fmt.Sprintf("core-%d", i), clockRate: 0.995 + 0.01*w.Float64()}
		w.start(w.machines[i])
	}
	return w
}

func (w *world) start(m *machine) {
	m.incarnation++
	m.startedAt, m.pausedUntil = w.now, 0
	m.holder = NewHolder(m.name, fmt.Sprintf("%s/%d", m.name, m.incarnation), bounds)
}

// deliver schedules f after a random delay, once the machine's process runs. It drops f if the
// process restarts, or at random.
func (w *world) deliver(m *machine, maxDelay time.Duration, lossChance float64, f func()) {
	incarnation := m.incarnation
	if w.now < faultsEnd && w.Float64() < lossChance {
		return
	}
	at := w.now + time.Duration(w.Int64N(int64(maxDelay)))
	w.events = append(w.events, event{max(at, m.pausedUntil), func() {
		if m.incarnation == incarnation {
			f()
		}
	}})
}

func (w *world) propose(m *machine, request Request) {
	incarnation := m.incarnation
	w.events = append(w.events, event{w.now + time.Duration(w.Int64N(int64(400*time.Millisecond))), func() {
		if w.now < faultsEnd && w.Float64() < 0.1 {
			return // the command is lost; the machine times out below
		}
		w.index++
		reply := w.table.Apply(w.index, request.Command)
		w.deliver(m, 300*time.Millisecond, 0.1, func() { m.holder.HandleReply(m.now(w.now), request.Number, &reply) })
	}})
	w.events = append(w.events, event{w.now + time.Second, func() {
		if m.incarnation == incarnation {
			m.holder.HandleReply(m.now(max(w.now, m.pausedUntil)), request.Number, nil)
		}
	}})
}

func (w *world) callPlatform(m *machine, call *Call) {
	counts, undisturbed := call.Report.Counts, w.now > m.startedAt+bounds.Lease && m.pausedUntil < w.now-bounds.Lease
	fence := call.Fence
	switch w.plantedBug {
	case "counts change":
		counts = map[string]uint64{"acme": w.Uint64N(100)}
	case "same fence":
		fence = 7
	}
	results := make(chan Result, 1)
	w.events = append(w.events, event{w.now + time.Duration(w.Int64N(int64(200*time.Millisecond))), func() {
		results <- w.platformAccept(m, fence, call.Report.Window, counts, undisturbed)
	}})
	incarnation := m.incarnation
	w.events = append(w.events, event{w.now + time.Duration(w.Int64N(int64(time.Second))) + 200*time.Millisecond, func() {
		if m.incarnation != incarnation {
			return
		}
		result := <-results
		if w.now < faultsEnd && w.Float64() < 0.2 {
			result = CallUnknown
		}
		m.holder.HandleResult(m.now(max(w.now, m.pausedUntil)), result, 0)
	}})
}

// platformAccept handles a call at the platform.
func (w *world) platformAccept(m *machine, fence uint64, window int64, counts map[string]uint64, undisturbed bool) Result {
	if w.now < w.platformDownUntil {
		return CallUnknown
	}
	if owner, known := w.fenceOwners[fence]; known && owner != m.name {
		w.failure = fmt.Sprintf("%s and %s both sent fence %d", owner, m.name, fence)
	}
	w.fenceOwners[fence] = m.name
	if fence < w.highestFence {
		return CallFenced
	}
	w.highestFence = fence
	if before, known := w.reports[window]; known && !maps.Equal(before, counts) {
		w.failure = fmt.Sprintf("window %d was reported with different counts", window)
	}
	w.reports[window] = counts
	w.calls = append(w.calls, platformCall{w.now, m.name, undisturbed})
	for i := len(w.calls) - 1; i >= 0 && w.now-w.calls[i].at <= bounds.Lease; i-- {
		if first := w.calls[i]; first.holder == m.name && first.undisturbed && undisturbed {
			for _, between := range w.calls[i:] {
				if between.holder != m.name && between.undisturbed {
					w.failure = fmt.Sprintf("%s called the platform, then %s, then %s again within a lease", m.name, between.holder, m.name)
				}
			}
		}
	}
	return CallAccepted
}

// injectFault injects a random fault.
func (w *world) injectFault() {
	m := w.machines[w.IntN(machineCount)]
	switch w.IntN(6) {
	case 0:
		w.start(m) // the process is killed and restarted
	case 1:
		m.pausedUntil = w.now + time.Duration(w.Int64N(int64(8*time.Second)))
	case 2:
		m.isolatedUntil = w.now + time.Duration(w.Int64N(int64(8*time.Second)))
	case 3:
		w.platformDownUntil = w.now + time.Duration(w.Int64N(int64(10*time.Second)))
	case 4:
		w.watch = lease.ExpiryTracker{} // leadership changes
	case 5:
		if w.now >= m.pausedUntil && !m.holder.CallInFlight() {
			var actions Actions
			m.holder.Release(m.now(w.now), &actions)
			for _, request := range actions.Requests {
				w.propose(m, request)
			}
		}
	}
}

func (w *world) view(m *machine) *View {
	window := int64(w.now/bounds.WindowLength) - 1
	if w.table.Usage.Through > 0 {
		window = w.table.Usage.Through + 1
	}
	return &View{Time: w.now, Connected: w.now >= m.isolatedUntil, Window: window, Complete: w.IntN(2) == 0, LostIncomplete: w.IntN(2) == 0,
		Counts: map[string]uint64{"acme": w.Uint64N(100)}} // different on each machine and each time
}

// run returns a description of the first violation, or an empty string.
func (w *world) run() string {
	for ; w.now < simDuration && w.failure == ""; w.now += simStep {
		if w.now < faultsEnd && w.IntN(30) == 0 {
			w.injectFault()
		}
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at <= w.now {
				e.run()
			} else {
				w.events = append(w.events, e)
			}
		}
		for _, op := range w.watch.Expired(w.now, &w.table.Leases) {
			if w.index++; w.plantedBug != "leases never expire" {
				w.table.Apply(w.index, &Command{Lease: &op})
			}
		}
		for _, m := range w.machines {
			if w.now >= m.pausedUntil && w.now%(4*simStep) == 0 {
				actions := m.holder.Tick(m.now(w.now), w.table.Clone(), w.view(m))
				for _, request := range actions.Requests {
					w.propose(m, request)
				}
				if actions.Call != nil {
					w.callPlatform(m, actions.Call)
				}
			}
		}
	}
	if w.failure != "" {
		return w.failure
	}
	last := int64(simDuration/bounds.WindowLength) - 3
	for window := last - 2; window <= last; window++ {
		if w.reports[window] == nil {
			return fmt.Sprintf("window %d was not reported after the last fault, final through %d", window, w.table.Usage.Through)
		}
	}
	if len(w.table.Usage.Open) > 2 {
		return fmt.Sprintf("%d reports are still waiting", len(w.table.Usage.Open))
	}
	return ""
}

// Under process crashes, pauses, partitions and lost messages, each window is reported with one set
// of counts, no two machines use the same fencing token, the duty does not move to another machine
// and back within a lease, and reports continue.
func TestReports(t *testing.T) {
	for seed := *seedFlag; seed < *seedFlag+uint64(*runsFlag); seed++ {
		require.Empty(t, newWorld(seed, "").run(), "-seed %d -plays 1", seed)
	}
}

// The simulation detects planted bugs.
func TestReportsPlanted(t *testing.T) {
	for _, bug := range []string{"counts change", "same fence", "leases never expire"} {
		found := ""
		for seed := uint64(1); seed <= 300 && found == ""; seed++ {
			found = newWorld(seed, bug).run()
		}
		require.NotEmpty(t, found, bug)
		t.Logf("%s: %s", bug, found)
	}
}

// A table survives a snapshot unchanged, and its epochs follow the indexes of the log.
func TestTable(t *testing.T) {
	table := NewTable()
	acquire := Command{Lease: &lease.Op{Kind: lease.Acquire, Duty: UsageReport, Holder: "a/1", Term: time.Second}}
	require.Equal(t, uint64(900), table.Apply(900, &acquire).Lease.Epoch)
	finalize := func(holder string, epoch uint64, window int64) string {
		command, err := DecodeCommand(EncodeCommand(&Command{Fix: &FinalizeReport{holder, epoch, &usage.Report{Window: window, Counts: map[string]uint64{"acme": 1}}}}))
		require.NoError(t, err)
		reply := table.Apply(901, command)
		return reply.Refused
	}
	require.Empty(t, finalize("a/1", 900, 40))
	require.Contains(t, finalize("a/1", 900, 40), "40 is final")
	require.Contains(t, finalize("b/1", 900, 41), "does not hold")
	require.Contains(t, finalize("a/1", 899, 41), "does not hold")
	decoded, err := Decode(table.Clone().Encode())
	require.NoError(t, err)
	require.Equal(t, table, decoded)
	require.Contains(t, decoded.Apply(902, &Command{Taken: &ReportAccepted{41}}).Refused, "no report")
	require.Empty(t, decoded.Apply(903, &Command{Taken: &ReportAccepted{40}}).Refused)
	require.Len(t, table.Usage.Open, 1, "the original table is unchanged")
}

// A process that has just started does not request a part: an earlier process on the same machine
// may have called the platform within the last lease, and another machine since then.
func TestStartsQuietly(t *testing.T) {
	bounds := Bounds{Lease: 3 * time.Second, WindowLength: 5 * time.Second, DueAfter: 5 * time.Second}
	h := NewHolder("a", "a/1", bounds)
	firstRequest := time.Duration(0)
	for now := time.Duration(0); now < 10*time.Second && firstRequest == 0; now += 50 * time.Millisecond {
		if actions := h.Tick(now, NewTable(), &View{Connected: true}); len(actions.Requests) > 0 {
			firstRequest = now
		}
	}
	require.Greater(t, firstRequest, bounds.Lease)
	require.Less(t, firstRequest, 2*bounds.Lease)
}

// A holder on a cordoned machine releases the part at once and does not request it again.
func TestStandsAside(t *testing.T) {
	bounds := Bounds{Lease: 3 * time.Second, WindowLength: 5 * time.Second, DueAfter: 5 * time.Second}
	h, table := NewHolder("a", "a/1", bounds), NewTable()
	tick := func(now time.Duration, cordoned bool) (kinds []lease.Kind) {
		actions := h.Tick(now, table, &View{Connected: true, Cordoned: cordoned})
		for _, request := range actions.Requests {
			reply := table.Apply(100, request.Command)
			h.HandleReply(now, request.Number, &reply)
			kinds = append(kinds, request.Command.Lease.Kind)
		}
		return kinds
	}
	now := 10 * time.Second
	for ; h.HeldEpoch(now) == 0; now += 50 * time.Millisecond {
		tick(now, false)
	}
	require.Equal(t, []lease.Kind{lease.Release}, tick(now, true))
	for range 100 {
		now += 50 * time.Millisecond
		require.Empty(t, tick(now, true))
	}
	require.Empty(t, table.Leases.Duties[UsageReport].Holder)
}

// A machine that a part is handed to requests it without its usual delay.
func TestHandedOverIsTakenAtOnce(t *testing.T) {
	bounds := Bounds{Lease: time.Second, WindowLength: 5 * time.Second, DueAfter: 5 * time.Second}
	for n := range 20 {
		node := fmt.Sprint("core-", n)
		h, table := NewHolder(node, node+"/1", bounds), NewTable()
		for _, op := range []lease.Op{
			{Kind: lease.Acquire, Holder: "other/1", Term: time.Second}, {Kind: lease.HandOver, Epoch: 1, To: node}, {Kind: lease.Release, Holder: "other/1", Epoch: 1},
		} {
			op.Duty = UsageReport
			require.Empty(t, table.Leases.Apply(&op).Refused)
			if op.Kind != lease.Release {
				h.Tick(10*time.Second, table, &View{Connected: true})
			}
		}
		actions := h.Tick(10*time.Second+200*time.Millisecond, table, &View{Connected: true})
		require.Len(t, actions.Requests, 1, node)
	}
}
