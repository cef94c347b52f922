// Package site says what is the matter with each site, a zone whose servers fail together, and which of its servers an agent
// may use. It does no I/O, has no clock and starts no goroutines.
//
// A Machine hears what became of attempts and probes at single servers (Heard), what the list says (List) and what is in work
// where (Step). It calls a site lost when so many of its servers have failed, with so few answers since the first of them
// did, that servers which fail one by one would hardly ever look like it. What a server's failing alone is worth is learnt
// from the other sites. One server is never a site. Where no other site has answered since, nothing is lost but the agent
// itself: it is cut off, and nothing is taken out.
//
// The servers of a lost site are withdrawn all at once, those too that nobody has tried yet. It is asked again after a wait
// that doubles each time that it is lost again soon. It comes back in steps: one server, then twice as many each time, in an
// order that is each agent's own, so that many agents that take their first step at once take it at different servers. A
// step is passed once the servers that are let in have answered and taken back once they fail; the first that is taken back
// makes the site lost again. Servers that are let in count as just started, so that the share which all agents together
// send them is what cold servers bear.
//
// Where agents have a group that grants duties one of them paces a site's return (Word): it asks a lost site for all, and the
// others let in no more of it than it does (Follow). They stay on their guard: what fails them is taken back, whatever the
// pacer says, and a pacer that says nothing new for long is followed no more.
//
// What is promised, and explored in explore_test.go:
//   - Standing: there is always a site that is not withdrawn, unless operators said so in so many words.
//   - Alone: a site is not lost by one server's failures, however many there are.
//   - Blind: a site is not found lost unless another one has answered since its first failure.
//   - Whole: a lost site has no server let in, a well one all of them, a returning one some.
//   - Back: whatever happened, once the servers answer the site is well after mostWait and a step for each doubling.
//   - Paced: whoever follows a pacer uses no greater part of a site that returns than it does, as long as it says something new.
//   - Hand: what operators took out comes back when they say so or the time is over, and not before.
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
	// alarm is the chance that servers which fail one by one look like a lost site, on each occasion.
	alarm = 1e-3
	// deaf is the part of a lost site's servers that may seem to answer all the same: what was on its way.
	deaf = 0.02
	// usualBad of usualOf servers fail one by one before anything is known.
	usualBad, usualOf = 1, 20

	// FirstWait is until a lost site is asked again; MostWait, to which that doubles.
	MinRetryWait = time.Second
	MaxRetryWait = 32 * time.Second
	// step is how long a step of a return takes at least: a server that jams shows it within an aim or two.
	step = 500 * time.Millisecond
	// stale is how long a failure is remembered that nothing has confirmed.
	stale = 10 * time.Second
	// trustAfter is how long a site is well before an old loss counts half.
	trustAfter = time.Minute
	// meanLooks are looks over which what is in work is averaged for plans: some five seconds.
	meanLooks = 50
	// leaveOver is how long it takes to take a site out by hand.
	leaveOver = 4 * time.Second
	// MostHistory is how many changes are remembered.
	MaxHistory = 64
	// probesAtOnce ask a lost site's servers whether it is back: one may be the one that stays away.
	probesAtOnce = 2
)

// State is what is the matter with a site.
type State uint8

// The states.
const (
	Healthy       State = iota
	Suspect             // several of its servers fail; too few to call it lost
	Lost                // none of its servers is used
	AgentIsolated       // its servers fail, and so do all others: it is this agent that is cut off
	Overloaded          // it turns most of what it is sent away
	Evacuated           // taken out by hand
	Recovering          // some of its servers are used
)

var stateNames = [...]string{
	Healthy: "well", Suspect: "doubtful", Lost: "lost", AgentIsolated: "cut off", Overloaded: "crowded", Evacuated: "taken out", Recovering: "returning",
}

func (s State) String() string { return stateNames[s] }

// Sign is what became of an attempt or a probe.
type Outcome uint8

// The signs.
const (
	Answered Outcome = iota // by its process, be it with an error
	Rejected                // an answer too, of one that has no room
	Failed                  // a refused connect, a broken connection, silence
)

// Config is the part of the operators' file about sites.
type Config struct {
	On bool // sites are watched
}

// Settings say whose sites they are.
type Settings struct {
	Names  []string // of sites, by their positions
	Probes bool     // a lost site's servers may be probed
}

