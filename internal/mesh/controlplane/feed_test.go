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

// withCore runs a control-plane process without consensus, in virtual time.
func withCore(t *testing.T, test func(c *Core)) {
	synctest.Test(t, func(t *testing.T) {
		c := New(&bootstrap.Settings{}, &log.Logger{Handler: discard.Default})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { c.runLoop(ctx); close(ended) }()
		test(c)
		time.Sleep(time.Minute) // until all feeds have timed out
		cancel()
		<-ended
	})
}

// inLoop runs f in the loop and returns its result.
func inLoop[T any](c *Core, f func() T) T {
	result := make(chan T, 1)
	c.submit(func() { result <- f() })
	return <-result
}

// testAgent is the agent's end of a feed.
type testAgent struct {
	t           *testing.T
	ip          string
	conn        *transport.Conn
	coreProcess uint64 // identifies the process that sent the greeting
	updates     chan transport.CoreUpdate
}

// dial opens a connection up to the greeting.
func dial(t *testing.T, c *Core, ip string) *testAgent {
	agentConn, coreConn := net.Pipe()
	go func() {
		conn := transport.NewConn(coreConn)
		defer conn.Close()
		c.serveFeed(ip+":8620", conn)
	}()
	a := &testAgent{t: t, ip: ip, conn: transport.NewConn(agentConn), updates: make(chan transport.CoreUpdate, 64)}
	a.conn.SetDeadline(time.Now().Add(time.Minute))
	var greeting transport.CoreUpdate
	require.NoError(t, a.conn.Receive(&greeting))
	require.Empty(t, greeting.Stations)
	require.False(t, greeting.Whole)
	a.coreProcess = greeting.Core
	go func() {
		defer close(a.updates)
		for {
			var update transport.CoreUpdate
			if a.conn.Receive(&update) != nil {
				return
			}
			a.updates <- update
		}
	}()
	return a
}

// sendFirstUpdate answers the greeting, and then sends heartbeats until the feed ends.
func (a *testAgent) sendFirstUpdate(resume transport.ResumePoint) {
	station := &transport.Station{Agent: a.ip, Life: 1, Seq: 1, Open: true}
	require.NoError(a.t, a.conn.Send(&transport.AgentUpdate{Station: station, Resume: resume}, nil))
	go func() {
		for a.conn.Send(&transport.AgentUpdate{}, nil) == nil {
			time.Sleep(heartbeatInterval)
		}
	}()
}

// receiveAll receives updates until all stations up to a revision have arrived.
func (a *testAgent) receiveAll() (stations int, complete bool, resume transport.ResumePoint) {
	for update := range a.updates {
		stations += len(update.Stations)
		complete = complete || update.Whole
		if update.Revision != 0 {
			return stations, complete, transport.ResumePoint{Core: a.coreProcess, Revision: update.Revision}
		}
	}
	a.t.Error("the feed has ended")
	return
}

// After a pause of the process, many connections wait whose agents have closed them. They neither
// replace the live feed nor are they sent anything.
func TestDeadConnectionsCostNothing(t *testing.T) {
	withCore(t, func(c *Core) {
		live := dial(t, c, "10.0.0.1")
		live.sendFirstUpdate(transport.ResumePoint{})
		live.receiveAll()
		before := inLoop(c, func() *feed { return c.feeds["10.0.0.1"] })
		for range 20 {
			dead := dial(t, c, "10.0.0.1")
			dead.conn.Close()
		}
		silent := dial(t, c, "10.0.0.1")
		time.Sleep(2 * feedTimeout)
		synctest.Wait()
		require.Same(t, before, inLoop(c, func() *feed { return c.feeds["10.0.0.1"] }))
		_, open := <-silent.updates
		require.False(t, open, "the connection got a message or is still open")
		live.conn.Close()
	})
}

