package meshtest

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Terms are the bounds that a story is judged by.
type Terms struct {
	InTouch     time.Duration // without trouble before a machine is owed by
	Drain       time.Duration // after an acknowledged leave
	Evacuate    time.Duration // after an acknowledged evacuation
	ApplyWithin time.Duration // after an acknowledged change
	LossSlack   time.Duration // after its last byte, from which on a request counts as read
	Grace       time.Duration // that a process has from SIGTERM on
	EarlySent   time.Duration // after it, in which a request is sent that may be broken off in the last sixth of Grace
	GoneWithin  time.Duration // after its client has left, in which a request's work ends
	Tries       int           // of each route: backends that one request may run on
	GiveUp      time.Duration // of each route: when a request that is under way gets its answer
	Lease       time.Duration // within which a duty may not go to another machine and back
	Window      time.Duration // of usage
	UsageDelay  time.Duration // after its end, until its report is due
	Beyond      time.Duration // the time that a backend is told may be longer than there is by this, and an answer later
}

// longest is the bound after which all others are over.
func (t *Terms) longest() time.Duration { return max(t.InTouch, t.Drain, t.Evacuate, t.ApplyWithin) }

// Rules names what Judge judges.
var Rules = []string{"TWICE", "REFUSED", "UNASKED", "ROUTE", "MIXED", "LOST", "DRAIN", "EVAC", "CONFIG", "GONE", "BUDGET", "DENIED", "ONE", "USAGE"}

// Breach is a rule that was broken.
type Breach struct{ Rule, Proof string }

func (b Breach) String() string { return b.Rule + ": " + b.Proof }

// mostBreaches bounds a verdict: whoever breaks one rule often needs no more proofs.
const mostBreaches = 20

// judge collects breaches.
type judge struct {
	*Story
	found []Breach
}

func (j *judge) breach(rule, format string, args ...any) {
	if len(j.found) < mostBreaches {
		j.found = append(j.found, Breach{rule, fmt.Sprintf(format, args...)})
	}
}

// Judge says which rules a story shows to be broken. It goes by what clients, backends and
// operators saw, and by nothing that a process of the mesh says of itself.
func Judge(s *Story) []Breach {
	j := &judge{Story: s}
	if s.Over {
		j.breach("CANT-TELL", "more happened than is kept")
	}
	j.readBack() // first: what is lost counts for more than who noticed it
	runs := map[string][]*Run{}
	for _, r := range s.Runs {
		runs[r.Try] = append(runs[r.Try], r)
		j.run(r)
	}
	tries := make([]*Try, 0, len(s.Tries))
	for _, t := range s.Tries {
		tries = append(tries, t)
	}
	slices.SortFunc(tries, func(x, y *Try) int { return cmp.Or(cmp.Compare(x.Sent, y.Sent), strings.Compare(x.ID, y.ID)) })
	for _, t := range tries {
		j.try(t, runs[t.ID])
		j.brokenOff(t, runs[t.ID])
	}
	j.clientsGone(tries, runs)
	j.budgets(tries, runs)
	j.givenUp(tries)
	j.platform()
	j.usage()
	return j.found
}

// run judges what reached a backend.
func (j *judge) run(r *Run) {
	t := j.Tries[r.Try]
	if t == nil {
		j.breach("UNASKED", "%s ran %q, which nobody sent", r.Backend, r.Try)
		return
	}
	if j.Tenants > 0 && t.Customer == "" {
		j.breach("ROUTE", "%s ran %s, which brought no customer's key", r.Backend, r.Try)
	}
	if r.Message != t.Message {
		j.breach("UNASKED", "%s ran %s as %v, sent as %v", r.Backend, r.Try, r.Message, t.Message)
	}
	// The gate beside a backend is one with who acknowledges, so no trouble excuses it.
	if at, leaves := j.Leaves[r.Backend]; leaves && r.Began > at+j.Terms.Drain {
		j.breach("DRAIN", "%s ran %s at %v, and its leave was acknowledged at %v", r.Backend, r.Try, r.Began, at)
	}
	for _, e := range j.Evacuations {
		if e.Zone == r.Zone && r.Began > e.From+j.Terms.Evacuate && (e.Until == 0 || r.Began < e.Until) &&
			j.calm(t.Machine, t.Sent, r.Began) && j.calm(r.Machine, t.Sent, r.Began) {
			j.breach("EVAC", "%s in %s ran %s at %v, evacuated since %v", r.Backend, r.Zone, r.Try, r.Began, e.From)
		}
	}
	name, version := j.newest(r.Host, r.URI, t.Sent-j.Terms.ApplyWithin)
	switch {
	case !slices.ContainsFunc(j.Changes, func(c *Change) bool { return c.Sent <= r.Began && c.leads(r.Host, r.URI, r.Service) }):
		j.breach("ROUTE", "%s of %s ran %s, %s%s, which no configuration sends there", r.Backend, r.Service, r.Try, r.Host, r.URI)
	case name == "" || !j.calm(t.Machine, t.Sent, r.Began):
	case !slices.ContainsFunc(j.Changes, func(c *Change) bool { return c.Sent <= r.Began && c.allows(name, version, r.Service) }):
		j.breach("CONFIG", "%s of %s ran %s, sent at %v, as only versions of %s before %s allow",
			r.Backend, r.Service, r.Try, t.Sent, name, version)
	}
}

