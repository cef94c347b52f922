package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/exit"
	"example.org/micaline/internal/manage"
)

// reportPollInterval is the interval for polling the report of a rollout.
const reportPollInterval = 500 * time.Millisecond

// addFleetCommands adds the commands that a manager executes.
func (o *options) addFleetCommands(root *cobra.Command) {
	add := func(c *cobra.Command, argCount int, run func(ctx context.Context, m *manage.Client, c *cobra.Command, args []string) error) *cobra.Command {
		c.Args = exactArgs(argCount)
		c.RunE = func(c *cobra.Command, args []string) error {
			m, err := o.managerClient(c.Context())
			if err != nil {
				return err
			}
			return withExitCode(run(c.Context(), m, c, args))
		}
		root.AddCommand(c)
		return c
	}
	root.AddCommand(&cobra.Command{
		Use: "instances", Short: "List the instances: those a manager knows, or those of the fleet file", Args: exactArgs(0), RunE: o.listInstances,
	})
	add(&cobra.Command{Use: "manager", Short: "Show the status of the manager"}, 0,
		func(ctx context.Context, m *manage.Client, c *cobra.Command, _ []string) error {
			return o.showStatus(ctx, c.OutOrStdout(), m.Status)
		})
	add(&cobra.Command{Use: "takeover", Short: "Give the manager the highest fencing number, so that the instances refuse all other managers"}, 0,
		func(ctx context.Context, m *manage.Client, c *cobra.Command, _ []string) error {
			return o.showStatus(ctx, c.OutOrStdout(), m.TakeOver)
		})

	var limits limitFlags
	plan := add(&cobra.Command{Use: "plan FILE", Short: "Show what a settings document would change on each instance, and in which waves"}, 1,
		func(ctx context.Context, m *manage.Client, c *cobra.Command, args []string) error {
			return o.showPlan(ctx, m, c, args[0], &limits)
		})
	limits.addFlags(plan)
	var id string
	var dryRun, detach bool
	apply := add(&cobra.Command{Use: "apply FILE", Short: "Roll out a settings document to the instances, in waves"}, 1,
		func(ctx context.Context, m *manage.Client, c *cobra.Command, args []string) error {
			if dryRun {
				return o.showPlan(ctx, m, c, args[0], &limits)
			}
			order, err := o.buildOrder(c, args[0], &limits)
			if err != nil {
				return err
			}
			if id == "" {
				id = "r" + time.Now().UTC().Format("20060102-150405.000")
			}
			return o.follow(ctx, m, c, id, !detach, func(ctx context.Context) (*manage.Report, error) { return m.StartRollout(ctx, id, order) })
		})
	limits.addFlags(apply)
	apply.Flags().StringVar(&id, "id", "", "id of the rollout; a repeated order with the same id starts nothing (default from the time)")
	apply.Flags().BoolVar(&dryRun, "dry-run", false, "show the plan, and change nothing")
	addNoWait := func(c *cobra.Command) {
		c.Flags().BoolVar(&detach, "no-wait", false, "do not wait for the end of the rollout")
	}
	addNoWait(apply)

	addOrder := func(order, short string) *cobra.Command {
		var leaveFailed bool
		c := add(&cobra.Command{Use: order + " ID", Short: short}, 1,
			func(ctx context.Context, m *manage.Client, c *cobra.Command, args []string) error {
				return o.follow(ctx, m, c, args[0], !detach, func(ctx context.Context) (*manage.Report, error) {
					return m.ControlRollout(ctx, args[0], order, leaveFailed)
				})
			})
		if order == manage.ResumeAction {
			c.Flags().BoolVar(&leaveFailed, "leave", false, "go on without those that did not apply the change")
		}
		addNoWait(c)
		c.ValidArgsFunction = o.completeRollouts
		return c
	}
	addOrder(manage.AbortAction, "Halt a rollout, and leave applied changes in place")
	addOrder(manage.ResumeAction, "Resume a rollout that is halted or superseded")
	addOrder(manage.RollbackAction, "Revert the changes that a rollout has applied")

	report := &cobra.Command{
		Use: "report [ID]", Short: "Show the result of a rollout on each instance; without ID, all rollouts",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) > 1 {
				return usageError("%s takes 1 argument at most, and was given %d", c.CommandPath(), len(args))
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			m, err := o.managerClient(c.Context())
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
			defer cancel()
			if len(args) == 0 {
				all, err := m.Reports(ctx)
				if err != nil {
					return withExitCode(err)
				}
				return o.print(c.OutOrStdout(), all, func(w io.Writer) {
					fmt.Fprintln(w, "ID\tSTATUS\tWAVE\tDOCUMENT\tINSTANCES\tREASON")
					for _, r := range all {
						fmt.Fprintf(w, "%s\t%s\t%d of %d\t%s\t%s\t%s\n", r.ID, r.Status, r.Wave, r.Waves, r.Document, countsByState(r), r.Reason)
					}
				})
			}
			r, err := m.Report(ctx, args[0])
			if err != nil {
				return withExitCode(err)
			}
			if err := o.printReport(c.OutOrStdout(), r); err != nil {
				return err
			}
			return rolloutError(r)
		},
	}
	report.ValidArgsFunction = o.completeRollouts
	root.AddCommand(report)
}

