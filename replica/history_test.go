package replica

import (
	"context"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"amaranthpaddle/fault"
)

// swapModel is a register whose writes return the value before them.
var swapModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		known := output == nil || output.(uint64) == state.(uint64)
		if in.write {
			return known, in.value
		}
		return known, state
	},
}

// recorder gathers the history of concurrent clients.
type recorder struct {
	mu      sync.Mutex
	history []porcupine.Operation
	start   time.Time
	value   atomic.Uint64
	unknown atomic.Int64 // writes with an unknown outcome
}

func (c *recorder) add(operation porcupine.Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	operation.ClientId = len(c.history)
	c.history = append(c.history, operation)
}

func (c *recorder) now() int64 { return int64(time.Since(c.start)) }

// write makes one write. A write that is answered "not run" must never be seen,
// so it is left out; one with an unknown outcome may be seen at any later time.
func (c *recorder) write(ctx context.Context, r *running) {
	value := c.value.Add(1)
	operation := porcupine.Operation{Input: registerInput{write: true, value: value}, Call: c.now(), Return: math.MaxInt64}
	result, err := r.replica.Propose(ctx, binary.LittleEndian.AppendUint64(nil, value))
	switch {
	case err == nil:
		operation.Return = c.now()
		operation.Output = binary.LittleEndian.Uint64(result[8:])
	case fault.KindOf(err).Answer().Outcome == fault.OutcomeNotRun:
		return
	default:
		c.unknown.Add(1)
	}
	c.add(operation)
}

func (c *recorder) read(ctx context.Context, r *running) {
	operation := porcupine.Operation{Input: registerInput{}, Call: c.now()}
	if _, err := r.replica.ConfirmRead(ctx); err != nil {
		return
	}
	operation.Output = r.machine.last()
	operation.Return = c.now()
	c.add(operation)
}

// waitAcknowledged waits until that many operations had an answer.
func (c *recorder) waitAcknowledged(t *testing.T, count int) {
	t.Helper()
	deadline := time.Now().Add(testWait)
	for c.acknowledged() < count {
		if time.Now().After(deadline) {
			t.Fatalf("%d operations were acknowledged, want %d", c.acknowledged(), count)
		}
		time.Sleep(time.Millisecond)
	}
}

// loseQuorum stops the followers until writes ended with an unknown outcome.
func (c *recorder) loseQuorum(t *testing.T, followers []*host) {
	t.Helper()
	unknown := c.unknown.Load()
	for _, h := range followers {
		h.stop()
	}
	deadline := time.Now().Add(testWait)
	for c.unknown.Load() < unknown+2 {
		if time.Now().After(deadline) {
			t.Fatal("no write ended with an unknown outcome")
		}
		time.Sleep(time.Millisecond)
	}
	for _, h := range followers {
		h.start()
	}
}

func (c *recorder) acknowledged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, operation := range c.history {
		if operation.Return != math.MaxInt64 {
			count++
		}
	}
	return count
}

// run makes calls at all replicas until stop is closed.
func (c *recorder) run(hosts []*host, patience time.Duration, random *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		r := hosts[random.IntN(len(hosts))].running.Load()
		if random.IntN(3) == 0 {
			c.read(ctx, r)
		} else {
			c.write(ctx, r)
		}
		cancel()
		time.Sleep(time.Millisecond)
	}
}

// TestHistoriesOverLeaderChangesAreLinearizable lets clients write and read at
// all replicas while leaders are stopped, restarted and replaced in turn.
func TestHistoriesOverLeaderChangesAreLinearizable(t *testing.T) {
	hosts := startGroup(t, 3, func(c *Config) { c.SnapshotEntries, c.KeepEntries = 100, 20 })
	waitLeader(t, hosts)
	c := &recorder{start: time.Now()}
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range uint64(4) {
		patience := []time.Duration{50 * time.Millisecond, testWait}[i%2]
		done.Go(func() { c.run(hosts, patience, rand.New(rand.NewPCG(i, 1)), stop) })
	}
	for round := range 9 {
		c.waitAcknowledged(t, 40*(round+1))
		leader := waitLeader(t, hosts)
		switch round % 3 {
		case 0:
			leader.stop()
			waitLeader(t, others(hosts, leader))
			leader.start()
		case 1:
			if err := leader.replica.TransferLeadership(testContext(t), 0); err != nil {
				t.Error(err)
			}
		case 2:
			c.loseQuorum(t, others(hosts, leader))
		}
	}
	c.waitAcknowledged(t, 400)
	close(stop)
	done.Wait()
	if result := porcupine.CheckOperationsTimeout(swapModel, c.history, time.Minute); result != porcupine.Ok {
		t.Errorf("history of %d operations: %v", len(c.history), result)
	}
}
