package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/document"
)

// meddled is a Front: the agent, with operators who change something on it all the time: other decisions, fewer
// requests, backends held out and let in, also such as drain, and for moments nothing taken.
func meddled(did *atomic.Int64) Front {
	return func(ctx context.Context, cfg *agent.Config, reloads <-chan *agent.Config, l net.Listener, n agent.Network, log *slog.Logger) error {
		a, err := agent.New(cfg, l, n, log)
		if err != nil {
			return err
		}
		meddling := make(chan struct{})
		work, stop := context.WithCancel(context.Background())
		go func() {
			defer close(meddling)
			rng := rand.New(rand.NewPCG(cfg.Seed, 9))
			for sleep(work, 20*time.Millisecond+time.Duration(rng.Int64N(int64(300*time.Millisecond)))) {
				meddle(work, a, rng)
				did.Add(1)
			}
		}()
		err = a.Run(ctx, reloads)
		stop()
		<-meddling
		return err
	}
}

func meddle(ctx context.Context, a *agent.Agent, rng *rand.Rand) {
	switch rng.IntN(4) {
	case 0:
		d, err := document.Parse(fmt.Appendf(nil, `{"service":{"requests":%d},"decisions":{"max_attempts":%d,"second_copies":%v,"classes":{"status-update":{"worth":%d}}}}`,
			20+rng.IntN(200), 1+rng.IntN(4), rng.IntN(2) == 0, 1+rng.IntN(9)))
		if err != nil {
			panic(err)
		}
		for _, part := range document.Parts {
			a.Apply(ctx, part, d) // it may have ended meanwhile
		}
	case 1, 2:
		s, err := a.State(ctx)
		if err != nil || len(s.Backends) == 0 {
			return
		}
		d := time.Duration(0) // let in
		if rng.IntN(2) == 0 {
			d = time.Duration(rng.Int64N(int64(2 * time.Second)))
		}
		a.Hold(ctx, s.Backends[rng.IntN(len(s.Backends))].Name, d)
	case 3:
		a.SetAccepting(false)
		sleep(ctx, 10*time.Millisecond)
		a.SetAccepting(true)
	}
}

// No change that operators make breaks a rule or loses a request, whatever else goes wrong: not while backends drain,
// restart cold or fall silent, nor while agents die.
func TestRulesHoldUnderChanges(t *testing.T) {
	for _, name := range []string{"calm", "rolling-restart", "cold-wave", "list-outage", "list-chaos", "mid-write-reset", "agent-churn", "all-at-once", "crowded"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := day(t, name, "")
			for seed := *seedFlag; seed < *seedFlag+*seedsFlag; seed++ {
				var did atomic.Int64
				r := virtual(t, s, seed, meddled(&did))
				if r == nil || t.Failed() {
					return
				}
				if !r.Kept() || r.Served == 0 || did.Load() < 50 {
					t.Fatalf("seed %d: %d served, %d changes\n%s", seed, r.Served, did.Load(), findings(r))
				}
			}
		})
	}
}
