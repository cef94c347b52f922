package agent

import (
	"container/heap"
	"context"
	"slices"
	"time"

	"example.org/micaline/internal/settings"
	"example.org/micaline/policy"
)

// handleAll hands an event to each module.
func (l *loop) handleAll(ctx context.Context, ev policy.Event) {
	if len(l.modules) == 1 {
		l.handle(ctx, l.current, ev)
		return
	}
	// Danger: one that ends by this event leaves the list, and the next would not hear of it.
	for _, m := range slices.Clone(l.modules) {
		l.handle(ctx, m, ev)
	}
}

// handle hands an event to a module and carries out what it answers, and so on with the events that come of it.
func (l *loop) handle(ctx context.Context, to *module, ev policy.Event) {
	l.events = append(l.events, decision{to, ev})
	for i := 0; i < len(l.events); i++ { // act may add to them
		d := &l.events[i]
		to = d.to
		l.actions = to.Handle(l.clock.now(), d.event, l.actions[:0])
		for j := range l.actions {
			l.act(ctx, to, &l.actions[j])
		}
	}
	l.events = l.events[:0]
}

// act carries out one action.
func (l *loop) act(ctx context.Context, by *module, a *policy.Action) {
	r := l.requests[a.Request]
	switch a.Kind {
	case policy.ActSend:
		if r != nil {
			l.attempt(ctx, r, a)
		}
	case policy.ActRefuse:
		if r != nil {
			l.end(r, answer{status: statusRefused, retryAfter: a.Wait})
			l.forget(r)
		}
	case policy.ActFail:
		if r != nil {
			l.end(r, answer{status: statusFailed})
			l.forget(r)
		}
	case policy.ActCancel:
		if r != nil && a.Attempt < len(r.attemptCancels) {
			r.attemptCancels[a.Attempt]()
		}
	case policy.ActTimer:
		heap.Push(&l.timers, timer{due: l.clock.now() + a.Wait, token: a.Token, module: by})
	case policy.ActProbe:
		l.probe(ctx, by, a.Server)
	case policy.ActSubscribe:
		l.subscribe()
	case policy.ActBroadcast:
		if by == l.current { // danger: two modules' counts under one name would take turns
			l.broadcast(a.Data)
		}
	case policy.ActLog:
		l.log.Info(a.Text)
	}
}

// attempt sends a request to a backend. What cannot be sent any more ends as moot.
func (l *loop) attempt(ctx context.Context, r *request, a *policy.Action) {
	n := len(r.attemptCancels)
	left := r.deadline - l.clock.now()
	if a.Wait != 0 {
		left = min(left, a.Wait)
	}
	t := l.targets[a.Server]
	rest := r.message.upload
	// Danger: what has been read of a stream is nowhere any more, and two can't read it.
	gone := rest != nil && (r.inFlight > 0 || rest.forwarding.Load())
	if r.ended || left <= 0 || t == nil || n >= l.moduleSettings.MaxAttempts || gone {
		r.attemptCancels = append(r.attemptCancels, func() {})
		l.events = append(l.events, decision{r.module, policy.Event{
			Kind: policy.EventOutcome, Request: r.id, Attempt: n, Server: a.Server,
			Outcome: policy.NotSent, Final: r.ended, Load: settings.NoLoad(),
		}})
		return
	}
	var sendBy time.Time
	if a.DeliverWithin > 0 {
		sendBy = time.Now().Add(a.DeliverWithin)
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	if rest == nil { // else its time begins with its last byte
		attemptCtx, cancel = context.WithTimeout(ctx, left)
	}
	r.attemptCancels = append(r.attemptCancels, cancel)
	r.inFlight++
	if l.sites != nil {
		r.tries = append(r.tries, try{n, a.Server, l.clock.now()})
	}
	id, server, msg, sent := r.id, a.Server, &r.message, l.clock.now()
	by := l.by
	if by != r.call || by.inlineAttempt != nil || !l.moduleSettings.Cancel {
		by = nil
	}
	call := r.call
	carryOut := func() {
		if rest == nil && call.hangupWatcher.ClientClosed() { // danger: after the process stood still its close waits unread
			l.send(input{event: policy.Event{Kind: policy.EventClientGone}, call: call})
			l.send(input{sent: sent, deliveringCall: by, event: policy.Event{
				Kind: policy.EventOutcome, Request: id, Attempt: n, Server: server, Outcome: policy.NotSent, Load: settings.NoLoad(),
			}})
			return
		}
		res := l.backends.exchange(attemptCtx, t, msg, sendBy, l.settings.ReportFields)
		if rest != nil && rest.hasFailed() {
			l.send(input{event: policy.Event{Kind: policy.EventClientGone}, call: call})
		}
		l.send(input{answer: res.answer, sent: sent, took: res.backendTime, deliveringCall: by, event: policy.Event{
			Kind: policy.EventOutcome, Request: id, Attempt: n, Server: server, Outcome: res.outcome, Load: res.load,
		}})
	}
	if by == nil {
		go carryOut()
		return
	}
	// Its handler has nothing else to do, and may be called back from it: what ends the request cancels its attempts.
	by.inlineAttempt = carryOut
}

func (l *loop) probe(ctx context.Context, by *module, server policy.ServerID) {
	t := l.targets[server]
	if t == nil {
		l.events = append(l.events, decision{by, policy.Event{
			Kind: policy.EventProbeResult, Server: server, Outcome: policy.NotSent, Load: settings.NoLoad(),
		}})
		return
	}
	go func() {
		res := l.backends.probe(ctx, t, l.settings)
		l.send(input{seen: res.endedAt - l.lagMonitor.ownDelay(), event: policy.Event{
			Kind: policy.EventProbeResult, Server: server, Outcome: res.outcome, Load: res.load,
		}})
	}()
}
