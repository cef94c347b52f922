// Package fleet plays a scenario: it sets up backends, discovery, agents and clients on a network, has them go on
// until the day is over, makes go wrong what the scenario says, and reports what came of it.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/baseline"
	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin"
	"example.org/micaline/internal/standin/network"
	"example.org/micaline/policy"
)

// Front is what stands between clients and backends: the agent, or what it is compared with. It serves until the
// context ends, then finishes what it has taken and returns.
type Front func(ctx context.Context, cfg *agent.Config, reloads <-chan *agent.Config, listener net.Listener, network agent.Network, log *slog.Logger) error

// Options say what to play.
type Options struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Network  *network.Network
	Front    Front
	Lag      time.Duration       // by which the machine may see things late, beside what the scenario's network adds
	Log      *slog.Logger        // of the agents
	Tap      func(*rules.Record) // sees all records, if set
	Watch    func(*Snapshot)     // is called each second, if set
	Kill     <-chan string       // names of agents that are to be killed, and are back soon after
	Spawner  Spawner             // has agents be processes of the machine, on loopback; nil: they run in this one
}

// fleet is one play.
type fleet struct {
	Options
	log       *standin.Log
	discovery *standin.Discovery
	peers     *network.Datagrams
	outer     *outer                   // nil: agents run in this process
	keys      map[string]*standin.Keys // by class and group

	mu       sync.Mutex
	backends []*backend
	agents   []*proc
	late     time.Duration // beside the usual notice
	names    int           // of backends that were ever there
	active   []string      // faults, by what they do
	failure  error
	took     sample         // of all that were served
	dying    sync.WaitGroup // processes that are killed and have not noticed
}

// backend is a place in the fleet, with the backend that is there now.
type backend struct {
	now      *standin.Backend
	started  time.Time
	listedAt time.Time // when the last change of it is listed: changes keep their order
	past     []*standin.Backend
}

// proc is an agent's place, with its present process.
type proc struct {
	name    string
	addr    string
	clients *standin.Clients
	rank    int

	process  Process
	platform *platform    // nil: its processes open their sockets themselves
	operated *agent.Agent // for its operators; nil: they can't reach it
}

// Play plays a scenario to its end, or until the context ends.
func Play(ctx context.Context, o Options) (*Report, error) {
	s := o.Scenario
	f := &fleet{Options: o, keys: map[string]*standin.Keys{}}
	f.took.rng = rand.New(rand.NewPCG(o.Seed, 1))
	f.log = standin.NewLog(terms(s, o.Lag), o.Tap)
	f.peers = network.NewDatagrams(s.Limits.PeerDelay.D(), s.Limits.PeerLoss, o.Seed)
	f.discovery = standin.NewDiscovery(o.Network, f.log, o.Scenario.Discovery.Lines)
	defer f.discovery.Close()
	if o.Spawner != nil {
		f.outer = newOuter(o.Network)
		defer f.outer.close()
	}
	f.discovery.Via = f.route
	if o.Network.InMemory() {
		defer o.Network.Apply(network.Rule{
			Match: func(string, string) bool { return true },
			Change: func(c *network.Conditions) {
				c.Delay, c.Jitter = c.Delay+s.Net.Delay.D(), c.Jitter+s.Net.Jitter.D()
			},
		})()
	}
	defer func() {
		for _, b := range f.backends {
			b.now.Stop()
		}
	}()
	if err := f.startBackends(); err != nil {
		return nil, err
	}
	if err := f.startAgents(); err != nil {
		return nil, err
	}

	// The day.
	day, over := context.WithTimeout(ctx, s.For.D())
	defer over()
	began := time.Now()
	var asking, failing sync.WaitGroup
	for _, a := range f.agents {
		a.clients.SetRate(s.Rate(0) * f.share(a))
		asking.Go(func() { a.clients.Run(day) })
	}
	faults := slices.Clone(s.Faults)
	for i := range faults {
		rng := rand.New(rand.NewPCG(o.Seed, uint64(1000+i)))
		failing.Go(func() { f.fail(day, &faults[i], rng) })
	}
	failing.Go(func() { f.kill(day) })
	f.watch(day, began)
	asking.Wait()
	failing.Wait()

	for _, a := range f.agents {
		a.process.Terminate()
	}
	for _, a := range f.agents {
		if err := awaitEnd(a.process); err != nil {
			f.end(fmt.Errorf("agent %s: %w", a.name, err))
		}
		if a.platform != nil {
			a.platform.close()
		}
	}
	f.dying.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil {
		return nil, f.failure
	}
	return f.report(time.Since(began)), ctx.Err()
}

