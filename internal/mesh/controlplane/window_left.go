package controlplane

import (
	"fmt"
	"net"
	"slices"

	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
)

// mostLeft is how many words there are of what is left on the machines of a window.
const mostLeft = 20

// backends are all that are known, with what their gates told last. It is the owner's.
func (c *Core) backends() []maintenance.Backend {
	var list []maintenance.Backend
	for _, h := range c.registry.All(c.now()) {
		b := h.Station.Backend
		if b == nil {
			continue
		}
		one := maintenance.Backend{Service: b.Service, Zone: b.Zone, Node: h.Station.Agent, Capacity: max(1, b.Capacity),
			Ready: h.Station.Open && !h.Lost && !b.Draining}
		if f := c.feeds[h.Station.Agent]; f != nil && f.work != nil {
			one.Load = f.work.Mean
		}
		list = append(list, one)
	}
	return list
}

// leftOn tells what is left on the machines of a window. It is the owner's.
func (c *Core) leftOn(w *maintenance.Window, status *consensus.Status) []string {
	var left []string
	for _, h := range c.registry.All(c.now()) {
		agent := h.Station.Agent
		if !w.Covers(h.Station.Zone, agent) {
			continue
		}
		what := "not heard"
		if f := c.feeds[agent]; f != nil && !h.Lost {
			what = workLeft(w.Phase, f.work)
		}
		if what != "" {
			left = append(left, agent+": "+what)
		}
	}
	slices.Sort(left)
	left = append(left, c.coreLeft(w, status)...)
	if len(left) > mostLeft {
		left = append(left[:mostLeft], fmt.Sprintf("and %d more", len(left)-mostLeft))
	}
	return left
}

// workLeft tells what an agent of a window has in hand; empty: nothing. Danger: that it had nothing before
// its gate was closed says nothing of now.
func workLeft(phase maintenance.Phase, work *transport.Workload) string {
	switch {
	case work == nil:
		return "has not told what it has in hand"
	case work.Gate+work.Sender > 0:
		return fmt.Sprintf("%d requests at its backend, %d of its clients", work.Gate, work.Sender)
	case phase == maintenance.PhaseClosed && work.Stage < meshconfig.StageClosed:
		return "has not told that its gate is closed"
	}
	return ""
}

func isCore(status *consensus.Status, ip string) bool {
	at := func(address string) bool {
		host, _, _ := net.SplitHostPort(address)
		return host == ip
	}
	return slices.ContainsFunc(status.Members, at) || slices.ContainsFunc(status.Learners, at)
}

// coreLeft tells what core machines of a window still hold that others could take.
func (c *Core) coreLeft(w *maintenance.Window, status *consensus.Status) []string {
	if status.Role != "leader" {
		return nil
	}
	var left []string
	if covers(w, status, status.Leader, c.set.Control, c.set.Zone) {
		left = append(left, status.Leader+": leads")
	}
	standby := slices.ContainsFunc(status.Learners, func(l string) bool { return !covers(w, status, l, c.set.Control, c.set.Zone) })
	for _, member := range status.Members {
		if standby && member != status.Leader && covers(w, status, member, c.set.Control, c.set.Zone) {
			left = append(left, member+": votes")
		}
	}
	if c.duty != nil && c.duty.epoch.Load() != 0 && covers(w, status, c.set.Control, c.set.Control, c.set.Zone) {
		left = append(left, c.set.Control+": holds "+duties.UsageReport)
	}
	return left
}

// quorumWithout says why the core machines could not agree without a window's; empty: they could. It
// is for the machine that leads.
func quorumWithout(w *maintenance.Window, status *consensus.Status, self, zone string) string {
	stay, silent := 0, 0
	for _, member := range status.Members {
		switch {
		case covers(w, status, member, self, zone):
		case slices.Contains(status.Unreachable, member):
			silent++
		default:
			stay++
		}
	}
	for _, learner := range status.Learners { // they can take votes
		if !covers(w, status, learner, self, zone) {
			stay++
		}
	}
	if need := len(status.Members)/2 + 1; stay < need {
		return fmt.Sprintf("of the core machines %d would stay that are heard, %d are not, and %d must agree", stay, silent, need)
	}
	return ""
}

// covers says whether a core machine is one of a window's.
func covers(w *maintenance.Window, status *consensus.Status, member, self, zone string) bool {
	if member != self {
		zone = status.Zones[member]
	}
	host, _, _ := net.SplitHostPort(member)
	return w.Covers(zone, host)
}
