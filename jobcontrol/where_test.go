package jobcontrol

import (
	"context"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

func (r *rig) where(query WhereQuery) (dispatch.Explanation, error) {
	r.wait(whereInterval)
	return r.server.Where(context.Background(), query)
}

// stateRecord returns the encoded state and assumed state, apart from the order of jobs
// and the time, which the rounds set.
func (r *rig) stateRecord() (records []string) {
	for _, state := range []*jobs.State{r.state, r.server.lead.assumed} {
		data, err := state.Snapshot()
		record := &api.JobStateSnapshot{}
		if err == nil {
			err = proto.Unmarshal(data, record)
		}
		if err != nil {
			r.t.Fatal(err)
		}
		record.NowUnixMs = 0
		slices.SortFunc(record.Jobs, func(a, b *api.JobRecord) int { return int(a.SubmittedUnixMs - b.SubmittedUnixMs) })
		records = append(records, record.String())
	}
	return records
}

// An explanation that submits the job, notes it as seen, or plans with another input
// than the rounds changes the plan that it explains, or names other starts.
func TestWhereNamesTheStartsOfASubmissionAndChangesNothing(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a, b := r.connect("a"), r.connect("b")
		b.milliCPU = 1000
		b.report()
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(3 * time.Second)
		a.report()
		b.report()
		spec := &api.JobSpec{Groups: []*api.TaskGroup{{Count: 3, MilliCpu: 1500, EstimatedMs: 100}}}
		before, seen := r.stateRecord(), len(r.server.lead.firstSeen)
		got, err := r.where(WhereQuery{Host: "h", Path: "/q/", Spec: spec})
		if err != nil || len(got.Groups) != 1 || got.Admission == nil || got.Admission.Refused || got.Job != "" {
			t.Fatalf("%+v, %v", got, err)
		}
		if after := r.stateRecord(); !slices.Equal(before, after) || len(r.server.lead.firstSeen) != seen {
			t.Errorf("the state has changed from %v to %v", before, after)
		}
		if group := got.Groups[0]; group.Starts != 2 || len(group.Workers) != 1 || group.Left != 1 || group.Room == nil {
			t.Errorf("%+v", group)
		}
		tooLarge := &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 4001}}}
		if got, err := r.where(WhereQuery{Host: "h", Path: "/q/", Spec: tooLarge}); err != nil || !got.Admission.Refused {
			t.Errorf("a task larger than each worker: %+v, %v", got, err)
		}
		a.drainDirectives()
		b.drainDirectives()
		r.mustCall(submit, "/q/00000000000000bb", spec, accepted)
		r.wait(200 * time.Millisecond)
		onA, _, _, _ := a.drainDirectives()
		onB, _, _, _ := b.drainDirectives()
		if len(onA) != 2 || len(onB) != 0 || got.Groups[0].Workers[0].Worker != jobs.WorkerKey(a.worker, 1) {
			t.Errorf("started %v and %v, explained %+v", onA, onB, got.Groups[0].Workers)
		}
		if got, err := r.where(WhereQuery{Job: "00000000000000bb"}); err != nil || got.Groups[0].Left != 1 || got.Admission != nil {
			t.Errorf("%+v, %v", got, err)
		}
	})
}

// An operator who mistypes a queue or job, or asks a replica without a quorum, must not
// take the answer for one about the job.
func TestWhereRefusesWhatItCannotExplain(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		for _, c := range []struct {
			query WhereQuery
			want  fault.Kind
		}{
			{WhereQuery{Job: "00000000000000cc"}, fault.NotFound},
			{WhereQuery{Job: unsentJob}, fault.NotFound},
			{WhereQuery{Host: "h", Path: "/other/", Spec: oneTask()}, fault.NotFound},
			{WhereQuery{Host: "h", Path: "/q/", Spec: &api.JobSpec{}}, fault.InvalidArgument},
			{WhereQuery{Host: "h", Path: "/q/"}, fault.InvalidArgument},
			{WhereQuery{Host: "h", Path: "/q/", Spec: &api.JobSpec{Groups: []*api.TaskGroup{{Count: maxUnsentTasks + 1}}}}, fault.InvalidArgument},
			{WhereQuery{Job: "00000000000000cc", Spec: oneTask()}, fault.InvalidArgument},
			{WhereQuery{Spec: oneTask()}, fault.InvalidArgument},
		} {
			if _, err := r.where(c.query); !fault.Is(err, c.want) {
				t.Errorf("%+v: %v, want %v", c.query, err, c.want)
			}
		}
		r.wait(whereInterval)
		_ = r.server.where.begin(time.Now())
		if _, err := r.where(WhereQuery{Job: testJob}); !fault.Is(err, fault.Overloaded) {
			t.Errorf("a second query at a time: %v", err)
		}
		r.server.where.end(time.Now())
		r.replica.lead(2, false)
		if _, err := r.where(WhereQuery{Job: testJob}); !fault.Is(err, fault.NotLeader) {
			t.Errorf("a follower: %v", err)
		}
	})
}
