package scheduler

import (
	"fmt"
	"strings"

	"amaranthpaddle/task"
)

// PendingReason explains to operators why a task is pending.
type PendingReason struct {
	Task    string
	Summary string
	// Number of VMs that refuse the task, by the first rule that does.
	OutOfService, NotFresh, Draining, Quarantined, NoRoom, Busy, Interference int
	Admitted                                                                  int // VMs that would take it now
}

// WhyPending returns why the task is pending. If the snapshot leaves the task
// out, another pending task of the same job is examined instead; ok is false
// when there is none.
func WhyPending(s *Snapshot, id string) (r PendingReason, ok bool) {
	found := -1
	for i := range s.Pending {
		if s.Pending[i].ID == id {
			found = i
			break
		}
		if s.Pending[i].Job == jobOf(id) {
			found = i
		}
	}
	if found < 0 {
		return PendingReason{}, false
	}
	r = newCycle(s).whyPending(&s.Pending[found])
	r.Task = id
	return r, true
}

// WhyJobsPending returns, by job ID, a summary of why the first pending task
// of the job is pending.
func WhyJobsPending(s *Snapshot) map[string]string {
	reasons := map[string]string{}
	var c *cycle
	for i := range s.Pending {
		t := &s.Pending[i]
		if _, ok := reasons[t.Job]; ok {
			continue
		}
		if c == nil {
			c = newCycle(s)
		}
		reasons[t.Job] = c.whyPending(t).Summary
	}
	return reasons
}

func (c *cycle) whyPending(t *Task) PendingReason {
	r := PendingReason{Task: t.ID}
	for n := range c.vms {
		r.count(c, t, &c.vms[n])
	}
	switch {
	case !due(t, c.s.Now) && t.Trial:
		r.Summary = "its job failed on several VMs and backs off"
	case !due(t, c.s.Now):
		r.Summary = "it failed and backs off"
	case t.Trial && c.trialInProgress(t):
		r.Summary = "its job failed on several VMs; another of its tasks is tried first"
	case r.Admitted > 0:
		r.Summary = fmt.Sprintf("%d VMs can take it; more important tasks go first", r.Admitted)
	default:
		r.Summary = r.refusals(len(c.vms))
	}
	return r
}

// count counts the VM under the first rule that refuses the task, or as
// admitted.
func (r *PendingReason) count(c *cycle, t *Task, v *vmView) {
	switch {
	case !v.InService:
		r.OutOfService++
	case !v.Fresh:
		r.NotFresh++
	case v.Draining:
		r.Draining++
	case v.Quarantine != Trusted && !c.admits(t, v):
		r.Quarantined++
	case !fits(t, v):
		r.NoRoom++
	case !c.mayStart(t, v):
		r.Busy++
	case t.Class == task.Batch && !c.withinSlowdownLimit(t, v):
		r.Interference++
	default:
		r.Admitted++
	}
}

func (c *cycle) withinSlowdownLimit(t *Task, v *vmView) bool {
	_, ok := c.predictSlowdown(t, v)
	return ok
}

// refusals returns a text with the number of VMs that each rule excludes.
func (r *PendingReason) refusals(vms int) string {
	rules := []struct {
		vms  int
		text string
	}{
		{r.OutOfService, "in a zone out of service"},
		{r.NotFresh, "not confirmed fresh"},
		{r.Draining, "draining"},
		{r.Quarantined, "quarantined"},
		{r.NoRoom, "without enough free room"},
		{r.Busy, "starting other tasks"},
		{r.Interference, "where it would slow a service down"},
	}
	var parts []string
	for _, rule := range rules {
		if rule.vms > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", rule.vms, rule.text))
		}
	}
	return fmt.Sprintf("none of %d VMs takes it: %s", vms, strings.Join(parts, ", "))
}
