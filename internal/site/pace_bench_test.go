package site

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/micaline/policy"
)

// BenchmarkPaced simulates fifty agents during the outage of one site for a minute. In one case
// each agent acts alone, in the other one agent paces the recovery and its status reaches the
// others a quarter of a second late. It reports the probes per second that reach the lost site, the
// share of the site's servers that all agents together use two seconds after the outage ended, and
// the time until the site is healthy for all agents.
func BenchmarkPaced(b *testing.B) {
	const agents, outage = 50, time.Minute
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprintf("paced=%v", paced), func(b *testing.B) {
			probes, admittedShare, recoveryTime := 0, 0.0, time.Duration(0)
			for n := range b.N {
				var agentSims []*simulation
				for i := range agents {
					sim := healthySimulation(time.Hour)
					// Each agent has its own server order.
					sim.paced, sim.monitor.rng = true, rand.New(rand.NewPCG(uint64(1000*n+i), 6))
					agentSims = append(agentSims, sim)
				}
				start := agentSims[0].now
				var published []PacerStatus
				for elapsed := time.Duration(0); ; elapsed += tick {
					up := elapsed < 5*time.Second || elapsed >= 5*time.Second+outage
					for i, sim := range agentSims {
						for k := range serversPerSite {
							sim.up[k] = up
						}
						if paced && i > 0 && len(published) > 1 {
							sim.monitor.FollowPacer(sim.now, "a", 1, &published[len(published)-2])
						}
						lastRetry := sim.monitor.sites[0].lastRetry
						if err := sim.advance(tick, true); err != nil {
							b.Fatal(err)
						}
						if sim.monitor.sites[0].lastRetry > lastRetry && !up {
							probes += concurrentProbes
						}
					}
					if status, ok := agentSims[0].monitor.PacerStatus("a"); ok {
						published = append(published, status)
					}
					if elapsed == 7*time.Second+outage {
						for _, sim := range agentSims {
							for k := range serversPerSite {
								if admitted, _ := sim.monitor.Admitted(policy.ServerID(k)); admitted {
									admittedShare += 1.0 / (agents * serversPerSite)
								}
							}
						}
					}
					allHealthy := up && elapsed > 5*time.Second
					for _, sim := range agentSims {
						allHealthy = allHealthy && sim.monitor.sites[0].state == Healthy
					}
					if allHealthy {
						recoveryTime += agentSims[0].now - start - 5*time.Second - outage
						break
					}
				}
			}
			b.ReportMetric(float64(probes)/float64(b.N)/outage.Seconds(), "probes/s")
			b.ReportMetric(admittedShare/float64(b.N), "used-after-2s")
			b.ReportMetric(recoveryTime.Seconds()/float64(b.N), "well-after-s")
		})
	}
}
