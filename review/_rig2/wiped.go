package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["4"] = playWiped }

// playWiped has a core machine come back with an empty disk while the core is cut in two for a few
// seconds. Long after all is well again, as many other core machines lose their disks as may be lost
// at once, and come back. The configuration must still be read and changed.
func playWiped(folder string) (*rig, error) {
	g, err := newRig(folder, 5, []string{"roteiro", "fechamento", "arquivo-fotos"})
	if err != nil {
		return nil, err
	}
	if err := g.linkCores(); err != nil {
		return g, err
	}
	for _, m := range g.agents {
		g.newBackend(m, 18, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Server-Seal", newSeal())
			fmt.Fprintf(w, "the answer to %s", r.Header.Get("Try-Id"))
		})
	}
	if err := g.start([]map[string]any{
		route("r-busca", "/busca/", "safe", "roteiro", 7), route("r-fecha", "/fecha/", "unsafe", "fechamento", 7),
		route("r-foto", "/foto/", "upload", "arquivo-fotos", 7),
		service("roteiro", 7), service("fechamento", 7), service("arquivo-fotos", 7), limits(7)}); err != nil {
		return g, err
	}
	time.Sleep(8 * time.Second) // the core takes in all of its machines, and is settled
	leader := g.leader()
	if leader == nil {
		return g, fmt.Errorf("no core machine leads")
	}
	others := []*machine{}
	for _, m := range g.cores {
		if m != leader {
			others = append(others, m)
		}
	}
	wiped, rest := others[0], others[1:]
	g.rec.write("%s leads; %s is the one whose disk is lost", leader.name, wiped.name)
	if status, _ := g.orderUntilTaken(http.MethodPatch, "/api/config", patch([]map[string]any{route("r-um", "/um/", "safe", "roteiro", 8)}, nil), 10*time.Second); status != http.StatusOK {
		return g, fmt.Errorf("a change before the trouble was not taken: %d", status)
	}
	if g.trouble {
		if err := g.playLossAndCut(leader, wiped, rest); err != nil {
			return g, err
		}
	}
	time.Sleep(settleTime)
	for _, m := range g.cores {
		status, _ := call(g.operator, http.MethodGet, "http://"+m.at(controlPort)+"/api/config", nil)
		g.rec.write("%s after the trouble: read of the configuration at %s: %d", settleTime, m.name, status)
	}
	if err := g.playClosingFault(rest[len(rest)-g.tolerate:]); err != nil {
		return g, err
	}
	return g, g.judgeWiped()
}

// playLossAndCut is the disruption. The leader and the machine that comes back are on one side.
func (g *rig) playLossAndCut(leader, wiped *machine, rest []*machine) error {
	wiped.kill()
	os.RemoveAll(wiped.path("disk"))
	g.rec.write("%s is killed and its disk is lost", wiped.name)
	time.Sleep(time.Second)
	g.cutCore([]*machine{leader, wiped}, rest, true)
	g.rec.write("the core is cut in two: %s and %s from the others", leader.name, wiped.name)
	if err := wiped.run(); err != nil {
		return err
	}
	g.rec.write("%s starts again, with an empty disk", wiped.name)
	time.Sleep(cutLength)
	g.cutCore([]*machine{leader, wiped}, rest, false)
	g.rec.write("the core is joined again")
	return nil
}

const (
	cutLength  = 3500 * time.Millisecond
	settleTime = 15 * time.Second // far more than catch_up and in_touch
	recovery   = 15 * time.Second // bounds.recovery
	judgeTime  = 20 * time.Second
)

// playClosingFault has as many machines as may be lost at once lose their disks, right after a
// change was acknowledged. They are back at once.
func (g *rig) playClosingFault(down []*machine) error {
	status, _ := g.orderUntilTaken(http.MethodPatch, "/api/config", patch([]map[string]any{route("r-dois", "/dois/", "safe", "roteiro", 9)}, nil), 10*time.Second)
	if status != http.StatusOK {
		return fmt.Errorf("the change before the closing fault was not taken: %d", status)
	}
	for _, m := range down {
		m.process.Kill()
	}
	for _, m := range down {
		m.kill()
		os.RemoveAll(m.path("disk"))
		g.rec.write("%s is killed and its disk is lost", m.name)
	}
	time.Sleep(time.Second)
	for _, m := range down {
		if err := m.run(); err != nil {
			return err
		}
		g.rec.write("%s starts again, with an empty disk", m.name)
	}
	time.Sleep(recovery)
	for _, m := range g.cores {
		if m.process.Over() {
			return fmt.Errorf("%s has ended", m.name)
		}
	}
	g.rec.write("%s later: all core machines run and are connected", recovery)
	return nil
}

// judgeWiped reads the configuration and sends a change, at one core machine after the other, for 20 s.
func (g *rig) judgeWiped() error {
	change := patch([]map[string]any{route("r-tres", "/tres/", "safe", "roteiro", 10)}, nil)
	acknowledged, text := false, []byte(nil)
	for end := time.Now().Add(judgeTime); time.Now().Before(end) && !(acknowledged && text != nil); time.Sleep(300 * time.Millisecond) {
		for i := range g.cores {
			if text == nil {
				if status, answer := g.order(i, http.MethodGet, "/api/config", nil); status == http.StatusOK {
					text = answer
				}
			}
			if !acknowledged {
				status, _ := g.order(i, http.MethodPatch, "/api/config", change)
				acknowledged = status == http.StatusOK
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if resp, _, err := g.agents[0].request(ctx, newClient(), http.MethodGet, "/busca/1", newTry(), nil, 4*time.Second); err == nil {
		g.rec.write("a client's request is answered: %d", resp.StatusCode)
	}
	switch {
	case text == nil:
		g.violation("CONFIG: no answer comes when the configuration is read back, for %s from %s after the closing fault, though all core machines run", judgeTime, recovery)
	case !bytes.Contains(text, []byte("/dois/")):
		g.violation("LOST: the change that was acknowledged before the closing fault is not there")
	}
	if !acknowledged {
		g.violation("Acks: a proper change has no acknowledgement after %s (ack_within 5 s), with the core settled", judgeTime)
	}
	return nil
}

// leader is the core machine whose log says last that it leads, nil if none does.
func (g *rig) leader() *machine {
	for _, m := range g.cores {
		text, err := os.ReadFile(m.path("log"))
		if err != nil || m.process.Over() {
			continue
		}
		i := bytes.LastIndex(text, []byte(" role="))
		if i >= 0 && bytes.HasPrefix(text[i:], []byte(" role=leader")) {
			return m
		}
	}
	return nil
}
