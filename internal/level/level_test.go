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

const testConfig = `
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

var testService = Service{
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
	return &c, c.ValidateFor(&testService)
}

// testController is a Controller that is given one sample per second.
type testController struct {
	*testing.T
	*Controller
	now time.Duration
}

func newTestController(t *testing.T) *testController {
	t.Helper()
	c, err := parse(testConfig)
	if err != nil {
		t.Fatal(err)
	}
	return &testController{t, New(c, &testService, 1, time.Hour), time.Hour}
}

// healthySample returns the values of an instance that serves 100 requests per second.
func healthySample() Sample {
	return Sample{Completed: 100, InAim: 99, ListAge: time.Second, Backends: 10}
}

// sampleWithPressure returns a healthy sample with the given pressure.
func sampleWithPressure(pressure float64) Sample {
	sample := healthySample()
	sample.Pressure = pressure
	return sample
}

// unmeasuredSample has no known values.
var unmeasuredSample = Sample{Pressure: -1, ListAge: -1}

// feed updates the Controller with the same sample for a number of seconds and counts the changes
// of level.
func (tc *testController) feed(seconds int, sample Sample) (changes int) {
	for range seconds {
		tc.now += time.Second
		if c := tc.Update(tc.now, sample); c != nil && c.From != c.To {
			changes++
		}
	}
	return changes
}

// requireLevel fails the test unless the given level is in force.
func (tc *testController) requireLevel(want string) {
	tc.Helper()
	if got := tc.Status(); got.Level != want {
		tc.Fatalf("%v: in level %s, want %s; %v, %+v", tc.now, got.Level, want, got.Readings, got.History)
	}
}

func TestUpAndDown(t *testing.T) {
	tc := newTestController(t)
	tc.feed(20, healthySample())
	tc.requireLevel(Normal)
	tc.feed(2, sampleWithPressure(0.5))
	tc.requireLevel(Normal) // not for long enough yet
	tc.feed(1, sampleWithPressure(0.5))
	tc.requireLevel("lean")
	tc.feed(20, sampleWithPressure(0.5))
	tc.requireLevel("lean")
	tc.feed(20, sampleWithPressure(0.2)) // below the entry threshold, but above the exit threshold
	tc.requireLevel("lean")
	tc.feed(1, sampleWithPressure(0.9))
	tc.requireLevel("essential")
	tc.feed(9, healthySample())
	tc.requireLevel("essential")
	tc.feed(1, healthySample())
	tc.requireLevel("lean")
	tc.feed(10, healthySample())
	tc.requireLevel(Normal)
	if n := len(tc.Status().History); n != 4 {
		t.Errorf("%d changes in the history, want 4", n)
	}
}

// An emergency skips the levels between and takes effect at once.
func TestEmergency(t *testing.T) {
	tc := newTestController(t)
	sample := healthySample()
	sample.InAim, sample.Refused = 5, 95
	tc.feed(1, sample)
	tc.requireLevel("essential")
	if reason := tc.Status().History[0].Reason; !strings.HasPrefix(reason, "emergency: refused 0.95") {
		t.Errorf("reason: %s", reason)
	}
}

// While a level is in force, the server list becomes too old. Its backend states then neither raise
// nor end the level.
func TestListDropsOut(t *testing.T) {
	tc := newTestController(t)
	sample := healthySample()
	sample.Ejected = 6
	tc.feed(3, sample)
	tc.requireLevel("lean")
	sample.Ejected = 0
	for age := 25 * time.Second; age < 3*time.Minute; age += time.Second {
		sample.ListAge = age
		tc.feed(1, sample)
		tc.requireLevel("lean")
	}
	sample.ListAge = time.Second
	tc.feed(1, sample)
	tc.requireLevel(Normal)
}

func TestNothingMeasuredChangesNothing(t *testing.T) {
	for _, level := range []string{Normal, "lean", "essential"} {
		tc := newTestController(t)
		if _, err := tc.Hold(tc.now, level, time.Second, "to begin there"); err != nil {
			t.Fatal(err)
		}
		if tc.feed(300, unmeasuredSample) != 0 {
			t.Errorf("from %s to %s", level, tc.Status().Level)
		}
	}
}

// Requests refused by the level itself do not keep it in force, and a level that refuses everything
// is left on trial.
func TestOwnRefusals(t *testing.T) {
	tc := newTestController(t)
	tc.Hold(tc.now, "closed", time.Second, "test")
	// The pressure is out of date.
	sample := Sample{Shed: 1000, Pressure: 1.9, ListAge: time.Second, Backends: 10}
	tc.feed(15, sample)
	tc.requireLevel("essential")
	sample = healthySample()
	sample.Shed = 500
	tc.feed(40, sample)
	tc.requireLevel(Normal)
}

// A level relieves the load that caused it: the load stays at 1.6 times the capacity and the level
// refuses half of it, so each sample looks healthy while the level is in force. The level must
// stay.
func TestReliefIsNoRecovery(t *testing.T) {
	tc := newTestController(t)
	secondsInLean, changes := 0, 0
	const minutes = 20
	for range minutes * 60 {
		sample := sampleWithPressure(0.6)
		if tc.Status().Level != Normal {
			sample = sampleWithPressure(0)
			sample.Completed, sample.InAim, sample.Shed = 80, 80, 80
			secondsInLean++
		}
		changes += tc.feed(1, sample)
	}
	if changes > minutes*2 {
		t.Errorf("%d changes in %d minutes", changes, minutes)
	}
	if secondsInLean < minutes*60*9/10 {
		t.Errorf("%d of %d s in the level that the load needs", secondsInLean, minutes*60)
	}
}

// For values that fluctuate around the thresholds there are at most 2t/d + n changes in any time t.
func TestChangesAreBounded(t *testing.T) {
	c, err := parse(testConfig)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		amplitude := rapid.Float64Range(0, 1).Draw(t, "swing")
		controller := New(c, &testService, rng.Uint64(), 0)
		var changeTimes []time.Duration
		before := controller.Status()
		for now := time.Second; now < 10*time.Minute; now += time.Second {
			sample := sampleWithPressure(max(-1, 0.4+amplitude*rng.NormFloat64()))
			sample.InAim, sample.Refused, sample.Ejected = 60+rng.IntN(40), rng.IntN(100), rng.IntN(10)
			sample.ListAge = time.Duration(rng.IntN(60)) * time.Second
			if rng.IntN(10) == 0 {
				sample = unmeasuredSample
			}
			change := controller.Update(now, sample)
			status := controller.Status()
			if change == nil && status.Level != before.Level {
				t.Fatalf("from %s to %s without a change", before.Level, status.Level)
			}
			if before = status; change == nil || change.From == change.To {
				continue
			}
			changeTimes = append(changeTimes, now)
			for len(changeTimes) > 0 && changeTimes[0] <= now-time.Minute {
				changeTimes = changeTimes[1:]
			}
			if limit := 2*60/10 + len(c.Level); len(changeTimes) > limit {
				t.Fatalf("%d changes within a minute, %d at most: %+v", len(changeTimes), limit, status.History)
			}
		}
	})
}

func TestHold(t *testing.T) {
	tc := newTestController(t)
	if _, err := tc.Hold(tc.now, "essential", time.Minute, "a fair"); err != nil {
		t.Fatal(err)
	}
	sample := healthySample()
	sample.InAim, sample.Refused = 0, 100
	tc.feed(30, sample)
	tc.feed(29, healthySample())
	tc.requireLevel("essential")
	tc.feed(30, healthySample()) // the hold ends, and the values lead back to normal service
	tc.requireLevel(Normal)
	if tc.Release(tc.now) != nil {
		t.Error("Release returned a change after the hold had ended")
	}
	tc.Hold(tc.now, Normal, time.Hour, "nothing is to be turned away")
	tc.feed(100, sample)
	tc.requireLevel(Normal)
	if tc.Release(tc.now) == nil {
		t.Error("Release did not end the hold")
	}
	tc.feed(1, sample)
	tc.requireLevel("essential")
	for _, c := range []struct {
		level string
		d     time.Duration
		want  string
	}{{"lean", 0, "a hold lasts"}, {"lean", 25 * time.Hour, "a hold lasts"}, {"none", time.Minute, `no level "none"`}} {
		if _, err := tc.Hold(tc.now, c.level, c.d, ""); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %v: error %v, want %q", c.level, c.d, err, c.want)
		}
	}
}

func TestJudge(t *testing.T) {
	tc := newTestController(t)
	const status, unsafe = 0, 1
	if r := tc.Admit(tc.now, status, 0, 5000); r != nil {
		t.Errorf("normal service refuses: %+v", r)
	}
	tc.Hold(tc.now, "essential", 8*time.Second, "test")
	// Both accounts send equally many requests, but the second is guaranteed only a quarter.
	for range 1000 {
		tc.Admit(tc.now, unsafe, 0, 10)
		tc.Admit(tc.now, unsafe, 1, 10)
	}
	for _, c := range []struct {
		class, account, body int
		reason               string
	}{{status, 0, 10, "class"}, {unsafe, 0, 10, ""}, {unsafe, 1, 10, "account over its share"}, {unsafe, 0, 1001, "body size"}, {unsafe, -1, 10, ""}, {9, 9, 10, ""}} {
		r := tc.Admit(tc.now, c.class, c.account, c.body)
		if (r == nil) != (c.reason == "") || r != nil && (r.Reason != c.reason || r.Level != "essential") {
			t.Errorf("%+v: %+v", c, r)
		}
		if r != nil && (r.RetryAfter < 8*time.Second || r.RetryAfter > 10*time.Second) {
			t.Errorf("%+v: retry after %v, but the level is held for 8s", c, r.RetryAfter)
		}
	}
	if a := tc.Allowed(); a.Hedges || a.Retries || !a.Probes {
		t.Errorf("essential allows %+v", a)
	}
	if !slices.Contains(tc.Status().Refusals, RefusalCount{"essential", "class", 1}) {
		t.Errorf("refusal counts: %+v, want one by class", tc.Status().Refusals)
	}
}

// A level may refuse a fraction of a class, which allows a gradual transition to the next level.
func TestPartOfAClass(t *testing.T) {
	c, err := parse("[[level]]\nname = \"half\"\nshed = [\"status-update\"]\npart = 0.5\n")
	if err != nil {
		t.Fatal(err)
	}
	controller := New(c, &testService, 1, 0)
	controller.Hold(0, "half", time.Minute, "test")
	refused := 0
	for range 1000 {
		if controller.Admit(0, 0, 0, 0) != nil {
			refused++
		}
		if r := controller.Admit(0, 1, 0, 0); r != nil {
			t.Fatalf("delivery-close: %+v", r)
		}
	}
	if refused < 430 || refused > 570 {
		t.Errorf("%d of 1000 refused, want about half", refused)
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
		if !strings.Contains(testConfig, c.from) {
			t.Errorf("the test configuration does not contain %q", c.from)
		}
		_, err := parse(strings.Replace(testConfig, c.from, c.to, 1))
		var fieldErr *api.FieldError
		switch {
		case c.field == "" && err != nil:
			t.Errorf("%q: error %v", c.to, err)
		case c.field != "" && (!errors.As(err, &fieldErr) || fieldErr.Field != c.field):
			t.Errorf("%q for %q: error %v, want one about %s", c.to, c.from, err, c.field)
		}
	}
	// Classes that must not run twice are refused only after all other classes.
	sideEffectOnly := "[[level]]\nname = \"wrong\"\nshed = [\"delivery-close\"]\n"
	if _, err := parse(sideEffectOnly); err == nil || !strings.Contains(err.Error(), `"delivery-close" is refused before "status-update"`) {
		t.Errorf("delivery-close alone: error %v", err)
	}
	for _, text := range []string{`dwell = "10s"`, `[[level]]
name = "x"
colour = 3`} {
		if _, err := parse(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
