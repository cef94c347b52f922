package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a backend began to work on.
type run struct {
	at               time.Duration
	backend, service string
	try, host, uri   string
	caller           string
}

// backend is the application beside an agent: one life of it.
type backend struct {
	c        *machine
	id       string
	capacity int
	work     time.Duration
	server   *http.Server
	beats    atomic.Uint64
	slots    chan struct{}
	leaving  atomic.Bool
	coldTill atomic.Int64 // unix ns
	quit     chan struct{}
	acked    atomic.Bool

	mu   sync.Mutex
	runs []run
}

func startBackend(c *machine, capacity int, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp4", c.at(appPort))
	if err != nil {
		return nil, err
	}
	b := &backend{c: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), capacity: capacity, work: work, slots: make(chan struct{}, capacity), quit: make(chan struct{})}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go b.server.Serve(l)
	go b.beat()
	c.m.rec.note("backend %s of %s starts beside %s", b.id, c.service, c.name)
	return b, nil
}

// beatOnce sends one beat to the machine's own agent, and to core machines if that fails.
func (b *backend) beatOnce() bool {
	state := "ready"
	if b.leaving.Load() {
		state = "draining"
	}
	cold := max(0, time.Until(time.Unix(0, b.coldTill.Load())))
	body, _ := json.Marshal(map[string]any{"service": b.c.service, "address": b.c.at(appPort), "zone": b.c.zone, "version": "v1", "capacity": b.capacity,
		"state": state, "warmup_left": fmt.Sprintf("%dms", cold.Milliseconds()), "call_count": b.beats.Add(1)})
	for _, at := range append([]*machine{b.c}, b.c.m.cores...) {
		status, _ := call(context.Background(), plain, time.Second, http.MethodPut, "http://"+at.at(controlPort)+"/api/servers/"+b.id, body)
		if status/100 == 2 {
			b.acked.Store(true)
			return true
		}
	}
	return false
}

func (b *backend) beat() {
	tick := time.NewTicker(1500 * time.Millisecond)
	defer tick.Stop()
	for {
		b.beatOnce()
		select {
		case <-tick.C:
		case <-b.quit:
			return
		}
	}
}

func (b *backend) close() {
	select {
	case <-b.quit:
	default:
		close(b.quit)
	}
	b.server.Close()
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"] = nil
	h.Set("Server-Id", b.id)
	try := r.Header.Get("Try-Id")
	h.Set("Try-Id", try)
	turnAway := func(status int) {
		h.Set("Not-Run", "1")
		w.WriteHeader(status)
	}
	if target := r.Header.Get("Target-Server"); target != "" && target != b.id {
		turnAway(421)
		return
	}
	if r.URL.Path == "/health" {
		if cold := time.Until(time.Unix(0, b.coldTill.Load())); cold > 0 {
			h.Set("Cold-Time", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		if b.leaving.Load() {
			w.WriteHeader(503)
		}
		return
	}
	left, err := strconv.Atoi(r.Header.Get("Time-Left"))
	if try == "" || err != nil {
		turnAway(400)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-deadline.C:
		turnAway(503)
		return
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, run{b.c.m.rec.now(), b.id, b.c.service, try, r.Host, r.RequestURI, r.Header.Get("Calling-Service")})
	b.mu.Unlock()
	b.c.m.rec.note("backend %s (%s) runs %s %s%s, Customer %q", b.id, b.c.service, try, r.Host, r.RequestURI, r.Header.Get("Customer"))
	select {
	case <-time.After(b.work):
	case <-deadline.C:
		w.WriteHeader(504)
		return
	}
	h.Set("Server-Seal", "seal."+b.id+"."+try)
	h.Set("Content-Type", "text/plain")
	io.WriteString(w, "answer of "+b.id+" to "+try+"\n")
}

// took returns the runs so far.
func (b *backend) took() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run{}, b.runs...)
}
