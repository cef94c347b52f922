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
	"slices"
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
	simNodes            = 3
	simOperators        = 4
	simCallsPerOperator = 8
	simCallTimeout      = time.Second             // how long an operator waits for one node
	simDelay            = 2 * time.Millisecond    // usual delay of a message
	simMaxDelay         = 2500 * time.Millisecond // additional delay of a late message, at most
	simZone             = "z"
)

// fault is a fault that is planted in a node's table.
type fault string

const (
	historyLost          fault = "an order's identity is lost with a snapshot"
	equalVersionAccepted fault = "an equal version is accepted with other content"
	supersededRefused    fault = "a change sent again is refused once it was overtaken"
	lateZoneOrderApplied fault = "an order for a zone that was held up is carried out after the opposite one"
	refusedCallApplied   fault = "an attempt at a refused call that was held up is carried out"
)

// simTable is a node's table with a planted fault. Now and then its state is replaced by its own
// snapshot, as on a member that was away.
type simTable struct {
	*table
	rng     *rand.Rand
	planted fault
}

func (t *simTable) Apply(index uint64, command []byte) []byte {
	var order meshconfig.Order
	if err := gob.NewDecoder(bytes.NewReader(command)).Decode(&order); err != nil {
		panic(err)
	}
	switch t.planted {
	case equalVersionAccepted:
		order.Strict = false
	case lateZoneOrderApplied:
		order.Since = index
	case refusedCallApplied:
		order.Call = nil
	}
	before := t.published.Load()
	reply := t.table.Apply(index, encodeOrder(&order))
	if t.planted == supersededRefused && len(reply) == 0 && order.Op == meshconfig.OpPatch && before == t.published.Load() {
		present := itemsOf(before.config.ItemsJSON())
		for _, item := range decodePatch(order.Body) {
			if newest, exists := present[item.Name]; exists && newest.Version > item.Version {
				return newRefusal(&meshconfig.ConflictError{Item: item.Name}).encode()
			}
		}
	}
	if t.rng.IntN(6) == 0 {
		if err := t.Restore(index, t.Snapshot()); err != nil {
			panic(err)
		}
		if t.planted == historyLost {
			t.history = meshconfig.NewHistory()
		}
	}
	return reply
}

// sim runs control-plane nodes in one process and in virtual time: real consensus nodes with real
// files, a simulated network, and operators that call the HTTP handlers.
type sim struct {
	t          *testing.T
	faultRNG   *rand.Rand // for the goroutine that injects faults
	planted    fault
	lossChance float64 // probability that a response is lost
	dirs       []string

	mu          sync.Mutex
	nodes       []*simNode
	partitioned map[[2]string]bool
	delayChance float64                                           // probability that a message is late
	holdMessage func(m consensus.Message) (until <-chan struct{}) // returns nil if not held
	networkRNG  *rand.Rand

	startedAt time.Time
	history   simHistory
}

type simNode struct {
	core    *Core
	handler http.Handler
	stop    context.CancelFunc
}

func simName(n int) string { return fmt.Sprintf("10.0.0.%d:8000", n+1) }

func (s *sim) start(n int, first bool) {
	settings := &bootstrap.Settings{Control: simName(n), FirstStart: first, DataFolder: s.dirs[n], Zones: map[string]string{simZone: "r"}}
	for i := range simNodes {
		settings.Seeds = append(settings.Seeds, simName(i))
	}
	c := New(settings, &log.Logger{Handler: discard.Default})
	ctx, stop := context.WithCancel(context.Background())
	go c.runLoop(ctx)
	s.mu.Lock()
	rng := rand.New(rand.NewPCG(s.networkRNG.Uint64(), 1))
	s.mu.Unlock()
	node, err := consensus.Start(consensus.Options{Self: simName(n), Seeds: settings.Seeds, FirstStart: first, Dir: s.dirs[n],
		Table: &simTable{c.table, rng, s.planted}, Send: s.send, Log: c.log})
	require.NoError(s.t, err)
	c.node = node
	s.mu.Lock()
	s.nodes[n] = &simNode{c, c.handler(), stop}
	s.mu.Unlock()
}

