package scheduler

import "amaranthpaddle/task"

// jobView counts the tasks of one job that hold a grant.
type jobView struct {
	total   int
	running int
	moving  int            // stopping, starting, or pending for a short time
	byZone  map[string]int // of a service
	byRack  map[string]int // of a service
}

// job counts the tasks of a job when it is first asked for: most decisions
// ask for few jobs or none.
func (c *cycle) job(id string) *jobView {
	if j := c.jobs[id]; j != nil {
		return j
	}
	j := &jobView{byZone: map[string]int{}, byRack: map[string]int{}}
	c.jobs[id] = j
	for n := range c.vms {
		v := &c.vms[n]
		for _, t := range v.tasks {
			if t.Job == id {
				j.count(t, v, c.evicted[t])
			}
		}
		for _, t := range v.placed {
			if t.Job == id {
				j.count(t, v, false)
			}
		}
	}
	c.countPending(id, j)
	return j
}

func (j *jobView) count(t *Task, v *vmView, evicted bool) {
	j.total++
	if t.State == task.Running && !evicted {
		j.running++
	} else {
		j.moving++
	}
	if t.Class == task.LatencyCritical {
		j.byZone[v.Zone]++
		j.byRack[v.rackKey()]++
	}
}

// countPending counts the instances of a service that are on their way to
// another VM. One that waits for long has nowhere to go and is not counted.
func (c *cycle) countPending(id string, j *jobView) {
	for i := range c.s.Pending {
		t := &c.s.Pending[i]
		if t.Job == id && t.Class == task.LatencyCritical && c.s.Now.Sub(t.Since) < longPending {
			j.moving++
		}
	}
}

// rackKey names a rack within its zone.
func (v *vmView) rackKey() string {
	if v.rack == "" {
		v.rack = v.Zone + "/" + v.Rack
	}
	return v.rack
}

// jobTasks counts the job's tasks on the VM.
func (v *vmView) jobTasks(job string) int {
	count := 0
	for _, t := range v.tasks {
		if t.Job == job {
			count++
		}
	}
	for _, t := range v.placed {
		if t.Job == job {
			count++
		}
	}
	return count
}
