package manage

import (
	_ "embed"
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/inventory"
)

// Server is the manager's interface for operators and for instances that announce themselves.
type Server struct {
	manager *Manager
	http    *api.Server
}

// mostBody is how many bytes a body may have.
const mostBody = document.MaxSize + 8192

// NewServer returns a server that is not serving yet.
func NewServer(m *Manager, door *api.Door) *Server {
	s := &Server{manager: m}
	mux := http.NewServeMux()
	for pattern, handler := range s.routes() {
		mux.HandleFunc(pattern, handler)
	}
	s.http = api.NewServer(door, mux, func(r *http.Request) api.Role {
		_, pattern := mux.Handler(r)
		switch {
		case pattern == announcements:
			return api.Announce
		case r.Method == http.MethodGet || r.Method == http.MethodHead || pattern == "POST /v1/plans":
			return api.Read
		}
		return api.Change
	})
	return s
}

const announcements = "PUT /v1/announcements/{name}"

// routes are all that the interface answers to. openapi.yaml describes them, and a test holds the two together.
func (s *Server) routes() map[string]http.HandlerFunc {
	of := func(f func(r *http.Request) (any, error)) http.HandlerFunc {
		return api.Handler(mostBody, problem, f)
	}
	m := s.manager
	return map[string]http.HandlerFunc{
		"GET /v1/manager":   of(func(r *http.Request) (any, error) { return m.Status(r.Context()) }),
		"POST /v1/takeover": of(func(r *http.Request) (any, error) { return m.TakeOver(r.Context()) }),
		"GET /v1/instances": of(func(r *http.Request) (any, error) { return m.Instances(r.Context(), r.URL.Query().Get("select")) }),
		announcements:       of(s.announce),
		"POST /v1/plans": of(func(r *http.Request) (any, error) {
			o, err := order(r)
			if err != nil {
				return nil, err
			}
			return m.Plan(r.Context(), o)
		}),
		"GET /v1/rollouts":      of(func(r *http.Request) (any, error) { return m.Reports(r.Context()) }),
		"GET /v1/rollouts/{id}": of(func(r *http.Request) (any, error) { return m.Report(r.Context(), r.PathValue("id")) }),
		"PUT /v1/rollouts/{id}": of(func(r *http.Request) (any, error) {
			o, err := order(r)
			if err != nil {
				return nil, err
			}
			return m.Begin(r.Context(), r.PathValue("id"), o)
		}),
		"POST /v1/rollouts/{id}/abort":    of(s.tell(AbortOrder)),
		"POST /v1/rollouts/{id}/resume":   of(s.tell(ResumeOrder)),
		"POST /v1/rollouts/{id}/rollback": of(s.tell(RollbackOrder)),
		"GET /v1/openapi.yaml":            description,
	}
}

//go:embed openapi.yaml
var openapi []byte

func description(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/yaml")
	w.Write(openapi) // a client that does not take it is gone
}

func problem(err error) *api.Problem {
	var p *api.Problem
	var f *document.FieldError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &f):
		return &api.Problem{Status: 422, Title: "the document can't be used", Detail: f.What, Field: f.Field}
	}
	return &api.Problem{Status: 503, Title: "the manager did not answer", Detail: err.Error()}
}

// order reads an order, whose document names its own mistakes.
func order(r *http.Request) (*Order, error) {
	var raw struct {
		Document json.RawMessage `json:"document"`
		Select   string          `json:"select"`
		Limits   *Limits         `json:"limits"`
	}
	if err := api.Body(r, &raw); err != nil {
		return nil, err
	}
	o := &Order{Select: raw.Select, Limits: raw.Limits}
	if raw.Document != nil {
		d, err := document.Parse(raw.Document)
		if err != nil {
			return nil, err
		}
		o.Document = d
	}
	return o, nil
}

func (s *Server) tell(what string) func(r *http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		var b struct {
			Leave bool `json:"leave"`
		}
		if err := api.Body(r, &b); err != nil {
			return nil, err
		}
		return s.manager.Tell(r.Context(), r.PathValue("id"), what, b.Leave)
	}
}

// Announcement is what an instance says of itself.
type Announcement struct {
	Addr   string            `json:"addr"`
	Labels map[string]string `json:"labels,omitempty"`
}

func (s *Server) announce(r *http.Request) (any, error) {
	var a Announcement
	if err := api.Body(r, &a); err != nil {
		return nil, err
	}
	return &a, s.manager.Announced(r.Context(), inventory.Instance{Name: r.PathValue("name"), Addr: a.Addr, Labels: a.Labels})
}

// Serve serves at a listener until Close. It closes the listener.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close ends all service.
func (s *Server) Close() error { return s.http.Close() }
