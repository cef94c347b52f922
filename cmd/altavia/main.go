// Command altavia (Alta Via, the high trail from hut to hut) is the mesh's daemon: the agent beside each application backend, and the
// control plane on core machines.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"example.org/micaline/internal/averau"
	"example.org/micaline/internal/brogles"
	"example.org/micaline/internal/nuvolau"
	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/integrii/flaggy"
)

const settingsVariable = "MICALINE_CONFIG"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "altavia:", err)
		if errors.Is(err, errBroken) {
			os.Exit(3)
		}
		os.Exit(1)
	}
}

func run() error {
	flaggy.SetName("altavia")
	flaggy.SetDescription("the mesh's daemon: an agent beside each backend, and the control plane")
	flaggy.SetVersion(version())
	path := os.Getenv(settingsVariable)
	flaggy.String(&path, "s", "settings", "settings file; "+settingsVariable+" by default")
	agent := flaggy.NewSubcommand("agent")
	agent.Description = "run the agent beside a backend"
	core := flaggy.NewSubcommand("core")
	core.Description = "run the control plane on a core machine"
	check := flaggy.NewSubcommand("check")
	check.Description = "check a settings file and say what it makes of it"
	flaggy.AttachSubcommand(agent, 1)
	flaggy.AttachSubcommand(core, 1)
	flaggy.AttachSubcommand(check, 1)
	try := newTrial()
	flaggy.AttachSubcommand(try.command, 1)
	flaggy.Parse()
	if try.command.Used {
		return try.run()
	}
	if !agent.Used && !core.Used && !check.Used {
		flaggy.ShowHelpAndExit("name what to run")
	}
	set, err := nuvolau.Load(path)
	if err != nil {
		return err
	}
	if check.Used {
		fmt.Printf("%s: %s on %s in %s, seeds %v\n", path, set.Role, set.NodeName, set.Zone, set.Seeds)
		return nil
	}
	l := &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.InfoLevel}
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(set.MemoryMB) << 20 * 7 / 10)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if core.Used {
		return averau.New(set, l).Run(ctx)
	}
	a := brogles.New(path, set, l)
	go func() {
		for range hup {
			a.Reload()
		}
	}()
	return a.Run(ctx)
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
