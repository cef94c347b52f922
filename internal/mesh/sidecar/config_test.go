package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// An agent has nothing that no core machine agreed on, and is proven current only with what was current.
func TestConfigurationIsTakenByItsDigest(t *testing.T) {
	a := New("", &bootstrap.Settings{SparePorts: [2]int{7600, 7615}}, &log.Logger{Handler: discard.New()})
	f := &feed{core: "one", woken: make(chan struct{}, 1)}
	other := &feed{core: "two", woken: make(chan struct{}, 1), alive: true}
	a.feeds = map[string]*feed{"one": f, "two": other}
	first := meshconfig.New().Evacuate("a")
	second := first.Evacuate("b")
	whole := first.Encode()
	step := func(before, index uint64, zone string) transport.ConfigStep {
		return transport.ConfigStep{Before: before, Index: index, Order: meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: zone}}
	}
	has := func(index uint64, c *meshconfig.Config) {
		t.Helper()
		require.Equal(t, index, a.index)
		require.Equal(t, c.Encode(), a.config.Encode())
	}
	asked := func() uint64 { return max(f.want.Swap(0), other.want.Swap(0)) }

	a.hear(f, &transport.CoreUpdate{Index: 5, Fresh: 1}, nil)
	require.False(t, a.proven)
	require.EqualValues(t, 5, asked())
	a.hear(a.asking, &transport.CoreUpdate{Index: 5, Digest: first.Digest() + 1, Raw: int64(len(whole))}, whole)
	has(0, meshconfig.New())
	require.EqualValues(t, 5, asked(), "another one is asked for what came spoilt")
	a.hear(a.asking, &transport.CoreUpdate{Index: 5, Digest: first.Digest(), Raw: int64(len(whole))}, whole)
	has(5, first)
	require.True(t, a.proven)
	require.Zero(t, asked())

	next := transport.CoreUpdate{Index: 9, Digest: second.Digest()}
	for _, steps := range [][]transport.ConfigStep{{step(7, 9, "b")}, {step(5, 9, "c")}, {step(5, 7, "b")}, {{Before: 5, Index: 9}}} {
		next.Steps = steps
		a.hear(f, &next, nil)
		has(5, first)
	}
	require.EqualValues(t, 9, asked(), "asked for once, while the answer may come")
	next.Steps = []transport.ConfigStep{step(2, 5, "a"), step(5, 9, "b")}
	a.hear(f, &next, nil)
	has(9, second)
	a.hear(other, &transport.CoreUpdate{Index: 5, Digest: first.Digest(), Raw: int64(len(whole))}, whole)
	has(9, second)

	third := second.Evacuate("c")
	a.asking = nil
	a.hear(f, &transport.CoreUpdate{Index: 12}, nil)
	require.EqualValues(t, 9, a.asking.since.Load(), "steps from what it has will do")
	raw := transport.EncodeSteps([]transport.ConfigStep{step(9, 12, "d")})
	a.hear(a.asking, &transport.CoreUpdate{Index: 12, Digest: third.Digest(), RawSteps: true}, raw)
	has(9, second)
	require.Zero(t, a.asking.since.Load(), "the steps led elsewhere")
	raw = transport.EncodeSteps([]transport.ConfigStep{step(5, 9, "b"), step(9, 12, "c")})
	a.hear(a.asking, &transport.CoreUpdate{Index: 12, Digest: third.Digest(), RawSteps: true}, raw)
	has(12, third)
	a.asking = nil
	a.hear(f, &transport.CoreUpdate{Index: 13}, nil)
	require.EqualValues(t, 12, a.asking.since.Load())
}

// TestWholeIsAskedForOnce provokes CONFIG on thin links: a whole configuration that is on its way is
// not asked for at another core machine as well.
func TestWholeIsAskedForOnce(t *testing.T) {
	a := &Agent{feeds: map[string]*feed{}, newest: 5, commands: make(chan func(), queue)}
	for _, core := range []string{"a", "b", "c"} {
		a.feeds[core] = &feed{core: core, alive: true, index: 5, woken: make(chan struct{}, 1)}
	}
	stale := &feed{core: "d", alive: true, index: 4, woken: make(chan struct{}, 1)}
	a.feeds["d"] = stale
	for range 9 { // whoever tells of the change next
		a.askWhole()
	}
	asked := 0
	for _, f := range a.feeds {
		if f.want.Load() != 0 {
			asked++
		}
	}
	require.Equal(t, 1, asked)
	for range 50 {
		a.asking = nil
		a.askWhole()
	}
	require.Zero(t, stale.want.Load(), "one that is behind is asked for what it does not have")
}

// TestWholeThatArrivesIsWaitedFor has a whole configuration arrive for longer than it takes until
// another core machine is asked for one that does not.
func TestWholeThatArrivesIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Agent{feeds: map[string]*feed{}, newest: 5, commands: make(chan func(), queue)}
		for _, core := range []string{"a", "b"} {
			a.feeds[core] = &feed{core: core, alive: true, index: 5, woken: make(chan struct{}, 1)}
		}
		work := func(d time.Duration) { // as the owner does
			for end := time.After(d); ; {
				select {
				case command := <-a.commands:
					command()
				case <-end:
					return
				}
			}
		}
		a.askWhole()
		first := a.asking
		first.arriving.Store(true)
		work(arriveWithin - time.Second)
		require.Same(t, first, a.asking)
		work(askAgain + time.Second)
		require.NotSame(t, first, a.asking, "it arrives for too long")
		silent := a.asking
		work(askAgain + time.Millisecond)
		require.Same(t, first, a.asking, "nothing arrives of what %s was asked for", silent.core)
		first.arriving.Store(false)
		a.index = a.newest
		work(2 * askAgain)
	})
}
