package control

import (
	"maps"
	"slices"
	"testing"

	"example.org/micaline/internal/api/apitest"
)

// openapi.yaml describes exactly the routes that are served, and the answers match its schemas.
func TestOpenAPI(t *testing.T) {
	_, _, path := startServer(t)
	served := slices.Collect(maps.Keys(NewServer(&fakeInstance{}, Options{}).routes()))
	apitest.Check(t, openapi, served, path, []apitest.Call{
		apitest.On("GET", "instance", "", 200), apitest.On("GET", "state", "", 200), apitest.On("GET", "backends", "", 200), apitest.On("GET", "requests", "", 200),
		apitest.On("GET", "causes", "", 200), apitest.On("GET", "document", "", 200), apitest.On("GET", "changes/x", "", 200),
		apitest.On("PUT", "changes/x", `{"base":0,"fence":1,"document":`+worthDocument+`}`, 200),
		apitest.On("POST", "changes/x/commit", `{"fence":1}`, 200), apitest.On("POST", "changes/x/abort", `{"fence":1}`, 200),
		apitest.On("POST", "changes/x/confirm", `{"fence":1}`, 200), apitest.On("POST", "changes/y/confirm", `{"fence":1}`, 409),
		apitest.On("POST", "changes/z/abort", `{"fence":0}`, 412), apitest.On("POST", "fence", `{"fence":2}`, 200), apitest.On("POST", "fence", `{"fence":1}`, 412),
		apitest.On("PUT", "holds/x", `{"for_s":5}`, 200), apitest.On("DELETE", "holds/x", "", 200), apitest.On("PUT", "holds/nobody", `{"for_s":5}`, 404),
		apitest.On("GET", "level", "", 200), apitest.On("PUT", "level", `{"level":"lean","for_s":5,"why":"a fair"}`, 200), apitest.On("DELETE", "level", "", 200),
		apitest.On("GET", "sites", "", 200), apitest.On("PUT", "sites/a/out", `{"for_s":5,"force":true,"why":"a fair"}`, 200),
		apitest.On("PUT", "sites/a/out", `{"for_s":5,"why":"a fair"}`, 409), apitest.On("DELETE", "sites/a/out", "", 200),
		apitest.On("PUT", "taking", `{"taking":true}`, 200), apitest.On("POST", "reload", "{}", 200), apitest.On("GET", "summary", "", 200),
		apitest.On("GET", "classes", "", 200), apitest.On("GET", "accounts", "", 200), apitest.On("GET", "document", "", 200),
	})
}
