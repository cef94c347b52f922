package control

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/api"
)

const (
	watchInterval     = time.Second      // interval at which a watch reads the state
	heartbeatInterval = 10 * time.Second // interval of events while nothing changes
	maxEventBytes     = 8 << 20
)

// Event contains what has changed since the previous event. The first event has everything. An event
// without changes is a heartbeat. Loads, ages and requests in flight change constantly, so a change of
// only these causes no event.
type Event struct {
	At       float64        `json:"at_s"` // since the process started
	Identity *Identity      `json:"identity,omitempty"`
	Backends []Backend      `json:"backends,omitempty"`
	Gone     []string       `json:"gone,omitempty"` // names of removed backends
	Causes   []FailureCause `json:"causes,omitempty"`
	Service  *RequestCounts `json:"service,omitempty"`
	Held     *int           `json:"held,omitempty"`
}

// sentState is what a watcher has been sent.
type sentState struct {
	identity string                 // as JSON, without the uptime
	backends map[string]string      // watch keys by name
	causes   map[FailureCause]int64 // counts by cause; Count is 0 in the keys
	service  RequestCounts
	held     int
	sent     bool // whether any event has been built
}

// next returns the next event for the watcher, and whether it contains a change.
func (w *sentState) next(identity *Identity, state *State) (*Event, bool) {
	event := &Event{At: identity.Uptime}
	stable := *identity
	stable.Uptime = 0
	text, _ := json.Marshal(&stable) // can't fail: it has only strings and numbers
	if string(text) != w.identity {
		w.identity, event.Identity = string(text), identity
	}
	if w.backends == nil {
		w.backends, w.causes = map[string]string{}, map[FailureCause]int64{}
	}
	present := make(map[string]bool, len(state.Backends))
	for i := range state.Backends {
		b := &state.Backends[i]
		present[b.Name] = true
		if key := b.watchKey(); w.backends[b.Name] != key {
			w.backends[b.Name] = key
			event.Backends = append(event.Backends, *b)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.backends)) {
		if !present[name] {
			delete(w.backends, name)
			event.Gone = append(event.Gone, name)
		}
	}
	for _, c := range state.Causes {
		key := c
		key.Count = 0
		if w.causes[key] != c.Count {
			w.causes[key] = c.Count
			event.Causes = append(event.Causes, c)
		}
	}
	if state.Service != w.service || !w.sent {
		w.service, event.Service = state.Service, &state.Service
	}
	if state.Held != w.held || !w.sent {
		w.held, event.Held = state.Held, &state.Held
	}
	w.sent = true
	return event, event.Identity != nil || event.Backends != nil || event.Gone != nil || event.Causes != nil || event.Service != nil || event.Held != nil
}

// watchKey encodes those properties of a backend whose change causes an event.
func (b *Backend) watchKey() string {
	var ejected []string
	for _, e := range b.Ejected {
		ejected = append(ejected, e.Class)
	}
	text, _ := json.Marshal([]any{b.Addr, b.Phase, b.Held > 0, b.Full > 0, ejected})
	return string(text)
}

// watch streams events, one JSON object per line, until the client disconnects.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	encoder := json.NewEncoder(w)
	var sent sentState
	lastSent := time.Now()
	for {
		ctx, cancel := context.WithTimeout(r.Context(), api.AnswerTimeout)
		state, err := s.service.instance.State(ctx)
		cancel()
		if err != nil {
			return
		}
		s.service.mu.Lock()
		identity := s.identify(state)
		s.service.mu.Unlock()
		if e, changed := sent.next(identity, state); changed || time.Since(lastSent) >= heartbeatInterval {
			lastSent = time.Now()
			// The deadline keeps a client that stops reading from occupying the connection forever.
			controller.SetWriteDeadline(lastSent.Add(api.AnswerTimeout))
			if encoder.Encode(e) != nil || controller.Flush() != nil {
				return
			}
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}

// watchdog calls a function once it has not been reset for the timeout.
type watchdog struct {
	timer   *time.Timer
	timeout time.Duration
	fired   atomic.Bool
}

func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	w := &watchdog{timeout: timeout}
	w.timer = time.AfterFunc(timeout, func() { w.fired.Store(true); onTimeout() })
	return w
}

func (w *watchdog) reset()        { w.timer.Reset(w.timeout) }
func (w *watchdog) stop()         { w.timer.Stop() }
func (w *watchdog) expired() bool { return w.fired.Load() }
