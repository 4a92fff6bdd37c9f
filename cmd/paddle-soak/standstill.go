package main

import (
	"slices"
	"time"
)

// maxStandstill is how long a job may have nothing running while the turn of one of its
// tasks has come, workers have room for that task twice over, and less than half of the
// fleet's CPU is in use.
const maxStandstill = 3 * time.Second

// serviceRestart is the time after the last run of a service's task from which it is held
// to the same bound, whether other tasks of its job run or not.
const serviceRestart = 6 * time.Second

// calmBefore is the time without faults before a standstill that counts.
const calmBefore = 4 * time.Second

// watchInterval is the time between looks at all jobs.
const watchInterval = 100 * time.Millisecond

// workerRoom is what a worker has free, and how much of its CPU is in use.
type workerRoom struct {
	freeMilliCPU, freeMemoryMB int64 // by what its runs demand
	coresUsed, cores           float64
	paused                     []taskName // of runs at a pace of 0, which do not work
}

// room returns the worker's room, false while it takes no tasks.
func (w *worker) room() (workerRoom, bool) {
	out := w.out()
	w.mu.Lock()
	defer w.mu.Unlock()
	r := workerRoom{freeMilliCPU: w.capacity(), freeMemoryMB: w.memoryMB, cores: float64(w.capacity()) / 1000}
	for name, run := range w.runs {
		if run.model == nil {
			continue
		}
		if run.model.pace == 0 {
			r.paused = append(r.paused, name)
		}
		group := run.model.group
		if !group.BestEffort {
			r.freeMilliCPU -= group.MilliCPU
		}
		r.freeMemoryMB -= group.MemoryMB
		r.coresUsed += run.model.cores
	}
	return r, !out && !w.closedByRun && w.registered && !w.drains && !w.mute && w.late == 0
}

// standstills follows for how long jobs, and the tasks of services, stand still.
type standstills struct {
	since    map[string]time.Time // by job, or by task of a service
	reported map[string]bool
	longest  time.Duration
	stood    int       // standstills of over a second
	lookedAt time.Time // the latest look
}

// maxLookGap is the longest time between two looks that counts. After a longer one, all
// processes of the machine may have stood still.
const maxLookGap = time.Second

// skipGap leaves out the time since the latest look, if it is too long to count.
func (s *standstills) skipGap(now time.Time) {
	if gap := now.Sub(s.lookedAt); !s.lookedAt.IsZero() && gap > maxLookGap {
		for name := range s.since {
			s.since[name] = s.since[name].Add(gap)
		}
	}
	s.lookedAt = now
}

// watchStandstills looks for jobs that stand still until stop is closed.
func (r *run) watchStandstills(stop chan struct{}) {
	s := &standstills{since: map[string]time.Time{}, reported: map[string]bool{}}
	for {
		select {
		case <-stop:
			r.note("standstills: %d over a second, the longest %v", s.stood, s.longest)
			return
		case <-time.After(watchInterval):
		}
		var rooms []workerRoom
		used, cores, paused := 0.0, 0.0, map[taskName]bool{}
		for _, w := range r.workers {
			room, open := w.room()
			used, cores = used+room.coresUsed, cores+room.cores
			for _, name := range room.paused {
				paused[name] = true
			}
			if open {
				rooms = append(rooms, room)
			}
		}
		if time.Since(time.Unix(0, r.disturbedAt.Load())) < calmBefore {
			clear(s.since) // the rule asks for calm before and during a standstill
			continue
		}
		r.check.lookForStandstills(s, fleetRoom{rooms, paused, used < cores/2}, time.Now())
	}
}

// fleetRoom is the room of all workers.
type fleetRoom struct {
	workers  []workerRoom
	paused   map[taskName]bool
	halfFree bool // less than half of their CPU is in use
}

// lookForStandstills takes in the room that the workers have at a time.
func (c *checker) lookForStandstills(s *standstills, fleet fleetRoom, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.skipGap(now)
	still := map[string]time.Duration{} // bound by name
	for id, job := range c.jobs {
		if job.accepted.IsZero() || job.cancelAsk || slices.Contains([]string{"completed", "failed", "cancelled"}, job.state) {
			continue
		}
		running, ready := c.readyTasks(id, job, fleet.paused)
		for _, t := range ready {
			group := job.groups[t.group]
			if !fleet.halfFree || roomFor(fleet.workers, group) < 2 || !group.lasting && c.task(t).failures >= c.attempts {
				continue
			}
			if group.lasting {
				still[t.String()] = maxStandstill + serviceRestart
			} else if running == 0 {
				still[id] = maxStandstill
			}
		}
	}
	for name := range s.since {
		if _, stands := still[name]; !stands {
			if lasted := now.Sub(s.since[name]); lasted > time.Second {
				s.stood++
			}
			delete(s.since, name)
		}
	}
	for name, bound := range still {
		if s.since[name].IsZero() {
			s.since[name] = now
		}
		lasted := now.Sub(s.since[name])
		s.longest = max(s.longest, lasted)
		if lasted > bound && !s.reported[name] {
			s.reported[name] = true
			c.broken(promiseMoves, "%s has stood still for %v, paused: %v", name, lasted.Round(watchInterval), pausedOf(name, fleet.paused))
		}
	}
}

// readyTasks returns how many tasks of a job are at work, and one task of each group whose turn
// has come and that is not at work; of a service, all such tasks. The lock is held.
func (c *checker) readyTasks(id string, job *jobView, paused map[taskName]bool) (running int, ready []taskName) {
	for g, group := range job.groups {
		waits := slices.ContainsFunc(group.dependsOn, func(earlier int) bool { return !c.groupDone(id, job, earlier) })
		found := false
		for i := range group.count {
			name := taskName{id, g, i}
			task := c.task(name)
			switch {
			case len(task.live) > 0 && !paused[name]:
				running++
			case !waits && !task.done && (group.lasting || !found):
				ready, found = append(ready, name), true
			}
		}
	}
	return running, ready
}

// pausedOf reports whether a run of a job is paused.
func pausedOf(job string, paused map[taskName]bool) bool {
	for name := range paused {
		if name.job == job {
			return true
		}
	}
	return false
}

func (c *checker) groupDone(id string, job *jobView, group int) bool {
	for i := range job.groups[group].count {
		if !c.task(taskName{id, group, i}).done {
			return false
		}
	}
	return true
}

// roomFor returns how many tasks of a group the workers have room for.
func roomFor(rooms []workerRoom, group groupView) (tasks int64) {
	for _, room := range rooms {
		fitting := room.freeMemoryMB / max(group.memoryMB, 1)
		if need := group.countedCPU(); need > 0 {
			fitting = min(fitting, room.freeMilliCPU/need)
		}
		tasks += max(fitting, 0)
	}
	return tasks
}
