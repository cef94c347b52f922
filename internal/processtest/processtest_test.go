package processtest

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/fleet"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin/network"
)

var (
	seedFlag  = flag.Uint64("seed", 1, "the first seed of each story")
	seedsFlag = flag.Uint64("seeds", 1, "so many seeds are played with processes")
	virtFlag  = flag.Uint64("virtual", 2, "and so many in virtual time")
	keepFlag  = flag.String("keep", "", "folder for the processes' logs of days that fail")
)

// build builds the program, once.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "micaline-processtest")
	if err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-o", dir, "example.org/micaline/cmd/micaline", "example.org/micaline/cmd/micaline-manage")
	if out, err := cmd.CombinedOutput(); err != nil {
		return dir, fmt.Errorf("building the program: %w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	flag.Parse()
	// A day is waiting more than work: one for each core would take many minutes on two.
	if p := flag.Lookup("test.parallel"); p.Value.String() == p.DefValue {
		p.Value.Set("12")
	}
	code := m.Run()
	if dir, _ := build(); dir != "" {
		os.RemoveAll(dir)
	}
	if beforeDir != "" {
		os.RemoveAll(beforeDir)
	}
	os.Exit(code)
}

const operators = `
[sites]
on = true
[control]
unix = "$DIR/ctl.sock"
`

// lag is how late a busy machine may see things.
const lag = 400 * time.Millisecond

// at finds when the faults of a day begin and end, at most.
func at(s *scenario.Scenario, kind string) (from, until time.Duration) {
	for _, f := range s.Faults {
		if f.Kind == kind {
			return f.At.D(), f.At.D() + f.For.D()
		}
	}
	return 0, 0
}

// story reads a day and says what must hold of it.
func story(t *testing.T, file string) (s *scenario.Scenario, properties []Property) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	on, err := os.ReadFile("testdata/sites.fleet")
	if err != nil {
		t.Fatal(err)
	}
	if s, err = scenario.Parse(append(text, on...)); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	var agents []string
	for i := range s.Agents {
		agents = append(agents, fmt.Sprintf("a%d", i+1))
	}
	away, from, until := 0, time.Duration(0), time.Duration(0)
	switch s.Name {
	case "half-returns":
		away = 2
	case "all-then-one":
		from, until = at(s, "vanish")
	case "probes-only":
		lost, back := at(s, "swallow")
		properties = append(properties, LeftAlone("a", lost+2500*time.Millisecond, back-time.Second/2, true))
	}
	return s, append(properties, Well(agents), AllUsed(away), Standing(3*time.Second, from, until))
}

// play plays a day, with processes or in virtual time, and returns what is wrong.
func play(ctx context.Context, s *scenario.Scenario, seed uint64, properties []Property, o fleet.Options) (wrong []string) {
	return playWith(ctx, &Witness{}, s, seed, properties, o)
}

func playWith(ctx context.Context, w *Witness, s *scenario.Scenario, seed uint64, properties []Property, o fleet.Options) (wrong []string) {
	o.Scenario, o.Seed, o.Log, o.Tap = s, seed, slog.New(slog.DiscardHandler), w.See
	if o.Front == nil {
		o.Front = agent.Serve
	}
	r, err := fleet.Play(ctx, o)
	if err != nil {
		return []string{err.Error()}
	}
	for _, rule := range r.Rules {
		for _, f := range rule.Findings {
			if !f.CantTell {
				wrong = append(wrong, fmt.Sprintf("%s: %s\n\t%s", rule.Rule, f.What, strings.Join(f.Evidence, "\n\t")))
			}
		}
	}
	for _, p := range properties {
		if what := p.Holds(w, s.For.D()); what != "" {
			wrong = append(wrong, p.Name+": "+what)
		}
	}
	if r.Served == 0 {
		wrong = append(wrong, "nothing was served")
	}
	return wrong
}

