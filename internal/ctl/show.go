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

// Shown is what `ctl show` prints as JSON.
type ShowOutput struct {
	control.Identity
	Pressure float64               `json:"pressure"`
	Own      control.AgentDelay    `json:"own"`
	Held     int                   `json:"held"`
	Service  control.RequestCounts `json:"service"`
	Classes  []control.Class       `json:"classes"`
	Accounts []control.Account     `json:"accounts"`
}

// addShown adds the commands that show.
func (o *options) addShown(root *cobra.Command) {
	add := func(use, short string, run func(*cobra.Command, []string) error) {
		root.AddCommand(&cobra.Command{Use: use, Short: short, Args: exactly(0), RunE: run})
	}
	add("show", "Show which process answers, and how it serves", show(o, view[ShowOutput]{
		ask: func(ctx context.Context, c *control.Client) (*ShowOutput, error) {
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
		head: "EPOCH\tUP\tDOCUMENT\tTAKES\tOPEN\tREQUESTS\tIN AIM\tREFUSED\tFAILED\tOWN LATE\tLABELS",
		rows: func(s *ShowOutput) []string {
			return []string{fmt.Sprintf("%s\t%v\t%d %s\t%v\t%d\t%d\t%d\t%d\t%d\t%.0f%%\t%s", s.Epoch, uptime(&s.Identity), s.Revision, s.Hash, s.Taking, s.Held,
				s.Service.Requests, s.Service.InAim, s.Service.Refused, s.Service.Failed, 100*s.Own.Part, labels(s.Labels))}
		},
		one: one,
	}))
	state := func(ctx context.Context, c *control.Client) (*control.State, error) { return c.State(ctx) }
	add("backends", "Show the backends as the decision module sees them", show(o, view[control.State]{
		ask: state, json: func(s *control.State) any { return s.Backends },
		head: "NAME\tADDRESS\tPHASE\tOUT\tSPEED\tWARM\tIN FLIGHT\tLOAD\tREPORT",
		rows: func(s *control.State) (rows []string) {
			for _, b := range s.Backends {
				report := "-"
				if b.ReportAge != nil {
					report = fmt.Sprintf("%.2f s", *b.ReportAge)
				}
				rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%.2f\t%.0f%%\t%d\t%.1f\t%s",
					b.Name, b.Addr, b.Phase, whyOut(&b), b.Speed, 100*b.Warmth, b.InFlight, b.Load, report))
			}
			return rows
		},
	}))
	add("requests", "Show the open requests, the oldest first", show(o, view[control.State]{
		ask: state, json: func(s *control.State) any { return s.Requests },
		head: "CALL\tCLASS\tACCOUNT\tAGE\tLEFT\tATTEMPTS\tOUT",
		rows: func(s *control.State) (rows []string) {
			for _, r := range s.Requests {
				rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%.3f s\t%.3f s\t%d\t%d", r.Call, r.Class, r.Account, r.Age, r.Left, r.Attempts, r.Out))
			}
			return rows
		},
	}))
	add("causes", "Show why requests were refused or failed", show(o, view[control.State]{
		ask: state, json: func(s *control.State) any { return s.Causes },
		head: "ANSWER\tCLASS\tCAUSE\tCOUNT",
		rows: func(s *control.State) (rows []string) {
			for _, r := range s.Causes {
				rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d", r.Answer, r.Class, r.Cause, r.Count))
			}
			return rows
		},
	}))
	add("document", "Show the settings document in force", show(o, view[control.VersionedDocument]{
		ask: func(ctx context.Context, c *control.Client) (*control.VersionedDocument, error) {
			return c.Document(ctx)
		},
		head: "REVISION\tHASH\tDOCUMENT",
		rows: func(v *control.VersionedDocument) []string {
			text, _ := json.Marshal(v.Document) // which came as JSON
			return []string{fmt.Sprintf("%d\t%s\t%s", v.Revision, v.Hash, text)}
		},
		one: func(w io.Writer, v *control.VersionedDocument) {
			text, _ := json.MarshalIndent(v.Document, "", "  ") // which came as JSON
			fmt.Fprintf(w, "revision %d, %s\n%s\n", v.Revision, v.Hash, text)
		},
	}))
	root.AddCommand(&cobra.Command{Use: "watch", Short: "Show what changes, until it is ended", Args: exactly(0), RunE: o.watch})
}

