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

// askEvery is how often a rollout that is waited for is asked about.
const askEvery = 500 * time.Millisecond

// addFleet adds the commands that go to a manager.
func (o *options) addFleet(root *cobra.Command) {
	add := func(c *cobra.Command, args int, run func(ctx context.Context, m *manage.Client, c *cobra.Command, words []string) error) *cobra.Command {
		c.Args = exactly(args)
		c.RunE = func(c *cobra.Command, words []string) error {
			m, err := o.managed(c.Context())
			if err != nil {
				return err
			}
			return code(run(c.Context(), m, c, words))
		}
		root.AddCommand(c)
		return c
	}
	root.AddCommand(&cobra.Command{
		Use: "instances", Short: "List the instances: those a manager knows, or those of the fleet file", Args: exactly(0), RunE: o.instances,
	})
	add(&cobra.Command{Use: "manager", Short: "Show what the manager says of itself"}, 0,
		func(ctx context.Context, m *manage.Client, c *cobra.Command, _ []string) error {
			return o.status(ctx, c.OutOrStdout(), m.Status)
		})
	add(&cobra.Command{Use: "takeover", Short: "Give the manager a number above all others', which the instances then refuse"}, 0,
		func(ctx context.Context, m *manage.Client, c *cobra.Command, _ []string) error {
			return o.status(ctx, c.OutOrStdout(), m.TakeOver)
		})

	var limits limitFlags
	plan := add(&cobra.Command{Use: "plan FILE", Short: "Show what a settings document would change on each instance, and in which waves"}, 1,
		func(ctx context.Context, m *manage.Client, c *cobra.Command, words []string) error {
			return o.plan(ctx, m, c, words[0], &limits)
		})
	limits.add(plan)
	var id string
	var dry, later bool
	apply := add(&cobra.Command{Use: "apply FILE", Short: "Bring a settings document to the instances, in waves"}, 1,
		func(ctx context.Context, m *manage.Client, c *cobra.Command, words []string) error {
			if dry {
				return o.plan(ctx, m, c, words[0], &limits)
			}
			order, err := o.order(c, words[0], &limits)
			if err != nil {
				return err
			}
			if id == "" {
				id = "r" + time.Now().UTC().Format("20060102-150405.000")
			}
			return o.follow(ctx, m, c, id, !later, func(ctx context.Context) (*manage.Report, error) { return m.StartRollout(ctx, id, order) })
		})
	limits.add(apply)
	apply.Flags().StringVar(&id, "id", "", "id of the rollout; the same order again under it begins nothing (default by the time)")
	apply.Flags().BoolVar(&dry, "dry-run", false, "as plan")
	noWait := func(c *cobra.Command) { c.Flags().BoolVar(&later, "no-wait", false, "do not wait for its end") }
	noWait(apply)

	tell := func(word, short string) *cobra.Command {
		var leave bool
		c := add(&cobra.Command{Use: word + " ID", Short: short}, 1,
			func(ctx context.Context, m *manage.Client, c *cobra.Command, words []string) error {
				return o.follow(ctx, m, c, words[0], !later, func(ctx context.Context) (*manage.Report, error) {
					return m.ControlRollout(ctx, words[0], word, leave)
				})
			})
		if word == manage.ResumeAction {
			c.Flags().BoolVar(&leave, "leave", false, "go on without those that did not apply the change")
		}
		noWait(c)
		c.ValidArgsFunction = o.completeRollouts
		return c
	}
	tell(manage.AbortAction, "Halt a rollout, and leave what is applied")
	tell(manage.ResumeAction, "Go on with a rollout that is halted or superseded")
	tell(manage.RollbackAction, "Take back what a rollout has applied")

	report := &cobra.Command{
		Use: "report [ID]", Short: "Show who got what of a rollout; without ID, all rollouts",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) > 1 {
				return usage("%s takes 1 argument at most, and was given %d", c.CommandPath(), len(args))
			}
			return nil
		},
		RunE: func(c *cobra.Command, words []string) error {
			m, err := o.managed(c.Context())
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
			defer cancel()
			if len(words) == 0 {
				all, err := m.Reports(ctx)
				if err != nil {
					return code(err)
				}
				return o.print(c.OutOrStdout(), all, func(w io.Writer) {
					fmt.Fprintln(w, "ID\tSTATUS\tWAVE\tDOCUMENT\tINSTANCES\tREASON")
					for _, r := range all {
						fmt.Fprintf(w, "%s\t%s\t%d of %d\t%s\t%s\t%s\n", r.ID, r.Status, r.Wave, r.Waves, r.Document, counts(r), r.Reason)
					}
				})
			}
			r, err := m.Report(ctx, words[0])
			if err != nil {
				return code(err)
			}
			if err := o.report(c.OutOrStdout(), r); err != nil {
				return err
			}
			return ended(r)
		},
	}
	report.ValidArgsFunction = o.completeRollouts
	root.AddCommand(report)
}

