package raft

import "amaranthpaddle/api"

// entryLog holds the log entries after the last compacted one.
type entryLog struct {
	compactIndex uint64 // index of the last compacted entry
	compactTerm  uint64
	entries      []*api.LogEntry
	commit       uint64
	applying     uint64 // last index returned in Ready.Committed
	stable       uint64 // last index known to be synced
}

func (l *entryLog) firstIndex() uint64 { return l.compactIndex + 1 }

func (l *entryLog) lastIndex() uint64 { return l.compactIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if neither the log
// contains it nor it is the last compacted one.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.compactIndex {
		return l.compactTerm, true
	}
	if index < l.compactIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.compactIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	localTerm, ok := l.term(index)
	return ok && localTerm == term
}

// isUpToDate reports whether a log whose last entry has the given index and term
// is at least as up-to-date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// slice returns the entries from low to high inclusive: the first one regardless
// of its size, then as many as fit in maxBytes.
func (l *entryLog) slice(low, high, maxBytes uint64) []*api.LogEntry {
	if low < l.firstIndex() || low > high {
		return nil
	}
	part := l.entries[low-l.firstIndex() : high-l.compactIndex]
	var size uint64
	for i, entry := range part {
		size += entryBytes(entry)
		if i > 0 && size > maxBytes {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

func (l *entryLog) append(entry *api.LogEntry) { l.entries = append(l.entries, entry) }

// truncateFrom removes the entries from index onward.
func (l *entryLog) truncateFrom(index uint64) {
	kept := index - l.firstIndex()
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, index-1)
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.compactIndex {
		return
	}
	rest := l.entries[index-l.compactIndex:]
	l.entries = append(make([]*api.LogEntry, 0, len(rest)+len(rest)/2), rest...)
	l.compactIndex = index
	l.compactTerm = term
}

// reset replaces the log by an empty one that starts after a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{compactIndex: index, compactTerm: term, commit: index, applying: index, stable: index}
}

// lastIndexUpToTerm returns the last index at or below index whose entry has at
// most the given term, and that entry's term.
func (l *entryLog) lastIndexUpToTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for {
		entryTerm, ok := l.term(index)
		if !ok {
			return index, 0
		}
		if entryTerm <= term || index == 0 {
			return index, entryTerm
		}
		index--
	}
}

// entryOverheadBytes approximates the encoded size of an entry's fields other than Data.
const entryOverheadBytes = 16

func entryBytes(entry *api.LogEntry) uint64 {
	return uint64(len(entry.Data)) + entryOverheadBytes
}
