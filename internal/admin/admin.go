// Package admin answers the calls of the operators' staff: whether the agent is ready, its figures, backends out and
// back, a drain and its end. HTTP/1.1, one call to a connection; 2xx is yes, 4xx and 5xx are no. It changes the same
// state as package control does, which is for people and managers of many.
package admin

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"
)

const (
	mostCalls = 16          // connections at once
	callTime  = time.Second // for a call to come, and for its answer to go
	maxHead   = 8 << 10     // bytes of a call's head
	maxBody   = 1 << 10     // bytes of a call's body, which has no meaning
)

// Figures are counted from the start of the process.
type Figures struct {
	Classes  []Class
	Attempts int64 // written whole to backends
	InFlight int64 // requests taken and not ended
	Known    int   // backends that discovery lists
	Excluded int   // of these, those that the agent sends nothing
}

// Class are the requests of a class by what their clients got.
type Class struct {
	Name                    string
	Served, Refused, Failed int64
}

// text is the form that the operators read: a line a figure.
func (f *Figures) text() string {
	var b strings.Builder
	for _, c := range f.Classes {
		fmt.Fprintf(&b, "agent.requests.%s.served=%d\n", c.Name, c.Served)
		fmt.Fprintf(&b, "agent.requests.%s.refused=%d\n", c.Name, c.Refused)
		fmt.Fprintf(&b, "agent.requests.%s.failed=%d\n", c.Name, c.Failed)
	}
	fmt.Fprintf(&b, "agent.attempts=%d\nagent.in_flight=%d\n", f.Attempts, f.InFlight)
	fmt.Fprintf(&b, "agent.backends_known=%d\nagent.backends_excluded=%d\n", f.Known, f.Excluded)
	return b.String()
}

// Agent is what the calls are about.
type Agent interface {
	// Ready says whether the agent can serve and is not drained.
	Ready() bool
	// Figures returns the present figures.
	Figures(ctx context.Context) (*Figures, error)
	// Ban keeps a backend out until it is called back. It says whether the agent knows the backend.
	Ban(ctx context.Context, backend string, out bool) (known bool, err error)
	// SetDraining begins or ends a drain.
	SetDraining(on bool)
}

// Server answers calls.
type Server struct{ http http.Server }

// NewServer returns a Server for an agent.
func NewServer(a Agent, log *slog.Logger) *Server {
	say := func(w http.ResponseWriter, yes bool, what string) {
		if !yes {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintln(w, what)
	}
	failed := func(w http.ResponseWriter, err error) { http.Error(w, err.Error(), http.StatusServiceUnavailable) }
	ban := func(out bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.PathValue("id")
			switch known, err := a.Ban(r.Context(), id, out); {
			case err != nil:
				failed(w, err)
			case !known:
				http.Error(w, fmt.Sprintf("there is no backend %q", id), http.StatusNotFound)
			default:
				say(w, true, "ok")
			}
		}
	}
	drain := func(on bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			a.SetDraining(on)
			say(w, true, "ok")
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", func(w http.ResponseWriter, _ *http.Request) {
		yes := a.Ready()
		say(w, yes, map[bool]string{true: "ready", false: "not ready"}[yes])
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		f, err := a.Figures(r.Context())
		if err != nil {
			failed(w, err)
			return
		}
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprint(w, f.text())
	})
	mux.HandleFunc("PUT /backends/{id}/maint", ban(true))
	mux.HandleFunc("PUT /backends/{id}/ready", ban(false))
	mux.HandleFunc("PUT /healthcheck/fail", drain(true))
	mux.HandleFunc("PUT /healthcheck/ok", drain(false))
	s := &Server{http.Server{
		Handler: http.MaxBytesHandler(plain(mux), maxBody), ReadTimeout: callTime, WriteTimeout: callTime, MaxHeaderBytes: maxHead,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug), // callers that send half a call are usual
	}}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// plain answers a path that the mux would redirect with a no: a redirect is neither yes nor no.
func plain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path.Clean(r.URL.Path) != r.URL.Path {
			http.NotFound(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Serve answers until the Server is closed. It closes the listener.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{Listener: l}) }

// Close ends all.
func (s *Server) Close() error { return s.http.Close() }

// listener holds so many connections; for one more the oldest goes. Danger: a call is answered at once, so the oldest is
// one that sends nothing, and those that merely wait for room would wait for it.
type listener struct {
	net.Listener
	mu   sync.Mutex
	open []*conn // the oldest first
}

type conn struct {
	net.Conn
	of   *listener
	once sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, of: l}
	l.mu.Lock()
	var oldest *conn
	if len(l.open) >= mostCalls {
		oldest = l.open[0]
	}
	l.open = append(l.open, c)
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

func (c *conn) Close() (err error) {
	c.once.Do(func() {
		err = c.Conn.Close()
		c.of.mu.Lock()
		defer c.of.mu.Unlock()
		for i, o := range c.of.open {
			if o == c {
				c.of.open = append(c.of.open[:i], c.of.open[i+1:]...)
				return
			}
		}
	})
	return err
}
