package site

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/micaline/policy"
)

// BenchmarkPaced plays fifty agents, in a time of their own, of which a site is away for a minute, each alone and with one that paces it for
// all and is heard a quarter of a second late: probes a second that come to the lost site, the most of its servers' share that all agents
// together use two seconds after it is back, and how long until it is well for all.
func BenchmarkPaced(b *testing.B) {
	const agents, away = 50, time.Minute
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprintf("paced=%v", paced), func(b *testing.B) {
			probes, used, whole := 0, 0.0, time.Duration(0)
			for n := range b.N {
				var all []*world
				for i := range agents {
					w := well(time.Hour)
					w.paced, w.m.rng = true, rand.New(rand.NewPCG(uint64(1000*n+i), 6)) // each has an order of its own
					all = append(all, w)
				}
				began := all[0].now
				var late []PacerStatus
				for at := time.Duration(0); ; at += beat {
					up := at < 5*time.Second || at >= 5*time.Second+away
					for i, w := range all {
						for k := range serversOf {
							w.up[k] = up
						}
						if paced && i > 0 && len(late) > 1 {
							w.m.FollowPacer(w.now, "a", 1, &late[len(late)-2])
						}
						asked := w.m.sites[0].askedAt
						if err := w.step(beat, true); err != nil {
							b.Fatal(err)
						}
						if w.m.sites[0].askedAt > asked && !up {
							probes += probesAtOnce
						}
					}
					if word, ok := all[0].m.PacerStatus("a"); ok {
						late = append(late, word)
					}
					if at == 7*time.Second+away {
						for _, w := range all {
							for k := range serversOf {
								if use, _ := w.m.Admitted(policy.ServerID(k)); use {
									used += 1.0 / (agents * serversOf)
								}
							}
						}
					}
					well := up && at > 5*time.Second
					for _, w := range all {
						well = well && w.m.sites[0].state == Healthy
					}
					if well {
						whole += all[0].now - began - 5*time.Second - away
						break
					}
				}
			}
			b.ReportMetric(float64(probes)/float64(b.N)/away.Seconds(), "probes/s")
			b.ReportMetric(used/float64(b.N), "used-after-2s")
			b.ReportMetric(whole.Seconds()/float64(b.N), "well-after-s")
		})
	}
}
