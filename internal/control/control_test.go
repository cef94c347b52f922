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

	"example.org/micaline/internal/document"
	"example.org/micaline/internal/settings"
)

// fake is an instance that notes what is done to it.
type fake struct {
	base *settings.Settings

	mu     sync.Mutex
	did    []string
	fails  string // part whose application fails
	taking bool
	holds  map[string]time.Duration
	gate   chan struct{} // if set, applying waits for it
}

func (f *fake) Name() string             { return "n1" }
func (f *fake) Base() *settings.Settings { return f.base }

func (f *fake) Look(context.Context) (*State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &State{Taking: f.taking, Backends: []Backend{{Name: "x", Phase: "Ready"}}, Requests: []Request{}, Causes: []Cause{}}, nil
}

func (f *fake) Apply(_ context.Context, part string, d *document.Document) error {
	if f.gate != nil {
		<-f.gate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if part == f.fails {
		return errors.New("no")
	}
	f.did = append(f.did, part+" "+d.Hash())
	return nil
}

func (f *fake) Hold(_ context.Context, backend string, d time.Duration) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds[backend] = d
	return backend == "x", nil
}

func (f *fake) SetTaking(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taking = on
}

// serve starts a server of a fake instance and returns a client of it.
func serve(t *testing.T) (*fake, *Client, string) {
	t.Helper()
	base, err := settings.Parse([]byte(`{"categories":[{"name":"close","aim":600,"deadline":2500,"credit":2,"effect":"side_effect"}],
		"replicasOfMe":1,"limits":{"maxAttempts":3,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}`))
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{base: &base, taking: true, holds: map[string]time.Duration{}}
	path := filepath.Join(t.TempDir(), "c")
	l, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(f, "e1")
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f, NewUnixClient(path), path
}

func proposal(t *testing.T, text string) *Proposal {
	t.Helper()
	d, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return &Proposal{Fence: 1, Document: d}
}

const someWorth = `{"decisions":{"classes":{"close":{"worth":9}}}}`

// A change is prepared, which applies nothing, and committed; repeats get the first result.
func TestChange(t *testing.T) {
	f, c, _ := serve(t)
	ctx := t.Context()
	p := proposal(t, someWorth)
	if r, err := c.Prepare(ctx, "x", p); err != nil || r.Outcome != "none" || r.Pending != "x" || r.Epoch != "e1" || len(f.did) > 0 {
		t.Fatalf("prepared: %+v, error %v, did %v", r, err, f.did)
	}
	for range 2 {
		r, err := c.Commit(ctx, "x", 1)
		if err != nil || r.Outcome != "applied" || r.Revision != 1 || len(f.did) != 2 {
			t.Fatalf("committed: %+v, error %v, did %v", r, err, f.did)
		}
	}
	v, err := c.Document(ctx)
	if err != nil || v.Revision != 1 || v.Hash != p.Document.Hash() || v.Document.Hash() != v.Hash {
		t.Errorf("in force: %+v, error %v", v, err)
	}
	if id, err := c.Identity(ctx); err != nil || id.Name != "n1" || id.Revision != 1 || id.Hash != v.Hash || id.Fence != 1 {
		t.Errorf("identity %+v, error %v", id, err)
	}
	if r, err := c.Change(ctx, "x"); err != nil || r.Outcome != "applied" {
		t.Errorf("asked later: %+v, error %v", r, err)
	}
}

// A part that fails leaves what was before.
func TestFailedPart(t *testing.T) {
	f, c, _ := serve(t)
	f.fails = document.Decisions
	if _, err := c.Prepare(t.Context(), "x", proposal(t, someWorth)); err != nil {
		t.Fatal(err)
	}
	r, err := c.Commit(t.Context(), "x", 1)
	if err != nil || r.Outcome != "unchanged" || r.Revision != 0 || !strings.Contains(r.Reason, "decisions") {
		t.Errorf("%+v, error %v", r, err)
	}
	empty := (&document.Document{}).Hash()
	if len(f.did) != 2 || f.did[1] != "service "+empty {
		t.Errorf("did %v", f.did)
	}
}

// What is not confirmed in time is taken back by itself; what is confirmed stays.
func TestConfirm(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		_, c, _ := serve(t)
		p := proposal(t, someWorth)
		if p.Confirm = 0.05; confirmed {
			p.Confirm = 60
		}
		if _, err := c.Prepare(t.Context(), "x", p); err != nil {
			t.Fatal(err)
		}
		if r, err := c.Commit(t.Context(), "x", 1); err != nil || r.Outcome == "unchanged" {
			t.Fatalf("committed: %+v, error %v", r, err)
		}
		want := "taken back"
		if confirmed {
			want = "applied"
			if _, err := c.Confirm(t.Context(), "x", 1); err != nil {
				t.Fatal(err)
			}
		}
		for begun := time.Now(); ; time.Sleep(time.Millisecond) {
			r, err := c.Change(t.Context(), "x")
			if err != nil {
				t.Fatal(err)
			}
			if r.Outcome == want {
				break
			}
			if time.Since(begun) > 20*time.Second {
				t.Fatalf("confirmed %v: %+v", confirmed, r)
			}
		}
	}
}

