package jobs

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
)

const (
	unknown  = api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN
	silent   = api.CrashEvidence_CRASH_EVIDENCE_SILENT
	survived = api.CrashEvidence_CRASH_EVIDENCE_SURVIVED
	recent   = api.CrashEvidence_CRASH_EVIDENCE_RECENT
	suspect  = api.CrashEvidence_CRASH_EVIDENCE_SUSPECT
	sole     = api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT
)

func crashChange(run RunID, evidence api.CrashEvidence) *api.JobChange {
	return &api.JobChange{Body: &api.JobChange_Crash{Crash: &api.RunCrash{Run: run.Ref(), Evidence: evidence}}}
}

func lossChange(run RunID, worker string, evidence api.CrashEvidence) *api.JobChange {
	change := endChange(run, worker, lost, "")
	change.GetEnd().CrashEvidence = evidence
	return change
}

// lose starts the first task of the first group, and loses its run with the evidence.
// It returns false once the task can no longer start.
func (f *fixture) lose(number int32, evidence api.CrashEvidence) bool {
	f.t.Helper()
	run := runID(0, 0, number)
	if f.apply(startChange(run, "w")) != nil {
		return false
	}
	if evidence > silent {
		change := crashChange(run, evidence)
		change.GetCrash().Weight, change.GetCrash().Conclusive = f.weight, f.conclusive
		f.mustApply(change)
		evidence = unknown
	}
	f.mustApply(lossChange(run, "w", evidence))
	return true
}

func TestTaskThatCrashesItsWorkersFailsItsJob(t *testing.T) {
	cases := []struct {
		name     string
		evidence []api.CrashEvidence
		want     Phase
	}{
		{"one crash, alone", []api.CrashEvidence{sole}, PhaseRunning},
		{"two, alone", []api.CrashEvidence{sole, sole}, PhaseFailed},
		{"with others, then alone", []api.CrashEvidence{suspect, sole}, PhaseFailed},
		{"two with others", []api.CrashEvidence{suspect, suspect}, PhaseRunning},
		{"three with others", []api.CrashEvidence{suspect, suspect, suspect}, PhaseFailed},
		{"three soon after its start", []api.CrashEvidence{recent, recent, recent}, PhaseRunning},
		{"four soon after its start", []api.CrashEvidence{recent, recent, recent, recent}, PhaseFailed},
		{"acquitted between", []api.CrashEvidence{suspect, survived, sole}, PhaseRunning},
		{"lost without evidence between", []api.CrashEvidence{suspect, unknown, sole}, PhaseFailed},
		{"fell silent, then one crash", []api.CrashEvidence{silent, sole}, PhaseRunning},
		{"fell silent, then two crashes", []api.CrashEvidence{silent, suspect, sole}, PhaseFailed},
		{"fell silent each time", []api.CrashEvidence{silent, silent, silent, silent}, PhaseRunning},
		{"lost without evidence", []api.CrashEvidence{unknown, unknown, unknown, unknown, unknown, unknown}, PhaseRunning},
	}
	for _, c := range cases {
		for _, longRunning := range []bool{false, true} {
			f := newFixture(t)
			f.submit(&api.TaskGroup{Count: 2, LongRunning: longRunning})
			f.mustApply(startChange(runID(0, 1, 1), "w2"))
			f.mustApply(begunChange(runID(0, 1, 1)))
			for i, evidence := range c.evidence {
				f.lose(int32(i+1), evidence)
			}
			if got := f.phase(); got != c.want {
				t.Errorf("%s, long-running %v: job is %v, want %v", c.name, longRunning, got, c.want)
			}
		}
	}
}

// Guards against a job that is given up after two crashes although its leader, which has
// tested many suspects, asks for more.
func TestTaskIsGivenUpForWhatItsLeaderCallsConclusive(t *testing.T) {
	for _, c := range []struct {
		weight, conclusive int32
		crashes            int // that fail the job
	}{{0, 0, 2}, {10, 20, 2}, {9, 20, 3}, {6, 18, 3}, {4, 13, 4}, {3, 40, 4}, {10, 0, 2}} {
		f := newFixture(t)
		f.submit(&api.TaskGroup{Count: 1})
		f.weight, f.conclusive = c.weight, c.conclusive
		crashes := 0
		for crashes < 6 && f.lose(int32(crashes+1), sole) {
			crashes++
		}
		if crashes != c.crashes {
			t.Errorf("weight %d of %d: given up after %d crashes, want %d", c.weight, c.conclusive, crashes, c.crashes)
		}
	}
}

