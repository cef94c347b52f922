// Command micaline is the agent that spreads an application's requests over its backends, and the tools around it.
package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/operators"
)

// memoryShare of the limit is the collector's; the rest is for what it does not count, stacks of the kernel's
// and the program's own text among it.
const memoryShare = 0.7

func main() {
	if len(os.Args) > 1 {
		os.Exit(command(os.Args[1:]))
	}
	// With no argument it is the agent, as deployments start it.
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// Danger: a signal that nobody waits for ends the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, hangups, log)
	stop()
	if err != nil {
		log.Error("micaline ends", "error", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger) error {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return errors.New("GW_CONFIG is not set: it names the configuration file")
	}
	cfg, err := agent.LoadConfig(path)
	if err != nil {
		return err
	}
	log = log.With("agent", cfg.Name)
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	reloads := make(chan *agent.Config)
	go func() {
		for range hangups {
			next, err := agent.LoadConfig(path)
			if err != nil {
				log.Error("not reloaded, the old configuration stays", "error", err)
				continue
			}
			reloads <- next
		}
	}()
	ops, err := operators.Load(operators.File)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	a, err := agent.New(cfg, listener, agent.TCP{}, log)
	if err != nil {
		return err
	}
	if ops.Control.Unix != "" {
		stop, err := serveControl(a, ops.Control.Unix, log)
		if err != nil {
			return err
		}
		defer stop()
	}
	return a.Run(ctx, reloads)
}

// serveControl serves the control interface at a Unix socket that only its owner can open. A socket that an earlier
// process has left there is in the way and goes.
func serveControl(a *agent.Agent, path string, log *slog.Logger) (stop func(), err error) {
	if old, err := os.Lstat(path); err == nil && old.Mode().Type() == os.ModeSocket {
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control.unix: %w", err)
		}
	}
	before := syscall.Umask(0o177) // no moment at which others could open it
	l, err := net.Listen("unix", path)
	syscall.Umask(before)
	if err != nil {
		return nil, fmt.Errorf("control.unix: %w", err)
	}
	s := control.NewServer(a, rand.Text())
	go func() {
		if err := s.Serve(l); err != nil {
			log.Error("the control interface ends", "error", err)
		}
	}()
	log.Info("control interface", "unix", path)
	return func() { s.Close() }, nil
}
