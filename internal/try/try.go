// Package try is the command `micaline try`: a whole fleet on loopback that fails as a scenario says, watched in a
// terminal and judged at its end.
package try

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/baseline"
	"example.org/micaline/internal/exit"
	"example.org/micaline/internal/fleet"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin/network"
)

// The exit codes beside 0, which says that all rules held.
const (
	ExitFailed = 1 // the day could not be played
	ExitUsage  = 2 // unusable flags, or an unusable scenario
	ExitBroken = 3 // a rule was broken
)

func usage(format string, args ...any) error {
	return &exit.Error{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// machineLag is by how much a machine that is busy with a whole fleet may see things late.
const machineLag = 250 * time.Millisecond

// choices are what the agent can be played beside.
var choices = append(slices.Clone(baseline.Names), "reverse-proxy")

type options struct {
	scenario string
	length   time.Duration
	agents   int
	backends int
	rate     float64
	seed     uint64
	json     string
	list     bool
	beside   string
	verbose  bool
}

// Command returns the command.
func Command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "try",
		Short: "Play a day of trouble on loopback and judge the four rules",
		Long: "Starts backends, discovery, agents and clients on this machine's loopback addresses, has them fail as a\n" +
			"scenario says, shows how it goes, and judges the four rules from what clients and backends saw.\n\n" +
			"Exit codes: 0 all rules held, 1 the day could not be played, 2 unusable flags, 3 a rule was broken.",
		Example: "  micaline try\n  micaline try --scenario rolling-restart --rate 100 --for 30s\n  micaline try --scenario crowded --beside round-robin --json report.json",
		Args:    func(_ *cobra.Command, args []string) error { return noArgs(args) },
		RunE:    func(c *cobra.Command, _ []string) error { return o.run(c.Context(), c.OutOrStdout()) },
	}
	f := c.Flags()
	f.StringVar(&o.scenario, "scenario", "all-at-once", "name of a scenario (see --list), or a file")
	f.DurationVar(&o.length, "for", 0, "length of the day; its faults are spread over it (default as the scenario says)")
	f.IntVar(&o.agents, "agents", 0, "number of agents (default as the scenario says)")
	f.IntVar(&o.backends, "backends", 0, "number of backends (default as the scenario says)")
	f.Float64Var(&o.rate, "rate", 0, "requests a second at the day's busiest (default as the scenario says)")
	f.Uint64Var(&o.seed, "seed", 1, "what chance depends on")
	f.StringVar(&o.json, "json", "", "write the report to a file, - for standard output")
	f.BoolVar(&o.list, "list", false, "list the scenarios and end")
	f.StringVar(&o.beside, "beside", "", "play the day once more through "+strings.Join(choices, "|"))
	f.BoolVar(&o.verbose, "verbose", false, "show the agents' log on standard error")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exit.Error{Code: ExitUsage, Err: err} })
	return c
}

func noArgs(args []string) error {
	if len(args) > 0 {
		return usage("try takes no argument, and was given %q", args[0])
	}
	return nil
}

func (o *options) run(ctx context.Context, out io.Writer) error {
	if o.list {
		return list(out)
	}
	s, err := o.day()
	if err != nil {
		return err
	}
	if o.beside != "" && !slices.Contains(choices, o.beside) {
		return usage("--beside %q is none of %s", o.beside, strings.Join(choices, ", "))
	}
	var file io.Writer
	if o.json == "-" {
		file, out = out, io.Discard
	} else if o.json != "" { // before the day, not after it
		f, err := os.Create(o.json)
		if err != nil {
			return usage("--json: %w", err)
		}
		defer f.Close()
		file = f
	}
	show := newScreen(out)
	fmt.Fprintf(out, "%s: %s\n", s.Name, s.About)
	report, err := o.play(ctx, s, "micaline", agent.Serve, show)
	if err != nil {
		return &exit.Error{Code: ExitFailed, Err: err}
	}
	if o.beside != "" && ctx.Err() == nil {
		fmt.Fprintf(out, "\nthe same day through %s\n", o.beside)
		if report.Beside, err = o.play(ctx, s, o.beside, besides(o.beside), show); err != nil {
			return &exit.Error{Code: ExitFailed, Err: fmt.Errorf("%s: %w", o.beside, err)}
		}
	}
	summarize(out, report)
	if file != nil {
		enc := json.NewEncoder(file)
		enc.SetIndent("", "  ")
		if err := enc.Encode(report); err != nil {
			return &exit.Error{Code: ExitFailed, Err: fmt.Errorf("writing the report: %w", err)}
		}
	}
	if !report.Kept() {
		return &exit.Error{Code: ExitBroken}
	}
	return nil
}

// day is the scenario with what the flags change in it.
func (o *options) day() (*scenario.Scenario, error) {
	s, err := load(o.scenario)
	if err != nil {
		return nil, err
	}
	switch {
	case o.length < 0 || o.agents < 0 || o.backends < 0 || !(o.rate >= 0):
		return nil, usage("--for, --agents, --backends and --rate can't be below 0")
	case o.seed == 0:
		return nil, usage("--seed can't be 0")
	}
	if o.agents > 0 {
		s.Agents = o.agents
	}
	if o.backends > 0 {
		s.SetBackends(o.backends)
	}
	length, scale := s.For.D(), 1.0
	if o.length > 0 {
		length = o.length
	}
	if o.rate > 0 {
		most := 0.0
		for _, l := range s.Load {
			most = max(most, l.Rate)
		}
		scale = o.rate / most
	}
	s.Scale(scale, length)
	if err := s.Check(); err != nil {
		return nil, usage("with these flags the scenario %s can't be played: %w", s.Name, err)
	}
	return s, nil
}

// load finds a scenario among those that ship, or reads a file.
func load(name string) (*scenario.Scenario, error) {
	for _, s := range scenario.Shipped() {
		if s.Name == name {
			return s, nil
		}
	}
	text, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, usage("%q is neither a scenario (see micaline try --list) nor a file", name)
	}
	if err != nil {
		return nil, usage("--scenario: %w", err)
	}
	s, err := scenario.Parse(text)
	if err != nil {
		return nil, usage("%s: %w", name, err)
	}
	return s, nil
}

func list(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, s := range scenario.Shipped() {
		fmt.Fprintf(w, "%s\t%v\t%s\n", s.Name, s.For.D(), s.About)
	}
	return w.Flush()
}

// besides returns what the agent is played beside.
func besides(name string) fleet.Front {
	if name == "reverse-proxy" {
		return fleet.ReverseProxy
	}
	return fleet.Baseline(name)
}

func (o *options) play(ctx context.Context, s *scenario.Scenario, name string, front fleet.Front, show *screen) (*fleet.Report, error) {
	log := slog.New(slog.DiscardHandler)
	if o.verbose {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	r, err := fleet.Play(ctx, fleet.Options{
		Scenario: s, Seed: o.seed, Network: network.NewLoopback(o.seed, s.TroublesLinks()), Front: front, Lag: machineLag,
		Log: log, Watch: show.update,
	})
	show.end()
	if r == nil {
		return nil, err
	}
	// A day that was interrupted is told as far as it went.
	r.Front = name
	return r, nil
}

// isTerminal says whether a person looks at what is written.
func isTerminal(out io.Writer) (width int, ok bool) {
	f, isFile := out.(*os.File)
	if !isFile || !term.IsTerminal(int(f.Fd())) {
		return 0, false
	}
	width, _, err := term.GetSize(int(f.Fd()))
	return width, err == nil && width >= 60
}
