package processtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/document"
	"example.org/micaline/internal/fleet"
	"example.org/micaline/internal/manage"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin/network"
)

// stories are what happens to the managers. Each ends with all of them there and reachable.
var managerStories = map[string]struct {
	members int
	play    func(h *managerGroup)
}{
	"the holder is killed, twice": {3, func(h *managerGroup) {
		for range 2 { // a third in a row, and the duty rests
			x := h.someHolder()
			h.Kill(x)
			h.another(x)
			h.Start(x)
			h.progress()
		}
	}},
	"the holder is stopped, and wakes": {3, func(h *managerGroup) {
		x := h.someHolder()
		h.Process(x).Freeze()
		h.another(x)
		h.progress()
		h.Process(x).Thaw()
		h.progress()
	}},
	"the holder is stopped for less than its time": {3, func(h *managerGroup) {
		for range 3 {
			x := h.someHolder()
			h.Process(x).Freeze()
			time.Sleep(1500 * time.Millisecond)
			h.Process(x).Thaw()
			h.progress()
		}
	}},
	"the holder is cut off from the others": {3, func(h *managerGroup) {
		x := h.someHolder()
		heal := h.Cut(func(from, to string) bool { return from == x && to[0] == 'm' || to == x })
		h.another(x)
		h.progress()
		heal()
	}},
	"the others hear the holder no more": {3, func(h *managerGroup) {
		x := h.someHolder()
		heal := h.Cut(func(from, to string) bool { return from == x && to[0] == 'm' })
		h.another(x)
		h.progress()
		heal()
	}},
	"the holder hears the others no more": {3, func(h *managerGroup) {
		x := h.someHolder()
		heal := h.Cut(func(from, to string) bool { return to == x })
		h.progress()
		heal()
	}},
	"all links are slow, then lose one write in five": {3, func(h *managerGroup) {
		for _, change := range []func(*network.Conditions){
			func(c *network.Conditions) { c.Delay, c.Jitter = 150*time.Millisecond, 100*time.Millisecond },
			func(c *network.Conditions) { c.Loss = 0.2 },
		} {
			heal := h.Change(func(from, to string) bool { return to[0] == 'm' }, change)
			h.progress()
			h.progress()
			heal()
		}
	}},
	"two parts, the holder in the smaller one": {5, func(h *managerGroup) {
		x := h.someHolder()
		small := []string{x, h.Names[(slices.Index(h.Names, x)+1)%5]}
		heal := h.Cut(func(from, to string) bool {
			return to[0] == 'm' && slices.Contains(small, from) != slices.Contains(small, to)
		})
		h.another(small...)
		h.progress()
		heal()
	}},
	"a link that comes and goes": {3, func(h *managerGroup) {
		x := h.someHolder()
		for range 5 {
			heal := h.Cut(func(from, to string) bool { return to[0] == 'm' && (from == x || to == x) })
			time.Sleep(1500 * time.Millisecond)
			heal()
			time.Sleep(500 * time.Millisecond)
		}
	}},
	"the majority is gone for a while": {3, func(h *managerGroup) {
		x := h.someHolder()
		for _, name := range h.Names {
			if name != x {
				h.Kill(name)
			}
		}
		h.await("the last one lets go", func() bool { return h.holder() == "" })
		for _, name := range h.Names {
			if name != x {
				h.Start(name)
			}
		}
	}},
	"all are killed and start again": {3, func(h *managerGroup) {
		for _, name := range h.Names {
			h.Kill(name)
		}
		for _, name := range h.Names {
			h.Start(name)
		}
	}},
	"all end in order, one after the other": {3, func(h *managerGroup) {
		for _, name := range h.Names {
			h.Process(name).Terminate()
			<-h.Process(name).Ended()
			h.progress()
			h.Start(name)
			h.await("all are there", h.whole)
		}
	}},
	"a disk is lost, and its member replaced": {3, func(h *managerGroup) {
		x := h.someHolder()
		h.Kill(x)
		h.Lose(x)
		h.Start(x)
		h.another(x)
		h.await("an empty disk is refused by name", func() bool { return h.refused(x) })
		h.progress()
		h.await("the member is removed", func() bool {
			ctx, cancel := context.WithTimeout(h.t.Context(), 5*time.Second)
			defer cancel()
			_, err := h.duties[h.lead()].Remove(ctx, x)
			return err == nil
		})
	}},
	"a disk of before comes back": {3, func(h *managerGroup) {
		x := h.someHolder()
		h.Kill(x)
		old, err := os.ReadFile(h.Disk(x))
		if err != nil {
			h.t.Fatal(err)
		}
		h.another(x)
		h.Start(x)
		h.await("all are there", h.whole)
		h.progress()
		h.Kill(x)
		if err := os.WriteFile(h.Disk(x), old, 0o600); err != nil {
			h.t.Fatal(err)
		}
		h.Start(x)
		h.await("an old disk is refused by name", func() bool {
			ctx, cancel := context.WithTimeout(h.t.Context(), time.Second)
			defer cancel()
			g, err := h.duties[x].Group(ctx)
			return err == nil && strings.Contains(g.Why, "older")
		})
		h.progress()
		h.Kill(x)
		h.Lose(x)
		h.Start(x)
		h.await("the member is removed", func() bool {
			ctx, cancel := context.WithTimeout(h.t.Context(), 5*time.Second)
			defer cancel()
			_, err := h.duties[h.lead()].Remove(ctx, x)
			return err == nil
		})
	}},
	"handed on and revoked by hand": {3, func(h *managerGroup) {
		to := h.Names[(slices.Index(h.Names, h.someHolder())+1)%3]
		h.ctl(0, "duty", "hand", "manage", to)
		h.await(to+" manages", func() bool { return h.holder() == to })
		if out := h.ctl(0, "duty", "history"); !strings.Contains(out, "to be handed to "+to) {
			h.t.Errorf("the history says\n%s", out)
		}
		h.ctl(4, "duty", "hand", "manage", to)       // it holds it
		h.ctl(4, "duty", "hand", "manage", "nobody") // who is no member
		h.ctl(4, "group", "remove", "nobody")
		x := h.someHolder()
		h.ctl(0, "duty", "revoke", "manage", "--why", "a try")
		h.await("it lets go", func() bool { return h.holder() != x })
		h.ctl(4, "duty", "revoke", "nothing", "--why", "a try")
	}},
}

