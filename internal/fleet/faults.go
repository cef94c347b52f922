package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin"
	"example.org/micaline/internal/standin/network"
)

// sleep waits, and says whether the day is still on.
func sleep(day context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-day.Done():
		return false
	}
}

// fail plays a fault from its beginning to its end. When the day ends before, it is undone.
func (f *fleet) fail(day context.Context, ft *scenario.Fault, rng *rand.Rand) {
	// No two seeds have things happen at quite the same time; what is said to happen to sites together does.
	when := rng
	if ft.Zone != "" {
		when = rand.New(rand.NewPCG(f.Seed, uint64(ft.At)))
	}
	if !sleep(day, time.Duration(float64(ft.At)*(0.95+0.1*when.Float64()))) {
		return
	}
	for n := range max(1, ft.Times) {
		if n > 0 && !sleep(day, ft.Pause.D()) {
			return
		}
		f.failOnce(day, ft, rng)
	}
}

func (f *fleet) failOnce(day context.Context, ft *scenario.Fault, rng *rand.Rand) {
	what := scenario.Describe(ft.Kind)
	f.mu.Lock()
	f.active = append(f.active, what)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		for i, a := range f.active {
			if a == what {
				f.active = append(f.active[:i:i], f.active[i+1:]...)
				break
			}
		}
		f.mu.Unlock()
	}()
	switch {
	case ft.HitsAll():
		f.failAll(day, ft)
	case ft.HitsAgents():
		hit := f.agents
		if ft.Zone != "" {
			hit = slices.DeleteFunc(slices.Clone(hit), func(a *proc) bool { return f.zone(a) != ft.Zone })
		}
		each(day, ft, hit, rng, func(a *proc, rng *rand.Rand) { f.failAgent(day, ft, a, rng) })
	default:
		hit := f.backends
		if ft.Zone != "" {
			hit = slices.DeleteFunc(slices.Clone(hit), func(b *backend) bool { return b.now.Config().Zone != ft.Zone })
		}
		each(day, ft, hit, rng, func(b *backend, rng *rand.Rand) { f.failBackend(day, ft, b, rng) })
	}
}

// each hits as many of those there are as a fault says, one after the other or all at once, and waits for the ends.
func each[T any](day context.Context, ft *scenario.Fault, all []T, rng *rand.Rand, hit func(T, *rand.Rand)) {
	count := ft.Count
	if ft.Share > 0 {
		count = max(1, int(math.Round(ft.Share*float64(len(all)))))
	}
	var under sync.WaitGroup
	defer under.Wait()
	for i, at := range rng.Perm(len(all))[:count] {
		if i > 0 && ft.Every > 0 && !sleep(day, ft.Every.D()) {
			return
		}
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		under.Go(func() { hit(all[at], own) })
	}
}

// failAll plays a fault of what all share.
func (f *fleet) failAll(day context.Context, ft *scenario.Fault) {
	lists := map[string]standin.ListTrouble{
		"list-down": standin.ListsRefuse, "list-silent": standin.ListsSilent, "list-garbled": standin.ListsGarbled,
	}
	all := func(change func(*standin.Clients)) {
		for _, a := range f.agents {
			change(a.clients)
		}
	}
	switch ft.Kind {
	case "site-cut":
		f.cut(day, ft)
	case "list-restart":
		f.discovery.Restart()
	case "list-late":
		f.mu.Lock()
		f.late += time.Duration(ft.Size * float64(time.Second))
		f.mu.Unlock()
		sleep(day, ft.For.D())
		f.mu.Lock()
		f.late -= time.Duration(ft.Size * float64(time.Second))
		f.mu.Unlock()
	case "flood":
		all(func(c *standin.Clients) { c.SetFlood(ft.Account, ft.Size) })
		sleep(day, ft.For.D())
		all(func(c *standin.Clients) { c.SetFlood(ft.Account, 1) })
	case "impatience":
		all(func(c *standin.Clients) { c.SetHangUp(ft.Size) })
		sleep(day, ft.For.D())
		all(func(c *standin.Clients) { c.SetHangUp(f.Scenario.Clients.HangUp) })
	case "rude":
		all(func(c *standin.Clients) { c.SetRude(ft.Size) })
		sleep(day, ft.For.D())
		all(func(c *standin.Clients) { c.SetRude(f.Scenario.Clients.Rude) })
	default:
		f.discovery.SetTrouble(lists[ft.Kind])
		sleep(day, ft.For.D())
		f.discovery.SetTrouble(standin.ListsWell)
	}
}

