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

// The world of the explorer: two managers, the second the newer, each bringing a document of its own to two instances in
// two waves; and what is on its way between them, which may arrive in any order and as late as it likes: what is lost
// arrives never, which no property can tell from late. One party dies at any point, and managers give up at any point.
// A manager that dies between its journal and its sending is one whose sending is lost, and one that dies between
// an answer and its journal is one to which the answer is lost, so that neither needs steps of its own.
type world struct {
	machines [2]machine
	managers [2]manager
	flying   []message
	crashes  int
	alone    bool // the second manager never begins
	planted  string
}

type machine struct {
	*change.Instance
	epochs  int
	applied map[string]bool // epoch and change: it was applied, and not taken back by itself
}

type manager struct {
	*Rollout
	asked [2]int // the request that is open at each, 0 for none: an answer comes on its request's connection
	last  int
	looks int // that may still happen
	now   time.Duration
}

type message struct {
	answer   bool
	manager  int
	instance int
	send     OutgoingRequest
	number   int
	a        change.Answer
}

func doc(hash string) change.Document { return change.Document{Hash: hash, Parts: []string{"whole"}} }

// newWorld has two managers, or one that is alone, each of which looks at an instance so many times.
func newWorld(alone bool, looks int) *world {
	w := &world{crashes: 1, alone: alone}
	for i := range w.machines {
		w.machines[i] = machine{Instance: change.NewInstance("e0", 0, doc("old")), applied: map[string]bool{}}
	}
	for g := range w.managers {
		var all []PlannedInstance
		for i := range w.machines {
			all = append(all, PlannedInstance{fmt.Sprint(i), Observation{Epoch: "e0", Hash: "old"}})
		}
		w.managers[g] = manager{Rollout: New(1, fmt.Sprintf("r%d", g), fmt.Sprintf("d%d", g), change.Limits{Canaries: 1, Growth: 1}, all), looks: looks, now: 2}
		w.managers[g].MarkSaved()
	}
	return w
}

func (w *world) clone() *world {
	c := &world{flying: slices.Clone(w.flying), crashes: w.crashes, alone: w.alone, planted: w.planted}
	for i := range w.machines {
		m := &w.machines[i]
		c.machines[i] = machine{m.Clone(), m.epochs, maps.Clone(m.applied)}
	}
	for g := range w.managers {
		m := &w.managers[g]
		c.managers[g] = manager{m.copy(), m.asked, m.last, m.looks, m.now}
	}
	return c
}

// copy is the rollout as it is, with what is only in its memory.
func (r *Rollout) copy() *Rollout {
	c := &Rollout{Header: r.Header, goneOn: r.goneOn, byName: map[string]*Member{}, changed: map[*Member]struct{}{}}
	for _, m := range r.members {
		n := *m
		c.members = append(c.members, &n)
		c.byName[n.Name] = &n
	}
	return c
}

var seed = maphash.MakeSeed()

