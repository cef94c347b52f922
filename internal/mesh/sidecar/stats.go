package sidecar

import (
	"time"

	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
)

// statsTimeout is how long a stats query waits for the owner goroutine. A process whose owner hangs
// must not look healthy.
const statsTimeout = 2 * time.Second

// queryStats answers a stats query. It returns nil if the owner goroutine does not respond in time.
func (a *Agent) queryStats(query transport.StatsQuery) *transport.StatsReport {
	if query.Traces != nil { // not through the owner: traces are needed when it hangs
		now := time.Now()
		traces := append(a.sender.Traces.Ask(now, query.Traces), a.host.Traces.Ask(now, query.Traces)...)
		return &transport.StatsReport{Traces: traces}
	}
	return transport.CollectStats(a.commands, statsTimeout, func() *transport.StatsReport { return a.collectStats(query) })
}

// collectStats collects the metrics and the state. It runs on the owner goroutine.
func (a *Agent) collectStats(query transport.StatsQuery) *transport.StatsReport {
	var metrics meshmetrics.Set
	metrics.Process(a.startedAt, a.settings.MemoryMB)
	a.sender.CollectMetrics(&metrics)
	a.host.AddMetrics(&metrics)
	connectedFeeds := 0
	for _, f := range a.feeds {
		if time.Since(f.lastReceived) < feedTimeout {
			connectedFeeds++
		}
	}
	sinceProven, sinceContact := elapsedSince(a.lastProven), elapsedSince(a.lastContact)
	metrics.Flag("micaline_mesh_agent_ready", a.reportsReady())
	metrics.Add("micaline_mesh_agent_config_index", float64(a.configIndex))
	metrics.Add("micaline_mesh_agent_config_proven_seconds", seconds(sinceProven))
	metrics.Add("micaline_mesh_agent_unheard_seconds", seconds(sinceContact))
	metrics.Add("micaline_mesh_agent_feeds_up", float64(connectedFeeds))
	metrics.Add("micaline_mesh_agent_feeds", float64(len(a.feeds)))
	if a.usageCounter != nil {
		metrics.Add("micaline_mesh_usage_uncounted_total", float64(a.usageCounter.Dropped()))
	}
	report := &transport.StatsReport{Samples: metrics.Samples}
	if query.State {
		report.Agent = &transport.AgentState{Node: a.settings.NodeName, Zone: a.settings.Zone, Service: a.settings.Service, Ready: a.reportsReady(),
			Index: a.configIndex, Proven: sinceProven, Unheard: sinceContact, Feeds: connectedFeeds, Station: *a.station.Load()}
	}
	return report
}

// reportsReady returns the readiness that metrics show. It ignores maintenance stages.
func (a *Agent) reportsReady() bool { return a.ready.Load() && !a.stopping.Load() }

// elapsedSince returns the time since t, or a negative duration if t is zero.
func elapsedSince(t time.Time) time.Duration {
	if t.IsZero() {
		return -time.Second
	}
	return time.Since(t)
}

// seconds converts a duration to seconds. Negative durations, which mean never, become -1.
func seconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}
