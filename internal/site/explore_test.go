package site

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micaline/policy"
)

const (
	siteCount      = 3
	serversPerSite = 3
	tick           = 250 * time.Millisecond
)

// simulation is a Monitor of three sites with three servers each, together with the true state of
// the servers that the Monitor has to detect.
type simulation struct {
	monitor        *Monitor
	now            time.Duration
	up             [siteCount * serversPerSite]bool
	failingSince   [siteCount * serversPerSite]time.Duration // 0: not failing
	lastAnswer     [siteCount * serversPerSite]time.Duration // time of the last answer
	probeAnswered  [siteCount]bool                           // answered since the last loss
	lostAt         [siteCount]time.Duration                  // time of the last loss
	recentLosses   [siteCount]int
	stepServers    [siteCount]int // servers admitted in the current recovery step
	stepStart      [siteCount]time.Duration
	evacuatedUntil [siteCount]time.Duration // end of an operator's evacuation
	retryRequested bool                     // operators asked for a retry of a lost site
	wasAdmitted    [siteCount * serversPerSite]bool
	probes         bool
	bug            string
	paced          bool // whether a pacer's status may start a recovery without a probe by this agent
}

func newSimulation(probes bool, bug string) *simulation {
	sim := &simulation{now: time.Hour, probes: probes, bug: bug}
	sim.monitor = New(Settings{Names: []string{"a", "b", "c"}, Probes: probes}, 1, sim.now)
	var servers []Server
	for i := range sim.up {
		sim.up[i] = true
		servers = append(servers, Server{ID: policy.ServerID(i), Site: i / serversPerSite, Ready: true})
	}
	sim.monitor.SetServers(sim.now, servers)
	return sim
}

// events are all events that explore combines.
var events = []string{"go on", "rest", "site a", "site b", "site c", "server a1", "evacuate a", "return a"}

// apply applies one of the events. Events that name a site or a server toggle whether it is up.
func (sim *simulation) apply(event string) error {
	switch event {
	case "go on":
		for range 3 {
			if err := sim.advance(tick, true); err != nil {
				return err
			}
		}
	case "rest":
		return sim.advance(time.Second, false)
	case "site a", "site b", "site c":
		first := int(event[5]-'a') * serversPerSite
		wasUp := sim.up[first]
		for i := first; i < first+serversPerSite; i++ {
			sim.up[i] = !wasUp
		}
	case "server a1":
		sim.up[0] = !sim.up[0]
	case "evacuate a":
		otherInUse := sim.otherSiteInUse(0)
		if err := sim.monitor.Evacuate(sim.now, "a", 2*time.Second, sim.bug == "evacuates whatever it means", "by hand"); err == nil {
			if !otherInUse {
				return errors.New("SiteInUse: the last site was evacuated without force")
			}
			sim.evacuatedUntil[0] = sim.now + 2*time.Second
		} else if !errors.Is(err, ErrInsufficientCapacity) {
			return err
		}
	case "return a":
		if sim.monitor.sites[0].state == Evacuated {
			sim.evacuatedUntil[0] = sim.now
		}
		sim.retryRequested = true
		return sim.monitor.EndEvacuation(sim.now, "a")
	}
	return nil
}

// otherSiteInUse reports whether a site other than the excluded one has an admitted server.
func (sim *simulation) otherSiteInUse(excluded int) bool {
	for _, s := range sim.monitor.servers {
		if s.Site != excluded && s.admitted {
			return true
		}
	}
	return false
}

