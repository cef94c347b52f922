package level

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/tomlfile"
	"example.org/micaline/policy"
)

const ladder = `
every = "1s"
dwell = "10s"
[[level]]
name = "lean"
shed = ["status-update"]
no_second_copies = true
enter = { pressure = 0.4, in_aim = 0.8, list_age = "40s", out = 0.5 }
after = "2s"
exit = { pressure = 0.1, in_aim = 0.95, list_age = "20s", out = 0.3 }
[[level]]
name = "essential"
shed = ["status-update"]
no_second_copies = true
no_retries = true
over_share = 1.5
most_body = 1000
enter = { pressure = 0.8 }
emergency = { refused = 0.9 }
exit = { pressure = 0.2, refused = 0.3 }
[[level]]
name = "closed"
shed = ["status-update", "delivery-close"]
no_second_copies = true
no_retries = true
over_share = 1.5
most_body = 1000
`

var service = Service{
	Classes:  []Class{{"status-update", policy.Keyed}, {"delivery-close", policy.SideEffect}},
	Portions: []float64{0.75, 0.25},
}

func parse(text string) (*Config, error) {
	var c Config
	if err := tomlfile.Decode([]byte(text), &c); err != nil {
		return nil, err
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return &c, c.ValidateFor(&service)
}

// bench steps a machine once a second.
type bench struct {
	*testing.T
	*Controller
	now time.Duration
}

func start(t *testing.T) *bench {
	t.Helper()
	c, err := parse(ladder)
	if err != nil {
		t.Fatal(err)
	}
	return &bench{t, New(c, &service, 1, time.Hour), time.Hour}
}

// well are the figures of an instance that serves 100 requests a second.
func well() Sample {
	return Sample{Completed: 100, InAim: 99, ListAge: time.Second, Backends: 10}
}

func pressed(pressure float64) Sample {
	f := well()
	f.Pressure = pressure
	return f
}

// unknown are those of an instance of which nothing is measured.
var unknown = Sample{Pressure: -1, ListAge: -1}

// steps shows it the same figures for so many seconds, and counts changes of level.
func (b *bench) steps(n int, f Sample) (changes int) {
	for range n {
		b.now += time.Second
		if c := b.Update(b.now, f); c != nil && c.From != c.To {
			changes++
		}
	}
	return changes
}

func (b *bench) at(want string) {
	b.Helper()
	if got := b.Status(); got.Level != want {
		b.Fatalf("%v: in level %s, want %s; %v, %+v", b.now, got.Level, want, got.Readings, got.History)
	}
}

func TestUpAndDown(t *testing.T) {
	b := start(t)
	b.steps(20, well())
	b.at(Normal)
	b.steps(2, pressed(0.5))
	b.at(Normal) // not for long enough yet
	b.steps(1, pressed(0.5))
	b.at("lean")
	b.steps(20, pressed(0.5))
	b.at("lean")
	b.steps(20, pressed(0.2)) // below what it is entered at, and not yet where it is left
	b.at("lean")
	b.steps(1, pressed(0.9))
	b.at("essential")
	b.steps(9, well())
	b.at("essential")
	b.steps(1, well())
	b.at("lean")
	b.steps(10, well())
	b.at(Normal)
	if n := len(b.Status().History); n != 4 {
		t.Errorf("%d changes are remembered, want 4", n)
	}
}

// An emergency goes past what lies between, at once.
func TestEmergency(t *testing.T) {
	b := start(t)
	f := well()
	f.InAim, f.Refused = 5, 95
	b.steps(1, f)
	b.at("essential")
	if why := b.Status().History[0].Reason; !strings.HasPrefix(why, "emergency: refused 0.95") {
		t.Errorf("why: %s", why)
	}
}

// The list drops out while a level is in force: what it said of the backends is old, and neither raises nor ends the level.
func TestListDropsOut(t *testing.T) {
	b := start(t)
	f := well()
	f.Ejected = 6
	b.steps(3, f)
	b.at("lean")
	f.Ejected = 0
	for age := 25 * time.Second; age < 3*time.Minute; age += time.Second {
		f.ListAge = age
		b.steps(1, f)
		b.at("lean")
	}
	f.ListAge = time.Second
	b.steps(1, f)
	b.at(Normal)
}

func TestNothingMeasuredChangesNothing(t *testing.T) {
	for _, level := range []string{Normal, "lean", "essential"} {
		b := start(t)
		if _, err := b.Hold(b.now, level, time.Second, "to begin there"); err != nil {
			t.Fatal(err)
		}
		if b.steps(300, unknown) != 0 {
			t.Errorf("from %s to %s", level, b.Status().Level)
		}
	}
}

// Requests that a level turns away are no sign that it is needed, and where nothing comes through it is left on trial.
func TestOwnRefusals(t *testing.T) {
	b := start(t)
	b.Hold(b.now, "closed", time.Second, "test")
	f := Sample{Shed: 1000, Pressure: 1.9, ListAge: time.Second, Backends: 10} // the pressure is from before
	b.steps(15, f)
	b.at("essential")
	f = well()
	f.Shed = 500
	b.steps(40, f)
	b.at(Normal)
}

// A level that relieves the load which caused it: the load stays at 1.6 of what can be served, of which the level turns away
// half. Each look shows it well as soon as it is in force.
func TestReliefIsNoRecovery(t *testing.T) {
	b := start(t)
	inLean, changes := 0, 0
	const minutes = 20
	for range minutes * 60 {
		f := pressed(0.6)
		if b.Status().Level != Normal {
			f = pressed(0)
			f.Completed, f.InAim, f.Shed = 80, 80, 80
			inLean++
		}
		changes += b.steps(1, f)
	}
	if changes > minutes*2 {
		t.Errorf("%d changes in %d minutes", changes, minutes)
	}
	if inLean < minutes*60*9/10 {
		t.Errorf("%d of %d s in the level that is needed", inLean, minutes*60)
	}
}

// Load that hovers at a threshold: at most 2t/d + n changes in any time t, whatever the figures are.
func TestChangesAreBounded(t *testing.T) {
	c, err := parse(ladder)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		swing := rapid.Float64Range(0, 1).Draw(t, "swing")
		m := New(c, &service, rng.Uint64(), 0)
		var at []time.Duration
		before := m.Status()
		for now := time.Second; now < 10*time.Minute; now += time.Second {
			f := pressed(max(-1, 0.4+swing*rng.NormFloat64()))
			f.InAim, f.Refused, f.Ejected = 60+rng.IntN(40), rng.IntN(100), rng.IntN(10)
			f.ListAge = time.Duration(rng.IntN(60)) * time.Second
			if rng.IntN(10) == 0 {
				f = unknown
			}
			change := m.Update(now, f)
			v := m.Status()
			if change == nil && v.Level != before.Level {
				t.Fatalf("from %s to %s without a change", before.Level, v.Level)
			}
			if before = v; change == nil || change.From == change.To {
				continue
			}
			at = append(at, now)
			for len(at) > 0 && at[0] <= now-time.Minute {
				at = at[1:]
			}
			if most := 2*60/10 + len(c.Level); len(at) > most {
				t.Fatalf("%d changes within a minute, %d at most: %+v", len(at), most, v.History)
			}
		}
	})
}

