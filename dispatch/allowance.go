package dispatch

import "amaranthpaddle/jobs"

// A job may have many due occurrences, each with many groups and dependencies, and a plan
// looks at all jobs while reports and lease renewals wait for it. So the occurrences that a
// plan looks at are bounded: the earliest ones of each job, and at least as many as it takes
// to find a task that may start. The next plan looks at others once those have started.

const (
	// planAllowance bounds what a plan looks at beyond the first of each job, in steps of a
	// walk over tasks and dependencies.
	planAllowance = 1 << 18
	// candidateCost is what a candidate costs in such steps, with its placement.
	candidateCost = 64
)

// jobAllowance returns the share of planAllowance of each active job.
func jobAllowance(view jobs.View) int { return planAllowance / max(view.CountActive(), 1) }

// costOf returns the steps of a walk over an occurrence.
func costOf(occurrence *jobs.Occurrence) (steps int) {
	for _, group := range occurrence.Groups {
		steps += 1 + len(group.Tasks) + len(group.Spec.DependsOn)
	}
	return steps
}
