package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The promises that are checked.
const (
	promiseOnce      = "a task runs once at a time, and not again once its end was recorded"
	promiseRoom      = "a worker is not given more than its capacity"
	promiseOrder     = "a group starts after those that it depends on"
	promiseAttempts  = "a task is not tried more often than its queue allows"
	promiseAsked     = "only what callers handed in and did not cancel is started, as they described it"
	promiseRefused   = "what was refused never runs"
	promiseRetry     = "a refusal tells when to try again"
	promiseMoves     = "a job with nothing running does not stand still while there is room"
	promiseWide      = "a wide job waits for a bounded time"
	promiseKept      = "what was accepted is known and comes to its end"
	promiseTruthful  = "a state that is shown is true"
	promiseNewest    = "a configuration that is read is not older than the newest acknowledged one"
	promiseDraining  = "a worker that drains is not given work"
	promiseZones     = "a zone that is out of service is not given work"
	promiseCrashes   = "a task that crashes its workers is started at most twice more after three crashes"
	promiseProcesses = "no process ends by itself"
)

// jobView is what is known of one job from outside.
type jobView struct {
	spec      string
	groups    []groupView
	attempts  int // sendings
	refused   int // of them
	accepted  time.Time
	cancelled time.Time // when the cancellation was acknowledged
	cancelAsk bool
	started   bool
	state     string // latest that was shown
	asked     time.Time
}

// groupView is one group of a job.
type groupView struct {
	count      int
	milliCPU   int64
	memoryMB   int64
	bestEffort bool // its CPU does not count against the capacity of workers
	lasting    bool
	dependsOn  []int
}

// countedCPU returns the CPU of a task that counts against the capacity of its worker.
func (g groupView) countedCPU() int64 {
	if g.bestEffort {
		return 0
	}
	return g.milliCPU
}

// taskName names a task as workers do.
type taskName struct {
	job   string
	group int
	index int
}

func (t taskName) String() string { return fmt.Sprintf("%s.0.%d.%d", t.job, t.group, t.index) }

// taskView is what is known of one task.
type taskView struct {
	live         map[string]bool // incarnations of workers on which it runs
	done         bool
	doneAt       time.Time
	doneRecorded bool
	lastStart    time.Time
	failures     int // recorded ones
	failed       int // all
	crashes      int // workers that crashed under it
	afterCrashes int // timely starts after three of them
}

// checker collects what is seen from outside and finds broken promises.
type checker struct {
	mu         sync.Mutex
	jobs       map[string]*jobView
	tasks      map[taskName]*taskView
	used       map[string]int64 // milli-cores by incarnation
	refusals   map[int]int      // refused submissions by status
	attempts   int              // that the queue allows
	newest     int64            // acknowledged configuration
	violations []string
	starts     int
	wideStarts int
	widestWait time.Duration // longest wait of a wide job that has started
}

func newChecker(attempts int) *checker {
	return &checker{jobs: map[string]*jobView{}, tasks: map[taskName]*taskView{}, used: map[string]int64{}, refusals: map[int]int{}, attempts: attempts}
}

func (c *checker) broken(promise, format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s: %s: %s", promise, time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, values...)))
}

func (c *checker) task(name taskName) *taskView {
	t := c.tasks[name]
	if t == nil {
		t = &taskView{live: map[string]bool{}}
		c.tasks[name] = t
	}
	return t
}

// sent takes in that a job is handed in, again for a resend.
func (c *checker) sent(id, spec string, groups []groupView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil {
		job = &jobView{spec: spec, groups: groups}
		c.jobs[id] = job
	}
	job.attempts++
}

// answered takes in the answer to a submission.
func (c *checker) answered(id string, got answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	switch {
	case got.status/100 == 2 && job.accepted.IsZero():
		job.accepted = time.Now()
	case got.refused():
		if seconds, err := strconv.Atoi(got.retryAfter); err != nil || seconds < 1 {
			c.broken(promiseRetry, "job %s is refused with %d and Retry-After %q: %s", id, got.status, got.retryAfter, got.body)
		}
		c.refusals[got.status]++
		job.refused++
	case got.status == 404:
		job.refused++
	}
}

