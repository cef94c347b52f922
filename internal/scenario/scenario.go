// Package scenario reads the files that describe a day: a fleet, what is asked of it over time, and what fails when.
package scenario

import (
	"embed"
	"io/fs"
	"slices"
	"time"

	"example.org/micaline/internal/tomlfile"
)

// Duration is a time in Go's notation, such as "250ms".
type Duration = tomlfile.Duration

// Scenario is one day.
type Scenario struct {
	Name      string
	About     string
	For       Duration
	Agents    int
	Net       Net
	Backends  []Backends
	Classes   []Class
	Accounts  []Account
	Load      []Load
	Clients   Clients
	Discovery Discovery
	Limits    Limits
	Rules     Rules
	Faults    []Fault `toml:"fault"`
}

// Net is the network when nothing is wrong.
type Net struct {
	Delay  Duration // one way
	Jitter Duration // on top, up to so much
}

// Backends are some that are alike.
type Backends struct {
	Kind        string
	Count       int
	Zone        string
	CellSize    int `toml:"cell_size"` // backends that share a memory of keys
	Cores       int
	Speed       float64 // of a core; 1 is standard
	Slots       int     // requests in work at once, per backend
	Room        int     // that may wait
	Connections int     // accepted; 0 for any number
	Handshake   Duration
	Probe       Duration // work of a probe
	IdleClose   Duration `toml:"idle_close"`
	ErrorRate   float64  `toml:"error_rate"`
}

// Class is one kind of request.
type Class struct {
	Name     string
	Share    float64
	Aim      Duration
	Deadline Duration
	Work     Duration // mean, on a standard core
	Spread   float64  // sigma of its lognormal distribution
	Worth    float64
	Effect   string // safe, keyed or unsafe
	Scope    string // of keyed: all, zone or cell
	Window   Duration
	Body     int // bytes of a request's, about
	Answer   int // bytes of an answer's
}

// Account is one who asks.
type Account struct {
	Name  string
	Share float64
}

// Load is a point of the load's course, which is straight between points.
type Load struct {
	At   Duration
	Rate float64 // operations a second, of all clients together
}

// Clients are what callers are like.
type Clients struct {
	Retries   int
	Backoff   Duration
	TryShare  float64 `toml:"try_share"` // of the deadline that a try may take
	Honour    float64 // share that waits as Retry-After says
	HangUp    float64 `toml:"hang_up"` // share of tries that are left before their time
	Elsewhere bool    // they ask the next agent when theirs can't be reached
	Rude      float64 // rude requests for each proper one
	Skew      float64 // times that the busiest agent's clients ask for what the quietest's do
}

// Discovery is how news of the fleet travels.
type Discovery struct {
	Mode   string   // push or ask
	Notice Duration // until a change is listed
	Lines  int      // that it can send in a second, each call counting for 20 besides; it turns away what is more. 0 for any number
}

// Limits are what agents may do.
type Limits struct {
	MaxAttempts    int      `toml:"max_attempts"`
	ConnectTimeout Duration `toml:"connect_timeout"`
	Probes         bool
	ProbePrice     float64  `toml:"probe_price"` // of a probe, as a part of a request's worth
	CrossPrice     float64  `toml:"cross_price"` // of a request that leaves its agent's zone, likewise
	SecondCopies   bool     `toml:"second_copies"`
	Reports        string   // probe, answers or none
	Sites          bool     // agents watch their sites, and withdraw lost ones
	Peers          bool     // agents may send one another messages; in virtual time only
	PeerDelay      Duration `toml:"peer_delay"` // of these, on the mean
	PeerLoss       float64  `toml:"peer_loss"`  // share that is lost
	MemoryMB       int      `toml:"memory_mb"`
	Sockets        int
}

// Rules are the figures of the four rules.
type Rules struct {
	Slack          Duration // by which each time limit is longer
	DrainGrace     Duration `toml:"drain_grace"`
	ColdFrom       float64  `toml:"cold_from"`
	WarmAfter      Duration `toml:"warm_after"`
	OverloadFactor float64  `toml:"overload_factor"`
	OverloadFor    Duration `toml:"overload_for"`
}

// standard is what a file that leaves something out means by it.
func standard() Scenario {
	return Scenario{
		For: Duration(12 * time.Second), Agents: 3,
		Net:       Net{Delay: Duration(200 * time.Microsecond), Jitter: Duration(50 * time.Microsecond)},
		Clients:   Clients{Skew: 1, Retries: 2, Backoff: Duration(60 * time.Millisecond), TryShare: 0.65, Honour: 0.85, HangUp: 0.005},
		Discovery: Discovery{Mode: "push", Notice: Duration(600 * time.Millisecond)},
		Limits: Limits{
			MaxAttempts: 3, ConnectTimeout: Duration(250 * time.Millisecond), Probes: true, SecondCopies: true,
			Reports: "probe", PeerDelay: Duration(8 * time.Millisecond), MemoryMB: 192, Sockets: 1024,
		},
		Rules: Rules{
			Slack: Duration(50 * time.Millisecond), DrainGrace: Duration(2 * time.Second), ColdFrom: 0.32,
			WarmAfter: Duration(4 * time.Second), OverloadFactor: 2.5, OverloadFor: Duration(time.Second),
		},
	}
}

