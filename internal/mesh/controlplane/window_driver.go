package controlplane

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshconfig"
)

const (
	// zonePeakMemory is how long the peak number of a zone's agents is remembered.
	zonePeakMemory     = 10 * time.Minute
	windowTickInterval = 250 * time.Millisecond
	// earlyCheckInterval is the time between forecasts for a window that is not to be drained yet.
	earlyCheckInterval = 5 * time.Second
	// leaderSettleTime is the time from an election until the leader decides about windows. By
	// then, agents have sent it their current workload.
	leaderSettleTime = 3 * time.Second
)

// windowDriver advances maintenance windows while this node leads. It also gives up the node's own
// roles while its machine is cordoned. All fields except the atomic ones belong to the goroutine of
// Core.runLoop.
type windowDriver struct {
	core           *Core
	leaderSince    time.Duration // 0 if this node does not lead
	remaining      int           // number of agents and roles still active on the window's machines
	remainingSince time.Duration // when remaining last changed
	zones          map[string]*zoneAgents
	zonesCountedAt time.Duration // time of the latest countZones
	checkedAt      time.Duration // time of the latest check of the window
	cordoned       atomic.Bool   // this node's machine is cordoned at StageCalls or beyond
	leaving        atomic.Bool   // a call of node.Leave is in progress
	proposing      atomic.Bool   // a proposal is in progress
	view           atomic.Pointer[windowView]
}

// windowView is this node's information about the current window, beyond the replicated state.
type windowView struct {
	Remaining []string // what is still active on the window's machines
	Forecast  []maintenance.Share
}

func newWindowDriver(c *Core) *windowDriver {
	return &windowDriver{core: c, zones: map[string]*zoneAgents{}}
}

// tick advances the current window if a change is due.
func (d *windowDriver) tick() {
	if !d.core.nodeStarted.Load() {
		return
	}
	if now := d.core.now(); now-d.zonesCountedAt >= time.Second {
		d.zonesCountedAt = now
		d.countZones()
	}
	table := d.core.table.publishedWindows.Load()
	d.leaveIfCordoned()
	status := d.core.node.Status()
	switch {
	case status.Role != "leader":
		d.leaderSince = 0
	case d.leaderSince == 0:
		d.leaderSince = d.core.now()
	}
	window := table.Current()
	if window == nil {
		d.view.Store(nil)
		return
	}
	if d.isEarly(window) && d.core.now()-d.checkedAt < earlyCheckInterval {
		return
	}
	d.checkedAt = d.core.now()
	backends := d.core.backends()
	remaining := d.core.remainingOn(window, &status)
	d.view.Store(&windowView{remaining, maintenance.Forecast(window, backends)})
	if d.remaining != len(remaining) {
		d.remaining, d.remainingSince = len(remaining), d.core.now()
	}
	if d.leaderSince == 0 {
		return
	}
	view := &maintenance.View{Now: d.core.clock.Now(), Backends: backends, Remaining: len(remaining), UnchangedFor: d.core.now() - d.remainingSince,
		Unreliable: d.unreliableReason(window, &status)}
	if advance := maintenance.Decide(window, view); advance != nil {
		d.propose(&maintenance.Command{Now: view.Now, Advance: advance})
	}
}

// isEarly reports whether it is too early to drain the window's machines.
func (d *windowDriver) isEarly(w *maintenance.Window) bool {
	return w.Phase == maintenance.PhasePlanned && !w.Begun && d.core.clock.Now() < w.Start-w.Lead
}

// propose proposes a command, unless another proposal is in progress.
func (d *windowDriver) propose(command *maintenance.Command) {
	if !d.proposing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.proposing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		advance := command.Advance
		if reply, err := d.core.proposeWindow(ctx, operatorCall{}, command); err == nil && reply.Refused == "" {
			d.core.log.WithField("window", advance.Name).WithField("phase", string(advance.Phase)).WithField("step", advance.Step).
				WithField("clear", advance.Clear).WithField("waits", advance.Waits).Info("maintenance window")
		}
	}()
}

// unreliableReason returns why this node's view can't be relied on, or why the window's machines
// must not be drained in addition to what is down already. It is empty if there is no reason.
func (d *windowDriver) unreliableReason(w *maintenance.Window, status *consensus.Status) string {
	c := d.core
	switch {
	case c.now()-d.leaderSince < leaderSettleTime || c.settling():
		return "the leader was elected or stalled only moments ago"
	case len(c.feeds) == 0:
		return "the leader has no connected agents"
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		if !slices.Contains(w.Zones, zone) && d.zones[zone].isDown() {
			return "zone " + zone + " is down"
		}
	}
	return quorumLossReason(w, status, c.settings.Control, c.settings.Zone)
}

// zoneAgents are the current number of connected agents of a zone, and the peak number within
// zonePeakMemory. The registry forgets lost agents long before a failed zone returns.
type zoneAgents struct {
	connected, peak int
	peakAt          time.Duration // when connected last equaled peak
}

func (z *zoneAgents) isDown() bool { return 2*z.connected < z.peak }

// countZones updates the numbers of connected agents.
func (d *windowDriver) countZones() {
	connected, now := map[string]int{}, d.core.now()
	for _, status := range d.core.registry.All(now) {
		if !status.Lost {
			connected[status.Station.Zone]++
		}
	}
	for zone := range d.core.settings.Zones {
		agents := d.zones[zone]
		if agents == nil {
			agents = &zoneAgents{}
			d.zones[zone] = agents
		}
		if agents.connected = connected[zone]; agents.connected >= agents.peak || now-agents.peakAt > zonePeakMemory {
			agents.peak, agents.peakAt = agents.connected, now
		}
	}
}

// leaveIfCordoned gives up leadership, vote and duties while this node's machine is cordoned at
// StageCalls or beyond. Consensus forgets a call of Leave after about two seconds, so it is
// repeated. The duty holder reads the field cordoned.
func (d *windowDriver) leaveIfCordoned() {
	c := d.core
	stage := c.table.published.Load().config.Stage(c.settings.Zone, c.settings.IP)
	cordoned := stage >= meshconfig.StageCalls
	d.cordoned.Store(cordoned)
	if !cordoned || !d.leaving.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.leaving.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		c.node.Leave(ctx)
	}()
}
