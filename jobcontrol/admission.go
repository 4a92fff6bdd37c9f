package jobcontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// refusalMargin is added to the time for which an earlier attempt of a refused
// submission may still be in transit. It allows for clock steps.
const refusalMargin = 2 * time.Second

// admissionState is the soft state of admission. A new leader begins without it.
type admissionState struct {
	arrivals *dispatch.Arrivals
	returns  *dispatch.Returns
	demand   *dispatch.ZoneDemand
	accepted map[string]acceptedJob // by id, until it has ended or has no value left
	pending  map[string]jobs.Memory // of the submissions that are being committed, by queue key
}

// acceptedJob is a job whose value depends on its completion.
type acceptedJob struct {
	queue    string
	deadline time.Duration // from its submission, after which it has no value
	since    time.Time
}

func newAdmissionState() admissionState {
	return admissionState{
		arrivals: dispatch.NewArrivals(), returns: dispatch.NewReturns(), demand: dispatch.NewZoneDemand(),
		accepted: map[string]acceptedJob{}, pending: map[string]jobs.Memory{},
	}
}

// reserve counts the memory of a submission until release is called.
func (a *admissionState) reserve(queue string, memory jobs.Memory) (release func()) {
	a.pending[queue] = a.pending[queue].Add(memory)
	return func() {
		a.pending[queue] = a.pending[queue].Sub(memory)
		if a.pending[queue] == (jobs.Memory{}) {
			delete(a.pending, queue)
		}
	}
}

// admitMemory decides on a submission by the memory that jobs take. Its answer is that of
// the leader alone: replicas may have different memory, and must not differ in their state.
func (l *leadership) admitMemory(view jobs.View, queue string, memory jobs.Memory) dispatch.Verdict {
	ofQueue, total := view.Memory(queue)
	for key, pending := range l.admission.pending {
		total = total.Add(pending)
		if key == queue {
			ofQueue = ofQueue.Add(pending)
		}
	}
	return l.server.config.JobMemory.Admit(memory, ofQueue, total)
}

// admit decides whether a submission is accepted. It never refuses a job that was
// accepted before. In the first agentReconnectTime of a leadership it refuses jobs for
// their memory only. release must be called with the lock held once the submission has
// been committed or has failed.
func (l *leadership) admit(call *api.JobCall, t target) (verdict dispatch.Verdict, release func()) {
	memory := jobs.MemoryOf(call.Spec)
	release = func() {}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.server.now()
	l.assumed.Read(func(view jobs.View) {
		queue := view.Queue(t.queue)
		if queue == nil || view.Job(t.job) != nil {
			return
		}
		submission := dispatch.Submission{QueueKey: t.queue, Zone: call.Zone, Queue: queue, Spec: call.Spec}
		verdict = l.admitMemory(view, t.queue, memory)
		if !verdict.Refuse && now.Sub(l.since) >= agentReconnectTime {
			verdict = l.verdict(view, l.planInput(view), submission, now)
		}
		if !verdict.Refuse {
			l.noteAccepted(t.job, submission, now)
			release = l.admission.reserve(t.queue, memory)
		}
	})
	if verdict.Refuse && l.server.config.Policy.ForecastAdmission {
		earliest := max(verdict.RetryAfter, l.refusalDuration(call, t))
		zone := ""
		if l.server.config.Policy.FairShares {
			zone = call.Zone
		}
		verdict.RetryAfter = l.admission.returns.Book(t.queue, zone, earliest, verdict.Occupied, rand.Float64(), now)
	}
	return verdict, release
}

// verdict decides on a submission by the rule that is configured. The lock is held.
func (l *leadership) verdict(view jobs.View, in dispatch.Input, s dispatch.Submission, now time.Time) dispatch.Verdict {
	if l.server.config.Policy.ForecastAdmission {
		return dispatch.AdmitForecast(view, in, s, l.admission.arrivals, now)
	}
	return dispatch.Admit(view, in, s, l.drain.PerSecond(now))
}

// noteAccepted records a job that is being accepted. The lock is held.
func (l *leadership) noteAccepted(job string, s dispatch.Submission, now time.Time) {
	deadline, depends := s.Deadline(l.knowledge.Durations)
	if _, known := l.admission.accepted[job]; known || !depends {
		return
	}
	l.admission.accepted[job] = acceptedJob{queue: s.QueueKey, deadline: deadline, since: now}
	estimate := l.knowledge.Durations.ForQueue(s.QueueKey)
	l.admission.arrivals.Learn(s.QueueKey, s.Spec, estimate, now)
	l.admission.demand.Learn(s.QueueKey, s.Zone, dispatch.Work(s.Spec, estimate), now)
}

// countTooLate counts the accepted jobs that have lost all value, once each, and forgets
// those that have ended. The lock is held.
func (l *leadership) countTooLate() {
	now := l.server.now()
	l.server.config.State.Read(func(view jobs.View) {
		for id, a := range l.admission.accepted {
			job := view.Job(id)
			late := now.Sub(a.since) > a.deadline
			if job != nil && job.Phase.Ended() {
				late = job.Phase != jobs.PhaseCancelled && time.Duration(job.EndedMS-job.SubmittedMS)*time.Millisecond > a.deadline
			} else if !late {
				continue
			}
			delete(l.admission.accepted, id)
			if job != nil && late {
				telemetry.JobsTooLate.Add(1, a.queue)
				klog.InfoS("Accepted job came too late", "job", id, "queue", a.queue, "job_state", job.Phase.String(),
					"deadline_ms", a.deadline.Milliseconds())
			}
		}
	})
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
	klog.InfoS("Job refused", "job", t.job, "queue", t.queue, "zone", call.Zone, "version", t.version, "attempt", call.Attempt,
		"reason", verdict.Reason, "wait_ms", verdict.Wait.Milliseconds(), "retry_after_ms", verdict.RetryAfter.Milliseconds(),
		"error", err, "shape", jobs.Shape(call.Spec))
	switch {
	case fault.Is(err, fault.Conflict):
		return nil, nil
	case err != nil:
		return nil, err
	}
	telemetry.JobsRefused.Add(1, verdict.RefusalLabel())
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
