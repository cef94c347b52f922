package network

import (
	"context"
	"net"
	"sync"
)

// Processor is what a party on a network runs on, and can be taken away: nothing that has come is seen until it is back,
// deadlines pass, and then everything is there at once. It stands for a process that is stopped, or gets no time.
type Processor struct {
	mu   sync.Mutex
	gone chan struct{} // closed when it is back; nil while it is there
}

// Take takes the processor away.
func (p *Processor) Take() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone == nil {
		p.gone = make(chan struct{})
	}
}

// Give gives it back.
func (p *Processor) Give() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone != nil {
		close(p.gone)
		p.gone = nil
	}
}

// Wait returns once there is one.
func (p *Processor) Wait() {
	for {
		p.mu.Lock()
		gone := p.gone
		p.mu.Unlock()
		if gone == nil {
			return
		}
		<-gone
	}
}

// Reached is a Dialer of a party that runs on a processor.
type Reached struct {
	*Dialer
	*Processor
}

// Dial opens a connection to an address, host and port.
func (r Reached) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := r.Dialer.Dial(ctx, addr)
	r.Wait()
	if err != nil {
		return nil, err
	}
	return &held{c, r.Processor}, nil
}

// Quiet says whether the other side of an idle connection has neither closed it nor sent anything.
func (r Reached) Quiet(c net.Conn) bool { return r.Dialer.Quiet(c.(*held).Conn) }

// Listener accepts for a party that runs on a processor.
type Listener struct {
	net.Listener
	*Processor
}

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.Wait()
	if err != nil {
		return nil, err
	}
	return &held{c, l.Processor}, nil
}

// held is a connection whose owner runs on a processor.
type held struct {
	net.Conn
	on *Processor
}

func (h *held) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	h.on.Wait()
	return n, err
}

func (h *held) Write(b []byte) (int, error) {
	h.on.Wait()
	return h.Conn.Write(b)
}

// CloseWrite ends what this end sends and goes on reading.
func (h *held) CloseWrite() error {
	h.on.Wait()
	return h.Conn.(interface{ CloseWrite() error }).CloseWrite()
}

// Waiting reads what has arrived, whatever the deadline, and does not wait.
func (h *held) Waiting(b []byte) int {
	if c, ok := h.Conn.(interface{ Waiting([]byte) int }); ok {
		return c.Waiting(b)
	}
	return 0
}
