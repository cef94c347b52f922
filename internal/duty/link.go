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
	// Term is for how long an agent is granted a duty. A word is followed for as long after it was last renewed.
	LeaseTerm = 3 * time.Second
	// listen is how often the group is asked for words: a pacer takes a step in half a second.
	pollInterval = LeaseTerm / 12
	// askIn is how long a member has to answer before another is asked.
	requestTimeout = LeaseTerm / 3
)

// Local is the agent on this side of a Link. It must not wait for anything.
type Agent interface {
	// Weight is how well this agent could do a duty; 0: it can't.
	Weight(duty string) float64
	// Say is what its holder has to say while it does it; nil: nothing.
	MessageToPublish(duty string) []byte
	// Heard tells what the present holder says, and under which epoch, nil if there is nothing fresh, many times a second.
	HandleMessage(duty string, epoch uint64, word []byte)
}

// Grantor is a manager of the group that grants duties.
type Grantor interface {
	HolderMessages(ctx context.Context) (*HolderMessages, error)
	Lease(ctx context.Context, op *lease.Op) (lease.Answer, error)
}

// Link is an agent's side of the duties of a group: it goes for those that are to be had, says what there is to say under them and
// hears what others say. Nothing waits for it. Where the group is out of reach no word is fresh, and nothing is held.
type LeaseClient struct {
	Name    string // of the agent, the same after a restart
	Duties  []string
	Members []Grantor
	Agent   Agent
	Log     *slog.Logger

	startedAt    time.Time
	answers      chan func()
	memberIndex  int // the member that is asked
	pollInFlight bool
	lastAnswerAt time.Duration // when it last answered; 0: never
	duties       []*dutyState
}

// post is what is known of one duty.
type dutyState struct {
	name        string
	holder      lease.Holder
	follower    lease.Follower
	free        bool
	reserved    bool   // it is handed to this agent
	loggedEpoch uint64 // epoch, as it was logged
}

func (l *LeaseClient) now() time.Duration { return time.Since(l.startedAt) + 1 }

// Run goes on until the context ends, and gives back then what is held.
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

// step goes on with one duty.
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
		// Who has heard nothing of late knows of nothing that is free.
		l.sendRequest(ctx, d, d.holder.Tick(now, d.free && weight > 0 && l.lastAnswerAt > 0 && now-l.lastAnswerAt < LeaseTerm, acquireDelay), requests)
	}
	message, messageEpoch := d.follower.Current(now)
	if holds {
		message, messageEpoch = nil, 0 // its own: it does as it says
	}
	l.Agent.HandleMessage(d.name, messageEpoch, message)
}

// ask asks the group. A holder has one question out, and gives it up within a third of a term.
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
		if err != nil { // in time it is asked again
			handle = func() { l.skipMember(m) }
		}
		select {
		case l.answers <- handle:
		case <-ctx.Done():
		}
	})
}

// listen asks for words. One question is out at a time.
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

// passBy has another member be asked than one that did not answer. Danger: one that hears the others and is not heard by them tells
// words as they should be, and what it is asked for is never agreed on.
func (l *LeaseClient) skipMember(m Grantor) {
	if l.Members[l.memberIndex] == m {
		l.memberIndex = (l.memberIndex + 1) % len(l.Members)
	}
}

func (l *LeaseClient) handleMessages(m Grantor, requestedAt time.Duration, messages *HolderMessages, err error) {
	l.pollInFlight = false
	if err != nil {
		l.skipMember(m)
		return
	}
	l.lastAnswerAt = l.now()
	for _, d := range l.duties {
		d.free, d.reserved = true, false // a duty that nobody has ever had
		for i := range messages.Words {
			if message := &messages.Words[i]; message.Duty == d.name {
				d.reserved = message.To != "" && lease.MatchesHolder(message.To, d.holder.Name)
				d.free = message.Free && (message.To == "" || d.reserved)
				d.follower.Update(requestedAt, message.Epoch, message.Version, message.Word)
			}
		}
	}
}
