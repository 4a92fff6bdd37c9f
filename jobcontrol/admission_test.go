package jobcontrol

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
)

// Guards against answers that change with the setting off, where the time to return is
// that of the verdict, and against refused callers that return together with it on. The
// refusal holds under a new leader either way.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	for _, forecast := range []bool{false, true} {
		inBubble(t, func(r *rig) {
			r.serve(dispatch.Policy{ForecastAdmission: forecast})
			r.configure()
			a := r.connect("a")
			r.wait(agentReconnectTime)
			a.report()
			first := r.mustCall(submit, testPath, tooLarge(), refused).RetryAfterMs
			firstAt := time.Now().Add(time.Duration(first) * time.Millisecond)
			second := r.mustCall(submit, "/q/00000000000000bb", tooLarge(), refused).RetryAfterMs
			secondAt := time.Now().Add(time.Duration(second) * time.Millisecond)
			if !forecast && (first != 10_000 || second != 10_000) {
				t.Errorf("return after %d and %d ms", first, second)
			}
			if forecast && (first < 10_000 || !secondAt.After(firstAt) || second > 11_000) {
				t.Errorf("return after %d and %d ms, at %v and %v", first, second, firstAt, secondAt)
			}
			r.replica.lead(2, false)
			r.wait(100 * time.Millisecond)
			r.replica.lead(3, true)
			r.wait(100 * time.Millisecond)
			r.mustCall(submit, testPath, oneTask(), refused)
		})
	}
}

// Guards against accepted jobs that come too late unnoticed, are counted twice, or are
// counted although they were cancelled.
func TestAcceptedJobsThatComeTooLateAreCounted(t *testing.T) {
	count := metrics.GetOrCreateCounter(`paddle_jobs_accepted_too_late_total{queue="h /q/"}`)
	inBubble(t, func(r *rig) {
		r.configure()
		before := count.Get()
		job := &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 1000, EstimatedMs: 100}}}
		r.mustCall(submit, testPath, job, accepted) // no worker is there
		r.mustCall(submit, testPath, job, accepted)
		r.mustCall(submit, "/q/00000000000000bb", job, accepted)
		if _, err := r.call(api.JobCallKind_JOB_CALL_KIND_CANCEL, "/q/00000000000000bb", nil); err != nil {
			t.Fatal(err)
		}
		r.wait(time.Second)
		if got := count.Get() - before; got != 0 {
			t.Errorf("%d jobs counted before they are late", got)
		}
		r.wait(6 * time.Second) // three objectives are 1.5 s
		if got := count.Get() - before; got != 1 {
			t.Errorf("%d jobs counted", got)
		}
	})
}
