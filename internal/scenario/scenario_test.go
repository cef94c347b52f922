package scenario

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

// All that ships can be read, is named after its file, and says what it is about.
func TestShipped(t *testing.T) {
	all := Shipped()
	if len(all) < 12 {
		t.Errorf("%d scenarios ship", len(all))
	}
	for _, s := range all {
		if _, err := os.Stat("days/" + s.Name + ".toml"); err != nil || s.About == "" {
			t.Errorf("%s: about %q, error %v", s.Name, s.About, err)
		}
	}
}

// Each kind of fault is told, so that the live view has words for it.
func TestKindsAreTold(t *testing.T) {
	for kind := range kinds {
		if Describe(kind) == "" {
			t.Errorf("%s is not described", kind)
		}
	}
}

// What can't be used is told with its line and its field.
func TestErrorsNameLineAndField(t *testing.T) {
	const good = "name = \"x\"\nagents = 2\n[clients]\nretries = 1\n[[fault]]\nkind = \"hang\"\nat = \"1s\"\nshare = 0.5\n" +
		"[[fault]]\nkind = \"flood\"\nat = \"2s\"\nsize = 3\naccount = \"farmacia\"\n"
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		old, new string
		line     int
		field    string
	}{
		{"agents = 2", "agents = 0", 2, "agents"},
		{"agents = 2", "agents = \"two\"", 2, "agents"},
		{"agents = 2", "agent = 2", 2, "agent"},
		{"agents = 2", "agents = ", 2, ""},
		{"retries = 1", "retries = 99", 4, "clients.retries"},
		{"retries = 1", "retry = 1", 4, "clients.retry"},
		{"retries = 1", "honour = nan", 4, "clients.honour"},
		{"kind = \"hang\"", "kind = \"hung\"", 6, "fault[0].kind"},
		{"at = \"1s\"", "at = \"1\"", 7, "fault.at"},
		{"at = \"1s\"", "at = \"20m\"", 7, "fault[0].at"},
		{"share = 0.5", "share = 1.5", 8, "fault[0].share"},
		{"share = 0.5", "", 5, "fault[0].share"},
		{"kind = \"flood\"", "kind = \"rude\"", 13, "fault[1].account"},
		{"size = 3", "size = 3000", 12, "fault[1].size"},
		{"size = 3", "size = 3\ncount = 2", 9, "fault[1].share"},
		{"account = \"farmacia\"", "account = \"nobody\"", 13, "fault[1].account"},
		{"name = \"x\"", "name = \"x/y\"", 1, "name"},
		{"retries = 1", "skew = 0.5", 4, "clients.skew"},
		{"[clients]", "[discovery]\nlines = -1\n[clients]", 4, "discovery.lines"},
		{"[clients]", "[limits]\nprobe_price = -1\n[clients]", 4, "limits.probe_price"},
		{"[clients]", "[[backends]]\nspeed = -1\ncount = 1\n[clients]", 4, "backends[0].speed"},
		{"[clients]", "[[classes]]\nname = \"c\"\nshare = 0.5\naim=\"1s\"\ndeadline=\"1s\"\nwork=\"1s\"\neffect=\"safe\"\n[clients]", 3, "classes"},
	} {
		_, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1)))
		var e *Error
		if !errors.As(err, &e) || e.Line != c.line || e.Field != c.field || e.What == "" {
			t.Errorf("%s: %v, want line %d, field %q", c.new, err, c.line, c.field)
		}
	}
}

func TestLoadIsStraightBetweenPoints(t *testing.T) {
	s := &Scenario{For: Duration(10 * time.Second), Load: []Load{{Duration(time.Second), 10}, {Duration(3 * time.Second), 30}}}
	for at, want := range map[time.Duration]float64{0: 10, time.Second: 10, 2 * time.Second: 20, 3 * time.Second: 30, time.Hour: 30} {
		if got := s.Rate(at); got != want {
			t.Errorf("at %v: %v", at, got)
		}
	}
	if s.Scale(2, 20*time.Second); s.Rate(4*time.Second) != 40 {
		t.Errorf("scaled: %v", s.Rate(4*time.Second))
	}
}

func TestSetBackendsKeepsParts(t *testing.T) {
	for n := 1; n <= 40; n++ {
		s, err := Parse([]byte("name='x'\n"))
		if err != nil {
			t.Fatal(err)
		}
		s.SetBackends(n)
		total := 0
		for _, b := range s.Backends {
			total += b.Count
		}
		if err := s.Check(); total != n || err != nil {
			t.Errorf("%d backends asked for, %d made, error %v", n, total, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range Shipped() {
		text, _ := days.ReadFile("days/" + s.Name + ".toml")
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		var e *Error
		if err != nil && !errors.As(err, &e) {
			t.Errorf("an error of another type: %v", err)
		}
		if err == nil && s.Check() != nil {
			t.Error("what was read does not pass its own check")
		}
	})
}
