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
func (msg message) withAnswer(a Answer) message {
	msg.isAnswer, msg.payload = true, a
	return msg
}

var twoParts = Document{Hash: "h", Parts: []string{"service", "decisions"}}

func newSystem(instances int) *system {
	sys := &system{restartsLeft: 1, failuresLeft: 1}
	for range instances {
		sys.instances = append(sys.instances, &instanceModel{
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
		sys.managers = append(sys.managers, mgr)
	}
	return sys
}

func (sys *system) clone() *system {
	c := &system{inFlight: slices.Clone(sys.inFlight), restartsLeft: sys.restartsLeft, failuresLeft: sys.failuresLeft, injectedBug: sys.injectedBug}
	for _, m := range sys.instances {
		c.instances = append(c.instances, &instanceModel{m.Clone(), m.restarts, slices.Clone(m.pendingActions), maps.Clone(m.applied), maps.Clone(m.partsInForce), m.highestFence, slices.Clone(m.openCommits)})
	}
	for _, m := range sys.managers {
		c.managers = append(c.managers, &managerModel{m.fence, m.id, slices.Clone(m.targets), slices.Clone(m.openRequest), m.lastNumber, slices.Clone(m.resolvesLeft)})
	}
	return c
}

// stateKey returns the state in canonical form, in which messages in flight and instances are
// sorted.
func (sys *system) stateKey() string {
	instanceKeys := make([]string, len(sys.instances))
	for i, m := range sys.instances {
		var b strings.Builder
		fmt.Fprint(&b, m.Describe(), m.pendingActions, m.applied, m.partsInForce, m.highestFence)
		for _, msg := range m.openCommits {
			fmt.Fprint(&b, sys.canonicalMessage(msg))
		}
		for _, mgr := range sys.managers {
			fmt.Fprint(&b, mgr.targets[i], mgr.openRequest[i] > 0, mgr.resolvesLeft[i])
		}
		var messages []string
		for _, msg := range sys.inFlight {
			if msg.instance == i {
				messages = append(messages, sys.canonicalMessage(msg))
			}
		}
		slices.Sort(messages)
		fmt.Fprint(&b, messages)
		instanceKeys[i] = b.String()
	}
	slices.Sort(instanceKeys)
	return fmt.Sprint(sys.restartsLeft, sys.failuresLeft, instanceKeys)
}

// canonicalMessage returns a message as text. In place of its number it has whether the manager
// still waits for the answer.
func (sys *system) canonicalMessage(msg message) string {
	return fmt.Sprint(msg.isAnswer, msg.manager, msg.request, sys.managers[msg.manager].openRequest[msg.instance] == msg.number, msg.payload)
}

// transition is one event that can happen in a state.
type transition struct {
	description string
	apply       func(sys *system) error
}

// transitions returns all events that can happen in the current state.
func (sys *system) transitions() (transitions []transition) {
	add := func(apply func(sys *system) error, format string, args ...any) {
		transitions = append(transitions, transition{fmt.Sprintf(format, args...), apply})
	}
	for k, msg := range sys.inFlight {
		add(func(sys *system) error {
			sys.inFlight = slices.Delete(sys.inFlight, k, k+1)
			return sys.deliver(msg)
		}, "%s", msg)
	}
	for i, m := range sys.instances {
		if len(m.pendingActions) > 0 {
			a := m.pendingActions[0]
			add(func(sys *system) error { return sys.runAction(i, nil) }, "instance %d carries out action %d of %s %s", i, a.Kind, a.ID, a.Part)
			if sys.failuresLeft > 0 {
				add(func(sys *system) error {
					sys.failuresLeft--
					return sys.runAction(i, errors.New("no"))
				}, "instance %d fails action %d of %s %s", i, a.Kind, a.ID, a.Part)
			}
		}
		if m.phase == prepared {
			add(func(sys *system) error { sys.instances[i].Tick(sys.instances[i].deadline); return nil }, "the prepared change of instance %d expires", i)
		}
		if sys.restartsLeft > 0 {
			add(func(sys *system) error { sys.restartsLeft--; sys.instances[i].restart(); return nil }, "instance %d restarts", i)
		}
	}
	for g, mgr := range sys.managers {
		if sys.restartsLeft > 0 {
			add(func(sys *system) error {
				sys.restartsLeft--
				m := sys.managers[g]
				for i := range m.targets {
					m.targets[i].Resume()
					m.openRequest[i] = 0
				}
				// Answers in flight are lost with the connections of the manager.
				sys.inFlight = slices.DeleteFunc(sys.inFlight, func(msg message) bool { return msg.isAnswer && msg.manager == g })
				return nil
			}, "manager %d restarts", g)
		}
		commit := !slices.ContainsFunc(mgr.targets, func(t Target) bool { return t.State == Planned || t.State == Preparing })
		for i := range mgr.targets {
			t := mgr.targets[i]
			if mgr.openRequest[i] > 0 {
				add(func(sys *system) error {
					m := sys.managers[g]
					m.openRequest[i] = 0
					m.targets[i].RecordNoAnswer("no answer")
					if sys.injectedBug == "treats a missing answer as unchanged" && m.targets[i].State == Unknown {
						m.targets[i].State = NotDone
					}
					return nil
				}, "manager %d stops waiting for instance %d", g, i)
				continue
			}
			if t.NextRequest(commit) != NoRequest {
				add(func(sys *system) error {
					m := sys.managers[g]
					sys.inFlight = append(sys.inFlight, m.openRequestTo(g, i, m.targets[i].NextRequest(commit)))
					return nil
				}, "manager %d sends the next request to instance %d", g, i)
			}
			if s := mgr.targets[i]; s.State == Unknown && mgr.resolvesLeft[i] > 0 {
				add(func(sys *system) error {
					m := sys.managers[g]
					m.resolvesLeft[i]--
					sys.inFlight = append(sys.inFlight, m.openRequestTo(g, i, m.targets[i].Resolve()))
					return nil
				}, "manager %d resolves its change on instance %d", g, i)
			}
		}
	}
	return transitions
}

func (msg message) String() string {
	if msg.isAnswer {
		return fmt.Sprintf("instance %d answers manager %d: epoch %s, outcome %s, error %v", msg.instance, msg.manager, msg.payload.Epoch, msg.payload.Result.Outcome, msg.payload.Err)
	}
	return fmt.Sprintf("request %d of manager %d arrives at instance %d", msg.request, msg.manager, msg.instance)
}

// deliver hands a message to its receiver.
func (sys *system) deliver(msg message) error {
	mgr, m := sys.managers[msg.manager], sys.instances[msg.instance]
	fence := mgr.fence
	if sys.injectedBug == "forgets the highest fencing token" {
		fence, m.fence = 1, 0
	}
	if msg.isAnswer {
		if mgr.openRequest[msg.instance] == msg.number {
			mgr.openRequest[msg.instance] = 0
			mgr.targets[msg.instance].RecordAnswer(msg.payload)
		}
		return nil
	}
	a := Answer{Epoch: m.Epoch()}
	switch msg.request {
	case RequestPrepare:
		a.Err = m.Prepare(0, fence, mgr.id, 0, twoParts, 0)
	case RequestCommit:
		var actions []Action
		if actions, a.Err = m.Commit(0, fence, mgr.id); len(actions) > 0 {
			if mgr.fence < m.highestFence {
				return fmt.Errorf("a change of manager %d starts after a request of a newer manager", msg.manager)
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
	if msg.request == RequestCommit && a.Err == nil && a.Result.Outcome == None {
		m.openCommits = append(m.openCommits, msg) // it is answered when the change has ended
		return nil
	}
	sys.inFlight = append(sys.inFlight, msg.withAnswer(a))
	return nil
}

// runAction carries out the next action of an instance, which fails with err if that is not nil.
func (sys *system) runAction(i int, err error) error {
	m := sys.instances[i]
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
		for _, msg := range m.openCommits {
			sys.inFlight = append(sys.inFlight, msg.withAnswer(Answer{Epoch: m.epoch, Result: r}))
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
func (sys *system) checkInvariants() error {
	for g, mgr := range sys.managers {
		for i, t := range mgr.targets {
			m := sys.instances[i]
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
		sys := newSystem(1)
		sys.injectedBug = bug
		if _, err := explore(sys); err == nil {
			t.Errorf("%s: not found", bug)
		} else {
			t.Logf("%s: %v", bug, err)
		}
	}
}
