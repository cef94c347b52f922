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
	items      []*item // sorted
	olderItems []*item // sorted

	contradictionError *InvalidError
}

// newPatch sorts the items of a call. Of those of equal name and version the first holds, as if they
// had come one after the other.
func newPatch(all []*item) *Patch {
	slices.SortStableFunc(all, func(a, b *item) int {
		return cmp.Or(a.key.compare(b.key), cmp.Compare(b.version, a.version))
	})
	p := new(Patch)
	var previous *item
	for _, i := range all {
		switch {
		case previous == nil || i.key != previous.key:
			p.items = append(p.items, i)
		case i.version != previous.version:
			p.olderItems = append(p.olderItems, i)
		default:
			if p.contradictionError == nil && !i.sameChange(previous) {
				p.contradictionError = invalid(i.key.String(), "the call has two contents under version %s: "+
					"send one, or the other under a higher version", i.versionText)
			}
			continue
		}
		previous = i
	}
	return p
}

// all are the items of all versions.
func (p *Patch) allItems() []*item { return slices.Concat(p.items, p.olderItems) }

// Contradiction is why no such call may be confirmed any more: a confirmation is for every item of a
// call, and this one has two contents for one of them under one version. Calls that were confirmed
// by programs of before are carried out all the same. It is an *Invalid, or nil.
func (p *Patch) Contradiction() error {
	if p.contradictionError == nil {
		return nil
	}
	return p.contradictionError
}

// ParsePatch reads the body of PATCH /api/config, and checks what can be checked without knowing
// the other items. The error is an *Invalid.
func ParsePatch(body []byte) (*Patch, error) {
	var d PatchDocument
	if err := unmarshalProto("body", body, &d); err != nil {
		return nil, err
	}
	raws, err := splitItems(body)
	if err != nil || len(raws) != len(d.GetAdd().GetItems()) {
		return nil, invalid("body", "can't be read: its items are not one plain list")
	}
	var all []*item
	for n, header := range d.GetAdd().GetItems() {
		i, err := newItem(header, raws[n], fmt.Sprintf("add.items[%d]", n))
		if err != nil {
			return nil, err
		}
		all = append(all, i)
	}
	r := d.GetRemove()
	for _, list := range []struct {
		kind    string
		removed []*Metadata
	}{{routes, r.GetRoutes()}, {services, r.GetServices()}, {limits, r.GetLimits()}, {customers, r.GetCustomers()}} {
		for n, metadata := range list.removed {
			i, err := parseMetadata(list.kind, metadata, fmt.Sprintf("remove.%s[%d]", list.kind, n))
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
func splitItems(body []byte) ([][]byte, error) {
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
