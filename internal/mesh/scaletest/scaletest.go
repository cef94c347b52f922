// Package scaletest is the scale run: many hollow agents against real core machines. In the
// field's terms it is a load generator of hollow nodes, as schedulers of clusters have them.
//
// There are real core processes and a few real agents, each with a settings file and a loopback address of its own, and hollow
// agents in this process: each speaks the feed as package sidecar does, so that a core machine can't tell it from a real one, and
// has neither gate nor sender. What may happen: the configuration changes, agents die, start anew or lose power, all of a zone at
// once, and a core process is killed or stopped.
//
// What a run promises: its figures come from the sockets of the hollow agents and from the kernel's accounts of the processes,
// never from what a process says of itself; but for the time at which a real agent has a configuration, which its log tells. The
// run is bounded in time, and ends each process that it started.
package scaletest

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/samber/oops"
)

const (
	cores       = 3
	zones       = 6
	settleFor   = 90 * time.Second // at most, until all agents have what they wait for
	agentWidth  = 100              // requests that a hollow agent's backend is said to work on at once
	coreMemory  = 1024             // MB
	agentMemory = 128
)

// Options are what a run is to be.
type Options struct {
	Program  string // path of the daemon
	Agents   int    // hollow ones
	Real     int
	Services int
	Routes   int
	Rest     time.Duration // that nothing happens
	Changes  int
	Every    time.Duration // from one change to the next
	Failures []string
	Away     time.Duration // that a core process is killed or stopped, at least
	Keep     bool          // the folder with settings and logs
}

// run is a scale run under way.
type run struct {
	Options
	out    io.Writer
	dir    string
	net    byte // second byte of all addresses: several runs may go on at once
	cores  []*process
	real   []*process
	fleet  *fleet
	book   *book
	client *caller
}

// Run carries out a scale run and writes its figures.
func Run(ctx context.Context, o Options, out io.Writer) (err error) {
	r := &run{Options: o, out: out, net: byte(64 + os.Getpid()%128), book: newBook(o.Services, o.Routes)}
	if r.dir, err = os.MkdirTemp("", "scaletest"); err != nil {
		return oops.Wrap(err)
	}
	if !o.Keep {
		defer os.RemoveAll(r.dir)
	}
	defer func() {
		for _, p := range append(r.cores, r.real...) {
			p.end()
		}
	}()
	for i := range cores {
		p, err := r.startCore(i, true)
		if err != nil {
			return err
		}
		r.cores = append(r.cores, p)
	}
	r.client = newCaller(r.coreAddresses())
	began := time.Now()
	if err := r.client.patch(ctx, r.book.first()); err != nil {
		return oops.Wrapf(err, "the first configuration")
	}
	r.say("first configuration", "acknowledged_ms=%d bytes=%d", time.Since(began).Milliseconds(), len(r.book.first()))
	for i := range o.Real {
		p, err := r.startAgent(i)
		if err != nil {
			return err
		}
		r.real = append(r.real, p)
	}
	r.fleet = newFleet(r)
	r.measure(ctx, "start", func() {
		r.fleet.start()
		err = r.fleet.settle(ctx, func(h *hollow) bool { return h.known() >= o.Agents && h.index() > 0 })
	})
	if err != nil {
		return err
	}
	pause(ctx, 3*time.Second)
	rest := r.measure(ctx, "rest", func() { pause(ctx, o.Rest) })
	if err := r.changes(ctx, rest); err != nil {
		return err
	}
	for _, f := range o.Failures {
		if err := r.fail(ctx, f); err != nil {
			return err
		}
		pause(ctx, 3*time.Second)
	}
	for _, p := range append(append([]*process{}, r.cores...), r.real...) {
		r.say("memory", "process=%s peak_mb=%.1f", p.name, float64(p.peak())/1024)
	}
	return ctx.Err()
}

func (r *run) say(what, format string, args ...any) {
	fmt.Fprintf(r.out, "%-22s %s\n", what, fmt.Sprintf(format, args...))
}

