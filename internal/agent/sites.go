package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/site"
	"example.org/micaline/policy"
)

// siteInterval is how often the sites are evaluated. The loss of a site is detected by attempts
// that get no answer for a fraction of a target latency, so the interval must be short compared
// with that.
const siteInterval = 100 * time.Millisecond

// sites is the loop's state of site monitoring.
type sites struct {
	*site.Monitor
	demandMeter          *site.DemandMeter
	lastEvaluatedAt      time.Duration
	ignoreSilenceUntil   time.Duration // until then missing answers may be the agent's own delay
	lossImpactsCheckedAt time.Duration
	warnedSites          map[string]bool // sites whose load the others could not carry
	documentEvacuations  map[string]bool // sites evacuated by the current operators' document
}

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	index  int // number of the attempt in its request
	server policy.ServerID
	sentAt time.Duration
}

// newSites returns the state of site monitoring, or nil if sites are not monitored.
func newSites(cfg *Config, now time.Duration) *sites {
	if !cfg.Sites.On || len(cfg.Settings.Zones) < 2 {
		return nil // with a single site there is no other to use
	}
	moduleSettings := &cfg.Settings.Module
	var classes []site.ClassDemand
	for i, c := range moduleSettings.Classes {
		classes = append(classes, site.ClassDemand{Name: cfg.Settings.Classes[i], Effect: c.Effect, Worth: c.Worth, SecondsPerRequest: c.Aim.Seconds() / 3})
	}
	var accounts []site.Account
	for i, t := range moduleSettings.Tenants {
		accounts = append(accounts, site.Account{Name: cfg.Settings.Tenants[i], GuaranteedShare: t.Portion})
	}
	return &sites{demandMeter: site.NewDemandMeter(classes, accounts), lossImpactsCheckedAt: now, warnedSites: map[string]bool{}, Monitor: site.New(site.Settings{Names: cfg.Settings.Zones, Probes: moduleSettings.Probes}, cfg.Seed, now), lastEvaluatedAt: now}
}

// adjustEntry adapts a server entry to the state of its site: a withdrawn server is draining, and a
// server that was admitted again counts as just started.
func (s *sites) adjustEntry(e policy.ServerEntry) policy.ServerEntry {
	admitted, admittedAt := s.Admitted(e.ID)
	switch {
	case e.State != policy.Ready:
	case !admitted:
		e.State = policy.Draining
	case admittedAt > e.Start:
		e.Start = admittedAt
	}
	return e
}

// updateSiteServers passes a new server list to the site monitor. For ListDelta, entries holds only
// the changes.
func (l *loop) updateSiteServers(mode policy.ListMode, entries []policy.ServerEntry) {
	if l.sites == nil || mode == policy.ListFailed {
		return
	}
	var list []site.Server
	add := func(e *policy.ServerEntry) {
		list = append(list, site.Server{ID: e.ID, Site: e.Zone, Ready: e.State == policy.Ready, Start: e.Start})
	}
	if mode == policy.ListDelta {
		for _, e := range l.listedServers {
			add(&e)
		}
	} else {
		for i := range entries {
			add(&entries[i])
		}
	}
	l.sites.SetServers(l.clock.now(), list)
}

// recordSiteOutcome reports the outcome of an attempt to the site monitor and the demand meter.
func (l *loop) recordSiteOutcome(r *request, ev *policy.Event) {
	if l.sites == nil {
		return
	}
	now := l.clock.now()
	var sentAt time.Duration
	for i := range r.sentAttempts {
		if r.sentAttempts[i].index == ev.Attempt {
			sentAt = r.sentAttempts[i].sentAt
			r.sentAttempts = append(r.sentAttempts[:i], r.sentAttempts[i+1:]...)
			break
		}
	}
	switch ev.Outcome {
	case policy.OK, policy.Error:
		if ev.Outcome == policy.OK {
			l.sites.demandMeter.RecordServed(r.class, now-sentAt)
		}
		l.sites.ReportOutcome(now, ev.Server, site.Answered, sentAt)
	case policy.Full:
		l.sites.ReportOutcome(now, ev.Server, site.Rejected, sentAt)
	case policy.Reset, policy.ConnectFailed:
		l.sites.ReportOutcome(now, ev.Server, site.Failed, sentAt)
	case policy.Timeout:
		if now >= l.sites.ignoreSilenceUntil {
			l.sites.ReportOutcome(now, ev.Server, site.Failed, sentAt)
		}
	}
}

