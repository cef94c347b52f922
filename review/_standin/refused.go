package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["refused"] = refusedComesTrue }

// versionOf reads an item's version back from a core machine; "" if it does not stand.
func (m *mesh) versionOf(core int, kind, name string) (version, service string, ok bool) {
	status, text := m.order(core, 6*time.Second, http.MethodGet, "/api/config", "")
	if status != 200 {
		return "", "", false
	}
	var read struct {
		Items []struct {
			Kind     string `json:"item_kind"`
			Metadata struct{ Name, Version string }
			Body     struct{ Service string }
		}
	}
	if json.Unmarshal([]byte(text), &read) != nil {
		return "", "", false
	}
	for _, it := range read.Items {
		if it.Kind == kind && it.Metadata.Name == name {
			return it.Metadata.Version, it.Body.Service, true
		}
	}
	return "", "", true
}

// get sends one safe request of a client to an agent.
func (m *mesh) get(at *machine, try, host, path string) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.at(outboundPort)+path, nil)
	r.Host = host
	r.Header.Set("Try-Id", try)
	r.Header.Set("Time-Left", "5000")
	resp, err := plain.Do(r)
	if err != nil {
		m.rec.note("client: %s %s%s at %s: %v", try, host, path, at.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	var text [256]byte
	n, _ := resp.Body.Read(text[:])
	m.rec.note("client: %s %s%s at %s: %d %q", try, host, path, at.name, resp.StatusCode, text[:n])
	return resp.StatusCode, string(text[:n])
}

// refusedComesTrue has an operator's call wait in a core machine that stands still, be refused by
// another one, and looks whether it comes true once the first wakes.
func refusedComesTrue(trouble bool) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return cannot
	}
	defer os.RemoveAll(dir)
	rec, err := newRecorder(os.Getenv("RECORD"))
	if err != nil {
		return cannot
	}
	m, err := newMesh(os.Getenv("PROGRAM"), dir, rec, "finder", "new-1", "new-2", "new-3")
	if err != nil {
		return cannot
	}
	defer m.close()
	if m.start() != nil {
		return cannot
	}
	var backends []*backend
	for _, a := range m.agents {
		b, err := startBackend(a, 6, 20*time.Millisecond)
		if err != nil {
			return cannot
		}
		defer b.close()
		backends = append(backends, b)
	}
	items := []string{service("finder", "00000007")}
	for k := 1; k <= 3; k++ {
		items = append(items, route(fmt.Sprintf("r-%d", k), "00000007", fmt.Sprintf("host%d.example", k), "/x/", "safe", "finder", "5000ms", "800ms"))
	}
	if s, a := m.order(0, 15*time.Second, http.MethodPatch, "/api/config", add(items...)); s != 200 {
		fmt.Println("the first configuration:", s, a)
		return cannot
	}
	if !await(15*time.Second, func() bool {
		for i, a := range m.agents {
			if !a.ready() || !backends[i].acked.Load() {
				return false
			}
		}
		return true
	}) {
		fmt.Println("the agents were not ready")
		return cannot
	}
	time.Sleep(4 * time.Second) // all have been in touch for longer than in_touch
	breaches := 0
	for k := 1; k <= 3; k++ {
		core, name, host, next := m.cores[k-1], fmt.Sprintf("r-%d", k), fmt.Sprintf("host%d.example", k), fmt.Sprintf("new-%d", k)
		if s, _ := m.get(m.agents[0], fmt.Sprintf("before-%d", k), host, "/x/1"); s != 200 {
			fmt.Println("a request was not served before the trouble:", s)
			return cannot
		}
		frozen := time.Now()
		if trouble {
			core.signal(syscall.SIGSTOP)
		}
		s, a := m.order(k-1, 10*time.Second, http.MethodPatch, "/api/config", add(route(name, "00000009", host, "/x/", "safe", next, "5000ms", "800ms")))
		rec.note("operator 1: the change of %s to %s: %d %s", name, next, s, a)
		if s != 400 {
			fmt.Println("the invalid change was not refused:", s, a)
			return cannot
		}
		s, a = m.order(k, 10*time.Second, http.MethodPatch, "/api/config", add(service(next, "00000008")))
		rec.note("operator 2: adds the service %s: %d %s", next, s, a)
		if s != 200 {
			return cannot
		}
		time.Sleep(time.Until(frozen.Add(freeze)))
		if trouble {
			core.signal(syscall.SIGCONT)
		}
		time.Sleep(6 * time.Second) // more than in_touch and apply_within
		version, to, ok := m.versionOf(k, "routes", name)
		if !ok {
			return cannot
		}
		s, text := m.get(m.agents[0], fmt.Sprintf("after-%d", k), host, "/x/2")
		rec.note("read back: %s stands at version %s, to %s", name, version, to)
		if version == "00000009" {
			breaches++
			rec.note("CONFIG: version 00000009 of %s, which was refused with 400, is in force; the client's request got %d %q", name, s, text)
		}
	}
	fmt.Printf("%d of 3 refused changes are in force\n", breaches)
	if breaches > 0 {
		return broken
	}
	return held
}
