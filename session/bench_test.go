package session

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/resource"
	"amaranthpaddle/standin"
	"amaranthpaddle/worker"
)

// BenchmarkPoll measures one poll of a stand-in worker over loopback HTTP,
// including both client and server, for three numbers of tasks on the VM. An agent
// polls four times a second.
func BenchmarkPoll(b *testing.B) {
	for _, tasks := range []int{5, 18, 36} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { benchmarkPoll(b, tasks) })
	}
}

func benchmarkPoll(b *testing.B, tasks int) {
	started, err := standin.StartWorker(standin.WorkerOptions{
		VM: "vm", Zone: "a", Capacity: resource.Vector{MilliCPU: 64_000, MemoryMiB: 1 << 18},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer started.Stop()
	s := New(Config{VM: &api.VM{Id: "vm"}, Worker: worker.NewClient(started.URL(), &http.Client{}), Announcer: noServers{}})
	s.beginSession()
	s.driveOnce(context.Background())
	report := s.nextReport(time.Now())
	directive := &api.Directive{Acknowledged: report.Sequence, LeaseMs: 3_600_000, FreshMs: 60_000, ZoneInService: true}
	for i := range tasks {
		directive.Start = append(directive.Start, &api.StartTask{
			Task: fmt.Sprintf("job/sort/%d", i), Generation: 1, Job: "sort", WorkMs: 3_600_000,
			Grant: &api.Resources{MilliCpu: 1000, MemoryMib: 1024},
		})
	}
	s.handleDirective(directive)
	s.driveOnce(context.Background())
	if active := s.ActiveTasks(); active != tasks {
		b.Fatalf("%d of %d tasks are running", active, tasks)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.driveOnce(context.Background())
	}
}
