package meshconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Patch is what a call asks for: for each name, the item of the highest version in the call, and
// apart those of lower versions. It never changes.
type Patch struct {
	items []*item // sorted
	older []*item // sorted

	contradiction *InvalidError
}

// newPatch sorts the items of a call. Of those of equal name and version the first holds, as if they
// had come one after the other.
func newPatch(all []*item) *Patch {
	slices.SortStableFunc(all, func(a, b *item) int {
		return cmp.Or(a.key.compare(b.key), cmp.Compare(b.version, a.version))
	})
	p := new(Patch)
	var last *item
	for _, i := range all {
		switch {
		case last == nil || i.key != last.key:
			p.items = append(p.items, i)
		case i.version != last.version:
			p.older = append(p.older, i)
		default:
			if p.contradiction == nil && !i.same(last) {
				p.contradiction = invalid(i.key.String(), "the call has two contents under version %s: "+
					"send one, or the other under a higher version", i.text)
			}
			continue
		}
		last = i
	}
	return p
}

// all are the items of all versions.
func (p *Patch) all() []*item { return slices.Concat(p.items, p.older) }

// Contradiction is why no such call may be confirmed any more: a confirmation is for every item of a
// call, and this one has two contents for one of them under one version. Calls that were confirmed
// by programs of before are carried out all the same. It is an *Invalid, or nil.
func (p *Patch) Contradiction() error {
	if p.contradiction == nil {
		return nil
	}
	return p.contradiction
}

// ParsePatch reads the body of PATCH /api/config, and checks what can be checked without knowing
// the other items. The error is an *Invalid.
func ParsePatch(body []byte) (*Patch, error) {
	var d PatchDocument
	if err := decode("body", body, &d); err != nil {
		return nil, err
	}
	raws, err := cut(body)
	if err != nil || len(raws) != len(d.GetAdd().GetItems()) {
		return nil, invalid("body", "can't be read: its items are not one plain list")
	}
	var all []*item
	for n, head := range d.GetAdd().GetItems() {
		i, err := newItem(head, raws[n], fmt.Sprintf("add.items[%d]", n))
		if err != nil {
			return nil, err
		}
		all = append(all, i)
	}
	r := d.GetRemove()
	for _, list := range []struct {
		kind  string
		names []*Metadata
	}{{routes, r.GetRoutes()}, {services, r.GetServices()}, {limits, r.GetLimits()}, {customers, r.GetCustomers()}} {
		for n, name := range list.names {
			i, err := identify(list.kind, name, fmt.Sprintf("remove.%s[%d]", list.kind, n))
			if err != nil {
				return nil, err
			}
			all = append(all, i)
		}
	}
	return newPatch(all), nil
}

// cut gives the text of each item, which protojson doesn't keep. Maps rather than structs, since
// encoding/json takes the fields of a struct in any case of letters, unlike protojson.
func cut(body []byte) ([][]byte, error) {
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(body, &parts); err != nil || parts["add"] == nil {
		return nil, err
	}
	var add map[string]json.RawMessage
	if err := json.Unmarshal(parts["add"], &add); err != nil || add["items"] == nil {
		return nil, err
	}
	var items []json.RawMessage
	if err := json.Unmarshal(add["items"], &items); err != nil {
		return nil, err
	}
	raws := make([][]byte, len(items))
	for i, raw := range items {
		raws[i] = bytes.Clone(raw) // or one item would hold the whole body in memory
	}
	return raws, nil
}