// evaluateSites evaluates the sites, passes changed entries to the modules and starts the requested
// probes.
func (l *loop) evaluateSites() {
	s, now := l.sites, l.clock.now()
	if now-s.lastEvaluatedAt > 3*siteInterval {
		// The agent was suspended: answers that arrived long ago may still be unread.
		s.ignoreSilenceUntil = now + l.moduleSettings.Classes[0].Aim
	}
	s.lastEvaluatedAt = now
	var loads []site.Load
	overdue := map[policy.ServerID]bool{}
	if v, ok := l.current.Decider.(observableDecider); ok {
		for _, b := range v.View(now) {
			loads = append(loads, site.Load{ID: b.ID, InFlight: b.Outstanding, Capacity: b.ConcurrencyLimit})
			overdue[b.ID] = b.Overdue > 0
		}
	}
	if now >= s.ignoreSilenceUntil {
		for _, r := range l.requests {
			for i := range r.sentAttempts {
				if t := &r.sentAttempts[i]; overdue[t.server] && now-t.sentAt >= l.moduleSettings.Classes[r.class].Aim/4 {
					s.ReportOutcome(now, t.server, site.Failed, t.sentAt)
				}
			}
		}
	}
	result := s.Evaluate(now, loads)
	l.warnOfLossImpacts(now)
	for _, transition := range result.Transitions {
		l.log.Warn("site", "name", transition.Site, "from", transition.From.String(), "to", transition.To.String(), "why", transition.Reason)
	}
	if len(result.Changed) > 0 {
		ev := policy.Event{Kind: policy.EventList, ListMode: policy.ListDelta}
		for _, id := range result.Changed {
			if e, listed := l.listedServers[id]; listed {
				ev.Servers = append(ev.Servers, l.effectiveEntry(e))
			}
		}
		l.handleAll(context.WithoutCancel(l.ctx), ev)
	}
	for _, id := range result.Probes {
		l.startProbe(l.ctx, l.current, id)
	}
}

// lossImpactInterval is how often the impact of losing each site is checked.
const lossImpactInterval = 10 * time.Second

// warnOfLossImpacts warns once when the other sites could no longer carry the load of a site, and
// logs once when they can again.
func (l *loop) warnOfLossImpacts(now time.Duration) {
	s := l.sites
	if now-s.lossImpactsCheckedAt < lossImpactInterval {
		return
	}
	s.lossImpactsCheckedAt = now
	for _, impact := range s.LossImpacts(now, s.demandMeter.Demand()) {
		switch overloaded := impact.Utilization > site.MaxUtilization && impact.LoadShare > 0; {
		case overloaded && !s.warnedSites[impact.Site]:
			s.warnedSites[impact.Site] = true
			l.log.Warn("the other sites could not carry the load of a site if it were lost", "name", impact.Site, "carries", roundForDisplay(impact.LoadShare), "refused", roundForDisplay(impact.ShedShare))
		case s.warnedSites[impact.Site] && impact.Utilization < site.MaxUtilization-0.1:
			delete(s.warnedSites, impact.Site)
			l.log.Info("the other sites could carry the load of a site again if it were lost", "name", impact.Site)
		}
	}
}

// Sites returns the state of the sites, or nil if they are not monitored.
func (a *Agent) Sites(ctx context.Context) (*control.Sites, error) {
	var status *control.Sites
	err := a.loop.runInLoop(ctx, func() {
		if a.loop.sites != nil {
			status = a.loop.siteStatus()
		}
	})
	return status, err
}

// EvacuateSite evacuates a site for the given duration, or ends its evacuation if the duration is
// 0. It returns nil if sites are not monitored.
func (a *Agent) EvacuateSite(ctx context.Context, name string, duration time.Duration, force bool, reason string) (status *control.Sites, err error) {
	l := a.loop
	var siteErr error
	err = l.runInLoop(ctx, func() {
		if l.sites == nil {
			return
		}
		now := l.clock.now()
		if duration == 0 {
			siteErr = l.sites.EndEvacuation(now, name)
		} else {
			siteErr = l.sites.Evacuate(now, name, duration, force, reason)
		}
		if siteErr == nil {
			l.log.Info("operators", "site", name, "out_for", duration, "why", reason)
			l.evaluateSites()
			status = l.siteStatus()
		}
	})
	return status, errors.Join(err, siteErr)
}

