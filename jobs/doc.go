// Package jobs holds the aggregate of submitted jobs: queues, jobs, their task
// groups, tasks and runs, as the control group replicates them.
//
// State changes in Apply only, which is deterministic: it takes the time from
// the batch and checks every change against the state that it meets. A change
// that no longer holds is refused and changes nothing.
//
// Guarantees that Apply keeps, whatever it is given:
//
//   - a job id names one job for as long as it is retained, also when a
//     cancellation comes before the submission
//   - a task has at most one run at a time, unless its group is speculative
//   - run numbers of a task rise, and a task that is done starts no more
//   - a group starts only after all groups it depends on are done
//   - a task that failed as often as its queue allows fails its job
package jobs
