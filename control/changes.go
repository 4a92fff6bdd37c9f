package control

import (
	"bytes"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// maxChanges bounds the remembered change ids: two weeks at 1,000 changes a day.
const maxChanges = 14_000

// changeMemory remembers the first answer of each change id. The oldest
// memory goes first.
type changeMemory struct {
	records map[string]*api.ChangeRecord
	order   []string // oldest first
}

func newChangeMemory() *changeMemory {
	return &changeMemory{records: map[string]*api.ChangeRecord{}}
}

// lookup returns the first answer of the change id, or nil for a new one. It
// returns fault.Conflict when the id was used for another change.
func (m *changeMemory) lookup(id string, content proto.Message) (*api.CommandResult, error) {
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

func (m *changeMemory) remember(id string, content proto.Message, result *api.CommandResult) {
	if id == "" {
		return
	}
	m.add(&api.ChangeRecord{Id: id, Content: contentDigest(content), Result: result})
}

func (m *changeMemory) add(record *api.ChangeRecord) {
	m.records[record.Id] = record
	m.order = append(m.order, record.Id)
	if len(m.order) > maxChanges {
		delete(m.records, m.order[0])
		m.order = m.order[1:]
	}
}

func (m *changeMemory) encode() []*api.ChangeRecord {
	records := make([]*api.ChangeRecord, 0, len(m.order))
	for _, id := range m.order {
		records = append(records, m.records[id])
	}
	return records
}

func decodeChanges(records []*api.ChangeRecord) *changeMemory {
	m := newChangeMemory()
	for _, record := range records {
		m.add(record)
	}
	return m
}

// contentDigest identifies a change by its type and fields.
func contentDigest(content proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return nil
	}
	name := string(content.ProtoReflect().Descriptor().Name())
	sum := sha256.Sum256(append([]byte(name+"\x00"), data...))
	return sum[:]
}
