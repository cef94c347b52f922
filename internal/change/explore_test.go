package change

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// The world of the explorer: two managers, the second the newer, each with one change in two parts for all instances;
// instances; and what is on its way between them, which may arrive in any order and as late as it likes: what is lost
// arrives never, which no property can tell from late. One party dies at any
// point, one part fails at any point, managers give up at any point.
type system struct {
	instances   []*instanceModel
	managers    []*managerModel
	inFlight    []message
	crashesLeft int    // that may still happen
	faultsLeft  int    // parts that may still fail
	injectedBug string // bug
}

type instanceModel struct {
	*Instance
	restarts       int
	pendingActions []Action        // of the process, at most one
	applied        map[string]bool // epoch and change: all parts were applied once, and not taken back
	partsInForce   map[string]bool // epoch, change and part that are applied
	highestFence   uint64          // in this epoch
	openCommits    []message       // commits that are to be answered
}

type managerModel struct {
	fence        uint64
	id           string
	targets      []Target
	openRequest  []int // the request that is open at each, 0 for none: an answer comes on its request's connection
	lastNumber   int   // request
	resolvesLeft []int // that it may still send
}

type message struct {
	isAnswer bool
	manager  int
	instance int
	request  Request
	number   int
	payload  Answer
}

// ask opens a request.
func (m *managerModel) openRequestTo(g, i int, r Request) message {
	m.lastNumber++
	m.openRequest[i] = m.lastNumber
	return message{manager: g, instance: i, request: r, number: m.lastNumber}
}

// reply is what goes back.
func (f message) withAnswer(a Answer) message {
	f.isAnswer, f.payload = true, a
	return f
}

var twoParts = Document{Hash: "h", Parts: []string{"service", "decisions"}}

func newSystem(instances int) *system {
	w := &system{crashesLeft: 1, faultsLeft: 1}
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
	c := &system{inFlight: slices.Clone(w.inFlight), crashesLeft: w.crashesLeft, faultsLeft: w.faultsLeft, injectedBug: w.injectedBug}
	for _, m := range w.instances {
		c.instances = append(c.instances, &instanceModel{m.Clone(), m.restarts, slices.Clone(m.pendingActions), maps.Clone(m.applied), maps.Clone(m.partsInForce), m.highestFence, slices.Clone(m.openCommits)})
	}
	for _, m := range w.managers {
		c.managers = append(c.managers, &managerModel{m.fence, m.id, slices.Clone(m.targets), slices.Clone(m.openRequest), m.lastNumber, slices.Clone(m.resolvesLeft)})
	}
	return c
}

// key is the state in canonical form: what is on its way has no order, and instances have none.
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
	return fmt.Sprint(w.crashesLeft, w.faultsLeft, instanceKeys)
}

// canonical tells a message by whether anybody still waits for it, not by its number.
func (w *system) canonicalMessage(f message) string {
	return fmt.Sprint(f.isAnswer, f.manager, f.request, w.managers[f.manager].openRequest[f.instance] == f.number, f.payload)
}

