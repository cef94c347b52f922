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

// MaxHold is the longest time for which operators may hold a level.
const MaxHold = 24 * time.Hour

// Duration is a time.Duration that is written as text in Go's notation, such as "250ms".
type Duration = tomlfile.Duration

// Config is the section about levels in the operators' file. Without any level the feature is off.
type Config struct {
	Every Duration // interval between samples; default 1s
	Dwell Duration // least time in a level; default 10s
	Fresh Duration // greatest age of the server list at which its backend states count; default 30s
	Level []Level  // from the mildest to the most severe
}

// Level is a named level of reduced service.
type Level struct {
	Name string
	Shed []string // names of the classes whose requests are refused
	Part float64  // fraction of these requests that is refused; default 1
	// OverShare is the largest multiple of its guaranteed share that an account may send. 0 means
	// no limit.
	OverShare      float64 `toml:"over_share"`
	MostBody       int     `toml:"most_body"`        // largest request body in bytes; 0: no limit
	NoSecondCopies bool    `toml:"no_second_copies"` // the decision module may not hedge requests
	NoRetries      bool    `toml:"no_retries"`       // the decision module may not retry attempts
	NoProbes       bool    `toml:"no_probes"`        // the decision module may not send probes

	Enter     Thresholds // reaching any of these for the time After enters the level
	After     Duration   // how long a threshold of Enter must have been reached
	Emergency Thresholds // reaching any of these enters the level at once, also from further below
	Exit      Thresholds // clearing all of these leaves the level for the one below
}

// Thresholds are limits for the measured values. Values from a threshold up reach it, except that
// InAim is reached from its threshold down. A nil threshold is not checked.
type Thresholds struct {
	Pressure *float64  // share of ordinary requests that the decision module sheds, from 0 to 2
	InAim    *float64  `toml:"in_aim"` // share of requests answered within the target latency
	Refused  *float64  // share of requests refused by the decision module
	Out      *float64  // share of backends ejected
	Late     *float64  // delay of the agent itself, relative to the shortest target latency
	Sites    *float64  // share of sites withdrawn
	ListAge  *Duration `toml:"list_age"` // age of the server list
}

// Service describes the classes and accounts to which the levels apply.
type Service struct {
	Classes  []Class
	Portions []float64 // guaranteed shares of the accounts, by position
}

// Class is a class of requests.
type Class struct {
	Name   string
	Effect policy.Effect
}

// Enabled reports whether any level is configured.
func (c *Config) Enabled() bool { return len(c.Level) > 0 }

var levelNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)

// Validate checks the configuration and fills in the defaults. Its error is an *api.FieldError.
func (c *Config) Validate() error {
	if !c.Enabled() {
		if c.Every != 0 || c.Dwell != 0 || c.Fresh != 0 {
			return &api.FieldError{Field: "level", What: "missing"}
		}
		return nil
	}
	for _, setting := range []struct {
		field        string
		value        *Duration
		defaultValue time.Duration
		minimum      time.Duration
	}{{"every", &c.Every, time.Second, 50 * time.Millisecond}, {"dwell", &c.Dwell, 10 * time.Second, time.Second}, {"fresh", &c.Fresh, 30 * time.Second, time.Second}} {
		if *setting.value == 0 {
			*setting.value = Duration(setting.defaultValue)
		}
		if setting.value.D() < setting.minimum || setting.value.D() > time.Hour {
			return &api.FieldError{Field: setting.field, What: fmt.Sprintf("%v is not between %v and 1h", setting.value.D(), setting.minimum)}
		}
	}
	if c.Dwell < c.Every {
		return &api.FieldError{Field: "dwell", What: fmt.Sprintf("%v is shorter than every, %v", c.Dwell.D(), c.Every.D())}
	}
	if len(c.Level) > MaxLevels {
		return &api.FieldError{Field: "level", What: fmt.Sprintf("there are %d levels, at most %d are allowed", len(c.Level), MaxLevels)}
	}
	names := map[string]bool{Normal: true}
	for i := range c.Level {
		level := &c.Level[i]
		fieldError := func(field, format string, args ...any) error {
			return &api.FieldError{Field: fmt.Sprintf("level[%d].%s", i, field), What: fmt.Sprintf(format, args...)}
		}
		switch {
		case !levelNamePattern.MatchString(level.Name):
			return fieldError("name", "%.80q: a name is a lower-case letter followed by up to 31 lower-case letters, digits and hyphens", level.Name)
		case names[level.Name]:
			return fieldError("name", "%q is already in use", level.Name)
		case level.Part != 0 && !(level.Part > 0 && level.Part <= 1):
			return fieldError("part", "%v is not between 0 and 1", level.Part)
		case level.Part != 0 && len(level.Shed) == 0:
			return fieldError("shed", "missing: part needs classes to apply to")
		case level.OverShare != 0 && !(level.OverShare >= 1 && level.OverShare <= 100):
			return fieldError("over_share", "%v is not between 1 and 100", level.OverShare)
		case level.MostBody < 0:
			return fieldError("most_body", "%d is below 0", level.MostBody)
		case level.After < 0 || level.After.D() > time.Hour:
			return fieldError("after", "%v is not between 0s and 1h", level.After.D())
		}
		names[level.Name] = true
		if level.Part == 0 {
			level.Part = 1
		}
		for _, group := range []struct {
			field      string
			thresholds *Thresholds
		}{{"enter", &level.Enter}, {"emergency", &level.Emergency}, {"exit", &level.Exit}} {
			if field, problem := group.thresholds.firstInvalid(); problem != "" {
				return fieldError(group.field+"."+field, "%s", problem)
			}
		}
		if level.Enter == (Thresholds{}) && level.Emergency == (Thresholds{}) && level.Exit != (Thresholds{}) {
			return fieldError("enter", "missing: the level has exit conditions, but can't be entered")
		}
		for _, group := range []struct {
			field      string
			thresholds *Thresholds
		}{{"enter", &level.Enter}, {"emergency", &level.Emergency}} {
			if field, problem := group.thresholds.checkHysteresis(&level.Exit); problem != "" {
				return fieldError("exit."+field, "%s %s", problem, group.field)
			}
		}
		if i > 0 {
			if field, problem := level.checkStricterThan(&c.Level[i-1]); problem != "" {
				return fieldError(field, "%s", problem)
			}
		}
	}
	return nil
}

