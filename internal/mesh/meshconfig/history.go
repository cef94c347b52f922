package meshconfig

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// MaxPastVersions is the number of confirmed versions that a History remembers in addition to the
// current ones in the configuration.
const MaxPastVersions = 8192

// History is what control-plane nodes remember of confirmed orders in addition to the configuration:
// the identity of each confirmed version that has been replaced, and for each zone the indexes of
// its last evacuation and its last return. The identities of current versions come from the
// configuration. With it, only one content is ever confirmed for each version of an item, which is
// the first that was applied, and the same change is confirmed again at any time.
//
// A version is unknown if more than MaxPastVersions were replaced since, if the item's tombstone has
// expired, or if a program version without a History confirmed it. Requests with unknown versions
// are neither confirmed nor refused for good: they get a *ForgottenVersionError.
//
// A History is mutable and belongs to one goroutine. Like the configuration it depends only on the
// orders and their indexes.
type History struct {
	items        map[key]*itemHistory
	versionCount int    // number of remembered versions
	lastAge      uint64 // number of versions that were ever remembered
	oldestKnown  uint64 // versions below this one are unknown for names without item or tombstone
	zones        map[string]zoneTurns
}

// itemHistory contains the remembered versions of an item. Other versions below oldestKnown are
// unknown.
type itemHistory struct {
	oldestKnown uint64
	versions    []pastVersion // in ascending order
}

// pastVersion is a confirmed version that has been replaced.
type pastVersion struct {
	Version  uint64
	Age      uint64 // History.lastAge when it was recorded
	Identity Identity
}

// zoneTurns contains the indexes of the last orders for a zone; 0 if there was none.
type zoneTurns struct{ Evacuated, Returned uint64 }

// ConflictError reports that a request can't be confirmed, because other content was confirmed under
// the same version.
type ConflictError struct {
	Item, Version   string
	DifferingFields []string // empty if the confirmed content is no longer available
}

func (e *ConflictError) Error() string {
	differs := ""
	if len(e.DifferingFields) > 0 {
		differs = " (differs: " + strings.Join(e.DifferingFields, ", ") + ")"
	}
	return fmt.Sprintf("%s: version %s was confirmed with other content%s: read the configuration, "+
		"and send this under a higher version", e.Item, e.Version, differs)
}

// ForgottenVersionError reports that it is unknown whether a request was confirmed before.
type ForgottenVersionError struct {
	Item, Version string
	OldestKnown   uint64 // lowest version under which the change may be sent anew
}

func (e *ForgottenVersionError) Error() string {
	return fmt.Sprintf("%s: version %s is older than what is remembered: read the configuration, "+
		"and send what is still wanted under %08x or higher", e.Item, e.Version, e.OldestKnown)
}

// StaleOrderError reports that the opposite order for the zone was applied since this one arrived.
type StaleOrderError struct{ Zone string }

func (e *StaleOrderError) Error() string {
	return "zone " + e.Zone + ": evacuated or returned by another order since this one arrived"
}

// NewHistory returns the history before any order.
func NewHistory() *History {
	return &History{items: make(map[key]*itemHistory), zones: make(map[string]zoneTurns)}
}

// HistoryFromConfig returns a history for a configuration whose orders are not known. All versions
// below the current ones are unknown.
func HistoryFromConfig(c *Config) *History {
	h := NewHistory()
	for _, i := range c.items {
		h.items[i.key] = &itemHistory{oldestKnown: i.version}
	}
	return h
}

// ApplyOrder checks the order at the index against the history, records it, and returns the
// resulting configuration. It returns c if the order can't be applied or changes nothing. An
// OpCordons order counts as a change even if its cordons are the same.
func (h *History) ApplyOrder(index uint64, c *Config, o *Order) (*Config, error) {
	switch o.Op {
	case OpPatch:
	case OpCordons:
		return c.ApplyOrder(o)
	default:
		return h.applyZoneOrder(index, c, o)
	}
	p, err := ParsePatch(o.Body)
	if err != nil {
		return c, err
	}
	if o.Strict {
		if err := h.check(c, p); err != nil {
			return c, err
		}
	}
	result, err := c.apply(p)
	if err != nil {
		return c, err
	}
	h.record(c, p, result)
	return result.next, nil
}

// applyZoneOrder applies an order that evacuates a zone or returns it to use.
func (h *History) applyZoneOrder(index uint64, c *Config, o *Order) (*Config, error) {
	lastOrders := h.zones[o.Zone]
	oppositeIndex := &lastOrders.Returned
	ownIndex := &lastOrders.Evacuated
	if o.Op == OpReturn {
		oppositeIndex, ownIndex = ownIndex, oppositeIndex
	}
	if o.Strict && *oppositeIndex > o.Since {
		return c, &StaleOrderError{o.Zone}
	}
	next, err := c.ApplyOrder(o)
	if err == nil && (len(h.zones) < MaxZones || lastOrders != zoneTurns{}) {
		*ownIndex = index
		h.zones[o.Zone] = lastOrders
	}
	return next, err
}

