// Package ctl is the command `micaline ctl`: it shows instances and changes them over their control interfaces, and gives
// orders for fleets to a manager.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/exit"
	"example.org/micaline/internal/inventory"
)

// The exit codes beside 0.
const (
	ExitFailed  = 1 // who was asked could not be, or has failed
	ExitUsage   = 2 // unusable flags, arguments or files
	ExitRefused = 4 // it refuses, and nothing has changed
	ExitPartial = 5 // done in part: on some instances, or in some parts
	ExitUnknown = 6 // something was sent, and what became of it is not known
)

// atOnce is how many instances are asked at a time.
const atOnce = 64

type options struct {
	instance string
	fleet    string
	selector string
	manager  string
	output   string
	timeout  time.Duration

	credentials api.Credentials
}

// Command returns the command.
func Command() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "ctl",
		Short: "Show and change instances, one or many",
		Long: "Talks to the control interfaces of instances, which the operators' file turns on (deploy/operators.toml), and to a\n" +
			"manager (micaline manage).\n\n" +
			"An interface is named by the path of its Unix socket, or as NAME@HOST:PORT, where NAME is what its certificate\n" +
			"is for. Many instances are named by a fleet file, and chosen by --select: terms with commas between them, such\n" +
			"as zone=a, zone!=a or agent-*.\n\n" +
			"Exit codes: 0 done, 1 who was asked could not be, 2 unusable flags, 4 refused and nothing has changed, 5 done in\n" +
			"part, 6 what became of it is not known.",
	}
	env := os.Getenv
	f := root.PersistentFlags()
	f.StringVarP(&o.instance, "instance", "i", env("MICALINE_INSTANCE"), "one instance (or $MICALINE_INSTANCE)")
	f.StringVarP(&o.fleet, "fleet", "f", env("MICALINE_FLEET"), "fleet file with many instances (or $MICALINE_FLEET)")
	f.StringVarP(&o.selector, "select", "s", "", "which instances of the fleet, all if it is empty")
	f.StringVarP(&o.manager, "manager", "m", env("MICALINE_MANAGER"), "the manager, or those of a group with commas (or $MICALINE_MANAGER)")
	f.StringVar(&o.credentials.CA, "ca", env("MICALINE_CA"), "PEM file of those that sign servers' certificates (or $MICALINE_CA)")
	f.StringVar(&o.credentials.TokenFile, "token-file", env("MICALINE_TOKEN_FILE"), "file with a token (or $MICALINE_TOKEN_FILE)")
	f.StringVar(&o.credentials.Certificate, "certificate", env("MICALINE_CERTIFICATE"), "PEM file of a certificate to come with (or $MICALINE_CERTIFICATE)")
	f.StringVar(&o.credentials.Key, "key", env("MICALINE_KEY"), "PEM file of its key (or $MICALINE_KEY)")
	f.StringVarP(&o.output, "output", "o", "table", "table, or json for programs")
	f.DurationVar(&o.timeout, "timeout", 10*time.Second, "how long an answer is waited for")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exit.Error{Code: ExitUsage, Err: err} })
	must(root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp)))
	must(root.RegisterFlagCompletionFunc("select", o.completeNames))

	o.addShown(root)
	o.addChanges(root)
	o.addFleet(root)
	o.addDuty(root)
	return root
}

// must is for what can only go wrong in this file.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return &exit.Error{Code: ExitUsage, Err: fmt.Errorf("%s takes %d arguments, and was given %d", c.CommandPath(), n, len(args))}
		}
		return nil
	}
}

