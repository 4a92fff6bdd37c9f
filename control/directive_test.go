package control

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/task"
)

func TestDirectiveForEachRunState(t *testing.T) {
	key := runKey{"job/sort/0", 3}
	now := time.Unix(1000, 0)
	const none = api.TaskPhase_TASK_PHASE_UNSPECIFIED
	in := vmSnapshot{known: true, inService: true, takesWork: true}
	out := vmSnapshot{known: true, takesWork: true}
	draining := vmSnapshot{known: true, inService: true}
	for _, test := range []struct {
		name        string
		view        vmSnapshot
		state       task.State
		listed      api.TaskPhase
		graceOver   bool
		start, stop bool
		checkpoint  bool
	}{
		{"a placed run is started", in, task.Starting, none, false, true, false, false},
		{"a run that the agent reports is not started again", in, task.Starting, api.TaskPhase_TASK_PHASE_STARTING, false, false, false, false},
		{"no start in a zone out of service", out, task.Starting, none, false, false, false, false},
		{"no start on a VM that is drained", draining, task.Starting, none, false, false, false, false},
		{"a running run continues", in, task.Running, api.TaskPhase_TASK_PHASE_RUNNING, false, false, false, false},
		{"a run that the agent does not report is stopped", in, task.Running, none, false, false, true, true},
		{"an evicted run takes a checkpoint", out, task.Stopping, api.TaskPhase_TASK_PHASE_RUNNING, false, false, true, true},
		{"an evicted run stops without a checkpoint after its deadline", out, task.Stopping, api.TaskPhase_TASK_PHASE_CHECKPOINTING, true, false, true, false},
		{"a cancelled run stops at once", in, task.Cancelling, api.TaskPhase_TASK_PHASE_RUNNING, false, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runs := newAgentRuns()
			if test.listed != none {
				runs.recordStatuses([]*api.TaskStatus{inPhase(key, test.listed, "")})
			}
			deadlines := checkpointDeadlines{}
			if test.graceOver {
				deadlines[key] = now.Add(-time.Second)
			}
			test.view.runs = []runView{{runKey: key, state: test.state, since: now}}
			d := runs.directive(test.view, nil, deadlines, now)
			stop := len(d.Stop) > 0
			if starts(d) != test.start || stop != test.stop || stop && d.Stop[0].Checkpoint != test.checkpoint {
				t.Errorf("directive %v", d)
			}
		})
	}
}

func TestThrottlesAreSentOnceAndOnlyForOwnedRuns(t *testing.T) {
	key, gone := runKey{"job/sort/0", 3}, runKey{"job/sort/1", 1}
	runs := newAgentRuns()
	view := vmSnapshot{runs: []runView{{runKey: key, state: task.Running}}}
	runs.recordStatuses([]*api.TaskStatus{running(key)})
	wanted := map[runKey]float64{key: 0.5, gone: 0.5}
	if d := runs.directive(view, wanted, nil, time.Now()); len(d.Throttle) != 1 || d.Throttle[0].Task != key.task {
		t.Fatalf("directive %v", d)
	}
	if d := runs.directive(view, wanted, nil, time.Now()); len(d.Throttle) != 0 {
		t.Fatalf("sent again: %v", d)
	}
}