// Server is a server as the list has it.
type Server struct {
	ID    policy.ServerID
	Site  int // position; others than the settings' are of no site
	Ready bool
	Start time.Duration // of its process
}

// Use is what a server has in work, and what it serves at once.
type Load struct {
	ID                 policy.ServerID
	InFlight, Capacity float64
}

// server is what the machine knows of one.
type server struct {
	Server
	order    uint64        // in which it is let in
	good     time.Duration // when it last answered; 0: never
	bad      time.Duration // when it began to fail, without an answer since; 0: it does not
	lastBad  time.Duration
	rejected bool // its last answer
	in       bool // used
	since    time.Duration
	use      Load
	looks    int     // that have gone into the mean
	mean     float64 // of what is in work, over some meanLooks
}

// site is one of them.
type site struct {
	state   State
	since   time.Duration
	servers []*server // ready ones, in the order in which they are let in
	let     int       // of these, how many are let in while it returns
	stage   time.Duration
	retry   time.Duration // when it is asked again
	askedAt time.Duration // when it last was
	asked   bool          // a probe is out
	losses  uint64        // that were found
	word    *PacerStatus  // of the site's pacer, if it is followed
	wordAt  time.Duration // when it last said something new
	heard   uint64        // the loss of which a pacer has said that it asks
	times   int           // that it was lost, less what time has healed
	healed  time.Duration
	until   time.Duration // taken out by hand until then
	lastUse float64       // when it was last well: in work,
	share   float64       // and as a part of all
}

// Change is a change of a site's state.
type Transition struct {
	At       time.Duration
	Site     string
	From, To State
	Reason   string
}

// Machine is what one agent makes of its sites. It is not safe for concurrent use.
type Monitor struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	sites   []site
	servers map[policy.ServerID]*server
	changed []policy.ServerID // let in or withdrawn since the last Step
	probes  []policy.ServerID
	history []Transition
	news    []Transition // since the last Step
	turn    uint64
}

// New returns a machine that knows no server.
func New(s Settings, seed uint64, now time.Duration) *Monitor {
	m := &Monitor{set: s, rng: rand.New(rand.NewPCG(seed, 6)), now: now, sites: make([]site, len(s.Names)), servers: map[policy.ServerID]*server{}}
	for i := range m.sites {
		m.sites[i].since = now
	}
	return m
}

// Result is what a Step comes to.
type Evaluation struct {
	Changed     []policy.ServerID // servers of which Use says something else now
	Probes      []policy.ServerID // to be probed, and Heard of
	Transitions []Transition
}

// Use says whether a server may be used, and since when it counts as started, 0 for as the list says.
func (m *Monitor) Admitted(id policy.ServerID) (use bool, since time.Duration) {
	s := m.servers[id]
	if s == nil {
		return true, 0
	}
	return s.in, s.since
}

// List takes in the whole list of servers.
func (m *Monitor) SetServers(now time.Duration, list []Server) {
	m.now = max(now, m.now)
	for i := range m.sites {
		m.sites[i].servers = m.sites[i].servers[:0]
	}
	known := make(map[policy.ServerID]bool, len(list))
	for _, e := range list {
		if e.Site < 0 || e.Site >= len(m.sites) || !e.Ready {
			continue // as long as it is not ready nothing is sent there anyway
		}
		known[e.ID] = true
		s, at := m.servers[e.ID], &m.sites[e.Site]
		if s == nil || s.Site != e.Site || s.Start != e.Start {
			// A new process. Where its site is lost, it is the best sign of a return that there is.
			s = &server{order: m.rng.Uint64(), in: at.open()}
			m.servers[e.ID] = s
			if at.state == Lost && at.times <= 1 {
				at.retry = min(at.retry, m.now+MinRetryWait/2)
			}
			m.changed = append(m.changed, e.ID)
		}
		s.Server = e
		at.servers = append(at.servers, s)
	}
	for id := range m.servers {
		if !known[id] {
			delete(m.servers, id)
		}
	}
	for i := range m.sites {
		slices.SortFunc(m.sites[i].servers, func(x, y *server) int { return cmp.Compare(x.order, y.order) })
		m.admit(i)
	}
}

// open says that all of a site's servers are used.
func (s *site) open() bool { return s.state != Lost && s.state != Evacuated && s.state != Recovering }