// advance moves the time on. With traffic, each admitted server gets one attempt.
func (sim *simulation) advance(elapsed time.Duration, traffic bool) error {
	sim.now += elapsed
	var loads []Load
	for i := range sim.up {
		id := policy.ServerID(i)
		if admitted, _ := sim.monitor.Admitted(id); !admitted {
			continue
		}
		loads = append(loads, Load{id, 1, 4})
		switch {
		case !traffic:
		case sim.up[i]:
			sim.monitor.ReportOutcome(sim.now, id, Answered, sim.now-time.Millisecond)
			sim.lastAnswer[i], sim.failingSince[i] = sim.now, 0
		default:
			sim.monitor.ReportOutcome(sim.now, id, Failed, sim.now-time.Millisecond)
			if sim.failingSince[i] == 0 {
				sim.failingSince[i] = sim.now
			}
		}
	}
	var before [siteCount]State
	for i := range before {
		before[i] = sim.monitor.sites[i].state
	}
	lastRetries := [siteCount]time.Duration{}
	for i := range lastRetries {
		lastRetries[i] = sim.monitor.sites[i].lastRetry
	}
	sim.plantBug()
	evaluation := sim.monitor.Evaluate(sim.now, loads)
	for _, id := range evaluation.Probes {
		if sim.up[id] {
			sim.probeAnswered[int(id)/serversPerSite] = true
		}
		sim.monitor.ReportProbe(sim.now, id, sim.up[id])
	}
	sim.plantBugAfterwards()
	for i := range before {
		if err := sim.checkInvariants(i, before[i], lastRetries[i]); err != nil {
			return err
		}
	}
	return nil
}

// checkInvariants checks the state of one site against the invariants of the package.
func (sim *simulation) checkInvariants(i int, before State, lastRetry time.Duration) error {
	s := &sim.monitor.sites[i]
	admitted, failing, answering, firstFailure := 0, 0, 0, time.Duration(0)
	for k := i * serversPerSite; k < (i+1)*serversPerSite; k++ {
		srv := sim.monitor.servers[policy.ServerID(k)]
		if srv.admitted && !sim.wasAdmitted[k] {
			sim.failingSince[k] = 0 // failures before the admission no longer count
		}
		if sim.wasAdmitted[k] = srv.admitted; srv.admitted {
			admitted++
		}
		if srv.admitted && sim.failingSince[k] > 0 || s.state == Lost && sim.failingSince[k] > 0 {
			failing++
			if firstFailure == 0 || sim.failingSince[k] < firstFailure {
				firstFailure = sim.failingSince[k]
			}
		}
	}
	otherSiteAnswered := false
	for k := range sim.up {
		if sim.failingSince[k] == 0 && sim.lastAnswer[k] > firstFailure {
			if k/serversPerSite == i {
				answering++
			} else {
				otherSiteAnswered = true
			}
		}
	}
	fullyAdmitted := func(s State) bool { return s != Lost && s != Evacuated && s != Recovering }
	switch {
	case s.state == Lost && fullyAdmitted(before) && failing < 2:
		return fmt.Errorf("SingleServer: the site is lost with %d failing servers", failing)
	case s.state == Lost && fullyAdmitted(before) && answering >= failing:
		return fmt.Errorf("MoreFailures: the site is lost with %d failing servers and %d that answered since", failing, answering)
	case s.state == Lost && fullyAdmitted(before) && !otherSiteAnswered:
		return errors.New("OtherSiteAnswered: no other site has answered since the first failure")
	case s.state == Lost && admitted > 0, fullyAdmitted(s.state) && admitted < serversPerSite, s.state == Recovering && admitted == 0:
		return fmt.Errorf("AdmittedServers: %d servers are admitted in a site that is %v", admitted, s.state)
	case s.state == Evacuated && sim.now >= sim.evacuatedUntil[i]+tick && sim.evacuatedUntil[i] > 0, s.state != Evacuated && before == Evacuated && sim.now < sim.evacuatedUntil[i]:
		return fmt.Errorf("Evacuation: the site is %v, with %v of its evacuation left", s.state, sim.evacuatedUntil[i]-sim.now)
	case !sim.otherSiteInUse(-1) && sim.evacuatedUntil[0] == 0:
		return errors.New("SiteInUse: every site is withdrawn")
	case fullyAdmitted(s.state) && failing == serversPerSite && otherSiteAnswered && sim.now-firstFailure >= 2*tick && fullyAdmitted(before) && s.state != AgentIsolated:
		return errors.New("LossDetected: all servers of a site fail while other sites answer, and the site is not lost")
	}
	anyUsable := sim.monitor.anySiteUsable()
	if s.state == Lost && before != Lost {
		if sim.recentLosses[i]++; sim.now-sim.lostAt[i] > lossDecayInterval {
			sim.recentLosses[i] = 1
		}
		sim.lostAt[i], sim.probeAnswered[i] = sim.now, false
		wait := min(MaxRetryWait, MinRetryWait<<min(sim.recentLosses[i]-1, 10))
		if anyUsable && s.retryAt-sim.now < wait/2 {
			return fmt.Errorf("RetryWait: lost %d times in a row, and the next retry is after %v", sim.recentLosses[i], s.retryAt-sim.now)
		}
	}
	if s.state == Lost && s.lastRetry > lastRetry && sim.retryRequested && i == 0 {
		sim.retryRequested = false
	} else if s.state == Lost && s.lastRetry > lastRetry && s.lastRetry-max(lastRetry, sim.lostAt[i]) < MinRetryWait/2 {
		return fmt.Errorf("RetryWait: retried %v after the last retry", s.lastRetry-max(lastRetry, sim.lostAt[i]))
	}
	if s.state != Lost && before == Lost && sim.probes && !sim.probeAnswered[i] && s.state != Evacuated && !sim.paced {
		return errors.New("ProbeAnswered: the site recovers without an answered probe")
	}
	if s.state == Recovering && admitted > sim.stepServers[i] && before != Evacuated {
		if sim.stepServers[i] > 0 && (admitted > 2*sim.stepServers[i] || sim.now-sim.stepStart[i] < minStepTime) || sim.stepServers[i] == 0 && admitted > 1 {
			return fmt.Errorf("RecoverySteps: went from %d servers to %d after %v", sim.stepServers[i], admitted, sim.now-sim.stepStart[i])
		}
	}
	if s.state == Recovering && before == Recovering && admitted >= sim.stepServers[i] && sim.stepServers[i] > 0 && failing == admitted && sim.now-sim.stepStart[i] >= tick && firstFailure > sim.stepStart[i] {
		return errors.New("StepReverted: all admitted servers fail, and the step is not reverted")
	}
	if admitted != sim.stepServers[i] {
		sim.stepServers[i], sim.stepStart[i] = admitted, sim.now
	}
	if s.state != Recovering {
		sim.stepServers[i] = 0
	}
	return nil
}

