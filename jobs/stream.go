package jobs

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Snapshots are encoded and decoded a task at a time: the messages of a job with many tasks
// or occurrences take many times the memory of its state.

// Fields of the snapshot that are encoded and decoded one element at a time.
var (
	jobsField        = fieldNumber(&api.JobStateSnapshot{}, "jobs")
	occurrencesField = fieldNumber(&api.JobRecord{}, "occurrences")
	groupsField      = fieldNumber(&api.OccurrenceRecord{}, "groups")
	tasksField       = fieldNumber(&api.GroupRecord{}, "tasks")
)

func fieldNumber(message proto.Message, name protoreflect.Name) protowire.Number {
	return message.ProtoReflect().Descriptor().Fields().ByName(name).Number()
}

// splitMessages calls f with each encoded element of a repeated field of messages, in
// order, and returns the other fields of the message. It returns fault.DataCorrupt if the
// message is malformed.
func splitMessages(data []byte, field protowire.Number, f func(element []byte) error) (rest []byte, err error) {
	for len(data) > 0 {
		number, wireType, n := protowire.ConsumeTag(data)
		if n < 0 {
			return nil, fault.Wrap(fault.DataCorrupt, protowire.ParseError(n), "field")
		}
		size := protowire.ConsumeFieldValue(number, wireType, data[n:])
		if size < 0 {
			return nil, fault.Wrap(fault.DataCorrupt, protowire.ParseError(size), "value of a field")
		}
		if number == field && wireType == protowire.BytesType {
			element, _ := protowire.ConsumeBytes(data[n:])
			if err := f(element); err != nil {
				return nil, err
			}
		} else {
			rest = append(rest, data[:n+size]...)
		}
		data = data[n+size:]
	}
	return rest, nil
}

// appendJob appends a job as an element of the snapshot.
func appendJob(data []byte, job *Job) ([]byte, error) {
	body, err := proto.Marshal(jobRecord(job))
	if err != nil {
		return nil, err
	}
	var completed []byte
	for k := range job.occurrences.total {
		var encoded []byte // empty for an occurrence that nothing has touched
		switch occurrence := job.occurrences.at(k); occurrence {
		case job.occurrences.initial:
		case job.occurrences.completed:
			if completed == nil {
				if completed, err = encodeOccurrence(occurrence); err != nil {
					return nil, err
				}
			}
			encoded = completed
		default:
			if encoded, err = encodeOccurrence(occurrence); err != nil {
				return nil, err
			}
		}
		body = appendMessage(body, occurrencesField, encoded)
	}
	return appendMessage(data, jobsField, body), nil
}

func encodeOccurrence(occurrence *Occurrence) (data []byte, err error) {
	for _, group := range occurrence.Groups {
		var encoded []byte
		for _, task := range group.Tasks {
			var record []byte // empty for a task that nothing has touched
			if task != untouchedTask {
				if record, err = proto.Marshal(taskRecord(task)); err != nil {
					return nil, err
				}
			}
			encoded = appendMessage(encoded, tasksField, record)
		}
		data = appendMessage(data, groupsField, encoded)
	}
	return data, nil
}

func appendMessage(data []byte, field protowire.Number, message []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(data, field, protowire.BytesType), message)
}