func files(t *testing.T) []string {
	files, err := filepath.Glob("testdata/sites/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no stories", err)
	}
	return files
}

// Agents that are processes of the machine keep the rules and all properties through the loss of sites.
func TestSites(t *testing.T) {
	dir, err := build()
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files(t) {
		s, properties := story(t, file)
		for seed := *seedFlag; seed < *seedFlag+*seedsFlag; seed++ {
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				logs := filepath.Join(*keepFlag, s.Name, fmt.Sprint(seed))
				if *keepFlag == "" {
					logs = t.TempDir()
				}
				logs, err := filepath.Abs(logs)
				if err != nil {
					t.Fatal(err)
				}
				again := func(s *scenario.Scenario) []string {
					return play(t.Context(), s, seed, properties, fleet.Options{
						Network: network.NewLoopback(seed, true), Lag: lag, Spawner: &Programs{Build: dir, Dir: logs, Operators: operators},
					})
				}
				if wrong := again(s); len(wrong) > 0 {
					small := s
					if *keepFlag != "" { // its plays take minutes
						small = Reduce(s, func(s *scenario.Scenario) bool { return len(again(s)) > 0 })
					}
					t.Errorf("to play it again: go test ./internal/processtest -run 'TestSites/%s/' -seed %d -keep DIR\n%s\nwith these faults:\n%s",
						s.Name, seed, strings.Join(wrong, "\n"), Faults(small))
				}
			})
		}
	}
}

// The same stories in virtual time, where many seeds are cheap.
func TestSitesInVirtualTime(t *testing.T) {
	for _, file := range files(t) {
		s, properties := story(t, file)
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			for seed := *seedFlag; seed < *seedFlag+*virtFlag; seed++ {
				synctest.Test(t, func(t *testing.T) {
					again := func(s *scenario.Scenario) []string {
						return play(context.Background(), s, seed, properties, fleet.Options{Network: network.NewMemory(seed), Lag: 5 * time.Millisecond})
					}
					if wrong := again(s); len(wrong) > 0 {
						small := Reduce(s, func(s *scenario.Scenario) bool { return len(again(s)) > 0 })
						t.Errorf("to play it again: go test ./internal/processtest -run 'TestSitesInVirtualTime/%s$' -seed %d -virtual 1\n%s\nthese faults are enough:\n%s",
							s.Name, seed, strings.Join(wrong, "\n"), Faults(small))
					}
				})
			}
		})
	}
}

