package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"example.org/micaline/policy"
)

const (
	listPath     = "/discovery/hosts"
	maxListBytes = 4 << 20
	listTimeout  = time.Second // for the full list, unless on demand
	// automaticWatchWait and onDemandWatchWait are how long discovery may hold a watch until there
	// is a change. An unresponsive discovery is noticed only when a watch is overdue, so the wait
	// is short where calls are cheap. Where all agents share one service, it is long to limit the
	// load.
	automaticWatchWait = 2 * time.Second
	onDemandWatchWait  = 10 * time.Second
	watchGrace         = 700 * time.Millisecond // added to the wait for the answer to arrive
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = time.Second
	maxServerIDBytes   = 256
)

// errBadList is the error of an unusable answer of discovery. The full list is requested after it.
var errBadList = errors.New("bad list")

// member is one backend in a list of discovery.
type member struct {
	ID       string
	HostPort string `json:"host_port"`
	Locality string
	Flavor   string
	Cell     int
	Phase    string
	Size     float64
	UpSince  float64 `json:"up_since_ms"` // start of the process: Unix time in milliseconds
}

// memberList is an answer of discovery: the full list if Complete, else the changes since the
// requested revision.
type memberList struct {
	Revision *uint64
	Complete bool
	Members  []member
}

// stateByPhase maps the phases of members to the states that the decision module knows.
var stateByPhase = map[string]policy.ServerState{
	"Ready": policy.Ready, "Terminating": policy.Draining, "Gone": policy.Gone,
}

// parseList parses and checks a list. One invalid entry makes the whole list invalid, because using
// only the valid entries would remove backends that still exist.
func parseList(text []byte) (memberList, error) {
	var list memberList
	if err := json.Unmarshal(text, &list); err != nil {
		return memberList{}, fmt.Errorf("%w: %w", errBadList, err)
	}
	if list.Revision == nil {
		return memberList{}, fmt.Errorf("%w: no revision", errBadList)
	}
	seen := make(map[string]bool, len(list.Members))
	for i, m := range list.Members {
		state, known := stateByPhase[m.Phase]
		switch {
		case m.ID == "" || len(m.ID) > maxServerIDBytes || seen[m.ID]:
			return memberList{}, fmt.Errorf("%w: members[%d].id %.40q", errBadList, i, m.ID)
		case !known:
			return memberList{}, fmt.Errorf("%w: members[%d].phase %.40q", errBadList, i, m.Phase)
		case !(m.UpSince >= 0 && m.UpSince < 9e12): // the range of a time.Duration
			return memberList{}, fmt.Errorf("%w: members[%d].up_since_ms %v", errBadList, i, m.UpSince)
		}
		if _, err := netip.ParseAddrPort(m.HostPort); err != nil && state != policy.Gone {
			return memberList{}, fmt.Errorf("%w: members[%d].host_port: %w", errBadList, i, err)
		}
		seen[m.ID] = true
	}
	return list, nil
}

// discoveryClient is a client of the discovery service. It watches the list of backends and passes
// each change to the event loop.
type discoveryClient struct {
	addr           string
	onDemand       bool                            // watch only if the module asks, and report failures
	watchRequested chan struct{}                   // the module has requested a watch; capacity 1
	onList         func(policy.ListMode, []member) // called with each change and, if onDemand, after failures
	client         http.Client
	log            *slog.Logger

	revision *uint64 // of the last list received; nil to request the full list
}

// newDiscoveryClient returns a client that does not watch yet. run starts it.
func newDiscoveryClient(network Network, addr string, onDemand bool, onList func(policy.ListMode, []member), log *slog.Logger) *discoveryClient {
	return &discoveryClient{
		addr: addr, onDemand: onDemand, watchRequested: make(chan struct{}, 1), onList: onList, log: log,
		client: http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
					return network.Dial(ctx, addr)
				},
				MaxConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
			},
			// Redirects are not followed: discovery is only at the address that the platform gives.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// run watches the list until the context ends. A configuration from reloads or operatorChanges
