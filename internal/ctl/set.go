package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/exit"
)

// addChanges adds the commands that change.
func (o *options) addChanges(root *cobra.Command) {
	var id string
	// change adds a command that changes something at once.
	change := func(use, short string, args int, run func(ctx context.Context, c *control.Client, id string, words []string) (string, error)) *cobra.Command {
		cmd := &cobra.Command{Use: use, Short: short, Args: exactly(args), RunE: func(c *cobra.Command, words []string) error {
			targets, alone, err := o.targets()
			if err != nil {
				return err
			}
			if id == "" {
				id = rand.Text()
			}
			all := each(c.Context(), o, targets, func(ctx context.Context, c *control.Client) (*string, error) {
				text, err := run(ctx, c, id, words)
				return &text, err
			})
			return tell(o, c.OutOrStdout(), all, alone, view[string]{
				head: "NOW", rows: func(v *string) []string { return []string{*v} }, one: func(w io.Writer, v *string) { fmt.Fprintln(w, *v) },
			})
		}}
		cmd.Flags().StringVar(&id, "id", "", "id of the change; the same id again has the first result (default a new one)")
		root.AddCommand(cmd)
		return cmd
	}
	length := 10 * time.Minute
	hold := change("hold BACKEND", "Keep a backend out for a while", 1,
		func(ctx context.Context, c *control.Client, id string, words []string) (string, error) {
			h, err := c.Hold(ctx, id, words[0], length.Seconds())
			return fmt.Sprintf("%s is held out for %v", h.Backend, time.Duration(h.For*float64(time.Second))), err
		})
	hold.Flags().DurationVar(&length, "for", length, "for how long")
	hold.PreRunE = func(*cobra.Command, []string) error {
		if length <= 0 {
			return usage("--for %v is not above 0", length)
		}
		return nil
	}
	hold.ValidArgsFunction = o.completeBackends
	release := change("release BACKEND", "Let a backend in again that is held out; one that drains gets nothing all the same", 1,
		func(ctx context.Context, c *control.Client, id string, words []string) (string, error) {
			h, err := c.Hold(ctx, id, words[0], 0)
			return fmt.Sprintf("%s is not held out", h.Backend), err
		})
	release.ValidArgsFunction = o.completeBackends
	taking := func(on bool) func(context.Context, *control.Client, string, []string) (string, error) {
		return func(ctx context.Context, c *control.Client, id string, _ []string) (string, error) {
			v, err := c.SetAccepting(ctx, id, on)
			if v.Taking {
				return "requests are taken", err
			}
			return "requests are refused", err
		}
	}
	change("drain", "Stop taking requests: they are refused, and told when to come back", 0, taking(false))
	change("undrain", "Take requests again", 0, taking(true))
	change("reload", "Read the platform's configuration again, as SIGHUP does", 0,
		func(ctx context.Context, c *control.Client, id string, _ []string) (string, error) {
			v, err := c.Reload(ctx, id)
			return "configuration " + v.Configuration, err
		})
	o.addLevel(root, change)
	o.addSite(root, change)
	o.addSet(root)
}

// completeBackends completes names of backends.
func (o *options) completeBackends(c *cobra.Command, _ []string, _ string) (names []string, _ cobra.ShellCompDirective) {
	targets, _, err := o.targets()
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
	defer cancel()
	if s, err := targets[0].client.State(ctx); err == nil {
		for _, b := range s.Backends {
			names = append(names, b.Name)
		}
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

// addSet adds the command that changes the settings document.
func (o *options) addSet(root *cobra.Command) {
	var dry bool
	var id string
	var confirm time.Duration
	set := &cobra.Command{
		Use: "set FILE", Short: "Put a settings document in force, - for standard input", Args: exactly(1),
		RunE: func(c *cobra.Command, words []string) error {
			targets, alone, err := o.targets()
			if err != nil {
				return err
			}
			d, err := read(c.InOrStdin(), words[0])
			if err != nil {
				return &exit.Error{Code: ExitUsage, Err: err}
			}
			if dry {
				all := each(c.Context(), o, targets, func(ctx context.Context, c *control.Client) (*[]document.Difference, error) {
					now, err := c.Document(ctx)
					if err != nil {
						return nil, err
					}
					diff := now.Document.Diff(d)
					return &diff, nil
				})
				return tell(o, c.OutOrStdout(), all, alone, view[[]document.Difference]{head: "FIELD\tNOW\tTHEN", rows: differences})
			}
			if id == "" {
				id = rand.Text()
			}
			all := each(c.Context(), o, targets, func(ctx context.Context, c *control.Client) (*control.Change, error) {
				return set(ctx, c, d, id, confirm)
			})
			return tell(o, c.OutOrStdout(), all, alone, view[control.Change]{
				head: "OUTCOME\tREVISION\tEPOCH\tCHANGE",
				rows: func(r *control.Change) []string {
					return []string{fmt.Sprintf("%s\trevision %d\tepoch %s\tchange %s", r.Outcome, r.Revision, r.Epoch, r.ID)}
				},
			})
		},
	}
	set.Flags().BoolVar(&dry, "dry-run", false, "show what would differ, and change nothing")
	set.Flags().StringVar(&id, "id", "", "id of the change; the same id again has the first result (default a new one)")
	set.Flags().DurationVar(&confirm, "confirm", 0, "have the instance take the change back unless it can be confirmed within this")
	root.AddCommand(set)
}

// differences are the rows of what differs.
func differences(diff *[]document.Difference) (rows []string) {
	for _, f := range *diff {
		rows = append(rows, fmt.Sprintf("%s\t%s\t-> %s", f.Field, absent(f.From), absent(f.To)))
	}
	return rows
}

func absent(v string) string {
	if v == "" {
		return "(as configured)"
	}
	return v
}

func read(in io.Reader, name string) (*document.Document, error) {
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, document.MaxSize+1))
	if err != nil {
		return nil, err
	}
	return document.Parse(text)
}

// set puts a document in force on one instance.
func set(ctx context.Context, c *control.Client, d *document.Document, id string, confirm time.Duration) (*control.Change, error) {
	identity, err := c.Identity(ctx)
	if err != nil {
		return nil, err
	}
	p := &control.Proposal{Base: identity.Revision, Fence: identity.Fence, Confirm: confirm.Seconds(), Document: d}
	if _, err := c.Prepare(ctx, id, p); err != nil {
		return nil, err
	}
	r, err := c.Commit(ctx, id, p.Fence)
	var refusal *api.Problem
	if err != nil && !errors.As(err, &refusal) {
		return nil, &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("the commit of %s was sent to epoch %s and not answered: %w", id, identity.Epoch, err)}
	}
	if err == nil && confirm > 0 && r.Outcome == "none" {
		r, err = c.Confirm(ctx, id, p.Fence)
	}
	if err != nil {
		return nil, err
	}
	switch r.Outcome {
	case "applied":
		return r, nil
	case "partly":
		return nil, &exit.Error{Code: ExitPartial, Err: fmt.Errorf("only %v is applied: %s", r.Parts, r.Reason)}
	case "none":
		return nil, &exit.Error{Code: ExitUnknown, Err: errors.New("it is still being applied")}
	}
	return nil, &exit.Error{Code: ExitRefused, Err: errors.New(r.Reason)}
}
