package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/standin/network"
)

// Member is one backend as discovery lists it.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	UpSince float64 `json:"up_since_ms"`

	Process  int    `json:"-"` // of the backend
	revision uint64 // at which this was new
}

var states = map[string]rules.State{"Ready": rules.Ready, "Terminating": rules.Draining, "Gone": rules.Gone}

// ListTrouble is what is wrong with discovery.
type ListTrouble uint8

// The troubles of discovery.
const (
	ListsWell    ListTrouble = iota
	ListsRefuse              // calls are answered 503, and watches end
	ListsSilent              // calls are never answered
	ListsGarbled             // answers can't be read, or not used
)

// Discovery is a stand-in for discovery. It serves each agent at an address of its own.
type Discovery struct {
	log *Log
	net *network.Network
	// Via, if set, is where an agent reaches an address: it is told that instead. It is set before anybody is served.
	Via func(agent, addr string) string

	mu       sync.Mutex
	members  map[string]Member // with tombstones of those that are gone
	revision uint64
	changed  chan struct{} // closed with the next change
	trouble  ListTrouble
	garbled  int
	lines    int       // that it can send in a second; 0 for any number
	debt     float64   // lines that it has promised and not sent yet,
	debtAt   time.Time // at this time
	servers  []*http.Server
	current  map[string]net.Listener      // by agent
	known    map[string]map[string]Member // by agent, what it has been told
	closing  context.Context
	close    context.CancelFunc
}

// callLines is the work of a call beside the lines that it is answered with.
const callLines = 20

// mostDebt is how long a call would wait for its turn at most; one that would wait longer is turned away.
const mostDebt = 500 * time.Millisecond

// takes says whether there is capacity for a call that is answered with so many lines. The mutex is held.
func (d *Discovery) takes(answer int) bool {
	if d.lines == 0 {
		return true
	}
	now := time.Now()
	d.debt = max(0, d.debt-now.Sub(d.debtAt).Seconds()*float64(d.lines))
	d.debtAt = now
	if d.debt > mostDebt.Seconds()*float64(d.lines) {
		return false
	}
	d.debt += float64(callLines + answer)
	return true
}

// NewDiscovery returns a discovery that knows no backend and can send so many lines in a second, or any number if that is 0.
func NewDiscovery(n *network.Network, log *Log, lines int) *Discovery {
	ctx, cancel := context.WithCancel(context.Background())
	return &Discovery{
		log: log, net: n, lines: lines, members: map[string]Member{}, revision: 1, changed: make(chan struct{}),
		current: map[string]net.Listener{}, known: map[string]map[string]Member{}, closing: ctx, close: cancel,
	}
}

// moveGrace is how long the connections at an address stay open that an agent has been moved away from.
const moveGrace = 1500 * time.Millisecond

// Serve begins to serve an agent and returns the address for it. One that it had before takes no new connection.
func (d *Discovery) Serve(agent string) (addr string, err error) {
	listener, err := d.net.Listen()
	if err != nil {
		return "", err
	}
	s := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.call(agent, w, r) }),
		BaseContext: func(net.Listener) context.Context { return d.closing },
	}
	d.mu.Lock()
	if old := d.current[agent]; old != nil {
		old.Close()
		before := d.servers[slices.IndexFunc(d.servers, func(s *http.Server) bool { return s.Addr == old.Addr().String() })]
		time.AfterFunc(moveGrace, func() { before.Close() })
	}
	s.Addr = listener.Addr().String()
	d.servers, d.current[agent] = append(d.servers, s), listener
	d.mu.Unlock()
	go s.Serve(listener)
	return listener.Addr().String(), nil
}

// Close ends all service.
func (d *Discovery) Close() {
	d.close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.Close()
	}
}

// Set lists a member, or changes what is listed of it.
func (d *Discovery) Set(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	m.revision = d.revision
	d.members[m.ID] = m
	d.log.Add(rules.Record{Kind: rules.Listed, Backend: m.ID, Process: m.Process, State: states[m.Phase]})
	d.wake()
}

// wake has all watches look again. The mutex is held.
func (d *Discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetTrouble puts discovery in trouble, or out of it.
func (d *Discovery) SetTrouble(t ListTrouble) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trouble = t
	kind := rules.ListDown
	if t == ListsWell {
		kind = rules.ListUp
	}
	d.log.Add(rules.Record{Kind: kind})
	d.wake()
}

