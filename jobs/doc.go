// Package jobs holds the aggregate of submitted jobs that the control group
// replicates: queues, jobs, and their task groups, tasks and runs.
//
// State changes only in Apply, which is deterministic: it takes the time from
// the batch and checks each change against the current state. A change that is
// no longer valid is rejected and has no effect.
//
// Apply maintains these invariants for any input:
//
//   - a job id identifies one job for as long as the job is retained, even if
//     its cancellation arrives before its submission
//   - a task has at most one active run, unless its group is speculative
//   - the run numbers of a task increase, and a task that is done starts no
//     further runs
//   - a group starts only after all groups that it depends on are done
//   - a task that has failed as often as its queue allows fails its job
//   - a task that crashes its workers fails its job
package jobs
