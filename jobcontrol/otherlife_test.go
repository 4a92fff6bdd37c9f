package jobcontrol

import (
	"context"
	"slices"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against two runs of one task after a change of leader: a start without an answer
// may be carried out until jobs.StartDelayLimit after it was sent, and the new leader, which
// has not sent it itself, waited only for the end of the earlier leader's leases.
func TestNewLeaderKeepsAnUnansweredStartOpenBeyondTheLease(t *testing.T) {
	for name, reports := range map[string]bool{"agent silent": false, "agent reports once": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.configure()
				a := r.connect("a")
				r.mustCall(submit, "/q/"+otherJob, oneTask(), accepted)
				r.wait(100 * time.Millisecond)
				begun, _, _, _ := a.drainDirectives()
				a.listRuns(begun...)
				r.reportFor(r.server.config.longestLease()+time.Second, a)
				r.mustCall(submit, testPath, oneTask(), accepted)
				r.wait(20 * time.Millisecond)
				sent := time.Now()
				r.wait(80 * time.Millisecond)
				if starts, _, _, _ := a.drainDirectives(); len(starts) != 1 || starts[0] != testRun {
					r.t.Fatalf("starts %v, want %v", starts, testRun)
				}
				r.changeLeader()
				if reports {
					a.reconnect()
				}
				b := r.connect("b")
				for time.Since(sent) < jobs.StartDelayLimit {
					b.report()
					starts, _, _, _ := b.drainDirectives()
					for _, run := range starts {
						if run.Task == testRun.Task {
							r.t.Fatalf("run %v starts %v after the start of %v, which has no answer", run, time.Since(sent), testRun)
						}
					}
					r.wait(200 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against work that is done being done again: an end that the earlier incarnation had
// listed arrives with the first report on the later one, to the same leader or to a new one.
func TestEndOfTheEarlierIncarnationCountsWithTheFirstReportOnTheLaterOne(t *testing.T) {
	for name, changeLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.configure()
				a, b := r.connect("a"), r.connect("b")
				r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 2, MilliCpu: 3000}}}, accepted)
				r.wait(100 * time.Millisecond)
				ended, _, _, _ := a.drainDirectives()
				other, _, _, _ := b.drainDirectives()
				b.listRuns(other...)
				a.born++
				a.listed = []*api.RunStatus{}
				end := &api.WorkerEnd{Run: ended[0].Ref(), Outcome: api.RunOutcome_RUN_OUTCOME_DONE, Begun: true}
				if changeLeader {
					r.changeLeader()
					b.reconnect()
					a.reconnect(end)
				} else {
					a.report(end)
				}
				r.reportFor(time.Second, a, b)
				starts, _, recorded, _ := a.drainDirectives()
				if len(starts) > 0 || len(recorded) != 1 || recorded[0] != ended[0] {
					r.t.Errorf("starts %v and recorded ends %v on a, want the end of %v", starts, recorded, ended)
				}
				if starts, _, _, _ := b.drainDirectives(); len(starts) > 0 {
					r.t.Errorf("starts %v on b of a task that is done", starts)
				}
			})
		})
	}
}

// slowFleet is a fakeFleet that carries moves to standby pools out late.
type slowFleet struct {
	*fakeFleet
	ordered chan struct{} // receives when such a move is ordered
}

func (f *slowFleet) Move(ctx context.Context, vm, pool string, fence uint64) error {
	if pool == "spare" {
		f.ordered <- struct{}{}
		time.Sleep(1500 * time.Millisecond)
	}
	return f.fakeFleet.Move(ctx, vm, pool, fence)
}

func (f *slowFleet) movesSoFar() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.moves)
}

// Guards against tasks that a move of their VM ends: the move was decided while the VM was
// idle, and carried out after it had got new runs.
func TestVMThatIsBeingReturnedGetsNoStarts(t *testing.T) {
	inBubble(t, func(r *rig) {
		fleet := &slowFleet{fakeFleet: r.withFleet(), ordered: make(chan struct{}, 1)}
		fleet.pools["vm-c"] = "spare"
		r.server.config.Fleet = fleet
		configuration := testConfiguration(1)
		configuration.Services = append(configuration.Services, &api.JobService{Name: "spare", Standby: true})
		if err := (Operators{Server: r.server}).Configure(context.Background(), configuration); err != nil {
			t.Fatal(err)
		}
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 6, MilliCpu: 1000, EstimatedMs: 60_000}}}, accepted)
		r.keepAlive(8*time.Second, a)
		c := r.connect("c")
		r.keepAlive(2*time.Second, a, c)
		r.mustCall(cancel, testPath, nil, cancelled)
		for len(fleet.ordered) == 0 {
			r.keepAlive(250*time.Millisecond, a, c)
		}
		r.mustCall(submit, "/q/"+otherJob, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 6, MilliCpu: 1000}}}, accepted)
		r.keepAlive(time.Second, a, c)
		if moves := fleet.movesSoFar(); len(moves) != 1 || len(a.listed) != 4 || len(c.listed) > 0 {
			t.Errorf("moves %v, %d runs on a and %d on c, which is being returned; want 4 and none", moves, len(a.listed), len(c.listed))
		}
	})
}

// Guards against two runs of one task: the next incarnation of a worker that nobody hears
// from carries out an unanswered start up to jobs.StartDelayLimit after it was sent. Its clock
// began anew, so it takes the longest lease that it grants, from then on.
func TestUnansweredStartOnASilentWorkerIsLostAfterTheLeaseThatItMayTake(t *testing.T) {
	for name, registered := range map[string]bool{"next incarnation registered": true, "nothing is heard": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.configure()
				a := r.connect("a")
				r.mustCall(submit, testPath, oneTask(), accepted)
				r.wait(20 * time.Millisecond)
				sent := time.Now()
				r.wait(80 * time.Millisecond)
				a.drainDirectives()
				b := r.connect("b")
				if registered {
					a.unregistered = true // its agent reports no worker that has not listed its runs
				}
				for time.Since(sent) < jobs.StartDelayLimit+r.server.config.LeaseLimit {
					b.report()
					if registered {
						a.report()
					}
					if starts, _, _, _ := b.drainDirectives(); len(starts) > 0 {
						r.t.Fatalf("run %v starts %v after the start of %v, which has no answer", starts[0], time.Since(sent), testRun)
					}
					r.wait(200 * time.Millisecond)
				}
			})
		})
	}
}
