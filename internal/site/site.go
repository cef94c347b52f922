// Package site detects zone failures for one agent. A site is a zone whose servers are expected to
// fail together. The package decides which servers of each site the agent may use (Admitted). It
// does no I/O, has no clock and starts no goroutines.
//
// A Monitor is given the outcomes of attempts and probes on single servers (ReportOutcome,
// ReportProbe), the server list (SetServers) and the load on each server (Evaluate). It declares a
// site lost when so many of its servers have failed, and so few have answered since the first of
// those failures, that independent failures are a very unlikely explanation. The probability that a
// server fails independently is estimated from the other sites. The failures of a single server are
// never enough. If no other site has answered since the failures began, the agent itself is taken
// to be isolated and no server is withdrawn.
//
// All servers of a lost site are withdrawn at once, including those that have not been tried yet.
// The site is retried after a wait that doubles each time it is lost again soon afterwards. It
// recovers in steps: one server is admitted first, and each step doubles the number. The order of
// the servers is random for each agent, so that many agents that start a recovery at the same time
// begin with different servers. A step succeeds when the admitted servers have answered and is
// reverted when they fail. If the first step fails, the site is lost again. Admitted servers count
// as just started, so that the total load from all agents stays within what cold servers can take.
//
// If the agents share a group that grants leases, the holder of the lease for a site is its pacer:
// it paces the recovery of the site for all (PacerStatus). It probes the lost site, while the
// others probe it only at the longest interval, and the others admit no larger part of the site
// than the pacer has admitted (FollowPacer). The followers keep checking for themselves. They
// revert steps that fail for them, whatever the pacer reports, and stop following a pacer whose
// status has not changed for a long time.
//
// The package keeps these invariants, among others that explore_test.go and pace_test.go check:
//   - SiteInUse: at least one site is not withdrawn, unless operators have forced the evacuation of
//     all.
//   - SingleServer: failures of a single server never make a site lost, however many there are,
//     except in the first step of a recovery.
//   - OtherSiteAnswered: a site is declared lost only if another site has answered since its first
//     failure, except in the first step of a recovery.
//   - AdmittedServers: a lost site has no admitted servers, a recovering site has some, and a
//     healthy one has all of them.
//   - Recovery: from any history, once the servers answer and no evacuation is in force, the site
//     is healthy after at most MaxRetryWait and its jitter, which is a quarter, plus one step for
//     each doubling.
//   - PacerLimit: an agent that follows a pacer admits no larger part of a recovering site than the
//     pacer does, as long as the pacer's status keeps changing.
//   - Evacuation: a site that operators evacuated comes back when they end the evacuation or its
//     time is over, and not earlier.
package site

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/micaline/policy"
)

const (
	// falseAlarmProbability is the probability, at each evaluation, that independent failures are
	// mistaken for a lost site.
	falseAlarmProbability = 1e-3
	// strayAnswerProbability is the probability that a server of a lost site still seems to answer,
	// because its answer was already on its way.
	strayAnswerProbability = 0.02
	// priorFailures of priorServers servers are assumed to fail independently before there is any
	// data.
	priorFailures, priorServers = 1, 20

	// MinRetryWait is the wait before a lost site is first retried. MaxRetryWait is the limit up to
	// which the wait doubles.
	MinRetryWait = time.Second
	MaxRetryWait = 32 * time.Second
	// minStepTime is the shortest duration of a recovery step. A server that stalls under load
	// shows it within one or two target latencies.
	minStepTime = 500 * time.Millisecond
	// failureExpiry is how long a failure counts without a further failure that confirms it.
	failureExpiry = 10 * time.Second
	// lossDecayInterval is how long a site must be healthy before its count of recent losses is
	// halved.
	lossDecayInterval = time.Minute
	// meanSamples is the number of evaluations over which the load is averaged for loss impacts,
	// some five seconds.
	meanSamples = 50
	// evacuationTime is how long the gradual evacuation of a site takes.
	evacuationTime = 4 * time.Second
	// MaxHistory is the number of transitions that are kept.
	MaxHistory = 64
	// concurrentProbes is the number of servers of a lost site that are probed at a time. With a
	// single probe, that server might be the one that stays down.
	concurrentProbes = 2
)

// State is the condition of a site.
type State uint8

