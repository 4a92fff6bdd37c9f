package estimate

import (
	"time"

	"amaranthpaddle/resource"
)

// Quantiles, headroom factors and half-lives of the estimates.
const (
	cpuQuantile      = 0.90
	memoryQuantile   = 0.98
	runTimeQuantile  = 0.80
	cpuHeadroom      = 1.00
	memoryHeadroom   = 1.10
	useHalfLife      = 2 * time.Hour
	runHalfLife      = 24 * time.Hour
	priorSamples     = 8.0 // total weight of samples at which the declared and the observed value count equally
	priorRuns        = 3.0
	minDeclaredRatio = 0.25 // lower limit of an estimate, as a ratio to the declared size
)

// Estimator holds the samples of all jobs. It is not safe for concurrent use.
type Estimator struct {
	jobs map[string]*jobSamples
}

type jobSamples struct {
	cpu     histogram // milli-CPU
	memory  histogram // MiB
	runTime histogram // in units of runTimeUnit
	seenAt  time.Time
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator { return &Estimator{jobs: map[string]*jobSamples{}} }

func (b *Estimator) samples(job string, now time.Time) *jobSamples {
	u := b.jobs[job]
	if u == nil {
		u = &jobSamples{}
		b.jobs[job] = u
	}
	u.seenAt = now
	return u
}

// ObserveUse records the use of a task of the job over an interval. The CPU
// use of a throttled task does not show its need and is ignored.
func (b *Estimator) ObserveUse(now time.Time, job string, used resource.Vector, throttled bool) {
	u := b.samples(job, now)
	if !throttled {
		u.cpu.add(now, useHalfLife, float64(used.MilliCPU), 1)
	}
	u.memory.add(now, useHalfLife, float64(used.MemoryMiB), 1)
}

// saturationRatio is the ratio of use to grant from which on the grant counts
// as fully used.
const saturationRatio = 0.98

// BoundedUse returns the use to record for a task with the given use and
// grant. A task that uses its whole grant does not show that it needs more
// than that; otherwise its estimate would grow with every placement. A use
// above the grant is a real need and is returned as it is.
func BoundedUse(used, grant resource.Vector) resource.Vector {
	used.MilliCPU = boundedComponent(used.MilliCPU, grant.MilliCPU, cpuHeadroom)
	used.MemoryMiB = boundedComponent(used.MemoryMiB, grant.MemoryMiB, memoryHeadroom)
	return used
}

// boundedComponent lowers the use of a saturated grant by what Size adds for
// headroom and for the width of a bucket.
func boundedComponent(used, grant int64, headroom float64) int64 {
	if used > grant || float64(used) < saturationRatio*float64(grant) {
		return used
	}
	return int64(float64(used) / (headroom * bucketGrowth))
}

const runTimeUnit = 100 * time.Millisecond

// ObserveRun records the run time of a finished task of the job.
func (b *Estimator) ObserveRun(now time.Time, job string, took time.Duration) {
	b.samples(job, now).runTime.add(now, runHalfLife, float64(took/runTimeUnit), 1)
}

// Size returns the estimated size of a task of the job: upper quantiles of
// the observed use, blended with the declared size while there are few
// samples. Use above the declared size takes effect at once. Accelerators are
// as declared.
func (b *Estimator) Size(job string, declared resource.Vector) resource.Vector {
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

// HasUse reports whether the use of a task of the job was observed.
func (b *Estimator) HasUse(job string) bool {
	u := b.jobs[job]
	return u != nil && u.memory.total > 0
}

// RunTime returns the estimated run time of a task of the job: an upper
// quantile of the observed run times, blended with the declared one, which is
// returned while no task has finished.
func (b *Estimator) RunTime(job string, declared time.Duration) time.Duration {
	u := b.jobs[job]
	if u == nil || u.runTime.total <= 0 {
		return declared
	}
	observed := time.Duration(u.runTime.quantile(runTimeQuantile)) * runTimeUnit
	share := u.runTime.total / (u.runTime.total + priorRuns)
	return time.Duration(share*float64(observed) + (1-share)*float64(declared))
}

// Sweep deletes the jobs without an observation since the given time.
func (b *Estimator) Sweep(since time.Time) {
	for id, u := range b.jobs {
		if u.seenAt.Before(since) {
			delete(b.jobs, id)
		}
	}
}

// blend moves the estimate from the declared to the observed value as samples
// arrive.
func blend(declared int64, observed, samples float64) int64 {
	if samples <= 0 {
		return declared
	}
	if observed >= float64(declared) {
		return int64(observed)
	}
	share := samples / (samples + priorSamples)
	value := share*observed + (1-share)*float64(declared)
	return max(int64(value), int64(minDeclaredRatio*float64(declared)))
}