// Guards against evidence that is lost with the state of one leader.
func TestSuspicionSurvivesSnapshot(t *testing.T) {
	f := newFixture(t)
	f.submit(&api.TaskGroup{Count: 1})
	f.lose(1, suspect)
	f.state = f.state.Clone()
	f.state.Read(func(v View) {
		if v.TasksOnProbation() != 1 || v.Job(testJob).TasksOnProbation() != 1 {
			t.Errorf("%d suspects, %d of the job, want 1", v.TasksOnProbation(), v.Job(testJob).TasksOnProbation())
		}
	})
	f.lose(2, sole)
	if got := f.phase(); got != PhaseFailed {
		t.Errorf("job is %v, want failed", got)
	}
	f.state = f.state.Clone()
	f.state.Read(func(v View) {
		if by := v.Job(testJob).CrashedBy; by == nil || RunIDOf(by) != runID(0, 0, 2) {
			t.Errorf("the job was given up for run %v", by)
		}
		if v.TasksOnProbation() != 0 {
			t.Errorf("%d suspects remain", v.TasksOnProbation())
		}
	})
}

// Whatever the evidence of each crash, the users' bound holds: at most two starts after
// three crashes, even if one crash left no evidence.
func TestTaskThatCrashesIsStartedAtMostFiveTimes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t)
		f.submit(&api.TaskGroup{Count: 1})
		evidence := rapid.SliceOfN(rapid.SampledFrom([]api.CrashEvidence{recent, suspect, sole}), 6, 6).Draw(rt, "evidence")
		evidence = slices.Insert(evidence, rapid.IntRange(0, 6).Draw(rt, "unknown at"), unknown)
		f.weight, f.conclusive = rapid.Int32Range(0, 10).Draw(rt, "weight"), rapid.Int32Range(0, 40).Draw(rt, "conclusive")
		starts := 0
		for i, e := range evidence {
			if f.lose(int32(i+1), e) {
				starts++
			}
		}
		if starts > 5 {
			rt.Fatalf("%d starts with evidence %v", starts, evidence)
		}
	})
}

// A worker that is back after its lease was over shows that it crashed when the task has
// been started elsewhere already.
func TestLateCrashOfAnEndedRunCountsOnce(t *testing.T) {
	f := newFixture(t)
	f.submit(&api.TaskGroup{Count: 1})
	f.lose(1, silent)
	f.mustApply(startChange(runID(0, 0, 2), "w2"))
	f.mustApply(begunChange(runID(0, 0, 2)))
	f.mustApply(crashChange(runID(0, 0, 1), suspect))
	if err := f.apply(crashChange(runID(0, 0, 1), suspect)); err == nil {
		t.Error("the crash was counted twice")
	}
	if err := f.apply(crashChange(runID(0, 0, 3), sole)); err == nil {
		t.Error("the crash of a run that has not started was counted")
	}
	f.wantPhase(PhaseRunning)
	f.mustApply(crashChange(runID(0, 0, 2), suspect))
	f.wantPhase(PhaseFailed)
}

// Guards against a crash that is reported again, on an agent's next session, after the
// task has been cleared.
func TestCrashBeforeASurvivedRunDoesNotCount(t *testing.T) {
	f := newFixture(t)
	f.submit(&api.TaskGroup{Count: 1})
	f.lose(1, suspect)
	f.lose(2, suspect)
	f.lose(3, survived)
	f.state = f.state.Clone()
	for number := int32(1); number <= 3; number++ {
		if err := f.apply(crashChange(runID(0, 0, number), sole)); err == nil {
			t.Errorf("the crash under run %d was counted after run 3 had survived", number)
		}
	}
	f.lose(4, sole)
	f.wantPhase(PhaseRunning)
	f.lose(5, sole)
	f.wantPhase(PhaseFailed)
}
