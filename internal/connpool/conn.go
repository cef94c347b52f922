package connpool

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"example.org/micaline/internal/tcp"
)

// Conn is a connection to a backend. It carries one request at a time. Answers are read from its
// Reader, as far as Limit allows.
type Conn struct {
	net.Conn
	Reader       *bufio.Reader
	StallTimeout time.Duration // how long the next byte is waited for; 0: as long as it takes

	to     *Target
	timing bool             // a read deadline is set
	mu     sync.Mutex       // guards over and halted, and the deadline against them
	over   bool             // its request's time is over: nothing is waited for any more
	halted bool             // nothing is waited for at present
	limit  io.LimitedReader // bounds what one answer may hold, headers included
	since  time.Time        // idle since then
}

// Fresh says that no request has gone over the connection before: what is read from it can be an
// answer to nobody else's.
func (c *Conn) IsNew() bool { return c.since.IsZero() }

// Limit bounds how many bytes the Reader goes on to read.
func (c *Conn) LimitRead(n int64) { c.limit.N = n }

// Read reads. Danger: its deadline may pass while the caller gets no processor, and what the
// backend had said in time would be taken for silence.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.ArmReadDeadline(); err != nil {
		return 0, err
	}
	return tcp.ReadWaiting(c.Conn, b)
}

// Arm gives the next byte as long as is due to it, by Stall. Each Read does so first.
func (c *Conn) ArmReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.over, c.halted:
	case c.StallTimeout > 0:
		c.timing = true
		return c.SetReadDeadline(time.Now().Add(c.StallTimeout))
	case c.timing:
		c.timing = false
		return c.SetReadDeadline(time.Time{})
	}
	return nil
}

// Overdue ends all waiting on the connection. What has come by then is still read.
func (c *Conn) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	c.SetDeadline(time.Unix(1, 0))
}

// IsOverdue says whether Overdue was called.
func (c *Conn) IsExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over
}

// InterruptRead ends a Read that waits, until ResumeRead.
func (c *Conn) InterruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halted = true
	c.SetReadDeadline(time.Unix(1, 0))
}

// ResumeRead lets reads wait again, unless the connection is overdue.
func (c *Conn) ResumeRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.halted = false; c.over {
		return nil
	}
	return c.SetReadDeadline(time.Time{})
}
