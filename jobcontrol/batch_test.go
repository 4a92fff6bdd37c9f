package jobcontrol

import (
	"bytes"
	"testing"

	"amaranthpaddle/api"
)

// Guards against a change that makes the batch with all other changes too large for the
// log, such as a configuration with many routes.
func TestLargeChangeIsABatchOfItsOwn(t *testing.T) {
	change := func(size int) *pendingChange {
		return &pendingChange{change: &api.JobChange{Body: &api.JobChange_Configure{
			Configure: &api.JobConfiguration{Document: bytes.Repeat([]byte("x"), size)},
		}}}
	}
	var q changeQueue
	for _, size := range []int{10, 20, 3 * maxBatchBytes, 30, maxBatchBytes / 2, maxBatchBytes / 2, 40} {
		q.add(change(size))
	}
	for i, want := range []int{2, 1, 2, 2} {
		if taken := q.take(maxBatchChanges, maxBatchBytes); len(taken) != want {
			t.Errorf("batch %d has %d changes, want %d", i, len(taken), want)
		}
	}
}
