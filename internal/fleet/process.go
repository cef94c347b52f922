package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/standin/network"
)

// Process is one process of an agent: in this one, or one of the machine's.
type Process interface {
	Terminate() // tells it to end
	Kill()      // ends it without a word, as the death of a process does
	// Freeze keeps it from running until Thaw; false: that is not to be had.
	Freeze() bool
	Thaw()
	// Reload has it read a configuration again that moves it to another discovery.
	Reload(day context.Context, config []byte) error
	Ended() <-chan struct{}
}

// Spawner starts agents as processes of the machine.
type Spawner interface {
	Spawn(name string, config []byte) (Process, error)
}

// inner is an agent in this process.
type inner struct {
	stop    context.CancelFunc
	ended   chan struct{}
	dialer  *network.Dialer
	door    *door
	cpu     *network.Processor // nil: it runs on the machine's
	reloads chan *agent.Config
}

func (p *inner) Terminate() { p.stop() }

func (p *inner) Kill() {
	p.stop() // first: to lose its listener is no failure of a process that is to end
	p.door.slam()
	p.dialer.Kill()
}

func (p *inner) Freeze() bool {
	if p.cpu != nil {
		p.cpu.Take()
	}
	return p.cpu != nil
}

func (p *inner) Thaw() { p.cpu.Give() }

func (p *inner) Reload(day context.Context, config []byte) error {
	cfg, err := agent.ParseConfig(config)
	if err != nil {
		return err
	}
	select {
	case p.reloads <- cfg:
	case <-p.ended:
	case <-day.Done():
	}
	return nil
}

func (p *inner) Ended() <-chan struct{} { return p.ended }

// startInner starts an agent in this process.
func (f *fleet) startInner(a *proc, config []byte) (*inner, error) {
	cfg, err := agent.ParseConfig(config)
	if err != nil {
		return nil, err
	}
	var listener net.Listener
	if a.platform != nil {
		listener, cfg.SharedSocket, cfg.Handover = a.platform.join(), true, a.platform
	} else if listener, err = f.Network.ListenAt(a.addr); err != nil {
		return nil, err
	}
	cfg.Sites.On = f.Scenario.Limits.Sites
	cfg.OnStart = func(started *agent.Agent) {
		f.mu.Lock()
		a.operated = started
		f.mu.Unlock()
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &inner{
		stop: stop, ended: make(chan struct{}), dialer: f.Network.From(a.name), reloads: make(chan *agent.Config),
		door: &door{Listener: listener, conns: map[net.Conn]struct{}{}},
	}
	door := net.Listener(p.door)
	var reach agent.Network = p.dialer
	if f.Network.InMemory() { // processes on loopback run on the machine's processors
		p.cpu = &network.Processor{}
		runs := network.Reached{Dialer: p.dialer, Processor: p.cpu}
		reach, door = runs, network.Listener{Listener: door, Processor: p.cpu}
		if f.Scenario.Limits.Peers {
			reach = talker{runs, f.peers}
		}
	}
	go func() {
		defer close(p.ended)
		if err := f.Front(ctx, cfg, p.reloads, door, reach, f.Log.With("agent", a.name)); err != nil && ctx.Err() == nil {
			f.end(fmt.Errorf("agent %s: %w", a.name, err))
		}
	}()
	return p, nil
}

// --- Agents that are processes of the machine ---

// outer are the links of agents that are processes of the machine: each reaches everything through a relay of its own.
type outer struct {
	relays map[[2]string]*network.Relay // by agent and address
	post   *network.Post
	boxes  map[string]netip.AddrPort // by agent: where it sends datagrams
	ears   map[string]netip.AddrPort // and where it hears them
}

// route is the address at which an agent reaches another address.
func (f *fleet) route(agent, to string) string {
	if f.outer == nil {
		return to
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := [2]string{agent, to}
	if r := f.outer.relays[key]; r != nil {
		return r.Addr()
	}
	r, err := f.Network.Relay(agent, to)
	if err != nil {
		if f.failure == nil {
			f.failure = err
		}
		return to
	}
	f.outer.relays[key] = r
	return r.Addr()
}

func newOuter(n *network.Network) *outer {
	return &outer{
		relays: map[[2]string]*network.Relay{}, post: n.NewPost(), boxes: map[string]netip.AddrPort{}, ears: map[string]netip.AddrPort{},
	}
}

// join gives an agent its place among those that talk.
func (o *outer) join(n *network.Network, name string) error {
	addr, err := n.FreeAddr()
	if err != nil {
		return err
	}
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	o.ears[name] = at
	o.boxes[name], err = o.post.Join(name, at)
	return err
}

func (o *outer) close() {
	for _, r := range o.relays {
		r.Close()
	}
	o.post.Close()
}

// endGrace is how long a process has to end at the end of a day.
const endGrace = 15 * time.Second

var errStays = errors.New("a process goes on long after it was told to end")

// awaitEnd waits for the end of a process that was told to.
func awaitEnd(p Process) error {
	select {
	case <-p.Ended():
		return nil
	case <-time.After(endGrace):
		p.Kill()
		return errStays
	}
}

// talk are the addresses through which an agent and the others tell one another things.
func (f *fleet) talk(a *proc) (listen, all string, from []string) {
	if f.outer == nil {
		for rank := range f.Scenario.Agents {
			from = append(from, peerAddr(rank))
		}
		return peerAddr(a.rank), network.Everybody.String(), from
	}
	for _, o := range f.agents {
		if o != a {
			from = append(from, f.outer.boxes[o.name].String())
		}
	}
	return f.outer.ears[a.name].String(), f.outer.boxes[a.name].String(), from
}
