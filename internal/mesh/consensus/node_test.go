package consensus

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// lines is a table that keeps its commands.
type lineTable struct {
	sync.Mutex
	lines      []string
	applyDelay time.Duration // of a command
}

func (l *lineTable) Apply(_ uint64, command []byte) []byte {
	// Virtual time. A channel of time.After that falls due at the instant of another timer of the bubble
	// may be run by two threads at once, which Go 1.26's race detector does not survive.
	time.Sleep(l.applyDelay)
	l.Lock()
	defer l.Unlock()
	l.lines = append(l.lines, string(command))
	return []byte(fmt.Sprint("line ", len(l.lines)))
}

func (l *lineTable) Snapshot() []byte {
	l.Lock()
	defer l.Unlock()
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(l.lines)
	return b.Bytes()
}

func (l *lineTable) Restore(_ uint64, snapshot []byte) error {
	l.Lock()
	defer l.Unlock()
	l.lines = nil
	return gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&l.lines)
}

func (l *lineTable) appliedLines() []string {
	l.Lock()
	defer l.Unlock()
	return append([]string{}, l.lines...)
}

// network hands messages over through gob, as the processes do.
type testNetwork struct {
	sync.Mutex
	nodes        map[string]*Node
	heldSender   string // what this node sends is held up
	heldMessages []Message
}

// hold has what a node sends wait until release.
func (n *testNetwork) holdMessagesFrom(name string) {
	n.Lock()
	defer n.Unlock()
	n.heldSender = name
}

func (n *testNetwork) releaseMessages() {
	n.Lock()
	held := n.heldMessages
	n.heldSender, n.heldMessages = "", nil
	n.Unlock()
	for _, m := range held {
		n.send(m)
	}
}

// holds keeps a message of the node that is held up.
func (n *testNetwork) holdMessage(m Message) bool {
	n.Lock()
	defer n.Unlock()
	if m.From != n.heldSender {
		return false
	}
	n.heldMessages = append(n.heldMessages, m)
	return true
}

func (n *testNetwork) send(m Message) {
	if n.holdMessage(m) {
		return
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(m); err != nil {
		panic(err)
	}
	time.AfterFunc(time.Millisecond, func() {
		var m Message
		if err := gob.NewDecoder(&b).Decode(&m); err != nil {
			panic(err)
		}
		n.Lock()
		to := n.nodes[m.To]
		n.Unlock()
		if to != nil {
			to.Receive(m)
		}
	})
}

func (n *testNetwork) setNode(name string, node *Node) {
	n.Lock()
	defer n.Unlock()
	if node == nil {
		delete(n.nodes, name)
	} else {
		n.nodes[name] = node
	}
}

func TestNodes(t *testing.T) {
	dirs := map[string]string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		dirs[name] = t.TempDir()
	}
	synctest.Test(t, func(t *testing.T) {
		net := &testNetwork{nodes: map[string]*Node{}}
		tables, nodes := map[string]*lineTable{}, map[string]*Node{}
		start := func(name string, first bool) {
			tables[name] = &lineTable{}
			node, err := Start(Options{Self: name, Seeds: []string{"a", "b", "c"}, FirstStart: first, Dir: dirs[name],
				Table: tables[name], Send: net.send, Log: &log.Logger{Handler: discard.Default}, ReplaceAfter: 3 * time.Second})
			require.NoError(t, err)
			nodes[name] = node
			net.setNode(name, node)
		}
		stop := func(name string) {
			net.setNode(name, nil)
			require.NoError(t, nodes[name].Close())
			delete(nodes, name)
		}
		t.Cleanup(func() {
			for _, n := range nodes {
				n.Close()
			}
		})
		within := func(d time.Duration) context.Context {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			t.Cleanup(cancel)
			return ctx
		}
		lead := func() string {
			for range 100 {
				for name, n := range nodes {
					if n.Status().Role == "leader" {
						return name
					}
				}
				<-within(100 * time.Millisecond).Done()
			}
			require.Fail(t, "no leader")
			return ""
		}
		var want []string
		propose := func(name string) {
			text := fmt.Sprint("by ", name, " ", len(want))
			want = append(want, text)
			r, err := nodes[name].Propose(within(5*time.Second), []byte(text))
			require.NoError(t, err, name)
			require.Equal(t, fmt.Sprint("line ", len(want)), string(r.Reply))
		}
		for _, name := range []string{"a", "b", "c"} {
			start(name, true)
		}
		lead()
		<-within(300 * time.Millisecond).Done()
		for _, name := range []string{"a", "b", "c"} {
			propose(name)
		}
		for name, n := range nodes {
			require.NoError(t, n.Read(within(time.Second)))
			require.Equal(t, want, tables[name].appliedLines())
		}
		nodes[lead()].Leave(within(3 * time.Second))
		start("d", false) // at an address that is no member
		<-within(time.Second).Done()
		gone := lead()
		stop(gone)
		for name, n := range nodes {
			_, err := n.Propose(within(100*time.Millisecond), []byte("lost"))
			require.ErrorIs(t, err, ErrUnknown, name) // given to who is gone, and nobody knows yet
		}
		lead()
		<-within(8 * time.Second).Done()
		for name, n := range nodes {
			require.ElementsMatch(t, nodes[lead()].Status().Members, n.Status().Members)
			require.Contains(t, n.Status().Members, "d")
			propose(name)
		}
		start(gone, true) // with its old disk
		<-within(4 * time.Second).Done()
		require.Equal(t, "learner", nodes[gone].Status().Role)
		var many sync.WaitGroup
		for i := range 700 { // past a snapshot, and more at a time than one node takes
			many.Go(func() {
				for err := ErrBusy; err == ErrBusy; {
					_, err = nodes[gone].Propose(within(5*time.Second), []byte(fmt.Sprint("many ", i)))
					require.True(t, err == nil || err == ErrBusy, err)
					<-within(10 * time.Millisecond).Done()
				}
			})
			want = append(want, fmt.Sprint("many ", i))
		}
		many.Wait()
		for name := range dirs {
			stop(name)
		}
		for name := range dirs {
			start(name, false)
		}
		lead()
		<-within(4 * time.Second).Done()
		for name, n := range nodes {
			require.NoError(t, n.Read(within(time.Second)))
			require.ElementsMatch(t, want, tables[name].appliedLines(), name)
			require.Equal(t, tables["a"].appliedLines(), tables[name].appliedLines(), name)
		}
		for name := range dirs {
			stop(name)
		}
	})
}
