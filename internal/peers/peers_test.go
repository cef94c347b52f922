package peers

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/micaline/policy"
)

const ms = time.Millisecond

func settings(rank, agents int) policy.Settings {
	return policy.Settings{
		Rank: rank, Agents: agents, MaxAttempts: 3, Tick: ms, ColdFrom: 0.3, WarmAfter: 9 * time.Second, OverloadFactor: 3,
		Cancel: true, Peers: true,
		Classes: []policy.Class{{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Effect: policy.SideEffect}},
	}
}

// agent drives one Sharer. Its numbers for the servers are its own, as a real agent's are.
type agent struct {
	*Sharer
	t    testing.TB
	now  time.Duration
	next policy.RequestID
	told [][]byte
}

func newAgent(t testing.TB, rank, agents, servers int) *agent {
	s := settings(rank, agents)
	b, err := policy.New(s, uint64(rank+1))
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{Sharer: New(b, s), t: t, now: time.Hour}
	var list []policy.ServerEntry
	for i := range servers {
		list = append(list, policy.ServerEntry{
			ID: policy.ServerID(1 + (i+rank)%servers), Key: uint32(1000 + i), State: policy.Ready, Weight: 1,
		})
	}
	a.on(policy.Event{Kind: policy.EventList, ListMode: policy.ListFull, Servers: list})
	return a
}

func (a *agent) on(ev policy.Event) (sent []policy.Action) {
	for _, act := range a.Handle(a.now, ev, nil) {
		switch act.Kind {
		case policy.ActBroadcast:
			if len(act.Data) > MostBytes {
				a.t.Fatalf("a message of %d bytes", len(act.Data))
			}
			a.told = append(a.told, bytes.Clone(act.Data))
		case policy.ActSend:
			sent = append(sent, act)
		}
	}
	return sent
}

// ask has the agent send so many requests, some of which may be refused.
func (a *agent) ask(n int) (sent []policy.Action) {
	for range n {
		a.next++
		sent = append(sent, a.on(policy.Event{Kind: policy.EventRequest, Request: a.next, TimeLeft: 3 * time.Second})...)
	}
	return sent
}

func (a *agent) hears(msg []byte) { a.on(policy.Event{Kind: policy.EventPeerMessage, Data: msg}) }

// passes lets time pass and a timer of the agent's fall due.
func (a *agent) passes(d time.Duration) {
	a.now += d
	a.on(policy.Event{Kind: policy.EventTimer, Token: token})
}

// held is what the agent makes of the servers, by key.
func (a *agent) held() map[uint32]float64 {
	held := map[uint32]float64{}
	for _, v := range a.View(a.now) {
		held[v.Key] = v.Outstanding
	}
	return held
}

func (a *agent) last() []byte {
	a.t.Helper()
	if len(a.told) == 0 {
		a.t.Fatal("nothing was told")
	}
	return a.told[len(a.told)-1]
}

// What one agent has out the other counts, though they number the servers in their own ways, and once only.
func TestCountsAreShared(t *testing.T) {
	a, b := newAgent(t, 0, 2, 5), newAgent(t, 1, 2, 5)
	a.ask(12)
	a.passes(tellSlow)
	for range 3 { // told again is not told more
		b.hears(a.last())
	}
	want, got := a.held(), b.held()
	for k, w := range want {
		if got[k] != w {
			t.Errorf("server %d holds %v, the other agent counts %v", k, w, got[k])
		}
	}
	own := b.ask(4)
	if sum(b.held()) != sum(want)+float64(len(own)) {
		t.Errorf("%v held in all, %v by the other and %d sent", sum(b.held()), sum(want), len(own))
	}
}

func sum(m map[uint32]float64) (s float64) {
	for _, v := range m {
		s += v
	}
	return s
}

// A message that is lost is mended by the next; what has come back is told as well.
func TestNextMessageMends(t *testing.T) {
	a, b := newAgent(t, 0, 2, 3), newAgent(t, 1, 2, 3)
	sent := a.ask(6)
	a.passes(tellEvery)
	b.hears(a.last())
	for _, s := range sent {
		a.now += ms
		a.on(policy.Event{Kind: policy.EventOutcome, Request: s.Request, Server: s.Server, Outcome: policy.OK, Final: true, Load: policy.Load{InFlight: -1, Queue: -1}})
	}
	a.passes(tellSlow)
	if b.hears(a.last()); sum(b.held()) != 0 {
		t.Errorf("%v held by the other's word, who has nothing out", sum(b.held()))
	}
}