func TestHold(t *testing.T) {
	b := start(t)
	if _, err := b.Hold(b.now, "essential", time.Minute, "a fair"); err != nil {
		t.Fatal(err)
	}
	f := well()
	f.InAim, f.Refused = 0, 100
	b.steps(30, f)
	b.steps(29, well())
	b.at("essential")
	b.steps(30, well()) // the hold is over, and the ladder leads down
	b.at(Normal)
	if b.Release(b.now) != nil {
		t.Error("a hold that is over was released")
	}
	b.Hold(b.now, Normal, time.Hour, "nothing is to be turned away")
	b.steps(100, f)
	b.at(Normal)
	if b.Release(b.now) == nil {
		t.Error("a hold was not released")
	}
	b.steps(1, f)
	b.at("essential")
	for _, c := range []struct {
		level string
		d     time.Duration
		want  string
	}{{"lean", 0, "a hold lasts"}, {"lean", 25 * time.Hour, "a hold lasts"}, {"none", time.Minute, `no level "none"`}} {
		if _, err := b.Hold(b.now, c.level, c.d, ""); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %v: error %v, want %q", c.level, c.d, err, c.want)
		}
	}
}

func TestJudge(t *testing.T) {
	b := start(t)
	const status, unsafe = 0, 1
	if r := b.Admit(b.now, status, 0, 5000); r != nil {
		t.Errorf("normal service turns away: %+v", r)
	}
	b.Hold(b.now, "essential", 8*time.Second, "test")
	for range 1000 { // both accounts ask for as much, and the second has a quarter
		b.Admit(b.now, unsafe, 0, 10)
		b.Admit(b.now, unsafe, 1, 10)
	}
	for _, c := range []struct {
		class, account, body int
		why                  string
	}{{status, 0, 10, "class"}, {unsafe, 0, 10, ""}, {unsafe, 1, 10, "account over its share"}, {unsafe, 0, 1001, "body size"}, {unsafe, -1, 10, ""}, {9, 9, 10, ""}} {
		r := b.Admit(b.now, c.class, c.account, c.body)
		if (r == nil) != (c.why == "") || r != nil && (r.Reason != c.why || r.Level != "essential") {
			t.Errorf("%+v: %+v", c, r)
		}
		if r != nil && (r.RetryAfter < 8*time.Second || r.RetryAfter > 10*time.Second) {
			t.Errorf("%+v: come again after %v, and the level is held for 8s", c, r.RetryAfter)
		}
	}
	if a := b.Allowed(); a.Hedges || a.Retries || !a.Probes {
		t.Errorf("essential allows %+v", a)
	}
	if !slices.Contains(b.Status().Refusals, RefusalCount{"essential", "class", 1}) {
		t.Errorf("counted refusals: %+v, want one by class", b.Status().Refusals)
	}
}

