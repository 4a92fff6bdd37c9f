package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

func cpu(cores int64) resource.Vector {
	return resource.Vector{MilliCPU: 1000 * cores, MemoryMiB: 1024}
}

// placementsPerVM returns how many tasks the decisions place on each VM.
func placementsPerVM(out []Decision) map[string]int {
	count := map[string]int{}
	for i := range out {
		if out[i].Action == Place {
			count[out[i].VM]++
		}
	}
	return count
}

func TestInstancesOfAServiceAreSpreadOverRacks(t *testing.T) {
	s := &Snapshot{Now: now}
	for i := range 6 {
		s.VMs = append(s.VMs, vm(fmt.Sprintf("vm-%d", i), "Cork", fmt.Sprintf("r%d", i/2)))
	}
	for i := range 6 {
		p := pendingTask(task.TaskID("service/ledger", i), cpu(4))
		p.Class = task.LatencyCritical
		s.Pending = append(s.Pending, p)
	}
	count := placementsPerVM(Decide(s))
	for i := range 3 {
		rack := count[s.VMs[2*i].ID] + count[s.VMs[2*i+1].ID]
		if rack != 2 {
			t.Errorf("rack %d has %d instances, want 2: %v", i, rack, count)
		}
	}
	// The second instance goes to an empty rack although its job failed on the
	// VMs there: an occupied rack is not used as long as another one has room.
	s.Pending = s.Pending[:2]
	s.Pending[0].Avoid = []string{"vm-2", "vm-3", "vm-4", "vm-5"}
	s.Pending[1].Avoid = s.Pending[0].Avoid
	count = placementsPerVM(Decide(s))
	if count["vm-0"]+count["vm-1"] != 1 {
		t.Errorf("placed on %v, want one in the rack where the job has not failed", count)
	}
	// When two racks are full, the instances share the remaining one instead of
	// staying pending.
	for i := range 4 {
		s.VMs[i].Capacity = cpu(1)
	}
	if out := Decide(s); len(out) != 2 {
		t.Errorf("%d placements on the rack that has room, want 2", len(out))
	}
}

func TestBorrowedQuotaIsReclaimed(t *testing.T) {
	borrowed := runningTask("job/a/0", "vm-1", cpu(10))
	borrowed.Team, borrowed.AtRisk = "clerks", time.Hour
	own := runningTask("job/a/1", "vm-1", cpu(10))
	own.Team = "stewards"
	reclaiming := pendingTask("job/b/0", cpu(20))
	reclaiming.Team = "drivers"
	reclaiming.Since = now.Add(-time.Second)
	s := &Snapshot{
		Now: now, VMs: []VM{vm("vm-1", "Cork", "r1")}, Tasks: []Task{borrowed, own},
		Pending: []Task{reclaiming},
		Teams:   []Team{{"clerks", cpu(5)}, {"stewards", cpu(15)}, {"drivers", cpu(20)}},
	}
	if out := Decide(s); len(out) != 0 {
		t.Errorf("decided %+v before the reclaim delay ended", out)
	}
	s.Pending[0].Since = now.Add(-time.Hour)
	out := Decide(s)
	if got := evicted(out); !slices.Equal(got, []string{"job/a/0"}) || out[0].Reason != ReasonQuota {
		t.Errorf("decided %+v, want the borrower's task evicted for quota", out)
	}
	s.Teams[2].Quota = cpu(5)
	if out := Decide(s); len(out) != 0 {
		t.Errorf("decided %+v for a team above its own quota", out)
	}
	s.Pending[0].Deadline = now.Add(time.Minute)
	if out := Decide(s); len(out) != 0 {
		t.Errorf("decided %+v: a near deadline reclaimed more than the team's own quota", out)
	}
}

func TestANearDeadlineGoesBeforePriorityAndPriorityBeforeAge(t *testing.T) {
	tight := pendingTask("job/tight/0", cpu(30))
	tight.Deadline, tight.Remaining = now.Add(time.Hour), 50*time.Minute
	loose := pendingTask("job/loose/0", cpu(30))
	loose.Deadline, loose.Remaining, loose.Priority = now.Add(9*time.Hour), time.Hour, 5
	old := pendingTask("job/old/0", cpu(30))
	old.Since = now.Add(-time.Minute)
	s := &Snapshot{Now: now, VMs: []VM{vm("vm-1", "Cork", "r1")}, Pending: []Task{old, loose, tight}}
	for _, want := range []string{"job/tight/0", "job/loose/0", "job/old/0"} {
		out := Decide(s)
		if placedOn(out, want) == "" || len(out) != 1 {
			t.Fatalf("decided %+v, want %s placed", out, want)
		}
		s.Pending = slices.DeleteFunc(s.Pending, func(p Task) bool { return p.ID == want })
	}
}