// By the protocol what discovery has to tell counts as told after toldWithin; where it must be asked, after four times
// the time that an agent may go without asking.
const (
	toldWithin = 6 * time.Second
	mustAskIn  = 10 * time.Second
)

// terms are the rules' figures for a scenario.
func terms(s *scenario.Scenario, lag time.Duration) rules.Terms {
	t := rules.Terms{
		Classes: map[string]rules.Class{}, Slack: s.Rules.Slack.D(), DrainGrace: s.Rules.DrainGrace.D(), ToldWithin: toldWithin,
		OverloadFactor: s.Rules.OverloadFactor, OverloadFor: s.Rules.OverloadFor.D(),
		Lag: 2*(s.Net.Delay+s.Net.Jitter).D() + lag, Longest: 30 * time.Second,
	}
	if s.Discovery.Mode == "ask" {
		t.ToldWithin = 4 * mustAskIn
	}
	for _, c := range s.Classes {
		t.Classes[c.Name] = classRules(c)
		t.Longest = max(t.Longest, 4*c.Deadline.D())
	}
	return t
}

func classRules(c scenario.Class) rules.Class {
	return rules.Class{
		Effect: map[string]rules.Effect{"safe": rules.Safe, "keyed": rules.Keyed, "unsafe": rules.Unsafe}[c.Effect],
		Scope:  map[string]rules.Scope{"all": rules.All, "zone": rules.Zone, "cell": rules.Cell}[c.Scope],
		Window: c.Window.D(),
	}
}

var reportFields = []string{"errors_per_s", "recent_ms", "throughput", "outstanding"}

func (f *fleet) startBackends() error {
	s := f.Scenario
	cell := 0
	for _, bs := range s.Backends {
		for i := range bs.Count {
			if i%bs.CellSize == 0 {
				cell++
			}
			addr, err := f.Network.FreeAddr()
			if err != nil {
				return err
			}
			cfg := standin.BackendConfig{
				Zone: bs.Zone, Kind: bs.Kind, Cell: cell, Cores: bs.Cores, Speed: bs.Speed, Slots: bs.Slots, Room: bs.Room,
				Connections: bs.Connections, Handshake: bs.Handshake.D(), ProbeWork: bs.Probe.D(), IdleClose: bs.IdleClose.D(),
				ErrorRate: bs.ErrorRate, ColdFrom: s.Rules.ColdFrom, WarmAfter: s.Rules.WarmAfter.D(),
				OverloadFactor: s.Rules.OverloadFactor, OverloadFor: s.Rules.OverloadFor.D(), Memory: f.memory(bs.Zone, cell),
			}
			if s.Limits.Reports != "none" {
				cfg.Reports, cfg.Inline = reportFields, s.Limits.Reports == "answers"
			}
			b := &backend{}
			f.backends = append(f.backends, b)
			if err := f.occupy(b, cfg, addr, false); err != nil {
				return err
			}
			f.discovery.Set(f.member(b, "Ready"))
		}
	}
	return nil
}

