package agent

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/micaline/internal/handover"
)

// handovers is how often the process is replaced; 200 take three minutes.
var handovers = flag.Int("handovers", 5, "how often the process is replaced under load")

// Under load one process after the other takes over a socket that none of them owns. Nothing is lost, nothing runs twice, and
// a backend that was called out of the first gets nothing from any.
func TestProcessesReplaceOneAnother(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	l := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0)))
	shared, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer shared.Close()
	cfg := testConfig(t, l.Addr, testSettings)
	cfg.SharedSocket, cfg.Handover = true, handover.Unix(t.TempDir())
	type process struct {
		*Agent
		stop  context.CancelFunc
		ended chan error
	}
	begin := func() process {
		file, err := shared.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		listener, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		own := *cfg
		a, err := New(&own, listener, TCP{}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		p := process{a, stop, make(chan error, 1)}
		go func() { p.ended <- a.Run(ctx, nil) }()
		for begun := time.Now(); !a.Ready(); time.Sleep(time.Millisecond) {
			if time.Since(begun) > testTimeout {
				t.Fatal("a process does not come up")
			}
		}
		return p
	}
	now := begin()
	if known, err := now.Ban(t.Context(), "x", true); !known || err != nil {
		t.Fatal(known, err)
	}
	r := &runningAgent{url: "http://" + shared.Addr().String()}
	var served atomic.Int64
	var clients sync.WaitGroup
	done, over := make(chan struct{}), make(chan struct{})
	ran := map[string]int{} // by call
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		for {
			select {
			case req := <-y.Got:
				ran[req.Header.Get(callIDHeader)]++
			case <-over:
				return
			}
		}
	}()
	for range 4 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: testTimeout}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-done:
					return
				default:
				}
				resp, err := client.Do(r.request("unsafe", "15000m"))
				if err != nil { // a request that crosses the end of its connection is sent again by its client, not by this one
					t.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Errorf("answered %d", resp.StatusCode)
					return
				}
				served.Add(1)
			}
		})
	}
	for i := range *handovers {
		next := begin()
		now.stop()
		if err := receive(t, "end of process "+strconv.Itoa(i), now.ended); err != nil {
			t.Fatal(err)
		}
		now = next
	}
	close(done)
	clients.Wait()
	now.stop()
	receive(t, "end", now.ended)
	close(over)
	<-counted
	for len(y.Got) > 0 {
		ran[(<-y.Got).Header.Get(callIDHeader)]++
	}
	if n := len(x.Got); n > 0 {
		t.Errorf("%d sent to the backend that was called out", n)
	}
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if n := int64(len(ran)); n != served.Load() || n == 0 {
		t.Errorf("%d ran for %d served", n, served.Load())
	}
}
