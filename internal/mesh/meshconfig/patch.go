package meshconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Patch is a parsed request to set and drop items. It is immutable.
type Patch struct {
	items      []*item // item with the highest version for each name, sorted by key
	olderItems []*item // items with lower versions, sorted by key

	contradictionError *InvalidError
}

// newPatch sorts the items of a request. Of items with equal name and version the first wins, as if
// they had arrived in separate requests.
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

// allItems returns the items of all versions.
func (p *Patch) allItems() []*item { return slices.Concat(p.items, p.olderItems) }

// Contradiction returns an *InvalidError if the request has two contents for one version of an item,
// otherwise nil. A confirmation covers every item of a request, so such a request must not be
// confirmed. Requests of this kind that earlier program versions confirmed are still applied.
func (p *Patch) Contradiction() error {
	if p.contradictionError == nil {
		return nil
	}
	return p.contradictionError
}

// ParsePatch parses the body of PATCH /api/config and validates what does not depend on the current
// configuration. The error is an *InvalidError.
func ParsePatch(body []byte) (*Patch, error) {
	var document PatchDocument
	if err := unmarshalProto("body", body, &document); err != nil {
		return nil, err
	}
	raws, err := splitItems(body)
	if err != nil || len(raws) != len(document.GetAdd().GetItems()) {
		return nil, invalid("body", "can't be read: its items are not one plain list")
	}
	var all []*item
	for n, header := range document.GetAdd().GetItems() {
		i, err := newItem(header, raws[n], fmt.Sprintf("add.items[%d]", n))
		if err != nil {
			return nil, err
		}
		all = append(all, i)
	}
	r := document.GetRemove()
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

// splitItems returns the text of each item to add, which protojson does not keep. It decodes into
// maps, because encoding/json matches struct fields regardless of case, unlike protojson.
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
		raws[i] = bytes.Clone(raw) // copied, because an item must not keep the complete body in memory
	}
	return raws, nil
}
