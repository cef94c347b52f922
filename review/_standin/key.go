package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["key"] = revokedKey }

func customer(name, version string, keys ...string) string {
	list := ""
	for i, k := range keys {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf("%q", k)
	}
	return fmt.Sprintf(`{"item_kind":"customers","metadata":{"name":%q,"version":%q},"body":{"api_keys":[%s]}}`, name, version, list)
}

// usePlatform answers the usage reports, as the platform does that is well.
func usePlatform(m *mesh) (net.Listener, error) {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s.200:%d", m.net, platformPort))
	if err != nil {
		return nil, err
	}
	go http.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) }))
	return l, nil
}

// withKey sends one safe request of a client with a tenant's key.
func (m *mesh) withKey(at *machine, try, key string) (status int) {
	r, _ := http.NewRequest(http.MethodGet, "http://"+at.at(outboundPort)+"/x/1", nil)
	r.Host = "host.example"
	r.Header.Set("Try-Id", try)
	r.Header.Set("Time-Left", "5000")
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := plain.Do(r)
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status = resp.StatusCode
	}
	m.rec.note("client: %s with %s at %s: %d", try, key, at.name, status)
	return status
}

// revokedKey has a change that gives a tenant the key of another one wait in a core machine that
// stands still and be refused elsewhere, has the key taken away, and looks whether it opens again
// once the machine wakes.
func revokedKey(trouble bool) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return cannot
	}
	defer os.RemoveAll(dir)
	rec, err := newRecorder(os.Getenv("RECORD"))
	if err != nil {
		return cannot
	}
	m, err := newMesh(os.Getenv("PROGRAM"), dir, rec, "finder")
	if err != nil {
		return cannot
	}
	defer m.close()
	m.duties = true
	platform, err := usePlatform(m)
	if err != nil {
		return cannot
	}
	defer platform.Close()
	if m.start() != nil {
		return cannot
	}
	b, err := startBackend(m.agents[0], 6, 20*time.Millisecond)
	if err != nil {
		return cannot
	}
	defer b.close()
	items := []string{service("finder", "00000007"), route("r-1", "00000007", "host.example", "/x/", "safe", "finder", "6000ms", "1000ms")}
	for k := 1; k <= 3; k++ {
		items = append(items, customer(fmt.Sprintf("acme-%d", k), "00000007", fmt.Sprintf("key-%d", k)), customer(fmt.Sprintf("bolt-%d", k), "00000007", fmt.Sprintf("other-%d", k)))
	}
	if s, _ := m.order(0, 15*time.Second, http.MethodPatch, "/api/config", add(items...)); s != 200 {
		return cannot
	}
	if !await(15*time.Second, func() bool { return m.agents[0].ready() && b.acked.Load() }) {
		return cannot
	}
	time.Sleep(6 * time.Second) // all have been in touch for longer than in_touch
	breaches := 0
	for k := 1; k <= 3; k++ {
		core, key := m.cores[k-1], fmt.Sprintf("key-%d", k)
		if m.withKey(m.agents[0], fmt.Sprintf("before-%d", k), key) != 200 {
			return cannot
		}
		frozen := time.Now()
		if trouble {
			core.signal(syscall.SIGSTOP)
		}
		s, a := m.order(k-1, 10*time.Second, http.MethodPatch, "/api/config", add(customer(fmt.Sprintf("bolt-%d", k), "00000009", fmt.Sprintf("other-%d", k), key)))
		rec.note("operator 1: gives %s to bolt-%d: %d %s", key, k, s, a)
		if s != 400 {
			return cannot
		}
		s, a = m.order(k, 10*time.Second, http.MethodPatch, "/api/config", add(customer(fmt.Sprintf("acme-%d", k), "0000000a", "fresh-"+key)))
		rec.note("operator 2: takes %s away from acme-%d: %d %s", key, k, s, a)
		if s != 200 {
			return cannot
		}
		revoked := time.Now()
		time.Sleep(time.Until(frozen.Add(freeze)))
		if trouble {
			core.signal(syscall.SIGCONT)
		}
		time.Sleep(time.Until(revoked.Add(11 * time.Second))) // more than in_touch, apply_within and revoke
		if s := m.withKey(m.agents[0], fmt.Sprintf("after-%d", k), key); s != 401 {
			breaches++
			rec.note("CONFIG: %s was taken away %v ago, and its move was refused with 400; a request with it got %d", key, time.Since(revoked).Round(time.Millisecond), s)
		}
	}
	fmt.Printf("%d of 3 revoked keys open again\n", breaches)
	if breaches > 0 {
		return broken
	}
	return held
}
