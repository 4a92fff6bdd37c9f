package main

import (
	"testing"
)

// standIn is a worker in its first incarnation whose heartbeats reach nobody.
func standIn(t *testing.T, check *checker) *worker {
	w := &worker{
		id: "w", milliCPU: workerCapacity, check: check, note: t.Logf,
		order: func() bool { return true }, out: func() bool { return false },
	}
	if err := w.begin(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.crash(false) })
	return w
}

// order lets the worker carry out the start of a run that the incarnation that began at
// born took, and returns the status.
func order(w *worker, born int64, name taskName, fence uint64) int {
	status, _ := w.startRun(&call{Task: name.String(), RunID: 1, Spec: testSpec, DeadlineMS: 900_000, Fence: fence, born: born})
	return status
}

// Guards against a stand-in that is kinder than a worker: a start that is still under way
// when its worker restarts is carried out by the next incarnation, which has the same id
// and address, and is lost only while the worker is down.
func TestAHeldStartIsCarriedOutByTheNextIncarnation(t *testing.T) {
	check := history()
	w := standIn(t, check)
	address, first := w.address, w.born
	w.crash(false)
	if status := order(w, first, task(0, 0), 7); status != 409 {
		t.Errorf("a worker that is down answers a start with %d", status)
	}
	w.restart(0, false)
	if w.address != address {
		t.Errorf("the worker moves from %s to %s", address, w.address)
	}
	if status := order(w, first, task(0, 0), 7); status != 200 {
		t.Errorf("the next incarnation answers the start with %d", status)
	}
	check.mu.Lock()
	defer check.mu.Unlock()
	if live := check.task(task(0, 0)).live; len(live) != 1 || !live[w.incarnation()] {
		t.Errorf("the task runs on %v", live)
	}
}

// Guards against fencing tokens that outlive a crash, or that do not hold within an incarnation.
func TestANewIncarnationHasSeenNoFencingToken(t *testing.T) {
	w := standIn(t, history())
	if status := order(w, w.born, task(0, 0), 7); status != 200 {
		t.Fatalf("the first start is answered with %d", status)
	}
	if status := order(w, w.born, task(0, 1), 6); status != 409 {
		t.Errorf("a start with a lower fencing token is answered with %d", status)
	}
	w.restart(0, false)
	if status := order(w, w.born, task(0, 1), 6); status != 200 {
		t.Errorf("the first start after a crash is answered with %d", status)
	}
}

// Guards against a crash that is not counted: a worker that crashes while it drains has
// announced nothing in its next incarnation, which the fault then ends.
func TestAnEndThatWasNotAnnouncedIsACrash(t *testing.T) {
	check := history()
	w := standIn(t, check)
	w.set(func() { w.drains = true })
	w.restart(0, false)
	if status := order(w, w.born, task(0, 0), 7); status != 200 {
		t.Fatalf("the start is answered with %d", status)
	}
	w.restart(0, true)
	check.mu.Lock()
	defer check.mu.Unlock()
	if crashes := check.task(task(0, 0)).crashes; crashes != 1 {
		t.Errorf("%d crashes of the task's worker", crashes)
	}
}
