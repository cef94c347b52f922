package manage

import (
	_ "embed"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/inventory"
)

// Server is the manager's interface for operators and for instances that announce themselves.
type Server struct {
	desk *ActiveManager
	http *api.Server
}

// Desk is where the manager sits, if there is one: of several processes, one manages at a time.
type ActiveManager struct {
	mu        sync.Mutex
	manager   *Manager
	elsewhere func() string
}

// NewDesk returns a desk without a manager. Elsewhere says who has one, "" if nobody is known.
func NewActiveManager(elsewhere func() string) *ActiveManager {
	return &ActiveManager{elsewhere: elsewhere}
}

// Sit puts a manager at the desk, or none.
func (d *ActiveManager) Set(m *Manager) {
	d.mu.Lock()
	d.manager = m
	d.mu.Unlock()
}

// get returns the manager.
func (d *ActiveManager) get() (*Manager, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.manager != nil {
		return d.manager, nil
	}
	if who := d.elsewhere(); who != "" {
		return nil, &api.Problem{Status: http.StatusMisdirectedRequest, Title: "another process manages", Detail: who + " does", Field: ""}
	}
	return nil, &api.Problem{Status: http.StatusServiceUnavailable, Title: "nobody manages at the moment", Detail: "the group has granted it to nobody, or does not agree"}
}

// mostBody is how many bytes a body may have.
const mostBody = document.MaxSize + 8192

// NewServer returns a server that is not serving yet. More are further routes, by their patterns, and the roles that they take.
func NewServer(d *ActiveManager, door *api.Door, more map[string]http.HandlerFunc, roles map[string]api.Role) *Server {
	s := &Server{desk: d}
	mux := http.NewServeMux()
	for pattern, handler := range s.routes() {
		mux.HandleFunc(pattern, handler)
	}
	for pattern, handler := range more {
		mux.HandleFunc(pattern, handler)
	}
	s.http = api.NewServer(door, mux, func(r *http.Request) api.Role {
		_, pattern := mux.Handler(r)
		if role, ok := roles[pattern]; ok {
			return role
		}
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
	of := func(f func(m *Manager, r *http.Request) (any, error)) http.HandlerFunc {
		return api.Handler(mostBody, problem, func(r *http.Request) (any, error) {
			m, err := s.desk.get()
			if err != nil {
				return nil, err
			}
			return f(m, r)
		})
	}
	return map[string]http.HandlerFunc{
		"GET /v1/manager":   of(func(m *Manager, r *http.Request) (any, error) { return m.Status(r.Context()) }),
		"POST /v1/takeover": of(func(m *Manager, r *http.Request) (any, error) { return m.TakeOver(r.Context()) }),
		"GET /v1/instances": of(func(m *Manager, r *http.Request) (any, error) {
			return m.Instances(r.Context(), r.URL.Query().Get("select"))
		}),
		announcements: of(s.announce),
		"POST /v1/plans": of(func(m *Manager, r *http.Request) (any, error) {
			o, err := order(r)
			if err != nil {
				return nil, err
			}
			return m.Plan(r.Context(), o)
		}),
		"GET /v1/rollouts":      of(func(m *Manager, r *http.Request) (any, error) { return m.Reports(r.Context()) }),
		"GET /v1/rollouts/{id}": of(func(m *Manager, r *http.Request) (any, error) { return m.Report(r.Context(), r.PathValue("id")) }),
		"PUT /v1/rollouts/{id}": of(func(m *Manager, r *http.Request) (any, error) {
			o, err := order(r)
			if err != nil {
				return nil, err
			}
			return m.StartRollout(r.Context(), r.PathValue("id"), o)
		}),
		"POST /v1/rollouts/{id}/abort":    of(s.tell(AbortAction)),
		"POST /v1/rollouts/{id}/resume":   of(s.tell(ResumeAction)),
		"POST /v1/rollouts/{id}/rollback": of(s.tell(RollbackAction)),
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
		return &api.Problem{Status: 422, Title: "the document can't be used", Detail: f.Reason, Field: f.Field}
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

func (s *Server) tell(what string) func(m *Manager, r *http.Request) (any, error) {
	return func(m *Manager, r *http.Request) (any, error) {
		var b struct {
			Leave bool `json:"leave"`
		}
		if err := api.Body(r, &b); err != nil {
			return nil, err
		}
		return m.ControlRollout(r.Context(), r.PathValue("id"), what, b.Leave)
	}
}

// Announcement is what an instance says of itself.
type Announcement struct {
	Addr   string            `json:"addr"`
	Labels map[string]string `json:"labels,omitempty"`
}

func (s *Server) announce(m *Manager, r *http.Request) (any, error) {
	var a Announcement
	if err := api.Body(r, &a); err != nil {
		return nil, err
	}
	return &a, m.RecordAnnouncement(r.Context(), inventory.Instance{Name: r.PathValue("name"), Addr: a.Addr, Labels: a.Labels})
}

// Serve serves at a listener until Close. It closes the listener.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close ends all service.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown ends all service once what is in hand has been answered, within a time.
func (s *Server) Shutdown(within time.Duration) error { return s.http.Shutdown(within) }
