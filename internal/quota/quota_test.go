package quota

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// record is the slow and plain account of every admission, against which a tree is held.
type record struct {
	limits map[string][]Limit
	parent map[string]string
	taken  []taking
}

type taking struct {
	at    time.Duration
	day   int64
	bytes int64
	nodes []string
	open  bool
	given bool // back
}

func newRecord(nodes []Node) *record {
	r := &record{limits: map[string][]Limit{}, parent: map[string]string{}}
	for _, n := range nodes {
		r.limits[n.Name], r.parent[n.Name] = n.Limits, n.Parent
	}
	return r
}

func (r *record) take(at time.Duration, wall time.Time, account string, bytes int64) int {
	k := taking{at: at, day: wall.Unix() / 86400, bytes: bytes, open: true}
	for n := account; n != ""; n = r.parent[n] {
		k.nodes = append(k.nodes, n)
	}
	r.taken = append(r.taken, k)
	return len(r.taken) - 1
}

// used is what a node has of a limit in the window that ends at a time.
func (r *record) used(node string, l Limit, at time.Duration, wall time.Time) (sum int64) {
	for i := len(r.taken) - 1; i >= 0; i-- {
		k := &r.taken[i]
		if l.Resource != Calls && l.Window != Day && k.at <= at-l.Window.length() {
			break // they are in the order of time
		}
		counts := !k.given
		switch {
		case l.Resource == Calls:
			counts = k.open
		case l.Window == Day:
			counts = counts && k.day == wall.Unix()/86400
		}
		for _, n := range k.nodes {
			if n == node && counts {
				sum += l.cost(k.bytes)
			}
		}
	}
	return sum
}

// exceeded says which limit of an account or those above it is exceeded.
func (r *record) exceeded(account string, at time.Duration, wall time.Time) string {
	for n := account; n != ""; n = r.parent[n] {
		for _, l := range r.limits[n] {
			if got := r.used(n, l, at, wall); got > l.Ceiling {
				return fmt.Sprintf("%s: %d of %d %v", n, got, l.Ceiling, l)
			}
		}
	}
	return ""
}

