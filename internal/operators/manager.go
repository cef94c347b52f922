package operators

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/tomlfile"
)

// Manager is what a manager's file says.
type Manager struct {
	Journal   string   // path of its journal
	Fleet     string   // path of the fleet file; "" if all instances announce themselves without credentials of their own
	Interface api.Door // for operators, instances that announce themselves, and other managers
	Group     Group    // of managers that agree; none if it has no name
}

// Group is the group that a manager is in.
type Group struct {
	Name   string          // of this manager, in the group and in its certificate
	Found  bool            // begin the group, if there is none: for one of them only
	Access api.Credentials // with which it comes to the others, in the role member
	Member []Colleague     // the others
}

// Colleague is another manager of the group, and where its interface is.
type Colleague struct {
	Name, Unix, Addr string
}

// Address is where it is.
func (c *Colleague) Address() api.Address { return api.Address(*c) }

// mostMembers is how many managers a group may have: more make it slower and no safer.
const mostMembers = 7

func (g *Group) check() error {
	if g.Name == "" {
		if g.Found || len(g.Member) > 0 || g.Access != (api.Credentials{}) {
			return &api.FieldError{Field: "group.name", What: "missing"}
		}
		return nil
	}
	if err := within("group.access", g.Access.Check()); err != nil {
		return err
	}
	if len(g.Member) >= mostMembers {
		return &api.FieldError{Field: "group.member", What: fmt.Sprintf("there are %d with this one, and %d are allowed", len(g.Member)+1, mostMembers)}
	}
	names := map[string]bool{g.Name: true}
	self := api.Address{Name: g.Name, Unix: "/"}
	if err := within("group", self.Check()); err != nil {
		return err
	}
	return checkColleagues("group", g.Member, names)
}

// checkColleagues says what is wrong with the managers of a table, whose names must differ from those that are taken.
func checkColleagues(table string, all []Colleague, names map[string]bool) error {
	if len(all) > mostMembers {
		return &api.FieldError{Field: table + ".member", What: fmt.Sprintf("there are %d, and %d are allowed", len(all), mostMembers)}
	}
	for i := range all {
		at := all[i].Address()
		if err := within(fmt.Sprintf("%s.member[%d]", table, i), at.Check()); err != nil {
			return err
		}
		if names[at.Name] {
			return &api.FieldError{Field: fmt.Sprintf("%s.member[%d].name", table, i), What: fmt.Sprintf("%q is taken", at.Name)}
		}
		names[at.Name] = true
	}
	return nil
}

// LoadManager reads a manager's file. Its errors tell line and field.
func LoadManager(path string) (*Manager, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the manager's file: %w", err)
	}
	var m Manager
	if err := tomlfile.Decode(text, &m); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, tomlfile.At(text, "", err))
	}
	return &m, nil
}

func (m *Manager) check() error {
	for field, p := range map[string]string{"journal": m.Journal, "fleet": m.Fleet} {
		if p != "" && !filepath.IsAbs(p) {
			return &api.FieldError{Field: field, What: fmt.Sprintf("%q is no absolute path", p)}
		}
	}
	if m.Journal == "" {
		return &api.FieldError{Field: "journal", What: "missing"}
	}
	var f *api.FieldError
	if err := m.Interface.Check(); errors.As(err, &f) {
		return &api.FieldError{Field: "interface." + f.Field, What: f.What}
	}
	if m.Interface.Unix == "" && m.Interface.Listen == "" {
		return &api.FieldError{Field: "interface.unix", What: "there must be unix or listen"}
	}
	return m.Group.check()
}
