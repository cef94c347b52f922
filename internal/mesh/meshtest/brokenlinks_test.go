package meshtest

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/meshtest/relay"
	"github.com/stretchr/testify/require"
)

var (
	requestsFlag = flag.Int("requests", 1200, "that TestBrokenLinks sends at least while links break")
	linkSeedFlag = flag.Uint64("link-seed", 1, "of the faults of TestBrokenLinks")
	linkKeepFlag = flag.String("link-keep", "", "empty folder for the processes of TestBrokenLinks")
)

// chunkFaults is how many of the pieces that go over a link meet a fault. A request goes over eight
// links and back, each piece of it and of its answer by itself.
const chunkFaults = 0.04

// fault lists what befalls each link. What comes twice does so between processes that can know it
// by its id or its number; a client or a backend can't.
var (
	losses = []relay.Fault{
		{Action: relay.Reset, After: 600}, {Action: relay.Truncate, After: 600}, {Action: relay.Silence, After: 600},
		{Action: relay.Delay, Wait: 30 * time.Millisecond}, {Action: relay.Delay, Wait: 400 * time.Millisecond},
	}
	doubles = append([]relay.Fault{{Action: relay.Duplicate}}, losses...)
)

// raw is a client that uses one connection as no library does.
type raw struct {
	g *Cluster
	m *Machine
	n int
}

// write makes a request and the bytes of it.
func (c *raw) write(k *kind) (*Try, []byte) {
	c.n++
	t := &Try{ID: fmt.Sprintf("%016x", rand.Uint64()), Kind: k.kind, Machine: c.m.Name,
		Message: Message{Method: k.method, Host: host, URI: fmt.Sprintf("%sraw?n=%d", k.path, c.n), Caller: c.m.Service, Body: hash(nil)}}
	return t, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\nContent-Length: 0\r\n\r\n",
		t.Method, t.URI, t.Host, tryHeader, t.ID, leftHeader)
}

// read reads the answer to a request. Nothing that is whole is a Status of 0.
func (c *raw) read(r *bufio.Reader) (a Answer) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return a
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	return Answer{Status: resp.StatusCode, Try: resp.Header.Get(tryHeader), Seal: resp.Header.Get(sealHeader), Length: len(text), Body: hash(text)}
}

func (c *raw) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.DialTimeout("tcp4", c.m.reached(outboundPort), time.Second)
	if err != nil {
		return nil, nil
	}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	return conn, bufio.NewReader(conn)
}

// pipeline sends several requests at once on one connection, and at times breaks off within the last.
func (c *raw) pipeline() {
	conn, r := c.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	var all bytes.Buffer
	var tries []*Try
	for range 4 {
		t, text := c.write(&kinds[rand.N(2)])
		if !c.g.record.sent(t) {
			return
		}
		tries = append(tries, t)
		all.Write(text)
	}
	cut := all.Len()
	if rand.N(3) == 0 {
		cut -= 1 + rand.N(40)
	}
	conn.Write(all.Bytes()[:cut])
	if cut < all.Len() {
		conn.(*net.TCPConn).CloseWrite()
	}
	for _, t := range tries {
		c.g.record.ended(t, c.read(r), true)
	}
}

// again sends one unsafe request on two connections at the same time.
func (c *raw) again() {
	t, text := c.write(&kinds[1])
	if !c.g.record.sent(t) {
		return
	}
	answers := make(chan Answer, 2)
	for range cap(answers) {
		go func() {
			conn, r := c.dial()
			if conn == nil {
				answers <- Answer{}
				return
			}
			defer conn.Close()
			conn.Write(text)
			answers <- c.read(r)
		}()
	}
	a, b := <-answers, <-answers
	if promises(b.Status) || !promises(a.Status) && b.Status/100 == 2 {
		a = b // what says most
	}
	c.g.record.ended(t, a, true)
}

// run uses a machine's agent until the context ends.
func (c *raw) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.pipeline()
		c.again()
	}
}

// disturb has all links break at random, or none.
func disturb(g *Cluster, chance float64) {
	for _, m := range g.Agents {
		m.Links.Client.Random(chance, losses...)
		m.Links.Gate.Random(chance, doubles...)
		m.Links.Backend.Random(chance, losses...)
	}
}

// buildRaced builds the program with the race detector.
func buildRaced(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "micaline-mesh")
	out, err := exec.Command("go", "build", "-race", "-o", program, "example.org/micaline/cmd/micaline-mesh").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

// TestBrokenLinks has requests under way between real processes, built with the race detector,
// while the links on each hop break at random, an agent is killed with requests in hand, and a
// backend begins a new life; and judges by what clients and backends saw.
func TestBrokenLinks(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second+time.Duration(*requestsFlag)*20*time.Millisecond)
	defer cancel()
	at := t.TempDir()
	if *linkKeepFlag != "" {
		at = *linkKeepFlag
	}
	program, began := buildRaced(t), time.Now()
	step := func(what string) { t.Logf("%v: %s", time.Since(began).Round(time.Millisecond), what) }
	g, err := Start(ctx, Options{Program: program, Dir: at, Agents: 6, Rate: 60, Work: 10 * time.Millisecond,
		AgentLinks: true, Seed: *linkSeedFlag, GiveUp: 0.1})
	require.NoError(t, err)
	defer g.Close()
	step("all are ready")
	disturb(g, chunkFaults)
	raws, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for _, m := range g.Agents[:2] { // which live on: ids are remembered for a life of the process
		clients.Go(func() { (&raw{g: g, m: m}).run(raws) })
	}
	sent := func() (n int) {
		g.record.note(func(_ time.Duration, s *Story) { n = len(s.Tries) })
		return n
	}
	victim := g.Agents[4] // beside a backend of what must not run twice
	for part := 1; part <= 4; part++ {
		require.NoError(t, g.Await(ctx, "requests are sent", func() bool { return sent() >= *requestsFlag*part/4 }))
		switch part {
		case 1:
			victim.Kill()
			require.NoError(t, victim.Start())
		case 2:
			victim.Backend.Crash()
			require.NoError(t, victim.Backend.Start())
		case 3:
			victim.Stop()
			require.NoError(t, g.Await(ctx, "requests wait for it", func() bool { return sent() >= *requestsFlag*7/8 }))
			victim.Continue()
		}
	}
	stop()
	clients.Wait()
	disturb(g, 0)
	step("the links are whole again")
	faults := map[string]int{}
	for _, m := range g.Agents {
		for name, l := range map[string]*relay.Link{"client": m.Links.Client, "gate": m.Links.Gate, "backend": m.Links.Backend} {
			_, n := l.Counts()
			faults[name] += n
			l.Reset()
		}
		require.NotContains(t, raceOf(t, m), "DATA RACE")
	}
	require.NoError(t, g.Calm(ctx, 60))
	step("calm")
	v, err := g.Finish(ctx)
	require.NoError(t, err)
	require.Empty(t, v.Breaches)
	for _, name := range []string{"client", "gate", "backend"} {
		require.Greater(t, faults[name], *requestsFlag/100, "the links break too seldom: %v", faults)
	}
	t.Logf("%d requests, %d ran; of %d operations %d served, %d refused, %d failed; faults %v", v.Tries, v.Runs, v.Sent, v.Served, v.Refused, v.Failed, faults)
}

// raceOf is what a process has written.
func raceOf(t *testing.T, m *Machine) string {
	text, err := os.ReadFile(m.logFile())
	require.NoError(t, err)
	return string(text)
}
