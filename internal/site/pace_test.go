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
	pacer, follower                           *simulation
	rng                                       *rand.Rand
	siteUp, followerConnected, pacerConnected bool // whether site a is up, and whether each agent can reach it
	pacerHeard                                bool // whether the follower receives the pacer's status
	epoch                                     uint64
	reportedLosses                            map[PacerStatus]bool // losses that the pacer reported to the follower
	pacedRecoveries                           int                  // recoveries that the follower began because of the pacer's status
	pacerReportsLost                          bool                 // whether the follower is told that the site is lost
	bug                                       string
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

func (p *pacedPair) applyRandomEvent() {
	switch p.rng.IntN(16) {
	case 0, 1:
		p.siteUp = !p.siteUp
	case 2:
		p.followerConnected = !p.followerConnected
	case 3:
		p.pacerHeard = !p.pacerHeard
	case 5:
		p.follower.apply("return a")
	case 4: // another agent becomes the pacer and knows of no loss
		now := p.pacer.now
		p.pacer = healthySimulation(now)
		p.epoch++
	}
}

func (p *pacedPair) advance() error {
	for i := range serversPerSite {
		p.pacer.up[i], p.follower.up[i] = p.siteUp && p.pacerConnected, p.siteUp && p.followerConnected
	}
	if err := p.pacer.advance(tick, true); err != nil {
		return fmt.Errorf("the pacer: %w", err)
	}
	m := p.follower.monitor
	a := &m.sites[0]
	status, hasStatus := p.pacer.monitor.PacerStatus("a")
	switch {
	case !p.pacerHeard || !hasStatus:
		m.FollowPacer(p.follower.now, "a", 0, nil)
		p.pacerReportsLost, hasStatus = false, false
	default:
		m.FollowPacer(p.follower.now, "a", p.epoch, &status)
		if status.State == Lost {
			p.reportedLosses[PacerStatus{Loss: p.epoch<<32 + status.Loss}] = true
		}
		p.pacerReportsLost = status.State == Lost
	}
	switch {
	case p.bug == "hears no pacer" && a.pacerStatus != nil && a.pacerStatus.State == Recovering:
		a.pacerStatus = nil
	case p.bug == "follows every return" && a.state == Lost && a.pacerStatus != nil && a.pacerStatus.State != Lost:
		a.pacerLoss = a.pacerStatus.Loss
	case p.bug == "asks as if alone" && a.pacerStatus != nil && a.pacerStatus.State == Lost:
		a.pacerStatus = nil
	case p.bug == "waits for its pacer for ever" && a.pacerStatus != nil:
		a.pacerStatusAt = m.now
		if a.state == Lost && a.pacerStatus.State == Lost {
			a.lastRetry = m.now
		}
	}
	before, lastRetry, otherUsable, retryRequested := a.state, a.lastRetry, m.anySiteUsable(), p.follower.retryRequested
	if err := p.follower.advance(tick, true); err != nil {
		return err
	}
	switch {
	case a.state == Recovering && before == Recovering && hasStatus && status.State == Recovering && a.switched > int(status.Part*serversPerSite+0.999):
		return fmt.Errorf("PacerLimit: %d servers are admitted while the pacer has admitted %.0f%%", a.switched, 100*status.Part)
	case a.state == Recovering && before == Lost && hasStatus && status.State == Lost && !p.follower.probeAnswered[0]:
		return errors.New("ProbeAnswered: the site recovers without an answered probe while its pacer reports it as lost")
	case a.state == Lost && a.lastRetry > lastRetry && p.pacerReportsLost && otherUsable && !retryRequested && a.lastRetry-max(lastRetry, a.since) < MaxRetryWait:
		return fmt.Errorf("ProbesSaved: retried %v after the last retry although the pacer probes for all", a.lastRetry-max(lastRetry, a.since))
	case a.state == Recovering && before == Lost && !p.follower.probeAnswered[0]:
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
		siteUp: true, followerConnected: true, pacerConnected: true, pacerHeard: true, reportedLosses: map[PacerStatus]bool{}, bug: bug,
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
	for end := p.follower.now + 3*MaxRetryWait; p.follower.now < end; {
		if err := p.advance(); err != nil {
			return err
		}
		if a := &p.follower.monitor.sites[0]; a.state == Healthy && !pacerIsolated {
			return nil
		}
	}
	if a := &p.follower.monitor.sites[0]; a.state != Healthy {
		return fmt.Errorf("Recovery: the site is %v in the end with %d servers admitted; pacer isolated: %v, status received: %v", a.state, a.switched, pacerIsolated, p.pacerHeard)
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