func tree(t testing.TB, nodes ...Node) *Tree {
	t.Helper()
	q, err := New(nodes, 3*time.Second, 1)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

func perSecond(ceiling, guaranteed int64) []Limit {
	return []Limit{{Requests, Second, ceiling, guaranteed}}
}

// Two siblings under a parent of ten, five guaranteed to each. One borrows all; the other gets its five back one window after
// its first claim, and what the first had is never cut.
func TestGuaranteeComesBack(t *testing.T) {
	q := tree(t, Node{Name: "org", Limits: perSecond(10, 0)}, Node{Name: "a", Parent: "org", Limits: perSecond(10, 5)}, Node{Name: "b", Parent: "org", Limits: perSecond(10, 5)})
	ask := func(at time.Duration, who string) bool {
		k, _ := q.Admit(at, noon, who, 0)
		return k != nil
	}
	for i := range 10 {
		if !ask(time.Duration(i)*ms, "a") {
			t.Fatalf("request %d of an idle sibling's part is refused", i)
		}
	}
	if u := q.Uses(10*ms, noon, "a"); u[0].Borrowed != 5 {
		t.Errorf("borrowed %+v", u)
	}
	const first = 100 * ms
	got, lent := 0, 0
	for at := first; at < 4*time.Second; at += 10 * ms {
		if ask(at, "b") {
			got++
		} else if u := q.Uses(at, noon, "b"); u[0].Used < 5 && at > first+time.Second+time.Second/buckets {
			t.Fatalf("%v: b has %d of its 5 and is refused", at, u[0].Used)
		}
		if ask(at, "a") {
			lent++
		}
	}
	if got < 12 || lent < 8 {
		t.Errorf("b got %d and a %d requests in four seconds", got, lent)
	}
}

// A claim is for all: what a third one does not use is not lent either while one claims its own.
func TestClaimIsForAll(t *testing.T) {
	q := tree(t, Node{Name: "org", Limits: perSecond(10, 0)}, Node{Name: "a", Parent: "org", Limits: perSecond(5, 5)},
		Node{Name: "b", Parent: "org", Limits: perSecond(5, 5)}, Node{Name: "c", Parent: "org", Limits: perSecond(10, 0)})
	for range 10 {
		q.Admit(0, noon, "c", 0)
	}
	for at := 10 * ms; at < 1300*ms; at += 10 * ms {
		q.Admit(at, noon, "a", 0)
		q.Admit(at, noon, "c", 0)
	}
	for i := range 5 {
		if k, no := q.Admit(1300*ms, noon, "b", 0); k == nil {
			t.Errorf("request %d of b's own five is refused: %v", i, no)
		}
	}
}

// Of a day's window nothing is lent: it would not be back before midnight.
func TestNothingIsLentOfADay(t *testing.T) {
	day := func(ceiling, guaranteed int64) []Limit { return []Limit{{Requests, Day, ceiling, guaranteed}} }
	q := tree(t, Node{Name: "org", Limits: day(10, 0)}, Node{Name: "a", Parent: "org", Limits: day(10, 4)}, Node{Name: "b", Parent: "org", Limits: day(10, 4)})
	got := 0
	var no *Refusal
	for range 10 {
		k, r := q.Admit(0, noon, "a", 0)
		if k != nil {
			got++
		} else {
			no = r
		}
	}
	if got != 6 {
		t.Errorf("a got %d of the day, 6 are not guaranteed to others", got)
	}
	if no == nil || no.After < 12*time.Hour || no.After > 15*time.Hour {
		t.Errorf("refused at noon until %+v, and midnight is in 12 h", no)
	}
}

// Borrowers that compete share by their weights.
func TestBorrowersShareByWeight(t *testing.T) {
	q := tree(t, Node{Name: "org", Limits: perSecond(120, 0)}, Node{Name: "a", Parent: "org", Weight: 3, Limits: perSecond(120, 0)},
		Node{Name: "b", Parent: "org", Weight: 1, Limits: perSecond(120, 0)})
	var got [2]int
	rng := rand.New(rand.NewPCG(1, 1))
	for at := time.Duration(0); at < 30*time.Second; at += ms {
		who := rng.IntN(2)
		if k, _ := q.Admit(at, noon, []string{"a", "b"}[who], 0); k != nil && at > 3*time.Second {
			got[who]++
		}
	}
	if ratio := float64(got[0]) / float64(got[1]); ratio < 2.5 || ratio > 3.5 {
		t.Errorf("a got %d, b %d: a ratio of %.2f, and their weights are 3 to 1", got[0], got[1], ratio)
	}
	if sum := got[0] + got[1]; sum < 27*90 {
		t.Errorf("%d of %d were let in", sum, 27*120)
	}
}

// A burst across a window's edge: no window of any position holds more than its limit.
func TestBurstAcrossTheEdge(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 7 * ms {
		q := tree(t, Node{Name: "a", Limits: perSecond(10, 0)})
		got := 0
		for at := offset + 900*ms; at < offset+1800*ms; at += 20 * ms {
			if k, _ := q.Admit(at, noon, "a", 0); k != nil {
				got++
			}
		}
		if got > 10 {
			t.Fatalf("%d within 0.9 s from %v", got, offset)
		}
	}
}

// What a refusal says is when it would be let in if nothing else came: not before, and then.
func TestRefusalSaysWhen(t *testing.T) {
	q := tree(t, Node{Name: "a", Limits: perSecond(10, 0)})
	for i := range 10 {
		q.Admit(time.Duration(i)*50*ms, noon, "a", 0)
	}
	_, no := q.Admit(600*ms, noon, "a", 0)
	if no == nil || no.Node != "a" || no.Why != "ceiling" {
		t.Fatalf("refusal %+v", no)
	}
	if k, _ := q.Admit(600*ms+no.After, noon, "a", 0); k == nil {
		t.Errorf("refused again %v later", no.After)
	}
	if least := 600*ms + no.After*4/5; least < time.Second {
		t.Errorf("told to come at %v, and the first is from 0s", least)
	}
}

// Clocks that jump: the steady one never goes back, a wall clock that goes back gives no day again, one that leaps gives the next.
func TestClocksJump(t *testing.T) {
	q := tree(t, Node{Name: "a", Limits: []Limit{{Requests, Second, 1, 0}, {Requests, Day, 2, 0}}})
	let := func(now time.Duration, wall time.Time) bool {
		k, _ := q.Admit(now, wall, "a", 0)
		return k != nil
	}
	if !let(10*time.Second, noon) || let(5*time.Second, noon) || !let(12*time.Second, noon) {
		t.Error("the steady clock that goes back counts as one that stands")
	}
	if let(20*time.Second, noon.Add(-48*time.Hour)) || let(21*time.Second, noon.Add(time.Hour)) {
		t.Error("a wall clock that went back and came again gave the day again")
	}
	if !let(22*time.Second, noon.Add(13*time.Hour)) {
		t.Error("the next day is not given")
	}
}

// A request that ends after its window, twice, or without having run: the books balance, and open calls come to zero.
func TestEnds(t *testing.T) {
	limits := []Limit{{Requests, Second, 10, 0}, {Bytes, Minute, 1000, 0}, {Calls, Now, 3, 0}, {Requests, Day, 50, 0}}
	q := tree(t, Node{Name: "org", Limits: limits}, Node{Name: "a", Parent: "org", Limits: limits})
	k, _ := q.Admit(0, noon, "a", 100)
	late, _ := q.Admit(0, noon, "a", 100)
	q.End(10*ms, noon, k, false)
	q.End(10*ms, noon, k, false)
	q.End(2*time.Minute, noon.Add(24*time.Hour), late, false)
	q.End(2*time.Minute, noon, nil, true)
	for _, name := range []string{"org", "a"} {
		for _, u := range q.Uses(2*time.Minute, noon.Add(24*time.Hour), name) {
			if u.Used != 0 {
				t.Errorf("%+v is left", u)
			}
		}
	}
	if k, no := q.Admit(3*time.Minute, noon, "stranger", 1<<40); k != nil || no != nil {
		t.Errorf("an account without a node: %v, %v", k, no)
	}
}

// Random trees, loads and ends against the slow record, a million steps in all: no total is ever exceeded, and at the end
// nothing is open.
func TestAgainstTheRecord(t *testing.T) {
	steps := 0
	for seed := uint64(1); steps < 1_000_000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		nodes := randomTree(rng)
		q, err := New(nodes, time.Second, seed)
		if err != nil {
			t.Fatal(seed, err)
		}
		r := newRecord(nodes)
		now, wall := time.Duration(rng.Int64N(int64(time.Hour))), noon.Add(time.Duration(rng.Int64N(int64(24*time.Hour))))
		type open struct {
			k *Ticket
			i int
		}
		var all []open
		for range 500 {
			steps++
			d := time.Duration(rng.ExpFloat64() * float64(20*ms))
			now, wall = now+d, wall.Add(d)
			if len(all) > 0 && rng.IntN(2) == 0 {
				i := rng.IntN(len(all))
				ran := rng.IntN(3) > 0
				q.End(now, wall, all[i].k, ran)
				r.taken[all[i].i].open, r.taken[all[i].i].given = false, !ran
				all = append(all[:i], all[i+1:]...)
				continue
			}
			account, bytes := nodes[rng.IntN(len(nodes))].Name, rng.Int64N(50)
			if k, no := q.Admit(now, wall, account, bytes); k != nil {
				all = append(all, open{k, r.take(now, wall, account, bytes)})
				if what := r.exceeded(account, now, wall); what != "" {
					t.Fatalf("seed %d: exceeded at %v: %s", seed, now, what)
				}
			} else if no.After <= 0 {
				t.Fatalf("seed %d: refused without a time: %v", seed, no)
			}
		}
		for _, o := range all {
			q.End(now, wall, o.k, true)
		}
		for _, n := range nodes {
			for _, u := range q.Uses(now, wall, n.Name) {
				if u.Limit.Resource == Calls && u.Used != 0 {
					t.Fatalf("seed %d: %s has %d open calls at the end", seed, n.Name, u.Used)
				}
			}
		}
	}
}

