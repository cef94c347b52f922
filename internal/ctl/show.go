package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/control"
	"example.org/micaline/internal/exit"
)

// ShowOutput is the JSON output of `ctl show`.
type ShowOutput struct {
	control.Identity
	Pressure float64               `json:"pressure"`
	Own      control.AgentDelay    `json:"own"`
	Held     int                   `json:"held"`
	Service  control.RequestCounts `json:"service"`
	Classes  []control.Class       `json:"classes"`
	Accounts []control.Account     `json:"accounts"`
}

// addShowCommands adds the commands that show the state of instances.
func (o *options) addShowCommands(root *cobra.Command) {
	add := func(use, short string, run func(*cobra.Command, []string) error) {
		root.AddCommand(&cobra.Command{Use: use, Short: short, Args: exactArgs(0), RunE: run})
	}
	add("show", "Show the process, its configuration and its request counts", showCommand(o, view[ShowOutput]{
		query: func(ctx context.Context, c *control.Client) (*ShowOutput, error) {
			id, err := c.Identity(ctx)
			if err != nil {
				return nil, err
			}
			s, err := c.State(ctx)
			if err != nil {
				return nil, err
			}
			return &ShowOutput{*id, s.Pressure, s.Own, s.Held, s.Service, s.Classes, s.Accounts}, nil
		},
		header: "EPOCH\tUP\tDOCUMENT\tTAKES\tOPEN\tREQUESTS\tIN AIM\tREFUSED\tFAILED\tOWN LATE\tLABELS",
		rows: func(s *ShowOutput) []string {
			return []string{fmt.Sprintf("%s\t%v\t%d %s\t%v\t%d\t%d\t%d\t%d\t%d\t%.0f%%\t%s", s.Epoch, uptime(&s.Identity), s.Revision, s.Hash, s.Taking, s.Held,
				s.Service.Requests, s.Service.InAim, s.Service.Refused, s.Service.Failed, 100*s.Own.Part, formatLabels(s.Labels))}
		},
		printOne: printInstance,
	}))
	state := func(ctx context.Context, c *control.Client) (*control.State, error) { return c.State(ctx) }
	add("backends", "Show the backends as the decision module sees them", showCommand(o, view[control.State]{
		query: state, jsonValue: func(s *control.State) any { return s.Backends },
		header: "NAME\tADDRESS\tPHASE\tOUT\tSPEED\tWARM\tIN FLIGHT\tLOAD\tREPORT",
		rows: func(s *control.State) (rows []string) {
			for _, b := range s.Backends {
				report := "-"
				if b.ReportAge != nil {
					report = fmt.Sprintf("%.2f s", *b.ReportAge)
				}
				rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%.2f\t%.0f%%\t%d\t%.1f\t%s",
					b.Name, b.Addr, b.Phase, exclusionReasons(&b), b.Speed, 100*b.Warmth, b.InFlight, b.Load, report))
			}
			return rows
		},
	}))
	add("requests", "Show the open requests, the oldest first", showCommand(o, view[control.State]{
		query: state, jsonValue: func(s *control.State) any { return s.Requests },
		header: "CALL\tCLASS\tACCOUNT\tAGE\tLEFT\tATTEMPTS\tOUT",
		rows: func(s *control.State) (rows []string) {
			for _, r := range s.Requests {
				rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%.3f s\t%.3f s\t%d\t%d", r.Call, r.Class, r.Account, r.Age, r.Left, r.Attempts, r.Out))
			}
			return rows
		},
	}))
	add("causes", "Show why requests were refused or failed", showCommand(o, view[control.State]{
		query: state, jsonValue: func(s *control.State) any { return s.Causes },
		header: "ANSWER\tCLASS\tCAUSE\tCOUNT",
		rows: func(s *control.State) (rows []string) {
			for _, r := range s.Causes {
				rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d", r.Answer, r.Class, r.Cause, r.Count))
			}
			return rows
		},
	}))
	add("document", "Show the settings document in force", showCommand(o, view[control.VersionedDocument]{
		query: func(ctx context.Context, c *control.Client) (*control.VersionedDocument, error) {
			return c.Document(ctx)
		},
		header: "REVISION\tHASH\tDOCUMENT",
		rows: func(v *control.VersionedDocument) []string {
			text, _ := json.Marshal(v.Document) // can't fail: the document was decoded from JSON
			return []string{fmt.Sprintf("%d\t%s\t%s", v.Revision, v.Hash, text)}
		},
		printOne: func(w io.Writer, v *control.VersionedDocument) {
			text, _ := json.MarshalIndent(v.Document, "", "  ") // can't fail: the document was decoded from JSON
			fmt.Fprintf(w, "revision %d, %s\n%s\n", v.Revision, v.Hash, text)
		},
	}))
	root.AddCommand(&cobra.Command{Use: "watch", Short: "Show changes as they happen, until interrupted", Args: exactArgs(0), RunE: o.watch})
}

func uptime(id *control.Identity) time.Duration {
	return time.Duration(id.Uptime * float64(time.Second)).Round(time.Second)
}

func formatLabels(all map[string]string) string {
	var terms []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		terms = append(terms, name+"="+all[name])
	}
	if len(terms) == 0 {
		return "-"
	}
	return strings.Join(terms, ",")
}

