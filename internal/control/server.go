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

// maxHold is the longest hold of a backend or level, and the longest evacuation of a site.
const maxHold = 24 * time.Hour

// Identity identifies the process that serves the control interface, and its configuration.
type Identity struct {
	Name     string  `json:"name"`
	Epoch    string  `json:"epoch"` // unique to the process
	Uptime   float64 `json:"uptime_s"`
	Revision uint64  `json:"revision"` // revision of the document in force
	Hash     string  `json:"hash"`
	// Mixed lists the parts that a different document governs, because a change could neither be
	// fully applied nor fully reverted.
	Mixed   []string `json:"mixed,omitempty"`
	Fence   uint64   `json:"fence"`             // highest fencing token that a manager has sent
	Pending string   `json:"pending,omitempty"` // id of the change in progress
	Taking  bool     `json:"taking"`            // whether requests are accepted

	Labels        map[string]string `json:"labels,omitempty"`
	Configuration string            `json:"configuration,omitempty"` // hash of the platform configuration that was read last
}

// Server serves the control interface of one process.
type Server struct {
	service *service
	options Options
	http    *api.Server
}

// Options configure the server, beside what the instance itself reports.
type Options struct {
	Epoch         string // unique to the process
	Labels        map[string]string
	Configuration func() string // returns the hash of the platform configuration
	Access        api.Door      // listeners and access control
}

// NewServer returns a server that is not serving yet.
func NewServer(instance Instance, options Options) *Server {
	s := &Server{service: newService(instance, options.Epoch), options: options}
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

// routes returns the handlers by route pattern. openapi.yaml describes them, and a test compares the
// two.
func (s *Server) routes() map[string]http.HandlerFunc {
	handle := func(respond func(r *http.Request) (any, error)) http.HandlerFunc {
		return api.Handler(document.MaxSize+4096, s.service.problem, respond)
	}
	return map[string]http.HandlerFunc{
		"GET /v1/instance":              handle(s.identity),
		"GET /v1/summary":               handle(s.summary),
		"GET /v1/state":                 handle(s.viewState(func(st *State) any { return st })),
		"GET /v1/backends":              handle(s.viewState(func(st *State) any { return st.Backends })),
		"GET /v1/requests":              handle(s.viewState(func(st *State) any { return st.Requests })),
		"GET /v1/causes":                handle(s.viewState(func(st *State) any { return st.Causes })),
		"GET /v1/classes":               handle(s.viewState(func(st *State) any { return st.Classes })),
		"GET /v1/accounts":              handle(s.viewState(func(st *State) any { return st.Accounts })),
		"GET /v1/watch":                 s.watch,
		"GET /v1/document":              handle(s.document),
		"GET /v1/changes/{id}":          handle(s.changeStatus),
		"PUT /v1/changes/{id}":          handle(s.prepare),
		"POST /v1/changes/{id}/commit":  handle(s.commit),
		"POST /v1/fence":                handle(s.observeFence),
		"POST /v1/changes/{id}/abort":   handle(s.withFence(s.service.abort)),
		"POST /v1/changes/{id}/confirm": handle(s.withFence(s.service.confirm)),
		"PUT /v1/holds/{backend}":       handle(s.holdBackend),
		"DELETE /v1/holds/{backend}":    handle(s.holdBackend),
		"GET /v1/level":                 handle(s.level),
		"PUT /v1/level":                 handle(s.holdLevel),
		"DELETE /v1/level":              handle(s.holdLevel),
		"GET /v1/sites":                 handle(s.sites),
		"PUT /v1/sites/{site}/out":      handle(s.evacuateSite),
		"DELETE /v1/sites/{site}/out":   handle(s.evacuateSite),
		"PUT /v1/taking":                handle(s.setAccepting),
		"POST /v1/reload":               handle(s.reload),
		"GET /v1/openapi.yaml":          serveOpenAPI,
	}
}

//go:embed openapi.yaml
var openapi []byte

func serveOpenAPI(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/yaml")
	w.Write(openapi) // an error means that the client has disconnected
}

// Serve accepts connections on a listener until Close is called, and closes the listener.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close stops the server and its timer.
func (s *Server) Close() error {
	s.service.close()
	return s.http.Close()
}

func (s *Server) identity(r *http.Request) (any, error) {
	state, err := s.service.instance.State(r.Context())
	if err != nil {
		return nil, err
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return s.identify(state), nil
}

// identify returns the identity of the process. The caller holds the service's mutex.
func (s *Server) identify(state *State) *Identity {
	machine := s.service.stateMachine
	id := &Identity{
		Name: s.service.instance.Name(), Epoch: machine.Epoch(), Uptime: s.service.now().Seconds(), Revision: machine.Revision(),
		Hash: machine.Current().Hash, Fence: machine.Fence(), Pending: machine.Pending(), Taking: state.Taking, Labels: s.options.Labels, Mixed: machine.MixedParts(),
	}
	if s.options.Configuration != nil {
		id.Configuration = s.options.Configuration()
	}
	return id
}

// Summary is what a manager polls regularly.
type Summary struct {
	Identity
	Held    int           `json:"held"` // number of requests in flight
	Service RequestCounts `json:"service"`
}

// viewState returns a handler that answers with a part of the state.
func (s *Server) viewState(part func(*State) any) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		state, err := s.service.instance.State(r.Context())
		if err != nil {
			return nil, err
		}
		return part(state), nil
	}
}

