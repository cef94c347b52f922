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
	items map[key]*pastItem
	count int    // versions that are remembered
	age   uint64 // versions that ever were
	from  uint64 // of items that are forgotten altogether, versions below this one can't be told
	zones map[string]zoneTurns
}

// pastItem is what is remembered of an item: nothing of versions below from.
type pastItem struct {
	from     uint64
	versions []pastVersion // ascending
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
	return &History{items: make(map[key]*pastItem), zones: make(map[string]zoneTurns)}
}

// HistoryOf is the history where only the configuration is known: of the versions below those that
// it holds nothing can be told.
func HistoryFromConfig(c *Config) *History {
	h := NewHistory()
	for _, i := range c.items {
		h.items[i.key] = &pastItem{from: i.version}
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
		return h.carryZone(index, c, o)
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
	made, err := c.apply(p)
	if err != nil {
		return c, err
	}
	h.record(c, p, made)
	return made.next, nil
}

func (h *History) carryZone(index uint64, c *Config, o *Order) (*Config, error) {
	turns := h.zones[o.Zone]
	opposite := &turns.Returned
	own := &turns.Evacuated
	if o.Op == OpReturn {
		opposite, own = own, opposite
	}
	if o.Strict && *opposite > o.Since {
		return c, &StaleOrderError{o.Zone}
	}
	next, err := c.ApplyOrder(o)
	if err == nil && (len(h.zones) < MaxZones || turns != zoneTurns{}) {
		*own = index
		h.zones[o.Zone] = turns
	}
	return next, err
}

// check says whether the call contradicts what was confirmed. A contradiction comes before what
// can't be told: a call that was confirmed once contradicts nothing.
func (h *History) check(c *Config, p *Patch) error {
	if err := p.Contradiction(); err != nil {
		return err
	}
	var forgotten error
	for _, i := range p.all() {
		err := h.checkItem(c, i)
		if _, unknown := err.(*ForgottenVersionError); unknown {
			forgotten = cmp.Or(forgotten, err)
		} else if err != nil {
			return err
		}
	}
	return forgotten
}

func (h *History) checkItem(c *Config, i *item) error {
	held := c.items[i.key]
	switch {
	case held == nil && i.version < h.from:
		return &ForgottenVersionError{i.key.String(), i.text, h.from}
	case held == nil || i.version > held.version:
		return nil
	case i.version == held.version:
		if i.same(held) {
			return nil
		}
		return &ConflictError{i.key.String(), i.text, differences(i, held)}
	}
	past := h.items[i.key]
	if past == nil {
		return nil
	}
	if at, found := past.find(i.version); found {
		if past.versions[at].Identity == i.identity() {
			return nil
		}
		return &ConflictError{Item: i.key.String(), Version: i.text}
	}
	if i.version < past.from {
		return &ForgottenVersionError{i.key.String(), i.text, held.version + 1}
	}
	return nil
}

func (p *pastItem) find(version uint64) (int, bool) {
	return slices.BinarySearchFunc(p.versions, version, func(v pastVersion, version uint64) int {
		return cmp.Compare(v.Version, version)
	})
}

// record remembers what a confirmed call says under versions that are not the newest, and what it
// overtook.
func (h *History) record(before *Config, p *Patch, made outcome) {
	for _, i := range made.moved {
		if old := before.items[i.key]; old != nil {
			h.remember(old)
		} else if h.from > 0 { // it may be one that was forgotten
			h.items[i.key] = &pastItem{from: min(h.from, i.version)}
		}
	}
	for _, i := range p.all() {
		if now := made.next.items[i.key]; now != nil && i.version < now.version {
			h.remember(i)
		}
	}
	for _, i := range made.forgotten {
		h.forgetItem(i)
	}
	h.bound()
}

// remember keeps the first content of a version.
func (h *History) remember(i *item) {
	past := h.items[i.key]
	if past == nil {
		past = new(pastItem)
		h.items[i.key] = past
	}
	at, found := past.find(i.version)
	if found || i.version < past.from {
		return
	}
	h.age++
	h.count++
	entry := pastVersion{Version: i.version, Age: h.age, Identity: i.identity()}
	past.versions = slices.Insert(past.versions, at, entry)
}

// forgetItem is for an item whose tombstone is forgotten: a change of it that comes late would
// bring it back, so none up to its version may be carried out again, whatever its name.
func (h *History) forgetItem(i *item) {
	h.from = max(h.from, following(i.version))
	if past := h.items[i.key]; past != nil {
		h.count -= len(past.versions)
		delete(h.items, i.key)
	}
}

func following(version uint64) uint64 { return max(version, min(version, math.MaxUint64-1)+1) }

// bound forgets the oldest quarter once there is too much, so that it is seldom at work.
func (h *History) bound() {
	if h.count <= MaxPastVersions {
		return
	}
	var ages []uint64
	for _, past := range h.items {
		for _, v := range past.versions {
			ages = append(ages, v.Age)
		}
	}
	slices.Sort(ages)
	oldest := ages[len(ages)-MaxPastVersions*3/4]
	for _, past := range h.items {
		past.versions = slices.DeleteFunc(past.versions, func(v pastVersion) bool {
			if v.Age < oldest {
				past.from = max(past.from, following(v.Version))
				h.count--
			}
			return v.Age < oldest
		})
	}
	// A version that is younger but lower than a forgotten one is still remembered by itself.
}
