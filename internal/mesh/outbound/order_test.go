package outbound

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/internal/chart"
	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

var (
	orderTable = flag.Bool("order-table", false, "let TestOrder run all loads and queue orders, and print a table")
	orderPlot  = flag.String("order-plot", "", "SVG file to plot that table to")
)

// queueOrder is an order in which a gate's queue serves requests. The gate is used as it is; an
// order is tried by modifying what it is told about a request.
type queueOrder struct {
	name             string
	modify           func(request *transport.Request, now time.Duration)
	rejectLate       bool // requests that can't be in time any more are refused at once
	ignoreTimeWaited bool // a client that returns counts as a new one
}

const distantTarget = time.Hour // a target latency that no request misses

var queueOrders = []queueOrder{
	{name: "as it is", modify: func(*transport.Request, time.Duration) {}},
	{name: "as if new", modify: func(*transport.Request, time.Duration) {}, ignoreTimeWaited: true},
	{name: "first come", modify: func(request *transport.Request, _ time.Duration) { request.Inner, request.Aim = false, distantTarget }, ignoreTimeWaited: true},
	{name: "by due", modify: func(request *transport.Request, _ time.Duration) { request.Inner = false }},
	{name: "newest first", modify: func(request *transport.Request, now time.Duration) {
		request.Inner, request.Aim = false, distantTarget-2*now
	}, ignoreTimeWaited: true},
	{name: "by worth", modify: func(request *transport.Request, _ time.Duration) {
		if request.Aim < 100*time.Millisecond {
			return
		}
		// An unsafe request brings worth 2 for 210 ms of a slot, a safe one worth 1 for as much.
		if request.Aim += 2 * distantTarget; request.Unsafe {
			request.Aim -= distantTarget
		}
	}},
	{name: "late out", modify: func(*transport.Request, time.Duration) {}, rejectLate: true},
}

// requestKind is a kind of requests, with its route.
type requestKind struct {
	path, service         string
	unsafe                bool
	targetLatency, giveUp time.Duration
	// Mean seconds of work at speed 1, and the worth of a response in time.
	meanWork, worth float64
	ratePerS        float64 // requests a second at load 1 of their deployment
}

// The requests of the courier mesh, except that both services have six backends here, so that a
// zone is a third of each.
var (
	pickupKind   = requestKind{path: "/pickup", service: "riders", targetLatency: 600 * time.Millisecond, giveUp: 4 * time.Second, meanWork: 0.16, worth: 1, ratePerS: 234}
	deliveryKind = requestKind{path: "/delivery", service: "billing", unsafe: true, targetLatency: 800 * time.Millisecond, giveUp: 5 * time.Second, meanWork: 0.21, worth: 2, ratePerS: 101}
	statusKind   = requestKind{path: "/status", service: "billing", targetLatency: 150 * time.Millisecond, giveUp: 500 * time.Millisecond, meanWork: 0.04}
	backendSlots = map[string]int{"riders": 18, "billing": 12}
	speeds       = []float64{0.8, 1, 1.25}
)

const (
	// Share of the pickup requests whose run makes inner requests, and how many.
	callerShare, callsPerCaller       = 0.7, 2
	lateWorthShare                    = 0.1
	workSpread                        = 0.5 // standard deviation of the logarithm of the work
	backendsPerService                = 6
	clientLatency                     = 8 * time.Millisecond
	crossZoneLatency, sameZoneLatency = 1400 * time.Microsecond, 100 * time.Microsecond
	zoneLossDelay                     = 100 * time.Millisecond // until agents learn that a zone is lost or back
	measureFrom, zoneLostAt           = 4 * time.Second, 8 * time.Second
	zoneLostUntil, measureUntil       = 16 * time.Second, 22 * time.Second
)

// modelNode is a backend with its gate and its sender.
type modelNode struct {
	gate      *inbound.Gate
	sender    *Sender
	zone      int
	speed     float64
	backendID string
}

