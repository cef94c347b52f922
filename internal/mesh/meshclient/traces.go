package meshclient

import (
	"cmp"
	"context"
	"slices"

	"example.org/micaline/internal/mesh/transport"
)

// Traces asks agents for their records, the one with this ip or, where that is empty, all that the
// core machines know. They come the newest first, by the ages that the agents tell, as clocks
// differ. Silent are the agents that gave no answer: what they know is missing.
func (m *Mesh) Traces(ctx context.Context, s *Survey, ip string, q transport.TraceQuery) (traces []transport.RequestTrace, silent []Agent) {
	agents := slices.DeleteFunc(slices.Clone(s.Agents), func(a Agent) bool { return ip != "" && a.Heard.Station.Agent != ip })
	parallel(agents, func(a *Agent) {
		a.Figures, a.Err = ask(ctx, a.Heard.Station.Gate, transport.StatsQuery{Traces: &q})
	})
	for i := range agents {
		a := &agents[i]
		if a.Err != nil {
			silent = append(silent, *a)
			continue
		}
		for _, w := range a.Figures.Traces {
			w.Agent = a.Heard.Station.Agent
			traces = append(traces, w)
		}
	}
	slices.SortStableFunc(traces, func(x, y transport.RequestTrace) int { return cmp.Compare(x.Age, y.Age) })
	return traces[:min(len(traces), q.Most)], silent
}
