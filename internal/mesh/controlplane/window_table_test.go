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

// Windows stand in snapshots, and agents that are sent the steps come to the configuration that the
// core machines have.
func TestWindowsInSnapshots(t *testing.T) {
	table := newTable(func() {})
	do := func(index uint64, c maintenance.Command) *maintenance.Reply {
		reply, err := maintenance.DecodeReply(table.Apply(index, encodeOrder(&meshconfig.Order{Op: opWindow, Body: maintenance.EncodeCommand(&c)})))
		require.NoError(t, err)
		return reply
	}
	plan := &maintenance.Window{Name: "power", Zones: []string{"a"}, Start: time.Hour, End: 2 * time.Hour, Lead: time.Minute}
	require.Empty(t, do(5, maintenance.Command{Now: time.Minute, Plan: plan}).Refused)
	require.Zero(t, table.now.Load().index, "agents are told of no plan")
	agent := table.now.Load().config
	for step := 1; step <= maintenance.LastStep; step++ {
		w := table.windowsNow.Load().Find("power")
		a := &maintenance.Advance{Name: "power", Changed: w.Changed, Phase: maintenance.PhaseDraining, Step: step}
		require.Empty(t, do(uint64(5+step), maintenance.Command{Now: time.Hour, Advance: a}).Refused)
		now := table.now.Load()
		require.Equal(t, uint64(5+step), now.index)
		next, err := agent.ApplyOrder(&now.steps[len(now.steps)-1].Order)
		require.NoError(t, err)
		require.Equal(t, now.config.Digest(), next.Digest())
		agent = next
	}
	require.Equal(t, meshconfig.StageClosed, agent.Stage("a", "10.0.0.1"))
	again := newTable(func() {})
	require.NoError(t, again.Restore(99, table.Snapshot()))
	require.Equal(t, table.windowsNow.Load(), again.windowsNow.Load())
	require.Equal(t, table.Snapshot(), again.Snapshot())
	require.Equal(t, meshconfig.StageClosed, again.now.Load().config.Stage("a", "10.0.0.1"))
}

// An agent's word that it has nothing in hand counts once its gate is closed, and no earlier one does.
func TestClearRestsOnClosedGates(t *testing.T) {
	idle := func(stage meshconfig.Stage) *transport.Workload { return &transport.Workload{Stage: stage} }
	require.Empty(t, workLeft(maintenance.PhaseClosed, idle(meshconfig.StageClosed)))
	require.NotEmpty(t, workLeft(maintenance.PhaseClosed, idle(meshconfig.StageCalls)))
	require.NotEmpty(t, workLeft(maintenance.PhaseClosed, nil))
	require.NotEmpty(t, workLeft(maintenance.PhaseClosed, &transport.Workload{Stage: meshconfig.StageClosed, Sender: 1}))
	require.Empty(t, workLeft(maintenance.PhaseDraining, idle(meshconfig.StageOpen)))
}

// A window must leave so many core machines that they can agree.
func TestQuorumWithout(t *testing.T) {
	window := &maintenance.Window{Name: "power", Zones: []string{"a"}}
	status := &consensus.Status{Role: "leader", Members: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"},
		Zones: map[string]string{"10.0.0.2:1": "b", "10.0.0.3:1": "c"}}
	without := func() string { return quorumWithout(window, status, "10.0.0.1:1", "a") }
	require.Empty(t, without())
	status.Unreachable = []string{"10.0.0.3:1"}
	require.Contains(t, without(), "1 would stay")
	status.Learners = []string{"10.0.0.4:1"}
	status.Zones["10.0.0.4:1"] = "b"
	require.Empty(t, without(), "a learner can take a vote")
	status.Zones["10.0.0.4:1"] = "a"
	require.NotEmpty(t, without())
}
