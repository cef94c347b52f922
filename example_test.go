package grebefork_test

import (
	"fmt"
	"time"

	"example.org/grebefork"
)

// One agent, two servers, one request: from the list to the answer.
func Example() {
	b, err := grebefork.New(grebefork.Settings{
		Agents: 1, MaxAttempts: 3, ColdFrom: 0.3, WarmAfter: 10 * time.Second, OverloadFactor: 2.5,
		Classes: []grebefork.Class{{Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	start := time.Now()
	var actions []grebefork.Action
	handle := func(ev grebefork.Event) {
		actions = b.Handle(time.Since(start), ev, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case grebefork.ActSend:
				fmt.Println("send request", a.Request, "with a time-out of about", a.Wait.Round(time.Second))
			case grebefork.ActRefuse, grebefork.ActFail:
				fmt.Println("answer request", a.Request)
			case grebefork.ActTimer:
				// deliver EventTimer with a.Token after a.Wait
			}
		}
	}
	handle(grebefork.Event{Kind: grebefork.EventList, ListMode: grebefork.ListFull,
		Servers: []grebefork.ServerEntry{
			{ID: 1, State: grebefork.Ready, Weight: 2}, {ID: 2, State: grebefork.Ready, Weight: 1},
		}})
	handle(grebefork.Event{Kind: grebefork.EventRequest, Request: 7, Left: time.Second})
	handle(grebefork.Event{Kind: grebefork.EventOutcome, Request: 7, Outcome: grebefork.OK, Closed: true})
	// Output: send request 7 with a time-out of about 1s
}
