package delivery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/fault"
	"amaranthpaddle/request"
)

func TestLimiterStaysWithinSlotsAndConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLimiter(4, 10)
		running, standing := 0, 0
		canceled, cancel := context.WithCancel(context.Background())
		cancel() // a waiter gives up at once
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				load := l.load()
				if running > 4 || running+standing > 10 || standing > 6 || l.waiters.Len() != 0 {
					t.Fatalf("%d running, %d standing, %d waiting", running, standing, l.waiters.Len())
				}
				if int(load.Running) != running || int(load.Standing) != standing {
					t.Fatalf("load %v with %d running and %d standing", load, running, standing)
				}
			},
			"acquire": func(t *rapid.T) {
				err := l.acquire(canceled, request.Interactive, time.Second)
				if (err == nil) != (running < 4) {
					t.Fatalf("%d running: %v", running, err)
				}
				if err == nil {
					running++
				}
			},
			"release": func(t *rapid.T) {
				if running == 0 {
					t.Skip("nothing runs")
				}
				l.release()
				running--
			},
			"acquire standing": func(t *rapid.T) {
				if l.acquireStanding() == nil {
					standing++
				}
			},
			"convert": func(t *rapid.T) {
				if running == 0 {
					t.Skip("nothing runs")
				}
				if l.convertToStanding() {
					running--
					standing++
				}
			},
			"release standing": func(t *rapid.T) {
				if standing == 0 {
					t.Skip("no standing stream")
				}
				l.releaseStanding()
				standing--
			},
		})
	})
}

func TestInteractiveCallersGoBeforeBatchAndDisplaceThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1, 4)
		if err := l.acquire(t.Context(), request.Batch, time.Second); err != nil {
			t.Fatal(err)
		}
		batch := make(chan error, 1)
		go func() { batch <- l.acquire(t.Context(), request.Batch, time.Second) }()
		synctest.Wait()
		interactive := make(chan error, 1)
		go func() { interactive <- l.acquire(t.Context(), request.Interactive, time.Second) }()
		if err := <-batch; !fault.Is(err, fault.Overloaded) {
			t.Errorf("the waiting batch caller got %v", err)
		}
		l.release()
		if err := <-interactive; err != nil {
			t.Errorf("the interactive caller got %v", err)
		}
	})
}

func TestSlotWaitTimesOutAndLeaksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1, 4)
		if err := l.acquire(t.Context(), request.Interactive, time.Second); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := l.acquire(t.Context(), request.Interactive, time.Second); !fault.Is(err, fault.Overloaded) {
			t.Errorf("got %v", err)
		}
		if waited := time.Since(began); waited != time.Second {
			t.Errorf("waited %v", waited)
		}
		l.release()
		if load := l.load(); load.Running != 0 || load.Waiting != 0 {
			t.Errorf("load after the last release: %v", load)
		}
	})
}

func TestDrainingRefusesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1, 4)
		if err := l.acquire(t.Context(), request.Interactive, time.Second); err != nil {
			t.Fatal(err)
		}
		waiting := make(chan error, 1)
		go func() { waiting <- l.acquire(t.Context(), request.Interactive, time.Minute) }()
		synctest.Wait()
		l.setDraining(true)
		if err := <-waiting; !fault.Is(err, fault.Draining) {
			t.Errorf("got %v", err)
		}
		if err := l.acquireStanding(); !fault.Is(err, fault.Draining) {
			t.Errorf("a standing stream got %v", err)
		}
	})
}

func TestSlotGrantedToACanceledWaiterIsNotLost(t *testing.T) {
	for range 50 { // the waiter may see the grant before or after it gives up
		synctest.Test(t, func(t *testing.T) {
			l := newLimiter(1, 4)
			if err := l.acquire(t.Context(), request.Interactive, time.Second); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			waiting := make(chan error, 1)
			go func() { waiting <- l.acquire(ctx, request.Interactive, time.Second) }()
			synctest.Wait()
			cancel()
			l.release()
			if <-waiting == nil {
				l.release()
			}
			if load := l.load(); load.Running != 0 {
				t.Fatalf("a slot was lost: %v", load)
			}
		})
	}
}
