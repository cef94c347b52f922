package control

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/document"
)

const mostHold = 24 * time.Hour

// Identity says which process answers.
type Identity struct {
	Name     string  `json:"name"`
	Epoch    string  `json:"epoch"` // of the process: no other has had it
	Uptime   float64 `json:"uptime_s"`
	Revision uint64  `json:"revision"` // of the document in force
	Hash     string  `json:"hash"`
	// Mixed are parts that are in force of another document, as a change has left them that could neither be applied whole
	// nor taken back.
	Mixed   []string `json:"mixed,omitempty"`
	Fence   uint64   `json:"fence"` // the highest number of a manager that has spoken
	Pending string   `json:"pending,omitempty"`
	Taking  bool     `json:"taking"`

	Labels        map[string]string `json:"labels,omitempty"`
	Configuration string            `json:"configuration,omitempty"` // hash of the platform's, as the process has read it last
}

// Server is the control interface of one process.
type Server struct {
	service *service
	options Options
	http    *api.Server
}

// Options say what an interface shows of its process beside the instance's own.
type Options struct {
	Epoch         string // names the process: no other has had it
	Labels        map[string]string
	Configuration func() string // hash of the platform's
	Access        api.Door      // who may come in
}

// NewServer returns a server that is not serving yet.
func NewServer(i Instance, o Options) *Server {
	s := &Server{service: newService(i, o.Epoch), options: o}
	mux := http.NewServeMux()
	for pattern, handler := range s.routes() {
		mux.HandleFunc(pattern, handler)
	}
	s.http = api.NewServer(&s.options.Access, mux, func(r *http.Request) api.Role {
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			return api.Read
		}
		return api.Change
	})
	return s
}

// routes are all that the interface answers to. openapi.yaml describes them, and a test holds the two together.
func (s *Server) routes() map[string]http.HandlerFunc {
	of := func(f func(r *http.Request) (any, error)) http.HandlerFunc {
		return api.Handler(document.MaxSize+4096, s.service.problem, f)
	}
	return map[string]http.HandlerFunc{
		"GET /v1/instance":              of(s.identity),
		"GET /v1/summary":               of(s.summary),
		"GET /v1/state":                 of(s.look(func(st *State) any { return st })),
		"GET /v1/backends":              of(s.look(func(st *State) any { return st.Backends })),
		"GET /v1/requests":              of(s.look(func(st *State) any { return st.Requests })),
		"GET /v1/causes":                of(s.look(func(st *State) any { return st.Causes })),
		"GET /v1/classes":               of(s.look(func(st *State) any { return st.Classes })),
		"GET /v1/accounts":              of(s.look(func(st *State) any { return st.Accounts })),
		"GET /v1/watch":                 s.watch,
		"GET /v1/document":              of(s.document),
		"GET /v1/changes/{id}":          of(s.known),
		"PUT /v1/changes/{id}":          of(s.prepare),
		"POST /v1/changes/{id}/commit":  of(s.commit),
		"POST /v1/fence":                of(s.hear),
		"POST /v1/changes/{id}/abort":   of(s.fenced(s.service.abort)),
		"POST /v1/changes/{id}/confirm": of(s.fenced(s.service.confirm)),
		"PUT /v1/holds/{backend}":       of(s.hold),
		"DELETE /v1/holds/{backend}":    of(s.hold),
		"GET /v1/level":                 of(s.level),
		"PUT /v1/level":                 of(s.holdLevel),
		"DELETE /v1/level":              of(s.holdLevel),
		"GET /v1/sites":                 of(s.sites),
		"PUT /v1/sites/{site}/out":      of(s.takeOut),
		"DELETE /v1/sites/{site}/out":   of(s.takeOut),
		"PUT /v1/taking":                of(s.taking),
		"POST /v1/reload":               of(s.reload),
		"GET /v1/openapi.yaml":          description,
	}
}

//go:embed openapi.yaml
var openapi []byte

func description(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/yaml")
	w.Write(openapi) // a client that does not take it is gone
}

// Serve serves at a listener until Close. It closes the listener.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close ends all service.
func (s *Server) Close() error {
	s.service.close()
	return s.http.Close()
}

func (s *Server) identity(r *http.Request) (any, error) {
	st, err := s.service.instance.State(r.Context())
	if err != nil {
		return nil, err
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return s.identify(st), nil
}

// identify says which process this is. The service's mutex is held.
func (s *Server) identify(st *State) *Identity {
	m := s.service.machine
	id := &Identity{
		Name: s.service.instance.Name(), Epoch: m.Epoch(), Uptime: s.service.now().Seconds(), Revision: m.Revision(),
		Hash: m.Current().Hash, Fence: m.Fence(), Pending: m.Pending(), Taking: st.Taking, Labels: s.options.Labels, Mixed: m.MixedParts(),
	}
	if s.options.Configuration != nil {
		id.Configuration = s.options.Configuration()
	}
	return id
}

// Summary is what a manager asks for, again and again.
type Summary struct {
	Identity
	Held    int           `json:"held"`
	Service RequestCounts `json:"service"`
}

func (s *Server) look(part func(*State) any) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		st, err := s.service.instance.State(r.Context())
		if err != nil {
			return nil, err
		}
		return part(st), nil
	}
}