// meshModel is a mesh in virtual time, with real senders, balancers and gates. Links, backends and
// clients are modelled by sleeps.
type meshModel struct {
	*require.Assertions
	startedAt time.Time
	order     queueOrder
	nodes     map[string]*modelNode

	mu  sync.Mutex
	rng *rand.Rand
	// Runs of pickup requests, and those of them that failed because of an inner request.
	pickupRuns, pickupCallFailures float64
	requestsBegun, requestsEnded   int
	// Sums of worth: over all clients, and over those that began while a zone was lost. Delayed
	// clients are those that a try held for more than a quarter of the target latency.
	offeredWorth, earnedWorth, onTargetWorth, delayedUnserved [2]float64
}

func (m *meshModel) now() time.Duration { return time.Since(m.startedAt) }

func newMeshModel(t *testing.T, order queueOrder, seed uint64) *meshModel {
	m := &meshModel{Assertions: require.New(t), startedAt: time.Now(), order: order, nodes: map[string]*modelNode{}, rng: rand.New(rand.NewPCG(seed, 1))}
	items := `{"item_kind":"limits","metadata":{"version":"1"},"body":{"header_bytes":16384,"body_bytes":1000,"header_wait":"3s","idle":"15s"}}`
	for name := range backendSlots {
		items += fmt.Sprintf(`,{"item_kind":"services","metadata":{"name":"%s","version":"1"},"body":{}}`, name)
	}
	for _, kind := range []requestKind{pickupKind, deliveryKind, statusKind} {
		items += fmt.Sprintf(`,{"item_kind":"routes","metadata":{"name":"%s","version":"1"},"body":{"domain":"d","path_start":"%s","kind":"%s","give_up":"%s",
			"target_time":"%s","tries":2,"service":"%s"}}`, kind.path[1:], kind.path, map[bool]string{true: "unsafe", false: "safe"}[kind.unsafe],
			fmt.Sprint(kind.giveUp.Milliseconds(), "ms"), fmt.Sprint(kind.targetLatency.Milliseconds(), "ms"), kind.service)
	}
	patch, err := meshconfig.ParsePatch([]byte(`{"add":{"items":[` + items + `]}}`))
	m.NoError(err)
	config, _, err := meshconfig.New().Apply(patch)
	m.NoError(err)
	var agents []transport.StationStatus
	for service, slots := range backendSlots {
		for i := range backendsPerService {
			name := fmt.Sprint(service, i)
			settings := &bootstrap.Settings{IP: "sender of " + name, Zone: fmt.Sprint(i % 3), Zones: map[string]string{"0": "r", "1": "r", "2": "r"}, Service: service}
			settings.Bounds.RetryWindow, settings.Bounds.RetryRatio, settings.Bounds.ExtraTries = 10*time.Second, 0.2, 62
			node := &modelNode{gate: inbound.NewGate(0, inbound.Rules{HeartbeatInterval: distantTarget}), zone: i % 3, speed: speeds[(i+i/3)%3], backendID: name}
			backend := transport.Backend{ID: name, Service: service, Zone: settings.Zone, Capacity: slots, Calls: 1}
			node.gate.SetLife(1)
			node.gate.ProbeSucceeded(0, 0, backend)
			node.sender = New(settings, inbound.NewHost(inbound.Rules{}, 1, transport.NewByteBudget(1), func() {}), nil, transport.NewByteBudget(1), &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
			node.sender.sendRemote = func(p *pendingRequest, gate transport.Endpoint, request *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
				return m.sendToGate(node, p, gate.Address, request)
			}
			m.nodes[name] = node
			agents = append(agents, transport.StationStatus{Station: transport.Station{Agent: name, Gate: name, Zone: settings.Zone, Life: 1, Seq: 1, Open: true, Backend: &backend}})
		}
	}
	updateViews := func(zoneLost bool) {
		reported := make([]transport.StationStatus, len(agents))
		for i, agent := range agents {
			agent.Lost = zoneLost && agent.Station.Zone == "0"
			reported[i] = agent
		}
		for _, node := range m.nodes {
			node.sender.SetView(&View{Config: config, ConfigIndex: 1, Agents: reported})
		}
	}
	updateViews(false)
	setZoneLost := func(at time.Duration, zoneLost bool) {
		time.AfterFunc(at, func() {
			m.mu.Lock()
			for _, node := range m.nodes {
				node.gate.Configure(m.now(), inbound.Rules{HeartbeatInterval: distantTarget, Evacuated: zoneLost && node.zone == 0})
			}
			m.mu.Unlock()
		})
		time.AfterFunc(at+zoneLossDelay, func() { updateViews(zoneLost) })
	}
	setZoneLost(zoneLostAt, true)
	setZoneLost(zoneLostUntil, false)
	return m
}

// sendToGate models the link to a gate, and the gate's host and backend behind it.
func (m *meshModel) sendToGate(from *modelNode, p *pendingRequest, gate string, request *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
	node, latency := m.nodes[gate], crossZoneLatency
	if node.zone == from.zone {
		latency = sameZoneLatency
	}
	replies := make(chan *transport.Reply, 1)
	go func() {
		time.Sleep(latency)
		reply := m.handleAtGate(node, p, request)
		time.Sleep(latency)
		replies <- reply
	}()
	deadlineTimer := time.NewTimer(time.Until(p.deadline))
	defer deadlineTimer.Stop()
	select {
	case reply := <-replies:
		return reply, nil, nil
	case <-deadlineTimer.C:
	case <-p.done:
	}
	return nil, nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.ResponseTimeout}
}