// failBackend plays a fault of one backend.
func (f *fleet) failBackend(day context.Context, ft *scenario.Fault, b *backend, rng *rand.Rand) {
	f.mu.Lock()
	now := b.now
	f.mu.Unlock()
	trouble := func(set func(t *standin.Trouble, size float64)) {
		now.SetTrouble(func(t *standin.Trouble) { set(t, ft.Size) })
		sleep(day, ft.For.D())
		now.SetTrouble(func(t *standin.Trouble) { set(t, 0) })
	}
	switch ft.Kind {
	case "hang":
		now.SetTrouble(func(t *standin.Trouble) { t.Hang = true })
		sleep(day, ft.For.D())
		now.SetTrouble(func(t *standin.Trouble) { t.Hang = false })
	case "swallow":
		trouble(func(t *standin.Trouble, size float64) { t.Swallow = size })
	case "errors":
		trouble(func(t *standin.Trouble, size float64) { t.Errors = size })
	case "spoil":
		trouble(func(t *standin.Trouble, size float64) { t.Spoil = size })
	case "rejects":
		trouble(func(t *standin.Trouble, size float64) { t.Rejects = size })
	case "neighbour":
		trouble(func(t *standin.Trouble, size float64) { t.Taken = size })
	case "restart":
		now.Stop()
		if sleep(day, ft.For.D()) {
			f.restart(b, "Ready", rng)
		}
	case "unlist":
		f.list(b, "Gone", rng)
		if sleep(day, ft.For.D()) {
			f.list(b, "Ready", rng)
		}
	case "move":
		now.Stop()
		f.list(b, "Gone", rng)
		if !sleep(day, ft.For.D()) {
			return
		}
		addr, err := f.Network.FreeAddr()
		if err == nil {
			err = f.occupy(b, now.Config(), addr, true)
		}
		if err != nil {
			f.end(err)
			return
		}
		f.list(b, "Ready", rng)
	case "hold":
		f.hold(day, ft, b, rng)
	case "drain":
		now.SetDraining(true)
		f.list(b, "Terminating", rng)
		if !sleep(day, ft.For.D()) {
			return
		}
		now.Stop()
		f.list(b, "Gone", rng)
		if sleep(day, 500*time.Millisecond) {
			f.restart(b, "Ready", rng)
		}
	case "replace":
		now.Stop()
		f.list(b, "Gone", rng)
		if !sleep(day, ft.For.D()) {
			return
		}
		if err := f.occupy(b, now.Config(), now.Addr(), true); err != nil {
			f.end(err)
			return
		}
		f.list(b, "Ready", rng)
	default:
		f.failLink(day, ft, now, rng)
	}
}

func (f *fleet) restart(b *backend, phase string, rng *rand.Rand) {
	if b.now.Fallen() {
		return
	}
	if err := f.start(b, true); err != nil {
		f.end(err)
		return
	}
	f.list(b, phase, rng)
}

// end notes why the play can't go on as it should.
func (f *fleet) end(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure == nil {
		f.failure = err
	}
}

// holdsUp are the faults after which what arrives may have been on its way for long.
var holdsUp = map[string]bool{"vanish": true, "loss": true, "delay": true, "trickle": true, "stall-requests": true, "stall-answers": true}

// failLink plays a fault of the network to a backend.
func (f *fleet) failLink(day context.Context, ft *scenario.Fault, b *standin.Backend, rng *rand.Rand) {
	addr := b.Addr()
	dice := &dice{rng: rng}
	change := map[string]func(*network.Conditions){
		"vanish":         func(c *network.Conditions) { c.Cut = true },
		"loss":           func(c *network.Conditions) { c.Loss = ft.Size },
		"refuse":         func(c *network.Conditions) { c.Refuse = true },
		"delay":          func(c *network.Conditions) { c.Delay += time.Duration(ft.Size * float64(time.Millisecond)) },
		"trickle":        func(c *network.Conditions) { c.Trickle = time.Duration(ft.Size * float64(time.Millisecond)) },
		"stall-requests": func(c *network.Conditions) { c.StallUp = true },
		"stall-answers":  func(c *network.Conditions) { c.StallDown = true },
		"reset-requests": dice.breaks(true, false, ft.Size),
		"reset-answers":  dice.breaks(false, false, ft.Size),
		"half-close":     dice.breaks(false, true, ft.Size),
	}[ft.Kind]
	if holdsUp[ft.Kind] {
		f.log.Add(rules.Record{Kind: rules.Troubled, Backend: b.Name()})
		defer f.log.Add(rules.Record{Kind: rules.Mended, Backend: b.Name()})
	}
	undo := f.Network.Apply(network.Rule{Match: func(_, to string) bool { return to == addr }, Change: change})
	sleep(day, ft.For.D())
	undo()
	if ft.Kind == "loss" {
		sleep(day, network.LastRetransmit)
	}
}

