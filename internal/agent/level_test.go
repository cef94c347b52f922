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

func leanLevels(t *testing.T) level.Config {
	t.Helper()
	most := 0.5
	least := 0.9
	c := level.Config{Level: []level.Level{
		{Name: "lean", Shed: []string{"safe"}, NoRetries: true, Enter: level.Thresholds{InAim: &most}, Exit: level.Thresholds{InAim: &least}},
		{Name: "essential", Shed: []string{"safe", "keyed", "celled"}, NoRetries: true, MostBody: 100},
	}}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	return c
}

// What a level turns away is refused at once and by name, nothing of it is sent, and the rest is served as before.
func TestLevelRefusesByName(t *testing.T) {
	x := newBackend(t, alwaysOK)
	l := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0)))
	cfg := testConfig(t, l.Addr, testSettings)
	cfg.Levels = leanLevels(t)
	a := startAgent(t, cfg)
	ctx := context.Background()
	a.serveRequests(t, 5)
	if v, err := a.agent.HoldLevel(ctx, "essential", time.Minute, "a test"); err != nil || v.Level != "essential" || v.Held <= 0 {
		t.Fatalf("held: %+v, error %v", v, err)
	}
	sent := len(x.Got)
	for _, class := range []string{"safe", "keyed", "celled"} {
		req := a.request(class, "15000m")
		resp, err := a.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		text := new(strings.Builder)
		resp.Write(text)
		resp.Body.Close()
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(text.String(), "refused by level essential: class") || err != nil || after < 30 || after > 80 {
			t.Errorf("%s: %s", class, text)
		}
		// The id is free again once the grace for repeats is over, as that of any request: until then it is known.
		if status, _ := a.do(t, req); status != http.StatusConflict {
			t.Errorf("%s: the same id again: %d", class, status)
		}
	}
	if n := len(x.Got) - sent; n > 0 {
		t.Errorf("%d of what was turned away were sent", n)
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != http.StatusOK {
		t.Errorf("a class that the level serves: %d", status)
	}
	if s := controlState(t, a); s.Service.Refused != 3 || s.Held != 0 {
		t.Errorf("counted %+v, %d open", s.Service, s.Held)
	} else if c := s.Causes; len(c) != 3 || c[0].Cause != "level essential: class" {
		t.Errorf("causes %+v", c)
	}
	v, err := a.agent.HoldLevel(ctx, "", 0, "")
	if err != nil || v.Held != 0 || len(v.History) != 2 || v.Refusals[0].Count != 3 {
		t.Errorf("released: %+v, error %v", v, err)
	}
	if _, err := a.agent.HoldLevel(ctx, "none", time.Minute, "a test"); err == nil || !strings.Contains(err.Error(), `no level "none"`) {
		t.Errorf("held at a level that is not there: error %v", err)
	}
}

// Under a level without retries a request has one attempt, and under normal service what the settings allow.
func TestLevelTakesRetries(t *testing.T) {
	turns := func(int, *http.Request) (string, bool) {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", false
	}
	x, y, z := newBackend(t, turns), newBackend(t, turns), newBackend(t, turns)
	l := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0), memberJSON("z", z.Addr, "Ready", 0)))
	cfg := testConfig(t, l.Addr, testSettings)
	cfg.Levels = leanLevels(t)
	a := startAgent(t, cfg)
	attempts := func() int {
		before := len(x.Got) + len(y.Got) + len(z.Got)
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != http.StatusServiceUnavailable {
			t.Fatalf("answered %d, and all backends turn it away", status)
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

// Levels that don't fit the classes end the start, and name the field.
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

// Without levels nothing is judged and nothing is shown.
func TestNoLevels(t *testing.T) {
	a := startAgentWith(t, testSettings, newBackend(t, alwaysOK))
	ctx := context.Background()
	if v, err := a.agent.Level(ctx); v != nil || err != nil {
		t.Errorf("shown %+v, error %v", v, err)
	}
	if v, err := a.agent.HoldLevel(ctx, "lean", time.Minute, "a test"); v != nil || err != nil {
		t.Errorf("held %+v, error %v", v, err)
	}
	a.serveRequests(t, 3)
}