func TestAZoneOutOfServiceIsDrainedInDeadlineOrder(t *testing.T) {
	s := &Snapshot{Now: now, VMs: []VM{vm("vm-1", "Cork", "r1"), vm("vm-2", "Kildare", "r2")}}
	s.VMs[0].InService, s.VMs[0].OutOfServiceSince = false, now
	for i := range 10 {
		k := runningTask(fmt.Sprintf("job/j%d/0", i), "vm-1", cpu(1))
		k.Deadline, k.Remaining = now.Add(time.Duration(20-i)*time.Hour), time.Hour
		s.Tasks = append(s.Tasks, k)
	}
	got := evicted(Decide(s))
	want := []string{"job/j9/0", "job/j8/0", "job/j7/0", "job/j6/0", "job/j5/0", "job/j4/0"}
	if !slices.Equal(got, want) {
		t.Errorf("evicted %v, want %v", got, want)
	}
	// Room elsewhere that pending tasks compete for is only used for a task with
	// a near deadline.
	s.Pending = []Task{pendingTask("job/waits/0", cpu(31))}
	s.Tasks[3].Deadline = now.Add(time.Hour)
	if got := evicted(Decide(s)); !slices.Equal(got, []string{"job/j3/0"}) {
		t.Errorf("evicted %v while other tasks are pending", got)
	}
	s.Pending = nil
	// Without room elsewhere, tasks keep running until the drain window ends.
	s.VMs[1].Capacity = resource.Vector{}
	if got := evicted(Decide(s)); len(got) != 0 {
		t.Errorf("evicted %v without room elsewhere", got)
	}
	s.VMs[0].Draining = true
	if got := evicted(Decide(s)); len(got) != maxStoppingPerVM {
		t.Errorf("evicted %v from a draining VM", got)
	}
	s.VMs[0].Draining = false
	s.VMs[0].OutOfServiceSince = now.Add(-drainWindow)
	if got := evicted(Decide(s)); len(got) != maxStoppingPerVM || got[0] != "job/j3/0" {
		t.Errorf("evicted %v at the end of the window", got)
	}
}

func TestStartsAreLimitedInAZoneThatReturned(t *testing.T) {
	s := &Snapshot{Now: now}
	for i := range 4 {
		v := vm(fmt.Sprintf("vm-%d", i), "Cork", "r1")
		v.InServiceSince = now.Add(-time.Second)
		s.VMs = append(s.VMs, v)
	}
	for i := range 100 {
		s.Pending = append(s.Pending, pendingTask(task.TaskID("job/sort", i), cpu(1)))
	}
	for id, n := range placementsPerVM(Decide(s)) {
		if n > maxStartingOnRamp {
			t.Errorf("%d starts at once on %s, want at most %d", n, id, maxStartingOnRamp)
		}
	}
}

func TestMemoryAboveCapacityStopsTheTaskThatExceedsItsGrantMost(t *testing.T) {
	a, b := runningTask("job/a/0", "vm-1", cpu(1)), runningTask("job/b/0", "vm-1", cpu(1))
	a.Used.MemoryMiB, b.Used.MemoryMiB = 40000, 85000
	s := &Snapshot{Now: now, VMs: []VM{vm("vm-1", "Cork", "r1")}, Tasks: []Task{a, b}}
	out := Decide(s)
	if got := evicted(out); !slices.Equal(got, []string{"job/b/0"}) || out[0].Reason != ReasonOvercommit {
		t.Errorf("decided %+v", out)
	}
	s.Pending = []Task{pendingTask("job/c/0", resource.Vector{MilliCPU: 1000, MemoryMiB: 8000})}
	s.Tasks[1].Used.MemoryMiB = 81000
	if out := Decide(s); len(out) != 0 {
		t.Errorf("decided %+v: observed memory above the grants was not counted", out)
	}
}

// fixedInterference is a model with a constant slowdown per core of the other
// job.
type fixedInterference map[string]float64