// managerCallers returns the callers of the managers in --manager: one, or those of a group separated
// by commas.
func (o *options) managerCallers() (all []*api.Caller, err error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	if o.manager == "" {
		return nil, usageError("--manager is missing")
	}
	d, err := api.NewDialer(o.credentials)
	if err != nil {
		return nil, usageError("%v", err)
	}
	for text := range strings.SplitSeq(o.manager, ",") {
		a, err := parseAddress("manager", text)
		if err != nil {
			return nil, err
		}
		all = append(all, d.At(a))
	}
	return all, nil
}

// managerClient returns a client of the manager in --manager. Of a group, it chooses the first that
// answers the status request, which is the active one.
func (o *options) managerClient(ctx context.Context) (*manage.Client, error) {
	all, err := o.managerCallers()
	if err != nil {
		return nil, err
	}
	for _, caller := range all[:len(all)-1] {
		m := manage.NewClient(caller)
		attemptCtx, cancel := context.WithTimeout(ctx, o.timeout/time.Duration(len(all)))
		_, err := m.Status(attemptCtx)
		cancel()
		if err == nil {
			return m, nil
		}
	}
	return manage.NewClient(all[len(all)-1]), nil // not tried here: if it is not active either, its own answer is the error
}

// completeRollouts completes rollout ids.
func (o *options) completeRollouts(c *cobra.Command, _ []string, _ string) (ids []string, _ cobra.ShellCompDirective) {
	m, err := o.managerClient(c.Context())
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
	defer cancel()
	all, _ := m.Reports(ctx)
	for _, r := range all {
		ids = append(ids, r.ID)
	}
	return ids, cobra.ShellCompDirectiveNoFileComp
}

// limitFlags are the flags for a rollout's waves and stop conditions.
type limitFlags struct {
	manage.Limits
	bake, patience time.Duration
}

func (l *limitFlags) addFlags(c *cobra.Command) {
	l.Limits = *manage.DefaultLimits()
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	f := c.Flags()
	f.IntVar(&l.Canaries, "canaries", l.Canaries, "instances of the first wave")
	f.Float64Var(&l.Growth, "growth", l.Growth, "each further wave is so many times larger")
	f.DurationVar(&l.bake, "bake", seconds(l.Bake), "how long a wave is watched before the next")
	f.Float64Var(&l.MoreRefused, "more-refused", l.MoreRefused, "maximum increase of the share of refused requests")
	f.Float64Var(&l.MoreFailed, "more-failed", l.MoreFailed, "maximum increase of the share of failed requests")
	f.Float64Var(&l.LessInAim, "less-in-aim", l.LessInAim, "maximum decrease of the share of requests served within the target latency")
	f.Float64Var(&l.Least, "least", l.Least, "minimum number of requests for judging a wave")
	f.DurationVar(&l.patience, "patience", seconds(l.Patience), "how long a wave with fewer requests is watched")
	f.Float64Var(&l.MayFail, "may-fail", l.MayFail, "maximum share of a wave's instances that may fail to apply the document")
}