// An agent that reconnects is sent only the stations that have changed in the meantime.
func TestWhatWasHeardIsNotToldAgain(t *testing.T) {
	withCore(t, func(c *Core) {
		var others []*testAgent
		for i := range 100 {
			other := dial(t, c, fmt.Sprintf("10.0.1.%d", i))
			other.sendFirstUpdate(transport.ResumePoint{})
			others = append(others, other)
			go func() {
				for range other.updates {
				}
			}()
		}
		time.Sleep(time.Second)
		agent := dial(t, c, "10.0.0.1")
		agent.sendFirstUpdate(transport.ResumePoint{})
		stations, complete, resume := agent.receiveAll()
		require.True(t, complete)
		require.GreaterOrEqual(t, stations, 100)
		time.Sleep(time.Second)
		for len(agent.updates) > 0 {
			if update := <-agent.updates; update.Revision != 0 {
				resume.Revision = update.Revision
			}
		}
		agent.conn.Close()
		time.Sleep(time.Second)

		others[0].conn.Close() // this agent is lost in the meantime
		time.Sleep(time.Second)
		reconnected := dial(t, c, "10.0.0.1")
		reconnected.sendFirstUpdate(resume)
		stations, complete, _ = reconnected.receiveAll()
		require.False(t, complete)
		require.LessOrEqual(t, stations, 2, "the lost one and its own")

		other := dial(t, c, "10.0.0.2")
		other.sendFirstUpdate(transport.ResumePoint{Core: resume.Core + 1, Revision: resume.Revision})
		_, complete, _ = other.receiveAll()
		require.True(t, complete, "a revision of another process is meaningless here")
		for _, agent := range append(others, reconnected, other) {
			agent.conn.Close()
		}
	})
}

// After a pause of the process, agents whose feeds ended in it are not reported as lost before they
// had time to reconnect, and no agent is sent other stations before that.
func TestStallTakesNobodyOut(t *testing.T) {
	withCore(t, func(c *Core) {
		agent, gone := dial(t, c, "10.0.0.1"), dial(t, c, "10.0.0.2")
		agent.sendFirstUpdate(transport.ResumePoint{})
		gone.sendFirstUpdate(transport.ResumePoint{})
		time.Sleep(time.Second)
		c.submit(func() { time.Sleep(20 * time.Second) }) // blocks the loop, so feeds time out
		time.Sleep(21 * time.Second)
		lost := func(ip string) bool {
			return inLoop(c, func() bool { status, _ := c.registry.Status(c.now(), ip); return status.Lost })
		}
		agent.conn.Close()
		gone.conn.Close()
		synctest.Wait()
		require.False(t, lost("10.0.0.1"), "agents had no time to reconnect")
		reconnected := dial(t, c, "10.0.0.1")
		reconnected.sendFirstUpdate(transport.ResumePoint{})
		time.Sleep(settleDelay + 2*time.Second)
		require.False(t, lost("10.0.0.1"))
		require.True(t, lost("10.0.0.2"), "an agent that does not reconnect is lost")
		reconnected.conn.Close()
	})
}

// No proof is sent to an agent that has not sent its configuration index yet, because the proof
// would make it ready with an outdated configuration.
func TestProofNeedsAnIndex(t *testing.T) {
	c := New(&bootstrap.Settings{}, &log.Logger{Handler: discard.Default})
	f := newFeed("10.0.0.1", nil)
	f.proofNumber = 7
	update, _ := c.nextUpdate(f)
	require.Zero(t, update.Fresh)
	f.announced = true
	update, _ = c.nextUpdate(f)
	require.EqualValues(t, 7, update.Fresh)
}

