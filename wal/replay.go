package wal

import (
	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// replay reads all segments and stores their content in restored and w.
func (w *WAL) replay(restored *Restored) error {
	numbers, err := w.segmentNumbers()
	if err != nil {
		return err
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return fault.Newf(fault.DataCorrupt, "log segment %d is missing", numbers[i-1]+1)
		}
		if err := w.replaySegment(number, i == len(numbers)-1, restored); err != nil {
			return err
		}
	}
	return nil
}

func (w *WAL) replaySegment(number uint64, last bool, restored *Restored) error {
	path := w.path(number)
	data, err := w.options.FS.ReadFile(path)
	if err != nil {
		return fault.Wrap(fault.StorageFailed, err, "read log segment")
	}
	restored.BytesRead += int64(len(data))
	offset := 0
	for offset < len(data) {
		payload, ok := frameAt(data[offset:])
		if !ok {
			break
		}
		if err := w.replayFrame(number, offset, payload, restored); err != nil {
			return err
		}
		offset += frameHeaderBytes + len(payload)
	}
	if offset == 0 {
		return fault.Newf(fault.DataCorrupt, "log segment %d has no valid header", number)
	}
	w.size = offset
	if offset == len(data) {
		return nil
	}
	if !last || !isTornTail(data, offset) {
		return fault.Newf(fault.DataCorrupt, "log segment %d is damaged at byte %d", number, offset)
	}
	restored.TruncatedBytes = int64(len(data) - offset)
	if err := w.options.FS.Truncate(path, int64(offset)); err != nil {
		return fault.Wrap(fault.StorageFailed, err, "truncate torn log tail")
	}
	return nil
}

func (w *WAL) replayFrame(number uint64, offset int, payload []byte, restored *Restored) error {
	record := &api.WALRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return fault.Wrap(fault.DataCorrupt, err, "decode log record")
	}
	if (offset == 0) != (record.Header != nil) {
		return fault.Newf(fault.DataCorrupt, "log segment %d has a misplaced header", number)
	}
	if record.Header != nil {
		return w.replayHeader(number, record.Header)
	}
	if record.HardState != nil {
		w.hardState = record.HardState
	}
	if record.Reset_ {
		restored.Entries = nil
		w.lastIndex = 0
	}
	for _, entry := range record.Entries {
		restored.Entries = appendEntry(restored.Entries, entry)
		w.lastIndex = entry.Index
	}
	return nil
}

func (w *WAL) replayHeader(number uint64, header *api.SegmentHeader) error {
	if header.Id != w.options.ID || header.Group != w.options.Group {
		return fault.Newf(fault.Conflict, "the log belongs to replica %d of group %x", header.Id, header.Group)
	}
	w.segments = append(w.segments, segment{number: number, lastIndex: header.LastIndex})
	w.lastIndex = header.LastIndex
	if header.HardState != nil {
		w.hardState = header.HardState
	}
	return nil
}

// appendEntry appends entry after removing the entries at its index and above. If
// entry does not continue the list, a snapshot covers the gap and the list starts
// again with entry.
func appendEntry(entries []*api.LogEntry, entry *api.LogEntry) []*api.LogEntry {
	if len(entries) == 0 {
		return append(entries, entry)
	}
	first := entries[0].Index
	if entry.Index < first || entry.Index > first+uint64(len(entries)) {
		return []*api.LogEntry{entry}
	}
	return append(entries[:entry.Index-first], entry)
}
