package sidecar

import (
	"errors"
	"math/rand/v2"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
)

// errStepsGap reports that the received steps do not connect to the agent's configuration.
var errStepsGap = errors.New("the steps do not start at the agent's configuration")

// applyConfigUpdate updates the configuration from a control-plane node's message, which contains
// either steps from an earlier configuration or the complete one that the agent requested. A
// configuration whose digest differs from the agreed one is discarded, because the sender and the
// gate would otherwise act on a configuration that was never agreed on.
func (a *Agent) applyConfigUpdate(f *feed, update *transport.CoreUpdate, payload []byte) {
	if len(payload) > 0 && a.configSource == f {
		a.configSource = nil
	}
	a.newestIndex = max(a.newestIndex, update.Index)
	if update.Index <= a.configIndex {
		return
	}
	config, err := updatedConfig(a.config, a.configIndex, update, payload)
	switch {
	case err == nil:
		a.config, a.configIndex, a.viewChanged = config, update.Index, true
		a.sharedConfigIndex.Store(a.configIndex)
		a.log.WithField("index", a.configIndex).WithField("items", config.Summary()).Info("configuration")
		a.needsFullConfig = false
	case err != errStepsGap:
		a.needsFullConfig = true
		a.log.WithError(err).WithField("core", f.address).Error("configuration kept as it was")
	}
	a.requestConfig()
}

// updatedConfig returns the configuration at the index of the message. It starts from config, which
// has the given index.
func updatedConfig(config *meshconfig.Config, index uint64, update *transport.CoreUpdate, payload []byte) (*meshconfig.Config, error) {
	steps := update.Steps
	switch {
	case update.RawSteps:
		var err error
		if steps, err = transport.DecodeSteps(payload); err != nil {
			return nil, err
		}
	case len(payload) > 0:
		config, err := meshconfig.Decode(payload)
		if err == nil && config.Digest() != update.Digest {
			err = errors.New("the digest of the complete configuration does not match")
		}
		return config, err
	}
	for i := range steps {
		s := &steps[i]
		if s.Index <= index {
			continue
		}
		if s.Before != index {
			return nil, errStepsGap
		}
		var err error
		if config, err = config.ApplyOrder(&s.Order); err != nil {
			return nil, err
		}
		index = s.Index
	}
	if index != update.Index {
		return nil, errStepsGap
	}
	if config.Digest() != update.Digest {
		return nil, errors.New("the digest of the configuration does not match after the steps")
	}
	return config, nil
}

// requestConfig requests the configuration from one control-plane node if a later one exists than
// the agent has. If that node does not answer in time, another one is asked.
func (a *Agent) requestConfig() {
	if a.newestIndex <= a.configIndex || a.awaitingConfig() {
		return
	}
	var candidates []*feed // only nodes that have it, because a partitioned node would not answer
	for _, f := range a.feeds {
		if f.connected && f != a.configSource && f.configIndex >= a.newestIndex {
			candidates = append(candidates, f)
		}
	}
	if len(candidates) == 0 && a.configSource != nil && a.configSource.connected {
		candidates = append(candidates, a.configSource)
	}
	if len(candidates) == 0 {
		return // retried when the next update from a node arrives
	}
	a.configSource, a.configRequestedAt = candidates[rand.N(len(candidates))], time.Now()
	if a.needsFullConfig {
		a.configSource.requestSince.Store(0)
	} else {
		a.configSource.requestSince.Store(a.configIndex)
	}
	a.configSource.requestIndex.Store(a.newestIndex)
	a.configSource.wake()
	a.scheduleConfigRetry(configRetryInterval)
}

// awaitingConfig reports whether the answer to the last request may still arrive.
func (a *Agent) awaitingConfig() bool {
	if a.configSource == nil {
		return false
	}
	elapsed := time.Since(a.configRequestedAt)
	return elapsed < configRetryInterval || elapsed < configTransferTimeout && a.configSource.receivingConfig.Load()
}

// scheduleConfigRetry requests the configuration again after a delay, unless one is being received.
func (a *Agent) scheduleConfigRetry(delay time.Duration) {
	time.AfterFunc(delay, func() {
		a.enqueue(func() {
			if a.configSource != nil && a.configSource.receivingConfig.Load() && a.awaitingConfig() {
				a.scheduleConfigRetry(configRetryInterval)
			} else {
				a.requestConfig()
			}
		})
	})
}
