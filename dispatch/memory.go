package dispatch

import (
	"time"

	"amaranthpaddle/jobs"
)

// MemoryBudget bounds the memory, in bytes, that retained jobs take in one copy of the
// state. 0 is no bound.
type MemoryBudget int64

// Shares of the budget. They keep room for the ordinary jobs beside large ones, and for the
// queues of other client accounts beside one that fills its share.
const (
	queueShare      = 0.75 // of the jobs of one queue
	largeShare      = 0.75 // of the large jobs
	largeQueueShare = 0.5  // of the large jobs of one queue
)

// memoryRetryAfter is the time after which a job that was refused for its memory may find
// room: ordinary jobs end within seconds.
const memoryRetryAfter = 5 * time.Second

// Admit decides on a job by its memory, that of the jobs of its queue, and that of all jobs.
func (b MemoryBudget) Admit(job, ofQueue, total jobs.Memory) Verdict {
	within := func(share float64, used int64) bool { return used <= int64(share*float64(b)) }
	switch {
	case b == 0:
		return Verdict{}
	case !within(1, total.All+job.All),
		!within(queueShare, ofQueue.All+job.All),
		job.Large > 0 && !within(largeShare, total.Large+job.Large),
		job.Large > 0 && !within(largeQueueShare, ofQueue.Large+job.Large):
		return Verdict{Refuse: true, Reason: reasonNoMemory, RetryAfter: memoryRetryAfter}
	}
	return Verdict{}
}
