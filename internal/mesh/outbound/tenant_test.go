package outbound

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
)

const (
	twoTenants = `{"add":{"items":[{"item_kind":"customers","metadata":{"name":"acme","version":"1"},"body":{"api_keys":["k1","k2"],"rank":0}},
		{"item_kind":"customers","metadata":{"name":"bravo","version":"1"},"body":{"api_keys":["k3"]}}]}}`
	keyMoves = `{"add":{"items":[{"item_kind":"customers","metadata":{"name":"acme","version":"2"},"body":{"api_keys":["k1"]}},
		{"item_kind":"customers","metadata":{"name":"bravo","version":"2"},"body":{"api_keys":["k2"]}}]}}`
	safeIsPublic = `{"add":{"items":[{"item_kind":"routes","metadata":{"name":"safe","version":"2"},"body":{"domain":"d","path_start":"/safe/",
		"kind":"safe","give_up":"5s","target_time":"4s","service":"s","public":true}}]}}`
	noTenants = `{"remove":{"customers":[{"name":"acme","version":"3"},{"name":"bravo","version":"3"}]}}`
)

// TestKeys: a request runs for the customer whose key it brings at that moment, whatever it states
// itself. No key reaches a gate. Without a key, only requests of public routes do.
func TestKeys(t *testing.T) {
	var got *transport.Request
	s := newTestSender(t, startFakeGate(t, func(request *transport.Request, _ []byte) (*transport.Reply, []byte) {
		got = request
		return &transport.Reply{Verdict: transport.Ran, Status: 200}, nil
	}))
	send := func(path, try, authorization string) (status int, customer string) {
		got = nil
		r := newTestRequest("GET", path, try, nil)
		r.Header.Set(inbound.CustomerHeader, "whoever")
		if authorization != "" {
			r.Header.Set(keyHeader, authorization)
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if got == nil {
			return w.Code, ""
		}
		for _, header := range got.Header {
			if s.View().Config.HasCustomers() {
				require.NotContains(t, []string{keyHeader, inbound.CustomerHeader, "whoever", authorization}, header)
			}
		}
		return w.Code, got.Customer
	}
	for _, c := range []struct {
		change, path, try, authorization string
		status                           int
		customer                         string
	}{
		{"", "/safe/1", "a", "", 200, ""},
		{twoTenants, "/safe/1", "b", "Bearer k2", 200, "acme"},
		{"", "/safe/1", "c", "Bearer k3", 200, "bravo"},
		{"", "/safe/1", "d", "Bearer k9", 401, ""},
		{"", "/safe/1", "e", "k1", 401, ""},
		{"", "/safe/1", "f", "", 401, ""},
		{"", "/safe/1", "f.1", "", 503, ""}, // a call of an unknown run
		{"", "/nowhere/", "g", "", 404, ""},
		{keyMoves, "/safe/1", "h", "Bearer k2", 200, "bravo"},
		{"", "/safe/1", "i", "Bearer k3", 401, ""},
		{safeIsPublic, "/safe/1", "j", "Bearer k9", 200, ""},
		{"", "/safe/1", "k", "Bearer k1", 200, "acme"},
		{"", "/unsafe/1", "l", "", 401, ""},
		{noTenants, "/unsafe/1", "m", "", 200, ""},
	} {
		if c.change != "" {
			applyPatch(s, c.change)
		}
		status, customer := send(c.path, c.try, c.authorization)
		require.Equal(t, []any{c.status, c.customer}, []any{status, customer}, "%+v", c)
	}
	require.Equal(t, uint64(5), s.Counters.Unauthenticated.Load())
}
