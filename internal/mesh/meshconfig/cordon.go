package meshconfig

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"slices"
)

// OpCordons replaces all cordons; the body is what EncodeCordons gives.
const OpCordons = "cordons"

// Stage is how far a machine has been taken out of use for planned work. Each holds what those below
// it hold.
type Stage uint8

// The stages.
const (
	StageOpen    Stage = iota
	StageUploads       // long bodies go elsewhere
	StageClients       // its agent says that it is not ready, so new clients go elsewhere
	StageCalls         // its backend is sent nothing
	StageClosed        // its gate hands nothing over
)

var stageNames = [...]string{StageOpen: "open", StageUploads: "uploads", StageClients: "clients", StageCalls: "calls", StageClosed: "closed"}

func (s Stage) String() string { return stageNames[min(int(s), len(stageNames)-1)] }

// Cordon takes machines out of use: those of some zones, and those that are named by their ips.
type Cordon struct {
	Zones []string `json:"zones,omitempty"`
	Nodes []string `json:"nodes,omitempty"`
	Stage Stage    `json:"stage"`
	Part  float64  `json:"part"` // of the machines that are at Stage; the others are at the one below it
}

// MostCordons and MostCordonNodes bound what a configuration holds.
const (
	MaxCordons     = 64
	MaxCordonNodes = 256
)

// Covers says whether a machine is meant.
func (c *Cordon) Covers(zone, node string) bool {
	return slices.Contains(c.Zones, zone) || slices.Contains(c.Nodes, node)
}

// of is the stage of a machine that is meant. Which ones are ahead hangs on their names alone, so
// that all nodes agree on it.
func (c *Cordon) of(node string) Stage {
	if c.Stage == StageOpen || share(node) <= c.Part {
		return c.Stage
	}
	return c.Stage - 1
}

// share is a number above 0 and up to 1 that a name always has.
func share(name string) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return (float64(mix(h.Sum64())>>11) + 1) / (1 << 53)
}

func (c *Cordon) check(field string) error {
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

func checkCordons(list []Cordon) error {
	if len(list) > MaxCordons {
		return invalid("cordons", "there are %d, at most %d", len(list), MaxCordons)
	}
	for i := range list {
		if err := list[i].check(fmt.Sprintf("cordons[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

// EncodeCordons gives the body of an order.
func EncodeCordons(list []Cordon) []byte {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return text
}

// WithCordons returns the configuration with these cordons in place of those that there are.
func (c *Config) WithCordons(list []Cordon) *Config {
	next := *c
	next.cordons = list
	return &next
}

// Cordons are all that there are.
func (c *Config) Cordons() []Cordon { return slices.Clone(c.cordons) }

// Stage is how far a machine has been taken out of use by cordons.
func (c *Config) Stage(zone, node string) (stage Stage) {
	for i := range c.cordons {
		if one := &c.cordons[i]; one.Covers(zone, node) {
			stage = max(stage, one.of(node))
		}
	}
	return stage
}

// carryCordons carries an OpCordons out.
func (c *Config) carryCordons(body []byte) (*Config, error) {
	var list []Cordon
	if err := json.Unmarshal(body, &list); err != nil {
		return c, invalid("cordons", "%v", err)
	}
	if err := checkCordons(list); err != nil {
		return c, err
	}
	return c.WithCordons(list), nil
}

// digestCordons adds to a digest; nothing where there are none, as of programs that knew none.
func (c *Config) digestCordons(h hash.Hash64) {
	for i := range c.cordons {
		one := &c.cordons[i]
		putTexts(h, one.Zones)
		putTexts(h, one.Nodes)
		putNumber(h, uint64(one.Stage))
		putNumber(h, math.Float64bits(one.Part))
	}
}
