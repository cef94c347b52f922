package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/usage"
)

// Duties stand in snapshots, so that fences and reports outlive the log; agents are sent no step for
// them, and what a program of before snapshotted has none.
func TestDutiesInSnapshots(t *testing.T) {
	told := 0
	table := newTable(func() { told++ })
	do := func(index uint64, c duties.Command) *duties.Reply {
		reply, err := duties.DecodeReply(table.Apply(index, encodeOrder(&meshconfig.Order{Op: opDuty, Body: duties.EncodeCommand(&c)})))
		require.NoError(t, err)
		return reply
	}
	acquire := duties.Command{Lease: &lease.Op{Kind: lease.Acquire, Duty: duties.UsageReport, Holder: "core-1/7", Term: time.Second}}
	require.Equal(t, uint64(41), do(41, acquire).Lease.Epoch)
	fix := duties.Command{Fix: &duties.FinalizeReport{Holder: "core-1/7", Epoch: 41, Report: &usage.Report{Window: 9, Counts: map[string]uint64{"acme": 3}}}}
	require.Empty(t, do(42, fix).Refused)
	require.NotEmpty(t, do(43, fix).Refused)
	require.Zero(t, told)
	require.Zero(t, table.now.Load().index)
	odd, err := duties.DecodeReply(table.Apply(44, encodeOrder(&meshconfig.Order{Op: opDuty, Body: []byte("?")})))
	require.NoError(t, err)
	require.NotEmpty(t, odd.Refused)

	again := newTable(func() {})
	require.NoError(t, again.Restore(44, table.Snapshot()))
	require.Equal(t, table.dutiesNow.Load(), again.dutiesNow.Load())
	require.Equal(t, table.Snapshot(), again.Snapshot())
	require.NoError(t, again.Restore(44, newTable(func() {}).Snapshot()))
	require.Zero(t, again.dutiesNow.Load().Usage.Through)
}
