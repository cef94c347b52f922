// Package ctl is the command `micaline ctl`: it shows one instance and changes it, over its control interface.
package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/exit"
)

// The exit codes beside 0.
const (
	Failed  = 1 // the instance could not be asked, or has failed
	Usage   = 2 // unusable flags, arguments or files
	Refused = 4 // the instance refuses, and has changed nothing
	Partly  = 5 // it has changed in part
	Unknown = 6 // a commit was sent, and what became of it is not known
)

type options struct {
	socket  string
	output  string
	timeout time.Duration
}

// Command returns the command.
func Command() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "ctl",
		Short: "Show and change an instance over its control interface",
		Long: "Talks to the control interface of one instance, which the operators' file turns on (deploy/operators.toml).\n\n" +
			"Exit codes: 0 done, 1 the instance could not be asked, 2 unusable flags, 4 it refuses and has changed nothing,\n" +
			"5 it has changed in part, 6 what became of the change is not known.",
	}
	f := root.PersistentFlags()
	f.StringVar(&o.socket, "socket", os.Getenv("MICALINE_CONTROL"), "path of the instance's Unix socket (or $MICALINE_CONTROL)")
	f.StringVarP(&o.output, "output", "o", "table", "table, or json for programs")
	f.DurationVar(&o.timeout, "timeout", 10*time.Second, "how long an answer is waited for")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exit.Error{Code: Usage, Err: err} })

	add := func(use, short string, args int, run func(context.Context, *control.Client, io.Writer, []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: exactly(args), RunE: func(c *cobra.Command, words []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
			defer cancel()
			return code(run(ctx, client, c.OutOrStdout(), words))
		}}
		root.AddCommand(c)
		return c
	}
	add("show", "Show which process answers, and how it serves", 0, o.show)
	add("backends", "Show the backends as the decision module sees them", 0, o.backends)
	add("requests", "Show the open requests, the oldest first", 0, o.requests)
	add("causes", "Show why requests were refused or failed", 0, o.causes)
	add("document", "Show the settings document in force", 0, o.document)
	hold := add("hold BACKEND", "Keep a backend out for a while", 1, nil)
	length := hold.Flags().Duration("for", 10*time.Minute, "for how long")
	hold.RunE = func(c *cobra.Command, words []string) error {
		if *length <= 0 {
			return &exit.Error{Code: Usage, Err: fmt.Errorf("--for %v is not above 0", *length)}
		}
		client, err := o.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
		defer cancel()
		return code(client.Hold(ctx, words[0], length.Seconds()))
	}
	add("release BACKEND", "Let a backend in again that is held out; one that drains gets nothing all the same", 1,
		func(ctx context.Context, c *control.Client, _ io.Writer, words []string) error {
			return c.Hold(ctx, words[0], 0)
		})
	add("drain", "Stop taking requests: they are refused, and told when to come back", 0,
		func(ctx context.Context, c *control.Client, _ io.Writer, _ []string) error {
			return c.SetTaking(ctx, false)
		})
	add("undrain", "Take requests again", 0,
		func(ctx context.Context, c *control.Client, _ io.Writer, _ []string) error {
			return c.SetTaking(ctx, true)
		})
	o.addSet(root)
	return root
}

func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return &exit.Error{Code: Usage, Err: fmt.Errorf("%s takes %d arguments, and was given %d", c.CommandPath(), n, len(args))}
		}
		return nil
	}
}

func (o *options) client() (*control.Client, error) {
	switch {
	case o.output != "table" && o.output != "json":
		return nil, &exit.Error{Code: Usage, Err: fmt.Errorf("--output %q is neither table nor json", o.output)}
	case o.socket == "":
		return nil, &exit.Error{Code: Usage, Err: errors.New("--socket is missing")}
	}
	return control.NewUnixClient(o.socket), nil
}

// code gives an error its exit code.
func code(err error) error {
	var known *exit.Error
	var p *control.Problem
	switch {
	case err == nil || errors.As(err, &known):
		return err
	case errors.As(err, &p) && p.Status < 500:
		return &exit.Error{Code: Refused, Err: err}
	}
	return &exit.Error{Code: Failed, Err: err}
}

// print writes a value as JSON, or as the table that a function makes of it.
func (o *options) print(out io.Writer, v any, table func(w io.Writer)) error {
	if o.output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// Shown is what `ctl show` prints as JSON.
type Shown struct {
	control.Identity
	Pressure float64         `json:"pressure"`
	Held     int             `json:"held"`
	Service  control.Service `json:"service"`
}

func (o *options) show(ctx context.Context, c *control.Client, out io.Writer, _ []string) error {
	id, err := c.Identity(ctx)
	if err != nil {
		return err
	}
	s, err := c.State(ctx)
	if err != nil {
		return err
	}
	return o.print(out, &Shown{*id, s.Pressure, s.Held, s.Service}, func(w io.Writer) {
		fmt.Fprintf(w, "name\t%s\nepoch\t%s, for %v\n", id.Name, id.Epoch, time.Duration(id.Uptime*float64(time.Second)).Round(time.Second))
		fmt.Fprintf(w, "document\trevision %d, %s\n", id.Revision, id.Hash)
		if id.Pending != "" {
			fmt.Fprintf(w, "under way\t%s\n", id.Pending)
		}
		fmt.Fprintf(w, "takes requests\t%v\nopen\t%d\nshed\t%.0f%%\n", id.Taking, s.Held, 100*min(1, s.Pressure))
		v := s.Service
		fmt.Fprintf(w, "requests\t%d: %d served, %d of them in aim, %d refused, %d failed, %d left by clients\n",
			v.Requests, v.Served, v.InAim, v.Refused, v.Failed, v.Left)
	})
}

func (o *options) backends(ctx context.Context, c *control.Client, out io.Writer, _ []string) error {
	s, err := c.State(ctx)
	if err != nil {
		return err
	}
	return o.print(out, s.Backends, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tADDRESS\tPHASE\tOUT\tSPEED\tWARM\tIN FLIGHT\tLOAD\tREPORT")
		for _, b := range s.Backends {
			report := "-"
			if b.ReportAge != nil {
				report = fmt.Sprintf("%.2f s", *b.ReportAge)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%.0f%%\t%d\t%.1f\t%s\n",
				b.Name, b.Addr, b.Phase, whyOut(&b), b.Speed, 100*b.Warmth, b.InFlight, b.Load, report)
		}
	})
}

