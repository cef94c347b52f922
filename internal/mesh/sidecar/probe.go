package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
)

const (
	warmupLeftHeader = "Cold-Time"
	probeTimeout     = 500 * time.Millisecond
	// assumedCapacity is the number of concurrent requests that a backend is assumed to handle until
	// a heartbeat states it. It is lower than the capacity of any deployed backend.
	assumedCapacity = 4
)

// probeIfNeeded probes the backend for its identity if its heartbeats do not establish it. That is
// the case after a start of this process, which does not know what its predecessor acknowledged.
// Without a probe, the gate would stay closed until the next heartbeat. A draining backend answers
// 503. At most one probe runs at a time.
func (a *Agent) probeIfNeeded() {
	path := a.healthPath.Load()
	if path == nil || !a.probing.CompareAndSwap(false, true) {
		return
	}
	var generation uint64
	needed := false
	a.host.WithGate(func(_ time.Duration, g *gate) bool { generation, needed = g.NeedsProbe(); return false })
	if !needed {
		a.probing.Store(false)
		return
	}
	go func() {
		defer a.probing.Store(false)
		if b := a.probe(*path); b != nil {
			a.host.WithGate(func(now time.Duration, g *gate) bool { return g.ProbeSucceeded(now, generation, *b) })
		}
	}()
}

// probe sends one health probe and returns the backend that answered. It returns nil unless the
// backend is healthy and not draining.
func (a *Agent) probe(path string) *transport.Backend {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.settings.AppAddress+path, nil)
	if err != nil {
		return nil
	}
	req.Close = true
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return nil
	}
	resp.Body.Close()
	id := resp.Header.Get(inbound.ServerIDHeader)
	if resp.StatusCode != http.StatusOK || id == "" {
		return nil
	}
	b := &transport.Backend{ID: id, Service: a.settings.Service, Address: a.settings.AppAddress, Zone: a.settings.Zone, Capacity: assumedCapacity}
	if warmupLeft := resp.Header.Get(warmupLeftHeader); warmupLeft != "" {
		ms, err := strconv.ParseFloat(warmupLeft, 64)
		if err != nil || ms < 0 {
			return nil
		}
		b.ColdLeft = time.Duration(ms * float64(time.Millisecond))
	}
	return b
}
