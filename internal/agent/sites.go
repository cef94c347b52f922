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

// siteEvery is how often sites are looked at: a lost one is found by what is silent for a part of an aim.
const siteEvery = 100 * time.Millisecond

// sites is what the loop keeps for the sites' machine.
type sites struct {
	*site.Monitor
	meter   *site.DemandMeter
	looked  time.Duration // at them, last
	blind   time.Duration // until then silence is the agent's own: it was late
	planned time.Duration
	warned  map[string]bool // sites whose loss could not be carried
	wanted  map[string]bool // sites that the document in force has taken out
}

// try is an attempt that is out.
type try struct {
	attempt int
	server  policy.ServerID
	sent    time.Duration
}

func newSites(cfg *Config, now time.Duration) *sites {
	if !cfg.Sites.On || len(cfg.Settings.Zones) < 2 {
		return nil // with one there is nowhere to go
	}
	m := &cfg.Settings.Module
	var classes []site.ClassDemand
	for i, c := range m.Classes {
		classes = append(classes, site.ClassDemand{Name: cfg.Settings.Classes[i], Effect: c.Effect, Worth: c.Worth, SecondsPerRequest: c.Aim.Seconds() / 3})
	}
	var accounts []site.Account
	for i, t := range m.Tenants {
		accounts = append(accounts, site.Account{Name: cfg.Settings.Tenants[i], GuaranteedShare: t.Portion})
	}
	return &sites{meter: site.NewDemandMeter(classes, accounts), planned: now, warned: map[string]bool{}, Monitor: site.New(site.Settings{Names: cfg.Settings.Zones, Probes: m.Probes}, cfg.Seed, now), looked: now}
}

// entry is what the modules are told of a backend: one that is withdrawn with its site drains, and one that is let in again
// counts as just started.
func (s *sites) entry(e policy.ServerEntry) policy.ServerEntry {
	use, since := s.Admitted(e.ID)
	switch {
	case e.State != policy.Ready:
	case !use:
		e.State = policy.Draining
	case since > e.Start:
		e.Start = since
	}
	return e
}

