package main

import (
	"context"

	"example.org/micaline/internal/mesh/meshclient"
)

func (c *command) evacuate() error {
	return c.order((*meshclient.Mesh).Evacuate, "evacuated")
}

func (c *command) returnZone() error {
	return c.order((*meshclient.Mesh).Return, "returned")
}

// order brings an order about a zone.
func (c *command) order(call func(*meshclient.Mesh, context.Context, string) error, what string) error {
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return err
	}
	defer cancel()
	if err := call(m, ctx, c.zone); err != nil {
		return err
	}
	return c.say(map[string]string{"zone": c.zone, "order": what}, "%s: %s", c.zone, what)
}
