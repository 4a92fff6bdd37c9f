package jobcontrol

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// fakeFleet keeps each VM down for maintenanceTime when its maintenance is ordered.
type fakeFleet struct {
	mu          sync.Mutex
	downUntil   map[string]time.Time
	begins      map[string]int
	pools       map[string]string // by VM; VMs without an entry are in "s"
	moves       []string
	maxDown     int                  // most VMs that were down at the same time
	lostAnswers int                  // number of further answers that are lost
	guardedDown bool                 // maintenance of a VM began while guarded returned true
	guarded     func(vm string) bool // whether the VM still has a task that must be moved first
}

const maintenanceTime = time.Second

func (f *fakeFleet) VMs(context.Context) (map[string]dispatch.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vms := map[string]dispatch.VM{}
	for _, name := range []string{"vm-a", "vm-b", "vm-c"} {
		vm := dispatch.VM{Pool: "s", Capacity: resource.Vector{MilliCPU: 4000, MemoryMiB: 4000}}
		if time.Now().Before(f.downUntil[name]) {
			vm.State = dispatch.VMInMaintenance
		}
		if pool := f.pools[name]; pool != "" {
			vm.Pool = pool
		}
		vms[name] = vm
	}
	return vms, nil
}

func (f *fakeFleet) Move(_ context.Context, vm, pool string, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pools[vm] = pool
	f.moves = append(f.moves, vm+" to "+pool)
	return nil
}

func (f *fakeFleet) Maintain(_ context.Context, vm string, _ int64, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begins[vm] == 0 {
		f.begins[vm]++
		f.guardedDown = f.guardedDown || f.guarded != nil && f.guarded(vm)
		f.downUntil[vm] = time.Now().Add(maintenanceTime)
		down := 0
		for _, until := range f.downUntil {
			if time.Now().Before(until) {
				down++
			}
		}
		f.maxDown = max(f.maxDown, down)
	}
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return fault.New(fault.ConnectionLost, "no answer")
	}
	return nil
}

func (r *rig) withFleet() *fakeFleet {
	fleet := &fakeFleet{downUntil: map[string]time.Time{}, begins: map[string]int{}, pools: map[string]string{}}
	r.server.config.Fleet = fleet
	return fleet
}

// keepAlive lets the agents follow directives and report for a while, so that their
// sessions and leases last.
func (r *rig) keepAlive(d time.Duration, agents ...*fakeAgent) {
	for end := time.Now().Add(d); time.Now().Before(end); r.wait(250 * time.Millisecond) {
		for _, a := range agents {
			a.followDirectives()
		}
	}
}

// followDirectives starts and stops runs as directed, and reports the result.
func (a *fakeAgent) followDirectives() {
	starts, stops, _, _ := a.drainDirectives()
	for _, run := range starts {
		a.listed = append(a.listed, &api.RunStatus{Run: run.Ref(), Percent: 100, Pace: 100})
	}
	var ends []*api.WorkerEnd
	for _, run := range stops {
		for i, status := range a.listed {
			if jobs.RunIDOf(status.Run) == run {
				a.listed = append(a.listed[:i:i], a.listed[i+1:]...)
				ends = append(ends, &api.WorkerEnd{Run: run.Ref(), Outcome: api.RunOutcome_RUN_OUTCOME_STOPPED})
				break
			}
		}
	}
	a.lists++
	a.report(ends...)
}

func TestWaveRespectsMaxConcurrent(t *testing.T) {
	for _, unheard := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d answers lost", unheard), func(t *testing.T) {
			inBubble(t, func(r *rig) {
				fleet := r.withFleet()
				fleet.lostAnswers = unheard
				operators := Operators{Server: r.server}
				wave := &api.MaintenanceWave{Id: 1, Vms: []string{"vm-a", "vm-b", "vm-gone"}, DurationMs: 20_000, MaxConcurrent: 1}
				for range 2 { // the operator repeats the order
					if err := operators.BeginWave(context.Background(), wave); err != nil {
						t.Fatal(err)
					}
				}
				r.wait(20 * time.Second)
				got, err := operators.Wave(context.Background(), 1)
				if err != nil || !jobs.WaveCompleted(got) {
					t.Fatalf("%v, %v", got, err)
				}
				if fleet.begins["vm-a"] != 1 || fleet.begins["vm-b"] != 1 || fleet.begins["vm-c"] != 0 || fleet.maxDown != 1 {
					t.Errorf("begun %v, %d down at a time", fleet.begins, fleet.maxDown)
				}
			})
		})
	}
}