// States of a site.
const (
	Healthy       State = iota // its servers answer
	Suspect                    // several servers fail, but too few to declare the site lost
	Lost                       // none of its servers is used
	AgentIsolated              // its servers fail and no other site answers
	Overloaded                 // most of its servers rejected their last request
	Evacuated                  // operators have taken it out of use
	Recovering                 // some of its servers are used
)

var stateNames = [...]string{
	Healthy: "well", Suspect: "doubtful", Lost: "lost", AgentIsolated: "cut off", Overloaded: "crowded", Evacuated: "taken out", Recovering: "returning",
}

func (s State) String() string { return stateNames[s] }

// Outcome is the result of an attempt.
type Outcome uint8

// Outcomes of an attempt.
const (
	Answered Outcome = iota // the server's process answered, possibly with an error
	Rejected                // the server answered that it has no capacity left
	Failed                  // the connection was refused or broken, or there was no answer
)

// Config is the section about sites in the operators' file.
type Config struct {
	On bool // whether sites are monitored
}

// Settings describe the sites to be monitored.
type Settings struct {
	Names  []string // of the sites, by position
	Probes bool     // whether the servers of a lost site may be probed
}

// Server is an entry of the server list.
type Server struct {
	ID    policy.ServerID
	Site  int // position of its site; servers at other positions belong to no site
	Ready bool
	Start time.Duration // start time of its process
}

// Load is the load on a server: its requests in flight, and how many it can serve at a time.
type Load struct {
	ID                 policy.ServerID
	InFlight, Capacity float64
}

// server is the state that is kept for one server.
type server struct {
	Server
	admissionOrder uint64        // servers are admitted in increasing order
	lastAnswer     time.Duration // time of the last answer; 0: none yet
	failingSince   time.Duration // first failure since the last answer; 0: it is not failing
	lastFailure    time.Duration
	lastRejected   bool          // whether the last answer was a rejection
	admitted       bool          // whether the agent may use the server
	admittedAt     time.Duration // time of the last admission
	load           Load          // moving average of requests in flight, and latest capacity
	samples        int           // number of samples in meanInFlight, at most meanSamples
	meanInFlight   float64       // mean of the requests in flight over the last meanSamples
}

// site is the state that is kept for one site.
type site struct {
	state           State
	since           time.Duration // when the site entered its state
	servers         []*server     // ready servers, in the order of their admission
	switched        int           // servers admitted in a recovery, or withdrawn in an evacuation
	stepStart       time.Duration // when the current step of a recovery or an evacuation began
	retryAt         time.Duration // when a lost site is next retried
	lastRetry       time.Duration // when a lost site was last retried
	probing         bool          // whether probes of a lost site are pending
	lossCount       uint64        // number of times that this agent has declared the site lost
	pacerStatus     *PacerStatus  // last status of the site's pacer; nil: there is no pacer
	pacerStatusAt   time.Duration // when the pacer's status last changed
	pacerLoss       uint64        // loss during which the pacer reported the site as lost; 0: none
	recentLosses    int           // losses, halved after each lossDecayInterval without one
	lossesDecayedAt time.Duration // when recentLosses was last increased or halved
	evacuatedUntil  time.Duration // end of the evacuation
	lastInFlight    float64       // requests in flight before the withdrawal
	lastLoadShare   float64       // share of the agent's requests in flight before the withdrawal
}

// Transition is a change of a site's state.
type Transition struct {
	At       time.Duration
	Site     string
	From, To State
	Reason   string
}

// Monitor tracks the sites of one agent. It is not safe for concurrent use.
type Monitor struct {
	settings       Settings
	rng            *rand.Rand
	now            time.Duration // latest time that was passed to any method
	sites          []site
	servers        map[policy.ServerID]*server
	changedServers []policy.ServerID // admitted or withdrawn since the last Evaluate
	pendingProbes  []policy.ServerID // servers to be probed, collected since the last Evaluate
	history        []Transition
	transitions    []Transition // since the last Evaluate
	retries        uint64       // number of retries, which rotates the server that is tried first
}