// applySites evacuates the sites that an operators' document names, and ends the evacuations that
// only the previous document named. If one evacuation fails, it undoes the others.
func (a *Agent) applySites(ctx context.Context, evacuations map[string]document.EvacuatedSite) (err error) {
	l := a.loop
	loopErr := l.runInLoop(ctx, func() {
		s := l.sites
		if s == nil {
			if len(evacuations) > 0 {
				err = errors.New("sites are not watched")
			}
			return
		}
		now, requested := l.clock.now(), map[string]bool{}
		for _, name := range slices.Sorted(maps.Keys(evacuations)) {
			duration := time.Until(evacuations[name].Until)
			if duration <= 0 {
				continue
			}
			if err = s.Evacuate(now, name, duration, evacuations[name].Force, evacuations[name].Why); err != nil {
				break
			}
			requested[name] = true
		}
		toEnd, toKeep := s.documentEvacuations, requested
		if err != nil {
			toEnd, toKeep = requested, s.documentEvacuations
		} else {
			s.documentEvacuations = requested
		}
		for _, name := range slices.Sorted(maps.Keys(toEnd)) {
			if !toKeep[name] {
				err = errors.Join(err, s.EndEvacuation(now, name))
			}
		}
		l.evaluateSites()
	})
	return errors.Join(loopErr, err)
}

// siteStatus returns the state of the sites for the control interface.
func (l *loop) siteStatus() *control.Sites {
	now := l.clock.now()
	statuses, history := l.sites.Snapshot()
	shown := &control.Sites{Sites: []control.Site{}, Plans: []control.SitePlan{}, History: []control.SiteChange{}}
	for _, status := range statuses {
		shownSite := control.Site{
			Name: status.Name, State: status.State.String(), For: roundForDisplay((now - status.Since).Seconds()), Servers: status.Servers, Used: status.Admitted, Times: status.RecentLosses,
			Load: roundForDisplay(status.InFlight), Room: roundForDisplay(status.Capacity),
		}
		if status.RetryAt > 0 {
			shownSite.Retry = roundForDisplay(max(0, status.RetryAt-now).Seconds())
		}
		if status.EvacuatedUntil > 0 {
			shownSite.Out = roundForDisplay(max(0, status.EvacuatedUntil-now).Seconds())
		}
		if pacer := status.Pacer; pacer != nil {
			shownSite.Pacer = pacer.State.String()
			if pacer.State == site.Recovering {
				shownSite.Pacer = fmt.Sprintf("%s, %.0f%% let in", pacer.State, 100*pacer.Part)
			}
		}
		shown.Sites = append(shown.Sites, shownSite)
	}
	for _, impact := range l.sites.LossImpacts(now, l.sites.demandMeter.Demand()) {
		plan := control.SitePlan{Lose: impact.Site, Share: roundForDisplay(impact.LoadShare), Refused: roundForDisplay(impact.ShedShare), Moves: []control.SiteMove{}, First: []control.SiteRefusal{}}
		if !math.IsInf(impact.Utilization, 0) {
			utilization := roundForDisplay(impact.Utilization)
			plan.After = &utilization
		}
		for _, shift := range impact.Shifts {
			plan.Moves = append(plan.Moves, control.SiteMove{To: shift.Site, Share: roundForDisplay(shift.Share), After: roundForDisplay(shift.Utilization)})
		}
		for _, shed := range impact.Shed {
			plan.First = append(plan.First, control.SiteRefusal{What: shed.Name, Share: roundForDisplay(shed.Share), Part: roundForDisplay(shed.ShedFraction)})
		}
		shown.Plans = append(shown.Plans, plan)
	}
	for i := len(history) - 1; i >= 0; i-- { // newest first
		transition := &history[i]
		shown.History = append(shown.History, control.SiteChange{At: time.Unix(0, int64(transition.At)).UTC(), Site: transition.Site, From: transition.From.String(), To: transition.To.String(), Why: transition.Reason})
	}
	return shown
}
