package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/scenario"
)

// Eighty agents and sixty backends keep the rules together: what one agent does harmlessly they all do at once. The days
// are too large for many seeds and no part of what micaline try ships.
func TestLargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("played without the race detector, which takes eight times as long")
	}
	backends, err := os.ReadFile("testdata/fleets/sixty.toml") // the same on all days that have none of their own
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("testdata/large/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no days", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(text), "[[backends]]") {
			text = append(text, backends...)
		}
		s, err := scenario.Parse(text)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			t.Parallel()
			r := virtual(t, s, *seedFlag, agent.Serve)
			if r == nil || t.Failed() {
				return
			}
			t.Logf("%d requests, %d served, %d in their aim, %d refused, %d failed", r.Requests, r.Served, r.ServedInAim, r.Refused, r.Failed)
			if !r.Kept() {
				t.Errorf("seed %d: lost %d, twice %d, drains %d, cold %d\n%s", *seedFlag, r.Lost, r.EffectsTwice, r.DrainsBroken, r.ColdPushed, findings(r))
			}
			// Half is far below what any of these days leaves room for, and far above an agent that sheds without end.
			if r.ServedInAim < r.Requests/2 {
				t.Errorf("%d of %d served in their aim", r.ServedInAim, r.Requests)
			}
		})
	}
}
