package fleet

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin/network"
)

var (
	seedFlag  = flag.Uint64("seed", 1, "the first seed of each scenario that is played")
	seedsFlag = flag.Uint64("seeds", 2, "so many seeds are played")
)

func TestMain(m *testing.M) {
	if front := benchFronts[os.Getenv(asFront)]; front != nil {
		if err := serveAsFront(front); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	flag.Parse()
	debug.SetGCPercent(400) // thousands of short days: memory is cheaper here than time
	os.Exit(m.Run())
}

// noErrors is a log in which an error fails the test: an input that does not fit the life of an attempt is one.
type noErrors struct {
	slog.Handler
	t *testing.T
}

func (noErrors) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelError }

func (h noErrors) WithAttrs([]slog.Attr) slog.Handler { return h }

func (h noErrors) Handle(_ context.Context, r slog.Record) error {
	text := r.Message
	r.Attrs(func(a slog.Attr) bool { text += " " + a.String(); return true })
	h.t.Errorf("logged: %s", text)
	return nil
}

// virtual plays a scenario in memory, in a time of its own.
func virtual(t *testing.T, s *scenario.Scenario, seed uint64, front Front) (r *Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		r, err = Play(context.Background(), Options{
			Scenario: s, Seed: seed, Network: network.NewMemory(seed), Front: front, Log: slog.New(noErrors{slog.DiscardHandler, t}),
			Lag: 5 * time.Millisecond,
		})
		if err != nil {
			t.Error(err)
		}
	})
	return r
}

// findings are the reasons of a report's verdicts, for a person.
func findings(r *Report) string {
	var b strings.Builder
	for _, rule := range r.Rules {
		for _, f := range rule.Findings {
			if !f.CantTell {
				fmt.Fprintf(&b, "%s: %s\n\t%s\n", rule.Rule, f.What, strings.Join(f.Evidence, "\n\t"))
			}
		}
	}
	return b.String()
}

// The agent keeps the four rules on every day that ships with it.
func TestShippedScenarios(t *testing.T) {
	for _, s := range scenario.Shipped() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			for seed := *seedFlag; seed < *seedFlag+*seedsFlag; seed++ {
				r := virtual(t, s, seed, agent.Serve)
				if r == nil || t.Failed() {
					return
				}
				if !r.Kept() || r.Served == 0 {
					t.Fatalf("seed %d: %d served, lost %d, twice %d, drains %d, cold %d; to play it again:\n\tgo test ./internal/fleet -run 'TestShippedScenarios/%s$' -seed %d -seeds 1\n%s",
						seed, r.Served, r.Lost, r.EffectsTwice, r.DrainsBroken, r.ColdPushed, s.Name, seed, findings(r))
				}
			}
		})
	}
}