func TestGuardedTasksMoveOneByOneBeforeMaintenance(t *testing.T) {
	inBubble(t, func(r *rig) {
		fleet := r.withFleet()
		r.configure()
		agents := []*fakeAgent{r.connect("a"), r.connect("b"), r.connect("c")}
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{
			{Count: 4, MilliCpu: 1000, LongRunning: true, DisruptionBudget: 1},
		}}, accepted)
		r.keepAlive(4*time.Second, agents...)
		on := func(vm string) (n int) {
			r.state.Read(func(view jobs.View) { view.RunsOn("w-"+vm[3:]+"@1", func(jobs.RunID, *jobs.Group) { n++ }) })
			return n
		}
		fleet.guarded = func(vm string) bool { return on(vm) > 0 }
		if on("vm-a")+on("vm-b")+on("vm-c") != 4 {
			t.Fatal("not all tasks are running")
		}
		err := Operators{Server: r.server}.BeginWave(context.Background(),
			&api.MaintenanceWave{Id: 1, Vms: []string{"vm-a", "vm-b", "vm-c"}, DurationMs: 20_000, MaxConcurrent: 1})
		if err != nil {
			t.Fatal(err)
		}
		r.keepAlive(20*time.Second, agents...)
		wave, err := Operators{Server: r.server}.Wave(context.Background(), 1)
		if err != nil || !jobs.WaveCompleted(wave) || fleet.guardedDown || fleet.maxDown != 1 {
			t.Errorf("%v, %v; a VM went down with a guarded task on it: %v; %d down at a time", wave, err, fleet.guardedDown, fleet.maxDown)
		}
	})
}

func TestInvalidWaveIsRejected(t *testing.T) {
	inBubble(t, func(r *rig) {
		err := Operators{Server: r.server}.BeginWave(context.Background(), &api.MaintenanceWave{Id: 1, Vms: []string{"vm-a"}})
		if !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("%v", err)
		}
		if _, err := (Operators{Server: r.server}).Wave(context.Background(), 7); !fault.Is(err, fault.NotFound) {
			t.Errorf("%v", err)
		}
	})
}

func TestStandbyVMIsLentAndReturnedAfterLeaderChange(t *testing.T) {
	inBubble(t, func(r *rig) {
		fleet := r.withFleet()
		fleet.pools["vm-c"] = "spare"
		configuration := testConfiguration(1)
		configuration.Services = append(configuration.Services, &api.JobService{Name: "spare", Standby: true})
		if err := (Operators{Server: r.server}).Configure(context.Background(), configuration); err != nil {
			t.Fatal(err)
		}
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 6, MilliCpu: 1000, EstimatedMs: 60_000}}}, accepted)
		r.keepAlive(8*time.Second, a)
		if len(fleet.moves) != 1 || fleet.moves[0] != "vm-c to s" {
			t.Fatalf("moves %v", fleet.moves)
		}
		c := r.connect("c")
		r.keepAlive(2*time.Second, a, c)
		r.replica.lead(2, false)
		r.wait(100 * time.Millisecond)
		r.replica.lead(3, true)
		r.wait(100 * time.Millisecond)
		a.reconnect()
		c.reconnect()
		r.mustCall(cancel, testPath, nil, cancelled)
		r.keepAlive(25*time.Second, a, c)
		if len(fleet.moves) != 2 || fleet.moves[1] != "vm-c to spare" {
			t.Errorf("moves %v", fleet.moves)
		}
	})
}
