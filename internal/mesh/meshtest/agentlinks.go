package meshtest

import (
	"errors"

	"example.org/micaline/internal/mesh/meshtest/relay"
)

// AgentLinks are those through which what stands on an agent's machine is reached.
type AgentLinks struct {
	Client  *relay.Link // from clients, and from the backend's own calls, to the agent
	Gate    *relay.Link // from other agents to the gate
	Backend *relay.Link // from the gate to the backend
}

// linkPorts is how far the port of a link is from the one that it leads to.
const linkPorts = 100

func newAgentLinks(m *Machine, seed uint64) (*AgentLinks, error) {
	l := &AgentLinks{}
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

func (l *AgentLinks) all() []*relay.Link { return []*relay.Link{l.Client, l.Gate, l.Backend} }

func (l *AgentLinks) close() error {
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