func usage(format string, args ...any) error {
	return &exit.Error{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// check looks at the flags that all commands have.
func (o *options) check() error {
	if o.output != "table" && o.output != "json" {
		return usage("--output %q is neither table nor json", o.output)
	}
	if o.timeout <= 0 {
		return usage("--timeout %v is not above 0", o.timeout)
	}
	if err := absolute(&o.credentials); err != nil {
		return usage("%v", err)
	}
	if err := o.credentials.Check(); err != nil {
		return usage("%v", err)
	}
	return nil
}

// absolute has the files of credentials named from the root: an operator's are named from where they are.
func absolute(c *api.Credentials) error {
	for _, p := range []*string{&c.CA, &c.Certificate, &c.Key, &c.TokenFile} {
		if *p == "" {
			continue
		}
		full, err := filepath.Abs(*p)
		if err != nil {
			return err
		}
		*p = full
	}
	return nil
}

// address reads the name of an interface.
func address(flag, text string) (api.Address, error) {
	a := api.Address{Name: "instance", Unix: text}
	if name, at, ok := strings.Cut(text, "@"); ok {
		a = api.Address{Name: name, Addr: at}
	} else if full, err := filepath.Abs(text); err == nil {
		a.Unix = full
	}
	if err := a.Check(); err != nil {
		return a, usage("--%s %q: %v", flag, text, err)
	}
	return a, nil
}

// target is an instance that a command is for.
type target struct {
	name   string
	client *control.Client
}

// targets are the instances that the flags name. One is alone if no fleet is meant.
func (o *options) targets() (all []target, alone bool, err error) {
	if err := o.check(); err != nil {
		return nil, false, err
	}
	if o.instance != "" && (o.fleet == "" || o.selector == "") {
		a, err := address("instance", o.instance)
		if err != nil {
			return nil, false, err
		}
		d, err := api.NewDialer(o.credentials)
		if err != nil {
			return nil, false, usage("%v", err)
		}
		return []target{{a.Name, control.NewClient(d.At(a))}}, true, nil
	}
	if o.fleet == "" {
		return nil, false, usage("--instance or --fleet is missing")
	}
	s, err := inventory.ParseSelector(o.selector)
	if err != nil {
		return nil, false, usage("--select: %v", err)
	}
	f, err := inventory.Load(o.fleet)
	if err != nil {
		return nil, false, usage("%v", err)
	}
	d, err := api.NewDialer(f.Access)
	if err != nil {
		return nil, false, usage("%s: access.%v", o.fleet, err)
	}
	for _, in := range f.Instance {
		if s.Match(in.Name, in.Labels) {
			all = append(all, target{in.Name, control.NewClient(d.At(in.Address()))})
		}
	}
	if len(all) == 0 {
		return nil, false, usage("--select %q chooses none of the %d instances", o.selector, len(f.Instance))
	}
	return all, false, nil
}

// completeNames completes names of instances.
func (o *options) completeNames(_ *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	f, err := inventory.Load(o.fleet)
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var names []string
	for _, in := range f.Instance {
		names = append(names, in.Name)
		for label, value := range in.Labels {
			names = append(names, label+"="+value)
		}
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

// said is what came of asking an instance.
type said[T any] struct {
	Instance string `json:"instance"`
	Value    *T     `json:"value,omitempty"`
	Error    string `json:"error,omitempty"`

	err error
}

// each asks instances, so many at once.
func each[T any](ctx context.Context, o *options, targets []target, f func(context.Context, *control.Client) (*T, error)) []said[T] {
	all := make([]said[T], len(targets))
	room := make(chan struct{}, atOnce)
	var asking sync.WaitGroup
	for i, t := range targets {
		asking.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			ctx, cancel := context.WithTimeout(ctx, o.timeout)
			defer cancel()
			v, err := f(ctx, t.client)
			all[i] = said[T]{Instance: t.name, Value: v, err: code(err)}
			if err != nil {
				all[i].Value, all[i].Error = nil, err.Error()
			}
		})
	}
	asking.Wait()
	return all
}

// code gives an error its exit code.
func code(err error) error {
	var known *exit.Error
	var p *api.Problem
	switch {
	case err == nil || errors.As(err, &known):
		return err
	case errors.As(err, &p) && p.Status < 500:
		return &exit.Error{Code: ExitRefused, Err: err}
	}
	return &exit.Error{Code: ExitFailed, Err: err}
}

// verdict is the exit code of all of them together.
func verdict[T any](all []said[T]) error {
	codes, well := map[int]int{}, 0
	for _, s := range all {
		var e *exit.Error
		if errors.As(s.err, &e) {
			codes[e.Code]++
		} else {
			well++
		}
	}
	switch {
	case well == len(all):
		return nil
	case codes[ExitUnknown] > 0:
		return &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("of %d of %d instances it is not known", codes[ExitUnknown], len(all))}
	case well > 0 || codes[ExitPartial] > 0:
		return &exit.Error{Code: ExitPartial, Err: fmt.Errorf("%d of %d instances did not", len(all)-well, len(all))}
	case codes[ExitRefused] == len(all):
		return &exit.Error{Code: ExitRefused, Err: errors.New("all refuse")}
	}
	return &exit.Error{Code: ExitFailed, Err: errors.New("none could be asked")}
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

// view is how a value of an instance is shown.
type view[T any] struct {
	ask  func(context.Context, *control.Client) (*T, error)
	head string                     // of the table
	rows func(v *T) (rows []string) // with tabs between their columns
	one  func(w io.Writer, v *T)    // of an instance alone, if that is another
	json func(v *T) any             // what programs get; nil for the value
}

// show asks the instances that the flags name and prints what they say.
func show[T any](o *options, v view[T]) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		targets, alone, err := o.targets()
		if err != nil {
			return err
		}
		return tell(o, c.OutOrStdout(), each(c.Context(), o, targets, v.ask), alone, v)
	}
}

// tell prints what instances have said.
func tell[T any](o *options, out io.Writer, all []said[T], alone bool, v view[T]) error {
	value := func(s *T) any {
		if v.json != nil {
			return v.json(s)
		}
		return s
	}
	if alone {
		if all[0].err != nil {
			return all[0].err
		}
		return o.print(out, value(all[0].Value), func(w io.Writer) {
			if v.one != nil {
				v.one(w, all[0].Value)
				return
			}
			fmt.Fprintln(w, v.head)
			for _, row := range v.rows(all[0].Value) {
				fmt.Fprintln(w, row)
			}
		})
	}
	many := make([]said[any], len(all))
	for i, s := range all {
		many[i] = said[any]{Instance: s.Instance, Error: s.Error}
		if s.Value != nil {
			shown := value(s.Value)
			many[i].Value = &shown
		}
	}
	if err := o.print(out, many, func(w io.Writer) {
		fmt.Fprintf(w, "INSTANCE\t%s\n", v.head)
		for _, s := range all {
			if s.err != nil {
				fmt.Fprintf(w, "%s\t%s\n", s.Instance, s.Error)
				continue
			}
			for _, row := range v.rows(s.Value) {
				fmt.Fprintf(w, "%s\t%s\n", s.Instance, row)
			}
		}
	}); err != nil {
		return err
	}
	return verdict(all)
}
