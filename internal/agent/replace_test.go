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

// handovers is the number of times that the process is replaced. 200 take three minutes.
var handovers = flag.Int("handovers", 5, "how often the process is replaced under load")

// Processes of the agent replace one another under load, all accepting from a socket that none of
// them owns. No request is lost or runs twice, and a backend that was banned at the first process
// gets no requests from any of them.
func TestProcessesReplaceOneAnother(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	discoveryServer := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0)))
	shared, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer shared.Close()
	cfg := testConfig(t, discoveryServer.Addr, testSettings)
	cfg.SharedSocket, cfg.Handover = true, handover.Unix(t.TempDir())
	type process struct {
		*Agent
		stop  context.CancelFunc
		ended chan error
	}
	startProcess := func() process {
		file, err := shared.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		listener, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		ownConfig := *cfg
		a, err := New(&ownConfig, listener, TCP{}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		p := process{a, stop, make(chan error, 1)}
		go func() { p.ended <- a.Run(ctx, nil) }()
		for start := time.Now(); !a.Ready(); time.Sleep(time.Millisecond) {
			if time.Since(start) > testTimeout {
				t.Fatal("a process did not become ready")
			}
		}
		return p
	}
	current := startProcess()
	if known, err := current.Ban(t.Context(), "x", true); !known || err != nil {
		t.Fatal(known, err)
	}
	r := &runningAgent{url: "http://" + shared.Addr().String()}
	var served atomic.Int64
	var clients sync.WaitGroup
	stopClients, stopCounting := make(chan struct{}), make(chan struct{})
	runs := map[string]int{} // by call ID
	countingDone := make(chan struct{})
	go func() {
		defer close(countingDone)
		for {
			select {
			case req := <-y.Got:
				runs[req.Header.Get(callIDHeader)]++
			case <-stopCounting:
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
				case <-stopClients:
					return
				default:
				}
				resp, err := client.Do(r.request("unsafe", "15000m"))
				// A real client retries a request if its connection is closed before the answer.
				// This one does not, so such an error fails the test.
				if err != nil {
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
		next := startProcess()
		current.stop()
		if err := receive(t, "end of process "+strconv.Itoa(i), current.ended); err != nil {
			t.Fatal(err)
		}
		current = next
	}
	close(stopClients)
	clients.Wait()
	current.stop()
	receive(t, "end of the last process", current.ended)
	close(stopCounting)
	<-countingDone
	for len(y.Got) > 0 {
		runs[(<-y.Got).Header.Get(callIDHeader)]++
	}
	if n := len(x.Got); n > 0 {
		t.Errorf("%d requests sent to the banned backend", n)
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if n := int64(len(runs)); n != served.Load() || n == 0 {
		t.Errorf("%d requests ran, but %d were served", n, served.Load())
	}
}
