package controlplane

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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

// withCore runs a core process without its agreement in virtual time.
func withCore(t *testing.T, f func(c *Core)) {
	synctest.Test(t, func(t *testing.T) {
		c := New(&bootstrap.Settings{}, &log.Logger{Handler: discard.Default})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { c.own(ctx); close(ended) }()
		f(c)
		time.Sleep(time.Minute) // all feeds have ended by their timeouts
		cancel()
		<-ended
	})
}

// owned returns what the owner sees.
func owned[T any](c *Core, f func() T) T {
	answer := make(chan T, 1)
	c.do(func() { answer <- f() })
	return <-answer
}

// agent is the other end of a feed.
type agent struct {
	t    *testing.T
	ip   string
	conn *transport.Conn
	core uint64 // process that greeted it
	got  chan transport.CoreUpdate
}

// dial opens a feed up to the greeting.
func dial(t *testing.T, c *Core, ip string) *agent {
	near, far := net.Pipe()
	go func() {
		k := transport.NewConn(far)
		defer k.Close()
		c.serveFeed(ip+":8620", k)
	}()
	a := &agent{t: t, ip: ip, conn: transport.NewConn(near), got: make(chan transport.CoreUpdate, 64)}
	a.conn.SetDeadline(time.Now().Add(time.Minute))
	var greeting transport.CoreUpdate
	require.NoError(t, a.conn.Receive(&greeting))
	require.Empty(t, greeting.Stations)
	require.False(t, greeting.Whole)
	a.core = greeting.Core
	go func() {
		defer close(a.got)
		for {
			var d transport.CoreUpdate
			if a.conn.Receive(&d) != nil {
				return
			}
			a.got <- d
		}
	}()
	return a
}

// answer says the first word, and beats until the test is over or the feed has ended.
func (a *agent) answer(resume transport.ResumePoint) {
	s := &transport.Station{Agent: a.ip, Life: 1, Seq: 1, Open: true}
	require.NoError(a.t, a.conn.Send(&transport.AgentUpdate{Station: s, Resume: resume}, nil))
	go func() {
		for a.conn.Send(&transport.AgentUpdate{}, nil) == nil {
			time.Sleep(heartbeat)
		}
	}()
}

// hear collects until all has been told up to a revision.
func (a *agent) hear() (stations int, whole bool, resume transport.ResumePoint) {
	for d := range a.got {
		stations += len(d.Stations)
		whole = whole || d.Whole
		if d.Revision != 0 {
			return stations, whole, transport.ResumePoint{Core: a.core, Revision: d.Revision}
		}
	}
	a.t.Error("the feed has ended")
	return
}

// TestDeadConnectionsCostNothing has connections wait whose agent has gone, as after a stall of the
// process: they neither replace the live feed nor are told anything.
func TestDeadConnectionsCostNothing(t *testing.T) {
	withCore(t, func(c *Core) {
		live := dial(t, c, "10.0.0.1")
		live.answer(transport.ResumePoint{})
		live.hear()
		before := owned(c, func() *feed { return c.feeds["10.0.0.1"] })
		for range 20 {
			dead := dial(t, c, "10.0.0.1")
			dead.conn.Close()
		}
		silent := dial(t, c, "10.0.0.1")
		time.Sleep(2 * feedTimeout)
		synctest.Wait()
		require.Same(t, before, owned(c, func() *feed { return c.feeds["10.0.0.1"] }))
		_, open := <-silent.got
		require.False(t, open, "it was told something, or is still served")
		live.conn.Close()
	})
}

// TestWhatWasHeardIsNotToldAgain has an agent come back over a new connection.
func TestWhatWasHeardIsNotToldAgain(t *testing.T) {
	withCore(t, func(c *Core) {
		var others []*agent
		for i := range 100 {
			a := dial(t, c, fmt.Sprintf("10.0.1.%d", i))
			a.answer(transport.ResumePoint{})
			others = append(others, a)
			go func() {
				for range a.got {
				}
			}()
		}
		time.Sleep(time.Second)
		a := dial(t, c, "10.0.0.1")
		a.answer(transport.ResumePoint{})
		stations, whole, resume := a.hear()
		require.True(t, whole)
		require.GreaterOrEqual(t, stations, 100)
		time.Sleep(time.Second)
		for len(a.got) > 0 {
			if d := <-a.got; d.Revision != 0 {
				resume.Revision = d.Revision
			}
		}
		a.conn.Close()
		time.Sleep(time.Second)

		others[0].conn.Close() // which is lost meanwhile
		time.Sleep(time.Second)
		back := dial(t, c, "10.0.0.1")
		back.answer(resume)
		stations, whole, _ = back.hear()
		require.False(t, whole)
		require.LessOrEqual(t, stations, 2, "the one that is lost, and its own")

		stranger := dial(t, c, "10.0.0.2")
		stranger.answer(transport.ResumePoint{Core: resume.Core + 1, Revision: resume.Revision})
		_, whole, _ = stranger.hear()
		require.True(t, whole, "what another process told says nothing here")
		for _, a := range append(others, back, stranger) {
			a.conn.Close()
		}
	})
}

