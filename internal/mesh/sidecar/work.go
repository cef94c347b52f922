package sidecar

import (
	"math"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
)

const (
	workloadSmoothing      = 0.2 // weight of a one-second sample: averages about five seconds
	workloadReportInterval = 5 * time.Second
	// workloadMinChange is the relative change of the mean from which it is sent again, if it also
	// changed by at least one request. This limits the messages of hundreds of agents.
	workloadMinChange = 0.25
)

// sampleWorkload adds the backend's outstanding requests to the moving average, once a second.
func (a *Agent) sampleWorkload() {
	mean := math.Float64frombits(a.meanWorkload.Load())
	a.meanWorkload.Store(math.Float64bits(mean + workloadSmoothing*(float64(a.host.Outstanding())-mean)))
}

// workloadReporter decides what one feed connection reports of the agent's workload. It reports
// rarely, but every change at once while this machine is out of use for planned maintenance.
type workloadReporter struct {
	lastSent *transport.Workload
	sentAt   time.Time
}

// nextUpdate returns the workload to send now, nil if there is nothing to report.
func (r *workloadReporter) nextUpdate(a *Agent, now time.Time) *transport.Workload {
	// The stage is read first, so that the counts are not from before it.
	workload := transport.Workload{Stage: a.maintenanceStage()}
	workload.Mean, workload.Gate, workload.Sender = math.Float64frombits(a.meanWorkload.Load()), a.host.Load().InFlight, a.sender.InFlight()
	switch {
	case r.lastSent == nil:
	case workload.Stage != r.lastSent.Stage || workload.Stage >= meshconfig.StageClients:
		if workload == *r.lastSent {
			return nil
		}
	case now.Sub(r.sentAt) < workloadReportInterval || math.Abs(workload.Mean-r.lastSent.Mean) < max(1, workloadMinChange*r.lastSent.Mean):
		return nil
	}
	r.lastSent, r.sentAt = &workload, now
	return &workload
}

// maintenanceStage returns how far this machine is taken out of use for planned maintenance.
func (a *Agent) maintenanceStage() meshconfig.Stage { return meshconfig.Stage(a.maintenance.Load()) }

// updateMaintenanceStage applies this machine's stage from the current configuration.
func (a *Agent) updateMaintenanceStage() {
	stage := a.config.Stage(a.settings.Zone, a.settings.IP)
	if previous := meshconfig.Stage(a.maintenance.Swap(uint32(stage))); previous != stage {
		a.log.WithField("stage", stage.String()).WithField("before", previous.String()).Info("maintenance stage changed")
	}
	a.sender.SetDraining(stage >= meshconfig.StageClients)
}
