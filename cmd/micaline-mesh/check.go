package main

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/meshconfig"
)

const mostFile = 8 << 20 // bytes, as core machines take at most

// check checks a file by itself, without a mesh.
func (c *command) check() error {
	if c.file == "" {
		c.file = c.settings
	}
	if c.file == "" {
		return misused("FILE: name a file to check, or set %s", settingsVariable)
	}
	text, err := c.read()
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		set, err := bootstrap.Parse(text)
		if err != nil {
			return fmt.Errorf("%s: %w", c.file, err)
		}
		return c.say(map[string]any{"file": c.file, "is": "settings", "node_name": set.NodeName, "role": set.Role, "zone": set.Zone, "seeds": set.Seeds},
			"%s: settings of %s, %s in %s, seeds %v", c.file, set.NodeName, set.Role, set.Zone, set.Seeds)
	}
	patch, _, err := parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.file, err)
	}
	// By itself it need not be whole: what it names may stand already.
	first, _, err := meshconfig.New().Apply(patch)
	if err != nil {
		return c.say(map[string]any{"file": c.file, "is": "change", "needs": err.Error()},
			"%s: a change that needs items which are not in it (%v); config check asks the mesh", c.file, err)
	}
	return c.say(map[string]any{"file": c.file, "is": "change", "holds": first.Summary()}, "%s: a change: %s", c.file, first.Summary())
}

// read reads the file that was named.
func (c *command) read() ([]byte, error) {
	in := io.Reader(os.Stdin)
	if c.file != "-" {
		f, err := os.Open(c.file)
		if err != nil {
			return nil, &usage{err}
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, mostFile+1))
	if err != nil {
		return nil, &usage{err}
	}
	if len(text) > mostFile {
		return nil, misused("%s: more than %d bytes", c.file, mostFile)
	}
	return text, nil
}
