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

// maxRemainingItems limits the list of what is still active on a window's machines.
const maxRemainingItems = 20

// backends returns all known backends with their latest workload. It runs in the loop.
func (c *Core) backends() []maintenance.Backend {
	var backends []maintenance.Backend
	for _, status := range c.registry.All(c.now()) {
		backend := status.Station.Backend
		if backend == nil {
			continue
		}
		entry := maintenance.Backend{Service: backend.Service, Zone: backend.Zone, Node: status.Station.Agent, Capacity: max(1, backend.Capacity),
			Ready: status.Station.Open && !status.Lost && !backend.Draining}
		if f := c.feeds[status.Station.Agent]; f != nil && f.workload != nil {
			entry.Load = f.workload.Mean
		}
		backends = append(backends, entry)
	}
	return backends
}

// remainingOn lists what is still active on the machines of a window. It runs in the loop.
func (c *Core) remainingOn(w *maintenance.Window, status *consensus.Status) []string {
	var remaining []string
	for _, entry := range c.registry.All(c.now()) {
		agent := entry.Station.Agent
		if !w.Covers(entry.Station.Zone, agent) {
			continue
		}
		reason := "not connected"
		if f := c.feeds[agent]; f != nil && !entry.Lost {
			reason = remainingWork(w.Phase, f.workload)
		}
		if reason != "" {
			remaining = append(remaining, agent+": "+reason)
		}
	}
	slices.Sort(remaining)
	remaining = append(remaining, c.remainingRoles(w, status)...)
	if len(remaining) > maxRemainingItems {
		remaining = append(remaining[:maxRemainingItems], fmt.Sprintf("and %d more", len(remaining)-maxRemainingItems))
	}
	return remaining
}

// remainingWork describes the work of an agent in a window; empty if there is none. In phase
// closed, a workload counts only if it was measured after the gate closed.
func remainingWork(phase maintenance.Phase, workload *transport.Workload) string {
	switch {
	case workload == nil:
		return "has not sent its workload"
	case workload.Gate+workload.Sender > 0:
		return fmt.Sprintf("%d requests at its backend, %d from its clients", workload.Gate, workload.Sender)
	case phase == maintenance.PhaseClosed && workload.Stage < meshconfig.StageClosed:
		return "has not confirmed that its gate is closed"
	}
	return ""
}

func isControlPlaneNode(status *consensus.Status, ip string) bool {
	hasIP := func(address string) bool {
		host, _, _ := net.SplitHostPort(address)
		return host == ip
	}
	return slices.ContainsFunc(status.Members, hasIP) || slices.ContainsFunc(status.Learners, hasIP)
}

// remainingRoles lists the roles that control-plane nodes in the window hold and others could take.
func (c *Core) remainingRoles(w *maintenance.Window, status *consensus.Status) []string {
	if status.Role != "leader" {
		return nil
	}
	var remaining []string
	if coversMember(w, status, status.Leader, c.settings.Control, c.settings.Zone) {
		remaining = append(remaining, status.Leader+": is the leader")
	}
	hasStandby := slices.ContainsFunc(status.Learners, func(learner string) bool {
		return !coversMember(w, status, learner, c.settings.Control, c.settings.Zone)
	})
	for _, member := range status.Members {
		if hasStandby && member != status.Leader && coversMember(w, status, member, c.settings.Control, c.settings.Zone) {
			remaining = append(remaining, member+": is a voter")
		}
	}
	if c.dutyHolder != nil && c.dutyHolder.heldEpoch.Load() != 0 && coversMember(w, status, c.settings.Control, c.settings.Control, c.settings.Zone) {
		remaining = append(remaining, c.settings.Control+": holds the duty "+duties.UsageReport)
	}
	return remaining
}

// quorumLossReason returns why the control plane would lose its quorum without the window's
// machines; empty if it would not. It needs the status of the leader.
func quorumLossReason(w *maintenance.Window, status *consensus.Status, self, zone string) string {
	available, silent := 0, 0
	for _, member := range status.Members {
		switch {
		case coversMember(w, status, member, self, zone):
		case slices.Contains(status.Unreachable, member):
			silent++
		default:
			available++
		}
	}
	for _, learner := range status.Learners { // they can become voters
		if !coversMember(w, status, learner, self, zone) {
			available++
		}
	}
	if majority := len(status.Members)/2 + 1; available < majority {
		return fmt.Sprintf("of the core machines, %d would stay and respond, %d don't respond, and a quorum needs %d", available, silent, majority)
	}
	return ""
}

// coversMember reports whether a window includes the machine of a control-plane node.
func coversMember(w *maintenance.Window, status *consensus.Status, member, self, zone string) bool {
	if member != self {
		zone = status.Zones[member]
	}
	host, _, _ := net.SplitHostPort(member)
	return w.Covers(zone, host)
}
