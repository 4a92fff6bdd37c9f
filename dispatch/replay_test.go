package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// jobKind is a kind of job that a load submits, at a rate per second with a factor in the
// burst, or regularly. The count of its tasks varies from job to job unless the load is even.
type jobKind struct {
	queue       string
	rate, burst float64
	group       *api.TaskGroup
	every       time.Duration // in an even load, 0 for a rate
}

// replayedLoad is a load on a fleet, some of whose room services take.
type replayedLoad struct {
	name     string
	workers  int
	services *api.TaskGroup
	kinds    []jobKind
	policy   Policy
	refuses  bool          // some jobs are surely too late
	equal    bool          // both queues have the same priority
	even     bool          // all jobs of a kind have as many tasks, one kind has a rate, and nothing is learnt
	actual   time.Duration // of each task if the load is even
	long     float64       // share of these tasks that take seven times as long

	// zone returns the zone in which a job of a kind arrives; draw is from 0 up to 1. It
	// is nil if all arrive in one.
	zone    func(kind int, at time.Duration, draw float64) string
	unnamed bool // entries don't name their zones
}

const (
	burstFrom   = 8 * time.Second
	burstUntil  = 12 * time.Second
	arriveUntil = 25 * time.Second
	replayUntil = 45 * time.Second
)

// replayedJob is what became of a job.
type replayedJob struct {
	queue, zone        string
	group              *api.TaskGroup
	at, objective, end time.Duration   // end is 0 if it did not complete
	waits              []time.Duration // of its tasks that have started
	verdict            Verdict
}

func (j *replayedJob) inTime() bool { return j.end > 0 && j.end-j.at <= j.objective }
func (j *replayedJob) useful() bool { return j.end > 0 && j.end-j.at <= expiryFactor*j.objective }

// replay is the course of a load.
type replay struct {
	*fixture
	load      replayedLoad
	admission bool
	arrivals  *Arrivals
	noise     *rand.Rand
	jobs      []*replayedJob
	byID      map[string]*replayedJob
	zones     *rand.Rand
	next      time.Duration // arrival of the kind with a rate in an even load
}

// replay plays the load. The same jobs arrive with and without admission. Tasks take their
// declared duration, off by 0.3 (standard deviation of the logarithm), unless the load is
// even.
func (l replayedLoad) replay(t testing.TB, seed uint64, admission bool) *replay {
	step, until := 50*time.Millisecond, replayUntil
	if l.even {
		step, until = 20*time.Millisecond, 40*time.Second
	}
	r := l.newReplay(t, seed, admission)
	if l.services != nil {
		r.takes = nil
		r.submit(urgentQueue, l.services)
		r.plan()
	}
	r.takes = r.started
	arriving := rand.New(rand.NewPCG(seed, 1))
	for r.now < until {
		if l.even {
			r.arriveEvenly()
		} else if r.now < arriveUntil {
			r.arrive(arriving, step)
		}
		for _, done := range r.endDue() {
			r.byID[done].end = r.now
		}
		r.plan()
		r.pass(step)
	}
	return r
}

// newReplay returns a replay that has not begun.
func (l replayedLoad) newReplay(t testing.TB, seed uint64, admission bool) *replay {
	stream := uint64(2)
	if l.even {
		stream = 4
	}
	r := &replay{
		fixture: newFixture(t, l.workers), load: l, admission: admission, arrivals: NewArrivals(),
		noise: rand.New(rand.NewPCG(seed, stream)), byID: map[string]*replayedJob{},
	}
	r.demand, r.zones = NewZoneDemand(), rand.New(rand.NewPCG(seed, 3))
	if r.policy, r.listing = l.policy, !l.even; l.equal {
		r.equalPriorities()
	}
	return r
}

// arrive submits the jobs of a step.
func (r *replay) arrive(arriving *rand.Rand, step time.Duration) {
	for k, kind := range r.load.kinds {
		rate := kind.rate
		if r.now >= burstFrom && r.now < burstUntil {
			rate *= kind.burst
		}
		scale := math.Exp(0.4 * arriving.NormFloat64())
		for n := rate * step.Seconds(); n > 0; n-- {
			if arriving.Float64() < n {
				zone := ""
				if r.load.zone != nil {
					zone = r.load.zone(k, r.now, r.zones.Float64())
				}
				r.submitKind(kind, zone, scale)
			}
		}
	}
}

// arriveEvenly submits the jobs that are due, without a burst.
func (r *replay) arriveEvenly() {
	for _, kind := range r.load.kinds {
		if kind.every > 0 && r.now%kind.every == 0 {
			r.submitKind(kind, "", 1)
		}
		for ; kind.rate > 0 && r.next <= r.now; r.next += time.Duration(r.noise.ExpFloat64() / kind.rate * float64(time.Second)) {
			r.submitKind(kind, "", 1)
		}
	}
}

func (r *replay) submitKind(kind jobKind, zone string, scale float64) {
	group := proto.CloneOf(kind.group)
	group.Count = max(int32(scale*float64(group.Count)), 1)
	if r.zone = zone; r.load.unnamed {
		r.zone = ""
	}
	s := Submission{QueueKey: kind.queue, Zone: r.zone, Spec: &api.JobSpec{Groups: []*api.TaskGroup{group}}}
	job := &replayedJob{queue: kind.queue, zone: zone, group: kind.group, at: r.now}
	r.jobs = append(r.jobs, job)
	now := time.Unix(0, 0).Add(r.now)
	r.state.Read(func(view jobs.View) {
		s.Queue = view.Queue(kind.queue)
		job.objective = Objective(s.Queue, s.Spec, NewDurations().ForQueue(kind.queue))
		if r.admission {
			job.verdict = AdmitForecast(view, r.input(), s, r.arrivals, now)
		}
	})
	if job.verdict.Refuse {
		return
	}
	if !r.load.even {
		estimate := r.learned.Durations.ForQueue(kind.queue)
		r.arrivals.Learn(kind.queue, s.Spec, estimate, now)
		r.learned.QueueWork.Learn(kind.queue, Work(s.Spec, estimate))
		r.demand.Learn(kind.queue, r.zone, Work(s.Spec, estimate), now)
	}
	r.byID[r.submit(kind.queue, group)] = job
}

// started notes the start of a run and returns how long it takes.
func (r *replay) started(job *jobs.Job, group *api.TaskGroup) time.Duration {
	replayed := r.byID[job.ID]
	replayed.waits = append(replayed.waits, r.now-replayed.at)
	if r.load.even && r.noise.Float64() < r.load.long {
		return 7 * r.load.actual
	} else if r.load.even {
		return r.load.actual
	}
	took := int64(float64(group.EstimatedMs) * math.Exp(0.3*r.noise.NormFloat64()))
	r.learned.Durations.Learn(job.QueueKey, group.EstimatedMs, took)
	return milliseconds(float64(took))
}

// waitMS returns a quantile of the waits of the tasks of a kind in an even load, in
// milliseconds. Tasks that have not started have waited until the end.
func (r *replay) waitMS(kind jobKind, q float64) int64 {
	var waits []time.Duration
	for _, job := range r.jobs {
		if job.group == kind.group {
			waits = append(waits, job.waits...)
			waits = append(waits, slices.Repeat([]time.Duration{r.now - job.at}, int(kind.group.Count)-len(job.waits))...)
		}
	}
	slices.SortFunc(waits, cmp.Compare)
	return waits[int(q*float64(len(waits)-1))].Milliseconds()
}