// pause waits, unless the run is ended.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// phase is what a stretch of the run has cost.
type phase struct {
	took             time.Duration
	core, real       []time.Duration // processor time of each
	up, down         uint64          // bytes on the hollow agents' sockets
	messUp, messDown uint64
}

// measure carries out a stretch of the run and says what it cost.
func (r *run) measure(ctx context.Context, name string, f func()) phase {
	mark := func() (p phase) {
		for _, c := range r.cores {
			p.core = append(p.core, c.busy())
		}
		for _, a := range r.real {
			p.real = append(p.real, a.busy())
		}
		p.up, p.down, p.messUp, p.messDown = r.fleet.up.Load(), r.fleet.down.Load(), r.fleet.messUp.Load(), r.fleet.messDown.Load()
		return p
	}
	before, began := mark(), time.Now()
	f()
	p := mark()
	p.took = time.Since(began)
	s := p.took.Seconds()
	for i := range p.core {
		p.core[i] = max(0, p.core[i]-before.core[i])
		r.say(name, "process=%s cpu_share=%.5f cpu_ms=%.1f", r.cores[i].name, p.core[i].Seconds()/s, p.core[i].Seconds()*1e3)
	}
	for i := range p.real {
		p.real[i] = max(0, p.real[i]-before.real[i])
		r.say(name, "process=%s cpu_share=%.5f cpu_ms=%.1f", r.real[i].name, p.real[i].Seconds()/s, p.real[i].Seconds()*1e3)
	}
	p.up, p.down, p.messUp, p.messDown = p.up-before.up, p.down-before.down, p.messUp-before.messUp, p.messDown-before.messDown
	n := float64(r.Agents)
	r.say(name, "seconds=%.1f agent_up_Bps=%.0f agent_down_Bps=%.0f agent_up_mps=%.2f agent_down_mps=%.2f", s,
		float64(p.up)/n/s, float64(p.down)/n/s, float64(p.messUp)/n/s, float64(p.messDown)/n/s)
	return p
}

// changes changes the configuration again and again and measures when each change is in force.
func (r *run) changes(ctx context.Context, rest phase) error {
	if r.Changes == 0 {
		return nil
	}
	var acked, hollows, real samples
	var failed error
	p := r.measure(ctx, "changes", func() {
		for range r.Changes {
			next := time.Now().Add(r.Every)
			before := r.fleet.newest()
			began := time.Now()
			r.fleet.expect(before+1, began)
			for _, a := range r.real {
				a.expect(began)
			}
			if failed = r.client.patch(ctx, r.book.change()); failed != nil {
				return
			}
			acked.add(time.Since(began))
			if failed = r.fleet.settle(ctx, func(h *hollow) bool { return h.index() > before }); failed != nil {
				return
			}
			hollows.take(r.fleet.reached())
			for _, a := range r.real {
				if d, ok := a.had(10 * time.Second); ok {
					real.add(d)
				}
			}
			pause(ctx, time.Until(next))
		}
	})
	if failed != nil {
		return failed
	}
	r.say("change acknowledged", "%s", acked.String())
	r.say("in force, hollow", "%s", hollows.String())
	r.say("in force, real", "%s", real.String())
	perChange := func(all, resting time.Duration) float64 {
		return (all.Seconds() - resting.Seconds()*p.took.Seconds()/rest.took.Seconds()) * 1e3 / float64(r.Changes)
	}
	for i := range p.core {
		r.say("per change", "process=%s cpu_ms=%.2f", r.cores[i].name, perChange(p.core[i], rest.core[i]))
	}
	for i := range p.real {
		r.say("per change", "process=%s cpu_ms=%.2f", r.real[i].name, perChange(p.real[i], rest.real[i]))
	}
	resting := float64(rest.down) * p.took.Seconds() / rest.took.Seconds()
	r.say("per change", "agent_down_bytes=%.0f", (float64(p.down)-resting)/float64(r.Agents)/float64(r.Changes))
	return nil
}
