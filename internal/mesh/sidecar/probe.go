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

// probe asks the backend who it is, once after the start, so that the gate need not stay shut until the next beat, which may take
// more than a second. A backend that leaves says so by 503, and its beat says the rest.
func (a *Agent) probe(path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.set.AppAddress+path, nil)
	if err != nil {
		return
	}
	req.Close = true
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return
	}
	resp.Body.Close()
	id := resp.Header.Get(inbound.ServerHeader)
	if resp.StatusCode != http.StatusOK || id == "" {
		return
	}
	b := transport.Backend{ID: id, Service: a.set.Service, Address: a.set.AppAddress, Zone: a.set.Zone, Capacity: leastCapacity}
	if cold := resp.Header.Get(coldHeader); cold != "" {
		ms, err := strconv.ParseFloat(cold, 64)
		if err != nil || ms < 0 {
			return
		}
		b.ColdLeft = time.Duration(ms * float64(time.Millisecond))
	}
	a.host.With(func(now time.Duration, g *inbound.Gate) bool {
		return g.Backend(now) == nil && g.Beat(now, b, inbound.Probed)
	})
}
