package consensus

import (
	"fmt"
	"slices"
)

// entryOverhead is the size in bytes that an entry counts in addition to its command.
const entryOverhead = 64

// firstMesh is the number in messages of a mesh that was not founded from a backup.
const firstMesh = 1

// configuration is a set of members and the place in the log where it was decided.
type configuration struct {
	place   Place
	members Members
}

// entryLog is the part of the log after baseIndex, the last entry that was compacted away. Entries
// are never modified in place, because messages in flight share them.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
	cumulativeBytes     []uint64 // size up to each entry, from the first one ever held
	baseBytes           uint64
	configurations      []configuration // ascending; the first one applies at the base
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// termAt returns the term of the entry at an index. It reports false if the log does not hold that
// entry.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// append adds the next entry. It panics if the entry does not follow the last one.
func (l *entryLog) append(e Entry) {
	if e.Index != l.lastIndex()+1 || e.Term < l.lastTerm() {
		panic(fmt.Sprintf("consensus: entry %d of term %d behind entry %d of term %d",
			e.Index, e.Term, l.lastIndex(), l.lastTerm()))
	}
	l.cumulativeBytes = append(l.cumulativeBytes, l.bytesUpTo(l.lastIndex())+entryOverhead+uint64(len(e.Command)))
	l.entries = append(l.entries, e)
	if e.Members != nil {
		l.configurations = append(l.configurations, configuration{Place{e.Term, e.Index}, *e.Members})
	}
}

// bytesUpTo returns the size of the entries up to and including an index, from the first one ever
// held.
func (l *entryLog) bytesUpTo(index uint64) uint64 {
	if index <= l.baseIndex {
		return l.baseBytes
	}
	return l.cumulativeBytes[index-l.baseIndex-1]
}

// bytesBetween returns the size of the entries after index from up to and including index to.
func (l *entryLog) bytesBetween(from, to uint64) uint64 { return l.bytesUpTo(to) - l.bytesUpTo(from) }

// truncateFrom removes the entries from an index on.
func (l *entryLog) truncateFrom(from uint64) {
	kept := int(from - l.baseIndex - 1)
	l.entries, l.cumulativeBytes = slices.Clone(l.entries[:kept]), l.cumulativeBytes[:kept]
	for len(l.configurations) > 0 && l.configurations[len(l.configurations)-1].place.Index >= from {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// compactTo removes the entries up to and including an index.
func (l *entryLog) compactTo(to uint64) {
	if to <= l.baseIndex {
		return
	}
	term, _ := l.termAt(to)
	newBaseBytes, dropped := l.bytesUpTo(to), int(to-l.baseIndex)
	l.entries, l.cumulativeBytes = slices.Clone(l.entries[dropped:]), slices.Clone(l.cumulativeBytes[dropped:])
	l.baseIndex, l.baseTerm, l.baseBytes = to, term, newBaseBytes
	for len(l.configurations) > 1 && l.configurations[1].place.Index <= to {
		l.configurations = l.configurations[1:]
	}
}

// resetTo replaces the whole log by a snapshot.
func (l *entryLog) resetTo(s *Snapshot) {
	*l = entryLog{baseIndex: s.Index, baseTerm: s.Term, configurations: []configuration{{s.MembersAt, s.Members}}}
}

// entriesBetween copies entries after an index, up to and including another index. It returns as
// many as fit into maxBytes, and at least one.
func (l *entryLog) entriesBetween(after, last, maxBytes uint64) []Entry {
	end := after
	for end < last && (end == after || l.bytesBetween(after, end+1) <= maxBytes) {
		end++
	}
	return slices.Clone(l.entries[after-l.baseIndex : end-l.baseIndex])
}

// latestConfiguration returns the last configuration in the log, committed or not.
func (l *entryLog) latestConfiguration() configuration {
	if len(l.configurations) == 0 {
		return configuration{}
	}
	return l.configurations[len(l.configurations)-1]
}

// mesh returns the number of the mesh that the log belongs to; 0 while no members are known.
func (l *entryLog) mesh() uint64 {
	if len(l.configurations) == 0 {
		return 0
	}
	return max(l.configurations[0].members.Mesh, firstMesh)
}

// configurationAt returns the last configuration at or before an index.
func (l *entryLog) configurationAt(index uint64) configuration {
	var found configuration
	for _, c := range l.configurations {
		if c.place.Index <= index {
			found = c
		}
	}
	return found
}
