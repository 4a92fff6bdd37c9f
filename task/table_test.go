package task

import (
	"testing"
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
)

var (
	start    = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	small    = resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}
	capacity = resource.Vector{MilliCPU: 4000, MemoryMiB: 8192}
)

func dayPlan(number uint64, day string, jobs ...plan.Job) *plan.DayPlan {
	return &plan.DayPlan{Number: number, Day: day, Jobs: jobs}
}

func sortJob(tasks int) plan.Job {
	return plan.Job{Name: "sort", Tasks: tasks, Size: small, RunTime: time.Hour}
}

// placeOn places the task's next run on the VM.
func placeOn(t *testing.T, table *Table, id, vm string) uint64 {
	t.Helper()
	generation := table.Task(id).Generation + 1
	err := table.Place(start, Placement{Task: id, Generation: generation, VM: vm, Capacity: capacity, Grant: small})
	if err != nil {
		t.Fatal(err)
	}
	return generation
}

func wantState(t *testing.T, table *Table, id string, want State) {
	t.Helper()
	if got := table.Task(id).State; got != want {
		t.Errorf("%s is %s, want %s", id, got, want)
	}
}

func TestAnEvictedTaskResumesOnceFromItsCheckpoint(t *testing.T) {
	table := NewTable()
	table.ApplyPlan(dayPlan(1, "2026-12-04", sortJob(1)), start)
	first := placeOn(t, table, "job/sort/0", "vm-1")
	if err := table.RequestEvict(start, "job/sort/0", first, "zone-out"); err != nil {
		t.Fatal(err)
	}
	if got := table.Committed("vm-1"); got != small {
		t.Errorf("a stopping task commits %v, want %v", got, small)
	}
	stopped := Report{Task: "job/sort/0", Generation: first, Phase: PhaseStopped, Checkpoint: "c1", Progress: 0.5}
	if e := table.Report(start, "vm-1", stopped); e != Stopped {
		t.Errorf("effect %v, want Stopped", e)
	}
	second := placeOn(t, table, "job/sort/0", "vm-2")
	if e := table.Report(start, "vm-1", stopped); e != NoEffect {
		t.Errorf("a repeated report has effect %v", e)
	}
	k := table.Task("job/sort/0")
	if k.State != Starting || k.Checkpoint != "c1" || k.ResumedProgress != 0.5 || k.Evictions != 1 {
		t.Errorf("unexpected task %+v", k)
	}
	late := Report{Task: "job/sort/0", Generation: first, Phase: PhaseFinished}
	if e := table.Report(start, "vm-1", late); e != NoEffect {
		t.Errorf("a late finish has effect %v", e)
	}
	done := Report{Task: "job/sort/0", Generation: second, Phase: PhaseFinished}
	if e := table.Report(start, "vm-2", done); e != Done {
		t.Errorf("effect %v, want Done", e)
	}
	if e := table.Report(start, "vm-2", done); e != NoEffect {
		t.Errorf("a second finish has effect %v", e)
	}
}