func (s *sim) stop(n int) {
	s.mu.Lock()
	node := s.nodes[n]
	s.nodes[n] = nil
	s.mu.Unlock()
	if node != nil {
		require.NoError(s.t, node.core.node.Close())
		node.stop()
	}
}

func (s *sim) node(n int) *simNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[n]
}

// setHold delays each message until the channel that hold returns for it is closed.
func (s *sim) setHold(hold func(m consensus.Message) (until <-chan struct{})) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdMessage = hold
}

// send delivers a message, sometimes late. A partition loses it.
func (s *sim) send(m consensus.Message) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(m); err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := simDelay
	if s.networkRNG.Float64() < s.delayChance {
		delay += time.Duration(s.networkRNG.Int64N(int64(simMaxDelay)))
	}
	if s.partitioned[[2]string{m.From, m.To}] {
		return
	}
	var until <-chan struct{}
	if s.holdMessage != nil {
		until = s.holdMessage(m)
	}
	time.AfterFunc(delay, func() {
		if until != nil {
			<-until
		}
		var m consensus.Message
		if err := gob.NewDecoder(&buffer).Decode(&m); err != nil {
			panic(err)
		}
		for n := range simNodes {
			if node := s.node(n); node != nil && simName(n) == m.To {
				node.core.node.Receive(m)
			}
		}
	})
}

// injectFaults restarts and partitions nodes until the context ends.
func (s *sim) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+s.faultRNG.IntN(900)) * time.Millisecond)
		n := s.faultRNG.IntN(simNodes)
		switch s.faultRNG.IntN(3) {
		case 0:
			s.stop(n)
			time.Sleep(time.Duration(s.faultRNG.IntN(600)) * time.Millisecond)
			s.start(n, false)
		case 1:
			s.setPartition(n, true)
			time.Sleep(time.Duration(500+s.faultRNG.IntN(1500)) * time.Millisecond)
			s.setPartition(n, false)
		}
	}
}

func (s *sim) setPartition(n int, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range simNodes {
		s.partitioned[[2]string{simName(n), simName(i)}] = partitioned
		s.partitioned[[2]string{simName(i), simName(n)}] = partitioned
	}
}

// call sends one call to a node and returns the status, or 0 if there is no response: because the
// call timed out or the response was lost.
func (s *sim) call(rng *rand.Rand, n int, method, path string, body []byte) (status int, response []byte) {
	node := s.node(n)
	if node == nil {
		time.Sleep(simDelay)
		return http.StatusServiceUnavailable, nil // no connection, so the call had no effect
	}
	ctx, cancel := context.WithTimeout(context.Background(), simCallTimeout)
	defer cancel()
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(body)))
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return 0, nil
	}
	if rng.Float64() < s.lossChance {
		return 0, nil // the response is lost
	}
	return recorder.Code, recorder.Body.Bytes()
}

// runOperator simulates an operator, which repeats each call at random nodes until it has a
// definite result, and reads now and then. All operators use the same few names and versions.
func (s *sim) runOperator(rng *rand.Rand) {
	for range simCallsPerOperator {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		switch rng.IntN(6) {
		case 0:
			s.sendOrder(rng, simInput{zone: pick(rng, http.MethodPost, http.MethodDelete)})
		case 1:
			s.sendOrder(rng, simInput{read: true, zone: pick(rng, "", simZone)})
		default:
			s.sendOrder(rng, simInput{items: randomItems(rng)})
		}
	}
}

const simMaxAttempts = 6

