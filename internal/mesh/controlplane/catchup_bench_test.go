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

// trio is three members in one process, with messages that go through gob as between processes.
type trio struct {
	testing.TB
	mu    sync.Mutex
	nodes map[string]*consensus.Node
	dirs  map[string]string
}

func (m *trio) send(msg consensus.Message) {
	var b bytes.Buffer
	require.NoError(m, gob.NewEncoder(&b).Encode(msg))
	m.mu.Lock()
	to := m.nodes[msg.To]
	m.mu.Unlock()
	if to == nil {
		return
	}
	time.AfterFunc(time.Millisecond, func() {
		var copied consensus.Message
		require.NoError(m, gob.NewDecoder(&b).Decode(&copied))
		to.Receive(copied)
	})
}

func (m *trio) start(name string, first bool) {
	node, err := consensus.Start(consensus.Options{Self: name, Seeds: []string{"a", "b", "c"}, FirstStart: first, Dir: m.dirs[name],
		Table: newTable(func() {}), Send: m.send, Log: &log.Logger{Handler: discard.Default}})
	require.NoError(m, err)
	m.mu.Lock()
	m.nodes[name] = node
	m.mu.Unlock()
}

func (m *trio) stop(name string) {
	m.mu.Lock()
	node := m.nodes[name]
	delete(m.nodes, name)
	m.mu.Unlock()
	require.NoError(m, node.Close())
}

func (m *trio) propose(o *meshconfig.Order) {
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := m.nodes["a"].Propose(ctx, encodeOrder(o))
		cancel()
		if err == nil {
			return
		}
		<-time.After(50 * time.Millisecond)
	}
	require.Fail(m, "nobody takes a change")
}

func (m *trio) until(holds func() bool) {
	for range 60000 {
		if holds() {
			return
		}
		<-time.After(time.Millisecond)
	}
	require.Fail(m, "not within a minute")
}

// How long a member takes from its start to all that is committed: one with its disk that was away
// for 600 changes, and one with an empty disk.
func BenchmarkCatchUp(b *testing.B) {
	for _, items := range []int{100, 1000, 5000, 20000} {
		for _, wiped := range []bool{false, true} {
			b.Run(fmt.Sprintf("items=%d/wiped=%v", items, wiped), func(b *testing.B) {
				m := &trio{TB: b, nodes: map[string]*consensus.Node{}, dirs: map[string]string{}}
				for _, name := range []string{"a", "b", "c"} {
					m.dirs[name] = b.TempDir()
					m.start(name, true)
				}
				service := `{"add":{"items":[{"item_kind":"services","metadata":{"name":"s","version":"00000001"},"body":{"health_path":"/h"}}]}}`
				m.propose(&meshconfig.Order{Op: meshconfig.OpPatch, Body: []byte(service)})
				for i := 0; i < items; i += 500 {
					var body bytes.Buffer
					for j := i; j < min(i+500, items); j++ {
						if j > i {
							body.WriteByte(',')
						}
						body.WriteString(routeItem(j, 1))
					}
					m.propose(&meshconfig.Order{Op: meshconfig.OpPatch, Body: fmt.Appendf(nil, `{"add":{"items":[%s]}}`, body.Bytes())})
				}
				m.stop("c")
				var all sync.WaitGroup
				for i := range 8 {
					all.Go(func() {
						for j := range 75 {
							m.propose(&meshconfig.Order{Op: []string{meshconfig.OpEvacuate, meshconfig.OpReturn}[j%2], Zone: fmt.Sprint("z", i)})
						}
					})
				}
				all.Wait()
				if wiped {
					require.NoError(b, os.RemoveAll(m.dirs["c"]))
				}
				commit := m.nodes["a"].Status().Commit
				began := time.Now()
				m.start("c", false)
				m.until(func() bool { return m.nodes["c"].Status().Applied >= commit })
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms")
				for _, name := range []string{"a", "b", "c"} {
					m.stop(name)
				}
			})
		}
	}
}
