package dispatch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthpaddle/api"
)

// plansWithoutReservations is the digest of the starts of 300 plans, recorded with the
// planner as it was before reservations existed.
const plansWithoutReservations = 0xf51303083000c0f1

// Guards against reservations that take part in plans although the setting is 0: the
// starts must be those that were recorded before, plan by plan.
func TestPlansWithoutReservationsAreAsRecorded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	w := newFixture(t, 5)
	digest := fnv.New64a()
	var active []Start
	for range 300 {
		w.now += 50 * time.Millisecond
		group := &api.TaskGroup{
			Count: 1 + random.Int32N(6), MilliCpu: 500 + 500*random.Int64N(12), MemoryMib: 1000 * random.Int64N(30), EstimatedMs: 100 + random.Int64N(900),
			BestEffort: random.IntN(4) == 0, Gang: random.IntN(6) == 0, MaxPerWorker: random.Int32N(2) * 2, Image: "i",
		}
		w.submit([]string{urgentQueue, batchQueue}[random.IntN(2)], group)
		starts := w.plan()
		fmt.Fprintln(digest, starts)
		active = append(active, starts...)
		for range min(random.IntN(6), len(active)) {
			w.state.ApplyBatch(&api.JobBatch{Changes: []*api.JobChange{{Body: &api.JobChange_End{End: &api.EndRun{
				Run: active[0].Run.Ref(), Worker: active[0].Worker, Outcome: api.RunOutcome_RUN_OUTCOME_DONE,
			}}}}})
			active = active[1:]
		}
	}
	if digest.Sum64() != plansWithoutReservations {
		t.Errorf("digest of the plans %#x, want %#x", digest.Sum64(), uint64(plansWithoutReservations))
	}
}
