package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/micaline/internal/mesh/meshclient"
	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
)

const mostWays = 512 // shown of one request, or listed

// traceRow is what there is to tell of a request, as one side saw it.
type traceRow struct {
	Side     string    `json:"side"`
	Agent    string    `json:"agent"`
	Request  string    `json:"request"`
	AgoMs    float64   `json:"ago_ms"`
	TookMs   float64   `json:"took_ms"`
	Result   string    `json:"result"`
	Status   int       `json:"status,omitempty"`
	Why      string    `json:"why"`
	AfterMs  float64   `json:"retry_after_ms,omitempty"`
	Route    string    `json:"route,omitempty"`
	Version  uint64    `json:"route_version,omitempty"`
	Index    uint64    `json:"configuration,omitempty"`
	Caller   string    `json:"caller,omitempty"`
	Service  string    `json:"service,omitempty"`
	Unsafe   bool      `json:"unsafe"`
	Inner    bool      `json:"inner"`
	Repeat   bool      `json:"repeat"`
	Open     int       `json:"candidates"`
	Started  int       `json:"attempts_started"`
	Attempts []stepRow `json:"attempts"`
}

// stepRow is what there is to tell of an attempt.
type stepRow struct {
	N        int     `json:"n"`
	Backend  string  `json:"backend"`
	Gate     string  `json:"gate,omitempty"`
	Verdict  string  `json:"verdict"`
	Reason   string  `json:"reason,omitempty"`
	Status   int     `json:"status,omitempty"`
	Inner    bool    `json:"after_inner_failure,omitempty"`
	BegunMs  float64 `json:"begun_ms"`
	AtGateMs float64 `json:"at_gate_ms"`
	TookMs   float64 `json:"took_ms"`
	AfterMs  float64 `json:"retry_after_ms,omitempty"`
	InFlight int     `json:"in_flight"`
	Waiting  int     `json:"waiting"`
}

func rowOf(w *transport.RequestTrace) traceRow {
	r := traceRow{Side: w.Side, Agent: w.Agent, Request: w.Try, AgoMs: ms(w.Age), TookMs: ms(w.Took), Result: w.Result, Status: w.Status,
		Why: w.Why, AfterMs: ms(w.After), Route: w.Route, Version: w.Version, Index: w.Index, Caller: w.Caller, Service: w.Service,
		Unsafe: w.Unsafe, Inner: w.Inner, Repeat: w.Repeat, Open: w.Open, Started: w.Started, Attempts: []stepRow{}}
	for _, s := range w.Steps {
		row := stepRow{N: s.N, Backend: s.Backend, Gate: s.Agent, Verdict: s.Verdict.String(), Status: s.Status, Inner: s.Inner, BegunMs: ms(s.Begun),
			AtGateMs: ms(s.AtGate), TookMs: ms(s.Took), AfterMs: ms(s.After), InFlight: s.InFlight, Waiting: s.Waiting}
		if s.Verdict != transport.Ran {
			row.Reason = s.Reason.String()
		}
		r.Attempts = append(r.Attempts, row)
	}
	return r
}

func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// class is what a request is in a word.
func (r *traceRow) class() string {
	word := "safe"
	if r.Unsafe {
		word = "unsafe"
	}
	if r.Inner {
		word += " inner"
	}
	if r.Repeat {
		word += " repeat"
	}
	return word
}

// ended is a final answer in a word.
func (r *traceRow) ended() string {
	if r.Status == 0 {
		return r.Result
	}
	return fmt.Sprint(r.Status, " ", r.Result)
}

// traces asks the mesh.
func (c *command) traces(q transport.TraceQuery) (rows []traceRow, silent []meshclient.Agent, err error) {
	s, err := c.survey(false)
	if err != nil {
		return nil, nil, err
	}
	if c.agentIP != "" && !slices.ContainsFunc(s.Agents, func(a meshclient.Agent) bool { return a.Heard.Station.Agent == c.agentIP }) {
		return nil, nil, misused("--agent: the core machines know no agent %s", c.agentIP)
	}
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return nil, nil, err
	}
	defer cancel()
	traces, silent := m.Traces(ctx, s, c.agentIP, q)
	rows = []traceRow{}
	for i := range traces {
		rows = append(rows, rowOf(&traces[i]))
	}
	return rows, silent, nil
}

