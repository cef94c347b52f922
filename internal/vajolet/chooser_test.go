package vajolet

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
	unsafe bool
	sent   []policy.ServerID
	out    []int // attempts under way
	ran    int   // attempts that ran, or may have
	ended  bool
}

// load drives a chooser with the decision module as it is, and checks each order.
type load struct {
	*require.Assertions
	r       *rand.Rand
	c       *chooser
	set     policy.Settings
	open    []*asked
	by      map[policy.RequestID]*asked
	targets map[policy.ServerID]bool
	taken   []time.Time
	extra   []time.Time
	counted map[string]int
}

func within(list []time.Time, from, to time.Time) (n float64) {
	for _, at := range list {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// sends checks an order to send: the one place where a request leaves. The rule on the budget is counted as RULES.md words it.
func (l *load) sends(k *asked, a policy.Action, t *target) {
	l.counted["sent"]++
	l.False(k.ended, "sent after its end")
	l.NotNil(t, "ROUTE: sent to who is not there")
	l.True(l.targets[t.id], "DRAIN: sent to who is no longer ready")
	if k.unsafe {
		l.Zero(k.ran+len(k.out), "TWICE: sent again although it may have run")
	}
	l.LessOrEqual(len(k.out), 1, "more than two copies out")
	l.Less(len(k.sent), l.set.MaxAttempts)
	if k.ran+len(k.out) > 0 {
		l.counted["repeated"]++
		now, w := time.Now(), l.set.ExtraWindow
		l.extra = append(l.extra, now)
		most := max(within(l.taken, now.Add(-w), now), within(l.taken, now.Add(-2*w), now.Add(-w)), within(l.taken, now.Add(-3*w/2), now.Add(-w/2)))
		l.LessOrEqual(within(l.extra, now.Add(-w), now), l.set.ExtraRatio*most+l.set.ExtraFloor, "BUDGET")
	}
	k.out = append(k.out, len(k.sent))
	k.sent = append(k.sent, a.Server)
}

// obey carries out what is ordered for a request.
func (l *load) obey(k *asked) {
	for {
		a, t, ok := l.c.take(k.call)
		if !ok {
			break
		}
		switch a.Kind {
		case policy.ActSend:
			l.sends(k, a, t)
		case policy.ActRefuse:
			l.counted["refused"]++
			l.False(k.unsafe && k.ran+len(k.out) > 0, "REFUSED: a promise for what may have run")
			l.end(k)
		case policy.ActFail:
			l.counted["failed"]++
			l.end(k)
		}
	}
	l.True(k.ended || len(k.out) > 0, "a request is left without an order")
}

func (l *load) end(k *asked) {
	l.False(k.ended, "a request ended twice")
	l.Empty(k.out, "ended while an attempt was out that might serve it")
	k.ended = true
	l.c.forget(k.call)
}

// comes ends one attempt of a request.
func (l *load) comes(k *asked) {
	i := l.r.IntN(len(k.out))
	n := k.out[i]
	k.out = slices.Delete(k.out, i, i+1)
	how := policy.Outcome(l.r.IntN(int(policy.Moot) + 1))
	if l.r.IntN(2) == 0 {
		how = policy.OK
	}
	after := time.Duration(0)
	switch how {
	case policy.Full:
		after = time.Duration(20+l.r.IntN(300)) * time.Millisecond
	case policy.ConnectFailed, policy.Moot:
	default:
		k.ran++
	}
	l.counted[how.String()]++
	final := how == policy.OK || how == policy.Cancelled
	l.c.outcome(k.call, n, k.sent[n], how, policy.Load{}, after, final || k.ended)
	if k.ended {
		return // a copy beside the one that won
	}
	if final {
		k.ended = true
		l.c.forget(k.call)
		return
	}
	l.obey(k)
}

func (l *load) begin() {
	l.taken = append(l.taken, time.Now())
	class := l.r.IntN(len(l.set.Classes))
	k := &asked{unsafe: l.set.Classes[class].Effect == policy.SideEffect}
	left := time.Duration(1+l.r.IntN(2000)) * time.Millisecond
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
	for id := policy.ServerID(1); id <= 6; id++ {
		if l.r.IntN(4) > 0 {
			l.targets[id] = true
			list = append(list, &target{id: id, backend: fmt.Sprint(l.r.IntN(2)), zone: int(id) % 2, cold: time.Duration(l.r.IntN(2)) * time.Second})
		}
	}
	l.c.setTargets(list)
}

// TestChooser provokes TWICE, REFUSED, BUDGET and DRAIN at the sender, on a clock of its own.
func TestChooser(t *testing.T) {
	counted := map[string]int{}
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Log("seed", seed)
				}
			}()
			r := rand.New(rand.NewPCG(seed, 5))
			l := &load{Assertions: require.New(t), r: r, by: map[policy.RequestID]*asked{}, counted: counted, set: policy.Settings{
				Agents: 1 + r.IntN(20), Reports: policy.ReportsInline, Gates: true, Width: 4, Tick: time.Millisecond, MaxAttempts: 6,
				SecondCopies: true, ColdFrom: coldFrom, OverloadFactor: 2, WarmAfter: 2 * time.Second,
				ExtraWindow: time.Duration(500+r.IntN(3000)) * time.Millisecond, ExtraFloor: 3 * r.Float64(), ExtraRatio: r.Float64() / 2}}
			for _, effect := range []policy.Effect{policy.Pure, policy.SideEffect} {
				l.set.Classes = append(l.set.Classes, policy.Class{Aim: 200 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1,
					LateWorth: lateWorth, Effect: effect})
			}
			var err error
			l.c, err = newChooser("s", l.set, func(string) {})
			l.NoError(err)
			l.c.module, err = policy.New(l.set, seed)
			l.NoError(err)
			l.aim()
			for range 600 {
				switch r.IntN(12) {
				case 0:
					if r.IntN(5) == 0 {
						l.aim()
					}
				case 1, 2, 3, 4:
					l.begin()
				case 5:
					time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond) // the test's own clock: nothing waits
					synctest.Wait()
				default:
					l.open = slices.DeleteFunc(l.open, func(k *asked) bool { return len(k.out) == 0 })
					if len(l.open) > 0 {
						l.comes(l.open[r.IntN(len(l.open))])
					}
				}
			}
			for _, k := range l.open {
				for len(k.out) > 0 {
					l.comes(k)
				}
			}
			for _, k := range l.by {
				l.True(k.ended, "a request has no end")
			}
			l.Empty(l.c.calls)
		})
	}
	for _, what := range []string{"sent", "repeated", "refused", "failed", "copies", "rejected", "reset", "not sent"} {
		require.Greater(t, counted[what], 50, "the load provokes too few: %s", what)
	}
}
