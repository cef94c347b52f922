package duty

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/internal/lease"
)

// fakeGroup is a Grantor with a lease table but no expiry of leases.
type fakeGroup struct {
	mu    sync.Mutex
	lease lease.Table
}

func (t *fakeGroup) HolderMessages(context.Context) (*HolderMessages, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	messages := &HolderMessages{}
	for name, d := range t.lease.Duties {
		messages.Words = append(messages.Words, HolderMessage{Duty: name, Free: d.Holder == "", Epoch: d.Epoch, Version: d.Version, Word: d.Word, To: d.To})
	}
	return messages, nil
}

func (t *fakeGroup) Lease(_ context.Context, op *lease.Op) (lease.Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Apply(op), nil
}

// unresponsiveMember is a member that returns messages but never answers lease requests.
type unresponsiveMember struct{ *fakeGroup }

func (unresponsiveMember) Lease(ctx context.Context, _ *lease.Op) (lease.Answer, error) {
	<-ctx.Done()
	return lease.Answer{}, errors.New("not committed")
}

type fakeAgent struct {
	mu          sync.Mutex
	weight      float64
	lastMessage string
}

func (a *fakeAgent) Weight(string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.weight
}
func (a *fakeAgent) MessageToPublish(string) []byte { return []byte("on") }
func (a *fakeAgent) HandleMessage(_ string, _ uint64, message []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastMessage = string(message)
}

func (a *fakeAgent) message() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastMessage
}

// Two agents use a group in which only one of three members answers lease requests. One agent holds
// the duty and publishes a message, which the other follows. An agent whose weight drops to 0
// releases the duty, and so does an agent that ends.
func TestLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &fakeGroup{}
		agents := []*fakeAgent{{weight: 1}, {weight: 1}}
		var running sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for i, agent := range agents {
			client := &LeaseClient{Name: string(rune('a' + i)), Duties: []string{"pace:x"}, Members: []Grantor{unresponsiveMember{group}, unresponsiveMember{group}, group}, Agent: agent, Log: slog.New(slog.DiscardHandler)}
			running.Go(func() { client.Run(ctx) })
		}
		holder := func() (index int) {
			group.mu.Lock()
			defer group.mu.Unlock()
			return map[byte]int{'a': 1, 'b': 2}[(group.lease.Duties["pace:x"].Holder + "-")[0]] - 1
		}
		time.Sleep(6 * LeaseTerm)
		first := holder()
		if first < 0 || agents[1-first].message() != "on" || agents[first].message() != "" {
			t.Fatalf("agent %d holds the duty, and they received %q and %q", first, agents[0].message(), agents[1].message())
		}
		agents[first].mu.Lock()
		agents[first].weight = 0
		agents[first].mu.Unlock()
		time.Sleep(3 * LeaseTerm)
		if holder() != 1-first {
			t.Errorf("agent %d holds the duty, and the weight of %d is 0", holder(), first)
		}
		cancel()
		running.Wait()
		if holder() != -1 {
			t.Errorf("agent %d has ended but holds the duty", holder())
		}
	})
}
