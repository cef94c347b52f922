// Package operators reads the operators' own file, deploy/operators.toml. What it does not name is off.
package operators

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
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
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		var bad *toml.DecodeError
		switch {
		case errors.As(err, &strict) && len(strict.Errors) > 0:
			line, _ := strict.Errors[0].Position()
			return nil, fmt.Errorf("line %d: %s: there is no such field", line, strings.Join(strict.Errors[0].Key(), "."))
		case errors.As(err, &bad):
			line, _ := bad.Position()
			return nil, fmt.Errorf("line %d: %s: %s", line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: "))
		}
		return nil, err
	}
	if p := s.Control.Unix; p != "" && !filepath.IsAbs(p) {
		return nil, fmt.Errorf("control.unix: %q is no absolute path", p)
	}
	return &s, nil
}
