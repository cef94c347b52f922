package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"example.org/micaline/internal/ewma"
	"example.org/micaline/internal/limit"
	"example.org/micaline/internal/outlier"
	"example.org/micaline/internal/weighted"
)

type server struct {
	ServerEntry
	position        float64 // position on the ring of all servers
	speed           ewma.Server
	poolWeight      float64       // weight in the current pools
	answeredAt      time.Duration // when it last answered over a connection, 0 if never
	inFlight        int           // own attempts in flight
	overdue         int           // of these, attempts without an answer for longer than the silence timeout
	sentSinceReport int           // attempts sent since the last report
	load            Load          // last report
	reportedAt      time.Duration
	probePending    bool
	concurrency     limit.ConcurrencyLimit // without reports: limit on attempts in flight, learned from its answers
	peerInFlight    float64                // attempts in flight from other agents,
	peerLimit       float64                // and the limit that they have learned
	avoidUntil      time.Duration          // not used until then: it had no capacity
	health          []outlier.Record       // by class
}

type attempt struct {
	server        *server
	sent          time.Duration
	failureScore  float64 // added to the server's failure score for its silence
	silenceChecks int     // times that the silence timeout has passed
	pending       bool
	mayHaveRun    bool
	reachedServer bool // known to have reached the server: a further attempt is a retry
}

// presumedLost says that the server has since reported fewer requests than this agent alone has in flight there.
func (a *attempt) presumedLost() bool {
	s := a.server
	return s.load.Known && s.reportedAt > a.sent && s.load.InFlight >= 0 && s.load.InFlight < float64(s.inFlight)
}

type request struct {
	id                     RequestID
	class                  *class
	tenant                 int
	deadline, targetTime   time.Duration
	attempts               []attempt
	pending                int // attempts in flight
	ended                  bool
	inFlightWeight         int // of an attempt in its server's inFlight: 1, or 0 until the body has arrived
	draws                  int
	candidateA, candidateB *server // the pair drawn last
	awaitedProbe           *server // the candidate whose probe the request waits for, or nil
	probesAwaited          int     // probes that it has waited for since the draw
}

type class struct {
	Class
	index          int
	firstTryTime   time.Duration // how long a client's first try waits
	typicalLatency weighted.Mean // of an answer, seconds
	pool           pool
	localPool      pool // only servers of the agent's own zone
}

// pool is the servers that requests of one class are drawn from: He and Down's line variant of the power of two
// choices, in which only neighbors form a pair. docs/design.md lists the exceptions.
type pool struct {
	servers     []*server           // by base speed
	weights     []float64           // current weight of each server
	weightSums  weighted.PrefixSums // running sums of weights
	pairSums    weighted.PrefixSums // running sums of the pairs' weights
	admitChance []float64           // probability that a send to a server goes through, below 1 while it is cold
	peakSpeed   float64             // recent maximum of the pool's speed with all servers warm
	epoch       int                 // Balancer.epoch at the rebuild
	validUntil  time.Duration       // when the pool changes without an event
}

// Balancer decides for one agent. It is not safe for concurrent use.
type Balancer struct {
	cfg             Settings
	rng             *rand.Rand
	now             time.Duration
	actions         []Action
	classes         []class
	servers         map[ServerID]*server
	ring            []*server  // all servers, by position
	epoch           int        // counts changes that require new pools
	fleet           ewma.Fleet // learned speeds of the kinds of machine
	parallelism     limit.Parallelism
	concurrency     weighted.Mean // without reports: mean limit of the servers that have answered
	requests        map[RequestID]*request
	awaitingProbe   []*request
	serviceTime     weighted.Mean // of an answer, seconds
	queueRatio      weighted.Mean // reported waiting requests over parallelism
	peerUncertainty float64       // about load from other agents: 0 for a lone agent, near 1 among many
	queueFactor     float64       // between the constants queueFactor and queueFactorAlone
	missRate        float64       // share of requests not served within the target latency
	shedder         limit.ShedController
	tenantMix       limit.TenantMix
	meanWorth       float64 // mean Worth of the classes
	retryBudget     limit.RetryBudget
	listFailures    int // failed subscriptions in a row
	logLines        int // lines since logMinuteStart
	logMinuteStart  time.Duration
}

// New returns a Balancer without servers. Its error names the setting that is invalid.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	if s.ExtraWindow == 0 {
		s.ExtraWindow, s.ExtraFloor, s.ExtraRatio = seconds(retryWindow), retryFloor, retryRatio
	}
	b := &Balancer{
		cfg: s, rng: rand.New(rand.NewPCG(seed, 0)), epoch: 1, servers: map[ServerID]*server{},
		requests: map[RequestID]*request{}, tenantMix: limit.NewTenantMix(len(s.Tenants))}
	b.peerUncertainty = 1 - 1/math.Sqrt(float64(s.Agents)) // unseen load since a report grows with the number of agents
	b.queueFactor = queueFactorAlone + (queueFactor-queueFactorAlone)*b.peerUncertainty
	b.concurrency.Value, b.parallelism.Configured = math.Inf(1), s.Width
	for _, c := range s.Classes {
		typicalLatency := weighted.Mean{Value: c.Aim.Seconds() / 3, Known: true}
		b.classes = append(b.classes, class{Class: c, index: len(b.classes), typicalLatency: typicalLatency})
		b.meanWorth += c.Worth / float64(len(s.Classes))
	}
	return b, nil
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// log writes a log line, at most 20 a minute: one agent must not drown out the others.
func (b *Balancer) log(format string, args ...any) {
	if b.now-b.logMinuteStart >= time.Minute {
		b.logMinuteStart, b.logLines = b.now, 0
	}
	if b.logLines++; b.logLines <= 20 {
		b.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
	}
}

// Handle processes one event and appends the resulting actions to the given slice.
func (b *Balancer) Handle(now time.Duration, ev Event, actions []Action) []Action {
	b.now, b.actions = max(now, b.now), actions
	switch ev.Kind {
	case EventList:
		b.onList(&ev)
	case EventRequest:
		b.onRequest(&ev)
	case EventOutcome:
		b.onOutcome(&ev)
	case EventClientGone:
		if r := b.requests[ev.Request]; r != nil {
			b.finish(r, false)
		}
	case EventBodyReceived:
		b.onBodyReceived(&ev)
	case EventTimer:
		b.onTimer(&ev)
	case EventProbeResult:
		b.onProbeResult(&ev)
	case EventPeerLoad:
		if s := b.servers[ev.Server]; s != nil {
			s.peerInFlight, s.peerLimit = ev.PeerInFlight, ev.PeerLimit
		}
	}
	actions, b.actions = b.actions, nil
	return actions
}

// Purposes of timers, in the upper bits of the token; the lower bits hold the request and its attempt.
const (
	timerSubscribe = 1 << 56
	timerProbe     = 2 << 56
	timerSilence   = 3 << 56
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
