package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"example.org/micaline/internal/mesh/meshconfig"
)

// parse reads a change: a PATCH body, or the list that get prints, which is a change that adds all
// of it.
func parse(text []byte) (p *meshconfig.Patch, body []byte, err error) {
	var list map[string]json.RawMessage
	if json.Unmarshal(text, &list) == nil && list["items"] != nil && list["add"] == nil && list["remove"] == nil {
		text = fmt.Appendf(nil, `{"add":%s}`, text)
	}
	if p, err = meshconfig.ParsePatch(text); err == nil {
		err = p.Contradiction()
	}
	return p, text, err
}

func (c *command) configGet() error {
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return err
	}
	defer cancel()
	items, err := m.Config(ctx)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, items, "", "  "); err != nil {
		return fmt.Errorf("what the mesh calls its configuration can't be read: %w", err)
	}
	_, err = fmt.Fprintln(c.out, b.String())
	return err
}

func (c *command) configPut() error {
	_, body, err := c.change()
	if err != nil {
		return err
	}
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return err
	}
	defer cancel()
	if err := m.Patch(ctx, body); err != nil {
		return err
	}
	return c.say(map[string]bool{"acknowledged": true}, "acknowledged")
}

// change reads the change that was named; what is wrong with it by itself no mesh needs to say.
func (c *command) change() (*meshconfig.Patch, []byte, error) {
	text, err := c.read()
	if err != nil {
		return nil, nil, err
	}
	p, body, err := parse(text)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", c.file, err)
	}
	return p, body, nil
}

// tried applies the change to the configuration that holds, here.
func (c *command) tried() (lines []string, err error) {
	p, body, err := c.change()
	if err != nil {
		return nil, err
	}
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return nil, err
	}
	defer cancel()
	items, err := m.Config(ctx)
	if err != nil {
		return nil, err
	}
	standing, _, err := parse(items)
	if err != nil {
		return nil, fmt.Errorf("what the mesh calls its configuration can't be read: %w", err)
	}
	now, _, err := meshconfig.New().Apply(standing)
	if err != nil {
		return nil, fmt.Errorf("what the mesh calls its configuration is not whole: %w", err)
	}
	// What the mesh would refuse of a version that it holds can be told here, of an overtaken one not.
	order := &meshconfig.Order{Op: meshconfig.OpPatch, Body: body, Strict: true}
	var conflict *meshconfig.ConflictError
	if _, err := meshconfig.HistoryFromConfig(now).ApplyOrder(1, now, order); errors.As(err, &conflict) {
		return nil, fmt.Errorf("%s: %w", c.file, err)
	}
	next, _, err := now.Apply(p)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.file, err)
	}
	return meshconfig.Diff(now, next), nil
}

func (c *command) configCheck() error {
	lines, err := c.tried()
	if err != nil {
		return err
	}
	return c.say(map[string]any{"valid": true, "changes": len(lines)}, "valid, changes %d items", len(lines))
}

func (c *command) configDiff() error {
	lines, err := c.tried()
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(map[string]any{"changes": append([]string{}, lines...)})
	}
	for _, line := range lines {
		fmt.Fprintln(c.out, line)
	}
	return nil
}