// Operators take a site out by the command line and let it in again. Nothing is cut, and the last site that can carry the load
// stays unless it is forced.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	dir, err := build()
	if err != nil {
		t.Fatal(err)
	}
	s, properties := story(t, "testdata/calm.toml")
	programs := &Programs{Build: dir, Dir: t.TempDir(), Operators: operators}
	var said []string // by the agents, to the last call
	ctl := func(words ...string) (codes map[int]int) {
		codes, said = map[int]int{}, nil
		for i := range s.Agents {
			sock := filepath.Join(programs.dir(fmt.Sprintf("a%d", i+1)), "ctl.sock")
			cmd := exec.CommandContext(t.Context(), filepath.Join(dir, "micaline"), append([]string{"ctl", "-i", sock, "site"}, words...)...)
			out, err := cmd.CombinedOutput()
			var exit *exec.ExitError
			if err != nil && !errors.As(err, &exit) {
				t.Errorf("%v: %v %s", words, err, out)
			}
			codes[cmd.ProcessState.ExitCode()]++
			said = append(said, strings.TrimSpace(string(out)))
		}
		return codes
	}
	var began, over time.Duration // of the evacuation
	second := 0
	w := &Witness{}
	watch := func(snap *fleet.Snapshot) {
		switch second++; second {
		case 3:
			if codes := ctl("evacuate", "a", "--for", "1m", "--why", "power work"); codes[0] != s.Agents {
				t.Errorf("evacuating a: exit codes %v\n%s", codes, strings.Join(said, "\n"))
			}
			began = w.now()
		case 9:
			if codes := ctl("evacuate", "b", "--for", "1m", "--why", "too much"); codes[4] != s.Agents {
				t.Errorf("evacuating b too: exit codes %v, and all should refuse", codes)
			}
			if codes := ctl("evacuate", "nowhere", "--why", "a slip"); codes[4] != s.Agents {
				t.Errorf("evacuating no site: exit codes %v", codes)
			}
			if codes := ctl("plan", "--lose", "b"); codes[0] != s.Agents {
				t.Errorf("planning: exit codes %v", codes)
			}
			over = w.now()
			if codes := ctl("return", "a"); codes[0] != s.Agents {
				t.Errorf("returning a: exit codes %v", codes)
			}
		}
	}
	left := Property{"an evacuated site gets nothing", func(w *Witness, length time.Duration) string {
		if began == 0 || over == 0 {
			return "it was not evacuated"
		}
		// The last server leaves after four seconds, and an agent may be told late.
		return LeftAlone("a", began+4500*time.Millisecond, over, false).Holds(w, length)
	}}
	wrong := playWith(t.Context(), w, s, 1, append(properties, left), fleet.Options{
		Network: network.NewLoopback(1, true), Lag: lag, Spawner: programs, Watch: watch,
	})
	if what := NothingCut().Holds(w, s.For.D()); what != "" {
		wrong = append(wrong, what)
	}
	if len(wrong) > 0 {
		t.Error(strings.Join(wrong, "\n"))
	}
}

// What is planted breaks the property that is named beforehand.
func TestPlanted(t *testing.T) {
	s, properties := story(t, "testdata/sites/probes-only.toml")
	for _, plant := range []struct {
		what, property string
		front          fleet.Front
		change         func(*scenario.Scenario)
	}{
		{"all are asked in turn", "a lost site left alone", fleet.Baseline("round-robin"), func(s *scenario.Scenario) { s.Limits.Sites = false }},
		{"a site never comes back", "all servers used in the end", agent.Serve, func(s *scenario.Scenario) {
			s.Faults[0] = scenario.Fault{Kind: "vanish", Zone: "a", At: s.Faults[0].At, For: s.For, Share: 1}
		}},
		{"nothing is reached to the end", "well in the end", agent.Serve, func(s *scenario.Scenario) {
			for _, zone := range []string{"a", "b", "c"} {
				s.Faults = append(s.Faults, scenario.Fault{Kind: "swallow", Zone: zone, At: s.For - scenario.Duration(5*time.Second), For: s.For, Share: 1, Size: 1})
			}
		}},
	} {
		t.Run(plant.what, func(t *testing.T) {
			changed := *s
			changed.Faults = slices.Clone(s.Faults)
			plant.change(&changed)
			// Faults that have no part in it are left out again.
			changed.Faults = append(changed.Faults, scenario.Fault{Kind: "errors", At: s.For / 2, For: s.For / 8, Count: 1, Size: 0.2},
				scenario.Fault{Kind: "neighbour", At: s.For / 3, For: s.For / 8, Count: 1, Size: 0.2})
			synctest.Test(t, func(t *testing.T) {
				breaks := func(s *scenario.Scenario) bool {
					wrong := play(context.Background(), s, 1, properties, fleet.Options{Front: plant.front, Network: network.NewMemory(1), Lag: 5 * time.Millisecond})
					return slices.ContainsFunc(wrong, func(w string) bool { return strings.HasPrefix(w, plant.property+":") })
				}
				if !breaks(&changed) {
					t.Fatalf("%s should not hold", plant.property)
				}
				small := Reduce(&changed, breaks)
				if strings.Contains(Faults(small), "errors") || strings.Contains(Faults(small), "neighbour") || len(small.Faults) == 0 {
					t.Errorf("of the faults remain\n%s", Faults(small))
				}
			})
		})
	}
}