// handleAtGate models a gate's host.
func (m *meshModel) handleAtGate(node *modelNode, p *pendingRequest, request *transport.Request) *transport.Reply {
	failureReply := func(failure *transport.Failure) *transport.Reply {
		return &transport.Reply{Verdict: failure.Verdict, Reason: failure.Reason, After: failure.RetryAfter, Load: node.gate.Load(m.now())}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	modified := *request
	m.order.modify(&modified, m.now())
	if m.order.rejectLate && !request.Inner && request.Aim < node.gate.Load(m.now()).Recent {
		return failureReply(&transport.Failure{Verdict: transport.NotRun, Reason: transport.TooLate})
	}
	ticket, failure := node.gate.Admit(m.now(), &modified)
	if failure != nil {
		return failureReply(failure)
	}
	if ticket != nil {
		granted := make(chan *transport.Failure, 1)
		ticket.OnDecision = func(_ bool, f *transport.Failure) { granted <- f }
		m.mu.Unlock()
		timer := time.NewTimer(request.Patient)
		select {
		case failure = <-granted:
		case <-timer.C:
			m.mu.Lock()
			if failure = (&transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: request.Patient}); !node.gate.Abandon(m.now(), ticket, failure.Reason) {
				failure = <-granted
			}
			m.mu.Unlock()
		}
		timer.Stop()
		m.mu.Lock()
		if failure != nil {
			return failureReply(failure)
		}
	}
	startedAt, limit := m.now(), time.Until(p.deadline)+50*time.Millisecond
	work := node.work(m.rng, request.URI)
	calls := 0
	if request.URI == pickupKind.path && m.rng.Float64() < callerShare {
		calls = callsPerCaller
	}
	m.mu.Unlock()
	succeeded := make(chan bool, callsPerCaller)
	for range calls {
		go func() {
			code, _ := m.runRequest(node, &statusKind, min(limit, statusKind.giveUp), true)
			succeeded <- code == 200
		}()
	}
	reply := &transport.Reply{Verdict: transport.Ran, Status: 200}
	for range calls {
		if !<-succeeded {
			reply.Status, reply.Inner = 500, true
		}
	}
	if took := m.now() - startedAt; reply.Status == 200 {
		time.Sleep(min(work, max(0, limit-took)))
	}
	m.mu.Lock()
	took := m.now() - startedAt
	timedOut := took >= limit
	node.gate.Complete(m.now(), took, !timedOut, !timedOut)
	if request.URI == pickupKind.path {
		if m.pickupRuns++; reply.Inner {
			m.pickupCallFailures++
		}
	}
	if timedOut {
		return failureReply(&transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.ResponseTimeout})
	}
	reply.Load = node.gate.Load(m.now())
	return reply
}

// work draws the time that the node works on a request.
func (n *modelNode) work(rng *rand.Rand, path string) time.Duration {
	mean := map[string]float64{pickupKind.path: pickupKind.meanWork, deliveryKind.path: deliveryKind.meanWork, statusKind.path: statusKind.meanWork}[path]
	return time.Duration(mean / n.speed * math.Exp(workSpread*rng.NormFloat64()-workSpread*workSpread/2) * float64(time.Second))
}

