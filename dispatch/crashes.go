package dispatch

import (
	"maps"
	"math"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// WorkerCrashCase holds what is known when the crash of a worker is weighed as evidence
// against a run that the worker was starting.
type WorkerCrashCase struct {
	Ran          time.Duration // longest time that may lie between the start of the run and the crash
	Simultaneous int           // other workers that went down at the same time
	Workers      int           // of the fleet, with the one that crashed
	Rate         float64       // recent crashes of a worker per second
	RateAlone    float64       // of those that are not joint
	Others       []float64     // probability of each other suspect that it crashes its workers
	SameVM       bool          // the worker's VM has crashed under the task before
	Earlier      time.Duration // Ran of the crash before under the task, 0 if there was none or that is not known
}

// chance returns the probability that the worker crashes within that time although the
// run is innocent: for a reason of its own, for one that it shares with the workers that
// went down with it, or because of another suspect.
func (c WorkerCrashCase) chance() float64 {
	spared := 1 - min(c.Rate*c.Ran.Seconds(), 1)
	if others := c.Workers - 1; others > 0 {
		// Squared, since two independent crashes may coincide.
		shared := min(float64(c.Simultaneous)/float64(others), 1)
		spared *= 1 - shared*shared
	}
	for _, other := range c.Others {
		spared *= 1 - other
	}
	return 1 - spared
}

// FewSimultaneous reports whether some, but at most half, of the other workers went down
// with this one. Such a crash may prove nothing, yet it counts as one under its suspects:
// tasks that crash their workers together are bounded by their number of crashes.
func (c WorkerCrashCase) FewSimultaneous() bool {
	return c.Simultaneous > 0 && 2*c.Simultaneous <= c.Workers-1
}

// Parameters of the weights.
const (
	weightUnit = 0.4 // decimal logarithm of the likelihood ratio of one unit
	// maxSoleRatio bounds what one crash proves, as its likelihood ratio rests on a model
	// of the crashes.
	maxSoleRatio = 1e4
	// wronglyBlamed is the number of innocent tasks in outageRetention for which the evidence
	// is scaled. It is an estimate, no proven bound: crashes may depend on each other.
	wronglyBlamed = 0.01
)

// Weight returns what the crash adds to the suspicion against the run, in units of
// weightUnit, if it supports evidence of a kind.
func (c WorkerCrashCase) Weight(evidence api.CrashEvidence) int32 {
	for _, level := range evidenceLevels {
		if level.evidence != evidence {
			continue
		}
		weight := level.weight
		if evidence == api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT {
			weight = max(weight, units(min(1/c.chance(), maxSoleRatio)))
		}
		return weight
	}
	return 0
}

// ConclusiveSuspicion returns the suspicion from which a task is given up, in units of
// weightUnit, while workers crashed under a number of tasks within outageRetention. The
// number of innocent tasks that meet two more crashes by chance grows with the number of
// suspects and with the square of that of crashes, which is in proportion to it. The crash
// that makes a task a suspect proves nothing here.
func ConclusiveSuspicion(suspects int) int32 {
	if suspects == 0 {
		return 0
	}
	const first = 4 // weight of the crash that makes a task a suspect
	return first + units(math.Pow(float64(suspects), 3)/wronglyBlamed)
}

// units returns the weight of a finite likelihood ratio.
func units(likelihoodRatio float64) int32 {
	return int32(math.Log10(likelihoodRatio) / weightUnit)
}

// evidenceLevel is a likelihood ratio from which on a crash supports evidence.
type evidenceLevel struct {
	ratio    float64
	weight   int32 // least weight, in units of weightUnit
	evidence api.CrashEvidence
}

// evidenceLevels are those that the weights of the evidence in the log stand for; see
// jobs.Task.CrashProbability.
var evidenceLevels = []evidenceLevel{
	{250, 6, api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT},
	{40, 4, api.CrashEvidence_CRASH_EVIDENCE_SUSPECT},
	{16, 3, api.CrashEvidence_CRASH_EVIDENCE_RECENT},
}

// Weaken returns the evidence that the crash supports against the run, at most the
// reported one; CRASH_EVIDENCE_UNKNOWN if it supports none. A task that crashes its
// workers does so right after its start, so the likelihood ratio is the inverse of the
// chance that an innocent run meets such a crash.
func (c WorkerCrashCase) Weaken(reported api.CrashEvidence) api.CrashEvidence {
	if c.SameVM {
		// The VM may crash by itself, whatever it is given.
		reported = min(reported, api.CrashEvidence_CRASH_EVIDENCE_RECENT)
	}
	chance := c.chance()
	for _, level := range evidenceLevels {
		if level.evidence <= reported && level.ratio*chance <= 1 {
			return level.evidence
		}
	}
	return api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN
}

// Outages keeps when workers went down. Times may be given in any order. It is not safe
// for concurrent use.
type Outages struct {
	since    time.Time
	down     map[string]time.Time      // by worker's incarnation
	crashes  map[string]time.Time      // by worker's incarnation; without those that a suspect explains
	suspects map[jobs.TaskID]time.Time // latest crash under each task
	late     map[jobs.TaskID]lateCrashes
	lateRan  map[jobs.TaskID]ranTime // of the latest crash that a task may have caused some time after its start
}

// Parameters of Outages.
const (
	outageRetention   = time.Minute
	simultaneousRange = 100 * time.Millisecond // between the times of outages with one cause, as agents notice them
	// What is assumed of a fleet before it is observed: one crash in 600 worker-seconds.
	// It weighs as much as priorWorkerSeconds of observation, since fleets differ by
	// orders of magnitude.
	priorWorkerSeconds = 10
	priorCrashes       = priorWorkerSeconds / 600.0
)

// NewOutages returns an Outages that observes from now on.
func NewOutages(now time.Time) *Outages {
	return &Outages{since: now, down: map[string]time.Time{}, crashes: map[string]time.Time{}, suspects: map[jobs.TaskID]time.Time{},
		late: map[jobs.TaskID]lateCrashes{}, lateRan: map[jobs.TaskID]ranTime{}}
}

// Note records that a worker's incarnation does not answer since a time, the zero time if
// it answers again.
func (o *Outages) Note(key string, since, now time.Time) {
	if since.IsZero() {
		delete(o.down, key)
		return
	}
	o.down[key] = since
	dropOlder(o.down, now)
}

// Crash records that an incarnation crashed at a time.
func (o *Outages) Crash(key string, at, now time.Time) {
	o.Note(key, at, now)
	o.crashes[key] = at
	dropOlder(o.crashes, now)
	dropOlder(o.suspects, now)
	maps.DeleteFunc(o.late, func(_ jobs.TaskID, late lateCrashes) bool { return now.Sub(late.at) > outageRetention })
	maps.DeleteFunc(o.lateRan, func(_ jobs.TaskID, r ranTime) bool { return now.Sub(r.at) > outageRetention })
}

// Suspect records the tasks that may have crashed an incarnation. If one of them was a
// suspect before, it explains the crash, which then doesn't count towards the rate of
// crashes that no task causes. At most half of the workers start a suspect at a time, so
// innocent suspects hide at most half of that rate.
func (o *Outages) Suspect(key string, tasks []jobs.TaskID, now time.Time) {
	dropOlder(o.suspects, now)
	for _, task := range tasks {
		if _, before := o.suspects[task]; before {
			delete(o.crashes, key)
		}
		o.suspects[task] = now
	}
}

// Suspects returns the number of tasks under which workers crashed within outageRetention.
func (o *Outages) Suspects() int { return len(o.suspects) }

func dropOlder[Key comparable](times map[Key]time.Time, now time.Time) {
	maps.DeleteFunc(times, func(_ Key, at time.Time) bool { return now.Sub(at) > outageRetention })
}

// Simultaneous returns the number of other incarnations that went down at about a time.
func (o *Outages) Simultaneous(key string, at time.Time) (others int) {
	for other, since := range o.down {
		if distance := since.Sub(at).Abs(); other != key && distance <= simultaneousRange {
			others++
		}
	}
	return others
}

// Rate returns the recent crashes per second of one of a number of workers that no suspect
// explains.
func (o *Outages) Rate(workers int, now time.Time) float64 {
	return o.rateOf(len(o.crashes), workers, now)
}

func (o *Outages) rateOf(crashes, workers int, now time.Time) float64 {
	since := o.since
	for _, at := range o.crashes {
		if at.Before(since) {
			since = at // agents report earlier crashes to a new leader
		}
	}
	observed := min(now.Sub(since), outageRetention).Seconds()
	return (priorCrashes + float64(crashes)) / (priorWorkerSeconds + float64(workers)*observed)
}
