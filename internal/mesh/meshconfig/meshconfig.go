// Package meshconfig is the configuration: an immutable snapshot of all items and of the zones that
// are evacuated. It does no I/O, has no clock and starts no goroutines; a snapshot may be read by
// any number of goroutines.
//
// Beside items there are cordons, by which machines are taken out of use in steps for planned work.
//
// There are items: routes, services, customers (tenants, known by their keys), and the single one `limits`. Each has a name and a
// version of its own. A patch sets and drops items; for each name the highest version holds,
// whether it set or dropped the item, and what is lower or equal changes nothing. So a dropped item
// leaves a tombstone with its version. Evacuations have no version: the last order holds.
//
// A patch comes into force whole or not at all. It is checked in two steps: what it says of itself
// when it is parsed, and whether the result is whole (each route's services stand) when it is
// applied, as only then it is known what it is applied to. An item of a patch that changes nothing,
// because a version as high holds, is not checked against the others: a call that arrives again
// when it has been overtaken is as valid as it was. Nor is a patch refused for what the pages
// don't call invalid, if it can be read and put in force.
//
// Two calls are the same change of an item if version and Identity are equal. Under each version of
// an item one content is ever confirmed: core machines keep a History, which refuses another with a
// *Conflict and confirms the same again, whatever overtook it. Agents carry out the orders that
// changed something, in the same order, and need none.
//
// Promised: Apply is a function of the two alone, so nodes that apply the same patches and
// evacuations in the same order have equal configurations, byte for byte by Encode; patches with
// different versions commute where all are valid. Items are given back exactly as they were sent.
// The limits: MostItems stand, MostTombstones are kept (after which the oldest is forgotten by the
// configuration; the History carries out nothing that may bring it back), MostPast overtaken
// versions are remembered, MostZones are evacuated.
package meshconfig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

//go:generate protoc -I../../.. --go_out=../../.. --go_opt=paths=source_relative internal/mesh/meshconfig/meshconfig.proto

const (
	MaxItems      = 1 << 16
	MaxTombstones = 4096
	MaxZones      = 1024
)

// Config is the configuration at one moment. It never changes.
type Config struct {
	items   map[key]*item // with tombstones
	drops   uint64        // tombstones ever made, which puts them in order
	zones   []string      // evacuated, sorted
	cordons []Cordon
	sum     uint64 // of the items' digests: see Digest
	size    int    // of the items' text

	hosts map[string]*prefixes // of the routes that stand, by domain
	keys  map[string]*Customer // of the customers that stand, by key
	// tenants is how many customers stand: one that has lost all its keys stands all the same.
	tenants int
}

// key is what an item is known by.
type key struct{ kind, name string }

func (a key) compare(b key) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

func (a key) String() string {
	if a.name == "" {
		return a.kind
	}
	return a.kind + " " + a.name
}

// New is the configuration before any patch.
func New() *Config { return &Config{} }

// Invalid is why a patch is refused.
type InvalidError struct{ Field, Problem string }

func (e *InvalidError) Error() string { return e.Field + ": " + e.Problem }

func invalid(field, problem string, args ...any) *InvalidError {
	return &InvalidError{field, fmt.Sprintf(problem, args...)}
}

// outcome is what a patch made of a configuration.
type outcome struct {
	next      *Config
	moved     []*item // that took the place of what stood
	forgotten []*item // tombstones
}

// Apply returns the configuration after the patch, and whether anything changed. The error is an
// *Invalid; then, and where nothing changes, next is c.
func (c *Config) Apply(p *Patch) (next *Config, changed bool, err error) {
	made, err := c.apply(p)
	return made.next, len(made.moved) > 0 && err == nil, err
}

func (c *Config) apply(p *Patch) (outcome, error) {
	made := outcome{next: c, moved: c.moves(p)}
	if len(made.moved) == 0 {
		return made, nil
	}
	next := &Config{items: maps.Clone(c.items), drops: c.drops, zones: c.zones, cordons: c.cordons, sum: c.sum, size: c.size, keys: c.keys, tenants: c.tenants}
	if next.items == nil {
		next.items = make(map[key]*item, len(made.moved))
	}
	domains := make(map[string]bool) // whose routes move
	for _, i := range made.moved {
		if old := c.items[i.key]; old != nil && old.route != nil {
			domains[old.route.Domain] = true
		}
		if i.route != nil {
			domains[i.route.Domain] = true
		}
		next.set(i)
	}
	if slices.ContainsFunc(made.moved, func(i *item) bool { return i.kind == customers }) {
		if err := next.indexKeys(); err != nil {
			return made, err
		}
	}
	if err := next.check(); err != nil {
		return made, err
	}
	made.forgotten = next.forget()
	next.index(c.hosts, domains)
	made.next = next
	return made, nil
}

