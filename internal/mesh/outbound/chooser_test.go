package outbound

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/policy"
	"github.com/stretchr/testify/require"
)

// modelRequest is a request as its client sees it: what the balancer decided, and how that went.
type modelRequest struct {
	*balancedRequest
	unsafe, ended bool
	targets       []policy.ServerID // of each attempt, by its number
	inFlight      []int             // numbers of the attempts in flight
	possibleRuns  int               // attempts that ran, or may have

	backendRejections int // attempts that reached a backend, which turned them away
}

// loadModel drives a serviceBalancer with its real policy, and checks each action.
type loadModel struct {
	*require.Assertions
	rng               *rand.Rand
	balancer          *serviceBalancer
	settings          policy.Settings
	active            []*modelRequest
	requests          map[policy.RequestID]*modelRequest
	targets           map[policy.ServerID]bool
	accepted, repeats []time.Time // when requests began, and when attempts beyond the first were sent
	counts            map[string]int
}

// countWithin counts the times within a span that began startAge ago.
func countWithin(times []time.Time, startAge, span time.Duration) (n float64) {
	for _, at := range times {
		if age := time.Since(at); age < startAge && age >= startAge-span {
			n++
		}
	}
	return n
}

// checkSend checks an action to send, which is the only way for a request to leave. The retry
// budget is computed as the rule BUDGET words it.
func (l *loadModel) checkSend(request *modelRequest, action policy.Action, target *backendTarget) {
	l.counts["sent"]++
	l.True(target != nil && l.targets[target.id], "ROUTE, DRAIN: sent to a backend that is unknown or no longer ready")
	l.False(request.unsafe && request.possibleRuns+len(request.inFlight) > 0, "TWICE: sent again although it may have run")
	l.False(request.ended || len(request.inFlight) > 1 || len(request.targets) == l.settings.MaxAttempts, "sent after its end, or too often")
	if request.possibleRuns+request.backendRejections+len(request.inFlight) > 0 {
		l.counts["repeated"]++
		l.repeats = append(l.repeats, time.Now())
		window := l.settings.ExtraWindow
		mostAccepted := max(countWithin(l.accepted, window, window), countWithin(l.accepted, 2*window, window), countWithin(l.accepted, 3*window/2, window))
		l.LessOrEqual(countWithin(l.repeats, window, window), l.settings.ExtraRatio*mostAccepted+l.settings.ExtraFloor, "BUDGET")
	}
	request.inFlight = append(request.inFlight, len(request.targets))
	request.targets = append(request.targets, action.Server)
}

// carryOutActions carries out the actions for a request.
func (l *loadModel) carryOutActions(request *modelRequest) {
	for action, target, ok := l.balancer.nextAction(request.balancedRequest); ok; action, target, ok = l.balancer.nextAction(request.balancedRequest) {
		if action.Kind == policy.ActSend {
			l.checkSend(request, action, target)
			continue
		}
		l.counts[map[policy.ActionKind]string{policy.ActRefuse: "refused", policy.ActFail: "failed"}[action.Kind]]++
		l.False(action.Kind == policy.ActRefuse && request.unsafe && request.possibleRuns > 0, "REFUSED: a promise for what may have run")
		l.False(request.ended || len(request.inFlight) > 0, "a request ended twice, or while an attempt in flight might still serve it")
		request.ended = true
		l.balancer.endRequest(request.balancedRequest, false)
	}
	l.True(request.ended || len(request.inFlight) > 0, "a request is left without an action")
}

// endAttempt ends one attempt of a request, with a random outcome.
func (l *loadModel) endAttempt(request *modelRequest) {
	i := l.rng.IntN(len(request.inFlight))
	number := request.inFlight[i]
	request.inFlight = slices.Delete(request.inFlight, i, i+1)
	outcome := policy.Outcome(l.rng.IntN(int(policy.NotSent)+1) * l.rng.IntN(2))
	retryAfter := time.Duration(20+l.rng.IntN(300)) * time.Millisecond
	if outcome != policy.Full && outcome != policy.ConnectFailed && outcome != policy.NotSent {
		request.possibleRuns++
	}
	reachedBackend := outcome == policy.Full && l.rng.IntN(3) == 0 // the backend itself had no room
	if reachedBackend {
		request.backendRejections++
	}
	l.counts[outcome.String()]++
	isFinal := outcome == policy.OK || outcome == policy.Cancelled
	l.balancer.reportOutcome(request.balancedRequest, number, request.targets[number], outcome, policy.Load{}, retryAfter, reachedBackend, isFinal || request.ended)
	if !isFinal && !request.ended {
		l.carryOutActions(request)
	} else if !request.ended { // otherwise it is a hedge of a request that has been answered
		request.ended = true
		l.balancer.endRequest(request.balancedRequest, false)
	}
}

