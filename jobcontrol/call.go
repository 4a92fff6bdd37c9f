package jobcontrol

import (
	"context"
	"regexp"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// jobIDPattern matches the job ids that callers may choose.
var jobIDPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// Call handles one call of a caller. Errors: fault.NotLeader and fault.NoQuorum
// when nothing was done; fault.CommitUnknown when a submission or cancellation
// may still take effect.
func (s *Server) Call(ctx context.Context, call *api.JobCall) (*api.JobAnswer, error) {
	lead, err := s.currentLeadership()
	if err != nil {
		return nil, s.toStatus(ctx, err)
	}
	answer, err := s.answerCall(ctx, lead, call)
	telemetry.JobCalls.Add(1, call.Kind.String(), answerName(answer, err))
	if err != nil {
		return nil, s.toStatus(ctx, err)
	}
	return answer, nil
}

// answerName returns the label of an answer or error in metrics.
func answerName(answer *api.JobAnswer, err error) string {
	if err != nil {
		return fault.KindOf(err).String()
	}
	return answer.Kind.String()
}

// target is the queue and the job that a path refers to.
type target struct {
	queue   string // key
	job     string // empty for a call about the queue itself
	found   bool   // whether the queue exists
	version int64  // of the configuration that resolved the path, 0 for none
}

func (l *leadership) resolve(call *api.JobCall) (t target) {
	l.server.config.State.Read(func(view jobs.View) {
		t.version = view.Configuration().GetVersion()
		t.queue, t.job, t.found = view.Resolve(call.Host, call.Path)
	})
	return t
}

func (s *Server) answerCall(ctx context.Context, lead *leadership, call *api.JobCall) (*api.JobAnswer, error) {
	t := lead.resolve(call)
	if !t.found || t.job == "" || call.Kind == api.JobCallKind_JOB_CALL_KIND_LOOK {
		if err := s.confirmRead(ctx); err != nil {
			return nil, err
		}
		t = lead.resolve(call)
	}
	answer, err := s.answerTarget(ctx, lead, call, t)
	if answer != nil {
		answer.Version = t.version
	}
	return answer, err
}

func (s *Server) answerTarget(ctx context.Context, lead *leadership, call *api.JobCall, t target) (*api.JobAnswer, error) {
	switch {
	case t.version == 0:
		return &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_UNCONFIGURED, Reason: "no configuration yet"}, nil
	case !t.found:
		return &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_NO_QUEUE}, nil
	case t.job == "" && call.Kind == api.JobCallKind_JOB_CALL_KIND_LOOK:
		return s.countPending(t), nil
	case !jobIDPattern.MatchString(t.job):
		return &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_NO_JOB, Reason: "not a job id"}, nil
	}
	switch call.Kind {
	case api.JobCallKind_JOB_CALL_KIND_SUBMIT:
		return lead.submit(ctx, call, t)
	case api.JobCallKind_JOB_CALL_KIND_CANCEL:
		return lead.cancelJob(ctx, call, t)
	}
	return s.jobState(t), nil
}

func (s *Server) countPending(t target) *api.JobAnswer {
	answer := &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_PENDING}
	s.config.State.Read(func(view jobs.View) { answer.Pending = view.Pending(t.queue) })
	return answer
}

func (s *Server) jobState(t target) *api.JobAnswer {
	answer := &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_NO_JOB, Reason: "no such job"}
	s.config.State.Read(func(view jobs.View) {
		job := view.Job(t.job)
		if job == nil || job.QueueKey != t.queue || job.Spec == nil {
			return
		}
		answer.Kind, answer.Reason = api.JobAnswerKind_JOB_ANSWER_KIND_STATE, ""
		answer.State = job.Phase.String()
	})
	return answer
}

func (l *leadership) submit(ctx context.Context, call *api.JobCall, t target) (*api.JobAnswer, error) {
	if err := jobs.CheckSpec(call.Spec); err != nil {
		return &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_INVALID, Reason: err.Error()}, nil
	}
	verdict, release := l.admit(call, t)
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		release()
	}()
	if verdict.Refuse {
		answer, err := l.refuseJob(ctx, call, t, verdict)
		if answer != nil || err != nil {
			return answer, err
		}
	}
	received := l.server.now()
	err := l.commit(ctx, &api.JobChange{Body: &api.JobChange_Submit{
		Submit: &api.SubmitJob{Key: &api.JobKey{Queue: t.queue, Job: t.job}, Spec: call.Spec, Zone: call.Zone},
	}})
	klog.InfoS("Job submitted", "job", t.job, "queue", t.queue, "zone", call.Zone, "version", t.version,
		"attempt", call.Attempt, "commit_ms", l.millisSince(received), "error", err, "shape", jobs.Shape(call.Spec))
	switch {
	case fault.Is(err, fault.NotFound):
		return &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_NO_QUEUE}, nil
	case fault.Is(err, fault.Overloaded):
		return refusalAnswer("it was refused a moment ago", l.refusalDuration(call, t)), nil
	case err != nil:
		return nil, err
	}
	return &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_ACCEPTED}, nil
}

// millisSince returns the milliseconds since t, for log lines.
func (l *leadership) millisSince(t time.Time) int64 { return l.server.now().Sub(t).Milliseconds() }

func (l *leadership) cancelJob(ctx context.Context, call *api.JobCall, t target) (*api.JobAnswer, error) {
	err := l.commit(ctx, &api.JobChange{Body: &api.JobChange_Cancel{
		Cancel: &api.JobKey{Queue: t.queue, Job: t.job},
	}})
	klog.InfoS("Job cancelled", "job", t.job, "request", call.RequestId, "queue", t.queue, "attempt", call.Attempt, "error", err)
	if fault.Is(err, fault.NotFound) {
		return &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_NO_JOB, Reason: "no such job"}, nil
	}
	if err != nil {
		return nil, err
	}
	return &api.JobAnswer{Kind: api.JobAnswerKind_JOB_ANSWER_KIND_CANCELLED}, nil
}
