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
	// zoneMemory is how long it is remembered how many agents a zone had.
	zoneMemory = 10 * time.Minute
	windowTick = 250 * time.Millisecond
	// lookEarly is how often the forecast is made for a window long before it begins.
	lookEarly = 5 * time.Second
	// ledFor is how long a machine leads before it decides about windows: agents have told it by then
	// what they have in hand.
	ledFor = 3 * time.Second
)

// windowDriver brings windows of planned work on while this core machine leads, and gives away what
// it holds itself where its own machine is taken out of use. All but the atomic fields belong to the
// goroutine of Core.own.
type windowDriver struct {
	core      *Core
	ledSince  time.Duration // 0: it does not lead
	left      int
	leftSince time.Duration
	zones     map[string]*zoneAgents
	counted   time.Duration // when zones were
	looked    time.Duration // when the window was looked at last
	standing  atomic.Bool   // its own machine is taken out of use
	giving    atomic.Bool   // the node is asked to give away what it holds
	asking    atomic.Bool   // a command is on its way
	view      atomic.Pointer[windowView]
}

// windowView is what a core machine can tell of the window that is not over, beside what is agreed.
type windowView struct {
	Left     []string // on its machines
	Forecast []maintenance.Share
}

func newWindowDriver(c *Core) *windowDriver {
	return &windowDriver{core: c, zones: map[string]*zoneAgents{}}
}

// tick goes on by what is known.
func (d *windowDriver) tick() {
	if !d.core.started.Load() {
		return
	}
	if now := d.core.now(); now-d.counted >= time.Second {
		d.counted = now
		d.countZones()
	}
	table := d.core.table.windowsNow.Load()
	d.standAside()
	status := d.core.node.Status()
	switch {
	case status.Role != "leader":
		d.ledSince = 0
	case d.ledSince == 0:
		d.ledSince = d.core.now()
	}
	w := table.Current()
	if w == nil {
		d.view.Store(nil)
		return
	}
	if d.isEarly(w) && d.core.now()-d.looked < lookEarly {
		return
	}
	d.looked = d.core.now()
	backends := d.core.backends()
	left := d.core.leftOn(w, &status)
	d.view.Store(&windowView{left, maintenance.Forecast(w, backends)})
	if d.left != len(left) {
		d.left, d.leftSince = len(left), d.core.now()
	}
	if d.ledSince == 0 {
		return
	}
	v := &maintenance.View{Now: d.core.clock.Now(), Backends: backends, Remaining: len(left), UnchangedFor: d.core.now() - d.leftSince,
		Unreliable: d.blind(w, &status)}
	if a := maintenance.Decide(w, v); a != nil {
		d.propose(&maintenance.Command{Now: v.Now, Advance: a})
	}
}

// isEarly says whether nothing is to be done about a window yet.
func (d *windowDriver) isEarly(w *maintenance.Window) bool {
	return w.Phase == maintenance.PhasePlanned && !w.Begun && d.core.clock.Now() < w.Start-w.Lead
}

// propose has a command agreed on, one at a time.
func (d *windowDriver) propose(command *maintenance.Command) {
	if !d.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.asking.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), proposeWithin)
		defer cancel()
		a := command.Advance
		if reply, err := d.core.proposeWindow(ctx, command); err == nil && reply.Refused == "" {
			d.core.log.WithField("window", a.Name).WithField("phase", string(a.Phase)).WithField("step", a.Step).
				WithField("clear", a.Clear).WithField("waits", a.Waits).Info("window of planned work")
		}
	}()
}

// blind says why what this machine sees is not to be relied on, or why the loss of the window's
// machines must not be added to what is missing already.
func (d *windowDriver) blind(w *maintenance.Window, status *consensus.Status) string {
	c := d.core
	switch {
	case c.now()-d.ledSince < ledFor || c.settling():
		return "the core machine that leads has just begun to"
	case len(c.feeds) == 0:
		return "the core machine that leads hears no agents"
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		if !slices.Contains(w.Zones, zone) && d.zones[zone].isDown() {
			return "zone " + zone + " is down"
		}
	}
	return quorumWithout(w, status, c.set.Control, c.set.Zone)
}

// zoneAgents is how many agents of a zone are heard, and the most that were within zoneMemory: agents
// that are lost are forgotten long before a zone is back.
type zoneAgents struct {
	heard, most int
	at          time.Duration // when the most were heard
}

func (z *zoneAgents) isDown() bool { return 2*z.heard < z.most }

// countZones takes in which agents are heard now.
func (d *windowDriver) countZones() {
	heard, now := map[string]int{}, d.core.now()
	for _, h := range d.core.registry.All(now) {
		if !h.Lost {
			heard[h.Station.Zone]++
		}
	}
	for zone := range d.core.set.Zones {
		z := d.zones[zone]
		if z == nil {
			z = &zoneAgents{}
			d.zones[zone] = z
		}
		if z.heard = heard[zone]; z.heard >= z.most || now-z.at > zoneMemory {
			z.most, z.at = z.heard, now
		}
	}
}

// standAside gives away leadership, vote and duties while this machine is taken out of use. What it
// gives away counts for two seconds or so, so that it is given away again and again.
func (d *windowDriver) standAside() {
	c := d.core
	stage := c.table.now.Load().config.Stage(c.set.Zone, c.set.IP)
	standing := stage >= meshconfig.StageCalls
	d.standing.Store(standing)
	if !standing || !d.giving.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.giving.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
		defer cancel()
		c.node.Leave(ctx)
	}()
}
