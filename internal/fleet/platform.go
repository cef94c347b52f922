package fleet

import (
	"context"
	"errors"
	"net"
	"sync"

	"example.org/micaline/internal/standin/network"
)

// platform holds a clients' socket that all processes of one agent accept from, and the way between them.
type platform struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}

	mu   sync.Mutex
	last *hall // of the process that listens for the next one
}

func newPlatform(n *network.Network, addr string) (*platform, error) {
	l, err := n.ListenAt(addr)
	if err != nil {
		return nil, err
	}
	p := &platform{Listener: l, conns: make(chan net.Conn), done: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			select {
			case p.conns <- c:
			case <-p.done:
				network.Reset(c)
			}
		}
	}()
	return p, nil
}

func (p *platform) close() {
	close(p.done)
	p.Listener.Close()
}

// join returns the socket as one process has it: when that closes it the others go on.
func (p *platform) join() net.Listener {
	return &hall{addr: p.Addr(), conns: p.conns, closed: make(chan struct{})}
}

// hall is where one process waits for connections: its clients', or of the process that is to replace it.
type hall struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (h *hall) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

func (h *hall) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr is what the hall stands for.
func (h *hall) Addr() net.Addr { return h.addr }

var errNobody = errors.New("no process is there")

// Dial reaches the process that listened last.
func (p *platform) Dial(ctx context.Context) (net.Conn, error) {
	p.mu.Lock()
	h := p.last
	p.mu.Unlock()
	if h == nil {
		return nil, errNobody
	}
	near, far := net.Pipe()
	select {
	case h.conns <- far:
		return near, nil
	case <-h.closed:
		return nil, errNobody
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listen has Dial reach the caller.
func (p *platform) Listen() (net.Listener, error) {
	h := &hall{addr: &net.UnixAddr{Name: "hall", Net: "unix"}, conns: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	p.last = h
	p.mu.Unlock()
	return h, nil
}
