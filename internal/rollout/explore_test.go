package rollout

import (
	"errors"
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/change"
)

// system is the model that the tests in this file explore exhaustively. It has two instances and
// two managers, the second one newer, each with a rollout of its own document in two waves.
// Messages arrive in any order and with any delay. A lost message is one that never arrives, which
// no invariant can tell from a late one. One process restarts at any point, and managers stop
// waiting for an answer at any point. A manager that ends between writing its journal and sending
// is the same as a lost request, and one that ends between an answer and writing its journal is the
// same as a lost answer, so neither needs a transition of its own.
type system struct {
	instances     [2]instanceModel
	managers      [2]managerModel
	inFlight      []message
	restartsLeft  int
	singleManager bool // the second manager never starts
	injectedBug   string
}

type instanceModel struct {
	*change.Instance
	restarts int
	applied  map[string]bool // by epoch and change: the change was applied and not reverted by the instance
}

type managerModel struct {
	*Rollout
	// openRequest has the number of the open request to each instance, 0 for none. An answer
	// arrives on the connection of its request, so only the answer to the open request counts.
	openRequest      [2]int
	lastNumber       int
	observationsLeft int // number of observations that may still happen
	now              time.Duration
}

type message struct {
	isAnswer bool
	manager  int
	instance int
	request  OutgoingRequest
	number   int
	payload  change.Answer
}

func documentOf(hash string) change.Document {
	return change.Document{Hash: hash, Parts: []string{"whole"}}
}

// newSystem returns the initial state with two managers, or one if singleManager is set. Each
// manager observes instances as many times as given.
func newSystem(singleManager bool, observations int) *system {
	sys := &system{restartsLeft: 1, singleManager: singleManager}
	for i := range sys.instances {
		sys.instances[i] = instanceModel{Instance: change.NewInstance("e0", 0, documentOf("old")), applied: map[string]bool{}}
	}
	for g := range sys.managers {
		var planned []PlannedInstance
		for i := range sys.instances {
			planned = append(planned, PlannedInstance{fmt.Sprint(i), Observation{Epoch: "e0", Hash: "old"}})
		}
		sys.managers[g] = managerModel{Rollout: New(1, fmt.Sprintf("r%d", g), fmt.Sprintf("d%d", g), change.Limits{Canaries: 1, Growth: 1}, planned), observationsLeft: observations, now: 2}
		sys.managers[g].MarkSaved()
	}
	return sys
}

func (sys *system) clone() *system {
	c := &system{inFlight: slices.Clone(sys.inFlight), restartsLeft: sys.restartsLeft, singleManager: sys.singleManager, injectedBug: sys.injectedBug}
	for i := range sys.instances {
		m := &sys.instances[i]
		c.instances[i] = instanceModel{m.Clone(), m.restarts, maps.Clone(m.applied)}
	}
	for g := range sys.managers {
		m := &sys.managers[g]
		c.managers[g] = managerModel{m.clone(), m.openRequest, m.lastNumber, m.observationsLeft, m.now}
	}
	return c
}

// clone returns a copy of the rollout, including the state that is not in the journal.
func (r *Rollout) clone() *Rollout {
	c := &Rollout{Header: r.Header, firstAdvance: r.firstAdvance, byName: map[string]*Member{}, unsavedMembers: map[*Member]struct{}{}}
	for _, m := range r.members {
		n := *m
		c.members = append(c.members, &n)
		c.byName[n.Name] = &n
	}
	return c
}

var hashSeed = maphash.MakeSeed()