// Heard takes in what became of an attempt that was sent at a time. A failure tells nothing of a server that has answered
// something since: what failed was the request, or its connection.
func (m *Monitor) ReportOutcome(now time.Duration, id policy.ServerID, sign Outcome, sent time.Duration) {
	m.now = max(now, m.now)
	s := m.servers[id]
	if s == nil {
		return
	}
	if sign == Failed {
		if s.good > sent || s.since > sent {
			return
		}
		if s.lastBad = m.now; s.bad == 0 {
			s.bad = m.now
		}
		return
	}
	s.good, s.bad, s.rejected = m.now, 0, sign == Rejected
}

// Probed takes in what became of a probe.
func (m *Monitor) ReportProbe(now time.Duration, id policy.ServerID, ok bool) {
	m.now = max(now, m.now)
	s := m.servers[id]
	if s == nil {
		return
	}
	if at := &m.sites[s.Site]; at.state == Lost && at.asked && ok {
		at.asked = false
		m.goBack(s.Site, s, "a probe was answered")
	}
}

// Step looks at all sites. What is in work is told of all servers that are used.
func (m *Monitor) Evaluate(now time.Duration, uses []Load) Evaluation {
	m.now = max(now, m.now)
	for i := range uses {
		if s := m.servers[uses[i].ID]; s != nil {
			s.takeUse(&uses[i])
		}
	}
	m.forget()
	for i := range m.sites {
		m.look(i)
	}
	r := Evaluation{Changed: m.changed, Probes: m.probes, Transitions: m.news}
	m.changed, m.probes, m.news = nil, nil, nil
	return r
}

// forget drops failures that nothing has confirmed for long.
func (m *Monitor) forget() {
	for _, s := range m.servers {
		if s.bad > 0 && m.now-s.lastBad >= stale {
			s.bad = 0
		}
	}
}

// figures are what is known of the servers of a site that are used.
type figures struct {
	bad, good, rejected, of int
	from                    time.Duration // since when the failures tell
}

// signs weighs the failures of a site against the answers since the first of them. A failure of long ago is no part of what
// happens now, so as many of the latest are taken as speak most for a loss.
func (m *Monitor) signs(i int, each, against float64) (best figures, weight float64) {
	var since, good []time.Duration
	of, rejected := 0, 0
	for _, s := range m.sites[i].servers {
		switch {
		case !s.in:
			continue
		case s.bad > 0:
			since = append(since, s.bad)
		case s.good > 0:
			if good = append(good, s.good); s.rejected {
				rejected++
			}
		}
		of++
	}
	slices.Sort(since)
	slices.Sort(good)
	best, weight = figures{good: len(good), rejected: rejected, of: of}, math.Inf(-1)
	for k := 1; k <= len(since); k++ {
		from := since[len(since)-k]
		before, _ := slices.BinarySearch(good, from+1)
		f := figures{k, len(good) - before, rejected, of, from}
		if w := float64(k)*each - float64(f.good)*against; w > weight {
			best, weight = f, w
		}
	}
	return best, weight
}

// alone is how often a server fails by itself, as the other sites show it that are not lost.
func (m *Monitor) alone(but int) float64 {
	bad, of := float64(usualBad), float64(usualOf)
	for i := range m.sites {
		if i == but || !m.sites[i].open() {
			continue
		}
		for _, s := range m.sites[i].servers {
			if s.bad > 0 {
				bad++
			}
			if s.bad > 0 || s.good > 0 && m.now-s.good < stale {
				of++
			}
		}
	}
	return min(bad/of, 0.9)
}

// gone weighs whether a site's servers have failed together or one by one, and says whether they would hardly ever one by one.
func (m *Monitor) gone(i int) (f figures, gone bool) {
	p := m.alone(i)
	f, weight := m.signs(i, math.Log((1-deaf)/p), math.Log((1-p)/deaf))
	// Where all have failed there is nothing to be lost by saying so.
	return f, f.bad >= 2 && (f.bad == f.of || weight >= math.Log(1/alarm))
}

// stands says that a site other than one has answered since a time, and is not gone itself.
func (m *Monitor) stands(but int, since time.Duration) bool {
	for i := range m.sites {
		if i == but || m.sites[i].state == Lost || m.sites[i].state == Evacuated {
			continue
		}
		for _, s := range m.sites[i].servers {
			if s.in && s.bad == 0 && s.good > since {
				if _, gone := m.gone(i); !gone {
					return true
				}
			}
		}
	}
	return false
}

