// Package meshclient is the client side of the mesh: calls of the operators'
// interface, and questions for figures.
//
// A Mesh knows the control addresses of some core machines. Any of them takes any call, so a call
// goes to one, and to the next after a failure, a 5xx, a 408, a 429 or silence, round after round
// with a growing pause until its time is over. Calls are made to be sent again: items carry
// versions, and an evacuation that stands is no news.
//
// Promised: an error is a *Refused, which holds what the mesh said, or an *Unreachable. After a
// Refused nothing of the call is in force by it; after an Unreachable it may be, now or later,
// unless no connection came up at all.
package meshclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	each      = 2 * time.Second // for one machine to answer a call
	firstWait = 100 * time.Millisecond
	mostWait  = 2 * time.Second
	mostBody  = 64 << 20 // bytes of an answer
	redirects = 2
)

// Mesh is a mesh as its clients know it. All fields are set before its first use.
type Mesh struct {
	Cores []string // control addresses
	HTTP  *http.Client
}

// New returns a mesh whose core machines have these control addresses.
func New(cores []string) *Mesh {
	return &Mesh{Cores: cores, HTTP: &http.Client{CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > redirects {
			return errors.New("sent elsewhere too often")
		}
		return nil
	}}}
}

// Refused is the mesh's no.
type Refused struct {
	Status int
	Reason string // names the field that is wrong, where there is one
}

func (e *Refused) Error() string { return fmt.Sprintf("refused (%d): %s", e.Status, e.Reason) }

// Unreachable says that no core machine gave a clear answer.
type Unreachable struct {
	Sent  bool // the call may have reached one
	Cause error
}

func (e *Unreachable) Error() string {
	if e.Sent {
		return "no clear answer, the call may hold or not: " + e.Cause.Error()
	}
	return "out of reach: " + e.Cause.Error()
}

func (e *Unreachable) Unwrap() error { return e.Cause }

// Config returns the items that stand, as GET /api/config lists them.
func (m *Mesh) Config(ctx context.Context) ([]byte, error) {
	return m.call(ctx, http.MethodGet, "/api/config", nil)
}

// Patch brings a change of the configuration.
func (m *Mesh) Patch(ctx context.Context, patch []byte) error {
	_, err := m.call(ctx, http.MethodPatch, "/api/config", patch)
	return err
}

// Evacuate asks that nothing be sent to the backends of a zone.
func (m *Mesh) Evacuate(ctx context.Context, zone string) error {
	_, err := m.call(ctx, http.MethodPost, "/api/drain-zone/"+url.PathEscape(zone), nil)
	return err
}

// Return takes an evacuation back.
func (m *Mesh) Return(ctx context.Context, zone string) error {
	_, err := m.call(ctx, http.MethodDelete, "/api/drain-zone/"+url.PathEscape(zone), nil)
	return err
}

// DutyOrder is about the grant of a duty under a fence.
type DutyOrder struct {
	Fence uint64 `json:"fence"`
	To    string `json:"to,omitempty"`  // a core machine's name
	Why   string `json:"why,omitempty"` // for people
}

// HandDuty asks that a duty's holder gives it to another core machine.
func (m *Mesh) HandDuty(ctx context.Context, duty string, order DutyOrder) error {
	return m.orderDuty(ctx, duty, "hand", order)
}

// RevokeDuty asks that a duty's holder renews it no more; another gets it once its time is over.
func (m *Mesh) RevokeDuty(ctx context.Context, duty string, order DutyOrder) error {
	return m.orderDuty(ctx, duty, "revoke", order)
}

func (m *Mesh) orderDuty(ctx context.Context, duty, what string, order DutyOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	_, err = m.call(ctx, http.MethodPost, "/api/duties/"+url.PathEscape(duty)+"/"+what, body)
	return err
}

// Backup returns the state of the core machines as a file, which holds all that was acknowledged
// before the call.
func (m *Mesh) Backup(ctx context.Context) ([]byte, error) {
	return m.call(ctx, http.MethodGet, "/api/backup", nil)
}

// call brings a call to any core machine, until the context ends.
func (m *Mesh) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	sent, tried, wait := false, false, firstWait
	cause := errors.New("no core machine is named")
	for len(m.Cores) > 0 {
		for _, core := range m.Cores {
			answer, asked, err := m.once(ctx, core, method, path, body)
			var refused *Refused
			if err == nil || errors.As(err, &refused) {
				return answer, err
			}
			sent = sent || asked
			if ctx.Err() == nil || !tried { // what an earlier try said tells more than that the time is over
				tried, cause = true, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, &Unreachable{Sent: sent, Cause: cause}
		case <-time.After(wait):
		}
		wait = min(2*wait, mostWait)
	}
	return nil, &Unreachable{Cause: cause}
}

// once brings a call to one core machine. Asked says that it may have got there.
func (m *Mesh) once(ctx context.Context, core, method, path string, body []byte) (answer []byte, asked bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, each)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+core+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := m.HTTP.Do(r)
	if err != nil {
		return nil, !dialFailed(err), err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, mostBody+1))
	switch {
	case err != nil:
		return nil, true, err
	case len(answer) > mostBody:
		return nil, true, fmt.Errorf("%s answers with more than %d bytes", core, mostBody)
	case resp.StatusCode/100 == 2:
		return answer, true, nil
	}
	said := fmt.Sprintf("%s: %s", core, reason(answer))
	if again(resp.StatusCode) {
		return nil, true, fmt.Errorf("%d of %s", resp.StatusCode, said)
	}
	return nil, true, &Refused{Status: resp.StatusCode, Reason: reason(answer)}
}

// again says whether another core machine may do better.
func again(status int) bool {
	return status >= 500 || status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
}

// reason is what a problem body says.
func reason(body []byte) string {
	var problem struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &problem) == nil && problem.Error != "" {
		return problem.Error
	}
	return strings.TrimSpace(string(body[:min(len(body), 200)]))
}

// Addresses reads a list of control addresses, host:port joined by commas.
func Addresses(text string) ([]string, error) {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		if host, port, err := net.SplitHostPort(part); err != nil || host == "" || port == "" {
			return nil, fmt.Errorf("--core: %q is not host:port", part)
		}
		list = append(list, part)
	}
	if len(list) == 0 {
		return nil, errors.New("--core: name the control address of a core machine at least, host:port, separated by commas")
	}
	if len(list) > MostCores {
		return nil, fmt.Errorf("--core: %d addresses, at most %d are taken", len(list), MostCores)
	}
	return list, nil
}
