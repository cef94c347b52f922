package meshtest

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"
)

// The kinds of items.
const (
	Routes    = "routes"
	Services  = "services"
	Limits    = "limits"
	Customers = "customers"
)

// Item is one of the configuration, as the operator sends it or reads it back. Versions are of
// eight hexadecimal digits, so that their texts are in the order of what they say.
type Item struct {
	Kind, Name, Version string
	Body                map[string]any
	Dropped             bool // sent as one to remove
}

func (i *Item) id() string { return i.Kind + "/" + i.Name }

// same says whether an item that was read back is this one.
func (i *Item) same(read *Item) bool {
	return !i.Dropped && i.id() == read.id() && i.Version == read.Version && reflect.DeepEqual(plain(i.Body), plain(read.Body))
}

// plain is a body as JSON brings it.
func plain(body map[string]any) (out any) {
	text, err := json.Marshal(body)
	if err != nil || json.Unmarshal(text, &out) != nil {
		panic("meshtest: a body that is no JSON") // we made it, or it was read
	}
	return out
}

// matches says whether an item is a route for a request. Routes of one host do not nest here.
func (i *Item) matches(host, uri string) bool {
	start, _ := i.Body["path_start"].(string)
	return i.Kind == Routes && !i.Dropped && i.Body["domain"] == host && strings.HasPrefix(uri, start)
}

// Change is a call of an operator that changes items.
type Change struct {
	Items       []Item
	Invalid     bool          // meant to be refused
	Sent, Acked time.Duration // Acked is 0 if there was no 200
}

// leads says whether it sends requests like this one to a service.
func (c *Change) leads(host, uri, service string) bool {
	return slices.ContainsFunc(c.Items, func(i Item) bool { return i.matches(host, uri) && i.Body["service"] == service })
}

// allows says whether it holds a version of a route from which on requests may run at a service.
func (c *Change) allows(name, from, service string) bool {
	return !c.Invalid && slices.ContainsFunc(c.Items, func(i Item) bool {
		return i.Kind == Routes && i.Name == name && !i.Dropped && i.Version >= from && i.Body["service"] == service
	})
}

// drops says whether it removes a route.
func (c *Change) drops(name string) bool {
	return slices.ContainsFunc(c.Items, func(i Item) bool { return i.Kind == Routes && i.Name == name && i.Dropped })
}

type wireItem struct {
	Kind     string         `json:"item_kind"`
	Metadata wireName       `json:"metadata"`
	Body     map[string]any `json:"body"`
}

type wireName struct {
	Name    string `json:"name,omitempty"`
	Version string `json:"version"`
}

// encode is the call's body.
func (c *Change) encode() []byte {
	var call struct {
		Add struct {
			Items []wireItem `json:"items"`
		} `json:"add"`
		Remove map[string][]wireName `json:"remove"`
	}
	call.Add.Items, call.Remove = []wireItem{}, map[string][]wireName{}
	for _, i := range c.Items {
		if named := (wireName{i.Name, i.Version}); i.Dropped {
			call.Remove[i.Kind] = append(call.Remove[i.Kind], named)
		} else {
			call.Add.Items = append(call.Add.Items, wireItem{i.Kind, named, i.Body})
		}
	}
	text, err := json.Marshal(call)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return text
}

// decode reads what GET /api/config answers.
func decode(text []byte) ([]Item, error) {
	var read struct{ Items []wireItem }
	if err := json.Unmarshal(text, &read); err != nil {
		return nil, err
	}
	items := make([]Item, 0, len(read.Items))
	for _, i := range read.Items {
		items = append(items, Item{Kind: i.Kind, Name: i.Metadata.Name, Version: i.Metadata.Version, Body: i.Body})
	}
	return items, nil
}
