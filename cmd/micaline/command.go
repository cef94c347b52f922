package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/ctl"
	"example.org/micaline/internal/exit"
	"example.org/micaline/internal/try"
)

// command runs the command line and returns the exit code.
func command(args []string) int {
	root := &cobra.Command{
		Use:   "micaline",
		Short: "Spread an application's requests over backends of unequal speed",
		Long: "Without an argument micaline is the agent: it reads the configuration that GW_CONFIG names and serves until\n" +
			"SIGTERM. The commands below are the tools around it.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(try.Command(), ctl.Command(), manageCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version()) },
	})
	root.SetArgs(args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	var ended *exit.Error
	switch {
	case err == nil:
		return 0
	case !errors.As(err, &ended): // cobra's own: an unknown command or argument
		ended = &exit.Error{Code: try.ExitUsage, Err: err}
	}
	if ended.Err != nil {
		fmt.Fprintln(os.Stderr, "micaline:", ended.Err)
	}
	return ended.Code
}

// manageCommand hands over to micaline-manage, which stands beside this program. It is one of its own so that agents do not
// carry its libraries.
func manageCommand() *cobra.Command {
	return &cobra.Command{
		Use: "manage", Short: "Run the manager of many instances (micaline-manage)", DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return &exit.Error{Code: 1, Err: err}
			}
			path := filepath.Join(filepath.Dir(self), "micaline-manage")
			err = syscall.Exec(path, append([]string{path}, args...), os.Environ())
			return &exit.Error{Code: 1, Err: fmt.Errorf("%s: %w", path, err)}
		},
	}
}

// version is the module's version and the commit that it was built from, as far as the build knows them.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "micaline, version unknown"
	}
	text := "micaline " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}