// A level may turn away a part of a class: the next one up is then no cliff.
func TestPartOfAClass(t *testing.T) {
	c, err := parse("[[level]]\nname = \"half\"\nshed = [\"status-update\"]\npart = 0.5\n")
	if err != nil {
		t.Fatal(err)
	}
	m := New(c, &service, 1, 0)
	m.Hold(0, "half", time.Minute, "test")
	turned := 0
	for range 1000 {
		if m.Admit(0, 0, 0, 0) != nil {
			turned++
		}
		if r := m.Admit(0, 1, 0, 0); r != nil {
			t.Fatalf("delivery-close: %+v", r)
		}
	}
	if turned < 430 || turned > 570 {
		t.Errorf("%d of 1000 turned away, half is wanted", turned)
	}
}

func TestMistakes(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{`every = "1s"`, `every = "1ms"`, "every"},
		{`dwell = "10s"`, `dwell = "2h"`, "dwell"},
		{`every = "1s"`, `every = "11s"`, "dwell"},
		{`name = "lean"`, `name = "Lean!"`, "level[0].name"},
		{`name = "essential"`, `name = "lean"`, "level[1].name"},
		{`name = "lean"`, `name = "normal"`, "level[0].name"},
		{`over_share = 1.5`, `over_share = 0.5`, "level[1].over_share"},
		{`most_body = 1000`, `most_body = -1`, "level[1].most_body"},
		{`after = "2s"`, `after = "-2s"`, "level[0].after"},
		{`pressure = 0.8 }`, `pressure = 3 }`, "level[1].enter.pressure"},
		{`in_aim = 0.8,`, `in_aim = nan,`, "level[0].enter.in_aim"},
		{`exit = { pressure = 0.1, `, `exit = { `, "level[0].exit.pressure"},
		{`in_aim = 0.95`, `in_aim = 0.8`, "level[0].exit.in_aim"},
		{`list_age = "20s"`, `list_age = "40s"`, "level[0].exit.list_age"},
		{`refused = 0.3`, `refused = 0.95`, "level[1].exit.refused"},
		{`enter = { pressure = 0.8 }
emergency = { refused = 0.9 }`, ``, "level[1].enter"},
		{`shed = ["status-update"]
no_second_copies = true
no_retries`, `no_second_copies = true
no_retries`, "level[1].shed"},
		{`no_second_copies = true
no_retries = true
over_share = 1.5
most_body = 1000
enter`, `no_retries = true
enter`, "level[1].no_second_copies"},
		{`after = "2s"`, `part = 0.5`, ""},
		{`after = "2s"`, `part = 1.5`, "level[0].part"},
		{`no_retries = true
over_share`, `part = 0.5
no_retries = true
over_share`, "level[1].part"},
		{`[[level]]
name = "lean"`, `[[level]]
name = "first"
part = 0.5
[[level]]
name = "lean"`, "level[0].shed"},
		{`shed = ["status-update"]`, `shed = ["parcel"]`, "level[1].shed"},
		{`shed = ["status-update", "delivery-close"]`, `shed = ["delivery-close"]`, "level[2].shed"},
	} {
		if !strings.Contains(ladder, c.from) {
			t.Errorf("the ladder has no %q", c.from)
		}
		_, err := parse(strings.Replace(ladder, c.from, c.to, 1))
		var f *api.FieldError
		switch {
		case c.field == "" && err != nil:
			t.Errorf("%q: error %v", c.to, err)
		case c.field != "" && (!errors.As(err, &f) || f.Field != c.field):
			t.Errorf("%q for %q: error %v, want one about %s", c.to, c.from, err, c.field)
		}
	}
	// What must never run twice is turned away last, and only behind all else.
	alone := "[[level]]\nname = \"wrong\"\nshed = [\"delivery-close\"]\n"
	if _, err := parse(alone); err == nil || !strings.Contains(err.Error(), `"delivery-close" goes before "status-update"`) {
		t.Errorf("delivery-close alone: error %v", err)
	}
	for _, text := range []string{`dwell = "10s"`, `[[level]]
name = "x"
colour = 3`} {
		if _, err := parse(text); err == nil {
			t.Errorf("%q is taken", text)
		}
	}
}
