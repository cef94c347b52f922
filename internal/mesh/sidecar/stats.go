package sidecar

import (
	"time"

	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
)

// answerIn is how long who asks for figures waits for the owner: one that hangs must not look well.
const answerIn = 2 * time.Second

// figures answers a question for the agent's figures; nil if the owner does not get to it.
func (a *Agent) figures(q transport.StatsQuery) *transport.StatsReport {
	if q.Traces != nil { // the rings stand by themselves: an owner that hangs is when they are wanted
		now := time.Now()
		traces := append(a.sender.Traces.Ask(now, q.Traces), a.host.Traces.Ask(now, q.Traces)...)
		return &transport.StatsReport{Traces: traces}
	}
	return transport.CollectStats(a.commands, answerIn, func() *transport.StatsReport { return a.count(q) })
}

// count is the owner's.
func (a *Agent) count(q transport.StatsQuery) *transport.StatsReport {
	var f meshmetrics.Set
	f.Process(a.began, a.set.MemoryMB)
	a.sender.CollectMetrics(&f)
	a.host.AddMetrics(&f)
	up := 0
	for _, feed := range a.feeds {
		if time.Since(feed.heard) < feedTimeout {
			up++
		}
	}
	proven, unheard := since(a.shown), since(a.heard)
	f.Flag("micaline_mesh_agent_ready", a.isReady())
	f.Add("micaline_mesh_agent_config_index", float64(a.index))
	f.Add("micaline_mesh_agent_config_proven_seconds", seconds(proven))
	f.Add("micaline_mesh_agent_unheard_seconds", seconds(unheard))
	f.Add("micaline_mesh_agent_feeds_up", float64(up))
	f.Add("micaline_mesh_agent_feeds", float64(len(a.feeds)))
	if a.usage != nil {
		f.Add("micaline_mesh_usage_uncounted_total", float64(a.usage.Dropped()))
	}
	answer := &transport.StatsReport{Samples: f.Samples}
	if q.State {
		answer.Agent = &transport.AgentState{Node: a.set.NodeName, Zone: a.set.Zone, Service: a.set.Service, Ready: a.isReady(),
			Index: a.index, Proven: proven, Unheard: unheard, Feeds: up, Station: *a.station.Load()}
	}
	return answer
}

func (a *Agent) isReady() bool { return a.ready.Load() && !a.went.Load() }

// since is negative for what has never been.
func since(t time.Time) time.Duration {
	if t.IsZero() {
		return -time.Second
	}
	return time.Since(t)
}

func seconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}
