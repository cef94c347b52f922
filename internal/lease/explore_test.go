package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/mutation"
)

// simulation runs agents that want two duties, and a group whose leader changes. Clocks drift,
// processes are suspended, crash and are partitioned, and messages are delayed, duplicated and
// lost. There is a single table, because the members of a group have identical ones.
type simulation struct {
	rng             *rand.Rand
	now             time.Duration
	table           Table
	leaseExpiry     ExpiryTracker
	leaderClockRate float64 // rate of the leader's clock
	noLeaderUntil   time.Duration
	processes       []*agentProcess
	deliveries      []delivery
	bug             string

	lastEpoch    uint64
	reservedFor  map[string]string // by duty: for whom it is reserved since the last release
	revoked      map[string]uint64 // by duty: epoch that was revoked
	batons       map[string]string
	lostInRow    map[string]int   // by duty: holders lost in a row
	followerRNG  *rand.Rand       // separate, so that checks of Followers do not change the other random choices
	staleAnswers map[string]*Duty // by duty: state at a member that no longer receives updates
	olderAnswers map[string]*Duty // by duty: an earlier answer, to be received again late
	failures     []string
}

type agentProcess struct {
	name         string
	restarts     int
	clockRate    float64
	clockOffset  time.Duration
	holders      map[string]*Holder
	followers    map[string]*Follower
	newestEpoch  map[string]uint64 // by duty: newest epoch followed since the process started
	stoppedUntil time.Duration     // the process is suspended until then
	cutOffUntil  time.Duration
}

type delivery struct {
	at      time.Duration
	deliver func()
}

const (
	leaseTerm       = 300 * time.Millisecond
	maxAcquireDelay = 20 * time.Millisecond
	simulatedTime   = 16 * time.Second
	faultsEnd       = 8 * time.Second // no faults are injected from then on
)

func (w *simulation) leaderNow(rate float64) time.Duration {
	return time.Duration(float64(w.now) * rate)
}

func (a *agentProcess) localNow(now time.Duration) time.Duration {
	return a.clockOffset + time.Duration(float64(now)*a.clockRate)
}

func (w *simulation) randomClockRate() float64 {
	return 1 + MaxClockDrift*[]float64{-1, 1, 2*w.rng.Float64() - 1}[w.rng.IntN(3)]
}

func (w *simulation) fail(property, format string, args ...any) {
	if len(w.failures) < 8 {
		w.failures = append(w.failures, fmt.Sprintf("%s: at %v: ", property, w.now)+fmt.Sprintf(format, args...))
	}
}

// startProcess starts a new process of an agent, with a new clock and without leases.
func (w *simulation) startProcess(a *agentProcess) {
	a.restarts++
	a.clockOffset = time.Duration(w.rng.Int64N(int64(time.Hour)))
	a.holders, a.followers, a.newestEpoch = map[string]*Holder{}, map[string]*Follower{}, map[string]uint64{}
	for _, duty := range []string{"x", "y"} {
		a.holders[duty] = &Holder{Duty: duty, Name: fmt.Sprintf("%s/%d", a.name, a.restarts), Term: leaseTerm}
		a.followers[duty] = &Follower{MaxAge: leaseTerm}
	}
}

