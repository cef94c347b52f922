package life

import (
	"flag"
	"os"
	"strings"
	"testing"

	"example.org/micaline/policy"
)

var rewritePage = flag.Bool("rewrite", false, "write the table into docs/life.md")

// walkTransitions follows all sequences of valid inputs and calls a function for each new way to
// reach a state, with the inputs so far. It returns the number of transitions that it took.
func walkTransitions(visitState func(path []Input, state State)) (transitions int) {
	type node struct {
		state          State
		requestWritten bool
		firstStop      Input // the first Cancel or Deadline; Start: none yet
	}
	visited := map[node]bool{}
	var visit func(n node, path []Input)
	visit = func(n node, path []Input) {
		if visited[n] {
			return
		}
		visited[n] = true
		visitState(path, n.state)
		for i := range numInputs {
			a := Attempt{n.state}
			if a.Apply(i) != nil {
				continue
			}
			transitions++
			next := node{a.state, n.requestWritten || i == RequestWritten, n.firstStop}
			if next.firstStop == Start && (i == Cancel || i == Deadline) {
				next.firstStop = i
			}
			visit(next, append(append([]Input{}, path...), i))
		}
	}
	visit(node{}, nil)
	return transitions
}

// contains reports whether a path contains an input.
func contains(path []Input, input Input) bool {
	for _, in := range path {
		if in == input {
			return true
		}
	}
	return false
}

// On every path, an attempt may have run exactly if its last byte was sent. Cancelled attempts
// count as possibly run and rejected ones as not run. Each path can be ended and ends in one
// outcome.
func TestEveryLife(t *testing.T) {
	reached := map[State]bool{}
	transitions := walkTransitions(func(path []Input, s State) {
		reached[s] = true
		// An answer that comes early need not have waited for the last byte.
		mayHaveRun := contains(path, RequestWritten) || contains(path, FirstAnswerByte)
		switch s {
		case Cancelled:
			mayHaveRun = true
		case Rejected:
			mayHaveRun = false
		}
		if s.MayHaveRun() != mayHaveRun {
			t.Errorf("%v: %s, may have run: %v", path, s, s.MayHaveRun())
		}
		if s.Ended() {
			for i := range numInputs {
				if a := (Attempt{s}); a.Apply(i) == nil {
					t.Errorf("%v: final state %s accepts %s", path, s, i)
				}
			}
			if o := s.Outcome(); (o == policy.OK) != contains(path, GoodAnswer) || (o == policy.NotSent) != (s == NotTried) {
				t.Errorf("%v: final outcome %v", path, o)
			}
			return
		}
		if o := s.Outcome(); o == policy.OK || (o == policy.Reset) != s.MayHaveRun() {
			t.Errorf("%v: intermediate outcome %v", path, o)
		}
		// The deadline and the return of its I/O must be enough to end it.
		a := Attempt{s}
		a.Apply(Deadline) // a transition, or an invalid input that changes nothing
		a.Apply(IOReturned)
		if !a.state.Ended() {
			t.Errorf("%v: %s does not end at the deadline", path, s)
		}
	})
	for s := range numStates {
		if !reached[s] {
			t.Errorf("state %s is never reached", s)
		}
	}
	defined := 0
	for s := range numStates {
		for i := range numInputs {
			if transitionTable[s][i] != noTransition {
				defined++
			}
		}
	}
	t.Logf("%d states, %d transitions in the table, %d taken", numStates, defined, transitions)
}

// An invalid input gives an error that names the state and the input, and leaves the state
// unchanged.
func TestMisfit(t *testing.T) {
	a := Attempt{Sent}
	err := a.Apply(Connected)
	if err == nil || a.State() != Sent || !strings.Contains(err.Error(), "sent") || !strings.Contains(err.Error(), "connected") {
		t.Errorf("state %s, error %v", a.State(), err)
	}
}

// The table in docs/life.md must match the code.
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
		t.Fatal("docs/life.md lacks the markers around the table")
	}
	want := before + begin + MarkdownTable() + end + after
	if *rewritePage {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(text) != want {
		t.Error("docs/life.md is out of date, run: go test ./internal/life -rewrite")
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