// step is one thing that can happen.
type transition struct {
	description string
	apply       func(w *system) error
}

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
			add(func(w *system) error { return w.runAction(i, nil) }, "instance %d does %d of %s %s", i, a.Kind, a.ID, a.Part)
			if w.faultsLeft > 0 {
				add(func(w *system) error {
					w.faultsLeft--
					return w.runAction(i, errors.New("no"))
				}, "instance %d fails at %d of %s %s", i, a.Kind, a.ID, a.Part)
			}
		}
		if m.phase == prepared {
			add(func(w *system) error { w.instances[i].Tick(w.instances[i].deadline); return nil }, "what instance %d has prepared expires", i)
		}
		if w.crashesLeft > 0 {
			add(func(w *system) error { w.crashesLeft--; w.instances[i].restart(); return nil }, "instance %d dies and is back", i)
		}
	}
	for g, mgr := range w.managers {
		if w.crashesLeft > 0 {
			add(func(w *system) error {
				w.crashesLeft--
				m := w.managers[g]
				for i := range m.targets {
					m.targets[i].Resume()
					m.openRequest[i] = 0
				}
				// What was on its way to it is lost with its connections.
				w.inFlight = slices.DeleteFunc(w.inFlight, func(f message) bool { return f.isAnswer && f.manager == g })
				return nil
			}, "manager %d dies and is back", g)
		}
		commit := !slices.ContainsFunc(mgr.targets, func(t Target) bool { return t.State == Planned || t.State == Preparing })
		for i := range mgr.targets {
			t := mgr.targets[i]
			if mgr.openRequest[i] > 0 {
				add(func(w *system) error {
					m := w.managers[g]
					m.openRequest[i] = 0
					m.targets[i].RecordNoAnswer("no answer")
					if w.injectedBug == "takes silence for a no" && m.targets[i].State == Unknown {
						m.targets[i].State = NotDone
					}
					return nil
				}, "manager %d gives up on instance %d", g, i)
				continue
			}
			if t.NextRequest(commit) != NoRequest {
				add(func(w *system) error {
					m := w.managers[g]
					w.inFlight = append(w.inFlight, m.openRequestTo(g, i, m.targets[i].NextRequest(commit)))
					return nil
				}, "manager %d asks instance %d on", g, i)
			}
			if s := mgr.targets[i]; s.State == Unknown && mgr.resolvesLeft[i] > 0 {
				add(func(w *system) error {
					m := w.managers[g]
					m.resolvesLeft[i]--
					w.inFlight = append(w.inFlight, m.openRequestTo(g, i, m.targets[i].Resolve()))
					return nil
				}, "manager %d settles with instance %d", g, i)
			}
		}
	}
	return transitions
}

func (f message) String() string {
	if f.isAnswer {
		return fmt.Sprintf("instance %d answers manager %d: epoch %s, outcome %s, error %v", f.instance, f.manager, f.payload.Epoch, f.payload.Result.Outcome, f.payload.Err)
	}
	return fmt.Sprintf("request %d of manager %d comes to instance %d", f.request, f.manager, f.instance)
}

// deliver hands a message to whom it is for.
func (w *system) deliver(f message) error {
	mgr, m := w.managers[f.manager], w.instances[f.instance]
	fence := mgr.fence
	if w.injectedBug == "forgets who is newer" {
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
				return fmt.Errorf("a change of manager %d begins after a newer one was heard", f.manager)
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
		m.openCommits = append(m.openCommits, f) // it is answered when it has ended
		return nil
	}
	w.inFlight = append(w.inFlight, f.withAnswer(a))
	return nil
}

// work carries out what the process is to do.
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

// check is what must hold in every state.
func (w *system) checkInvariants() error {
	for g, mgr := range w.managers {
		for i, t := range mgr.targets {
			m := w.instances[i]
			changeKey := t.Epoch + "/" + mgr.id
			switch t.State {
			case Done:
				if !m.applied[changeKey] {
					return fmt.Errorf("manager %d says that instance %d has applied it in %s, and it has not", g, i, t.Epoch)
				}
			case NotDone:
				if m.applied[changeKey] {
					return fmt.Errorf("manager %d says that instance %d is unchanged in %s, and it has applied it", g, i, t.Epoch)
				}
			case PartlyDone:
				for _, part := range twoParts.Parts {
					if m.partsInForce[changeKey+"/"+part] != slices.Contains(t.Parts, part) {
						return fmt.Errorf("manager %d says that instance %d has parts %v", g, i, t.Parts)
					}
				}
			}
		}
	}
	return nil
}

// explore goes through all that can happen, the shortest stories first. Its error tells the shortest that breaks a
// property.
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

// Whatever happens, and whoever dies, nobody says of an instance what is not so.
func TestExplore(t *testing.T) {
	if testing.Short() {
		t.Skip("some hundred thousand states")
	}
	states, err := explore(newSystem(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states", states)
}

// The explorer finds what is planted.
func TestExplorerFindsBugs(t *testing.T) {
	for _, bug := range []string{"takes silence for a no", "forgets who is newer"} {
		w := newSystem(1)
		w.injectedBug = bug
		if _, err := explore(w); err == nil {
			t.Errorf("%s: not found", bug)
		} else {
			t.Logf("%s: %v", bug, err)
		}
	}
}
