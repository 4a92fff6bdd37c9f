package task

import (
	"slices"
	"time"
)

// Backoff of failing tasks and jobs.
const (
	firstBackoff = time.Second
	maxBackoff   = 5 * time.Minute
	suspectVMs   = 3                // distinct VMs on which a job must fail before it is suspected
	steadyRun    = 10 * time.Minute // after which a run is no failed start
)

// Report takes in an agent's statement about a run on the VM. Late reports,
// of an older generation or from another VM than the one that holds the run,
// have NoEffect. The finish of a task is reported as Done once.
func (t *Table) Report(now time.Time, vm string, r Report) Effect {
	if !t.Owns(vm, r.Task, r.Generation) {
		return NoEffect
	}
	k := t.tasks[r.Task]
	saved := t.saveCheckpoint(now, k, r)
	switch r.Phase {
	case PhaseRunning, PhaseCheckpointing:
		if t.move(now, k, eventStarted) {
			k.Started = now
			return Started
		}
	case PhaseStopped:
		return t.stopped(now, k)
	case PhaseFinished:
		return t.finished(now, k)
	case PhaseFailed:
		return t.failed(now, k, r.Error)
	}
	if saved {
		return CheckpointSaved
	}
	return NoEffect
}

// Matters reports whether Report would change the table, so that a leader
// need not log reports that would not.
func (t *Table) Matters(vm string, r Report) bool {
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
		k.Job.succeeded()
	}
	k.Checkpoint = r.Checkpoint
	k.SavedAt = now
	k.Progress = r.Progress
	t.touch(k.VM)
	return true
}

func (t *Table) stopped(now time.Time, k *Task) Effect {
	if k.State == Stopping {
		k.Evictions++
	}
	t.move(now, k, eventStopped)
	return Stopped
}

func (t *Table) finished(now time.Time, k *Task) Effect {
	if k.Job.Class == LatencyCritical {
		return t.failed(now, k, "the service instance ended by itself")
	}
	t.move(now, k, eventFinished)
	k.Failures = 0
	k.Progress = 1
	k.Job.succeeded()
	if k.Index < k.Job.Wanted {
		k.Job.Finished++
	}
	return Done
}

func (t *Table) failed(now time.Time, k *Task, message string) Effect {
	vm := k.VM
	if !k.Started.IsZero() && now.Sub(k.Started) >= steadyRun {
		k.Failures = 0
		k.Job.succeeded()
	}
	t.move(now, k, eventFailed)
	k.Failures++
	k.LastError = message
	k.NotBefore = now.Add(backoff(k.Failures))
	k.Job.failed(now, vm)
	return Failed
}

func (j *Job) succeeded() {
	j.FailureStreak = 0
	j.FailedVMs = nil
	j.NotBefore = time.Time{}
}

// failed counts a failure on the VM. Once the job failed on several VMs, the
// whole job backs off, so that its other tasks do not fail one by one.
func (j *Job) failed(now time.Time, vm string) {
	j.FailureStreak++
	if len(j.FailedVMs) < suspectVMs && !slices.Contains(j.FailedVMs, vm) {
		j.FailedVMs = append(j.FailedVMs, vm)
	}
	if j.Failing() {
		j.NotBefore = now.Add(backoff(j.FailureStreak))
	}
}

// backoff doubles from firstBackoff up to maxBackoff.
func backoff(failures int) time.Duration {
	d := firstBackoff
	for i := 1; i < failures && d < maxBackoff; i++ {
		d *= 2
	}
	return min(d, maxBackoff)
}
