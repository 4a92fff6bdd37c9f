package jobcontrol

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

// WhereQuery asks where the waiting tasks of a job would go now: of an accepted job by
// its id or, without an id, of a job that is not sent.
type WhereQuery struct {
	Job  string
	Host string // with Path, where the job that is not sent would be submitted
	Path string
	Spec *api.JobSpec
}

// unsentJob is the id of a job that is not sent, in a copy of the state. It is not an id
// that callers can choose, and comes after all of those in the order.
const unsentJob = "unsent"

// whereInterval is the least time between two explanations. Each holds up the rounds for
// 1.7 to 2.7 ms at 240 workers with a backlog, and for 2.5 ms more, to copy the state, for
// a job that is not sent.
const whereInterval = 250 * time.Millisecond

// maxUnsentTasks bounds the plan for a job that is not sent, over all its occurrences. That
// many tasks, all of which find a worker, take 38 ms at 240 workers.
const maxUnsentTasks = 5000

// whereLimiter admits one query at a time.
type whereLimiter struct {
	mu      sync.Mutex
	busy    bool
	endedAt time.Time
}

func (w *whereLimiter) begin(now time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy || now.Sub(w.endedAt) < whereInterval {
		return fault.Newf(fault.Overloaded, "at most one query each %v", whereInterval)
	}
	w.busy = true
	return nil
}

func (w *whereLimiter) end(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy, w.endedAt = false, now
}

// Where explains what the next plan does with a job. It changes nothing. Errors:
// fault.InvalidArgument for a query or specification that is not valid; fault.NotFound
// for an unknown queue or job; fault.Overloaded for too many queries; fault.NotLeader
// and fault.NoQuorum.
func (s *Server) Where(ctx context.Context, query WhereQuery) (dispatch.Explanation, error) {
	lead, err := s.currentLeadership()
	if err != nil {
		return dispatch.Explanation{}, err
	}
	if err := query.check(); err != nil {
		return dispatch.Explanation{}, err
	}
	if err := s.where.begin(s.now()); err != nil {
		return dispatch.Explanation{}, err
	}
	defer func() { s.where.end(s.now()) }()
	if err := s.confirmRead(ctx); err != nil {
		return dispatch.Explanation{}, err
	}
	began := s.now()
	explanation, err := lead.explain(query)
	klog.InfoS("Job explained", "job", query.Job, "host", query.Host, "path", query.Path, "took_ms", lead.millisSince(began), "error", err)
	return explanation, err
}

func (q WhereQuery) check() error {
	switch {
	case q.Job != "" && (q.Spec != nil || q.Host != "" || q.Path != ""):
		return fault.New(fault.InvalidArgument, "either the id of a job, or the host, path and specification of one that is not sent")
	case q.Job != "":
		return nil
	case q.Host == "" || q.Path == "":
		return fault.New(fault.InvalidArgument, "a job that is not sent needs the host and path of its queue")
	}
	if err := jobs.CheckSpec(q.Spec); err != nil {
		return err
	}
	tasks := int64(0)
	for _, group := range q.Spec.Groups {
		tasks += int64(group.Count)
	}
	if tasks*int64(max(1, q.Spec.GetSchedule().GetTimes())) > maxUnsentTasks {
		return fault.Newf(fault.InvalidArgument, "a job of more than %d tasks is not explained before it is sent", maxUnsentTasks)
	}
	return nil
}

func (l *leadership) explain(query WhereQuery) (dispatch.Explanation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if query.Job != "" {
		return l.explainIn(l.assumed, query.Job)
	}
	queue, verdict, err := l.verdictOn(query)
	if err != nil {
		return dispatch.Explanation{}, err
	}
	copied := l.assumed.Clone()
	result := copied.ApplyBatch(&api.JobBatch{
		NowUnixMs: l.server.config.UnixTime().UnixMilli(), RetainMs: l.server.config.Retain.Milliseconds(),
		Changes: []*api.JobChange{{Body: &api.JobChange_Submit{
			Submit: &api.SubmitJob{Key: &api.JobKey{Queue: queue, Job: unsentJob}, Spec: query.Spec},
		}}},
	})
	if err := jobs.ResultError(result.Results[0]); err != nil {
		return dispatch.Explanation{}, err
	}
	explanation, err := l.explainIn(copied, unsentJob)
	explanation.Job, explanation.Admission = "", verdict
	return explanation, err
}

// verdictOn returns the queue of a job that is not sent and the verdict of admission on
// it. As a submission, it is not refused while agents connect to a new leader. The lock
// is held.
func (l *leadership) verdictOn(query WhereQuery) (key string, admission *dispatch.Admission, err error) {
	l.assumed.Read(func(view jobs.View) {
		found := false
		if key, _, found = view.Resolve(query.Host, query.Path); !found {
			err = fault.Newf(fault.NotFound, "no queue for path %s of host %s", query.Path, query.Host)
			return
		}
		verdict := dispatch.Verdict{Reason: "no job is refused while agents connect to a new leader"}
		if now := l.server.now(); now.Sub(l.since) >= agentReconnectTime {
			submission := dispatch.Submission{QueueKey: key, Queue: view.Queue(key), Spec: query.Spec}
			verdict = l.verdict(view, l.passiveInput(view, nil), submission, now)
		}
		admission = &dispatch.Admission{
			Refused: verdict.Refuse, Reason: verdict.Reason,
			WaitMS: verdict.Wait.Milliseconds(), RetryAfterMS: verdict.RetryAfter.Milliseconds(),
		}
	})
	return key, admission, err
}

// explainIn explains a job in a state. The lock is held.
func (l *leadership) explainIn(state *jobs.State, job string) (explanation dispatch.Explanation, err error) {
	var panicked any
	state.Read(func(view jobs.View) {
		found := false
		in := l.passiveInput(view, func(id string, cause any) {
			if id == job {
				panicked = cause
			}
		})
		holdWorkers(in.Workers, l.preemption.unfinished(view, l.server.now()))
		if explanation, found = dispatch.ExplainJob(view, in, job); !found {
			err = fault.Newf(fault.NotFound, "no job %s", job)
		}
	})
	if panicked != nil {
		err = fault.Newf(fault.Internal, "the plan of this job fails: %v", panicked)
	}
	return explanation, err
}

// passiveInput is planInput without its effects: no adviser is asked, no job is noted as
// seen or as unplannable. A nil panicked ignores panics. The lock is held.
func (l *leadership) passiveInput(view jobs.View, panicked func(job string, cause any)) dispatch.Input {
	in, now := l.planInput(view), l.server.now()
	in.Age = func(job *jobs.Job) time.Duration {
		if first, known := l.firstSeen[job.ID]; known {
			return now.Sub(first)
		}
		return 0
	}
	in.Panicked = func(job string, cause any) {
		if panicked != nil {
			panicked(job, cause)
		}
	}
	in.Tickets = func(_ *api.JobQueue, group jobs.GroupID) (map[string]string, bool) {
		cached := l.advice[group]
		if cached == nil || len(cached.tickets) == 0 || !now.Before(cached.validUntil) {
			return nil, false
		}
		return maps.Clone(cached.tickets), true
	}
	return in
}

// LeaderHost returns the host of the leader's address, empty when the leader is not
// known or is this replica.
func (s *Server) LeaderHost() string {
	status := s.config.Replica.Status()
	if status.Leader == 0 || status.Leader == status.ID {
		return ""
	}
	for _, member := range s.members() {
		if member.ID == status.Leader {
			host, _, _ := net.SplitHostPort(member.Address)
			return host
		}
	}
	return ""
}
