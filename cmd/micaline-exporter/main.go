// Command micaline-exporter is the exporter of the mesh's metrics, beside the daemons: it
// asks the core machines that it is told of, and all agents that these know, and serves what they
// say at /metrics for Prometheus.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"example.org/micaline/internal/mesh/alerting"
	"example.org/micaline/internal/mesh/exporter"
	"example.org/micaline/internal/mesh/meshclient"
	"example.org/micaline/internal/mesh/meshmetrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/integrii/flaggy"
	"github.com/samber/oops"
)

//go:generate sh -c "go run . rules > ../../deploy/alerts.yaml"

func main() {
	listen, cores, timeout := "127.0.0.1:9469", "", 8*time.Second
	flaggy.SetName("exporter")
	flaggy.SetDescription("exporter of the mesh's metrics")
	flaggy.String(&cores, "c", "core", "control addresses of core machines, host:port,...")
	flaggy.String(&listen, "l", "listen", "address to serve /metrics at")
	flaggy.Duration(&timeout, "t", "timeout", "for one scrape; less than Prometheus' own")
	rules := flaggy.NewSubcommand("rules")
	rules.Description = "print the rules for alerts in Prometheus' format"
	metrics := flaggy.NewSubcommand("metrics")
	metrics.Description = "print the table of metrics"
	flaggy.AttachSubcommand(rules, 1)
	flaggy.AttachSubcommand(metrics, 1)
	flaggy.Parse()
	switch {
	case rules.Used:
		fmt.Print(alerting.YAML())
		return
	case metrics.Used:
		fmt.Print(meshmetrics.Table())
		return
	}
	list, err := meshclient.Addresses(cores)
	if err != nil {
		fmt.Fprintln(os.Stderr, "exporter:", err)
		os.Exit(2)
	}
	if err := serve(listen, &exporter.Exporter{Mesh: meshclient.New(list), Timeout: timeout}); err != nil {
		fmt.Fprintln(os.Stderr, "exporter:", err)
		os.Exit(1)
	}
}

// serve serves until the process is told to end.
func serve(listen string, e *exporter.Exporter) error {
	l := &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.InfoLevel}
	server := &http.Server{Addr: listen, Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { server.Close() })
	l.WithField("listen", listen).WithField("cores", e.Mesh.Cores).Info("exporter started")
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return oops.In("listen").Wrap(err)
	}
	return nil
}