// checkRecovery checks that all sites become healthy once all servers are up.
func (sim *simulation) checkRecovery() error {
	for i := range sim.up {
		sim.up[i] = true
	}
	deadline := sim.now + MaxRetryWait*5/4 + 10*time.Second
	for sim.now < deadline {
		if err := sim.advance(2*tick, true); err != nil {
			return err
		}
		if !slices.ContainsFunc(sim.monitor.sites, func(s site) bool { return s.state != Healthy }) {
			return nil
		}
	}
	return fmt.Errorf("Recovery: the sites are %v, %v and %v after %v with all servers up", sim.monitor.sites[0].state, sim.monitor.sites[1].state, sim.monitor.sites[2].state, MaxRetryWait*5/4+10*time.Second)
}

// plantBug modifies the Monitor before each evaluation as the planted bug would do.
// plantBugAfterwards does the same after the evaluation.
func (sim *simulation) plantBug() {
	for i := range sim.monitor.sites {
		s := &sim.monitor.sites[i]
		for _, srv := range s.servers {
			switch {
			case sim.bug == "takes one server for a site" && srv.failingSince > 0:
				for _, sibling := range s.servers {
					sibling.failingSince, sibling.lastFailure = srv.failingSince, srv.failingSince
				}
			case sim.bug == "hears no answers" && s.state != Recovering && slices.ContainsFunc(s.servers, func(p *server) bool { return p.failingSince > 0 }) && srv.failingSince == 0:
				srv.failingSince, srv.lastFailure = sim.now, sim.now
			case sim.bug == "takes others' old answers for new ones" && srv.failingSince == 0 && srv.lastAnswer > 0:
				srv.lastAnswer = sim.now + 1
			case sim.bug == "hears no failures" && s.fullyAdmitted():
				srv.failingSince = 0
			case sim.bug == "hears no failures of a return" && s.state == Recovering:
				srv.failingSince = 0
			}
		}
		switch {
		case sim.bug == "asks at every step" && s.state == Lost:
			s.retryAt, s.since, s.lastRetry = sim.now, sim.now-time.Hour, sim.now-time.Hour
		case sim.bug == "never asks again" && s.state == Lost:
			s.since, s.retryAt = sim.now, sim.now+time.Hour
		case sim.bug == "forgets that it was lost before" && s.fullyAdmitted():
			s.recentLosses = 0
		case sim.bug == "ends what was done by hand early" && s.state == Evacuated:
			s.evacuatedUntil = sim.now
		case sim.bug == "does not end what was done by hand" && s.state == Evacuated:
			s.evacuatedUntil = sim.now + time.Hour
		case sim.bug == "skips a step" && s.state == Recovering && s.switched == 1:
			s.switched = serversPerSite
			sim.monitor.updateAdmission(i)
		case sim.bug == "passes steps at once" && s.state == Recovering:
			s.stepStart = min(s.stepStart, sim.now-minStepTime)
		}
	}
}