// try judges what a sender saw.
func (j *judge) try(t *Try, runs []*Run) {
	if t.Kind != Safe && len(runs) > 1 {
		j.breach("TWICE", "%s %s ran at %s and at %s", t.Kind, t.ID, runs[0].Backend, runs[1].Backend)
	}
	a := t.Answer
	switch {
	case a.Status == 0:
		read := len(runs) > 0 || t.End-t.Sent > j.Terms.LossSlack
		if t.End > 0 && !t.Silent && !j.Broken && read && j.unharmed(t.Machine, t.Sent, t.End) &&
			!slices.ContainsFunc(runs, func(r *Run) bool { return r.Answer.Status == 0 }) {
			j.breach("LOST", "%s of %s ended at %v without an answer", t.ID, t.Machine, t.End)
		}
	case promises(a.Status) && t.Kind != Safe && len(runs) > 0:
		j.breach("REFUSED", "%s %s was answered %d, and ran at %s", t.Kind, t.ID, a.Status, runs[0].Backend)
	case a.Status/100 == 2:
		made := slices.ContainsFunc(runs, func(r *Run) bool { return r.Answer == a })
		if !made || a.Try != t.ID {
			j.breach("MIXED", "%s got %+v, which no backend made for it", t.ID, a)
		}
	case a.Status == 401 && t.Customer != "":
		if j.calm(t.Machine, t.Sent, t.End) {
			j.breach("DENIED", "%s of %s brought a key of %s, and got 401", t.ID, t.Machine, t.Customer)
		}
	case a.Status == 404:
		if name, _ := j.newest(t.Host, t.URI, t.Sent-j.Terms.ApplyWithin); name != "" && j.calm(t.Machine, t.Sent, t.End) &&
			!slices.ContainsFunc(j.Changes, func(c *Change) bool { return c.drops(name) }) {
			j.breach("CONFIG", "%s got 404 from %s though %s was acknowledged long before", t.ID, t.Machine, name)
		}
	}
}

// mostLateBegun is how many requests may reach a backend after their clients have left.
const mostLateBegun = 3

// clientsGone judges what is done for clients that have left: nothing begins later than the bound,
// and of the work that may be repeated, and would have lasted beyond it, three quarters end.
func (j *judge) clientsGone(tries []*Try, runs map[string][]*Run) {
	if j.Broken {
		return // a link may hold the close up
	}
	begun, lasting, working, last := 0, 0, 0, ""
	for _, t := range tries {
		if !t.Left {
			continue
		}
		bound := t.End + j.Terms.GoneWithin
		for _, r := range runs[t.ID] {
			switch {
			case !j.calm(t.Machine, t.Sent, bound) || !j.calm(r.Machine, t.Sent, bound):
			case r.Began > bound:
				begun++
				last = t.ID
			case t.Kind == Safe && r.Due > bound:
				if lasting++; r.Ended == 0 || r.Ended > bound {
					working++
					last = t.ID
				}
			}
		}
	}
	if begun > mostLateBegun {
		j.breach("GONE", "%d requests began later than %v after their clients had left, the last of them %s", begun, j.Terms.GoneWithin, last)
	}
	if 4*working > lasting {
		j.breach("GONE", "of %d runs %d went on later than %v after their clients had left, the last of them for %s", lasting, working, j.Terms.GoneWithin, last)
	}
}

// promises says whether a status says that the request did not run and never will.
func promises(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// newest finds the route for a request and the highest of its versions that was acknowledged by a
// moment.
func (j *judge) newest(host, uri string, by time.Duration) (name, version string) {
	for _, c := range j.Changes {
		if c.Acked == 0 || c.Acked > by {
			continue
		}
		for i := range c.Items {
			if it := &c.Items[i]; it.matches(host, uri) && it.Version > version {
				name, version = it.Name, it.Version
			}
		}
	}
	for _, c := range j.Changes { // one that is dropped matches nothing
		for i := range c.Items {
			if it := &c.Items[i]; it.Name == name && it.Kind == Routes && c.Acked > 0 && c.Acked <= by && it.Version > version {
				version = it.Version
			}
		}
	}
	return name, version
}

// readBack judges what the core machines say that holds in the end.
func (j *judge) readBack() {
	for _, c := range j.Changes {
		if c.Invalid && c.Acked > 0 {
			j.breach("CONFIG", "an invalid change was acknowledged at %v", c.Acked)
		}
	}
	for n, items := range j.Read {
		if items == nil {
			j.breach("CONFIG", "core machine %d answers no read", n)
			continue
		}
		there := map[string]Item{}
		for _, it := range items {
			there[it.id()] = it
		}
		least := map[string]string{} // versions that were acknowledged
		for _, c := range j.Changes {
			for _, it := range c.Items {
				if old, known := least[it.id()]; c.Acked > 0 && (!known || it.Version > old) {
					least[it.id()] = it.Version
				}
			}
		}
		for id, it := range there {
			if !j.may(id, least[id], func(sent *Item) bool { return sent.same(&it) }) {
				j.breach("CONFIG", "core machine %d has %+v, acknowledged is version %q", n, it, least[id])
			}
		}
		for id, version := range least {
			if _, ok := there[id]; !ok && !j.may(id, version, func(sent *Item) bool { return sent.Dropped }) {
				j.breach("CONFIG", "core machine %d lacks %s, acknowledged is version %q", n, id, version)
			}
		}
		if n > 0 && j.Read[0] != nil && !reflect.DeepEqual(sorted(items), sorted(j.Read[0])) {
			j.breach("CONFIG", "core machines 0 and %d have different items", n)
		}
	}
}

// may says whether an item may stand as the predicate says: in a version that was sent, and none
// below the one acknowledged.
func (j *judge) may(id, least string, as func(*Item) bool) bool {
	return slices.ContainsFunc(j.Changes, func(c *Change) bool {
		return !c.Invalid && slices.ContainsFunc(c.Items, func(it Item) bool { return it.id() == id && it.Version >= least && as(&it) })
	})
}

func sorted(items []Item) []Item {
	items = slices.Clone(items)
	slices.SortFunc(items, func(x, y Item) int { return strings.Compare(x.id(), y.id()) })
	return items
}