// A group of managers keeps its orders whatever happens to its members.
func TestManagers(t *testing.T) {
	for name, story := range managerStories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newManagerGroup(t, story.members)
			h.await("all are there", h.whole)
			ctx, stop := context.WithCancel(t.Context())
			var giving sync.WaitGroup
			giving.Go(func() { h.orders(ctx) })
			defer giving.Wait()
			defer stop()
			h.progress()
			h.note("now: %s", name)
			story.play(h)
			h.note("over")
			h.await("all are there again", h.whole)
			h.progress()
			h.progress()
			stop()
			giving.Wait()
			h.await("all have what was told as done", func() bool { return len(h.judge()) == 0 })
			if wrong := h.judge(); len(wrong) > 0 {
				t.Errorf("%s\n%s", strings.Join(wrong, "\n"), h.story())
			}
		})
	}
}

// A fleet takes a site out in the manager's waves, whose manager is killed meanwhile, and lets it in again when that is taken back.
// Nothing is cut, and the site gets nothing in between.
func TestEvacuationInWaves(t *testing.T) {
	t.Parallel()
	dir, err := build()
	if err != nil {
		t.Fatal(err)
	}
	s, properties := story(t, "testdata/calm.toml")
	s.For = scenario.Duration(32 * time.Second)
	programs := &Programs{Build: dir, Dir: t.TempDir(), Operators: operators}
	var names, socks []string
	for i := range s.Agents {
		name := fmt.Sprintf("a%d", i+1)
		names, socks = append(names, name), append(socks, filepath.Join(programs.dir(name), "ctl.sock"))
	}
	n := network.NewLoopback(1, true)
	h := managersOf(t, n, 3, names, socks)
	h.await("all are there", h.whole)
	w := &Witness{}
	var out, back time.Duration // when the site was told to be out, and when to be let in
	d := &document.Document{Sites: map[string]document.EvacuatedSite{"a": {Until: time.Now().Add(time.Hour), Why: "power work", Force: true}}}
	limits := &manage.Limits{Canaries: 1, Growth: 3, Bake: 0.5, MoreRefused: 1, MoreFailed: 1, LessInAim: 1, MayFail: 0}
	ask := func(f func(ctx context.Context, m *manage.Client) (*manage.Report, error)) *manage.Report {
		for _, name := range h.Names {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			r, err := f(ctx, h.clients[name])
			cancel()
			if err == nil {
				return r
			}
			h.note("%s: %v", name, err)
		}
		return nil
	}
	taken, killed := false, false
	var last *manage.Report // of the rollout, as a manager said it
	watch := func(snap *fleet.Snapshot) {
		switch {
		case out == 0:
			r := ask(func(ctx context.Context, m *manage.Client) (*manage.Report, error) {
				return m.StartRollout(ctx, "power-work", &manage.Order{Document: d, Limits: limits})
			})
			if r != nil {
				taken, last = true, r
			}
			if taken && !killed {
				killed = true
				h.Kill(h.someHolder())
			}
			if r != nil && r.Status == "completed" {
				out = w.now()
			}
		case back == 0 && w.now() > out+6*time.Second:
			if r := ask(func(ctx context.Context, m *manage.Client) (*manage.Report, error) {
				return m.ControlRollout(ctx, "power-work", manage.RollbackAction, false)
			}); r != nil {
				back = w.now()
			}
		}
	}
	properties = append(properties, NothingCut(), Property{"an evacuated site gets nothing", func(w *Witness, length time.Duration) string {
		if out == 0 || back == 0 {
			return fmt.Sprintf("it was out from %v to %v; the rollout: %+v", out, back, last)
		}
		return LeftAlone("a", out+4500*time.Millisecond, back, false).Holds(w, length)
	}})
	if wrong := playWith(t.Context(), w, s, 1, properties, fleet.Options{Network: n, Lag: lag, Spawner: programs, Watch: watch}); len(wrong) > 0 {
		t.Errorf("%s\n%s", strings.Join(wrong, "\n"), h.story())
	}
}

