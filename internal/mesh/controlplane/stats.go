package controlplane

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"

	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/sidecar"
	"example.org/micaline/internal/mesh/transport"
)

// counters count the outcomes of the operators' changes, calls without an effect, and lost agents.
type counters struct {
	committed, refused, unknown, notAccepted, lostAgents atomic.Uint64

	abandoned    atomic.Uint64 // calls whose clients had gone when they were read
	refusedSince atomic.Uint64 // attempts that ended with errRefusedSince
}

// countProposal counts the outcome of a proposal.
func (c *counters) countProposal(result consensus.Result, err error) {
	switch {
	case errors.Is(err, errRefusedSince): // counted for calls of every kind
	case errors.Is(err, consensus.ErrNoLeader), errors.Is(err, consensus.ErrBusy), errors.Is(err, consensus.ErrClosed), errors.Is(err, consensus.ErrAbandoned):
		c.notAccepted.Add(1)
	case err != nil:
		c.unknown.Add(1)
	case len(result.Reply) > 0:
		c.refused.Add(1)
	default:
		c.committed.Add(1)
	}
}

// linkHandler serves GET /api/link: the address of the mesh's own protocol. Clients that request
// stats thus need to know the control address only.
type linkHandler struct{ core *Core }

func (h *linkHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		methodNotAllowed(w, "GET")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]string{"address": sidecar.InternalAddress(h.core.settings, h.core.settings.Control)})
}

// statsReport returns this node's stats, or nil if the loop does not respond in time.
func (c *Core) statsReport(query transport.StatsQuery) *transport.StatsReport {
	return transport.CollectStats(c.commands, 2*responseTimeout, func() *transport.StatsReport { return c.buildStatsReport(query) })
}

// buildStatsReport builds the report. It runs in the loop.
func (c *Core) buildStatsReport(query transport.StatsQuery) *transport.StatsReport {
	status, state := c.node.Status(), c.table.published.Load()
	var metrics meshmetrics.Set
	metrics.Process(c.startedAt, c.settings.MemoryMB)
	metrics.OneOf("micaline_mesh_core_role", status.Role, meshmetrics.Roles)
	metrics.Flag("micaline_mesh_core_leader_known", status.Leader != "")
	metrics.Add("micaline_mesh_core_leader_changes_total", float64(status.LeaderChanges))
	metrics.Add("micaline_mesh_core_other_disk_messages_total", float64(status.OtherDiskMessages))
	metrics.Add("micaline_mesh_core_term", float64(status.Term))
	metrics.Add("micaline_mesh_core_commit_index", float64(status.Commit))
	metrics.Add("micaline_mesh_core_applied_index", float64(status.Applied))
	metrics.Add("micaline_mesh_core_members", float64(len(status.Members)))
	metrics.Add("micaline_mesh_core_syncs_total", float64(status.Syncs))
	metrics.Add("micaline_mesh_core_sync_longest_seconds", status.LongestSync.Seconds())
	for i, counter := range []*atomic.Uint64{&c.counters.committed, &c.counters.refused, &c.counters.unknown, &c.counters.notAccepted} {
		metrics.Add("micaline_mesh_core_proposals_total", float64(counter.Load()), meshmetrics.Proposals[i])
	}
	for i, counter := range []*atomic.Uint64{&c.counters.abandoned, &c.counters.refusedSince} {
		metrics.Add("micaline_mesh_core_calls_dropped_total", float64(counter.Load()), meshmetrics.DroppedCalls[i])
	}
	metrics.Add("micaline_mesh_core_config_index", float64(state.index))
	metrics.Add("micaline_mesh_core_feeds", float64(len(c.feeds)))
	metrics.Add("micaline_mesh_core_agents_lost_total", float64(c.counters.lostAgents.Load()))
	stations := c.registry.All(c.now())
	byState, draining := map[string]int{}, 0
	for i := range stations {
		entry := &stations[i]
		switch {
		case entry.Lost:
			byState["lost"]++
		case entry.Station.Open:
			byState["open"]++
		default:
			byState["shut"]++
		}
		if entry.Station.Backend != nil && entry.Station.Backend.Draining && !entry.Lost {
			draining++
		}
	}
	for _, label := range meshmetrics.Stations {
		metrics.Add("micaline_mesh_core_stations", float64(byState[label]), label)
	}
	metrics.Add("micaline_mesh_core_backends_draining", float64(draining))
	if c.dutyHolder != nil {
		c.dutyHolder.addMetrics(&metrics)
	}
	c.windowDriver.addMetrics(&metrics)
	evacuated := state.config.EvacuatedZones()
	for zone := range c.settings.Zones {
		metrics.Flag("micaline_mesh_core_zone_evacuated", slices.Contains(evacuated, zone), zone)
	}
	report := &transport.StatsReport{Samples: metrics.Samples}
	if query.State {
		report.Core = &transport.CoreState{Node: c.settings.NodeName, Zone: c.settings.Zone, Self: c.settings.Control, Role: status.Role,
			Leader: status.Leader, Term: status.Term, Commit: status.Commit, Applied: status.Applied, LeaderChanges: status.LeaderChanges,
			Learners: status.Learners, Outgoing: status.Outgoing, Index: state.index, Evacuated: evacuated, Feeds: len(c.feeds), Stations: stations}
		if c.dutyHolder != nil {
			report.Core.Duties = c.dutyHolder.state()
		}
		for _, member := range status.Members {
			report.Core.Members = append(report.Core.Members, transport.Member{Control: member, Link: sidecar.InternalAddress(c.settings, member)})
		}
	}
	return report
}