func (sim *simulation) plantBugAfterwards() {
	for i := range sim.monitor.sites {
		s := &sim.monitor.sites[i]
		switch {
		case sim.bug == "forgets a server of a lost site" && s.state == Lost:
			s.servers[0].admitted = true
		case sim.bug == "takes time for a probe" && s.state == Lost && sim.now-s.since >= 2*time.Second:
			sim.monitor.beginRecovery(i, s.servers[0], "planted")
		case sim.bug == "loses every site" && s.state == AgentIsolated:
			sim.monitor.markLost(i, "planted")
		}
	}
}

// explore runs all sequences of depth events, each after the prefix. It returns the first violation
// of an invariant and the number of sequences that were run.
func explore(depth int, probes bool, bug string, prefix ...string) (runs int, err error) {
	path := make([]int, depth)
	for {
		sim := newSimulation(probes, bug)
		err := sim.apply("go on")
		for _, event := range prefix {
			if err == nil {
				err = sim.apply(event)
			}
		}
		for position := 0; position < depth && err == nil; position++ {
			err = sim.apply(events[path[position]])
		}
		if err == nil {
			err = sim.checkRecovery()
		}
		if runs++; err != nil {
			names := slices.Clone(prefix)
			for _, index := range path {
				names = append(names, events[index])
			}
			return runs, fmt.Errorf("%w; after %s", err, strings.Join(names, ", "))
		}
		position := depth - 1
		for ; position >= 0; position-- {
			if path[position]++; path[position] < len(events) {
				break
			}
			path[position] = 0
		}
		if position < 0 {
			return runs, nil
		}
	}
}

func TestExploreSites(t *testing.T) {
	depth := 5
	if testing.Short() {
		depth = 3
	}
	for _, probes := range []bool{false, true} {
		runs, err := explore(depth, probes, "")
		if err != nil {
			t.Error(err)
		}
		t.Logf("probes %v: %d sequences", probes, runs)
	}
}

// Each planted bug violates the expected invariant.
func TestExplorerFindsBugs(t *testing.T) {
	for bug, property := range map[string]string{
		"takes one server for a site":            "SingleServer",
		"hears no answers":                       "SingleServer",
		"takes others' old answers for new ones": "OtherSiteAnswered",
		"hears no failures":                      "LossDetected",
		"hears no failures of a return":          "StepReverted",
		"asks at every step":                     "RetryWait",
		"never asks again":                       "Recovery",
		"forgets that it was lost before":        "RetryWait",
		"ends what was done by hand early":       "Evacuation",
		"does not end what was done by hand":     "Evacuation",
		"skips a step":                           "RecoverySteps",
		"passes steps at once":                   "RecoverySteps",
		"forgets a server of a lost site":        "AdmittedServers",
		"takes time for a probe":                 "ProbeAnswered",
		"loses every site":                       "OtherSiteAnswered",
		"evacuates whatever it means":            "SiteInUse",
	} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			var prefix []string
			switch bug { // bugs that only a long sequence exposes
			case "forgets that it was lost before":
				prefix = []string{"site a", "go on", "site a", "go on", "go on", "go on", "go on", "go on", "site a"}
			case "hears no failures of a return":
				prefix = []string{"site a", "go on", "site a"}
			}
			_, err := explore(4, true, bug, prefix...)
			if err == nil || !strings.HasPrefix(err.Error(), property+":") {
				t.Errorf("want a violation of %s, got %v", property, err)
			}
		})
	}
}
