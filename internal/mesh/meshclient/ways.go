package meshclient

import (
	"cmp"
	"context"
	"slices"

	"example.org/micaline/internal/mesh/transport"
)

// Ways asks agents for their records, the one with this ip or, where that is empty, all that the
// core machines know. They come the newest first, by the ages that the agents tell, as clocks
// differ. Silent are the agents that gave no answer: what they know is missing.
func (m *Mesh) Ways(ctx context.Context, s *Survey, ip string, q transport.WayQuestion) (ways []transport.Way, silent []Agent) {
	agents := slices.DeleteFunc(slices.Clone(s.Agents), func(a Agent) bool { return ip != "" && a.Heard.Station.Agent != ip })
	parallel(agents, func(a *Agent) {
		a.Figures, a.Err = ask(ctx, a.Heard.Station.Gate, transport.Question{Ways: &q})
	})
	for i := range agents {
		a := &agents[i]
		if a.Err != nil {
			silent = append(silent, *a)
			continue
		}
		for _, w := range a.Figures.Ways {
			w.Agent = a.Heard.Station.Agent
			ways = append(ways, w)
		}
	}
	slices.SortStableFunc(ways, func(x, y transport.Way) int { return cmp.Compare(x.Age, y.Age) })
	return ways[:min(len(ways), q.Most)], silent
}
