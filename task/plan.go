package task

import (
	"time"

	"amaranthpaddle/plan"
)

// ApplyPlan applies a plan as a whole and reports whether it did. A plan whose
// number is not higher than that of the plan in force changes nothing.
//
// Jobs that the plan does not name are cancelled. A job with a known name
// continues with its new size, deadline and priority, and its finished tasks stay
// finished. A complete job runs again if the plan is for another day.
func (t *Table) ApplyPlan(p *plan.DayPlan, now time.Time) bool {
	if p.Number <= t.planNumber {
		return false
	}
	newDay := p.Day != t.day
	t.planNumber = p.Number
	t.day = p.Day
	for _, z := range p.Zones {
		t.SetZone(z.Name, z.InService)
	}
	wanted := make(map[string]bool, len(p.Jobs)+len(p.Services))
	for i := range p.Services {
		t.applyService(now, &p.Services[i], wanted)
	}
	for i := range p.Jobs {
		t.applyJob(now, &p.Jobs[i], wanted)
	}
	t.cancelUnplanned(now, wanted, newDay)
	return true
}

func (t *Table) applyService(now time.Time, s *plan.Service, wanted map[string]bool) {
	j := t.ensureJob(ServiceID(s.Name), s.Name, LatencyCritical)
	wanted[j.ID] = true
	j.Team = s.Team
	j.Size = s.Size
	j.Day = t.day
	t.resize(now, j, s.Instances)
}

func (t *Table) applyJob(now time.Time, b *plan.Job, wanted map[string]bool) {
	j := t.ensureJob(JobID(b.Name), b.Name, Batch)
	wanted[j.ID] = true
	if j.Day != t.day && j.Complete() {
		t.rerun(now, j)
	}
	j.Day = t.day
	j.Team = b.Team
	j.Size = b.Size
	j.RunTime = b.RunTime
	j.Deadline = b.Deadline
	j.Priority = b.Priority
	t.resize(now, j, b.Tasks)
}

func (t *Table) ensureJob(id, name string, class Class) *Job {
	j := t.jobs[id]
	if j == nil {
		j = &Job{ID: id, Name: name, Class: class}
		t.jobs[id] = j
	}
	return j
}

// rerun makes each task of a complete job pending again, without the checkpoints
// of the previous run.
func (t *Table) rerun(now time.Time, j *Job) {
	j.Finished = 0
	j.clearFailures()
	for _, k := range j.Tasks {
		k.Checkpoint = ""
		k.SavedAt = time.Time{}
		k.Progress = 0
		k.NotBefore = time.Time{}
		t.transition(now, k, eventRerun)
	}
}

// resize sets the number of wanted tasks of j: it adds or reinstates tasks up to n
// and cancels the others.
func (t *Table) resize(now time.Time, j *Job, n int) {
	for len(j.Tasks) < n {
		t.addTask(now, j)
	}
	j.Wanted = n
	j.Finished = 0
	for i, k := range j.Tasks {
		if i >= n {
			t.transition(now, k, eventCancel)
			continue
		}
		t.transition(now, k, eventUncancel)
		if k.State == Finished {
			j.Finished++
		}
	}
}

func (t *Table) addTask(now time.Time, j *Job) {
	k := &Task{
		ID:           TaskID(j.ID, len(j.Tasks)),
		Job:          j,
		Index:        len(j.Tasks),
		Generation:   t.generationFloor,
		Since:        now,
		pendingIndex: -1,
		vmIndex:      -1,
	}
	j.Tasks = append(j.Tasks, k)
	t.tasks[k.ID] = k
	t.addPending(k)
}

// cancelUnplanned cancels the jobs that the plan does not name. Their records are
// kept until a plan for another day, because finished tasks must not run again if
// a later plan of the same day names the job again.
func (t *Table) cancelUnplanned(now time.Time, wanted map[string]bool, newDay bool) {
	for id, j := range t.jobs {
		if wanted[id] {
			continue
		}
		t.resize(now, j, 0)
		if newDay && j.allDone() {
			t.removeJob(j)
		}
	}
}

// allDone reports whether every task of j is done.
func (j *Job) allDone() bool {
	for _, k := range j.Tasks {
		if !k.State.Done() {
			return false
		}
	}
	return true
}

// removeJob removes a job whose tasks are all done. Tasks of a later job with the
// same name start with higher generations, so that late reports of the removed job
// cannot be attributed to them.
func (t *Table) removeJob(j *Job) {
	for _, k := range j.Tasks {
		t.generationFloor = max(t.generationFloor, k.Generation)
		delete(t.tasks, k.ID)
	}
	delete(t.jobs, j.ID)
}
