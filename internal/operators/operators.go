// Package operators reads the operators' own file, deploy/operators.toml. What it does not name is off.
package operators

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"example.org/micaline/internal/tomlfile"
)

// File is where the operators' file is, from the folder that the program is started in.
const File = "deploy/operators.toml"

// Settings are what the file says.
type Settings struct {
	Control Control
}

// Control is the control interface of the agent.
type Control struct {
	Unix string // path of its socket; "" for none
}

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
	if p := s.Control.Unix; p != "" && !filepath.IsAbs(p) {
		const field = "control.unix"
		return nil, &tomlfile.Error{Line: tomlfile.LineOf(text, field), Field: field, What: fmt.Sprintf("%q is no absolute path", p)}
	}
	return &s, nil
}
