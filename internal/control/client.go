package control

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/document"
)

// Client talks to the control interface of one instance.
type Client struct{ at *api.Caller }

// NewClient returns a client of the interface that a caller calls.
func NewClient(at *api.Caller) *Client { return &Client{at} }

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	return c.at.Call(ctx, method, path, nil, in, out)
}

// once makes a change that has no document, under an id; "" for a new one.
func (c *Client) once(ctx context.Context, id, method, path string, in, out any) error {
	if id == "" {
		id = rand.Text()
	}
	return c.at.Call(ctx, method, path, http.Header{api.IdempotencyKey: {id}}, in, out)
}

// Identity asks which process answers.
func (c *Client) Identity(ctx context.Context) (*Identity, error) {
	var v Identity
	return &v, c.call(ctx, http.MethodGet, "instance", nil, &v)
}

// Summary asks which process answers, and how it serves. A fence above 0 is that of the manager that asks, which the instance
// then knows to have spoken; an instance of an older build is asked without.
func (c *Client) Summary(ctx context.Context, number uint64) (*Summary, error) {
	var v Summary
	if number > 0 {
		err := c.call(ctx, http.MethodPost, "fence", fence{number}, &v)
		var p *api.Problem
		if !errors.As(err, &p) || p.Status != http.StatusNotFound && p.Status != http.StatusPreconditionFailed {
			return &v, err
		}
	}
	return &v, c.call(ctx, http.MethodGet, "summary", nil, &v)
}

// State asks for all that is shown.
func (c *Client) State(ctx context.Context) (*State, error) {
	var v State
	return &v, c.call(ctx, http.MethodGet, "state", nil, &v)
}

// Document asks for the document in force.
func (c *Client) Document(ctx context.Context) (*VersionedDocument, error) {
	v := VersionedDocument{Document: &document.Document{}}
	return &v, c.call(ctx, http.MethodGet, "document", nil, &v)
}

// Change asks what became of a change.
func (c *Client) Change(ctx context.Context, id string) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodGet, "changes/"+url.PathEscape(id), nil, &v)
}

// Prepare has the instance check a change, and keep it for its commit.
func (c *Client) Prepare(ctx context.Context, id string, p *Proposal) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodPut, "changes/"+url.PathEscape(id), p, &v)
}

type fence struct {
	Fence uint64 `json:"fence"`
}

// Commit has the instance apply what it has prepared.
func (c *Client) Commit(ctx context.Context, id string, number uint64) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodPost, "changes/"+url.PathEscape(id)+"/commit", fence{number}, &v)
}

// Abort ends a change that is not committed.
func (c *Client) Abort(ctx context.Context, id string, number uint64) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodPost, "changes/"+url.PathEscape(id)+"/abort", fence{number}, &v)
}

// Confirm keeps a change that must be confirmed.
func (c *Client) Confirm(ctx context.Context, id string, number uint64) (*Change, error) {
	var v Change
	return &v, c.call(ctx, http.MethodPost, "changes/"+url.PathEscape(id)+"/confirm", fence{number}, &v)
}

// Hold keeps a backend out for so many seconds; 0 lets it in. A repeat under an id does nothing; "" is a new one.
func (c *Client) Hold(ctx context.Context, id, backend string, seconds float64) (*BackendHold, error) {
	var v BackendHold
	path := "holds/" + url.PathEscape(backend)
	if seconds == 0 {
		return &v, c.once(ctx, id, http.MethodDelete, path, nil, &v)
	}
	return &v, c.once(ctx, id, http.MethodPut, path, map[string]float64{"for_s": seconds}, &v)
}

// Level asks for the level of service.
func (c *Client) Level(ctx context.Context) (*Level, error) {
	var v Level
	return &v, c.call(ctx, http.MethodGet, "level", nil, &v)
}

// HoldLevel keeps a level for so many seconds and says why; 0 lets the figures decide again. A repeat under an id does nothing;
// "" is a new one.
func (c *Client) HoldLevel(ctx context.Context, id, level string, seconds float64, why string) (*Level, error) {
	var v Level
	if seconds == 0 {
		return &v, c.once(ctx, id, http.MethodDelete, "level", nil, &v)
	}
	return &v, c.once(ctx, id, http.MethodPut, "level", map[string]any{"level": level, "for_s": seconds, "why": why}, &v)
}

// Sites asks for the sites.
func (c *Client) Sites(ctx context.Context) (*Sites, error) {
	var v Sites
	return &v, c.call(ctx, http.MethodGet, "sites", nil, &v)
}

// TakeOut takes a site out for so many seconds and says why; 0 lets it in again. Unless it is forced it is refused where the
// others could not carry the load. A repeat under an id does nothing; "" is a new one.
func (c *Client) EvacuateSite(ctx context.Context, id, site string, seconds float64, force bool, why string) (*Sites, error) {
	var v Sites
	path := "sites/" + url.PathEscape(site) + "/out"
	if seconds == 0 {
		return &v, c.once(ctx, id, http.MethodDelete, path, nil, &v)
	}
	return &v, c.once(ctx, id, http.MethodPut, path, map[string]any{"for_s": seconds, "force": force, "why": why}, &v)
}

// SetTaking says whether the instance takes requests.
func (c *Client) SetAccepting(ctx context.Context, id string, on bool) (*Admission, error) {
	var v Admission
	return &v, c.once(ctx, id, http.MethodPut, "taking", &Admission{on}, &v)
}

// Reload has the instance read its configuration again.
func (c *Client) Reload(ctx context.Context, id string) (*Identity, error) {
	var v Identity
	return &v, c.once(ctx, id, http.MethodPost, "reload", struct{}{}, &v)
}

// Watch calls a function with each event of the stream until the context ends, the function says so, or the instance has
// been silent for too long.
func (c *Client) Watch(ctx context.Context, f func(*Event) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := c.at.Open(ctx, http.MethodGet, "watch", nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	late := newAlarm(3*beatEvery, cancel)
	defer late.stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, mostEvent)
	for lines.Scan() {
		late.again()
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return fmt.Errorf("the instance's event: %w", err)
		}
		if err := f(&e); err != nil {
			return err
		}
	}
	switch {
	case late.rang():
		return errSilent
	case lines.Err() != nil:
		return fmt.Errorf("watching: %w", lines.Err())
	}
	return io.ErrUnexpectedEOF
}

var errSilent = errors.New("the instance has fallen silent")
