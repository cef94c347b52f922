package site

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micaline/policy"
)

const (
	sitesOf   = 3
	serversOf = 3
	beat      = 250 * time.Millisecond
)

// world is three sites of three servers, what is true of them, and a machine that has to find out.
type world struct {
	m      *Monitor
	now    time.Duration
	up     [sitesOf * serversOf]bool
	failed [sitesOf * serversOf]time.Duration // since when, without an answer; 0: it does not
	good   [sitesOf * serversOf]time.Duration // last answer
	probed [sitesOf]bool                      // a probe was answered since it was lost
	lost   [sitesOf]time.Duration             // when
	times  [sitesOf]int
	let    [sitesOf]int
	letAt  [sitesOf]time.Duration
	by     [sitesOf]time.Duration // taken out by hand until then
	said   bool                   // by hand, that a lost site is to be asked at once
	in     [sitesOf * serversOf]bool
	probes bool
	bug    string
	paced  bool // a pacer's word may have it return
}

func newWorld(probes bool, bug string) *world {
	w := &world{now: time.Hour, probes: probes, bug: bug}
	w.m = New(Settings{Names: []string{"a", "b", "c"}, Probes: probes}, 1, w.now)
	var list []Server
	for i := range w.up {
		w.up[i] = true
		list = append(list, Server{ID: policy.ServerID(i), Site: i / serversOf, Ready: true})
	}
	w.m.SetServers(w.now, list)
	return w
}

// moves are all that may happen.
var moves = []string{"go on", "rest", "site a", "site b", "site c", "server a1", "evacuate a", "return a"}

func (w *world) move(what string) error {
	switch what {
	case "go on":
		for range 3 {
			if err := w.step(beat, true); err != nil {
				return err
			}
		}
	case "rest":
		return w.step(time.Second, false)
	case "site a", "site b", "site c":
		at := int(what[5]-'a') * serversOf
		was := w.up[at]
		for i := at; i < at+serversOf; i++ {
			w.up[i] = !was
		}
	case "server a1":
		w.up[0] = !w.up[0]
	case "evacuate a":
		stood := w.standing(0)
		if err := w.m.Evacuate(w.now, "a", 2*time.Second, w.bug == "evacuates whatever it means", "by hand"); err == nil {
			if !stood {
				return errors.New("Standing: the last site was taken out by hand without force")
			}
			w.by[0] = w.now + 2*time.Second
		} else if !errors.Is(err, ErrInsufficientCapacity) {
			return err
		}
	case "return a":
		if w.m.sites[0].state == Evacuated {
			w.by[0] = w.now
		}
		w.said = true
		return w.m.EndEvacuation(w.now, "a")
	}
	return nil
}

// standing says that a site other than one has a server in use.
func (w *world) standing(but int) bool {
	for _, s := range w.m.servers {
		if s.Site != but && s.in {
			return true
		}
	}
	return false
}

// step lets time go by. Where there is traffic each server in use gets an attempt.
func (w *world) step(d time.Duration, traffic bool) error {
	w.now += d
	var uses []Load
	for i := range w.up {
		id := policy.ServerID(i)
		if use, _ := w.m.Admitted(id); !use {
			continue
		}
		uses = append(uses, Load{id, 1, 4})
		switch {
		case !traffic:
		case w.up[i]:
			w.m.ReportOutcome(w.now, id, Answered, w.now-time.Millisecond)
			w.good[i], w.failed[i] = w.now, 0
		default:
			w.m.ReportOutcome(w.now, id, Failed, w.now-time.Millisecond)
			if w.failed[i] == 0 {
				w.failed[i] = w.now
			}
		}
	}
	var before [sitesOf]State
	for i := range before {
		before[i] = w.m.sites[i].state
	}
	asked := [sitesOf]time.Duration{}
	for i := range asked {
		asked[i] = w.m.sites[i].askedAt
	}
	w.plant()
	r := w.m.Evaluate(w.now, uses)
	for _, id := range r.Probes {
		if w.up[id] {
			w.probed[int(id)/serversOf] = true
		}
		w.m.ReportProbe(w.now, id, w.up[id])
	}
	w.plantAfter()
	for i := range before {
		if err := w.judge(i, before[i], asked[i]); err != nil {
			return err
		}
	}
	return nil
}

