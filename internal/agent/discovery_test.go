package agent

import (
	"fmt"
	"strings"
	"testing"
)

// listJSON returns an answer of discovery with the given members.
func listJSON(revision int, complete bool, members ...string) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// memberJSON returns one member of a list.
func memberJSON(id, addr, phase string, cell int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m1","cell":%d,"phase":%q,"size":1,"up_since_ms":0}`,
		id, addr, cell, phase)
}

// A draining backend gets no new requests once a watch has reported the drain. Each watch continues
// from the revision of the previous answer.
func TestDrain(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	discoveryServer := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0), memberJSON("y", y.Addr, "Ready", 0)))
	a := startAgent(t, testConfig(t, discoveryServer.Addr, testSettings))
	if query := receive(t, "first call", discoveryServer.Calls); query != "" {
		t.Errorf("the query of the first call is %q", query)
	}
	if query := receive(t, "watch", discoveryServer.Calls); !strings.HasPrefix(query, "after=1&wait_ms=") {
		t.Errorf("the query of the second call is %q", query)
	}
	discoveryServer.Next <- listJSON(2, false, memberJSON("x", x.Addr, "Terminating", 0))
	if query := receive(t, "watch", discoveryServer.Calls); !strings.HasPrefix(query, "after=2&") {
		t.Errorf("the query of the third call is %q", query)
	}
	for range 40 {
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(x.Got) > 0 || len(y.Got) != 40 {
		t.Errorf("%d requests sent to the draining backend, %d to the other", len(x.Got), len(y.Got))
	}
}

// An agent that starts with a known list requests only the changes since then. Many agents restart
// at once, and the load on discovery depends on the entries that it sends: if all requested full
// lists, discovery would reject many requests, and the rejected agents would use outdated lists
// meanwhile. If discovery does not know the revision, the agent requests the full list.
func TestKnownListIsFollowed(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	for _, c := range []struct {
		name      string
		answer    []byte // of discovery to the first call
		nextQuery string // prefix of the next query; empty: no query, which requests the full list
	}{
		{"changes", listJSON(8, false, memberJSON("x", x.Addr, "Gone", 0), memberJSON("y", y.Addr, "Ready", 0)), "after=8&wait_ms="},
		{"whole list", listJSON(8, true, memberJSON("y", y.Addr, "Ready", 0)), "after=8&wait_ms="},
		{"unknown revision", nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			discoveryServer := newScriptedDiscovery(t, listJSON(2, true, memberJSON("y", y.Addr, "Ready", 0)))
			cfg := testConfig(t, discoveryServer.Addr, testSettings)
			known, err := parseList(listJSON(5, true, memberJSON("x", x.Addr, "Ready", 0)))
			if err != nil {
				t.Fatal(err)
			}
			cfg.knownList = known
			if c.answer == nil {
				c.answer = listJSON(3, false)
			}
			startAgent(t, cfg)
			if query := receive(t, "first call", discoveryServer.Calls); !strings.HasPrefix(query, "after=5&wait_ms=") {
				t.Errorf("the query of the first call is %q", query)
			}
			discoveryServer.Next <- c.answer
			if query := receive(t, "second call", discoveryServer.Calls); !strings.HasPrefix(query, c.nextQuery) || c.nextQuery == "" && query != "" {
				t.Errorf("the query of the second call is %q", query)
			}
		})
	}
}

