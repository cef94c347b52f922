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
type world struct {
	machines []*machine
	managers []*manager
	flying   []message
	crashes  int    // that may still happen
	faults   int    // parts that may still fail
	planted  string // bug
}

type machine struct {
	*Instance
	epochs  int
	todo    []Action        // of the process, at most one
	applied map[string]bool // epoch and change: all parts were applied once, and not taken back
	parts   map[string]bool // epoch, change and part that are applied
	heard   uint64          // in this epoch
	waiting []message       // commits that are to be answered
}

type manager struct {
	fence   uint64
	id      string
	targets []Target
	asked   []int // the request that is open at each, 0 for none: an answer comes on its request's connection
	last    int   // request
	settles []int // that it may still send
}

type message struct {
	answer   bool
	manager  int
	instance int
	request  Request
	number   int
	a        Answer
}

// ask opens a request.
func (m *manager) ask(g, i int, r Request) message {
	m.last++
	m.asked[i] = m.last
	return message{manager: g, instance: i, request: r, number: m.last}
}

// reply is what goes back.
func (f message) reply(a Answer) message {
	f.answer, f.a = true, a
	return f
}

var twoParts = Document{Hash: "h", Parts: []string{"service", "decisions"}}

func newWorld(instances int) *world {
	w := &world{crashes: 1, faults: 1}
	for range instances {
		w.machines = append(w.machines, &machine{
			Instance: NewInstance("e0", 0, Document{Hash: "0", Parts: twoParts.Parts}), applied: map[string]bool{}, parts: map[string]bool{},
		})
	}
	for m := range 2 {
		mgr := &manager{fence: uint64(m + 1), id: fmt.Sprintf("c%d", m+1)}
		for range instances {
			mgr.targets = append(mgr.targets, Target{})
			mgr.asked = append(mgr.asked, 0)
			mgr.settles = append(mgr.settles, 1)
		}
		w.managers = append(w.managers, mgr)
	}
	return w
}

func (w *world) clone() *world {
	c := &world{flying: slices.Clone(w.flying), crashes: w.crashes, faults: w.faults, planted: w.planted}
	for _, m := range w.machines {
		c.machines = append(c.machines, &machine{m.Clone(), m.epochs, slices.Clone(m.todo), maps.Clone(m.applied), maps.Clone(m.parts), m.heard, slices.Clone(m.waiting)})
	}
	for _, m := range w.managers {
		c.managers = append(c.managers, &manager{m.fence, m.id, slices.Clone(m.targets), slices.Clone(m.asked), m.last, slices.Clone(m.settles)})
	}
	return c
}

// key is the state in canonical form: what is on its way has no order, and instances have none.
func (w *world) key() string {
	all := make([]string, len(w.machines))
	for i, m := range w.machines {
		var b strings.Builder
		fmt.Fprint(&b, m.Describe(), m.todo, m.applied, m.parts, m.heard)
		for _, f := range m.waiting {
			fmt.Fprint(&b, w.canonical(f))
		}
		for _, mgr := range w.managers {
			fmt.Fprint(&b, mgr.targets[i], mgr.asked[i] > 0, mgr.settles[i])
		}
		var flying []string
		for _, f := range w.flying {
			if f.instance == i {
				flying = append(flying, w.canonical(f))
			}
		}
		slices.Sort(flying)
		fmt.Fprint(&b, flying)
		all[i] = b.String()
	}
	slices.Sort(all)
	return fmt.Sprint(w.crashes, w.faults, all)
}

// canonical tells a message by whether anybody still waits for it, not by its number.
func (w *world) canonical(f message) string {
	return fmt.Sprint(f.answer, f.manager, f.request, w.managers[f.manager].asked[f.instance] == f.number, f.a)
}

// step is one thing that can happen.
type step struct {
	what string
	do   func(w *world) error
}

func (w *world) steps() (steps []step) {
	add := func(do func(w *world) error, format string, args ...any) {
		steps = append(steps, step{fmt.Sprintf(format, args...), do})
	}
	for k, f := range w.flying {
		add(func(w *world) error {
			w.flying = slices.Delete(w.flying, k, k+1)
			return w.deliver(f)
		}, "%s", f)
	}
	for i, m := range w.machines {
		if len(m.todo) > 0 {
			a := m.todo[0]
			add(func(w *world) error { return w.work(i, nil) }, "instance %d does %d of %s %s", i, a.Kind, a.ID, a.Part)
			if w.faults > 0 {
				add(func(w *world) error {
					w.faults--
					return w.work(i, errors.New("no"))
				}, "instance %d fails at %d of %s %s", i, a.Kind, a.ID, a.Part)
			}
		}
		if m.phase == prepared {
			add(func(w *world) error { w.machines[i].Tick(w.machines[i].expires); return nil }, "what instance %d has prepared expires", i)
		}
		if w.crashes > 0 {
			add(func(w *world) error { w.crashes--; w.machines[i].crash(); return nil }, "instance %d dies and is back", i)
		}
	}
	for g, mgr := range w.managers {
		if w.crashes > 0 {
			add(func(w *world) error {
				w.crashes--
				m := w.managers[g]
				for i := range m.targets {
					m.targets[i].Resume()
					m.asked[i] = 0
				}
				// What was on its way to it is lost with its connections.
				w.flying = slices.DeleteFunc(w.flying, func(f message) bool { return f.answer && f.manager == g })
				return nil
			}, "manager %d dies and is back", g)
		}
		commit := !slices.ContainsFunc(mgr.targets, func(t Target) bool { return t.State == Planned || t.State == Preparing })
		for i := range mgr.targets {
			t := mgr.targets[i]
			if mgr.asked[i] > 0 {
				add(func(w *world) error {
					m := w.managers[g]
					m.asked[i] = 0
					m.targets[i].RecordNoAnswer("no answer")
					if w.planted == "takes silence for a no" && m.targets[i].State == Unknown {
						m.targets[i].State = NotDone
					}
					return nil
				}, "manager %d gives up on instance %d", g, i)
				continue
			}
			if t.NextRequest(commit) != NoRequest {
				add(func(w *world) error {
					m := w.managers[g]
					w.flying = append(w.flying, m.ask(g, i, m.targets[i].NextRequest(commit)))
					return nil
				}, "manager %d asks instance %d on", g, i)
			}
			if s := mgr.targets[i]; s.State == Unknown && mgr.settles[i] > 0 {
				add(func(w *world) error {
					m := w.managers[g]
					m.settles[i]--
					w.flying = append(w.flying, m.ask(g, i, m.targets[i].Resolve()))
					return nil
				}, "manager %d settles with instance %d", g, i)
			}
		}
	}
	return steps
}

