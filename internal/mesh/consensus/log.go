package consensus

import (
	"fmt"
	"slices"
)

// entryOverhead is what an entry counts beside its command.
const entryOverhead = 64

// firstMesh stands in messages for the mesh of the first start.
const firstMesh = 1

// decided are members and where they were decided.
type configuration struct {
	place   Place
	members Members
}

// entryLog is the part of the log that is kept, behind a base. Entries are never changed in place:
// messages that are on their way share them.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
	cumulativeBytes     []uint64 // bytes from the log's first entry ever held up to each entry
	baseBytes           uint64
	configurations      []configuration // ascending; the first holds at the base
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term tells the term at an index, if it is still known.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// append adds the entry that comes next.
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

func (l *entryLog) bytesUpTo(index uint64) uint64 {
	if index <= l.baseIndex {
		return l.baseBytes
	}
	return l.cumulativeBytes[index-l.baseIndex-1]
}

// bytes tells how much the entries after from up to to weigh.
func (l *entryLog) bytesBetween(from, to uint64) uint64 { return l.bytesUpTo(to) - l.bytesUpTo(from) }

// cut drops the entries from an index on.
func (l *entryLog) truncateFrom(from uint64) {
	keep := int(from - l.baseIndex - 1)
	l.entries, l.cumulativeBytes = slices.Clone(l.entries[:keep]), l.cumulativeBytes[:keep]
	for len(l.configurations) > 0 && l.configurations[len(l.configurations)-1].place.Index >= from {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// compact drops the entries up to an index.
func (l *entryLog) compactTo(to uint64) {
	if to <= l.baseIndex {
		return
	}
	term, _ := l.termAt(to)
	sum, drop := l.bytesUpTo(to), int(to-l.baseIndex)
	l.entries, l.cumulativeBytes = slices.Clone(l.entries[drop:]), slices.Clone(l.cumulativeBytes[drop:])
	l.baseIndex, l.baseTerm, l.baseBytes = to, term, sum
	for len(l.configurations) > 1 && l.configurations[1].place.Index <= to {
		l.configurations = l.configurations[1:]
	}
}

// reset puts a snapshot in place of all entries.
func (l *entryLog) resetTo(s *Snapshot) {
	*l = entryLog{baseIndex: s.Index, baseTerm: s.Term, configurations: []configuration{{s.MembersAt, s.Members}}}
}

// between copies the entries after an index up to another one, as many as weigh most bytes at most,
// and one at least.
func (l *entryLog) entriesBetween(index, last, most uint64) []Entry {
	to := index
	for to < last && (to == index || l.bytesBetween(index, to+1) <= most) {
		to++
	}
	return slices.Clone(l.entries[index-l.baseIndex : to-l.baseIndex])
}

// current are the members by all of the log, committed or not.
func (l *entryLog) latestConfiguration() configuration {
	if len(l.configurations) == 0 {
		return configuration{}
	}
	return l.configurations[len(l.configurations)-1]
}

// mesh tells which mesh the log belongs to; 0 before any members are known.
func (l *entryLog) mesh() uint64 {
	if len(l.configurations) == 0 {
		return 0
	}
	return max(l.configurations[0].members.Mesh, firstMesh)
}

// at are the members by the log up to an index.
func (l *entryLog) configurationAt(index uint64) configuration {
	var found configuration
	for _, d := range l.configurations {
		if d.place.Index <= index {
			found = d
		}
	}
	return found
}