func randomTree(rng *rand.Rand) (nodes []Node) {
	kinds := []Limit{{Requests, Second, 0, 0}, {Requests, Minute, 0, 0}, {Bytes, Second, 0, 0}, {Calls, Now, 0, 0}, {Requests, Day, 0, 0}}
	depth, free := map[string]int{}, map[string][]int64{} // of each node, what is not guaranteed to a child, by kind
	for i := range 2 + rng.IntN(8) {
		n := Node{Name: fmt.Sprint("n", i), Weight: 1 + float64(rng.IntN(3))}
		if i > 0 {
			if p := nodes[rng.IntN(i)]; depth[p.Name] < MostDepth-1 {
				n.Parent, depth[n.Name] = p.Name, depth[p.Name]+1
			}
		}
		free[n.Name] = make([]int64, len(kinds))
		for j, l := range kinds {
			if l.Ceiling = 1 + rng.Int64N(20); l.Resource == Bytes {
				l.Ceiling *= 20
			}
			if l.Window == Day {
				l.Ceiling *= 10
			}
			if n.Parent != "" {
				l.Guaranteed = rng.Int64N(min(l.Ceiling, free[n.Parent][j]) + 1)
				free[n.Parent][j] -= l.Guaranteed
			}
			free[n.Name][j] = l.Ceiling
			n.Limits = append(n.Limits, l)
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// The small world, whole: two siblings, one parent, limits of 2. Every order of six steps, of which each is a request or an end of
// either sibling or the passing of time, against the record.
func TestSmallWorld(t *testing.T) {
	nodes := []Node{
		{Name: "org", Limits: []Limit{{Requests, Second, 2, 0}, {Calls, Now, 2, 0}}},
		{Name: "a", Parent: "org", Limits: []Limit{{Requests, Second, 2, 1}, {Calls, Now, 2, 1}}},
		{Name: "b", Parent: "org", Limits: []Limit{{Requests, Second, 2, 1}, {Calls, Now, 2, 1}}},
	}
	const length, choices = 6, 7
	worlds := 1
	for range length {
		worlds *= choices
	}
	for w := range worlds {
		q, err := New(nodes, time.Second, 1)
		if err != nil {
			t.Fatal(err)
		}
		r, now := newRecord(nodes), time.Duration(0)
		tickets, at := map[string][]*Ticket{}, map[string][]int{}
		var story []string
		for rest, step := w, 0; step < length; step++ {
			who := []string{"a", "b"}[rest%choices%2]
			switch do := rest % choices / 2; {
			case do == 0:
				k, no := q.Admit(now, noon, who, 0)
				story = append(story, fmt.Sprintf("%v %s asks: %v", now, who, no))
				if k != nil {
					tickets[who], at[who] = append(tickets[who], k), append(at[who], r.take(now, noon, who, 0))
				}
				if what := r.exceeded(who, now, noon); what != "" {
					t.Fatalf("exceeded: %s\n%s", what, strings.Join(story, "\n"))
				}
			case do < 3 && len(tickets[who]) > 0:
				ran := do == 1
				q.End(now, noon, tickets[who][0], ran)
				k := &r.taken[at[who][0]]
				k.open, k.given = false, !ran
				tickets[who], at[who] = tickets[who][1:], at[who][1:]
				story = append(story, fmt.Sprintf("%v %s ends, ran %v", now, who, ran))
			case do == 3:
				now += 600 * ms
			}
			rest /= choices
		}
		for _, n := range []string{"org", "a", "b"} {
			open := int64(len(tickets["a"])*b2i(n != "b") + len(tickets["b"])*b2i(n != "a"))
			if got := q.Uses(now, noon, n)[1].Used; got != open {
				t.Fatalf("%s has %d open calls, %d are\n%s", n, got, open, strings.Join(story, "\n"))
			}
		}
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestMistakes(t *testing.T) {
	org := Node{Name: "org", Limits: perSecond(10, 0)}
	deep := []Node{{Name: "0"}}
	for i := 1; i <= MostDepth; i++ {
		deep = append(deep, Node{Name: fmt.Sprint(i), Parent: fmt.Sprint(i - 1)})
	}
	for want, nodes := range map[string][]Node{
		`node "": name: missing`:                                        {{}},
		`node "org": name: taken`:                                       {org, org},
		`node "a": parent: there is no node`:                            {{Name: "a", Parent: "org"}, org},
		`node "6": parent: 7 nodes deep`:                                deep,
		`node "a": weight: -1`:                                          {{Name: "a", Weight: -1}},
		`node "a": limits: requests a second stands there twice`:        {{Name: "a", Limits: append(perSecond(1, 0), perSecond(2, 0)...)}},
		`node "a": limits: requests a second: ceiling -1`:               {{Name: "a", Limits: perSecond(-1, 0)}},
		`node "a": limits: requests a second: guaranteed 3`:             {org, {Name: "a", Parent: "org", Limits: perSecond(2, 3)}},
		`node "a": limits: requests a second: guaranteed 1 of a parent`: {{Name: "org"}, {Name: "a", Parent: "org", Limits: perSecond(2, 1)}},
		`its children are guaranteed 12 of 10`:                          {org, {Name: "a", Parent: "org", Limits: perSecond(6, 6)}, {Name: "b", Parent: "org", Limits: perSecond(6, 6)}},
		`can't be limited`:                                              {{Name: "a", Limits: []Limit{{Calls, Day, 1, 0}}}},
	} {
		if _, err := New(nodes, time.Second, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, depth := range []int{3, 6} {
		for _, accounts := range []int{10, 1000} {
			b.Run(fmt.Sprintf("depth=%d/accounts=%d", depth, accounts), func(b *testing.B) {
				limits := []Limit{{Requests, Second, 1 << 40, 0}, {Requests, Day, 1 << 40, 0}, {Calls, Now, 1 << 40, 0}}
				nodes := []Node{{Name: "0", Limits: limits}}
				for i := 1; i < depth-1; i++ {
					nodes = append(nodes, Node{Name: fmt.Sprint(i), Parent: fmt.Sprint(i - 1), Limits: limits})
				}
				for i := range accounts {
					nodes = append(nodes, Node{Name: fmt.Sprint("account", i), Parent: fmt.Sprint(depth - 2), Limits: limits})
				}
				q := tree(b, nodes...)
				names := make([]string, accounts)
				for i := range names {
					names[i] = fmt.Sprint("account", i)
				}
				b.ReportAllocs()
				now := time.Duration(0)
				for i := 0; b.Loop(); i++ {
					now += time.Microsecond
					k, no := q.Admit(now, noon, names[i%accounts], 100)
					if no != nil {
						b.Fatal(no)
					}
					q.End(now, noon, k, true)
				}
			})
		}
	}
}
