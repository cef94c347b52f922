// Package relay puts a link with faults between two real processes.
//
// A Link listens at one TCP address and passes on to another, on loopback. Whoever dials the first
// address reaches the process at the second, as long as the link lets it. A link can be cut in one
// direction or both, which holds bytes up and says nothing, as a lost network does; it can refuse
// new connections, reset those that are open, and apply a Fault to what comes next in a direction:
// lose it, end the stream after some bytes, send bytes twice, or hold them up for a while.
//
// A connection that is accepted while the link is cut towards the server is not opened there until
// the cut ends. Its bytes wait, in order, also where the client has gone meanwhile. So a process
// that stood still, and whose kernel went on accepting, is reproduced as well.
//
// Random faults are drawn from a seed for each chunk that is read. How a stream is split into
// chunks is the kernel's choice, so a seed fixes the draws and not the run.
package relay

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Direction is where bytes of a link go. Both is for calls that mean the two of them.
type Direction uint8

// The directions.
const (
	ToServer Direction = 1 << iota
	ToClient
	Both = ToServer | ToClient
)

// Action is what a Fault does.
type Action uint8

// The actions. The byte counts of a Fault are from where it begins to act.
const (
	Silence   Action = iota + 1 // pass After bytes, then nothing more; the connection stays open
	Truncate                    // pass After bytes, then end both directions in order
	Reset                       // pass After bytes, then reset both ends
	Duplicate                   // pass what was read twice
	Delay                       // hold what was read, and all behind it, for Wait
)

// Fault is one disturbance of one connection in one direction.
type Fault struct {
	Action Action
	After  int           // bytes
	Wait   time.Duration // of a Delay
}

const (
	chunkBytes  = 16 << 10
	dialTimeout = time.Second
	mostOpen    = 4096 // connections of a link
	mostQueued  = 256  // faults that wait for their turn, in a direction
)

// Link passes connections on. All methods are safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	rng     *rand.Rand
	cut     Direction
	refuse  bool
	closed  bool
	changed chan struct{} // closed and replaced whenever one of the above changes
	next    map[Direction][]Fault
	chance  float64
	random  []Fault
	open    map[*connection]bool
	passed  int
	faults  int
	running sync.WaitGroup
}

// Listen opens a link: what dials address reaches target.
func Listen(address, target string, seed uint64) (*Link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, rng: rand.New(rand.NewPCG(seed, 0)),
		changed: make(chan struct{}), next: map[Direction][]Fault{}, open: map[*connection]bool{}}
	l.running.Go(l.accept)
	return l, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut holds up all bytes in a direction from now on, besides what is cut already.
func (l *Link) Cut(d Direction) { l.change(func() { l.cut |= d }) }

// Heal ends all cuts; what was held up goes on.
func (l *Link) Heal() { l.change(func() { l.cut = 0 }) }

// Refuse has new connections reset at once, or accepted again.
func (l *Link) Refuse(refuse bool) { l.change(func() { l.refuse = refuse }) }

// Reset resets all connections that are open.
func (l *Link) Reset() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
}

// Next queues faults in a direction. Each is taken by the connection that next carries bytes there.
// It reports false, and queues none, where too many wait already.
func (l *Link) Next(d Direction, faults ...Fault) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.next[d])+len(faults) > mostQueued {
		return false
	}
	l.next[d] = append(l.next[d], faults...)
	return true
}

// Random has each chunk that is read meet one of the faults with a chance; 0 ends that. An After of
// a fault that is drawn is drawn as well, up to its value.
func (l *Link) Random(chance float64, faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chance, l.random = chance, faults
}

// Clear takes back the faults that wait for their turn, and says how many there were.
func (l *Link) Clear() (waited int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, queue := range l.next {
		waited += len(queue)
	}
	clear(l.next)
	return waited
}

// Counts says how many connections were opened to the target, and how many faults were applied.
func (l *Link) Counts() (connections, faults int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed, l.faults
}

// Close ends the link and all its connections, and returns once they have ended.
func (l *Link) Close() error {
	l.change(func() { l.closed = true })
	err := l.listener.Close()
	l.Reset()
	l.running.Wait()
	return err
}

func (l *Link) countOpened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passed++
}

func (l *Link) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

// passes waits until bytes may go in a direction. It reports false once the link or the connection
// has ended.
func (l *Link) passes(d Direction, ended <-chan struct{}) bool {
	for {
		l.mu.Lock()
		closed, cut, changed := l.closed, l.cut&d != 0, l.changed
		l.mu.Unlock()
		if closed || !cut {
			return !closed
		}
		select {
		case <-changed:
		case <-ended:
			return false
		}
	}
}

// fault is the next one for a chunk of n bytes, if there is one.
func (l *Link) fault(d Direction, n int) (f Fault, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if queue := l.next[d]; len(queue) > 0 {
		f, l.next[d] = queue[0], queue[1:]
	} else if len(l.random) > 0 && l.rng.Float64() < l.chance {
		f = l.random[l.rng.IntN(len(l.random))]
		f.After = min(l.rng.IntN(f.After+1), n)
	} else {
		return Fault{}, false
	}
	l.faults++
	return f, true
}

// again puts a fault back at the head of its queue, with what is left of its count.
func (l *Link) again(d Direction, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults--
	l.next[d] = append([]Fault{f}, l.next[d]...)
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		c := &connection{link: l, client: client, ended: make(chan struct{})}
		l.mu.Lock()
		ok := !l.closed && !l.refuse && len(l.open) < mostOpen
		if ok {
			l.open[c] = true
			l.running.Go(c.run)
		}
		l.mu.Unlock()
		if !ok {
			abort(client)
		}
	}
}
