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
	maxListBytes = 4 << 20 // bytes of a list
	listTimeout  = time.Second
	// pushWatch and askWatch are how long a watch may wait. Silence shows only when a watch is overdue: where
	// calls cost nothing it is short; where all agents share one service it is kept in peace.
	automaticWatchWait = 2 * time.Second
	onDemandWatchWait  = 10 * time.Second
	watchGrace         = 700 * time.Millisecond // that an answer may come after a watch's wait
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = time.Second
	maxServerIDBytes   = 256 // bytes
)

// errBadList is an answer of discovery that cannot be used, after which only the whole list will do.
var errBadList = errors.New("bad list")

// member is one backend as discovery tells it.
type member struct {
	ID       string
	HostPort string `json:"host_port"`
	Locality string
	Flavor   string
	Cell     int
	Phase    string
	Size     float64
	UpSince  float64 `json:"up_since_ms"` // Unix time, milliseconds
}

// memberList is an answer of discovery.
type memberList struct {
	Revision *uint64
	Complete bool
	Members  []member
}

var stateByPhase = map[string]policy.ServerState{
	"Ready": policy.Ready, "Terminating": policy.Draining, "Gone": policy.Gone,
}

// parseList takes a list whole or not at all: half of one would take backends for gone that are not.
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
		case !(m.UpSince >= 0 && m.UpSince < 9e12): // what a time.Duration can hold
			return memberList{}, fmt.Errorf("%w: members[%d].up_since_ms %v", errBadList, i, m.UpSince)
		}
		if _, err := netip.ParseAddrPort(m.HostPort); err != nil && state != policy.Gone {
			return memberList{}, fmt.Errorf("%w: members[%d].host_port: %w", errBadList, i, err)
		}
		seen[m.ID] = true
	}
	return list, nil
}

// discovery follows the list of backends and hands each change to the loop.
type discovery struct {
	addr           string
	onDemand       bool          // only when the module asks, and it hears of failures
	watchRequested chan struct{} // the module asks; holds one
	onList         func(policy.ListMode, []member)
	client         http.Client
	log            *slog.Logger

	revision *uint64 // of the list held; nil when the whole list is wanted
}

func newDiscovery(network Network, addr string, onDemand bool, onList func(policy.ListMode, []member), log *slog.Logger) *discovery {
	return &discovery{
		addr: addr, onDemand: onDemand, watchRequested: make(chan struct{}, 1), onList: onList, log: log,
		client: http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
					return network.Dial(ctx, addr)
				},
				MaxConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
			},
			// Discovery is at the address that the platform gives and nowhere else.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// run follows the list until the context ends, from each reload on at the address that it brings.
func (d *discovery) run(ctx context.Context, reloads, operatorChanges <-chan *Config) {
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
		// The new service counts revisions of its own, so its whole list comes first.
		d.addr, d.revision = cfg.Discovery, nil
		d.requestWatch()
	}
}

// followList follows the list at one address until the context ends.
func (d *discovery) followList(ctx context.Context) {
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
			select { // what was asked while the watch ran is part of its failure
			case <-d.watchRequested:
			default:
			}
			d.onList(policy.ListFailed, nil) // the module decides when to ask again
			continue
		}
		// Agents that lost discovery together must not come back together.
		wait := min(maxRetryDelay, minRetryDelay<<min(failures-1, 10))
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
			return
		}
	}
}

// watch gets the list and then its changes, each call right after the last, until one fails. It says whether
// any was answered.
func (d *discovery) watch(ctx context.Context) (answered bool, err error) {
	wait := automaticWatchWait
	if d.onDemand {
		wait = onDemandWatchWait
	}
	for {
		list, err := d.fetch(ctx, wait)
		if err == nil {
			err = ctx.Err() // an answer that crossed a reload is another service's
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

// get makes one call: for the whole list if no revision is held, else a watch.
func (d *discovery) fetch(ctx context.Context, wait time.Duration) (memberList, error) {
	url, timeout := "http://"+d.addr+listPath, listTimeout
	if d.onDemand {
		timeout = onDemandWatchWait // calls are worked through in turn
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
	case resp.StatusCode >= 400 && resp.StatusCode < 500: // as for a revision that it does not know
		return memberList{}, fmt.Errorf("%w: status %s", errBadList, resp.Status)
	case resp.StatusCode != http.StatusOK:
		return memberList{}, fmt.Errorf("the list: status %s", resp.Status)
	case len(text) > maxListBytes:
		return memberList{}, fmt.Errorf("%w: over %d bytes", errBadList, maxListBytes)
	}
	return parseList(text)
}

// asked starts a watch if none runs. The loop calls it and must not wait.
func (d *discovery) requestWatch() {
	select {
	case d.watchRequested <- struct{}{}:
	default:
	}
}
