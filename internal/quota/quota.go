// Package quota keeps quotas that nest: a tree of nodes, such as organisation, customer and account, each with limits of requests,
// bytes and concurrent calls over a second, a minute or a day. It does no I/O, has no clock and starts no goroutines.
//
// A request takes from each node between its account and the root, or from none. A node never holds more than its ceiling in any
// window, wherever the window lies. It has a guaranteed part of its parent, and what it doesn't use of it others may borrow, up to
// their own ceilings. When it asks for its part while that is lent, it claims it: until it has stopped asking for a whole
// window, its siblings take nothing beyond their own parts unless that leaves it room. What was lent counts until its
// window is over, so a guarantee is met one window after the first claim at the latest. A day is too long to wait for, and of a
// day's window nothing is lent. Borrowers that compete share what there is to borrow by their weights.
//
// What has been let in is never taken back. What ends without having run gives back what it took, once.
package quota

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Resource is what a limit counts.
type Resource uint8

// The resources.
const (
	Requests Resource = iota
	Bytes
	Calls // open at once
)

var resourceNames = [...]string{Requests: "requests", Bytes: "bytes", Calls: "calls"}

func (r Resource) String() string { return resourceNames[r] }

// Window is the time that a limit is about.
type Window uint8

// The windows.
const (
	Now    Window = iota // at once: of calls
	Second               // any span of a second
	Minute               // any span of a minute
	Day                  // from midnight to midnight, UTC by the wall clock
)

var windowNames = [...]string{Now: "at once", Second: "a second", Minute: "a minute", Day: "a day"}

func (w Window) String() string { return windowNames[w] }

func (w Window) length() time.Duration {
	switch w {
	case Second:
		return time.Second
	case Minute:
		return time.Minute
	case Day:
		return 24 * time.Hour
	}
	return 0
}

// Limit is one limit of a node.
type Limit struct {
	Resource   Resource
	Window     Window
	Ceiling    int64 // never more than this
	Guaranteed int64 // part of the parent's that is its own
}

func (l Limit) same(o Limit) bool { return l.Resource == o.Resource && l.Window == o.Window }

func (l Limit) String() string { return fmt.Sprintf("%v %v", l.Resource, l.Window) }

// Node is a node of the tree.
type Node struct {
	Name   string
	Parent string  // "" for a root
	Weight float64 // among its siblings, of what there is to borrow; 1 if it is 0
	Limits []Limit
}

const (
	// MostDepth is how many nodes there may be between an account and its root, both counted.
	MostDepth = 6
	// MostNodes is how many nodes there may be.
	MostNodes = 100_000

	jitter = 0.25
)

// moment is a time by both clocks.
type moment struct {
	now  time.Duration // of the steady clock
	day  int64         // of the wall clock, since 1970
	left time.Duration // until that day is over
}

// node is a Node in the tree.
type node struct {
	name     string
	parent   *node
	children []*node
	weight   float64
	meters   []*meter
	shares   []share // by meter: what it is to the parent's meter of the same kind
}

// share is what a node's limit is to its parent's of the same kind.
type share struct {
	of      *meter // the parent's; nil if it has none such
	claims  time.Duration
	wants   time.Duration // when it last asked to borrow
	refused time.Duration // and was refused for want of room
}

// never is long before any window.
const never = -1 << 62

// Tree admits requests. It is not safe for concurrent use.
type Tree struct {
	nodes  map[string]*node
	within time.Duration // that a call lasts at most
	rng    *rand.Rand
	now    time.Duration
	day    int64
}

// New makes a tree of nodes, each behind its parent. Calls last so long at most. Its error names the node and the field.
func New(nodes []Node, longest time.Duration, seed uint64) (*Tree, error) {
	t := &Tree{nodes: map[string]*node{}, within: longest, rng: rand.New(rand.NewPCG(seed, 2))}
	if len(nodes) > MostNodes {
		return nil, fmt.Errorf("there are %d nodes, and %d are allowed", len(nodes), MostNodes)
	}
	for _, c := range nodes {
		if err := t.add(&c); err != nil {
			return nil, fmt.Errorf("node %.80q: %w", c.Name, err)
		}
	}
	for _, c := range nodes {
		n := t.nodes[c.Name]
		for _, m := range n.meters {
			sum := int64(0)
			for _, child := range n.children {
				for i, s := range child.shares {
					if s.of == m {
						sum += child.meters[i].limit.Guaranteed
					}
				}
			}
			if sum > m.limit.Ceiling {
				return nil, fmt.Errorf("node %.80q: %v: its children are guaranteed %d of %d", c.Name, m.limit, sum, m.limit.Ceiling)
			}
		}
	}
	return t, nil
}

