package controlplane

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/meshconfig"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

const (
	simCores     = 3
	simOperators = 4
	simCalls     = 8                       // of each operator
	simPatience  = time.Second             // of an operator with one core machine
	simHop       = 2 * time.Millisecond    // of a message
	simLate      = 2500 * time.Millisecond // of one that is late, at most
	simZone      = "z"
)

// wrong is a fault that is planted in a core machine's table.
type wrong string

const (
	loseHistory      wrong = "an order's identity is lost with a snapshot"
	equalAccepted    wrong = "an equal version is accepted with other content"
	overtakenRefused wrong = "a change sent again is refused once it was overtaken"
	lateZoneOrder    wrong = "an order for a zone that was held up is carried out after the opposite one"
)

// simTable is a core machine's table, with what is planted. Now and then its state is replaced by
// its own snapshot, as a member's is that was away.
type simTable struct {
	*table
	rng     *rand.Rand
	planted wrong
}

func (t *simTable) Apply(index uint64, command []byte) []byte {
	var o meshconfig.Order
	if err := gob.NewDecoder(bytes.NewReader(command)).Decode(&o); err != nil {
		panic(err)
	}
	switch t.planted {
	case equalAccepted:
		o.Strict = false
	case lateZoneOrder:
		o.Since = index
	}
	before := t.now.Load()
	reply := t.table.Apply(index, encodeOrder(&o))
	if t.planted == overtakenRefused && len(reply) == 0 && o.Op == meshconfig.OpPatch && before == t.now.Load() {
		held := itemsOf(before.config.ItemsJSON())
		for _, i := range decodePatch(o.Body) {
			if h, stands := held[i.Name]; stands && h.Version > i.Version {
				return refusalOf(&meshconfig.ConflictError{Item: i.Name}).encode()
			}
		}
	}
	if t.rng.IntN(6) == 0 {
		if err := t.Restore(index, t.Snapshot()); err != nil {
			panic(err)
		}
		if t.planted == loseHistory {
			t.history = meshconfig.NewHistory()
		}
	}
	return reply
}

// sim is a few core machines in one process and in virtual time: real nodes on real files, their
// network, and operators that call the handlers.
type sim struct {
	t       *testing.T
	rng     *rand.Rand // of the goroutine that makes trouble
	planted wrong
	lost    float64 // chance of an answer to be lost
	dirs    []string

	mu    sync.Mutex
	cores []*simCore
	cut   map[[2]string]bool
	late  float64                                           // chance of a message to be late
	hold  func(m consensus.Message) (until <-chan struct{}) // nil: it is not held
	dice  *rand.Rand

	began   time.Time
	history simHistory
}

type simCore struct {
	core    *Core
	handler http.Handler
	stop    context.CancelFunc
}

func simName(n int) string { return fmt.Sprintf("10.0.0.%d:8000", n+1) }

func (s *sim) start(n int, first bool) {
	set := &bootstrap.Settings{Control: simName(n), FirstStart: first, DataFolder: s.dirs[n], Zones: map[string]string{simZone: "r"}}
	for i := range simCores {
		set.Seeds = append(set.Seeds, simName(i))
	}
	c := New(set, &log.Logger{Handler: discard.Default})
	ctx, stop := context.WithCancel(context.Background())
	go c.own(ctx)
	s.mu.Lock()
	rng := rand.New(rand.NewPCG(s.dice.Uint64(), 1))
	s.mu.Unlock()
	node, err := consensus.Start(consensus.Options{Self: simName(n), Seeds: set.Seeds, FirstStart: first, Dir: s.dirs[n],
		Table: &simTable{c.table, rng, s.planted}, Send: s.send, Log: c.log})
	require.NoError(s.t, err)
	c.node = node
	s.mu.Lock()
	s.cores[n] = &simCore{c, c.handler(), stop}
	s.mu.Unlock()
}

func (s *sim) stop(n int) {
	s.mu.Lock()
	c := s.cores[n]
	s.cores[n] = nil
	s.mu.Unlock()
	if c != nil {
		require.NoError(s.t, c.core.node.Close())
		c.stop()
	}
}

func (s *sim) at(n int) *simCore {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cores[n]
}

