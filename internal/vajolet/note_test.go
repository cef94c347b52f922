package vajolet

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"example.org/micaline/internal/brentei"
	"example.org/micaline/internal/nuvolau"
	"example.org/micaline/internal/solvay"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// TestWays: what simply succeeds leaves no record, all else one that tells each attempt.
func TestWays(t *testing.T) {
	var say []brentei.Reply
	g := func() string {
		return gate(t, func(*brentei.Ask, []byte) (*brentei.Reply, []byte) {
			r := say[0]
			say = say[1:]
			return &r, nil
		})
	}
	s := sender(t, g(), g())
	full := brentei.Reply{Verdict: brentei.NotRun, Reason: brentei.Full, After: 70 * time.Millisecond, Load: brentei.Load{InFlight: 9, Waiting: 5}}
	ran := brentei.Reply{Verdict: brentei.Ran, Status: 200, Waited: 3 * time.Millisecond}
	failed := brentei.Reply{Verdict: brentei.Ran, Status: 500, Inner: true}
	for _, c := range []struct {
		path   string
		say    []brentei.Reply
		status int
		result string
		steps  []brentei.Attempt
	}{
		{"/safe/", []brentei.Reply{ran}, 200, "", nil},
		{"/unsafe/", []brentei.Reply{full, ran}, 200, "served", []brentei.Attempt{{Verdict: brentei.NotRun, Reason: brentei.Full, After: full.After,
			InFlight: 9, Waiting: 5}, {N: 1, Verdict: brentei.Ran, Status: 200, AtGate: ran.Waited}}},
		{"/safe/", []brentei.Reply{failed}, 500, "backend_failed", []brentei.Attempt{{Verdict: brentei.Ran, Status: 500, Inner: true}}},
		{"/unsafe/", []brentei.Reply{{Reason: brentei.Broken}}, 502, "failed", []brentei.Attempt{{Reason: brentei.Broken}}},
		{"/none/", nil, 404, "no_route", nil},
	} {
		say = c.say
		r, w := request("GET", c.path, c.path+c.result, nil), httptest.NewRecorder()
		s.ServeHTTP(w, r)
		require.Equal(t, c.status, w.Code)
		ways := s.Ways.Ask(time.Now(), &brentei.WayQuestion{Try: c.path + c.result, Most: 9})
		if c.result == "" {
			require.Empty(t, ways)
			continue
		}
		require.Len(t, ways, 1)
		way := ways[0]
		require.Equal(t, []any{c.result, c.status, len(c.steps)}, []any{way.Result, way.Status, way.Started})
		for i, got := range way.Steps {
			require.NotEmpty(t, got.Backend)
			require.Less(t, got.Begun+got.Took, way.Took)
			got.Backend, got.Agent, got.Begun, got.Took = "", "", 0, 0
			require.Equal(t, c.steps[i], got)
		}
	}
	require.EqualValues(t, 1, s.Ways.Plains())
}

var kept http.ResponseWriter

// BenchmarkNote is what records cost a request: nearly all are plain.
func BenchmarkNote(b *testing.B) {
	s := New(&nuvolau.Settings{}, solvay.NewHost(solvay.Rules{}, 1, brentei.NewRoom(1), func() {}), nil, nil, &log.Logger{Handler: discard.New()})
	r := request("GET", "/safe/", "9c41d07be2a35f68", nil)
	out := httptest.NewRecorder()
	for name, steps := range map[string]int{"plain": 0, "two-attempts": 2} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			j := &job{attempts: max(1, steps)}
			at := &attempt{reply: &brentei.Reply{}, to: &target{backend: "b", agent: "10.0.0.1"}, began: time.Now()}
			for b.Loop() {
				w := &answered{ResponseWriter: out, began: time.Now(), job: j}
				for range steps {
					j.step(at)
				}
				kept = w // as it outlives the stack of a real request's handler
				w.WriteHeader(http.StatusOK)
				s.note(w, r)
				j.steps = j.steps[:0]
			}
		})
	}
}
