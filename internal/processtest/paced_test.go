package processtest

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/duty"
	"example.org/micaline/internal/fleet"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin/network"
)

const paces = "pace:a"

var granted = regexp.MustCompile(`Duty:` + paces + ` .* Why:granted`)

// known is what some member of the group says of the duty, used to know whom to harm.
func (h *managerGroup) known() (d duty.Duty, history string) {
	for _, name := range h.Names {
		ctx, cancel := context.WithTimeout(h.t.Context(), 300*time.Millisecond)
		all, err := h.duties[name].Duties(ctx)
		cancel()
		if err != nil {
			continue
		}
		for _, c := range all.History {
			history += fmt.Sprintf("%+v\n", c)
		}
		for _, d := range all.Duties {
			if d.Name == paces {
				return d, history
			}
		}
	}
	return d, history
}

// pacedStories are what goes wrong beside the loss of the site. Grants is how often the duty must have been granted by the end; harm is done
// once, as soon as somebody is known to pace.
var pacedStories = map[string]struct {
	grants int
	follow bool // somebody must have followed, or nothing was shown
	mixed  bool // a manager and two agents are of the build before
	fault  scenario.Fault
	harm   func(h *managerGroup, pacer string, kill chan<- string)
}{
	"all is well with the group": {grants: 1, follow: true},
	"the pacer is killed":        {grants: 2, harm: func(h *managerGroup, pacer string, kill chan<- string) { kill <- pacer }},
	"the pacer is stopped and continued": {
		grants: 2, fault: scenario.Fault{Kind: "freeze-agent", Zone: "b", At: scenario.Duration(10500 * time.Millisecond), For: scenario.Duration(5 * time.Second), Share: 1},
		harm: func(h *managerGroup, pacer string, _ chan<- string) {
			h.duties[h.lead()].HandOver(h.t.Context(), paces, map[string]string{"a2": "a5"}[pacer]+map[bool]string{true: "a2"}[pacer != "a2"]) // agents of site b
		},
	},
	"the pacer hears nothing of the group and is not heard": {grants: 2, harm: func(h *managerGroup, pacer string, _ chan<- string) {
		h.Net.Apply(network.Rule{Match: func(from, to string) bool { return from == pacer && h.manager(to) }, Change: func(c *network.Conditions) { c.Cut = true }})
	}},
	"the group is lost while the site is away": {grants: 0, harm: func(h *managerGroup, _ string, _ chan<- string) {
		h.Kill(h.Names[0])
		h.Kill(h.Names[1])
	}},
	"a manager hears the others and is not heard": {grants: 1, harm: func(h *managerGroup, _ string, _ chan<- string) {
		h.Net.Apply(network.Rule{Match: func(from, to string) bool { return from == "m2" && h.manager(to) }, Change: func(c *network.Conditions) { c.Cut = true }})
	}},
	"two builds side by side, and one goes back": {grants: 1, mixed: true, harm: func(h *managerGroup, _ string, _ chan<- string) {
		h.rollBack("m1", h.Older["m3"])
	}},
	"the lead is killed while the site is away": {grants: 1, harm: func(h *managerGroup, _ string, _ chan<- string) { h.Kill(h.lead()) }},
}

// manager says whether an address is a manager's.
func (h *managerGroup) manager(addr string) bool {
	for _, name := range h.Names {
		if h.Addr(name) == addr {
			return true
		}
	}
	return false
}

