package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// The model of machines on which policies are compared. It knows what the
// scheduler must learn: true sizes, run times and who disturbs whom.
const (
	tick           = 5 * time.Second
	sampleWindow   = 2 // ticks
	sampleLag      = 4 // ticks from the end of a window until its report arrives
	startTicks     = 1
	checkpointTime = 10 * time.Second
	checkpointTick = 120 // ticks between a task's own checkpoints
	serviceName    = "service/ledger"
	requestsATick  = 3 // sampled per instance
)

// truth is what a job's tasks really are like.
type truth struct {
	cores, memory float64 // memory in MiB
	runTime       time.Duration
	harm          float64 // slowdown of a service instance per core
	noisy         bool    // harm is several times higher in waves
}

// policy decides on a snapshot; the baselines look at declared sizes in the table.
type policy func(*Snapshot, *task.Table) []Decision

// life is a run as its worker sees it.
type life struct {
	task       string
	generation uint64
	since      int // tick of the start
	progress   float64
	saved      float64
	stopAt     int // tick at which it stops, 0 while it is wanted
	keeps      bool
	throttle   float64
	used       [sampleWindow]float64
	slow       [sampleWindow]float64
}

type outcome struct {
	served, alone          []float64
	work, zoneWork, lost   float64 // core hours
	evictions, outOfMemory int
	zoneEvictions          int
	throttles, moves       int
	spreads                int // moves of instances to spread a service
	overfull               int // ticks in which a VM was given more than it holds
}

type world struct {
	now     time.Time
	tick    int
	rng     *rand.Rand
	plan    *plan.DayPlan
	table   *task.Table
	learner *Learner
	vms     []VM
	lives   map[string]map[string]*life // by VM and task
	truths  map[string]truth
	late    map[int][]batchOfSamples // by tick of arrival
	out     outcome
	decide  policy
}

type batchOfSamples struct {
	vm      int
	samples []Sample
}

var worldStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64, weight float64, decide policy) *world {
	w := &world{
		now: worldStart, rng: rand.New(rand.NewPCG(seed, 1)), table: task.NewTable(), learner: NewLearner(),
		lives: map[string]map[string]*life{}, truths: map[string]truth{}, late: map[int][]batchOfSamples{}, decide: decide,
	}
	for i := range 11 {
		id := fmt.Sprintf("vm-%02d", i)
		w.vms = append(w.vms, VM{
			ID: id, Zone: []string{"Cork", "Limerick", "Kildare"}[i/4], Rack: fmt.Sprintf("r%d", i/3),
			Capacity: resource.Vector{MilliCPU: 32000, MemoryMiB: 125000}, InService: true, Fresh: true,
		})
		w.lives[id] = map[string]*life{}
	}
	w.plan = &plan.DayPlan{Number: 1, Day: "2026-12-04", LatencyWeight: weight, Services: []plan.Service{{
		Name: "ledger", Instances: 11, Size: resource.Vector{MilliCPU: 6000, MemoryMiB: 16000},
	}}}
	for _, zone := range []string{"Cork", "Limerick", "Kildare"} {
		w.plan.Zones = append(w.plan.Zones, plan.Zone{Name: zone, InService: true})
	}
	w.declareJobs(rand.New(rand.NewPCG(seed, 2)))
	w.table.ApplyPlan(w.plan, w.now)
	return w
}

// declareJobs draws the jobs: their true sizes, and declared ones far off.
func (w *world) declareJobs(rng *rand.Rand) {
	wrong := []float64{0.4, 0.5, 0.6, 0.8, 1, 1, 1.25, 1.6, 2, 2.5} // declared over true
	harms := []float64{0.0005, 0.0005, 0.001, 0.001, 0.002, 0.002, 0.004, 0.004, 0.015, 0.025}
	rng.Shuffle(len(wrong), func(a, b int) { wrong[a], wrong[b] = wrong[b], wrong[a] })
	rng.Shuffle(len(harms), func(a, b int) { harms[a], harms[b] = harms[b], harms[a] })
	for i := range wrong {
		t := truth{
			cores: 1 + 4*rng.Float64(), memory: 2000 + 14000*rng.Float64(),
			runTime: time.Duration(6+30*rng.Float64()) * time.Minute, harm: harms[i], noisy: i%3 == 0,
		}
		name := fmt.Sprintf("batch-%d", i)
		w.truths["job/"+name] = t
		w.plan.Jobs = append(w.plan.Jobs, plan.Job{
			Name: name, Priority: i % 3, RunTime: time.Duration(float64(t.runTime) * wrong[(i+3)%len(wrong)]),
			Size: resource.Vector{MilliCPU: int64(1000 * t.cores * wrong[i]), MemoryMiB: int64(t.memory * wrong[(i+5)%len(wrong)])},
		})
	}
}

