package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	testID   = "00000000000000aa"
	testSpec = "work"
)

// history is a checker with a job of two groups, which was accepted.
func history() *checker {
	c := newChecker(2)
	c.sent(testID, testSpec, []groupView{{count: 2, milliCPU: 3000}, {count: 1, milliCPU: 1000, dependsOn: []int{0}}})
	c.answered(testID, answer{status: 200})
	return c
}

func task(group, index int) taskName { return taskName{testID, group, index} }

func begin(c *checker, name taskName, worker string) {
	c.started(start{task: name, spec: testSpec, worker: worker, capacity: 8000})
}

func runs(c *checker, name taskName, worker, how string) {
	begin(c, name, worker)
	c.ended(name, worker, how)
	c.recorded(name, how, time.Now())
}

func TestAHistoryThatKeepsAllPromisesPasses(t *testing.T) {
	c := history()
	runs(c, task(0, 0), "w1", "failed")
	runs(c, task(0, 0), "w2", "done")
	runs(c, task(0, 1), "w1", "done")
	runs(c, task(1, 0), "w1", "done")
	c.shown(testID, "completed", false, time.Now())
	c.configured(3)
	c.read(3, c.acknowledged())
	if violations := c.finish(); len(violations) > 0 {
		t.Error(violations)
	}
}

func TestEachBrokenPromiseIsFound(t *testing.T) {
	ended := func(c *checker) { c.shown(testID, "cancelled", false, time.Now()) }
	cases := []struct {
		promise string
		plant   func(c *checker)
	}{
		{promiseOnce, func(c *checker) { begin(c, task(0, 0), "w1"); begin(c, task(0, 0), "w2") }},
		{promiseOnce, func(c *checker) { runs(c, task(0, 0), "w1", "done"); begin(c, task(0, 0), "w2") }},
		{promiseOnce, func(c *checker) {
			begin(c, task(0, 0), "w1")
			c.ended(task(0, 0), "w1", "done")
			at := time.Now()
			begin(c, task(0, 0), "w2")
			c.recorded(task(0, 0), "done", at)
		}},
		{promiseRoom, func(c *checker) {
			c.started(start{task: task(0, 0), spec: testSpec, worker: "w1", capacity: 5000})
			c.started(start{task: task(0, 1), spec: testSpec, worker: "w1", capacity: 5000})
		}},
		{promiseOrder, func(c *checker) { runs(c, task(0, 0), "w1", "done"); begin(c, task(1, 0), "w1") }},
		{promiseAttempts, func(c *checker) {
			for range 3 {
				runs(c, task(0, 0), "w1", "failed")
			}
		}},
		{promiseAsked, func(c *checker) { c.started(start{task: task(0, 0), spec: "other", worker: "w1", capacity: 8000}) }},
		{promiseAsked, func(c *checker) { begin(c, taskName{"00000000000000bb", 0, 0}, "w1") }},
		{promiseAsked, func(c *checker) {
			c.cancelSent(testID)
			c.cancelAcknowledged(testID)
			c.jobs[testID].cancelled = time.Now().Add(-2 * cancelBound)
			begin(c, task(0, 0), "w1")
		}},
		{promiseRefused, func(c *checker) {
			c.sent("00000000000000cc", testSpec, []groupView{{count: 1}})
			c.answered("00000000000000cc", answer{status: 429, retryAfter: "1"})
			begin(c, taskName{"00000000000000cc", 0, 0}, "w1")
		}},
		{promiseRetry, func(c *checker) { c.answered(testID, answer{status: 429}) }},
		{promiseRetry, func(c *checker) { c.answered(testID, answer{status: 503, retryAfter: "0"}) }},
		{promiseWide, func(c *checker) {
			c.jobs[testID].groups[0].milliCPU = wideCPU
			c.jobs[testID].accepted = time.Now().Add(-2 * maxWideWait)
			begin(c, task(0, 0), "w1")
		}},
		{promiseWide, func(c *checker) {
			c.jobs[testID].groups[0].milliCPU = wideCPU
			c.jobs[testID].accepted = time.Now().Add(-2 * maxWideWait)
		}},
		{promiseKept, func(*checker) {}},
		{promiseKept, func(c *checker) {
			c.jobs[testID].accepted = time.Now().Add(-2 * visibleAfter)
			c.shown(testID, "", true, time.Now())
		}},
		{promiseTruthful, func(c *checker) { c.shown(testID, "completed", false, time.Now()) }},
		{promiseTruthful, func(c *checker) { runs(c, task(0, 0), "w1", "failed"); c.shown(testID, "failed", false, time.Now()) }},
		{promiseTruthful, ended},
		{promiseNewest, func(c *checker) { c.configured(3); c.read(2, c.acknowledged()) }},
		{promiseDraining, func(c *checker) {
			c.started(start{task: task(0, 0), spec: testSpec, worker: "w1", capacity: 8000, draining: true})
		}},
		{promiseZones, func(c *checker) {
			c.started(start{task: task(0, 0), spec: testSpec, worker: "w1", capacity: 8000, zoneOut: true})
		}},
		{promiseCrashes, func(c *checker) {
			c.jobs[testID].spec = crashingPayload
			for i := range 6 {
				worker := fmt.Sprint("w", i)
				c.started(start{task: task(0, 0), spec: crashingPayload, worker: worker, capacity: 8000})
				c.workerGone(worker, true)
			}
		}},
		{promiseTruthful, func(c *checker) {
			begin(c, task(0, 0), "w1")
			c.workerGone("w1", true)
			begin(c, task(0, 0), "w2")
			c.workerGone("w2", false)
			c.shown(testID, "failed", false, time.Now())
		}},
		{promiseProcesses, func(c *checker) { c.endedByItself("agent-0") }},
	}
	for _, c := range cases {
		check := history()
		c.plant(check)
		violations := check.finish()
		found := false
		for _, violation := range violations {
			found = found || strings.HasPrefix(violation, c.promise+":")
		}
		if !found {
			t.Errorf("%s: not found among %q", c.promise, violations)
		}
	}
}
