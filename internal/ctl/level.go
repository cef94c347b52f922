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

// changer adds a command that changes something at once.
type changer = func(use, short string, args int, run func(ctx context.Context, c *control.Client, id string, words []string) (string, error)) *cobra.Command

// addLevel adds the commands about levels of reduced service.
func (o *options) addLevel(root *cobra.Command, change changer) {
	root.AddCommand(&cobra.Command{
		Use: "level", Short: "Show the level of reduced service, why it is so, and what it has turned away", Args: exactly(0),
		RunE: show(o, view[control.Level]{
			ask:  func(ctx context.Context, c *control.Client) (*control.Level, error) { return c.Level(ctx) },
			head: "LEVEL\tFOR\tHELD\tTURNED AWAY\tFIGURES",
			rows: func(l *control.Level) []string {
				var turned int64
				for _, r := range l.Refusals {
					turned += r.Count
				}
				return []string{fmt.Sprintf("%s\t%v\t%v\t%d\t%s", l.Level, span(l.For), span(l.Held), turned, strings.Join(l.Figures, ", "))}
			},
			one: oneLevel,
		}),
	})
	length, why := 10*time.Minute, ""
	hold := change("hold-level LEVEL", "Keep a level of service by hand for a while, whatever the figures say", 1,
		func(ctx context.Context, c *control.Client, id string, words []string) (string, error) {
			l, err := c.HoldLevel(ctx, id, words[0], length.Seconds(), why)
			return fmt.Sprintf("level %s, held for %v", l.Level, span(l.Held)), err
		})
	hold.Flags().DurationVar(&length, "for", length, "for how long")
	hold.Flags().StringVar(&why, "why", "", "the reason, which the history keeps")
	must(hold.MarkFlagRequired("why"))
	hold.PreRunE = func(*cobra.Command, []string) error {
		if length <= 0 {
			return usage("--for %v is not above 0", length)
		}
		return nil
	}
	change("release-level", "Let the figures decide on the level again", 0,
		func(ctx context.Context, c *control.Client, id string, _ []string) (string, error) {
			l, err := c.HoldLevel(ctx, id, "", 0, "")
			return fmt.Sprintf("level %s, by its figures", l.Level), err
		})
}

func span(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Millisecond)
}

// oneLevel shows one instance's level with its past.
func oneLevel(w io.Writer, l *control.Level) {
	fmt.Fprintf(w, "%s for %v, of %s; kept for %v at least\n", l.Level, span(l.For), strings.Join(l.Levels, " < "), span(l.Dwell))
	if l.Held > 0 {
		fmt.Fprintf(w, "held by hand for another %v\n", span(l.Held))
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