// callers are callers of the managers that the flags name: one, or those of a group with commas between them.
func (o *options) callers() (all []*api.Caller, err error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.manager == "" {
		return nil, usage("--manager is missing")
	}
	d, err := api.NewDialer(o.credentials)
	if err != nil {
		return nil, usage("%v", err)
	}
	for text := range strings.SplitSeq(o.manager, ",") {
		a, err := address("manager", text)
		if err != nil {
			return nil, err
		}
		all = append(all, d.At(a))
	}
	return all, nil
}

// managed is a client of the manager that the flags name; of those of a group, of the one that manages.
func (o *options) managed(ctx context.Context) (*manage.Client, error) {
	all, err := o.callers()
	if err != nil {
		return nil, err
	}
	for _, at := range all[:len(all)-1] {
		m := manage.NewClient(at)
		within, cancel := context.WithTimeout(ctx, o.timeout/time.Duration(len(all)))
		_, err := m.Status(within)
		cancel()
		if err == nil {
			return m, nil
		}
	}
	return manage.NewClient(all[len(all)-1]), nil // who says what is the matter
}

// completeRollouts completes ids of rollouts.
func (o *options) completeRollouts(c *cobra.Command, _ []string, _ string) (ids []string, _ cobra.ShellCompDirective) {
	m, err := o.managed(c.Context())
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

// limitFlags are a rollout's waves and stop conditions.
type limitFlags struct {
	manage.Limits
	bake, patience time.Duration
}

func (l *limitFlags) add(c *cobra.Command) {
	l.Limits = *manage.DefaultLimits()
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	f := c.Flags()
	f.IntVar(&l.Canaries, "canaries", l.Canaries, "instances of the first wave")
	f.Float64Var(&l.Growth, "growth", l.Growth, "each further wave is so many times larger")
	f.DurationVar(&l.bake, "bake", seconds(l.Bake), "how long a wave is watched before the next")
	f.Float64Var(&l.MoreRefused, "more-refused", l.MoreRefused, "share of requests that may be refused more than before")
	f.Float64Var(&l.MoreFailed, "more-failed", l.MoreFailed, "share of requests that may fail more than before")
	f.Float64Var(&l.LessInAim, "less-in-aim", l.LessInAim, "share of requests that may be served in aim less than before")
	f.Float64Var(&l.Least, "least", l.Least, "requests that it takes to judge a wave")
	f.DurationVar(&l.patience, "patience", seconds(l.Patience), "how long a wave with fewer requests is watched")
	f.Float64Var(&l.MayFail, "may-fail", l.MayFail, "share of a wave's instances that may not apply it")
}

// order is what the flags and a file say.
func (o *options) order(c *cobra.Command, file string, l *limitFlags) (*manage.Order, error) {
	d, err := read(c.InOrStdin(), file)
	if err != nil {
		return nil, &exit.Error{Code: ExitUsage, Err: err}
	}
	limits := l.Limits
	limits.Bake, limits.Patience = l.bake.Seconds(), l.patience.Seconds()
	return &manage.Order{Document: d, Select: o.selector, Limits: &limits}, nil
}

func (o *options) instances(c *cobra.Command, words []string) error {
	if o.manager == "" {
		return show(o, view[control.Summary]{
			ask:  func(ctx context.Context, c *control.Client) (*control.Summary, error) { return c.Summary(ctx, 0) },
			head: "EPOCH\tUP\tDOCUMENT\tLABELS",
			rows: func(s *control.Summary) []string {
				return []string{fmt.Sprintf("%s\t%v\t%d %s\t%s", s.Epoch, uptime(&s.Identity), s.Revision, s.Hash, labels(s.Labels))}
			},
		})(c, words)
	}
	m, err := o.managed(c.Context())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
	defer cancel()
	all, err := m.Instances(ctx, o.selector)
	if err != nil {
		return code(err)
	}
	return o.print(c.OutOrStdout(), all, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tADDRESS\tSTATE\tSEEN\tEPOCH\tDOCUMENT\tWANTED\tLABELS\tROLLOUT\tREASON")
		for _, i := range all {
			seen := "never"
			if i.Seen >= 0 {
				seen = fmt.Sprintf("%.0f s", i.Seen)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d %s\t%s\t%s\t%s\t%s\n",
				i.Name, i.Address, i.State, seen, dash(i.Epoch), i.Revision, i.Hash, dash(i.Wanted), labels(i.Labels), dash(i.Rollout), i.Reason)
		}
	})
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (o *options) status(ctx context.Context, out io.Writer, ask func(context.Context) (*manage.Status, error)) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	s, err := ask(ctx)
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

func (o *options) plan(ctx context.Context, m *manage.Client, c *cobra.Command, file string, l *limitFlags) error {
	order, err := o.order(c, file, l)
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
				for _, row := range differences(&i.Changes) {
					fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", i.Name, i.Wave, i.Revision, row)
				}
			}
		}
	})
}

