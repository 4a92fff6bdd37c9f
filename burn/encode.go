package burn

import (
	"bytes"
	"encoding/gob"
	"maps"
	"slices"

	"amaranthpaddle/fault"
)

// snapshot is the encoded form of a Recorder, in an order that depends on its
// content only.
type snapshot struct {
	Services []serviceSnapshot
	Entries  []entrySnapshot
}

type serviceSnapshot struct {
	Name    string
	Minutes []minuteSnapshot
}

type minuteSnapshot struct {
	Minute  int64
	Numbers [8]int64 // the counts in the order of their fields
	Buckets []uint8
	Latency []uint64 // of each of Buckets
}

type entrySnapshot struct {
	Name         string
	Incarnations []incarnation
}

// Encode returns the whole state; equal states encode to the same bytes.
func (r *Recorder) Encode() ([]byte, error) {
	var s snapshot
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		service := serviceSnapshot{Name: name}
		for _, m := range *r.services[name] {
			service.Minutes = append(service.Minutes, encodeMinute(m))
		}
		s.Services = append(s.Services, service)
	}
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		s.Entries = append(s.Entries, entrySnapshot{Name: name, Incarnations: r.entries[name]})
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(&s); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode service-level counts")
	}
	return buffer.Bytes(), nil
}

// Decode replaces the state by an encoded one. Empty data is an empty state.
// It returns fault.DataCorrupt, and keeps the state, when data can't be read.
func (r *Recorder) Decode(data []byte) error {
	decoded := NewRecorder()
	if len(data) > 0 {
		var s snapshot
		if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&s); err != nil {
			return fault.Wrap(fault.DataCorrupt, err, "decode service-level counts")
		}
		for _, service := range s.Services {
			minutes := &series{}
			for _, m := range service.Minutes {
				*minutes = append(*minutes, decodeMinute(m))
			}
			decoded.services[service.Name] = minutes
		}
		for _, entry := range s.Entries {
			decoded.entries[entry.Name] = entry.Incarnations
		}
	}
	*r = *decoded
	return nil
}

func encodeMinute(m minuteCounts) minuteSnapshot {
	c := m.Counts
	encoded := minuteSnapshot{Minute: m.Minute, Numbers: [8]int64{
		int64(c.Requests), int64(c.Within), int64(c.NotRun), int64(c.Unknown), int64(c.Retries),
		c.QueueMicros, c.LinkMicros, c.ServerMicros,
	}}
	encoded.Buckets = slices.Sorted(maps.Keys(c.Latency))
	for _, bucket := range encoded.Buckets {
		encoded.Latency = append(encoded.Latency, c.Latency[bucket])
	}
	return encoded
}

func decodeMinute(m minuteSnapshot) minuteCounts {
	n := m.Numbers
	c := &counts{
		Requests: uint64(n[0]), Within: uint64(n[1]), NotRun: uint64(n[2]), Unknown: uint64(n[3]), Retries: uint64(n[4]),
		QueueMicros: n[5], LinkMicros: n[6], ServerMicros: n[7],
		Latency: histogram{},
	}
	for i, bucket := range m.Buckets {
		if i < len(m.Latency) && bucket < bucketCount {
			c.Latency[bucket] = m.Latency[i]
		}
	}
	return minuteCounts{Minute: m.Minute, Counts: c}
}