func TestPlaceChecksCurrentState(t *testing.T) {
	table := NewTable()
	p := dayPlan(1, "2026-12-04", sortJob(5))
	p.Zones = []plan.Zone{{Name: "Cork", InService: true}, {Name: "Kildare"}}
	table.ApplyPlan(p, start)
	place := func(id string, generation uint64, vm, zone string) error {
		return table.Place(start, Placement{
			Task: id, Generation: generation, VM: vm, Zone: zone, Capacity: capacity, Grant: small,
		})
	}
	for i, id := range []string{"job/sort/0", "job/sort/1", "job/sort/2", "job/sort/3"} {
		if err := place(id, 1, "vm-1", "Cork"); err != nil {
			t.Fatalf("placement %d: %v", i, err)
		}
	}
	cases := []struct {
		name       string
		id         string
		generation uint64
		zone       string
		want       error
	}{
		{"a full VM refuses", "job/sort/4", 1, "Cork", ErrNoCapacity},
		{"a zone out of service refuses", "job/sort/4", 1, "Kildare", ErrZoneOut},
		{"a generation that is not the next is superseded", "job/sort/4", 2, "Cork", ErrSuperseded},
		{"a placed task is not pending", "job/sort/0", 2, "Cork", ErrNotPending},
		{"an unknown task is refused", "job/sort/9", 1, "Cork", ErrUnknownTask},
	}
	for _, c := range cases {
		if err := place(c.id, c.generation, "vm-1", c.zone); err != c.want {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

func TestHigherPlanReplacesLowerPlan(t *testing.T) {
	table := NewTable()
	table.ApplyPlan(dayPlan(1, "2026-12-04", sortJob(3), plan.Job{Name: "old", Tasks: 2, Size: small}), start)
	g := placeOn(t, table, "job/sort/0", "vm-1")
	table.Report(start, "vm-1", Report{Task: "job/sort/0", Generation: g, Phase: PhaseFinished})
	placeOn(t, table, "job/old/0", "vm-1")
	running := placeOn(t, table, "job/sort/1", "vm-1")

	if table.ApplyPlan(dayPlan(1, "2026-12-04"), start) {
		t.Error("the same number changed the table")
	}
	table.ApplyPlan(dayPlan(2, "2026-12-04", sortJob(2)), start)
	wantState(t, table, "job/sort/0", Finished)
	wantState(t, table, "job/sort/1", Starting)
	wantState(t, table, "job/sort/2", Cancelled)
	wantState(t, table, "job/old/0", Cancelling)
	wantState(t, table, "job/old/1", Cancelled)

	table.Report(start, "vm-1", Report{Task: "job/sort/1", Generation: running, Phase: PhaseFinished})
	table.ApplyPlan(dayPlan(3, "2026-12-04", sortJob(2)), start)
	wantState(t, table, "job/sort/0", Finished)
	table.ApplyPlan(dayPlan(4, "2026-12-05", sortJob(2)), start)
	wantState(t, table, "job/sort/0", Pending)
	if got := table.Task("job/sort/0").Generation; got != 1 {
		t.Errorf("generation %d after another day's plan, want 1", got)
	}
}

func TestAJobThatFailsOnSeveralVMsBacksOffAsAWhole(t *testing.T) {
	table := NewTable()
	table.ApplyPlan(dayPlan(1, "2026-12-04", sortJob(3)), start)
	for i, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		id := TaskID("job/sort", i)
		g := placeOn(t, table, id, vm)
		if table.Job("job/sort").Failing() {
			t.Fatalf("failing after %d VMs", i)
		}
		e := table.Report(start, vm, Report{Task: id, Generation: g, Phase: PhaseFailed, Error: "no input"})
		if e != Failed {
			t.Errorf("effect %v, want Failed", e)
		}
	}
	j := table.Job("job/sort")
	if !j.Failing() || !j.NotBefore.Equal(start.Add(4*time.Second)) {
		t.Errorf("failing %v, not before %v", j.Failing(), j.NotBefore)
	}
}

func TestLostVMReturnsItsTasksAndCapacity(t *testing.T) {
	table := NewTable()
	table.ApplyPlan(dayPlan(1, "2026-12-04", sortJob(2)), start)
	placeOn(t, table, "job/sort/0", "vm-1")
	placeOn(t, table, "job/sort/1", "vm-1")
	if n := table.VMLost(start, "vm-1"); n != 2 {
		t.Errorf("%d tasks lost, want 2", n)
	}
	if n := table.VMLost(start, "vm-1"); n != 0 {
		t.Errorf("%d tasks lost a second time", n)
	}
	if !table.Committed("vm-1").IsZero() || len(table.Pending()) != 2 {
		t.Errorf("committed %v, %d pending", table.Committed("vm-1"), len(table.Pending()))
	}
}
