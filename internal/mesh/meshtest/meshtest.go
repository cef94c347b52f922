// Package meshtest runs a small mesh of real processes on
// loopback.
//
// There are three core machines or more and some agents, each a process of the built program at an address
// of its own in 127/8, with the settings file, the ports and the data folder that a deployment
// gives it. Beside each agent stand a backend and clients, and an operator stands beside the core;
// these are stand-ins in the caller's process, which speak the protocol and keep what they saw in a
// Story. Processes may be killed, stopped, continued, told to end, started again, and their disks
// wiped; backends may leave and come back as new lives; zones may be evacuated, and the
// configuration changed. Links can be broken: those to clients, gates and backends (Options.AgentLinks), or
// those to core machines (Options.CoreLinks), each direction by itself.
//
// What it promises: a verdict comes from the stand-ins' records alone (Judge); the processes' logs
// are read for the screen, and for picking whom to hit, and for nothing else. All processes are
// ended by their ids when the cluster is closed, and with the caller if that dies.
package meshtest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Ports are alike on all machines.
const (
	controlPort  = 8620
	inboundPort  = 8624
	readyPort    = 8625
	appPort      = 8628
	outboundPort = 8629
	guardPort    = 8699 // held by the cluster itself, so that no other takes its addresses
	firstSpare   = 7600
	lastSpare    = 7615
)

const (
	fewestCores = 3 // of which one may be lost
	beatEvery   = 400 * time.Millisecond
	startFor    = 15 * time.Second // until a mesh must be ready
	host        = "mesh.example"
)

// So many agents may be had: one for each zone, and what a machine bears.
const (
	LeastAgents = len(zones)
	MostAgents  = 60
)

var zones = [...]string{"zone-a", "zone-b", "zone-c"}

// Options say what a cluster is like.
type Options struct {
	Program    string // the built micaline-mesh
	Dir        string // for settings, disks and logs, and empty; "": one that is taken away at the end
	Agents     int    // 3 at least
	Cores      int    // 3 at least; below it: 3
	Rate       float64
	Work       time.Duration // of a backend with a request, on the mean
	AgentLinks bool          // clients, gates and backends are reached through links that can be broken
	Seed       uint64        // of the links' faults
	GiveUp     float64       // share of the tries that a client gives up early
	Persistent bool          // clients use their machine's agent until its process is gone, whatever its readiness says
	Tenants    int           // with keys, whose usage is reported to a platform; 0: requests need no key
	MostBody   int           // bytes of a body, if that is above the usual 32 KB
	CoreLinks  bool          // what processes say to core machines passes links that can be cut; not with AgentLinks
}

// Cluster is a mesh that runs.
type Cluster struct {
	Cores    []*Machine
	Agents   []*Machine
	Operator *Operator
	Platform *Platform // nil without tenants

	opt       Options
	dir       string
	record    *record
	guard     net.Listener
	services  []string
	stop      context.CancelFunc // of the clients
	clients   sync.WaitGroup
	tally     tally
	headless  *Trouble // the core lacks a majority; guarded by the record
	coreLinks coreLinks
}

// terms are tighter than any deployment's, since here nothing is far away; but how long machines have
// after a trouble is the usual time: processes come up and elect as quickly as this machine lets them.
var terms = Terms{InTouch: 3 * time.Second, Drain: 500 * time.Millisecond, Evacuate: time.Second, ApplyWithin: time.Second,
	LossSlack: 200 * time.Millisecond, Grace: grace, EarlySent: grace / 2, GoneWithin: 500 * time.Millisecond, Tries: routeTries, GiveUp: giveUp, Beyond: 500 * time.Millisecond,
	Lease: time.Second, Window: time.Second, UsageDelay: 5 * time.Second}

const grace = 4 * time.Second

// Start starts a mesh, gives it its first configuration, and returns once all agents are ready and
// clients have begun.
func Start(ctx context.Context, o Options) (g *Cluster, err error) {
	if o.Agents < LeastAgents || o.Agents > MostAgents {
		return nil, fmt.Errorf("%d agents: from %d to %d can be had", o.Agents, LeastAgents, MostAgents)
	}
	g = &Cluster{opt: o, dir: o.Dir, record: newRecord(terms)}
	defer func() {
		if err != nil {
			g.Close()
		}
	}()
	if g.dir == "" {
		if g.dir, err = os.MkdirTemp("", "micaline-mesh-try-"); err != nil {
			return g, err
		}
	} else if there, _ := os.ReadDir(g.dir); len(there) > 0 { // disks of another mesh don't make a first start
		return g, fmt.Errorf("%s is not empty", g.dir)
	}
	net, err := g.take()
	if err != nil {
		return g, err
	}
	for i := range max(1, min(o.Agents/len(zones), 3)) {
		g.services = append(g.services, [...]string{"finder", "ledger", "docbox"}[i])
	}
	for i := range max(o.Cores, fewestCores) {
		g.Cores = append(g.Cores, g.machine(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("%s.%d", net, i+1), zones[i%len(zones)], ""))
	}
	for i := range o.Agents {
		service := g.services[i/len(zones)%len(g.services)]
		m := g.machine(fmt.Sprintf("agent-%d", i+1), fmt.Sprintf("%s.%d", net, 11+i), zones[i%len(zones)], service)
		m.Backend = newBackend(g, m)
		g.Agents = append(g.Agents, m)
		if o.AgentLinks {
			if m.Links, err = newAgentLinks(m, o.Seed+uint64(i)); err != nil {
				return g, err
			}
			g.record.story.Broken = true
		}
	}
	g.Operator = newOperator(g)
	if o.Tenants > 0 {
		g.record.story.Tenants = o.Tenants
		if g.Platform, err = newPlatform(g, net); err != nil {
			return g, err
		}
	}
	if o.CoreLinks {
		if err := g.connectCore(); err != nil {
			return g, err
		}
	}
	for _, m := range g.all() {
		if err := m.Start(); err != nil {
			return g, err
		}
	}
	for _, m := range g.all() {
		m.first = false
	}
	for _, m := range g.Agents {
		if err := m.Backend.Start(); err != nil {
			return g, err
		}
	}
	ready, cancel := context.WithTimeout(ctx, startFor)
	defer cancel()
	if err := g.Operator.Change(ready, g.whole()...); err != nil {
		return g, g.say("the first configuration was not taken", err)
	}
	if err := g.Await(ready, "all are ready", func() bool {
		for _, m := range g.Agents {
			if !m.in.Load() || !m.Backend.heard.Load() {
				return false
			}
		}
		return true
	}); err != nil {
		return g, err
	}
	clients, stop := context.WithCancel(context.Background())
	g.stop = stop
	for _, m := range g.Agents {
		g.clients.Add(1)
		go func() {
			defer g.clients.Done()
			newClients(g, m).run(clients)
		}()
	}
	return g, nil
}

