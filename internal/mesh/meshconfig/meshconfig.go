// Package meshconfig implements the configuration of the mesh: an immutable snapshot of all items,
// of the evacuated zones and of the cordons. It does no I/O, has no clock and starts no goroutines.
// Any number of goroutines may read a snapshot.
//
// Items are routes, services, customers (tenants, identified by their API keys) and the single item
// `limits`. Each item has a name and its own version. A patch sets and drops items. For each name
// the highest version wins, whether it sets or drops the item, and lower or equal versions change
// nothing. A dropped item therefore leaves a tombstone with its version. The backends of an
// evacuated zone get no requests. Evacuations have no version: the last order wins. Cordons take
// machines out of use in stages for planned maintenance.
//
// A patch takes effect completely or not at all. It is validated in two steps. Parsing checks each
// item by itself. Applying checks that the resulting configuration is consistent, so that the
// services of each route exist, which depends on the configuration that the patch is applied to. An
// item that changes nothing, because its version is not higher than the current one, is not checked
// against other items, so a repeated request remains valid after newer versions have replaced its
// items. A patch that can be read and applied is refused only for what the API documentation calls
// invalid.
//
// Two requests make the same change to an item if version and Identity are equal. Only one content
// is ever confirmed for each version of an item. Control-plane nodes keep a History for this, which
// refuses other content with a *ConflictError and confirms the same content again at any time.
// Agents apply only the orders that changed something, in the same sequence, and need no History.
//
// Guarantees: Apply is deterministic, so nodes that apply the same patches and evacuations in the
// same order have configurations that Encode to the same bytes. Patches with different versions
// commute if all are valid. Items are returned exactly as they were sent.
//
// Limits: MaxItems bounds the items, MaxZones the evacuated zones, MaxPastVersions the replaced
// versions that a History remembers, and MaxTombstones the tombstones. Beyond MaxTombstones the
// configuration forgets the oldest tombstone, and the History refuses changes that could restore the
// dropped item.
package meshconfig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

//go:generate protoc -I../../.. --go_out=../../.. --go_opt=paths=source_relative internal/mesh/meshconfig/meshconfig.proto

// Limits of a configuration.
const (
	MaxItems      = 1 << 16
	MaxTombstones = 4096
	MaxZones      = 1024
)

// Config is a snapshot of the configuration. It is immutable.
type Config struct {
	items          map[key]*item // including tombstones
	dropCount      uint64        // number of tombstones ever made
	evacuatedZones []string      // sorted
	cordons        []Cordon
	digestSum      uint64 // sum of the items' digests; see Digest
	textSize       int    // total bytes of the items' text

	routesByDomain map[string]*prefixIndex
	customersByKey map[string]*Customer
	// customerCount includes customers without any key.
	customerCount int
}

// key identifies an item.
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

// New returns the configuration before any patch.
func New() *Config { return &Config{} }

// InvalidError reports which field of a patch or of cordons is invalid.
type InvalidError struct{ Field, Problem string }

func (e *InvalidError) Error() string { return e.Field + ": " + e.Problem }

func invalid(field, problem string, args ...any) *InvalidError {
	return &InvalidError{field, fmt.Sprintf(problem, args...)}
}

// patchResult is the result of applying a patch to a configuration.
type patchResult struct {
	next              *Config
	changedItems      []*item // items of the patch that took effect
	expiredTombstones []*item // removed to stay within MaxTombstones
}

// Apply returns the configuration after the patch, and whether anything changed. The error is an
// *InvalidError. On an error, and if nothing changes, next is c.
func (c *Config) Apply(p *Patch) (next *Config, changed bool, err error) {
	result, err := c.apply(p)
	return result.next, len(result.changedItems) > 0 && err == nil, err
}

func (c *Config) apply(p *Patch) (patchResult, error) {
	result := patchResult{next: c, changedItems: c.newerItems(p)}
	if len(result.changedItems) == 0 {
		return result, nil
	}
	next := &Config{items: maps.Clone(c.items), dropCount: c.dropCount, evacuatedZones: c.evacuatedZones, cordons: c.cordons, digestSum: c.digestSum, textSize: c.textSize, customersByKey: c.customersByKey, customerCount: c.customerCount}
	if next.items == nil {
		next.items = make(map[key]*item, len(result.changedItems))
	}
	changedDomains := make(map[string]bool) // domains with changed routes
	for _, i := range result.changedItems {
		if old := c.items[i.key]; old != nil && old.route != nil {
			changedDomains[old.route.Domain] = true
		}
		if i.route != nil {
			changedDomains[i.route.Domain] = true
		}
		next.replaceItem(i)
	}
	if slices.ContainsFunc(result.changedItems, func(i *item) bool { return i.kind == customers }) {
		if err := next.indexCustomerKeys(); err != nil {
			return result, err
		}
	}
	if err := next.validate(); err != nil {
		return result, err
	}
	result.expiredTombstones = next.expireTombstones()
	next.indexRoutes(c.routesByDomain, changedDomains)
	result.next = next
	return result, nil
}

