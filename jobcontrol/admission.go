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

// judge decides whether a submission is taken. One that was taken before stays so.
func (l *leadership) judge(call *api.JobCall, t target) (verdict dispatch.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assumed.Read(func(view jobs.View) {
		queue := view.Queue(t.queue)
		if queue == nil || view.Job(t.job) != nil || l.server.now().Sub(l.since) < joinTime {
			return
		}
		submission := dispatch.Submission{QueueKey: t.queue, Queue: queue, Spec: call.Spec}
		verdict = dispatch.Judge(view, l.planInput(view), submission, l.drain.PerSecond(l.server.now()))
	})
	return verdict
}

// joinTime is how long the workers' agents may take to find a new leader.
const joinTime = 3 * time.Second

// refuse commits a refusal, so that no replica takes an earlier sending of the
// submission after it. It returns nothing when the job was taken meanwhile.
func (l *leadership) refuse(ctx context.Context, call *api.JobCall, t target, verdict dispatch.Verdict) (*api.JobAnswer, error) {
	lasts := l.refusalTime(call, t)
	err := l.commit(ctx, &api.JobChange{Body: &api.JobChange_Refuse{Refuse: &api.JobRefusal{
		Job: t.job, UntilUnixMs: l.server.config.UnixTime().Add(lasts).UnixMilli(),
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
	return refusal(verdict.Reason, max(verdict.RetryAfter, lasts)), nil
}

// refusalTime returns for how long a refusal holds: until no entry can still
// hold an earlier sending of the submission.
func (l *leadership) refusalTime(call *api.JobCall, t target) time.Duration {
	longest := call.RemainingMs
	l.server.config.State.Read(func(view jobs.View) {
		longest = max(longest, view.Queue(t.queue).GetTimeoutMs())
	})
	return time.Duration(longest)*time.Millisecond + refusalMargin
}

func refusal(reason string, retryAfter time.Duration) *api.JobAnswer {
	return &api.JobAnswer{
		Kind: api.JobAnswerKind_JOB_ANSWER_KIND_REFUSED, Reason: reason, RetryAfterMs: retryAfter.Milliseconds(),
	}
}
