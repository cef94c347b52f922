package change

// Once remembers what became of changes that are made at once, so that a repeat under an id has the first result. The
// zero value is ready. Changes that failed are not remembered: nothing was changed, and the same may be tried again.
type Deduplicator struct {
	done  map[string]once
	order []string // of done, the oldest first
	now   string   // what is being done
}

type once struct {
	what   string
	result any
}

// Begin says whether a change was made before, and with which result. What is another change under the same id is
// ErrIDInUse.
func (o *Deduplicator) Begin(id, what string) (result any, known bool, err error) {
	if id == "" {
		return nil, false, ErrNoID
	}
	first, known := o.done[id]
	if known && first.what != what {
		return nil, false, ErrIDInUse
	}
	o.now = what
	return first.result, known, nil
}

// End takes in how the change ended that has begun last.
func (o *Deduplicator) End(id string, result any) {
	if o.done == nil {
		o.done = map[string]once{}
	}
	if len(o.order) >= mostResults {
		delete(o.done, o.order[0])
		o.order = o.order[1:]
	}
	o.done[id] = once{o.now, result}
	o.order = append(o.order, id)
}
