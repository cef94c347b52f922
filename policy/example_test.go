package policy_test

import (
	"fmt"
	"time"

	"example.org/micaline/policy"
)

// One agent, two servers, one request: from the list to the answer.
func Example() {
	b, err := policy.New(policy.Settings{
		Agents: 1, MaxAttempts: 3, ColdFrom: 0.3, WarmAfter: 10 * time.Second, OverloadFactor: 2.5,
		Classes: []policy.Class{{Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	start := time.Now()
	var actions []policy.Action
	handle := func(ev policy.Event) {
		actions = b.Handle(time.Since(start), ev, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case policy.ActSend:
				fmt.Println("send request", a.Request, "with a time-out of about", a.Wait.Round(time.Second))
			case policy.ActRefuse, policy.ActFail:
				fmt.Println("answer request", a.Request)
			case policy.ActTimer:
				// deliver EventTimer with a.Token after a.Wait
			}
		}
	}
	handle(policy.Event{Kind: policy.EventList, ListMode: policy.ListFull,
		Servers: []policy.ServerEntry{
			{ID: 1, State: policy.Ready, Weight: 2}, {ID: 2, State: policy.Ready, Weight: 1},
		}})
	handle(policy.Event{Kind: policy.EventRequest, Request: 7, TimeLeft: time.Second})
	handle(policy.Event{Kind: policy.EventOutcome, Request: 7, Outcome: policy.OK, Final: true})
	// Output: send request 7 with a time-out of about 1s
}