func (t *Tree) add(c *Node) error {
	n := &node{name: c.Name, weight: c.Weight}
	if n.weight == 0 {
		n.weight = 1
	}
	depth := 1
	switch {
	case c.Name == "":
		return fmt.Errorf("name: missing")
	case t.nodes[c.Name] != nil:
		return fmt.Errorf("name: taken")
	case !(n.weight > 0 && n.weight <= 1000):
		return fmt.Errorf("weight: %v is not between 0 and 1000", c.Weight)
	case c.Parent != "":
		if n.parent = t.nodes[c.Parent]; n.parent == nil {
			return fmt.Errorf("parent: there is no node %.80q before it", c.Parent)
		}
		for p := n.parent; p != nil; p = p.parent {
			depth++
		}
		if depth > MostDepth {
			return fmt.Errorf("parent: %d nodes deep, and %d are allowed", depth, MostDepth)
		}
	}
	for i, l := range c.Limits {
		for _, o := range c.Limits[:i] {
			if l.same(o) {
				return fmt.Errorf("limits: %v stands there twice", l)
			}
		}
		switch {
		case l.Resource > Calls || l.Window > Day || (l.Resource == Calls) != (l.Window == Now):
			return fmt.Errorf("limits: %d over window %d can't be limited", l.Resource, l.Window)
		case l.Ceiling < 0:
			return fmt.Errorf("limits: %v: ceiling %d is below 0", l, l.Ceiling)
		case l.Guaranteed < 0 || l.Guaranteed > l.Ceiling:
			return fmt.Errorf("limits: %v: guaranteed %d is not between 0 and the ceiling, %d", l, l.Guaranteed, l.Ceiling)
		}
		s := share{claims: never, wants: never, refused: never}
		if n.parent != nil {
			for _, m := range n.parent.meters {
				if m.limit.same(l) {
					s.of = m
				}
			}
		}
		if l.Guaranteed > 0 && s.of == nil {
			return fmt.Errorf("limits: %v: guaranteed %d of a parent that has no such limit", l, l.Guaranteed)
		}
		n.meters, n.shares = append(n.meters, newMeter(l)), append(n.shares, s)
	}
	t.nodes[c.Name] = n
	if n.parent != nil {
		n.parent.children = append(n.parent.children, n)
	}
	return nil
}

// Ticket is what a request has taken.
type Ticket struct {
	leaf  *node
	bytes int64
	when  [MostDepth][]int64 // by level from the leaf and by meter
	open  bool
}

// Refusal is why a request may not go on.
type Refusal struct {
	Node  string
	Limit Limit
	Why   string
	After time.Duration // the earliest time at which it would be let in if nothing else came, spread by up to a quarter
}

func (r *Refusal) String() string { return fmt.Sprintf("%s: %v: %s", r.Node, r.Limit, r.Why) }

// at brings the tree to a time. Neither clock goes back: what the steady one says is kept to, and a wall clock that is set
// back stays in the day that it had.
func (t *Tree) at(now time.Duration, wall time.Time) moment {
	t.now = max(t.now, now)
	day := wall.Unix() / 86400
	left := 24*time.Hour - time.Duration(wall.Unix()%86400)*time.Second
	if day < t.day {
		left += time.Duration(t.day-day) * 24 * time.Hour
	}
	t.day = max(t.day, day)
	return moment{t.now, t.day, left}
}

func (l Limit) cost(bytes int64) int64 {
	if l.Resource == Bytes {
		return bytes
	}
	return 1
}

// Admit takes what a request of an account needs, of each node up to the root, or refuses it and takes nothing. An account that the
// tree has no node for is not limited.
func (t *Tree) Admit(now time.Duration, wall time.Time, account string, bytes int64) (*Ticket, *Refusal) {
	at := t.at(now, wall)
	leaf := t.nodes[account]
	if leaf == nil {
		return nil, nil
	}
	for n := leaf; n != nil; n = n.parent {
		for _, m := range n.meters {
			m.slide(at)
		}
	}
	var no *Refusal
	for n := leaf; n != nil; n = n.parent {
		for i := range n.meters {
			if r := t.check(at, n, i, bytes); r != nil && (no == nil || r.After > no.After) {
				no = r
			}
		}
	}
	if no != nil {
		no.After += time.Duration(jitter * t.rng.Float64() * float64(no.After))
		return nil, no
	}
	k := &Ticket{leaf: leaf, bytes: bytes, open: true}
	depth := 0
	for n := leaf; n != nil; n = n.parent {
		for _, m := range n.meters {
			k.when[depth] = append(k.when[depth], m.take(at, m.limit.cost(bytes)))
		}
		depth++
	}
	return k, nil
}