// apply applies an operation to the table, with the injected bug, and checks the result.
func (w *simulation) apply(op Op) Answer {
	d := w.table.Duties[op.Duty]
	switch w.bug {
	case "an older epoch is renewed":
		if op.Kind == Renew && d != nil && d.Holder != "" {
			return Answer{Holder: op.Holder, Epoch: op.Epoch}
		}
	case "the end of an old time ends the new one":
		if op.Kind == Expire && d != nil {
			op.Version = d.Version
		}
	case "a duty that is held is granted":
		if op.Kind == Acquire && d != nil {
			d.Holder = ""
		}
	case "a revoked duty is free at once":
		if op.Kind == Revoke && d != nil {
			w.table.Apply(&op)
			d.Holder, d.Revoked = "", false
			return Answer{}
		}
	case "a revoked duty is renewed":
		if op.Kind == Renew && d != nil {
			d.Revoked = false
		}
	case "an epoch comes again":
		if op.Kind == Acquire && w.rng.IntN(3) == 0 && w.table.Last > 0 {
			w.table.Last--
		}
	case "whoever comes takes what is handed to another":
		if op.Kind == Acquire && d != nil {
			d.To = ""
		}
	case "the baton is lost":
		if op.Kind == Acquire && d != nil {
			d.Baton = nil
		}
	case "it never rests":
		if d != nil {
			d.Lost = 0
		}
	case "it rests for ever":
		if op.Kind == Expire && d != nil && d.Resting {
			return Answer{}
		}
	case "anybody releases it":
		if op.Kind == Release && d != nil {
			op.Holder, op.Epoch = d.Holder, d.Epoch
		}
	}
	before := Duty{}
	if d != nil {
		before = *d
	}
	answer := w.table.Apply(&op)
	d = w.table.Duties[op.Duty]
	if w.bug == "a word outlives its holder" && op.Kind != Renew && d != nil {
		d.Word = before.Word
	}
	if d != nil && d.Word != nil && string(d.Word) != fmt.Sprint(d.Epoch) {
		w.fail("Word", "%q is published under epoch %d", d.Word, d.Epoch)
	}
	if op.Kind == Acquire && answer.Refused == "" {
		if answer.Epoch <= w.lastEpoch {
			w.fail("Order", "epoch %d after %d", answer.Epoch, w.lastEpoch)
		}
		w.lastEpoch = max(w.lastEpoch, answer.Epoch)
		if to := w.reservedFor[op.Duty]; to != "" && to != op.Holder {
			w.fail("Hand", "%s acquired a duty that was handed over to %s", op.Holder, to)
		}
		if baton := w.batons[op.Duty]; baton != string(answer.Baton) {
			w.fail("Hand", "the baton is %q and was %q", answer.Baton, baton)
		}
		delete(w.reservedFor, op.Duty)
	}
	switch {
	case answer.Refused != "":
	case op.Kind == Release:
		w.reservedFor[op.Duty], w.batons[op.Duty] = d.To, string(op.Baton)
	case op.Kind == Expire && before.Holder == "" && before.To != "":
		delete(w.reservedFor, op.Duty)
	case op.Kind == HandOver:
		w.reservedFor[op.Duty] = d.To
	case op.Kind == Revoke:
		w.revoked[op.Duty] = before.Epoch
	case op.Kind == Renew && w.revoked[op.Duty] == op.Epoch:
		w.fail("Revoked", "epoch %d of %s was renewed after it was revoked", op.Epoch, op.Duty)
	case op.Kind == Expire && before.Holder != "" && !before.Revoked && before.Renewed < settledRenewals:
		if w.lostInRow[op.Duty]++; w.lostInRow[op.Duty] >= maxLostHolders && !d.Resting {
			w.fail("Rest", "%s does not rest", op.Duty)
		}
	}
	if answer.Refused == "" && (op.Kind == Release || d.Renewed >= settledRenewals || before.Resting) {
		w.lostInRow[op.Duty] = 0
	}
	return answer
}

// randomDelay returns the delay of a message, which is sometimes far longer than usual.
func (w *simulation) randomDelay() time.Duration {
	delay := time.Duration(w.rng.Int64N(int64(30 * time.Millisecond)))
	if w.now < faultsEnd && w.rng.IntN(8) == 0 {
		delay *= 10
	}
	return delay
}

// sendRequest sends a request that may be delayed, duplicated or lost, as may its answer.
func (w *simulation) sendRequest(a *agentProcess, h *Holder, request *Request) {
	if request == nil {
		return
	}
	restarts := a.restarts
	isLost := func() bool { return w.now < a.cutOffUntil || w.now < faultsEnd && w.rng.IntN(20) == 0 }
	deliver := func(r Answer) {
		if a.restarts == restarts && !isLost() {
			w.deliverAnswer(a, h, request, r)
		}
	}
	for range 1 + w.rng.IntN(8)/7 {
		if isLost() {
			continue
		}
		w.deliveries = append(w.deliveries, delivery{w.now + w.randomDelay(), func() {
			r := w.apply(request.Op)
			for range 1 + w.rng.IntN(2) {
				w.deliveries = append(w.deliveries, delivery{w.now + w.randomDelay(), func() {
					if w.now < a.stoppedUntil { // a suspended process reads it when it resumes
						w.deliveries = append(w.deliveries, delivery{a.stoppedUntil, func() { deliver(r) }})
						return
					}
					deliver(r)
				}})
			}
		}})
	}
}

