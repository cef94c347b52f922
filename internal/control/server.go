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

const maxHold = 24 * time.Hour

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

// routes are all that the interface answers to. openapi.yaml describes them, and a test holds the two together.
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
	state, err := s.service.instance.State(r.Context())
	if err != nil {
		return nil, err
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return s.identify(state), nil
}

// identify says which process this is. The service's mutex is held.
func (s *Server) identify(st *State) *Identity {
	machine := s.service.stateMachine
	id := &Identity{
		Name: s.service.instance.Name(), Epoch: machine.Epoch(), Uptime: s.service.now().Seconds(), Revision: machine.Revision(),
		Hash: machine.Current().Hash, Fence: machine.Fence(), Pending: machine.Pending(), Taking: st.Taking, Labels: s.options.Labels, Mixed: machine.Mixed(),
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

// hear takes in that a manager has spoken, and answers with the summary: whoever was the manager before is refused from then on.
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

// Versioned is a document and its revision.
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
		return nil, &api.Problem{Status: 422, Title: "the change can't be used", Detail: fmt.Sprintf("%v is not between 0 and 3600", body.Confirm), Field: "confirm_s"}
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

// Holding is how long a backend is held out.
type BackendHold struct {
	Backend string  `json:"backend"`
	For     float64 `json:"for_s"` // 0: it is let in
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
			return nil, &api.Problem{Status: 422, Title: "the hold can't be used", Detail: fmt.Sprintf("%v is not between 0 and %v", hold.For, maxHold.Seconds()), Field: "for_s"}
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

// once makes a change that has no document under the id that the request has.
func (s *Server) runOnce(r *http.Request, description string, apply func() (any, error)) (any, error) {
	id, err := api.Key(r)
	if err != nil {
		return nil, err
	}
	return s.service.runOnce(id, description, apply)
}

// Taking says whether requests are taken.
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
		return nil, &api.Problem{Status: 422, Title: "the switch can't be used", Detail: "missing", Field: "taking"}
	}
	return s.runOnce(r, fmt.Sprintf("taking %v", *body.Taking), func() (any, error) {
		s.service.instance.SetAccepting(*body.Taking)
		return &Admission{*body.Taking}, nil
	})
}

// reload has the process read the platform's configuration again.
func (s *Server) reload(r *http.Request) (any, error) {
	state, err := s.service.instance.State(r.Context())
	if err != nil {
		return nil, err
	}
	return s.runOnce(r, "reload", func() (any, error) {
		if err := s.service.instance.Reload(r.Context()); err != nil {
			return nil, &api.Problem{Status: 422, Title: "the configuration can't be used, and the old one stays", Detail: err.Error()}
		}
		return s.identify(state), nil
	})
}