// A commit that outlasts its caller goes on, and is told as what it is.
func TestCommitOutlastsItsCaller(t *testing.T) {
	f, c, _ := serve(t)
	f.gate = make(chan struct{})
	if _, err := c.Prepare(t.Context(), "x", proposal(t, someWorth)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan struct{})
	go func() {
		c.Commit(ctx, "x", 1)
		close(gone)
	}()
	f.gate <- struct{}{} // it has begun
	cancel()
	<-gone
	if r, err := c.Change(t.Context(), "x"); err != nil || r.Outcome != "none" || r.Pending != "x" {
		t.Errorf("meanwhile: %+v, error %v", r, err)
	}
	close(f.gate)
	if r, err := c.Commit(t.Context(), "x", 1); err != nil || r.Outcome != "applied" {
		t.Errorf("asked again: %+v, error %v", r, err)
	}
}

// What can't be done is refused with its reason and its field, and changes nothing.
func TestRefusals(t *testing.T) {
	f, c, _ := serve(t)
	ctx := t.Context()
	stale := proposal(t, someWorth)
	stale.Base = 7
	newer := proposal(t, someWorth)
	newer.Fence = 5
	long := proposal(t, someWorth)
	long.Confirm = -1
	prepare := func(id string, p *Proposal) error { _, err := c.Prepare(ctx, id, p); return err }
	for _, row := range []struct {
		what   string
		err    error
		status int
		field  string
	}{
		{"unknown class", prepare("x", proposal(t, `{"decisions":{"classes":{"other":{}}}}`)), 422, "decisions.classes.other"},
		{"stale", prepare("x", stale), 409, ""},
		{"confirm", prepare("x", long), 422, "confirm_s"},
		{"newer manager", prepare("y", newer), 0, ""},
		{"older manager", prepare("z", proposal(t, someWorth)), 412, ""},
		{"not prepared", func() error { _, err := c.Commit(ctx, "z", 5); return err }(), 409, ""},
		{"hold of nobody", c.Hold(ctx, "nobody", 5), 404, "backend"},
		{"hold for ever", c.Hold(ctx, "x", 1e9), 422, "for_s"},
	} {
		var p *Problem
		if row.status == 0 && row.err == nil {
			continue
		}
		if !errors.As(row.err, &p) || p.Status != row.status || p.Field != row.field {
			t.Errorf("%s: %v", row.what, row.err)
		}
	}
	if len(f.did) > 0 {
		t.Errorf("did %v", f.did)
	}
}

// Bodies that are too large, not JSON, or have unknown fields are refused, and so are unknown paths and methods.
func TestBadBodies(t *testing.T) {
	f, c, _ := serve(t)
	for what, r := range map[string]struct {
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
		req, err := http.NewRequestWithContext(t.Context(), r.method, "http://instance/v1/"+r.path, strings.NewReader(r.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := c.http.Do(req)
		if err != nil {
			if r.status == 413 {
				continue // it was closed while it was still sending
			}
			t.Errorf("%s: %v", what, err)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != r.status {
			t.Errorf("%s: %s", what, resp.Status)
		}
	}
	if len(f.did) > 0 || !f.taking {
		t.Errorf("did %v", f.did)
	}
}

func TestHoldAndTaking(t *testing.T) {
	f, c, _ := serve(t)
	if err := c.Hold(t.Context(), "x", 2.5); err != nil || f.holds["x"] != 2500*time.Millisecond {
		t.Errorf("held for %v, error %v", f.holds["x"], err)
	}
	if err := c.Hold(t.Context(), "x", 0); err != nil || f.holds["x"] != 0 {
		t.Errorf("held for %v, error %v", f.holds["x"], err)
	}
	if err := c.SetTaking(t.Context(), false); err != nil || f.taking {
		t.Errorf("taking %v, error %v", f.taking, err)
	}
}

// Connections that say nothing are bounded, and end by themselves, so that others come through.
func TestSilentConnections(t *testing.T) {
	_, c, path := serve(t)
	for range 3 * mostConns {
		silent, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if _, err := c.Identity(ctx); err != nil {
		t.Error(err)
	}
}

var _ Instance = (*fake)(nil)