// makes it switch to the address of discovery in it.
func (d *discoveryClient) run(ctx context.Context, reloads, operatorChanges <-chan *Config) {
	defer d.client.CloseIdleConnections()
	for {
		followCtx, stopFollowing := context.WithCancel(ctx)
		stopped := make(chan struct{})
		go func() {
			d.followList(followCtx)
			close(stopped)
		}()
		var cfg *Config
		select {
		case cfg = <-reloads:
		case cfg = <-operatorChanges:
		case <-ctx.Done():
			stopFollowing()
			<-stopped
			return
		}
		stopFollowing()
		<-stopped
		d.log.Info("reloaded", "discovery", cfg.Discovery)
		// The new service counts its own revisions, so the full list is requested first.
		d.addr, d.revision = cfg.Discovery, nil
		d.requestWatch()
	}
}

// followList watches the list at one address until the context ends, with retries after failures.
func (d *discoveryClient) followList(ctx context.Context) {
	failures := 0
	for {
		if d.onDemand {
			select {
			case <-d.watchRequested:
			case <-ctx.Done():
				return
			}
		}
		answered, err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if answered {
			failures = 0
		}
		if failures++; failures == 1 {
			d.log.Warn("discovery failed", "error", err)
		}
		if errors.Is(err, errBadList) {
			d.revision = nil
		}
		if d.onDemand {
			select { // requests made during the watch have failed with it
			case <-d.watchRequested:
			default:
			}
			d.onList(policy.ListFailed, nil) // the module decides when to retry
			continue
		}
		// Jitter keeps agents that lost discovery at the same time from returning at the same time.
		wait := min(maxRetryDelay, minRetryDelay<<min(failures-1, 10))
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
			return
		}
	}
}

// watch fetches the full list and then its changes, one call after the other, until a call fails.
// It reports whether any call was answered.
func (d *discoveryClient) watch(ctx context.Context) (answered bool, err error) {
	wait := automaticWatchWait
	if d.onDemand {
		wait = onDemandWatchWait
	}
	for {
		list, err := d.fetch(ctx, wait)
		if err == nil {
			err = ctx.Err() // after a reload the answer belongs to the previous service
		}
		if err != nil {
			return answered, err
		}
		answered = true
		switch {
		case list.Complete:
			d.onList(policy.ListFull, list.Members)
		case d.revision == nil || *list.Revision < *d.revision:
			return answered, fmt.Errorf("%w: changes up to %d do not follow the list held", errBadList, *list.Revision)
		case len(list.Members) > 0:
			d.onList(policy.ListDelta, list.Members)
		}
		d.revision = list.Revision
	}
}

// fetch makes one call: for the full list if there is no revision, else a watch for changes that
// may take as long as wait.
func (d *discoveryClient) fetch(ctx context.Context, wait time.Duration) (memberList, error) {
	url, timeout := "http://"+d.addr+listPath, listTimeout
	if d.onDemand {
		timeout = onDemandWatchWait // the service processes the calls of all agents one by one
	}
	if d.revision != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", url, *d.revision, wait.Milliseconds())
		timeout = wait + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return memberList{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return memberList{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	switch {
	case err != nil:
		return memberList{}, fmt.Errorf("reading the list: %w", err)
	case resp.StatusCode >= 400 && resp.StatusCode < 500: // such as for an unknown revision
		return memberList{}, fmt.Errorf("%w: status %s", errBadList, resp.Status)
	case resp.StatusCode != http.StatusOK:
		return memberList{}, fmt.Errorf("fetching the list: status %s", resp.Status)
	case len(text) > maxListBytes:
		return memberList{}, fmt.Errorf("%w: over %d bytes", errBadList, maxListBytes)
	}
	return parseList(text)
}

// requestWatch requests a watch from an onDemand client, unless one is already requested. Other
// clients watch all the time. It does not block, because the event loop calls it.
func (d *discoveryClient) requestWatch() {
	select {
	case d.watchRequested <- struct{}{}:
	default:
	}
}
