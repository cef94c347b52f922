// Package apitest holds an interface and its OpenAPI description together.
package apitest

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers/gorillamux"

	"example.org/micaline/internal/api"
)

// Call is a request, and the status that it is to be answered with.
type Call struct {
	Method, Path, Body string // the path without /v1/
	Status             int
}

// On is a call.
func On(method, path, body string, status int) Call { return Call{method, path, body, status} }

// Raw is a client of a Unix socket that sends what it is given.
func Raw(socket string) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", socket)
	}}}
}

// Check fails the test unless the description names the routes that are served and no others, and calls and their answers
// are as it says.
func Check(t *testing.T, description []byte, served []string, socket string, calls []Call) {
	t.Helper()
	doc, err := openapi3.NewLoader().LoadFromData(description)
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(t.Context()); err != nil {
		t.Fatal(err)
	}
	var described []string
	for path, item := range doc.Paths.Map() {
		for method := range item.Operations() {
			described = append(described, method+" "+path)
		}
	}
	slices.Sort(described)
	slices.Sort(served)
	if !slices.Equal(described, served) {
		t.Errorf("described\n%s\nserved\n%s", strings.Join(described, "\n"), strings.Join(served, "\n"))
	}
	router, err := gorillamux.NewRouter(doc)
	if err != nil {
		t.Fatal(err)
	}
	client := Raw(socket)
	for _, c := range calls {
		req, err := http.NewRequestWithContext(t.Context(), c.Method, "http://instance/v1/"+c.Path, strings.NewReader(c.Body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(api.IdempotencyKey, c.Method+c.Path)
		route, params, err := router.FindRoute(req)
		if err != nil {
			t.Errorf("%s %s: %v", c.Method, c.Path, err)
			continue
		}
		in := &openapi3filter.RequestValidationInput{Request: req, PathParams: params, Route: route}
		if err := openapi3filter.ValidateRequest(t.Context(), in); err != nil {
			t.Errorf("%s %s: the request: %v", c.Method, c.Path, err)
		}
		req.Body = io.NopCloser(strings.NewReader(c.Body))
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != c.Status {
			t.Errorf("%s %s: %s %s, error %v", c.Method, c.Path, resp.Status, body, err)
		}
		out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in, Status: resp.StatusCode, Header: resp.Header}
		out.SetBodyBytes(bytes.TrimSpace(body))
		if err := openapi3filter.ValidateResponse(t.Context(), out); err != nil {
			t.Errorf("%s %s: the answer %s: %v", c.Method, c.Path, body, err)
		}
	}
}