// readZone returns whether the zone is evacuated, as read from an up-to-date node.
func (s *sim) readZone(n int) (status int, response []byte) {
	node := s.node(n)
	if node == nil {
		time.Sleep(simDelay)
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), simCallTimeout)
	defer cancel()
	if node.core.node.Read(ctx) != nil {
		return 0, nil
	}
	return http.StatusOK, fmt.Append(nil, node.core.table.published.Load().config.Evacuated(simZone))
}

func (s *sim) sendOrder(rng *rand.Rand, in simInput) {
	method, path, body := http.MethodPatch, "/api/config", in.body(rng)
	switch {
	case in.read:
		method = http.MethodGet
	case in.zone != "":
		method, path = in.zone, "/api/drain-zone/"+simZone
	}
	for range simMaxAttempts {
		sent := time.Since(s.startedAt)
		var status int
		var response []byte
		if in.read && in.zone != "" {
			status, response = s.readZone(rng.IntN(simNodes))
		} else {
			status, response = s.call(rng, rng.IntN(simNodes), method, path, body)
		}
		s.history.record(in, sent, time.Since(s.startedAt), status, response)
		if status != 0 && status < http.StatusInternalServerError {
			return
		}
		time.Sleep(time.Duration(20+rng.IntN(200)) * time.Millisecond)
	}
}

func pick[T any](rng *rand.Rand, choices ...T) T { return choices[rng.IntN(len(choices))] }

// randomItems returns one or two items for a call, with few names, versions and contents.
func randomItems(rng *rand.Rand) (items []simItem) {
	for range 1 + rng.IntN(2) {
		items = append(items, simItem{Name: pick(rng, "a", "b"), Version: uint64(1 + rng.IntN(5)), Content: rng.IntN(3)})
	}
	return items
}

// simItem is an item of a call: a service that is set to some content, or removed.
type simItem struct {
	Name    string
	Version uint64
	Content int // 0 if the item is removed
}

// body encodes the items, in one of several spellings.
func (in simInput) body(rng *rand.Rand) []byte {
	var add, remove []string
	for _, item := range in.items {
		version := fmt.Sprintf(pick(rng, "%08x", "%x"), item.Version)
		if item.Content == 0 {
			remove = append(remove, fmt.Sprintf(`{"name":%q,"version":%q}`, item.Name, version))
			continue
		}
		metadata, content := fmt.Sprintf(`"metadata":{"name":%q,"version":%q}`, item.Name, version), fmt.Sprintf(pick(rng, "%d", "%d.0", "%d0e-1"), item.Content)
		add = append(add, pick(rng,
			fmt.Sprintf(`{"item_kind":"services",%s,"body":{"max_conns":%s,"tls":false}}`, metadata, content),
			fmt.Sprintf(`{"body": {"tls":false, "max_conns":%s}, %s, "item_kind":"services"}`, content, metadata)))
	}
	body, err := json.Marshal(map[string]any{"add": map[string]any{"items": rawMessages(add)}, "remove": map[string]any{"services": rawMessages(remove)}})
	if err != nil {
		panic(err)
	}
	return body
}

func rawMessages(texts []string) (messages []json.RawMessage) {
	for _, text := range texts {
		messages = append(messages, json.RawMessage(text))
	}
	return messages
}

type itemDocument struct {
	Metadata struct{ Name, Version string }
	Body     struct {
		MaxConns float64 `json:"max_conns"`
	}
}

func (d itemDocument) item() simItem {
	item := simItem{Name: d.Metadata.Name, Content: int(d.Body.MaxConns)}
	fmt.Sscanf(d.Metadata.Version, "%x", &item.Version)
	return item
}

// itemsOf decodes the response to GET /api/config.
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

// decodePatch decodes the items that a call sets or removes.
func decodePatch(body []byte) (items []simItem) {
	var patch struct {
		Add    struct{ Items []itemDocument }
		Remove struct {
			Services []struct{ Name, Version string }
		}
	}
	if err := json.Unmarshal(body, &patch); err != nil {
		panic(err)
	}
	for _, item := range patch.Add.Items {
		items = append(items, item.item())
	}
	for _, item := range patch.Remove.Services {
		dropped := itemDocument{Metadata: item}
		items = append(items, dropped.item())
	}
	return items
}