// stateHash returns a hash of the state in canonical form, in which messages in flight are sorted.
func (sys *system) stateHash() uint64 {
	var b strings.Builder
	fmt.Fprint(&b, sys.restartsLeft)
	for i := range sys.instances {
		m := &sys.instances[i]
		fmt.Fprint(&b, m.Describe(), m.applied)
	}
	for g := range sys.managers {
		m := &sys.managers[g]
		fmt.Fprint(&b, m.Wave, m.Status, m.observationsLeft, m.now, m.Baking)
		for i, x := range m.members {
			fmt.Fprint(&b, x.Epoch, x.Base, x.Target, x.Try, x.commitUnresolved, x.Backing, x.Back, x.observed.Epoch, x.observedAt, m.openRequest[i] > 0)
		}
	}
	messages := make([]string, len(sys.inFlight))
	for i, msg := range sys.inFlight {
		messages[i] = fmt.Sprint(msg.isAnswer, msg.manager, msg.instance, msg.request.Request, msg.request.ID, sys.managers[msg.manager].openRequest[msg.instance] == msg.number, msg.payload)
	}
	slices.Sort(messages)
	fmt.Fprint(&b, messages)
	return maphash.String(hashSeed, b.String())
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
	if sys.restartsLeft > 0 {
		for i := range sys.instances {
			add(func(sys *system) error {
				sys.restartsLeft--
				m := &sys.instances[i]
				m.restarts++
				m.Instance = change.NewInstance(fmt.Sprintf("e%d", m.restarts), 0, documentOf("old"))
				return nil
			}, "instance %d restarts", i)
		}
	}
	for g := range sys.managers {
		if sys.singleManager && g > 0 {
			break
		}
		m := &sys.managers[g]
		if sys.restartsLeft > 0 {
			add(func(sys *system) error {
				sys.restartsLeft--
				m := &sys.managers[g]
				var members []Member
				for _, x := range m.members {
					n := *x
					n.requestOpen, n.observed = false, Observation{}
					members = append(members, n)
				}
				m.Rollout, m.openRequest = Restore(m.Header, members), [2]int{}
				// Answers in flight are lost with the connections of the manager.
				sys.inFlight = slices.DeleteFunc(sys.inFlight, func(msg message) bool { return msg.isAnswer && msg.manager == g })
				return sys.advanceManager(g)
			}, "manager %d restarts", g)
		}
		for i := range sys.instances {
			if m.openRequest[i] > 0 {
				add(func(sys *system) error {
					m := &sys.managers[g]
					m.openRequest[i] = 0
					m.RecordNoAnswer(fmt.Sprint(i), "no answer")
					if t := m.members[i].activeTarget(); sys.injectedBug == "treats a missing answer as unchanged" && t.State == change.Unknown {
						t.State = change.NotDone
					}
					return sys.advanceManager(g)
				}, "manager %d stops waiting for instance %d", g, i)
			} else if m.observationsLeft > 0 && m.Status != Superseded {
				add(func(sys *system) error {
					m := &sys.managers[g]
					m.observationsLeft--
					x := &sys.instances[i]
					for _, s := range m.Observe(m.now, fmt.Sprint(i), Observation{Epoch: x.Epoch(), Revision: x.Revision(), Hash: x.Current().Hash}) {
						sys.sendRequest(g, s)
					}
					return sys.advanceManager(g)
				}, "manager %d observes instance %d", g, i)
			}
		}
		if m.Baking > 0 && m.now == 2 {
			add(func(sys *system) error {
				sys.managers[g].now += 2 * unobservedTimeout
				return sys.advanceManager(g)
			}, "the observation time of manager %d passes", g)
		}
		if m.lastNumber == 0 {
			add(func(sys *system) error { return sys.advanceManager(g) }, "manager %d starts", g)
		}
	}
	return transitions
}

func (msg message) String() string {
	if msg.isAnswer {
		return fmt.Sprintf("instance %d answers manager %d: epoch %s, outcome %s, error %v", msg.instance, msg.manager, msg.payload.Epoch, msg.payload.Result.Outcome, msg.payload.Err)
	}
	return fmt.Sprintf("request %d of manager %d for %s arrives at instance %d", msg.request.Request, msg.manager, msg.request.ID, msg.instance)
}

// sendRequest puts a request in flight and marks it open.
func (sys *system) sendRequest(g int, s OutgoingRequest) {
	m := &sys.managers[g]
	i := int(s.Instance[0] - '0')
	m.lastNumber++
	m.openRequest[i] = m.lastNumber
	sys.inFlight = append(sys.inFlight, message{manager: g, instance: i, request: s, number: m.lastNumber})
}

// advanceManager advances the rollout of a manager until neither its status nor its wave changes.
func (sys *system) advanceManager(g int) error {
	m := &sys.managers[g]
	for {
		if sys.injectedBug == "does not wait for the previous wave" && m.Wave == 0 && m.members[0].Target.State == change.Committing {
			m.Wave = 1
		}
		status, wave := m.Status, m.Wave
		for _, s := range m.Advance(m.now) {
			if s.Request == change.RequestCommit && s.Instance == "1" && !m.members[1].Backing && m.members[0].Target.State != change.Done {
				return fmt.Errorf("manager %d commits its second wave while the instance of its first wave is %s", g, m.members[0].Target.State)
			}
			sys.sendRequest(g, s)
		}
		m.MarkSaved()
		if status == m.Status && wave == m.Wave {
			return nil
		}
	}
}

