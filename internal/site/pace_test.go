package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/micaline/internal/mutation"
)

// pacedPair is a pacer and an agent that follows it. Each of them can lose its connection to site
// a.
type pacedPair struct {
	pacer, follower *simulation
	rng             *rand.Rand
	// Whether site a is up, and whether each agent can reach it.
	siteUp, followerConnected, pacerConnected bool
	statusReceived                            bool // by the follower, from the pacer
	epoch                                     uint64
	// Losses that the pacer reported to the follower.
	reportedLosses map[PacerStatus]bool
	// Recoveries that the follower began because of the pacer's status.
	pacedRecoveries int
	// Whether the follower is told that the site is lost.
	pacerReportsLost bool
	bug              string
}

// healthySimulation returns a simulation in which all servers have always answered.
func healthySimulation(now time.Duration) *simulation {
	sim := newSimulation(true, "")
	sim.now = now
	if err := sim.advance(0, true); err != nil {
		panic(err) // no server has failed
	}
	return sim
}

// applyRandomEvent changes the site, a connection or the pacer at random, or nothing.
func (p *pacedPair) applyRandomEvent() {
	switch p.rng.IntN(16) {
	case 0, 1:
		p.siteUp = !p.siteUp
	case 2:
		p.followerConnected = !p.followerConnected
	case 3:
		p.statusReceived = !p.statusReceived
	case 5:
		p.follower.apply("return a")
	case 4: // another agent becomes the pacer and knows of no loss
		now := p.pacer.now
		p.pacer = healthySimulation(now)
		p.epoch++
	}
}

// advance moves both simulations on by a tick and checks the invariants of following a pacer.
func (p *pacedPair) advance() error {
	for i := range serversPerSite {
		p.pacer.up[i], p.follower.up[i] = p.siteUp && p.pacerConnected, p.siteUp && p.followerConnected
	}
	if err := p.pacer.advance(tick, true); err != nil {
		return fmt.Errorf("the pacer: %w", err)
	}
	monitor := p.follower.monitor
	siteA := &monitor.sites[0]
	status, hasStatus := p.pacer.monitor.PacerStatus("a")
	switch {
	case !p.statusReceived || !hasStatus:
		monitor.FollowPacer(p.follower.now, "a", 0, nil)
		p.pacerReportsLost, hasStatus = false, false
	default:
		monitor.FollowPacer(p.follower.now, "a", p.epoch, &status)
		if status.State == Lost {
			p.reportedLosses[PacerStatus{Loss: p.epoch<<32 + status.Loss}] = true
		}
		p.pacerReportsLost = status.State == Lost
	}
	switch {
	case p.bug == "hears no pacer" && siteA.pacerStatus != nil && siteA.pacerStatus.State == Recovering:
		siteA.pacerStatus = nil
	case p.bug == "follows every return" && siteA.state == Lost && siteA.pacerStatus != nil && siteA.pacerStatus.State != Lost:
		siteA.pacerLoss = siteA.pacerStatus.Loss
	case p.bug == "asks as if alone" && siteA.pacerStatus != nil && siteA.pacerStatus.State == Lost:
		siteA.pacerStatus = nil
	case p.bug == "waits for its pacer for ever" && siteA.pacerStatus != nil:
		siteA.pacerStatusAt = monitor.now
		if siteA.state == Lost && siteA.pacerStatus.State == Lost {
			siteA.lastRetry = monitor.now
		}
	}
	before, lastRetry, otherUsable, retryRequested := siteA.state, siteA.lastRetry, monitor.anySiteUsable(), p.follower.retryRequested
	if err := p.follower.advance(tick, true); err != nil {
		return err
	}
	switch {
	case siteA.state == Recovering && before == Recovering && hasStatus && status.State == Recovering && siteA.switched > int(status.Part*serversPerSite+0.999):
		return fmt.Errorf("PacerLimit: %d servers are admitted while the pacer has admitted %.0f%%", siteA.switched, 100*status.Part)
	case siteA.state == Recovering && before == Lost && hasStatus && status.State == Lost && !p.follower.probeAnswered[0]:
		return errors.New("ProbeAnswered: the site recovers without an answered probe while its pacer reports it as lost")
	case siteA.state == Lost && siteA.lastRetry > lastRetry && p.pacerReportsLost && otherUsable && !retryRequested && siteA.lastRetry-max(lastRetry, siteA.since) < MaxRetryWait:
		return fmt.Errorf("ProbesSaved: retried %v after the last retry although the pacer probes for all", siteA.lastRetry-max(lastRetry, siteA.since))
	case siteA.state == Recovering && before == Lost && !p.follower.probeAnswered[0]:
		if p.pacedRecoveries++; p.pacedRecoveries > len(p.reportedLosses) {
			return fmt.Errorf("OneRecoveryPerLoss: %d recoveries because of pacers that reported %d losses", p.pacedRecoveries, len(p.reportedLosses))
		}
	}
	return nil
}

// runPacedPair runs random events on a pacer and its follower and returns the first violation of an
// invariant.
func runPacedPair(seed uint64, bug string) error {
	p := &pacedPair{
		pacer: healthySimulation(time.Hour), follower: healthySimulation(time.Hour), rng: rand.New(rand.NewPCG(seed, 3)),
		siteUp: true, followerConnected: true, pacerConnected: true, statusReceived: true, reportedLosses: map[PacerStatus]bool{}, bug: bug,
	}
	p.follower.paced = true
	for range 60 {
		p.applyRandomEvent()
		for range p.rng.IntN(12) {
			if err := p.advance(); err != nil {
				return err
			}
		}
	}
	// In the end the site is up and the follower can reach it. The pacer's status may or may not be
	// received. If the pacer is isolated, the follower has to recover the site alone.
	p.followerConnected, p.siteUp = true, true
	pacerIsolated := p.rng.IntN(3) == 0
	p.pacerConnected = !pacerIsolated
	for deadline := p.follower.now + 3*MaxRetryWait; p.follower.now < deadline; {
		if err := p.advance(); err != nil {
			return err
		}
		if siteA := &p.follower.monitor.sites[0]; siteA.state == Healthy && !pacerIsolated {
			return nil
		}
	}
	if siteA := &p.follower.monitor.sites[0]; siteA.state != Healthy {
		return fmt.Errorf("Recovery: the site is %v in the end with %d servers admitted; pacer isolated: %v, status received: %v", siteA.state, siteA.switched, pacerIsolated, p.statusReceived)
	}
	return nil
}

func TestExploreFollowing(t *testing.T) {
	seeds := uint64(2000)
	if testing.Short() {
		seeds = 200
	}
	for seed := range seeds {
		if err := runPacedPair(seed, ""); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Each planted bug violates the expected invariant.
func TestFollowingPlanted(t *testing.T) {
	mutation.Each(t, map[string]string{
		"hears no pacer":               "PacerLimit",
		"follows every return":         "OneRecoveryPerLoss",
		"asks as if alone":             "ProbesSaved",
		"waits for its pacer for ever": "Recovery",
	}, 2000, func(seed uint64, bug string) []string {
		if err := runPacedPair(seed, bug); err != nil {
			return []string{err.Error()}
		}
		return nil
	})
}
