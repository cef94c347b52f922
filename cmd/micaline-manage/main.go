// Command micaline-manage runs the manager of a fleet of instances. `micaline manage` starts it.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/exit"
	"example.org/micaline/internal/group"
	"example.org/micaline/internal/inventory"
	"example.org/micaline/internal/journal/disk"
	"example.org/micaline/internal/manage"
	"example.org/micaline/internal/operators"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var path string
	root := &cobra.Command{
		Use:   "micaline-manage",
		Short: "Manage many instances: roll documents out to them in waves, and keep them as wanted",
		Long: "Reads its file, polls the instances that it names and those that announce themselves, and carries out the\n" +
			"orders that `micaline ctl` gives. Its state is in its journal: it may be killed at any time, and continues after a restart.",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), path, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	root.Flags().StringVarP(&path, "file", "f", "deploy/manage.toml", "the manager's file")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exit.Error{Code: 2, Err: err} })
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "micaline-manage:", err)
		code := 1
		var exitErr *exit.Error
		if errors.As(err, &exitErr) {
			code = exitErr.Code
		}
		os.Exit(code)
	}
}

func run(ctx context.Context, path string, log *slog.Logger) error {
	settings, err := operators.LoadManager(path)
	if err != nil {
		return &exit.Error{Code: 2, Err: err}
	}
	fleet := &inventory.File{}
	if settings.Fleet != "" {
		if fleet, err = inventory.Load(settings.Fleet); err != nil {
			return &exit.Error{Code: 2, Err: err}
		}
	}
	dialer, err := api.NewDialer(fleet.Access)
	if err != nil {
		return &exit.Error{Code: 2, Err: fmt.Errorf("%s: access.%w", settings.Fleet, err)}
	}
	store, err := disk.Open(settings.Journal, slices.Concat(manage.Buckets, group.Buckets)...)
	if err != nil {
		return err
	}
	defer store.Close()
	process := &managerProcess{
		log: log, path: path, settings: settings, store: store,
		options: manage.Options{
			Store: store, Instances: fleet.Instance, Log: log,
			Client:      func(a api.Address) manage.InstanceClient { return control.NewClient(dialer.At(a)) },
			FreshClient: func(a api.Address) manage.InstanceClient { return control.NewClient(dialer.Fresh(a)) },
		},
	}
	if settings.Group.Name == "" {
		return process.runStandalone(ctx)
	}
	return process.runInGroup(ctx)
}
