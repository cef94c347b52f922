package baseline

import (
	"testing"
	"time"

	"example.org/micaline/policy"
)

var settings = policy.Settings{Classes: []policy.Class{{Effect: policy.SideEffect}, {Effect: policy.Pure}}}

func chooser(t *testing.T, name string, servers ...policy.ServerEntry) *Chooser {
	t.Helper()
	c, err := New(name, settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(0, policy.Event{Kind: policy.EventList, ListMode: policy.ListFull, Servers: servers}, nil)
	return c
}

func ask(c *Chooser, id policy.RequestID, class int) policy.Action {
	return c.Handle(0, policy.Event{Kind: policy.EventRequest, Request: id, Class: class, TimeLeft: time.Second}, nil)[0]
}

func TestChoices(t *testing.T) {
	three := []policy.ServerEntry{{ID: 7, State: policy.Ready}, {ID: 5, State: policy.Ready}, {ID: 9, State: policy.Ready}, {ID: 1, State: policy.Draining}}
	for _, name := range Names {
		c := chooser(t, name, three...)
		sent := map[policy.ServerID]int{}
		for i := range 300 {
			sent[ask(c, policy.RequestID(i), 0).Server]++
		}
		even := name != "random"
		if len(sent) != 3 || sent[1] > 0 || even && (sent[5] != 100 || sent[7] != 100 || sent[9] != 100) {
			t.Errorf("%s: sent %v", name, sent)
		}
	}
	if _, err := New("nothing", settings, 1); err == nil {
		t.Error("a choice of no name")
	}
}

// Who has the least of one's own requests gets the next.
func TestLeastLoaded(t *testing.T) {
	c := chooser(t, "least-loaded", policy.ServerEntry{ID: 1, State: policy.Ready}, policy.ServerEntry{ID: 2, State: policy.Ready})
	first, second := ask(c, 1, 0), ask(c, 2, 0)
	if first.Server == second.Server {
		t.Fatal("both to one")
	}
	c.Handle(0, policy.Event{Kind: policy.EventOutcome, Request: 2, Server: second.Server}, nil)
	if third := ask(c, 3, 0); third.Server != second.Server {
		t.Errorf("sent to %d, which holds one", third.Server)
	}
}

// What may have run is failed, what cannot have run, or may run again, is refused, and nothing is sent twice.
func TestOutcomes(t *testing.T) {
	for outcome, want := range map[policy.Outcome][2]policy.ActionKind{
		policy.Reset: {policy.ActFail, policy.ActRefuse}, policy.Timeout: {policy.ActFail, policy.ActRefuse},
		policy.Error: {policy.ActFail, policy.ActRefuse}, policy.Full: {policy.ActRefuse, policy.ActRefuse},
		policy.ConnectFailed: {policy.ActRefuse, policy.ActRefuse}, policy.NotSent: {policy.ActRefuse, policy.ActRefuse},
	} {
		for class, kind := range want {
			c := chooser(t, "random", policy.ServerEntry{ID: 1, State: policy.Ready})
			ask(c, 1, class)
			got := c.Handle(0, policy.Event{Kind: policy.EventOutcome, Request: 1, Outcome: outcome}, nil)
			if len(got) != 1 || got[0].Kind != kind {
				t.Errorf("outcome %d, class %d: %+v", outcome, class, got)
			}
			if more := c.Handle(0, policy.Event{Kind: policy.EventOutcome, Request: 1, Outcome: outcome}, nil); len(more) > 0 {
				t.Errorf("outcome %d told twice: %+v", outcome, more)
			}
		}
	}
}
