package change

// Once remembers what became of changes that are made at once, so that a repeat under an id has the first result. The
// zero value is ready. Changes that failed are not remembered: nothing was changed, and the same may be tried again.
type Deduplicator struct {
	recorded map[string]recordedChange
	order    []string // of done, the oldest first
	current  string   // what is being done
}

type recordedChange struct {
	content string
	result  any
}

// Begin says whether a change was made before, and with which result. What is another change under the same id is
// ErrIDInUse.
func (o *Deduplicator) Begin(id, content string) (result any, known bool, err error) {
	if id == "" {
		return nil, false, ErrNoID
	}
	first, known := o.recorded[id]
	if known && first.content != content {
		return nil, false, ErrIDInUse
	}
	o.current = content
	return first.result, known, nil
}

// End takes in how the change ended that has begun last.
func (o *Deduplicator) End(id string, result any) {
	if o.recorded == nil {
		o.recorded = map[string]recordedChange{}
	}
	if len(o.order) >= maxResults {
		delete(o.recorded, o.order[0])
		o.order = o.order[1:]
	}
	o.recorded[id] = recordedChange{o.current, result}
	o.order = append(o.order, id)
}
