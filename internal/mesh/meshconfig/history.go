package meshconfig

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// MostPast is how many confirmed versions are remembered beside those that the configuration holds.
const MaxPastVersions = 8192

// History is what the core machines remember of confirmed orders beside the configuration: the
// identity of each version that was confirmed and has been overtaken, and for each zone when it was
// evacuated and returned last. The configuration itself tells the identity of the version that it
// holds. So under each version of an item one content is ever confirmed, the first that was carried
// out, and the same change is confirmed again at any time.
//
// What can't be told any more, because MostPast versions were overtaken since, because the item's
// tombstone was forgotten, or because a program without a history had confirmed it, is neither
// confirmed nor refused: the error is a *Forgotten.
//
// A History is changed in place and belongs to one goroutine. Like the configuration it is a
// function of the orders and their indexes alone.
type History struct {
	items        map[key]*itemHistory
	versionCount int    // versions that are remembered
	lastAge      uint64 // versions that ever were
	oldestKnown  uint64 // of items that are forgotten altogether, versions below this one can't be told
	zones        map[string]zoneTurns
}

// pastItem is what is remembered of an item: nothing of versions below from.
type itemHistory struct {
	oldestKnown uint64
	versions    []pastVersion // ascending
}

type pastVersion struct {
	Version  uint64
	Age      uint64
	Identity Identity
}

// zoneTurns are the indexes of the last orders for a zone.
type zoneTurns struct{ Evacuated, Returned uint64 }

// Conflict says that a call can't be confirmed, as another content was under the same version.
type ConflictError struct {
	Item, Version   string
	DifferingFields []string // fields, where the confirmed content is still held
}

func (e *ConflictError) Error() string {
	differs := ""
	if len(e.DifferingFields) > 0 {
		differs = " (differs: " + strings.Join(e.DifferingFields, ", ") + ")"
	}
	return fmt.Sprintf("%s: version %s was confirmed with other content%s: read the configuration, "+
		"and send this under a higher version", e.Item, e.Version, differs)
}

// Forgotten says that it can't be told whether a call was confirmed before.
type ForgottenVersionError struct {
	Item, Version string
	OldestKnown   uint64 // the lowest version that can be told
}

func (e *ForgottenVersionError) Error() string {
	return fmt.Sprintf("%s: version %s is older than what is remembered: read the configuration, "+
		"and send what is still wanted under %08x or higher", e.Item, e.Version, e.OldestKnown)
}

// Stale says that the opposite order for the zone was carried out since this one arrived.
type StaleOrderError struct{ Zone string }

func (e *StaleOrderError) Error() string {
	return "zone " + e.Zone + ": evacuated or returned by another order since this one arrived"
}

// NewHistory is the history before any order.
func NewHistory() *History {
	return &History{items: make(map[key]*itemHistory), zones: make(map[string]zoneTurns)}
}

// HistoryOf is the history where only the configuration is known: of the versions below those that
// it holds nothing can be told.
func HistoryFromConfig(c *Config) *History {
	h := NewHistory()
	for _, i := range c.items {
		h.items[i.key] = &itemHistory{oldestKnown: i.version}
	}
	return h
}

// Carry returns the configuration after the order that is at the index, as core machines carry it
// out. It is c itself where the order changes nothing or can't be carried out.
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

// check says whether the call contradicts what was confirmed. A contradiction comes before what
// can't be told: a call that was confirmed once contradicts nothing.
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
	past := h.items[i.key]
	if past == nil {
		return nil
	}
	if at, found := past.find(i.version); found {
		if past.versions[at].Identity == i.identity() {
			return nil
		}
		return &ConflictError{Item: i.key.String(), Version: i.versionText}
	}
	if i.version < past.oldestKnown {
		return &ForgottenVersionError{i.key.String(), i.versionText, current.version + 1}
	}
	return nil
}

func (p *itemHistory) find(version uint64) (int, bool) {
	return slices.BinarySearchFunc(p.versions, version, func(v pastVersion, version uint64) int {
		return cmp.Compare(v.Version, version)
	})
}

// record remembers what a confirmed call says under versions that are not the newest, and what it
// overtook.
func (h *History) record(before *Config, p *Patch, result patchResult) {
	for _, i := range result.changedItems {
		if old := before.items[i.key]; old != nil {
			h.remember(old)
		} else if h.oldestKnown > 0 { // it may be one that was forgotten
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

// remember keeps the first content of a version.
func (h *History) remember(i *item) {
	past := h.items[i.key]
	if past == nil {
		past = new(itemHistory)
		h.items[i.key] = past
	}
	at, found := past.find(i.version)
	if found || i.version < past.oldestKnown {
		return
	}
	h.lastAge++
	h.versionCount++
	entry := pastVersion{Version: i.version, Age: h.lastAge, Identity: i.identity()}
	past.versions = slices.Insert(past.versions, at, entry)
}

// forgetItem is for an item whose tombstone is forgotten: a change of it that comes late would
// bring it back, so none up to its version may be carried out again, whatever its name.
func (h *History) expireItem(i *item) {
	h.oldestKnown = max(h.oldestKnown, nextVersion(i.version))
	if past := h.items[i.key]; past != nil {
		h.versionCount -= len(past.versions)
		delete(h.items, i.key)
	}
}

func nextVersion(version uint64) uint64 { return max(version, min(version, math.MaxUint64-1)+1) }

// bound forgets the oldest quarter once there is too much, so that it is seldom at work.
func (h *History) evictOldest() {
	if h.versionCount <= MaxPastVersions {
		return
	}
	var ages []uint64
	for _, past := range h.items {
		for _, v := range past.versions {
			ages = append(ages, v.Age)
		}
	}
	slices.Sort(ages)
	oldestKept := ages[len(ages)-MaxPastVersions*3/4]
	for _, past := range h.items {
		past.versions = slices.DeleteFunc(past.versions, func(v pastVersion) bool {
			if v.Age < oldestKept {
				past.oldestKnown = max(past.oldestKnown, nextVersion(v.Version))
				h.versionCount--
			}
			return v.Age < oldestKept
		})
	}
	// A version that is younger but lower than a forgotten one is still remembered by itself.
}
