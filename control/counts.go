package control

import (
	"maps"
	"slices"
	"time"

	"amaranthpaddle/api"
)

// entryRetention is how long the report sequence of a silent entry is kept.
const entryRetention = 24 * time.Hour

// countTable takes in the entries' reports, each once.
type countTable struct {
	entries map[string]*api.EntrySequence
}

func newCountTable() *countTable { return &countTable{entries: map[string]*api.EntrySequence{}} }

// recordCounts takes in an entry's report unless its sequence was taken in before.
func (s *State) recordCounts(c *api.RecordCounts) *api.CommandResult {
	report := c.Report
	last := s.counts.entries[report.Entry]
	if last == nil || last.Incarnation < report.Incarnation {
		last = &api.EntrySequence{Entry: report.Entry, Incarnation: report.Incarnation}
		s.counts.entries[report.Entry] = last
	}
	last.SeenMs = s.nowMS
	s.counts.dropSilent(s.nowMS)
	if report.Incarnation < last.Incarnation || report.Sequence <= last.Sequence {
		return &api.CommandResult{Sequence: last.Sequence, Repeated: true}
	}
	last.Sequence = report.Sequence
	return &api.CommandResult{Sequence: last.Sequence}
}

func (t *countTable) dropSilent(nowMS int64) {
	for name, entry := range t.entries {
		if nowMS-entry.SeenMs > entryRetention.Milliseconds() {
			delete(t.entries, name)
		}
	}
}

func (t *countTable) encode() []*api.EntrySequence {
	var list []*api.EntrySequence
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		list = append(list, t.entries[name])
	}
	return list
}

func decodeCounts(list []*api.EntrySequence) *countTable {
	t := newCountTable()
	for _, entry := range list {
		t.entries[entry.Entry] = entry
	}
	return t
}
