package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/scenario"
)

// What operators' staff do to a fleet that runs, and what the platform does at their word.

const (
	readyWithin = 6 * time.Second         // a new process says yes
	killedAfter = 3700 * time.Millisecond // of being told to end, at the soonest
	frontGoesOn = 200 * time.Millisecond  // with new connections after the first no
	leftAlone   = 4 * time.Second         // after the call nothing that is idle is held
	look        = 10 * time.Millisecond
)

// operated is the agent that serves at a place; nil where nobody can operate it.
func (f *fleet) operated(a *proc) *agent.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.operated
}

// await looks until something is met, and says whether that was in time.
func await(within time.Duration, met func() bool) bool {
	for end := time.Now().Add(within); !met(); time.Sleep(look) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// upgrade starts a process beside the one that serves, and ends that one once the new one is ready.
func (f *fleet) upgrade(a *proc) {
	f.mu.Lock()
	old := a.process
	f.mu.Unlock()
	if err := f.startAgent(a); err != nil {
		f.end(fmt.Errorf("starting %s beside itself: %w", a.name, err))
		return
	}
	if !await(readyWithin, func() bool { o := f.operated(a); return o != nil && o.Ready() }) {
		f.end(fmt.Errorf("%s: the new process is not ready within %v", a.name, readyWithin))
		return
	}
	old.Terminate()
	select {
	case <-old.Ended():
	case <-time.After(killedAfter):
		f.log.Add(rules.Record{Kind: rules.Killed, Agent: a.name})
		old.Kill()
		<-old.Ended()
	}
}

// hold has the operators of all agents take a backend out, restart it and put it back.
func (f *fleet) hold(day context.Context, ft *scenario.Fault, b *backend, rng *rand.Rand) {
	f.mu.Lock()
	name := b.now.Name()
	f.mu.Unlock()
	call := func(out bool) {
		for _, a := range f.agents {
			if o := f.operated(a); o != nil {
				if !out {
					f.log.Add(rules.Record{Kind: rules.Let, Agent: a.name, Backend: name})
				}
				known, err := o.Ban(context.Background(), name, out)
				if out && known && err == nil {
					f.log.Add(rules.Record{Kind: rules.Barred, Agent: a.name, Backend: name})
				}
			}
		}
	}
	call(true)
	if sleep(day, f.Scenario.Rules.DrainGrace.D()+f.Scenario.Limits.ConnectTimeout.D()) {
		b.now.Stop()
		if sleep(day, ft.For.D()/4) {
			f.restart(b, "Ready", rng)
			sleep(day, ft.For.D()*3/4)
		}
	}
	call(false)
}

// drainAgent has operators drain an agent, whose front sends nobody to it once it has said no.
func (f *fleet) drainAgent(day context.Context, ft *scenario.Fault, a *proc) {
	o := f.operated(a)
	if o == nil {
		return
	}
	f.mu.Lock()
	door := a.process.(*inner).door // others nobody can operate
	f.mu.Unlock()
	o.SetDraining(true)
	time.Sleep(frontGoesOn)
	a.clients.SetConnecting(false)
	if sleep(day, leftAlone-frontGoesOn) {
		door.mu.Lock()
		held := len(door.conns)
		door.mu.Unlock()
		if held > 0 {
			f.end(fmt.Errorf("%s holds %d connections %v after it was told to drain", a.name, held, leftAlone))
		}
		sleep(day, ft.For.D())
	}
	o.SetDraining(false)
	a.clients.SetConnecting(true)
}
