package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/inventory"
	"example.org/micaline/internal/manage"
	"example.org/micaline/internal/standin/authority"
)

// startInstances starts n instances and writes a fleet file for them.
func startInstances(b *testing.B, n int) (*testEnvironment, string) {
	b.Helper()
	dir, err := os.MkdirTemp("", "m")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { os.RemoveAll(dir) })
	s := &testEnvironment{t: b, dir: dir, managerSocket: filepath.Join(dir, "m.sock")}
	if s.ca, err = authority.New(dir); err != nil {
		b.Fatal(err)
	}
	var fleet strings.Builder
	fmt.Fprintf(&fleet, "[access]\nca = %q\ntoken_file = %q\n", s.ca.CA, s.writeFile("token", "secret\n"))
	for i := range n {
		name := fmt.Sprintf("i%04d", i)
		fmt.Fprintf(&fleet, "[[instance]]\nname = %q\naddr = %q\n", name, s.startInstance(name))
	}
	return s, s.writeFile("fleet.toml", "%s", fleet.String())
}

// processUsage returns the resident memory of a process in MB and the CPU time that it has used.
// The kernel counts CPU time in ticks of 10 ms.
func processUsage(b *testing.B, pid int) (mb float64, cpu time.Duration) {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range bytes.Lines(text) {
		var kb float64
		if _, err := fmt.Sscanf(string(line), "VmRSS: %f", &kb); err == nil {
			mb = kb / 1024
		}
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var user, system int
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return mb, time.Duration(user+system) * 10 * time.Millisecond
}

// BenchmarkRollout measures how long it takes to apply a document to fleets of several sizes over
// TLS, without bake time. It compares a manager's rollout in waves with direct calls that run
// concurrently, as `ctl set --fleet` makes them, and with direct calls one after the other, as a
// shell loop makes them.
func BenchmarkRollout(b *testing.B) {
	for _, n := range []int{50, 500, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, fleetFile := startInstances(b, n)
			manager := s.startManager(s.writeFile("manage.toml", "journal = %q\nfleet = %q\n[interface]\nunix = %q\n", filepath.Join(s.dir, "journal"), fleetFile, s.managerSocket))
			dialer, err := api.NewDialer(api.Credentials{})
			if err != nil {
				b.Fatal(err)
			}
			client := manage.NewClient(dialer.At(api.Address{Name: "manager", Unix: s.managerSocket}))
			began := time.Now()
			for {
				if st, err := client.Status(b.Context()); err == nil && st.Reachable == n && st.Fence != 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			allReachable := time.Since(began)
			_, cpuBefore := processUsage(b, manager.Process.Pid)
			time.Sleep(10 * time.Second)
			idleMemory, cpuAfter := processUsage(b, manager.Process.Pid)
			round := 0
			for b.Loop() {
				round++
				began := time.Now()
				doc, err := document.Parse(fmt.Appendf(nil, `{"decisions":{"classes":{"close":{"worth":%d}}}}`, round))
				if err != nil {
					b.Fatal(err)
				}
				id := fmt.Sprintf("r%d", round)
				if _, err := client.StartRollout(b.Context(), id, &manage.Order{Document: doc, Limits: &manage.Limits{Canaries: 1, Growth: 3}}); err != nil {
					b.Fatal(err)
				}
				for {
					r, err := client.Report(b.Context(), id)
					if err != nil {
						b.Fatal(err)
					}
					if r.Stopped() {
						if r.Summary.Applied != n {
							b.Fatalf("%+v, %s", r.Summary, r.Reason)
						}
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				b.ReportMetric(time.Since(began).Seconds(), "s-manager")
				after, _ := processUsage(b, manager.Process.Pid)
				b.ReportMetric(after, "MB-after")
			}
			b.ReportMetric(allReachable.Seconds(), "s-to-see-all")
			b.ReportMetric(idleMemory, "MB-idle")
			b.ReportMetric((cpuAfter-cpuBefore).Seconds()/10, "cores-idle")
			manager.Process.Signal(syscall.SIGTERM)
			manager.Wait()
			for metric, concurrency := range map[string]int{"s-at-once": 64, "s-one-by-one": 1} {
				b.ReportMetric(applyToAll(b, fleetFile, concurrency).Seconds(), metric)
			}
		})
	}
}

// applyToAll applies a document to all instances of a fleet, with a limit on concurrent calls, and
// returns the time that it took.
func applyToAll(b *testing.B, fleetFile string, concurrency int) time.Duration {
	b.Helper()
	fleet, err := inventory.Load(fleetFile)
	if err != nil {
		b.Fatal(err)
	}
	dialer, err := api.NewDialer(fleet.Access)
	if err != nil {
		b.Fatal(err)
	}
	defer dialer.Close()
	began := time.Now()
	slots := make(chan struct{}, concurrency)
	var applying sync.WaitGroup
	var failed atomic.Int64
	for _, in := range fleet.Instance {
		slots <- struct{}{}
		applying.Go(func() {
			defer func() { <-slots }()
			c := control.NewClient(dialer.At(in.Address()))
			id, err := c.Identity(b.Context())
			if err == nil {
				p := &control.Proposal{Base: id.Revision, Fence: id.Fence, Document: &document.Document{}}
				change := fmt.Sprint("set", concurrency)
				if _, err = c.Prepare(b.Context(), change, p); err == nil {
					_, err = c.Commit(b.Context(), change, p.Fence)
				}
			}
			if err != nil {
				failed.Add(1)
			}
		})
	}
	applying.Wait()
	if n := failed.Load(); n > 0 {
		b.Fatalf("%d failed", n)
	}
	return time.Since(began)
}

// BenchmarkWatch watches 500 instances over TLS. It measures the time until each has sent its first
// event, the time until a change on each is reported, and the CPU use of idle watches on both sides
// together.
func BenchmarkWatch(b *testing.B) {
	const n = 500
	_, fleetFile := startInstances(b, n)
	fleet, err := inventory.Load(fleetFile)
	if err != nil {
		b.Fatal(err)
	}
	dialer, err := api.NewDialer(fleet.Access)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		ctx, stop := context.WithCancel(b.Context())
		var watching sync.WaitGroup
		events := make(chan struct{}, 10*n)
		began := time.Now()
		for _, in := range fleet.Instance {
			watching.Go(func() {
				control.NewClient(dialer.At(in.Address())).Watch(ctx, func(*control.Event) error { events <- struct{}{}; return nil })
			})
		}
		wait := func() time.Duration {
			for range n {
				<-events
			}
			return time.Since(began)
		}
		b.ReportMetric(wait().Seconds(), "s-first")
		began = time.Now()
		for _, in := range fleet.Instance {
			c := control.NewClient(dialer.At(in.Address()))
			if _, err := c.Prepare(ctx, "x", &control.Proposal{Document: &document.Document{}}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(wait().Seconds(), "s-change")
		_, before := processUsage(b, os.Getpid())
		time.Sleep(8 * time.Second)
		_, after := processUsage(b, os.Getpid())
		b.ReportMetric((after-before).Seconds()/8, "cores-idle")
		stop()
		watching.Wait()
	}
}