// moves are the items of a patch that are newer than what is held.
func (c *Config) moves(p *Patch) (moved []*item) {
	for _, i := range p.items {
		if old := c.items[i.key]; old == nil || i.version > old.version {
			moved = append(moved, i)
		}
	}
	return moved
}

// set is for a configuration that is being made.
func (c *Config) set(i *item) {
	if i.dropped() {
		c.drops++
		tombstone := *i // the patch may be applied elsewhere as well
		tombstone.drop = c.drops
		i = &tombstone
	}
	c.put(i)
}

// check sees to it that the configuration is whole. Of several faults it tells the first by name,
// as every node must.
func (c *Config) check() error {
	var first *item
	var unknown string
	standing := 0
	for _, i := range c.items {
		if i.dropped() {
			continue
		}
		standing++
		if i.route == nil || first != nil && first.key.compare(i.key) < 0 {
			continue
		}
		for _, share := range i.route.Shares {
			if c.Service(share.Service) == nil {
				first, unknown = i, share.Service
				break
			}
		}
	}
	if first != nil {
		return invalid(first.key.String(), "names the unknown service %q: add the service in the same call "+
			"or before, or move the route away before the service is dropped", unknown)
	}
	if standing > MaxItems {
		return invalid("add", "there would be %d items: drop some, up to %d may stand", standing, MaxItems)
	}
	return nil
}

// forget drops the oldest tombstones beyond the limit, and returns them.
func (c *Config) forget() []*item {
	var dropped []*item
	for _, i := range c.items {
		if i.dropped() {
			dropped = append(dropped, i)
		}
	}
	if len(dropped) <= MaxTombstones {
		return nil
	}
	slices.SortFunc(dropped, func(a, b *item) int { return cmp.Compare(a.drop, b.drop) })
	forgotten := dropped[:len(dropped)-MaxTombstones]
	for _, i := range forgotten {
		c.sum -= i.digest()
		c.size -= len(i.raw)
		delete(c.items, i.key)
	}
	return forgotten
}

// Size is how many bytes of text the items have that stand: a little less than Encode gives.
func (c *Config) TextSize() int { return c.size }

// Evacuate returns the configuration in which the zone is evacuated. Beyond MostZones it is c: ask
// Evacuated before you acknowledge.
func (c *Config) Evacuate(zone string) *Config {
	at, found := slices.BinarySearch(c.zones, zone)
	if found || len(c.zones) >= MaxZones {
		return c
	}
	next := *c
	next.zones = slices.Insert(slices.Clone(c.zones), at, zone)
	return &next
}

// Return returns the configuration in which the zone's evacuation is taken back.
func (c *Config) EndEvacuation(zone string) *Config {
	at, found := slices.BinarySearch(c.zones, zone)
	if !found {
		return c
	}
	next := *c
	next.zones = slices.Delete(slices.Clone(c.zones), at, at+1)
	return &next
}

// Evacuated says whether nothing may be sent to the backends of the zone.
func (c *Config) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(c.zones, zone)
	return found
}

// EvacuatedZones are sorted.
func (c *Config) EvacuatedZones() []string { return slices.Clone(c.zones) }

// Service is the service of that name, nil if none stands.
func (c *Config) Service(name string) *Service {
	if i := c.items[key{services, name}]; i != nil {
		return i.service
	}
	return nil
}

// Services are the names of the services, sorted.
func (c *Config) Services() []string {
	var names []string
	for k, i := range c.items {
		if i.service != nil {
			names = append(names, k.name)
		}
	}
	slices.Sort(names)
	return names
}

// Limits are the bounds on what clients may send; where there is no such item, the defaults.
func (c *Config) Limits() Limits {
	if i := c.items[key{kind: limits}]; i != nil && i.limits != nil {
		return *i.limits
	}
	return defaultLimits
}

// sorted are the items, tombstones included, in an order that is the same on every node.
func (c *Config) sorted() []*item {
	return slices.SortedFunc(maps.Values(c.items), func(a, b *item) int { return a.key.compare(b.key) })
}
