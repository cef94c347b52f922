package level

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/tomlfile"
	"example.org/micaline/policy"
)

// MostHold is how long operators may hold a level at most.
const MaxHold = 24 * time.Hour

// Duration is a time in Go's notation, such as "250ms".
type Duration = tomlfile.Duration

// Config is the part of the operators' file about levels. Without a level everything is off.
type Config struct {
	Every Duration // between looks at the figures; 1s if it is not given
	Dwell Duration // least time in a level; 10s if it is not given
	Fresh Duration // a list that is older tells nothing of the backends; 30s if it is not given
	Level []Level  // from the mildest on
}

// Level is one named level.
type Level struct {
	Name           string
	Shed           []string // classes that are turned away,
	Part           float64  // this part of their requests; 1 if it is not given
	OverShare      float64  `toml:"over_share"` // accounts that ask for more than this multiple of their share; 0 for none
	MostBody       int      `toml:"most_body"`  // bytes of a body; 0 for no limit of its own
	NoSecondCopies bool     `toml:"no_second_copies"`
	NoRetries      bool     `toml:"no_retries"`
	NoProbes       bool     `toml:"no_probes"`

	Enter     Thresholds // any figure there enters the level,
	After     Duration   // once it has been there for so long
	Emergency Thresholds // any figure there enters it at once, past those between
	Exit      Thresholds // all figures back leave it for the one below
}

// Thresholds are limits of figures; those that are nil do not count.
type Thresholds struct {
	Pressure *float64  // at least; 0 to 2
	InAim    *float64  `toml:"in_aim"` // share of requests, at most
	Refused  *float64  // share of requests, at least
	Out      *float64  // share of backends, at least
	Late     *float64  // the agent's own lateness, as a part of the soonest aim, at least
	Sites    *float64  // share of the sites that are withdrawn, at least
	ListAge  *Duration `toml:"list_age"` // at least
}

// Service is what levels are laid over.
type Service struct {
	Classes  []Class
	Portions []float64 // of accounts, by their positions
}

// Class is a class of requests.
type Class struct {
	Name   string
	Effect policy.Effect
}

// On says whether there are levels.
func (c *Config) Enabled() bool { return len(c.Level) > 0 }

var name = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)

// Check says what is wrong, and fills in what is not given. Its error is an *api.FieldError.
func (c *Config) Validate() error {
	if !c.Enabled() {
		if c.Every != 0 || c.Dwell != 0 || c.Fresh != 0 {
			return &api.FieldError{Field: "level", What: "missing"}
		}
		return nil
	}
	for _, d := range []struct {
		field string
		v     *Duration
		usual time.Duration
		least time.Duration
	}{{"every", &c.Every, time.Second, 50 * time.Millisecond}, {"dwell", &c.Dwell, 10 * time.Second, time.Second}, {"fresh", &c.Fresh, 30 * time.Second, time.Second}} {
		if *d.v == 0 {
			*d.v = Duration(d.usual)
		}
		if d.v.D() < d.least || d.v.D() > time.Hour {
			return &api.FieldError{Field: d.field, What: fmt.Sprintf("%v is not between %v and 1h", d.v.D(), d.least)}
		}
	}
	if c.Dwell < c.Every {
		return &api.FieldError{Field: "dwell", What: fmt.Sprintf("%v is shorter than every, %v", c.Dwell.D(), c.Every.D())}
	}
	if len(c.Level) > MaxLevels {
		return &api.FieldError{Field: "level", What: fmt.Sprintf("there are %d, and %d are allowed", len(c.Level), MaxLevels)}
	}
	names := map[string]bool{Normal: true}
	for i := range c.Level {
		l := &c.Level[i]
		at := func(field, what string, args ...any) error {
			return &api.FieldError{Field: fmt.Sprintf("level[%d].%s", i, field), What: fmt.Sprintf(what, args...)}
		}
		switch {
		case !name.MatchString(l.Name):
			return at("name", "%.80q: names are 1 to 32 small letters, digits and hyphens", l.Name)
		case names[l.Name]:
			return at("name", "%q is taken", l.Name)
		case l.Part != 0 && !(l.Part > 0 && l.Part <= 1):
			return at("part", "%v is not between 0 and 1", l.Part)
		case l.Part != 0 && len(l.Shed) == 0:
			return at("shed", "missing: part says how much of it")
		case l.OverShare != 0 && !(l.OverShare >= 1 && l.OverShare <= 100):
			return at("over_share", "%v is not between 1 and 100", l.OverShare)
		case l.MostBody < 0:
			return at("most_body", "%d is below 0", l.MostBody)
		case l.After < 0 || l.After.D() > time.Hour:
			return at("after", "%v is not between 0s and 1h", l.After.D())
		}
		names[l.Name] = true
		if l.Part == 0 {
			l.Part = 1
		}
		for _, t := range []struct {
			field string
			t     *Thresholds
		}{{"enter", &l.Enter}, {"emergency", &l.Emergency}, {"exit", &l.Exit}} {
			if field, what := t.t.wrong(); what != "" {
				return at(t.field+"."+field, "%s", what)
			}
		}
		if l.Enter == (Thresholds{}) && l.Emergency == (Thresholds{}) && l.Exit != (Thresholds{}) {
			return at("enter", "missing: the level can be left and not entered")
		}
		for _, in := range []struct {
			field string
			t     *Thresholds
		}{{"enter", &l.Enter}, {"emergency", &l.Emergency}} {
			if field, what := in.t.easier(&l.Exit); what != "" {
				return at("exit."+field, "%s %s", what, in.field)
			}
		}
		if i > 0 {
			if field, what := l.covers(&c.Level[i-1]); what != "" {
				return at(field, "%s", what)
			}
		}
	}
	return nil
}

