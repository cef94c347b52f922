package inbound

import "sync"

// Caller represents whoever waits for the answer to a request: a client on this machine, or the
// sender side of another sidecar. The caller may disconnect at any time. A Caller notifies at most
// one function, which makes it much cheaper than a context for something that every request needs.
type Caller struct {
	// Disconnected polls whether the caller has disconnected, including a close that is still
	// unread on its connection. It is called after a wait.
	Disconnected func() bool

	mu     sync.Mutex
	gone   bool
	onGone func()
}

// MarkGone records that the caller has disconnected or cancelled its request.
func (c *Caller) MarkGone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return
	}
	c.gone = true
	if c.onGone != nil {
		c.onGone()
	}
}

// IsGone reports whether MarkGone was called.
func (c *Caller) IsGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

// pollGone checks the connection and reports whether the caller is gone.
func (c *Caller) pollGone() bool {
	if !c.IsGone() && c.Disconnected() {
		c.MarkGone()
	}
	return c.IsGone()
}

// afterGone registers a function that is called once the caller is gone, or at once if it is gone
// already. The function must return quickly. Calling stop unregisters it and reports whether the
// caller is gone; once stop has returned, the function is not running and will not run.
func (c *Caller) afterGone(f func()) (stop func() (gone bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		f()
	}
	c.onGone = f
	return c.unregister
}

func (c *Caller) unregister() (gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onGone = nil
	return c.gone
}