// key is the state in canonical form, as a hash: what is on its way has no order.
func (w *world) key() uint64 {
	var b strings.Builder
	fmt.Fprint(&b, w.crashes)
	for i := range w.machines {
		m := &w.machines[i]
		fmt.Fprint(&b, m.Describe(), m.applied)
	}
	for g := range w.managers {
		m := &w.managers[g]
		fmt.Fprint(&b, m.Wave, m.Status, m.looks, m.now, m.Baking)
		for i, x := range m.members {
			fmt.Fprint(&b, x.Epoch, x.Base, x.Target, x.Try, x.restored, x.Backing, x.Back, x.seen.Epoch, x.seenAt, m.asked[i] > 0)
		}
	}
	flying := make([]string, len(w.flying))
	for i, f := range w.flying {
		flying[i] = fmt.Sprint(f.answer, f.manager, f.instance, f.send.Request, f.send.ID, w.managers[f.manager].asked[f.instance] == f.number, f.a)
	}
	slices.Sort(flying)
	fmt.Fprint(&b, flying)
	return maphash.String(seed, b.String())
}

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
	if w.crashes > 0 {
		for i := range w.machines {
			add(func(w *world) error {
				w.crashes--
				m := &w.machines[i]
				m.epochs++
				m.Instance = change.NewInstance(fmt.Sprintf("e%d", m.epochs), 0, doc("old"))
				return nil
			}, "instance %d dies and is back", i)
		}
	}
	for g := range w.managers {
		if w.alone && g > 0 {
			break
		}
		m := &w.managers[g]
		if w.crashes > 0 {
			add(func(w *world) error {
				w.crashes--
				m := &w.managers[g]
				var members []Member
				for _, x := range m.members {
					n := *x
					n.asked, n.seen = false, Observation{}
					members = append(members, n)
				}
				m.Rollout, m.asked = Restore(m.Header, members), [2]int{}
				// What was on its way to it is lost with its connections.
				w.flying = slices.DeleteFunc(w.flying, func(f message) bool { return f.answer && f.manager == g })
				return w.goOn(g)
			}, "manager %d dies and is back", g)
		}
		for i := range w.machines {
			if m.asked[i] > 0 {
				add(func(w *world) error {
					m := &w.managers[g]
					m.asked[i] = 0
					m.RecordNoAnswer(fmt.Sprint(i), "no answer")
					if t := m.members[i].current(); w.planted == "takes silence for a no" && t.State == change.Unknown {
						t.State = change.NotDone
					}
					return w.goOn(g)
				}, "manager %d gives up on instance %d", g, i)
			} else if m.looks > 0 && m.Status != Superseded {
				add(func(w *world) error {
					m := &w.managers[g]
					m.looks--
					x := &w.machines[i]
					for _, s := range m.Observe(m.now, fmt.Sprint(i), Observation{Epoch: x.Epoch(), Revision: x.Revision(), Hash: x.Current().Hash}) {
						w.post(g, s)
					}
					return w.goOn(g)
				}, "manager %d looks at instance %d", g, i)
			}
		}
		if m.Baking > 0 && m.now == 2 {
			add(func(w *world) error {
				w.managers[g].now += 2 * unseen
				return w.goOn(g)
			}, "manager %d has watched for long", g)
		}
		if m.last == 0 {
			add(func(w *world) error { return w.goOn(g) }, "manager %d begins", g)
		}
	}
	return steps
}

func (f message) String() string {
	if f.answer {
		return fmt.Sprintf("instance %d answers manager %d: epoch %s, outcome %s, error %v", f.instance, f.manager, f.a.Epoch, f.a.Result.Outcome, f.a.Err)
	}
	return fmt.Sprintf("request %d of manager %d for %s comes to instance %d", f.send.Request, f.manager, f.send.ID, f.instance)
}

// post has a request on its way.
func (w *world) post(g int, s OutgoingRequest) {
	m := &w.managers[g]
	i := int(s.Instance[0] - '0')
	m.last++
	m.asked[i] = m.last
	w.flying = append(w.flying, message{manager: g, instance: i, send: s, number: m.last})
}

// goOn has a manager do what it does by itself.
func (w *world) goOn(g int) error {
	m := &w.managers[g]
	for {
		if w.planted == "does not wait for the wave before" && m.Wave == 0 && m.members[0].Target.State == change.Committing {
			m.Wave = 1
		}
		status, wave := m.Status, m.Wave
		for _, s := range m.Advance(m.now) {
			if s.Request == change.RequestCommit && s.Instance == "1" && !m.members[1].Backing && m.members[0].Target.State != change.Done {
				return fmt.Errorf("manager %d commits its second wave, and of its first it knows that it is %s", g, m.members[0].Target.State)
			}
			w.post(g, s)
		}
		m.MarkSaved()
		if status == m.Status && wave == m.Wave {
			return nil
		}
	}
}

// deliver hands a message to whom it is for.
func (w *world) deliver(f message) error {
	mgr, m := &w.managers[f.manager], &w.machines[f.instance]
	if f.answer {
		if mgr.asked[f.instance] != f.number {
			return nil
		}
		mgr.asked[f.instance] = 0
		mgr.RecordAnswer(mgr.now, fmt.Sprint(f.instance), f.a)
		return w.goOn(f.manager)
	}
	fence := uint64(f.manager + 1)
	a := change.Answer{Epoch: m.Epoch()}
	switch f.send.Request {
	case change.RequestPrepare:
		a.Err = m.Prepare(0, fence, f.send.ID, f.send.Base, doc(f.send.Document), 0)
	case change.RequestCommit:
		var todo []change.Action
		todo, a.Err = m.Commit(0, fence, f.send.ID)
		for len(todo) > 0 {
			todo = m.ActionDone(0, todo[0], nil)
		}
	case change.RequestAbort:
		a.Result, a.Err = m.Abort(0, fence, f.send.ID)
	}
	if r, ok := m.Result(f.send.ID); ok {
		a.Result = r
		m.applied[m.Epoch()+"/"+f.send.ID] = r.Outcome == change.Applied
	}
	a.Fenced = errors.Is(a.Err, change.ErrFenced)
	f.answer, f.a = true, a
	w.flying = append(w.flying, f)
	return nil
}

