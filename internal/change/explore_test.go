package change

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// system is the model that the tests in this file explore exhaustively. It has instances and two
// managers, the second one newer, each with one change of two parts for all instances. Messages
// arrive in any order and with any delay. A lost message is one that never arrives, which no
// invariant can tell from a late one. One process restarts at any point, one part fails at any
// point, and managers stop waiting for an answer at any point.
type system struct {
	instances    []*instanceModel
	managers     []*managerModel
	inFlight     []message
	restartsLeft int    // number of restarts that may still happen
	failuresLeft int    // number of parts that may still fail
	injectedBug  string // name of a deliberate bug, "" for none
}

type instanceModel struct {
	*Instance
	restarts       int
	pendingActions []Action        // actions of the process, at most one
	applied        map[string]bool // by epoch and change: all parts were applied and not reverted
	partsInForce   map[string]bool // by epoch, change and part: the part is applied
	highestFence   uint64          // highest fencing token of an accepted request in this epoch
	openCommits    []message       // commits that are not answered yet
}

type managerModel struct {
	fence   uint64
	id      string
	targets []Target
	// openRequest has the number of the open request to each instance, 0 for none. An answer
	// arrives on the connection of its request, so only the answer to the open request counts.
	openRequest  []int
	lastNumber   int   // number of the last request
	resolvesLeft []int // number of aborts that may still be sent to each instance
}

type message struct {
	isAnswer bool
	manager  int
	instance int
	request  Request
	number   int
	payload  Answer
}

// openRequestTo returns a new request to an instance and marks it open.
func (m *managerModel) openRequestTo(g, i int, r Request) message {
	m.lastNumber++
	m.openRequest[i] = m.lastNumber
	return message{manager: g, instance: i, request: r, number: m.lastNumber}
}

// withAnswer returns the answer to a request.
func (f message) withAnswer(a Answer) message {
	f.isAnswer, f.payload = true, a
	return f
}

var twoParts = Document{Hash: "h", Parts: []string{"service", "decisions"}}

func newSystem(instances int) *system {
	w := &system{restartsLeft: 1, failuresLeft: 1}
	for range instances {
		w.instances = append(w.instances, &instanceModel{
			Instance: NewInstance("e0", 0, Document{Hash: "0", Parts: twoParts.Parts}), applied: map[string]bool{}, partsInForce: map[string]bool{},
		})
	}
	for m := range 2 {
		mgr := &managerModel{fence: uint64(m + 1), id: fmt.Sprintf("c%d", m+1)}
		for range instances {
			mgr.targets = append(mgr.targets, Target{})
			mgr.openRequest = append(mgr.openRequest, 0)
			mgr.resolvesLeft = append(mgr.resolvesLeft, 1)
		}
		w.managers = append(w.managers, mgr)
	}
	return w
}

func (w *system) clone() *system {
	c := &system{inFlight: slices.Clone(w.inFlight), restartsLeft: w.restartsLeft, failuresLeft: w.failuresLeft, injectedBug: w.injectedBug}
	for _, m := range w.instances {
		c.instances = append(c.instances, &instanceModel{m.Clone(), m.restarts, slices.Clone(m.pendingActions), maps.Clone(m.applied), maps.Clone(m.partsInForce), m.highestFence, slices.Clone(m.openCommits)})
	}
	for _, m := range w.managers {
		c.managers = append(c.managers, &managerModel{m.fence, m.id, slices.Clone(m.targets), slices.Clone(m.openRequest), m.lastNumber, slices.Clone(m.resolvesLeft)})
	}
	return c
}

// stateKey returns the state in canonical form, in which messages in flight and instances are
// sorted.
func (w *system) stateKey() string {
	instanceKeys := make([]string, len(w.instances))
	for i, m := range w.instances {
		var b strings.Builder
		fmt.Fprint(&b, m.Describe(), m.pendingActions, m.applied, m.partsInForce, m.highestFence)
		for _, f := range m.openCommits {
			fmt.Fprint(&b, w.canonicalMessage(f))
		}
		for _, mgr := range w.managers {
			fmt.Fprint(&b, mgr.targets[i], mgr.openRequest[i] > 0, mgr.resolvesLeft[i])
		}
		var messages []string
		for _, f := range w.inFlight {
			if f.instance == i {
				messages = append(messages, w.canonicalMessage(f))
			}
		}
		slices.Sort(messages)
		fmt.Fprint(&b, messages)
		instanceKeys[i] = b.String()
	}
	slices.Sort(instanceKeys)
	return fmt.Sprint(w.restartsLeft, w.failuresLeft, instanceKeys)
}