// After a reload with another discovery address, the agent requests the full list there, although
// the revisions are lower, and cancels the watch at the old address.
func TestReload(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	oldServer := newScriptedDiscovery(t, listJSON(7, true, memberJSON("x", x.Addr, "Ready", 0)))
	newServer := newScriptedDiscovery(t, listJSON(2, true, memberJSON("y", y.Addr, "Ready", 0)))
	cfg := testConfig(t, oldServer.Addr, testSettings)
	a := startAgent(t, cfg)
	receive(t, "first call", oldServer.Calls)
	receive(t, "watch", oldServer.Calls)
	updated := *cfg
	updated.Discovery = newServer.Addr
	a.reloads <- &updated
	if query := receive(t, "call to the new discovery", newServer.Calls); query != "" {
		t.Errorf("the query of the first call is %q", query)
	}
	if query := receive(t, "watch", newServer.Calls); !strings.HasPrefix(query, "after=2&") {
		t.Errorf("the query of the second call is %q", query)
	}
	for range 5 {
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(x.Got) > 0 || len(y.Got) != 5 {
		t.Errorf("%d requests sent to the backend of the old list, %d to that of the new one", len(x.Got), len(y.Got))
	}
	if n := len(oldServer.Calls); n > 0 {
		t.Errorf("%d more calls to the old discovery", n)
	}
}

// While discovery fails or sends invalid lists, the agent keeps using its last list. After such a
// failure it requests the full list.
func TestDiscoveryLoss(t *testing.T) {
	x, y := newBackend(t, alwaysOK), newBackend(t, alwaysOK)
	discoveryServer := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", x.Addr, "Ready", 0)))
	a := startAgent(t, testConfig(t, discoveryServer.Addr, testSettings))
	receive(t, "first call", discoveryServer.Calls)
	for i, text := range []string{"no list", `{"revision":7,"complete":true,"members":[{"id":"x","phase":"Odd"}]}`, `{"complete":true}`} {
		receive(t, "watch", discoveryServer.Calls)
		if i == 2 {
			discoveryServer.Whole(func() []byte { return nil })
		}
		discoveryServer.Next <- []byte(text)
		if query := receive(t, "call", discoveryServer.Calls); query != "" {
			t.Errorf("after %s: the query is %q", text, query)
		}
	}
	receive(t, "call again", discoveryServer.Calls)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("while discovery fails: answered %d", status)
	}
	discoveryServer.Whole(func() []byte { return listJSON(9, true, memberJSON("y", y.Addr, "Ready", 0)) })
	for {
		if query := receive(t, "call", discoveryServer.Calls); strings.HasPrefix(query, "after=9&") {
			break
		}
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 || len(y.Got) != 1 {
		t.Errorf("after discovery has recovered: answered %d, %d requests at the new backend", status, len(y.Got))
	}
}

// Changes that do not continue from the last revision, as after a restart of discovery, make the
// agent request the full list. After a watch that gets no answer, the agent watches again.
func TestDiscoveryGapAndSilence(t *testing.T) {
	b := newBackend(t, alwaysOK)
	discoveryServer := newScriptedDiscovery(t, listJSON(8, true, memberJSON("x", b.Addr, "Ready", 0)))
	startAgent(t, testConfig(t, discoveryServer.Addr, testSettings))
	receive(t, "first call", discoveryServer.Calls)
	receive(t, "watch", discoveryServer.Calls)
	discoveryServer.Next <- listJSON(3, false)
	if query := receive(t, "call after the gap", discoveryServer.Calls); query != "" {
		t.Errorf("after a gap: the query is %q", query)
	}
	for range 2 { // the watch without an answer, and the one after it
		if query := receive(t, "watch", discoveryServer.Calls); !strings.HasPrefix(query, "after=8&") {
			t.Errorf("the query of the watch is %q", query)
		}
	}
}

// If the settings require that the module requests the list, the module is told of failures and
// decides when to retry.
func TestAskedDiscovery(t *testing.T) {
	b := newBackend(t, alwaysOK)
	settings := strings.Replace(testSettings, `"automatic"`, `"subscribe"`, 1)
	settings = strings.Replace(settings, `"extraFloor"`, `"mustAskIn":50,"extraFloor"`, 1)
	discoveryServer := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", b.Addr, "Ready", 0)))
	fullList, calls := listJSON(1, true, memberJSON("x", b.Addr, "Ready", 0)), 0
	discoveryServer.Whole(func() []byte {
		if calls++; calls <= 2 {
			return nil
		}
		return fullList
	})
	a := startAgent(t, testConfig(t, discoveryServer.Addr, settings)) // returns when the list was received
	if n := len(discoveryServer.Calls); n < 3 {
		t.Errorf("ready after %d calls, although the first two failed", n)
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("answered %d", status)
	}
}
