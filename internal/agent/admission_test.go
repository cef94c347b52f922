package agent

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// dial opens a client's connection to an agent.
func (r *runningAgent) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// talk writes what a client sends as it is, and returns all that comes back until the agent closes.
func (r *runningAgent) talk(t *testing.T, text string) string {
	t.Helper()
	c := r.dial(t)
	go io.WriteString(c, text)
	got, err := io.ReadAll(c)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Errorf("the connection stays open after %.60q", text)
	}
	return string(got)
}

// Clients that keep connections without a request do not shut out others, and a request that is open is not
// disturbed by them.
func TestSilentClientsMakeRoom(t *testing.T) {
	a, b, goOn, first := sendPendingRequest(t)
	receive(t, "request", b.Got)
	silent := make([]net.Conn, 1024)
	for i := range silent {
		silent[i] = a.dial(t)
	}
	silent[0].Read(make([]byte, 1)) // returns when it has been closed to make room
	second := make(chan int, 1)
	go func() {
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(a.request("unsafe", "15000m"))
		if err != nil {
			t.Error(err)
			second <- 0
			return
		}
		resp.Body.Close()
		second <- resp.StatusCode
	}()
	receive(t, "request of a newcomer", b.Got)
	close(goOn)
	for _, answered := range []chan int{first, second} {
		if status := receive(t, "answer", answered); status != 200 {
			t.Errorf("answered %d", status)
		}
	}
}

// An application that keeps each connection that it has used once, and holds a third of the sockets at most, still
// has one for its next request.
func TestKeptConnectionsLeaveSome(t *testing.T) {
	a := startAgentWith(t, testSettings, newBackend(t, alwaysOK))
	held := make(chan struct{}, 1024/3)
	for i := range 1024/3 + 1 {
		select {
		case held <- struct{}{}:
		case <-time.After(clientIdleTimeout / 2):
			t.Fatalf("no connection left for request %d", i)
		}
		c := a.dial(t)
		io.WriteString(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
		go func() {
			io.Copy(io.Discard, c) // until the agent closes it
			<-held
		}()
	}
}

// net/http ends its side of a client's connection by the connection's own CloseWrite, which the agent passes on.
func TestClientsSeeTheEndOfAnAnswer(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	ended := false
	var c net.Conn = &clientConn{Conn: halfCloser{near, &ended}}
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || !ended {
		t.Errorf("CloseWrite is there: %v, and passed on: %v", ok, ended)
	}
}

type halfCloser struct {
	net.Conn
	ended *bool
}

func (h halfCloser) CloseWrite() error {
	*h.ended = true
	return nil
}

// Room is made by the connection that has been without a request longest, never by one whose request has come, be it that
// nobody has read it yet: where there is no other, a newcomer waits. What was closed is not sent on.
func TestRoomIsMadeByTheSilent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &connLimiter{Listener: listener, maxConns: 4}
	conns := make(chan *clientConn, 8)
	go func() {
		defer close(conns)
		for {
			c, err := a.Accept()
			if err != nil {
				return
			}
			conns <- c.(*clientConn)
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		return c
	}
	accept := func() (net.Conn, *clientConn) {
		c := dial()
		return c, receive(t, "connection", conns)
	}
	unread, u := accept()
	slow, s := accept()
	_, open := accept()
	kept, k := accept()
	io.WriteString(unread, "GET /up HTTP/1.1\r\n")
	for u.quiet() { // until it has arrived
		time.Sleep(time.Millisecond)
	}
	io.WriteString(slow, "GET")
	s.Read(make([]byte, 8))
	if !a.beginRequest(open) {
		t.Fatal("an open request has no connection")
	}

	ended := make(chan error, 1)
	go func() { // as net/http does
		_, err := k.Read(make([]byte, 8))
		a.trackState(k, http.StateClosed)
		k.Close()
		ended <- err
	}()
	newcomer, n := accept()
	if err := receive(t, "end of the silent connection", ended); !errors.Is(err, os.ErrDeadlineExceeded) || a.beginRequest(k) || !a.beginRequest(n) {
		t.Errorf("the silent connection has not made room: %v", err)
	}
	if _, err := kept.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("its client sees %v", err)
	}
	dial() // the next: nobody is silent
	select {
	case <-conns:
		t.Error("a connection whose request had come made room")
	case <-time.After(3 * lookAgain):
	}
	a.trackState(n, http.StateIdle) // answered, and quiet
	last := receive(t, "connection of who has waited", conns)
	// A request that came to it when it was to make room is read, taken, and counts again once it is answered.
	io.WriteString(newcomer, "GET /up HTTP/1.1\r\n")
	for got := 0; got == 0; {
		got, _ = n.Read(make([]byte, 32))
	}
	if !a.beginRequest(n) {
		t.Error("a request that came at the last moment is lost")
	}
	a.trackState(n, http.StateIdle)
	a.trackState(n, http.StateClosed)
	s.busy.Store(time.Now().Add(-2 * slowest).UnixNano())
	accept()
	if _, err := slow.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a request that comes too slowly keeps its room: %v", err)
	}
	if !a.beginRequest(u) {
		t.Error("the request that nobody has read is lost")
	}
	a.beginRequest(last)
	a.mu.Lock()
	if a.openConns != a.maxConns {
		t.Errorf("%d connections are counted", a.openConns)
	}
	a.mu.Unlock()
	dial()
	a.Close()
	for range conns { // ends: who waits goes with the listener
	}
}

