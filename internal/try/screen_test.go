package try

import (
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/fleet"
)

var snapshot = fleet.Snapshot{
	At: 3 * time.Second, Rate: 50, Share: 0.987, Refused: 2, Failed: 1, Retries: 4, P50: 31 * time.Millisecond, P99: 210 * time.Millisecond,
	Backends: []fleet.BackendSnapshot{{Name: "b01-fast", Up: true, InFlight: 3}, {Name: "b02-slow"}, {Name: "b03-slow", Up: true, InFlight: 500}},
	Faults:   []string{"discovery is down"},
}

// Where nobody looks there is one line for each second, and one for each fault that begins or ends.
func TestPlainLines(t *testing.T) {
	var b strings.Builder
	s := &screen{out: &b}
	s.update(&snapshot)
	well := snapshot
	well.Faults, well.At = nil, 4*time.Second
	s.update(&well)
	want := "   3s  begins: discovery is down\n" +
		"   3s  50/s  in aim 98.7%  refused 2  failed 1  retries 4  p50 31 ms  p99 210 ms  in flight b01-fast:3 b02-slow:down b03-slow:500\n" +
		"   4s  ends: discovery is down\n" +
		"   4s  50/s  in aim 98.7%  refused 2  failed 1  retries 4  p50 31 ms  p99 210 ms  in flight b01-fast:3 b02-slow:down b03-slow:500\n"
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}

// In a terminal a table takes the place of the one before, and no line of it wraps.
func TestLiveTable(t *testing.T) {
	var b strings.Builder
	s := &screen{out: &b, live: true, width: 60}
	s.update(&snapshot)
	first := b.String()
	b.Reset()
	s.update(&snapshot)
	lines := strings.Count(first, "\n") - 1 // beside the one that says that a fault begins
	for line := range strings.Lines(first) {
		if len(line) > 60 {
			t.Errorf("a line of %d: %q", len(line), line)
		}
	}
	if !strings.HasPrefix(b.String(), "\x1b["+string(rune('0'+lines))+"A\x1b[J") || strings.Count(b.String(), "\n") != lines {
		t.Errorf("the second table of %d lines is drawn as %q", lines, b.String())
	}
	for _, want := range []string{"98.7%", "b01-fast", "###\n", "down", "! discovery is down"} {
		if !strings.Contains(first, want) {
			t.Errorf("%q is not shown in\n%s", want, first)
		}
	}
}
