package outbound

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
)

const (
	wayBack     = 20 * time.Millisecond // of a client's time that its answer needs to get there
	connectTime = 250 * time.Millisecond
	patientPart = 4 // a request waits for a slot for this part of its aim at most: held longer for nothing it is priced
	leastAfter  = 50 * time.Millisecond
	leastFull   = 20 * time.Millisecond // that a gate which refused is passed by: it costs a message to ask
	longBody    = 48 << 10              // bytes from which a body is offered before it is sent: a refusal would have carried it for nothing
	firstChunk  = 16 << 10              // bytes that a body without a length is given room for at first
	innerPart   = 2                     // a backend's own call waits for this part of its time
	mostAfter   = 2 * time.Second
)

// Counters count what became of requests. They are read at any time.
type Counters struct {
	Taken, Served, BackendFailed, Refused, Failed, NoRoute, Bad, Local atomic.Uint64
	Attempts, Repeats                                                  atomic.Uint64
	Unanswered                                                         [3][32]atomic.Uint64 // attempts without an answer, by verdict and reason
}

// attempt is one that is under way for a request.
type attempt struct {
	n      int
	server policy.ServerID
	to     *target // nil: it went nowhere
	began  time.Time
	reply  *transport.Reply
	body   []byte
	fail   *transport.Failure
}

// job is a request on its way.
type job struct {
	began    time.Time
	route    *meshconfig.Route
	ask      transport.Ask
	body     []byte
	deadline time.Time
	aim      time.Time
	chooser  *chooser
	call     *call
	inner    bool // called by a run of a backend
	repeated bool // by a run that was a repeat itself
	attempts int  // started
	reached  int  // of these, those that reached a backend, or may yet

	mu     sync.Mutex
	steps  []transport.Attempt // attempts that have ended, but for one that was all and succeeded
	last   *attempt            // the best answer that is no success
	done   chan struct{}
	cut    chan struct{} // closed when the process ends: no answer is waited for any more
	won    *attempt
	inline *transport.Conn // of the attempt that the request's own goroutine waits for
}

// ServeHTTP takes a request of a client, or of the backend on this machine.
func (s *Sender) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w := &answered{ResponseWriter: out, began: time.Now()}
	defer s.note(w, r)
	s.held.Add(1)
	defer s.held.Add(-1)
	s.Count.Taken.Add(1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	v := s.view.Load()
	if v == nil {
		s.refuse(w, 200*time.Millisecond)
		return
	}
	path := r.URL.EscapedPath()
	route := v.Config.Route(r.Host, path)
	if w.view, w.route = v, route; route == nil {
		s.Count.NoRoute.Add(1)
		s.say(w, http.StatusNotFound, "no route for this host and path")
		return
	}
	most := v.Config.Limits().BodyBytes
	if r.ContentLength > most {
		s.Count.Bad.Add(1)
		s.say(w, http.StatusRequestEntityTooLarge, "the body is longer than limits.body_bytes")
		return
	}
	body, held, err := s.readBody(r, most)
	defer s.room.Free(held)
	switch {
	case errors.Is(err, errNoRoom):
		w.Header().Set("Connection", "close") // the rest of the body is not waited for
		s.refuse(w, leastAfter)
		return
	case errors.Is(err, errTooLarge):
		s.Count.Bad.Add(1)
		s.say(w, http.StatusRequestEntityTooLarge, "the body is longer than limits.body_bytes")
		return
	case err != nil:
		s.Count.Bad.Add(1)
		panic(http.ErrAbortHandler) // the client broke off: there is no whole request to answer
	}
	j := &job{began: w.began, route: route, body: body, done: make(chan struct{}), cut: make(chan struct{})}
	w.job = j
	left, told := route.GiveUp, time.Duration(0)
	if text := r.Header.Get(inbound.LeftHeader); text != "" {
		if ms, err := strconv.ParseFloat(text, 64); err == nil && ms >= 0 && ms < 1e9 {
			if told = time.Duration(ms * float64(time.Millisecond)); left <= 0 || told-wayBack < left {
				left = told - wayBack
			}
		}
	}
	if left <= 0 {
		s.refuse(w, 0)
		return
	}
	now := time.Now()
	j.deadline, j.aim = now.Add(left), now.Add(route.TargetTime)
	j.ask = transport.Ask{
		Try: r.Header.Get(inbound.TryHeader), Method: r.Method, URI: r.RequestURI, Host: r.Host, Caller: s.set.Service,
		Unsafe: route.Kind != meshconfig.Safe, Rank: route.Rank, Body: int64(len(body)), Header: passedOn(r.Header),
		Patient: max(route.TargetTime/patientPart, 10*time.Millisecond),
	}
	if j.inner, j.repeated = s.host.Parent(j.ask.Try); j.inner {
		j.ask.Inner, j.ask.Patient = true, left/innerPart
	} else if told > 0 { // not left, which falls for first tries too when the operators shorten give_up
		j.aim = j.aim.Add(-s.ages.of(now, route.Name, told))
	}
	w.service = route.Pick(rand.Float64())
	j.chooser = s.chooser(w.service)
	if j.chooser == nil {
		s.refuse(w, 200*time.Millisecond)
		return
	}
	if !s.answer(w, j, s.run(j, left)) && j.inner {
		s.host.CallFailed(j.ask.Try)
	}
}