// printInstance prints the state of a single instance.
func printInstance(w io.Writer, s *ShowOutput) {
	fmt.Fprintf(w, "name\t%s\nlabels\t%s\nepoch\t%s, for %v\n", s.Name, formatLabels(s.Labels), s.Epoch, uptime(&s.Identity))
	fmt.Fprintf(w, "document\trevision %d, %s\nconfiguration\t%s\n", s.Revision, s.Hash, s.Configuration)
	if len(s.Mixed) > 0 {
		fmt.Fprintf(w, "mixed\t%v: of another document, as a change has left them\n", s.Mixed)
	}
	if s.Pending != "" {
		fmt.Fprintf(w, "under way\t%s\n", s.Pending)
	}
	fmt.Fprintf(w, "takes requests\t%v\nopen\t%d\nshed\t%.0f%%\n", s.Taking, s.Held, 100*min(1, s.Pressure))
	v := s.Service
	fmt.Fprintf(w, "requests\t%d: %d served, %d of them in aim, %d refused, %d failed, %d left by clients\n",
		v.Requests, v.Served, v.InAim, v.Refused, v.Failed, v.Left)
	for _, c := range s.Classes {
		fmt.Fprintf(w, "class\t%s, %s: worth %g, aim %g s, deadline %g s, %d open\n", c.Name, c.Effect, c.Worth, c.Aim, c.Deadline, c.Open)
	}
	for _, a := range s.Accounts {
		fmt.Fprintf(w, "account\t%s: portion %g, %d open\n", a.Name, a.Portion, a.Open)
	}
}

// maxHoldSpan is the longest hold that is shown with its remaining time. A longer one has no
// intended end.
const maxHoldSpan = 365 * 24 * time.Hour

// exclusionReasons lists why a backend gets no requests, or none of some classes.
func exclusionReasons(b *control.Backend) string {
	var reasons []string
	switch held := toDuration(b.Held); {
	case held > maxHoldSpan:
		reasons = append(reasons, fmt.Sprintf("held by %s until called back", b.HeldBy))
	case held > 0:
		reasons = append(reasons, fmt.Sprintf("held by %s for %v", b.HeldBy, held))
	}
	for _, e := range b.Ejected {
		reasons = append(reasons, fmt.Sprintf("ejected for %s %.1f s", e.Class, e.For))
	}
	if b.Full > 0 {
		reasons = append(reasons, fmt.Sprintf("full %.1f s", b.Full))
	}
	if len(reasons) == 0 {
		return "-"
	}
	return strings.Join(reasons, ", ")
}

// WatchLine is a line of the JSON output of `ctl watch`.
type WatchLine struct {
	Instance string         `json:"instance"`
	Event    *control.Event `json:"event,omitempty"`
	Error    string         `json:"error,omitempty"`
}

const watchRetryDelay = 2 * time.Second // after a watch stream has failed

// watch prints the events of the instances until the context ends. If a stream fails, it prints the
// error once and reconnects until it succeeds. It does not reconnect to an instance that refuses.
func (o *options) watch(c *cobra.Command, _ []string) error {
	targets, _, err := o.targets()
	if err != nil {
		return err
	}
	ctx, out := c.Context(), c.OutOrStdout()
	var mu sync.Mutex
	write := func(w WatchLine) error {
		mu.Lock()
		defer mu.Unlock()
		if o.output == "json" {
			return json.NewEncoder(out).Encode(&w)
		}
		for _, line := range w.lines() {
			if _, err := fmt.Fprintf(out, "%s  %s  %s\n", time.Now().Format(time.TimeOnly), w.Instance, line); err != nil {
				return err
			}
		}
		return nil
	}
	var watchers sync.WaitGroup
	failed := make(chan error, len(targets))
	for _, t := range targets {
		watchers.Go(func() {
			lastError := ""
			for ctx.Err() == nil {
				err := t.client.Watch(ctx, func(e *control.Event) error {
					lastError = ""
					return write(WatchLine{Instance: t.name, Event: e})
				})
				var e *exit.Error
				if errors.As(withExitCode(err), &e) && e.Code == ExitRefused { // a retry would be refused too
					failed <- e
					return
				}
				if ctx.Err() == nil && err.Error() != lastError {
					lastError = err.Error() // printed once for all failed attempts in a row
					if write(WatchLine{Instance: t.name, Error: lastError}) != nil {
						return
					}
				}
				select {
				case <-time.After(watchRetryDelay):
				case <-ctx.Done():
				}
			}
		})
	}
	watchers.Wait()
	close(failed)
	return <-failed
}

// lines returns the event as readable text.
func (w *WatchLine) lines() (lines []string) {
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if w.Error != "" {
		add("silent: %s", w.Error)
		return lines
	}
	e := w.Event
	if id := e.Identity; id != nil {
		add("epoch %s, document %d %s, takes requests: %v", id.Epoch, id.Revision, id.Hash, id.Taking)
		if id.Pending != "" {
			add("change %s is under way", id.Pending)
		}
	}
	for _, b := range e.Backends {
		add("backend %s %s, out: %s", b.Name, b.Phase, exclusionReasons(&b))
	}
	for _, name := range e.Gone {
		add("backend %s is gone", name)
	}
	for _, c := range e.Causes {
		add("%s %s: %s, %d by now", c.Answer, c.Class, c.Cause, c.Count)
	}
	return lines
}
