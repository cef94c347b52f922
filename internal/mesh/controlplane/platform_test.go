package controlplane

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/usage"
)

// What the platform answers is taken for no more than it says.
func TestPlatformAnswers(t *testing.T) {
	type call struct {
		body string
		head http.Header
	}
	calls := make(chan call, 1)
	status, after := 0, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		calls <- call{string(text), r.Header}
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		if after != "" {
			w.Header().Set("Retry-After", after)
		}
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
	}))
	defer server.Close()
	p := newPlatform(server.Listener.Addr().String(), "core-1")
	r := &usage.Report{Window: 353445120, Counts: map[string]uint64{"acme": 412}}
	for _, c := range []struct {
		status int
		after  string
		result duties.Result
		wait   time.Duration
	}{
		{200, "", duties.CallAccepted, 0}, {204, "9", duties.CallAccepted, 0}, {409, "9", duties.CallFenced, 0}, {429, "1.5", duties.CallUnknown, 1500 * time.Millisecond},
		{503, "", duties.CallUnknown, 0}, {503, "-1", duties.CallUnknown, 0}, {503, "1e9", duties.CallUnknown, 0}, {307, "", duties.CallUnknown, 0}, {0, "", duties.CallUnknown, 0},
	} {
		status, after = c.status, c.after
		result, wait := p.report(context.Background(), 12, r)
		require.Equal(t, []any{c.result, c.wait}, []any{result, wait}, "%+v", c)
		got := <-calls
		require.JSONEq(t, `{"window":353445120,"counts":{"acme":412}}`, got.body)
		require.Equal(t, []string{"core-1", "12"}, []string{got.head.Get("Duty-Holder"), got.head.Get("Fence-Number")})
	}
}
