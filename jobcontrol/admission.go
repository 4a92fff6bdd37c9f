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

// refusalMargin is added to the time for which an earlier sending of a refused
// submission may still be on its way, for clocks that are stepped.
const refusalMargin = 2 * time.Second

// admit decides whether a submission is taken. One that was taken before stays so.
func (l *leadership) admit(call *api.JobCall, t target) (verdict dispatch.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assumed.Read(func(view jobs.View) {
		queue := view.Queue(t.queue)
		if queue == nil || view.Job(t.job) != nil || l.server.now().Sub(l.since) < agentReconnectTime {
			return
		}
		submission := dispatch.Submission{QueueKey: t.queue, Queue: queue, Spec: call.Spec}
		verdict = dispatch.Judge(view, l.planInput(view), submission, l.drain.PerSecond(l.server.now()))
	})
	return verdict
}

// agentReconnectTime is how long the workers' agents may take to find a new leader.
const agentReconnectTime = 3 * time.Second

// refuseJob commits a refusal, so that no replica takes an earlier sending of the
// submission after it. It returns nothing when the job was taken meanwhile.
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

// refusalDuration returns for how long a refusal holds: until no entry can still
// hold an earlier sending of the submission.
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