// deliver hands a message to its receiver.
func (sys *system) deliver(msg message) error {
	mgr, m := &sys.managers[msg.manager], &sys.instances[msg.instance]
	if msg.isAnswer {
		if mgr.openRequest[msg.instance] != msg.number {
			return nil
		}
		mgr.openRequest[msg.instance] = 0
		mgr.RecordAnswer(mgr.now, fmt.Sprint(msg.instance), msg.payload)
		return sys.advanceManager(msg.manager)
	}
	fence := uint64(msg.manager + 1)
	a := change.Answer{Epoch: m.Epoch()}
	switch msg.request.Request {
	case change.RequestPrepare:
		a.Err = m.Prepare(0, fence, msg.request.ID, msg.request.Base, documentOf(msg.request.Document), 0)
	case change.RequestCommit:
		var actions []change.Action
		actions, a.Err = m.Commit(0, fence, msg.request.ID)
		for len(actions) > 0 {
			actions = m.ActionDone(0, actions[0], nil)
		}
	case change.RequestAbort:
		a.Result, a.Err = m.Abort(0, fence, msg.request.ID)
	}
	if r, ok := m.Result(msg.request.ID); ok {
		a.Result = r
		m.applied[m.Epoch()+"/"+msg.request.ID] = r.Outcome == change.Applied
	}
	a.Fenced = errors.Is(a.Err, change.ErrFenced)
	msg.isAnswer, msg.payload = true, a
	sys.inFlight = append(sys.inFlight, msg)
	return nil
}

// checkInvariants returns an error if the state of a manager contradicts an instance.
func (sys *system) checkInvariants() error {
	for g := range sys.managers {
		mgr := &sys.managers[g]
		for i, x := range mgr.members {
			m := &sys.instances[i]
			for _, tracked := range []struct {
				id string
				t  *change.Target
			}{{mgr.changeID(x), &x.Target}, {mgr.revertID(x), &x.Back}} {
				applied := m.applied[tracked.t.Epoch+"/"+tracked.id]
				if tracked.t.State == change.Done && !applied {
					return fmt.Errorf("manager %d, instance %d: %s is recorded as applied in %s, and it is not applied", g, i, tracked.id, tracked.t.Epoch)
				}
				if tracked.t.State == change.NotDone && applied {
					return fmt.Errorf("manager %d records instance %d as unchanged by %s in %s, and the change is applied", g, i, tracked.id, tracked.t.Epoch)
				}
			}
			if x.Back.State == change.Done && x.Back.Epoch == m.Epoch() && m.Current().Hash == mgr.Document {
				return fmt.Errorf("manager %d records instance %d as reverted, and it has %s", g, i, mgr.Document)
			}
		}
	}
	return nil
}

// explore visits all states that can be reached, breadth first, up to maxStates. Its error has the
// shortest sequence of events that violates an invariant. It returns the number of states, the
// number left unexplored, and the number of states by the statuses of both managers.
func explore(initial *system, maxStates int) (states, unexplored int, statusCounts map[string]int, err error) {
	type node struct {
		previous    int
		description string
	}
	type queuedState struct {
		system *system
		node   int
	}
	var nodes []node
	queue := []queuedState{{initial, -1}}
	seen := map[uint64]struct{}{initial.stateHash(): {}}
	statusCounts = map[string]int{}
	for len(queue) > 0 && len(seen) < maxStates {
		queued := queue[0]
		queue = queue[1:]
		for _, s := range queued.system.transitions() {
			next := queued.system.clone()
			err := s.apply(next)
			if err == nil {
				err = next.checkInvariants()
			}
			if err != nil {
				trace := []string{s.description}
				for at := queued.node; at >= 0; at = nodes[at].previous {
					trace = append(trace, nodes[at].description)
				}
				slices.Reverse(trace)
				return len(seen), len(queue), statusCounts, fmt.Errorf("%w\n\t%s", err, strings.Join(trace, "\n\t"))
			}
			key := next.stateHash()
			if _, known := seen[key]; known {
				continue
			}
			seen[key] = struct{}{}
			nodes = append(nodes, node{queued.node, s.description})
			queue = append(queue, queuedState{next, len(nodes) - 1})
			statusCounts[next.managers[0].Status.String()+", "+next.managers[1].Status.String()]++
		}
	}
	return len(seen), len(queue), statusCounts, nil
}

var observationsFlag = flag.Int("looks", 1, "number of times that each of two managers observes an instance; 2 gives 2.9 million states")

// No sequence of delays and restarts makes a manager record a wrong state of an instance, or commit
// its second wave before the first one has the document.
func TestExplore(t *testing.T) {
	if testing.Short() {
		t.Skip("explores several hundred thousand states")
	}
	for name, sys := range map[string]*system{"two managers": newSystem(false, *observationsFlag), "one manager": newSystem(true, 4)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, unexplored, statusCounts, err := explore(sys, 10_000_000)
			if err != nil {
				t.Fatal(err)
			}
			if unexplored > 0 {
				t.Errorf("%d states are unexplored", unexplored)
			}
			t.Logf("%d states; by status of the managers: %v", states, statusCounts)
		})
	}
}

// The exploration finds deliberate bugs.
func TestExplorerFindsBugs(t *testing.T) {
	for _, bug := range []string{"treats a missing answer as unchanged", "does not wait for the previous wave"} {
		sys := newSystem(false, 1)
		sys.injectedBug = bug
		if _, _, _, err := explore(sys, 10_000_000); err == nil {
			t.Errorf("%s: not found", bug)
		} else {
			t.Logf("%s: %v", bug, err)
		}
	}
}
