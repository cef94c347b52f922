package inbound

import "sync"

// Caller is who waits for the answer to a request: a client of this machine, or a sender. It may
// leave at any time. It does what a context does for much less: each request has one.
type Caller struct {
	// Look looks whether the caller has left, also where its close waits unread. It is asked after
	// a wait.
	Disconnected func() bool

	mu     sync.Mutex
	left   bool
	onLeft func()
}

// Leave takes in that the caller has left.
func (c *Caller) MarkGone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return
	}
	c.left = true
	if c.onLeft != nil {
		c.onLeft()
	}
}

// HasLeft says whether the caller is known to have left.
func (c *Caller) IsGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

// isGone looks whether the caller has left.
func (c *Caller) isGone() bool {
	if !c.IsGone() && c.Disconnected() {
		c.MarkGone()
	}
	return c.IsGone()
}

// whenLeft has a short function called once the caller leaves, at once if it has left, until the
// function that is returned is called. That one says whether the caller has left; once it returns
// the other neither runs nor will.
func (c *Caller) whenLeft(f func()) (stop func() (left bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		f()
	}
	c.onLeft = f
	return c.stopWaiting
}

func (c *Caller) stopWaiting() (left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onLeft = nil
	return c.left
}