// check returns an error if the request conflicts with confirmed versions, or if that is unknown.
// Conflicts are reported first, because a request that was confirmed once has no conflict.
func (h *History) check(c *Config, p *Patch) error {
	if err := p.Contradiction(); err != nil {
		return err
	}
	var firstForgotten error
	for _, i := range p.allItems() {
		err := h.checkItem(c, i)
		if _, unknown := err.(*ForgottenVersionError); unknown {
			firstForgotten = cmp.Or(firstForgotten, err)
		} else if err != nil {
			return err
		}
	}
	return firstForgotten
}

func (h *History) checkItem(c *Config, i *item) error {
	current := c.items[i.key]
	switch {
	case current == nil && i.version < h.oldestKnown:
		return &ForgottenVersionError{i.key.String(), i.versionText, h.oldestKnown}
	case current == nil || i.version > current.version:
		return nil
	case i.version == current.version:
		if i.sameChange(current) {
			return nil
		}
		return &ConflictError{i.key.String(), i.versionText, differingFields(i, current)}
	}
	known := h.items[i.key]
	if known == nil {
		return nil
	}
	if pos, found := known.find(i.version); found {
		if known.versions[pos].Identity == i.identity() {
			return nil
		}
		return &ConflictError{Item: i.key.String(), Version: i.versionText}
	}
	if i.version < known.oldestKnown {
		return &ForgottenVersionError{i.key.String(), i.versionText, current.version + 1}
	}
	return nil
}

func (p *itemHistory) find(version uint64) (int, bool) {
	return slices.BinarySearchFunc(p.versions, version, func(v pastVersion, version uint64) int {
		return cmp.Compare(v.Version, version)
	})
}

// record remembers the versions that a confirmed request replaced, and those of its own versions
// that are not current.
func (h *History) record(before *Config, p *Patch, result patchResult) {
	for _, i := range result.changedItems {
		if old := before.items[i.key]; old != nil {
			h.remember(old)
		} else if h.oldestKnown > 0 { // its tombstone may have expired
			h.items[i.key] = &itemHistory{oldestKnown: min(h.oldestKnown, i.version)}
		}
	}
	for _, i := range p.allItems() {
		if current := result.next.items[i.key]; current != nil && i.version < current.version {
			h.remember(i)
		}
	}
	for _, i := range result.expiredTombstones {
		h.expireItem(i)
	}
	h.evictOldest()
}

// remember records the identity of a version, unless one is recorded already.
func (h *History) remember(i *item) {
	known := h.items[i.key]
	if known == nil {
		known = new(itemHistory)
		h.items[i.key] = known
	}
	pos, found := known.find(i.version)
	if found || i.version < known.oldestKnown {
		return
	}
	h.lastAge++
	h.versionCount++
	entry := pastVersion{Version: i.version, Age: h.lastAge, Identity: i.identity()}
	known.versions = slices.Insert(known.versions, pos, entry)
}

// expireItem handles an item whose tombstone has expired. A delayed change could restore the dropped
// item, so from now on versions up to its version are unknown for every name that has neither an
// item nor a tombstone.
func (h *History) expireItem(i *item) {
	h.oldestKnown = max(h.oldestKnown, nextVersion(i.version))
	if known := h.items[i.key]; known != nil {
		h.versionCount -= len(known.versions)
		delete(h.items, i.key)
	}
}

// nextVersion returns version+1, or version if it is the highest possible.
func nextVersion(version uint64) uint64 { return max(version, min(version, math.MaxUint64-1)+1) }

// evictOldest removes the oldest quarter of the versions once there are more than MaxPastVersions,
// so that it rarely has work to do.
func (h *History) evictOldest() {
	if h.versionCount <= MaxPastVersions {
		return
	}
	var ages []uint64
	for _, history := range h.items {
		for _, v := range history.versions {
			ages = append(ages, v.Age)
		}
	}
	slices.Sort(ages)
	oldestKept := ages[len(ages)-MaxPastVersions*3/4]
	for _, history := range h.items {
		history.versions = slices.DeleteFunc(history.versions, func(v pastVersion) bool {
			if v.Age < oldestKept {
				history.oldestKnown = max(history.oldestKnown, nextVersion(v.Version))
				h.versionCount--
			}
			return v.Age < oldestKept
		})
	}
	// A version that is lower but was recorded later than a removed one is still remembered.
}
