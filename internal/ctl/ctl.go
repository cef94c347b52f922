// Package ctl implements the command `micaline ctl`. It shows and changes instances through their
// control interfaces, and sends orders for a whole fleet to a manager.
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

// The exit codes other than 0.
const (
	ExitFailed  = 1 // the instance or manager could not be reached, or failed
	ExitUsage   = 2 // invalid flags, arguments or files
	ExitRefused = 4 // the request was refused, and nothing has changed
	ExitPartial = 5 // done in part: on some instances, or for some parts of a change
	ExitUnknown = 6 // a request was sent, and its outcome is unknown
)

// maxConcurrentCalls limits how many instances are called at a time.
const maxConcurrentCalls = 64

type options struct {
	instance string
	fleet    string
	selector string
	manager  string
	output   string
	timeout  time.Duration

	credentials api.Credentials
}

// Command returns the `ctl` command with its subcommands.
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
	flags := root.PersistentFlags()
	flags.StringVarP(&o.instance, "instance", "i", env("MICALINE_INSTANCE"), "one instance (or $MICALINE_INSTANCE)")
	flags.StringVarP(&o.fleet, "fleet", "f", env("MICALINE_FLEET"), "fleet file with many instances (or $MICALINE_FLEET)")
	flags.StringVarP(&o.selector, "select", "s", "", "selector of instances of the fleet (default all)")
	flags.StringVarP(&o.manager, "manager", "m", env("MICALINE_MANAGER"), "the manager, or the members of a group separated by commas (or $MICALINE_MANAGER)")
	flags.StringVar(&o.credentials.CA, "ca", env("MICALINE_CA"), "PEM file of the CAs that sign server certificates (or $MICALINE_CA)")
	flags.StringVar(&o.credentials.TokenFile, "token-file", env("MICALINE_TOKEN_FILE"), "file with a token (or $MICALINE_TOKEN_FILE)")
	flags.StringVar(&o.credentials.Certificate, "certificate", env("MICALINE_CERTIFICATE"), "PEM file of the client certificate (or $MICALINE_CERTIFICATE)")
	flags.StringVar(&o.credentials.Key, "key", env("MICALINE_KEY"), "PEM file of the client key (or $MICALINE_KEY)")
	flags.StringVarP(&o.output, "output", "o", "table", "table, or json for programs")
	flags.DurationVar(&o.timeout, "timeout", 10*time.Second, "timeout of a request")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exit.Error{Code: ExitUsage, Err: err} })
	must(root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp)))
	must(root.RegisterFlagCompletionFunc("select", o.completeNames))

	o.addShowCommands(root)
	o.addChangeCommands(root)
	o.addFleetCommands(root)
	o.addDutyCommands(root)
	return root
}

// must panics on an error that only a mistake in this package can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// exactArgs requires a number of arguments and reports others as a usage error.
func exactArgs(count int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != count {
			return &exit.Error{Code: ExitUsage, Err: fmt.Errorf("%s takes %d arguments, and was given %d", c.CommandPath(), count, len(args))}
		}
		return nil
	}
}