// Only a backend's agent may acknowledge that the backend was deregistered. A control-plane node
// may be cut off from the agents, and a backend that is no longer announced may only have been
// unreachable and return, so a node can't know that no more requests reach the backend.
func TestDepartureIsConfirmedByItsAgent(t *testing.T) {
	withCore(t, func(c *Core) {
		status := func(id string) int {
			w := httptest.NewRecorder()
			c.handler().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/api/servers/"+id, nil))
			return w.Code
		}
		require.Equal(t, http.StatusServiceUnavailable, status("i-1"))
		announce := func(life, seq uint64, id string) {
			station := transport.Station{Agent: "10.0.0.1", Life: life, Seq: seq}
			if id != "" {
				station.Backend = &transport.Backend{ID: id}
			}
			inLoop(c, func() bool { c.updateStation(station); return true })
		}
		announce(1, 1, "i-1")
		require.Equal(t, http.StatusServiceUnavailable, status("i-1"), "its agent has no feed here")
		announce(2, 1, "") // the agent restarts and does not know its backend yet
		require.Equal(t, http.StatusServiceUnavailable, status("i-1"))
		announce(2, 2, "i-2")
		announce(2, 3, "")
		require.Equal(t, http.StatusServiceUnavailable, status("i-2"), "the backend is no longer announced, maybe because of the network")

		f := newFeed("10.0.0.1", nil)
		inLoop(c, func() bool { c.feeds[f.agent] = f; return true })
		for _, id := range []string{"i-1", "i-2"} {
			result := make(chan int, 1)
			go func() { result <- status(id) }()
			synctest.Wait()
			inLoop(c, func() bool {
				require.Len(t, f.pendingHeartbeats, 1)
				require.Equal(t, transport.RelayedHeartbeat{ID: id, Leave: true}, f.pendingHeartbeats[0].heartbeat)
				c.handleUpdate(f, &transport.AgentUpdate{Handed: f.pendingHeartbeats[0].number, Status: http.StatusOK})
				f.pendingHeartbeats = nil
				return true
			})
			require.Equal(t, http.StatusOK, <-result, "its agent has accepted it")
		}
		require.Equal(t, http.StatusServiceUnavailable, status("i-2"), "its agent does not answer")
		inLoop(c, func() bool {
			require.Empty(t, f.pendingHeartbeats, "an abandoned call would arrive late")
			require.Empty(t, f.replies)
			return true
		})
	})
}

// A call that waited in the sockets of a paused process is dropped if its client has given up and
// gone to another node.
func TestCallOfWhoHasGoneIsDropped(t *testing.T) {
	served := make(chan bool, 2)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	openCall := func() net.Conn {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		fmt.Fprint(conn, "POST /api/drain-zone/z HTTP/1.1\r\nHost: core\r\nContent-Length: 0\r\n\r\n")
		return conn
	}
	openCall().Close()
	waiting := openCall()
	defer waiting.Close()
	core := New(&bootstrap.Settings{}, &log.Logger{Handler: discard.Default})
	serve := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served <- true })
	server := &http.Server{ConnContext: withConnection, Handler: core.acceptCall(maxZoneOrderBytes, serve)}
	go server.Serve(listener)
	defer server.Close()
	waiting.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = waiting.Read(make([]byte, 12))
	require.NoError(t, err)
	require.Len(t, served, 1)
}

// Many changes at once, such as the orders since the snapshot after a start, are sent to an agent
// in a few messages. A single change is sent at once.
func TestManyChangesAreToldTogether(t *testing.T) {
	withCore(t, func(c *Core) {
		agent := dial(t, c, "10.0.0.1")
		agent.sendFirstUpdate(transport.ResumePoint{})
		agent.receiveAll()
		time.Sleep(time.Second)
		const changes = 100
		evacuate := func(index uint64) {
			c.table.Apply(index, encodeOrder(&meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: fmt.Sprint("zone", index)}))
		}
		receiveUntil := func(index uint64) (messages int) { // until an index arrives
			for update := range agent.updates {
				messages++
				if update.Index == index {
					require.Equal(t, c.table.published.Load().config.Digest(), update.Digest)
					return messages
				}
			}
			return 0
		}
		for len(agent.updates) > 0 {
			<-agent.updates
		}
		for index := uint64(1); index <= changes; index++ {
			evacuate(index)
			time.Sleep(time.Millisecond)
		}
		require.Less(t, receiveUntil(changes), 8)
		time.Sleep(time.Second)
		start := time.Now()
		evacuate(changes + 1)
		receiveUntil(changes + 1)
		require.Zero(t, time.Since(start))
		agent.conn.Close()
	})
}
