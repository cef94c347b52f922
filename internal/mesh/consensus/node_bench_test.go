package consensus

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// BenchmarkPropose has commands agreed on by three nodes, each with a file of its own that is synced; messages pass at once.
func BenchmarkPropose(b *testing.B) {
	for _, many := range []int{1, 16} {
		for _, size := range []int{700, 400_000} {
			b.Run(fmt.Sprintf("callers=%d/bytes=%d", many, size), func(b *testing.B) { benchmarkThreeNodes(b, many, size) })
		}
	}
}

func benchmarkThreeNodes(b *testing.B, many, size int) {
	names := []string{"a", "b", "c"}
	var mu sync.RWMutex
	nodes := map[string]*Node{}
	send := func(m Message) {
		mu.RLock()
		defer mu.RUnlock()
		if n := nodes[m.To]; n != nil {
			n.Receive(m)
		}
	}
	for _, name := range names {
		n, err := Start(Options{Self: name, Seeds: names, FirstStart: true, Dir: b.TempDir(), Table: new(discardingTable), Send: send,
			Log: &log.Logger{Handler: discard.New()}})
		require.NoError(b, err)
		b.Cleanup(func() { n.Close() })
		mu.Lock()
		nodes[name] = n
		mu.Unlock()
	}
	command := make([]byte, size)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	var leader *Node
	for leader == nil {
		n := nodes["a"]
		if _, err := n.Propose(ctx, command); err == nil {
			leader = nodes[n.Status().Leader]
		}
		require.NoError(b, ctx.Err())
	}
	syncs := func() (n uint64) {
		for _, node := range nodes {
			n += node.Status().Syncs
		}
		return n
	}
	var left atomic.Int64
	left.Store(int64(b.N))
	times := make([][]time.Duration, many)
	before := syncs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for i := range many {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				began := time.Now()
				if _, err := leader.Propose(ctx, command); err != nil {
					b.Error(err)
					return
				}
				times[i] = append(times[i], time.Since(began))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	all := slices.Concat(times...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1e3, "p50-ms")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1e3, "p99-ms")
	b.ReportMetric(float64(syncs()-before)/float64(b.N)/float64(len(names)), "syncs/op/node")
}

// count is a table that keeps nothing.
type discardingTable struct{ applied int }

func (c *discardingTable) Apply(uint64, []byte) []byte  { c.applied++; return nil }
func (c *discardingTable) Snapshot() []byte             { return nil }
func (c *discardingTable) Restore(uint64, []byte) error { return nil }