// fill adds the lists that a file leaves out. They are no part of standard, as a file's would be added to them.
func (s *Scenario) fill() {
	if len(s.Backends) == 0 {
		s.Backends = []Backends{
			{Kind: "fast", Count: 2, Speed: 1.6}, {Kind: "std", Count: 2, Speed: 1}, {Kind: "slow", Count: 3, Speed: 0.6},
		}
	}
	for i := range s.Backends {
		b := &s.Backends[i]
		set(&b.Zone, "a")
		set(&b.Kind, "std")
		set(&b.CellSize, 4)
		set(&b.Cores, 1)
		set(&b.Speed, 1)
		set(&b.Slots, b.Cores)
		set(&b.Room, 20)
		set(&b.Handshake, Duration(4*time.Millisecond))
		set(&b.Probe, Duration(100*time.Microsecond))
		set(&b.IdleClose, Duration(30*time.Second))
	}
	if len(s.Classes) == 0 {
		s.Classes = []Class{
			{Name: "status-update", Share: 0.7, Aim: Duration(500 * time.Millisecond), Deadline: Duration(time.Second),
				Work: Duration(50 * time.Millisecond), Spread: 0.8, Worth: 5, Effect: "keyed", Scope: "cell", Window: Duration(600 * time.Millisecond)},
			{Name: "delivery-close", Share: 0.2, Aim: Duration(600 * time.Millisecond), Deadline: Duration(2500 * time.Millisecond),
				Work: Duration(65 * time.Millisecond), Spread: 0.8, Worth: 2, Effect: "unsafe"},
			{Name: "tour", Share: 0.1, Aim: Duration(500 * time.Millisecond), Deadline: Duration(time.Second),
				Work: Duration(40 * time.Millisecond), Spread: 0.8, Worth: 1, Effect: "safe"},
		}
	}
	for i := range s.Classes {
		set(&s.Classes[i].Scope, "all")
		set(&s.Classes[i].Worth, 1)
	}
	if len(s.Accounts) == 0 {
		s.Accounts = []Account{{"farmacia", 0.7}, {"livraria", 0.3}}
	}
	if len(s.Load) == 0 {
		s.Load = []Load{{0, 20}}
	}
}

func set[T comparable](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}

// Error is what is wrong with a file, and where.
type Error = tomlfile.Error

// Parse reads and checks the text of a file. Its error is an *Error.
func Parse(text []byte) (*Scenario, error) {
	s := standard()
	if err := tomlfile.Decode(text, &s); err != nil {
		return nil, err
	}
	s.fill()
	if e := s.check(); e != nil {
		e.Line = tomlfile.LineOf(text, e.Field)
		return nil, e
	}
	return &s, nil
}

// Rate is the load at a time of the day.
func (s *Scenario) Rate(at time.Duration) float64 {
	i, _ := slices.BinarySearchFunc(s.Load, at, func(l Load, at time.Duration) int { return int(l.At.D() - at) })
	switch {
	case i == 0:
		return s.Load[0].Rate
	case i == len(s.Load):
		return s.Load[i-1].Rate
	}
	from, to := s.Load[i-1], s.Load[i]
	part := float64(at-from.At.D()) / float64(to.At-from.At)
	return from.Rate + part*(to.Rate-from.Rate)
}

// SetBackends changes how many backends there are, and keeps the parts of their kinds as far as that goes.
func (s *Scenario) SetBackends(n int) {
	total, left := 0, n
	for _, b := range s.Backends {
		total += b.Count
	}
	for i := range s.Backends {
		b := &s.Backends[i]
		was := b.Count
		b.Count = (was*left + total/2) / total // of those that are left, as its kind's part of the rest
		total, left = total-was, left-b.Count
	}
	s.Backends = slices.DeleteFunc(s.Backends, func(b Backends) bool { return b.Count == 0 })
	for i := range s.Faults {
		if f := &s.Faults[i]; !f.HitsAgents() && !f.HitsAll() {
			f.Count = min(f.Count, n)
		}
	}
}

// Check says what is wrong with a scenario that was changed after it was read. Its error is an *Error.
func (s *Scenario) Check() error {
	if e := s.check(); e != nil {
		return e
	}
	return nil
}

// Scale changes the load and the length of the day: faults and load keep their places in it.
func (s *Scenario) Scale(rate float64, length time.Duration) {
	stretch := float64(length) / float64(s.For)
	for i := range s.Load {
		s.Load[i].Rate *= rate
		s.Load[i].At = Duration(float64(s.Load[i].At) * stretch)
	}
	for i := range s.Faults {
		s.Faults[i].At = Duration(float64(s.Faults[i].At) * stretch)
	}
	s.For = Duration(length)
}

//go:embed days/*.toml
var days embed.FS

// Shipped returns the scenarios that come with the program, by name.
func Shipped() []*Scenario {
	files, _ := fs.Glob(days, "days/*.toml")
	var all []*Scenario
	for _, file := range files {
		text, _ := days.ReadFile(file)
		s, err := Parse(text)
		if err != nil {
			panic(file + ": " + err.Error()) // a test reads them all
		}
		all = append(all, s)
	}
	return all
}