func (w *simulation) deliverAnswer(a *agentProcess, h *Holder, request *Request, r Answer) {
	now := a.localNow(w.now)
	switch w.bug {
	case "the term counts from the answer":
		sentAt := h.requestedAt
		if h.requestedAt = now; !h.inFlight || request.Number != h.requestNumber {
			h.requestedAt = sentAt
		}
	case "any answer will do":
		request.Number, h.inFlight = h.requestNumber, true
		h.requestedAt = now
	}
	h.HandleAnswer(now, request.Number, r)
}

func (w *simulation) step() {
	w.now += maxAcquireDelay / 4
	for i := 0; i < len(w.deliveries); i++ {
		if m := w.deliveries[i]; m.at <= w.now {
			w.deliveries = slices.Delete(w.deliveries, i, i+1)
			i--
			m.deliver()
		}
	}
	if w.now >= w.noLeaderUntil {
		leaderTime := w.leaderNow(w.leaderClockRate)
		if w.bug == "the lead's clock runs ahead of the margin" {
			leaderTime += leaderTime / 5
		}
		for _, op := range w.leaseExpiry.Expired(leaderTime, &w.table) {
			w.deliveries = append(w.deliveries, delivery{w.now + w.randomDelay(), func() { w.apply(op) }})
		}
	}
	for _, a := range w.processes {
		if w.now < a.stoppedUntil {
			continue
		}
		for _, duty := range []string{"x", "y"} {
			h := a.holders[duty]
			now := a.localNow(w.now)
			d := w.table.Duties[duty]
			free := d == nil || d.Holder == ""
			if _, _, holds := h.Holds(now); holds && (h.ReleaseReason() != "" || w.now < faultsEnd && w.rng.IntN(600) == 0) {
				to := ""
				if w.rng.IntN(2) == 0 {
					other := w.processes[w.rng.IntN(len(w.processes))]
					to = other.holders[duty].Name
				}
				w.sendRequest(a, h, h.Release(now, to, fmt.Appendf(nil, "%d", w.rng.IntN(1000))))
				continue
			}
			if h.epoch != 0 {
				h.Publish(fmt.Append(nil, h.epoch))
			}
			w.checkFollower(a, duty)
			w.sendRequest(a, h, h.Tick(now, free, time.Duration(w.rng.Int64N(int64(maxAcquireDelay)))))
			if w.bug == "it holds on when its time is over" && h.epoch != 0 {
				h.validUntil = now + leaseTerm
			}
		}
	}
	w.injectFault()
	for _, duty := range []string{"x", "y"} {
		var holders []string
		for _, a := range w.processes {
			// A suspended process does nothing now. Its actions after it resumes carry an epoch
			// that is refused.
			if _, _, holds := a.holders[duty].Holds(a.localNow(w.now)); holds && w.now >= a.stoppedUntil {
				holders = append(holders, a.holders[duty].Name)
			}
		}
		if len(holders) > 1 {
			w.fail("One", "%s is held by %v", duty, holders)
		}
	}
}

// checkFollower passes the holder's word to an agent's Follower and checks which word it follows.
// After faultsEnd the first agent queries a member that no longer receives updates.
func (w *simulation) checkFollower(a *agentProcess, duty string) {
	follower, now := a.followers[duty], a.localNow(w.now)
	if d := w.table.Duties[duty]; d != nil && w.followerRNG.IntN(4) == 0 && w.now >= a.cutOffUntil {
		answer := Duty{Epoch: d.Epoch, Version: d.Version, Word: d.Word}
		if a == w.processes[0] && w.now > faultsEnd {
			if w.staleAnswers[duty] == nil {
				w.staleAnswers[duty] = &answer
			}
			answer = *w.staleAnswers[duty]
		}
		switch w.bug {
		case "whatever is heard last is followed":
			follower.epoch, follower.version = 0, 0
		case "a word is as old as its answer":
			follower.version = 0
		}
		if w.followerRNG.IntN(8) == 0 && w.olderAnswers[duty] != nil && w.now <= faultsEnd { // a delayed older answer
			follower.Update(now, w.olderAnswers[duty].Epoch, w.olderAnswers[duty].Version, w.olderAnswers[duty].Word)
		}
		follower.Update(now, answer.Epoch, answer.Version, answer.Word)
		if w.followerRNG.IntN(20) == 0 {
			w.olderAnswers[duty] = &answer
		}
	}
	message, epoch := follower.Current(now)
	if message == nil {
		return
	}
	if epoch < a.newestEpoch[duty] {
		w.fail("Word", "%s follows epoch %d of %s after epoch %d", a.name, epoch, duty, a.newestEpoch[duty])
	}
	a.newestEpoch[duty] = epoch
	if a == w.processes[0] && w.now > faultsEnd+5*leaseTerm {
		w.fail("Word", "%s follows an outdated word indefinitely", a.name)
	}
}

