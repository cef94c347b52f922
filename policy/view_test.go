package policy

import (
	"testing"
	"time"
)

// What is shown is what the module goes by, and looking changes nothing of what it does.
func TestView(t *testing.T) {
	set := Settings{
		Agents: 1, MaxAttempts: 1, ColdFrom: 0.5, WarmAfter: 10 * time.Second, OverloadFactor: 2,
		Classes: []Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, Effect: SideEffect}},
	}
	run := func(look bool) (sent []ServerID, last []ServerView) {
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Minute
		do := func(ev Event) []Action {
			if look {
				last = b.View(now)
			}
			return b.Handle(now, ev, nil)
		}
		do(Event{Kind: EventList, ListMode: ListFull, Servers: []ServerEntry{
			{ID: 1, State: Ready, Weight: 1}, {ID: 2, State: Draining, Weight: 1}, {ID: 3, State: Ready, Weight: 1, Start: now},
		}})
		for id := range RequestID(30) {
			for _, a := range do(Event{Kind: EventRequest, Request: id, TimeLeft: time.Second}) {
				if a.Kind == ActSend {
					sent = append(sent, a.Server)
				}
			}
			now += time.Millisecond
		}
		return sent, b.View(now)
	}
	sent, _ := run(false)
	looked, views := run(true)
	if len(sent) == 0 || len(sent) != len(looked) {
		t.Fatalf("%d sent, and %d under a look", len(sent), len(looked))
	}
	inFlight := map[ServerID]int{}
	for i := range sent {
		if sent[i] != looked[i] {
			t.Fatalf("request %d goes elsewhere under a look", i)
		}
		inFlight[sent[i]]++
	}
	if len(views) != 3 {
		t.Fatalf("%d servers are shown", len(views))
	}
	for _, v := range views {
		if v.InFlight != inFlight[v.ID] || v.ReportAge >= 0 || v.Outstanding < float64(v.InFlight) {
			t.Errorf("server %d: %+v, %d sent", v.ID, v, inFlight[v.ID])
		}
		if cold := v.ID == 3; cold != (v.WarmFraction < 1) {
			t.Errorf("server %d: warmth %v", v.ID, v.WarmFraction)
		}
		if drains := v.ID == 2; drains != (v.State == Draining) {
			t.Errorf("server %d: state %d", v.ID, v.State)
		}
	}
}
