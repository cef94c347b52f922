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

// dial opens a client connection to the agent.
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

// exchangeRaw sends text unchanged and returns everything that the agent sends until it closes the
// connection.
func (r *runningAgent) exchangeRaw(t *testing.T, text string) string {
	t.Helper()
	c := r.dial(t)
	go io.WriteString(c, text)
	got, err := io.ReadAll(c)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Errorf("the connection is still open after %.60q", text)
	}
	return string(got)
}

// At the connection limit, idle client connections are closed to make room for new clients. Open
// requests are not affected.
func TestSilentClientsMakeRoom(t *testing.T) {
	a, b, finishFirst, first := sendPendingRequest(t)
	receive(t, "request", b.Got)
	idleClientConns := make([]net.Conn, 1024)
	for i := range idleClientConns {
		idleClientConns[i] = a.dial(t)
	}
	idleClientConns[0].Read(make([]byte, 1)) // returns when the connection has been evicted
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
	receive(t, "request of a new client", b.Got)
	close(finishFirst)
	for _, answers := range []chan int{first, second} {
		if status := receive(t, "answer", answers); status != 200 {
			t.Errorf("answered %d", status)
		}
	}
}

// An application that keeps each connection open after its request, and has at most a third of the
// sockets, always finds a free one for its next request.
func TestKeptConnectionsLeaveSome(t *testing.T) {
	a := startAgentWith(t, testSettings, newBackend(t, alwaysOK))
	openConns := make(chan struct{}, 1024/3)
	for i := range 1024/3 + 1 {
		select {
		case openConns <- struct{}{}:
		case <-time.After(clientIdleTimeout / 2):
			t.Fatalf("no connection left for request %d", i)
		}
		c := a.dial(t)
		io.WriteString(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
		go func() {
			io.Copy(io.Discard, c) // until the agent closes it
			<-openConns
		}()
	}
}

// net/http closes the sending side of a client connection with CloseWrite, which clientConn must
// pass on.
func TestClientsSeeTheEndOfAnAnswer(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	ended := false
	var c net.Conn = &clientConn{Conn: halfCloser{near, &ended}}
	closer, ok := c.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil || !ended {
		t.Errorf("CloseWrite exists: %v, and is passed on: %v", ok, ended)
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

// The connection that has been without a request longest is evicted, but never one whose request
// has arrived, even if it has not been read yet. If there is no other, a new connection waits. A
// request on a closed connection is not forwarded.
func TestRoomIsMadeByTheSilent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := &connLimiter{Listener: listener, maxConns: 4}
	conns := make(chan *clientConn, 8)
	go func() {
		defer close(conns)
		for {
			c, err := limiter.Accept()
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
	unreadClient, unreadConn := accept()
	slowClient, slowConn := accept()
	_, openConn := accept()
	idleClient, idleConn := accept()
	io.WriteString(unreadClient, "GET /up HTTP/1.1\r\n")
	for unreadConn.nothingReceived() { // until the data has arrived
		time.Sleep(time.Millisecond)
	}
	io.WriteString(slowClient, "GET")
	slowConn.Read(make([]byte, 8))
	if !limiter.beginRequest(openConn) {
		t.Fatal("the connection of an open request is closed")
	}

	readErr := make(chan error, 1)
	go func() { // as net/http does
		_, err := idleConn.Read(make([]byte, 8))
		limiter.trackState(idleConn, http.StateClosed)
		idleConn.Close()
		readErr <- err
	}()
	newClient, newConn := accept()
	if err := receive(t, "end of the idle connection", readErr); !errors.Is(err, os.ErrDeadlineExceeded) || limiter.beginRequest(idleConn) || !limiter.beginRequest(newConn) {
		t.Errorf("the idle connection was not evicted: %v", err)
	}
	if _, err := idleClient.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the client of the evicted connection gets %v", err)
	}
	dial() // waits: no connection can be evicted
	select {
	case <-conns:
		t.Error("a connection was evicted although its request had arrived")
	case <-time.After(3 * evictionRetryInterval):
	}
	limiter.trackState(newConn, http.StateIdle) // answered and idle
	waitingConn := receive(t, "connection that has waited", conns)
	// A request that arrives just when its connection is evicted is still read and served, and the
	// connection counts again after the answer.
	io.WriteString(newClient, "GET /up HTTP/1.1\r\n")
	for got := 0; got == 0; {
		got, _ = newConn.Read(make([]byte, 32))
	}
	if !limiter.beginRequest(newConn) {
		t.Error("a request that arrived during the eviction is lost")
	}
	limiter.trackState(newConn, http.StateIdle)
	limiter.trackState(newConn, http.StateClosed)
	slowConn.firstByteAt.Store(time.Now().Add(-2 * maxRequestReadTime).UnixNano())
	accept()
	if _, err := slowClient.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a connection whose request is too slow was not evicted: %v", err)
	}
	if !limiter.beginRequest(unreadConn) {
		t.Error("the request that was not read yet is lost")
	}
	limiter.beginRequest(waitingConn)
	limiter.mu.Lock()
	if limiter.openConns != limiter.maxConns {
		t.Errorf("%d open connections are counted", limiter.openConns)
	}
	limiter.mu.Unlock()
	dial()
	limiter.Close()
	for range conns { // closing the limiter also ends the waiting Accept
	}
}

// Clients that send nothing or an incomplete request are disconnected after a time, and so are idle
// clients.
func TestSlowClientsAreClosed(t *testing.T) {
	a := startAgentWith(t, testSettings, newBackend(t, alwaysOK))
	completeHead := "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\nX-Budget: 9000m\r\n"
	for name, test := range map[string]struct{ text, answer string }{
		"silence":     {"", ""},
		"half a head": {"POST /unsafe/1 HT", "HTTP/1.1 400 "},
		"half a body": {completeHead + "Content-Length: 10\r\n\r\nhalf", "HTTP/1.1 408 "},
		"idle":        {completeHead + "Content-Length: 4\r\n\r\nbody", "HTTP/1.1 200 "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := a.exchangeRaw(t, test.text); !strings.HasPrefix(got, test.answer) || test.answer == "" && got != "" {
				t.Errorf("answered %q", got)
			}
		})
	}
}

// A body with two framings can hide a second request, and a duplicate header field is ambiguous.
// Such requests must not reach a backend.
func TestAmbiguousRequests(t *testing.T) {
	b := newBackend(t, alwaysOK)
	a := startAgentWith(t, testSettings, b)
	head := func(extra string) string {
		return "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\nX-Budget: 9000m\r\n" + extra + "\r\n"
	}
	hiddenRequest := head("Content-Length: 0\r\n")
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"both framings":     {head(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", 5+len(hiddenRequest))) + "0\r\n\r\n" + hiddenRequest, 400},
		"hidden behind /up": {"GET /up HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hiddenRequest, 400},
		"two codings":       {head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n" + hiddenRequest, 501},
		"bad chunks":        {head("Transfer-Encoding: chunked\r\n") + "zz\r\n\r\n" + hiddenRequest, 408},
		"two ids":           {head("X-Call-Id: d\r\nContent-Length: 0\r\n") + hiddenRequest, 400},
		"two budgets":       {head("X-Budget: 3m\r\nContent-Length: 0\r\n") + hiddenRequest, 400},
		"id for a hop":      {head("Connection: x-call-id\r\nContent-Length: 0\r\n") + hiddenRequest, 400},
		"large body":        {head("Content-Length: 60000000\r\n"), 413},
		"negative body":     {head("Content-Length: -1\r\n") + hiddenRequest, 400},
		"huge body":         {head("Content-Length: 99999999999999999999\r\n") + hiddenRequest, 400},
		"endless head":      {"POST /unsafe/1 HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), 431},
		"unreadable":        {"\x00\x01\x02\r\n\r\n" + hiddenRequest, 400},
	} {
		got := a.exchangeRaw(t, test.text)
		if !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", test.status)) || strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("%s: answered %q", name, got)
		}
	}
	if n := len(b.Got); n != 0 {
		t.Errorf("%d requests reached the backend", n)
	}
}

// A request that arrived is read even if the read deadline has passed meanwhile, as after a
// suspension of the process.
func TestWaitingRequestOutlivesTheDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &clientConn{Conn: accepted}
	defer c.Close()
	c.SetReadDeadline(time.Unix(1, 0))
	b := make([]byte, 64)
	if n, err := c.Read(b); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read returned %d bytes and %v although nothing was sent", n, err)
	}
	const sent = "GET /up HTTP/1.1\r\n"
	io.WriteString(client, sent)
	var got []byte
	for started := time.Now(); len(got) < len(sent) && time.Since(started) < testTimeout; {
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
		t.Errorf("read returned %d bytes and %v after the client had closed", n, err)
	}
}
