package sidecar

import (
	"math"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
)

const (
	workGain      = 0.2 // weight of a second in the mean of what is in work: some five seconds
	tellWorkEvery = 5 * time.Second
	// A mean is told if it has moved by this part, and by a request at least: with hundreds of agents
	// each word counts.
	workMoved = 0.25
)

// measureWork takes in what the backend works on, once a second.
func (a *Agent) measureWork() {
	mean := math.Float64frombits(a.meanWork.Load())
	a.meanWork.Store(math.Float64bits(mean + workGain*(float64(a.host.Outstanding())-mean)))
}

// workTeller tells one core machine over one connection what the agent has in hand: seldom, or
// exactly and at once while planned work takes this machine out of use.
type workTeller struct {
	told *transport.Workload
	at   time.Time
}

func (t *workTeller) next(a *Agent, now time.Time) *transport.Workload {
	work := transport.Workload{Stage: a.stage()} // first: what is counted after it is of a machine at that stage
	work.Mean, work.Gate, work.Sender = math.Float64frombits(a.meanWork.Load()), a.host.Load().InFlight, a.sender.InFlight()
	switch {
	case t.told == nil:
	case work.Stage != t.told.Stage || work.Stage >= meshconfig.StageClients:
		if work == *t.told {
			return nil
		}
	case now.Sub(t.at) < tellWorkEvery || math.Abs(work.Mean-t.told.Mean) < max(1, workMoved*t.told.Mean):
		return nil
	}
	t.told, t.at = &work, now
	return &work
}

// stage is how far this machine is taken out of use for planned work.
func (a *Agent) stage() meshconfig.Stage { return meshconfig.Stage(a.cordoned.Load()) }

// setStage takes in the stage of the configuration that is shown now.
func (a *Agent) setStage() {
	stage := a.config.Stage(a.set.Zone, a.set.IP)
	if before := meshconfig.Stage(a.cordoned.Swap(uint32(stage))); before != stage {
		a.log.WithField("stage", stage.String()).WithField("before", before.String()).Info("taken out of use for planned work")
	}
	a.sender.SetDraining(stage >= meshconfig.StageClients)
}
