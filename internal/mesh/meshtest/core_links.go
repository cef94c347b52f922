package meshtest

import (
	"fmt"

	"example.org/micaline/internal/childprocess"
	"example.org/micaline/internal/mesh/meshtest/relay"
)

// Direction is which of a machine's bytes a cut holds up.
type Direction uint8

// The directions.
const (
	Outgoing Direction = 1 << iota
	Incoming
	BothDirections = Outgoing | Incoming
)

// ends are the machine that dials and the core machine that is dialed.
type ends struct{ from, to *Machine }

// coreLinks are what processes say to core machines over.
type coreLinks map[ends]*relay.Link

func (l coreLinks) close() {
	for _, link := range l {
		link.Close()
	}
}

// meshPort is where a process hears the others of the mesh, and where it dials them. With links it
// is another one for each process: what one dials on the machine of another is then a link's.
func (m *Machine) meshPort() int {
	if !m.g.opt.CoreLinks {
		return firstSpare
	}
	for i, other := range m.g.all() {
		if other == m {
			return firstSpare + i
		}
	}
	return firstSpare
}

// connect opens the links from all machines to all core machines.
func (g *Cluster) connectCore() error {
	g.coreLinks = coreLinks{}
	for _, from := range g.all() {
		for _, to := range g.Cores {
			if from == to {
				continue
			}
			link, err := relay.Listen(to.at(from.meshPort()), to.at(to.meshPort()), uint64(len(g.coreLinks)))
			if err != nil {
				return fmt.Errorf("the link from %s to %s: %w", from.Name, to.Name, err)
			}
			g.coreLinks[ends{from, to}] = link
		}
	}
	return nil
}

// Cut holds up what a core machine says to others, or hears of them, until Join.
func (m *Machine) Cut(direction Direction, others ...*Machine) {
	m.hit(false, func(*childprocess.Process) {
		for _, other := range others {
			m.cut(direction, other)
		}
	})
}

func (m *Machine) cut(direction Direction, other *Machine) {
	dialed, dialing := m.g.coreLinks[ends{other, m}], m.g.coreLinks[ends{m, other}]
	for _, link := range []struct {
		link    *relay.Link
		out, in relay.Direction
	}{{dialed, relay.ToClient, relay.ToServer}, {dialing, relay.ToServer, relay.ToClient}} {
		if link.link == nil {
			continue
		}
		if direction&Outgoing != 0 {
			link.link.Cut(link.out)
		}
		if direction&Incoming != 0 {
			link.link.Cut(link.in)
		}
	}
}

// Refuse resets the connections between a core machine and others, and refuses new ones, until Join.
func (m *Machine) Refuse(others ...*Machine) {
	m.hit(false, func(*childprocess.Process) {
		for _, other := range others {
			for _, link := range []*relay.Link{m.g.coreLinks[ends{other, m}], m.g.coreLinks[ends{m, other}]} {
				if link != nil {
					link.Refuse(true)
					link.Reset()
				}
			}
		}
	})
}

// Join ends all cuts and refusals of a core machine.
func (m *Machine) Join() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for e, link := range m.g.coreLinks {
		if e.from == m || e.to == m {
			link.Heal()
			link.Refuse(false)
		}
	}
	m.mended()
}
