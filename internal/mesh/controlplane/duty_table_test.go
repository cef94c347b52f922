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

// Duties are part of snapshots, so fencing tokens and reports outlive the log. Changes of duties
// send no steps to agents. Snapshots of versions without duties restore to empty duties.
func TestDutiesInSnapshots(t *testing.T) {
	changes := 0
	table := newTable(func() { changes++ })
	apply := func(index uint64, command duties.Command) *duties.Reply {
		reply, err := duties.DecodeReply(table.Apply(index, encodeOrder(&meshconfig.Order{Op: opDuty, Body: duties.EncodeCommand(&command)})))
		require.NoError(t, err)
		return reply
	}
	acquire := duties.Command{Lease: &lease.Op{Kind: lease.Acquire, Duty: duties.UsageReport, Holder: "core-1/7", Term: time.Second}}
	require.Equal(t, uint64(41), apply(41, acquire).Lease.Epoch)
	finalize := duties.Command{Fix: &duties.FinalizeReport{Holder: "core-1/7", Epoch: 41, Report: &usage.Report{Window: 9, Counts: map[string]uint64{"acme": 3}}}}
	require.Empty(t, apply(42, finalize).Refused)
	require.NotEmpty(t, apply(43, finalize).Refused)
	require.Zero(t, changes)
	require.Zero(t, table.published.Load().index)
	invalid, err := duties.DecodeReply(table.Apply(44, encodeOrder(&meshconfig.Order{Op: opDuty, Body: []byte("?")})))
	require.NoError(t, err)
	require.NotEmpty(t, invalid.Refused)

	restored := newTable(func() {})
	require.NoError(t, restored.Restore(44, table.Snapshot()))
	require.Equal(t, table.publishedDuties.Load(), restored.publishedDuties.Load())
	require.Equal(t, table.Snapshot(), restored.Snapshot())
	require.NoError(t, restored.Restore(44, newTable(func() {}).Snapshot()))
	require.Zero(t, restored.publishedDuties.Load().Usage.Through)
}
