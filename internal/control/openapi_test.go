package control

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers/gorillamux"

	"example.org/micaline/internal/api"
)

// The description names what is served and nothing else, and what is answered is as it says.
func TestOpenAPI(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromData(openapi)
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(t.Context()); err != nil {
		t.Fatal(err)
	}
	var described, served []string
	for path, item := range doc.Paths.Map() {
		for method := range item.Operations() {
			described = append(described, method+" "+path)
		}
	}
	for pattern := range NewServer(&fake{}, Options{}).routes() {
		served = append(served, pattern)
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
	_, _, path := serve(t)
	for _, r := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "instance", "", 200}, {"GET", "state", "", 200}, {"GET", "backends", "", 200}, {"GET", "requests", "", 200},
		{"GET", "causes", "", 200}, {"GET", "document", "", 200}, {"GET", "changes/x", "", 200},
		{"PUT", "changes/x", `{"base":0,"fence":1,"document":` + someWorth + `}`, 200},
		{"POST", "changes/x/commit", `{"fence":1}`, 200}, {"POST", "changes/x/abort", `{"fence":1}`, 200},
		{"POST", "changes/x/confirm", `{"fence":1}`, 200}, {"POST", "changes/y/confirm", `{"fence":1}`, 409},
		{"POST", "changes/z/abort", `{"fence":0}`, 412},
		{"PUT", "holds/x", `{"for_s":5}`, 200}, {"DELETE", "holds/x", "", 200}, {"PUT", "holds/nobody", `{"for_s":5}`, 404},
		{"PUT", "taking", `{"taking":true}`, 200}, {"POST", "reload", "{}", 200}, {"GET", "summary", "", 200},
		{"GET", "classes", "", 200}, {"GET", "accounts", "", 200}, {"GET", "document", "", 200},
	} {
		req, err := http.NewRequestWithContext(t.Context(), r.method, "http://instance/v1/"+r.path, strings.NewReader(r.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(api.IdempotencyKey, r.method+r.path)
		route, params, err := router.FindRoute(req)
		if err != nil {
			t.Errorf("%s %s: %v", r.method, r.path, err)
			continue
		}
		in := &openapi3filter.RequestValidationInput{Request: req, PathParams: params, Route: route}
		if err := openapi3filter.ValidateRequest(t.Context(), in); err != nil {
			t.Errorf("%s %s: the request: %v", r.method, r.path, err)
		}
		req.Body = io.NopCloser(strings.NewReader(r.body))
		resp, err := raw(path).Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != r.status {
			t.Errorf("%s %s: %s %s, error %v", r.method, r.path, resp.Status, body, err)
		}
		out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in, Status: resp.StatusCode, Header: resp.Header}
		out.SetBodyBytes(bytes.TrimSpace(body))
		if err := openapi3filter.ValidateResponse(t.Context(), out); err != nil {
			t.Errorf("%s %s: the answer %s: %v", r.method, r.path, body, err)
		}
	}
}
