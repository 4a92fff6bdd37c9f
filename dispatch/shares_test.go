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

// zoneWaits returns the median and the 95th percentile of the times to completion, in
// milliseconds, of a zone's jobs from the move on, and the number of those that are late.
func zoneWaits(played []*replayedJob, zone string) (median, p95 int64, late int) {
	var all []time.Duration
	for _, job := range played {
		if job.zone == zone && job.at >= moveAt {
			all = append(all, cmp.Or(job.end, replayUntil)-job.at)
			if !job.inTime() {
				late++
			}
		}
	}
	slices.Sort(all)
	return all[len(all)/2].Milliseconds(), all[len(all)*95/100].Milliseconds(), late
}

// moveAt is 5 s before the burst.
const moveAt = burstFrom - 5*time.Second

// replayZones plays kinds of jobs of two zones on six seeds, without and with zones. The
// first kind comes from za, of which a share moves to zb, and the second one from zb.
func replayZones(t *testing.T, moved float64, kinds ...jobKind) (played [2][]*replayedJob) {
	load := replayedLoad{
		workers: 6, equal: true, policy: Policy{FairShares: true}, kinds: kinds,
		zone: func(kind int, at time.Duration, draw float64) string {
			if kind == 1 || at >= moveAt && draw < moved {
				return "zb"
			}
			return "za"
		},
	}
	for i := range 12 {
		load.unnamed = i%2 == 0
		played[i%2] = append(played[i%2], load.replay(t, uint64(1+i/2), false).jobs...)
	}
	return played
}

// Guards against a burst in one zone that delays the jobs of another zone of the queue.
func TestBurstInAZonePays(t *testing.T) {
	two := &api.TaskGroup{Count: 2, MilliCpu: 1000, MemoryMib: 1000, EstimatedMs: 700}
	four := &api.TaskGroup{Count: 4, MilliCpu: 1000, MemoryMib: 1000, EstimatedMs: 1000}
	played := replayZones(t, 0, jobKind{batchQueue, 10, 6, two, 0}, jobKind{batchQueue, 6, 1, four, 0})
	_, p95, late := zoneWaits(played[0], "zb")
	_, p95After, lateAfter := zoneWaits(played[1], "zb")
	if late == 0 || 2*lateAfter > late || 2*p95After > p95 {
		t.Errorf("zb: 95th percentile %d ms, %d late; with zones %d ms, %d late", p95, late, p95After, lateAfter)
	}
}

// Callers of za move to zb before a burst of the queue. Guards against a disadvantage of
// the zone to which they move, or of that which they leave.
func TestMovedDemandPutsNoZoneAtADisadvantage(t *testing.T) {
	four := &api.TaskGroup{Count: 4, MilliCpu: 1000, MemoryMib: 1000, EstimatedMs: 1000}
	kind := jobKind{batchQueue, 6, 1.8, four, 0}
	played := replayZones(t, 0.6, kind, kind)
	for _, zone := range []string{"za", "zb"} {
		median, p95, late := zoneWaits(played[0], zone)
		medianAfter, p95After, lateAfter := zoneWaits(played[1], zone)
		if medianAfter > median || p95After > p95 {
			t.Errorf("%s: median %d ms, 95th percentile %d ms, %d late; with zones %d ms, %d ms, %d late",
				zone, median, p95, late, medianAfter, p95After, lateAfter)
		}
	}
}

// Guards against plans that change with the zones of the jobs while fair shares are off.
func TestZonesChangeNoPlanWithoutFairShares(t *testing.T) {
	for _, policy := range []Policy{{}, {Reservations: 4, Preemption: true, ForecastAdmission: true, RemotePenalty: 2}} {
		w := newFixture(t, 6)
		w.policy, w.demand = policy, NewZoneDemand()
		for i := range int32(60) {
			w.now, w.zone = time.Duration(i)*100*time.Millisecond, []string{"za", "zb", ""}[i*i%7%3]
			w.submit([]string{batchQueue, urgentQueue}[i%5/3], &api.TaskGroup{Count: 1 + i*5%13, MilliCpu: 700, EstimatedMs: 500 + 300*int64(i%4)})
			w.demand.Learn(batchQueue, w.zone, 1, time.Unix(0, 0).Add(w.now))
			recorded := w.state.Clone()
			w.state.Read(func(view jobs.View) { view.ActiveJobs(func(job *jobs.Job) { job.Zone = "" }) })
			without := w.planOnly()
			w.state = recorded
			if with := w.plan(); !slices.Equal(with, without) {
				t.Fatalf("plan %d: %v with zones, %v without", i, with, without)
			}
			for _, start := range without[:len(without)/2] {
				w.end(start, api.RunOutcome_RUN_OUTCOME_DONE)
			}
		}
	}
}
