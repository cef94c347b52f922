package meshconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// format is the first byte of what Encode gives.
const format = 1

// state is the whole configuration as JSON. Gob would number its types by the order in which a
// process first uses them, so equal configurations would differ in bytes from process to process.
type state struct {
	Items []stateItem `json:"items"`
	Drops uint64      `json:"drops"`
	Zones []string    `json:"zones"`

	Cordons []Cordon `json:"cordons,omitempty"`
}

type stateItem struct {
	Kind    string `json:"kind,omitempty"` // of a tombstone, as are the next three
	Name    string `json:"name,omitempty"`
	Version string `json:"version,omitempty"`
	Drop    uint64 `json:"drop,omitempty"`
	Raw     string `json:"raw,omitempty"` // of an item that stands; a string keeps it to the byte
}

// Items is the body of GET /api/config: every item that stands, as it was sent.
func (c *Config) ItemsJSON() []byte {
	var b bytes.Buffer
	b.WriteString(`{"items":[`)
	comma := ""
	for _, i := range c.sorted() {
		if !i.dropped() {
			b.WriteString(comma)
			b.Write(i.raw)
			comma = ","
		}
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// Encode gives the whole state, tombstones and evacuations included, for snapshots and agents.
// Equal configurations give equal bytes.
func (c *Config) Encode() []byte {
	s := state{Drops: c.drops, Zones: c.zones, Cordons: c.cordons}
	for _, i := range c.sorted() {
		if i.dropped() {
			s.Items = append(s.Items, stateItem{Kind: i.kind, Name: i.name, Version: i.text, Drop: i.drop})
		} else {
			s.Items = append(s.Items, stateItem{Raw: string(i.raw)})
		}
	}
	var b bytes.Buffer
	b.WriteByte(format)
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(s); err != nil {
		panic(fmt.Sprintf("meshconfig: strings and numbers can't fail to encode: %v", err))
	}
	return b.Bytes()
}

// Decode reads what Encode gave.
func Decode(data []byte) (*Config, error) {
	if len(data) == 0 || data[0] != format {
		return nil, fmt.Errorf("no configuration of format %d: was it written by another version of the program?", format)
	}
	var s state
	if err := json.Unmarshal(data[1:], &s); err != nil {
		return nil, fmt.Errorf("a configuration that can't be read: %w", err)
	}
	c := &Config{items: make(map[key]*item, len(s.Items)), drops: s.Drops, zones: s.Zones, cordons: s.Cordons}
	domains := make(map[string]bool)
	for n, e := range s.Items {
		i, err := e.item(n)
		if err != nil {
			return nil, fmt.Errorf("a configuration with an odd item: %w", err)
		}
		if i.route != nil {
			domains[i.route.Domain] = true
		}
		c.put(i)
	}
	if err := cmp.Or(c.check(), c.indexKeys(), checkCordons(c.cordons)); err != nil {
		return nil, fmt.Errorf("a configuration that isn't whole: %w", err)
	}
	if len(c.items) != len(s.Items) || !slices.IsSorted(c.zones) {
		return nil, fmt.Errorf("a configuration with an item twice or zones out of order")
	}
	c.index(nil, domains)
	return c, nil
}

func (e stateItem) item(n int) (*item, error) {
	field := fmt.Sprintf("items[%d]", n)
	if e.Raw == "" {
		i, err := identify(e.Kind, &Metadata{Name: e.Name, Version: e.Version}, field)
		if err != nil {
			return nil, err
		}
		i.drop = e.Drop
		return i, nil
	}
	var head ItemDocument
	if err := decode(field, []byte(e.Raw), &head); err != nil {
		return nil, err
	}
	return newItem(&head, []byte(e.Raw), field)
}
