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
	listen = LeaseTerm / 12
	// askIn is how long a member has to answer before another is asked.
	askIn = LeaseTerm / 3
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

	began   time.Time
	answers chan func()
	at      int // the member that is asked
	asking  bool
	heard   time.Duration // when it last answered; 0: never
	posts   []*post
}

// post is what is known of one duty.
type post struct {
	name   string
	holder lease.Holder
	follow lease.Follower
	free   bool
	meant  bool   // it is handed to this agent
	held   uint64 // epoch, as it was logged
}

func (l *LeaseClient) now() time.Duration { return time.Since(l.began) + 1 }

// Run goes on until the context ends, and gives back then what is held.
func (l *LeaseClient) Run(ctx context.Context) {
	l.began, l.answers, l.at = time.Now(), make(chan func(), 2*len(l.Duties)+2), rand.IntN(len(l.Members))
	life := fmt.Sprintf("%s/%x", l.Name, rand.Uint64())
	for _, name := range l.Duties {
		l.posts = append(l.posts, &post{
			name: name, holder: lease.Holder{Duty: name, Name: life, Term: LeaseTerm}, follow: lease.Follower{MaxAge: LeaseTerm}, free: true,
		})
	}
	var out sync.WaitGroup
	defer out.Wait()
	clock := time.NewTicker(listen)
	defer clock.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case f := <-l.answers:
			f()
		case <-clock.C:
			l.listen(ctx, &out)
			for _, p := range l.posts {
				l.step(ctx, p, &out)
			}
		}
	}
	for _, p := range l.posts {
		if _, _, holds := p.holder.Holds(l.now()); holds {
			l.ask(context.WithoutCancel(ctx), p, p.holder.Release(l.now(), "", nil), &out)
		}
	}
}

// step goes on with one duty.
func (l *LeaseClient) step(ctx context.Context, p *post, out *sync.WaitGroup) {
	t := l.now()
	epoch, _, holds := p.holder.Holds(t)
	if !holds {
		epoch = 0
	}
	if epoch != p.held {
		l.Log.Info("duty", "name", p.name, "holding", holds, "epoch", max(epoch, p.held))
		p.held = epoch
	}
	weight := l.Agent.Weight(p.name)
	switch {
	case holds && (weight <= 0 || p.holder.ReleaseReason() != ""):
		l.ask(ctx, p, p.holder.Release(t, "", nil), out)
	default:
		if holds {
			p.holder.Publish(l.Agent.MessageToPublish(p.name))
		}
		patience := time.Duration(0)
		if weight > 0 && !p.meant {
			patience = lease.AcquireDelay(p.name, l.Name, weight, LeaseTerm)
		}
		// Who has heard nothing of late knows of nothing that is free.
		l.ask(ctx, p, p.holder.Tick(t, p.free && weight > 0 && l.heard > 0 && t-l.heard < LeaseTerm, patience), out)
	}
	word, said := p.follow.Current(t)
	if holds {
		word, said = nil, 0 // its own: it does as it says
	}
	l.Agent.HandleMessage(p.name, said, word)
}

// ask asks the group. A holder has one question out, and gives it up within a third of a term.
func (l *LeaseClient) ask(ctx context.Context, p *post, q *lease.Request, out *sync.WaitGroup) {
	if q == nil {
		return
	}
	m := l.Members[l.at]
	out.Go(func() {
		within, cancel := context.WithTimeout(ctx, askIn)
		defer cancel()
		a, err := m.Lease(within, &q.Op)
		done := func() { p.holder.HandleAnswer(l.now(), q.Number, a) }
		if err != nil { // in time it is asked again
			done = func() { l.passBy(m) }
		}
		select {
		case l.answers <- done:
		case <-ctx.Done():
		}
	})
}

// listen asks for words. One question is out at a time.
func (l *LeaseClient) listen(ctx context.Context, out *sync.WaitGroup) {
	if l.asking {
		return
	}
	l.asking = true
	m, asked := l.Members[l.at], l.now()
	out.Go(func() {
		within, cancel := context.WithTimeout(ctx, askIn)
		defer cancel()
		all, err := m.HolderMessages(within)
		select {
		case l.answers <- func() { l.take(m, asked, all, err) }:
		case <-ctx.Done():
		}
	})
}

// passBy has another member be asked than one that did not answer. Danger: one that hears the others and is not heard by them tells
// words as they should be, and what it is asked for is never agreed on.
func (l *LeaseClient) passBy(m Grantor) {
	if l.Members[l.at] == m {
		l.at = (l.at + 1) % len(l.Members)
	}
}

func (l *LeaseClient) take(m Grantor, asked time.Duration, all *HolderMessages, err error) {
	l.asking = false
	if err != nil {
		l.passBy(m)
		return
	}
	l.heard = l.now()
	for _, p := range l.posts {
		p.free, p.meant = true, false // a duty that nobody has ever had
		for i := range all.Words {
			if w := &all.Words[i]; w.Duty == p.name {
				p.meant = w.To != "" && lease.MatchesHolder(w.To, p.holder.Name)
				p.free = w.Free && (w.To == "" || p.meant)
				p.follow.Update(asked, w.Epoch, w.Version, w.Word)
			}
		}
	}
}
