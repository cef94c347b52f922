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

// The state of a Balancer, its construction, and the events that move it.

type server struct {
	ServerEntry
	rank     float64 // place on the ring of all servers
	pace     ewma.Server
	built    float64       // speed in the present line
	used     time.Duration // when it last answered over a connection, 0 if never
	inFlight int           // own attempts out
	silent   int           // of these, those that have been silent for longer than the patience
	since    int           // sends since the last report
	load     Load          // its last report
	loadAt   time.Duration
	probing  bool
	room     limit.Concurrency // where servers report nothing: how many attempts it answers in time
	others   float64           // attempts that other agents say they have out,
	theirs   float64           // and the limit that they have learnt
	full     time.Duration     // passed by until then: it had no room
	health   []outlier.Record  // by class
}

type attempt struct {
	server *server
	sent   time.Duration
	blamed float64 // for its silence
	checks int     // for it
	out    bool
	ran    bool // may have run
	spent  bool // arrived: one more is one beyond the request's first
}

// lost says that its server, which has reported since, holds less than this agent alone has sent it.
func (a *attempt) lost() bool {
	s := a.server
	return s.load.Known && s.loadAt > a.sent && s.load.InFlight >= 0 && s.load.InFlight < float64(s.inFlight)
}

type request struct {
	id            RequestID
	class         *class
	tenant        int
	deadline, aim time.Duration
	attempts      []attempt
	out           int // attempts out
	ended         bool
	held          int // by the server of an attempt: 1, or 0 while its last byte is to come
	draws         int
	a, c          *server // the pair drawn last
	asked         *server // of these, the one whose probe it waits for, nil if it waits for none
	looks         int     // probes that it has waited for since the draw
}

type class struct {
	Class
	index int
	first time.Duration // how long a client's first try waits
	usual weighted.Mean // time of an answer, seconds
	line  line
	home  line // of it, those in the agent's own zone
}

// line is what the requests of one class are drawn from: only servers that are open to it.
type line struct {
	servers  []*server     // in the design's order
	mu       []float64     // their present speeds
	speeds   weighted.Sums // of these
	pairs    weighted.Sums // of the pairs' weights
	pass     []float64     // chance that a send to a server is let through while it is cold
	usualSum float64       // speed of the line when all of it is warm, its highest of late
	epoch    int           // of the Balancer when it was built
	next     time.Duration // when time alone changes it
}

// Balancer decides for one agent. It is not safe for concurrent use.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	out      []Action
	classes  []class
	servers  map[ServerID]*server
	ring     []*server  // all servers, by rank
	epoch    int        // counts the changes that are worth new lines
	fleet    ewma.Fleet // how fast its servers are
	width    limit.Width
	room     weighted.Mean // limit of the servers that have answered, where they report nothing
	open     map[RequestID]*request
	waiting  []*request    // for probes
	service  weighted.Mean // time of an answer, seconds
	queue    weighted.Mean // reported queue for each request served at once
	herd     float64       // from 0, this agent is alone, to 1, others send nearly all
	crowd    float64       // between crowdAlone and crowd
	lost     float64       // share of requests not served within their aim
	pressure limit.Pressure
	mix      limit.TenantMix
	worth    float64      // mean worth of the classes
	budget   limit.Budget // of retries
	asks     int          // failed calls for the list in a row
	logs     int          // lines since logsFrom
	logsFrom time.Duration
}

// New returns a Balancer that knows no server yet. Its error names the setting that cannot be right.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	if s.ExtraWindow == 0 {
		s.ExtraWindow, s.ExtraFloor, s.ExtraRatio = seconds(retrySpan), retryFloor, retryRatio
	}
	b := &Balancer{
		set: s, rng: rand.New(rand.NewPCG(seed, 0)), epoch: 1, servers: map[ServerID]*server{},
		open: map[RequestID]*request{}, mix: limit.NewTenantMix(len(s.Tenants)),
	}
	// What a server is sent by others between its report and a request is unknown, and grows with their number.
	b.herd = 1 - 1/math.Sqrt(float64(s.Agents))
	b.crowd = crowdAlone + (crowd-crowdAlone)*b.herd
	b.room.V, b.width.Told = math.Inf(1), s.Width
	for _, c := range s.Classes {
		usual := weighted.Mean{V: c.Aim.Seconds() / 3, Known: true}
		b.classes = append(b.classes, class{Class: c, index: len(b.classes), usual: usual})
		b.worth += c.Worth / float64(len(s.Classes))
	}
	return b, nil
}

func (b *Balancer) act(a Action) { b.out = append(b.out, a) }

// log writes a line for the operators, 20 in any minute: one agent must not drown the others' lines.
func (b *Balancer) log(format string, args ...any) {
	if b.now-b.logsFrom >= time.Minute {
		b.logsFrom, b.logs = b.now, 0
	}
	if b.logs++; b.logs <= 20 {
		b.act(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
	}
}

// Handle takes one event and appends what must be done to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = max(now, b.now), out
	switch ev.Kind {
	case EventList:
		b.onList(&ev)
	case EventRequest:
		b.onRequest(&ev)
	case EventOutcome:
		b.onOutcome(&ev)
	case EventClientGone:
		if r := b.open[ev.Request]; r != nil {
			b.end(r, false)
		}
	case EventBodyReceived:
		b.onArrived(&ev)
	case EventTimer:
		b.onTimer(&ev)
	case EventProbeResult:
		b.onProbed(&ev)
	case EventPeerLoad:
		if s := b.servers[ev.Server]; s != nil {
			s.others, s.theirs = ev.PeerInFlight, ev.PeerLimit
		}
	}
	out, b.out = b.out, nil
	return out
}

// What a timer is for; a request and its attempt stand in the lower bits.
const (
	tokenAsk   = 1 << 56
	tokenWait  = 2 << 56
	tokenCheck = 3 << 56
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
