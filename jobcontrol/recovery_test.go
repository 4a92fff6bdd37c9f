package jobcontrol

import (
	"maps"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Load pattern: power is lost everywhere, and comes back on all VMs at once. Seen in
// incident inc-682d of nilefeather-loft: the workers had registered anew 0.2 s after
// the new leader began, yet nothing that had run there started again for 4.2 s, until
// no lease of an earlier leader could be held. A later incarnation shows earlier that
// its predecessor's runs have ended.
func TestNewLeaderLosesRunsOfEarlierWorkersOnAVMAtOnce(t *testing.T) {
	for name, comeBack := range map[string]func(*fakeAgent){
		"under its id":     func(a *fakeAgent) { a.born++ },
		"under another id": func(a *fakeAgent) { a.born, a.worker = a.born+1, "w-new" },
	} {
		t.Run(name, func(t *testing.T) { inBubble(t, func(r *rig) { r.testReturnAfterPowerLoss(comeBack) }) })
	}
}

func (r *rig) testReturnAfterPowerLoss(comeBack func(*fakeAgent)) {
	r.configure()
	a, b := r.connect("a"), r.connect("b")
	r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 2, MilliCpu: 3000, LongRunning: true}}}, accepted)
	r.wait(100 * time.Millisecond)
	a.drainDirectives()
	b.drainDirectives()
	r.replica.lead(1, false)
	r.wait(100 * time.Millisecond)
	r.replica.lead(2, true)
	r.wait(100 * time.Millisecond)
	comeBack(a)
	a.reconnect()
	b.reconnect()
	r.wait(500 * time.Millisecond)
	starts, _, _, _ := a.drainDirectives()
	if len(starts) != 1 || starts[0].Number != 2 {
		r.t.Errorf("starts %v on the worker that came back, want the second run of its task", starts)
	}
	if starts, _, _, _ := b.drainDirectives(); len(starts) > 0 {
		r.t.Errorf("starts %v on the worker that ran on", starts)
	}
}

// Guards against workers that count for as long as their agent has a session: a fleet of
// eleven workers that crashed 21 times was taken for 32 (seen on the day deadly), and so
// for a fleet with most of its capacity free.
func TestWorkerThatComesBackUnderAnotherIDCountsOnce(t *testing.T) {
	for name, machine := range map[string]string{"VM known": "vm-a", "VM unknown": ""} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				a := r.connect("a")
				a.machine = machine
				for _, id := range []string{"w-2", "w-3"} {
					a.worker, a.born = id, a.born+1
					a.report()
				}
				for range 6 {
					r.wait(time.Second)
					a.report()
				}
				r.withLeadership(func(l *leadership) {
					if len(l.workers) != 1 || l.workers["w-3"] == nil {
						t.Errorf("%d workers, want w-3 alone", len(l.workers))
					}
				})
			})
		})
	}
}

// Load pattern: ten workers with runs, of which eight come back at different times, one
// under a later incarnation, and one not at all. Guards against a wait that is counted
// twice or not at all: each path of waits must add up to its time.
func TestWaitsOfARecoveryAddUp(t *testing.T) {
	began := time.Unix(100, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	keys := []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}
	r := newRecovery(at(-700), began, keys)
	r.session = at(20)
	r.confirmed = at(50) // after the first session
	r.planned(0, false, at(60))
	r.listed(keys[0], at(100))
	r.planned(0, true, at(104))
	for i, key := range keys[1:9] {
		r.listed(key, at(200+10*i))
	}
	r.planned(3, true, at(300))
	r.start = at(312)
	if r.finish(at(400)) {
		t.Fatal("finished before the last worker is settled")
	}
	r.lose(keys[9], at(4250))
	if !r.finish(at(4250)) || r.finish(at(4300)) || r.interrupt(at(4300)) || r.result != recoveryDone {
		t.Errorf("result %q, want it to end once, done", r.result)
	}
	want := map[string]time.Duration{
		waitElection: 700, waitConfirmation: 50, waitSession: 0, waitList: 50, waitPlan: 200, waitCommit: 12, waitMostLists: 170, waitLeases: 3980,
	}
	for name := range want {
		want[name] *= time.Millisecond
	}
	if waits := r.waits(); !maps.Equal(waits, want) || r.reported != 9 || r.lost != 1 {
		t.Errorf("waits %v, want %v; %d reported, %d lost, want 9 and 1", waits, want, r.reported, r.lost)
	}
}

// Guards against a recovery that lasts for ever, or ends before a worker could start
// anything, and against an election that is counted from an outage that another leader
// ended.
func TestEndOfARecovery(t *testing.T) {
	began := time.Unix(100, 0)
	r := newRecovery(time.Time{}, began, nil)
	r.planned(0, false, began)
	if r.finish(began.Add(time.Second)) {
		t.Error("finished before a worker was open")
	}
	r.planned(0, true, began)
	if !r.finish(began.Add(time.Second)) || r.result != recoveryDone {
		t.Errorf("result %q with nothing to start, want done", r.result)
	}
	r = newRecovery(time.Time{}, began, []string{"silent"})
	if r.finish(began.Add(maxRecovery-1)) || !r.finish(began.Add(maxRecovery)) || r.result != recoveryTimedOut {
		t.Errorf("result %q with a silent worker, want a time-out", r.result)
	}
	var w leaderWatch
	for i, leader := range []uint64{0, 2, 0, 0, 1} {
		w.observe(1, leader, began.Add(time.Duration(i)))
	}
	if w.since != began.Add(2) {
		t.Errorf("without a leader since %v, want %v", w.since, began.Add(2))
	}
}

