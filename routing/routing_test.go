package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/request"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func newBackends(n int) []*Backend {
	var backends []*Backend
	for i := range n {
		backends = append(backends, &Backend{ID: fmt.Sprint(i), Slots: 8})
	}
	return backends
}

func TestPickSkipsTriedAndLimitsAvoided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 11).Draw(t, "backends")
		backends := newBackends(n)
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		now := start
		for range rapid.IntRange(0, 200).Draw(t, "results") {
			i := rapid.IntRange(0, n-1).Draw(t, "backend")
			backends[i].ObserveResult(now, i%3 == 0)
			now = now.Add(time.Millisecond)
		}
		tried := make(map[string]bool)
		for range n {
			b := Pick(now, random, backends, PickInfo{Tried: tried})
			if b == nil || tried[b.ID] {
				t.Fatalf("picked %v, already tried %v", b, tried)
			}
			tried[b.ID] = true
		}
		if b := Pick(now, random, backends, PickInfo{Tried: tried}); b != nil {
			t.Fatalf("picked %s although all were tried", b.ID)
		}
		avoided := 0
		for _, b := range backends {
			if b.Avoided() {
				avoided++
			}
		}
		if avoided > n/avoidedDivisor {
			t.Fatalf("%d of %d backend servers are avoided", avoided, n)
		}
	})
}

func TestFailingBackendIsAvoidedAndProbedUntilItRecovers(t *testing.T) {
	backends := newBackends(6)
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	healthy := false
	callsToFirst := func(calls int) (count int) {
		for range calls {
			b := Pick(now, random, backends, PickInfo{Probe: true})
			if b == backends[0] {
				count++
			}
			b.ObserveResult(now, b == backends[0] && !healthy)
			now = now.Add(10 * time.Millisecond)
		}
		return count
	}
	callsToFirst(200)
	if !backends[0].Avoided() {
		t.Fatal("the failing backend server is not avoided")
	}
	if count := callsToFirst(1000); count > 10 {
		t.Errorf("%d of 1000 calls in 10 s went to the failing backend server", count)
	}
	healthy = true
	now = now.Add(maxProbeBackoff)
	if callsToFirst(100); backends[0].Avoided() {
		t.Error("the backend server is still avoided after it recovered")
	}
}

func TestBackendsAreNotAvoidedWhenAllFail(t *testing.T) {
	backends := newBackends(6)
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		Pick(start, random, backends, PickInfo{}).ObserveResult(start, true)
	}
	for _, b := range backends {
		if b.Avoided() {
			t.Errorf("backend server %s is avoided although all fail", b.ID)
		}
	}
}

func TestSlowBackendIsPickedOnlyWhenFasterIsFull(t *testing.T) {
	backends := newBackends(2)
	for range 50 {
		backends[0].ObserveLatency(start, 500*time.Millisecond)
		backends[1].ObserveLatency(start, 100*time.Millisecond)
	}
	random := rand.New(rand.NewPCG(1, 2))
	if b := Pick(start, random, backends, PickInfo{}); b != backends[1] {
		t.Error("the slower backend server was picked while both are idle")
	}
	for range 16 {
		backends[1].Begin()
	}
	if b := Pick(start, random, backends, PickInfo{}); b != backends[0] {
		t.Error("the slower backend server was not picked while the faster one is full")
	}
}

func TestIdleSlowerBackendIsPickedOverLoadedFaster(t *testing.T) {
	backends := newBackends(2)
	backends[0].ObserveLatency(start, 150*time.Millisecond)
	backends[1].ObserveLatency(start, 100*time.Millisecond)
	for range 15 {
		backends[1].Begin()
	}
	if b := Pick(start, rand.New(rand.NewPCG(1, 2)), backends, PickInfo{}); b != backends[0] {
		t.Error("the faster backend server was picked although its load makes its expected latency higher")
	}
}

func TestStandingStreamsAreSpreadEvenly(t *testing.T) {
	backends := newBackends(4)
	random := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		Pick(start, random, backends, PickInfo{Standing: true}).BeginStanding()
	}
	for _, b := range backends {
		if b.standingStreams < 90 || b.standingStreams > 110 {
			t.Errorf("backend server %s has %d of 400 standing streams, want 90 to 110", b.ID, b.standingStreams)
		}
	}
}

func TestBudgetLimitsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(0.2, 5)
		first, extra := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "first") {
				b.ObserveFirst()
				first++
			} else if b.Take() {
				extra++
			}
			if float64(extra) > 0.2*float64(first)+5+1e-9 {
				t.Fatalf("%d extra attempts after %d first attempts", extra, first)
			}
		}
	})
}

func TestBucketLimitsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 1000, 100
		b := NewBucket(rate, burst)
		now, spent, largest := start, 0, 0
		for range rapid.IntRange(1, 100).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause ms")) * time.Millisecond)
			now = now.Add(b.Wait(now))
			size := rapid.IntRange(1, 500).Draw(t, "size")
			b.Spend(now, size)
			spent += size
			largest = max(largest, size)
			if allowed := now.Sub(start).Seconds()*rate + burst + float64(largest) + 1; float64(spent) > allowed {
				t.Fatalf("%d bytes after %v exceed the rate", spent, now.Sub(start))
			}
		}
	})
}

func TestLimitStaysBetweenOneAndCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimit(20)
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				l.ObserveOverload()
			case 1:
				l.ObserveAnswer(l.Current())
			default:
				l.SetCeiling(rapid.IntRange(0, 40).Draw(t, "ceiling"))
			}
			if c := l.Current(); l.current < 1 || float64(c) > l.ceiling {
				t.Fatalf("limit %d with ceiling %v", c, l.ceiling)
			}
		}
	})
}

func TestClassQueueServesInteractiveFirstAndShedsBatchFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q ClassQueue[int]
		waiting := make(map[int]request.Class)
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.Len() > 4 {
					t.Fatalf("queue length %d, want %d", q.Len(), len(waiting))
				}
			},
			"push": func(t *rapid.T) {
				next++
				class := request.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				displaced, pushed := q.Push(class, next, 4)
				if displaced != 0 {
					if class != request.Interactive || waiting[displaced] != request.Batch {
						t.Fatalf("class %v displaced class %v", class, waiting[displaced])
					}
					delete(waiting, displaced)
				}
				if pushed {
					waiting[next] = class
				}
			},
			"pop": func(t *rapid.T) {
				item, ok := q.Pop()
				if ok != (len(waiting) > 0) {
					t.Fatalf("pop: %v with %d waiting", ok, len(waiting))
				}
				if waiting[item] == request.Batch {
					for other, class := range waiting {
						if class == request.Interactive {
							t.Fatalf("batch %d went before interactive %d", item, other)
						}
					}
				}
				delete(waiting, item)
			},
		})
	})
}
