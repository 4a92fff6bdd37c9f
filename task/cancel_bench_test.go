package task

import (
	"testing"
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
)

// BenchmarkCancelJob cancels a job of 5,000 tasks, half of them running.
func BenchmarkCancelJob(b *testing.B) {
	const tasks = 5000
	huge := resource.Vector{MilliCPU: 1 << 40, MemoryMiB: 1 << 40}
	b.ReportAllocs()
	var took time.Duration
	for b.Loop() {
		b.StopTimer()
		table := NewTable()
		table.ApplyPlan(&plan.DayPlan{Number: 1, Jobs: []plan.Job{{Name: "sort", Tasks: tasks, Size: small}}}, start)
		for i := range tasks / 2 {
			id := TaskID("job/sort", i)
			err := table.Place(start, Placement{Task: id, Generation: 1, VM: "vm-1", Capacity: huge, Grant: small})
			if err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
		begin := time.Now()
		table.CancelJob(start, "job/sort")
		took += time.Since(begin)
	}
	b.ReportMetric(float64(took.Nanoseconds())/float64(b.N)/tasks, "ns/task")
}
