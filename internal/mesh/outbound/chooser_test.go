package outbound

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/policy"
	"github.com/stretchr/testify/require"
)

// asked is a request as its client sees it: what the chooser ordered, and how that went.
type asked struct {
	*call
	unsafe, ended bool
	sent          []policy.ServerID
	out           []int // attempts under way
	ran           int   // attempts that ran, or may have
	turnedAway    int   // arrivals that the backend itself did not run
}

// load drives a chooser with the decision module as it is, and checks each order.
type load struct {
	*require.Assertions
	r            *rand.Rand
	c            *chooser
	set          policy.Settings
	open         []*asked
	by           map[policy.RequestID]*asked
	targets      map[policy.ServerID]bool
	taken, extra []time.Time
	counted      map[string]int
}

// within counts what happened in a span that began so long ago.
func within(list []time.Time, ago, span time.Duration) (n float64) {
	for _, at := range list {
		if since := time.Since(at); since < ago && since >= ago-span {
			n++
		}
	}
	return n
}

// sends checks an order to send: the one place where a request leaves. The rule on the budget is
// counted as RULES.md words it.
func (l *load) sends(k *asked, a policy.Action, t *target) {
	l.counted["sent"]++
	l.True(t != nil && l.targets[t.id], "ROUTE, DRAIN: sent to who is not there, or no longer ready")
	l.False(k.unsafe && k.ran+len(k.out) > 0, "TWICE: sent again although it may have run")
	l.False(k.ended || len(k.out) > 1 || len(k.sent) == l.set.MaxAttempts, "sent after its end, or too often")
	if k.ran+k.turnedAway+len(k.out) > 0 {
		l.counted["repeated"]++
		l.extra = append(l.extra, time.Now())
		w := l.set.ExtraWindow
		most := max(within(l.taken, w, w), within(l.taken, 2*w, w), within(l.taken, 3*w/2, w))
		l.LessOrEqual(within(l.extra, w, w), l.set.ExtraRatio*most+l.set.ExtraFloor, "BUDGET")
	}
	k.out = append(k.out, len(k.sent))
	k.sent = append(k.sent, a.Server)
}

// obey carries out what is ordered for a request.
func (l *load) obey(k *asked) {
	for a, t, ok := l.c.take(k.call); ok; a, t, ok = l.c.take(k.call) {
		if a.Kind == policy.ActSend {
			l.sends(k, a, t)
			continue
		}
		l.counted[map[policy.ActionKind]string{policy.ActRefuse: "refused", policy.ActFail: "failed"}[a.Kind]]++
		l.False(a.Kind == policy.ActRefuse && k.unsafe && k.ran > 0, "REFUSED: a promise for what may have run")
		l.False(k.ended || len(k.out) > 0, "a request ended twice, or while an attempt was out that might serve it")
		k.ended = true
		l.c.forget(k.call, false)
	}
	l.True(k.ended || len(k.out) > 0, "a request is left without an order")
}

// comes ends one attempt of a request.
func (l *load) comes(k *asked) {
	i := l.r.IntN(len(k.out))
	n := k.out[i]
	k.out = slices.Delete(k.out, i, i+1)
	how := policy.Outcome(l.r.IntN(int(policy.NotSent)+1) * l.r.IntN(2))
	after := time.Duration(20+l.r.IntN(300)) * time.Millisecond
	if how != policy.Full && how != policy.ConnectFailed && how != policy.NotSent {
		k.ran++
	}
	arrived := how == policy.Full && l.r.IntN(3) == 0 // the backend itself had no room
	if arrived {
		k.turnedAway++
	}
	l.counted[how.String()]++
	final := how == policy.OK || how == policy.Cancelled
	l.c.outcome(k.call, n, k.sent[n], how, policy.Load{}, after, arrived, final || k.ended)
	if !final && !k.ended {
		l.obey(k)
	} else if !k.ended { // or it is a copy beside the one that won
		k.ended = true
		l.c.forget(k.call, false)
	}
}

func (l *load) begin() {
	l.taken = append(l.taken, time.Now())
	class, left := l.r.IntN(2), time.Duration(1+l.r.IntN(2000))*time.Millisecond
	k := &asked{unsafe: class == 1}
	k.call = l.c.begin(class, left, func(a policy.Action, t *target) {
		l.counted["copies"]++
		l.sends(l.by[a.Request], a, t)
	})
	l.by[k.id] = k
	l.open = append(l.open, k)
	l.obey(k)
}

// aim says who is ready.
func (l *load) aim() {
	l.targets = map[policy.ServerID]bool{}
	var list []*target
	for _, n := range l.r.Perm(6)[:min(6, l.r.IntN(12))] {
		t := &target{id: policy.ServerID(n), backend: fmt.Sprint(l.r.IntN(2)), zone: n % 2, cold: time.Duration(l.r.IntN(2)) * time.Second}
		l.targets[t.id], list = true, append(list, t)
	}
	l.c.setTargets(list)
}

// TestChooser provokes TWICE, REFUSED, BUDGET and DRAIN at the sender, on a clock of its own.
func TestChooser(t *testing.T) {
	counted := map[string]int{}
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(require.New(t), seed, counted) })
		})
	}
	for _, what := range []string{"sent", "repeated", "refused", "failed", "copies", "rejected", "reset", "not sent"} {
		require.Greater(t, counted[what], 50, "the load provokes too few: %s", what)
	}
}

func play(is *require.Assertions, seed uint64, counted map[string]int) {
	r := rand.New(rand.NewPCG(seed, 5))
	l := &load{Assertions: is, r: r, by: map[policy.RequestID]*asked{}, counted: counted, set: policy.Settings{
		Agents: 1 + r.IntN(20), Reports: policy.ReportsInline, Gates: true, Width: 4, Tick: time.Millisecond, MaxAttempts: 6,
		SecondCopies: true, ColdFrom: coldFrom, OverloadFactor: 2, WarmAfter: 2 * time.Second,
		ExtraWindow: time.Duration(500+r.IntN(3000)) * time.Millisecond, ExtraFloor: 3 * r.Float64(), ExtraRatio: r.Float64() / 2}}
	safe := policy.Class{Aim: 200 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1, LateWorth: lateWorth}
	unsafe := safe
	unsafe.Effect = policy.SideEffect
	l.set.Classes = []policy.Class{safe, unsafe}
	l.c, _ = newChooser("s", l.set, func(string) {})
	l.c.module, _ = policy.New(l.set, seed)  // with a seed that is known
	l.c.timer = time.AfterFunc(0, func() {}) // timers fall due below, where the test looks
	l.aim()
	for range 600 {
		l.open = slices.DeleteFunc(l.open, func(k *asked) bool { return len(k.out) == 0 })
		switch n := r.IntN(60); {
		case n == 0:
			l.aim()
		case n < 20:
			l.begin()
		case n < 25:
			for range r.IntN(15) { // on the test's own clock: nothing waits
				time.Sleep(10 * time.Millisecond)
				l.c.fire()
			}
		case len(l.open) > 0:
			l.comes(l.open[r.IntN(len(l.open))])
		}
	}
	for _, k := range l.by {
		for len(k.out) > 0 {
			l.comes(k)
		}
		is.True(k.ended, "a request has no end")
	}
	is.Empty(l.c.calls)
}
