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

// Server serves the manager's HTTP API to operators and to instances that announce themselves.
type Server struct {
	active *ActiveManager
	http   *api.Server
}

// ActiveManager holds the manager of this process, or none while another process of the group
// manages the fleet. It is safe for concurrent use.
type ActiveManager struct {
	mu           sync.Mutex
	manager      *Manager
	remoteHolder func() string
}

// NewActiveManager returns an ActiveManager without a manager. remoteHolder returns the name of the
// group member that manages the fleet, or "" if it is unknown.
func NewActiveManager(remoteHolder func() string) *ActiveManager {
	return &ActiveManager{remoteHolder: remoteHolder}
}

// Set sets the manager of this process; nil means none.
func (a *ActiveManager) Set(m *Manager) {
	a.mu.Lock()
	a.manager = m
	a.mu.Unlock()
}

// current returns the manager of this process. Without one it returns a problem, which names the
// group member that manages the fleet if it is known.
func (a *ActiveManager) current() (*Manager, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.manager != nil {
		return a.manager, nil
	}
	if holder := a.remoteHolder(); holder != "" {
		return nil, &api.Problem{Status: http.StatusMisdirectedRequest, Title: "another process manages", Detail: holder + " manages the fleet", Field: ""}
	}
	return nil, &api.Problem{Status: http.StatusServiceUnavailable, Title: "no manager is active at the moment", Detail: "no member of the group holds the lease, or the group has no quorum"}
}

// maxBodySize is the maximum size of a request body in bytes.
const maxBodySize = document.MaxSize + 8192

// NewServer returns a server; call Serve to start it. extraRoutes holds further handlers and
// extraRoles the roles that they require, both by pattern.
func NewServer(active *ActiveManager, door *api.Door, extraRoutes map[string]http.HandlerFunc, extraRoles map[string]api.Role) *Server {
	s := &Server{active: active}
	mux := http.NewServeMux()
	for pattern, handler := range s.routes() {
		mux.HandleFunc(pattern, handler)
	}
	for pattern, handler := range extraRoutes {
		mux.HandleFunc(pattern, handler)
	}
	s.http = api.NewServer(door, mux, func(r *http.Request) api.Role {
		_, pattern := mux.Handler(r)
		if extraRole, ok := extraRoles[pattern]; ok {
			return extraRole
		}
		switch {
		case pattern == announcementRoute:
			return api.Announce
		case r.Method == http.MethodGet || r.Method == http.MethodHead || pattern == "POST /v1/plans":
			return api.Read
		}
		return api.Change
	})
	return s
}

const announcementRoute = "PUT /v1/announcements/{name}"

// routes returns the handlers of the API by pattern. openapi.yaml describes them, and TestOpenAPI
// compares both.
func (s *Server) routes() map[string]http.HandlerFunc {
	handle := func(f func(m *Manager, r *http.Request) (any, error)) http.HandlerFunc {
		return api.Handler(maxBodySize, toProblem, func(r *http.Request) (any, error) {
			m, err := s.active.current()
			if err != nil {
				return nil, err
			}
			return f(m, r)
		})
	}
	return map[string]http.HandlerFunc{
		"GET /v1/manager":   handle(func(m *Manager, r *http.Request) (any, error) { return m.Status(r.Context()) }),
		"POST /v1/takeover": handle(func(m *Manager, r *http.Request) (any, error) { return m.TakeOver(r.Context()) }),
		"GET /v1/instances": handle(func(m *Manager, r *http.Request) (any, error) {
			return m.Instances(r.Context(), r.URL.Query().Get("select"))
		}),
		announcementRoute: handle(s.recordAnnouncement),
		"POST /v1/plans": handle(func(m *Manager, r *http.Request) (any, error) {
			o, err := parseOrder(r)
			if err != nil {
				return nil, err
			}
			return m.Plan(r.Context(), o)
		}),
		"GET /v1/rollouts":      handle(func(m *Manager, r *http.Request) (any, error) { return m.Reports(r.Context()) }),
		"GET /v1/rollouts/{id}": handle(func(m *Manager, r *http.Request) (any, error) { return m.Report(r.Context(), r.PathValue("id")) }),
		"PUT /v1/rollouts/{id}": handle(func(m *Manager, r *http.Request) (any, error) {
			o, err := parseOrder(r)
			if err != nil {
				return nil, err
			}
			return m.StartRollout(r.Context(), r.PathValue("id"), o)
		}),
		"POST /v1/rollouts/{id}/abort":    handle(s.controlRollout(AbortAction)),
		"POST /v1/rollouts/{id}/resume":   handle(s.controlRollout(ResumeAction)),
		"POST /v1/rollouts/{id}/rollback": handle(s.controlRollout(RollbackAction)),
		"GET /v1/openapi.yaml":            serveOpenAPI,
	}
}

//go:embed openapi.yaml
var openapi []byte

func serveOpenAPI(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/yaml")
	w.Write(openapi) // a write error means that the client has gone
}

func toProblem(err error) *api.Problem {
	var problem *api.Problem
	var fieldErr *document.FieldError
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &fieldErr):
		return &api.Problem{Status: 422, Title: "the document can't be used", Detail: fieldErr.Reason, Field: fieldErr.Field}
	}
	return &api.Problem{Status: 503, Title: "the manager did not answer", Detail: err.Error()}
}

// parseOrder reads an order from a request body. Errors in its document name the field.
func parseOrder(r *http.Request) (*Order, error) {
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

func (s *Server) controlRollout(action string) func(m *Manager, r *http.Request) (any, error) {
	return func(m *Manager, r *http.Request) (any, error) {
		var b struct {
			Leave bool `json:"leave"`
		}
		if err := api.Body(r, &b); err != nil {
			return nil, err
		}
		return m.ControlRollout(r.Context(), r.PathValue("id"), action, b.Leave)
	}
}

// Announcement is the address and labels that an instance announces.
type Announcement struct {
	Addr   string            `json:"addr"`
	Labels map[string]string `json:"labels,omitempty"`
}

func (s *Server) recordAnnouncement(m *Manager, r *http.Request) (any, error) {
	var a Announcement
	if err := api.Body(r, &a); err != nil {
		return nil, err
	}
	return &a, m.RecordAnnouncement(r.Context(), inventory.Instance{Name: r.PathValue("name"), Addr: a.Addr, Labels: a.Labels})
}

// Serve serves on a listener until Close or Shutdown. It closes the listener.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close closes the server and its connections at once.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown closes the server once requests in progress have been answered, or after a timeout.
func (s *Server) Shutdown(within time.Duration) error { return s.http.Shutdown(within) }
