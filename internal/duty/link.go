package duty

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"example.org/micaline/internal/lease"
)

const (
	// LeaseTerm is the term of an agent's lease. A holder's message is followed for as long after
	// its last renewal.
	LeaseTerm = 3 * time.Second
	// pollInterval is the interval between queries for messages. It is shorter than a pacer's
	// step, at least 500 ms, so that each message of a pacer is seen.
	pollInterval = LeaseTerm / 12
	// requestTimeout is how long a member has to answer before another member is queried.
	requestTimeout = LeaseTerm / 3
)

// Agent is the agent that a LeaseClient acts for. Its methods must not block.
type Agent interface {
	// Weight rates how well this agent could hold a duty; 0: it can't.
	Weight(duty string) float64
	// MessageToPublish returns the message that this agent publishes while it holds the duty; nil:
	// none.
	MessageToPublish(duty string) []byte
	// HandleMessage receives the message of the current holder and its epoch, or nil if there is no
	// valid message. It is called many times a second. At the holder itself the message is nil.
	HandleMessage(duty string, epoch uint64, message []byte)
}

// Grantor is a member of the group that grants duties.
type Grantor interface {
	HolderMessages(ctx context.Context) (*HolderMessages, error)
	Lease(ctx context.Context, op *lease.Op) (lease.Answer, error)
}

// LeaseClient acquires a group's duties for an agent, publishes the agent's messages for the duties
// it holds, and passes it the messages of other holders. The agent never waits for it. While the
// group is unreachable, leases and messages expire.
type LeaseClient struct {
	Name    string // of the agent, the same after a restart
	Duties  []string
	Members []Grantor
	Agent   Agent
	Log     *slog.Logger

	startedAt    time.Time
	answers      chan func()
	memberIndex  int // index of the member that is queried
	pollInFlight bool
	lastAnswerAt time.Duration // when a member last answered a poll; 0: never
	duties       []*dutyState
}

// dutyState is the client's state of one duty.
type dutyState struct {
	name        string
	holder      lease.Holder
	follower    lease.Follower
	free        bool   // this agent may acquire the duty
	reserved    bool   // the duty is being handed over to this agent
	loggedEpoch uint64 // epoch of the lease that was logged last; 0: not held
}

func (l *LeaseClient) now() time.Duration { return time.Since(l.startedAt) + 1 }

// Run runs until the context ends, and then releases the duties that are held.
func (l *LeaseClient) Run(ctx context.Context) {
	l.startedAt, l.answers, l.memberIndex = time.Now(), make(chan func(), 2*len(l.Duties)+2), rand.IntN(len(l.Members))
	processName := fmt.Sprintf("%s/%x", l.Name, rand.Uint64())
	for _, name := range l.Duties {
		l.duties = append(l.duties, &dutyState{
			name: name, holder: lease.Holder{Duty: name, Name: processName, Term: LeaseTerm}, follower: lease.Follower{MaxAge: LeaseTerm}, free: true,
		})
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case handle := <-l.answers:
			handle()
		case <-ticker.C:
			l.pollMessages(ctx, &requests)
			for _, d := range l.duties {
				l.tickDuty(ctx, d, &requests)
			}
		}
	}
	for _, d := range l.duties {
		if _, _, holds := d.holder.Holds(l.now()); holds {
			l.sendRequest(context.WithoutCancel(ctx), d, d.holder.Release(l.now(), "", nil), &requests)
		}
	}
}

// tickDuty logs a change of the lease, sends the next request and passes the current message to the
// agent.
func (l *LeaseClient) tickDuty(ctx context.Context, d *dutyState, requests *sync.WaitGroup) {
	now := l.now()
	epoch, _, holds := d.holder.Holds(now)
	if !holds {
		epoch = 0
	}
	if epoch != d.loggedEpoch {
		l.Log.Info("duty", "name", d.name, "holding", holds, "epoch", max(epoch, d.loggedEpoch))
		d.loggedEpoch = epoch
	}
	weight := l.Agent.Weight(d.name)
	switch {
	case holds && (weight <= 0 || d.holder.ReleaseReason() != ""):
		l.sendRequest(ctx, d, d.holder.Release(now, "", nil), requests)
	default:
		if holds {
			d.holder.Publish(l.Agent.MessageToPublish(d.name))
		}
		acquireDelay := time.Duration(0)
		if weight > 0 && !d.reserved {
			acquireDelay = lease.AcquireDelay(d.name, l.Name, weight, LeaseTerm)
		}
		// Without a recent answer the agent can't know which duties are free.
		l.sendRequest(ctx, d, d.holder.Tick(now, d.free && weight > 0 && l.lastAnswerAt > 0 && now-l.lastAnswerAt < LeaseTerm, acquireDelay), requests)
	}
	message, messageEpoch := d.follower.Current(now)
	if holds {
		message, messageEpoch = nil, 0 // the message is the agent's own
	}
	l.Agent.HandleMessage(d.name, messageEpoch, message)
}

// sendRequest sends a request to the group. A Holder has one request in flight and abandons it
// after a third of a term.
func (l *LeaseClient) sendRequest(ctx context.Context, d *dutyState, request *lease.Request, requests *sync.WaitGroup) {
	if request == nil {
		return
	}
	m := l.Members[l.memberIndex]
	requests.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		answer, err := m.Lease(requestCtx, &request.Op)
		handle := func() { d.holder.HandleAnswer(l.now(), request.Number, answer) }
		if err != nil { // the Holder retries after a timeout
			handle = func() { l.skipMember(m) }
		}
		select {
		case l.answers <- handle:
		case <-ctx.Done():
		}
	})
}

// pollMessages queries a member for the holders' messages. One query is in flight at a time.
func (l *LeaseClient) pollMessages(ctx context.Context, requests *sync.WaitGroup) {
	if l.pollInFlight {
		return
	}
	l.pollInFlight = true
	m, requestedAt := l.Members[l.memberIndex], l.now()
	requests.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		messages, err := m.HolderMessages(requestCtx)
		select {
		case l.answers <- func() { l.handleMessages(m, requestedAt, messages, err) }:
		case <-ctx.Done():
		}
	})
}

// skipMember makes the client query the next member after one that did not answer. Failed lease
// requests count as well, because a member that receives from the others but can't send to them has
// current messages while its proposals are never committed.
func (l *LeaseClient) skipMember(m Grantor) {
	if l.Members[l.memberIndex] == m {
		l.memberIndex = (l.memberIndex + 1) % len(l.Members)
	}
}

// handleMessages processes the result of a query for messages.
func (l *LeaseClient) handleMessages(m Grantor, requestedAt time.Duration, messages *HolderMessages, err error) {
	l.pollInFlight = false
	if err != nil {
		l.skipMember(m)
		return
	}
	l.lastAnswerAt = l.now()
	for _, d := range l.duties {
		d.free, d.reserved = true, false // for a duty that was never granted
		for i := range messages.Words {
			if message := &messages.Words[i]; message.Duty == d.name {
				d.reserved = message.To != "" && lease.MatchesHolder(message.To, d.holder.Name)
				d.free = message.Free && (message.To == "" || d.reserved)
				d.follower.Update(requestedAt, message.Epoch, message.Version, message.Word)
			}
		}
	}
}
