package jobcontrol

import (
	"context"
	"sync"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// busyFleet is a fakeFleet with VMs in a standby pool that it does not lend in time.
type busyFleet struct {
	*fakeFleet
	state *jobs.State

	mu       sync.Mutex
	returned int // moves to the standby pool
	ended    int // runs on the VMs at that time
}

func (f *busyFleet) VMs(ctx context.Context) (map[string]dispatch.VM, error) {
	vms, err := f.fakeFleet.VMs(ctx)
	for _, name := range []string{"vm-u", "vm-v", "vm-w", "vm-x", "vm-y", "vm-z"} {
		vms[name] = dispatch.VM{Pool: "spare", Capacity: resource.Vector{MilliCPU: 4000, MemoryMiB: 4000}}
	}
	return vms, err
}

func (f *busyFleet) Move(ctx context.Context, vm, pool string, fence uint64) error {
	if pool == "t" {
		<-ctx.Done()
		return fault.Wrap(fault.DeadlineUnknown, ctx.Err(), "move")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if pool == "spare" {
		f.returned++
		f.state.Read(func(view jobs.View) {
			view.RunsOn(jobs.WorkerKey("w-c", 1), func(jobs.RunID, *jobs.Group) { f.ended++ })
		})
	}
	return f.fakeFleet.Move(ctx, vm, pool, fence)
}

// Guards against tasks that a move of their VM ends: the return of an idle VM is ordered after
// other moves, each of which may take up to fleetTimeout.
func TestVMWhoseReturnIsOrderedLateGetsNoStarts(t *testing.T) {
	inBubble(t, func(r *rig) {
		fleet := &busyFleet{fakeFleet: r.withFleet(), state: r.state}
		fleet.pools["vm-c"] = "spare"
		r.server.config.Fleet = fleet
		configuration := testConfiguration(1)
		configuration.Services = []*api.JobService{{Name: "t"}, {Name: "s"}, {Name: "spare", Standby: true}}
		configuration.Queues = append(configuration.Queues, &api.JobQueue{
			Name: "r", Host: "h", PathPrefix: "/r/", Service: "t", MaxAttempts: 2, TimeoutMs: 3000, TargetCompletionMs: 600_000,
		})
		if err := (Operators{Server: r.server}).Configure(context.Background(), configuration); err != nil {
			r.t.Fatal(err)
		}
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 6, MilliCpu: 1000, EstimatedMs: 60_000}}}, accepted)
		r.keepAlive(8*time.Second, a)
		c := r.connect("c")
		r.keepAlive(2*time.Second, a, c)
		r.mustCall(submit, "/r/"+otherJob, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 10, MilliCpu: 4000}}}, accepted)
		r.mustCall(cancel, testPath, nil, cancelled)
		returning := func() (found bool) {
			r.withLeadership(func(l *leadership) { _, found = l.returning["vm-c"] })
			return found
		}
		for begin := time.Now(); !returning(); r.keepAlive(250*time.Millisecond, a, c) {
			if time.Since(begin) > time.Minute {
				r.t.Fatalf("no return was decided, moves %v", fleet.moves)
			}
		}
		r.mustCall(submit, "/q/00000000000000dd", &api.JobSpec{Groups: []*api.TaskGroup{{Count: 6, MilliCpu: 1000, EstimatedMs: 60_000}}}, accepted)
		r.keepAlive(10*time.Second, a, c)
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		if fleet.ended > 0 || len(a.listed)+len(c.listed) != 6 {
			r.t.Errorf("%d returns of VMs ended %d runs, %d run in the end; want 6", fleet.returned, fleet.ended, len(a.listed)+len(c.listed))
		}
	})
}
