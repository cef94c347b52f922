package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/control"
)

// addChangeFunc adds a command that makes an immediate change on the selected instances.
type addChangeFunc = func(use, short string, args int, run func(ctx context.Context, c *control.Client, id string, args []string) (string, error)) *cobra.Command

// addLevelCommands adds the commands for levels of reduced service.
func (o *options) addLevelCommands(root *cobra.Command, addChange addChangeFunc) {
	root.AddCommand(&cobra.Command{
		Use: "level", Short: "Show the level of reduced service, its reason, and the requests that it has refused", Args: exactArgs(0),
		RunE: showCommand(o, view[control.Level]{
			query:  func(ctx context.Context, c *control.Client) (*control.Level, error) { return c.Level(ctx) },
			header: "LEVEL\tFOR\tHELD\tTURNED AWAY\tFIGURES",
			rows: func(l *control.Level) []string {
				var rejected int64
				for _, r := range l.Refusals {
					rejected += r.Count
				}
				return []string{fmt.Sprintf("%s\t%v\t%v\t%d\t%s", l.Level, toDuration(l.For), toDuration(l.Held), rejected, strings.Join(l.Figures, ", "))}
			},
			printOne: printLevel,
		}),
	})
	duration, reason := 10*time.Minute, ""
	hold := addChange("hold-level LEVEL", "Hold a level of reduced service for a while, regardless of the measurements", 1,
		func(ctx context.Context, c *control.Client, id string, args []string) (string, error) {
			l, err := c.HoldLevel(ctx, id, args[0], duration.Seconds(), reason)
			return fmt.Sprintf("level %s, held for %v", l.Level, toDuration(l.Held)), err
		})
	hold.Flags().DurationVar(&duration, "for", duration, "for how long")
	hold.Flags().StringVar(&reason, "why", "", "the reason, which is recorded in the history")
	must(hold.MarkFlagRequired("why"))
	hold.PreRunE = func(*cobra.Command, []string) error {
		if duration <= 0 {
			return usageError("--for %v must be above 0", duration)
		}
		return nil
	}
	addChange("release-level", "Return to automatic selection of the level", 0,
		func(ctx context.Context, c *control.Client, id string, _ []string) (string, error) {
			l, err := c.HoldLevel(ctx, id, "", 0, "")
			return fmt.Sprintf("level %s, by its figures", l.Level), err
		})
}

// toDuration converts seconds to a duration, rounded for display.
func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Millisecond)
}

// printLevel prints the level of one instance with its history.
func printLevel(w io.Writer, l *control.Level) {
	fmt.Fprintf(w, "%s for %v, of %s; kept for %v at least\n", l.Level, toDuration(l.For), strings.Join(l.Levels, " < "), toDuration(l.Dwell))
	if l.Held > 0 {
		fmt.Fprintf(w, "held by hand for another %v\n", toDuration(l.Held))
	}
	fmt.Fprintln(w, strings.Join(l.Figures, ", "))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range l.Refusals {
		fmt.Fprintf(t, "turned away\t%s\t%s\t%d\n", r.Level, r.Why, r.Count)
	}
	for _, c := range l.History {
		fmt.Fprintf(t, "%s\t%s\t-> %s\t%s\n", c.At.Format(time.RFC3339), c.From, c.To, c.Why)
	}
	t.Flush()
}