// whyOut says why a backend gets nothing, or not from all classes.
func whyOut(b *control.Backend) string {
	var why []string
	if b.Held > 0 {
		why = append(why, fmt.Sprintf("held %.0f s", b.Held))
	}
	for _, e := range b.Ejected {
		why = append(why, fmt.Sprintf("ejected for %s %.1f s", e.Class, e.For))
	}
	if b.Full > 0 {
		why = append(why, fmt.Sprintf("full %.1f s", b.Full))
	}
	if len(why) == 0 {
		return "-"
	}
	return strings.Join(why, ", ")
}

func (o *options) requests(ctx context.Context, c *control.Client, out io.Writer, _ []string) error {
	s, err := c.State(ctx)
	if err != nil {
		return err
	}
	return o.print(out, s.Requests, func(w io.Writer) {
		fmt.Fprintln(w, "CALL\tCLASS\tACCOUNT\tAGE\tLEFT\tATTEMPTS\tOUT")
		for _, r := range s.Requests {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.3f s\t%.3f s\t%d\t%d\n", r.Call, r.Class, r.Account, r.Age, r.Left, r.Attempts, r.Out)
		}
	})
}

func (o *options) causes(ctx context.Context, c *control.Client, out io.Writer, _ []string) error {
	s, err := c.State(ctx)
	if err != nil {
		return err
	}
	return o.print(out, s.Causes, func(w io.Writer) {
		fmt.Fprintln(w, "ANSWER\tCLASS\tCAUSE\tCOUNT")
		for _, r := range s.Causes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", r.Answer, r.Class, r.Cause, r.Count)
		}
	})
}

func (o *options) document(ctx context.Context, c *control.Client, out io.Writer, _ []string) error {
	v, err := c.Document(ctx)
	if err != nil {
		return err
	}
	return o.print(out, v, func(w io.Writer) {
		text, _ := json.MarshalIndent(v.Document, "", "  ") // which came as JSON
		fmt.Fprintf(w, "revision %d, %s\n%s\n", v.Revision, v.Hash, text)
	})
}

// addSet adds the command that changes the settings document.
func (o *options) addSet(root *cobra.Command) {
	var dry bool
	var id string
	var confirm time.Duration
	set := &cobra.Command{
		Use: "set FILE", Short: "Put a settings document in force, - for standard input", Args: exactly(1),
		RunE: func(c *cobra.Command, words []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			d, err := read(c.InOrStdin(), words[0])
			if err != nil {
				return &exit.Error{Code: Usage, Err: err}
			}
			if id == "" {
				id = rand.Text()
			}
			ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
			defer cancel()
			return code(o.set(ctx, client, c.OutOrStdout(), d, id, dry, confirm))
		},
	}
	set.Flags().BoolVar(&dry, "dry-run", false, "show what would differ, and change nothing")
	set.Flags().StringVar(&id, "id", "", "id of the change; the same id again has the first result (default a new one)")
	set.Flags().DurationVar(&confirm, "confirm", 0, "have the instance take the change back unless it can be confirmed within this")
	root.AddCommand(set)
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

func (o *options) set(ctx context.Context, c *control.Client, out io.Writer, d *document.Document, id string, dry bool, confirm time.Duration) error {
	now, err := c.Document(ctx)
	if err != nil {
		return err
	}
	if dry {
		diff := now.Document.Diff(d)
		return o.print(out, diff, func(w io.Writer) {
			for _, f := range diff {
				fmt.Fprintf(w, "%s\t%s\t-> %s\n", f.Field, absent(f.From), absent(f.To))
			}
		})
	}
	identity, err := c.Identity(ctx)
	if err != nil {
		return err
	}
	p := &control.Proposal{Base: now.Revision, Fence: identity.Fence, Confirm: confirm.Seconds(), Document: d}
	if _, err := c.Prepare(ctx, id, p); err != nil {
		return err
	}
	r, err := c.Commit(ctx, id, p.Fence)
	var refusal *control.Problem
	if err != nil && !errors.As(err, &refusal) {
		return &exit.Error{Code: Unknown, Err: fmt.Errorf("the commit of %s was sent to epoch %s and not answered: %w", id, identity.Epoch, err)}
	}
	if err == nil && confirm > 0 && r.Outcome == "none" {
		r, err = c.Confirm(ctx, id, p.Fence)
	}
	if err != nil {
		return err
	}
	if err := o.print(out, r, func(w io.Writer) {
		fmt.Fprintf(w, "%s\trevision %d\tepoch %s\tchange %s\n", r.Outcome, r.Revision, r.Epoch, r.ID)
	}); err != nil {
		return err
	}
	switch r.Outcome {
	case "applied":
		return nil
	case "partly":
		return &exit.Error{Code: Partly, Err: fmt.Errorf("only %v is applied: %s", r.Parts, r.Reason)}
	case "none":
		return &exit.Error{Code: Unknown, Err: errors.New("it is still being applied")}
	}
	return &exit.Error{Code: Refused, Err: errors.New(r.Reason)}
}

func absent(v string) string {
	if v == "" {
		return "(as configured)"
	}
	return v
}
