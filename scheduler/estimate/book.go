package estimate

import (
	"time"

	"amaranthpaddle/resource"
)

// Quantiles, headroom and half-lives of the estimates.
const (
	cpuQuantile     = 0.90
	memoryQuantile  = 0.98
	runTimeQuantile = 0.80
	cpuHeadroom     = 1.00
	memoryHeadroom  = 1.10
	useHalfLife     = 2 * time.Hour
	runHalfLife     = 24 * time.Hour
	trustedSamples  = 8.0 // weight of samples at which declared and observed count alike
	trustedRuns     = 3.0
	smallestShare   = 0.25 // an estimate is never below this share of the declared size
)

// Book holds the estimates of all jobs. It is not safe for concurrent use.
type Book struct {
	jobs map[string]*jobUse
}

type jobUse struct {
	cpu     histogram // milli-CPU
	memory  histogram // MiB
	runTime histogram // tenths of a second of undisturbed run time
	seen    time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{jobs: map[string]*jobUse{}} }

func (b *Book) use(job string, now time.Time) *jobUse {
	u := b.jobs[job]
	if u == nil {
		u = &jobUse{}
		b.jobs[job] = u
	}
	u.seen = now
	return u
}

// ObserveUse records what a task of the job used over an interval. The
// processor time of a throttled task says nothing about its need and is left out.
func (b *Book) ObserveUse(now time.Time, job string, used resource.Vector, throttled bool) {
	u := b.use(job, now)
	if !throttled {
		u.cpu.add(now, useHalfLife, float64(used.MilliCPU), 1)
	}
	u.memory.add(now, useHalfLife, float64(used.MemoryMiB), 1)
}

// saturated is the share of a grant from which on a use counts as all of it.
const saturated = 0.98

// BoundedUse returns the use to observe of a task that used so much of its
// grant. A task that takes all it is granted shows that it takes as much, not
// that it needs more: its size would grow with every placement. A use above
// the grant is a real one and is returned as it is.
func BoundedUse(used, grant resource.Vector) resource.Vector {
	used.MilliCPU = boundedUse(used.MilliCPU, grant.MilliCPU, cpuHeadroom)
	used.MemoryMiB = boundedUse(used.MemoryMiB, grant.MemoryMiB, memoryHeadroom)
	return used
}

// boundedUse leaves out of a saturated use what Size adds for headroom and
// for the width of a bucket.
func boundedUse(used, grant int64, headroom float64) int64 {
	if used > grant || float64(used) < saturated*float64(grant) {
		return used
	}
	return int64(float64(used) / (headroom * bucketGrowth))
}

const runTimeUnit = 100 * time.Millisecond

// ObserveRun records the run time that a finished task of the job needed.
func (b *Book) ObserveRun(now time.Time, job string, took time.Duration) {
	b.use(job, now).runTime.add(now, runHalfLife, float64(took/runTimeUnit), 1)
}

// Size returns the size to expect of a task of the job: upper quantiles of
// observed use, blended with the declared size while there are few samples.
// A use above the declared size counts at once. Accelerators are as declared.
func (b *Book) Size(job string, declared resource.Vector) resource.Vector {
	u := b.jobs[job]
	if u == nil {
		return declared
	}
	cpu := u.cpu.quantile(cpuQuantile) * cpuHeadroom
	memory := u.memory.quantile(memoryQuantile) * memoryHeadroom
	return resource.Vector{
		MilliCPU:     blend(declared.MilliCPU, cpu, u.cpu.total),
		MemoryMiB:    blend(declared.MemoryMiB, memory, u.memory.total),
		Accelerators: declared.Accelerators,
	}
}

// Seen reports whether a task of the job was seen running.
func (b *Book) Seen(job string) bool {
	u := b.jobs[job]
	return u != nil && u.memory.total > 0
}

// RunTime returns the run time to expect of a task of the job, or the declared one
// while no task has finished.
func (b *Book) RunTime(job string, declared time.Duration) time.Duration {
	u := b.jobs[job]
	if u == nil || u.runTime.total <= 0 {
		return declared
	}
	observed := time.Duration(u.runTime.quantile(runTimeQuantile)) * runTimeUnit
	share := u.runTime.total / (u.runTime.total + trustedRuns)
	return time.Duration(share*float64(observed) + (1-share)*float64(declared))
}

// Sweep forgets the jobs of which nothing was seen since the time.
func (b *Book) Sweep(since time.Time) {
	for id, u := range b.jobs {
		if u.seen.Before(since) {
			delete(b.jobs, id)
		}
	}
}

// blend moves from declared to observed as samples come in.
func blend(declared int64, observed, samples float64) int64 {
	if samples <= 0 {
		return declared
	}
	if observed >= float64(declared) {
		return int64(observed)
	}
	share := samples / (samples + trustedSamples)
	value := share*observed + (1-share)*float64(declared)
	return max(int64(value), int64(smallestShare*float64(declared)))
}
