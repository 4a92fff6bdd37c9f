package jobcontrol

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

// refusalMargin is added to the time for which an earlier attempt of a refused
// submission may still be in transit. It allows for clock steps.
const refusalMargin = 2 * time.Second

// admit decides whether a submission is accepted. It never refuses a job that was
// accepted before, nor any job in the first agentReconnectTime of a leadership.
func (l *leadership) admit(call *api.JobCall, t target) (verdict dispatch.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assumed.Read(func(view jobs.View) {
		queue := view.Queue(t.queue)
		if queue == nil || view.Job(t.job) != nil || l.server.now().Sub(l.since) < agentReconnectTime {
			return
		}
		submission := dispatch.Submission{QueueKey: t.queue, Queue: queue, Spec: call.Spec}
		verdict = dispatch.Admit(view, l.planInput(view), submission, l.drain.PerSecond(l.server.now()))
	})
	return verdict
}

// agentReconnectTime is how long agents may take to connect to a new leader.
const agentReconnectTime = 3 * time.Second

// refuseJob commits a refusal, so that no replica accepts an earlier attempt of
// the submission afterwards. It returns nil, nil when the job was accepted in the
// meantime.
func (l *leadership) refuseJob(ctx context.Context, call *api.JobCall, t target, verdict dispatch.Verdict) (*api.JobAnswer, error) {
	duration := l.refusalDuration(call, t)
	err := l.commit(ctx, &api.JobChange{Body: &api.JobChange_Refuse{Refuse: &api.JobRefusal{
		Job: t.job, UntilUnixMs: l.server.config.UnixTime().Add(duration).UnixMilli(),
	}}})
	klog.InfoS("Job refused", "job", t.job, "queue", t.queue, "version", t.version, "attempt", call.Attempt,
		"reason", verdict.Reason, "wait_ms", verdict.Wait.Milliseconds(), "retry_after_ms", verdict.RetryAfter.Milliseconds(),
		"error", err, "shape", jobs.Shape(call.Spec))
	switch {
	case fault.Is(err, fault.Conflict):
		return nil, nil
	case err != nil:
		return nil, err
	}
	return refusalAnswer(verdict.Reason, max(verdict.RetryAfter, duration)), nil
}

// refusalDuration returns how long a refusal stays in force: until no entry can
// still send an earlier attempt of the submission.
func (l *leadership) refusalDuration(call *api.JobCall, t target) time.Duration {
	longestMs := call.RemainingMs
	l.server.config.State.Read(func(view jobs.View) {
		longestMs = max(longestMs, view.Queue(t.queue).GetTimeoutMs())
	})
	return time.Duration(longestMs)*time.Millisecond + refusalMargin
}

func refusalAnswer(reason string, retryAfter time.Duration) *api.JobAnswer {
	return &api.JobAnswer{
		Kind: api.JobAnswerKind_JOB_ANSWER_KIND_REFUSED, Reason: reason, RetryAfterMs: retryAfter.Milliseconds(),
	}
}
