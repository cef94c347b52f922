package meshtest

import (
	"errors"

	"example.org/micaline/internal/mesh/meshtest/relay"
)

// Links are those through which what stands on an agent's machine is reached.
type Links struct {
	Client  *relay.Link // from clients, and from the backend's own calls, to the agent
	Gate    *relay.Link // from other agents to the gate
	Backend *relay.Link // from the gate to the backend
}

// linkPorts is how far the port of a link is from the one that it leads to.
const linkPorts = 100

func newLinks(m *Machine, seed uint64) (*Links, error) {
	l := &Links{}
	for port, link := range map[int]**relay.Link{outboundPort: &l.Client, firstSpare: &l.Gate, appPort: &l.Backend} {
		made, err := relay.Listen(m.at(port+linkPorts), m.at(port), seed<<16|uint64(port))
		if err != nil {
			l.close()
			return nil, err
		}
		*link = made
	}
	return l, nil
}

func (l *Links) all() []*relay.Link { return []*relay.Link{l.Client, l.Gate, l.Backend} }

func (l *Links) close() error {
	var errs []error
	for _, link := range l.all() {
		if link != nil {
			errs = append(errs, link.Close())
		}
	}
	return errors.Join(errs...)
}

// reached is the address at which others reach a port of the machine.
func (m *Machine) reached(port int) string {
	if m.Links != nil {
		return m.at(port + linkPorts)
	}
	return m.at(port)
}
