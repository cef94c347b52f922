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
type decided struct {
	at      Place
	members Members
}

// entryLog is the part of the log that is kept, behind a base. Entries are never changed in place:
// messages that are on their way share them.
type entryLog struct {
	base, baseTerm uint64
	entries        []Entry
	sums           []uint64 // bytes from the log's first entry ever held up to each entry
	baseSum        uint64
	members        []decided // ascending; the first holds at the base
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term tells the term at an index, if it is still known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// append adds the entry that comes next.
func (l *entryLog) append(e Entry) {
	if e.Index != l.last()+1 || e.Term < l.lastTerm() {
		panic(fmt.Sprintf("consensus: entry %d of term %d behind entry %d of term %d",
			e.Index, e.Term, l.last(), l.lastTerm()))
	}
	l.sums = append(l.sums, l.sum(l.last())+entryOverhead+uint64(len(e.Command)))
	l.entries = append(l.entries, e)
	if e.Members != nil {
		l.members = append(l.members, decided{Place{e.Term, e.Index}, *e.Members})
	}
}

func (l *entryLog) sum(index uint64) uint64 {
	if index <= l.base {
		return l.baseSum
	}
	return l.sums[index-l.base-1]
}

// bytes tells how much the entries after from up to to weigh.
func (l *entryLog) bytes(from, to uint64) uint64 { return l.sum(to) - l.sum(from) }

// cut drops the entries from an index on.
func (l *entryLog) cut(from uint64) {
	keep := int(from - l.base - 1)
	l.entries, l.sums = slices.Clone(l.entries[:keep]), l.sums[:keep]
	for len(l.members) > 0 && l.members[len(l.members)-1].at.Index >= from {
		l.members = l.members[:len(l.members)-1]
	}
}

// compact drops the entries up to an index.
func (l *entryLog) compact(to uint64) {
	if to <= l.base {
		return
	}
	term, _ := l.term(to)
	sum, drop := l.sum(to), int(to-l.base)
	l.entries, l.sums = slices.Clone(l.entries[drop:]), slices.Clone(l.sums[drop:])
	l.base, l.baseTerm, l.baseSum = to, term, sum
	for len(l.members) > 1 && l.members[1].at.Index <= to {
		l.members = l.members[1:]
	}
}

// reset puts a snapshot in place of all entries.
func (l *entryLog) reset(s *Snapshot) {
	*l = entryLog{base: s.Index, baseTerm: s.Term, members: []decided{{s.MembersAt, s.Members}}}
}

// between copies the entries after an index up to another one, as many as weigh most bytes at most,
// and one at least.
func (l *entryLog) between(index, last, most uint64) []Entry {
	to := index
	for to < last && (to == index || l.bytes(index, to+1) <= most) {
		to++
	}
	return slices.Clone(l.entries[index-l.base : to-l.base])
}

// current are the members by all of the log, committed or not.
func (l *entryLog) current() decided {
	if len(l.members) == 0 {
		return decided{}
	}
	return l.members[len(l.members)-1]
}

// mesh tells which mesh the log belongs to; 0 before any members are known.
func (l *entryLog) mesh() uint64 {
	if len(l.members) == 0 {
		return 0
	}
	return max(l.members[0].members.Mesh, firstMesh)
}

// at are the members by the log up to an index.
func (l *entryLog) at(index uint64) decided {
	var found decided
	for _, d := range l.members {
		if d.at.Index <= index {
			found = d
		}
	}
	return found
}
