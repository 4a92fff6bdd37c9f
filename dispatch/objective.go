package dispatch

import (
	"time"

	"amaranthpaddle/api"
)

// Objective returns how long a job may take from its submission to count as in
// time: the longest chain of its groups, stretched by the queue's slack factor,
// and the queue's target on top.
func Objective(queue *api.JobQueue, spec *api.JobSpec) time.Duration {
	chain := float64(chainMS(spec.GetGroups()))
	total := chain*max(1, queue.GetSlackFactor()) + float64(queue.GetTargetCompletionMs())
	return time.Duration(total * float64(time.Millisecond))
}

// lateFactor is how many objectives a job may take and still be worth
// something, from the users' account of what a late job is worth.
const lateFactor = 3

// chainMS returns the declared duration of the longest chain of groups.
func chainMS(groups []*api.TaskGroup) int64 {
	return longestChain(groups, func(g *api.TaskGroup) int64 { return g.EstimatedMs })
}

// longestChain returns the longest sum of durations along dependencies.
func longestChain(groups []*api.TaskGroup, duration func(*api.TaskGroup) int64) int64 {
	ends := make([]int64, len(groups))
	var longest int64
	for i, group := range groups {
		for _, earlier := range group.DependsOn {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += duration(group)
		longest = max(longest, ends[i])
	}
	return longest
}
