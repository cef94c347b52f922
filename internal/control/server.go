package control

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"example.org/micaline/internal/document"
)

const (
	mostConns     = 32 // control connections at once; more wait in the listener's queue
	headTimeout   = 2 * time.Second
	idleTimeout   = 30 * time.Second
	answerTimeout = 10 * time.Second
	watchEvery    = time.Second
	mostHold      = 24 * time.Hour
)

// Identity says which process answers.
type Identity struct {
	Name     string  `json:"name"`
	Epoch    string  `json:"epoch"` // of the process: no other has had it
	Uptime   float64 `json:"uptime_s"`
	Revision uint64  `json:"revision"` // of the document in force
	Hash     string  `json:"hash"`
	Fence    uint64  `json:"fence"` // the highest number of a manager that has spoken
	Pending  string  `json:"pending,omitempty"`
	Taking   bool    `json:"taking"`
}

// Server is the control interface of one process.
type Server struct {
	service *service
	http    http.Server
}

// NewServer returns a server that is not serving yet. The epoch names the process.
func NewServer(i Instance, epoch string) *Server {
	s := &Server{service: newService(i, epoch)}
	mux := http.NewServeMux()
	for pattern, handler := range s.routes() {
		mux.HandleFunc(pattern, handler)
	}
	s.http = http.Server{
		Handler: mux, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
	}
	return s
}

// routes are all that the interface answers to. openapi.yaml describes them, and a test holds the two together.
func (s *Server) routes() map[string]http.HandlerFunc {
	of := func(f func(r *http.Request) (any, error)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { answer(w, r, f) }
	}
	return map[string]http.HandlerFunc{
		"GET /v1/instance":              of(s.identity),
		"GET /v1/state":                 of(s.look(func(st *State) any { return st })),
		"GET /v1/backends":              of(s.look(func(st *State) any { return st.Backends })),
		"GET /v1/requests":              of(s.look(func(st *State) any { return st.Requests })),
		"GET /v1/causes":                of(s.look(func(st *State) any { return st.Causes })),
		"GET /v1/watch":                 s.watch,
		"GET /v1/document":              of(s.document),
		"GET /v1/changes/{id}":          of(s.known),
		"PUT /v1/changes/{id}":          of(s.prepare),
		"POST /v1/changes/{id}/commit":  of(s.commit),
		"POST /v1/changes/{id}/abort":   of(s.fenced(s.service.abort)),
		"POST /v1/changes/{id}/confirm": of(s.fenced(s.service.confirm)),
		"PUT /v1/holds/{backend}":       of(s.hold),
		"DELETE /v1/holds/{backend}":    of(s.hold),
		"PUT /v1/taking":                of(s.taking),
		"GET /v1/openapi.yaml":          description,
	}
}

//go:embed openapi.yaml
var openapi []byte

func description(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/yaml")
	w.Write(openapi) // a client that does not take it is gone
}

// Serve serves until Close. It closes the listener.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(&bounded{Listener: l, room: make(chan struct{}, mostConns)})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends all service.
func (s *Server) Close() error {
	s.service.close()
	return s.http.Close()
}

// bounded accepts so many connections at once. Danger: thousands that say nothing would take the sockets of data.
type bounded struct {
	net.Listener
	room chan struct{}
}

func (b *bounded) Accept() (net.Conn, error) {
	b.room <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.room
		return nil, err
	}
	return &boundedConn{Conn: c, room: b.room}, nil
}

type boundedConn struct {
	net.Conn
	room chan struct{}
}

func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	if err == nil { // the first time only
		<-c.room
	}
	return err
}