// buildOrder returns the rollout order that the flags and a document file define.
func (o *options) buildOrder(c *cobra.Command, file string, l *limitFlags) (*manage.Order, error) {
	d, err := readDocument(c.InOrStdin(), file)
	if err != nil {
		return nil, &exit.Error{Code: ExitUsage, Err: err}
	}
	limits := l.Limits
	limits.Bake, limits.Patience = l.bake.Seconds(), l.patience.Seconds()
	return &manage.Order{Document: d, Select: o.selector, Limits: &limits}, nil
}

func (o *options) listInstances(c *cobra.Command, args []string) error {
	if o.manager == "" {
		return showCommand(o, view[control.Summary]{
			query:  func(ctx context.Context, c *control.Client) (*control.Summary, error) { return c.Summary(ctx, 0) },
			header: "EPOCH\tUP\tDOCUMENT\tLABELS",
			rows: func(s *control.Summary) []string {
				return []string{fmt.Sprintf("%s\t%v\t%d %s\t%s", s.Epoch, uptime(&s.Identity), s.Revision, s.Hash, formatLabels(s.Labels))}
			},
		})(c, args)
	}
	m, err := o.managerClient(c.Context())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
	defer cancel()
	all, err := m.Instances(ctx, o.selector)
	if err != nil {
		return withExitCode(err)
	}
	return o.print(c.OutOrStdout(), all, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tADDRESS\tSTATE\tSEEN\tEPOCH\tDOCUMENT\tWANTED\tLABELS\tROLLOUT\tREASON")
		for _, i := range all {
			seen := "never"
			if i.Seen >= 0 {
				seen = fmt.Sprintf("%.0f s", i.Seen)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d %s\t%s\t%s\t%s\t%s\n",
				i.Name, i.Address, i.State, seen, orDash(i.Epoch), i.Revision, i.Hash, orDash(i.Wanted), formatLabels(i.Labels), orDash(i.Rollout), i.Reason)
		}
	})
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (o *options) showStatus(ctx context.Context, out io.Writer, call func(context.Context) (*manage.Status, error)) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	s, err := call(ctx)
	if err != nil {
		return err
	}
	return o.print(out, s, func(w io.Writer) {
		fmt.Fprintf(w, "number\t%d\nsuperseded\t%v\n", s.Fence, s.Superseded)
		fmt.Fprintf(w, "instances\t%d: %d answer, %d are as wanted\nrollouts\t%d\n", s.Instances, s.Reachable, s.AsWanted, s.Rollouts)
		if s.Journal != "" {
			fmt.Fprintf(w, "journal\tcan't be written: %s\n", s.Journal)
		}
		for _, d := range s.Damaged {
			fmt.Fprintf(w, "damaged\t%s\n", d)
		}
	})
}

func (o *options) showPlan(ctx context.Context, m *manage.Client, c *cobra.Command, file string, l *limitFlags) error {
	order, err := o.buildOrder(c, file, l)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	p, err := m.Plan(ctx, order)
	if err != nil {
		return err
	}
	return o.print(c.OutOrStdout(), p, func(w io.Writer) {
		fmt.Fprintf(w, "document %s, waves of %s instances\n", p.Hash, strings.Trim(fmt.Sprint(p.Waves), "[]"))
		fmt.Fprintln(w, "INSTANCE\tWAVE\tREVISION\tFIELD\tNOW\tTHEN")
		for _, i := range p.Instances {
			switch {
			case i.Reason != "":
				fmt.Fprintf(w, "%s\t-\t-\t%s\n", i.Name, i.Reason)
			case len(i.Changes) == 0:
				fmt.Fprintf(w, "%s\t%d\t%d\tnothing differs\n", i.Name, i.Wave, i.Revision)
			}
			if i.Reason == "" {
				for _, row := range differenceRows(&i.Changes) {
					fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", i.Name, i.Wave, i.Revision, row)
				}
			}
		}
	})
}

