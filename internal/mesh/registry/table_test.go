package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

// known is what the sources of a table said of one agent, kept plainly.
type known struct {
	best *transport.Station
	told time.Duration   // when the best word came
	seen time.Duration   // when a source that was up last had it
	says map[string]bool // source: lost
}

// state says whether it is lost to all sources that are up and know it, and whether it is there for
// one.
func (k *known) state(up map[string]bool) (lost, here bool) {
	for from, l := range k.says {
		lost, here = lost || up[from], here || up[from] && !l
	}
	return lost && !here, here
}

// drawn is what a source may say of the agents; what one word says is the same whoever passes it
// on.
func drawn(r *rand.Rand, from string, step int) (list []transport.StationStatus) {
	for agent := range 4 {
		if r.IntN(3) > 0 && (from != SelfSource || agent == 0) {
			life, seq := uint64(1+r.IntN(3)), uint64(1+r.IntN(step+1))
			list = append(list, transport.StationStatus{Lost: from != SelfSource && r.IntN(3) > 0, Station: transport.Station{Agent: fmt.Sprint("a", agent),
				Life: life, Seq: seq, Backend: &transport.Backend{ColdLeft: time.Duration((life*7+seq*1300)%5000) * time.Millisecond}}})
		}
	}
	return list
}

// TestTable has sources come, go, tell whole lists and parts of them, and lose agents. Tables that
// heard the same words agree, in whatever order; an agent is lost only if every source that is up
// and knows it says so; nothing is forgotten while no core machine is up, nor sooner than Forget,
// nor kept for ever; what is left of a warm-up ages. It provokes what DRAIN and EVAC rest on beyond
// the gate, FAILBACK (senders' pace), RECOVER and DENIED (backends that nobody uses any more).
func TestTable(t *testing.T) {
	counted := map[string]int{}
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(require.New(t), rand.New(rand.NewPCG(seed, 3)), counted) })
	}
	require.Greater(t, min(counted["forgotten"], counted["lost true"], counted["lost false"]), 100, "the load provokes too few: %v", counted)
}

func play(is *require.Assertions, r *rand.Rand, counted map[string]int) {
	tables, now, up, book := [2]*Table{New(), New()}, time.Hour, map[string]bool{}, map[string]*known{}
	each := func(f func(t *Table)) { f(tables[0]); f(tables[1]) }
	down := func(from string) {
		each(func(t *Table) { t.MarkSourceDown(from) })
		up[from] = false
	}
	check := func() {
		each(func(t *Table) { t.Expire(now) })
		is.Equal(tables[0].All(now), tables[1].All(now), "tables that heard the same words differ")
		for agent, k := range book {
			lost, here := k.state(up)
			if here || !up["core0"] && !up["core1"] && !up["core2"] {
				k.seen = now
			}
			h, there := tables[0].Status(now, agent)
			is.Equal(there, now-k.seen <= ForgetAfter, "%s is forgotten too soon, by one that is cut off, or never", agent)
			if !there {
				counted["forgotten"]++
				delete(book, agent)
				continue
			}
			counted[fmt.Sprint("lost ", lost)]++
			is.Equal(lost, h.Lost, "%s is lost to some only, or to all", agent)
			is.False(k.best.Newer(&h.Station) || h.Station.Newer(k.best), "an older word of %s holds", agent)
			is.Equal(max(0, k.best.Backend.ColdLeft-(now-k.told)), h.Station.Backend.ColdLeft, "the cold time of %s does not age", agent)
		}
	}
	for step := range 300 {
		now += time.Duration(r.IntN(1000)) * time.Millisecond
		names := []string{"core0", "core1", "core2", SelfSource}
		r.Shuffle(3, func(i, j int) { names[i], names[j] = names[j], names[i] })
		switch r.IntN(8) {
		case 0:
			down(names[0])
		case 1:
			if r.IntN(4) == 0 { // nobody says anything for long
				now += time.Duration(r.IntN(30)) * time.Second
			} else if r.IntN(10) == 0 { // all go at once, for long
				for range r.IntN(60) {
					down(names[r.IntN(3)])
					now += time.Second
					check()
				}
			}
		case 2:
			agent, life := fmt.Sprint("a", r.IntN(4)), uint64(1+r.IntN(3))
			each(func(t *Table) { t.MarkLost(names[0], agent, life) })
			up[names[0]] = true
			if k := book[agent]; k != nil && k.best.Life == life {
				k.says[names[0]] = true
			}
		default: // two sources speak, and are heard in either order
			var calls [2]func(t *Table)
			for i, from := range []string{names[0], names[1+r.IntN(3)]} {
				list, whole := drawn(r, from, step), from != SelfSource && r.IntN(3) == 0
				calls[i] = func(t *Table) { t.Merge(now, from, whole, list) }
				up[from] = true
				for _, k := range book {
					if whole {
						delete(k.says, from)
					}
				}
				for _, h := range list {
					k := book[h.Station.Agent]
					if k == nil {
						k = &known{seen: now, says: map[string]bool{}}
						book[h.Station.Agent] = k
					}
					if h.Station.Newer(k.best) {
						k.best, k.told = &h.Station, now
					}
					if k.says[from] = h.Lost; !h.Lost {
						k.seen = now
					}
				}
			}
			for i, t := range tables {
				calls[i](t)
				calls[1-i](t)
			}
		}
		check()
	}
}
