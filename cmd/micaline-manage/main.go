// Command micaline-manage is the manager of many instances. `micaline manage` runs it.
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
		Short: "Manage many instances: bring documents to them in waves, and keep them as wanted",
		Long: "Reads its file, asks the instances that it names and those that announce themselves what they show, and carries out the\n" +
			"orders that `micaline ctl` gives. What it knows is in its journal: it may be killed at any time, and goes on.",
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
		var ended *exit.Error
		if errors.As(err, &ended) {
			code = ended.Code
		}
		os.Exit(code)
	}
}

func run(ctx context.Context, path string, log *slog.Logger) error {
	s, err := operators.LoadManager(path)
	if err != nil {
		return &exit.Error{Code: 2, Err: err}
	}
	f := &inventory.File{}
	if s.Fleet != "" {
		if f, err = inventory.Load(s.Fleet); err != nil {
			return &exit.Error{Code: 2, Err: err}
		}
	}
	d, err := api.NewDialer(f.Access)
	if err != nil {
		return &exit.Error{Code: 2, Err: fmt.Errorf("%s: access.%w", s.Fleet, err)}
	}
	j, err := disk.Open(s.Journal, slices.Concat(manage.Buckets, group.Buckets)...)
	if err != nil {
		return err
	}
	defer j.Close()
	c := &crew{
		log: log, path: path, settings: s, store: j,
		options: manage.Options{
			Store: j, Instances: f.Instance, Log: log,
			Client:      func(a api.Address) manage.InstanceClient { return control.NewClient(d.At(a)) },
			FreshClient: func(a api.Address) manage.InstanceClient { return control.NewClient(d.Fresh(a)) },
		},
	}
	if s.Group.Name == "" {
		return c.alone(ctx)
	}
	return c.together(ctx)
}
