package consensus

import (
	"fmt"
	"runtime/debug"
	"time"
)

// explore plays one seed.
func explore(seed uint64, bugs injectedBugs) (w *world, trouble any) {
	w = newWorld(seed, bugs)
	return w, w.play()
}

func (w *world) play() (trouble any) {
	defer func() {
		if r := recover(); r != nil {
			trouble = fmt.Sprint(r)
			if _, ok := r.(error); ok {
				trouble = fmt.Sprintf("%v\n%s", r, debug.Stack())
			}
		}
	}()
	w.rough = pick(w, 0, 0.02, 0.1, 0.5)
	w.crashes = pick(w, 0, 0.005, 0.05, 0.3)
	w.late = pick(w, 60*time.Millisecond, 3*time.Second)
	pause := pick(w, 300*time.Millisecond, 1500*time.Millisecond)
	w.slow = pick(w, 5*time.Millisecond, 100*time.Millisecond)
	if w.slowest > 0 && w.rng.IntN(4) == 0 {
		w.slow = w.slowest
	}
	for _, h := range w.hosts {
		w.after(w.within(0, 2*time.Second), func() { w.start(h) })
	}
	end := 12 * time.Second
	value := uint64(0)
	var ask func()
	ask = func() {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		value++
		w.propose(h, value)
		w.read(w.hosts[w.rng.IntN(len(w.hosts))])
		if w.now < end {
			w.after(w.within(0, 80*time.Millisecond), ask)
		}
	}
	w.after(0, ask)
	var harm func()
	harm = func() {
		if w.now >= end {
			return
		}
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		back := func(d time.Duration) { w.after(d, func() { w.revive(h) }) }
		switch w.rng.IntN(9) {
		case 0, 1:
			w.stop(h)
			back(w.within(0, 3*time.Second))
		case 2:
			h.frozen = w.now + w.within(0, 3*time.Second)
		case 3, 4:
			link := [2]string{h.address, w.hosts[w.rng.IntN(len(w.hosts))].address}
			w.cut[link] = true
			both := w.rng.IntN(2) == 0
			if both {
				w.cut[[2]string{link[1], link[0]}] = true
			}
			w.after(w.within(0, 3*time.Second), func() {
				delete(w.cut, link)
				delete(w.cut, [2]string{link[1], link[0]})
			})
		case 5, 6:
			if w.mayWipe() {
				w.wipe(h)
				back(w.within(0, time.Second))
			}
		case 7:
			for _, h := range w.hosts {
				w.touch(h, h.life, func(m *Machine) { m.TransferLeadership() })
			}
		case 8:
			if w.rng.IntN(4) == 0 && w.gone == nil && w.mayWipe() {
				w.gone = h
				w.wipe(h)
				break
			}
			for _, h := range w.hosts {
				w.stop(h)
				w.after(w.within(0, time.Second), func() { w.revive(h) })
			}
		}
		w.after(w.within(0, pause), harm)
	}
	w.after(3*time.Second, harm)
	w.run(end)
	w.heal()
	return nil
}

func (w *world) revive(h *host) {
	if h != w.gone {
		w.start(h)
	}
}
