package network

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// Relay is a link that other processes use: they connect to its address, and what crosses it goes through the conditions
// of the link that it stands for.
//
// A link that is refused has no listener, and the kernel answers a connect with a reset. One that is cut has a listener
// whose queue is full, so that the kernel drops what asks for a connection, as a machine that has vanished does.
type Relay struct {
	net      *Network
	from, to string
	addr     string

	mu    sync.Mutex
	open  *net.TCPListener // nil: refused
	cut   bool
	plugs []net.Conn // that fill the queue of a link that is cut
	done  bool
}

// Relay opens a link from a name to an address. The network must splice.
func (n *Network) Relay(from, to string) (*Relay, error) {
	addr, err := n.FreeAddr()
	if err != nil {
		return nil, err
	}
	r := &Relay{net: n, from: from, to: to, addr: addr}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays[r] = struct{}{}
	return r, r.set(n.conditions(from, to))
}

// Addr is where the link begins.
func (r *Relay) Addr() string { return r.addr }

// Close ends the link and what crosses it.
func (r *Relay) Close() {
	r.net.mu.Lock()
	delete(r.net.relays, r)
	var ended []*Conn
	for c := range r.net.conns {
		if c.owner.from == r.from && c.to == r.to {
			ended = append(ended, c)
		}
	}
	r.net.mu.Unlock()
	r.mu.Lock()
	r.done = true
	r.shut()
	r.mu.Unlock()
	for _, c := range ended {
		Reset(c)
	}
}

// set has new connections meet the conditions; those that are open meet them by themselves.
func (r *Relay) set(c Conditions) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.done || c.Refuse && r.open == nil || !c.Refuse && r.open != nil && c.Cut == r.cut:
		return nil
	case c.Refuse:
		r.shut()
		return nil
	}
	r.shut()
	l, err := listen(r.addr)
	if err != nil {
		return fmt.Errorf("the link from %s to %s: %w", r.from, r.to, err)
	}
	r.open, r.cut = l.(*net.TCPListener), c.Cut
	if !r.cut {
		go r.accept(r.open)
		return nil
	}
	return r.plug()
}

// plug fills the queue of the listener with connections that nobody will accept.
func (r *Relay) plug() error {
	raw, err := r.open.SyscallConn()
	if err != nil {
		return err
	}
	var wrong error
	if err := raw.Control(func(fd uintptr) { wrong = syscall.Listen(int(fd), 0) }); err != nil || wrong != nil {
		return fmt.Errorf("cutting the link from %s to %s: %w", r.from, r.to, os.NewSyscallError("listen", wrong))
	}
	// A queue of length 0 holds one. If somebody else is in it already, it is full too.
	if c, err := net.DialTimeout("tcp", r.addr, 20*time.Millisecond); err == nil {
		r.plugs = append(r.plugs, c)
	}
	return nil
}

// shut closes the listener. The mutex is held.
func (r *Relay) shut() {
	if r.open != nil {
		r.open.Close()
		r.open = nil
	}
	for _, c := range r.plugs {
		Reset(c)
	}
	r.plugs = nil
}

func (r *Relay) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			far, err := r.net.From(r.from).Dial(context.Background(), r.to)
			if err != nil {
				Reset(near)
				return
			}
			go pump(near, far)
			go pump(far, near)
		}()
	}
}

// Post carries datagrams between other processes: each sends to a socket of its own here and hears the others' from theirs.
// The conditions of the link from one name to another's hold: what is cut or stalled is lost, and so is the share that Loss
// says.
type Post struct {
	net     *Network
	mu      sync.Mutex
	members []*postMember
}

type postMember struct {
	name string
	box  *net.UDPConn // where the member sends, and whence the others hear it
	at   netip.AddrPort
}

// Join adds a process that hears at an address, and returns where it sends to.
func (p *Post) Join(name string, at netip.AddrPort) (box netip.AddrPort, err error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return box, err
	}
	m := &postMember{name, conn, at}
	p.mu.Lock()
	p.members = append(p.members, m)
	p.mu.Unlock()
	go p.carry(m)
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// NewPost returns one without members.
func (n *Network) NewPost() *Post { return &Post{net: n} }

// Close closes all sockets.
func (p *Post) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		m.box.Close()
	}
}

func (p *Post) carry(m *postMember) {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := m.box.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if from != m.at {
			continue
		}
		p.mu.Lock()
		for _, to := range p.members {
			p.net.mu.Lock()
			there, back := p.net.conditions(m.name, to.name), p.net.conditions(to.name, m.name)
			p.net.mu.Unlock()
			stops := there.Cut || there.Refuse || there.StallUp || back.Cut || back.StallDown
			if to == m || stops || p.net.chance() < there.Loss {
				continue
			}
			m.box.WriteToUDPAddrPort(buf[:n], to.at) // lost if it can't be
		}
		p.mu.Unlock()
	}
}
