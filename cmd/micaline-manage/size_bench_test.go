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

// manyInstances starts a fleet and writes its file.
func manyInstances(b *testing.B, n int) (*site, string) {
	b.Helper()
	dir, err := os.MkdirTemp("", "m")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { os.RemoveAll(dir) })
	s := &site{t: b, dir: dir, sock: filepath.Join(dir, "m.sock")}
	if s.ca, err = authority.New(dir); err != nil {
		b.Fatal(err)
	}
	var fleet strings.Builder
	fmt.Fprintf(&fleet, "[access]\nca = %q\ntoken_file = %q\n", s.ca.CA, s.write("token", "secret\n"))
	for i := range n {
		name := fmt.Sprintf("i%04d", i)
		fmt.Fprintf(&fleet, "[[instance]]\nname = %q\naddr = %q\n", name, s.serve(name))
	}
	return s, s.write("fleet.toml", "%s", fleet.String())
}

// memory is what a process holds, in MB, and the CPU that it has used.
func memory(b *testing.B, pid int) (mb float64, cpu time.Duration) {
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

// BenchmarkRollout brings a document to fleets of several sizes over TLS, without time to watch: by a manager in waves; by
// the same calls to all at once, as `ctl set --fleet` makes them; and one after the other, as a loop in a shell would.
func BenchmarkRollout(b *testing.B) {
	for _, n := range []int{50, 500, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, fleetFile := manyInstances(b, n)
			manager := s.start(s.write("manage.toml", "journal = %q\nfleet = %q\n[interface]\nunix = %q\n", filepath.Join(s.dir, "journal"), fleetFile, s.sock))
			d, err := api.NewDialer(api.Credentials{})
			if err != nil {
				b.Fatal(err)
			}
			m := manage.NewClient(d.At(api.Address{Name: "manager", Unix: s.sock}))
			began := time.Now()
			for {
				if st, err := m.Status(b.Context()); err == nil && st.Reachable == n && st.Fence != 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			seen := time.Since(began)
			_, cpu := memory(b, manager.Process.Pid)
			time.Sleep(10 * time.Second)
			idle, later := memory(b, manager.Process.Pid)
			round := 0
			for b.Loop() {
				round++
				began := time.Now()
				doc, err := document.Parse(fmt.Appendf(nil, `{"decisions":{"classes":{"close":{"worth":%d}}}}`, round))
				if err != nil {
					b.Fatal(err)
				}
				id := fmt.Sprintf("r%d", round)
				if _, err := m.StartRollout(b.Context(), id, &manage.Order{Document: doc, Limits: &manage.Limits{Canaries: 1, Growth: 3}}); err != nil {
					b.Fatal(err)
				}
				for {
					r, err := m.Report(b.Context(), id)
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
				after, _ := memory(b, manager.Process.Pid)
				b.ReportMetric(after, "MB-after")
			}
			b.ReportMetric(seen.Seconds(), "s-to-see-all")
			b.ReportMetric(idle, "MB-idle")
			b.ReportMetric((later-cpu).Seconds()/10, "cores-idle")
			manager.Process.Signal(syscall.SIGTERM)
			manager.Wait()
			for what, atOnce := range map[string]int{"s-at-once": 64, "s-one-by-one": 1} {
				b.ReportMetric(setAll(b, fleetFile, atOnce).Seconds(), what)
			}
		})
	}
}

// setAll puts a document in force on all instances of a fleet, so many at once.
func setAll(b *testing.B, fleetFile string, atOnce int) time.Duration {
	b.Helper()
	f, err := inventory.Load(fleetFile)
	if err != nil {
		b.Fatal(err)
	}
	d, err := api.NewDialer(f.Access)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	began := time.Now()
	room := make(chan struct{}, atOnce)
	var asking sync.WaitGroup
	var failed atomic.Int64
	for _, in := range f.Instance {
		room <- struct{}{}
		asking.Go(func() {
			defer func() { <-room }()
			c := control.NewClient(d.At(in.Address()))
			id, err := c.Identity(b.Context())
			if err == nil {
				p := &control.Proposal{Base: id.Revision, Fence: id.Fence, Document: &document.Document{}}
				change := fmt.Sprint("set", atOnce)
				if _, err = c.Prepare(b.Context(), change, p); err == nil {
					_, err = c.Commit(b.Context(), change, p.Fence)
				}
			}
			if err != nil {
				failed.Add(1)
			}
		})
	}
	asking.Wait()
	if n := failed.Load(); n > 0 {
		b.Fatalf("%d failed", n)
	}
	return time.Since(began)
}

// BenchmarkWatch watches 500 instances over TLS: the time until all have shown themselves, and until a change on each was
// seen; then what an idle watch costs, watchers and watched together.
func BenchmarkWatch(b *testing.B) {
	const n = 500
	_, fleetFile := manyInstances(b, n)
	f, err := inventory.Load(fleetFile)
	if err != nil {
		b.Fatal(err)
	}
	d, err := api.NewDialer(f.Access)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		ctx, stop := context.WithCancel(b.Context())
		var watching sync.WaitGroup
		events := make(chan struct{}, 10*n)
		began := time.Now()
		for _, in := range f.Instance {
			watching.Go(func() {
				control.NewClient(d.At(in.Address())).Watch(ctx, func(*control.Event) error { events <- struct{}{}; return nil })
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
		for _, in := range f.Instance {
			c := control.NewClient(d.At(in.Address()))
			if _, err := c.Prepare(ctx, "x", &control.Proposal{Document: &document.Document{}}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(wait().Seconds(), "s-change")
		_, before := memory(b, os.Getpid())
		time.Sleep(8 * time.Second)
		_, after := memory(b, os.Getpid())
		b.ReportMetric((after-before).Seconds()/8, "cores-idle")
		stop()
		watching.Wait()
	}
}