// TestStallTakesNobodyOut has the process stand still: agents whose feeds ended in it are not lost
// before they had time to come back, and nobody is told of others before that.
func TestStallTakesNobodyOut(t *testing.T) {
	withCore(t, func(c *Core) {
		a, gone := dial(t, c, "10.0.0.1"), dial(t, c, "10.0.0.2")
		a.answer(transport.ResumePoint{})
		gone.answer(transport.ResumePoint{})
		time.Sleep(time.Second)
		c.do(func() { time.Sleep(20 * time.Second) }) // the owner stands still; feeds run into their timeouts
		time.Sleep(21 * time.Second)
		lost := func(ip string) bool {
			return owned(c, func() bool { h, _ := c.registry.Status(c.now(), ip); return h.Lost })
		}
		a.conn.Close()
		gone.conn.Close()
		synctest.Wait()
		require.False(t, lost("10.0.0.1"), "nobody had time to come back")
		back := dial(t, c, "10.0.0.1")
		back.answer(transport.ResumePoint{})
		time.Sleep(settleFor + 2*time.Second)
		require.False(t, lost("10.0.0.1"))
		require.True(t, lost("10.0.0.2"), "who does not come back is lost")
		back.conn.Close()
	})
}

// TestProofNeedsAnIndex has a proof due on a feed whose agent has not said what it has: it would
// make an agent ready with whatever it had.
func TestProofNeedsAnIndex(t *testing.T) {
	c := New(&bootstrap.Settings{}, &log.Logger{Handler: discard.Default})
	f := newFeed("10.0.0.1", nil)
	f.proven = 7
	d, _ := c.next(f)
	require.Zero(t, d.Fresh)
	f.known = true
	d, _ = c.next(f)
	require.EqualValues(t, 7, d.Fresh)
}

// TestDepartureIsConfirmedByItsAgent has a core machine be told that a backend leaves. It may be one
// that is cut off from the agents, and a backend that is not told of may only have been out of reach,
// and come back: nobody but the agent beside it can acknowledge that nothing more reaches it.
func TestDepartureIsConfirmedByItsAgent(t *testing.T) {
	withCore(t, func(c *Core) {
		status := func(id string) int {
			w := httptest.NewRecorder()
			c.handler().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/api/servers/"+id, nil))
			return w.Code
		}
		require.Equal(t, http.StatusServiceUnavailable, status("i-1"))
		say := func(life, seq uint64, id string) {
			s := transport.Station{Agent: "10.0.0.1", Life: life, Seq: seq}
			if id != "" {
				s.Backend = &transport.Backend{ID: id}
			}
			owned(c, func() bool { c.hear(s); return true })
		}
		say(1, 1, "i-1")
		require.Equal(t, http.StatusServiceUnavailable, status("i-1"), "its agent has no feed here")
		say(2, 1, "") // the agent starts again, and has not heard of its backend yet
		require.Equal(t, http.StatusServiceUnavailable, status("i-1"))
		say(2, 2, "i-2")
		say(2, 3, "")
		require.Equal(t, http.StatusServiceUnavailable, status("i-2"), "its agent tells of it no more, which may be the network's fault")

		f := newFeed("10.0.0.1", nil)
		owned(c, func() bool { c.feeds[f.agent] = f; return true })
		for _, id := range []string{"i-1", "i-2"} {
			answered := make(chan int, 1)
			go func() { answered <- status(id) }()
			synctest.Wait()
			owned(c, func() bool {
				require.Len(t, f.beats, 1)
				require.Equal(t, transport.RelayedHeartbeat{ID: id, Leave: true}, f.beats[0].beat)
				c.heard(f, &transport.AgentUpdate{Handed: f.beats[0].number, Status: http.StatusOK})
				f.beats = nil
				return true
			})
			require.Equal(t, http.StatusOK, <-answered, "its agent has taken it in")
		}
		require.Equal(t, http.StatusServiceUnavailable, status("i-2"), "its agent says nothing")
		owned(c, func() bool {
			require.Empty(t, f.beats, "a call for which nobody waits would come late")
			require.Empty(t, f.replies)
			return true
		})
	})
}

// TestCallOfWhoHasGoneIsDropped has a call wait in the sockets of a process that stands still while
// its caller goes on elsewhere.
func TestCallOfWhoHasGoneIsDropped(t *testing.T) {
	served := make(chan bool, 2)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	call := func() net.Conn {
		c, err := net.Dial("tcp4", l.Addr().String())
		require.NoError(t, err)
		fmt.Fprint(c, "POST /api/drain-zone/z HTTP/1.1\r\nHost: core\r\nContent-Length: 0\r\n\r\n")
		return c
	}
	call().Close()
	waits := call()
	defer waits.Close()
	s := &http.Server{ConnContext: withConnection, Handler: forPresent(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served <- true }))}
	go s.Serve(l)
	defer s.Close()
	waits.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = waits.Read(make([]byte, 12))
	require.NoError(t, err)
	require.Len(t, served, 1)
}

// TestManyChangesAreToldTogether has a core machine carry out at once what was agreed on since its
// snapshot, as after a start: an agent is told in a few messages, and of a lone change at once.
func TestManyChangesAreToldTogether(t *testing.T) {
	withCore(t, func(c *Core) {
		a := dial(t, c, "10.0.0.1")
		a.answer(transport.ResumePoint{})
		a.hear()
		time.Sleep(time.Second)
		const changes = 100
		evacuate := func(index uint64) {
			c.table.Apply(index, encodeOrder(&meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: fmt.Sprint("zone", index)}))
		}
		told := func(index uint64) (messages int) { // until an index is told
			for d := range a.got {
				messages++
				if d.Index == index {
					require.Equal(t, c.table.now.Load().config.Digest(), d.Digest)
					return messages
				}
			}
			return 0
		}
		for len(a.got) > 0 {
			<-a.got
		}
		for index := uint64(1); index <= changes; index++ {
			evacuate(index)
			time.Sleep(time.Millisecond)
		}
		require.Less(t, told(changes), 8)
		time.Sleep(time.Second)
		began := time.Now()
		evacuate(changes + 1)
		told(changes + 1)
		require.Zero(t, time.Since(began))
		a.conn.Close()
	})
}
