package meshconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// encodingFormat is the first byte of the output of Encode.
const encodingFormat = 1

// encodedConfig is the complete configuration as JSON. Gob numbers types in the order in which a
// process first uses them, so equal configurations would encode to different bytes in different
// processes.
type encodedConfig struct {
	Items []encodedItem `json:"items"`
	Drops uint64        `json:"drops"`
	Zones []string      `json:"zones"`

	Cordons []Cordon `json:"cordons,omitempty"`
}

type encodedItem struct {
	Kind    string `json:"kind,omitempty"` // this and the next three fields are set for a tombstone
	Name    string `json:"name,omitempty"`
	Version string `json:"version,omitempty"`
	Drop    uint64 `json:"drop,omitempty"`
	Raw     string `json:"raw,omitempty"` // JSON of an item, as a string to preserve every byte
}

// ItemsJSON returns the body of GET /api/config: every item except tombstones, as it was sent.
func (c *Config) ItemsJSON() []byte {
	var b bytes.Buffer
	b.WriteString(`{"items":[`)
	separator := ""
	for _, i := range c.sortedItems() {
		if !i.dropped() {
			b.WriteString(separator)
			b.Write(i.raw)
			separator = ","
		}
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// Encode returns the complete configuration, including tombstones, evacuations and cordons, for
// snapshots and agents. Equal configurations encode to equal bytes.
func (c *Config) Encode() []byte {
	s := encodedConfig{Drops: c.dropCount, Zones: c.evacuatedZones, Cordons: c.cordons}
	for _, i := range c.sortedItems() {
		if i.dropped() {
			s.Items = append(s.Items, encodedItem{Kind: i.kind, Name: i.name, Version: i.versionText, Drop: i.dropNumber})
		} else {
			s.Items = append(s.Items, encodedItem{Raw: string(i.raw)})
		}
	}
	var b bytes.Buffer
	b.WriteByte(encodingFormat)
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(s); err != nil {
		panic(fmt.Sprintf("meshconfig: encoding the configuration failed: %v", err))
	}
	return b.Bytes()
}

// Decode decodes the output of Encode.
func Decode(data []byte) (*Config, error) {
	if len(data) == 0 || data[0] != encodingFormat {
		return nil, fmt.Errorf("not a configuration of format %d; another program version may have written it", encodingFormat)
	}
	var s encodedConfig
	if err := json.Unmarshal(data[1:], &s); err != nil {
		return nil, fmt.Errorf("configuration can't be read: %w", err)
	}
	c := &Config{items: make(map[key]*item, len(s.Items)), dropCount: s.Drops, evacuatedZones: s.Zones, cordons: s.Cordons}
	domains := make(map[string]bool)
	for index, encoded := range s.Items {
		i, err := encoded.item(index)
		if err != nil {
			return nil, fmt.Errorf("configuration has an invalid item: %w", err)
		}
		if i.route != nil {
			domains[i.route.Domain] = true
		}
		c.putItem(i)
	}
	if err := cmp.Or(c.validate(), c.indexCustomerKeys(), validateCordons(c.cordons)); err != nil {
		return nil, fmt.Errorf("configuration is inconsistent: %w", err)
	}
	if len(c.items) != len(s.Items) || !slices.IsSorted(c.evacuatedZones) {
		return nil, fmt.Errorf("configuration has duplicate items or unsorted zones")
	}
	c.indexRoutes(nil, domains)
	return c, nil
}

func (e encodedItem) item(n int) (*item, error) {
	field := fmt.Sprintf("items[%d]", n)
	if e.Raw == "" {
		i, err := parseMetadata(e.Kind, &Metadata{Name: e.Name, Version: e.Version}, field)
		if err != nil {
			return nil, err
		}
		i.dropNumber = e.Drop
		return i, nil
	}
	var header ItemDocument
	if err := unmarshalProto(field, []byte(e.Raw), &header); err != nil {
		return nil, err
	}
	return newItem(&header, []byte(e.Raw), field)
}
