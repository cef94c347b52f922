// Package alerting is the list of alerts on the mesh's metrics.
//
// There is one table, Rules: what an alert compares, for how long, and which rule of the mesh it
// warns of. deploy/alerts.yaml is printed from it, and each alert has its section in
// docs/alerts.md. What it may ask for stands in the table of package meshmetrics.
package alerting

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Function is what is made of a metric's course over a window.
type Function string

// The functions. Now is the last value.
const (
	Now      Function = ""
	Increase Function = "increase"
	Delta    Function = "delta"
	Resets   Function = "resets"
)

// Term is a figure.
type Term struct {
	Metric string
	Label  string   // if set, only series with one of
	Values []string // these values of it
	Over   Function
	Window time.Duration
}

// Rule is an alert.
type Rule struct {
	Alert    string
	Severity string // "page": somebody gets up; "ticket": somebody looks by day
	Of       Term
	Per      *Term    // if set, Of is divided by it
	Least    float64  // and what it is divided by must be above this: of few requests there is no share
	Sum      bool     // both are added up
	By       []string // by these labels; without any, over all
	Compare  string   // ">" or "<"
	Bound    float64
	Rising   time.Duration // if set, Of must have risen in this time as well
	For      time.Duration // that it holds before anybody is told
	Warns    string        // rule of the mesh that is near, or "-"
	Summary  string
}

func (t *Term) expr() string {
	s := t.Metric
	if t.Label != "" {
		s += fmt.Sprintf(`{%s=~"%s"}`, t.Label, strings.Join(t.Values, "|"))
	}
	if t.Over != Now {
		s = fmt.Sprintf("%s(%s[%s])", t.Over, s, span(t.Window))
	}
	return s
}

func (r *Rule) summed(s string) string {
	switch {
	case !r.Sum:
		return s
	case len(r.By) == 0:
		return "sum(" + s + ")"
	}
	return fmt.Sprintf("sum by (%s) (%s)", strings.Join(r.By, ", "), s)
}

// Expr is the alert as an expression of Prometheus.
func (r *Rule) Expr() string {
	s := r.summed(r.Of.expr())
	if r.Per != nil {
		s += " / " + r.summed(r.Per.expr())
	}
	s += fmt.Sprintf(" %s %s", r.Compare, number(r.Bound))
	if r.Per != nil {
		s += fmt.Sprintf(" and %s > %s", r.summed(r.Per.expr()), number(r.Least))
	}
	if r.Rising > 0 {
		rise := Term{Metric: r.Of.Metric, Over: Delta, Window: r.Rising}
		s += fmt.Sprintf(" and %s > 0", rise.expr())
	}
	return s
}

// Page is the section of the operators' page that tells what to do.
func (r *Rule) Page() string { return "docs/alerts.md#" + strings.ToLower(r.Alert) }

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// span writes a time as Prometheus does, in whole seconds or minutes.
func span(d time.Duration) string {
	if d%time.Minute == 0 && d > 0 {
		return fmt.Sprintf("%dm", d/time.Minute)
	}
	return fmt.Sprintf("%ds", d/time.Second)
}

// YAML is all alerts as a file of rules.
func YAML() string {
	var b strings.Builder
	b.WriteString("# Printed by `exporter rules` from internal/mesh/alerting; change it there.\ngroups:\n  - name: micaline-mesh\n    rules:\n")
	for i := range Rules {
		r := &Rules[i]
		fmt.Fprintf(&b, "      - alert: %s\n        expr: %s\n", r.Alert, strconv.Quote(r.Expr()))
		if r.For > 0 {
			fmt.Fprintf(&b, "        for: %s\n", span(r.For))
		}
		fmt.Fprintf(&b, "        labels:\n          severity: %s\n        annotations:\n          summary: %s\n          warns_of: %s\n          page: %s\n",
			r.Severity, strconv.Quote(r.Summary), strconv.Quote(r.Warns), strconv.Quote(r.Page()))
	}
	return b.String()
}
