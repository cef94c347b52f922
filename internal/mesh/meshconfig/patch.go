package meshconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Patch is what a call asks for: for each name, the item of the highest version in the call. It
// never changes.
type Patch struct {
	items []*item // sorted
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
	highest := make(map[key]*item)
	take := func(i *item) {
		// Of equal versions the first holds, as if they had come one after the other.
		if old := highest[i.key]; old == nil || i.version > old.version {
			highest[i.key] = i
		}
	}
	for n, head := range d.GetAdd().GetItems() {
		i, err := newItem(head, raws[n], fmt.Sprintf("add.items[%d]", n))
		if err != nil {
			return nil, err
		}
		take(i)
	}
	r := d.GetRemove()
	for _, list := range []struct {
		kind  string
		names []*Metadata
	}{{routes, r.GetRoutes()}, {services, r.GetServices()}, {limits, r.GetLimits()}, {tenants, r.GetTenants()}} {
		for n, name := range list.names {
			i, err := identify(list.kind, name, fmt.Sprintf("remove.%s[%d]", list.kind, n))
			if err != nil {
				return nil, err
			}
			take(i)
		}
	}
	p := &Patch{items: slices.Collect(maps.Values(highest))}
	slices.SortFunc(p.items, func(a, b *item) int { return a.key.compare(b.key) })
	return p, nil
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
