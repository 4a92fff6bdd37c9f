package dispatch

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Arrivals measures the work of accepted jobs by queue. The rate that counts is the
// least of a short and a long exponentially weighted average, so neither a burst nor a
// load that has ended counts as steady. It is not safe for concurrent use.
type Arrivals struct {
	queues map[string]*[2]arrivalAverage
}

// arrivalTimeConstants are those of the two averages: the length of a burst, and of
// several.
var arrivalTimeConstants = [2]time.Duration{4 * time.Second, 20 * time.Second}

// arrivalAverage holds decayed sums of milli-core-seconds and MiB-seconds.
type arrivalAverage struct {
	counted, all, memory float64
	clock                decayClock
}

// NewArrivals returns Arrivals without observations.
func NewArrivals() *Arrivals { return &Arrivals{queues: map[string]*[2]arrivalAverage{}} }

// Learn records an accepted job. estimate returns the duration of a task in
// milliseconds.
func (a *Arrivals) Learn(queue string, spec *api.JobSpec, estimate func(*api.TaskGroup) float64, now time.Time) {
	if spec.GetSchedule().GetTimes() != 0 {
		return
	}
	averages := a.averages(queue, now)
	for _, group := range spec.GetGroups() {
		if group.LongRunning {
			continue
		}
		seconds := float64(group.Count) * estimate(group) / 1000
		need := demand(group)
		for i := range averages {
			averages[i].counted += seconds * float64(need.MilliCPU)
			averages[i].all += seconds * float64(group.MilliCpu)
			averages[i].memory += seconds * float64(need.MemoryMiB)
		}
	}
}

// averages returns the averages of a queue, decayed until now.
func (a *Arrivals) averages(queue string, now time.Time) *[2]arrivalAverage {
	averages := a.queues[queue]
	if averages == nil {
		averages = &[2]arrivalAverage{}
		a.queues[queue] = averages
	}
	for i := range averages {
		factor := averages[i].clock.advance(now, arrivalTimeConstants[i])
		averages[i].counted *= factor
		averages[i].all *= factor
		averages[i].memory *= factor
	}
	return averages
}

// arrivalRate is the steady rate of work, in milli-cores and MiB that it keeps in use.
type arrivalRate struct{ counted, all, memory float64 }

// rates returns the steady rates of the queues of a service that are more urgent than a
// priority, and of those that are as urgent.
func (a *Arrivals) rates(view jobs.View, service string, priority int32, now time.Time) (before, equal arrivalRate) {
	if a == nil {
		return before, equal
	}
	for key := range a.queues {
		queue := view.Queue(key)
		if queue == nil || queue.Service != service || queue.Priority > priority {
			continue
		}
		sum := &before
		if queue.Priority == priority {
			sum = &equal
		}
		averages := a.averages(key, now)
		short, long := arrivalTimeConstants[0].Seconds(), arrivalTimeConstants[1].Seconds()
		sum.counted += min(averages[0].counted/short, averages[1].counted/long)
		sum.all += min(averages[0].all/short, averages[1].all/long)
		sum.memory += min(averages[0].memory/short, averages[1].memory/long)
	}
	return before, equal
}

func (r arrivalRate) add(o arrivalRate) arrivalRate {
	return arrivalRate{r.counted + o.counted, r.all + o.all, r.memory + o.memory}
}