// memory returns the memory of keys of the backends of a zone and cell, and how long they are known in it.
func (f *fleet) memory(zone string, cell int) standin.Memory {
	return func(class string) (*standin.Keys, time.Duration) {
		i := slices.IndexFunc(f.Scenario.Classes, func(c scenario.Class) bool { return c.Name == class })
		if i < 0 {
			return standin.NewKeys(), 0
		}
		c := f.Scenario.Classes[i]
		group := class
		switch c.Scope {
		case "zone":
			group += "/" + zone
		case "cell":
			group += fmt.Sprintf("/%s/%d", zone, cell)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		keys := f.keys[group]
		if keys == nil {
			keys = standin.NewKeys()
			f.keys[group] = keys
		}
		// Each time limit is longer by the slack, this one too: a repeat that is in time by the rule is one that is dropped.
		return keys, c.Window.D() + f.Scenario.Rules.Slack.D()
	}
}

// occupy puts a new backend at a place and starts it.
func (f *fleet) occupy(b *backend, cfg standin.BackendConfig, addr string, cold bool) error {
	f.mu.Lock()
	f.names++
	cfg.Name = fmt.Sprintf("b%02d-%s", f.names, cfg.Kind)
	if b.now != nil {
		b.past = append(b.past, b.now)
	}
	b.now = standin.NewBackend(cfg, addr, f.Network, f.log, f.Seed+uint64(f.names))
	f.mu.Unlock()
	return f.start(b, cold)
}

func (f *fleet) start(b *backend, cold bool) error {
	started := time.Time{}
	if cold {
		started = time.Now()
	}
	f.mu.Lock()
	b.started = started
	f.mu.Unlock()
	return b.now.Start(cold)
}

// member is what discovery is to list of a place.
func (f *fleet) member(b *backend, phase string) standin.Member {
	cfg := b.now.Config()
	m := standin.Member{
		ID: cfg.Name, Addr: b.now.Addr(), Zone: cfg.Zone, Kind: cfg.Kind, Cell: cfg.Cell, Phase: phase, Size: float64(cfg.Cores),
		Process: b.now.Process(),
	}
	if !b.started.IsZero() {
		m.UpSince = float64(b.started.UnixMicro()) / 1000
	}
	return m
}

// list has discovery tell of a place, as late as it does.
func (f *fleet) list(b *backend, phase string, rng *rand.Rand) {
	m := f.member(b, phase)
	f.mu.Lock()
	notice := f.Scenario.Discovery.Notice.D() + f.late
	at := time.Now().Add(time.Duration(float64(notice) * (0.75 + rng.Float64()/2)))
	if !at.After(b.listedAt) {
		at = b.listedAt.Add(time.Millisecond)
	}
	b.listedAt = at
	f.mu.Unlock()
	time.AfterFunc(time.Until(at), func() { f.discovery.Set(m) })
}

func (f *fleet) startAgents() error {
	s := f.Scenario
	for i := range s.Agents {
		addr, err := f.Network.FreeAddr()
		if err != nil {
			return err
		}
		a := &proc{name: fmt.Sprintf("a%d", i+1), addr: addr, rank: i}
		if slices.ContainsFunc(s.Faults, func(ft scenario.Fault) bool { return ft.Kind == "upgrade-agent" }) {
			if a.platform, err = newPlatform(f.Network, addr); err != nil {
				return err
			}
		}
		f.agents = append(f.agents, a)
		if f.outer != nil && s.Limits.Peers {
			if err := f.outer.join(f.Network, a.name); err != nil {
				return err
			}
		}
	}
	for i, a := range f.agents {
		if err := f.startAgent(a); err != nil {
			return err
		}
		cfg := standin.ClientConfig{
			Name: f.clientsName(i), Doors: f.doors(i), Retries: s.Clients.Retries, Backoff: s.Clients.Backoff.D(),
			TryShare: s.Clients.TryShare, Honour: s.Clients.Honour, HangUp: s.Clients.HangUp, Rude: s.Clients.Rude,
			Slack: s.Rules.Slack.D() + f.Lag + 2*(s.Net.Delay+s.Net.Jitter).D(), Most: s.Limits.Sockets / 4,
		}
		for _, c := range s.Classes {
			cfg.Classes = append(cfg.Classes, standin.Class{
				Name: c.Name, Share: c.Share, Aim: c.Aim.D(), Deadline: c.Deadline.D(), Work: c.Work.D(), Spread: c.Spread,
				Body: c.Body, Answer: c.Answer, Class: classRules(c),
			})
		}
		for _, c := range s.Accounts {
			cfg.Accounts = append(cfg.Accounts, standin.Account{Name: c.Name, Share: c.Share})
		}
		a.clients = standin.NewClients(cfg, f.Network, f.log, f.Seed*1000+uint64(i))
	}
	return nil
}

// startAgent starts a process at an agent's place.
func (f *fleet) startAgent(a *proc) error {
	config, err := f.configure(a)
	if err != nil {
		return err
	}
	f.mu.Lock()
	a.operated = nil
	f.mu.Unlock()
	var p Process
	if f.Spawner != nil {
		p, err = f.Spawner.Spawn(a.name, config)
	} else {
		p, err = f.startInner(a, config)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	a.process = p
	f.mu.Unlock()
	return nil
}

// configure has discovery serve an agent, and returns its configuration.
func (f *fleet) configure(a *proc) ([]byte, error) {
	discovery, err := f.discovery.Serve(a.name)
	if err != nil {
		return nil, err
	}
	return f.configuration(a, f.route(a.name, discovery)), nil
}

// talker is an agent's network with a way to other agents.
type talker struct {
	network.Reached
	peers *network.Datagrams
}

func (t talker) ListenPacket(addr netip.AddrPort) (agent.PacketConn, error) {
	return t.peers.Listen(addr), nil
}

// peerAddr is where an agent hears from others.
func peerAddr(rank int) string { return fmt.Sprintf("127.255.%d.%d:7946", 1+rank/250, 1+rank%250) }

func (f *fleet) clientsName(i int) string { return fmt.Sprintf("c%d", i+1) }

// doors are the agents that the clients of one ask: their own, and where they know of others the next ones.
func (f *fleet) doors(own int) (doors []standin.Door) {
	for i := range f.agents {
		a := f.agents[(own+i)%len(f.agents)]
		if doors = append(doors, standin.Door{Agent: a.name, Addr: a.addr}); !f.Scenario.Clients.Elsewhere {
			break
		}
	}
	return doors
}

// configuration is the text that the platform would write for an agent.
func (f *fleet) configuration(a *proc, discovery string) []byte {
	s, seed, known := f.Scenario, f.Seed, f.discovery.Known(a.name)
	listen, all, peers := f.talk(a)
	type object = map[string]any
	ms := func(d scenario.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	var categories, accounts []object
	var zones, kinds []string
	for _, c := range s.Classes {
		category := object{
			"name": c.Name, "aim": ms(c.Aim), "deadline": ms(c.Deadline), "credit": c.Worth, "lateWorth": 0, "stream": false,
			"effect":     map[string]string{"safe": "pure", "keyed": "token", "unsafe": "side_effect"}[c.Effect],
			"dedupScope": c.Scope, "repeatWindow": ms(c.Window),
		}
		categories = append(categories, category)
	}
	for _, c := range s.Accounts {
		accounts = append(accounts, object{"name": c.Name, "portion": c.Share})
	}
	idle := s.Backends[0].IdleClose
	for _, b := range s.Backends {
		idle = min(idle, b.IdleClose)
		if !slices.Contains(zones, b.Zone) {
			zones = append(zones, b.Zone)
		}
		if !slices.Contains(kinds, b.Kind) {
			kinds = append(kinds, b.Kind)
		}
	}
	text, _ := json.Marshal(object{ // of values that all have a JSON form
		"name": a.name, "listen": a.addr, "discovery": discovery, "seed": fmt.Sprintf("%x", seed*1000+uint64(a.rank)),
		"limits": object{"cores": 1, "memory_mb": s.Limits.MemoryMB, "sockets": s.Limits.Sockets},
		"known":  json.RawMessage(known),
		"peers":  peers, "peer_listen": listen, "peers_all": all,
		"settings": object{
			"categories": categories, "accounts": accounts, "localities": zones, "skus": kinds,
			"replicasOfMe": s.Agents, "rank": a.rank, "tick": 5,
			"zone":      a.rank % len(zones), // agents are spread over the zones
			"discovery": map[string]string{"push": "automatic", "ask": "subscribe"}[s.Discovery.Mode],
			"report": object{
				"fields": reportFields, "how": map[string]string{"probe": "on_probe", "answers": "inline", "none": "off"}[s.Limits.Reports],
			},
			"limits": object{
				"maxAttempts": s.Limits.MaxAttempts, "cancel": true, "probes": s.Limits.Probes, "secondCopies": s.Limits.SecondCopies, "peerMessages": s.Limits.Peers,
				"connectTimeout": ms(s.Limits.ConnectTimeout), "idleClose": ms(idle),
			},
			"fees": object{"probe": s.Limits.ProbePrice, "crossZone": s.Limits.CrossPrice},
			"rules": object{
				"coldFrom": s.Rules.ColdFrom, "warmAfter": ms(s.Rules.WarmAfter), "overloadFactor": s.Rules.OverloadFactor,
				"drainGrace": ms(s.Rules.DrainGrace), "mustAskIn": mustAskIn.Milliseconds(),
			},
		},
	})
	return text
}

// Baseline is the agent with one of package baseline's choices for its decisions.
func Baseline(name string) Front {
	return func(ctx context.Context, cfg *agent.Config, reloads <-chan *agent.Config, l net.Listener, n agent.Network, log *slog.Logger) error {
		plain := *cfg
		plain.NewDecider = func(s policy.Settings, seed uint64) (agent.Decider, error) { return baseline.New(name, s, seed) }
		return agent.Serve(ctx, &plain, reloads, l, n, log)
	}
}
