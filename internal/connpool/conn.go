package connpool

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"example.org/micaline/internal/tcp"
)

// Conn is a connection to a backend. It carries one request at a time. Answers are read from
// Reader, up to the number of bytes set with LimitRead.
type Conn struct {
	net.Conn
	Reader       *bufio.Reader
	StallTimeout time.Duration // how long to wait for the next byte; 0: no limit

	target      *Target          // the process at the other end
	deadlineSet bool             // whether a read deadline is set
	mu          sync.Mutex       // guards expired and interrupted, and the deadlines that they set
	expired     bool             // the deadline of the request has passed; reads no longer wait
	interrupted bool             // reads do not wait until ResumeRead
	answerLimit io.LimitedReader // bounds the size of an answer, including its header
	idleSince   time.Time        // when it was last put back; zero before the first time
}

// IsNew reports whether no request has used the connection before. Anything read from a new
// connection can't belong to an earlier request.
func (c *Conn) IsNew() bool { return c.idleSince.IsZero() }

// LimitRead sets how many more bytes can be read from Reader.
func (c *Conn) LimitRead(n int64) { c.answerLimit.N = n }

// Read implements io.Reader. It still reads data that arrived before the deadline if the deadline
// passes while the caller waits for the processor, so that such data is not mistaken for a timeout.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.ArmReadDeadline(); err != nil {
		return 0, err
	}
	return tcp.ReadWaiting(c.Conn, b)
}

// ArmReadDeadline sets the read deadline for the next byte from StallTimeout, or removes it if
// StallTimeout is 0. It leaves an expired or interrupted connection as it is. Read calls it each
// time.
func (c *Conn) ArmReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.expired, c.interrupted:
	case c.StallTimeout > 0:
		c.deadlineSet = true
		return c.SetReadDeadline(time.Now().Add(c.StallTimeout))
	case c.deadlineSet:
		c.deadlineSet = false
		return c.SetReadDeadline(time.Time{})
	}
	return nil
}

// Expire ends all waiting on the connection. Data that has already arrived can still be read.
func (c *Conn) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	c.SetDeadline(time.Unix(1, 0))
}

// IsExpired reports whether Expire was called.
func (c *Conn) IsExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// InterruptRead makes a waiting Read return, and keeps reads from waiting until ResumeRead.
func (c *Conn) InterruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.SetReadDeadline(time.Unix(1, 0))
}

// ResumeRead lets reads wait again, unless the connection has expired.
func (c *Conn) ResumeRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted = false; c.expired {
		return nil
	}
	return c.SetReadDeadline(time.Time{})
}