func (h fixedInterference) Slowdown(_, other string, cores float64) float64 { return h[other] * cores }
func (h fixedInterference) LoadSlowdown(string, float64) float64            { return 0 }

func TestLatencyWeightLimitsInterferenceWithServices(t *testing.T) {
	instance := runningTask("service/ledger/0", "vm-1", cpu(6))
	instance.Class = task.LatencyCritical
	s := &Snapshot{
		Now: now, VMs: []VM{vm("vm-1", "Cork", "r1")}, Tasks: []Task{instance},
		Pending: []Task{pendingTask("job/noisy/0", cpu(9))}, Interference: fixedInterference{"job/noisy": 0.02},
	}
	s.LatencyWeight = 0
	if placedOn(Decide(s), "job/noisy/0") == "" {
		t.Error("not placed although batch throughput weighs most")
	}
	s.LatencyWeight = 1
	if out := Decide(s); len(out) != 0 {
		t.Errorf("decided %+v although tail latency weighs most", out)
	}
	s.Pending[0].Priority = plan.UrgentPriority
	if placedOn(Decide(s), "job/noisy/0") == "" {
		t.Error("the urgent task was not placed")
	}
}

func TestInterferenceIsMitigatedByThrottleThenMoveThenEviction(t *testing.T) {
	instance := runningTask("service/ledger/0", "vm-1", cpu(6))
	instance.Class = task.LatencyCritical
	s := &Snapshot{
		Now: now, VMs: []VM{vm("vm-1", "Cork", "r1"), vm("vm-2", "Cork", "r2")},
		Tasks: []Task{instance, runningTask("job/noisy/0", "vm-1", cpu(9)), runningTask("job/quiet/0", "vm-1", cpu(9))},
		Pressures: []Pressure{{
			Task: "service/ledger/0", VM: "vm-1", Slowdown: 0.4, Threshold: 0.1,
			Antagonists: []Antagonist{{"job/quiet/0", 0.01}, {"job/noisy/0", 0.39}},
		}},
		EvictionsLeft: 1,
	}
	cases := []struct {
		name      string
		sustained int
		throttled float64
		room      bool
		moves     int
		want      Action
		none      bool
	}{
		{name: "one measurement is noise", sustained: 1, room: true, moves: 1, none: true},
		{name: "the worst antagonist is throttled first", sustained: throttleAfter, room: true, moves: 1, want: Throttle},
		{name: "a fully throttled antagonist is moved", sustained: moveAfter, throttled: minThrottle, room: true, moves: 1, want: Evict},
		{name: "without room elsewhere the next antagonist is throttled", sustained: moveAfter, throttled: minThrottle, moves: 1, want: Throttle},
		{name: "after evictAfter measurements it is evicted without room elsewhere", sustained: evictAfter, throttled: minThrottle, moves: 1, want: Evict},
		{name: "without budget it is not evicted", sustained: evictAfter, throttled: minThrottle, room: true, want: Throttle},
	}
	for _, c := range cases {
		s.Pressures[0].HighCount = c.sustained
		s.Tasks[1].Throttle = c.throttled
		s.VMs[1].InService = c.room
		s.EvictionsLeft = c.moves
		out := Decide(s)
		if c.none {
			if len(out) != 0 {
				t.Errorf("%s: %+v", c.name, out)
			}
			continue
		}
		if len(out) != 1 || out[0].Action != c.want {
			t.Errorf("%s: %+v, want %v", c.name, out, c.want)
			continue
		}
		if c.want == Evict && out[0].Task != "job/noisy/0" {
			t.Errorf("%s: %s", c.name, out[0].Task)
		}
	}
}

func TestAFailingJobRunsOneTrialAtATime(t *testing.T) {
	s := &Snapshot{Now: now, VMs: []VM{vm("vm-1", "Cork", "r1"), vm("vm-2", "Cork", "r1")}}
	for i := range 5 {
		p := pendingTask(task.TaskID("job/broken", i), cpu(1))
		p.Trial, p.Avoid = true, []string{"vm-1"}
		s.Pending = append(s.Pending, p)
	}
	out := Decide(s)
	if len(out) != 1 || out[0].VM != "vm-2" {
		t.Errorf("decided %+v, want one trial on the VM where the job has not failed", out)
	}
	if r, ok := WhyPending(s, "job/broken/1"); !ok || r.Admitted != 2 {
		t.Errorf("reason %+v", r)
	}
}

