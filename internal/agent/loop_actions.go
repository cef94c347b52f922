package agent

import (
	"container/heap"
	"context"
	"slices"
	"time"

	"example.org/micaline/internal/settings"
	"example.org/micaline/policy"
)

// handleAll lets each module handle an event.
func (l *loop) handleAll(ctx context.Context, ev policy.Event) {
	if len(l.modules) == 1 {
		l.handle(ctx, l.current, ev)
		return
	}
	// A retired module whose last request ends with this event is deleted from l.modules, which
	// would make the loop skip the next module.
	for _, m := range slices.Clone(l.modules) {
		l.handle(ctx, m, ev)
	}
}

// handle lets a module handle an event and executes the resulting actions, and does the same for
// the events that these cause.
func (l *loop) handle(ctx context.Context, mod *module, ev policy.Event) {
	l.eventQueue = append(l.eventQueue, queuedEvent{mod, ev})
	for i := 0; i < len(l.eventQueue); i++ { // execute may append to it
		queued := &l.eventQueue[i]
		mod = queued.module
		l.actionBuffer = mod.Handle(l.clock.now(), queued.event, l.actionBuffer[:0])
		for j := range l.actionBuffer {
			l.execute(ctx, mod, &l.actionBuffer[j])
		}
	}
	l.eventQueue = l.eventQueue[:0]
}

// execute executes one action of a module.
func (l *loop) execute(ctx context.Context, mod *module, a *policy.Action) {
	r := l.requests[a.Request]
	switch a.Kind {
	case policy.ActSend:
		if r != nil {
			l.startAttempt(ctx, r, a)
		}
	case policy.ActRefuse:
		if r != nil {
			l.answerClient(r, answer{status: statusRefused, retryAfter: a.Wait})
			l.forgetIfDone(r)
		}
	case policy.ActFail:
		if r != nil {
			l.answerClient(r, answer{status: statusFailed})
			l.forgetIfDone(r)
		}
	case policy.ActCancel:
		if r != nil && a.Attempt < len(r.attemptCancels) {
			r.attemptCancels[a.Attempt]()
		}
	case policy.ActTimer:
		heap.Push(&l.timers, timer{due: l.clock.now() + a.Wait, token: a.Token, module: mod})
	case policy.ActProbe:
		l.startProbe(ctx, mod, a.Server)
	case policy.ActSubscribe:
		l.subscribe()
	case policy.ActBroadcast:
		if mod == l.current { // else peers would get the counts of two modules in turn under one name
			l.broadcast(a.Data)
		}
	case policy.ActLog:
		l.log.Info(a.Text)
	}
}

// startAttempt starts an attempt of a request at a backend. If it can't be sent any more, its
// outcome is NotSent.
func (l *loop) startAttempt(ctx context.Context, r *request, a *policy.Action) {
	index := len(r.attemptCancels)
	timeLeft := r.deadline - l.clock.now()
	if a.Wait != 0 {
		timeLeft = min(timeLeft, a.Wait)
	}
	target := l.targets[a.Server]
	bodyStream := r.message.upload
	// The part of a streamed body that was read is not kept, and only one attempt can read it.
	bodyConsumed := bodyStream != nil && (r.inFlight > 0 || bodyStream.forwarding.Load())
	if r.ended || timeLeft <= 0 || target == nil || index >= l.moduleSettings.MaxAttempts || bodyConsumed {
		r.attemptCancels = append(r.attemptCancels, func() {})
		l.eventQueue = append(l.eventQueue, queuedEvent{r.module, policy.Event{
			Kind: policy.EventOutcome, Request: r.id, Attempt: index, Server: a.Server,
			Outcome: policy.NotSent, Final: r.ended, Load: settings.NoLoad(),
		}})
		return
	}
	var sendBy time.Time
	if a.DeliverWithin > 0 {
		sendBy = time.Now().Add(a.DeliverWithin)
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	if bodyStream == nil { // otherwise the time limit starts with the last byte of the body
		attemptCtx, cancel = context.WithTimeout(ctx, timeLeft)
	}
	r.attemptCancels = append(r.attemptCancels, cancel)
	r.inFlight++
	if l.sites != nil {
		r.sentAttempts = append(r.sentAttempts, sentAttempt{index, a.Server, l.clock.now()})
	}
	id, server, outgoing, sentAt := r.id, a.Server, &r.message, l.clock.now()
	inlineCall := l.deliveringCall
	if inlineCall != r.call || inlineCall.inlineAttempt != nil || !l.moduleSettings.Cancel {
		inlineCall = nil
	}
	clientCall := r.call
	runAttempt := func() {
		// After the process was suspended, the close of the client connection may be unread.
		if bodyStream == nil && clientCall.hangupWatcher.ClientClosed() {
			l.send(input{event: policy.Event{Kind: policy.EventClientGone}, call: clientCall})
			l.send(input{sentAt: sentAt, deliveringCall: inlineCall, event: policy.Event{
				Kind: policy.EventOutcome, Request: id, Attempt: index, Server: server, Outcome: policy.NotSent, Load: settings.NoLoad(),
			}})
			return
		}
		res := l.backends.exchange(attemptCtx, target, outgoing, sendBy, l.settings.ReportFields)
		if bodyStream != nil && bodyStream.hasFailed() {
			l.send(input{event: policy.Event{Kind: policy.EventClientGone}, call: clientCall})
		}
		l.send(input{answer: res.answer, sentAt: sentAt, backendTime: res.backendTime, deliveringCall: inlineCall, event: policy.Event{
			Kind: policy.EventOutcome, Request: id, Attempt: index, Server: server, Outcome: res.outcome, Load: res.load,
		}})
	}
	if inlineCall == nil {
		go runAttempt()
		return
	}
	// The delivering handler runs the attempt, as it has nothing else to do. It can be stopped:
	// whatever ends the request cancels its attempts.
	inlineCall.inlineAttempt = runAttempt
}

// startProbe probes a backend and sends the result to the loop. If the backend is unknown, the
// outcome is NotSent and only the module that asked gets it.
func (l *loop) startProbe(ctx context.Context, mod *module, server policy.ServerID) {
	target := l.targets[server]
	if target == nil {
		l.eventQueue = append(l.eventQueue, queuedEvent{mod, policy.Event{
			Kind: policy.EventProbeResult, Server: server, Outcome: policy.NotSent, Load: settings.NoLoad(),
		}})
		return
	}
	go func() {
		res := l.backends.probe(ctx, target, l.settings)
		l.send(input{answeredAt: res.endedAt - l.lagMonitor.ownDelay(), event: policy.Event{
			Kind: policy.EventProbeResult, Server: server, Outcome: res.outcome, Load: res.load,
		}})
	}()
}
