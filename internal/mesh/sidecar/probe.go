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
	coldHeader   = "Cold-Time"
	probeTimeout = 500 * time.Millisecond
	// leastCapacity is how many requests a backend is taken to work on at once before a beat says it: less than any that is run.
	leastCapacity = 4
)

// probeIfUnproven asks the backend who it is where its calls don't tell for certain: after the start of this process, which does not
// know what the one before it acknowledged, and so that the gate need not stay shut until the next beat. A backend that leaves answers
// 503. One probe is under way at a time.
func (a *Agent) probeIfUnproven() {
	path := a.healthPath.Load()
	if path == nil || !a.probing.CompareAndSwap(false, true) {
		return
	}
	var changes uint64
	ask := false
	a.host.WithGate(func(_ time.Duration, g *gate) bool { changes, ask = g.NeedsProbe(); return false })
	if !ask {
		a.probing.Store(false)
		return
	}
	go func() {
		defer a.probing.Store(false)
		if b := a.probe(*path); b != nil {
			a.host.WithGate(func(now time.Duration, g *gate) bool { return g.ProbeSucceeded(now, changes, *b) })
		}
	}()
}

// probe asks the backend who it is. It returns nil unless the backend is well and does not leave.
func (a *Agent) probe(path string) *transport.Backend {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.set.AppAddress+path, nil)
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
	b := &transport.Backend{ID: id, Service: a.set.Service, Address: a.set.AppAddress, Zone: a.set.Zone, Capacity: leastCapacity}
	if cold := resp.Header.Get(coldHeader); cold != "" {
		ms, err := strconv.ParseFloat(cold, 64)
		if err != nil || ms < 0 {
			return nil
		}
		b.ColdLeft = time.Duration(ms * float64(time.Millisecond))
	}
	return b
}