// The return of a site is paced by one agent for all. Whatever becomes of that agent and of the group that grants the duty, requests
// go on, and the site is used again.
func TestPaced(t *testing.T) {
	dir, err := build()
	if err != nil {
		t.Fatal(err)
	}
	for name, st := range pacedStories {
		for seed := *seedFlag; seed < *seedFlag+*seedsFlag; seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				s, properties := story(t, "testdata/paced.toml")
				if st.fault.Kind != "" {
					s.Faults = append(s.Faults, st.fault)
				}
				n := network.NewLoopback(seed, true)
				programs, older := &Programs{Build: dir, Dir: t.TempDir(), Operators: operators}, map[string]string{}
				if st.mixed {
					old, err := buildBefore()
					switch {
					case err != nil:
						t.Fatal(err)
					case old == "":
						t.Skip("this checkout has no history")
					}
					older["m3"], programs.Older = old, map[string]string{"a1": old, "a2": old}
				}
				h := managersAs(t, n, 3, nil, nil, older)
				programs.More = func(agent string) (string, error) {
					if programs.Older[agent] != "" {
						return "", nil // a file with a table that it does not know ends its start
					}
					return h.Duties(agent)
				}
				h.await("all are there", h.whole)
				kill, second := make(chan string, 1), 0
				var followed, found int
				struck := st.harm == nil
				watch := func(*fleet.Snapshot) {
					second++
					if d, _ := h.known(); !struck && d.Holder != "" {
						struck = true
						pacer, _, _ := strings.Cut(d.Holder, "/")
						st.harm(h, pacer, kill)
					}
					if second == 20 {
						for i := range s.Agents {
							sock := filepath.Join(programs.dir(fmt.Sprintf("a%d", i+1)), "ctl.sock")
							out, _ := exec.CommandContext(t.Context(), filepath.Join(dir, "micaline"), "ctl", "-i", sock, "site", "show").CombinedOutput()
							if strings.Contains(string(out), "its pacer has let some of it in") {
								followed++
							}
							if strings.Contains(string(out), " lost ") {
								found++
							}
						}
					}
				}
				wrong := playWith(t.Context(), &Witness{}, s, seed, properties, fleet.Options{
					Network: n, Lag: lag, Spawner: programs, Watch: watch, Kill: kill,
				})
				if st.mixed {
					h.await("all are there again", h.whole)
				}
				_, history := h.known()
				if got := len(granted.FindAllString(history, -1)); found >= 3 && got < st.grants {
					wrong = append(wrong, fmt.Sprintf("the duty was granted %d times, and %d are wanted", got, st.grants))
				}
				if st.follow && followed == 0 && found >= 3 {
					wrong = append(wrong, fmt.Sprintf("%d agents lost the site, and none followed a pacer", found))
				}
				if len(wrong) > 0 {
					t.Errorf("%s\n%s\n%s", strings.Join(wrong, "\n"), history, h.story())
				}
			})
		}
	}
}

// noting is a spawner that remembers the processes.
type noting struct {
	*Programs
	mu   sync.Mutex
	pids map[string]int
}

func (n *noting) Spawn(name string, config []byte) (fleet.Process, error) {
	p, err := n.Programs.Spawn(name, config)
	if err == nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.pids[name] = p.(*process).Pid()
	}
	return p, err
}

// BenchmarkPaced plays nine agents under 90 requests a second with duties off and on: memory (MB) and processor time (cores) of an agent, on
// the mean.
func BenchmarkPaced(b *testing.B) {
	dir, err := build()
	if err != nil {
		b.Fatal(err)
	}
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("duties=%v", on), func(b *testing.B) {
			var memory, cpu float64
			for range b.N {
				testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "play", F: func(t *testing.T) {
					s, properties := story(t, "testdata/calm.toml")
					n := network.NewLoopback(1, true)
					h := managersOf(t, n, 3, nil, nil)
					programs := &noting{Programs: &Programs{Build: dir, Dir: t.TempDir(), Operators: operators}, pids: map[string]int{}}
					if on {
						programs.More = h.Duties
					}
					h.await("all are there", h.whole)
					second, began, busy := 0, time.Time{}, 0
					watch := func(*fleet.Snapshot) {
						if second++; second != 4 && second != 14 {
							return
						}
						was := busy
						busy = 0
						for _, pid := range programs.pids {
							busy += ticks(pid)
							if second == 14 {
								memory += resident(pid) / float64(s.Agents)
							}
						}
						if second == 4 {
							began = time.Now()
						} else {
							cpu += float64(busy-was) / 100 / time.Since(began).Seconds() / float64(s.Agents)
						}
					}
					if wrong := playWith(t.Context(), &Witness{}, s, 1, properties, fleet.Options{Network: n, Lag: lag, Spawner: programs, Watch: watch}); len(wrong) > 0 {
						t.Error(wrong)
					}
				}}})
			}
			b.ReportMetric(memory/float64(b.N), "MB")
			b.ReportMetric(cpu/float64(b.N), "cores")
		})
	}
}
