package meshconfig

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"slices"
)

// OpCordons is the Op of an order that replaces all cordons. Its body is the output of
// EncodeCordons.
const OpCordons = "cordons"

// Stage tells how far a machine is taken out of use for planned maintenance. Each stage includes the
// effects of the stages below it.
type Stage uint8

// The stages.
const (
	StageOpen    Stage = iota
	StageUploads       // requests with large bodies go to other machines
	StageClients       // its agent reports that it is not ready, so new clients go to other agents
	StageCalls         // no requests are sent to its backend
	StageClosed        // its gate passes no requests to its backend
)

var stageNames = [...]string{StageOpen: "open", StageUploads: "uploads", StageClients: "clients", StageCalls: "calls", StageClosed: "closed"}

func (s Stage) String() string { return stageNames[min(int(s), len(stageNames)-1)] }

// Cordon takes machines out of use: all in the zones, and those whose IP addresses are in Nodes.
type Cordon struct {
	Zones []string `json:"zones,omitempty"`
	Nodes []string `json:"nodes,omitempty"`
	Stage Stage    `json:"stage"`
	Part  float64  `json:"part"` // fraction of the machines at Stage; the others are one stage below
}

// MaxCordons and MaxCordonNodes bound the cordons of a configuration and the nodes of a cordon.
const (
	MaxCordons     = 64
	MaxCordonNodes = 256
)

// Covers reports whether the cordon applies to the machine with the IP address node in the zone.
func (c *Cordon) Covers(zone, node string) bool {
	return slices.Contains(c.Zones, zone) || slices.Contains(c.Nodes, node)
}

// stageOf returns the stage of a machine that the cordon covers. Which machines belong to Part
// depends only on their IP addresses, so that all nodes agree on it.
func (c *Cordon) stageOf(node string) Stage {
	if c.Stage == StageOpen || hashFraction(node) <= c.Part {
		return c.Stage
	}
	return c.Stage - 1
}

// hashFraction maps a name to a fixed number above 0 and up to 1.
func hashFraction(name string) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return (float64(mixBits(h.Sum64())>>11) + 1) / (1 << 53)
}

func (c *Cordon) validate(field string) error {
	switch {
	case len(c.Zones) == 0 && len(c.Nodes) == 0:
		return invalid(field, "it names neither zones nor nodes")
	case len(c.Zones) > MaxZones:
		return invalid(field+".zones", "there are %d, at most %d", len(c.Zones), MaxZones)
	case len(c.Nodes) > MaxCordonNodes:
		return invalid(field+".nodes", "there are %d, at most %d", len(c.Nodes), MaxCordonNodes)
	case c.Stage > StageClosed:
		return invalid(field+".stage", "there is no stage %d", c.Stage)
	case !(c.Part >= 0 && c.Part <= 1):
		return invalid(field+".part", "not from 0 to 1")
	}
	return nil
}

func validateCordons(list []Cordon) error {
	if len(list) > MaxCordons {
		return invalid("cordons", "there are %d, at most %d", len(list), MaxCordons)
	}
	for i := range list {
		if err := list[i].validate(fmt.Sprintf("cordons[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

// EncodeCordons returns the body of an OpCordons order.
func EncodeCordons(list []Cordon) []byte {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return text
}

// WithCordons returns the configuration with its cordons replaced by the list.
func (c *Config) WithCordons(list []Cordon) *Config {
	next := *c
	next.cordons = list
	return &next
}

// Cordons returns all cordons.
func (c *Config) Cordons() []Cordon { return slices.Clone(c.cordons) }

// Stage returns the highest stage of the cordons that cover the machine with the IP address node in
// the zone.
func (c *Config) Stage(zone, node string) (stage Stage) {
	for i := range c.cordons {
		if cordon := &c.cordons[i]; cordon.Covers(zone, node) {
			stage = max(stage, cordon.stageOf(node))
		}
	}
	return stage
}

// applyCordons applies the body of an OpCordons order.
func (c *Config) applyCordons(body []byte) (*Config, error) {
	var list []Cordon
	if err := json.Unmarshal(body, &list); err != nil {
		return c, invalid("cordons", "%v", err)
	}
	if err := validateCordons(list); err != nil {
		return c, err
	}
	return c.WithCordons(list), nil
}

// hashCordons adds the cordons to a digest. Without cordons it adds nothing, so that the digest
// equals that of program versions without cordons.
func (c *Config) hashCordons(h hash.Hash64) {
	for i := range c.cordons {
		cordon := &c.cordons[i]
		hashTexts(h, cordon.Zones)
		hashTexts(h, cordon.Nodes)
		hashNumber(h, uint64(cordon.Stage))
		hashNumber(h, math.Float64bits(cordon.Part))
	}
}