// maxWideWait is how long an accepted wide job may wait for its first start.
const maxWideWait = 30 * time.Second

// wide reports whether the job needs most of a worker for its first group.
func (j *jobView) wide() bool { return j.groups[0].memoryMB == 0 && j.groups[0].milliCPU >= wideCPU }

// checkWait takes in that a wide job has waited until now for its first start. A
// start may come before the answer to its submission.
func (c *checker) checkWait(id string, job *jobView) {
	if job.accepted.IsZero() || !job.wide() {
		return
	}
	wait := time.Since(job.accepted)
	c.widestWait = max(c.widestWait, wait)
	if wait > maxWideWait {
		c.broken(promiseWide, "job %s has waited for %v", id, wait)
	}
}

func (c *checker) cancelSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelAsk = true
}

func (c *checker) cancelAcknowledged(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelled = time.Now()
}

// shown takes in a state that was asked for at a time; gone means that the
// answer was that there is no such job.
func (c *checker) shown(id, state string, gone bool, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if gone {
		if !job.accepted.IsZero() && asked.Sub(job.accepted) > visibleAfter && !job.cancelAsk {
			c.broken(promiseKept, "job %s is not known %v after it was accepted", id, asked.Sub(job.accepted))
		}
		return
	}
	job.state, job.asked = state, asked
	switch state {
	case "completed":
		for g, group := range job.groups {
			for i := range group.count {
				if !c.task(taskName{id, g, i}).done {
					c.broken(promiseTruthful, "job %s is shown as completed, task %d.%d is not done", id, g, i)
					return
				}
			}
		}
	case "failed":
		if !c.anyExhausted(id, job) {
			c.broken(promiseTruthful, "job %s is shown as failed, no task has failed %d times or crashed two workers", id, c.attempts)
		}
	case "cancelled":
		if !job.cancelAsk {
			c.broken(promiseTruthful, "job %s is shown as cancelled, nobody asked for it", id)
		}
	}
}

// visibleAfter the acknowledgement a job is known at each entry.
const visibleAfter = 3 * time.Second

func (c *checker) anyExhausted(id string, job *jobView) bool {
	for g, group := range job.groups {
		for i := range group.count {
			if task := c.task(taskName{id, g, i}); task.failed >= c.attempts || task.crashes >= 2 {
				return true
			}
		}
	}
	return false
}

// start is a task that a worker has begun.
type start struct {
	task     taskName
	spec     string
	worker   string // incarnation
	capacity int64
	late     bool // the worker has carried the order out late, or its agent was disturbed
	draining bool // the worker's draining was acknowledged well before
	zoneOut  bool // its zone was taken out of service well before
}

func (c *checker) started(s start) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, task := c.jobs[s.task.job], c.task(s.task)
	if job == nil || s.task.group >= len(job.groups) || s.task.index >= job.groups[s.task.group].count || job.spec != s.spec {
		c.broken(promiseAsked, "task %v on %s with payload %q was not handed in", s.task, s.worker, s.spec)
		return
	}
	if !job.started {
		job.started = true
		if job.wide() {
			c.wideStarts++
		}
		c.checkWait(s.task.job, job)
	}
	c.checkOnce(s, task)
	c.checkJob(s, job, task)
	c.used[s.worker] += job.groups[s.task.group].countedCPU()
	if c.used[s.worker] > s.capacity {
		c.broken(promiseRoom, "task %v brings %s to %d of %d milli-cores", s.task, s.worker, c.used[s.worker], s.capacity)
	}
	task.live[s.worker] = true
	task.lastStart = time.Now()
	if s.draining && !s.late {
		c.broken(promiseDraining, "task %v began on %s", s.task, s.worker)
	}
	if s.zoneOut && !s.late {
		c.broken(promiseZones, "task %v began on %s", s.task, s.worker)
	}
}

func (c *checker) checkOnce(s start, task *taskView) {
	for other := range task.live {
		c.broken(promiseOnce, "task %v runs on %s and begins on %s", s.task, other, s.worker)
	}
	if task.doneRecorded {
		c.broken(promiseOnce, "task %v begins on %s after its end was recorded", s.task, s.worker)
	}
}

