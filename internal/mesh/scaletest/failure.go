package scaletest

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Failures that a run may be asked for.
var Failures = []string{"die", "power", "restart", "zone", "core-kill", "core-stop", "minority"}

// fail has something fail, and come back.
func (r *run) fail(ctx context.Context, what string) (err error) {
	look := func(name string, agents []*hollow, lost bool, do func()) {
		if err != nil {
			return
		}
		r.measure(ctx, name, func() {
			r.fleet.look(agents, lost)
			do()
			var s samples
			if s, err = r.fleet.learned(ctx); err == nil {
				r.say(name, "known everywhere: %s", s)
			}
		})
	}
	back := func(name string, agents []*hollow) {
		look(name, agents, false, func() {
			for _, h := range agents {
				h.stop()
				h.start()
			}
		})
	}
	last := r.fleet.all[len(r.fleet.all)-1:]
	switch what {
	case "die": // the process ends: the kernel tells
		look("agent dies", last, true, func() { last[0].mute.Store(true); last[0].stop() })
		pause(ctx, time.Second)
		back("agent back", last)
	case "power": // the machine goes: nobody tells
		look("agent without power", last, true, func() { last[0].mute.Store(true) })
		pause(ctx, time.Second)
		back("agent back", last)
	case "restart": // as many as in a day, in ten seconds
		r.measure(ctx, "75 agents restart", func() {
			for n := range 75 {
				h := r.fleet.all[n*7%len(r.fleet.all)]
				h.stop()
				h.start()
				pause(ctx, 133*time.Millisecond)
			}
		})
	case "zone":
		var gone []*hollow
		for _, h := range r.fleet.all {
			if h.n%zones == 1 {
				gone = append(gone, h)
			}
		}
		look("zone without power", gone, true, func() {
			for _, h := range gone {
				h.mute.Store(true)
			}
		})
		pause(ctx, 2*time.Second)
		back("zone back", gone)
	case "core-kill":
		return r.core(ctx, "core killed", func(p *process) { p.kill() }, func(i int, p *process) error {
			started, err := r.startCore(i, false)
			if err == nil {
				started.spent = p.spent
				r.cores[i] = started
			}
			return err
		})
	case "core-stop":
		return r.core(ctx, "core stopped", func(p *process) { p.signal(syscall.SIGSTOP) },
			func(i int, p *process) error { p.signal(syscall.SIGCONT); return nil })
	case "minority":
		return r.minority(ctx, last)
	default:
		return oops.Errorf("%q is none of the failures %v", what, Failures)
	}
	return err
}

// core has the core processes fail one after the other, and a change made meanwhile: whichever led is among them.
func (r *run) core(ctx context.Context, name string, fail func(*process), mend func(int, *process) error) error {
	for i := range r.cores {
		p := r.cores[i]
		fail(p)
		before := r.fleet.newest()
		began := time.Now()
		r.fleet.expect(before+1, began)
		if err := r.client.patch(ctx, r.book.change()); err != nil {
			return err
		}
		acked := time.Since(began)
		if err := r.fleet.settle(ctx, func(h *hollow) bool { return h.index() > before }); err != nil {
			return err
		}
		pause(ctx, time.Until(began.Add(r.Away)))
		r.say(name, "process=%s acknowledged_ms=%d in force: %s", p.name, acked.Milliseconds(), samples(r.fleet.reached()))
		if err := mend(i, p); err != nil {
			return err
		}
		failed := error(nil)
		r.measure(ctx, name+", back", func() {
			began := time.Now()
			failed = r.fleet.settle(ctx, func(h *hollow) bool { return h.linked() })
			r.say(name+", back", "process=%s all_feeds_ms=%d", p.name, time.Since(began).Milliseconds())
			pause(ctx, 4*time.Second)
		})
		if failed != nil {
			return failed
		}
	}
	return nil
}

// minority leaves one core process to all agents, as the smaller part of the core is what a region has that is cut off with it: what
// it goes on to do, and how long what it can't do takes once the others are back.
func (r *run) minority(ctx context.Context, dying []*hollow) error {
	for _, p := range r.cores[1:] {
		p.signal(syscall.SIGSTOP)
	}
	pause(ctx, 2*feedTimeout)
	r.fleet.look(dying, true)
	for _, h := range dying {
		h.mute.Store(true)
		h.stop()
	}
	s, err := r.fleet.learned(ctx)
	if err != nil {
		return err
	}
	r.say("one core of three", "agent dies, known everywhere: %s", s)
	r.fleet.look(dying, false)
	for _, h := range dying {
		h.start()
	}
	if s, err = r.fleet.learned(ctx); err != nil {
		return err
	}
	r.say("one core of three", "agent back, known everywhere: %s", s)
	change, before := r.book.change(), r.fleet.newest()
	status, text, err := r.client.call(ctx, http.MethodPatch, "http://"+r.cores[0].address+"/api/config", change)
	if err == nil && status == http.StatusOK {
		return oops.Errorf("one core process of three acknowledged a change")
	}
	r.say("one core of three", "change: status=%d %s %v", status, strings.TrimSpace(text), err)
	for _, p := range r.cores[1:] {
		p.signal(syscall.SIGCONT)
	}
	began := time.Now()
	if err := r.client.patch(ctx, change); err != nil {
		return err
	}
	acked := time.Since(began)
	if err := r.fleet.settle(ctx, func(h *hollow) bool { return h.index() > before }); err != nil {
		return err
	}
	r.say("all cores again", "acknowledged_ms=%d in_force_ms=%d", acked.Milliseconds(), time.Since(began).Milliseconds())
	return nil
}
