package meshtest

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const platformPort = 8267

// UsageCall is a report of usage that reached the platform.
type UsageCall struct {
	At       time.Duration
	Holder   string // Duty-Holder: a machine
	Fence    uint64
	Window   int64
	Counts   map[string]uint64
	Accepted bool
}

// Platform is a stand-in of the operators' platform. It takes reports, refuses those under a fence
// below one that it has seen, and may be slow, down, or lose its answers.
type Platform struct {
	g       *Cluster
	address string
	server  *http.Server

	mu      sync.Mutex
	highest uint64
	down    bool
	slow    time.Duration
	lose    float64 // share of the answers
}

func newPlatform(g *Cluster, subnet string) (*Platform, error) {
	p := &Platform{g: g, address: subnet + ".253:" + strconv.Itoa(platformPort)}
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{Handler: p}
	go p.server.Serve(l)
	return p, nil
}

func (p *Platform) close() { p.server.Close() }

// Trouble makes the platform down, slow, or lose a share of its answers, for a while.
func (p *Platform) Trouble(ctx context.Context, down bool, slow time.Duration, lose float64, lasts time.Duration) {
	t := &Trouble{Machine: "platform"}
	p.g.record.note(func(now time.Duration, s *Story) {
		t.From = now
		s.Troubles = append(s.Troubles, t)
	})
	p.set(down, slow, lose)
	over := time.NewTimer(lasts)
	defer over.Stop()
	select {
	case <-over.C:
	case <-ctx.Done():
	}
	p.set(false, 0, 0)
	p.g.record.note(func(now time.Duration, _ *Story) { t.Until = now })
}

func (p *Platform) set(down bool, slow time.Duration, lose float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.slow, p.lose = down, slow, lose
}

// Last is the machine that called last, nil if none has, and under which fence.
func (p *Platform) Last() (m *Machine, fence uint64) {
	p.g.record.note(func(_ time.Duration, s *Story) {
		if len(s.Reports) == 0 {
			return
		}
		last := s.Reports[len(s.Reports)-1]
		fence = last.Fence
		for _, one := range p.g.all() {
			if one.Name == last.Holder {
				m = one
			}
		}
	})
	return m, fence
}

// ServeHTTP takes a report.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down, slow, lose := p.down, p.slow, rand.Float64() < p.lose
	p.mu.Unlock()
	var body struct {
		Window int64
		Counts map[string]uint64
	}
	fence, err := strconv.ParseUint(r.Header.Get("Fence-Number"), 10, 64)
	if err == nil {
		err = json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&body)
	}
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil || r.Method != http.MethodPost || r.URL.Path != "/usage":
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(slow / 2)
	accepted := p.accept(&UsageCall{Holder: r.Header.Get("Duty-Holder"), Fence: fence, Window: body.Window, Counts: body.Counts})
	time.Sleep(slow / 2)
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !accepted:
		w.WriteHeader(http.StatusConflict)
	}
}

func (p *Platform) accept(c *UsageCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Accepted = c.Fence >= p.highest
	p.highest = max(p.highest, c.Fence)
	p.g.record.note(func(now time.Duration, s *Story) {
		c.At = now
		s.Reports = append(s.Reports, c)
	})
	return c.Accepted
}