// canonicalMessage returns a message as text. In place of its number it has whether the manager
// still waits for the answer.
func (w *system) canonicalMessage(f message) string {
	return fmt.Sprint(f.isAnswer, f.manager, f.request, w.managers[f.manager].openRequest[f.instance] == f.number, f.payload)
}

// transition is one event that can happen in a state.
type transition struct {
	description string
	apply       func(w *system) error
}

// transitions returns all events that can happen in the current state.
func (w *system) transitions() (transitions []transition) {
	add := func(apply func(w *system) error, format string, args ...any) {
		transitions = append(transitions, transition{fmt.Sprintf(format, args...), apply})
	}
	for k, f := range w.inFlight {
		add(func(w *system) error {
			w.inFlight = slices.Delete(w.inFlight, k, k+1)
			return w.deliver(f)
		}, "%s", f)
	}
	for i, m := range w.instances {
		if len(m.pendingActions) > 0 {
			a := m.pendingActions[0]
			add(func(w *system) error { return w.runAction(i, nil) }, "instance %d carries out action %d of %s %s", i, a.Kind, a.ID, a.Part)
			if w.failuresLeft > 0 {
				add(func(w *system) error {
					w.failuresLeft--
					return w.runAction(i, errors.New("no"))
				}, "instance %d fails action %d of %s %s", i, a.Kind, a.ID, a.Part)
			}
		}
		if m.phase == prepared {
			add(func(w *system) error { w.instances[i].Tick(w.instances[i].deadline); return nil }, "the prepared change of instance %d expires", i)
		}
		if w.restartsLeft > 0 {
			add(func(w *system) error { w.restartsLeft--; w.instances[i].restart(); return nil }, "instance %d restarts", i)
		}
	}
	for g, mgr := range w.managers {
		if w.restartsLeft > 0 {
			add(func(w *system) error {
				w.restartsLeft--
				m := w.managers[g]
				for i := range m.targets {
					m.targets[i].Resume()
					m.openRequest[i] = 0
				}
				// Answers in flight are lost with the connections of the manager.
				w.inFlight = slices.DeleteFunc(w.inFlight, func(f message) bool { return f.isAnswer && f.manager == g })
				return nil
			}, "manager %d restarts", g)
		}
		commit := !slices.ContainsFunc(mgr.targets, func(t Target) bool { return t.State == Planned || t.State == Preparing })
		for i := range mgr.targets {
			t := mgr.targets[i]
			if mgr.openRequest[i] > 0 {
				add(func(w *system) error {
					m := w.managers[g]
					m.openRequest[i] = 0
					m.targets[i].RecordNoAnswer("no answer")
					if w.injectedBug == "treats a missing answer as unchanged" && m.targets[i].State == Unknown {
						m.targets[i].State = NotDone
					}
					return nil
				}, "manager %d stops waiting for instance %d", g, i)
				continue
			}
			if t.NextRequest(commit) != NoRequest {
				add(func(w *system) error {
					m := w.managers[g]
					w.inFlight = append(w.inFlight, m.openRequestTo(g, i, m.targets[i].NextRequest(commit)))
					return nil
				}, "manager %d sends the next request to instance %d", g, i)
			}
			if s := mgr.targets[i]; s.State == Unknown && mgr.resolvesLeft[i] > 0 {
				add(func(w *system) error {
					m := w.managers[g]
					m.resolvesLeft[i]--
					w.inFlight = append(w.inFlight, m.openRequestTo(g, i, m.targets[i].Resolve()))
					return nil
				}, "manager %d resolves its change on instance %d", g, i)
			}
		}
	}
	return transitions
}

func (f message) String() string {
	if f.isAnswer {
		return fmt.Sprintf("instance %d answers manager %d: epoch %s, outcome %s, error %v", f.instance, f.manager, f.payload.Epoch, f.payload.Result.Outcome, f.payload.Err)
	}
	return fmt.Sprintf("request %d of manager %d arrives at instance %d", f.request, f.manager, f.instance)
}

