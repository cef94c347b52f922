package rules

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

var testTerms = Terms{
	Classes: map[string]Class{
		"safe": {Effect: Safe}, "unsafe": {Effect: Unsafe},
		"celled": {Effect: Keyed, Scope: Cell, Window: 600 * time.Millisecond},
		"zoned":  {Effect: Keyed, Scope: Zone, Window: 600 * time.Millisecond},
		"keyed":  {Effect: Keyed, Scope: All, Window: 600 * time.Millisecond},
	},
	Slack: 50 * time.Millisecond, DrainGrace: 2 * time.Second, ToldWithin: 6 * time.Second, OverloadFactor: 2.5, OverloadFor: time.Second,
	Lag: 10 * time.Millisecond, Longest: 30 * time.Second,
}

// parse reads a record as String writes it. What is left out is as in the shortest story: class unsafe, agent a, the
// call's operation of its own name, and so on.
func parse(line string) (Record, error) {
	words := strings.Fields(line)
	if len(words) < 2 {
		return Record{}, fmt.Errorf("%q is no record", line)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return Record{}, err
	}
	kind := slices.Index(kindNames[:], words[1])
	if kind < 0 {
		return Record{}, fmt.Errorf("%q is no kind", words[1])
	}
	r := Record{At: at, First: at, Kind: Kind(kind), Agent: "a", Class: "unsafe", Budget: time.Second, Status: 200}
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		var err error
		switch name {
		case "agent":
			r.Agent = value
		case "backend":
			r.Backend = value
		case "call":
			r.Call = value
		case "operation":
			r.Operation = value
		case "class":
			r.Class = value
		case "body":
			r.Body = value
		case "zone":
			r.Zone = value
		case "kept":
			r.Kept = true
		case "state":
			r.State = State(slices.Index(stateNames[:], value))
		case "budget":
			r.Budget, err = time.ParseDuration(value)
		case "first":
			r.First, err = time.ParseDuration(value)
		case "work":
			r.Work, err = time.ParseDuration(value)
		case "warm":
			r.WarmAfter, err = time.ParseDuration(value)
		case "status":
			r.Status, err = strconv.Atoi(value)
		case "attempt":
			r.Attempt, err = strconv.Atoi(value)
		case "cell":
			r.Cell, err = strconv.Atoi(value)
		case "process":
			r.Process, err = strconv.Atoi(value)
		case "capacity":
			r.Capacity, err = strconv.ParseFloat(value, 64)
		case "cold":
			r.ColdFrom, err = strconv.ParseFloat(value, 64)
		default:
			err = fmt.Errorf("%q is no field", name)
		}
		if err != nil {
			return Record{}, err
		}
	}
	if r.Operation == "" {
		r.Operation = r.Call
	}
	if r.Kind == Listed || r.Kind == ListDown || r.Kind == ListUp {
		r.Agent = ""
	}
	if (r.Kind == Troubled || r.Kind == Mended) && r.Backend != "" {
		r.Agent = ""
	}
	return r, nil
}

// Stories: records, and what is said of them. go test ./internal/rules -rewrite writes the latter anew.
func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			c := NewChecker(testTerms)
			for line := range strings.Lines(d.Input) {
				r, err := parse(line)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				c.Add(r)
			}
			var b strings.Builder
			for _, v := range c.Verdicts() {
				for _, f := range v.Findings {
					what := "broken"
					if f.CantTell {
						what = "can't tell"
					}
					fmt.Fprintf(&b, "%s: %s: %s (%d lines of evidence)\n", v.Rule, what, f.What, len(f.Evidence))
				}
			}
			if b.Len() == 0 {
				return "kept\n"
			}
			return b.String()
		})
	})
}

// A record's text is read back as the record.
func TestRecordsAreReadable(t *testing.T) {
	for kind := range kindNames {
		r := Record{At: time.Second, First: time.Second, Kind: Kind(kind), Agent: "a", Backend: "b", Call: "c", Operation: "c",
			Class: "safe", Budget: time.Second, Status: 200}
		got, err := parse(strings.ReplaceAll(r.String(), `""`, ""))
		if got.Agent == "" {
			got.Agent = "a"
		}
		if err != nil || got != r {
			t.Errorf("%s: read as %+v, error %v", r.String(), got, err)
		}
	}
}

// Whatever records come, the checker neither panics nor keeps more than the last of them need.
func TestAnyRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewChecker(testTerms)
		at := time.Duration(0)
		names := rapid.SampledFrom([]string{"x", "y", "z", ""})
		for range rapid.IntRange(0, 200).Draw(t, "records") {
			at += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait"))
			c.Add(Record{
				At: at, Kind: Kind(rapid.IntRange(0, int(Mended)+1).Draw(t, "kind")), Agent: names.Draw(t, "agent"),
				Backend: names.Draw(t, "backend"), Call: names.Draw(t, "call"), Operation: names.Draw(t, "operation"),
				Class: rapid.SampledFrom([]string{"safe", "unsafe", "celled", "keyed", "other"}).Draw(t, "class"),
				Body:  names.Draw(t, "body"), Status: rapid.SampledFrom([]int{200, 503, 502}).Draw(t, "status"),
				Budget: time.Duration(rapid.Int64Range(-1, int64(time.Second)).Draw(t, "budget")),
				First:  at - time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "first")),
				State:  State(rapid.IntRange(0, 2).Draw(t, "state")), Attempt: rapid.IntRange(0, 3).Draw(t, "attempt"),
			})
		}
		for _, v := range c.Verdicts() {
			if len(v.Findings) > mostFindings || len(v.Findings) > v.Broken+v.Unknown {
				t.Fatalf("%d findings of %d", len(v.Findings), v.Broken+v.Unknown)
			}
		}
		if len(c.calls) > 0 {
			t.Fatalf("%d calls are left", len(c.calls))
		}
	})
}

// A day without end takes no memory without end.
func TestForgets(t *testing.T) {
	c := NewChecker(testTerms)
	const calls = 100_000
	for i := range calls {
		at, id := time.Duration(i)*10*time.Millisecond, fmt.Sprint(i)
		c.Add(Record{At: at, Kind: Asked, Agent: "a", Call: id, Operation: id, Class: "unsafe", Budget: time.Second})
		c.Add(Record{At: at, First: at, Kind: Arrived, Backend: "b", Call: id, Attempt: i})
		c.Add(Record{At: at, Kind: Ran, Backend: "b", Call: id, Attempt: i})
		c.Add(Record{At: at, Kind: Made, Backend: "b", Call: id, Attempt: i, Body: id})
		c.Add(Record{At: at, Kind: Answered, Agent: "a", Call: id, Status: 200, Body: id})
	}
	if n := len(c.calls) + len(c.operations); n > 20_000 {
		t.Errorf("%d calls and operations are kept", n)
	}
	for _, v := range c.Verdicts() {
		if !v.Kept() || v.Unknown > 0 {
			t.Errorf("%s: %s: %+v", v.Rule, v.String(), v.Findings)
		}
	}
}
