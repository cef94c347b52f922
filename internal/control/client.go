package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"example.org/micaline/internal/document"
)

// Client talks to the control interface of one instance.
type Client struct{ http http.Client }

// mostAnswer is how many bytes of an answer are read.
const mostAnswer = 16 << 20

// NewUnixClient returns a client of the interface at a Unix socket.
func NewUnixClient(path string) *Client {
	return &Client{http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", path)
		},
		DisableKeepAlives: true, // an operator's word comes seldom, and connections are few
	}}}
}

// call makes a request and reads its answer into out. A refusal is a *Problem.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://instance/v1/"+path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("asking the instance: %w", err)
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(io.LimitReader(resp.Body, mostAnswer))
	if resp.StatusCode != http.StatusOK {
		p := &Problem{Status: resp.StatusCode, Title: resp.Status}
		dec.Decode(p) // what is no problem document leaves the status
		return p
	}
	if err := dec.Decode(out); err != nil {
		return fmt.Errorf("the instance's answer: %w", err)
	}
	return nil
}

// Identity asks which process answers.
func (c *Client) Identity(ctx context.Context) (*Identity, error) {
	var v Identity
	return &v, c.call(ctx, http.MethodGet, "instance", nil, &v)
}

// State asks for all that is shown.
func (c *Client) State(ctx context.Context) (*State, error) {
	var v State
	return &v, c.call(ctx, http.MethodGet, "state", nil, &v)
}

// Document asks for the document in force.
func (c *Client) Document(ctx context.Context) (*Versioned, error) {
	v := Versioned{Document: &document.Document{}}
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

// Hold keeps a backend out for so many seconds; 0 lets it in.
func (c *Client) Hold(ctx context.Context, backend string, seconds float64) error {
	var v Holding
	path := "holds/" + url.PathEscape(backend)
	if seconds == 0 {
		return c.call(ctx, http.MethodDelete, path, nil, &v)
	}
	return c.call(ctx, http.MethodPut, path, map[string]float64{"for_s": seconds}, &v)
}

// SetTaking says whether the instance takes requests.
func (c *Client) SetTaking(ctx context.Context, on bool) error {
	var v map[string]bool
	return c.call(ctx, http.MethodPut, "taking", map[string]bool{"taking": on}, &v)
}
