package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// The mixed load has the kinds of jobs of a fleet whose workers share their CPU between
// services, short tasks and best-effort work.

// mixedPayload begins the payload of the jobs of the mixed load; the rest describes their groups.
const mixedPayload = "mixed "

// mixedGroup is one group of a job of the mixed load.
type mixedGroup struct {
	Count      int    `json:"n"`
	MilliCPU   int64  `json:"c"`
	MemoryMB   int64  `json:"m"`
	WorkMS     int64  `json:"w"` // of a task at full speed
	Image      string `json:"i,omitempty"`
	BestEffort bool   `json:"b,omitempty"`
	Lasting    bool   `json:"l,omitempty"` // a service with a target latency
	Saves      bool   `json:"s,omitempty"`
}

// Kinds of jobs of the mixed load.
const (
	targetLatencyMS = 150
	serviceImages   = 5
	workImages      = 9
	firstServices   = 9 // submitted at the start
	meanServiceStay = 70 * time.Second
)

// Workers of the mixed load.
const (
	mixedWorkers  = 11
	mixedMemoryMB = 128000
	rackSize      = 3
)

// mixedCapacity holds the capacities of workers in turn, in milli-cores.
var mixedCapacity = []int64{32000, 32000, 48000}

// latencyNoises holds the deviations of services' tail latencies of which a run has one:
// standard deviations of the logarithm of a half second's figure.
var latencyNoises = []float64{0.05, 0.3, 0.6, 1}

// Arrivals of the mixed load, a second.
const (
	shortJobRate   = 5.0
	workJobRate    = 1.4
	serviceJobRate = 0.05
)

// spread returns a random number with a mean, whose logarithm has a standard deviation.
func spread(random *rand.Rand, mean, deviation, most float64) float64 {
	return min(mean*math.Exp(deviation*random.NormFloat64()-deviation*deviation/2), most)
}

func shortGroup(random *rand.Rand) mixedGroup {
	return mixedGroup{
		Count: int(1 + spread(random, 5, 0.8, 36)), MilliCPU: int64(spread(random, 480, 0.45, 1400)),
		MemoryMB: int64(spread(random, 960, 0.3, 1900)), WorkMS: int64(spread(random, 800, 0.5, 2000)),
	}
}

func workGroup(random *rand.Rand) mixedGroup {
	return mixedGroup{
		Count: int(2 + spread(random, 6, 0.6, 32)), MilliCPU: int64(spread(random, 3500, 0.3, 7000)),
		MemoryMB: int64(spread(random, 6400, 0.3, 13000)), WorkMS: int64(spread(random, 1700, 0.5, 4300)),
		Image: fmt.Sprintf("w%d", random.IntN(workImages)), BestEffort: true, Saves: random.IntN(100) < 85,
	}
}

func serviceGroup(random *rand.Rand) mixedGroup {
	return mixedGroup{
		Count: int(3 + spread(random, 3, 0.4, 9)), MilliCPU: int64(spread(random, 6400, 0.25, 10000)),
		MemoryMB: int64(spread(random, 13000, 0.3, 26000)), WorkMS: 400,
		Image: fmt.Sprintf("s%d", random.IntN(serviceImages)), Lasting: true,
	}
}

// mixedJob draws the groups of a job of one kind, each of which depends on the one before.
func mixedJob(random *rand.Rand, group func(*rand.Rand) mixedGroup, meanSteps float64) []mixedGroup {
	var groups []mixedGroup
	for range max(1, int(math.Round(spread(random, meanSteps, 0.4, 5)))) {
		groups = append(groups, group(random))
	}
	return groups
}

// encodeMixed returns the payload of a job, what is known of its groups, and its body.
func encodeMixed(groups []mixedGroup) (spec string, views []groupView, body []byte) {
	data, err := json.Marshal(groups)
	if err != nil {
		panic(err) // structs of plain values can be encoded
	}
	spec = mixedPayload + string(data)
	var steps []map[string]any
	for i, g := range groups {
		view := groupView{count: g.Count, milliCPU: g.MilliCPU, memoryMB: g.MemoryMB, bestEffort: g.BestEffort, lasting: g.Lasting}
		step := map[string]any{"count": g.Count, "cpu": g.MilliCPU, "mem_mb": g.MemoryMB, "image": g.Image}
		if g.Lasting {
			step["long_running"], step["target_ms"] = true, targetLatencyMS
		} else {
			step["estimated_ms"], step["fills"], step["checkpointing"] = max(1, g.WorkMS/2), g.BestEffort, g.Saves
		}
		if i > 0 {
			view.dependsOn, step["depends_on"] = []int{i - 1}, []int{i - 1}
		}
		views, steps = append(views, view), append(steps, step)
	}
	if body, err = json.Marshal(map[string]any{"spec": spec, "steps": steps}); err != nil {
		panic(err)
	}
	return spec, views, body
}

