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
type lines struct {
	sync.Mutex
	all      []string
	applying time.Duration // of a command
}

func (l *lines) Apply(_ uint64, command []byte) []byte {
	// Virtual time. A channel of time.After that falls due at the instant of another timer of the bubble
	// may be run by two threads at once, which Go 1.26's race detector does not survive.
	time.Sleep(l.applying)
	l.Lock()
	defer l.Unlock()
	l.all = append(l.all, string(command))
	return []byte(fmt.Sprint("line ", len(l.all)))
}

func (l *lines) Snapshot() []byte {
	l.Lock()
	defer l.Unlock()
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(l.all)
	return b.Bytes()
}

func (l *lines) Restore(_ uint64, snapshot []byte) error {
	l.Lock()
	defer l.Unlock()
	l.all = nil
	return gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&l.all)
}

func (l *lines) get() []string {
	l.Lock()
	defer l.Unlock()
	return append([]string{}, l.all...)
}

// network hands messages over through gob, as the processes do.
type network struct {
	sync.Mutex
	nodes  map[string]*Node
	unsent string // what this node sends is held up
	held   []Message
}

// hold has what a node sends wait until release.
func (n *network) hold(name string) {
	n.Lock()
	defer n.Unlock()
	n.unsent = name
}

func (n *network) release() {
	n.Lock()
	held := n.held
	n.unsent, n.held = "", nil
	n.Unlock()
	for _, m := range held {
		n.send(m)
	}
}

// holds keeps a message of the node that is held up.
func (n *network) holds(m Message) bool {
	n.Lock()
	defer n.Unlock()
	if m.From != n.unsent {
		return false
	}
	n.held = append(n.held, m)
	return true
}

func (n *network) send(m Message) {
	if n.holds(m) {
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

func (n *network) set(name string, node *Node) {
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
		net := &network{nodes: map[string]*Node{}}
		tables, nodes := map[string]*lines{}, map[string]*Node{}
		start := func(name string, first bool) {
			tables[name] = &lines{}
			node, err := Start(Options{Self: name, Seeds: []string{"a", "b", "c"}, FirstStart: first, Dir: dirs[name],
				Table: tables[name], Send: net.send, Log: &log.Logger{Handler: discard.Default}, Replace: 3 * time.Second})
			require.NoError(t, err)
			nodes[name] = node
			net.set(name, node)
		}
		stop := func(name string) {
			net.set(name, nil)
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
			require.Equal(t, want, tables[name].get())
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
			require.ElementsMatch(t, want, tables[name].get(), name)
			require.Equal(t, tables["a"].get(), tables[name].get(), name)
		}
		for name := range dirs {
			stop(name)
		}
	})
}
