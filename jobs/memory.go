package jobs

import (
	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
)

// Estimates of the memory of a state, in bytes.
const (
	jobBytes        = 1024 // a job that has not ended, without its groups
	endedBytes      = 640  // a job that has ended
	groupBytes      = 768  // a group, its specification included
	taskBytes       = 8    // a task before its first run, or after its only one
	occurrenceBytes = 4    // an occurrence that has not begun, in a snapshot
	runBytes        = 512  // an active run
	specFactor      = 4    // by which a decoded specification is larger than the encoded one
)

// LargeJob is the memory, in bytes, from which a job counts as large; see Memory.Large.
const LargeJob = 64 << 10

// Memory is an estimate of the memory that the jobs of a queue take in one copy of the
// state, in bytes.
type Memory struct {
	All   int64 // of all jobs that are retained, with their active runs
	Large int64 // of the jobs of LargeJob bytes and more that have not ended
}

// Add returns the sum of both.
func (m Memory) Add(other Memory) Memory { return Memory{m.All + other.All, m.Large + other.Large} }

// Sub returns the memory without other.
func (m Memory) Sub(other Memory) Memory { return Memory{m.All - other.All, m.Large - other.Large} }

// MemoryOf returns the memory that a job with this specification takes until it ends,
// without its active runs.
func MemoryOf(spec *api.JobSpec) Memory {
	all := int64(jobBytes) + int64(len(spec.GetGroups()))*groupBytes + specFactor*int64(proto.Size(spec))
	var tasks int64
	for _, group := range spec.GetGroups() {
		tasks += int64(group.Count)
	}
	all += taskBytes * tasks
	if times := spec.GetSchedule().GetTimes(); times > 1 {
		all += occurrenceBytes*int64(times) + taskBytes*tasks // of an occurrence that has begun
	}
	if all < LargeJob {
		return Memory{All: all}
	}
	return Memory{All: all, Large: all}
}

// Memory returns the memory that the jobs of a queue take, and that of all queues.
func (v View) Memory(queueKey string) (ofQueue, total Memory) {
	for key, memory := range v.state.memory {
		total = total.Add(memory)
		if key == queueKey {
			ofQueue = memory
		}
	}
	return ofQueue, total
}

// count adds memory of a job, which may be negative, to that of its queue.
func (s *State) count(job *Job, memory Memory) {
	sum := s.memory[job.QueueKey].Add(memory)
	if sum == (Memory{}) {
		delete(s.memory, job.QueueKey)
	} else {
		s.memory[job.QueueKey] = sum
	}
}

// setMemory replaces what is counted for a job apart from its active runs.
func (s *State) setMemory(job *Job, memory Memory) {
	s.count(job, memory.Sub(job.memory))
	job.memory = memory
}