func (s *Server) summary(r *http.Request) (any, error) {
	st, err := s.service.instance.State(r.Context())
	if err != nil {
		return nil, err
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return &Summary{*s.identify(st), st.Held, st.Service}, nil
}

// hear takes in that a manager has spoken, and answers with the summary: whoever was the manager before is refused from then on.
func (s *Server) hear(r *http.Request) (any, error) {
	var b struct {
		Fence uint64 `json:"fence"`
	}
	if err := api.Body(r, &b); err != nil {
		return nil, err
	}
	if err := s.service.hear(b.Fence); err != nil {
		return nil, err
	}
	return s.summary(r)
}

// Versioned is a document and its revision.
type VersionedDocument struct {
	Revision uint64             `json:"revision"`
	Hash     string             `json:"hash"`
	Document *document.Document `json:"document"`
}

func (s *Server) document(*http.Request) (any, error) {
	d, revision := s.service.inForce()
	return &VersionedDocument{revision, d.Hash(), d}, nil
}

func (s *Server) known(r *http.Request) (any, error) {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return s.service.change(r.PathValue("id")), nil
}

func (s *Server) prepare(r *http.Request) (any, error) {
	var raw struct {
		Base     uint64          `json:"base"`
		Fence    uint64          `json:"fence"`
		Confirm  float64         `json:"confirm_s"`
		Document json.RawMessage `json:"document"`
	}
	if err := api.Body(r, &raw); err != nil {
		return nil, err
	}
	if !(raw.Confirm >= 0 && raw.Confirm <= 3600) {
		return nil, &api.Problem{Status: 422, Title: "the change can't be used", Detail: fmt.Sprintf("%v is not between 0 and 3600", raw.Confirm), Field: "confirm_s"}
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
	if err := api.Body(r, &b); err != nil {
		return nil, err
	}
	return s.service.commit(r.Context(), r.PathValue("id"), b.Fence)
}

func (s *Server) fenced(f func(id string, fence uint64) (*Change, error)) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		var b struct {
			Fence uint64 `json:"fence"`
		}
		if err := api.Body(r, &b); err != nil {
			return nil, err
		}
		return f(r.PathValue("id"), b.Fence)
	}
}

// Holding is how long a backend is held out.
type BackendHold struct {
	Backend string  `json:"backend"`
	For     float64 `json:"for_s"` // 0: it is let in
}

func (s *Server) hold(r *http.Request) (any, error) {
	h := BackendHold{Backend: r.PathValue("backend")}
	if r.Method == http.MethodPut {
		var b struct {
			For float64 `json:"for_s"`
		}
		if err := api.Body(r, &b); err != nil {
			return nil, err
		}
		if h.For = b.For; !(h.For > 0 && h.For <= mostHold.Seconds()) {
			return nil, &api.Problem{Status: 422, Title: "the hold can't be used", Detail: fmt.Sprintf("%v is not between 0 and %v", h.For, mostHold.Seconds()), Field: "for_s"}
		}
	}
	return s.once(r, fmt.Sprintf("hold %q %v", h.Backend, h.For), func() (any, error) {
		known, err := s.service.instance.Hold(r.Context(), h.Backend, time.Duration(h.For*float64(time.Second)))
		if err == nil && !known {
			err = &api.Problem{Status: 404, Title: "there is no such backend", Detail: h.Backend, Field: "backend"}
		}
		return &h, err
	})
}

// once makes a change that has no document under the id that the request has.
func (s *Server) once(r *http.Request, what string, f func() (any, error)) (any, error) {
	id, err := api.Key(r)
	if err != nil {
		return nil, err
	}
	return s.service.do(id, what, f)
}

// Taking says whether requests are taken.
type Admission struct {
	Taking bool `json:"taking"`
}

func (s *Server) taking(r *http.Request) (any, error) {
	var b struct {
		Taking *bool `json:"taking"`
	}
	if err := api.Body(r, &b); err != nil {
		return nil, err
	}
	if b.Taking == nil {
		return nil, &api.Problem{Status: 422, Title: "the switch can't be used", Detail: "missing", Field: "taking"}
	}
	return s.once(r, fmt.Sprintf("taking %v", *b.Taking), func() (any, error) {
		s.service.instance.SetAccepting(*b.Taking)
		return &Admission{*b.Taking}, nil
	})
}

// reload has the process read the platform's configuration again.
func (s *Server) reload(r *http.Request) (any, error) {
	st, err := s.service.instance.State(r.Context())
	if err != nil {
		return nil, err
	}
	return s.once(r, "reload", func() (any, error) {
		if err := s.service.instance.Reload(r.Context()); err != nil {
			return nil, &api.Problem{Status: 422, Title: "the configuration can't be used, and the old one stays", Detail: err.Error()}
		}
		return s.identify(st), nil
	})
}
