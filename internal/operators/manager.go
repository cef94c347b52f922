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
	Interface api.Door // for operators and instances that announce themselves
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
	return nil
}
