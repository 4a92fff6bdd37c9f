package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// The long load has jobs of which a third have tasks that run for longer than the longest
// lease.

// longPayload begins the payload of a job whose tasks are long.
const longPayload = "long"

const (
	longWorkers               = 9
	shortestTask, longestTask = 8 * time.Second, 15 * time.Second // of a long job
	longJobPause              = 1200                              // ms, the longest one between a caller's jobs
)

// longTask returns how long a run of a long job's task takes, by a number from 0 to 1.
func longTask(spec string, at float64) (time.Duration, bool) {
	return shortestTask + time.Duration(at*float64(longestTask-shortestTask)), strings.HasPrefix(spec, longPayload)
}

// runLong hands in jobs until stop is closed, and looks at them.
func (c *caller) runLong(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+c.random.IntN(longJobPause)) * time.Millisecond):
		}
		c.submitLong()
		c.lookAtOpen(3)
	}
}

func (c *caller) submitLong() {
	id := fmt.Sprintf("%016x", c.random.Uint64())
	spec, estimate := "work of "+id, 500
	group := groupView{count: 1 + c.random.IntN(4), milliCPU: int64(500 + 500*c.random.IntN(2))}
	if c.random.IntN(3) == 0 {
		spec, estimate = longPayload+" "+id, int((shortestTask+longestTask).Milliseconds()/2)
		group = groupView{count: 2 + c.random.IntN(5), milliCPU: 500}
	}
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": []map[string]any{
		{"count": group.count, "cpu": group.milliCPU, "mem_mb": 100, "estimated_ms": estimate},
	}})
	if err != nil {
		panic(err) // maps of plain values can be encoded
	}
	c.handIn(id, spec, []groupView{group}, body)
}
