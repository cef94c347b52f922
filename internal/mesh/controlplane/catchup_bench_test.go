package controlplane

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/meshconfig"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// cluster is three members in one process. Their messages are encoded with gob as between
// processes.
type cluster struct {
	testing.TB
	mu    sync.Mutex
	nodes map[string]*consensus.Node
	dirs  map[string]string
}

func (c *cluster) send(message consensus.Message) {
	var buffer bytes.Buffer
	require.NoError(c, gob.NewEncoder(&buffer).Encode(message))
	c.mu.Lock()
	target := c.nodes[message.To]
	c.mu.Unlock()
	if target == nil {
		return
	}
	time.AfterFunc(time.Millisecond, func() {
		var copied consensus.Message
		require.NoError(c, gob.NewDecoder(&buffer).Decode(&copied))
		target.Receive(copied)
	})
}

func (c *cluster) start(name string, first bool) {
	node, err := consensus.Start(consensus.Options{Self: name, Seeds: []string{"a", "b", "c"}, FirstStart: first, Dir: c.dirs[name],
		Table: newTable(func() {}), Send: c.send, Log: &log.Logger{Handler: discard.Default}})
	require.NoError(c, err)
	c.mu.Lock()
	c.nodes[name] = node
	c.mu.Unlock()
}

func (c *cluster) stop(name string) {
	c.mu.Lock()
	node := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	require.NoError(c, node.Close())
}

func (c *cluster) propose(order *meshconfig.Order) {
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := c.nodes["a"].Propose(ctx, encodeOrder(order))
		cancel()
		if err == nil {
			return
		}
		<-time.After(50 * time.Millisecond)
	}
	require.Fail(c, "no node accepts a change")
}

func (c *cluster) waitUntil(condition func() bool) {
	for range 60000 {
		if condition() {
			return
		}
		<-time.After(time.Millisecond)
	}
	require.Fail(c, "condition not met within a minute")
}

// The time from the start of a member until it has applied all committed changes, for a member that
// missed 600 changes, and for one with an empty disk.
func BenchmarkCatchUp(b *testing.B) {
	for _, items := range []int{100, 1000, 5000, 20000} {
		for _, wiped := range []bool{false, true} {
			b.Run(fmt.Sprintf("items=%d/wiped=%v", items, wiped), func(b *testing.B) {
				c := &cluster{TB: b, nodes: map[string]*consensus.Node{}, dirs: map[string]string{}}
				for _, name := range []string{"a", "b", "c"} {
					c.dirs[name] = b.TempDir()
					c.start(name, true)
				}
				service := `{"add":{"items":[{"item_kind":"services","metadata":{"name":"s","version":"00000001"},"body":{"health_path":"/h"}}]}}`
				c.propose(&meshconfig.Order{Op: meshconfig.OpPatch, Body: []byte(service)})
				for i := 0; i < items; i += 500 {
					var body bytes.Buffer
					for j := i; j < min(i+500, items); j++ {
						if j > i {
							body.WriteByte(',')
						}
						body.WriteString(routeItem(j, 1))
					}
					c.propose(&meshconfig.Order{Op: meshconfig.OpPatch, Body: fmt.Appendf(nil, `{"add":{"items":[%s]}}`, body.Bytes())})
				}
				c.stop("c")
				var proposers sync.WaitGroup
				for i := range 8 {
					proposers.Go(func() {
						for j := range 75 {
							c.propose(&meshconfig.Order{Op: []string{meshconfig.OpEvacuate, meshconfig.OpReturn}[j%2], Zone: fmt.Sprint("z", i)})
						}
					})
				}
				proposers.Wait()
				if wiped {
					require.NoError(b, os.RemoveAll(c.dirs["c"]))
				}
				commit := c.nodes["a"].Status().Commit
				start := time.Now()
				c.start("c", false)
				c.waitUntil(func() bool { return c.nodes["c"].Status().Applied >= commit })
				b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms")
				for _, name := range []string{"a", "b", "c"} {
					c.stop(name)
				}
			})
		}
	}
}
