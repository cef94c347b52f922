package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	socketName = "micaline-handover"
	// greetTime is for the other process to tell what it knows. Danger: on a machine that is short of processors a second was too
	// little, and what operators had taken out was asked again; the platform waits 6 s.
	greetTime = 3 * time.Second
	tellTime  = time.Second // for it to take what it is told
	mostLinks = 8           // the process before, the one behind, and those that only look or have not been heard to end
)

// Side is what a process knows and learns.
type Side interface {
	// Known returns what the process knows.
	Known() Register
	// Learn takes in what the other knows.
	Learn(Register)
	// Beside says whether there is another process now.
	Beside(is bool)
}

// Transport is how processes of one agent reach one another.
type Transport interface {
	// Dial reaches the process that listened last, if there is one.
	Dial(ctx context.Context) (net.Conn, error)
	// Listen has Dial reach this process from now on.
	Listen() (net.Listener, error)
}

// Unix is the Transport of processes that share a folder: a socket in it.
type Unix string

// Dial connects to the socket.
func (dir Unix) Dial(ctx context.Context) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "unix", filepath.Join(string(dir), socketName))
}

// Listen puts a socket in the place of the one that is there. Danger: between a removal and a new socket there would be none.
func (dir Unix) Listen() (net.Listener, error) {
	own := filepath.Join(string(dir), fmt.Sprintf("%s-%d", socketName, os.Getpid()))
	os.Remove(own) // of a process long gone that had the same number
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the name may be another process's by then
	if err := os.Rename(own, filepath.Join(string(dir), socketName)); err != nil {
		l.Close()
		os.Remove(own)
		return nil, err
	}
	return l, nil
}

// Handover is one process's part.
type Handover struct {
	way  Transport
	side Side
	log  *slog.Logger

	mu       sync.Mutex
	links    map[*link]struct{}
	listener net.Listener
	closed   bool
	running  sync.WaitGroup
}

// link is the way to another process.
type link struct {
	conn  net.Conn
	news  chan struct{} // holds one: there is something to tell
	heard bool          // a process is at its other end
}

// New returns a process's part.
func New(way Transport, side Side, log *slog.Logger) *Handover {
	return &Handover{way: way, side: side, log: log, links: map[*link]struct{}{}}
}

// Take asks the process that serves for what it knows, and stays linked with it. Without one there is nothing to take.
// Danger: it returns in bounded time whatever the other does, which may hang or be of another version.
func (h *Handover) Take(ctx context.Context) (found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	conn, err := h.way.Dial(ctx)
	if err != nil {
		return false, nil // nobody is there, or only the socket of one that has gone
	}
	conn.SetReadDeadline(time.Now().Add(greetTime))
	known, err := Read(conn)
	if err != nil {
		conn.Close()
		return true, err
	}
	conn.SetReadDeadline(time.Time{})
	h.side.Learn(known)
	h.join(conn, false)
	return true, nil
}

// Offer has the next process find this one, which is from now on the one that serves.
func (h *Handover) Offer() error {
	l, err := h.way.Listen()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		l.Close()
		return nil
	}
	if h.listener != nil {
		h.listener.Close()
	}
	h.listener = l
	h.running.Go(func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond) // no descriptor is left
				continue
			}
			h.join(conn, true)
		}
	})
	return nil
}

// offerAgain has the next process find this one when the one that was to replace it has gone. Danger: that one may have
// offered itself, and nobody would be found in its place.
func (h *Handover) offerAgain() {
	h.mu.Lock()
	closed := h.closed
	h.mu.Unlock()
	if closed { // danger: a process that ends would put its dead socket in the place of a living one
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), greetTime)
	defer cancel()
	if conn, err := h.way.Dial(ctx); err == nil { // somebody is there: this one, or a third
		conn.Write(look)
		conn.Close()
		return
	}
	if err := h.Offer(); err != nil {
		h.log.Warn("the next process will find nothing to take over", "error", err)
	}
}

// join links with another process, which is to replace this one or is the one before.
func (h *Handover) join(conn net.Conn, next bool) {
	k := &link{conn: conn, news: make(chan struct{}, 1)}
	k.news <- struct{}{}
	h.mu.Lock()
	if h.closed || len(h.links) >= mostLinks {
		h.mu.Unlock()
		conn.Close()
		return
	}
	h.links[k] = struct{}{}
	if k.heard = !next; k.heard {
		h.side.Beside(true)
	}
	h.mu.Unlock()
	ended := make(chan struct{})
	h.running.Go(func() {
		looks := false
		defer func() {
			// Danger: who only looks whether somebody is there must not have this one look in turn.
			if h.part(k); next && !looks {
				h.offerAgain()
			}
		}()
		defer close(ended)
		for {
			known, err := Read(conn)
			if looks = errors.Is(err, errLook); looks {
				return
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					h.log.Warn("the link with the other process ends", "error", err)
				}
				return
			}
			h.mu.Lock()
			if !k.heard {
				k.heard = true
				h.side.Beside(true)
			}
			h.mu.Unlock()
			h.side.Learn(known)
		}
	})
	h.running.Go(func() {
		for {
			select {
			case <-k.news:
			case <-ended:
				return
			}
			conn.SetWriteDeadline(time.Now().Add(tellTime))
			if err := Write(conn, h.side.Known()); err != nil {
				// Its reader ends. Danger: were the connection closed here, what somebody has sent who only looked and left would
				// go unread: this process would look whether somebody is there, find itself, and so on without end.
				conn.SetReadDeadline(time.Now().Add(tellTime))
				return
			}
		}
	})
}

// part ends a link.
func (h *Handover) part(k *link) {
	k.conn.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.links, k)
	if k.heard && !slices.ContainsFunc(slices.Collect(maps.Keys(h.links)), func(o *link) bool { return o.heard }) {
		h.side.Beside(false)
	}
}

// Tell tells the other processes what is known by now. It does not wait for them.
func (h *Handover) Tell() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k := range h.links {
		select {
		case k.news <- struct{}{}:
		default: // what is to be told is read when it is told
		}
	}
}

// Close ends all links.
func (h *Handover) Close() {
	h.mu.Lock()
	h.closed = true
	if h.listener != nil {
		h.listener.Close()
	}
	for k := range h.links {
		k.conn.Close()
	}
	h.mu.Unlock()
	h.running.Wait()
}
