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

// lineTable is a table that stores its commands as lines.
type lineTable struct {
	sync.Mutex
	lines      []string
	applyDelay time.Duration // time to apply a command
}

func (l *lineTable) Apply(_ uint64, command []byte) []byte {
	// time.Sleep rather than time.After: if the timer of such a channel expires at the same instant
	// as another timer of the synctest bubble, two threads may run it at once, which crashes the
	// race detector of Go 1.26.
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

// testNetwork delivers messages through gob, as the transport between processes does.
type testNetwork struct {
	sync.Mutex
	nodes        map[string]*Node
	heldSender   string // messages from this node are held back
	heldMessages []Message
}

// holdMessagesFrom holds back the messages of a node until releaseMessages is called.
func (n *testNetwork) holdMessagesFrom(name string) {
	n.Lock()
	defer n.Unlock()
	n.heldSender = name
}

func (n *testNetwork) releaseMessages() {
	n.Lock()
	messages := n.heldMessages
	n.heldSender, n.heldMessages = "", nil
	n.Unlock()
	for _, m := range messages {
		n.send(m)
	}
}

// holdMessage holds back a message if its sender is the selected one, and reports whether it did.
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
		receiver := n.nodes[m.To]
		n.Unlock()
		if receiver != nil {
			receiver.Receive(m)
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

// Three nodes and a learner replicate commands while the leader leaves, a node is lost and
// replaced, the lost node returns, and all nodes restart.
func TestNodes(t *testing.T) {
	dirs := map[string]string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		dirs[name] = t.TempDir()
	}
	synctest.Test(t, func(t *testing.T) {
		net := &testNetwork{nodes: map[string]*Node{}}
		tables, nodes := map[string]*lineTable{}, map[string]*Node{}
		start := func(name string, firstStart bool) {
			tables[name] = &lineTable{}
			node, err := Start(Options{Self: name, Seeds: []string{"a", "b", "c"}, FirstStart: firstStart, Dir: dirs[name],
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
		withTimeout := func(d time.Duration) context.Context {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			t.Cleanup(cancel)
			return ctx
		}
		waitForLeader := func() string {
			for range 100 {
				for name, n := range nodes {
					if n.Status().Role == "leader" {
						return name
					}
				}
				<-withTimeout(100 * time.Millisecond).Done()
			}
			require.Fail(t, "no leader")
			return ""
		}
		var want []string
		propose := func(name string) {
			text := fmt.Sprint("by ", name, " ", len(want))
			want = append(want, text)
			r, err := nodes[name].Propose(withTimeout(5*time.Second), []byte(text))
			require.NoError(t, err, name)
			require.Equal(t, fmt.Sprint("line ", len(want)), string(r.Reply))
		}
		for _, name := range []string{"a", "b", "c"} {
			start(name, true)
		}
		waitForLeader()
		<-withTimeout(300 * time.Millisecond).Done()
		for _, name := range []string{"a", "b", "c"} {
			propose(name)
		}
		for name, n := range nodes {
			require.NoError(t, n.Read(withTimeout(time.Second)))
			require.Equal(t, want, tables[name].appliedLines())
		}
		nodes[waitForLeader()].Leave(withTimeout(3 * time.Second))
		start("d", false) // its address is not a member
		<-withTimeout(time.Second).Done()
		stopped := waitForLeader()
		stop(stopped)
		for name, n := range nodes {
			_, err := n.Propose(withTimeout(100*time.Millisecond), []byte("lost"))
			require.ErrorIs(t, err, ErrUnknown, name) // the loss of the leader is not detected yet
		}
		waitForLeader()
		<-withTimeout(8 * time.Second).Done()
		for name, n := range nodes {
			require.ElementsMatch(t, nodes[waitForLeader()].Status().Members, n.Status().Members)
			require.Contains(t, n.Status().Members, "d")
			propose(name)
		}
		start(stopped, true) // with the disk it had before
		<-withTimeout(4 * time.Second).Done()
		require.Equal(t, "learner", nodes[stopped].Status().Role)
		var proposals sync.WaitGroup
		for i := range 700 { // enough for a snapshot, and more than one node accepts at a time
			proposals.Go(func() {
				for err := ErrBusy; err == ErrBusy; {
					_, err = nodes[stopped].Propose(withTimeout(5*time.Second), []byte(fmt.Sprint("many ", i)))
					require.True(t, err == nil || err == ErrBusy, err)
					<-withTimeout(10 * time.Millisecond).Done()
				}
			})
			want = append(want, fmt.Sprint("many ", i))
		}
		proposals.Wait()
		for name := range dirs {
			stop(name)
		}
		for name := range dirs {
			start(name, false)
		}
		waitForLeader()
		<-withTimeout(4 * time.Second).Done()
		for name, n := range nodes {
			require.NoError(t, n.Read(withTimeout(time.Second)))
			require.ElementsMatch(t, want, tables[name].appliedLines(), name)
			require.Equal(t, tables["a"].appliedLines(), tables[name].appliedLines(), name)
		}
		for name := range dirs {
			stop(name)
		}
	})
}
