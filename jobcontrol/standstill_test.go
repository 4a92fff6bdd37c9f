package jobcontrol

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// captureLog returns the log, with what the test writes from now on.
func captureLog(t *testing.T) *bytes.Buffer {
	log, state := &bytes.Buffer{}, klog.CaptureState()
	t.Cleanup(state.Restore)
	klog.LogToStderr(false)
	klog.SetOutput(log)
	return log
}

// wantLines requires that lines with a message match the patterns, one number of lines each.
func (r *rig) wantLine(log *bytes.Buffer, message string, patterns ...string) {
	r.t.Helper()
	klog.Flush()
	for line := range strings.Lines(log.String()) {
		if !strings.Contains(line, `"`+message+`"`) {
			continue
		}
		for _, pattern := range patterns {
			if !regexp.MustCompile(pattern).MatchString(line) {
				r.t.Errorf("%q lacks %s", line, pattern)
			}
		}
		return
	}
	r.t.Errorf("no line %q", message)
}

func (r *rig) wantGauge(what, value string) {
	r.t.Helper()
	var text bytes.Buffer
	r.server.WriteMetrics(&text)
	if line := `paddle_jobs_fleet{what="` + what + `"} ` + value + "\n"; !strings.Contains(text.String(), line) {
		r.t.Errorf("no gauge %s", line)
	}
}

// keepUp lets agents report for a time, in which their workers list what they have.
func (r *rig) keepUp(d time.Duration, agents ...*fakeAgent) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, a := range agents {
			a.lists++
			a.report()
		}
		r.wait(200 * time.Millisecond)
	}
}

// Guards against accepted jobs that stand still without a trace (issue 47): the leader's
// log names the job, what its last run was and which rule keeps the rest from each worker.
func TestJobThatStandsStillIsNamedWithItsCause(t *testing.T) {
	log := captureLog(t)
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		a.listed = []*api.RunStatus{}
		spec := &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 1000, LongRunning: true, Image: "web"}, {Count: 1, MilliCpu: 9000}}}
		spec.Groups[1].DependsOn = []int32{0}
		r.mustCall(submit, testPath, spec, accepted)
		r.wait(200 * time.Millisecond)
		starts, _, _, _ := a.drainDirectives()
		if len(starts) != 1 {
			t.Fatalf("starts %v", starts)
		}
		r.keepUp(time.Second, a)
		a.unreachable = true
		a.report(&api.WorkerEnd{Run: starts[0].Ref(), Outcome: api.RunOutcome_RUN_OUTCOME_FAILED, Reason: "out of disk"})
		r.keepUp(1900*time.Millisecond, a)
		r.wantGauge("still_jobs", "0")
		r.keepUp(3*time.Second, a)
		r.wantLine(log, "Job stands still", `job="`+testJob+`"`, `runs=1`, `last_outcome="failed"`, `last_reason="out of disk"`,
			`closed.*1`, `unreachable.*1`, `active_committed=0`, `active_assumed=0`, `others=0`, `since_ms=[234]\d\d\d `)
		r.wantLine(log, "Long-running tasks have no run", `tasks=1`, `image web`)
		r.wantGauge("still_jobs", "1")
		r.wantGauge("still_long_running_tasks", "1")
		a.unreachable = false
		r.keepUp(2*time.Second, a)
		r.wantLine(log, "Job moves again", `run="`+testJob+`/0/0/0#2"`, `after_ms=[456]\d\d\d`)
		r.keepUp(2*time.Second, a)
		r.wantGauge("still_jobs", "0")
	})
}

// Guards against a run that is active in the log alone: nothing else tells it from one that
// takes long. A run in the list, and one that was started just now, are not named.
func TestRunThatNoListShowsIsNamed(t *testing.T) {
	log := captureLog(t)
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		a.listed = []*api.RunStatus{}
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(200 * time.Millisecond)
		run := jobs.RunID{Task: jobs.TaskID{Job: testJob}, Number: 1}
		a.listed = []*api.RunStatus{{Run: run.Ref(), Pace: 100, Begun: true}}
		r.keepUp(5*time.Second, a)
		r.wantGauge("unlisted_runs", "0")
		a.listed = []*api.RunStatus{}
		r.keepUp(1500*time.Millisecond, a)
		r.wantGauge("unlisted_runs", "0")
		r.keepUp(4*time.Second, a)
		r.wantGauge("unlisted_runs", "1")
		r.wantLine(log, "Run is not listed by its worker", `run="`+run.String()+`"`, `worker="w-a@1"`, `session=true`, `starting=false`)
	})
}

// Guards against a log that a backlog fills, or in which the oldest job is missing: a look
// names the oldest ones and counts the others.
func TestLookNamesTheOldestStandstills(t *testing.T) {
	s, now := newStandstills(), time.Unix(1000, 0)
	var found []standstill
	for i := range maxNamedStandstill + 3 {
		job := string(rune('a' + i))
		found = append(found, standstill{job: job, since: now.Add(-minStandstill - time.Duration(i)*time.Second)})
	}
	found = append(found, standstill{job: "new", since: now.Add(-minStandstill + 1)})
	named, others := s.look(found, now)
	if len(named) != maxNamedStandstill || others != 3 || named[0].job != "k" || s.longest != minStandstill+10*time.Second {
		t.Errorf("%d named, first %+v, %d others, longest %v", len(named), named[0], others, s.longest)
	}
	for job, want := range map[string]bool{"k": true, "a": false} {
		if lasted, wasNamed := s.finish(job, now); lasted < minStandstill || wasNamed != want {
			t.Errorf("%s stood still for %v, named: %v", job, lasted, wasNamed)
		}
	}
	if lasted, _ := s.finish("new", now); lasted != 0 {
		t.Errorf("a short wait counts as a standstill of %v", lasted)
	}
}
