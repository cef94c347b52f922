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
	listPath    = "/discovery/hosts"
	maxList     = 4 << 20 // bytes of a list
	listTimeout = time.Second
	// pushWatch and askWatch are how long a watch may wait. Silence shows only when a watch is overdue: where
	// calls cost nothing it is short; where all agents share one service it is kept in peace.
	pushWatch   = 2 * time.Second
	askWatch    = 10 * time.Second
	watchGrace  = 700 * time.Millisecond // that an answer may come after a watch's wait
	firstRetry  = 50 * time.Millisecond
	longRetry   = time.Second
	maxServerID = 256 // bytes
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
	var l memberList
	if err := json.Unmarshal(text, &l); err != nil {
		return memberList{}, fmt.Errorf("%w: %w", errBadList, err)
	}
	if l.Revision == nil {
		return memberList{}, fmt.Errorf("%w: no revision", errBadList)
	}
	seen := make(map[string]bool, len(l.Members))
	for i, m := range l.Members {
		state, known := stateByPhase[m.Phase]
		switch {
		case m.ID == "" || len(m.ID) > maxServerID || seen[m.ID]:
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
	return l, nil
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

func newDiscovery(network Network, addr string, ask bool, tell func(policy.ListMode, []member), log *slog.Logger) *discovery {
	return &discovery{
		addr: addr, onDemand: ask, watchRequested: make(chan struct{}, 1), onList: tell, log: log,
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
func (d *discovery) run(ctx context.Context, reloads, moves <-chan *Config) {
	defer d.client.CloseIdleConnections()
	for {
		here, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			d.followList(here)
			close(left)
		}()
		var cfg *Config
		select {
		case cfg = <-reloads:
		case cfg = <-moves:
		case <-ctx.Done():
			leave()
			<-left
			return
		}
		leave()
		<-left
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
		heard, err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if heard {
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
		wait := min(longRetry, firstRetry<<min(failures-1, 10))
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
			return
		}
	}
}

// watch gets the list and then its changes, each call right after the last, until one fails. It says whether
// any was answered.
func (d *discovery) watch(ctx context.Context) (heard bool, err error) {
	wait := pushWatch
	if d.onDemand {
		wait = askWatch
	}
	for {
		l, err := d.get(ctx, wait)
		if err == nil {
			err = ctx.Err() // an answer that crossed a reload is another service's
		}
		if err != nil {
			return heard, err
		}
		heard = true
		switch {
		case l.Complete:
			d.onList(policy.ListFull, l.Members)
		case d.revision == nil || *l.Revision < *d.revision:
			return heard, fmt.Errorf("%w: changes up to %d do not follow the list held", errBadList, *l.Revision)
		case len(l.Members) > 0:
			d.onList(policy.ListDelta, l.Members)
		}
		d.revision = l.Revision
	}
}

// get makes one call: for the whole list if no revision is held, else a watch.
func (d *discovery) get(ctx context.Context, wait time.Duration) (memberList, error) {
	url, timeout := "http://"+d.addr+listPath, listTimeout
	if d.onDemand {
		timeout = askWatch // calls are worked through in turn
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	switch {
	case err != nil:
		return memberList{}, fmt.Errorf("reading the list: %w", err)
	case resp.StatusCode >= 400 && resp.StatusCode < 500: // as for a revision that it does not know
		return memberList{}, fmt.Errorf("%w: status %s", errBadList, resp.Status)
	case resp.StatusCode != http.StatusOK:
		return memberList{}, fmt.Errorf("the list: status %s", resp.Status)
	case len(text) > maxList:
		return memberList{}, fmt.Errorf("%w: over %d bytes", errBadList, maxList)
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
