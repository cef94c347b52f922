package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/maintenance"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// startSingleNode starts a control-plane node that is the only member, and waits until it leads.
func startSingleNode(t *testing.T) *Core {
	const address = "127.0.0.1:1" // nobody connects to it
	settings := &bootstrap.Settings{Control: address, Seeds: []string{address}, FirstStart: true, Zones: map[string]string{simZone: "r"}}
	c := New(settings, &log.Logger{Handler: discard.Default})
	node, err := consensus.Start(consensus.Options{Self: address, Seeds: settings.Seeds, FirstStart: true, Dir: t.TempDir(), Table: c.table,
		Send: func(consensus.Message) {}, Log: c.log})
	require.NoError(t, err)
	c.node = node
	ctx, cancel := context.WithCancel(context.Background())
	go c.runLoop(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, node.Close())
	})
	require.Eventually(t, func() bool { return node.Status().Role == "leader" }, 10*time.Second, 10*time.Millisecond)
	return c
}

// Calls that waited in the sockets of a paused process have no effect if their clients have gone,
// whatever their size and whatever they change. Without this, a change that was refused elsewhere
// came into force.
func TestAbandonedCallsHaveNoEffect(t *testing.T) {
	c := startSingleNode(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	send := func(method, path, body string) net.Conn {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: core\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
		require.NoError(t, err)
		return conn
	}
	const longerThanReadAhead = 16 << 10 // so that a part of the body is unread when the handler starts
	padding := strings.Repeat(" ", longerThanReadAhead)
	start := time.Now().Add(time.Hour)
	window, err := json.Marshal(maintenance.PlanDocument{Name: "power", Zones: []string{simZone}, Start: start, End: start.Add(time.Hour), Lead: "1m0s"})
	require.NoError(t, err)
	abandoned := []net.Conn{
		send(http.MethodPatch, "/api/config", string(addBody("services", "short", 1, "{}"))),
		send(http.MethodPatch, "/api/config", padding+string(addBody("services", "long", 1, "{}"))),
		send(http.MethodPost, "/api/drain-zone/"+simZone, ""),
		send(http.MethodPost, "/api/windows", string(window)),
		send(http.MethodPost, "/api/windows", padding+strings.Replace(string(window), "power", "cooling", 1)),
	}
	for _, conn := range abandoned {
		conn.Close()
	}
	waiting := send(http.MethodPatch, "/api/config", padding+string(addBody("services", "waiting", 1, "{}")))
	defer waiting.Close()
	server := &http.Server{Handler: c.handler(), ConnContext: withConnection}
	go server.Serve(listener)
	waiting.SetDeadline(time.Now().Add(5 * time.Second))
	response, err := io.ReadAll(waiting)
	require.NoError(t, err)
	require.Contains(t, string(response), "200 OK")
	require.NoError(t, server.Shutdown(t.Context())) // once no handler runs any more
	// What the handlers have proposed is in the log before this change, and so is applied before it.
	last := httptest.NewRecorder()
	c.handler().ServeHTTP(last, httptest.NewRequest(http.MethodPatch, "/api/config", bytes.NewReader(addBody("services", "last", 1, "{}"))))
	require.Equal(t, http.StatusOK, last.Code, last.Body)
	config := c.table.published.Load().config
	require.Equal(t, []string{"last", "waiting"}, config.Services())
	require.Empty(t, config.EvacuatedZones())
	require.Empty(t, c.table.publishedWindows.Load().Windows)
}
