package standin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// mostHeard is how much a scripted stand-in keeps of what has happened until somebody takes it.
const mostHeard = 1000

// Script is a backend that answers to the byte as it is told, for tests of what an agent makes of it.
type Script struct {
	Addr     string
	Accepted chan net.Conn
	Got      chan *http.Request // each whole request, its body still to be read
	Ended    chan error         // the other side has closed a connection

	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	asked    int
}

// Answer is what a scripted backend does with its nth request, counted from 0: it writes the text as it is, and closes
// the connection if it is to. No text and not closing is silence.
type Answer func(n int, req *http.Request) (text string, closes bool)

// NewScript starts a scripted backend on loopback.
func NewScript(answer Answer) (*Script, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Script{
		Addr: listener.Addr().String(), Accepted: make(chan net.Conn, mostHeard), Got: make(chan *http.Request, mostHeard),
		Ended: make(chan error, mostHeard), listener: listener,
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.Accepted <- c
			go s.serve(c, answer)
		}
	}()
	return s, nil
}

func (s *Script) serve(c net.Conn, answer Answer) {
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			c.Close()
			s.Ended <- err
			return
		}
		body, _ := io.ReadAll(req.Body) // what there is of it
		req.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		n := s.asked
		s.asked++
		s.mu.Unlock()
		s.Got <- req
		text, closes := answer(n, req)
		io.WriteString(c, text)
		if closes {
			c.Close()
			return
		}
	}
}

// Close ends the backend and its connections.
func (s *Script) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// ListScript is a discovery that answers to the byte as it is told: calls for the whole list at once, and each watch
// with the next text that is sent to Next.
type ListScript struct {
	Addr  string
	Calls chan string // their queries
	Next  chan []byte

	server http.Server
	mu     sync.Mutex
	whole  func() []byte
}

// NewListScript starts a scripted discovery on loopback. Its whole list is as Whole was told last.
func NewListScript(whole []byte) (*ListScript, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &ListScript{
		Addr: listener.Addr().String(), Calls: make(chan string, mostHeard), Next: make(chan []byte),
		whole: func() []byte { return whole },
	}
	l.server.Handler = l
	ctx, cancel := context.WithCancel(context.Background())
	l.server.BaseContext = func(net.Listener) context.Context { return ctx }
	l.server.RegisterOnShutdown(cancel)
	go l.server.Serve(listener)
	return l, nil
}

// Whole has the script make its whole list by a function, which returns nil while discovery is down.
func (l *ListScript) Whole(whole func() []byte) {
	l.mu.Lock()
	l.whole = whole
	l.mu.Unlock()
}

func (l *ListScript) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.Calls <- r.URL.RawQuery
	l.mu.Lock()
	whole := l.whole()
	l.mu.Unlock()
	switch {
	case whole == nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.RawQuery == "":
		w.Write(whole)
	default:
		select {
		case text := <-l.Next:
			w.Write(text)
		case <-r.Context().Done():
		}
	}
}

// Close ends the service; calls that wait end with it.
func (l *ListScript) Close() { l.server.Close() }