// check is what must hold in every state.
func (w *world) check() error {
	for g := range w.managers {
		mgr := &w.managers[g]
		for i, x := range mgr.members {
			m := &w.machines[i]
			for _, of := range []struct {
				id string
				t  *change.Target
			}{{mgr.id(x), &x.Target}, {mgr.backID(x), &x.Back}} {
				applied := m.applied[of.t.Epoch+"/"+of.id]
				if of.t.State == change.Done && !applied {
					return fmt.Errorf("manager %d says that instance %d has applied %s in %s, and it has not", g, i, of.id, of.t.Epoch)
				}
				if of.t.State == change.NotDone && applied {
					return fmt.Errorf("manager %d says that instance %d is unchanged by %s in %s, and it has applied it", g, i, of.id, of.t.Epoch)
				}
			}
			if x.Back.State == change.Done && x.Back.Epoch == m.Epoch() && m.Current().Hash == mgr.Document {
				return fmt.Errorf("manager %d says that instance %d is as before, and it has %s", g, i, mgr.Document)
			}
		}
	}
	return nil
}

// explore goes through all that can happen, the shortest stories first, or so many states of it. Its error tells the
// shortest that breaks a property.
func explore(first *world, most int) (states, left int, ends map[string]int, err error) {
	type node struct {
		from int
		what string
	}
	type job struct {
		w  *world
		at int
	}
	var nodes []node
	queue := []job{{first, -1}}
	seen := map[uint64]struct{}{first.key(): {}}
	ends = map[string]int{}
	for len(queue) > 0 && len(seen) < most {
		j := queue[0]
		queue = queue[1:]
		for _, s := range j.w.steps() {
			next := j.w.clone()
			err := s.do(next)
			if err == nil {
				err = next.check()
			}
			if err != nil {
				story := []string{s.what}
				for at := j.at; at >= 0; at = nodes[at].from {
					story = append(story, nodes[at].what)
				}
				slices.Reverse(story)
				return len(seen), len(queue), ends, fmt.Errorf("%w\n\t%s", err, strings.Join(story, "\n\t"))
			}
			key := next.key()
			if _, known := seen[key]; known {
				continue
			}
			seen[key] = struct{}{}
			nodes = append(nodes, node{j.at, s.what})
			queue = append(queue, job{next, len(nodes) - 1})
			ends[next.managers[0].Status.String()+", "+next.managers[1].Status.String()]++
		}
	}
	return len(seen), len(queue), ends, nil
}

var looksFlag = flag.Int("looks", 1, "so often each of two managers looks at an instance; with 2 there are 2.9 million states")

// Whatever happens, and whoever dies, no manager says of an instance what is not so, and none brings a document
// further than its first wave before that has it.
func TestExplore(t *testing.T) {
	if testing.Short() {
		t.Skip("some hundred thousand states")
	}
	for what, w := range map[string]*world{"two managers": newWorld(false, *looksFlag), "one manager": newWorld(true, 4)} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			states, left, ends, err := explore(w, 10_000_000)
			if err != nil {
				t.Fatal(err)
			}
			if left > 0 {
				t.Errorf("%d states are not followed", left)
			}
			t.Logf("%d states; by status of the managers %v", states, ends)
		})
	}
}

// The explorer finds what is planted.
func TestExplorerFindsBugs(t *testing.T) {
	for _, bug := range []string{"takes silence for a no", "does not wait for the wave before"} {
		w := newWorld(false, 1)
		w.planted = bug
		if _, _, _, err := explore(w, 10_000_000); err == nil {
			t.Errorf("%s: not found", bug)
		} else {
			t.Logf("%s: %v", bug, err)
		}
	}
}