// firstInvalid returns the first threshold that is out of range, and what is wrong with it.
func (t *Thresholds) firstInvalid() (field, problem string) {
	for _, threshold := range []struct {
		field   string
		value   *float64
		maximum float64
	}{{"pressure", t.Pressure, 2}, {"in_aim", t.InAim, 1}, {"refused", t.Refused, 1}, {"out", t.Out, 1}, {"late", t.Late, 1}, {"sites", t.Sites, 1}} {
		if threshold.value != nil && !(*threshold.value >= 0 && *threshold.value <= threshold.maximum) {
			return threshold.field, fmt.Sprintf("%v is not between 0 and %v", *threshold.value, threshold.maximum)
		}
	}
	if t.ListAge != nil && *t.ListAge <= 0 {
		return "list_age", fmt.Sprintf("%v is not above 0s", t.ListAge.D())
	}
	return "", ""
}

// checkHysteresis returns the first of these thresholds that has no exit threshold which is easier
// to meet. Without a gap between the two, a value that fluctuates around the threshold would enter
// and leave the level again and again.
func (t *Thresholds) checkHysteresis(exit *Thresholds) (field, problem string) {
	for _, pair := range []struct {
		field       string
		enter, exit *float64
		sign        float64
	}{{"pressure", t.Pressure, exit.Pressure, 1}, {"in_aim", t.InAim, exit.InAim, -1}, {"refused", t.Refused, exit.Refused, 1}, {"out", t.Out, exit.Out, 1}, {"late", t.Late, exit.Late, 1}, {"sites", t.Sites, exit.Sites, 1}} {
		switch {
		case pair.enter == nil:
		case pair.exit == nil:
			return pair.field, "missing: it is set in"
		case !(pair.sign*(*pair.enter-*pair.exit) > 0) || math.IsNaN(*pair.exit):
			return pair.field, fmt.Sprintf("%v is not easier to meet than %v in", *pair.exit, *pair.enter)
		}
	}
	switch {
	case t.ListAge == nil:
	case exit.ListAge == nil:
		return "list_age", "missing: it is set in"
	case *exit.ListAge >= *t.ListAge:
		return "list_age", fmt.Sprintf("%v is not easier to meet than %v in", exit.ListAge.D(), t.ListAge.D())
	}
	return "", ""
}

// checkStricterThan returns the first restriction of the level below that this level relaxes. Each
// level must relieve the service at least as much as the one below.
func (l *Level) checkStricterThan(below *Level) (field, problem string) {
	for _, class := range below.Shed {
		if !slices.Contains(l.Shed, class) {
			return "shed", fmt.Sprintf("%q is missing, but level %s refuses it", class, below.Name)
		}
	}
	if len(below.Shed) > 0 && l.Part < below.Part {
		return "part", fmt.Sprintf("level %s sets %v", below.Name, below.Part)
	}
	for _, restriction := range []struct {
		field       string
		below, this bool
	}{{"no_second_copies", below.NoSecondCopies, l.NoSecondCopies}, {"no_retries", below.NoRetries, l.NoRetries}, {"no_probes", below.NoProbes, l.NoProbes}} {
		if restriction.below && !restriction.this {
			return restriction.field, fmt.Sprintf("missing: it is set in level %s", below.Name)
		}
	}
	if below.OverShare > 0 && (l.OverShare == 0 || l.OverShare > below.OverShare) {
		return "over_share", fmt.Sprintf("level %s sets %v", below.Name, below.OverShare)
	}
	if below.MostBody > 0 && (l.MostBody == 0 || l.MostBody > below.MostBody) {
		return "most_body", fmt.Sprintf("level %s sets %d", below.Name, below.MostBody)
	}
	return "", ""
}

// ValidateFor checks that the classes of the levels exist and are refused in the right order: first
// those that may be repeated anywhere, then those with idempotency keys, and last those that must
// not run twice, because their clients can't retry as freely. Its error is an *api.FieldError.
func (c *Config) ValidateFor(s *Service) error {
	for i := range c.Level {
		level := &c.Level[i]
		field := fmt.Sprintf("level[%d].shed", i)
		for _, class := range level.Shed {
			position := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == class })
			if position < 0 {
				return &api.FieldError{Field: field, What: fmt.Sprintf("there is no class %.80q", class)}
			}
			for _, other := range s.Classes {
				if other.Effect < s.Classes[position].Effect && !slices.Contains(level.Shed, other.Name) {
					return &api.FieldError{Field: field, What: fmt.Sprintf("%q is refused before %q, which may be repeated more freely", class, other.Name)}
				}
			}
		}
	}
	return nil
}
