// Package network is the network between stand-ins and agents: in memory, where it keeps to a virtual clock, or over
// the machine's loopback addresses. What goes wrong on a link is the same on both: on loopback a link with trouble is
// a pair of sockets spliced through the connection in memory that the trouble happens on.
package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/micaline/internal/tcp"
)

// Conditions are what a link does to the connections dialed over it. The zero value is a perfect link.
type Conditions struct {
	Delay, Jitter time.Duration // one way; the jitter comes on top, up to so much
	Refuse        bool          // connections are refused
	Cut           bool          // nothing crosses and nobody is told: it waits, and connections never come up
	StallUp       bool          // what the dialer sends waits
	StallDown     bool          // what the dialer is sent waits
	Trickle       time.Duration // bytes arrive one by one, so far apart; 0 for at once
	Loss          float64       // share of what is sent that is lost and sent again, as TCP does
	// Break, if set, is asked for each write whether the connection ends within it. It may be called from several
	// goroutines at once.
	Break func(up bool, size int) (Ending, bool)
}

// Ending is how a connection ends within a write.
type Ending struct {
	After int  // bytes of the write that arrive
	Half  bool // the writer's side ends orderly and the other goes on; else both are reset
}

// Rule changes the conditions of the links that it matches. A link leads from a name to an address.
type Rule struct {
	Match  func(from, to string) bool
	Change func(*Conditions)
}

const (
	backlog = 512       // connections that wait to be accepted, as the kernel keeps some
	window  = 256 << 10 // bytes on their way in one direction; a writer waits for room
)

// Network connects listeners and dialers.
type Network struct {
	memory bool
	splice bool // sockets are spliced, so that trouble can come to them
	rules  map[*Rule]struct{}

	dice sync.Mutex // taken last
	rng  *rand.Rand // of jitter

	mu        sync.Mutex
	port      uint16
	listeners map[string]*listener
	conns     map[*Conn]struct{} // in memory, and those that are spliced
	sockets   map[*socket]struct{}
	relays    map[*Relay]struct{}
}

// NewMemory returns a network without sockets. All that is used on it must belong to one bubble of testing/synctest,
// or to none.
func NewMemory(seed uint64) *Network { return newNetwork(true, false, seed) }

// NewLoopback returns the network of the machine's loopback addresses. Where its links are to have trouble they must
// be spliced, which costs two more goroutines a connection; else they are plain sockets and rules do nothing.
func NewLoopback(seed uint64, splice bool) *Network { return newNetwork(false, splice, seed) }

// InMemory says that the network is one without sockets, which has no delay of its own.
func (n *Network) InMemory() bool { return n.memory }

func newNetwork(memory, splice bool, seed uint64) *Network {
	return &Network{
		memory: memory, splice: splice, rules: map[*Rule]struct{}{}, rng: rand.New(rand.NewPCG(seed, 2)), port: 10000,
		listeners: map[string]*listener{}, conns: map[*Conn]struct{}{}, relays: map[*Relay]struct{}{}, sockets: map[*socket]struct{}{},
	}
}

func (n *Network) random(below time.Duration) time.Duration {
	n.dice.Lock()
	defer n.dice.Unlock()
	return time.Duration(n.rng.Int64N(int64(below)))
}

func (n *Network) chance() float64 {
	n.dice.Lock()
	defer n.dice.Unlock()
	return n.rng.Float64()
}

// Apply puts a rule in force, also for the connections that are open, until undo is called.
func (n *Network) Apply(r Rule) (undo func()) {
	n.change(func() { n.rules[&r] = struct{}{} })
	return func() { n.change(func() { delete(n.rules, &r) }) }
}

func (n *Network) change(how func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	how()
	for c := range n.conns {
		c.pair.setConditions(n.conditions(c.owner.from, c.to))
	}
	for r := range n.relays {
		r.set(n.conditions(r.from, r.to))
	}
}

// conditions of a link. The mutex is held.
func (n *Network) conditions(from, to string) (c Conditions) {
	for r := range n.rules {
		if r.Match(from, to) {
			r.Change(&c)
		}
	}
	return c
}

// Listen listens at a free address.
func (n *Network) Listen() (net.Listener, error) {
	if !n.memory {
		return net.Listen("tcp", "127.0.0.1:0")
	}
	n.mu.Lock()
	n.port++
	addr := fmt.Sprintf("127.0.0.1:%d", n.port)
	n.mu.Unlock()
	return n.ListenAt(addr)
}

// FreeAddr returns an address to listen at, now or again later. On loopback it has an IP address of its own: a port of
// 127.0.0.1 that is free may be taken by the next connection that anybody opens.
func (n *Network) FreeAddr() (string, error) {
	if n.memory {
		l, err := n.Listen()
		if err != nil {
			return "", err
		}
		return l.Addr().String(), l.Close()
	}
	if oneLoopback() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		return l.Addr().String(), l.Close()
	}
	// Nobody listens to find it free. Danger: a process that is being forked meanwhile would have the listener too, and the
	// address would be taken for a moment longer.
	next, pid := addresses.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid%128, byte(next>>8), byte(next), 10000+pid%20000), nil
}

