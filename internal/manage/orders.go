package manage

import (
	"context"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"sync"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/change"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/inventory"
	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/rollout"
)

// Order is what an operator wants of a fleet.
type Order struct {
	Document *document.Document `json:"document"`
	Select   string             `json:"select,omitempty"` // of which instances, as inventory.ParseSelector has it
	Limits   *Limits            `json:"limits,omitempty"` // nil for DefaultLimits
}

// Limits are a rollout's waves and stop conditions (change.Limits), in seconds and shares.
type Limits struct {
	Canaries    int     `json:"canaries"`
	Growth      float64 `json:"growth"`
	Bake        float64 `json:"bake_s"`
	MoreRefused float64 `json:"more_refused"`
	MoreFailed  float64 `json:"more_failed"`
	LessInAim   float64 `json:"less_in_aim"`
	Least       float64 `json:"least"`
	Patience    float64 `json:"patience_s"`
	MayFail     float64 `json:"may_fail"`
}

// DefaultLimits are those of an order without any.
func DefaultLimits() *Limits {
	return &Limits{Canaries: 1, Growth: 3, Bake: 30, MoreRefused: 0.02, MoreFailed: 0.01, LessInAim: 0.05, Least: 200, Patience: 120, MayFail: 0.1}
}

// check says what is wrong with limits.
func (l *Limits) check() *api.Problem {
	bad := func(field string, v any, what string) *api.Problem {
		return &api.Problem{Status: 422, Title: "the limits can't be used", Detail: fmt.Sprintf("%v is not %s", v, what), Field: "limits." + field}
	}
	if l.Canaries < 1 || l.Canaries > inventory.MaxInstances {
		return bad("canaries", l.Canaries, fmt.Sprintf("between 1 and %d", inventory.MaxInstances))
	}
	for _, f := range []struct {
		name       string
		v          float64
		least, max float64
	}{
		{"growth", l.Growth, 1, 1000}, {"bake_s", l.Bake, 0, 86400}, {"patience_s", l.Patience, 0, 86400}, {"least", l.Least, 0, 1e9},
		{"more_refused", l.MoreRefused, 0, 1}, {"more_failed", l.MoreFailed, 0, 1}, {"less_in_aim", l.LessInAim, 0, 1}, {"may_fail", l.MayFail, 0, 1},
	} {
		if !(f.v >= f.least && f.v <= f.max) {
			return bad(f.name, f.v, fmt.Sprintf("between %v and %v", f.least, f.max))
		}
	}
	return nil
}

func (l *Limits) limits() change.Limits {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return change.Limits{
		Canaries: l.Canaries, Growth: l.Growth, Bake: seconds(l.Bake), MoreRefused: l.MoreRefused, MoreFailed: l.MoreFailed,
		LessInAim: l.LessInAim, Least: l.Least, Patience: seconds(l.Patience), MayFail: l.MayFail,
	}
}

// The states of an instance.
const (
	StateAsWanted    = "as wanted"
	StateUnmanaged   = "nothing wanted"
	StateDiffers     = "differs" // and is being brought to what is wanted
	StateRefused     = "refuses"
	StateUnreachable = "silent"
	StateNotSeen     = "not seen"
)

// Planned is what an order would do to an instance.
type PlannedInstance struct {
	Name     string                `json:"name"`
	Wave     int                   `json:"wave"` // from 1; 0 for left out
	Revision uint64                `json:"revision"`
	Hash     string                `json:"hash"`
	Changes  []document.Difference `json:"changes"`
	Reason   string                `json:"reason,omitempty"` // it is left out for
}

// Plan is what an order would do.
type Plan struct {
	Hash      string            `json:"hash"` // of its document
	Waves     []int             `json:"waves"`
	Instances []PlannedInstance `json:"instances"`
}

// survey is what a plan is made of.
type survey struct {
	limits *Limits
	hash   string
	in     []rollout.PlannedInstance
	out    map[string]string // why others are left out
}