// New returns a Monitor without servers.
func New(s Settings, seed uint64, now time.Duration) *Monitor {
	m := &Monitor{settings: s, rng: rand.New(rand.NewPCG(seed, 6)), now: now, sites: make([]site, len(s.Names)), servers: map[policy.ServerID]*server{}}
	for i := range m.sites {
		m.sites[i].since = now
	}
	return m
}

// Evaluation is the result of Evaluate.
type Evaluation struct {
	Changed     []policy.ServerID // servers whose Admitted result has changed
	Probes      []policy.ServerID // servers to be probed, with the result passed to ReportProbe
	Transitions []Transition
}

// Admitted reports whether a server may be used, and when it was last admitted, which counts as its
// start time. The time is 0 if the start time in the server list applies. A server that belongs to
// no site may always be used.
func (m *Monitor) Admitted(id policy.ServerID) (admitted bool, admittedAt time.Duration) {
	s := m.servers[id]
	if s == nil {
		return true, 0
	}
	return s.admitted, s.admittedAt
}

// SetServers replaces the list of servers.
func (m *Monitor) SetServers(now time.Duration, servers []Server) {
	m.now = max(now, m.now)
	for i := range m.sites {
		m.sites[i].servers = m.sites[i].servers[:0]
	}
	listed := make(map[policy.ServerID]bool, len(servers))
	for _, entry := range servers {
		if entry.Site < 0 || entry.Site >= len(m.sites) || !entry.Ready {
			continue // servers that are not ready get no requests anyway
		}
		listed[entry.ID] = true
		s, home := m.servers[entry.ID], &m.sites[entry.Site]
		if s == nil || s.Site != entry.Site || s.Start != entry.Start {
			// This is a new process. If its site is lost, a new process is the best sign of a
			// recovery.
			s = &server{admissionOrder: m.rng.Uint64(), admitted: home.fullyAdmitted()}
			m.servers[entry.ID] = s
			if home.state == Lost && home.recentLosses <= 1 {
				home.retryAt = min(home.retryAt, m.now+MinRetryWait/2)
			}
			m.changedServers = append(m.changedServers, entry.ID)
		}
		s.Server = entry
		home.servers = append(home.servers, s)
	}
	for id := range m.servers {
		if !listed[id] {
			delete(m.servers, id)
		}
	}
	for i := range m.sites {
		slices.SortFunc(m.sites[i].servers, func(x, y *server) int { return cmp.Compare(x.admissionOrder, y.admissionOrder) })
		m.updateAdmission(i)
	}
}

// fullyAdmitted reports whether all servers of the site may be used.
func (s *site) fullyAdmitted() bool {
	return s.state != Lost && s.state != Evacuated && s.state != Recovering
}

// ReportOutcome records the outcome of an attempt that was sent at the given time. A failure is
// ignored if the server has answered since the attempt was sent, because then the request or its
// connection failed and not the server. It is also ignored if the server was admitted since then.
func (m *Monitor) ReportOutcome(now time.Duration, id policy.ServerID, outcome Outcome, sent time.Duration) {
	m.now = max(now, m.now)
	s := m.servers[id]
	if s == nil {
		return
	}
	if outcome == Failed {
		if s.lastAnswer > sent || s.admittedAt > sent {
			return
		}
		if s.lastFailure = m.now; s.failingSince == 0 {
			s.failingSince = m.now
		}
		return
	}
	s.lastAnswer, s.failingSince, s.lastRejected = m.now, 0, outcome == Rejected
}

// ReportProbe records the result of a probe.
func (m *Monitor) ReportProbe(now time.Duration, id policy.ServerID, ok bool) {
	m.now = max(now, m.now)
	s := m.servers[id]
	if s == nil {
		return
	}
	if home := &m.sites[s.Site]; home.state == Lost && home.probing && ok {
		home.probing = false
		m.beginRecovery(s.Site, s, "a probe was answered")
	}
}

// Evaluate records the load on all admitted servers and evaluates the state of all sites.
func (m *Monitor) Evaluate(now time.Duration, loads []Load) Evaluation {
	m.now = max(now, m.now)
	for i := range loads {
		if s := m.servers[loads[i].ID]; s != nil {
			s.recordLoad(&loads[i])
		}
	}
	m.expireFailures()
	for i := range m.sites {
		m.evaluateSite(i)
	}
	r := Evaluation{Changed: m.changedServers, Probes: m.pendingProbes, Transitions: m.transitions}
	m.changedServers, m.pendingProbes, m.transitions = nil, nil, nil
	return r
}