// holdUp has messages wait until the channels that hold gives for them are closed.
func (s *sim) holdUp(hold func(m consensus.Message) (until <-chan struct{})) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// send hands a message over, late at times; a cut loses it.
func (s *sim) send(m consensus.Message) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(m); err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := simHop
	if s.dice.Float64() < s.late {
		wait += time.Duration(s.dice.Int64N(int64(simLate)))
	}
	if s.cut[[2]string{m.From, m.To}] {
		return
	}
	var until <-chan struct{}
	if s.hold != nil {
		until = s.hold(m)
	}
	time.AfterFunc(wait, func() {
		if until != nil {
			<-until
		}
		var m consensus.Message
		if err := gob.NewDecoder(&b).Decode(&m); err != nil {
			panic(err)
		}
		for n := range simCores {
			if c := s.at(n); c != nil && simName(n) == m.To {
				c.core.node.Receive(m)
			}
		}
	})
}

// trouble restarts, cuts off and joins core machines until the context ends.
func (s *sim) trouble(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+s.rng.IntN(900)) * time.Millisecond)
		n := s.rng.IntN(simCores)
		switch s.rng.IntN(3) {
		case 0:
			s.stop(n)
			time.Sleep(time.Duration(s.rng.IntN(600)) * time.Millisecond)
			s.start(n, false)
		case 1:
			s.separate(n, true)
			time.Sleep(time.Duration(500+s.rng.IntN(1500)) * time.Millisecond)
			s.separate(n, false)
		}
	}
}

func (s *sim) separate(n int, apart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range simCores {
		s.cut[[2]string{simName(n), simName(i)}] = apart
		s.cut[[2]string{simName(i), simName(n)}] = apart
	}
}

// call brings one call to a core machine and returns its status, 0 if no answer came: because the
// machine is down, because the caller's patience was over, or as the answer is lost.
func (s *sim) call(rng *rand.Rand, n int, method, path string, body []byte) (status int, answer []byte) {
	c := s.at(n)
	if c == nil {
		time.Sleep(simHop)
		return http.StatusServiceUnavailable, nil // no connection comes up: it got nowhere
	}
	ctx, cancel := context.WithTimeout(context.Background(), simPatience)
	defer cancel()
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.handler.ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(body)))
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return 0, nil
	}
	if rng.Float64() < s.lost {
		return 0, nil // the answer is lost
	}
	return w.Code, w.Body.Bytes()
}

// operate is an operator: it sends each call again to other core machines until there is a clear
// answer, and reads now and then. All share few names and versions.
func (s *sim) operate(rng *rand.Rand) {
	for range simCalls {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		switch rng.IntN(6) {
		case 0:
			s.order(rng, simInput{zone: pickOf(rng, http.MethodPost, http.MethodDelete)})
		case 1:
			s.order(rng, simInput{read: true, zone: pickOf(rng, "", simZone)})
		default:
			s.order(rng, simInput{items: drawItems(rng)})
		}
	}
}

const simTries = 6

// readZone tells whether the zone is evacuated, by what a core machine has when it is current.
func (s *sim) readZone(n int) (status int, answer []byte) {
	c := s.at(n)
	if c == nil {
		time.Sleep(simHop)
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), simPatience)
	defer cancel()
	if c.core.node.Read(ctx) != nil {
		return 0, nil
	}
	return http.StatusOK, fmt.Append(nil, c.core.table.now.Load().config.Evacuated(simZone))
}

func (s *sim) order(rng *rand.Rand, in simInput) {
	method, path, body := http.MethodPatch, "/api/config", in.body(rng)
	switch {
	case in.read:
		method = http.MethodGet
	case in.zone != "":
		method, path = in.zone, "/api/drain-zone/"+simZone
	}
	for range simTries {
		sent := time.Since(s.began)
		var status int
		var answer []byte
		if in.read && in.zone != "" {
			status, answer = s.readZone(rng.IntN(simCores))
		} else {
			status, answer = s.call(rng, rng.IntN(simCores), method, path, body)
		}
		s.history.add(in, sent, time.Since(s.began), status, answer)
		if status != 0 && status < http.StatusInternalServerError {
			return
		}
		time.Sleep(time.Duration(20+rng.IntN(200)) * time.Millisecond)
	}
}

func pickOf[T any](rng *rand.Rand, of ...T) T { return of[rng.IntN(len(of))] }

// drawItems is what a call says: one item or two, of few names, versions and contents.
func drawItems(rng *rand.Rand) (items []simItem) {
	for range 1 + rng.IntN(2) {
		items = append(items, simItem{Name: pickOf(rng, "a", "b"), Version: uint64(1 + rng.IntN(5)), Content: rng.IntN(3)})
	}
	return items
}