// dice decides which writes break a connection.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// breaks has a share of the writes in one direction break their connection: on the last byte, behind it, or anywhere.
func (d *dice) breaks(up, half bool, share float64) func(*network.Conditions) {
	return func(c *network.Conditions) {
		before := c.Break
		c.Break = func(isUp bool, size int) (network.Ending, bool) {
			if before != nil {
				if e, ok := before(isUp, size); ok {
					return e, true
				}
			}
			if isUp != up {
				return network.Ending{}, false
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.rng.Float64() >= share {
				return network.Ending{}, false
			}
			e := network.Ending{Half: half}
			switch d.rng.IntN(3) {
			case 0:
				e.After = size
			case 1:
				e.After = size - 1
			default:
				e.After = d.rng.IntN(size)
			}
			return e, true
		}
	}
}

// backAfter is how long an agent is gone that was killed by name.
const backAfter = 500 * time.Millisecond

// kill kills the agents that Options.Kill names.
func (f *fleet) kill(day context.Context) {
	var killing sync.WaitGroup
	defer killing.Wait()
	for {
		select {
		case name := <-f.Kill:
			for _, a := range f.agents {
				if a.name == name {
					killing.Go(func() {
						f.failAgent(day, &scenario.Fault{Kind: "kill-agent", For: scenario.Duration(backAfter)}, a, nil)
					})
				}
			}
		case <-day.Done():
			return
		}
	}
}

// failAgent plays a fault of one agent.
func (f *fleet) failAgent(day context.Context, ft *scenario.Fault, a *proc, rng *rand.Rand) {
	f.mu.Lock()
	p := a.process
	f.mu.Unlock()
	again := func() {
		if err := f.startAgent(a); err != nil {
			f.end(fmt.Errorf("starting %s again: %w", a.name, err))
		}
	}
	switch ft.Kind {
	case "kill-agent":
		f.log.Add(rules.Record{Kind: rules.Killed, Agent: a.name})
		p.Kill()
		f.log.Add(rules.Record{Kind: rules.Killed, Agent: a.name}) // what it had taken until now went with it
		f.dying.Go(func() { <-p.Ended() })
		sleep(day, ft.For.D())
		again()
	case "freeze-agent":
		if f.Spawner != nil || ft.For.D() > f.Lag { // its clients' requests are as if they were held up on their way
			f.log.Add(rules.Record{Kind: rules.Troubled, Agent: a.name})
			defer f.log.Add(rules.Record{Kind: rules.Mended, Agent: a.name})
		}
		if !p.Freeze() {
			f.end(errors.New("freeze-agent is for virtual time, and for processes of their own"))
			return
		}
		sleep(day, ft.For.D())
		p.Thaw()
	case "restart-agent":
		p.Terminate()
		// The platform stops the application with its agent: it opens no new connection soon after.
		sleep(day, 200*time.Millisecond+time.Duration(rng.Int64N(int64(200*time.Millisecond))))
		a.clients.SetConnecting(false)
		<-p.Ended()
		sleep(day, ft.For.D())
		again()
		a.clients.SetConnecting(true)
	case "upgrade-agent":
		f.upgrade(a)
	case "drain-agent":
		f.drainAgent(day, ft, a)
	case "reload-agent":
		config, err := f.configure(a)
		if err == nil {
			err = p.Reload(day, config)
		}
		if err != nil {
			f.end(err)
		}
	case "client-reset":
		f.log.Add(rules.Record{Kind: rules.Troubled, Agent: a.name})
		dice := &dice{rng: rng}
		undo := f.Network.Apply(network.Rule{
			Match: func(_, to string) bool { return to == a.addr },
			Change: func(c *network.Conditions) {
				dice.breaks(true, false, ft.Size/2)(c)
				dice.breaks(false, false, ft.Size/2)(c)
			},
		})
		sleep(day, ft.For.D())
		undo()
		f.log.Add(rules.Record{Kind: rules.Mended, Agent: a.name})
	}
}
