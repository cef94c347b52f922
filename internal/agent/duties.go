package agent

import (
	"encoding/json"
	"strings"

	"example.org/micaline/internal/site"
)

// pacing is the duty of pacing a site's return, by its name before the site's.
const pacing = "pace:"

// Shared are the duties that this agent could hold for others: pacing the return of each site. There are none where no sites are
// watched.
func (a *Agent) SharedDuties() (duties []string) {
	if a.loop.sites != nil {
		for _, name := range a.cfg.Settings.Zones {
			duties = append(duties, pacing+name)
		}
	}
	return duties
}

// Weight is how well this agent could do a duty now. It paces a site only while it has found it lost, and not one that it stands in.
func (a *Agent) Weight(duty string) (weight float64) {
	name := strings.TrimPrefix(duty, pacing)
	if own, zones := a.cfg.Settings.Module.Zone, a.cfg.Settings.Zones; own >= 0 && own < len(zones) && zones[own] == name {
		return 0
	}
	a.loop.withLock(func() { weight = a.loop.sites.PacerWeight(name) })
	return weight
}

// Say is what this agent says as a site's pacer.
func (a *Agent) Say(duty string) (word []byte) {
	a.loop.withLock(func() {
		if w, ok := a.loop.sites.PacerStatus(strings.TrimPrefix(duty, pacing)); ok {
			word, _ = json.Marshal(w) // numbers only
		}
	})
	return word
}

// Heard takes in what a site's pacer says.
func (a *Agent) Heard(duty string, epoch uint64, word []byte) {
	var w *site.PacerStatus
	if word != nil {
		w = &site.PacerStatus{}
		if err := json.Unmarshal(word, w); err != nil || w.Validate() != nil {
			w = nil // as if nothing were said: each goes on alone
		}
	}
	a.loop.withLock(func() { a.loop.sites.FollowPacer(a.loop.clock.now(), strings.TrimPrefix(duty, pacing), epoch, w) })
}