// wrong says which threshold can't be.
func (t *Thresholds) wrong() (field, what string) {
	for _, s := range []struct {
		field string
		v     *float64
		most  float64
	}{{"pressure", t.Pressure, 2}, {"in_aim", t.InAim, 1}, {"refused", t.Refused, 1}, {"out", t.Out, 1}, {"late", t.Late, 1}, {"sites", t.Sites, 1}} {
		if s.v != nil && !(*s.v >= 0 && *s.v <= s.most) {
			return s.field, fmt.Sprintf("%v is not between 0 and %v", *s.v, s.most)
		}
	}
	if t.ListAge != nil && *t.ListAge <= 0 {
		return "list_age", fmt.Sprintf("%v is not above 0s", t.ListAge.D())
	}
	return "", ""
}

// easier says which threshold of the exit is missing, or is not easier than this one. Danger: without a gap a figure that
// hovers there enters and leaves again and again.
func (t *Thresholds) easier(exit *Thresholds) (field, what string) {
	for _, s := range []struct {
		field   string
		in, out *float64
		sign    float64
	}{{"pressure", t.Pressure, exit.Pressure, 1}, {"in_aim", t.InAim, exit.InAim, -1}, {"refused", t.Refused, exit.Refused, 1}, {"out", t.Out, exit.Out, 1}, {"late", t.Late, exit.Late, 1}, {"sites", t.Sites, exit.Sites, 1}} {
		switch {
		case s.in == nil:
		case s.out == nil:
			return s.field, "missing: it stands in"
		case !(s.sign*(*s.in-*s.out) > 0) || math.IsNaN(*s.out):
			return s.field, fmt.Sprintf("%v is not easier than %v of", *s.out, *s.in)
		}
	}
	switch {
	case t.ListAge == nil:
	case exit.ListAge == nil:
		return "list_age", "missing: it stands in"
	case *exit.ListAge >= *t.ListAge:
		return "list_age", fmt.Sprintf("%v is not easier than %v of", exit.ListAge.D(), t.ListAge.D())
	}
	return "", ""
}

// covers says what a level gives that the one below it has taken away: going up must relieve.
func (l *Level) covers(below *Level) (field, what string) {
	for _, class := range below.Shed {
		if !slices.Contains(l.Shed, class) {
			return "shed", fmt.Sprintf("%q is missing, which level %s turns away", class, below.Name)
		}
	}
	if len(below.Shed) > 0 && l.Part < below.Part {
		return "part", fmt.Sprintf("level %s has %v", below.Name, below.Part)
	}
	for _, b := range []struct {
		field        string
		below, above bool
	}{{"no_second_copies", below.NoSecondCopies, l.NoSecondCopies}, {"no_retries", below.NoRetries, l.NoRetries}, {"no_probes", below.NoProbes, l.NoProbes}} {
		if b.below && !b.above {
			return b.field, fmt.Sprintf("missing: it stands in level %s", below.Name)
		}
	}
	if below.OverShare > 0 && (l.OverShare == 0 || l.OverShare > below.OverShare) {
		return "over_share", fmt.Sprintf("level %s has %v", below.Name, below.OverShare)
	}
	if below.MostBody > 0 && (l.MostBody == 0 || l.MostBody > below.MostBody) {
		return "most_body", fmt.Sprintf("level %s has %d", below.Name, below.MostBody)
	}
	return "", ""
}

// Fits says which class is not there, or goes before its time: what may be repeated anywhere goes first, then what is keyed,
// and what must never run twice last, as its clients can't come again as freely. Its error is an *api.FieldError.
func (c *Config) ValidateFor(s *Service) error {
	for i := range c.Level {
		l := &c.Level[i]
		field := fmt.Sprintf("level[%d].shed", i)
		for _, shed := range l.Shed {
			at := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == shed })
			if at < 0 {
				return &api.FieldError{Field: field, What: fmt.Sprintf("there is no class %.80q", shed)}
			}
			for _, other := range s.Classes {
				if other.Effect < s.Classes[at].Effect && !slices.Contains(l.Shed, other.Name) {
					return &api.FieldError{Field: field, What: fmt.Sprintf("%q goes before %q, which may be repeated more freely", shed, other.Name)}
				}
			}
		}
	}
	return nil
}