// mixedGroupOf returns the group of a task by its payload, nil for another load.
func mixedGroupOf(spec string, name taskName) *mixedGroup {
	var groups []mixedGroup
	description, mixed := strings.CutPrefix(spec, mixedPayload)
	if !mixed || json.Unmarshal([]byte(description), &groups) != nil || name.group >= len(groups) {
		return nil
	}
	return &groups[name.group]
}

// runMixed hands in jobs of one kind at a rate until stop is closed, and looks at them.
func (c *caller) runMixed(stop chan struct{}, perSecond, meanSteps float64, group func(*rand.Rand) mixedGroup) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() / perSecond * float64(time.Second))):
		}
		c.submitMixed(mixedJob(c.random, group, meanSteps))
		c.lookAtOpen(3)
	}
}

// runServices submits services and cancels each after its stay, until stop is closed.
func (c *caller) runServices(stop chan struct{}) {
	begin := func() {
		id, accepted := c.submitMixed(mixedJob(c.random, serviceGroup, 1))
		stay := time.Duration(c.random.ExpFloat64() * float64(meanServiceStay))
		if accepted {
			time.AfterFunc(stay, func() { c.cancel(id) })
		}
	}
	for range firstServices {
		begin()
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() / serviceJobRate * float64(time.Second))):
			begin()
		}
	}
}

func (c *caller) submitMixed(groups []mixedGroup) (id string, accepted bool) {
	id = fmt.Sprintf("%016x", c.random.Uint64())
	spec, views, body := encodeMixed(groups)
	for range 4 {
		c.check.sent(id, spec, views)
		got := c.call("POST", id, body)
		c.check.answered(id, got)
		if got.status/100 == 2 {
			if !groups[0].Lasting {
				c.open = append(c.open, id)
			}
			return id, true
		}
		if got.refused() {
			return id, false
		}
	}
	return id, false
}

// modelRun is the part of a run that depends on what else runs on its worker.
type modelRun struct {
	group  *mixedGroup
	pace   int           // percent
	worked time.Duration // work done, as time at full speed
	cores  float64       // in use, averaged over about half a second
	tailMS float64       // tail latency of a service, averaged in the same way
}

// Parameters of the model of a worker.
const (
	modelStep            = 20 * time.Millisecond
	usageTime            = 500 * time.Millisecond // over which a worker averages
	idleTailMS           = 25.0                   // tail latency of a service without load
	meanLoad             = 0.48                   // share of its CPU that a service uses
	loadSwing            = 0.5
	loadPeriod           = 20 * time.Second
	interferes           = 0.55 // share of the pairs of images
	costPerCore          = 0.16 // headroom that a service loses to a core of such a pair
	longestTailMS        = 3000.0
	runStopTime          = 300 * time.Millisecond
	saveInterval         = 500 * time.Millisecond // of work, between checkpoints
	startupTime          = 400 * time.Millisecond // of a service
	failingRun           = 0.01                   // share of the runs
	failingShort         = 0.05                   // share of the runs of short tasks
	failingService       = 0.3
	leastBestEffortRatio = 0.02 // so that best-effort work beside a full worker goes on
	noiseInterval        = 500 * time.Millisecond
)

func hashOf(values ...any) *rand.Rand {
	hash := fnv.New64a()
	fmt.Fprint(hash, values...)
	return rand.New(rand.NewPCG(hash.Sum64(), 7))
}

// mixedTaskOf returns how much work a task is and whether a run of it fails. A service
// that does not fail lasts.
func mixedTaskOf(group *mixedGroup, spec string, name taskName, run int64) (time.Duration, bool) {
	if group.Lasting {
		random := hashOf(spec, name, run)
		if random.Float64() < failingService {
			return time.Duration(random.ExpFloat64() * float64(meanServiceStay)), true
		}
		return math.MaxInt64, false
	}
	work := time.Duration(spread(hashOf(spec, name), float64(group.WorkMS), 0.3, 3*float64(group.WorkMS))) * time.Millisecond
	share := failingRun
	if !group.BestEffort {
		share = failingShort
	}
	return work, hashOf(spec, name, run).Float64() < share
}

