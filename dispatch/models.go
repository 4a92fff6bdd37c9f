package dispatch

import (
	"maps"
	"slices"

	"amaranthpaddle/api"
)

// Knowledge groups the models that are learnt from the workers.
type Knowledge struct {
	Interference *Interference
	Durations    *Durations
	QueueWork    *QueueWork
}

// NewKnowledge returns models restored from what an earlier leader learnt, or
// new ones if learnt is nil.
func NewKnowledge(learnt *api.Learnt) Knowledge {
	k := Knowledge{Interference: NewInterference(), Durations: NewDurations(), QueueWork: NewQueueWork()}
	for _, c := range learnt.GetCosts() {
		k.Interference.Restore(PairCostOf(c))
	}
	for _, q := range learnt.GetQueues() {
		k.Durations.queues[q.Queue] = &durationStats{
			weight: q.Weight, meanX: q.MeanX, meanY: q.MeanY, varX: q.VarX, covXY: q.CovXy,
		}
		if q.MeanWork > 0 {
			k.QueueWork.means[q.Queue] = q.MeanWork
		}
	}
	k.Durations.RunTimes.Restore(learnt.GetRunTimes())
	return k
}

// Learnt returns the state of the models for a later leader, with run times of at most
// runTimesBudget bytes; see RunTimes.Learnt.
func (k Knowledge) Learnt(runTimesBudget int) *api.Learnt {
	learnt := &api.Learnt{Costs: k.Interference.Message(), RunTimes: k.Durations.RunTimes.Learnt(runTimesBudget)}
	for _, queue := range slices.Sorted(maps.Keys(k.Durations.queues)) {
		s := k.Durations.queues[queue]
		learnt.Queues = append(learnt.Queues, &api.QueueLearnt{
			Queue: queue, Weight: s.weight, MeanX: s.meanX, MeanY: s.meanY, VarX: s.varX, CovXy: s.covXY,
			MeanWork: k.QueueWork.means[queue],
		})
	}
	return learnt
}

// PairCostOf converts a message to the cost of a pair.
func PairCostOf(c *api.PairCost) PairCost { return PairCost{Pair{c.Service, c.Filler}, c.PerCore} }

// Message converts the cost of a pair to a message.
func (c PairCost) Message() *api.PairCost {
	return &api.PairCost{Service: c.Pair.Service, Filler: c.Pair.BestEffort, PerCore: c.PerCore}
}

// Message converts the learnt costs to messages, sorted by service and
// best-effort image.
func (c *Costs) Message() []*api.PairCost {
	var costs []*api.PairCost
	for _, known := range c.List() {
		costs = append(costs, known.Message())
	}
	return costs
}