func TestAVMOnProbationIsProbedWithOneBatchTask(t *testing.T) {
	v := vm("vm-1", "Cork", "r1")
	v.Quarantine = Probation
	instance := pendingTask("service/ledger/0", cpu(1))
	instance.Class = task.LatencyCritical
	urgent := pendingTask("job/urgent/0", cpu(1))
	urgent.Priority = plan.UrgentPriority
	s := &Snapshot{Now: now, VMs: []VM{v}, Pending: []Task{
		instance, urgent, pendingTask("job/a/0", cpu(1)), pendingTask("job/a/1", cpu(1)),
	}}
	out := Decide(s)
	if len(out) != 1 || out[0].Task != "job/a/0" || out[0].Reason != ReasonProbe {
		t.Errorf("decided %+v, want one probe", out)
	}
}

func TestJobsThatUseLessOfTheScarceResourceGoFirst(t *testing.T) {
	heavy := pendingTask("job/heavy/0", resource.Vector{MilliCPU: 1000, MemoryMiB: 16000})
	heavy.Since = now.Add(-time.Minute)
	light := pendingTask("job/light/0", resource.Vector{MilliCPU: 4000, MemoryMiB: 16000})
	light.Since = now
	full := runningTask("job/a/0", "vm-1", resource.Vector{MilliCPU: 4000, MemoryMiB: 110000})
	s := &Snapshot{Now: now, VMs: []VM{vm("vm-1", "Cork", "r1")}, Tasks: []Task{full}, Pending: []Task{heavy, light}}
	if out := Decide(s); placedOn(out, "job/light/0") == "" {
		t.Errorf("decided %+v while memory is short", out)
	}
	s.Pending[0].Priority = 1
	if out := Decide(s); placedOn(out, "job/heavy/0") == "" {
		t.Errorf("decided %+v although priority goes first", out)
	}
}

func TestFreedCapacityIsReservedForAStarvedTask(t *testing.T) {
	large := pendingTask("job/large/0", cpu(20))
	large.Since = now.Add(-starvedAfter - time.Second)
	s := &Snapshot{
		Now: now, VMs: []VM{vm("vm-1", "Cork", "r1")}, Tasks: []Task{runningTask("job/a/0", "vm-1", cpu(16))},
		Pending: []Task{large, pendingTask("job/small/0", cpu(2))},
	}
	s.Pending[1].Since = now
	if out := Decide(s); len(out) != 0 {
		t.Errorf("decided %+v, want the VM reserved", out)
	}
	s.Pending[0].Since = now
	if placedOn(Decide(s), "job/small/0") == "" {
		t.Error("the small task was not placed although the large one is not starved yet")
	}
}

func TestUnschedulableJobsAreReported(t *testing.T) {
	p := &plan.DayPlan{
		Services: []plan.Service{{Name: "ledger", Size: cpu(8)}},
		Jobs: []plan.Job{
			{Name: "huge", Size: cpu(64)},
			{Name: "trained", Size: resource.Vector{MilliCPU: 1000, Accelerators: 1}},
			{Name: "fits", Size: capacity},
		},
	}
	got := Unschedulable(p, []VM{vm("vm-1", "Cork", "r1")})
	want := []Explanation{
		{"huge", "needs 64000 milli-CPU, the largest VM has 32000"},
		{"trained", "needs 1 accelerators, the largest VM has 0"},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestReleasingCapacityIsReservedOnce(t *testing.T) {
	leaving := runningTask("job/a/0", "vm-1", cpu(12))
	leaving.State = task.Stopping
	first := pendingTask("job/u/0", cpu(20))
	first.Priority = plan.UrgentPriority
	s := &Snapshot{
		Now: now, VMs: []VM{vm("vm-1", "Cork", "r1")}, Tasks: []Task{leaving, runningTask("job/b/0", "vm-1", cpu(10))},
		Pending: []Task{first, pendingTask("job/c/0", cpu(4))},
	}
	if out := Decide(s); len(out) != 0 {
		t.Errorf("decided %+v, want the free part reserved as well", out)
	}
	second := pendingTask("job/w/0", cpu(9))
	second.Priority = plan.UrgentPriority
	s.Pending = append(s.Pending, second)
	if got := evicted(Decide(s)); !slices.Equal(got, []string{"job/b/0"}) {
		t.Errorf("evicted %v, want room made for the second urgent task", got)
	}
}
