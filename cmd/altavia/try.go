package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"example.org/micaline/internal/seceda"
	"github.com/integrii/flaggy"
	"github.com/samber/oops"
)

// errBroken says that a rule was broken; the proofs are printed.
var errBroken = errors.New("a rule was broken")

// trial is the command that starts a small mesh on loopback and judges it.
type trial struct {
	command *flaggy.Subcommand
	agents  int
	seconds int
	rate    float64
	trouble string
	keep    string
}

func newTrial() *trial {
	t := &trial{command: flaggy.NewSubcommand("try"), agents: 6, seconds: 15, rate: 15, trouble: "kill-core"}
	t.command.Description = "start a small mesh on loopback, send requests through it and judge it"
	t.command.Int(&t.agents, "n", "agents", "agents beside backends, from 3 on")
	t.command.Int(&t.seconds, "t", "seconds", "length")
	t.command.Float64(&t.rate, "r", "rate", "requests a second at each agent")
	t.command.String(&t.trouble, "x", "trouble", strings.Join(seceda.Troubles, "|"))
	t.command.String(&t.keep, "k", "keep", "empty folder for settings, disks and logs, which then stay")
	return t
}

func (t *trial) run() error {
	errs := oops.In("try")
	if !seceda.Known(t.trouble) {
		return errs.Errorf("--trouble %s is none of %s", t.trouble, strings.Join(seceda.Troubles, ", "))
	}
	if t.seconds < 3 || t.rate <= 0 {
		return errs.Errorf("--seconds is 3 at least, and --rate above 0")
	}
	program, err := os.Executable()
	if err != nil {
		return errs.Wrap(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	began := time.Now()
	g, err := seceda.Start(ctx, seceda.Options{Program: program, Dir: t.keep, Agents: t.agents, Rate: t.rate, Work: 50 * time.Millisecond})
	if err != nil {
		return errs.Wrap(err)
	}
	defer g.Close()
	fmt.Printf("3 core machines and %d agents are ready after %.1fs; services %s\n",
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
func (t *trial) watch(ctx context.Context, g *seceda.Ground, length time.Duration, lines <-chan string, played <-chan error) error {
	fmt.Println("  time   sent served refused failed    p50    p99  leads   configuration")
	began, tick, over := time.Now(), time.NewTicker(time.Second), false
	defer tick.Stop()
	g.Since()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case line := <-lines:
			fmt.Printf("%5.1fs  %s\n", time.Since(began).Seconds(), line)
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
			fmt.Printf("%5.1fs %6d %6d %7d %6d %4dms %4dms  %-7s %d at %d of %d\n", time.Since(began).Seconds(), c.Sent, c.Served, c.Refused,
				c.Failed, c.Quantile(0.5).Milliseconds(), c.Quantile(0.99).Milliseconds(), leads, index, have, len(g.Agents))
			if over && time.Since(began) >= length {
				return nil
			}
		}
	}
}

// say prints the verdict.
func (t *trial) say(v *seceda.Verdict) error {
	fmt.Printf("%d requests: %d served, %d refused, %d failed; p50 %v, p99 %v\n", v.Sent, v.Served, v.Refused, v.Failed,
		v.Quantile(0.5).Round(time.Millisecond), v.Quantile(0.99).Round(time.Millisecond))
	fmt.Printf("judged from what clients, backends and the operator saw: %d tries, %d runs\n", v.Tries, v.Runs)
	for _, b := range v.Breaches {
		fmt.Println("broken", b)
	}
	if len(v.Breaches) > 0 {
		return errBroken
	}
	fmt.Println("no rule was broken:", strings.Join(seceda.Rules, ", "))
	return nil
}