var (
	errNoRoom   = errors.New("no room for the body")
	errTooLarge = errors.New("the body is too large")
)

// readBody reads a request's body whole, and returns how much room it holds, also with an error.
func (s *Sender) readBody(r *http.Request, most int64) (body []byte, held int64, err error) {
	switch {
	case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
		return nil, 0, nil
	case r.ContentLength > 0:
		if !s.room.Take(r.ContentLength) {
			return nil, 0, errNoRoom
		}
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
		return body, r.ContentLength, err
	}
	// In chunks: room is taken as the buffer grows.
	for {
		if len(body) == cap(body) {
			more := int64(max(cap(body), firstChunk))
			if !s.room.Take(more) {
				return nil, held, errNoRoom
			}
			held += more
			body = slices.Grow(body, int(more))
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > most:
			return nil, held, errTooLarge
		case err == io.EOF:
			return body, held, nil
		case err != nil:
			return nil, held, err
		}
	}
}

// passedOn lists the headers of a request that go on to the backend.
func passedOn(h http.Header) []string {
	list := make([]string, 0, 2*len(h))
	also := ""
	if c := h["Connection"]; c != nil {
		also = strings.ToLower(strings.Join(c, ","))
	}
	for name, values := range h {
		switch name {
		case inbound.TryHeader, inbound.LeftHeader, inbound.TargetHeader, inbound.CallerHeader:
			continue
		}
		if !inbound.Passes(name) || also != "" && strings.Contains(also, strings.ToLower(name)) {
			continue
		}
		for _, v := range values {
			list = append(list, name, v)
		}
	}
	return list
}

// end is how a request ended: an attempt, or a refusal, which promises that the request did not run or may run again.
type end struct {
	at      *attempt
	refused bool
	after   time.Duration
}

// run carries out what the chooser orders until the request has its answer.
func (s *Sender) run(j *job, left time.Duration) end {
	c := j.chooser
	again := func(a policy.Action, t *target) { go s.again(j, a, t) }
	j.call = c.begin(classIndex(c.classes, j.route, j.inner), left, again)
	defer c.forget(j.call)
	s.take(j)
	defer s.drop(j)
	for {
		a, t, ok := c.take(j.call)
		if !ok { // nothing to do but to wait for an attempt that another goroutine carries out
			late := time.NewTimer(time.Until(j.deadline))
			select {
			case <-j.call.ready:
				late.Stop()
				continue
			case <-j.done:
				late.Stop()
				return end{at: j.won}
			case <-j.cut:
				late.Stop()
				return end{at: j.best()}
			case <-late.C:
				return end{at: j.best()}
			}
		}
		switch a.Kind {
		case policy.ActRefuse:
			return end{at: j.best(), refused: true, after: a.Wait}
		case policy.ActFail:
			return end{at: j.best()}
		}
		at := s.attempt(j, a, t, j.started(), true)
		if j.isDone() {
			s.ended(j, at)
			return end{at: j.won}
		}
		if s.ended(j, at) {
			return end{at: at}
		}
	}
}

func (j *job) started() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts++
	return j.attempts - 1
}

// expire ends the wait for an answer: the process is about to end, and what has not run may be said to have not.
func (j *job) expire() {
	j.mu.Lock()
	defer j.mu.Unlock()
	close(j.cut)
	if j.inline != nil {
		j.inline.SetDeadline(time.Unix(1, 0))
	}
}