// runRequest runs a complete request at a node's sender. It returns the status, and when the client
// should try again.
func (m *meshModel) runRequest(node *modelNode, kind *requestKind, remaining time.Duration, inner bool) (status int, retryAfter time.Duration) {
	sender := node.sender
	view := sender.View()
	now := time.Now()
	p := &pendingRequest{route: view.Config.Route("d", kind.path), startedAt: now, done: make(chan struct{}), deadline: now.Add(remaining), answerTarget: now.Add(kind.targetLatency), inner: inner, balancer: sender.balancer(kind.service)}
	if !m.order.ignoreTimeWaited && !inner {
		p.answerTarget = p.answerTarget.Add(-sender.waits.timeWaited(now, p.route.Name, remaining))
	}
	m.mu.Lock()
	m.requestsBegun++
	p.request = transport.Request{Try: fmt.Sprint(m.requestsBegun), URI: kind.path, Unsafe: kind.unsafe, Inner: inner, Patient: max(kind.targetLatency/queueWaitDivisor, 10*time.Millisecond)}
	m.mu.Unlock()
	if inner {
		p.request.Patient = remaining / innerQueueWaitDivisor
	}
	result := sender.runRequest(p, remaining)
	m.mu.Lock()
	m.requestsEnded++
	m.mu.Unlock()
	switch attempt := result.attempt; {
	case result.refused:
		if attempt != nil && attempt.failure != nil {
			result.retryAfter = max(result.retryAfter, attempt.failure.RetryAfter)
		}
		return 503, min(max(result.retryAfter, minRetryAfter), maxRetryAfter)
	case attempt == nil || attempt.failure != nil:
		return 502, 0
	default:
		return attempt.reply.Status, 0
	}
}