// judge holds what has become of a site against what is promised.
func (w *world) judge(i int, before State, asked time.Duration) error {
	s := &w.m.sites[i]
	in, failing, answering, first := 0, 0, 0, time.Duration(0)
	for k := i * serversOf; k < (i+1)*serversOf; k++ {
		o := w.m.servers[policy.ServerID(k)]
		if o.in && !w.in[k] {
			w.failed[k] = 0 // what it failed before it was let in says nothing any more
		}
		if w.in[k] = o.in; o.in {
			in++
		}
		if o.in && w.failed[k] > 0 || s.state == Lost && w.failed[k] > 0 {
			failing++
			if first == 0 || w.failed[k] < first {
				first = w.failed[k]
			}
		}
	}
	elsewhere := false
	for k := range w.up {
		if w.failed[k] == 0 && w.good[k] > first {
			if k/serversOf == i {
				answering++
			} else {
				elsewhere = true
			}
		}
	}
	open := func(s State) bool { return s != Lost && s != Evacuated && s != Recovering }
	switch {
	case s.state == Lost && open(before) && failing < 2:
		return fmt.Errorf("Alone: %d servers fail, and the site is lost", failing)
	case s.state == Lost && open(before) && answering >= failing:
		return fmt.Errorf("Fair: %d servers fail, %d answered since, and the site is lost", failing, answering)
	case s.state == Lost && open(before) && !elsewhere:
		return errors.New("Blind: no other site has answered since the first failure")
	case s.state == Lost && in > 0, open(s.state) && in < serversOf, s.state == Recovering && in == 0:
		return fmt.Errorf("Whole: %d servers of a site that is %v are used", in, s.state)
	case s.state == Evacuated && w.now >= w.by[i]+beat && w.by[i] > 0, s.state != Evacuated && before == Evacuated && w.now < w.by[i]:
		return fmt.Errorf("Hand: %v, taken out until %v", s.state, w.by[i]-w.now)
	case !w.standing(-1) && w.by[0] == 0:
		return errors.New("Standing: every site is withdrawn")
	case open(s.state) && failing == serversOf && elsewhere && w.now-first >= 2*beat && open(before) && s.state != AgentIsolated:
		return errors.New("Found: all of a site's servers fail, others answer, and nothing is found")
	}
	others := w.m.anyStands()
	if s.state == Lost && before != Lost {
		if w.times[i]++; w.now-w.lost[i] > trustAfter {
			w.times[i] = 1
		}
		w.lost[i], w.probed[i] = w.now, false
		wait := min(MaxRetryWait, MinRetryWait<<min(w.times[i]-1, 10))
		if others && s.retry-w.now < wait/2 {
			return fmt.Errorf("Wait: lost for the %d. time and asked after %v", w.times[i], s.retry-w.now)
		}
	}
	if s.state == Lost && s.askedAt > asked && w.said && i == 0 {
		w.said = false
	} else if s.state == Lost && s.askedAt > asked && s.askedAt-max(asked, w.lost[i]) < MinRetryWait/2 {
		return fmt.Errorf("Wait: asked %v after the last time", s.askedAt-max(asked, w.lost[i]))
	}
	if s.state != Lost && before == Lost && w.probes && !w.probed[i] && s.state != Evacuated && !w.paced {
		return errors.New("Asked: no probe was answered, and it returns")
	}
	if s.state == Recovering && in > w.let[i] && before != Evacuated {
		if w.let[i] > 0 && (in > 2*w.let[i] || w.now-w.letAt[i] < step) || w.let[i] == 0 && in > 1 {
			return fmt.Errorf("Steps: from %d servers to %d after %v", w.let[i], in, w.now-w.letAt[i])
		}
	}
	if s.state == Recovering && before == Recovering && in >= w.let[i] && w.let[i] > 0 && failing == in && w.now-w.letAt[i] >= beat && first > w.letAt[i] {
		return errors.New("Hurt: all that are let in fail, and the step is not taken back")
	}
	if in != w.let[i] {
		w.let[i], w.letAt[i] = in, w.now
	}
	if s.state != Recovering {
		w.let[i] = 0
	}
	return nil
}

// recovers says whether all is well once all servers are up.
func (w *world) recovers() error {
	for i := range w.up {
		w.up[i] = true
	}
	end := w.now + MaxRetryWait*5/4 + 10*time.Second
	for w.now < end {
		if err := w.step(2*beat, true); err != nil {
			return err
		}
		if !slices.ContainsFunc(w.m.sites, func(s site) bool { return s.state != Healthy }) {
			return nil
		}
	}
	return fmt.Errorf("Back: %v, %v and %v after %v with all servers up", w.m.sites[0].state, w.m.sites[1].state, w.m.sites[2].state, MaxRetryWait*5/4+10*time.Second)
}