func (f message) String() string {
	if f.answer {
		return fmt.Sprintf("instance %d answers manager %d: epoch %s, outcome %s, error %v", f.instance, f.manager, f.a.Epoch, f.a.Result.Outcome, f.a.Err)
	}
	return fmt.Sprintf("request %d of manager %d comes to instance %d", f.request, f.manager, f.instance)
}

// deliver hands a message to whom it is for.
func (w *world) deliver(f message) error {
	mgr, m := w.managers[f.manager], w.machines[f.instance]
	fence := mgr.fence
	if w.planted == "forgets who is newer" {
		fence, m.fence = 1, 0
	}
	if f.answer {
		if mgr.asked[f.instance] == f.number {
			mgr.asked[f.instance] = 0
			mgr.targets[f.instance].RecordAnswer(f.a)
		}
		return nil
	}
	a := Answer{Epoch: m.Epoch()}
	switch f.request {
	case RequestPrepare:
		a.Err = m.Prepare(0, fence, mgr.id, 0, twoParts, 0)
	case RequestCommit:
		var todo []Action
		if todo, a.Err = m.Commit(0, fence, mgr.id); len(todo) > 0 {
			if mgr.fence < m.heard {
				return fmt.Errorf("a change of manager %d begins after a newer one was heard", f.manager)
			}
			if len(m.todo) > 0 {
				return errors.New("two changes are under way")
			}
			m.todo = todo
		}
	case RequestAbort:
		a.Result, a.Err = m.Abort(0, fence, mgr.id)
	}
	if a.Err == nil {
		m.heard = max(m.heard, mgr.fence)
	}
	if r, ok := m.Result(mgr.id); ok {
		a.Result = r
	}
	a.Fenced = errors.Is(a.Err, ErrFenced)
	if f.request == RequestCommit && a.Err == nil && a.Result.Outcome == None {
		m.waiting = append(m.waiting, f) // it is answered when it has ended
		return nil
	}
	w.flying = append(w.flying, f.reply(a))
	return nil
}

// work carries out what the process is to do.
func (w *world) work(i int, err error) error {
	m := w.machines[i]
	a := m.todo[0]
	part := m.epoch + "/" + a.ID + "/" + a.Part
	if err == nil {
		if a.Kind == ApplyPart {
			m.parts[part] = true
		} else {
			delete(m.parts, part)
		}
	}
	m.todo = m.ActionDone(0, a, err)
	if r, ok := m.Result(a.ID); ok {
		m.applied[m.epoch+"/"+a.ID] = r.Outcome == Applied
		for _, f := range m.waiting {
			w.flying = append(w.flying, f.reply(Answer{Epoch: m.epoch, Result: r}))
		}
		m.waiting = nil
	}
	return nil
}

func (m *machine) crash() {
	m.epochs++
	m.Instance = NewInstance(fmt.Sprintf("e%d", m.epochs), 0, Document{Hash: "0", Parts: twoParts.Parts})
	m.todo, m.heard, m.waiting = nil, 0, nil
}

// check is what must hold in every state.
func (w *world) check() error {
	for g, mgr := range w.managers {
		for i, t := range mgr.targets {
			m := w.machines[i]
			of := t.Epoch + "/" + mgr.id
			switch t.State {
			case Done:
				if !m.applied[of] {
					return fmt.Errorf("manager %d says that instance %d has applied it in %s, and it has not", g, i, t.Epoch)
				}
			case NotDone:
				if m.applied[of] {
					return fmt.Errorf("manager %d says that instance %d is unchanged in %s, and it has applied it", g, i, t.Epoch)
				}
			case PartlyDone:
				for _, part := range twoParts.Parts {
					if m.parts[of+"/"+part] != slices.Contains(t.Parts, part) {
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
func explore(first *world) (states int, err error) {
	type node struct {
		w    *world
		from *node
		what string
	}
	queue := []*node{{w: first}}
	seen := map[string]struct{}{first.key(): {}}
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		for _, s := range n.w.steps() {
			next := &node{n.w.clone(), n, s.what}
			err := s.do(next.w)
			if err == nil {
				err = next.w.check()
			}
			if err != nil {
				var story []string
				for m := next; m.from != nil; m = m.from {
					story = append(story, m.what)
				}
				slices.Reverse(story)
				return len(seen), fmt.Errorf("%w\n\t%s", err, strings.Join(story, "\n\t"))
			}
			key := next.w.key()
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
	states, err := explore(newWorld(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states", states)
}

// The explorer finds what is planted.
func TestExplorerFindsBugs(t *testing.T) {
	for _, bug := range []string{"takes silence for a no", "forgets who is newer"} {
		w := newWorld(1)
		w.planted = bug
		if _, err := explore(w); err == nil {
			t.Errorf("%s: not found", bug)
		} else {
			t.Logf("%s: %v", bug, err)
		}
	}
}