// answer writes what a handler returns, or its problem.
func answer(w http.ResponseWriter, r *http.Request, f func(*http.Request) (any, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(answerTimeout)) // there is one, or the connection is gone
	r.Body = http.MaxBytesReader(w, r.Body, document.MaxSize+4096)
	v, err := f(r.WithContext(ctx))
	if err != nil {
		p := problem(err)
		if p.Status == http.StatusRequestEntityTooLarge {
			w.Header().Set("Connection", "close")
		}
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(p.Status)
		json.NewEncoder(w).Encode(p)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (s *Server) identity(r *http.Request) (any, error) {
	st, err := s.service.instance.Look(r.Context())
	if err != nil {
		return nil, err
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	m := s.service.machine
	return &Identity{
		Name: s.service.instance.Name(), Epoch: m.Epoch(), Uptime: s.service.now().Seconds(), Revision: m.Revision(),
		Hash: m.Current().Hash, Fence: m.Fence(), Pending: m.Pending(), Taking: st.Taking,
	}, nil
}

func (s *Server) look(part func(*State) any) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		st, err := s.service.instance.Look(r.Context())
		if err != nil {
			return nil, err
		}
		return part(st), nil
	}
}

// Versioned is a document and its revision.
type Versioned struct {
	Revision uint64             `json:"revision"`
	Hash     string             `json:"hash"`
	Document *document.Document `json:"document"`
}

func (s *Server) document(*http.Request) (any, error) {
	d, revision := s.service.inForce()
	return &Versioned{revision, d.Hash(), d}, nil
}

func (s *Server) known(r *http.Request) (any, error) {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return s.service.change(r.PathValue("id")), nil
}

// body reads a JSON object whose fields are all known.
func body(r *http.Request, v any) error {
	text, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &Problem{413, "the body is too large", fmt.Sprintf("over %d bytes", large.Limit), ""}
	case err != nil:
		return &Problem{400, "the body can't be read", err.Error(), ""}
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &Problem{400, "the body can't be read", err.Error(), ""}
	}
	return nil
}

func (s *Server) prepare(r *http.Request) (any, error) {
	var raw struct {
		Base     uint64          `json:"base"`
		Fence    uint64          `json:"fence"`
		Confirm  float64         `json:"confirm_s"`
		Document json.RawMessage `json:"document"`
	}
	if err := body(r, &raw); err != nil {
		return nil, err
	}
	if !(raw.Confirm >= 0 && raw.Confirm <= 3600) {
		return nil, &Problem{422, "the change can't be used", fmt.Sprintf("%v is not between 0 and 3600", raw.Confirm), "confirm_s"}
	}
	d, err := document.Parse(raw.Document)
	if err != nil {
		return nil, err
	}
	return s.service.prepare(r.PathValue("id"), &Proposal{raw.Base, raw.Fence, raw.Confirm, d})
}

func (s *Server) commit(r *http.Request) (any, error) {
	var b struct {
		Fence uint64 `json:"fence"`
	}
	if err := body(r, &b); err != nil {
		return nil, err
	}
	return s.service.commit(r.Context(), r.PathValue("id"), b.Fence)
}

func (s *Server) fenced(f func(id string, fence uint64) (*Change, error)) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		var b struct {
			Fence uint64 `json:"fence"`
		}
		if err := body(r, &b); err != nil {
			return nil, err
		}
		return f(r.PathValue("id"), b.Fence)
	}
}

// Holding is how long a backend is held out.
type Holding struct {
	Backend string  `json:"backend"`
	For     float64 `json:"for_s"` // 0: it is let in
}

func (s *Server) hold(r *http.Request) (any, error) {
	h := Holding{Backend: r.PathValue("backend")}
	if r.Method == http.MethodPut {
		var b struct {
			For float64 `json:"for_s"`
		}
		if err := body(r, &b); err != nil {
			return nil, err
		}
		if h.For = b.For; !(h.For > 0 && h.For <= mostHold.Seconds()) {
			return nil, &Problem{422, "the hold can't be used", fmt.Sprintf("%v is not between 0 and %v", h.For, mostHold.Seconds()), "for_s"}
		}
	}
	known, err := s.service.instance.Hold(r.Context(), h.Backend, time.Duration(h.For*float64(time.Second)))
	if err != nil {
		return nil, err
	}
	if !known {
		return nil, &Problem{404, "there is no such backend", h.Backend, "backend"}
	}
	return &h, nil
}

func (s *Server) taking(r *http.Request) (any, error) {
	var b struct {
		Taking *bool `json:"taking"`
	}
	if err := body(r, &b); err != nil {
		return nil, err
	}
	if b.Taking == nil {
		return nil, &Problem{422, "the switch can't be used", "missing", "taking"}
	}
	s.service.instance.SetTaking(*b.Taking)
	return &b, nil
}

// watch writes the state once a second, a line each, until the client goes.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	rc := http.NewResponseController(w)
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	enc := json.NewEncoder(w)
	for {
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		st, err := s.service.instance.Look(ctx)
		cancel()
		if err != nil {
			return
		}
		// Danger: who reads no more must not hold the connection for good.
		rc.SetWriteDeadline(time.Now().Add(answerTimeout))
		if enc.Encode(st) != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}