// interferenceCost returns the headroom that a service loses per core of best-effort work.
func interferenceCost(service, work string) float64 {
	if hashOf("pair", service, work).Float64() < interferes {
		return costPerCore
	}
	return 0
}

// serviceLoad returns the share of its CPU that a service uses.
func serviceLoad(image string, at time.Time) float64 {
	phase := hashOf("load", image).Float64()
	return meanLoad * (1 + loadSwing*math.Sin(2*math.Pi*(phase+float64(at.UnixNano())/float64(loadPeriod))))
}

// latencyFactor returns by how much the tail latency of a run differs from its mean in one half second.
func (w *worker) latencyFactor(name taskName, at time.Time) float64 {
	return math.Exp(w.noise * hashOf(w.id, name, at.UnixNano()/int64(noiseInterval)).NormFloat64())
}

// stepModel lets the runs of the mixed load work for a time. The lock is held.
func (w *worker) stepModel(now time.Time, passed time.Duration) {
	ratio, weight := w.bestEffortRatio(now), min(1, float64(passed)/float64(usageTime))
	inUse := map[string]float64{} // by best-effort image, in cores
	for _, run := range w.runs {
		m := run.model
		if m == nil {
			continue
		}
		cores := run.coresAt(now)
		if m.group.BestEffort {
			cores *= float64(m.pace) / 100 * ratio
			inUse[m.group.Image] += cores
		}
		m.cores += weight * (cores - m.cores)
		if m.group.Lasting {
			m.worked += passed
		} else {
			m.worked += time.Duration(float64(passed) * cores * 1000 / float64(m.group.MilliCPU))
		}
	}
	for name, run := range w.runs {
		if m := run.model; m != nil && m.group.Lasting {
			m.tailMS += weight * (w.tailLatency(name, m.group.Image, inUse, now) - m.tailMS)
		}
	}
}

// bestEffortRatio returns the share of the CPU that they want at their paces that
// best-effort runs get beside the other runs. The lock is held.
func (w *worker) bestEffortRatio(now time.Time) float64 {
	free, wanted := float64(w.capacity())/1000, 0.0
	for _, run := range w.runs {
		if m := run.model; m == nil {
			continue
		} else if m.group.BestEffort {
			wanted += float64(m.group.MilliCPU) / 1000 * float64(m.pace) / 100
		} else {
			free -= run.coresAt(now)
		}
	}
	return max(leastBestEffortRatio, min(1, free/max(wanted, 0.001)))
}

// tailLatency returns the tail latency of a service beside best-effort work, in ms.
func (w *worker) tailLatency(name taskName, image string, inUse map[string]float64, now time.Time) float64 {
	headroom := targetLatencyMS / idleTailMS * (1 - serviceLoad(image, now))
	for other, cores := range inUse {
		headroom -= interferenceCost(image, other) * cores
	}
	return min(longestTailMS, targetLatencyMS/max(headroom, 0.01)*w.latencyFactor(name, now))
}

// coresAt returns the cores that a run uses at full pace.
func (r *workerRun) coresAt(now time.Time) float64 {
	cores := float64(r.model.group.MilliCPU) / 1000
	if r.model.group.Lasting {
		return cores * serviceLoad(r.model.group.Image, now)
	}
	return cores
}

// row returns what the worker lists of a run of the mixed load besides its name: checkpoint, percent and usage.
func (r *workerRun) row() (checkpoint string, percent, usage int64) {
	m := r.model
	switch {
	case m.group.Lasting:
		return "", min(100, 100*m.worked.Milliseconds()/startupTime.Milliseconds()), int64(math.Round(m.tailMS))
	case m.group.Saves:
		checkpoint = saved(m.worked)
	}
	return checkpoint, min(99, 100*m.worked.Milliseconds()/max(r.takes.Milliseconds(), 1)), int64(1000 * m.cores)
}

// saved returns the checkpoint of some work, empty before the first one.
func saved(worked time.Duration) string {
	if worked < saveInterval {
		return ""
	}
	return fmt.Sprint(worked.Truncate(saveInterval).Milliseconds())
}
