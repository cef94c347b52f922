package meshclient

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/registry"
	"example.org/micaline/internal/mesh/transport"
)

const (
	// MostCores is how many core machines are asked: those that are named, and members that these
	// tell of.
	MostCores = 64

	atOnce     = 32              // processes that are asked at the same time
	eachFigure = 2 * time.Second // for one process to give its figures
)

// Core is what a core machine says.
type Core struct {
	Control string                 // its own word for it, once it has answered
	Figures *transport.StatsReport // nil: none came
	Err     error
}

// Agent is what an agent says, and what the core machines say of it.
type Agent struct {
	Heard   transport.StationStatus
	Figures *transport.StatsReport // nil: none came
	Err     error
}

// Survey is the whole mesh, as far as it answers.
type Survey struct {
	Cores  []Core
	Agents []Agent // by their machines
}

// Newest is the word of the core machine with the newest configuration; nil if none gave its
// figures.
func (s *Survey) Newest() (newest *transport.CoreState) {
	for _, c := range s.Cores {
		if c.Figures != nil && (newest == nil || c.Figures.Core.Index > newest.Index) {
			newest = c.Figures.Core
		}
	}
	return newest
}

// Look asks the core machines, and members that they tell of; they tell which agents there are,
// which are asked too if that is wanted. What gives no answer in time is in the survey with its
// error.
func (m *Mesh) Look(ctx context.Context, agents bool) *Survey {
	s := &Survey{Cores: make([]Core, min(len(m.Cores), MostCores))}
	for i := range s.Cores {
		s.Cores[i].Control = m.Cores[i]
	}
	parallel(s.Cores, func(c *Core) { m.askCore(ctx, c, "") })
	s.Cores = once(s.Cores)
	links := map[string]string{}
	for _, c := range s.Cores {
		if c.Figures == nil {
			continue
		}
		for _, member := range c.Figures.Core.Members {
			known := slices.ContainsFunc(s.Cores, func(o Core) bool { return o.Control == member.Control })
			if !known && len(s.Cores)+len(links) < MostCores {
				links[member.Control] = member.Link
			}
		}
	}
	more := make([]Core, 0, len(links))
	for control := range links {
		more = append(more, Core{Control: control})
	}
	parallel(more, func(c *Core) { m.askCore(ctx, c, links[c.Control]) })
	s.Cores = append(s.Cores, more...)
	slices.SortFunc(s.Cores, func(x, y Core) int { return cmp.Compare(x.Control, y.Control) })
	s.Agents = merge(s.Cores)
	if agents {
		parallel(s.Agents, func(a *Agent) {
			if a.Figures, a.Err = ask(ctx, a.Heard.Station.Gate, transport.StatsQuery{State: true}); a.Err == nil && a.Figures.Agent == nil {
				a.Figures, a.Err = nil, errors.New("what answers is no agent")
			}
		})
	}
	return s
}

// once names each core machine by its own address, and leaves out what was named twice: by a name
// and by a number, say.
func once(cores []Core) []Core {
	var list []Core
	for _, c := range cores {
		if c.Figures != nil && c.Figures.Core.Self != "" {
			c.Control = c.Figures.Core.Self
		}
		if !slices.ContainsFunc(list, func(o Core) bool { return o.Control == c.Control }) {
			list = append(list, c)
		}
	}
	return list
}

// merge lists the agents that any core machine knows. Of two words of one agent the later counts;
// it is lost only if it is lost to all.
func merge(cores []Core) []Agent {
	by := map[string]*transport.StationStatus{}
	for i := range cores {
		if cores[i].Figures == nil {
			continue
		}
		stations := cores[i].Figures.Core.Stations
		for k := range stations {
			h := stations[k]
			old := by[h.Station.Agent]
			switch {
			case old == nil && len(by) < registry.MaxStations:
				by[h.Station.Agent] = &h
			case old == nil:
			default:
				if old.Lost = old.Lost && h.Lost; h.Station.Newer(&old.Station) {
					old.Station = h.Station
				}
			}
		}
	}
	agents := make([]Agent, 0, len(by))
	for _, h := range by {
		agents = append(agents, Agent{Heard: *h})
	}
	slices.SortFunc(agents, func(x, y Agent) int { return cmp.Compare(x.Heard.Station.Agent, y.Heard.Station.Agent) })
	return agents
}

// askCore asks a core machine; one that is known by its control address only tells its link address
// first.
func (m *Mesh) askCore(ctx context.Context, c *Core, link string) {
	if link == "" {
		answer, _, err := m.once(ctx, c.Control, http.MethodGet, "/api/link", nil)
		var said struct {
			Address string `json:"address"`
		}
		if err == nil {
			err = json.Unmarshal(answer, &said)
		}
		if err != nil {
			c.Err = fmt.Errorf("link address: %w", err)
			return
		}
		link = said.Address
	}
	if c.Figures, c.Err = ask(ctx, link, transport.StatsQuery{State: true}); c.Err == nil && c.Figures.Core == nil {
		c.Figures, c.Err = nil, errors.New("what answers is no core machine")
	}
}

func ask(ctx context.Context, link string, q transport.StatsQuery) (*transport.StatsReport, error) {
	ctx, cancel := context.WithTimeout(ctx, eachFigure)
	defer cancel()
	return transport.QueryStats(ctx, link, q)
}

// parallel runs a function on each element, a bounded number at once.
func parallel[T any](list []T, f func(*T)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i := range list {
		slots <- struct{}{}
		all.Go(func() {
			f(&list[i])
			<-slots
		})
	}
	all.Wait()
}

// dialFailed says that no connection came up, so that nothing was asked.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
