package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/controlplane"
	"example.org/micaline/internal/mesh/sidecar"
	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// agent runs the agent until the process is told to end.
func (c *command) agent() error {
	return c.daemon(func(ctx context.Context, set *bootstrap.Settings, l log.Interface) error {
		a := sidecar.New(c.settings, set, l)
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
		go func() {
			for range hup {
				a.Reload()
			}
		}()
		return a.Run(ctx)
	})
}

// core runs the control plane likewise.
func (c *command) core() error {
	return c.daemon(func(ctx context.Context, set *bootstrap.Settings, l log.Interface) error {
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // it has nothing to read again, and must not end of it
		return controlplane.New(set, l).Run(ctx)
	})
}

func (c *command) daemon(run func(context.Context, *bootstrap.Settings, log.Interface) error) error {
	set, err := bootstrap.Load(c.settings)
	if err != nil {
		return err
	}
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(set.MemoryMB) << 20 * 7 / 10)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, set, &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.InfoLevel})
}
