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

// Order is an operator's request for a rollout.
type Order struct {
	Document *document.Document `json:"document"`
	Select   string             `json:"select,omitempty"` // selects the instances, in the syntax of inventory.ParseSelector
	Limits   *Limits            `json:"limits,omitempty"` // nil means DefaultLimits
}

// Limits set the sizes of a rollout's waves and its stop conditions (see change.Limits). Times are
// in seconds, and rates are fractions of 1.
type Limits struct {
	Canaries    int     `json:"canaries"`     // instances of the first wave
	Growth      float64 `json:"growth"`       // factor from one wave to the next
	Bake        float64 `json:"bake_s"`       // time to watch a wave before the next
	MoreRefused float64 `json:"more_refused"` // tolerated increase of refused requests
	MoreFailed  float64 `json:"more_failed"`  // tolerated increase of failed requests
	LessInAim   float64 `json:"less_in_aim"`  // tolerated decrease of requests within the target latency
	Least       float64 `json:"least"`        // requests needed to judge a wave
	Patience    float64 `json:"patience_s"`   // longest time to wait for that many requests
	MayFail     float64 `json:"may_fail"`     // tolerated rate of instances that do not apply the change
}

// DefaultLimits returns the limits of an order that sets none.
func DefaultLimits() *Limits {
	return &Limits{Canaries: 1, Growth: 3, Bake: 30, MoreRefused: 0.02, MoreFailed: 0.01, LessInAim: 0.05, Least: 200, Patience: 120, MayFail: 0.1}
}

// validate returns a problem that names the first invalid limit, or nil.
func (l *Limits) validate() *api.Problem {
	invalid := func(field string, v any, want string) *api.Problem {
		return &api.Problem{Status: 422, Title: "the limits can't be used", Detail: fmt.Sprintf("%v is not %s", v, want), Field: "limits." + field}
	}
	if l.Canaries < 1 || l.Canaries > inventory.MaxInstances {
		return invalid("canaries", l.Canaries, fmt.Sprintf("between 1 and %d", inventory.MaxInstances))
	}
	for _, limit := range []struct {
		name            string
		value           float64
		lowest, highest float64
	}{
		{"growth", l.Growth, 1, 1000}, {"bake_s", l.Bake, 0, 86400}, {"patience_s", l.Patience, 0, 86400}, {"least", l.Least, 0, 1e9},
		{"more_refused", l.MoreRefused, 0, 1}, {"more_failed", l.MoreFailed, 0, 1}, {"less_in_aim", l.LessInAim, 0, 1}, {"may_fail", l.MayFail, 0, 1},
	} {
		if !(limit.value >= limit.lowest && limit.value <= limit.highest) {
			return invalid(limit.name, limit.value, fmt.Sprintf("between %v and %v", limit.lowest, limit.highest))
		}
	}
	return nil
}

func (l *Limits) changeLimits() change.Limits {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return change.Limits{
		Canaries: l.Canaries, Growth: l.Growth, Bake: seconds(l.Bake), MoreRefused: l.MoreRefused, MoreFailed: l.MoreFailed,
		LessInAim: l.LessInAim, Least: l.Least, Patience: seconds(l.Patience), MayFail: l.MayFail,
	}
}

// States of an instance.
const (
	StateAsWanted    = "as wanted"
	StateUnmanaged   = "nothing wanted"
	StateDiffers     = "differs" // the manager is restoring the wanted document
	StateRefused     = "refuses"
	StateUnreachable = "silent"
	StateNotSeen     = "not seen"
)

// PlannedInstance is the effect that an order would have on one instance.
type PlannedInstance struct {
	Name     string                `json:"name"`
	Wave     int                   `json:"wave"` // from 1; 0 if the instance is left out
	Revision uint64                `json:"revision"`
	Hash     string                `json:"hash"`
	Changes  []document.Difference `json:"changes"`
	Reason   string                `json:"reason,omitempty"` // why the instance is left out, or which rollout is changing it
}

// Plan is the effect that an order would have.
type Plan struct {
	Hash      string            `json:"hash"` // of the order's document
	Waves     []int             `json:"waves"`
	Instances []PlannedInstance `json:"instances"`
}

// orderTargets holds the validated limits of an order and the instances that it selects.
type orderTargets struct {
	limits   *Limits
	hash     string
	included []rollout.PlannedInstance
	excluded map[string]string // reasons for leaving out the other instances, by name
}