func (c *checker) checkJob(s start, job *jobView, task *taskView) {
	for _, earlier := range job.groups[s.task.group].dependsOn {
		for i := range job.groups[earlier].count {
			if !c.task(taskName{s.task.job, earlier, i}).done {
				c.broken(promiseOrder, "task %v began before %d.%d was done", s.task, earlier, i)
				return
			}
		}
	}
	if task.failures >= c.attempts && !job.groups[s.task.group].lasting {
		c.broken(promiseAttempts, "task %v begins after %d failures", s.task, task.failures)
	}
	if task.crashes >= 3 && crashes(s.spec, s.task) && !s.late {
		task.afterCrashes++
	}
	if task.afterCrashes >= 3 {
		c.broken(promiseCrashes, "task %v begins after %d crashes, %d times after three", s.task, task.crashes, task.afterCrashes)
	}
	if !job.cancelled.IsZero() && time.Since(job.cancelled) > cancelBound && !s.late {
		c.broken(promiseAsked, "task %v begins %v after its cancellation was acknowledged", s.task, time.Since(job.cancelled))
	}
}

// cancelBound is how long after an acknowledged cancellation orders may still
// be on their way.
const cancelBound = 3 * time.Second

// ended takes in the end of a run on a worker.
func (c *checker) ended(name taskName, worker, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	task := c.task(name)
	delete(task.live, worker)
	if job := c.jobs[name.job]; job != nil && name.group < len(job.groups) {
		c.used[worker] -= job.groups[name.group].countedCPU()
	}
	switch how {
	case "done":
		task.done, task.doneAt = true, time.Now()
	case "failed":
		task.failed++
	}
}

// recorded takes in that a worker was told that an end is recorded.
func (c *checker) recorded(name taskName, how string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	task := c.task(name)
	switch how {
	case "done":
		task.doneRecorded = true
		if task.lastStart.After(at) {
			c.broken(promiseOnce, "task %v began again before the end that was recorded", name)
		}
	case "failed":
		task.failures++
	}
}

// workerGone takes in that all that ran on an incarnation has ended, by a crash unless
// the worker had announced its end.
func (c *checker) workerGone(worker string, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range c.tasks {
		if crashed && task.live[worker] {
			task.crashes++
		}
		delete(task.live, worker)
	}
	c.used[worker] = 0
}

func (c *checker) configured(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest = max(c.newest, version)
}

func (c *checker) acknowledged() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// read takes in a version that was read when another was the newest acknowledged one.
func (c *checker) read(version, newest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < newest {
		c.broken(promiseNewest, "version %d was read, %d was acknowledged before", version, newest)
	}
}

func (c *checker) endedByItself(process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken(promiseProcesses, "%s", process)
}

// unfinished returns the accepted jobs that were not seen in a final state, without services.
func (c *checker) unfinished() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []string
	for id, job := range c.jobs {
		if !job.accepted.IsZero() && !job.groups[0].lasting && !slices.Contains([]string{"completed", "failed", "cancelled"}, job.state) {
			open = append(open, id)
		}
	}
	slices.Sort(open)
	return open
}

// finish checks what only shows at the end and returns all violations.
func (c *checker) finish() []string {
	for _, id := range c.unfinished() {
		c.mu.Lock()
		c.broken(promiseKept, "job %s did not come to its end, its state was %q", id, c.jobs[id].state)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, job := range c.jobs {
		if !job.started && !job.cancelAsk {
			c.checkWait(id, job)
		}
		if job.started && job.refused == job.attempts {
			c.broken(promiseRefused, "job %s runs, and each of its %d sendings was refused", id, job.attempts)
		}
	}
	return c.violations
}

func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := map[string]int{}
	for _, job := range c.jobs {
		states[job.state]++
	}
	return strings.TrimSpace(fmt.Sprintf("%d jobs %v, refusals %v, %d starts, %d wide jobs started after at most %v, configuration %d",
		len(c.jobs), states, c.refusals, c.starts, c.wideStarts, c.widestWait.Round(time.Millisecond), c.newest))
}
