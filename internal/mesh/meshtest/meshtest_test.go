package meshtest

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var keepFlag = flag.String("keep", "", "empty folder for the processes' settings, disks and logs")

// build builds the program, once.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "micaline-mesh-cluster")
	if err != nil {
		return "", err
	}
	if out, err := exec.Command("go", "build", "-o", dir, "example.org/micaline/cmd/micaline-mesh").CombinedOutput(); err != nil {
		return dir, fmt.Errorf("building the program: %w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	flag.Parse()
	// A story is waiting more than work: one for each core would take long on two.
	if p := flag.Lookup("test.parallel"); p.Value.String() == p.DefValue {
		p.Value.Set("6")
	}
	code := m.Run()
	if dir, _ := build(); dir != "" {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// leaving is the story in which work lasts long enough to be left.
const leaving = "clients leave while an agent is stopped and killed"

// returning is the story that needs five core machines.
const returning = "a core machine comes back as the core is cut in two"

// TestCluster has each story under the race of real requests, and judges by what the stand-ins saw.
func TestCluster(t *testing.T) {
	t.Parallel() // with the days
	dir, err := build()
	require.NoError(t, err)
	for name, story := range map[string]func(t *testing.T, ctx context.Context, g *Cluster){
		"a leader is killed between two changes":          leaderKilled,
		"all core machines are killed":                    coreKilled,
		"one is wiped while another is behind":            wiped,
		"an agent is killed within a drain":               agentKilledInDrain,
		"a zone is evacuated and taken back":              evacuated,
		"two operators send one version":                  twoOperators,
		"a change is refused while a machine is stopped":  refusedWhileStopped,
		"an agent ends in order while the leader is mute": endsInOrder,
		"a core machine is cut off":                       cutOff,
		returning:                                         returnsInACut,
		leaving:                                           clientsLeave,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			within := 35 * time.Second
			cuts := name == "a core machine is cut off"
			if cuts { // four times one after the other
				within = 60 * time.Second
			}
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			at := t.TempDir()
			if *keepFlag != "" {
				at = filepath.Join(*keepFlag, filepath.Base(t.Name()))
				require.NoError(t, os.MkdirAll(at, 0o700))
			}
			options := Options{Program: filepath.Join(dir, "micaline-mesh"), Dir: at, Agents: 6, Rate: 10, Work: 20 * time.Millisecond, CoreLinks: cuts}
			if name == returning {
				options.Cores, options.CoreLinks = 5, true
			}
			if name == leaving {
				options.Rate, options.Work, options.GiveUp = 4, 600*time.Millisecond, 0.6
			}
			g, err := Start(ctx, options)
			require.NoError(t, err)
			defer g.Close()
			story(t, ctx, g)
			require.NoError(t, g.Calm(ctx, 60))
			v, err := g.Finish(ctx)
			require.NoError(t, err)
			require.Empty(t, v.Breaches)
			t.Logf("%d sent, %d refused, %d failed; p99 %v", v.Sent, v.Refused, v.Failed, v.Quantile(0.99))
		})
	}
}

func play(t *testing.T, ctx context.Context, g *Cluster, trouble string, lasts time.Duration) {
	t.Helper()
	require.NoError(t, g.Play(ctx, trouble, lasts, func(string, ...any) {}))
}

func leaderKilled(t *testing.T, ctx context.Context, g *Cluster) { play(t, ctx, g, "kill-core", 0) }

func coreKilled(t *testing.T, ctx context.Context, g *Cluster) {
	require.NoError(t, g.Operator.Change(ctx, g.Route(0, g.services[1], 2)))
	for _, m := range g.Cores {
		m.Kill()
	}
	for _, m := range g.Cores {
		require.NoError(t, m.Start())
	}
	require.NoError(t, g.Operator.Change(ctx, g.Route(1, g.services[0], 2)))
}

// wiped: the first two have a change that the third lacks; the first loses its disk, and then the
// third is there again. What was acknowledged is on the disk of the second alone.
func wiped(t *testing.T, ctx context.Context, g *Cluster) {
	a, b, c := g.Cores[0], g.Cores[1], g.Cores[2]
	c.Kill()
	require.NoError(t, g.Operator.ChangeAt(ctx, a, g.Route(0, g.services[1], 2)))
	a.Kill()
	b.Kill()
	require.NoError(t, a.Wipe())
	for _, m := range []*Machine{a, c, b} { // those that have forgotten first
		require.NoError(t, m.Start())
	}
	require.NoError(t, g.Settle(ctx))
}

func agentKilledInDrain(t *testing.T, ctx context.Context, g *Cluster) {
	m := g.Agents[0]
	require.NoError(t, m.Backend.Leave(ctx, func() {
		m.Kill()
		require.NoError(t, m.Start())
	}))
	require.NoError(t, m.Backend.Start())
	require.NoError(t, g.Await(ctx, "the next life is listed", m.Backend.heard.Load))
}

// clientsLeave has an agent stand still for longer than work may go on for nobody, and killed, while
// clients leave; runs of its clients and of others' end all the same.
func clientsLeave(t *testing.T, ctx context.Context, g *Cluster) {
	m := g.Agents[0]
	for _, trouble := range []func(){m.Stop, m.Continue, m.Kill, func() { require.NoError(t, m.Start()) }} {
		trouble()
		awaitLeaves(t, ctx, g, 10)
	}
}

func evacuated(t *testing.T, ctx context.Context, g *Cluster) {
	play(t, ctx, g, "evacuate", 2*time.Second)
	from := 0
	g.record.note(func(_ time.Duration, s *Story) { from = len(s.Runs) })
	require.NoError(t, g.Await(ctx, "backends of the zone are used again", func() (used bool) {
		g.record.note(func(_ time.Duration, s *Story) {
			for _, r := range s.Runs[from:] {
				used = used || r.Zone == zones[0]
			}
		})
		return used
	}))
}

func endsInOrder(t *testing.T, ctx context.Context, g *Cluster) {
	mute, m := g.Leader(), g.Agents[0]
	mute.Stop()
	require.True(t, m.Terminate(), "it ends within the bound")
	require.NoError(t, g.Operator.ChangeAt(ctx, mute, g.Route(0, g.services[1], 2)))
	mute.Continue()
	require.NoError(t, m.Start())
}
