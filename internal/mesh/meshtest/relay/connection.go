package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// connection is one that a link passes on.
type connection struct {
	link   *Link
	client net.Conn

	mu     sync.Mutex // never held while the link's is taken, nor the other way round
	server net.Conn   // nil until it is open
	over   bool
	ended  chan struct{}
}

// abort closes a connection with a reset in place of an orderly end.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// reset ends both ends with a reset.
func (c *connection) reset() { c.end(abort) }

// close ends both ends in order.
func (c *connection) close() { c.end(func(n net.Conn) { n.Close() }) }

func (c *connection) end(how func(net.Conn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	c.over = true
	close(c.ended)
	how(c.client)
	if c.server != nil {
		how(c.server)
	}
}

// run opens the connection to the target and passes bytes until both directions have ended.
func (c *connection) run() {
	defer func() {
		c.close()
		c.link.mu.Lock()
		delete(c.link.open, c)
		c.link.mu.Unlock()
	}()
	if !c.link.passes(ToServer, c.ended) || !c.dial() {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.pass(ToServer, c.client, c.server) })
	both.Go(func() { c.pass(ToClient, c.server, c.client) })
	both.Wait()
}

func (c *connection) dial() bool {
	server, err := net.DialTimeout("tcp4", c.link.target, dialTimeout)
	if err != nil {
		c.reset() // as the target's own kernel would
		return false
	}
	if !c.keep(server) {
		abort(server)
		return false
	}
	c.link.countOpened()
	return true
}

// keep makes a connection to the target this one's own. It reports false where this one has ended.
func (c *connection) keep(server net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	c.server = server
	return true
}

// pass carries one direction. The end of a stream is passed on behind its bytes, and waits for the
// end of a cut as they do; a reset ends both directions.
func (c *connection) pass(d Direction, from, to net.Conn) {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if !c.link.passes(d, c.ended) {
			return
		}
		if n > 0 && !c.forward(d, chunk[:n], to) {
			return
		}
		if err != nil {
			c.endStream(err, to)
			return
		}
	}
}

// endStream passes the end of a stream on: an orderly one as such, another as a reset.
func (c *connection) endStream(err error, to net.Conn) {
	if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		t.CloseWrite()
		return
	}
	c.reset()
}

// forward writes a chunk, with the fault that is due. It reports false where the direction is over.
func (c *connection) forward(d Direction, chunk []byte, to net.Conn) bool {
	f, faulty := c.link.fault(d, len(chunk))
	if !faulty {
		return c.write(chunk, to)
	}
	switch f.Action {
	case Silence, Truncate, Reset:
		if f.After > len(chunk) { // not reached by this chunk: the rest of the count is for the next
			f.After -= len(chunk)
			c.link.again(d, f)
			return c.write(chunk, to)
		}
		c.write(chunk[:f.After], to)
		c.stop(f.Action)
		return false
	case Duplicate:
		if !c.write(chunk, to) {
			return false
		}
	case Delay:
		wait := time.NewTimer(f.Wait)
		defer wait.Stop()
		select {
		case <-wait.C:
		case <-c.ended:
			return false
		}
	}
	return c.write(chunk, to)
}

// stop ends a direction as a fault says. After a Silence the connection stays until somebody else
// ends it.
func (c *connection) stop(how Action) {
	switch how {
	case Silence:
		<-c.ended
	case Truncate:
		c.close()
	case Reset:
		c.reset()
	}
}

func (c *connection) write(b []byte, to net.Conn) bool {
	if _, err := to.Write(b); err != nil {
		c.reset()
		return false
	}
	return true
}
