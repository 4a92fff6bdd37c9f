package jobs

import (
	"testing"

	"amaranthpaddle/api"
)

// Guards against a zone that is lost with a snapshot or a copy of the state, and against
// one that changes when a caller repeats its submission through another zone: the job
// would count for two callers. Entries of older builds name no zone.
func TestJobKeepsTheZoneOfItsFirstSubmission(t *testing.T) {
	f := newFixture(t)
	first, older := submitChange(testJob, &api.TaskGroup{Count: 1}), submitChange("00000000000000bb", &api.TaskGroup{Count: 1})
	first.GetSubmit().Zone = "za"
	f.mustApply(first)
	f.mustApply(older)
	for _, zone := range []string{"zb", ""} {
		again := submitChange(testJob, &api.TaskGroup{Count: 1})
		again.GetSubmit().Zone = zone
		f.mustApply(again)
	}
	snapshot, err := f.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"state": f.state, "copy": f.state.Clone(), "snapshot": restored} {
		state.Read(func(view View) {
			if a, b := view.Job(testJob).Zone, view.Job("00000000000000bb").Zone; a != "za" || b != "" {
				t.Errorf("%s: zones %q and %q", name, a, b)
			}
		})
	}
}