// mute names agents that gave no answer: a record that is not found may be theirs.
func mute(silent []meshclient.Agent) []string {
	list := []string{}
	for _, a := range silent {
		list = append(list, a.Heard.Station.Agent)
	}
	return list
}

func (c *command) requestsWhy() error {
	rows, silent, err := c.traces(transport.TraceQuery{Try: c.request, Most: mostWays})
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		none := fmt.Errorf("no agent has a record of %s: it succeeded at its first attempt, or is older than the last %d that did not, "+
			"or its agent was started anew", c.request, mostWays)
		if len(silent) > 0 {
			return &meshclient.Unreachable{Cause: fmt.Errorf("%w; silent: %s", none, strings.Join(mute(silent), " "))}
		}
		return none
	}
	slices.Reverse(rows) // as it went on
	if c.json {
		return c.printJSON(map[string]any{"requests": rows, "silent": mute(silent)})
	}
	for i := range rows {
		c.way(&rows[i])
	}
	c.tellSilent(silent)
	return nil
}

// way prints one record.
func (c *command) way(r *traceRow) {
	fmt.Fprintf(c.out, "%s at the %s %s, %s ago: %s after %s\n", r.Request, r.Side, r.Agent, span(r.AgoMs), r.ended(), span(r.TookMs))
	fmt.Fprintf(c.out, "  why: %s", r.Why)
	if r.AfterMs > 0 {
		fmt.Fprintf(c.out, "; come back in %s", span(r.AfterMs))
	}
	fmt.Fprintf(c.out, "\n  %s, from %s to %s", r.class(), orDash(r.Caller), orDash(r.Service))
	if r.Side == transport.SideSender {
		fmt.Fprintf(c.out, ", route %s %d of configuration %d, %d candidates, %d attempts", orDash(r.Route), r.Version, r.Index, r.Open, r.Started)
	}
	fmt.Fprintln(c.out)
	var lines [][]string
	for _, s := range r.Attempts {
		verdict := s.Verdict
		if s.Reason != "" {
			verdict += ", " + s.Reason
		} else if verdict += " " + strconv.Itoa(s.Status); s.Inner {
			verdict += ", after its own call failed"
		}
		lines = append(lines, []string{strconv.Itoa(s.N), orDash(s.Backend), orDash(s.Gate), verdict, span(s.BegunMs), span(s.AtGateMs),
			span(s.TookMs), span(s.AfterMs), strconv.Itoa(s.InFlight), strconv.Itoa(s.Waiting)})
	}
	if len(lines) > 0 {
		c.table("ATTEMPT BACKEND GATE ENDED BEGUN AT-GATE IN-ALL COME-BACK IN-FLIGHT WAITING", lines)
	}
	fmt.Fprintln(c.out)
}

func (c *command) requestsLast() error {
	if c.number < 1 || c.number > mostWays {
		return misused("--number: %d is not in 1 to %d", c.number, mostWays)
	}
	if known := append(slices.Clone(transport.ReasonNames()), meshmetrics.Results...); c.reason != "" && !slices.Contains(known, c.reason) {
		return misused("--reason: %q is none of %s", c.reason, strings.Join(known, " "))
	}
	rows, silent, err := c.traces(transport.TraceQuery{Reason: c.reason, Most: c.number})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(map[string]any{"requests": rows, "silent": mute(silent)})
	}
	var lines [][]string
	for i := range rows {
		r := &rows[i]
		lines = append(lines, []string{span(r.AgoMs), r.Request, r.Side, r.Agent, orDash(r.Route), orDash(r.Service), r.class(),
			strconv.Itoa(r.Started), r.ended(), span(r.TookMs), r.Why})
	}
	c.table("AGO REQUEST SIDE AGENT ROUTE SERVICE CLASS ATTEMPTS ENDED TOOK WHY", lines)
	c.tellSilent(silent)
	return nil
}

func (c *command) tellSilent(silent []meshclient.Agent) {
	if len(silent) > 0 {
		fmt.Fprintln(c.out, "silent, so what they know is missing:", strings.Join(mute(silent), " "))
	}
}

// span is a time in milliseconds, short.
func span(ms float64) string {
	d := time.Duration(ms * float64(time.Millisecond))
	switch {
	case d == 0:
		return "-"
	case d >= 10*time.Second:
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Microsecond).String()
}