// take finds a net of addresses that no other cluster has.
func (g *Cluster) take() (string, error) {
	var err error
	for range 20 {
		at := fmt.Sprintf("127.%d.%d", 1+rand.N(250), rand.N(250))
		if g.guard, err = net.Listen("tcp4", fmt.Sprintf("%s.254:%d", at, guardPort)); err == nil {
			return at, nil
		}
	}
	return "", fmt.Errorf("no addresses to be had in 127/8: %w", err)
}

// tolerated is how many core machines may be lost at once, with their disks.
func (g *Cluster) tolerated() int { return (len(g.Cores) - 1) / 2 }

func (g *Cluster) all() []*Machine { return append(append([]*Machine{}, g.Cores...), g.Agents...) }

// Await returns once something holds, or says that it did not in time, with what the processes said
// last.
func (g *Cluster) Await(ctx context.Context, what string, holds func() bool) error {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return g.say("waited in vain: "+what, ctx.Err())
		}
	}
	return nil
}

// say adds to an error what the processes said last.
func (g *Cluster) say(what string, err error) error {
	for _, m := range g.all() {
		what += "\n" + m.Name + ": " + m.lastWord()
	}
	return fmt.Errorf("%s: %w", what, err)
}

// Leader is the core machine that says that it leads; nil if none does.
func (g *Cluster) Leader() *Machine {
	for _, m := range g.Cores {
		if m.Running() && m.seen().role == "leader" {
			return m
		}
	}
	return nil
}

// Index is the highest index of a configuration that an agent says it has, and how many agents have
// it.
func (g *Cluster) Index() (index uint64, have int) {
	for _, m := range g.Agents {
		switch i := m.seen().index; {
		case !m.Running() || i < index:
		case i > index:
			index, have = i, 1
		default:
			have++
		}
	}
	return index, have
}

// Settle returns once all agents and core machines run and are ready, and there is a leader.
func (g *Cluster) Settle(ctx context.Context) error {
	return g.Await(ctx, "all are well again", func() bool {
		for _, m := range g.all() {
			if !m.Running() || m.Backend != nil && !m.in.Load() {
				return false
			}
		}
		return g.Leader() != nil
	})
}

// Calm returns once all has been well for so long that every rule binds everybody, and so many
// operations were served since, more than were not. That is generous: what is owed is that nothing
// stays broken, not how quick this machine is.
func (g *Cluster) Calm(ctx context.Context, served int) error {
	if err := g.Settle(ctx); err != nil {
		return err
	}
	if err := g.Await(ctx, "a calm time", func() (calm bool) {
		g.record.note(func(now time.Duration, s *Story) { calm = now > s.last()+s.Terms.longest() })
		return calm
	}); err != nil {
		return err
	}
	from := g.Counts()
	return g.Await(ctx, "operations are served", func() bool {
		now := g.Counts()
		well, not := now.Served-from.Served, now.Refused+now.Failed-from.Refused-from.Failed
		return well >= served && well > not
	})
}

// Finish ends the clients, has every core machine read back, and judges.
func (g *Cluster) Finish(ctx context.Context) (*Verdict, error) {
	if err := g.Settle(ctx); err != nil {
		return nil, err
	}
	g.stop()
	g.clients.Wait()
	for _, m := range g.Cores {
		items, err := g.Operator.Read(ctx, m)
		if err != nil {
			items = nil // which is judged
		}
		g.record.note(func(_ time.Duration, s *Story) { s.Read = append(s.Read, items) })
	}
	v := &Verdict{Counts: g.Counts()}
	g.record.note(func(_ time.Duration, s *Story) {
		v.Tries, v.Runs, v.Breaches = len(s.Tries), len(s.Runs), Judge(s)
	})
	return v, nil
}

// Verdict is what came of a cluster.
type Verdict struct {
	Counts
	Tries, Runs int
	Breaches    []Breach
}

// Close ends all that there is. It is safe after any failure, and more than once.
func (g *Cluster) Close() error {
	if g.stop != nil {
		g.stop()
		g.clients.Wait()
	}
	var errs []error
	for _, m := range g.all() {
		if m.Backend != nil {
			m.Backend.close()
		}
		if m.Links != nil {
			m.Links.close()
		}
		m.close()
	}
	g.coreLinks.close()
	if g.Platform != nil {
		g.Platform.close()
	}
	if g.guard != nil {
		g.guard.Close()
	}
	if g.opt.Dir == "" && g.dir != "" {
		errs = append(errs, os.RemoveAll(g.dir))
	}
	return errors.Join(errs...)
}

func (g *Cluster) path(parts ...string) string {
	return filepath.Join(append([]string{g.dir}, parts...)...)
}
