package meshconfig

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"maps"
	"slices"
)

// historyState is the stored form of a History. Its lists are sorted, so that equal histories encode
// to equal bytes.
type historyState struct {
	Items     []historyItem
	Age, From uint64 // History.lastAge and History.oldestKnown
	Zones     []historyZone
}

type historyItem struct {
	Kind, Name string
	From       uint64 // itemHistory.oldestKnown
	Versions   []pastVersion
}

type historyZone struct {
	Zone  string
	Turns zoneTurns
}

// Encode returns the history for snapshots.
func (h *History) Encode() []byte {
	s := historyState{Age: h.lastAge, From: h.oldestKnown}
	for _, k := range slices.SortedFunc(maps.Keys(h.items), key.compare) {
		history := h.items[k]
		s.Items = append(s.Items, historyItem{k.kind, k.name, history.oldestKnown, history.versions})
	}
	for _, zone := range slices.Sorted(maps.Keys(h.zones)) {
		s.Zones = append(s.Zones, historyZone{zone, h.zones[zone]})
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		panic(fmt.Sprintf("meshconfig: encoding the history failed: %v", err))
	}
	return b.Bytes()
}

// DecodeHistory decodes the output of History.Encode.
func DecodeHistory(data []byte) (*History, error) {
	var s historyState
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&s); err != nil {
		return nil, fmt.Errorf("history can't be read: %w", err)
	}
	h := NewHistory()
	h.lastAge, h.oldestKnown = s.Age, s.From
	for _, i := range s.Items {
		if !slices.IsSortedFunc(i.Versions, compareVersions) {
			return nil, fmt.Errorf("history has unsorted versions of %s %s", i.Kind, i.Name)
		}
		h.items[key{i.Kind, i.Name}] = &itemHistory{i.From, i.Versions}
		h.versionCount += len(i.Versions)
	}
	for _, z := range s.Zones {
		h.zones[z.Zone] = z.Turns
	}
	return h, nil
}

func compareVersions(a, b pastVersion) int { return cmp.Compare(a.Version, b.Version) }