func usageError(format string, args ...any) error {
	return &exit.Error{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// validate checks the flags that all commands have, and makes the paths of the credentials absolute.
func (o *options) validate() error {
	if o.output != "table" && o.output != "json" {
		return usageError("--output %q is neither table nor json", o.output)
	}
	if o.timeout <= 0 {
		return usageError("--timeout %v must be above 0", o.timeout)
	}
	if err := makePathsAbsolute(&o.credentials); err != nil {
		return usageError("%v", err)
	}
	if err := o.credentials.Check(); err != nil {
		return usageError("%v", err)
	}
	return nil
}

// makePathsAbsolute resolves the paths of the credentials against the working directory, because
// api.Credentials requires absolute paths.
func makePathsAbsolute(c *api.Credentials) error {
	for _, p := range []*string{&c.CA, &c.Certificate, &c.Key, &c.TokenFile} {
		if *p == "" {
			continue
		}
		path, err := filepath.Abs(*p)
		if err != nil {
			return err
		}
		*p = path
	}
	return nil
}

// parseAddress parses the address of a control interface: a socket path or NAME@HOST:PORT.
func parseAddress(flag, text string) (api.Address, error) {
	a := api.Address{Name: "instance", Unix: text}
	if name, hostPort, ok := strings.Cut(text, "@"); ok {
		a = api.Address{Name: name, Addr: hostPort}
	} else if path, err := filepath.Abs(text); err == nil {
		a.Unix = path
	}
	if err := a.Check(); err != nil {
		return a, usageError("--%s %q: %v", flag, text, err)
	}
	return a, nil
}

// target is an instance that a command applies to.
type target struct {
	name   string
	client *control.Client
}

// targets returns the instances that the flags select. single is true if --instance names one instance
// rather than --fleet a fleet.
func (o *options) targets() (found []target, single bool, err error) {
	if err := o.validate(); err != nil {
		return nil, false, err
	}
	if o.instance != "" && (o.fleet == "" || o.selector == "") {
		a, err := parseAddress("instance", o.instance)
		if err != nil {
			return nil, false, err
		}
		d, err := api.NewDialer(o.credentials)
		if err != nil {
			return nil, false, usageError("%v", err)
		}
		return []target{{a.Name, control.NewClient(d.At(a))}}, true, nil
	}
	if o.fleet == "" {
		return nil, false, usageError("--instance or --fleet is missing")
	}
	s, err := inventory.ParseSelector(o.selector)
	if err != nil {
		return nil, false, usageError("--select: %v", err)
	}
	f, err := inventory.Load(o.fleet)
	if err != nil {
		return nil, false, usageError("%v", err)
	}
	d, err := api.NewDialer(f.Access)
	if err != nil {
		return nil, false, usageError("%s: access.%v", o.fleet, err)
	}
	for _, in := range f.Instance {
		if s.Match(in.Name, in.Labels) {
			found = append(found, target{in.Name, control.NewClient(d.At(in.Address()))})
		}
	}
	if len(found) == 0 {
		return nil, false, usageError("--select %q matches none of the %d instances", o.selector, len(f.Instance))
	}
	return found, false, nil
}

// completeNames completes instance names and labels for --select.
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

// result is the result of a call to an instance, which queries or changes it.
type result[T any] struct {
	Instance string `json:"instance"`
	Value    *T     `json:"value,omitempty"`
	Error    string `json:"error,omitempty"`

	err error
}

// callAll calls a function for each target concurrently and returns the results in their order.
func callAll[T any](ctx context.Context, o *options, targets []target, call func(context.Context, *control.Client) (*T, error)) []result[T] {
	all := make([]result[T], len(targets))
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for i, t := range targets {
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, o.timeout)
			defer cancel()
			v, err := call(ctx, t.client)
			all[i] = result[T]{Instance: t.name, Value: v, err: withExitCode(err)}
			if err != nil {
				all[i].Value, all[i].Error = nil, err.Error()
			}
		})
	}
	calls.Wait()
	return all
}

// withExitCode adds an exit code to an error that has none.
func withExitCode(err error) error {
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

// overallError combines the results of all instances to an error with an exit code, or nil.
func overallError[T any](all []result[T]) error {
	codes, succeeded := map[int]int{}, 0
	for _, s := range all {
		var e *exit.Error
		if errors.As(s.err, &e) {
			codes[e.Code]++
		} else {
			succeeded++
		}
	}
	switch {
	case succeeded == len(all):
		return nil
	case codes[ExitUnknown] > 0:
		return &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("the outcome is unknown on %d of %d instances", codes[ExitUnknown], len(all))}
	case succeeded > 0 || codes[ExitPartial] > 0:
		return &exit.Error{Code: ExitPartial, Err: fmt.Errorf("%d of %d instances failed or refused", len(all)-succeeded, len(all))}
	case codes[ExitRefused] == len(all):
		return &exit.Error{Code: ExitRefused, Err: errors.New("all instances refused")}
	}
	return &exit.Error{Code: ExitFailed, Err: errors.New("no instance could be queried")}
}

// print writes a value as JSON, or as the table that a function writes, depending on --output.
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

// view defines how a value of an instance is queried and shown.
type view[T any] struct {
	query     func(context.Context, *control.Client) (*T, error)
	header    string                     // of the table, with tabs between columns
	rows      func(v *T) (rows []string) // with tabs between columns
	printOne  func(w io.Writer, v *T)    // optional: replaces the table for a single instance
	jsonValue func(v *T) any             // optional: what --output json prints instead of the value
}

// showCommand returns a command function that queries the selected instances and prints the results.
func showCommand[T any](o *options, v view[T]) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		targets, single, err := o.targets()
		if err != nil {
			return err
		}
		return printResults(o, c.OutOrStdout(), callAll(c.Context(), o, targets, v.query), single, v)
	}
}

// printResults prints the results of the instances and returns their overall error.
func printResults[T any](o *options, out io.Writer, all []result[T], single bool, v view[T]) error {
	jsonValue := func(s *T) any {
		if v.jsonValue != nil {
			return v.jsonValue(s)
		}
		return s
	}
	if single {
		if all[0].err != nil {
			return all[0].err
		}
		return o.print(out, jsonValue(all[0].Value), func(w io.Writer) {
			if v.printOne != nil {
				v.printOne(w, all[0].Value)
				return
			}
			fmt.Fprintln(w, v.header)
			for _, row := range v.rows(all[0].Value) {
				fmt.Fprintln(w, row)
			}
		})
	}
	results := make([]result[any], len(all))
	for i, s := range all {
		results[i] = result[any]{Instance: s.Instance, Error: s.Error}
		if s.Value != nil {
			shown := jsonValue(s.Value)
			results[i].Value = &shown
		}
	}
	if err := o.print(out, results, func(w io.Writer) {
		fmt.Fprintf(w, "INSTANCE\t%s\n", v.header)
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
	return overallError(all)
}
