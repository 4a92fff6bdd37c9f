package control

import (
	"bytes"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// maxChanges limits the stored change ids: two weeks at 1,000 changes a day.
const maxChanges = 14_000

// changeHistory stores the first result of each change id, so that a resent
// change is not applied twice. When it is full, the oldest record is dropped.
type changeHistory struct {
	records map[string]*api.ChangeRecord
	order   []string // oldest first
}

func newChangeHistory() *changeHistory {
	return &changeHistory{records: map[string]*api.ChangeRecord{}}
}

// lookup returns the first result of the change id, or nil for a new id. It
// returns fault.Conflict if the id was used for a different change.
func (m *changeHistory) lookup(id string, content proto.Message) (*api.CommandResult, error) {
	record := m.records[id]
	if record == nil {
		return nil, nil
	}
	if !bytes.Equal(record.Content, contentDigest(content)) {
		return nil, fault.Newf(fault.Conflict, "change id %q was used for another change", id)
	}
	first := proto.Clone(record.Result).(*api.CommandResult)
	first.Repeated = true
	return first, nil
}

func (m *changeHistory) record(id string, content proto.Message, result *api.CommandResult) {
	if id == "" {
		return
	}
	m.insert(&api.ChangeRecord{Id: id, Content: contentDigest(content), Result: result})
}

func (m *changeHistory) insert(record *api.ChangeRecord) {
	m.records[record.Id] = record
	m.order = append(m.order, record.Id)
	if len(m.order) > maxChanges {
		delete(m.records, m.order[0])
		m.order = m.order[1:]
	}
}

func (m *changeHistory) encode() []*api.ChangeRecord {
	records := make([]*api.ChangeRecord, 0, len(m.order))
	for _, id := range m.order {
		records = append(records, m.records[id])
	}
	return records
}

func decodeChanges(records []*api.ChangeRecord) *changeHistory {
	m := newChangeHistory()
	for _, record := range records {
		m.insert(record)
	}
	return m
}

// contentDigest returns a digest of the type and fields of a change.
func contentDigest(content proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return nil
	}
	name := string(content.ProtoReflect().Descriptor().Name())
	sum := sha256.Sum256(append([]byte(name+"\x00"), data...))
	return sum[:]
}
