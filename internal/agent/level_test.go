package agent

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/level"
)

// testLevels returns two levels without retries: "lean" refuses the class safe, and "essential"
// refuses all classes but unsafe, and large bodies.
func testLevels(t *testing.T) level.Config {
	t.Helper()
	enterBelow := 0.5
	exitAbove := 0.9
	c := level.Config{Level: []level.Level{
		{Name: "lean", Shed: []string{"safe"}, NoRetries: true, Enter: level.Thresholds{InAim: &enterBelow}, Exit: level.Thresholds{InAim: &exitAbove}},
		{Name: "essential", Shed: []string{"safe", "keyed", "celled"}, NoRetries: true, MostBody: 100},
	}}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	return c
}

// Requests refused by the service level are answered at once with the level's name and are not sent
// to a backend. Other requests are served as usual.
func TestLevelRefusesByName(t *testing.T) {
	x := newBackend(t, alwaysOK)
	lists := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0)))
	cfg := testConfig(t, lists.Addr, testSettings)
	cfg.Levels = testLevels(t)
	a := startAgent(t, cfg)
	ctx := context.Background()
	a.serveRequests(t, 5)
	if status, err := a.agent.HoldLevel(ctx, "essential", time.Minute, "a test"); err != nil || status.Level != "essential" || status.Held <= 0 {
		t.Fatalf("after HoldLevel: %+v, error %v", status, err)
	}
	sentBefore := len(x.Got)
	for _, class := range []string{"safe", "keyed", "celled"} {
		req := a.request(class, "15000m")
		resp, err := a.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		response := new(strings.Builder)
		resp.Write(response)
		resp.Body.Close()
		retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(response.String(), "refused by level essential: class") || err != nil || retryAfter < 30 || retryAfter > 80 {
			t.Errorf("%s: %s", class, response)
		}
		// As for any request, the id stays known until the time for duplicates is over.
		if status, _ := a.do(t, req); status != http.StatusConflict {
			t.Errorf("%s: the same id again: answered %d", class, status)
		}
	}
	if n := len(x.Got) - sentBefore; n > 0 {
		t.Errorf("%d refused requests were sent to the backend", n)
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != http.StatusOK {
		t.Errorf("a class that the level serves: answered %d", status)
	}
	if s := controlState(t, a); s.Service.Refused != 3 || s.Held != 0 {
		t.Errorf("counts %+v, %d requests open", s.Service, s.Held)
	} else if c := s.Causes; len(c) != 3 || c[0].Cause != "level essential: class" {
		t.Errorf("causes %+v", c)
	}
	released, err := a.agent.HoldLevel(ctx, "", 0, "")
	if err != nil || released.Held != 0 || len(released.History) != 2 || released.Refusals[0].Count != 3 {
		t.Errorf("after the end of the hold: %+v, error %v", released, err)
	}
	if _, err := a.agent.HoldLevel(ctx, "none", time.Minute, "a test"); err == nil || !strings.Contains(err.Error(), `no level "none"`) {
		t.Errorf("HoldLevel with an unknown level: error %v", err)
	}
}

// Under a level without retries a request gets one attempt, and in normal service as many as the
// settings allow.
func TestLevelTakesRetries(t *testing.T) {
	reject := func(int, *http.Request) (string, bool) {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", false
	}
	x, y, z := newBackend(t, reject), newBackend(t, reject), newBackend(t, reject)
	lists := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0), memberJSON("z", z.Addr, "Ready", 0)))
	cfg := testConfig(t, lists.Addr, testSettings)
	cfg.Levels = testLevels(t)
	a := startAgent(t, cfg)
	attempts := func() int {
		before := len(x.Got) + len(y.Got) + len(z.Got)
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != http.StatusServiceUnavailable {
			t.Fatalf("answered %d although all backends reject the request", status)
		}
		return len(x.Got) + len(y.Got) + len(z.Got) - before
	}
	if n := attempts(); n < 2 {
		t.Fatalf("%d attempts in normal service", n)
	}
	if _, err := a.agent.HoldLevel(context.Background(), "lean", time.Minute, "a test"); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		if n := attempts(); n > 1 {
			t.Fatalf("%d attempts under a level without retries", n)
		}
	}
}

// Levels that do not fit the classes are rejected at the start, with the name of the field.
func TestLevelsThatDoNotFit(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	cfg.Levels = level.Config{Level: []level.Level{{Name: "lean", Shed: []string{"unsafe"}}}}
	if err := cfg.Levels.Validate(); err != nil {
		t.Fatal(err)
	}
	if _, err := newLoop(cfg, newBackendClient(TCP{}, &cfg.Settings, 4, 1<<20, nil), nil); err == nil || !strings.Contains(err.Error(), "levels.level[0].shed") {
		t.Errorf("error %v", err)
	}
}

// Without levels no request is refused by a level and no level is shown.
func TestNoLevels(t *testing.T) {
	a := startAgentWith(t, testSettings, newBackend(t, alwaysOK))
	ctx := context.Background()
	if status, err := a.agent.Level(ctx); status != nil || err != nil {
		t.Errorf("Level returned %+v, error %v", status, err)
	}
	if status, err := a.agent.HoldLevel(ctx, "lean", time.Minute, "a test"); status != nil || err != nil {
		t.Errorf("HoldLevel returned %+v, error %v", status, err)
	}
	a.serveRequests(t, 3)
}