// runClient models a client that tries until it is served or may not try again.
func (m *meshModel) runClient(kind *requestKind) {
	startedAt, refusedEarly, tries := m.now(), false, 0
	served, delayed := false, false
	for ; tries < 3 && !served; tries++ {
		remaining := kind.giveUp - (m.now() - startedAt) - clientLatency
		if remaining <= clientTransitTime {
			break
		}
		m.mu.Lock()
		node := m.nodes[fmt.Sprint([]string{"riders", "billing"}[m.rng.IntN(2)], m.rng.IntN(backendsPerService))]
		m.mu.Unlock()
		time.Sleep(clientLatency)
		arrived := m.now()
		status, retryAfter := m.runRequest(node, kind, remaining-clientTransitTime, false)
		delayed = delayed || m.now()-arrived > kind.targetLatency/4
		time.Sleep(clientLatency)
		served = status == 200
		switch {
		case served:
		case status == 503:
			refusedEarly = tries == 0 && m.now()-startedAt <= kind.targetLatency/4
			time.Sleep(min(retryAfter, (kind.giveUp-(m.now()-startedAt))/3))
		case kind.unsafe:
			tries = 3
		}
	}
	took := m.now() - startedAt
	if startedAt < measureFrom || startedAt >= measureUntil {
		return
	}
	earnedShare, onTargetShare := 0.0, 0.0
	switch {
	case !served || took > kind.giveUp:
	case took > kind.targetLatency:
		earnedShare = lateWorthShare
	case tries == 1:
		earnedShare, onTargetShare = 1, 1
	default:
		if earnedShare, onTargetShare = lateWorthShare, 1; refusedEarly && tries == 2 {
			earnedShare = (1 + lateWorthShare) / 2
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.offeredWorth {
		if i == 0 || startedAt >= zoneLostAt && startedAt < zoneLostUntil {
			m.offeredWorth[i] += kind.worth
			m.earnedWorth[i] += earnedShare * kind.worth
			m.onTargetWorth[i] += onTargetShare * kind.worth
			if delayed && !served {
				m.delayedUnserved[i] += kind.worth
			}
		}
	}
}

// simulationResult holds the results of one simulation. Shares are weighted by worth.
type simulationResult struct{ worth, onTarget, failedCalls, worthDuringLoss, delayedUnserved float64 }

// simulateOrder runs a simulation under a load, given as a share of what the backends of the called
// service can work on.
func simulateOrder(t *testing.T, order queueOrder, offered float64, seed uint64) (result simulationResult) {
	synctest.Test(t, func(t *testing.T) {
		m := newMeshModel(t, order, seed)
		slotsAtLoadOne := deliveryKind.ratePerS*deliveryKind.meanWork + pickupKind.ratePerS*callerShare*callsPerCaller*statusKind.meanWork
		availableSlots := float64(backendSlots["billing"]*backendsPerService) / 3 * (speeds[0] + speeds[1] + speeds[2])
		ratePerS := offered * availableSlots / slotsAtLoadOne * (pickupKind.ratePerS + deliveryKind.ratePerS)
		arrivals := rand.New(rand.NewPCG(seed, 2))
		for m.now() < measureUntil+4*time.Second {
			kind := &pickupKind
			if arrivals.Float64() < deliveryKind.ratePerS/(pickupKind.ratePerS+deliveryKind.ratePerS) {
				kind = &deliveryKind
			}
			go m.runClient(kind)
			time.Sleep(time.Duration(arrivals.ExpFloat64() / ratePerS * float64(time.Second)))
		}
		time.Sleep(10 * time.Second)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.Equal(m.requestsBegun, m.requestsEnded, "a request has no response")
		for name, node := range m.nodes {
			m.Zero(node.gate.Load(m.now()).InFlight, "%s has work in flight that no client waits for", name)
		}
		result = simulationResult{m.earnedWorth[0] / m.offeredWorth[0], m.onTargetWorth[0] / m.offeredWorth[0], m.pickupCallFailures / m.pickupRuns, m.earnedWorth[1] / m.offeredWorth[1], m.delayedUnserved[0] / m.offeredWorth[0]}
	})
	return result
}

// TestOrder simulates a mesh with two levels of services that loses a third of its backends for 8
// seconds. By default it runs one load with the real queue order: each request must get its
// response and each slot must be released. The gates check themselves. The flags run and plot all
// loads and orders:
//
//	go test ./internal/mesh/outbound -v -run TestOrder -order-table -order-plot $PWD/docs/mesh-overload.svg
func TestOrder(t *testing.T) {
	if !*orderTable {
		result := simulateOrder(t, queueOrders[0], 1, 1) // 0.59 on target if returning clients counted as new ones
		require.Greater(t, result.onTarget, 0.75, "%+v", result)
		require.Less(t, result.failedCalls, 0.1, "%+v", result)
		return
	}
	const seeds = 2
	fmt.Println("order         load  worth  in aim  broken  lost   held   +-")
	charts := []chart.Chart{{Title: "worth", X: "load, 0.6 + 0.2 x"}, {Title: "worth while a third is lost", X: "load, 0.6 + 0.2 x"}, {Title: "runs that fail for a call", X: "load, 0.6 + 0.2 x"}}
	for i := range charts {
		charts[i].Lines = map[string][]float64{}
	}
	for _, order := range queueOrders {
		for load := 0.6; load < 1.7; load += 0.2 {
			var sum simulationResult
			var worths []float64
			for seed := range uint64(seeds) {
				result := simulateOrder(t, order, load, seed)
				sum.worth, sum.onTarget, sum.failedCalls, sum.worthDuringLoss = sum.worth+result.worth/seeds, sum.onTarget+result.onTarget/seeds, sum.failedCalls+result.failedCalls/seeds, sum.worthDuringLoss+result.worthDuringLoss/seeds
				sum.delayedUnserved += result.delayedUnserved / seeds
				worths = append(worths, result.worth)
			}
			deviation := 0.0
			for _, worth := range worths {
				deviation = max(deviation, math.Abs(worth-sum.worth))
			}
			fmt.Printf("%-12s  %4.1f  %5.3f  %6.3f  %6.4f  %5.3f  %5.3f  %5.3f\n", order.name, load, sum.worth, sum.onTarget, sum.failedCalls, sum.worthDuringLoss, sum.delayedUnserved, deviation)
			for i, v := range []float64{sum.worth, sum.worthDuringLoss, sum.failedCalls} {
				charts[i].Lines[order.name] = append(charts[i].Lines[order.name], v)
			}
		}
	}
	if *orderPlot != "" {
		require.NoError(t, chart.Write(*orderPlot, [][]chart.Chart{charts}))
	}
}
