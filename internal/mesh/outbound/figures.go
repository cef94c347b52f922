package outbound

import (
	"maps"
	"slices"

	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
)

// verdictLabels are the metric labels of the verdicts, in their order.
var verdictLabels = [...]string{"may_have_run", "not_run", "ran"}

// countUnanswered counts an attempt that brought no response from a backend. The verdict and the
// reason may come from a gate of another version, so unknown values are counted as the last ones.
func (c *Counters) countUnanswered(f *transport.Failure) {
	verdict := min(int(f.Verdict), len(c.UnansweredAttempts)-1)
	c.UnansweredAttempts[verdict][min(int(f.Reason), len(c.UnansweredAttempts[verdict])-1)].Add(1)
}

// CollectMetrics adds the sender's metrics to a set.
func (s *Sender) CollectMetrics(metrics *meshmetrics.Set) {
	counters := &s.Counters
	metrics.Add("micaline_mesh_requests_taken_total", float64(counters.Received.Load()))
	for i, n := range []uint64{counters.Served.Load(), counters.BackendFailed.Load(), counters.Refused.Load(), counters.Failed.Load(), counters.NoRoute.Load(), counters.BadRequests.Load(), counters.ClientLeft.Load(), counters.Unauthenticated.Load()} {
		metrics.Add("micaline_mesh_requests_ended_total", float64(n), meshmetrics.Results[i])
	}
	metrics.Add("micaline_mesh_requests_held", float64(s.InFlight()))
	metrics.Add("micaline_mesh_attempts_total", float64(counters.Attempts.Load()))
	metrics.Add("micaline_mesh_attempts_repeated_total", float64(counters.RepeatedAttempts.Load()))
	metrics.Add("micaline_mesh_attempts_local_total", float64(counters.LocalAttempts.Load()))
	for verdict := range counters.UnansweredAttempts {
		for reason, name := range transport.ReasonNames() {
			if n := counters.UnansweredAttempts[verdict][reason].Load(); n > 0 {
				metrics.Add("micaline_mesh_attempts_unanswered_total", float64(n), verdictLabels[verdict], name)
			}
		}
	}
	s.mu.RLock()
	balancers := maps.Clone(s.balancers)
	s.mu.RUnlock()
	for _, service := range slices.Sorted(maps.Keys(balancers)) {
		balancer := balancers[service]
		balancer.mu.Lock()
		spent, allowed := balancer.balancer.RetryBudget(balancer.now())
		balancer.mu.Unlock()
		metrics.Add("micaline_mesh_budget_spent", float64(spent), service)
		metrics.Add("micaline_mesh_budget_allowed", allowed, service)
	}
	open, opened := s.gateConns.Counts()
	metrics.Add("micaline_mesh_agent_links_open", float64(open))
	metrics.Add("micaline_mesh_agent_links_made_total", float64(opened))
}
