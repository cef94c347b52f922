package outbound_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/outbound"
	"example.org/micaline/internal/mesh/transport"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

const (
	answerBytes = 2000
	gates       = 5
	width       = 64
)

// listen takes connections on a free port of loopback.
func listen(b *testing.B, serve func(net.Conn)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// backend answers each request at once and costs as little as can be.
func backend(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	body := bytes.Repeat([]byte("x"), answerBytes)
	var out, try []byte
	for {
		for try = try[:0]; ; {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) == 2 {
				break
			}
			if value, ok := bytes.CutPrefix(line, []byte("Try-Id: ")); ok {
				try = append(try, bytes.TrimSpace(value)...)
			}
		}
		out = fmt.Appendf(out[:0], "HTTP/1.1 200 OK\r\nTry-Id: %s\r\nServer-Seal: 3e1b.07\r\nContent-Length: %d\r\n\r\n%s", try, len(body), body)
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// drive sends requests one after the other from each of several clients, and reports times and processor time of the whole process.
func drive(b *testing.B, address string, clients int) {
	var next atomic.Int64
	times := make([][]time.Duration, clients)
	var wg sync.WaitGroup
	var before, after syscall.Rusage
	b.ReportAllocs()
	b.ResetTimer()
	syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for i := range clients {
		wg.Go(func() {
			c, err := net.Dial("tcp4", address)
			if err != nil {
				b.Error(err)
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			var out []byte
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				out = fmt.Appendf(out[:0], "GET /part/way/%d HTTP/1.1\r\nHost: host.example\r\nTry-Id: %016x\r\nTime-Left: 5000\r\nTarget-Server: i-1\r\n\r\n", n, n)
				began := time.Now()
				if _, err := c.Write(out); err != nil {
					b.Error(err)
					return
				}
				head, err := r.ReadSlice('\n')
				if err != nil || !bytes.HasPrefix(head, []byte("HTTP/1.1 200")) {
					b.Errorf("%q %v", head, err)
					return
				}
				for len(head) != 2 && err == nil {
					head, err = r.ReadSlice('\n')
				}
				if _, err := r.Discard(answerBytes); err != nil {
					b.Error(err)
					return
				}
				times[i] = append(times[i], time.Since(began))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	all := slices.Concat(times...)
	slices.Sort(all)
	busy := func(u *syscall.Rusage) int64 { return u.Utime.Nano() + u.Stime.Nano() }
	b.ReportMetric(float64(busy(&after)-busy(&before))/float64(b.N)/1e3, "cpu-µs/op")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkDirect is what client and backend cost without the mesh, to be taken off BenchmarkPath.
func BenchmarkDirect(b *testing.B) {
	for _, clients := range []int{1, 8} {
		b.Run(fmt.Sprint("clients=", clients), func(b *testing.B) { drive(b, listen(b, backend), clients) })
	}
}

// BenchmarkPath is a request's way from a client through sender and gate to a backend and back, all on loopback in one process.
func BenchmarkPath(b *testing.B) {
	for _, clients := range []int{1, 8} {
		b.Run(fmt.Sprint("clients=", clients), func(b *testing.B) { drive(b, mesh(b), clients) })
	}
}

// mesh is a sender and some gates, each with a backend; it returns where clients reach the sender.
func mesh(b *testing.B) string {
	patch, err := meshconfig.ParsePatch([]byte(`{"add":{"items":[{"item_kind":"services","metadata":{"name":"s","version":"00000001"},` +
		`"body":{"health_path":"/health"}},{"item_kind":"routes","metadata":{"name":"r","version":"00000001"},"body":{"domain":` +
		`"host.example","path_start":"/part/","kind":"safe","give_up":"5000ms","target_time":"800ms","service":"s","tries":2}}]}}`))
	require.NoError(b, err)
	config, _, err := meshconfig.New().Apply(patch)
	require.NoError(b, err)
	view := &outbound.View{Config: config, ConfigIndex: 1}
	rules := inbound.Rules{HeartbeatInterval: time.Hour}
	for i := range gates {
		host := inbound.NewHost(rules, 1<<20, transport.NewByteBudget(1<<30), func() {})
		at := listen(b, func(raw net.Conn) {
			c := transport.NewConn(raw)
			var hello transport.Hello
			if c.Receive(&hello) == nil {
				host.Serve(c)
			}
		})
		life := transport.Backend{ID: fmt.Sprint("i-", i), Service: "s", Address: listen(b, backend), Zone: "z", Capacity: width, Calls: 1}
		host.WithGate(func(now time.Duration, g *inbound.Gate) bool { g.SetLife(1); return g.ProbeSucceeded(now, 0, life) })
		view.Agents = append(view.Agents, transport.StationStatus{Station: transport.Station{Agent: fmt.Sprint("10.0.0.", i), Gate: at, Zone: "z",
			Life: 1, Seq: 1, Open: true, Backend: &life}})
	}
	set := &bootstrap.Settings{IP: "10.0.1.1", Zone: "z", Zones: map[string]string{"z": "r"}, Service: "caller"}
	set.Bounds.RetryRatio, set.Bounds.RetryWindow, set.Bounds.ExtraTries = 0.2, 10*time.Second, 60
	links := &transport.Pool{ControlAddress: "10.0.1.1:1", ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerGate: 64}
	s := outbound.New(set, inbound.NewHost(rules, 1<<20, transport.NewByteBudget(1<<30), func() {}), links, transport.NewByteBudget(1<<30), &log.Logger{Handler: discard.New()})
	s.SetView(view)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	server := outbound.NewServer(s)
	go server.Serve(l)
	b.Cleanup(func() { server.Close() })
	return l.Addr().String()
}
