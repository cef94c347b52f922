package change

// Deduplicator remembers the results of changes that have a single phase, so that a repeated
// request with the same id gets the first result. The zero value is ready for use. Callers do not
// record failed changes: those changed nothing and may be retried.
type Deduplicator struct {
	recorded map[string]recordedChange
	order    []string // ids of recorded, the oldest first
	current  string   // content of the change that Begin has started
}

type recordedChange struct {
	content string
	result  any
}

// Begin starts a change. If the change was made before, known is true and result is its first
// result. It returns ErrNoID for an empty id and ErrIDInUse if the id belongs to a change with
// other content.
func (d *Deduplicator) Begin(id, content string) (result any, known bool, err error) {
	if id == "" {
		return nil, false, ErrNoID
	}
	first, known := d.recorded[id]
	if known && first.content != content {
		return nil, false, ErrIDInUse
	}
	d.current = content
	return first.result, known, nil
}

// End records the result of the change that the last call of Begin has started.
func (d *Deduplicator) End(id string, result any) {
	if d.recorded == nil {
		d.recorded = map[string]recordedChange{}
	}
	if len(d.order) >= maxResults {
		delete(d.recorded, d.order[0])
		d.order = d.order[1:]
	}
	d.recorded[id] = recordedChange{d.current, result}
	d.order = append(d.order, id)
}