func (j *job) isCut() bool {
	select {
	case <-j.cut:
		return true
	default:
		return false
	}
}

func (j *job) isDone() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// best is the answer to pass on where no attempt succeeded.
func (j *job) best() *attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.last
}

// ended tells the chooser how an attempt ended, and whether that is the request's answer.
func (s *Sender) ended(j *job, at *attempt) (answered bool) {
	how, load, after := policy.OK, policy.Load{}, time.Duration(0)
	switch {
	case at.fail != nil:
		s.Count.unanswered(at.fail)
		how, after = outcomeOf(at.fail), max(at.fail.After, leastFull)
	case at.reply.Status >= 500 && at.reply.Inner:
		how = policy.Cancelled // danger: were it the backend's fault, a service that is out would take out all that call it
	case at.reply.Status >= 500:
		how = policy.Error
	}
	if at.reply != nil {
		load = loadOf(&at.reply.Load)
	}
	j.mu.Lock()
	if how != policy.OK && (j.last == nil || j.last.fail != nil && (at.fail == nil || j.last.fail.Verdict == transport.NotRun)) {
		j.last = at
	}
	if how != policy.OK || j.attempts > 1 {
		j.step(at)
	}
	j.mu.Unlock()
	final := how == policy.OK || how == policy.Cancelled // nor would another backend's calls fare better
	j.chooser.outcome(j.call, at.n, at.server, how, load, after, at.reply != nil && at.reply.Arrived, final || j.isDone())
	return final
}

// outcomeOf translates a verdict for the module.
func outcomeOf(f *transport.Failure) policy.Outcome {
	switch {
	case f.Verdict == transport.NotRun && f.Reason == transport.Unreachable:
		return policy.ConnectFailed
	case f.Verdict == transport.NotRun && f.Reason == transport.Own:
		return policy.Moot
	case f.Verdict == transport.NotRun:
		return policy.Full
	case f.Reason == transport.Silent:
		return policy.Timeout
	}
	return policy.Reset
}

// attempt hands the request to a gate and waits for what comes of it.
func (s *Sender) attempt(j *job, a policy.Action, t *target, n int, inline bool) *attempt {
	at := &attempt{n: n, server: a.Server, to: t, began: time.Now()}
	refuse := func(reason transport.Reason) *attempt {
		at.fail = &transport.Failure{Verdict: transport.NotRun, Reason: reason}
		return at
	}
	if t == nil {
		return refuse(transport.Unknown)
	}
	if j.isCut() {
		return refuse(transport.Late)
	}
	if !j.reach() {
		return refuse(transport.Own) // the route's tries are used up
	}
	defer func() {
		if at.fail != nil && at.fail.Verdict == transport.NotRun && (at.reply == nil || !at.reply.Arrived) {
			j.mu.Lock()
			j.reached--
			j.mu.Unlock()
		}
	}()
	s.Count.Attempts.Add(1)
	ask := j.ask
	if ask.Repeat = j.repeated || n > 0; n > 0 {
		s.Count.Repeats.Add(1)
	}
	now := at.began
	ask.Target, ask.Left, ask.Aim = t.backend, j.deadline.Sub(now), j.aim.Sub(now)
	if ask.Left <= 0 {
		return refuse(transport.Late)
	}
	if t.local {
		s.Count.Local.Add(1)
		at.reply, at.body, at.fail = s.here(j, &ask)
	} else {
		at.reply, at.body, at.fail = s.send(j, t.gate, &ask, inline)
	}
	if at.reply != nil && at.reply.Verdict != transport.Ran {
		at.fail = &transport.Failure{Verdict: at.reply.Verdict, Reason: at.reply.Reason, After: at.reply.After}
	}
	return at
}

// here hands a request to the gate on this machine. Danger: a backend that is silent would have the process end with the request
// unanswered, so it is waited for only until then.
func (s *Sender) here(j *job, ask *transport.Ask) (*transport.Reply, []byte, *transport.Failure) {
	type answer struct {
		reply *transport.Reply
		body  []byte
	}
	came := make(chan answer, 1)
	go func() {
		reply, body := s.host.Handle(ask, j.body)
		came <- answer{reply, body}
	}()
	select {
	case a := <-came:
		return a.reply, a.body, nil
	case <-j.cut:
		return nil, nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.Silent}
	}
}

