package agent

import (
	"encoding/json"
	"strings"

	"example.org/micaline/internal/site"
)

// pacingDutyPrefix precedes the site's name in the name of the duty to pace the site's recovery.
const pacingDutyPrefix = "pace:"

// SharedDuties returns the duties for which this agent can get a lease: pacing the recovery of each
// site. There are none if sites are not monitored.
func (a *Agent) SharedDuties() (duties []string) {
	if a.loop.sites != nil {
		for _, name := range a.cfg.Settings.Zones {
			duties = append(duties, pacingDutyPrefix+name)
		}
	}
	return duties
}

// Weight rates how well this agent could hold a duty now; 0: it can't. An agent does not pace its
// own site, nor a site that it has not found lost.
func (a *Agent) Weight(duty string) (weight float64) {
	name := strings.TrimPrefix(duty, pacingDutyPrefix)
	if ownZone, zones := a.cfg.Settings.Module.Zone, a.cfg.Settings.Zones; ownZone >= 0 && ownZone < len(zones) && zones[ownZone] == name {
		return 0
	}
	a.loop.withLock(func() { weight = a.loop.sites.PacerWeight(name) })
	return weight
}

// MessageToPublish returns what this agent reports as the pacer of a site, or nil if it has nothing
// to report.
func (a *Agent) MessageToPublish(duty string) (encoded []byte) {
	a.loop.withLock(func() {
		if status, ok := a.loop.sites.PacerStatus(strings.TrimPrefix(duty, pacingDutyPrefix)); ok {
			encoded, _ = json.Marshal(status) // can't fail: all fields are numbers
		}
	})
	return encoded
}

// HandleMessage passes the report of a site's pacer to the site monitor. A nil report means that
// there is no pacer.
func (a *Agent) HandleMessage(duty string, epoch uint64, encoded []byte) {
	var status *site.PacerStatus
	if encoded != nil {
		status = &site.PacerStatus{}
		if err := json.Unmarshal(encoded, status); err != nil || status.Validate() != nil {
			status = nil // an invalid report counts as none: the agent recovers sites on its own
		}
	}
	a.loop.withLock(func() {
		a.loop.sites.FollowPacer(a.loop.clock.now(), strings.TrimPrefix(duty, pacingDutyPrefix), epoch, status)
	})
}