// resolveTargets validates an order and finds the instances that it selects. It fetches the
// documents of these instances that the manager does not have.
func (m *Manager) resolveTargets(ctx context.Context, o *Order) (*orderTargets, error) {
	selector, err := parseSelector(o.Select)
	if err != nil {
		return nil, err
	}
	targets := &orderTargets{limits: o.Limits, excluded: map[string]string{}}
	if o.Document == nil {
		return nil, &api.Problem{Status: 422, Title: "the order can't be used", Detail: "missing", Field: "document"}
	}
	if targets.limits == nil {
		targets.limits = DefaultLimits()
	}
	if p := targets.limits.validate(); p != nil {
		return nil, p
	}
	targets.hash = o.Document.Hash()
	sources := map[string][]api.Address{} // by document hash: instances that have the document
	err = m.read(ctx, func() {
		for _, instance := range m.selectInstances(selector) {
			switch {
			case instance.pollErr != nil:
				targets.excluded[instance.Name] = "silent: " + instance.pollErr.Error()
			case instance.summary == nil:
				targets.excluded[instance.Name] = "not seen yet"
			default:
				targets.included = append(targets.included, rollout.PlannedInstance{Name: instance.Name, Observation: instance.observation})
				if hash := instance.observation.Hash; m.documents[hash] == nil && len(sources[hash]) < maxDocumentSources {
					sources[hash] = append(sources[hash], instance.Address())
				}
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if len(targets.included)+len(targets.excluded) == 0 {
		return nil, &api.Problem{Status: 422, Title: "the order can't be used", Detail: "no known instance matches the selector", Field: "select"}
	}
	fetched, failed := map[string]*document.Document{}, map[string]error{}
	var mu sync.Mutex
	var fetching sync.WaitGroup
	slots := make(chan struct{}, maxRequests)
	for hash, addresses := range sources {
		for _, address := range addresses {
			fetching.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				ctx, cancel := context.WithTimeout(ctx, pollTimeout)
				defer cancel()
				d, err := m.opts.Client(address).Document(ctx)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed[hash] = err
				} else {
					fetched[d.Document.Hash()] = d.Document
				}
			})
		}
	}
	fetching.Wait()
	err = m.read(ctx, func() {
		for hash, d := range fetched {
			m.storeDocument(hash, d)
		}
		targets.included = slices.DeleteFunc(targets.included, func(p rollout.PlannedInstance) bool {
			if m.documents[p.Observation.Hash] != nil {
				return false
			}
			targets.excluded[p.Name] = "its document has just changed"
			if err := failed[p.Observation.Hash]; err != nil {
				targets.excluded[p.Name] = "fetching its document failed: " + err.Error()
			}
			return true
		})
	})
	return targets, err
}

// maxDocumentSources is the maximum number of instances that are asked for the same document.
const maxDocumentSources = 3

// storeDocument adds a document to memory and to pendingRecords, unless it is known.
func (m *Manager) storeDocument(hash string, d *document.Document) {
	if m.documents[hash] == nil {
		m.documents[hash] = d
		m.appendRecord(documentBucket, hash, d)
	}
}

// Plan returns the effect that an order would have. It changes nothing on the instances.
func (m *Manager) Plan(ctx context.Context, o *Order) (*Plan, error) {
	targets, err := m.resolveTargets(ctx, o)
	if err != nil {
		return nil, err
	}
	limits := targets.limits.changeLimits()
	plan := &Plan{Hash: targets.hash, Waves: limits.WaveSizes(len(targets.included)), Instances: []PlannedInstance{}}
	err = m.read(ctx, func() {
		r := rollout.New(now(), "", targets.hash, limits, targets.included)
		for _, x := range r.Members() {
			planned := PlannedInstance{Name: x.Name, Wave: x.Wave + 1, Revision: x.Base, Hash: x.Was, Changes: []document.Difference{}}
			if d := m.documents[x.Was]; d != nil {
				planned.Changes = append(planned.Changes, d.Diff(o.Document)...)
			}
			if rolloutID, active := m.activeRollout(x.Name); active {
				planned.Reason = "rollout " + rolloutID + " has it in hand"
			}
			plan.Instances = append(plan.Instances, planned)
		}
	})
	for _, name := range slices.Sorted(maps.Keys(targets.excluded)) {
		plan.Instances = append(plan.Instances, PlannedInstance{Name: name, Reason: targets.excluded[name], Changes: []document.Difference{}})
	}
	return plan, err
}

// rolloutIDPattern matches valid rollout IDs. The ID "keep" is refused as well, because the IDs of
// the reconcilers' changes begin with "keep/" and those of a rollout's changes with its ID.
var rolloutIDPattern = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,100}$`)

// StartRollout starts a rollout. If a rollout with this ID and the same document exists, it returns
// that rollout's report and starts nothing. An ID that is used for another document is refused.
func (m *Manager) StartRollout(ctx context.Context, id string, o *Order) (*Report, error) {
	if !rolloutIDPattern.MatchString(id) || id == "keep" {
		return nil, &api.Problem{Status: 422, Title: "the order can't be used", Detail: fmt.Sprintf("%.80q is not 1 to 100 letters, digits, dots, hyphens and underscores", id), Field: "id"}
	}
	if o.Document != nil {
		var report *Report
		if err := m.read(ctx, func() {
			if r := m.rollouts[id]; r != nil && r.Document == o.Document.Hash() {
				report = m.report(r)
			}
		}); err != nil || report != nil {
			return report, err
		}
	}
	targets, err := m.resolveTargets(ctx, o)
	if err != nil {
		return nil, err
	}
	if len(targets.included) == 0 {
		// Without instances the rollout would complete at once, and all instances would get the
		// document at the same time, without a canary, when they are back.
		return nil, &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: fmt.Sprintf("none of the %d instances that it is for answers", len(targets.excluded))}
	}
	var report *Report
	err = m.update(ctx, func() error {
		if r := m.rollouts[id]; r != nil {
			if r.Document == targets.hash {
				report = m.report(r)
				return nil
			}
			return &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: "its ID is in use by a rollout of another document", Field: "id"}
		}
		if m.superseded || m.fence == 0 {
			return m.inactiveProblem()
		}
		for _, p := range targets.included {
			if rolloutID, active := m.activeRollout(p.Name); active {
				return &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: fmt.Sprintf("rollout %s has %s in hand", rolloutID, p.Name)}
			}
		}
		if err := m.evictOldestRollout(); err != nil {
			return err
		}
		m.storeDocument(targets.hash, o.Document)
		r := rollout.New(now(), id, targets.hash, targets.limits.changeLimits(), targets.included)
		for _, name := range slices.Sorted(maps.Keys(targets.excluded)) {
			r.Exclude(name, targets.excluded[name])
		}
		m.rollouts[id] = r
		m.rolloutOrder = append(m.rolloutOrder, id)
		report = m.report(r)
		return nil
	})
	return report, err
}

func (m *Manager) inactiveProblem() *api.Problem {
	if m.superseded {
		return &api.Problem{Status: 412, Title: "this manager has been replaced", Detail: fmt.Sprintf("its fence is %d, and %d has been heard; takeover gives it a higher one", m.fence, m.highestFence)}
	}
	return &api.Problem{Status: 503, Title: "this manager has just started", Detail: "it is asking the instances for the fences of other managers"}
}

// evictOldestRollout deletes the oldest finished rollout if there are maxRollouts, and the
// documents that are no longer used. It fails if no rollout can be deleted.
func (m *Manager) evictOldestRollout() error {
	if len(m.rolloutOrder) < maxRollouts {
		return nil
	}
	i := slices.IndexFunc(m.rolloutOrder, func(id string) bool { r := m.rollouts[id]; return r.Status.Finished() && !r.HasOpenRequests() })
	if i < 0 {
		return &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: fmt.Sprintf("%d rollouts have not ended", len(m.rolloutOrder))}
	}
	id := m.rolloutOrder[i]
	m.pendingRecords = append(m.pendingRecords, journal.Record{Bucket: rolloutBucket, Key: id})
	for _, x := range m.rollouts[id].Members() {
		m.pendingRecords = append(m.pendingRecords, journal.Record{Bucket: memberBucket, Key: id + "\x00" + x.Name})
	}
	m.rolloutOrder = slices.Delete(m.rolloutOrder, i, i+1)
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
			m.pendingRecords = append(m.pendingRecords, journal.Record{Bucket: documentBucket, Key: hash})
		}
	}
	return nil
}

// Actions on a rollout that has started.
const (
	AbortAction    = "abort"
	ResumeAction   = "resume"
	RollbackAction = "rollback"
)

// ControlRollout applies AbortAction, ResumeAction or RollbackAction to a rollout. If leave is
// true, a resumed rollout leaves out the instances that did not apply the change.
func (m *Manager) ControlRollout(ctx context.Context, id, action string, leave bool) (*Report, error) {
	var report *Report
	err := m.update(ctx, func() error {
		r := m.rollouts[id]
		if r == nil {
			return &api.Problem{Status: 404, Title: "there is no such rollout", Detail: id, Field: "id"}
		}
		if action != AbortAction && (m.superseded || m.fence == 0) {
			return m.inactiveProblem()
		}
		var err error
		switch action {
		case AbortAction:
			err = r.Abort(now())
		case ResumeAction:
			err = r.Resume(now(), leave)
		case RollbackAction:
			for _, x := range r.Members() {
				if rolloutID, active := m.activeRollout(x.Name); active && rolloutID != id {
					return &api.Problem{Status: 409, Title: "the order can't be taken now", Detail: fmt.Sprintf("rollout %s has %s in hand", rolloutID, x.Name)}
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

// TakeOver makes the manager choose a fence higher than all known ones, so that it replaces other
// managers.
func (m *Manager) TakeOver(ctx context.Context) (*Status, error) {
	err := m.update(ctx, func() error {
		m.chooseFence()
		return nil
	})
	if err != nil {
		return nil, err
	}
	return m.Status(ctx)
}
