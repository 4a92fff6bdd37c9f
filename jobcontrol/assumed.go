package jobcontrol

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// While no batch has failed, the assumed state is the committed one with the outstanding
// batches applied. If it has parted from that, the leader plans runs that the log refuses,
// or leaves jobs out of its plans, until its term ends. So it is compared with the committed
// state, and replaced if it differs.

// assumedCheckInterval is the time between comparisons of the states while nothing is
// outstanding. A comparison costs about as much as the part of a round that looks at all
// tasks.
const assumedCheckInterval = time.Second

// Ways in which a difference is found, as values of the label of
// telemetry.JobAssumedDifferences.
const (
	differentResult = "result" // of a change
	differentState  = "state"
)

// compareResults compares the results of a committed batch with those that its changes had
// on the assumed state. The lock is held.
func (l *leadership) compareResults(b *batch, results []*api.JobChangeResult) {
	if l.assumedStale {
		return // the assumed state had changes of a batch that failed
	}
	for i, p := range b.changes {
		if proto.Equal(b.assumed[i], results[i]) {
			continue
		}
		kind, job := describeChange(p.change)
		klog.ErrorS(jobs.ResultError(results[i]), "Assumed state differs from the committed one", "found", differentResult,
			"change", kind, "job", job, "assumed_error", jobs.ResultError(b.assumed[i]), "term", l.term)
		l.replaceAssumed(differentResult)
		return
	}
}

// compareStates compares the assumed state with the committed one if nothing is
// outstanding and the last comparison is long enough ago. The lock is held.
func (l *leadership) compareStates() {
	now := l.server.now()
	if l.assumedStale || l.outstanding > 0 || now.Sub(l.assumedCheckedAt) < assumedCheckInterval {
		return
	}
	l.assumedCheckedAt = now
	if difference := jobs.Difference(l.assumed, l.server.config.State); difference != "" {
		klog.ErrorS(nil, "Assumed state differs from the committed one", "found", differentState, "difference", difference, "term", l.term)
		l.replaceAssumed(differentState)
	}
}

func (l *leadership) replaceAssumed(found string) {
	telemetry.JobAssumedDifferences.Add(1, found)
	l.markAssumedStale()
}

// describeChange returns the type of a change and the job that it is about, empty if it is
// about none.
func describeChange(change *api.JobChange) (kind, job string) {
	message := change.ProtoReflect()
	if field := message.WhichOneof(message.Descriptor().Oneofs().ByName("body")); field != nil {
		kind = string(field.Name())
	}
	switch body := change.Body.(type) {
	case *api.JobChange_Submit:
		job = body.Submit.GetKey().GetJob()
	case *api.JobChange_Cancel:
		job = body.Cancel.GetJob()
	case *api.JobChange_Refuse:
		job = body.Refuse.GetJob()
	case *api.JobChange_Start:
		job = body.Start.GetRun().GetTask().GetJob()
	case *api.JobChange_End:
		job = body.End.GetRun().GetTask().GetJob()
	case *api.JobChange_Crash:
		job = body.Crash.GetRun().GetTask().GetJob()
	case *api.JobChange_Begun:
		job = body.Begun.GetRun().GetTask().GetJob()
	}
	return kind, job
}
