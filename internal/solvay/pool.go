package solvay

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"example.org/micaline/internal/tcp"
)

// backendPool is interim until the shared pool moves in.
type backendPool struct {
	mu   sync.Mutex
	idle []*backendConn
}

type backendConn struct {
	*net.TCPConn
	address string
	limit   io.LimitedReader
	br      *bufio.Reader
	out     []byte
	used    bool
	since   time.Time
}

func (p *backendPool) get(ctx context.Context, address string) (*backendConn, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if c.address == address && time.Since(c.since) < 8*time.Second && tcp.Quiet(c.TCPConn) {
			return c, nil
		}
		c.Close()
	}
	raw, err := tcp.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &backendConn{TCPConn: raw, address: address}
	c.limit.R = raw
	c.br = bufio.NewReader(&c.limit)
	return c, nil
}

func (p *backendPool) put(c *backendConn) {
	c.SetDeadline(time.Time{})
	c.used, c.since = true, time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *backendPool) discard(c *backendConn) { c.Close() }

func (p *backendPool) sweep() {}