// follow sends an order. If wait is set, it prints the progress of the rollout until its end.
func (o *options) follow(ctx context.Context, m *manage.Client, c *cobra.Command, id string, wait bool, send func(context.Context) (*manage.Report, error)) error {
	callOnce := func(call func(context.Context) (*manage.Report, error)) (*manage.Report, error) {
		ctx, cancel := context.WithTimeout(ctx, o.timeout)
		defer cancel()
		return call(ctx)
	}
	r, err := callOnce(send)
	if err != nil {
		return err
	}
	lastProgress, silentSince := "", time.Time{}
	for wait {
		if current := progress(r); current != lastProgress {
			lastProgress = current
			fmt.Fprintf(c.ErrOrStderr(), "%s: %s\n", id, current)
		}
		if r.Stopped() {
			break
		}
		select {
		case <-time.After(reportPollInterval):
		case <-ctx.Done():
			return &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("rollout %s continues; see `micaline ctl report %s`", id, id)}
		}
		update, err := callOnce(func(ctx context.Context) (*manage.Report, error) { return m.Report(ctx, id) })
		var p *api.Problem
		switch {
		case err == nil:
			r, silentSince = update, time.Time{}
		case errors.As(err, &p) && p.Status < 500:
			return err
		case silentSince.IsZero(): // the manager may be failing over
			silentSince = time.Now()
		case time.Since(silentSince) > time.Minute:
			return &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("the manager has not answered for a minute: %w", err)}
		}
	}
	if err := o.printReport(c.OutOrStdout(), r); err != nil || !wait {
		return err
	}
	if s := r.Summary; c.Name() == manage.RollbackAction && r.Status == "rolled back" && s.Applied+s.Partly+s.Unknown == 0 {
		return nil // the rollback is complete, as ordered
	}
	return rolloutError(r)
}

// progress describes the progress of a rollout in one line.
func progress(r *manage.Report) string {
	text := fmt.Sprintf("%s, wave %d of %d, %s", r.Status, r.Wave, r.Waves, countsByState(r))
	if r.Baking {
		text += ", watched"
	}
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	return text
}

// countsByState lists the number of instances in each state.
func countsByState(r *manage.Report) string {
	var words []string
	for _, entry := range []struct {
		count int
		state string
	}{
		{r.Summary.Applied, "applied"}, {r.Summary.Unchanged, "unchanged"}, {r.Summary.Partly, "partly"}, {r.Summary.Unknown, "unknown"},
		{r.Summary.Back, "taken back"}, {r.Summary.Ended, "ended"}, {r.Summary.Waiting, "waiting"},
	} {
		if entry.count > 0 {
			words = append(words, fmt.Sprintf("%d %s", entry.count, entry.state))
		}
	}
	return strings.Join(words, ", ")
}

func (o *options) printReport(out io.Writer, r *manage.Report) error {
	return o.print(out, r, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s, document %s, %.1f s\n", r.ID, progress(r), r.Document, r.Took)
		fmt.Fprintln(w, "INSTANCE\tWAVE\tGOT IT\tEPOCH\tREVISION\tTAKEN BACK\tNOW\tREASON")
		for _, g := range r.Instances {
			state := g.State
			if len(g.Parts) > 0 && g.State != "applied" {
				state += " (" + strings.Join(g.Parts, ", ") + ")"
			}
			now := "silent"
			switch {
			case g.Reachable && g.Now != g.Epoch && g.Epoch != "":
				now = "another process, " + g.Now + ", has " + g.Has
			case g.Reachable:
				now = "has " + g.Has
			}
			reason := g.Reason
			if g.BackWhy != "" {
				reason = g.BackWhy
			}
			if g.Left {
				reason = "left out: " + reason
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n", g.Name, g.Wave, state, orDash(g.Epoch), g.Revision, orDash(g.Back), now, reason)
		}
	})
}

// rolloutError returns the result of a rollout as an error with an exit code, or nil.
func rolloutError(r *manage.Report) error {
	s := r.Summary
	all := s.Applied + s.Unchanged + s.Partly + s.Unknown + s.Waiting + s.Back + s.Ended
	switch {
	case !r.Stopped():
		return nil
	case s.Unknown > 0:
		return &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("%s: it is not known whether %d instances have the document", r.Status, s.Unknown)}
	case s.Applied == all:
		return nil
	case s.Applied+s.Partly == 0:
		return &exit.Error{Code: ExitRefused, Err: fmt.Errorf("%s: no instance has the document: %s", r.Status, r.Reason)}
	}
	return &exit.Error{Code: ExitPartial, Err: fmt.Errorf("%s: %d of %d instances have the document. %s", r.Status, s.Applied, all, r.Reason)}
}