func newSim(t *testing.T, seed uint64, planted fault) *sim {
	s := &sim{t: t, planted: planted, partitioned: map[[2]string]bool{}, delayChance: 0.03, lossChance: 0.35, nodes: make([]*simNode, simNodes),
		faultRNG: rand.New(rand.NewPCG(seed, 1)), networkRNG: rand.New(rand.NewPCG(seed, 2))}
	for n := range simNodes {
		s.dirs = append(s.dirs, filepath.Join(t.TempDir(), fmt.Sprint(n)))
	}
	return s
}

// startAll starts all nodes for the first time.
func (s *sim) startAll(t *testing.T) {
	s.t, s.startedAt = t, time.Now()
	for n := range simNodes {
		s.start(n, true)
	}
}

// stopAll stops all nodes once no message is in flight.
func (s *sim) stopAll() {
	time.Sleep(simMaxDelay + simCallTimeout)
	for n := range simNodes {
		s.stop(n)
	}
	synctest.Wait()
}

// playFaults starts all nodes and injects faults, in virtual time, until the operators return.
func (s *sim) playFaults(t *testing.T, operators func()) {
	synctest.Test(t, func(t *testing.T) {
		s.startAll(t)
		defer s.stopAll()
		ctx, cancel := context.WithCancel(context.Background())
		faultsEnded := make(chan struct{})
		go func() { s.injectFaults(ctx); close(faultsEnded) }()
		operators()
		cancel()
		<-faultsEnded
	})
}

// runOperators runs all operators, each with random numbers of its own, until they return.
func runOperators(seed uint64, run func(operator int, rng *rand.Rand)) {
	var operators sync.WaitGroup
	for n := range simOperators {
		operators.Go(func() { run(n, rand.New(rand.NewPCG(seed, uint64(10+n)))) })
	}
	operators.Wait()
}

// simulateOrders runs a simulation and returns the operators' attempts.
func simulateOrders(t *testing.T, seed uint64, planted fault) *simHistory {
	s := newSim(t, seed, planted)
	s.playFaults(t, func() {
		runOperators(seed, func(_ int, rng *rand.Rand) { s.runOperator(rng) })
	})
	return &s.history
}

// holdForwarded runs a simulation, in virtual time, in which what a follower forwards to the leader
// is held until release is called.
func holdForwarded(t *testing.T, planted fault, test func(s *sim, follower, other int, release func())) {
	s := newSim(t, 1, planted)
	s.delayChance, s.lossChance = 0, 0
	synctest.Test(t, func(t *testing.T) {
		s.startAll(t)
		defer s.stopAll()
		time.Sleep(simMaxDelay) // until a leader is elected
		follower := slices.IndexFunc(s.nodes, func(c *simNode) bool { return c.core.node.Status().Role == "follower" })
		released := make(chan struct{})
		s.setHold(func(m consensus.Message) <-chan struct{} {
			if m.Kind == consensus.Forward && m.From == simName(follower) {
				return released
			}
			return nil
		})
		test(s, follower, (follower+1)%simNodes, func() {
			close(released)
			time.Sleep(simCallTimeout) // until it is delivered and applied
		})
	})
}

// playSeeds plays each seed in a subtest, and returns the sum of the counts by status.
func playSeeds(t *testing.T, first, count uint64, play func(t *testing.T, seed uint64) (countByStatus map[int]int)) map[int]int {
	var mu sync.Mutex
	total := map[int]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+count; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				counts := play(t, seed)
				mu.Lock()
				defer mu.Unlock()
				for status, n := range counts {
					total[status] += n
				}
			})
		}
	})
	t.Log(total)
	return total
}