// check says whether one limit of a node lets a request by.
func (t *Tree) check(at moment, n *node, i int, bytes int64) *Refusal {
	m, s := n.meters[i], &n.shares[i]
	cost := m.limit.cost(bytes)
	refuse := func(why string, by *meter, most int64) *Refusal {
		return &Refusal{Node: n.name, Limit: m.limit, Why: why, After: max(by.room(at, most, t.within), time.Millisecond)}
	}
	if m.used+cost > m.limit.Ceiling {
		return refuse("ceiling", m, m.limit.Ceiling-cost)
	}
	if s.of == nil {
		return nil
	}
	length := m.limit.Window.length()
	if m.limit.Window == Now {
		length = t.within
	}
	free := s.of.limit.Ceiling - s.of.used
	if m.used+cost <= m.limit.Guaranteed {
		if cost > free { // lent: from now on it is claimed
			s.claims = at.now + length
		}
		return nil // whether the parent has room its own limit says
	}
	s.wants = at.now
	owed := t.owed(at, n, i)
	if cost > free-owed {
		s.refused = at.now
		return refuse("guaranteed to others", s.of, s.of.limit.Ceiling-owed-cost)
	}
	if fair, contended := t.fair(at, n, i, length, owed); contended && m.used+cost-m.limit.Guaranteed > fair {
		s.refused = at.now
		return refuse("share of what is lent", m, m.limit.Guaranteed+fair-cost)
	}
	return nil
}

// owed is what must be left for siblings: what they have not used of their parts, once one of them claims its own, and of a day's
// window always. Danger: were it only the claimant's, what is lent of a third one's would be that one's to claim next, in turn.
func (t *Tree) owed(at moment, n *node, i int) (owed int64) {
	claimed := n.meters[i].limit.Window == Day
	for _, o := range n.parent.children {
		for j := range o.shares {
			if s := &o.shares[j]; o != n && s.of == n.shares[i].of {
				claimed = claimed || s.claims > at.now
				o.meters[j].slide(at)
				owed += max(0, o.meters[j].limit.Guaranteed-o.meters[j].used)
			}
		}
	}
	if !claimed {
		return 0
	}
	return owed
}

// fair is a node's part, by weight, of what there is to borrow, where others have asked to borrow of late and somebody was refused.
func (t *Tree) fair(at moment, n *node, i int, length time.Duration, owed int64) (part int64, contended bool) {
	of := n.shares[i].of
	lent, weights, others := of.limit.Ceiling-owed, 0.0, false
	for _, o := range n.parent.children {
		for j := range o.shares {
			s, m := &o.shares[j], o.meters[j]
			if s.of != of {
				continue
			}
			m.slide(at)
			lent -= min(m.used, m.limit.Guaranteed)
			if at.now-s.wants < length {
				weights += o.weight
				others = others || o != n
				contended = contended || at.now-s.refused < length
			}
		}
	}
	if !others {
		return 0, false
	}
	return int64(float64(lent) * n.weight / weights), contended
}

// End says that a request is over. One that has not run gives back what it took; an open call always ends. A ticket that has been
// given back, or is nil, does nothing.
func (t *Tree) End(now time.Duration, wall time.Time, k *Ticket, ran bool) {
	if k == nil || !k.open {
		return
	}
	k.open = false
	at := t.at(now, wall)
	depth := 0
	for n := k.leaf; n != nil; n = n.parent {
		for i, m := range n.meters {
			m.slide(at)
			if m.limit.Resource == Calls || !ran {
				m.back(k.when[depth][i], m.limit.cost(k.bytes))
			}
		}
		depth++
	}
}

// Use is what a node has taken of a limit, for people to read.
type Use struct {
	Node     string
	Limit    Limit
	Used     int64
	Borrowed int64 // beyond its guaranteed part
	Claims   bool  // it has asked for its part while that was lent, within the last window
}

// Uses are those of a node's limits; none where there is no such node.
func (t *Tree) Uses(now time.Duration, wall time.Time, name string) (uses []Use) {
	at, n := t.at(now, wall), t.nodes[name]
	if n == nil {
		return nil
	}
	for i, m := range n.meters {
		m.slide(at)
		u := Use{Node: name, Limit: m.limit, Used: m.used, Claims: n.shares[i].claims > at.now}
		if n.shares[i].of != nil {
			u.Borrowed = max(0, m.used-m.limit.Guaranteed)
		}
		uses = append(uses, u)
	}
	return uses
}
