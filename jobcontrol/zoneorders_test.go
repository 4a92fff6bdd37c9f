package jobcontrol

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

const orderedZone = "z"

// operate commits an order on the zone whose reader had applied the log up to an index.
func (r *rig) operate(ctx context.Context, out bool, seen uint64) error {
	_, err := r.server.operate(ctx, &api.OperatorOrder{
		Body: &api.OperatorOrder_Zone{Zone: &api.ZoneOrder{Zone: orderedZone, Out: out}}, SeenIndex: seen,
	})
	return err
}

func (r *rig) zoneOut() (out bool) {
	r.state.Read(func(view jobs.View) { out = view.ZoneOut(orderedZone) })
	return out
}

// inPausableBubble is inBubble with a function that pauses the server's process.
func inPausableBubble(t *testing.T, test func(r *rig, pause func(time.Duration))) {
	inBubble(t, func(r *rig) {
		var paused atomic.Int64 // nanoseconds so far
		r.server.Stop()
		r.server = New(Config{
			Replica: r.replica, State: r.state, Lease: testLease, UnixTime: time.Now, Policy: dispatch.Policy{},
			Clock: func() time.Time { return time.Now().Add(time.Duration(paused.Load())) },
		})
		r.server.Start()
		r.wait(100 * time.Millisecond)
		test(r, func(d time.Duration) { paused.Add(int64(d)) })
	})
}

// Guards against the review's sixth case: a VM that was frozen for 7 s finds an order in
// its sockets whose sender has evacuated the zone again through another VM.
func TestOrdersFoundAfterAPauseAreRefused(t *testing.T) {
	inPausableBubble(t, func(r *rig, pause func(time.Duration)) {
		operators := Operators{Server: r.server}
		if err := operators.SetZone(context.Background(), orderedZone, true); err != nil {
			t.Fatal(err)
		}
		pause(7 * time.Second)
		for range 3 {
			if err := operators.SetZone(context.Background(), orderedZone, false); !fault.Is(err, fault.Stale) {
				t.Errorf("error %v right after a pause, want kind stale", err)
			}
			r.wait(200 * time.Millisecond)
		}
		if !r.zoneOut() {
			t.Error("the zone is back in service")
		}
		r.wait(time.Second)
		if err := operators.SetZone(context.Background(), orderedZone, false); err != nil || r.zoneOut() {
			t.Errorf("error %v, zone out: %v, later", err, r.zoneOut())
		}
	})
}

// Guards against orders that a frozen VM had read before, and forwards once it runs again.
func TestOrderIsRefusedOnceANewerOneHasUndoneIt(t *testing.T) {
	for name, between := range map[string]func(r *rig){
		"same leader": func(*rig) {},
		"later leader": func(r *rig) {
			r.replica.lead(1, false)
			r.wait(time.Millisecond)
			r.replica.lead(2, true)
			r.wait(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				for _, out := range []bool{true, false, true} {
					if err := (Operators{Server: r.server}).SetZone(context.Background(), orderedZone, out); err != nil {
						t.Fatal(err)
					}
				}
				between(r)
				if err := r.operate(context.Background(), false, 1); !fault.Is(err, fault.Stale) || !r.zoneOut() {
					t.Errorf("error %v, zone out: %v; want kind stale and no change", err, r.zoneOut())
				}
			})
		})
	}
}

// Guards against an order that is proposed after a newer one whose commit is not known yet.
func TestOrderIsRefusedWhileANewerOneIsOutstanding(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		r.replica.set(func() { r.replica.commitDelay = 100 * time.Millisecond })
		go func() { _ = r.operate(context.Background(), true, r.server.appliedIndex()) }()
		r.wait(50 * time.Millisecond)
		if err := r.operate(context.Background(), false, r.server.appliedIndex()); !fault.Is(err, fault.Stale) {
			t.Errorf("error %v, want kind stale", err)
		}
	})
}

