// Package operators reads the operators' own file, deploy/operators.toml. What it does not name is off.
package operators

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"regexp"
	"slices"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/level"
	"example.org/micaline/internal/site"
	"example.org/micaline/internal/tomlfile"
)

// File is where the operators' file is, from the folder that the program is started in.
const File = "deploy/operators.toml"

// Settings are what the file says.
type Settings struct {
	Control Control
	Levels  level.Config
	Sites   site.Config
	Duties  Duties
}

// Duties say where agents hold duties: at the managers of a group.
type Duties struct {
	Access api.Credentials // with which the agent comes to them, in the role hold
	Member []Colleague     // managers of the group
}

// On says whether the agent goes for duties.
func (d *Duties) On() bool { return len(d.Member) > 0 }

func (s *Settings) checkDuties() error {
	d := &s.Duties
	switch {
	case !d.On() && d.Access != (api.Credentials{}):
		return &api.FieldError{Field: "duties.member", What: "missing"}
	case d.On() && !s.Sites.On:
		return &api.FieldError{Field: "duties.member", What: "there is nothing to hold where sites are not watched"}
	}
	if err := within("duties.access", d.Access.Check()); err != nil {
		return err
	}
	return checkColleagues("duties", d.Member, map[string]bool{})
}

// Control is the control interface of the agent: where it listens and who may come in, and how it is known to managers.
type Control struct {
	api.Door
	Labels map[string]string // by which instances are chosen

	Announce Announce // to a manager
}

// Announce has an instance tell a manager where it is.
type Announce struct {
	Manager string // host and port; "" for none
	Name    string // that the manager's certificate is for
	Addr    string // host and port at which the manager finds the instance

	api.Credentials
}

// On says whether there is an interface.
func (c *Control) On() bool { return c.Unix != "" || c.Listen != "" }

// Load reads the file. Without one everything is off.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &Settings{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the operators' file: %w", err)
	}
	s, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func parse(text []byte) (*Settings, error) {
	var s Settings
	if err := tomlfile.Decode(text, &s); err != nil {
		return nil, err
	}
	if err := s.Control.check(); err != nil {
		return nil, tomlfile.At(text, "control", err)
	}
	if err := s.checkDuties(); err != nil {
		return nil, tomlfile.At(text, "", err)
	}
	if err := s.Levels.Validate(); err != nil {
		return nil, tomlfile.At(text, "levels", err)
	}
	return &s, nil
}

func (c *Control) check() error {
	if err := c.Door.Check(); err != nil {
		return err
	}
	for i, t := range c.Token {
		if t.Role == api.Announce || t.Role == api.Member || t.Role == api.Hold {
			return &api.FieldError{Field: fmt.Sprintf("token[%d].role", i), What: t.Role.String() + " is a role at a manager"}
		}
	}
	if err := CheckLabels("labels", c.Labels); err != nil {
		return err
	}
	a := &c.Announce
	if a.Manager == "" {
		if a.Name != "" || a.Addr != "" || a.Credentials != (api.Credentials{}) {
			return &api.FieldError{Field: "announce.manager", What: "missing"}
		}
		return nil
	}
	at := api.Address{Name: a.Name, Addr: a.Manager}
	if err := at.Check(); err != nil {
		return within("announce", err, "addr", "manager")
	}
	at = api.Address{Name: "instance", Addr: a.Addr}
	if err := at.Check(); err != nil {
		return within("announce", err)
	}
	return within("announce", a.Credentials.Check())
}

// within names a field by the table that it is in; and by another name, where it has one.
func within(table string, err error, names ...string) error {
	var f *api.FieldError
	if !errors.As(err, &f) {
		return err
	}
	field := f.Field
	if len(names) == 2 && field == names[0] {
		field = names[1]
	}
	return &api.FieldError{Field: table + "." + field, What: f.What}
}

const mostLabels = 32

// CheckLabels says what is wrong with labels. Its error is an *api.FieldError.
func CheckLabels(field string, labels map[string]string) error {
	if len(labels) > mostLabels {
		return &api.FieldError{Field: field, What: fmt.Sprintf("there are %d, and %d are allowed", len(labels), mostLabels)}
	}
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		if !label.MatchString(name) || !label.MatchString(labels[name]) {
			return &api.FieldError{Field: field + "." + name, What: fmt.Sprintf("%.80q = %.80q: names and values are 1 to 63 letters, digits, dots, hyphens and underscores", name, labels[name])}
		}
	}
	return nil
}

var label = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,63}$`)
