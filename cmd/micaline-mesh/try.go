package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"example.org/micaline/internal/mesh/meshtest"
	"github.com/integrii/flaggy"
	"github.com/samber/oops"
)

// errBroken says that a rule was broken; the proofs are printed.
var errBroken = errors.New("a rule was broken")

// trial is the command that starts a small mesh on loopback and judges it.
type trial struct {
	out     io.Writer
	agents  int
	seconds int
	rate    float64
	trouble string
	keep    string
}

func (t *trial) flags(sub *flaggy.Subcommand) {
	sub.Int(&t.agents, "n", "agents", "agents beside backends, from 3 on")
	sub.Int(&t.seconds, "l", "seconds", "length")
	sub.Float64(&t.rate, "r", "rate", "requests a second at each agent")
	sub.String(&t.trouble, "x", "trouble", strings.Join(meshtest.Troubles, "|"))
	sub.String(&t.keep, "k", "keep", "empty folder for settings, disks and logs, which then stay")
}

func (t *trial) run() error {
	errs := oops.In("try")
	switch {
	case !meshtest.Known(t.trouble):
		return misused("--trouble %s is none of %s", t.trouble, strings.Join(meshtest.Troubles, ", "))
	case t.seconds < 3 || t.rate <= 0:
		return misused("--seconds is 3 at least, and --rate above 0")
	case t.agents < meshtest.LeastAgents || t.agents > meshtest.MostAgents:
		return misused("--agents %d is not from %d to %d", t.agents, meshtest.LeastAgents, meshtest.MostAgents)
	}
	program, err := os.Executable()
	if err != nil {
		return errs.Wrap(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	began := time.Now()
	g, err := meshtest.Start(ctx, meshtest.Options{Program: program, Dir: t.keep, Agents: t.agents, Rate: t.rate, Work: 50 * time.Millisecond})
	if err != nil {
		return errs.Wrap(err)
	}
	defer g.Close()
	fmt.Fprintf(t.out, "3 core machines and %d agents are ready after %.1fs; services %s\n",
		t.agents, time.Since(began).Seconds(), strings.Join(g.Services(), ", "))
	length := time.Duration(t.seconds) * time.Second
	playing, cancel := context.WithTimeout(ctx, length+20*time.Second)
	defer cancel()
	played := make(chan error, 1)
	lines := make(chan string, 64)
	go func() {
		third := time.NewTimer(length / 3)
		defer third.Stop()
		select {
		case <-third.C:
		case <-playing.Done():
		}
		played <- g.Play(playing, t.trouble, length/5, func(format string, args ...any) {
			lines <- fmt.Sprintf(format, args...)
		})
	}()
	if err := t.watch(playing, g, length, lines, played); err != nil {
		return errs.Wrap(err)
	}
	v, err := g.Finish(playing)
	if err != nil {
		return errs.Wrap(err)
	}
	return t.say(v)
}

// watch shows a line a second until the time is over and the trouble, too.
func (t *trial) watch(ctx context.Context, g *meshtest.Cluster, length time.Duration, lines <-chan string, played <-chan error) error {
	fmt.Fprintln(t.out, "  time   sent served refused failed    p50    p99  leads   configuration")
	began, tick, over := time.Now(), time.NewTicker(time.Second), false
	defer tick.Stop()
	g.Since()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case line := <-lines:
			fmt.Fprintf(t.out, "%5.1fs  %s\n", time.Since(began).Seconds(), line)
		case err := <-played:
			if err != nil {
				return err
			}
			over, played = true, nil
		case <-tick.C:
			c, leads := g.Since(), "nobody"
			if m := g.Leader(); m != nil {
				leads = m.Name
			}
			index, have := g.Index()
			fmt.Fprintf(t.out, "%5.1fs %6d %6d %7d %6d %4dms %4dms  %-7s %d at %d of %d\n", time.Since(began).Seconds(), c.Sent, c.Served, c.Refused,
				c.Failed, c.Quantile(0.5).Milliseconds(), c.Quantile(0.99).Milliseconds(), leads, index, have, len(g.Agents))
			if over && time.Since(began) >= length {
				return nil
			}
		}
	}
}

// say prints the verdict.
func (t *trial) say(v *meshtest.Verdict) error {
	fmt.Fprintf(t.out, "%d requests: %d served, %d refused, %d failed; p50 %v, p99 %v\n", v.Sent, v.Served, v.Refused, v.Failed,
		v.Quantile(0.5).Round(time.Millisecond), v.Quantile(0.99).Round(time.Millisecond))
	fmt.Fprintf(t.out, "judged from what clients, backends and the operator saw: %d tries, %d runs\n", v.Tries, v.Runs)
	for _, b := range v.Breaches {
		fmt.Fprintln(t.out, "broken", b)
	}
	if len(v.Breaches) > 0 {
		return errBroken
	}
	fmt.Fprintln(t.out, "no rule was broken:", strings.Join(meshtest.Rules, ", "))
	return nil
}