// survey looks whom an order is for, and asks for the documents that they have and the manager has not.
func (m *Manager) survey(ctx context.Context, o *Order) (*survey, error) {
	s, err := parseSelector(o.Select)
	if err != nil {
		return nil, err
	}
	v := &survey{limits: o.Limits, out: map[string]string{}}
	if o.Document == nil {
		return nil, &api.Problem{Status: 422, Title: "the order can't be used", Detail: "missing", Field: "document"}
	}
	if v.limits == nil {
		v.limits = DefaultLimits()
	}
	if p := v.limits.check(); p != nil {
		return nil, p
	}
	v.hash = o.Document.Hash()
	ask := map[string][]api.Address{} // by hash: whoever has a document can tell it
	err = m.look(ctx, func() {
		for _, p := range m.chosen(s) {
			switch {
			case p.err != nil:
				v.out[p.Name] = "silent: " + p.err.Error()
			case p.look == nil:
				v.out[p.Name] = "not seen yet"
			default:
				v.in = append(v.in, rollout.PlannedInstance{Name: p.Name, Observation: p.seen})
				if hash := p.seen.Hash; m.documents[hash] == nil && len(ask[hash]) < askedFor {
					ask[hash] = append(ask[hash], p.Address())
				}
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if len(v.in)+len(v.out) == 0 {
		return nil, &api.Problem{Status: 422, Title: "the order can't be used", Detail: "it is for no instance that is known", Field: "select"}
	}
	got, failed := map[string]*document.Document{}, map[string]error{}
	var mu sync.Mutex
	var asking sync.WaitGroup
	room := make(chan struct{}, lanes)
	for hash, all := range ask {
		for _, at := range all {
			asking.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				ctx, cancel := context.WithTimeout(ctx, pollTimeout)
				defer cancel()
				d, err := m.opts.Client(at).Document(ctx)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed[hash] = err
				} else {
					got[d.Document.Hash()] = d.Document
				}
			})
		}
	}
	asking.Wait()
	err = m.look(ctx, func() {
		for hash, d := range got {
			m.remember(hash, d)
		}
		v.in = slices.DeleteFunc(v.in, func(p rollout.PlannedInstance) bool {
			if m.documents[p.Observation.Hash] != nil {
				return false
			}
			v.out[p.Name] = "its document has just changed"
			if err := failed[p.Observation.Hash]; err != nil {
				v.out[p.Name] = "its document can't be had: " + err.Error()
			}
			return true
		})
	})
	return v, err
}

// askedFor is how many instances are asked for a document that several have.
const askedFor = 3

// remember keeps a document.
func (m *Manager) remember(hash string, d *document.Document) {
	if m.documents[hash] == nil {
		m.documents[hash] = d
		m.write(documentBucket, hash, d)
	}
}

// Plan says what an order would do.
func (m *Manager) Plan(ctx context.Context, o *Order) (*Plan, error) {
	v, err := m.survey(ctx, o)
	if err != nil {
		return nil, err
	}
	limits := v.limits.limits()
	p := &Plan{Hash: v.hash, Waves: limits.WaveSizes(len(v.in)), Instances: []PlannedInstance{}}
	err = m.look(ctx, func() {
		r := rollout.New(now(), "", v.hash, limits, v.in)
		for _, x := range r.Members() {
			is := PlannedInstance{Name: x.Name, Wave: x.Wave + 1, Revision: x.Base, Hash: x.Was, Changes: []document.Difference{}}
			if d := m.documents[x.Was]; d != nil {
				is.Changes = append(is.Changes, d.Diff(o.Document)...)
			}
			if by, busy := m.busy(x.Name); busy {
				is.Reason = "rollout " + by + " has it in hand"
			}
			p.Instances = append(p.Instances, is)
		}
	})
	for _, name := range slices.Sorted(maps.Keys(v.out)) {
		p.Instances = append(p.Instances, PlannedInstance{Name: name, Reason: v.out[name], Changes: []document.Difference{}})
	}
	return p, err
}

var rolloutID = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,100}$`)

// Begin begins a rollout. The same order again under its id begins nothing and is told as it is; another is refused.
func (m *Manager) StartRollout(ctx context.Context, id string, o *Order) (*Report, error) {
	if !rolloutID.MatchString(id) || id == "keep" {
		return nil, &api.Problem{Status: 422, Title: "the order can't be used", Detail: fmt.Sprintf("%.80q is not 1 to 100 letters, digits, dots, hyphens and underscores", id), Field: "id"}
	}
	if o.Document != nil {
		var report *Report
		if err := m.look(ctx, func() {
			if r := m.rollouts[id]; r != nil && r.Document == o.Document.Hash() {
				report = m.report(r)
			}
		}); err != nil || report != nil {
			return report, err
		}
	}
	v, err := m.survey(ctx, o)
	if err != nil {
		return nil, err
	}
	if len(v.in) == 0 {
		// Danger: it would be completed at once, and brought to all together when they are back.
		return nil, &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: fmt.Sprintf("none of the %d instances that it is for answers", len(v.out))}
	}
	var report *Report
	err = m.change(ctx, func() error {
		if r := m.rollouts[id]; r != nil {
			if r.Document == v.hash {
				report = m.report(r)
				return nil
			}
			return &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: "its id stands for another", Field: "id"}
		}
		if m.superseded || m.fence == 0 {
			return m.notManaging()
		}
		for _, p := range v.in {
			if by, busy := m.busy(p.Name); busy {
				return &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: fmt.Sprintf("rollout %s has %s in hand", by, p.Name)}
			}
		}
		if err := m.makeRoom(); err != nil {
			return err
		}
		m.remember(v.hash, o.Document)
		r := rollout.New(now(), id, v.hash, v.limits.limits(), v.in)
		for _, name := range slices.Sorted(maps.Keys(v.out)) {
			r.Exclude(name, v.out[name])
		}
		m.rollouts[id] = r
		m.order = append(m.order, id)
		report = m.report(r)
		return nil
	})
	return report, err
}

func (m *Manager) notManaging() *api.Problem {
	if m.superseded {
		return &api.Problem{Status: 412, Title: "this manager has been replaced", Detail: fmt.Sprintf("its number is %d, and %d has been heard; takeover gives it a higher one", m.fence, m.highest)}
	}
	return &api.Problem{Status: 503, Title: "this manager has just begun", Detail: "it is asking the instances for the numbers of other managers"}
}

// makeRoom forgets the oldest rollout that is over, if there are too many, and the documents that nobody needs.
func (m *Manager) makeRoom() error {
	if len(m.order) < mostRollouts {
		return nil
	}
	i := slices.IndexFunc(m.order, func(id string) bool { r := m.rollouts[id]; return r.Status.Finished() && !r.HasOpenRequests() })
	if i < 0 {
		return &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: fmt.Sprintf("%d rollouts are not over", len(m.order))}
	}
	id := m.order[i]
	m.records = append(m.records, journal.Record{Bucket: rolloutBucket, Key: id})
	for _, x := range m.rollouts[id].Members() {
		m.records = append(m.records, journal.Record{Bucket: memberBucket, Key: id + "\x00" + x.Name})
	}
	m.order = slices.Delete(m.order, i, i+1)
	delete(m.rollouts, id)
	needed := map[string]bool{}
	for _, hash := range m.wanted {
		needed[hash] = true
	}
	for _, r := range m.rollouts {
		needed[r.Document] = true
		for _, x := range r.Members() {
			needed[x.Was] = true
		}
	}
	for hash := range m.documents {
		if !needed[hash] {
			delete(m.documents, hash)
			m.records = append(m.records, journal.Record{Bucket: documentBucket, Key: hash})
		}
	}
	return nil
}

// The orders to a rollout that has begun.
const (
	AbortAction    = "abort"
	ResumeAction   = "resume"
	RollbackAction = "rollback"
)

// Tell gives an order to a rollout. Leave has a rollout resumed without those that did not apply the change.
func (m *Manager) ControlRollout(ctx context.Context, id, order string, leave bool) (*Report, error) {
	var report *Report
	err := m.change(ctx, func() error {
		r := m.rollouts[id]
		if r == nil {
			return &api.Problem{Status: 404, Title: "there is no such rollout", Detail: id, Field: "id"}
		}
		if order != AbortAction && (m.superseded || m.fence == 0) {
			return m.notManaging()
		}
		var err error
		switch order {
		case AbortAction:
			err = r.Abort(now())
		case ResumeAction:
			err = r.Resume(now(), leave)
		case RollbackAction:
			for _, x := range r.Members() {
				if by, busy := m.busy(x.Name); busy && by != id {
					return &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: fmt.Sprintf("rollout %s has %s in hand", by, x.Name)}
				}
			}
			err = r.Rollback(now())
		}
		if err != nil {
			return &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: fmt.Sprintf("%v: it is %s", err, r.Status)}
		}
		report = m.report(r)
		return nil
	})
	return report, err
}

// TakeOver gives the manager a number above all that were heard.
func (m *Manager) TakeOver(ctx context.Context) (*Status, error) {
	err := m.change(ctx, func() error {
		m.take()
		return nil
	})
	if err != nil {
		return nil, err
	}
	return m.Status(ctx)
}