// arrive adds tasks to jobs, the same ones for each policy.
func (w *world) arrive(rng *rand.Rand) {
	for range 3 {
		w.plan.Jobs[rng.IntN(len(w.plan.Jobs))].Tasks += 4 + rng.IntN(18)
	}
	w.replan()
}

func (w *world) replan() {
	w.plan.Number++
	w.table.ApplyPlan(w.plan, w.now)
}

func (w *world) setZone(zone string, in bool) {
	for i := range w.plan.Zones {
		if w.plan.Zones[i].Name == zone {
			w.plan.Zones[i].InService = in
		}
	}
	for i := range w.vms {
		if w.vms[i].Zone == zone {
			w.vms[i].InService, w.vms[i].InSince, w.vms[i].OutSince = in, w.now, w.now
		}
	}
	w.replan()
}

// run goes through the day: a zone leaves after three eighths of it and
// returns after five eighths.
func (w *world) run(ticks int, arrivals *rand.Rand) *outcome {
	for w.tick = 0; w.tick < ticks; w.tick++ {
		w.now = worldStart.Add(time.Duration(w.tick) * tick)
		if w.tick%60 == 0 {
			w.arrive(arrivals)
		}
		if w.tick == ticks*3/8 {
			w.setZone("Limerick", false)
		}
		if w.tick == ticks*5/8 {
			w.setZone("Limerick", true)
		}
		for _, b := range w.late[w.tick] {
			w.learner.Usage(w.now, &w.vms[b.vm], b.samples, w.table, w.plan.LatencyWeight)
		}
		delete(w.late, w.tick)
		w.commit(w.decide(w.learner.Snapshot(w.now, w.plan, w.table, w.vms), w.table))
		zone := w.tick >= ticks*3/8 && w.tick < ticks*6/8
		for i := range w.vms {
			w.advance(i, zone)
		}
	}
	return &w.out
}

func (w *world) commit(decisions []Decision) {
	for i := range decisions {
		d := &decisions[i]
		switch d.Action {
		case Place:
			if w.table.Place(w.now, d.Placement()) != nil {
				continue
			}
			k := w.table.Task(d.Task)
			w.lives[d.VM][d.Task] = &life{task: d.Task, generation: d.Generation, since: w.tick, progress: k.Progress, saved: k.Progress, throttle: 1}
		case Evict:
			if w.table.RequestEvict(w.now, d.Task, d.Generation, string(d.Reason)) != nil {
				continue
			}
			w.countEviction(d)
			l := w.lives[d.VM][d.Task]
			l.keeps = d.Grace >= checkpointTime
			l.stopAt = w.tick + int(math.Ceil(float64(min(d.Grace, checkpointTime))/float64(tick)))
		case Throttle:
			w.out.throttles++
			w.lives[d.VM][d.Task].throttle = d.Fraction
		}
		w.learner.Decided(w.now, d)
	}
}

func (w *world) countEviction(d *Decision) {
	if d.Reason == ReasonRebalance {
		w.out.spreads++
	}
	if strings.HasPrefix(d.Task, serviceName) {
		return
	}
	w.out.evictions++
	if d.Reason == ReasonZoneOut {
		w.out.zoneEvictions++
	}
	if d.Reason == ReasonInterference {
		w.out.moves++
	}
}

// load is the services' load, a share of what they are made for.
func (w *world) load() float64 {
	hour := float64(w.tick) * tick.Hours()
	return 0.45 + 0.25*math.Sin(hour*1.1) + 0.1*math.Sin(hour*7)
}

// wave reports whether noisy jobs are noisy now.
func (w *world) wave() bool { return w.tick%480 >= 360 }

func (w *world) report(vm string, l *life, phase task.Phase) {
	k := w.table.Task(l.task)
	r := task.Report{Task: l.task, Generation: l.generation, Phase: phase, Progress: l.progress}
	if l.saved > 0 {
		r.Checkpoint, r.Progress = fmt.Sprintf("c%d-%.4f", l.generation, l.saved), l.saved
	}
	w.learner.Outcome(w.now, vm, k, w.table.Report(w.now, vm, r))
}