// listSites tells the sites' machine the list, of which these are the entries that are new, or all.
func (l *loop) listSites(mode policy.ListMode, entries []policy.ServerEntry) {
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

// heardOf tells the sites' machine what became of an attempt.
func (l *loop) heardOf(r *request, ev *policy.Event) {
	if l.sites == nil {
		return
	}
	now := l.clock.now()
	var sent time.Duration
	for i := range r.tries {
		if r.tries[i].attempt == ev.Attempt {
			sent = r.tries[i].sent
			r.tries = append(r.tries[:i], r.tries[i+1:]...)
			break
		}
	}
	switch ev.Outcome {
	case policy.OK, policy.Error:
		if ev.Outcome == policy.OK {
			l.sites.meter.RecordServed(r.class, now-sent)
		}
		l.sites.ReportOutcome(now, ev.Server, site.Answered, sent)
	case policy.Full:
		l.sites.ReportOutcome(now, ev.Server, site.Rejected, sent)
	case policy.Reset, policy.ConnectFailed:
		l.sites.ReportOutcome(now, ev.Server, site.Failed, sent)
	case policy.Timeout:
		if now >= l.sites.blind {
			l.sites.ReportOutcome(now, ev.Server, site.Failed, sent)
		}
	}
}

// lookAtSites has the sites' machine decide, and carries out what has changed.
func (l *loop) lookAtSites() {
	s, now := l.sites, l.clock.now()
	if now-s.looked > 3*siteEvery {
		s.blind = now + l.moduleSettings.Classes[0].Aim // danger: answers lie unread that came long ago
	}
	s.looked = now
	var uses []site.Load
	silent := map[policy.ServerID]bool{}
	if v, ok := l.current.Decider.(observableDecider); ok {
		for _, b := range v.View(now) {
			uses = append(uses, site.Load{ID: b.ID, InFlight: b.Outstanding, Capacity: b.ConcurrencyLimit})
			silent[b.ID] = b.Overdue > 0
		}
	}
	if now >= s.blind {
		for _, r := range l.requests {
			for i := range r.tries {
				if t := &r.tries[i]; silent[t.server] && now-t.sent >= l.moduleSettings.Classes[r.class].Aim/4 {
					s.ReportOutcome(now, t.server, site.Failed, t.sent)
				}
			}
		}
	}
	r := s.Evaluate(now, uses)
	l.warn(now)
	for _, c := range r.Transitions {
		l.log.Warn("site", "name", c.Site, "from", c.From.String(), "to", c.To.String(), "why", c.Reason)
	}
	if len(r.Changed) > 0 {
		ev := policy.Event{Kind: policy.EventList, ListMode: policy.ListDelta}
		for _, id := range r.Changed {
			if e, listed := l.listedServers[id]; listed {
				ev.Servers = append(ev.Servers, l.effectiveEntry(e))
			}
		}
		l.handleAll(context.WithoutCancel(l.ctx), ev)
	}
	for _, id := range r.Probes {
		l.probe(l.ctx, l.current, id)
	}
}

// warnEvery is how often plans are looked at for sites whose loss could not be carried.
const warnEvery = 10 * time.Second

// warn says of each site once that the others could not carry its load any more, and once that they can again.
func (l *loop) warn(now time.Duration) {
	s := l.sites
	if now-s.planned < warnEvery {
		return
	}
	s.planned = now
	for _, p := range s.LossImpacts(now, s.meter.Demand()) {
		switch over := p.Utilization > site.MaxUtilization && p.LoadShare > 0; {
		case over && !s.warned[p.Site]:
			s.warned[p.Site] = true
			l.log.Warn("the loss of a site could not be carried", "name", p.Site, "carries", roundForDisplay(p.LoadShare), "refused", roundForDisplay(p.ShedShare))
		case s.warned[p.Site] && p.Utilization < site.MaxUtilization-0.1:
			delete(s.warned, p.Site)
			l.log.Info("the loss of a site could be carried again", "name", p.Site)
		}
	}
}

// Sites returns the sites; nil where they are not watched.
func (a *Agent) Sites(ctx context.Context) (*control.Sites, error) {
	var v *control.Sites
	err := a.loop.runInLoop(ctx, func() {
		if a.loop.sites != nil {
			v = a.loop.shownSites()
		}
	})
	return v, err
}

// TakeOut has a site taken out by hand for so long, or let in again if that is 0. It returns nil where sites are not watched.
func (a *Agent) TakeOut(ctx context.Context, name string, d time.Duration, force bool, why string) (v *control.Sites, err error) {
	l := a.loop
	var wrong error
	err = l.runInLoop(ctx, func() {
		if l.sites == nil {
			return
		}
		now := l.clock.now()
		if d == 0 {
			wrong = l.sites.EndEvacuation(now, name)
		} else {
			wrong = l.sites.Evacuate(now, name, d, force, why)
		}
		if wrong == nil {
			l.log.Info("operators", "site", name, "out_for", d, "why", why)
			l.lookAtSites()
			v = l.shownSites()
		}
	})
	return v, errors.Join(err, wrong)
}

// applySites has the sites taken out that a document names, and those let in again that the one before named. What it can't do
// whole it does not do.
func (a *Agent) applySites(ctx context.Context, out map[string]document.Site) (err error) {
	l := a.loop
	wrong := l.runInLoop(ctx, func() {
		s := l.sites
		if s == nil {
			if len(out) > 0 {
				err = errors.New("sites are not watched")
			}
			return
		}
		now, wanted := l.clock.now(), map[string]bool{}
		for _, name := range slices.Sorted(maps.Keys(out)) {
			d := time.Until(out[name].Until)
			if d <= 0 {
				continue
			}
			if err = s.Evacuate(now, name, d, out[name].Force, out[name].Why); err != nil {
				break
			}
			wanted[name] = true
		}
		back, not := s.wanted, wanted
		if err != nil {
			back, not = wanted, s.wanted
		} else {
			s.wanted = wanted
		}
		for _, name := range slices.Sorted(maps.Keys(back)) {
			if !not[name] {
				err = errors.Join(err, s.EndEvacuation(now, name))
			}
		}
		l.lookAtSites()
	})
	return errors.Join(wrong, err)
}

// shownSites are the sites for people to read.
func (l *loop) shownSites() *control.Sites {
	now := l.clock.now()
	views, history := l.sites.Snapshot()
	s := &control.Sites{Sites: []control.Site{}, Plans: []control.SitePlan{}, History: []control.SiteChange{}}
	for _, v := range views {
		c := control.Site{
			Name: v.Name, State: v.State.String(), For: roundForDisplay((now - v.Since).Seconds()), Servers: v.Servers, Used: v.Admitted, Times: v.RecentLosses,
			Load: roundForDisplay(v.InFlight), Room: roundForDisplay(v.Capacity),
		}
		if v.RetryAt > 0 {
			c.Retry = roundForDisplay(max(0, v.RetryAt-now).Seconds())
		}
		if v.EvacuatedUntil > 0 {
			c.Out = roundForDisplay(max(0, v.EvacuatedUntil-now).Seconds())
		}
		if w := v.Pacer; w != nil {
			c.Pacer = w.State.String()
			if w.State == site.Recovering {
				c.Pacer = fmt.Sprintf("%s, %.0f%% let in", w.State, 100*w.Part)
			}
		}
		s.Sites = append(s.Sites, c)
	}
	for _, p := range l.sites.LossImpacts(now, l.sites.meter.Demand()) {
		c := control.SitePlan{Lose: p.Site, Share: roundForDisplay(p.LoadShare), Refused: roundForDisplay(p.ShedShare), Moves: []control.SiteMove{}, First: []control.SiteRefusal{}}
		if !math.IsInf(p.Utilization, 0) {
			after := roundForDisplay(p.Utilization)
			c.After = &after
		}
		for _, m := range p.Shifts {
			c.Moves = append(c.Moves, control.SiteMove{To: m.Site, Share: roundForDisplay(m.Share), After: roundForDisplay(m.Utilization)})
		}
		for _, r := range p.Shed {
			c.First = append(c.First, control.SiteRefusal{What: r.Name, Share: roundForDisplay(r.Share), Part: roundForDisplay(r.ShedFraction)})
		}
		s.Plans = append(s.Plans, c)
	}
	for i := len(history) - 1; i >= 0; i-- { // the newest first
		c := &history[i]
		s.History = append(s.History, control.SiteChange{At: time.Unix(0, int64(c.At)).UTC(), Site: c.Site, From: c.From.String(), To: c.To.String(), Why: c.Reason})
	}
	return s
}