// plant changes the machine's mind before a step as a bug in it would, plantAfter behind it.
func (w *world) plant() {
	for i := range w.m.sites {
		s := &w.m.sites[i]
		for _, o := range s.servers {
			switch {
			case w.bug == "takes one server for a site" && o.bad > 0:
				for _, p := range s.servers {
					p.bad, p.lastBad = o.bad, o.bad
				}
			case w.bug == "hears no answers" && s.state != Recovering && slices.ContainsFunc(s.servers, func(p *server) bool { return p.bad > 0 }) && o.bad == 0:
				o.bad, o.lastBad = w.now, w.now
			case w.bug == "takes others' old answers for new ones" && o.bad == 0 && o.good > 0:
				o.good = w.now + 1
			case w.bug == "hears no failures" && s.open():
				o.bad = 0
			case w.bug == "hears no failures of a return" && s.state == Recovering:
				o.bad = 0
			}
		}
		switch {
		case w.bug == "asks at every step" && s.state == Lost:
			s.retry, s.since, s.askedAt = w.now, w.now-time.Hour, w.now-time.Hour
		case w.bug == "never asks again" && s.state == Lost:
			s.since, s.retry = w.now, w.now+time.Hour
		case w.bug == "forgets that it was lost before" && s.open():
			s.times = 0
		case w.bug == "ends what was done by hand early" && s.state == Evacuated:
			s.until = w.now
		case w.bug == "does not end what was done by hand" && s.state == Evacuated:
			s.until = w.now + time.Hour
		case w.bug == "skips a step" && s.state == Recovering && s.let == 1:
			s.let = serversOf
			w.m.admit(i)
		case w.bug == "passes steps at once" && s.state == Recovering:
			s.stage = min(s.stage, w.now-step)
		}
	}
}

func (w *world) plantAfter() {
	for i := range w.m.sites {
		s := &w.m.sites[i]
		switch {
		case w.bug == "forgets a server of a lost site" && s.state == Lost:
			s.servers[0].in = true
		case w.bug == "takes time for a probe" && s.state == Lost && w.now-s.since >= 2*time.Second:
			w.m.goBack(i, s.servers[0], "planted")
		case w.bug == "loses every site" && s.state == AgentIsolated:
			w.m.lose(i, "planted")
		}
	}
}

// explore plays all orders of so many moves. It returns what is wrong with the first that is, and how many it played.
func explore(depth int, probes bool, bug string, first ...string) (played int, err error) {
	path := make([]int, depth)
	for {
		w := newWorld(probes, bug)
		err := w.move("go on")
		for _, move := range first {
			if err == nil {
				err = w.move(move)
			}
		}
		for at := 0; at < depth && err == nil; at++ {
			err = w.move(moves[path[at]])
		}
		if err == nil {
			err = w.recovers()
		}
		if played++; err != nil {
			names := slices.Clone(first)
			for _, p := range path {
				names = append(names, moves[p])
			}
			return played, fmt.Errorf("%w; after %s", err, strings.Join(names, ", "))
		}
		at := depth - 1
		for ; at >= 0; at-- {
			if path[at]++; path[at] < len(moves) {
				break
			}
			path[at] = 0
		}
		if at < 0 {
			return played, nil
		}
	}
}

func TestExploreSites(t *testing.T) {
	depth := 5
	if testing.Short() {
		depth = 3
	}
	for _, probes := range []bool{false, true} {
		played, err := explore(depth, probes, "")
		if err != nil {
			t.Error(err)
		}
		t.Logf("probes %v: %d orders", probes, played)
	}
}

// Each planted bug breaks the property that is named beforehand.
func TestExplorerFindsBugs(t *testing.T) {
	for bug, property := range map[string]string{
		"takes one server for a site":            "Alone",
		"hears no answers":                       "Alone",
		"takes others' old answers for new ones": "Blind",
		"hears no failures":                      "Found",
		"hears no failures of a return":          "Hurt",
		"asks at every step":                     "Wait",
		"never asks again":                       "Back",
		"forgets that it was lost before":        "Wait",
		"ends what was done by hand early":       "Hand",
		"does not end what was done by hand":     "Hand",
		"skips a step":                           "Steps",
		"passes steps at once":                   "Steps",
		"forgets a server of a lost site":        "Whole",
		"takes time for a probe":                 "Asked",
		"loses every site":                       "Blind",
		"evacuates whatever it means":            "Standing",
	} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			var first []string
			switch bug { // which take long to show
			case "forgets that it was lost before":
				first = []string{"site a", "go on", "site a", "go on", "go on", "go on", "go on", "go on", "site a"}
			case "hears no failures of a return":
				first = []string{"site a", "go on", "site a"}
			}
			_, err := explore(4, true, bug, first...)
			if err == nil || !strings.HasPrefix(err.Error(), property+":") {
				t.Errorf("%s should break: %v", property, err)
			}
		})
	}
}
