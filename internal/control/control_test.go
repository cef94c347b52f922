package control

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/api/apitest"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/settings"
	"example.org/micaline/internal/site"
)

// fakeInstance is an Instance that records the calls it gets.
type fakeInstance struct {
	base *settings.Settings

	mu        sync.Mutex
	applied   []string
	failing   string // part that fails to apply, or "reload"
	accepting bool
	reloads   int // of the configuration
	holds     map[string]time.Duration
	state     State
	applyGate chan struct{} // if set, Apply waits for it
}

func (f *fakeInstance) Name() string             { return "n1" }
func (f *fakeInstance) Base() *settings.Settings { return f.base }

func (f *fakeInstance) State(context.Context) (*State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.state
	state.Taking = f.accepting
	return &state, nil
}

// updateState changes the state that the instance reports.
func (f *fakeInstance) updateState(update func(*State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(&f.state)
}

func (f *fakeInstance) Apply(_ context.Context, part string, d *document.Document) error {
	if f.applyGate != nil {
		<-f.applyGate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if part == f.failing {
		return errors.New("no")
	}
	f.applied = append(f.applied, part+" "+d.Hash())
	return nil
}

func (f *fakeInstance) Hold(_ context.Context, backend string, d time.Duration) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds[backend] = d
	return backend == "x", nil
}

func (f *fakeInstance) Level(context.Context) (*Level, error) {
	return &Level{Level: "lean", Levels: []string{"normal", "lean"}, Figures: []string{}, Refusals: []LevelRefusal{{"lean", "class", 3}}, History: []LevelChange{}}, nil
}

func (f *fakeInstance) HoldLevel(ctx context.Context, name string, d time.Duration, _ string) (*Level, error) {
	if d > 0 && name != "lean" {
		return nil, errors.New("there is no such level")
	}
	return f.Level(ctx)
}

func (f *fakeInstance) Sites(context.Context) (*Sites, error) {
	after := 0.6
	return &Sites{
		Sites:   []Site{{Name: "a", State: "lost", Servers: 4, Retry: 1.5}},
		Plans:   []SitePlan{{Lose: "a", Share: 0.3, After: &after, Moves: []SiteMove{{"b", 0.3, 0.6}}, First: []SiteRefusal{{"retries", 0.1, 0}}}, {Lose: "b", Moves: []SiteMove{}, First: []SiteRefusal{}}},
		History: []SiteChange{{Site: "a", From: "well", To: "lost", Why: "4 of 4 servers failed"}},
	}, nil
}

func (f *fakeInstance) EvacuateSite(ctx context.Context, name string, d time.Duration, force bool, _ string) (*Sites, error) {
	switch {
	case name != "a":
		return nil, site.ErrUnknownSite
	case d > 0 && !force:
		return nil, site.ErrInsufficientCapacity
	}
	return f.Sites(ctx)
}

func (f *fakeInstance) SetAccepting(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepting = on
}

func (f *fakeInstance) Reload(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reloads++; f.failing == "reload" {
		return errors.New("line 3: no")
	}
	return nil
}

// startServer starts a server of a fake instance. It returns the instance, a client and the path of the
// server's socket.
func startServer(t *testing.T) (*fakeInstance, *Client, string) {
	t.Helper()
	base, err := settings.Parse([]byte(`{"categories":[{"name":"close","aim":600,"deadline":2500,"credit":2,"effect":"side_effect"}],
		"replicasOfMe":1,"limits":{"maxAttempts":3,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}`))
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeInstance{base: &base, accepting: true, holds: map[string]time.Duration{}, state: State{
		Backends: []Backend{{Name: "x", Phase: "Ready"}}, Requests: []Request{}, Causes: []FailureCause{}, Classes: []Class{}, Accounts: []Account{},
	}}
	path := filepath.Join(t.TempDir(), "c")
	l, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(f, Options{Epoch: "e1", Labels: map[string]string{"zone": "a"}, Configuration: func() string { return "c1" }})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f, unixClient(t, path), path
}

// unixClient returns a client of the interface at a Unix socket.
func unixClient(t *testing.T, path string) *Client {
	t.Helper()
	d, err := api.NewDialer(api.Credentials{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return NewClient(d.At(api.Address{Name: "n1", Unix: path}))
}

func newProposal(t *testing.T, text string) *Proposal {
	t.Helper()
	d, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return &Proposal{Fence: 1, Document: d}
}

const worthDocument = `{"decisions":{"classes":{"close":{"worth":9}}}}`

// Preparing a change applies nothing. Committing it applies all parts, and a repeated commit gets the
// first result.
func TestChange(t *testing.T) {
	instance, client, _ := startServer(t)
	ctx := t.Context()
	p := newProposal(t, worthDocument)
	if r, err := client.Prepare(ctx, "x", p); err != nil || r.Outcome != "none" || r.Pending != "x" || r.Epoch != "e1" || len(instance.applied) > 0 {
		t.Fatalf("prepared: %+v, error %v, did %v", r, err, instance.applied)
	}
	for range 2 {
		r, err := client.Commit(ctx, "x", 1)
		if err != nil || r.Outcome != "applied" || r.Revision != 1 || len(instance.applied) != len(document.Parts) {
			t.Fatalf("committed: %+v, error %v, did %v", r, err, instance.applied)
		}
	}
	v, err := client.Document(ctx)
	if err != nil || v.Revision != 1 || v.Hash != p.Document.Hash() || v.Document.Hash() != v.Hash {
		t.Errorf("in force: %+v, error %v", v, err)
	}
	if id, err := client.Identity(ctx); err != nil || id.Name != "n1" || id.Revision != 1 || id.Hash != v.Hash || id.Fence != 1 {
		t.Errorf("identity %+v, error %v", id, err)
	}
	if r, err := client.Change(ctx, "x"); err != nil || r.Outcome != "applied" {
		t.Errorf("asked later: %+v, error %v", r, err)
	}
}

// If a part fails to apply, the parts before it are reverted and the old document stays in force.
func TestFailedPart(t *testing.T) {
	instance, client, _ := startServer(t)
	instance.failing = document.PartDecisions
	if _, err := client.Prepare(t.Context(), "x", newProposal(t, worthDocument)); err != nil {
		t.Fatal(err)
	}
	r, err := client.Commit(t.Context(), "x", 1)
	if err != nil || r.Outcome != "unchanged" || r.Revision != 0 || !strings.Contains(r.Reason, "decisions") {
		t.Errorf("%+v, error %v", r, err)
	}
	empty := (&document.Document{}).Hash()
	if len(instance.applied) != 4 || instance.applied[3] != "service "+empty {
		t.Errorf("did %v", instance.applied)
	}
}

// A change that is not confirmed in time is reverted automatically; a confirmed one stays.
func TestConfirm(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		_, client, _ := startServer(t)
		p := newProposal(t, worthDocument)
		if p.Confirm = 0.05; confirmed {
			p.Confirm = 60
		}
		if _, err := client.Prepare(t.Context(), "x", p); err != nil {
			t.Fatal(err)
		}
		if r, err := client.Commit(t.Context(), "x", 1); err != nil || r.Outcome == "unchanged" {
			t.Fatalf("committed: %+v, error %v", r, err)
		}
		want := "taken back"
		if confirmed {
			want = "applied"
			if _, err := client.Confirm(t.Context(), "x", 1); err != nil {
				t.Fatal(err)
			}
		}
		for started := time.Now(); ; time.Sleep(time.Millisecond) {
			r, err := client.Change(t.Context(), "x")
			if err != nil {
				t.Fatal(err)
			}
			if r.Outcome == want {
				break
			}
			if time.Since(started) > 20*time.Second {
				t.Fatalf("confirmed %v: %+v", confirmed, r)
			}
		}
	}
}

// A commit whose caller disconnects continues. Its status is "none" until it is applied.
func TestCommitOutlastsItsCaller(t *testing.T) {
	instance, client, _ := startServer(t)
	instance.applyGate = make(chan struct{})
	if _, err := client.Prepare(t.Context(), "x", newProposal(t, worthDocument)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	returned := make(chan struct{})
	go func() {
		client.Commit(ctx, "x", 1)
		close(returned)
	}()
	instance.applyGate <- struct{}{} // the commit is applying its first part
	cancel()
	<-returned
	if r, err := client.Change(t.Context(), "x"); err != nil || r.Outcome != "none" || r.Pending != "x" {
		t.Errorf("meanwhile: %+v, error %v", r, err)
	}
	close(instance.applyGate)
	if r, err := client.Commit(t.Context(), "x", 1); err != nil || r.Outcome != "applied" {
		t.Errorf("asked again: %+v, error %v", r, err)
	}
}

// Invalid requests are refused with a status and the name of the field, and change nothing.
func TestRefusals(t *testing.T) {
	instance, client, _ := startServer(t)
	ctx := t.Context()
	stale := newProposal(t, worthDocument)
	stale.Base = 7
	newer := newProposal(t, worthDocument)
	newer.Fence = 5
	badConfirm := newProposal(t, worthDocument)
	badConfirm.Confirm = -1
	prepare := func(id string, p *Proposal) error { _, err := client.Prepare(ctx, id, p); return err }
	for _, row := range []struct {
		name   string
		err    error
		status int
		field  string
	}{
		{"unknown class", prepare("x", newProposal(t, `{"decisions":{"classes":{"other":{}}}}`)), 422, "decisions.classes.other"},
		{"stale", prepare("x", stale), 409, ""},
		{"confirm", prepare("x", badConfirm), 422, "confirm_s"},
		{"newer manager", prepare("y", newer), 0, ""},
		{"older manager", prepare("z", newProposal(t, worthDocument)), 412, ""},
		{"not prepared", func() error { _, err := client.Commit(ctx, "z", 5); return err }(), 409, ""},
		{"hold of nobody", func() error { _, err := client.Hold(ctx, "", "nobody", 5); return err }(), 404, "backend"},
		{"level for ever", func() error { _, err := client.HoldLevel(ctx, "", "lean", 1e9, "a fair"); return err }(), 422, "for_s"},
		{"level without a reason", func() error { _, err := client.HoldLevel(ctx, "", "lean", 5, ""); return err }(), 422, "why"},
		{"level of nobody", func() error { _, err := client.HoldLevel(ctx, "", "none", 5, "a fair"); return err }(), 422, "level"},
		{"site for ever", func() error { _, err := client.EvacuateSite(ctx, "", "a", 1e9, true, "a fair"); return err }(), 422, "for_s"},
		{"site without a reason", func() error { _, err := client.EvacuateSite(ctx, "", "a", 5, true, ""); return err }(), 422, "why"},
		{"site of nobody", func() error { _, err := client.EvacuateSite(ctx, "", "none", 5, true, "a fair"); return err }(), 404, "site"},
		{"the last site", func() error { _, err := client.EvacuateSite(ctx, "", "a", 5, false, "a fair"); return err }(), 409, "site"},
		{"hold for ever", func() error { _, err := client.Hold(ctx, "", "x", 1e9); return err }(), 422, "for_s"},
	} {
		var p *api.Problem
		if row.status == 0 && row.err == nil {
			continue
		}
		if !errors.As(row.err, &p) || p.Status != row.status || p.Field != row.field {
			t.Errorf("%s: %v", row.name, row.err)
		}
	}
	if len(instance.applied) > 0 {
		t.Errorf("did %v", instance.applied)
	}
}

// Bodies that are too large, not JSON, or have unknown fields are refused, and so are unknown paths and
// methods.
func TestBadBodies(t *testing.T) {
	instance, _, path := startServer(t)
	for name, request := range map[string]struct {
		method, path, body string
		status             int
	}{
		"60 MB":         {"PUT", "changes/x", `{"document":"` + strings.Repeat("x", 60<<20) + `"}`, 413},
		"no JSON":       {"PUT", "changes/x", "\x00\x01", 400},
		"unknown field": {"PUT", "changes/x", `{"docment":{}}`, 400},
		"no document":   {"PUT", "changes/x", `{"base":0}`, 422},
		"unknown inner": {"PUT", "changes/x", `{"document":{"servce":{}}}`, 422},
		"no switch":     {"PUT", "taking", `{}`, 422},
		"unknown path":  {"GET", "nothing", "", 404},
		"method":        {"DELETE", "changes/x", "", 405},
	} {
		req, err := http.NewRequestWithContext(t.Context(), request.method, "http://instance/v1/"+request.path, strings.NewReader(request.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(api.IdempotencyKey, "x")
		resp, err := apitest.Raw(path).Do(req)
		if err != nil {
			if request.status == 413 {
				continue // the server closed the connection while the client was still sending
			}
			t.Errorf("%s: %v", name, err)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != request.status {
			t.Errorf("%s: %s", name, resp.Status)
		}
	}
	if len(instance.applied) > 0 || !instance.accepting {
		t.Errorf("did %v", instance.applied)
	}
}

// Holds, admission switches and reloads are idempotent: a repeat of an id applies nothing and gets the
// first result, and a different change under the same id is refused.
func TestHoldTakingReload(t *testing.T) {
	instance, client, _ := startServer(t)
	ctx := t.Context()
	if _, err := client.Hold(ctx, "one", "x", 2.5); err != nil || instance.holds["x"] != 2500*time.Millisecond {
		t.Errorf("held for %v, error %v", instance.holds["x"], err)
	}
	if _, err := client.Hold(ctx, "two", "x", 0); err != nil || instance.holds["x"] != 0 {
		t.Errorf("held for %v, error %v", instance.holds["x"], err)
	}
	if h, err := client.Hold(ctx, "one", "x", 2.5); err != nil || h.For != 2.5 || instance.holds["x"] != 0 {
		t.Errorf("the same again: %+v, error %v, held for %v", h, err, instance.holds["x"])
	}
	var p *api.Problem
	if _, err := client.Hold(ctx, "one", "x", 3); !errors.As(err, &p) || p.Status != 409 {
		t.Errorf("another under its id: %v", err)
	}
	if v, err := client.SetAccepting(ctx, "", false); err != nil || v.Taking || instance.accepting {
		t.Errorf("taking %v, error %v", instance.accepting, err)
	}
	for range 2 {
		if id, err := client.Reload(ctx, "r"); err != nil || id.Configuration != "c1" || instance.reloads != 1 {
			t.Errorf("reloaded: %+v, error %v, %d times", id, err, instance.reloads)
		}
	}
	instance.failing = "reload"
	if _, err := client.Reload(ctx, "s"); !errors.As(err, &p) || p.Status != 422 || p.Detail != "line 3: no" {
		t.Errorf("a bad configuration: %v", err)
	}
	if err := client.call(ctx, "PUT", "taking", &Admission{true}, nil); !errors.As(err, &p) || p.Field != api.IdempotencyKey {
		t.Errorf("without an id: %v", err)
	}
}

// The first event of the watch stream has the whole state; later events have only what changed.
func TestWatch(t *testing.T) {
	instance, client, _ := startServer(t)
	instance.updateState(func(s *State) { s.Backends = []Backend{{Name: "x", Phase: "Ready"}, {Name: "y", Phase: "Ready"}} })
	var events []*Event
	errEnough := errors.New("enough")
	err := client.Watch(t.Context(), func(e *Event) error {
		switch events = append(events, e); len(events) {
		case 1:
			instance.updateState(func(s *State) { // a change of InFlight alone causes no event
				s.Backends = []Backend{{Name: "x", Phase: "Ready", InFlight: 3}, {Name: "y", Phase: "Ready"}}
				s.Service.Requests = 7
			})
		case 2:
			instance.updateState(func(s *State) { s.Backends = []Backend{{Name: "x", Phase: "Terminating"}} })
		case 3:
			return errEnough
		}
		return nil
	})
	if err != errEnough {
		t.Fatal(err)
	}
	if e := events[0]; e.Identity == nil || e.Identity.Labels["zone"] != "a" || len(e.Backends) != 2 || e.Service == nil || e.Held == nil {
		t.Errorf("first %+v", e)
	}
	if e := events[1]; e.Identity != nil || e.Backends != nil || e.Service.Requests != 7 || e.Held != nil {
		t.Errorf("then %+v", e)
	}
	if e := events[2]; len(e.Backends) != 1 || e.Backends[0].Phase != "Terminating" || len(e.Gone) != 1 || e.Gone[0] != "y" {
		t.Errorf("then %+v", e)
	}
}

var _ Instance = (*fakeInstance)(nil)