func (s *Server) summary(r *http.Request) (any, error) {
	state, err := s.service.instance.State(r.Context())
	if err != nil {
		return nil, err
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return &Summary{*s.identify(state), state.Held, state.Service}, nil
}

// observeFence records a manager's fencing token and answers with the summary. Lower tokens are
// refused from then on, which fences off the previous manager.
func (s *Server) observeFence(r *http.Request) (any, error) {
	var body struct {
		Fence uint64 `json:"fence"`
	}
	if err := api.Body(r, &body); err != nil {
		return nil, err
	}
	if err := s.service.observeFence(body.Fence); err != nil {
		return nil, err
	}
	return s.summary(r)
}

// VersionedDocument is a settings document with its revision and hash.
type VersionedDocument struct {
	Revision uint64             `json:"revision"`
	Hash     string             `json:"hash"`
	Document *document.Document `json:"document"`
}

func (s *Server) document(*http.Request) (any, error) {
	d, revision := s.service.current()
	return &VersionedDocument{revision, d.Hash(), d}, nil
}

func (s *Server) changeStatus(r *http.Request) (any, error) {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return s.service.changeStatus(r.PathValue("id")), nil
}

func (s *Server) prepare(r *http.Request) (any, error) {
	var body struct {
		Base     uint64          `json:"base"`
		Fence    uint64          `json:"fence"`
		Confirm  float64         `json:"confirm_s"`
		Document json.RawMessage `json:"document"`
	}
	if err := api.Body(r, &body); err != nil {
		return nil, err
	}
	if !(body.Confirm >= 0 && body.Confirm <= 3600) {
		return nil, &api.Problem{Status: 422, Title: "invalid change", Detail: fmt.Sprintf("%v is not between 0 and 3600", body.Confirm), Field: "confirm_s"}
	}
	d, err := document.Parse(body.Document)
	if err != nil {
		return nil, err
	}
	return s.service.prepare(r.PathValue("id"), &Proposal{body.Base, body.Fence, body.Confirm, d})
}

func (s *Server) commit(r *http.Request) (any, error) {
	var body struct {
		Fence uint64 `json:"fence"`
	}
	if err := api.Body(r, &body); err != nil {
		return nil, err
	}
	return s.service.commit(r.Context(), r.PathValue("id"), body.Fence)
}

// withFence returns a handler that reads a fencing token and applies an operation on a change with it.
func (s *Server) withFence(apply func(id string, fence uint64) (*Change, error)) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		var body struct {
			Fence uint64 `json:"fence"`
		}
		if err := api.Body(r, &body); err != nil {
			return nil, err
		}
		return apply(r.PathValue("id"), body.Fence)
	}
}

// BackendHold tells for how long a backend is excluded from traffic.
type BackendHold struct {
	Backend string  `json:"backend"`
	For     float64 `json:"for_s"` // seconds; 0: the hold has ended
}

func (s *Server) holdBackend(r *http.Request) (any, error) {
	hold := BackendHold{Backend: r.PathValue("backend")}
	if r.Method == http.MethodPut {
		var body struct {
			For float64 `json:"for_s"`
		}
		if err := api.Body(r, &body); err != nil {
			return nil, err
		}
		if hold.For = body.For; !(hold.For > 0 && hold.For <= maxHold.Seconds()) {
			return nil, &api.Problem{Status: 422, Title: "invalid hold", Detail: fmt.Sprintf("%v is not between 0 and %v", hold.For, maxHold.Seconds()), Field: "for_s"}
		}
	}
	return s.runOnce(r, fmt.Sprintf("hold %q %v", hold.Backend, hold.For), func() (any, error) {
		known, err := s.service.instance.Hold(r.Context(), hold.Backend, time.Duration(hold.For*float64(time.Second)))
		if err == nil && !known {
			err = &api.Problem{Status: 404, Title: "there is no such backend", Detail: hold.Backend, Field: "backend"}
		}
		return &hold, err
	})
}

// runOnce applies a change that has no document once for each idempotency key: a retry gets the first
// result.
func (s *Server) runOnce(r *http.Request, description string, apply func() (any, error)) (any, error) {
	id, err := api.Key(r)
	if err != nil {
		return nil, err
	}
	return s.service.runOnce(id, description, apply)
}

// Admission tells whether requests are accepted.
type Admission struct {
	Taking bool `json:"taking"`
}

func (s *Server) setAccepting(r *http.Request) (any, error) {
	var body struct {
		Taking *bool `json:"taking"`
	}
	if err := api.Body(r, &body); err != nil {
		return nil, err
	}
	if body.Taking == nil {
		return nil, &api.Problem{Status: 422, Title: "invalid switch", Detail: "missing", Field: "taking"}
	}
	return s.runOnce(r, fmt.Sprintf("taking %v", *body.Taking), func() (any, error) {
		s.service.instance.SetAccepting(*body.Taking)
		return &Admission{*body.Taking}, nil
	})
}

// reload has the process reread the platform configuration.
func (s *Server) reload(r *http.Request) (any, error) {
	state, err := s.service.instance.State(r.Context())
	if err != nil {
		return nil, err
	}
	return s.runOnce(r, "reload", func() (any, error) {
		if err := s.service.instance.Reload(r.Context()); err != nil {
			return nil, &api.Problem{Status: 422, Title: "the configuration is invalid; the previous one stays in force", Detail: err.Error()}
		}
		return s.identify(state), nil
	})
}