// Guards against an operator who is refused for ever: the VM that is called lags behind an
// order that another one has acknowledged.
func TestOrderThroughALaggingReplicaIsCarriedOut(t *testing.T) {
	inBubble(t, func(r *rig) {
		if err := r.operate(context.Background(), true, 0); err != nil {
			t.Fatal(err)
		}
		order := &api.OperatorOrder{Body: &api.OperatorOrder_Zone{Zone: &api.ZoneOrder{Zone: orderedZone}}, SeenIndex: 0}
		stale := fault.New(fault.Stale, "the replica lagged")
		left, leave := context.WithCancel(context.Background())
		leave()
		operators := Operators{Server: r.server}
		if err := operators.sendConfirmed(left, order, time.Now(), stale); err != stale {
			t.Errorf("error %v for a caller that has left, want the refusal", err)
		}
		if err := operators.sendConfirmed(context.Background(), order, time.Now(), stale); err != nil || r.zoneOut() {
			t.Errorf("error %v, zone out: %v", err, r.zoneOut())
		}
	})
}

// orderStep is one order of an operator, who sends it until it is acknowledged, and what
// happens meanwhile.
type orderStep struct {
	out      bool
	frozen   bool // the VM that is called first freezes once it has read the order
	lost     bool // the first acknowledgement is lost
	slow     bool // commits take longer than the leader waits for them
	election bool
	released int           // number of frozen VMs that run again
	after    time.Duration // until they run again, from when the order is sent
}

func drawOrderStep(t *rapid.T) orderStep {
	flag := func(name string) bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }
	return orderStep{
		out: rapid.Bool().Draw(t, "out"), frozen: rapid.Bool().Draw(t, "frozen"), lost: flag("lost"), slow: flag("slow"),
		election: flag("election"), released: rapid.IntRange(0, 2).Draw(t, "released"),
		after: time.Duration(rapid.IntRange(0, 30).Draw(t, "after")) * time.Millisecond,
	}
}

// Property: whichever orders a frozen VM holds back, whichever answers are lost and whenever
// the leader changes, the latest acknowledged order stays in force.
func TestLatestAcknowledgedOrderStaysInForce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawOrderStep), 2, 12).Draw(rt, "steps")
		undone := -1
		inBubble(t, func(r *rig) {
			r.configure()
			var held []func()
			for i, step := range steps {
				if held = r.playOrder(step, held); r.zoneOut() != step.out {
					undone = i
					return
				}
			}
		})
		if undone >= 0 {
			rt.Fatalf("order %d was undone", undone)
		}
	})
}

// playOrder sends an order until it is acknowledged, and returns the orders that frozen VMs
// hold back, given those before it.
func (r *rig) playOrder(step orderStep, held []func()) []func() {
	if step.frozen {
		seen := r.server.appliedIndex()
		held = append(held, func() { _ = r.operate(context.Background(), step.out, seen) })
	}
	if step.slow {
		r.replica.set(func() { r.replica.commitDelay = commitTimeout + time.Second })
		time.AfterFunc(10*time.Second, func() { r.replica.set(func() { r.replica.commitDelay = commitDelay }) })
	}
	if step.election {
		r.replica.lead(r.replica.Status().Term, false)
		time.AfterFunc(50*time.Millisecond, func() { r.replica.lead(r.replica.Status().Term+1, true) })
	}
	released := min(step.released, len(held))
	for _, send := range held[:released] {
		time.AfterFunc(step.after, send)
	}
	for acknowledgements := 0; acknowledgements < 2; {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if r.operate(ctx, step.out, r.server.appliedIndex()) == nil {
			acknowledgements++
			if !step.lost {
				acknowledgements = 2
			}
		}
		cancel()
		r.wait(20 * time.Millisecond)
	}
	if step.slow {
		r.wait(20 * time.Second)
	}
	r.wait(time.Second)
	return held[released:]
}