// Guards against a leadership that records no recovery, or does not say that the next
// change of leader interrupted it.
func TestEachLeadershipRecordsItsRecovery(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.connect("b")
		a.listed = []*api.RunStatus{}
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 2, MilliCpu: 3000, LongRunning: true}}}, accepted)
		r.wait(100 * time.Millisecond)
		next := func(term uint64) *leadership {
			r.replica.lead(term-1, false)
			r.wait(300 * time.Millisecond)
			r.replica.lead(term, true)
			r.wait(100 * time.Millisecond)
			lead, err := r.server.currentLeadership()
			if err != nil {
				t.Fatal(err)
			}
			a.reconnect()
			return lead
		}
		second := next(2)
		if w := second.recovery.waits(); second.recovery.reported != 1 || w[waitConfirmation] == 0 || w[waitSession] == 0 {
			t.Errorf("%d workers reported, waits %v; want one, after a confirmation and a session", second.recovery.reported, w)
		}
		third := next(3)
		if second.recovery.result != recoveryInterrupted {
			t.Errorf("result %q after a change of leader, want %q", second.recovery.result, recoveryInterrupted)
		}
		for range 6 {
			r.wait(testLease / 4)
			a.report()
		}
		if third.recovery.result != recoveryDone || third.recovery.lost != 1 {
			t.Errorf("result %q with %d workers lost, want done and one", third.recovery.result, third.recovery.lost)
		}
	})
}

// Load pattern: after a change of leader, all agents report before a quorum has confirmed
// the new leader. Guards against an answer without a lease, after which a worker gets no
// run until its agent's next report, up to 1 s later.
func TestReportBeforeTheFirstConfirmationGetsALease(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.replica.set(func() { r.replica.confirmDelay = 150 * time.Millisecond })
		r.replica.lead(1, false)
		r.wait(100 * time.Millisecond)
		a.drainDirectives()
		r.replica.lead(2, true)
		a.reconnect()
		if _, _, _, lease := a.drainDirectives(); lease != 0 {
			t.Errorf("a lease of %v before the confirmation", lease)
		}
		r.wait(150 * time.Millisecond)
		if _, _, _, lease := a.drainDirectives(); lease != testLease {
			t.Errorf("a lease of %v after the first confirmation, want %v", lease, testLease)
		}
	})
}

// Guards against a lease that is granted after the round that a report caused: the worker
// was left out until the next idle round, up to 250 ms later.
func TestWorkerIsPlannedForAsSoonAsItsLeaseIsGranted(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(time.Second + 10*time.Millisecond) // the next idle round is 240 ms away
		r.replica.set(func() { r.replica.membersDelay = 15 * time.Millisecond })
		a := r.connect("a")
		if starts, _, _, _ := a.drainDirectives(); len(starts) != 1 {
			t.Errorf("%d starts 50 ms after the first report, want 1", len(starts))
		}
	})
}

// Load pattern: the leader's VM is lost, and agents look for its successor while the
// election lasts. Guards against refusals that make agents ask again with increasing
// pauses, so that they miss the end of the election by up to 0.5 s.
func TestSessionWaitsForTheElection(t *testing.T) {
	follow := func(r *rig, leader uint64) {
		r.replica.set(func() { r.replica.status.Leader = leader })
		r.replica.lead(1, false)
		r.wait(time.Millisecond)
	}
	cases := []struct {
		name   string
		leader uint64 // that the replica knows
		lost   string // leader that the agent has lost
		waits  bool
	}{
		{"no leader", 0, "", true},
		{"the lost leader", 2, "10.0.0.2:1", true},
		{"another leader", 2, "10.0.0.3:1", false},
		{"this replica, not ready yet", 1, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				a := r.connect("a")
				for _, elected := range []bool{true, false} {
					follow(r, c.leader)
					a.lost = c.lost
					a.reconnect()
					refused := len(a.stream.ended) > 0
					if refused == c.waits {
						t.Fatalf("refused at once: %v, want %v", refused, !c.waits)
					}
					switch {
					case refused:
					case elected:
						r.replica.lead(2, true)
						r.wait(20 * time.Millisecond)
						if _, _, _, lease := a.drainDirectives(); lease == 0 {
							t.Error("no lease from the replica once it leads")
						}
					default:
						r.wait(maxLeaderWait)
						if len(a.stream.ended) == 0 {
							t.Errorf("not refused after %v", maxLeaderWait)
						}
					}
				}
			})
		})
	}
}

// Load pattern: all control replicas lose power for 7 s. The log's time stands still
// meanwhile. Guards against jobs that count as younger by the length of the outage: those
// whose value was lost went before jobs that could still be in time.
func TestJobsAgeWhileThereIsNoLeader(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		r.mustCall(submit, testPath, oneTask(), accepted)
		submitted := time.Now()
		r.replica.lead(1, false)
		r.wait(7 * time.Second)
		r.replica.lead(2, true)
		r.wait(10 * time.Millisecond)
		lead, err := r.server.currentLeadership()
		if err != nil {
			t.Fatal(err)
		}
		lead.mu.Lock()
		defer lead.mu.Unlock()
		r.state.Read(func(view jobs.View) {
			age := lead.jobAge(view.Job(testJob), time.Now())
			if want := time.Since(submitted); age < want || age > want+50*time.Millisecond {
				t.Errorf("age %v after the outage, want %v", age, want)
			}
		})
	})
}