// Clients that say nothing, or never end what they say, are closed; so are those with nothing more to say.
func TestSlowClientsAreClosed(t *testing.T) {
	a := startAgentWith(t, testSettings, newBackend(t, alwaysOK))
	whole := "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\nX-Budget: 9000m\r\n"
	for what, c := range map[string]struct{ text, answer string }{
		"silence":     {"", ""},
		"half a head": {"POST /unsafe/1 HT", "HTTP/1.1 400 "},
		"half a body": {whole + "Content-Length: 10\r\n\r\nhalf", "HTTP/1.1 408 "},
		"idle":        {whole + "Content-Length: 4\r\n\r\nbody", "HTTP/1.1 200 "},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			if got := a.talk(t, c.text); !strings.HasPrefix(got, c.answer) || c.answer == "" && got != "" {
				t.Errorf("answered %q", got)
			}
		})
	}
}

// A body that says where it ends in two ways can hide a second request, and headers that stand there twice mean
// two things: neither goes on to a backend.
func TestAmbiguousRequests(t *testing.T) {
	b := newBackend(t, alwaysOK)
	a := startAgentWith(t, testSettings, b)
	head := func(extra string) string {
		return "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\nX-Budget: 9000m\r\n" + extra + "\r\n"
	}
	hidden := head("Content-Length: 0\r\n")
	for what, c := range map[string]struct {
		text   string
		status int
	}{
		"both framings":     {head(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", 5+len(hidden))) + "0\r\n\r\n" + hidden, 400},
		"hidden behind /up": {"GET /up HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		"two codings":       {head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n" + hidden, 501},
		"bad chunks":        {head("Transfer-Encoding: chunked\r\n") + "zz\r\n\r\n" + hidden, 408},
		"two ids":           {head("X-Call-Id: d\r\nContent-Length: 0\r\n") + hidden, 400},
		"two budgets":       {head("X-Budget: 3m\r\nContent-Length: 0\r\n") + hidden, 400},
		"id for a hop":      {head("Connection: x-call-id\r\nContent-Length: 0\r\n") + hidden, 400},
		"large body":        {head("Content-Length: 60000000\r\n"), 413},
		"negative body":     {head("Content-Length: -1\r\n") + hidden, 400},
		"huge body":         {head("Content-Length: 99999999999999999999\r\n") + hidden, 400},
		"endless head":      {"POST /unsafe/1 HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), 431},
		"unreadable":        {"\x00\x01\x02\r\n\r\n" + hidden, 400},
	} {
		got := a.talk(t, c.text)
		if !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", c.status)) || strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("%s: answered %q", what, got)
		}
	}
	if n := len(b.Got); n != 0 {
		t.Errorf("%d requests went on", n)
	}
}

// A request that has come is read although the deadline of its connection has passed, as after a time without processor.
func TestWaitingRequestOutlivesTheDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &clientConn{Conn: accepted}
	defer c.Close()
	c.SetReadDeadline(time.Unix(1, 0))
	b := make([]byte, 64)
	if n, err := c.Read(b); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%d bytes and %v with nothing sent", n, err)
	}
	const sent = "GET /up HTTP/1.1\r\n"
	io.WriteString(client, sent)
	var got []byte
	for begun := time.Now(); len(got) < len(sent) && time.Since(begun) < testTimeout; {
		n, err := c.Read(b)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		got = append(got, b[:n]...)
	}
	if string(got) != sent {
		t.Errorf("read %q", got)
	}
	client.Close()
	if n, err := c.Read(b); n != 0 || err == nil {
		t.Errorf("%d bytes and %v from a client that is gone", n, err)
	}
}
