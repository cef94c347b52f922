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

// counters count what became of the operators' calls, and agents that were lost.
type counters struct {
	agreed, refused, unknown, notTaken, lost atomic.Uint64
}

// proposed counts what became of a proposal.
func (c *counters) proposed(result consensus.Result, err error) {
	switch {
	case errors.Is(err, consensus.ErrNoLeader), errors.Is(err, consensus.ErrBusy), errors.Is(err, consensus.ErrClosed):
		c.notTaken.Add(1)
	case err != nil:
		c.unknown.Add(1)
	case len(result.Reply) > 0:
		c.refused.Add(1)
	default:
		c.agreed.Add(1)
	}
}

// links tells where the process hears the mesh's own protocol, so that who asks for figures needs
// the control address only.
type links struct{ c *Core }

func (h *links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		only(w, "GET")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]string{"address": sidecar.InternalAddress(h.c.set, h.c.set.Control)})
}

// figures answers a question for the core machine's figures; nil if the owner does not get to it in
// time.
func (c *Core) figures(q transport.StatsQuery) *transport.StatsReport {
	return transport.CollectStats(c.commands, 2*answerIn, func() *transport.StatsReport { return c.counted(q) })
}

// counted is the owner's.
func (c *Core) counted(q transport.StatsQuery) *transport.StatsReport {
	status, state := c.node.Status(), c.table.now.Load()
	var f meshmetrics.Set
	f.Process(c.began, c.set.MemoryMB)
	f.OneOf("micaline_mesh_core_role", status.Role, meshmetrics.Roles)
	f.Flag("micaline_mesh_core_leader_known", status.Leader != "")
	f.Add("micaline_mesh_core_leader_changes_total", float64(status.LeaderChanges))
	f.Add("micaline_mesh_core_term", float64(status.Term))
	f.Add("micaline_mesh_core_commit_index", float64(status.Commit))
	f.Add("micaline_mesh_core_applied_index", float64(status.Applied))
	f.Add("micaline_mesh_core_members", float64(len(status.Members)))
	f.Add("micaline_mesh_core_syncs_total", float64(status.Syncs))
	f.Add("micaline_mesh_core_sync_longest_seconds", status.LongestSync.Seconds())
	for i, n := range []*atomic.Uint64{&c.count.agreed, &c.count.refused, &c.count.unknown, &c.count.notTaken} {
		f.Add("micaline_mesh_core_proposals_total", float64(n.Load()), meshmetrics.Proposals[i])
	}
	f.Add("micaline_mesh_core_config_index", float64(state.index))
	f.Add("micaline_mesh_core_feeds", float64(len(c.feeds)))
	f.Add("micaline_mesh_core_agents_lost_total", float64(c.count.lost.Load()))
	stations := c.registry.All(c.now())
	by, draining := map[string]int{}, 0
	for i := range stations {
		h := &stations[i]
		switch {
		case h.Lost:
			by["lost"]++
		case h.Station.Open:
			by["open"]++
		default:
			by["shut"]++
		}
		if h.Station.Backend != nil && h.Station.Backend.Draining && !h.Lost {
			draining++
		}
	}
	for _, word := range meshmetrics.Stations {
		f.Add("micaline_mesh_core_stations", float64(by[word]), word)
	}
	f.Add("micaline_mesh_core_backends_draining", float64(draining))
	if c.duty != nil {
		c.duty.figures(&f)
	}
	c.windows.figures(&f)
	evacuated := state.config.EvacuatedZones()
	for zone := range c.set.Zones {
		f.Flag("micaline_mesh_core_zone_evacuated", slices.Contains(evacuated, zone), zone)
	}
	answer := &transport.StatsReport{Samples: f.Samples}
	if q.State {
		answer.Core = &transport.CoreState{Node: c.set.NodeName, Zone: c.set.Zone, Self: c.set.Control, Role: status.Role,
			Leader: status.Leader, Term: status.Term, Commit: status.Commit, Applied: status.Applied, LeaderChanges: status.LeaderChanges,
			Learners: status.Learners, Outgoing: status.Outgoing, Index: state.index, Evacuated: evacuated, Feeds: len(c.feeds), Stations: stations}
		if c.duty != nil {
			answer.Core.Duties = c.duty.state()
		}
		for _, m := range status.Members {
			answer.Core.Members = append(answer.Core.Members, transport.Member{Control: m, Link: sidecar.InternalAddress(c.set, m)})
		}
	}
	return answer
}
