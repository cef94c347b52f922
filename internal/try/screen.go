package try

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"example.org/micaline/internal/fleet"
)

// screen shows how a day goes: a table that is drawn anew each second in a terminal, a line a second elsewhere.
type screen struct {
	out   io.Writer
	width int
	live  bool
	drawn int // lines of the table that stands there
	on    []string
}

func newScreen(out io.Writer) *screen {
	s := &screen{out: out}
	s.width, s.live = isTerminal(out)
	return s
}

// update shows a snapshot.
func (s *screen) update(n *fleet.Snapshot) {
	s.faults(n)
	if !s.live {
		var held []string
		for _, b := range n.Backends {
			held = append(held, heldBy(b))
		}
		fmt.Fprintf(s.out, "%4.0fs  %.0f/s  in aim %.1f%%  refused %d  failed %d  retries %d  p50 %s  p99 %s  in flight %s\n",
			n.At.Seconds(), n.Rate, 100*n.Share, n.Refused, n.Failed, n.Retries, millis(n.P50), millis(n.P99), strings.Join(held, " "))
		return
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "time\trate\tin aim\trefused\tfailed\tretries\tp50\tp99\t")
	fmt.Fprintf(w, "%.0f s\t%.0f/s\t%.1f%%\t%d\t%d\t%d\t%s\t%s\t\n",
		n.At.Seconds(), n.Rate, 100*n.Share, n.Refused, n.Failed, n.Retries, millis(n.P50), millis(n.P99))
	w.Flush()
	for _, one := range n.Backends {
		state := strings.Repeat("#", min(one.InFlight, max(0, s.width-24)))
		if !one.Up {
			state = "down"
		}
		fmt.Fprintf(&b, "%-14s %4d  %s\n", one.Name, one.InFlight, state)
	}
	for _, f := range s.on {
		fmt.Fprintf(&b, "! %s\n", f)
	}
	s.erase()
	lines := strings.Split(strings.TrimSuffix(b.String(), "\n"), "\n")
	for _, l := range lines {
		if r := []rune(l); len(r) >= s.width {
			l = string(r[:s.width-1]) // a line that wraps would count twice
		}
		fmt.Fprintln(s.out, l)
	}
	s.drawn = len(lines)
}

// faults says which faults have begun and ended.
func (s *screen) faults(n *fleet.Snapshot) {
	say := func(what, fault string) {
		s.erase()
		fmt.Fprintf(s.out, "%4.0fs  %s: %s\n", n.At.Seconds(), what, fault)
	}
	for _, f := range n.Faults {
		if !slices.Contains(s.on, f) {
			say("begins", f)
		}
	}
	for _, f := range s.on {
		if !slices.Contains(n.Faults, f) {
			say("ends", f)
		}
	}
	s.on = n.Faults
}

// erase takes the table away.
func (s *screen) erase() {
	if s.drawn > 0 {
		fmt.Fprintf(s.out, "\x1b[%dA\x1b[J", s.drawn)
		s.drawn = 0
	}
}

// end leaves what stands there and is ready for another day.
func (s *screen) end() { s.drawn, s.on = 0, nil }

func heldBy(b fleet.BackendSnapshot) string {
	if !b.Up {
		return b.Name + ":down"
	}
	return fmt.Sprintf("%s:%d", b.Name, b.InFlight)
}

func millis(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond))
}

// summarize writes the verdicts and figures of a day, side by side with those of another if there is one.
func summarize(out io.Writer, r *fleet.Report) {
	all := []*fleet.Report{r}
	if r.Beside != nil {
		all = append(all, r.Beside)
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value func(*fleet.Report) string) {
		fmt.Fprint(w, name)
		for _, r := range all {
			fmt.Fprint(w, "\t", value(r))
		}
		fmt.Fprintln(w)
	}
	count := func(name string, value func(*fleet.Report) int) {
		row(name, func(r *fleet.Report) string { return fmt.Sprint(value(r)) })
	}
	row("", func(r *fleet.Report) string { return r.Front })
	for i := range r.Rules {
		row(r.Rules[i].Rule, func(r *fleet.Report) string { return r.Rules[i].Verdict })
	}
	count("requests", func(r *fleet.Report) int { return r.Requests })
	row("served in aim", func(r *fleet.Report) string {
		return fmt.Sprintf("%d (%.1f%%)", r.ServedInAim, 100*float64(r.ServedInAim)/float64(max(1, r.Requests)))
	})
	count("served late", func(r *fleet.Report) int { return r.Served - r.ServedInAim })
	count("refused", func(r *fleet.Report) int { return r.Refused })
	count("failed", func(r *fleet.Report) int { return r.Failed })
	count("left by clients", func(r *fleet.Report) int { return r.HungUp })
	count("clients' retries", func(r *fleet.Report) int { return r.Retries })
	count("attempts at backends", func(r *fleet.Report) int { return r.Attempts })
	row("p50, p99", func(r *fleet.Report) string { return fmt.Sprintf("%.1f ms, %.1f ms", r.P50, r.P99) })
	w.Flush()
	for _, r := range all {
		for _, rule := range r.Rules {
			for _, f := range rule.Findings {
				if !f.CantTell {
					fmt.Fprintf(out, "\n%s: %s: %s\n  %s\n", r.Front, rule.Rule, f.What, strings.Join(f.Evidence, "\n  "))
				}
			}
		}
	}
}
