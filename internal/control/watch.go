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
	watchEvery = time.Second
	beatEvery  = 10 * time.Second // without a change
	mostEvent  = 8 << 20          // bytes
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
type shown struct {
	identity string // as JSON, without what changes all the time
	backends map[string]string
	causes   map[FailureCause]int64 // without their counts
	service  RequestCounts
	held     int
	any      bool
}

// event returns what a watcher is to be told, and whether that is anything.
func (w *shown) event(id *Identity, s *State) (*Event, bool) {
	e := &Event{At: id.Uptime}
	still := *id
	still.Uptime = 0
	text, _ := json.Marshal(&still) // of strings and numbers
	if string(text) != w.identity {
		w.identity, e.Identity = string(text), id
	}
	if w.backends == nil {
		w.backends, w.causes = map[string]string{}, map[FailureCause]int64{}
	}
	here := make(map[string]bool, len(s.Backends))
	for i := range s.Backends {
		b := &s.Backends[i]
		here[b.Name] = true
		if key := b.standing(); w.backends[b.Name] != key {
			w.backends[b.Name] = key
			e.Backends = append(e.Backends, *b)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.backends)) {
		if !here[name] {
			delete(w.backends, name)
			e.Gone = append(e.Gone, name)
		}
	}
	for _, c := range s.Causes {
		key := c
		key.Count = 0
		if w.causes[key] != c.Count {
			w.causes[key] = c.Count
			e.Causes = append(e.Causes, c)
		}
	}
	if s.Service != w.service || !w.any {
		w.service, e.Service = s.Service, &s.Service
	}
	if s.Held != w.held || !w.any {
		w.held, e.Held = s.Held, &s.Held
	}
	w.any = true
	return e, e.Identity != nil || e.Backends != nil || e.Gone != nil || e.Causes != nil || e.Service != nil || e.Held != nil
}

// standing is what of a backend is worth telling when it changes.
func (b *Backend) standing() string {
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
	rc := http.NewResponseController(w)
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	enc := json.NewEncoder(w)
	var told shown
	last := time.Now()
	for {
		ctx, cancel := context.WithTimeout(r.Context(), api.AnswerTimeout)
		st, err := s.service.instance.State(ctx)
		cancel()
		if err != nil {
			return
		}
		s.service.mu.Lock()
		id := s.identify(st)
		s.service.mu.Unlock()
		if e, any := told.event(id, st); any || time.Since(last) >= beatEvery {
			last = time.Now()
			// Danger: who reads no more must not hold the connection for good.
			rc.SetWriteDeadline(last.Add(api.AnswerTimeout))
			if enc.Encode(e) != nil || rc.Flush() != nil {
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
type alarm struct {
	timer *time.Timer
	wait  time.Duration
	rings atomic.Bool
}

func newAlarm(wait time.Duration, f func()) *alarm {
	a := &alarm{wait: wait}
	a.timer = time.AfterFunc(wait, func() { a.rings.Store(true); f() })
	return a
}

func (a *alarm) again()     { a.timer.Reset(a.wait) }
func (a *alarm) stop()      { a.timer.Stop() }
func (a *alarm) rang() bool { return a.rings.Load() }