// An agent that is not heard any more counts for nothing.
func TestSilentAgentsAreForgotten(t *testing.T) {
	a, b := newAgent(t, 0, 2, 3), newAgent(t, 1, 2, 3)
	a.ask(6)
	a.passes(tellSlow)
	b.hears(a.last())
	if sum(b.held()) == 0 {
		t.Fatal("nothing was heard")
	}
	if b.passes(forgetting + ms); sum(b.held()) != 0 {
		t.Errorf("%v held by an agent not heard for %v", sum(b.held()), forgetting)
	}
}

// What is out is told again while nothing changes, or the others would forget it.
func TestToldAgainInTime(t *testing.T) {
	a := newAgent(t, 0, 2, 3)
	a.ask(6)
	a.passes(tellSlow)
	n := len(a.told)
	a.passes(tellAgain)
	if len(a.told) != n+1 {
		t.Error("nothing told again")
	}
	if tellAgain*2 > forgetting {
		t.Error("one lost message, and an agent is forgotten")
	}
}

func TestUnreadableChangesNothing(t *testing.T) {
	a, b := newAgent(t, 0, 2, 3), newAgent(t, 1, 2, 3)
	a.ask(6)
	a.passes(tellSlow)
	good := a.last()
	bad := map[string][]byte{
		"empty": nil, "a head only in part": good[:2], "cut": good[:len(good)-1],
		"of another version": append([]byte{version + 1}, good[1:]...),
		"its own":            append([]byte{version, 0, 1}, good[3:]...),
		"of no such agent":   append([]byte{version, 0, 2}, good[3:]...),
		"too long":           append(bytes.Clone(good), make([]byte, 5*60)...),
	}
	for what, msg := range bad {
		if b.hears(msg); sum(b.held()) != 0 || len(b.senders) != 0 {
			t.Errorf("%s: %v held, %d senders", what, sum(b.held()), len(b.senders))
		}
	}
}

// However many servers there are, a message fits, and holds as many as fit.
func TestManyServers(t *testing.T) {
	a := newAgent(t, 0, 2, 200)
	for range 20 {
		a.ask(100)
		a.now += 10 * ms
	}
	a.passes(tellSlow)
	if n := (len(a.last()) - headBytes) / entryBytes; n > mostShares || n < mostShares/2 {
		t.Errorf("%d servers told, %d fit", n, mostShares)
	}
}

// Whatever comes, in any order: messages stay within their pace, nothing grows without bound, no count is below zero.
func TestAnyTraffic(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a, b := newAgent(t, 0, 3, 4), newAgent(t, 1, 3, 4)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		type attempt struct{ send policy.Action }
		var out []attempt
		began, last := a.now, time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			before := len(a.told)
			switch rng.IntN(5) {
			case 0, 1:
				for _, s := range a.ask(1 + rng.IntN(3)) {
					out = append(out, attempt{s})
				}
			case 2:
				if len(out) > 0 {
					i := rng.IntN(len(out))
					a.on(policy.Event{Kind: policy.EventOutcome, Request: out[i].send.Request, Server: out[i].send.Server, Outcome: policy.OK, Final: true, Load: policy.Load{InFlight: -1, Queue: -1}})
					out = append(out[:i], out[i+1:]...)
				}
			case 3:
				noise := make([]byte, rng.IntN(300))
				for i := range noise {
					noise[i] = byte(rng.Uint32())
				}
				if len(noise) > 0 && rng.IntN(2) == 0 {
					noise[0] = version
				}
				b.hears(noise)
			case 4:
				a.passes(time.Duration(rng.IntN(200)) * ms)
			}
			if len(a.told) > before+1 || len(a.told) > before && last != 0 && a.now-last < tellEvery {
				r.Fatalf("message %d after %v", len(a.told), a.now-last)
			}
			if len(a.told) > before {
				last = a.now
				if rng.IntN(3) > 0 { // else it is lost
					b.now = a.now
					b.hears(a.last())
				}
			}
		}
		if most := int((a.now-began)/tellEvery) + 1; len(a.told) > most {
			r.Fatalf("%d messages in %v", len(a.told), a.now-began)
		}
		if len(b.senders) > 3 {
			r.Fatalf("%d senders of three agents", len(b.senders))
		}
		for k, v := range b.held() {
			if v < 0 {
				r.Fatalf("server %d holds %v", k, v)
			}
		}
	})
}
