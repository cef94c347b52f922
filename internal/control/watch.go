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
	watchInterval     = time.Second
	heartbeatInterval = 10 * time.Second // without a change
	maxEventBytes     = 8 << 20          // bytes
)

// Event is what has changed since the one before. The first has everything; one with nothing tells that the instance
// lives. Loads, ages and what is in flight change all the time and by themselves make no event.
type Event struct {
	At       float64        `json:"at_s"` // since the process began
	Identity *Identity      `json:"identity,omitempty"`
	Backends []Backend      `json:"backends,omitempty"`
	Gone     []string       `json:"gone,omitempty"` // backends
	Causes   []FailureCause `json:"causes,omitempty"`
	Service  *RequestCounts `json:"service,omitempty"`
	Held     *int           `json:"held,omitempty"`
}

// shown is what a watcher has been told.
type sentState struct {
	identity string // as JSON, without what changes all the time
	backends map[string]string
	causes   map[FailureCause]int64 // without their counts
	service  RequestCounts
	held     int
	sent     bool
}

// event returns what a watcher is to be told, and whether that is anything.
func (w *sentState) next(identity *Identity, state *State) (*Event, bool) {
	event := &Event{At: identity.Uptime}
	stable := *identity
	stable.Uptime = 0
	text, _ := json.Marshal(&stable) // of strings and numbers
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

// standing is what of a backend is worth telling when it changes.
func (b *Backend) watchKey() string {
	var ejected []string
	for _, e := range b.Ejected {
		ejected = append(ejected, e.Class)
	}
	text, _ := json.Marshal([]any{b.Addr, b.Phase, b.Held > 0, b.Full > 0, ejected})
	return string(text)
}

// watch writes what changes, a line each, until the client goes.
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
			// Danger: who reads no more must not hold the connection for good.
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

// alarm calls a function unless it is put off again and again.
type watchdog struct {
	timer   *time.Timer
	timeout time.Duration
	fired   atomic.Bool
}

func newWatchdog(wait time.Duration, f func()) *watchdog {
	a := &watchdog{timeout: wait}
	a.timer = time.AfterFunc(wait, func() { a.fired.Store(true); f() })
	return a
}

func (a *watchdog) reset()        { a.timer.Reset(a.timeout) }
func (a *watchdog) stop()         { a.timer.Stop() }
func (a *watchdog) expired() bool { return a.fired.Load() }