// oneLoopback says that loopback is one address only.
var oneLoopback = sync.OnceValue(func() bool {
	l, err := net.Listen("tcp", "127.64.0.1:0")
	if err == nil {
		l.Close()
	}
	return err != nil
})

// listen listens at an address that was listened at before. What Close has closed another process may have for a moment
// longer, that is being forked from this one.
func listen(addr string) (l net.Listener, err error) {
	for range 200 {
		if l, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return l, err
}

// addresses counts those that FreeAddr has given on loopback: no two networks of a process may share one.
var addresses atomic.Uint32

// ListenAt listens at an address that Listen has given once, and that is free again.
func (n *Network) ListenAt(addr string) (net.Listener, error) {
	if !n.memory {
		return listen(addr)
	}
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{net: n, addr: net.TCPAddrFromAddrPort(at), queue: make(chan net.Conn, backlog), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dialer is a Network as one party sees it. It is what an agent takes.
type Dialer struct {
	net  *Network
	from string
	dead bool // guarded by the network's mutex
}

// From returns the network as the party of a name sees it.
func (n *Network) From(name string) *Dialer { return &Dialer{net: n, from: name} }

// Kill resets all connections that were dialed through the dialer, as the death of its process does, and opens no
// more.
func (d *Dialer) Kill() {
	n := d.net
	n.mu.Lock()
	d.dead = true
	var ended []net.Conn
	for c := range n.conns {
		if c.owner == d {
			ended = append(ended, c)
		}
	}
	for c := range n.sockets {
		if c.owner == d {
			ended = append(ended, c)
		}
	}
	n.mu.Unlock()
	for _, c := range ended {
		Reset(c)
	}
}

// Dial opens a connection to an address, host and port.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n := d.net
	n.mu.Lock()
	cond := n.conditions(d.from, addr)
	dead := d.dead
	n.mu.Unlock()
	if cond.Cut {
		<-ctx.Done()
		return nil, opError("dial", ctx.Err())
	}
	if trip := 2 * cond.Delay; trip > 0 {
		select {
		case <-time.After(trip):
		case <-ctx.Done():
			return nil, opError("dial", ctx.Err())
		}
	}
	if cond.Refuse || dead {
		return nil, opError("dial", syscall.ECONNREFUSED)
	}
	if n.memory {
		return d.connect(ctx, addr)
	}
	raw, err := tcp.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if n.splice {
		near, far := d.pair(addr, raw.LocalAddr(), raw.RemoteAddr())
		go pump(raw, far)
		go pump(far, raw)
		return near, nil
	}
	c := &socket{TCPConn: raw, owner: d}
	n.mu.Lock()
	n.sockets[c] = struct{}{}
	n.mu.Unlock()
	return c, nil
}

// connect opens a connection in memory.
func (d *Dialer) connect(ctx context.Context, addr string) (net.Conn, error) {
	n := d.net
	n.mu.Lock()
	l := n.listeners[addr]
	n.port++
	local := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(n.port)}
	n.mu.Unlock()
	if l == nil {
		return nil, opError("dial", syscall.ECONNREFUSED)
	}
	near, far := d.pair(addr, local, l.addr)
	select {
	case l.queue <- far:
		return near, nil
	case <-l.done:
		near.Reset()
		return nil, opError("dial", syscall.ECONNREFUSED)
	case <-ctx.Done():
		near.Reset()
		return nil, opError("dial", ctx.Err())
	}
}

// socket is a TCP connection that can be killed with its dialer.
type socket struct {
	*net.TCPConn
	owner *Dialer
}

func (s *socket) Close() error {
	n := s.owner.net
	n.mu.Lock()
	delete(n.sockets, s)
	n.mu.Unlock()
	return s.TCPConn.Close()
}

// Quiet says whether the other side of an idle connection has neither closed it nor sent anything.
func (d *Dialer) Quiet(c net.Conn) bool {
	switch c := c.(type) {
	case *Conn:
		return c.in.quiet()
	case *socket:
		return tcp.Quiet(c.TCPConn)
	}
	return false
}

// Reset ends a connection without a word to be read, as the death of a process does.
func Reset(c net.Conn) {
	switch c := c.(type) {
	case interface{ Reset() }:
		c.Reset()
	case interface{ SetLinger(int) error }:
		c.SetLinger(0) // a connection that is gone needs none
	}
	c.Close()
}

// pump copies one direction between a socket and the connection in memory that stands for its link.
func pump(to, from net.Conn) {
	_, err := io.Copy(to, from)
	if half, ok := to.(interface{ CloseWrite() error }); err == nil && ok {
		half.CloseWrite() // a side that is gone shows in the other direction
		return
	}
	Reset(to)
	Reset(from)
}

func opError(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// listener accepts connections in memory.
type listener struct {
	net   *Network
	addr  *net.TCPAddr
	queue chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, opError("accept", net.ErrClosed)
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.addr.String())
		l.net.mu.Unlock()
		close(l.done)
		for { // what nobody will accept
			select {
			case c := <-l.queue:
				Reset(c)
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }
