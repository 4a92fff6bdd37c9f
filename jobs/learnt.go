package jobs

import (
	"slices"

	"amaranthpaddle/api"
)

// MaxRunTimeKeys bounds the run times that are kept, by image or queue. Those that were
// saved longest ago give way to new ones.
const MaxRunTimeKeys = 64

// mergeLearnt returns what is known after a save: next, with the run times of keys that
// it leaves out. Neither message is changed, as states share them.
func mergeLearnt(known, next *api.Learnt) *api.Learnt {
	merged := &api.Learnt{Costs: next.GetCosts(), Queues: next.GetQueues()}
	merged.ProtoReflect().SetUnknown(next.ProtoReflect().GetUnknown()) // of a newer build
	for _, old := range known.GetRunTimes() {
		if !slices.ContainsFunc(next.GetRunTimes(), func(r *api.RunTimesLearnt) bool {
			return r.Image == old.Image && r.Queue == old.Queue
		}) {
			merged.RunTimes = append(merged.RunTimes, old)
		}
	}
	merged.RunTimes = append(merged.RunTimes, next.GetRunTimes()...)
	merged.RunTimes = merged.RunTimes[max(len(merged.RunTimes)-MaxRunTimeKeys, 0):]
	return merged
}
