package session

import (
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/worker"
)

// Guards against work that is finished being done again: the worker process ended after it
// had listed the final state of a run, and before the control group had received it. The
// next process doesn't list the run, which then counted as never started.
func TestFinalStateIsReportedAfterARestartOfTheWorkerProcess(t *testing.T) {
	run := runKey{"task", 1}
	status := func(phase worker.Phase) []worker.TaskStatus {
		return []worker.TaskStatus{{Task: run.task, Generation: run.generation, Phase: phase}}
	}
	for name, sendFinal := range map[string]bool{"not sent": false, "sent and lost": true} {
		t.Run(name, func(t *testing.T) {
			o := newOutbox()
			o.update(status(worker.PhaseRunning), 0)
			o.takeReady(1)
			o.update(status(worker.PhaseFinished), 1)
			if sendFinal {
				o.takeReady(2)
			}
			o.update(nil, 1)
			o.reset()
			sent := o.takeReady(3)
			if len(sent) != 1 || sent[0].Phase != api.TaskPhase_TASK_PHASE_FINISHED {
				t.Fatalf("states %v in the next session, want the final one", sent)
			}
			o.update(nil, 3)
			if len(o.listed) > 0 || len(o.takeReady(4)) > 0 {
				t.Errorf("the final state %v is kept after the control group has received it", o.listed)
			}
		})
	}
}
