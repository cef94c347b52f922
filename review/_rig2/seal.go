package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["5"] = playSeal }

// playSeal has a backend answer a share of the requests that it ran with a failure of its own, 503
// without Not-Run. A client must not get the backend's seal under another status.
func playSeal(folder string) (*rig, error) {
	g, err := newRig(folder, 3, []string{"roteiro", "fechamento", "fechamento"})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	given := map[string]int{} // status that a backend gave, by its seal
	runs := 0
	run := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		status, seal := http.StatusOK, newSeal()
		mu.Lock()
		if runs++; g.trouble && runs%10 == 0 {
			status = http.StatusServiceUnavailable
		}
		given[seal] = status
		mu.Unlock()
		g.rec.write("backend ran %s %s: answers %d, seal %s, no Not-Run", r.Header.Get("Try-Id"), r.RequestURI, status, seal)
		w.Header().Set("Server-Seal", seal)
		w.WriteHeader(status)
		fmt.Fprintf(w, "the answer to %s", r.Header.Get("Try-Id"))
	}
	for _, m := range g.agents {
		g.newBackend(m, 18, run)
	}
	if err := g.start([]map[string]any{
		route("r-busca", "/busca/", "safe", "roteiro", 7), route("r-fecha", "/fecha/", "unsafe", "fechamento", 7),
		service("roteiro", 7), service("fechamento", 7), limits(7)}); err != nil {
		return g, err
	}
	client := newClient()
	answered := 0
	for n := range 200 {
		m, try := g.agents[n%len(g.agents)], newTry()
		resp, body, err := m.request(context.Background(), client, http.MethodPost, "/fecha/1", try, []byte("handover"), 5*time.Second)
		if err != nil {
			g.rec.write("client %s at %s: no answer: %v", try, m.name, err)
			continue
		}
		answered++
		seal := resp.Header.Get("Server-Seal")
		g.rec.write("client %s at %s: %d, seal %q, body %q", try, m.name, resp.StatusCode, seal, strings.TrimSpace(string(body)))
		mu.Lock()
		status, known := given[seal]
		mu.Unlock()
		if seal != "" && resp.StatusCode >= 300 && (!known || status != resp.StatusCode) {
			g.violation("MIXED: try %s got the failure %d with the seal %s, under which the backend gave %d", try, resp.StatusCode, seal, status)
		}
	}
	if answered < 100 {
		return g, fmt.Errorf("only %d of 200 requests were answered", answered)
	}
	return g, nil
}
