package averau

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/brentei"
	"example.org/micaline/internal/brogles"
	"example.org/micaline/internal/fanes"
	"example.org/micaline/internal/konkordia"
)

// counters count what became of the operators' calls, and agents that were lost.
type counters struct {
	agreed, refused, unknown, notTaken, lost atomic.Uint64
}

// proposed counts what became of a proposal.
func (c *counters) proposed(result konkordia.Result, err error) {
	switch {
	case errors.Is(err, konkordia.ErrNoLeader), errors.Is(err, konkordia.ErrBusy), errors.Is(err, konkordia.ErrClosed):
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
	json.NewEncoder(w).Encode(map[string]string{"address": brogles.Inner(h.c.set, h.c.set.Control)})
}

// figures answers a question for the core machine's figures; nil if the owner does not get to it in
// time.
func (c *Core) figures(q brentei.Question) *brentei.Figures {
	answer := make(chan *brentei.Figures, 1)
	late := time.NewTimer(2 * answerIn)
	defer late.Stop()
	select {
	case c.commands <- func() { answer <- c.counted(q) }:
	case <-late.C:
		return nil
	}
	select {
	case f := <-answer:
		return f
	case <-late.C:
		return nil
	}
}

// counted is the owner's.
func (c *Core) counted(q brentei.Question) *brentei.Figures {
	status, state := c.node.Status(), c.table.now.Load()
	var f fanes.Set
	f.Process(c.began, c.set.MemoryMB)
	f.OneOf("altavia_core_role", status.Role, fanes.Roles)
	f.Flag("altavia_core_leader_known", status.Leader != "")
	f.Add("altavia_core_leader_changes_total", float64(status.LeaderChanges))
	f.Add("altavia_core_term", float64(status.Term))
	f.Add("altavia_core_commit_index", float64(status.Commit))
	f.Add("altavia_core_applied_index", float64(status.Applied))
	f.Add("altavia_core_members", float64(len(status.Members)))
	f.Add("altavia_core_syncs_total", float64(status.Syncs))
	f.Add("altavia_core_sync_longest_seconds", status.SyncMax.Seconds())
	for i, n := range []*atomic.Uint64{&c.count.agreed, &c.count.refused, &c.count.unknown, &c.count.notTaken} {
		f.Add("altavia_core_proposals_total", float64(n.Load()), fanes.Proposals[i])
	}
	f.Add("altavia_core_config_index", float64(state.index))
	f.Add("altavia_core_feeds", float64(len(c.feeds)))
	f.Add("altavia_core_agents_lost_total", float64(c.count.lost.Load()))
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
	for _, word := range fanes.Stations {
		f.Add("altavia_core_stations", float64(by[word]), word)
	}
	f.Add("altavia_core_backends_draining", float64(draining))
	evacuated := state.config.EvacuatedZones()
	for zone := range c.set.Zones {
		f.Flag("altavia_core_zone_evacuated", slices.Contains(evacuated, zone), zone)
	}
	answer := &brentei.Figures{Samples: f.Samples}
	if q.State {
		answer.Core = &brentei.CoreState{Node: c.set.NodeName, Zone: c.set.Zone, Self: c.set.Control, Role: status.Role,
			Leader: status.Leader, Term: status.Term, Commit: status.Commit, Applied: status.Applied, LeaderChanges: status.LeaderChanges,
			Learners: status.Learners, Index: state.index, Evacuated: evacuated, Feeds: len(c.feeds), Stations: stations}
		for _, m := range status.Members {
			answer.Core.Members = append(answer.Core.Members, brentei.Member{Control: m, Link: brogles.Inner(c.set, m)})
		}
	}
	return answer
}
