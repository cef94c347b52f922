package fleet

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/level"
	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin/network"
	"example.org/micaline/internal/tomlfile"
)

var plotFlag = flag.String("plot", "", "file for the course of the wave, a line of tab-separated figures each second")

// waveLevels are those of docs/levels.md, with shorter times.
const waveLevels = `
every = "500ms"
dwell = "5s"
[[level]]
name = "careful"
no_second_copies = true
shed = ["tour", "status-update"]
part = 0.5
enter = { pressure = 0.3, in_aim = 0.8 }
after = "1s"
exit = { pressure = 0.1, in_aim = 0.95 }
[[level]]
name = "lean"
no_second_copies = true
shed = ["tour", "status-update"]
enter = { pressure = 0.6, in_aim = 0.6 }
after = "2s"
exit = { pressure = 0.2, in_aim = 0.9 }
[[level]]
name = "essential"
no_second_copies = true
no_retries = true
shed = ["tour", "status-update"]
enter = { pressure = 1.5 }
after = "2s"
exit = { pressure = 0.3 }
`

// waved is a play of the wave: what became of requests by class, and the levels of the agents.
type waved struct {
	report *Report
	inAim  map[string]int // by class
	asked  map[string]int
	levels map[string][]string // by agent, one each second
	course []string
}

// changes is how many changes of level the agent with the most had.
func (w *waved) changes() (most int) {
	for _, levels := range w.levels {
		n := 0
		for i := 1; i < len(levels); i++ {
			if levels[i] != levels[i-1] {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func playWave(t *testing.T, seed uint64, levels *level.Config) *waved {
	t.Helper()
	text, err := os.ReadFile("testdata/wave.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	w := &waved{inAim: map[string]int{}, asked: map[string]int{}, levels: map[string][]string{}}
	var mu sync.Mutex
	front := func(ctx context.Context, cfg *agent.Config, reloads <-chan *agent.Config, l net.Listener, n agent.Network, log *slog.Logger) error {
		if levels != nil {
			cfg.Levels = *levels
		}
		a, err := agent.New(cfg, l, n, log)
		if err != nil {
			return err
		}
		looking := make(chan struct{})
		work, stop := context.WithCancel(context.Background())
		go func() {
			defer close(looking)
			for sleep(work, time.Second) {
				if v, err := a.Level(work); err == nil && v != nil {
					mu.Lock()
					w.levels[cfg.Name] = append(w.levels[cfg.Name], v.Level)
					mu.Unlock()
				}
			}
		}()
		err = a.Run(ctx, reloads)
		stop()
		<-looking
		return err
	}
	aims := map[string]time.Duration{}
	for _, c := range s.Classes {
		aims[c.Name] = c.Aim.D()
	}
	type asked struct {
		class string
		at    time.Duration
	}
	operations, calls := map[string]asked{}, map[string]string{}
	served := map[string]bool{}
	synctest.Test(t, func(t *testing.T) {
		var err error
		w.report, err = Play(context.Background(), Options{
			Scenario: s, Seed: seed, Network: network.NewMemory(seed), Front: front, Log: slog.New(noErrors{slog.DiscardHandler, t}), Lag: 5 * time.Millisecond,
			Tap: func(r *rules.Record) {
				switch r.Kind {
				case rules.Asked:
					calls[r.Call] = r.Operation
					if _, again := operations[r.Operation]; !again {
						operations[r.Operation] = asked{r.Class, r.At}
						w.asked[r.Class]++
					}
				case rules.Answered:
					o := operations[calls[r.Call]]
					if r.Status == http.StatusOK && !served[calls[r.Call]] && r.At-o.at <= aims[o.class] {
						served[calls[r.Call]] = true
						w.inAim[o.class]++
					}
				}
			},
			Watch: func(s *Snapshot) {
				w.course = append(w.course, fmt.Sprintf("%.0f\t%.0f\t%.3f\t%d", s.At.Seconds(), s.Rate, s.Share, s.Refused))
			},
		})
		if err != nil {
			t.Error(err)
		}
	})
	return w
}

// Load that swings slowly past what the fleet can do: the levels come and go with it and not more often, no rule is broken,
// and delivery-close is served better than without levels.
func TestSlowWave(t *testing.T) {
	var levels level.Config
	if err := tomlfile.Decode([]byte(waveLevels), &levels); err != nil {
		t.Fatal(err)
	}
	if err := levels.Validate(); err != nil {
		t.Fatal(err)
	}
	t.Parallel()
	var with, without *waved
	t.Run("play", func(t *testing.T) { // which ends when both have
		t.Run("with", func(t *testing.T) { t.Parallel(); with = playWave(t, *seedFlag, &levels) })
		t.Run("without", func(t *testing.T) { t.Parallel(); without = playWave(t, *seedFlag, nil) })
	})
	if t.Failed() {
		return
	}
	share := func(w *waved, class string) float64 { return float64(w.inAim[class]) / float64(max(1, w.asked[class])) }
	for _, w := range []*waved{with, without} {
		t.Logf("%d requests, %d in aim, %d refused; in aim status-update %.3f of %d, delivery-close %.3f of %d; %d changes of level at most",
			w.report.Requests, w.report.ServedInAim, w.report.Refused, share(w, "status-update"), w.asked["status-update"],
			share(w, "delivery-close"), w.asked["delivery-close"], w.changes())
		if !w.report.Kept() {
			t.Errorf("rules broken\n%s", findings(w.report))
		}
	}
	// Three waves, up and down each, three levels.
	if n := with.changes(); n < 2 || n > 18 {
		t.Errorf("%d changes of level in three waves", n)
	}
	if w, wo := share(with, "delivery-close"), share(without, "delivery-close"); w < wo {
		t.Errorf("in aim: delivery-close %.3f with levels, %.3f without", w, wo)
	}
	if *plotFlag != "" {
		plotWave(t, with, without)
	}
}

// plotWave writes the course with and without levels side by side: second, rate, share in aim, refused, then the levels.
func plotWave(t *testing.T, with, without *waved) {
	f, err := os.Create(*plotFlag)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	names := slices.Sorted(maps.Keys(with.levels))
	for i := range min(len(with.course), len(without.course)) {
		fmt.Fprintf(f, "%s\t%s", with.course[i], without.course[i])
		for _, name := range names {
			if levels := with.levels[name]; i < len(levels) {
				fmt.Fprintf(f, "\t%s", levels[i])
			}
		}
		fmt.Fprintln(f)
	}
}
