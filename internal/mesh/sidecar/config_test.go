package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// TestConfigurationIsTakenByItsDigest checks that an agent applies a configuration only if its
// digest matches the agreed one, and is proven current only with an index that was current.
func TestConfigurationIsTakenByItsDigest(t *testing.T) {
	a := New("", &bootstrap.Settings{SparePorts: [2]int{7600, 7615}}, &log.Logger{Handler: discard.New()})
	first := &feed{address: "one", wakeup: make(chan struct{}, 1)}
	other := &feed{address: "two", wakeup: make(chan struct{}, 1), connected: true}
	a.feeds = map[string]*feed{"one": first, "two": other}
	firstConfig := meshconfig.New().Evacuate("a")
	secondConfig := firstConfig.Evacuate("b")
	encoded := firstConfig.Encode()
	step := func(before, index uint64, zone string) transport.ConfigStep {
		return transport.ConfigStep{Before: before, Index: index, Order: meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: zone}}
	}
	requireConfig := func(index uint64, c *meshconfig.Config) {
		t.Helper()
		require.Equal(t, index, a.configIndex)
		require.Equal(t, c.Encode(), a.config.Encode())
	}
	requestedIndex := func() uint64 { return max(first.requestIndex.Swap(0), other.requestIndex.Swap(0)) }

	a.handleUpdate(first, &transport.CoreUpdate{Index: 5, Fresh: 1}, nil)
	require.False(t, a.configProven)
	require.EqualValues(t, 5, requestedIndex())
	a.handleUpdate(a.configSource, &transport.CoreUpdate{Index: 5, Digest: firstConfig.Digest() + 1, Raw: int64(len(encoded))}, encoded)
	requireConfig(0, meshconfig.New())
	require.EqualValues(t, 5, requestedIndex(), "a corrupt configuration is requested from another node")
	a.handleUpdate(a.configSource, &transport.CoreUpdate{Index: 5, Digest: firstConfig.Digest(), Raw: int64(len(encoded))}, encoded)
	requireConfig(5, firstConfig)
	require.True(t, a.configProven)
	require.Zero(t, requestedIndex())

	update := transport.CoreUpdate{Index: 9, Digest: secondConfig.Digest()}
	for _, steps := range [][]transport.ConfigStep{{step(7, 9, "b")}, {step(5, 9, "c")}, {step(5, 7, "b")}, {{Before: 5, Index: 9}}} {
		update.Steps = steps
		a.handleUpdate(first, &update, nil)
		requireConfig(5, firstConfig)
	}
	require.EqualValues(t, 9, requestedIndex(), "requested once while the answer may still arrive")
	update.Steps = []transport.ConfigStep{step(2, 5, "a"), step(5, 9, "b")}
	a.handleUpdate(first, &update, nil)
	requireConfig(9, secondConfig)
	a.handleUpdate(other, &transport.CoreUpdate{Index: 5, Digest: firstConfig.Digest(), Raw: int64(len(encoded))}, encoded)
	requireConfig(9, secondConfig)

	thirdConfig := secondConfig.Evacuate("c")
	a.configSource = nil
	a.handleUpdate(first, &transport.CoreUpdate{Index: 12}, nil)
	require.EqualValues(t, 9, a.configSource.requestSince.Load(), "steps from the agent's index are sufficient")
	raw := transport.EncodeSteps([]transport.ConfigStep{step(9, 12, "d")})
	a.handleUpdate(a.configSource, &transport.CoreUpdate{Index: 12, Digest: thirdConfig.Digest(), RawSteps: true}, raw)
	requireConfig(9, secondConfig)
	require.Zero(t, a.configSource.requestSince.Load(), "the steps led to another configuration")
	raw = transport.EncodeSteps([]transport.ConfigStep{step(5, 9, "b"), step(9, 12, "c")})
	a.handleUpdate(a.configSource, &transport.CoreUpdate{Index: 12, Digest: thirdConfig.Digest(), RawSteps: true}, raw)
	requireConfig(12, thirdConfig)
	a.configSource = nil
	a.handleUpdate(first, &transport.CoreUpdate{Index: 13}, nil)
	require.EqualValues(t, 12, a.configSource.requestSince.Load())
}

// TestWholeIsAskedForOnce checks that a complete configuration that is being transferred is not
// requested from a second control-plane node. On links with little bandwidth, duplicate transfers
// make an agent late with the configuration, which violates the rule CONFIG of
// package meshtest.
func TestWholeIsAskedForOnce(t *testing.T) {
	a := &Agent{feeds: map[string]*feed{}, newestIndex: 5, commands: make(chan func(), commandQueueSize)}
	for _, core := range []string{"a", "b", "c"} {
		a.feeds[core] = &feed{address: core, connected: true, configIndex: 5, wakeup: make(chan struct{}, 1)}
	}
	stale := &feed{address: "d", connected: true, configIndex: 4, wakeup: make(chan struct{}, 1)}
	a.feeds["d"] = stale
	for range 9 { // as each node reports the change
		a.requestConfig()
	}
	requests := 0
	for _, f := range a.feeds {
		if f.requestIndex.Load() != 0 {
			requests++
		}
	}
	require.Equal(t, 1, requests)
	for range 50 {
		a.configSource = nil
		a.requestConfig()
	}
	require.Zero(t, stale.requestIndex.Load(), "a node that is behind must not be asked for a configuration it does not have")
}

// TestWholeThatArrivesIsWaitedFor checks that a configuration transfer in progress may take longer
// than configRetryInterval, after which an unanswered request is sent to another node.
func TestWholeThatArrivesIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Agent{feeds: map[string]*feed{}, newestIndex: 5, commands: make(chan func(), commandQueueSize)}
		for _, core := range []string{"a", "b"} {
			a.feeds[core] = &feed{address: core, connected: true, configIndex: 5, wakeup: make(chan struct{}, 1)}
		}
		runOwnerFor := func(d time.Duration) { // executes commands as runOwner does
			for end := time.After(d); ; {
				select {
				case command := <-a.commands:
					command()
				case <-end:
					return
				}
			}
		}
		a.requestConfig()
		first := a.configSource
		first.receivingConfig.Store(true)
		runOwnerFor(configTransferTimeout - time.Second)
		require.Same(t, first, a.configSource)
		runOwnerFor(configRetryInterval + time.Second)
		require.NotSame(t, first, a.configSource, "the transfer takes too long")
		silent := a.configSource
		runOwnerFor(configRetryInterval + time.Millisecond)
		require.Same(t, first, a.configSource, "nothing arrives from %s", silent.address)
		first.receivingConfig.Store(false)
		a.configIndex = a.newestIndex
		runOwnerFor(2 * configRetryInterval)
	})
}
