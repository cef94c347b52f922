package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
)

// Windows are part of snapshots, and agents that apply the steps get the same configuration as the
// control-plane nodes.
func TestWindowsInSnapshots(t *testing.T) {
	table := newTable(func() {})
	apply := func(index uint64, command maintenance.Command) *maintenance.Reply {
		reply, err := maintenance.DecodeReply(table.Apply(index, encodeOrder(&meshconfig.Order{Op: opWindow, Body: maintenance.EncodeCommand(&command)})))
		require.NoError(t, err)
		return reply
	}
	plan := &maintenance.Window{Name: "power", Zones: []string{"a"}, Start: time.Hour, End: 2 * time.Hour, Lead: time.Minute}
	require.Empty(t, apply(5, maintenance.Command{Now: time.Minute, Plan: plan}).Refused)
	require.Zero(t, table.published.Load().index, "agents are not sent plans")
	agent := table.published.Load().config
	for step := 1; step <= maintenance.LastStep; step++ {
		window := table.publishedWindows.Load().Find("power")
		advance := &maintenance.Advance{Name: "power", Changed: window.Changed, Phase: maintenance.PhaseDraining, Step: step}
		require.Empty(t, apply(uint64(5+step), maintenance.Command{Now: time.Hour, Advance: advance}).Refused)
		latest := table.published.Load()
		require.Equal(t, uint64(5+step), latest.index)
		next, err := agent.ApplyOrder(&latest.steps[len(latest.steps)-1].Order)
		require.NoError(t, err)
		require.Equal(t, latest.config.Digest(), next.Digest())
		agent = next
	}
	require.Equal(t, meshconfig.StageClosed, agent.Stage("a", "10.0.0.1"))
	restored := newTable(func() {})
	require.NoError(t, restored.Restore(99, table.Snapshot()))
	require.Equal(t, table.publishedWindows.Load(), restored.publishedWindows.Load())
	require.Equal(t, table.Snapshot(), restored.Snapshot())
	require.Equal(t, meshconfig.StageClosed, restored.published.Load().config.Stage("a", "10.0.0.1"))
}

// An agent's report that it has no work counts only if it was made after its gate closed.
func TestClearRestsOnClosedGates(t *testing.T) {
	idle := func(stage meshconfig.Stage) *transport.Workload { return &transport.Workload{Stage: stage} }
	require.Empty(t, remainingWork(maintenance.PhaseClosed, idle(meshconfig.StageClosed)))
	require.NotEmpty(t, remainingWork(maintenance.PhaseClosed, idle(meshconfig.StageCalls)))
	require.NotEmpty(t, remainingWork(maintenance.PhaseClosed, nil))
	require.NotEmpty(t, remainingWork(maintenance.PhaseClosed, &transport.Workload{Stage: meshconfig.StageClosed, Sender: 1}))
	require.Empty(t, remainingWork(maintenance.PhaseDraining, idle(meshconfig.StageOpen)))
}

// A window must leave enough control-plane nodes for a quorum.
func TestQuorumWithout(t *testing.T) {
	window := &maintenance.Window{Name: "power", Zones: []string{"a"}}
	status := &consensus.Status{Role: "leader", Members: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"},
		Zones: map[string]string{"10.0.0.2:1": "b", "10.0.0.3:1": "c"}}
	lossReason := func() string { return quorumLossReason(window, status, "10.0.0.1:1", "a") }
	require.Empty(t, lossReason())
	status.Unreachable = []string{"10.0.0.3:1"}
	require.Contains(t, lossReason(), "1 would stay")
	status.Learners = []string{"10.0.0.4:1"}
	status.Zones["10.0.0.4:1"] = "b"
	require.Empty(t, lossReason(), "a learner can become a voter")
	status.Zones["10.0.0.4:1"] = "a"
	require.NotEmpty(t, lossReason())
}