func uptime(id *control.Identity) time.Duration {
	return time.Duration(id.Uptime * float64(time.Second)).Round(time.Second)
}

func labels(all map[string]string) string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		words = append(words, name+"="+all[name])
	}
	if len(words) == 0 {
		return "-"
	}
	return strings.Join(words, ",")
}

// one is an instance alone.
func one(w io.Writer, s *ShowOutput) {
	fmt.Fprintf(w, "name\t%s\nlabels\t%s\nepoch\t%s, for %v\n", s.Name, labels(s.Labels), s.Epoch, uptime(&s.Identity))
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

// mostSpan is a hold that nobody means as a span: a year.
const mostSpan = 365 * 24 * time.Hour

// whyOut says why a backend gets nothing, or not from all classes.
func whyOut(b *control.Backend) string {
	var why []string
	switch held := span(b.Held); {
	case held > mostSpan:
		why = append(why, fmt.Sprintf("held by %s until called back", b.HeldBy))
	case held > 0:
		why = append(why, fmt.Sprintf("held by %s for %v", b.HeldBy, held))
	}
	for _, e := range b.Ejected {
		why = append(why, fmt.Sprintf("ejected for %s %.1f s", e.Class, e.For))
	}
	if b.Full > 0 {
		why = append(why, fmt.Sprintf("full %.1f s", b.Full))
	}
	if len(why) == 0 {
		return "-"
	}
	return strings.Join(why, ", ")
}

// Watched is a line of `ctl watch` as JSON.
type WatchLine struct {
	Instance string         `json:"instance"`
	Event    *control.Event `json:"event,omitempty"`
	Error    string         `json:"error,omitempty"`
}

const watchAgain = 2 * time.Second // after an instance has fallen silent

// watch follows the instances until the context ends. One that falls silent is told, and tried again.
func (o *options) watch(c *cobra.Command, _ []string) error {
	targets, _, err := o.targets()
	if err != nil {
		return err
	}
	ctx, out := c.Context(), c.OutOrStdout()
	var mu sync.Mutex
	say := func(w WatchLine) error {
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
	var watching sync.WaitGroup
	failed := make(chan error, len(targets))
	for _, t := range targets {
		watching.Go(func() {
			last := ""
			for ctx.Err() == nil {
				err := t.client.Watch(ctx, func(e *control.Event) error {
					last = ""
					return say(WatchLine{Instance: t.name, Event: e})
				})
				var e *exit.Error
				if errors.As(code(err), &e) && e.Code == ExitRefused { // it won't be otherwise next time
					failed <- e
					return
				}
				if ctx.Err() == nil && err.Error() != last {
					last = err.Error() // once, however often it is tried
					if say(WatchLine{Instance: t.name, Error: last}) != nil {
						return
					}
				}
				select {
				case <-time.After(watchAgain):
				case <-ctx.Done():
				}
			}
		})
	}
	watching.Wait()
	close(failed)
	return <-failed
}

// lines are what people read of an event.
func (w *WatchLine) lines() (all []string) {
	add := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	if w.Error != "" {
		add("silent: %s", w.Error)
		return all
	}
	e := w.Event
	if id := e.Identity; id != nil {
		add("epoch %s, document %d %s, takes requests: %v", id.Epoch, id.Revision, id.Hash, id.Taking)
		if id.Pending != "" {
			add("change %s is under way", id.Pending)
		}
	}
	for _, b := range e.Backends {
		add("backend %s %s, out: %s", b.Name, b.Phase, whyOut(&b))
	}
	for _, name := range e.Gone {
		add("backend %s is gone", name)
	}
	for _, c := range e.Causes {
		add("%s %s: %s, %d by now", c.Answer, c.Class, c.Cause, c.Count)
	}
	return all
}
