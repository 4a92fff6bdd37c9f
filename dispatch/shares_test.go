package dispatch

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Guards against a burst of one queue that delays the steady jobs of another queue of
// the same priority: the burst's jobs are smaller, so they have the higher density. Once
// with more CPU and once with more memory than is there.
func TestBurstPaysForItselfFirst(t *testing.T) {
	for _, need := range []resource.Vector{{MilliCPU: 1000, MemoryMiB: 1000}, {MilliCPU: 100, MemoryMiB: 10_000}} {
		late := map[bool]int{}
		for _, fair := range []bool{false, true} {
			load := replayedLoad{
				workers: 6, equal: true, policy: Policy{FairShares: fair},
				kinds: []jobKind{
					{batchQueue, 1, 1, &api.TaskGroup{Count: 20, MilliCpu: need.MilliCPU, MemoryMib: need.MemoryMiB, EstimatedMs: 1000}, 0},
					{urgentQueue, 14, 4, &api.TaskGroup{Count: 3, MilliCpu: need.MilliCPU, MemoryMib: need.MemoryMiB, EstimatedMs: 1000}, 0},
				},
			}
			for _, job := range load.replay(t, 1, false).jobs {
				if job.queue == batchQueue && !job.inTime() {
					late[fair]++
				}
			}
		}
		t.Logf("%d steady jobs late without fair shares, %d with", late[false], late[true])
		if late[false] == 0 || 2*late[true] > late[false] {
			t.Errorf("demand %+v: %d steady jobs late without fair shares, %d with", need, late[false], late[true])
		}
	}
}

// Guards against another order with fair shares off, while there is room for all, or
// between the jobs of one queue.
func TestFairSharesOnlyOrderQueuesThatCompete(t *testing.T) {
	for _, test := range []struct {
		fair    bool
		workers int
		same    bool
	}{{false, 4, true}, {true, 40, true}, {true, 4, false}} {
		w := newFixture(t, test.workers)
		w.equalPriorities()
		w.submit(batchQueue, &api.TaskGroup{Count: 10, MilliCpu: 1000, EstimatedMs: 2000})
		w.plan()
		for i := range int32(12) {
			w.submit([]string{batchQueue, batchQueue, urgentQueue}[i%3], &api.TaskGroup{Count: 3 + 7*i%11, MilliCpu: 1000, EstimatedMs: 500 + 300*int64(i%4)})
		}
		w.now = time.Second
		w.policy.FairShares = test.fair
		w.state.Read(func(view jobs.View) {
			all := candidates(view, w.input())
			byDensity := func(a, b candidate) int {
				return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.lateness, b.lateness),
					-cmp.Compare(a.density, b.density), cmp.Compare(a.job.ID, b.job.ID))
			}
			if slices.IsSortedFunc(all, byDensity) != test.same {
				t.Errorf("%+v: order by density: %v", test, !test.same)
			}
			for _, queue := range []string{urgentQueue, batchQueue} {
				own := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.job.QueueKey != queue })
				if !slices.IsSortedFunc(own, byDensity) {
					t.Errorf("%+v: jobs of %s are not in the order of their density", test, queue)
				}
			}
		})
	}
}