func (l *loadModel) beginRequest() {
	l.accepted = append(l.accepted, time.Now())
	class, remaining := l.rng.IntN(2), time.Duration(1+l.rng.IntN(2000))*time.Millisecond
	request := &modelRequest{unsafe: class == 1}
	request.balancedRequest = l.balancer.beginRequest(class, remaining, func(action policy.Action, target *backendTarget) {
		l.counts["copies"]++
		l.checkSend(l.requests[action.Request], action, target)
	})
	l.requests[request.id] = request
	l.active = append(l.active, request)
	l.carryOutActions(request)
}

// changeTargets draws the backends that are ready.
func (l *loadModel) changeTargets() {
	l.targets = map[policy.ServerID]bool{}
	var targets []*backendTarget
	for _, n := range l.rng.Perm(6)[:min(6, l.rng.IntN(12))] {
		target := &backendTarget{id: policy.ServerID(n), backendID: fmt.Sprint(l.rng.IntN(2)), zone: n % 2, warmupLeft: time.Duration(l.rng.IntN(2)) * time.Second}
		l.targets[target.id], targets = true, append(targets, target)
	}
	l.balancer.setTargets(targets)
}

// TestChooser checks the rules TWICE, REFUSED, BUDGET and DRAIN (see meshtest.Rules) at the
// balancer, in virtual time.
func TestChooser(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRandomLoad(require.New(t), seed, counts) })
		})
	}
	for _, kind := range []string{"sent", "repeated", "refused", "failed", "copies", "rejected", "reset", "not sent"} {
		require.Greater(t, counts[kind], 50, "too few cases of: %s", kind)
	}
}

func playRandomLoad(assertions *require.Assertions, seed uint64, counts map[string]int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	model := &loadModel{Assertions: assertions, rng: rng, requests: map[policy.RequestID]*modelRequest{}, counts: counts, settings: policy.Settings{
		Agents: 1 + rng.IntN(20), Reports: policy.ReportsInline, Gates: true, Width: 4, Tick: time.Millisecond, MaxAttempts: 6,
		SecondCopies: true, ColdFrom: initialCapacityShare, OverloadFactor: 2, WarmAfter: 2 * time.Second,
		ExtraWindow: time.Duration(500+rng.IntN(3000)) * time.Millisecond, ExtraFloor: 3 * rng.Float64(), ExtraRatio: rng.Float64() / 2}}
	safe := policy.Class{Aim: 200 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1, LateWorth: lateWorth}
	unsafe := safe
	unsafe.Effect = policy.SideEffect
	model.settings.Classes = []policy.Class{safe, unsafe}
	model.balancer, _ = newServiceBalancer("s", model.settings, func(string) {})
	model.balancer.balancer, _ = policy.New(model.settings, seed) // with a known seed
	model.balancer.wakeup = time.AfterFunc(0, func() {})          // the test itself calls fireTimers, below
	model.changeTargets()
	for range 600 {
		model.active = slices.DeleteFunc(model.active, func(request *modelRequest) bool { return len(request.inFlight) == 0 })
		switch n := rng.IntN(60); {
		case n == 0:
			model.changeTargets()
		case n < 20:
			model.beginRequest()
		case n < 25:
			for range rng.IntN(15) { // virtual time: nothing waits
				time.Sleep(10 * time.Millisecond)
				model.balancer.fireTimers()
			}
		case len(model.active) > 0:
			model.endAttempt(model.active[rng.IntN(len(model.active))])
		}
	}
	for _, request := range model.requests {
		for len(request.inFlight) > 0 {
			model.endAttempt(request)
		}
		assertions.True(request.ended, "a request has not ended")
	}
	assertions.Empty(model.balancer.requests)
}