func (w *simulation) injectFault() {
	if w.now >= faultsEnd {
		return
	}
	a := w.processes[w.rng.IntN(len(w.processes))]
	duration := time.Duration(w.rng.Int64N(int64(3 * leaseTerm)))
	switch w.rng.IntN(400) {
	case 0:
		w.startProcess(a)
	case 1:
		a.stoppedUntil = w.now + duration
	case 2:
		a.cutOffUntil = w.now + duration
	case 3: // the leader changes
		w.leaderClockRate, w.noLeaderUntil = w.randomClockRate(), w.now+duration/2
		if w.bug != "a new lead goes on with the clock of the one before" {
			w.leaseExpiry = ExpiryTracker{}
		} else {
			for name, s := range w.leaseExpiry.seen {
				s.version, s.since = w.table.Duties[name].Version, s.since-leaseTerm
				w.leaseExpiry.seen[name] = s
			}
		}
	case 4, 5:
		if d := w.table.Duties["x"]; d != nil {
			w.apply(Op{Kind: Revoke, Duty: "x", Why: "by hand"})
		}
	case 6, 7:
		if d := w.table.Duties["y"]; d != nil {
			w.apply(Op{Kind: HandOver, Duty: "y", To: a.holders["y"].Name})
		}
	}
}

func explore(seed uint64, bug string) []string {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), bug: bug, reservedFor: map[string]string{}, revoked: map[string]uint64{}, batons: map[string]string{}, lostInRow: map[string]int{}, followerRNG: rand.New(rand.NewPCG(seed, 9)), staleAnswers: map[string]*Duty{}, olderAnswers: map[string]*Duty{}}
	w.leaderClockRate = w.randomClockRate()
	for _, name := range []string{"a", "b", "c"} {
		a := &agentProcess{name: name, clockRate: w.randomClockRate()}
		w.startProcess(a)
		w.processes = append(w.processes, a)
	}
	heldSteps := map[string]int{}
	checkedSteps := 0
	for w.now < simulatedTime {
		w.step()
		if w.now < simulatedTime-2*time.Second { // leaves time for ten terms of rest and one term for each lost holder
			continue
		}
		checkedSteps++
		for _, duty := range []string{"x", "y"} {
			for _, a := range w.processes {
				if _, _, holds := a.holders[duty].Holds(a.localNow(w.now)); holds {
					heldSteps[duty]++
				}
			}
		}
	}
	for _, duty := range []string{"x", "y"} {
		if heldSteps[duty] < checkedSteps/3 {
			w.fail("Back", "%s is held in %d of the last %d steps: %+v", duty, heldSteps[duty], checkedSteps, *w.table.Duties[duty])
		}
	}
	return w.failures
}

func TestExplore(t *testing.T) {
	seeds := uint64(2000)
	if testing.Short() {
		seeds = 200
	}
	for seed := range seeds {
		if failures := explore(seed, ""); len(failures) > 0 {
			t.Fatalf("seed %d:\n%s", seed, strings.Join(failures, "\n"))
		}
	}
}

// Each injected bug must break the property listed with it.
func TestPlanted(t *testing.T) {
	mutation.Each(t, map[string]string{
		"an older epoch is renewed":                           "One",
		"the end of an old time ends the new one":             "One",
		"a duty that is held is granted":                      "One",
		"a revoked duty is free at once":                      "One",
		"a revoked duty is renewed":                           "Revoked",
		"an epoch comes again":                                "Order",
		"whoever comes takes what is handed to another":       "Hand",
		"the baton is lost":                                   "Hand",
		"it never rests":                                      "Rest",
		"it rests for ever":                                   "Back",
		"anybody releases it":                                 "One",
		"the term counts from the answer":                     "One",
		"any answer will do":                                  "One",
		"the lead's clock runs ahead of the margin":           "One",
		"it holds on when its time is over":                   "One",
		"a new lead goes on with the clock of the one before": "One",
		"a word outlives its holder":                          "Word",
		"whatever is heard last is followed":                  "Word",
		"a word is as old as its answer":                      "Word",
	}, 400, explore)
}