// newerItems returns the items of a patch whose versions are higher than the current ones.
func (c *Config) newerItems(p *Patch) (newer []*item) {
	for _, i := range p.items {
		if old := c.items[i.key]; old == nil || i.version > old.version {
			newer = append(newer, i)
		}
	}
	return newer
}

// replaceItem sets or drops an item in a configuration under construction.
func (c *Config) replaceItem(i *item) {
	if i.dropped() {
		c.dropCount++
		tombstone := *i // copied, because the patch may be applied to other configurations
		tombstone.dropNumber = c.dropCount
		i = &tombstone
	}
	c.putItem(i)
}

// validate checks that the services of each route exist and that there are at most MaxItems. Of
// several routes with unknown services it reports the first by name, so that every node returns the
// same error.
func (c *Config) validate() error {
	var firstInvalid *item
	var unknownService string
	itemCount := 0
	for _, i := range c.items {
		if i.dropped() {
			continue
		}
		itemCount++
		if i.route == nil || firstInvalid != nil && firstInvalid.key.compare(i.key) < 0 {
			continue
		}
		for _, share := range i.route.Shares {
			if c.Service(share.Service) == nil {
				firstInvalid, unknownService = i, share.Service
				break
			}
		}
	}
	if firstInvalid != nil {
		return invalid(firstInvalid.key.String(), "names the unknown service %q: add the service in the same call "+
			"or before, or move the route away before the service is dropped", unknownService)
	}
	if itemCount > MaxItems {
		return invalid("add", "there would be %d items: drop some, up to %d may stand", itemCount, MaxItems)
	}
	return nil
}

// expireTombstones removes the oldest tombstones beyond MaxTombstones and returns them.
func (c *Config) expireTombstones() []*item {
	var tombstones []*item
	for _, i := range c.items {
		if i.dropped() {
			tombstones = append(tombstones, i)
		}
	}
	if len(tombstones) <= MaxTombstones {
		return nil
	}
	slices.SortFunc(tombstones, func(a, b *item) int { return cmp.Compare(a.dropNumber, b.dropNumber) })
	expired := tombstones[:len(tombstones)-MaxTombstones]
	for _, i := range expired {
		c.digestSum -= i.digest()
		c.textSize -= len(i.raw)
		delete(c.items, i.key)
	}
	return expired
}

// TextSize returns the total size of the items' text in bytes. It is slightly less than the size of
// the output of Encode.
func (c *Config) TextSize() int { return c.textSize }

// Evacuate returns the configuration with the zone evacuated. If MaxZones are evacuated already, it
// returns c, so callers have to check Evacuated before they acknowledge the order.
func (c *Config) Evacuate(zone string) *Config {
	pos, found := slices.BinarySearch(c.evacuatedZones, zone)
	if found || len(c.evacuatedZones) >= MaxZones {
		return c
	}
	next := *c
	next.evacuatedZones = slices.Insert(slices.Clone(c.evacuatedZones), pos, zone)
	return &next
}

// EndEvacuation returns the configuration in which the zone is in use again.
func (c *Config) EndEvacuation(zone string) *Config {
	pos, found := slices.BinarySearch(c.evacuatedZones, zone)
	if !found {
		return c
	}
	next := *c
	next.evacuatedZones = slices.Delete(slices.Clone(c.evacuatedZones), pos, pos+1)
	return &next
}

// Evacuated reports whether the zone is evacuated, so that its backends get no requests.
func (c *Config) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(c.evacuatedZones, zone)
	return found
}

// EvacuatedZones returns the evacuated zones, sorted.
func (c *Config) EvacuatedZones() []string { return slices.Clone(c.evacuatedZones) }

// Service returns the service with the name, nil if there is none.
func (c *Config) Service(name string) *Service {
	if i := c.items[key{services, name}]; i != nil {
		return i.service
	}
	return nil
}

// Services returns the names of the services, sorted.
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

// Limits returns the limits for clients' requests. Without a limits item these are the defaults.
func (c *Config) Limits() Limits {
	if i := c.items[key{kind: limits}]; i != nil && i.limits != nil {
		return *i.limits
	}
	return defaultLimits
}

// sortedItems returns the items, including tombstones, in an order that is the same on every node.
func (c *Config) sortedItems() []*item {
	return slices.SortedFunc(maps.Values(c.items), func(a, b *item) int { return a.key.compare(b.key) })
}