// deliver hands a message to its receiver.
func (w *system) deliver(f message) error {
	mgr, m := w.managers[f.manager], w.instances[f.instance]
	fence := mgr.fence
	if w.injectedBug == "forgets the highest fencing token" {
		fence, m.fence = 1, 0
	}
	if f.isAnswer {
		if mgr.openRequest[f.instance] == f.number {
			mgr.openRequest[f.instance] = 0
			mgr.targets[f.instance].RecordAnswer(f.payload)
		}
		return nil
	}
	a := Answer{Epoch: m.Epoch()}
	switch f.request {
	case RequestPrepare:
		a.Err = m.Prepare(0, fence, mgr.id, 0, twoParts, 0)
	case RequestCommit:
		var actions []Action
		if actions, a.Err = m.Commit(0, fence, mgr.id); len(actions) > 0 {
			if mgr.fence < m.highestFence {
				return fmt.Errorf("a change of manager %d starts after a request of a newer manager", f.manager)
			}
			if len(m.pendingActions) > 0 {
				return errors.New("two changes are under way")
			}
			m.pendingActions = actions
		}
	case RequestAbort:
		a.Result, a.Err = m.Abort(0, fence, mgr.id)
	}
	if a.Err == nil {
		m.highestFence = max(m.highestFence, mgr.fence)
	}
	if r, ok := m.Result(mgr.id); ok {
		a.Result = r
	}
	a.Fenced = errors.Is(a.Err, ErrFenced)
	if f.request == RequestCommit && a.Err == nil && a.Result.Outcome == None {
		m.openCommits = append(m.openCommits, f) // it is answered when the change has ended
		return nil
	}
	w.inFlight = append(w.inFlight, f.withAnswer(a))
	return nil
}

// runAction carries out the next action of an instance, which fails with err if that is not nil.
func (w *system) runAction(i int, err error) error {
	m := w.instances[i]
	a := m.pendingActions[0]
	part := m.epoch + "/" + a.ID + "/" + a.Part
	if err == nil {
		if a.Kind == ApplyPart {
			m.partsInForce[part] = true
		} else {
			delete(m.partsInForce, part)
		}
	}
	m.pendingActions = m.ActionDone(0, a, err)
	if r, ok := m.Result(a.ID); ok {
		m.applied[m.epoch+"/"+a.ID] = r.Outcome == Applied
		for _, f := range m.openCommits {
			w.inFlight = append(w.inFlight, f.withAnswer(Answer{Epoch: m.epoch, Result: r}))
		}
		m.openCommits = nil
	}
	return nil
}

func (m *instanceModel) restart() {
	m.restarts++
	m.Instance = NewInstance(fmt.Sprintf("e%d", m.restarts), 0, Document{Hash: "0", Parts: twoParts.Parts})
	m.pendingActions, m.highestFence, m.openCommits = nil, 0, nil
}

// checkInvariants returns an error if the state of a manager contradicts an instance.
func (w *system) checkInvariants() error {
	for g, mgr := range w.managers {
		for i, t := range mgr.targets {
			m := w.instances[i]
			changeKey := t.Epoch + "/" + mgr.id
			switch t.State {
			case Done:
				if !m.applied[changeKey] {
					return fmt.Errorf("manager %d records the change as applied on instance %d in %s, and it is not applied", g, i, t.Epoch)
				}
			case NotDone:
				if m.applied[changeKey] {
					return fmt.Errorf("manager %d records instance %d as unchanged in %s, and the change is applied", g, i, t.Epoch)
				}
			case PartlyDone:
				for _, part := range twoParts.Parts {
					if m.partsInForce[changeKey+"/"+part] != slices.Contains(t.Parts, part) {
						return fmt.Errorf("manager %d records the wrong applied parts of instance %d: %v", g, i, t.Parts)
					}
				}
			}
		}
	}
	return nil
}

// explore visits all states that can be reached, breadth first. Its error has the shortest sequence
// of events that violates an invariant.
func explore(initial *system) (states int, err error) {
	type node struct {
		system      *system
		previous    *node
		description string
	}
	queue := []*node{{system: initial}}
	seen := map[string]struct{}{initial.stateKey(): {}}
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		for _, s := range n.system.transitions() {
			next := &node{n.system.clone(), n, s.description}
			err := s.apply(next.system)
			if err == nil {
				err = next.system.checkInvariants()
			}
			if err != nil {
				var trace []string
				for m := next; m.previous != nil; m = m.previous {
					trace = append(trace, m.description)
				}
				slices.Reverse(trace)
				return len(seen), fmt.Errorf("%w\n\t%s", err, strings.Join(trace, "\n\t"))
			}
			key := next.system.stateKey()
			if _, known := seen[key]; !known {
				seen[key] = struct{}{}
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil
}

// No sequence of delays, failures and restarts makes a manager record a wrong state of an instance.
func TestExplore(t *testing.T) {
	if testing.Short() {
		t.Skip("explores several hundred thousand states")
	}
	states, err := explore(newSystem(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states", states)
}

// The exploration finds deliberate bugs.
func TestExplorerFindsBugs(t *testing.T) {
	for _, bug := range []string{"treats a missing answer as unchanged", "forgets the highest fencing token"} {
		w := newSystem(1)
		w.injectedBug = bug
		if _, err := explore(w); err == nil {
			t.Errorf("%s: not found", bug)
		} else {
			t.Logf("%s: %v", bug, err)
		}
	}
}
