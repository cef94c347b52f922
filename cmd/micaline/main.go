// Command micaline is the agent that spreads an application's requests over its backends, and the tools around it.
package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"

	"example.org/micaline/internal/admin"
	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/duty"
	"example.org/micaline/internal/handover"
	"example.org/micaline/internal/manage"
	"example.org/micaline/internal/operators"
	"example.org/micaline/internal/tcp"
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
	re := &reloader{path: path, to: make(chan *agent.Config)}
	go func() {
		for range hangups {
			if err := re.reload(ctx); err != nil {
				log.Error("not reloaded, the old configuration stays", "error", err)
			}
		}
	}()
	ops, err := operators.Load(operators.File)
	if err != nil {
		return err
	}
	cfg.Levels, cfg.Sites = ops.Levels, ops.Sites
	if addr := os.Getenv("GW_ADMIN"); addr != "" {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("GW_ADMIN: %w", err)
		}
		cfg.Admin = addr
	}
	listener, err := listen(cfg, os.Getenv("GW_INHERITED_FD"))
	if err != nil {
		return err
	}
	a, err := agent.New(cfg, listener, agent.TCP{}, log)
	if err != nil {
		return err
	}
	if ops.Control.On() {
		if err := re.note(); err != nil {
			return err
		}
		stop, err := serveControl(ctx, &instance{a, re}, &ops.Control, log)
		if err != nil {
			return fmt.Errorf("%s: control.%w", operators.File, err)
		}
		defer stop()
	}
	if ops.Duties.On() {
		end, err := goForDuties(ctx, a, &ops.Duties, log)
		if err != nil {
			return fmt.Errorf("%s: duties.access.%w", operators.File, err)
		}
		defer end()
	}
	if cfg.Admin != "" {
		calls, err := net.Listen("tcp", cfg.Admin)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		s := admin.NewServer(a, log)
		defer s.Close()
		go func() {
			if err := s.Serve(calls); !errors.Is(err, http.ErrServerClosed) {
				log.Error("operators' calls end", "error", err)
			}
		}()
	}
	return a.Run(ctx, re.to)
}

// goForDuties has the agent hold duties for others until the context ends, or the function that it returns is called, which waits for that.
func goForDuties(ctx context.Context, a *agent.Agent, d *operators.Duties, log *slog.Logger) (end func(), err error) {
	dialer, err := api.NewDialer(d.Access)
	if err != nil {
		return nil, err
	}
	link := &duty.LeaseClient{Name: a.Name(), Duties: a.SharedDuties(), Agent: a, Log: log}
	for i := range d.Member {
		link.Members = append(link.Members, duty.NewClient(dialer.At(d.Member[i].Address())))
	}
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	if len(link.Duties) > 0 {
		running.Go(func() { link.Run(ctx) })
	}
	return func() {
		stop()
		running.Wait()
		dialer.Close()
	}, nil
}

// listen opens the clients' socket, or takes the one that the platform holds for all processes of the agent.
func listen(cfg *agent.Config, inherited string) (net.Listener, error) {
	if inherited == "" {
		l, err := net.Listen("tcp", cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("listening: %w", err)
		}
		return l, nil
	}
	fd, err := strconv.ParseUint(inherited, 10, 16)
	if err != nil || fd <= 2 {
		return nil, fmt.Errorf("GW_INHERITED_FD: %q is no descriptor of a listener", inherited)
	}
	file := os.NewFile(uintptr(fd), "inherited")
	defer file.Close()
	l, err := tcp.Inherit(file)
	if err != nil {
		return nil, fmt.Errorf("GW_INHERITED_FD: %w", err)
	}
	cfg.SharedSocket = true
	if dir := os.Getenv("TMPDIR"); dir != "" {
		cfg.Handover = handover.Unix(dir)
	}
	return l, nil
}

// reloader reads the configuration again.
type reloader struct {
	path string
	to   chan *agent.Config
	hash atomic.Pointer[string] // of what was read last
}

func (r *reloader) reload(ctx context.Context) error {
	next, err := agent.LoadConfig(r.path)
	if err != nil {
		return err
	}
	select {
	case r.to <- next:
	case <-ctx.Done():
		return ctx.Err()
	}
	return r.note()
}

// note remembers which configuration this is.
func (r *reloader) note() error {
	text, err := os.ReadFile(r.path)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(text)
	hash := hex.EncodeToString(sum[:8])
	r.hash.Store(&hash)
	return nil
}

// instance is what the control interface shows and changes.
type instance struct {
	*agent.Agent
	reloader *reloader
}

func (i *instance) Reload(ctx context.Context) error { return i.reloader.reload(ctx) }

// serveControl serves the control interface, and tells a manager of it.
func serveControl(ctx context.Context, i *instance, c *operators.Control, log *slog.Logger) (stop func(), err error) {
	listeners, err := c.Open()
	if err != nil {
		return nil, err
	}
	s := control.NewServer(i, control.Options{
		Epoch: rand.Text(), Labels: c.Labels, Access: c.Door, Configuration: func() string { return *i.reloader.hash.Load() },
	})
	for _, l := range listeners {
		go func() {
			if err := s.Serve(l); err != nil {
				log.Error("the control interface ends", "error", err)
			}
		}()
		log.Info("control interface", "at", l.Addr().String())
	}
	if c.Announce.Manager != "" {
		d, err := api.NewDialer(c.Announce.Credentials)
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("announce.%w", err)
		}
		m := manage.NewClient(d.At(api.Address{Name: c.Announce.Name, Addr: c.Announce.Manager}))
		go m.KeepAnnouncing(ctx, i.Name(), &manage.Announcement{Addr: c.Announce.Addr, Labels: c.Labels}, log)
	}
	return func() { s.Close() }, nil
}
