package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/standin/network"
)

// BackendConfig is what a backend is like.
type BackendConfig struct {
	Name, Zone, Kind string
	Cell             int
	Cores            int
	Speed            float64       // of a core; 1 is standard
	Slots            int           // requests in work at once
	Room             int           // requests that may wait
	Connections      int           // that it accepts; 0 for any number
	Handshake        time.Duration // work of a new connection
	ProbeWork        time.Duration
	IdleClose        time.Duration // after which it closes a connection; 0 for never
	ColdFrom         float64       // part of its capacity at its start
	WarmAfter        time.Duration
	OverloadFactor   float64 // sent more than this multiple of its capacity
	OverloadFor      time.Duration
	ErrorRate        float64 // of requests that end with 500
	Memory           Memory
	Inline           bool     // answers carry the report, not only those to probes
	Reports          []string // the figures of its load report, in the settings' words
}

// Memory returns who remembers the keys of a class's requests, and for how long.
type Memory func(class string) (*Keys, time.Duration)

// Keys is the memory of keys that a group of backends shares.
type Keys struct {
	mu    sync.Mutex
	until map[string]time.Duration
}

const mostKeys = 1 << 16 // beyond, the ones that are over are dropped

// NewKeys returns an empty memory.
func NewKeys() *Keys { return &Keys{until: map[string]time.Duration{}} }

// first notes the key of a request that is to run, and says whether it was not known. It goes by when the request came:
// one that waited for its turn until its key was forgotten is a repeat all the same.
func (k *Keys) first(key string, came, now, window time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if until, known := k.until[key]; known && came < until {
		return false
	}
	if len(k.until) >= mostKeys {
		for key, until := range k.until {
			if now >= until {
				delete(k.until, key)
			}
		}
	}
	k.until[key] = now + window
	return true
}

// Trouble is what is wrong with a backend. The zero value is nothing.
type Trouble struct {
	Hang    bool    // it takes all that comes and answers nothing, not even probes
	Swallow float64 // share of requests that it takes and neither runs nor answers
	Errors  float64 // share that ends with 500
	Spoil   float64 // share whose answers are spoilt
	Taken   float64 // share of the machine that another program takes
	Rejects float64 // share that it turns away though it has room
}

// Backend is a stand-in for one backend. Its processes come and go; its address stays.
type Backend struct {
	cfg  BackendConfig
	log  *Log
	net  *network.Network
	addr string

	mu       sync.Mutex
	rng      *rand.Rand
	trouble  Trouble
	draining bool
	proc     *process // nil: it is down
	starts   int
	attempts int
	fallen   bool
	inFlight int // the most that it held since the last Sample
}

// NewBackend returns a backend at an address, which is not started yet.
func NewBackend(cfg BackendConfig, addr string, n *network.Network, log *Log, seed uint64) *Backend {
	return &Backend{cfg: cfg, log: log, net: n, addr: addr, rng: rand.New(rand.NewPCG(seed, 3))}
}

// Addr is where the backend listens.
func (b *Backend) Addr() string { return b.addr }

// Name is the backend's id.
func (b *Backend) Name() string { return b.cfg.Name }

// Config is what the backend is like.
func (b *Backend) Config() BackendConfig { return b.cfg }

// Start begins a process, cold or warm.
func (b *Backend) Start(cold bool) error {
	listener, err := b.net.ListenAt(b.addr)
	if err != nil {
		return fmt.Errorf("starting %s: %w", b.cfg.Name, err)
	}
	now := b.log.Now()
	p := &process{
		b: b, listener: listener, started: now, cold: cold, dead: make(chan struct{}), conns: map[net.Conn]struct{}{},
		station: station{cores: float64(b.cfg.Cores), speed: b.cfg.Speed, slots: b.cfg.Slots, room: b.cfg.Room, now: now},
	}
	p.station.factor, p.station.stuck = p.factor, b.trouble.Hang
	warm := b.cfg.WarmAfter
	if !cold {
		warm = 0
	}
	b.mu.Lock()
	b.proc, b.draining = p, false
	process := b.starts
	b.starts++
	b.mu.Unlock()
	b.log.Add(rules.Record{
		Kind: rules.Started, Backend: b.cfg.Name, Process: process, Cell: b.cfg.Cell, Zone: b.cfg.Zone,
		Capacity: float64(b.cfg.Cores) * b.cfg.Speed, ColdFrom: b.cfg.ColdFrom, WarmAfter: warm,
	})
	go p.accept()
	return nil
}

// Process is the number of the present process, or of the last one.
func (b *Backend) Process() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts - 1
}

// Stop ends the process, as a kill does: its connections are reset and new ones refused.
func (b *Backend) Stop() {
	b.mu.Lock()
	p := b.proc
	b.proc = nil
	b.mu.Unlock()
	if p != nil {
		p.end()
	}
}

// SetDraining says whether the backend turns away what is new.
func (b *Backend) SetDraining(d bool) {
	b.mu.Lock()
	b.draining = d
	b.mu.Unlock()
}

// SetTrouble puts the backend in trouble, or out of it.
func (b *Backend) SetTrouble(change func(*Trouble)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.proc == nil {
		change(&b.trouble)
		return
	}
	b.proc.station.advance(b.log.Now())
	change(&b.trouble)
	b.proc.station.setStuck(b.trouble.Hang)
	b.proc.rearm()
}

// Attempts is how many requests have come to the backend.
func (b *Backend) Attempts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempts
}

// Sample returns the most requests that the backend has held since the last call, and whether it is up.
func (b *Backend) Sample() (held int, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held = b.inFlight
	if b.inFlight = 0; b.proc != nil {
		b.inFlight = b.proc.station.held()
	}
	return held, b.proc != nil
}

// Fallen says that the backend has been pushed over. It stays down.
func (b *Backend) Fallen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fallen
}
