package meshtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// calmDay is a story in which all went well: one unsafe request, and one change that was read back.
func calmDay() *Story {
	m := Message{Method: "POST", Host: host, URI: "/book/1?n=0", Caller: "finder", Body: 7}
	a := Answer{Status: 200, Try: "t1", Seal: "s", Length: 3, Body: 9}
	route := Item{Kind: Routes, Name: "r-book", Version: "00000001",
		Body: map[string]any{"domain": host, "path_start": "/book/", "service": "ledger"}}
	return &Story{
		Terms:   terms,
		Tries:   map[string]*Try{"t1": {ID: "t1", Message: m, Kind: Unsafe, Machine: "agent-1", Sent: 20 * time.Second, End: 21 * time.Second, Answer: a}},
		Runs:    []*Run{{Try: "t1", Message: m, Backend: "b1", Service: "ledger", Zone: "zone-a", Machine: "agent-4", Began: 20500 * time.Millisecond, Answer: a}},
		Leaves:  map[string]time.Duration{},
		Changes: []*Change{{Items: []Item{route}, Sent: time.Second, Acked: 2 * time.Second}},
		Read:    [][]Item{{route}, {route}, {route}},
	}
}

// TestPlanted plants one fault at a time in a day in which all went well, and what excuses it.
func TestPlanted(t *testing.T) {
	moved := func(s *Story, version, service string) Item {
		i := s.Changes[0].Items[0]
		i.Version, i.Body = version, map[string]any{"domain": host, "path_start": "/book/", "service": service}
		return i
	}
	cut := func(machine string, core bool) func(*Story) {
		return func(s *Story) {
			s.Troubles = append(s.Troubles, &Trouble{Machine: machine, Core: core, Span: Span{17 * time.Second, 17500 * time.Millisecond}})
		}
	}
	// brokenOff has a request sent so long after its machine was told to end, and answered by that so
	// long after the last sixth of its time began.
	brokenOff := func(end, sent time.Duration) func(*Story) {
		return func(s *Story) {
			told := 30 * time.Second
			s.Troubles = append(s.Troubles, &Trouble{Machine: "agent-1", Planned: true, Span: Span{told, told + grace}})
			t := s.Tries["t1"]
			t.Sent, t.End, t.Within, t.Answer = told+sent, told+grace*5/6+end, time.Minute, Answer{Status: 504, Try: "t1"}
			s.Runs[0].Answer, s.Runs[0].Began, s.Runs[0].Ended = Answer{}, t.Sent, t.End
		}
	}
	lost := func(s *Story) { s.Tries["t1"].Answer, s.Runs[0].Answer.Seal = Answer{}, "unseen" }
	// left has safe work go on for a time after its client has left, 0 for ever.
	left := func(runs int, goesOn time.Duration) func(*Story) {
		return func(s *Story) {
			for n := range runs {
				try, run := *s.Tries["t1"], *s.Runs[0]
				try.ID = fmt.Sprint("left", n)
				try.Kind, try.Answer, try.Silent, try.Left = Safe, Answer{}, true, true
				run.Try, run.Answer, run.Due = try.ID, Answer{}, try.End+time.Second
				if goesOn > 0 {
					run.Ended = try.End + goesOn
				}
				s.Tries[try.ID], s.Runs = &try, append(s.Runs, &run)
			}
		}
	}
	begunLate := func(s *Story) {
		left(4, time.Second)(s)
		for _, r := range s.Runs[1:] {
			r.Began = s.Tries[r.Try].End + terms.GoneWithin + time.Millisecond
		}
	}
	// many adds requests like the first, each with one run more than there are changes of it.
	many := func(n int, change func(t *Try, r *Run)) func(*Story) {
		return func(s *Story) {
			for i := range n {
				try, run := *s.Tries["t1"], *s.Runs[0]
				try.ID, try.Kind, try.Within = fmt.Sprint("many", i), Safe, 3*time.Second
				run.Try, run.Within = try.ID, time.Second
				try.Answer.Try, run.Answer.Try = try.ID, try.ID
				again := run
				change(&try, &again)
				s.Tries[try.ID], s.Runs = &try, append(s.Runs, &run, &again)
			}
		}
	}
	onThree := func(t *Try, r *Run) { r.Backend = "b2" }
	third := func(s *Story) {
		for _, r := range s.Runs[1:] {
			if r.Backend == "b2" {
				other := *r
				other.Backend = "b3"
				s.Runs = append(s.Runs, &other)
			}
		}
	}
	more := func(within time.Duration) func(t *Try, r *Run) {
		return func(t *Try, r *Run) { r.Within = within }
	}
	underWay := func(t *Try, r *Run) {
		t.Within, t.End = 5*time.Second, t.Sent+terms.GiveUp+terms.Beyond+time.Millisecond
	}
	evacuated := func(s *Story) {
		s.Evacuations = []*Evacuation{{"zone-a", Span{From: 10 * time.Second}}}
	}
	// reported has one run of a tenant in the window from 20 s on, and reports of it and of what follows.
	reported := func(change func(s *Story)) func(*Story) {
		return func(s *Story) {
			s.Began, s.Tenants = time.Unix(1000, 0), 1
			s.Tries["t1"].Customer, s.Runs[0].Customer = "acme", "acme"
			for n := range 8 {
				at := time.Duration(19+n)*time.Second + 200*time.Millisecond
				s.Reports = append(s.Reports, &UsageCall{At: at, Holder: "core-1", Fence: 5, Window: int64(1018 + n), Counts: map[string]uint64{}, Accepted: true})
			}
			s.Reports[2].Counts["acme"] = 1
			change(s)
		}
	}
	moves := reported(func(s *Story) {
		s.Reports[3].Holder, s.Reports[3].Fence, s.Reports[4].Fence, s.Reports[4].At = "core-2", 6, 7, s.Reports[2].At+terms.Lease
		s.Reports[3].At = s.Reports[4].At - time.Millisecond
		for _, r := range s.Reports[5:] {
			r.Fence = 7
		}
	})
	older := func(s *Story) {
		s.Changes = append(s.Changes, &Change{Items: []Item{moved(s, "00000002", "docbox")}, Sent: 3 * time.Second, Acked: 4 * time.Second})
		s.Read = nil
	}
	for _, c := range []struct {
		name   string
		plant  func(*Story)
		excuse func(*Story)
		rule   string
	}{
		{name: "nothing"},
		{name: "work for who has left", plant: left(1, 501*time.Millisecond), rule: "GONE",
			excuse: func(s *Story) { s.Runs[1].Ended -= time.Millisecond }},
		{name: "work for ever for who has left", plant: left(1, 0), rule: "GONE", excuse: cut("agent-4", false)},
		{name: "work that would have lasted", plant: left(1, 501*time.Millisecond), rule: "GONE",
			excuse: func(s *Story) { s.Runs[1].Due = s.Tries["left0"].End + terms.GoneWithin }},
		{name: "begun for who has left", plant: begunLate, rule: "GONE", excuse: cut("agent-1", false)},
		{name: "a few begun for who has left", plant: begunLate, rule: "GONE", excuse: func(s *Story) { s.Runs = s.Runs[:4] }},
		{name: "on three backends", plant: func(s *Story) { many(4, onThree)(s); third(s) }, rule: "BUDGET",
			excuse: func(s *Story) {
				delete(s.Tries, "many0")
				s.Runs = slices.DeleteFunc(s.Runs, func(r *Run) bool { return r.Try == "many0" })
			}},
		{name: "told more time than there is", plant: many(21, more(3501*time.Millisecond)), rule: "BUDGET",
			excuse: func(s *Story) { s.Runs[2].Within -= time.Millisecond }},
		{name: "told no time", plant: many(21, more(0)), rule: "BUDGET", excuse: cut("agent-1", false)},
		{name: "sent again late with more time", plant: many(21, func(t *Try, r *Run) { r.Began, r.Within = t.Sent+1500*time.Millisecond, 2001*time.Millisecond }), rule: "BUDGET",
			excuse: func(s *Story) { s.Runs[2].Within -= time.Millisecond }},
		{name: "no answer at give_up", plant: many(8, underWay), rule: "CONFIG", excuse: func(s *Story) {
			for _, t := range s.Tries {
				t.End = t.Sent + terms.GiveUp + terms.Beyond
			}
		}},
		{name: "few under way at give_up", plant: many(8, underWay), rule: "CONFIG", excuse: func(s *Story) { s.Tries["many0"].End -= terms.Beyond + time.Second }},
		{name: "another count", plant: reported(func(s *Story) { s.Reports[3].Window--; s.Reports[3].Counts = map[string]uint64{"acme": 2} }), rule: "ONE",
			excuse: func(s *Story) { s.Reports[3].Counts = s.Reports[2].Counts }},
		{name: "a fence of two", plant: reported(func(s *Story) { s.Reports[7].Holder = "core-2" }), rule: "ONE", excuse: func(s *Story) { s.Reports[7].Fence++ }},
		{name: "there and back within a lease", plant: moves, rule: "ONE", excuse: func(s *Story) { s.Reports[4].At += time.Millisecond }},
		{name: "there and back, and it was killed", plant: moves, rule: "ONE", excuse: func(s *Story) {
			s.Troubles = append(s.Troubles, &Trouble{Machine: "core-1", Span: Span{21 * time.Second, 21 * time.Second}})
		}},
		{name: "no report", plant: reported(func(s *Story) { s.Reports[2].Window = 2000 }), rule: "USAGE", excuse: cut("platform", false)},
		{name: "a late report", plant: reported(func(s *Story) { s.Reports[2].At = 26*time.Second + time.Millisecond }), rule: "USAGE",
			excuse: func(s *Story) { s.Reports[2].At -= time.Millisecond }},
		{name: "a wrong report", plant: reported(func(s *Story) { s.Reports[2].Counts["acme"] = 4 }), rule: "USAGE",
			excuse: func(s *Story) { s.Reports[2].Counts["acme"]-- }},
		{name: "another customer", plant: reported(func(s *Story) { s.Runs[0].Customer = "bravo" }), rule: "UNASKED"},
		{name: "no key", plant: reported(func(s *Story) { s.Tries["t1"].Customer, s.Runs[0].Customer = "", "" }), rule: "ROUTE"},
		{name: "a good key", plant: reported(func(s *Story) { s.Tries["t1"].Answer, s.Runs = Answer{Status: 401}, nil }), rule: "DENIED", excuse: cut("agent-1", false)},
		{name: "twice", plant: func(s *Story) { s.Runs = append(s.Runs, s.Runs[0]) }, rule: "TWICE",
			excuse: func(s *Story) { s.Tries["t1"].Kind = Safe }},
		{name: "a promise", plant: func(s *Story) { s.Tries["t1"].Answer = Answer{Status: 503} }, rule: "REFUSED",
			excuse: func(s *Story) { s.Runs = nil }},
		{name: "nobody asked", plant: func(s *Story) { s.Runs = append(s.Runs, &Run{Try: "t2", Service: "ledger"}) }, rule: "UNASKED"},
		{name: "another caller", plant: func(s *Story) { s.Runs[0].Caller = "whoever" }, rule: "UNASKED"},
		{name: "another body", plant: func(s *Story) { s.Runs[0].Body++ }, rule: "UNASKED"},
		{name: "another service", plant: func(s *Story) { s.Runs[0].Service = "docbox" }, rule: "ROUTE",
			excuse: func(s *Story) {
				s.Changes = append(s.Changes, &Change{Items: []Item{moved(s, "00000002", "docbox")}, Sent: time.Second})
			}},
		{name: "cut short", plant: func(s *Story) { s.Tries["t1"].Answer.Length-- }, rule: "MIXED"},
		{name: "an answer to another", plant: func(s *Story) { s.Tries["t1"].Answer.Try = "t2" }, rule: "MIXED"},
		{name: "broken off late", plant: brokenOff(30*time.Millisecond, grace/2+30*time.Millisecond), rule: "LOST", excuse: func(s *Story) { s.Tries["t1"].Sent = s.Troubles[0].From + grace/2 }},
		{name: "broken off before the last sixth", plant: brokenOff(-30*time.Millisecond, grace/2-30*time.Millisecond), rule: "LOST", excuse: func(s *Story) { s.Tries["t1"].End = s.Troubles[0].From + grace*5/6 }},
		{name: "broken off, and the backend ends", plant: brokenOff(0, grace/2+time.Millisecond), rule: "LOST", excuse: func(s *Story) { s.Runs[0].BackendEnded = true }},
		{name: "broken off, and the time is over", plant: brokenOff(0, grace/2+time.Millisecond), rule: "LOST", excuse: func(s *Story) { s.Tries["t1"].Within = s.Tries["t1"].End - s.Tries["t1"].Sent }},
		{name: "no answer", plant: lost, rule: "LOST", excuse: cut("agent-1", false)},
		{name: "no answer in time", plant: lost, rule: "LOST", excuse: func(s *Story) { s.Tries["t1"].Silent = true }},
		{name: "no answer at a planned end", plant: func(s *Story) {
			lost(s)
			cut("agent-1", false)(s)
			s.Troubles[0].Planned = true
		}, rule: "LOST", excuse: func(s *Story) { s.Troubles[0].Planned = false }},
		{name: "left", plant: func(s *Story) { s.Leaves["b1"] = 19 * time.Second }, rule: "DRAIN",
			excuse: func(s *Story) { s.Leaves["b1"] += time.Second }},
		{name: "evacuated", plant: evacuated, rule: "EVAC", excuse: cut("agent-4", false)},
		{name: "evacuated, core", plant: evacuated, rule: "EVAC", excuse: cut("core-1", true)},
		{name: "taken back", plant: evacuated, rule: "EVAC", excuse: func(s *Story) { s.Evacuations[0].Until = 20 * time.Second }},
		{name: "an older version", plant: older, rule: "CONFIG", excuse: cut("agent-1", false)},
		{name: "a version just acknowledged", plant: older, rule: "CONFIG", excuse: func(s *Story) { s.Changes[1].Acked = 19500 * time.Millisecond }},
		{name: "404", plant: func(s *Story) { s.Tries["t1"].Answer, s.Runs = Answer{Status: 404}, nil }, rule: "CONFIG"},
		{name: "invalid", plant: func(s *Story) {
			s.Changes = append(s.Changes, &Change{Invalid: true, Items: []Item{moved(s, "00000002", "nobody")}, Acked: time.Second})
		}, rule: "CONFIG"},
		{name: "no read", plant: func(s *Story) { s.Read[1] = nil }, rule: "CONFIG"},
		{name: "missing", plant: func(s *Story) { s.Read = [][]Item{{}} }, rule: "CONFIG",
			excuse: func(s *Story) {
				gone := moved(s, "00000002", "")
				gone.Dropped = true
				s.Changes = append(s.Changes, &Change{Items: []Item{gone}})
			}},
		{name: "changed", plant: func(s *Story) { s.Read = [][]Item{{moved(s, "00000001", "docbox")}} }, rule: "CONFIG"},
		{name: "each its own", plant: func(s *Story) {
			s.Changes = append(s.Changes, &Change{Items: []Item{moved(s, "00000001", "docbox")}, Acked: 2 * time.Second})
			s.Read[2] = []Item{moved(s, "00000001", "docbox")}
		}, rule: "CONFIG", excuse: func(s *Story) { s.Read = s.Read[:2] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := calmDay()
			if c.plant == nil {
				require.Empty(t, Judge(s))
				return
			}
			c.plant(s)
			found := Judge(s)
			require.NotEmpty(t, found)
			for _, b := range found {
				require.Equal(t, c.rule, b.Rule, b)
			}
			if c.excuse != nil {
				c.excuse(s)
				require.Empty(t, Judge(s))
			}
		})
	}
}
