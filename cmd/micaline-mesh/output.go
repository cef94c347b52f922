package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"example.org/micaline/internal/mesh/meshclient"
)

// Exit codes.
const (
	done       = 0
	refused    = 1 // by the mesh, or by a check; also a daemon that can't run
	wrongUse   = 2
	outOfReach = 3
	broken     = 4 // a rule, in a trial
)

// usage is a call that was made wrongly.
type usage struct{ error }

func (e *usage) Unwrap() error { return e.error }

func misused(text string, args ...any) error { return &usage{fmt.Errorf(text, args...)} }

// report tells what went wrong, and returns the exit code.
func report(errs io.Writer, err error) int {
	if err == nil {
		return done
	}
	fmt.Fprintln(errs, "micaline-mesh:", err)
	var use *usage
	var away *meshclient.Unreachable
	switch {
	case errors.As(err, &use):
		return wrongUse
	case errors.As(err, &away):
		return outOfReach
	case errors.Is(err, errBroken):
		return broken
	}
	return refused
}

// mesh is the mesh that the flags name, and a context that ends with the call's time.
func (c *command) mesh() (*meshclient.Mesh, context.Context, context.CancelFunc, error) {
	cores, err := meshclient.Addresses(c.cores)
	if err != nil {
		return nil, nil, nil, &usage{err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	return meshclient.New(cores), ctx, cancel, nil
}

// say prints a value as JSON, or else as text.
func (c *command) say(value any, text string, args ...any) error {
	if c.json {
		return c.printJSON(value)
	}
	_, err := fmt.Fprintf(c.out, text+"\n", args...)
	return err
}

func (c *command) printJSON(value any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// table prints rows under a head.
func (c *command) table(head string, rows [][]string) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(head, " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
}