// follow gives an order and, where it is waited for, says how far it is until it is over.
func (o *options) follow(ctx context.Context, m *manage.Client, c *cobra.Command, id string, wait bool, give func(context.Context) (*manage.Report, error)) error {
	once := func(ask func(context.Context) (*manage.Report, error)) (*manage.Report, error) {
		ctx, cancel := context.WithTimeout(ctx, o.timeout)
		defer cancel()
		return ask(ctx)
	}
	r, err := once(give)
	if err != nil {
		return err
	}
	last, silent := "", time.Time{}
	for wait {
		if now := progress(r); now != last {
			last = now
			fmt.Fprintf(c.ErrOrStderr(), "%s: %s\n", id, now)
		}
		if r.Stopped() {
			break
		}
		select {
		case <-time.After(askEvery):
		case <-ctx.Done():
			return &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("%s goes on; `micaline ctl report %s` tells how", id, id)}
		}
		next, err := once(func(ctx context.Context) (*manage.Report, error) { return m.Report(ctx, id) })
		var p *api.Problem
		switch {
		case err == nil:
			r, silent = next, time.Time{}
		case errors.As(err, &p) && p.Status < 500:
			return err
		case silent.IsZero(): // it may be being replaced
			silent = time.Now()
		case time.Since(silent) > time.Minute:
			return &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("the manager has fallen silent: %w", err)}
		}
	}
	if err := o.report(c.OutOrStdout(), r); err != nil || !wait {
		return err
	}
	if s := r.Summary; c.Name() == manage.RollbackAction && r.Status == "rolled back" && s.Applied+s.Partly+s.Unknown == 0 {
		return nil // which is what was wanted
	}
	return ended(r)
}

// progress is how far a rollout is, in a line.
func progress(r *manage.Report) string {
	text := fmt.Sprintf("%s, wave %d of %d, %s", r.Status, r.Wave, r.Waves, counts(r))
	if r.Baking {
		text += ", watched"
	}
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	return text
}

// counts are the instances by what is known of them.
func counts(r *manage.Report) string {
	var words []string
	for _, n := range []struct {
		n    int
		what string
	}{
		{r.Summary.Applied, "applied"}, {r.Summary.Unchanged, "unchanged"}, {r.Summary.Partly, "partly"}, {r.Summary.Unknown, "unknown"},
		{r.Summary.Back, "taken back"}, {r.Summary.Ended, "ended"}, {r.Summary.Waiting, "waiting"},
	} {
		if n.n > 0 {
			words = append(words, fmt.Sprintf("%d %s", n.n, n.what))
		}
	}
	return strings.Join(words, ", ")
}

func (o *options) report(out io.Writer, r *manage.Report) error {
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
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n", g.Name, g.Wave, state, dash(g.Epoch), g.Revision, dash(g.Back), now, reason)
		}
	})
}

// ended is a rollout's exit code.
func ended(r *manage.Report) error {
	s := r.Summary
	all := s.Applied + s.Unchanged + s.Partly + s.Unknown + s.Waiting + s.Back + s.Ended
	switch {
	case !r.Stopped():
		return nil
	case s.Unknown > 0:
		return &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("%s: of %d instances it is not known whether they have it", r.Status, s.Unknown)}
	case s.Applied == all:
		return nil
	case s.Applied+s.Partly == 0:
		return &exit.Error{Code: ExitRefused, Err: fmt.Errorf("%s: no instance has it: %s", r.Status, r.Reason)}
	}
	return &exit.Error{Code: ExitPartial, Err: fmt.Errorf("%s: %d of %d instances have it. %s", r.Status, s.Applied, all, r.Reason)}
}