// reach counts a backend that the request is about to be sent to, and says whether the route allows one more. Danger: an attempt
// that is out may have reached its backend, so it counts until it is proven that it did not.
func (j *job) reach() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.reached >= max(1, j.route.Tries) {
		return false
	}
	j.reached++
	return true
}

// exchange hands a request to the gate on another machine. Danger: once a byte of it has gone out only the gate's word proves
// that it did not run.
func (s *Sender) exchange(j *job, gate string, ask *transport.Ask, inline bool) (*transport.Reply, []byte, *transport.Failure) {
	ctx, cancel := context.WithTimeout(context.Background(), min(ask.Left, connectTime))
	c, err := s.links.Get(ctx, gate)
	cancel()
	if err != nil {
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Unreachable, Cause: err}
	}
	c.SetDeadline(j.deadline)
	if inline {
		j.mu.Lock()
		j.inline = c
		j.mu.Unlock()
	}
	held := len(j.body) > longBody // nothing can have run before its body has gone out
	broken := func(err error) (*transport.Reply, []byte, *transport.Failure) {
		s.links.Discard(c)
		f := &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.Broken, Cause: err}
		if held {
			f.Verdict = transport.NotRun
		}
		if isTimeout(err) {
			f.Reason = transport.Silent
		}
		return nil, nil, f
	}
	if j.isDone() || j.isCut() {
		s.links.Put(gate, c)
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Own}
	}
	body := j.body
	if ask.Hold = held; held {
		body = nil
	}
	if err := c.Send(ask, body); err != nil {
		return broken(err)
	}
	var reply transport.Reply
	if err := c.Receive(&reply); err != nil {
		return broken(err)
	}
	if held = false; reply.Go {
		if err := c.SendRaw(j.body); err != nil {
			return broken(err)
		}
		reply = transport.Reply{}
		if err := c.Receive(&reply); err != nil {
			return broken(err)
		}
	}
	text, err := c.Body(reply.Body, mostAnswer)
	if err != nil {
		return broken(err)
	}
	if inline {
		j.mu.Lock()
		j.inline = nil
		j.mu.Unlock()
	}
	c.SetDeadline(time.Time{})
	s.links.Put(gate, c)
	return &reply, text, nil
}

// mostAnswer bounds a backend's answer, in bytes.
const mostAnswer = 64 << 20

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// again carries out an attempt beside one that is out.
func (s *Sender) again(j *job, a policy.Action, t *target) {
	at := s.attempt(j, a, t, j.started(), false)
	if !s.ended(j, at) {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.won == nil {
		j.won = at
		close(j.done)
		if j.inline != nil {
			j.inline.SetReadDeadline(time.Unix(1, 0)) // what the request's own goroutine waits for is not needed
		}
	}
}

// answer tells the client what came of its request, and says whether that is a success.
func (s *Sender) answer(w *answered, j *job, e end) bool {
	at := e.at
	switch {
	case e.refused:
		if at != nil && at.fail != nil {
			e.after = max(e.after, at.fail.After)
		}
		s.refuse(w, e.after)
		return false
	case at == nil || at.fail != nil:
		status, what := http.StatusBadGateway, "no answer"
		if at != nil {
			what = at.fail.Reason.String()
		}
		if at == nil || at.fail.Reason == transport.Silent {
			status = http.StatusGatewayTimeout
		}
		s.Count.Failed.Add(1)
		s.say(w, status, what)
		return false
	}
	h := w.Header()
	for i := 0; i+1 < len(at.reply.Header); i += 2 {
		h.Add(at.reply.Header[i], at.reply.Header[i+1])
	}
	status := at.reply.Status
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		status = http.StatusBadGateway // danger: it ran, and these promise that it did not
	}
	if status < 500 {
		s.Count.Served.Add(1)
	} else {
		s.Count.BackendFailed.Add(1)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h["Date"] = nil
	if j.ask.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(at.body)))
	}
	w.WriteHeader(status)
	w.Write(at.body)
	return status < 500
}

// refuse promises that the request did not run and tells when to come back.
func (s *Sender) refuse(w *answered, after time.Duration) {
	s.Count.Refused.Add(1)
	after = min(max(after, leastAfter), mostAfter)
	w.after = after
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	s.say(w, http.StatusServiceUnavailable, "no room; the request did not run")
}

func (s *Sender) say(w *answered, status int, what string) {
	w.why = what
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(what)+1))
	w.WriteHeader(status)
	io.WriteString(w, what+"\n")
}