// look decides on one site.
func (m *Monitor) look(i int) {
	s := &m.sites[i]
	switch s.state {
	case Lost:
		m.ask(i)
	case Recovering:
		m.proceed(i)
	case Evacuated:
		m.leave(i)
	default:
		if s.times > 0 && m.now-max(s.healed, s.since) >= trustAfter {
			s.times, s.healed = s.times/2, m.now
		}
		f, gone := m.gone(i)
		switch {
		case gone && m.stands(i, f.from):
			m.lose(i, fmt.Sprintf("%d of %d servers failed within %v, %d answered", f.bad, f.of, (m.now-f.from).Round(time.Millisecond), f.good))
		case gone:
			m.turnTo(i, AgentIsolated, "its servers fail, and no other site answers")
		case f.bad >= 2 && f.bad > f.good:
			m.turnTo(i, Suspect, fmt.Sprintf("%d of %d servers failed, %d answered", f.bad, f.of, f.good))
		case f.rejected > 0 && 2*f.rejected > f.bad+f.good:
			m.turnTo(i, Overloaded, fmt.Sprintf("%d of %d servers turned away what came last", f.rejected, f.of))
		default:
			m.turnTo(i, Healthy, "its servers answer")
		}
	}
}

// turnTo changes a site's state.
func (m *Monitor) turnTo(i int, to State, why string) {
	s := &m.sites[i]
	if s.state == to {
		return
	}
	c := Transition{m.now, m.set.Names[i], s.state, to, why}
	if m.history = append(m.history, c); len(m.history) > MaxHistory {
		m.history = m.history[1:]
	}
	m.news = append(m.news, c)
	s.state, s.since = to, m.now
	m.admit(i)
}

// lose withdraws a site.
func (m *Monitor) lose(i int, why string) {
	s := &m.sites[i]
	m.remember(i)
	s.times, s.healed, s.let, s.asked, s.heard = s.times+1, m.now, 0, false, 0
	s.losses++
	// Agents that found it lost together must not ask together.
	s.retry = m.now + time.Duration(float64(m.wait(s))*(0.75+m.rng.Float64()/2))
	m.turnTo(i, Lost, why)
}

// wait is how long a site is left alone that was lost so often.
func (m *Monitor) wait(s *site) time.Duration {
	return min(MaxRetryWait, MinRetryWait<<min(s.times-1, 10))
}

// remember notes what a site carried before it is withdrawn.
func (m *Monitor) remember(i int) {
	sum := 0.0
	for j := range m.sites {
		u, _ := m.sustains(j)
		sum += u
	}
	if u, _ := m.sustains(i); sum > 0 && m.sites[i].open() {
		m.sites[i].lastUse, m.sites[i].share = u, u/sum
	}
}

// carries is what a site's servers that are used have in work, and what they serve at once.
func (m *Monitor) carries(i int) (held, room float64) {
	for _, s := range m.sites[i].servers {
		if s.in {
			held, room = held+s.use.InFlight, room+s.use.Capacity
		}
	}
	return held, room
}

// sustains is what a site's servers that are used have in work over a longer time, and what they serve
// at once. Plans go by it: with few requests a second, what is in work at a moment says little.
func (m *Monitor) sustains(i int) (held, room float64) {
	for _, s := range m.sites[i].servers {
		if s.in {
			held, room = held+s.mean, room+s.use.Capacity
		}
	}
	return held, room
}

// takeUse takes in what is in work at a server: a moving mean over some ten looks, and one over
// meanLooks, which at first is the plain mean of those that there are.
func (s *server) takeUse(u *Load) {
	s.use.InFlight += 0.1 * (u.InFlight - s.use.InFlight)
	s.use.Capacity = u.Capacity
	s.looks = min(s.looks+1, meanLooks)
	s.mean += (u.InFlight - s.mean) / float64(s.looks)
}

var (
	// ErrNoSite is a name that no site has.
	ErrUnknownSite = errors.New("there is no such site")
	// ErrLast is a site that can't be taken out as the others could not carry what it carries.
	ErrInsufficientCapacity = errors.New("the other sites could not carry the load")
)