// simItem is one item of a call: a service that is set with some figure, or dropped.
type simItem struct {
	Name    string
	Version uint64
	Content int // 0: it is dropped
}

// body writes the items, each time in one of several spellings.
func (in simInput) body(rng *rand.Rand) []byte {
	var add, remove []string
	for _, i := range in.items {
		version := fmt.Sprintf(pickOf(rng, "%08x", "%x"), i.Version)
		if i.Content == 0 {
			remove = append(remove, fmt.Sprintf(`{"name":%q,"version":%q}`, i.Name, version))
			continue
		}
		head, figure := fmt.Sprintf(`"metadata":{"name":%q,"version":%q}`, i.Name, version), fmt.Sprintf(pickOf(rng, "%d", "%d.0", "%d0e-1"), i.Content)
		add = append(add, pickOf(rng,
			fmt.Sprintf(`{"item_kind":"services",%s,"body":{"max_conns":%s,"tls":false}}`, head, figure),
			fmt.Sprintf(`{"body": {"tls":false, "max_conns":%s}, %s, "item_kind":"services"}`, figure, head)))
	}
	body, err := json.Marshal(map[string]any{"add": map[string]any{"items": raws(add)}, "remove": map[string]any{"services": raws(remove)}})
	if err != nil {
		panic(err)
	}
	return body
}

func raws(texts []string) (all []json.RawMessage) {
	for _, text := range texts {
		all = append(all, json.RawMessage(text))
	}
	return all
}

type itemDocument struct {
	Metadata struct{ Name, Version string }
	Body     struct {
		MaxConns float64 `json:"max_conns"`
	}
}

func (d itemDocument) item() simItem {
	i := simItem{Name: d.Metadata.Name, Content: int(d.Body.MaxConns)}
	fmt.Sscanf(d.Metadata.Version, "%x", &i.Version)
	return i
}

// itemsOf reads what GET /api/config answers.
func itemsOf(text []byte) map[string]simItem {
	var list struct{ Items []itemDocument }
	if err := json.Unmarshal(text, &list); err != nil {
		panic(err)
	}
	items := make(map[string]simItem)
	for _, d := range list.Items {
		items[d.Metadata.Name] = d.item()
	}
	return items
}

// decodePatch reads the items that a call sets or drops.
func decodePatch(body []byte) (items []simItem) {
	var d struct {
		Add    struct{ Items []itemDocument }
		Remove struct {
			Services []struct{ Name, Version string }
		}
	}
	if err := json.Unmarshal(body, &d); err != nil {
		panic(err)
	}
	for _, i := range d.Add.Items {
		items = append(items, i.item())
	}
	for _, i := range d.Remove.Services {
		dropped := itemDocument{Metadata: i}
		items = append(items, dropped.item())
	}
	return items
}

func newSim(t *testing.T, seed uint64, planted wrong) *sim {
	s := &sim{t: t, planted: planted, cut: map[[2]string]bool{}, late: 0.03, lost: 0.35, cores: make([]*simCore, simCores),
		rng: rand.New(rand.NewPCG(seed, 1)), dice: rand.New(rand.NewPCG(seed, 2))}
	for n := range simCores {
		s.dirs = append(s.dirs, filepath.Join(t.TempDir(), fmt.Sprint(n)))
	}
	return s
}

// found starts all core machines for the first time.
func (s *sim) found(t *testing.T) {
	s.t, s.began = t, time.Now()
	for n := range simCores {
		s.start(n, true)
	}
}

// end stops all once nothing is on its way.
func (s *sim) end() {
	time.Sleep(simLate + simPatience)
	for n := range simCores {
		s.stop(n)
	}
	synctest.Wait()
}

// playOrders plays a seed and returns what the operators saw.
func playOrders(t *testing.T, seed uint64, planted wrong) *simHistory {
	s := newSim(t, seed, planted)
	synctest.Test(t, func(t *testing.T) {
		s.found(t)
		defer s.end()
		ctx, cancel := context.WithCancel(context.Background())
		troubled := make(chan struct{})
		go func() { s.trouble(ctx); close(troubled) }()
		var operators sync.WaitGroup
		for n := range simOperators {
			operators.Go(func() { s.operate(rand.New(rand.NewPCG(seed, uint64(10+n)))) })
		}
		operators.Wait()
		cancel()
		<-troubled
	})
	return &s.history
}