// Restart has discovery forget its revisions: they begin anew, lower than those that agents hold.
func (d *Discovery) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = 1
	for id, m := range d.members {
		if m.Phase == "Gone" {
			delete(d.members, id)
			continue
		}
		m.revision = 1
		d.members[id] = m
	}
	d.wake()
}

// Known is the list as an agent last had it, which its next configuration holds; the present one for a new agent.
func (d *Discovery) Known(agent string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.known[agent]; known != nil {
		return d.encode(agent, 1, true, slices.SortedFunc(maps.Values(known), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) }))
	}
	text, _ := d.list(agent, 0)
	return text
}

// list is the answer to a call for what is newer than a revision; 0 for the whole list. The mutex is held.
func (d *Discovery) list(agent string, after uint64) (text []byte, members []Member) {
	for _, id := range slices.Sorted(maps.Keys(d.members)) {
		if m := d.members[id]; m.revision > after && (after > 0 || m.Phase != "Gone") {
			members = append(members, m)
		}
	}
	return d.encode(agent, d.revision, after == 0, members), members
}

func (d *Discovery) encode(agent string, revision uint64, complete bool, members []Member) []byte {
	if d.Via != nil {
		members = slices.Clone(members)
		for i := range members {
			members[i].Addr = d.Via(agent, members[i].Addr)
		}
	}
	text, _ := json.Marshal(struct { // which has a JSON form
		Revision uint64   `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}{revision, complete, members})
	return text
}

// garbage is what discovery says when its answers are garbled.
var garbage = []string{
	`{"revision":`,
	`[]`,
	`{"revision":7,"complete":true,"members":[{"id":"x","phase":"Odd"}]}`,
	`{"complete":true,"members":[]}`,
	`{"revision":-1,"complete":true}`,
	`{"revision":9,"complete":true,"members":[{"id":"x","host_port":"nowhere","phase":"Ready"}]}`,
	"\x00\x01\x02",
}

func (d *Discovery) call(agent string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != listPath {
		http.NotFound(w, r)
		return
	}
	var after uint64
	var over <-chan time.Time
	if q := r.URL.Query(); q.Get("after") != "" {
		var err error
		if after, err = strconv.ParseUint(q.Get("after"), 10, 64); err != nil {
			http.Error(w, "after is no revision", http.StatusBadRequest)
			return
		}
		if ms, err := strconv.Atoi(q.Get("wait_ms")); err == nil && ms > 0 {
			over = time.After(time.Duration(min(ms, 60_000)) * time.Millisecond)
		}
	}
	for {
		d.mu.Lock()
		trouble, changed, news := d.trouble, d.changed, d.revision != after
		d.mu.Unlock()
		switch {
		case trouble == ListsRefuse:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case trouble == ListsSilent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case trouble == ListsGarbled:
			d.mu.Lock()
			text := garbage[d.garbled%len(garbage)]
			d.garbled++
			d.mu.Unlock()
			select { // nobody is told nonsense faster than this
			case <-time.After(50 * time.Millisecond):
			case <-r.Context().Done():
			}
			w.Write([]byte(text))
			return
		case news || after == 0 || over == nil:
			d.tell(agent, w, after)
			return
		}
		select {
		case <-changed:
		case <-over:
			over = nil
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// tell writes an answer and takes down what the agent has been told by it.
func (d *Discovery) tell(agent string, w http.ResponseWriter, after uint64) {
	d.mu.Lock()
	if after > d.revision {
		// Its revision is of another life of discovery: there is nothing newer, and the agent sees that.
		after = d.revision
	}
	text, members := d.list(agent, after)
	if !d.takes(len(members)) {
		d.mu.Unlock()
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	complete := after == 0
	var gone []Member
	if complete {
		for _, id := range slices.Sorted(maps.Keys(d.members)) {
			if m := d.members[id]; m.Phase == "Gone" {
				gone = append(gone, m)
			}
		}
	}
	d.mu.Unlock()
	if _, err := w.Write(text); err != nil {
		return
	}
	d.mu.Lock()
	known := d.known[agent]
	if known == nil || complete {
		known = map[string]Member{}
		d.known[agent] = known
	}
	for _, m := range members {
		if known[m.ID] = m; m.Phase == "Gone" {
			delete(known, m.ID)
		}
	}
	d.mu.Unlock()
	for _, m := range append(members, gone...) {
		d.log.Add(rules.Record{Kind: rules.Told, Agent: agent, Backend: m.ID, Process: m.Process, State: states[m.Phase]})
	}
}
