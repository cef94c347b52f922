package outbound

import (
	"maps"
	"slices"

	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
)

// verdictLabels are in the order of the verdicts.
var verdictLabels = [...]string{"may_have_run", "not_run", "ran"}

// unanswered counts an attempt that brought no answer. Danger: its verdict and reason may be the
// word of a gate of another version.
func (c *Counters) unanswered(f *transport.Failure) {
	verdict := min(int(f.Verdict), len(c.Unanswered)-1)
	c.Unanswered[verdict][min(int(f.Reason), len(c.Unanswered[verdict])-1)].Add(1)
}

// Figures adds what the sender counts.
func (s *Sender) CollectMetrics(f *meshmetrics.Set) {
	c := &s.Count
	f.Add("micaline_mesh_requests_taken_total", float64(c.Taken.Load()))
	for i, n := range []uint64{c.Served.Load(), c.BackendFailed.Load(), c.Refused.Load(), c.Failed.Load(), c.NoRoute.Load(), c.Bad.Load(), c.Left.Load(), c.Unknown.Load()} {
		f.Add("micaline_mesh_requests_ended_total", float64(n), meshmetrics.Results[i])
	}
	f.Add("micaline_mesh_requests_held", float64(s.InFlight()))
	f.Add("micaline_mesh_attempts_total", float64(c.Attempts.Load()))
	f.Add("micaline_mesh_attempts_repeated_total", float64(c.Repeats.Load()))
	f.Add("micaline_mesh_attempts_local_total", float64(c.Local.Load()))
	for verdict := range c.Unanswered {
		for reason, name := range transport.ReasonNames() {
			if n := c.Unanswered[verdict][reason].Load(); n > 0 {
				f.Add("micaline_mesh_attempts_unanswered_total", float64(n), verdictLabels[verdict], name)
			}
		}
	}
	s.mu.RLock()
	services := maps.Clone(s.serves)
	s.mu.RUnlock()
	for _, service := range slices.Sorted(maps.Keys(services)) {
		c := services[service]
		c.mu.Lock()
		spent, allowed := c.module.RetryBudget(c.now())
		c.mu.Unlock()
		f.Add("micaline_mesh_budget_spent", float64(spent), service)
		f.Add("micaline_mesh_budget_allowed", allowed, service)
	}
	open, made := s.links.Counts()
	f.Add("micaline_mesh_agent_links_open", float64(open))
	f.Add("micaline_mesh_agent_links_made_total", float64(made))
}