// expireFailures forgets failures that no later failure has confirmed within failureExpiry.
func (m *Monitor) expireFailures() {
	for _, s := range m.servers {
		if s.failingSince > 0 && m.now-s.lastFailure >= failureExpiry {
			s.failingSince = 0
		}
	}
}

// evidence summarizes the admitted servers of a site.
type evidence struct {
	failed, answered, rejected, total int
	since                             time.Duration // time of the first failure that counts
}

// strongestEvidence scores how strongly the failures of a site's servers speak for a loss, against
// the answers since the first of those failures. The score is a log-likelihood ratio, to which each
// failure adds failureWeight and from which each answer subtracts answerWeight. Failures of long
// ago do not belong to a current outage, so only as many of the latest failures count as give the
// highest score.
func (m *Monitor) strongestEvidence(i int, failureWeight, answerWeight float64) (best evidence, bestScore float64) {
	var failures, answers []time.Duration
	total, rejected := 0, 0
	for _, s := range m.sites[i].servers {
		switch {
		case !s.admitted:
			continue
		case s.failingSince > 0:
			failures = append(failures, s.failingSince)
		case s.lastAnswer > 0:
			if answers = append(answers, s.lastAnswer); s.lastRejected {
				rejected++
			}
		}
		total++
	}
	slices.Sort(failures)
	slices.Sort(answers)
	best, bestScore = evidence{answered: len(answers), rejected: rejected, total: total}, math.Inf(-1)
	for k := 1; k <= len(failures); k++ {
		since := failures[len(failures)-k]
		before, _ := slices.BinarySearch(answers, since+1)
		candidate := evidence{k, len(answers) - before, rejected, total, since}
		if score := float64(k)*failureWeight - float64(candidate.answered)*answerWeight; score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best, bestScore
}

// independentFailureRate estimates how often a server fails independently, from the other sites
// whose servers are all admitted.
func (m *Monitor) independentFailureRate(excluded int) float64 {
	failed, total := float64(priorFailures), float64(priorServers)
	for i := range m.sites {
		if i == excluded || !m.sites[i].fullyAdmitted() {
			continue
		}
		for _, s := range m.sites[i].servers {
			if s.failingSince > 0 {
				failed++
			}
			if s.failingSince > 0 || s.lastAnswer > 0 && m.now-s.lastAnswer < failureExpiry {
				total++
			}
		}
	}
	return min(failed/total, 0.9)
}

// failedTogether tests whether the servers of a site have failed together, that is, whether
// independent failures are less likely than falseAlarmProbability.
func (m *Monitor) failedTogether(i int) (found evidence, together bool) {
	independentRate := m.independentFailureRate(i)
	found, score := m.strongestEvidence(i, math.Log((1-strayAnswerProbability)/independentRate), math.Log((1-independentRate)/strayAnswerProbability))
	// If all servers fail, nothing is lost by withdrawing the site.
	return found, found.failed >= 2 && (found.failed == found.total || score >= math.Log(1/falseAlarmProbability))
}

// otherSiteAnswered reports whether a site other than the excluded one has answered after the given
// time and has not failed itself.
func (m *Monitor) otherSiteAnswered(excluded int, since time.Duration) bool {
	for i := range m.sites {
		if i == excluded || m.sites[i].state == Lost || m.sites[i].state == Evacuated {
			continue
		}
		for _, s := range m.sites[i].servers {
			if s.admitted && s.failingSince == 0 && s.lastAnswer > since {
				if _, together := m.failedTogether(i); !together {
					return true
				}
			}
		}
	}
	return false
}

// evaluateSite updates the state of one site.
func (m *Monitor) evaluateSite(i int) {
	s := &m.sites[i]
	switch s.state {
	case Lost:
		m.retryLostSite(i)
	case Recovering:
		m.continueRecovery(i)
	case Evacuated:
		m.continueEvacuation(i)
	default:
		if s.recentLosses > 0 && m.now-max(s.lossesDecayedAt, s.since) >= lossDecayInterval {
			s.recentLosses, s.lossesDecayedAt = s.recentLosses/2, m.now
		}
		found, together := m.failedTogether(i)
		switch {
		case together && m.otherSiteAnswered(i, found.since):
			m.markLost(i, fmt.Sprintf("%d of %d servers failed within %v, %d answered", found.failed, found.total, (m.now-found.since).Round(time.Millisecond), found.answered))
		case together:
			m.setState(i, AgentIsolated, "its servers fail, and no other site answers")
		case found.failed >= 2 && found.failed > found.answered:
			m.setState(i, Suspect, fmt.Sprintf("%d of %d servers failed, %d answered", found.failed, found.total, found.answered))
		case found.rejected > 0 && 2*found.rejected > found.failed+found.answered:
			m.setState(i, Overloaded, fmt.Sprintf("%d of %d servers turned away what came last", found.rejected, found.total))
		default:
			m.setState(i, Healthy, "its servers answer")
		}
	}
}

// setState moves a site to a state and records the transition.
func (m *Monitor) setState(i int, to State, reason string) {
	s := &m.sites[i]
	if s.state == to {
		return
	}
	transition := Transition{m.now, m.settings.Names[i], s.state, to, reason}
	if m.history = append(m.history, transition); len(m.history) > MaxHistory {
		m.history = m.history[1:]
	}
	m.transitions = append(m.transitions, transition)
	s.state, s.since = to, m.now
	m.updateAdmission(i)
}

// markLost withdraws a site and schedules its first retry.
func (m *Monitor) markLost(i int, reason string) {
	s := &m.sites[i]
	m.saveLoad(i)
	s.recentLosses, s.lossesDecayedAt, s.switched, s.probing, s.pacerLoss = s.recentLosses+1, m.now, 0, false, 0
	s.lossCount++
	// Jitter keeps agents that lost the site at the same time from retrying it at the same time.
	s.retryAt = m.now + time.Duration(float64(m.retryWait(s))*(0.75+m.rng.Float64()/2))
	m.setState(i, Lost, reason)
}

// retryWait returns how long a site is left alone after its latest loss.
func (m *Monitor) retryWait(s *site) time.Duration {
	return min(MaxRetryWait, MinRetryWait<<min(s.recentLosses-1, 10))
}

// saveLoad stores the load of a site before it is withdrawn.
func (m *Monitor) saveLoad(i int) {
	total := 0.0
	for j := range m.sites {
		inFlight, _ := m.sustainedLoad(j)
		total += inFlight
	}
	if inFlight, _ := m.sustainedLoad(i); total > 0 && m.sites[i].fullyAdmitted() {
		m.sites[i].lastInFlight, m.sites[i].lastLoadShare = inFlight, inFlight/total
	}
}

// currentLoad returns the requests in flight and the capacity of a site's admitted servers.
func (m *Monitor) currentLoad(i int) (inFlight, capacity float64) {
	for _, s := range m.sites[i].servers {
		if s.admitted {
			inFlight, capacity = inFlight+s.load.InFlight, capacity+s.load.Capacity
		}
	}
	return inFlight, capacity
}

// sustainedLoad returns the mean requests in flight over meanSamples and the capacity of a site's
// admitted servers. Loss impacts use the mean because, at a few requests per second, the current
// number in flight varies too much.
func (m *Monitor) sustainedLoad(i int) (inFlight, capacity float64) {
	for _, s := range m.sites[i].servers {
		if s.admitted {
			inFlight, capacity = inFlight+s.meanInFlight, capacity+s.load.Capacity
		}
	}
	return inFlight, capacity
}

// recordLoad updates the moving average of the requests in flight, over about ten samples, and the
// mean over meanSamples, which starts as the plain mean of the samples so far.
func (s *server) recordLoad(sample *Load) {
	s.load.InFlight += 0.1 * (sample.InFlight - s.load.InFlight)
	s.load.Capacity = sample.Capacity
	s.samples = min(s.samples+1, meanSamples)
	s.meanInFlight += (sample.InFlight - s.meanInFlight) / float64(s.samples)
}

var (
	// ErrUnknownSite reports that no site has the given name.
	ErrUnknownSite = errors.New("no such site")
	// ErrInsufficientCapacity reports that a site can't be evacuated because the other sites could
	// not carry its load.
	ErrInsufficientCapacity = errors.New("the other sites could not carry the load")
)