// BenchmarkManagers measures how long nobody manages, in seconds, by what the processes themselves say: from a fault until another
// one has been granted the duty. Memory (MB) and processor time (cores) are those of the one that manages, at rest.
func BenchmarkManagers(b *testing.B) {
	for _, members := range []int{3, 5} {
		for what, fault := range map[string]func(h *managerGroup, x string){
			"killed":  func(h *managerGroup, x string) { h.Process(x).Kill() },
			"stopped": func(h *managerGroup, x string) { h.Process(x).Freeze() },
			"cut": func(h *managerGroup, x string) {
				h.Cut(func(from, to string) bool { return to[0] == 'm' && (from == x || to == x) })
			},
			"ends": func(h *managerGroup, x string) { h.Process(x).Terminate() },
			"handed": func(h *managerGroup, x string) {
				h.duties[x].HandOver(h.t.Context(), "manage", h.Names[(slices.Index(h.Names, x)+1)%len(h.Names)])
			},
		} {
			b.Run(fmt.Sprintf("%d/%s", members, what), func(b *testing.B) {
				var gaps []float64
				var memory, cpu float64
				for range b.N {
					testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "play", F: func(t *testing.T) {
						h := newManagerGroup(t, members)
						h.await("all are there", h.whole)
						x := h.someHolder()
						pid := h.Process(x).Pid()
						before, begun := ticks(pid), time.Now()
						time.Sleep(2 * time.Second)
						cpu += float64(ticks(pid)-before) / 100 / time.Since(begun).Seconds()
						memory += resident(pid)
						at := time.Now()
						fault(h, x)
						h.another(x)
						gaps = append(gaps, time.Since(at).Seconds())
					}}})
				}
				slices.Sort(gaps)
				b.ReportMetric(gaps[0], "least-s")
				b.ReportMetric(gaps[len(gaps)/2], "median-s")
				b.ReportMetric(gaps[len(gaps)-1], "most-s")
				b.ReportMetric(memory/float64(b.N), "MB")
				b.ReportMetric(cpu/float64(b.N), "cores")
			})
		}
	}
}

// ticks is the processor time of a process, in hundredths of a second.
func ticks(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return user + system
}

// resident is the memory of a process, in MB.
func resident(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	pages, _ := strconv.Atoi(strings.Fields(string(text))[1])
	return float64(pages*os.Getpagesize()) / (1 << 20)
}
