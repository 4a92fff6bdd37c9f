package scheduler

import "amaranthpaddle/task"

// jobView counts the tasks of a job that hold a grant.
type jobView struct {
	total       int
	running     int
	unavailable int            // stopping, starting, or (service instances) pending for less than longPending
	byZone      map[string]int // of a service
	byRack      map[string]int // of a service
}

// job returns the counts of a job. They are made on first use, because most
// calls of Decide need few or none of them.
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
		j.unavailable++
	}
	if t.Class == task.LatencyCritical {
		j.byZone[v.Zone]++
		j.byRack[v.rackKey()]++
	}
}

// countPending counts the pending instances of a service as unavailable. One
// that has been pending for longPending does not count, since no VM has room
// for it.
func (c *cycle) countPending(id string, j *jobView) {
	for i := range c.s.Pending {
		t := &c.s.Pending[i]
		if t.Job == id && t.Class == task.LatencyCritical && c.s.Now.Sub(t.Since) < longPending {
			j.unavailable++
		}
	}
}

// rackKey returns a key that is unique to the rack across zones.
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
