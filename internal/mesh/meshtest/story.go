package meshtest

import (
	"slices"
	"sync"
	"time"
)

// Kind is what a route says of repeats.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"
	Unsafe Kind = "unsafe"
	Upload Kind = "upload"
)

// Message is what a request is, as its sender wrote it or as a backend read it.
type Message struct {
	Method, Host, URI string
	Caller            string // the service of the machine on which it began; as read: Calling-Service
	Customer          string // for whom: as sent, whose key it brought; as read, Customer
	Body              uint64 // hash
}

// Answer is what somebody answered. A Status of 0 is none that was whole.
type Answer struct {
	Status int
	Try    string // echoed
	Seal   string
	Length int
	Body   uint64 // hash
}

// Try is one request of a client, or of a backend, to the agent of a machine.
type Try struct {
	ID string
	Message
	Kind      Kind
	Machine   string
	Sent, End time.Duration // End is 0 while it is under way
	Within    time.Duration // from Sent on, that its client waits
	Answer    Answer
	Silent    bool // it ended because its time was over, or because nobody took the connection
	Left      bool // its client closed the connection at End

	key string // that it brings; "": none
}

// Run is one request in work at one life of a backend.
type Run struct {
	Try string
	Message
	Backend, Service, Zone, Machine string
	Began, Ended                    time.Duration // Ended is 0 while it is in work
	Due                             time.Duration // when it ends if nobody breaks it off
	Within                          time.Duration // from Began on, that the backend was told to have; 0: nothing
	BackendEnded                    bool          // the life that had it in work ended
	Answer                          Answer        // as made; Status 0 if none was
}

// Span is from when until when something held. An Until of 0 is not yet.
type Span struct{ From, Until time.Duration }

func (s Span) overlaps(from, until time.Duration) bool {
	return s.From <= until && (s.Until == 0 || s.Until >= from)
}

// Trouble is that the process of a machine was out of order: killed, stopped or told to end, until
// it was started or continued. Of the core, which bears that one machine is away, it is each such
// moment, and the time in which it lacks a majority.
type Trouble struct {
	Machine string
	Core    bool
	Planned bool // told to end
	Span
}

// Evacuation is of a zone, from its acknowledgement until its end was asked for.
type Evacuation struct {
	Zone string
	Span
}

// Story is all that clients, backends and operators of a cluster saw. It is not safe for concurrent
// use.
type Story struct {
	Terms       Terms
	Tries       map[string]*Try
	Runs        []*Run
	Leaves      map[string]time.Duration // by life of a backend: when an agent acknowledged that it leaves
	Changes     []*Change
	Evacuations []*Evacuation
	Troubles    []*Trouble
	Began       time.Time    // when all times are counted from
	Tenants     int          // that the configuration has; their requests need a key
	Reports     []*UsageCall // that reached the platform
	Read        [][]Item     // what the core machines read back in the end, one each; nil: no answer came
	Broken      bool         // links between processes broke, so an answer may be lost on its way
	Over        bool         // more was to be kept than there is room for: no verdict
}

// mostKept bounds tries and runs: some hours at the usual rate, and some 200 MB.
const mostKept = 1 << 19

// record is a Story that many write to, and its clock.
type record struct {
	began time.Time
	mu    sync.Mutex
	story Story
}

func newRecord(t Terms) *record {
	began := time.Now()
	return &record{began: began, story: Story{Terms: t, Began: began, Tries: map[string]*Try{}, Leaves: map[string]time.Duration{}}}
}

// note changes the story at the present moment, so that entries are in the order of their times.
func (r *record) note(f func(now time.Duration, s *Story)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Since(r.began), &r.story)
}

// sent takes down that a request goes out. It says false if there is no room for it.
func (r *record) sent(t *Try) (ok bool) {
	r.note(func(now time.Duration, s *Story) {
		if len(s.Tries) >= mostKept {
			s.Over = true
			return
		}
		t.Sent, ok = now, true
		s.Tries[t.ID] = t
	})
	return ok
}

func (r *record) ended(t *Try, a Answer, silent bool) {
	r.note(func(now time.Duration, _ *Story) { t.End, t.Answer, t.Silent = now, a, silent })
}

// left takes down that a client closes its connection without an answer.
func (r *record) left(t *Try) {
	r.note(func(now time.Duration, _ *Story) { t.End, t.Silent, t.Left = now, true, true })
}

func (r *record) ran(run *Run) {
	r.note(func(now time.Duration, s *Story) {
		if run.Began = now; len(s.Runs) >= mostKept {
			s.Over = true
			return
		}
		s.Runs = append(s.Runs, run)
	})
}

// calm says whether neither a machine nor the core was in trouble from a while before one moment
// until another. Danger: what ends a trouble is noted when the process is started, and a process
// needs time to come up; Terms.InTouch covers that.
func (s *Story) calm(machine string, from, until time.Duration) bool {
	return s.without(machine, from, until, func(*Trouble) bool { return true })
}

// unharmed says likewise, but that a process was told to end is no excuse.
func (s *Story) unharmed(machine string, from, until time.Duration) bool {
	return s.without(machine, from, until, func(t *Trouble) bool { return !t.Planned })
}

func (s *Story) without(machine string, from, until time.Duration, counts func(*Trouble) bool) bool {
	return !slices.ContainsFunc(s.Troubles, func(t *Trouble) bool {
		return (t.Core || t.Machine == machine) && counts(t) && t.overlaps(from-s.Terms.InTouch, until)
	})
}

// last is when something last happened from which a bound counts.
func (s *Story) last() (at time.Duration) {
	for _, t := range s.Troubles {
		at = max(at, t.From, t.Until)
	}
	for _, c := range s.Changes {
		at = max(at, c.Acked)
	}
	for _, e := range s.Evacuations {
		at = max(at, e.From, e.Until)
	}
	for _, left := range s.Leaves {
		at = max(at, left)
	}
	return at
}
