// Command scaletest is the scale run: hollow agents against real core processes on this machine. See package scaletest.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"example.org/micaline/internal/mesh/scaletest"
	"github.com/integrii/flaggy"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "scaletest:", err)
		os.Exit(1)
	}
}

func run() error {
	o := scaletest.Options{Program: "target/micaline-mesh", Agents: 760, Real: 2, Services: 150, Routes: 1200}
	seconds, changes, perMinute, failures, away := 30, 5, 6.0, "", 0
	flaggy.SetName("scaletest")
	flaggy.SetDescription("the scale run: hollow agents against real core processes on loopback addresses")
	flaggy.String(&o.Program, "", "program", "path of the daemon")
	flaggy.Int(&o.Agents, "", "agents", "hollow agents, up to 4000")
	flaggy.Int(&o.Real, "", "real", "real agents beside them")
	flaggy.Int(&o.Services, "", "services", "services in the configuration")
	flaggy.Int(&o.Routes, "", "routes", "routes in the configuration, at least one a service")
	flaggy.Int(&seconds, "", "seconds", "how long nothing happens, for what rest costs")
	flaggy.Int(&changes, "", "changes", "changes of the configuration")
	flaggy.Float64(&perMinute, "", "changes-per-minute", "how often it changes")
	flaggy.String(&failures, "", "failures", "what fails after that, joined by commas: "+strings.Join(scaletest.Failures, ","))
	flaggy.Int(&away, "", "away", "seconds that a core process is killed or stopped, at least")
	flaggy.Bool(&o.Keep, "", "keep", "keep the folder with settings, logs and data")
	flaggy.Parse()
	if o.Agents < 1 || o.Agents > 4000 || o.Services < 1 || perMinute <= 0 || o.Real > 50 || o.Real < 0 {
		return fmt.Errorf("out of range: 1 to 4000 agents, up to 50 real ones, services and changes a minute above 0")
	}
	o.Away = time.Duration(away) * time.Second
	o.Rest, o.Changes, o.Every = time.Duration(seconds)*time.Second, changes, time.Duration(60/perMinute*float64(time.Second))
	if failures != "" {
		o.Failures = strings.Split(failures, ",")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return scaletest.Run(ctx, o, os.Stdout)
}
