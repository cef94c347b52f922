package agent

import (
	"fmt"
	"strings"
	"testing"
)

func listJSON(revision int, complete bool, members ...string) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

func memberJSON(id, addr, phase string, cell int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m1","cell":%d,"phase":%q,"size":1,"up_since_ms":0}`,
		id, addr, cell, phase)
}

// A backend that drains gets nothing new once a watch has told so, and its list is followed without a gap.
func TestDrain(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	l := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0)))
	a := startAgent(t, testConfig(t, l.Addr, testSettings))
	if q := receive(t, "first call", l.Calls); q != "" {
		t.Errorf("the first call asks %q", q)
	}
	if q := receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=1&wait_ms=") {
		t.Errorf("the second call asks %q", q)
	}
	l.Next <- listJSON(2, false, memberJSON("x", x.Addr, "Terminating", 0))
	if q := receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=2&") {
		t.Errorf("the third call asks %q", q)
	}
	for range 40 {
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(x.Got) > 0 || len(y.Got) != 40 {
		t.Errorf("%d sent to the draining one, %d to the other", len(x.Got), len(y.Got))
	}
}

// An agent that starts with a list asks for what has changed since. Danger: most agents come back at once, and discovery,
// whose work is the lines that it sends, would turn them away one after the other while they go by their old lists. Where
// discovery can't tell what has changed it says so, and its whole list is asked for.
func TestKnownListIsFollowed(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	for _, c := range []struct {
		name   string
		answer []byte // to the first call
		then   string // what the next one asks
	}{
		{"changes", listJSON(8, false, memberJSON("x", x.Addr, "Gone", 0), memberJSON("y", y.Addr, "Ready", 0)), "after=8&wait_ms="},
		{"whole list", listJSON(8, true, memberJSON("y", y.Addr, "Ready", 0)), "after=8&wait_ms="},
		{"unknown revision", nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newScriptedDiscovery(t, listJSON(2, true, memberJSON("y", y.Addr, "Ready", 0)))
			cfg := testConfig(t, l.Addr, testSettings)
			known, err := parseList(listJSON(5, true, memberJSON("x", x.Addr, "Ready", 0)))
			if err != nil {
				t.Fatal(err)
			}
			cfg.knownList = known
			if c.answer == nil {
				c.answer = listJSON(3, false)
			}
			startAgent(t, cfg)
			if q := receive(t, "first call", l.Calls); !strings.HasPrefix(q, "after=5&wait_ms=") {
				t.Errorf("the first call asks %q", q)
			}
			l.Next <- c.answer
			if q := receive(t, "second call", l.Calls); !strings.HasPrefix(q, c.then) || c.then == "" && q != "" {
				t.Errorf("the second call asks %q", q)
			}
		})
	}
}

// A reload moves to another discovery, which is asked for its whole list although its revisions are lower; the old
// one's watch is given up.
func TestReload(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	old := newScriptedDiscovery(t, listJSON(7, true, memberJSON("x", x.Addr, "Ready", 0)))
	next := newScriptedDiscovery(t, listJSON(2, true, memberJSON("y", y.Addr, "Ready", 0)))
	cfg := testConfig(t, old.Addr, testSettings)
	a := startAgent(t, cfg)
	receive(t, "first call", old.Calls)
	receive(t, "watch", old.Calls)
	moved := *cfg
	moved.Discovery = next.Addr
	a.reloads <- &moved
	if q := receive(t, "call to the new discovery", next.Calls); q != "" {
		t.Errorf("the first call asks %q", q)
	}
	if q := receive(t, "watch", next.Calls); !strings.HasPrefix(q, "after=2&") {
		t.Errorf("the second call asks %q", q)
	}
	for range 5 {
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(x.Got) > 0 || len(y.Got) != 5 {
		t.Errorf("%d sent to the old list's backend, %d to the new one's", len(x.Got), len(y.Got))
	}
	if n := len(old.Calls); n > 0 {
		t.Errorf("the old discovery was asked %d more times", n)
	}
}

// Without discovery, and with lists that cannot be read, the agent goes on with what it has; then it asks for
// the whole list.
func TestDiscoveryLoss(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	l := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0)))
	a := startAgent(t, testConfig(t, l.Addr, testSettings))
	receive(t, "first call", l.Calls)
	for i, text := range []string{"no list", `{"revision":7,"complete":true,"members":[{"id":"x","phase":"Odd"}]}`, `{"complete":true}`} {
		receive(t, "watch", l.Calls)
		if i == 2 {
			l.Whole(func() []byte { return nil })
		}
		l.Next <- []byte(text)
		if q := receive(t, "call", l.Calls); q != "" {
			t.Errorf("after %s: asked %q", text, q)
		}
	}
	receive(t, "call again", l.Calls)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("without discovery: answered %d", status)
	}
	l.Whole(func() []byte { return listJSON(9, true, memberJSON("y", y.Addr, "Ready", 0)) })
	for {
		if q := receive(t, "call", l.Calls); strings.HasPrefix(q, "after=9&") {
			break
		}
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 || len(y.Got) != 1 {
		t.Errorf("with discovery back: answered %d, %d at the new backend", status, len(y.Got))
	}
}

// Changes that do not follow the list held, as after a restart of discovery, lead to the whole list; so does a
// discovery that is silent when a watch is over.
func TestDiscoveryGapAndSilence(t *testing.T) {
	b := newBackend(t, alwaysOK)
	l := newScriptedDiscovery(t, listJSON(8, true, memberJSON("x", b.Addr, "Ready", 0)))
	startAgent(t, testConfig(t, l.Addr, testSettings))
	receive(t, "first call", l.Calls)
	receive(t, "watch", l.Calls)
	l.Next <- listJSON(3, false)
	if q := receive(t, "call after the gap", l.Calls); q != "" {
		t.Errorf("after a gap: asked %q", q)
	}
	for range 2 { // the watch that gets no answer, and the one after it
		if q := receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=8&") {
			t.Errorf("asked %q", q)
		}
	}
}

// Where the list must be asked for, the module hears of a failure and decides when to ask again.
func TestAskedDiscovery(t *testing.T) {
	b := newBackend(t, alwaysOK)
	set := strings.Replace(testSettings, `"automatic"`, `"subscribe"`, 1)
	set = strings.Replace(set, `"extraFloor"`, `"mustAskIn":50,"extraFloor"`, 1)
	l := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", b.Addr, "Ready", 0)))
	whole, calls := listJSON(1, true, memberJSON("x", b.Addr, "Ready", 0)), 0
	l.Whole(func() []byte {
		if calls++; calls <= 2 {
			return nil
		}
		return whole
	})
	a := startAgent(t, testConfig(t, l.Addr, set)) // which returns when the list has come
	if n := len(l.Calls); n < 3 {
		t.Errorf("up after %d calls, of which two failed", n)
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("answered %d", status)
	}
}
