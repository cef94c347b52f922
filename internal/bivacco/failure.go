package bivacco

import (
	"context"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Failures that a run may be asked for.
var Failures = []string{"die", "power", "restart", "zone", "core-kill", "core-stop"}

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
