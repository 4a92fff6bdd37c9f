package task

import (
	"slices"
	"time"
)

// Backoff after failures of tasks and jobs.
const (
	minBackoff         = time.Second
	maxBackoff         = 5 * time.Minute
	failingVMThreshold = 3                // distinct VMs on which tasks of a job must fail before the job counts as failing
	stableRunTime      = 10 * time.Minute // a run that lasted this long ends the streak of failures
)

// Report applies an agent's report about a run on the VM. A late report, with an
// older generation or from a VM that does not own the run, has NoEffect. Done is
// returned once when a task finishes.
func (t *Table) Report(now time.Time, vm string, r Report) Effect {
	if !t.Owns(vm, r.Task, r.Generation) {
		return NoEffect
	}
	k := t.tasks[r.Task]
	saved := t.saveCheckpoint(now, k, r)
	switch r.Phase {
	case PhaseRunning, PhaseCheckpointing:
		if t.transition(now, k, eventStarted) {
			k.Started = now
			return Started
		}
	case PhaseStopped:
		return t.runStopped(now, k)
	case PhaseFinished:
		return t.runFinished(now, k)
	case PhaseFailed:
		return t.runFailed(now, k, r.Error)
	}
	if saved {
		return CheckpointSaved
	}
	return NoEffect
}

// WouldChange reports whether Report would change the table. A leader replicates
// only the reports that would.
func (t *Table) WouldChange(vm string, r Report) bool {
	if !t.Owns(vm, r.Task, r.Generation) {
		return false
	}
	k := t.tasks[r.Task]
	if r.Checkpoint != "" && r.Checkpoint != k.Checkpoint {
		return true
	}
	switch r.Phase {
	case PhaseRunning, PhaseCheckpointing:
		return k.State == Starting
	case PhaseStopped, PhaseFinished, PhaseFailed:
		return true
	}
	return false
}

func (t *Table) saveCheckpoint(now time.Time, k *Task, r Report) bool {
	if r.Checkpoint == "" || r.Checkpoint == k.Checkpoint {
		return false
	}
	if r.Progress > k.Progress {
		k.Failures = 0
		k.Job.clearFailures()
	}
	k.Checkpoint = r.Checkpoint
	k.SavedAt = now
	k.Progress = r.Progress
	t.bumpVersion(k.VM)
	return true
}

func (t *Table) runStopped(now time.Time, k *Task) Effect {
	if k.State == Stopping {
		k.Evictions++
	}
	t.transition(now, k, eventStopped)
	return Stopped
}

func (t *Table) runFinished(now time.Time, k *Task) Effect {
	if k.Job.Class == LatencyCritical {
		return t.runFailed(now, k, "the service instance ended by itself")
	}
	t.transition(now, k, eventFinished)
	k.Failures = 0
	k.Progress = 1
	k.Job.clearFailures()
	if k.Index < k.Job.Wanted {
		k.Job.Finished++
	}
	return Done
}

func (t *Table) runFailed(now time.Time, k *Task, message string) Effect {
	vm := k.VM
	if !k.Started.IsZero() && now.Sub(k.Started) >= stableRunTime {
		k.Failures = 0
		k.Job.clearFailures()
	}
	t.transition(now, k, eventFailed)
	k.Failures++
	k.LastError = message
	k.NotBefore = now.Add(backoff(k.Failures))
	k.Job.recordFailure(now, vm)
	return Failed
}

func (j *Job) clearFailures() {
	j.FailureStreak = 0
	j.FailedVMs = nil
	j.NotBefore = time.Time{}
}

// recordFailure counts a failure on the VM. Once tasks of the job have failed on
// failingVMThreshold VMs, the whole job backs off, so that its other tasks do not
// fail one after the other.
func (j *Job) recordFailure(now time.Time, vm string) {
	j.FailureStreak++
	if len(j.FailedVMs) < failingVMThreshold && !slices.Contains(j.FailedVMs, vm) {
		j.FailedVMs = append(j.FailedVMs, vm)
	}
	if j.Failing() {
		j.NotBefore = now.Add(backoff(j.FailureStreak))
	}
}

// backoff returns minBackoff after the first failure and doubles with each further
// failure, up to maxBackoff.
func backoff(failures int) time.Duration {
	d := minBackoff
	for i := 1; i < failures && d < maxBackoff; i++ {
		d *= 2
	}
	return min(d, maxBackoff)
}
