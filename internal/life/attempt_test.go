package life

import (
	"flag"
	"os"
	"strings"
	"testing"

	"example.org/micaline/policy"
)

var rewrite = flag.Bool("rewrite", false, "write the tables into docs/life.md")

// walk goes through all sequences of inputs that fit, and calls a function with each new way into a state: the inputs so far.
func walk(f func(way []Input, s State)) (transitions int) {
	type place struct {
		s       State
		wrote   bool
		stopped Input // the first of Cancel and Deadline
	}
	seen := map[place]bool{}
	var visit func(p place, way []Input)
	visit = func(p place, way []Input) {
		if seen[p] {
			return
		}
		seen[p] = true
		f(way, p.s)
		for i := range numInputs {
			a := Attempt{p.s}
			if a.Apply(i) != nil {
				continue
			}
			transitions++
			next := place{a.state, p.wrote || i == RequestWritten, p.stopped}
			if next.stopped == Start && (i == Cancel || i == Deadline) {
				next.stopped = i
			}
			visit(next, append(append([]Input{}, way...), i))
		}
	}
	visit(place{}, nil)
	return transitions
}

func has(way []Input, i Input) bool {
	for _, w := range way {
		if w == i {
			return true
		}
	}
	return false
}

// Of each way that a life may take: it may have run if its last byte went out, and not otherwise, but that who is cancelled
// and who was turned away say so themselves; it ends in one outcome; and from everywhere it ends.
func TestEveryLife(t *testing.T) {
	reached := map[State]bool{}
	transitions := walk(func(way []Input, s State) {
		reached[s] = true
		want := has(way, RequestWritten) || has(way, FirstAnswerByte) // who answers before the last byte need not have waited for it
		switch s {
		case Cancelled:
			want = true
		case Rejected:
			want = false
		}
		if s.MayHaveRun() != want {
			t.Errorf("%v: %s, may have run: %v", way, s, s.MayHaveRun())
		}
		if s.Ended() {
			for i := range numInputs {
				if a := (Attempt{s}); a.Apply(i) == nil {
					t.Errorf("%v: %s, and then %s", way, s, i)
				}
			}
			if o := s.Outcome(); (o == policy.OK) != has(way, GoodAnswer) || (o == policy.NotSent) != (s == NotTried) {
				t.Errorf("%v: outcome %v", way, o)
			}
			return
		}
		if o := s.Outcome(); o == policy.OK || (o == policy.Reset) != s.MayHaveRun() {
			t.Errorf("%v: outcome %v so far", way, o)
		}
		// Without anything new but the time and its I/O, it ends.
		a := Attempt{s}
		a.Apply(Deadline) // which fits or leaves it as it is
		a.Apply(IOReturned)
		if !a.state.Ended() {
			t.Errorf("%v: %s does not end", way, s)
		}
	})
	for s := range numStates {
		if !reached[s] {
			t.Errorf("%s is never reached", s)
		}
	}
	fits := 0
	for s := range numStates {
		for i := range numInputs {
			if attempt[s][i] != none {
				fits++
			}
		}
	}
	t.Logf("%d states, %d transitions in the table, %d taken", numStates, fits, transitions)
}

// What does not fit is an error that names both, and changes nothing.
func TestMisfit(t *testing.T) {
	a := Attempt{Sent}
	err := a.Apply(Connected)
	if err == nil || a.State() != Sent || !strings.Contains(err.Error(), "sent") || !strings.Contains(err.Error(), "connected") {
		t.Errorf("%s, error %v", a.State(), err)
	}
}

// The table in the page is the one that runs.
func TestPage(t *testing.T) {
	const path = "../../docs/life.md"
	const begin, end = "<!-- attempt -->\n", "<!-- end -->"
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok := strings.Cut(string(text), begin)
	_, after, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		t.Fatal("the page has no place for the table")
	}
	want := before + begin + MarkdownTable() + end + after
	if *rewrite {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(text) != want {
		t.Error("the page is not as the code is: go test ./internal/life -rewrite")
	}
}

func BenchmarkAttempt(b *testing.B) {
	for b.Loop() {
		var a Attempt
		for _, i := range [...]Input{Start, Connected, WriteStarted, RequestWritten, FirstAnswerByte, GoodAnswer} {
			if err := a.Apply(i); err != nil {
				b.Fatal(err)
			}
		}
	}
}
