package sidecar

import (
	"errors"
	"math/rand/v2"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
)

// errBehind says that steps begin after what the agent has.
var errBehind = errors.New("the steps begin later")

// take brings the configuration forward by what a core machine sent: steps from one that the agent has, or the whole, which it has
// to ask for. Danger: what does not have the digest of what was agreed on is never shown to sender and gate.
func (a *Agent) take(f *feed, d *transport.CoreUpdate, whole []byte) {
	if len(whole) > 0 && a.asking == f {
		a.asking = nil
	}
	a.newest = max(a.newest, d.Index)
	if d.Index <= a.index {
		return
	}
	config, err := forward(a.config, a.index, d, whole)
	switch {
	case err == nil:
		a.config, a.index, a.dirty = config, d.Index, true
		a.have.Store(a.index)
		a.log.WithField("index", a.index).WithField("items", config.Summary()).Info("configuration")
		a.odd = false
	case err != errBehind:
		a.odd = true
		a.log.WithError(err).WithField("core", f.core).Error("configuration kept as it was")
	}
	a.askWhole()
}

// forward returns the configuration at the index that a message tells.
func forward(config *meshconfig.Config, index uint64, d *transport.CoreUpdate, whole []byte) (*meshconfig.Config, error) {
	steps := d.Steps
	switch {
	case d.RawSteps:
		var err error
		if steps, err = transport.DecodeSteps(whole); err != nil {
			return nil, err
		}
	case len(whole) > 0:
		config, err := meshconfig.Decode(whole)
		if err == nil && config.Digest() != d.Digest {
			err = errors.New("the whole configuration has another digest")
		}
		return config, err
	}
	for i := range steps {
		s := &steps[i]
		if s.Index <= index {
			continue
		}
		if s.Before != index {
			return nil, errBehind
		}
		var err error
		if config, err = config.ApplyOrder(&s.Order); err != nil {
			return nil, err
		}
		index = s.Index
	}
	if index != d.Index {
		return nil, errBehind
	}
	if config.Digest() != d.Digest {
		return nil, errors.New("the configuration has another digest after the steps")
	}
	return config, nil
}

// askWhole asks one core machine for the whole configuration if there is a later one than the agent has; another one if no answer comes.
func (a *Agent) askWhole() {
	if a.newest <= a.index || a.awaits() {
		return
	}
	var able []*feed // those that have it: one that is cut off from the others would not answer
	for _, f := range a.feeds {
		if f.alive && f != a.asking && f.index >= a.newest {
			able = append(able, f)
		}
	}
	if len(able) == 0 && a.asking != nil && a.asking.alive {
		able = append(able, a.asking)
	}
	if len(able) == 0 {
		return // the next that is heard is asked
	}
	a.asking, a.asked = able[rand.N(len(able))], time.Now()
	if a.odd {
		a.asking.since.Store(0)
	} else {
		a.asking.since.Store(a.index)
	}
	a.asking.want.Store(a.newest)
	a.asking.wake()
	a.askLater(askAgain)
}

// awaits says whether what was asked for last may still come.
func (a *Agent) awaits() bool {
	if a.asking == nil {
		return false
	}
	asked := time.Since(a.asked)
	return asked < askAgain || asked < arriveWithin && a.asking.arriving.Load()
}

func (a *Agent) askLater(wait time.Duration) {
	time.AfterFunc(wait, func() {
		a.do(func() {
			if a.asking != nil && a.asking.arriving.Load() && a.awaits() {
				a.askLater(askAgain)
			} else {
				a.askWhole()
			}
		})
	})
}
