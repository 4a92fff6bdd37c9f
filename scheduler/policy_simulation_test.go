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

// Parameters of the simulation in which policies are compared. The simulation
// knows what the scheduler has to learn: true sizes, run times and
// interference.
const (
	tick            = 5 * time.Second
	sampleWindow    = 2 // ticks
	sampleLag       = 4 // ticks from the end of a window until its report arrives
	startTicks      = 1
	checkpointTime  = 10 * time.Second
	checkpointEvery = 120 // ticks between periodic checkpoints of a task
	serviceName     = "service/ledger"
	requestsPerTick = 3 // latency samples per instance
)

// jobModel holds the true properties of a job's tasks.
type jobModel struct {
	cores, memory   float64 // memory in MiB
	runTime         time.Duration
	slowdownPerCore float64 // of a service instance
	noisy           bool    // slowdownPerCore is three times as high at peaks
}

// policy makes the decisions on a snapshot. The baselines use the declared
// sizes in the table.
type policy func(*Snapshot, *task.Table) []Decision

// taskRun is a run of a task on its worker.
type taskRun struct {
	task        string
	generation  uint64
	startTick   int // tick at which it was placed
	progress    float64
	saved       float64
	stopTick    int // tick at which it stops; 0 unless it was evicted
	checkpoints bool
	throttle    float64
	used        [sampleWindow]float64
	slowdown    [sampleWindow]float64
}

type outcome struct {
	latencies, aloneLatencies []float64
	work, zoneWork, lost      float64 // in core hours
	evictions, outOfMemory    int
	zoneEvictions             int
	throttles, moves          int
	rebalances                int // rebalancing moves
	overcommitted             int // ticks in which the grants on a VM exceeded its capacity
}

type simulation struct {
	now            time.Time
	tick           int
	rng            *rand.Rand
	plan           *plan.DayPlan
	table          *task.Table
	learner        *Learner
	vms            []VM
	runs           map[string]map[string]*taskRun // by VM and task ID
	models         map[string]jobModel
	pendingReports map[int][]vmReport // by tick of arrival
	out            outcome
	decide         policy
}

type vmReport struct {
	vm      int
	samples []Sample
}

var simulationStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, weight float64, decide policy) *simulation {
	w := &simulation{
		now: simulationStart, rng: rand.New(rand.NewPCG(seed, 1)), table: task.NewTable(), learner: NewLearner(),
		runs: map[string]map[string]*taskRun{}, models: map[string]jobModel{}, pendingReports: map[int][]vmReport{}, decide: decide,
	}
	for i := range 11 {
		id := fmt.Sprintf("vm-%02d", i)
		w.vms = append(w.vms, VM{
			ID: id, Zone: []string{"Cork", "Limerick", "Kildare"}[i/4], Rack: fmt.Sprintf("r%d", i/3),
			Capacity: resource.Vector{MilliCPU: 32000, MemoryMiB: 125000}, InService: true, Fresh: true,
		})
		w.runs[id] = map[string]*taskRun{}
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

// declareJobs draws the true properties of the jobs, and declared sizes and
// run times that are far off.
func (w *simulation) declareJobs(rng *rand.Rand) {
	sizeErrors := []float64{0.4, 0.5, 0.6, 0.8, 1, 1, 1.25, 1.6, 2, 2.5} // declared over true
	slowdowns := []float64{0.0005, 0.0005, 0.001, 0.001, 0.002, 0.002, 0.004, 0.004, 0.015, 0.025}
	rng.Shuffle(len(sizeErrors), func(a, b int) { sizeErrors[a], sizeErrors[b] = sizeErrors[b], sizeErrors[a] })
	rng.Shuffle(len(slowdowns), func(a, b int) { slowdowns[a], slowdowns[b] = slowdowns[b], slowdowns[a] })
	for i := range sizeErrors {
		t := jobModel{
			cores: 1 + 4*rng.Float64(), memory: 2000 + 14000*rng.Float64(),
			runTime: time.Duration(6+30*rng.Float64()) * time.Minute, slowdownPerCore: slowdowns[i], noisy: i%3 == 0,
		}
		name := fmt.Sprintf("batch-%d", i)
		w.models["job/"+name] = t
		w.plan.Jobs = append(w.plan.Jobs, plan.Job{
			Name: name, Priority: i % 3, RunTime: time.Duration(float64(t.runTime) * sizeErrors[(i+3)%len(sizeErrors)]),
			Size: resource.Vector{MilliCPU: int64(1000 * t.cores * sizeErrors[i]), MemoryMiB: int64(t.memory * sizeErrors[(i+5)%len(sizeErrors)])},
		})
	}
}

// submitTasks adds tasks to jobs, the same ones for each policy.
func (w *simulation) submitTasks(rng *rand.Rand) {
	for range 3 {
		w.plan.Jobs[rng.IntN(len(w.plan.Jobs))].Tasks += 4 + rng.IntN(18)
	}
	w.applyPlan()
}

func (w *simulation) applyPlan() {
	w.plan.Number++
	w.table.ApplyPlan(w.plan, w.now)
}

func (w *simulation) setZone(zone string, in bool) {
	for i := range w.plan.Zones {
		if w.plan.Zones[i].Name == zone {
			w.plan.Zones[i].InService = in
		}
	}
	for i := range w.vms {
		if w.vms[i].Zone == zone {
			w.vms[i].InService, w.vms[i].InServiceSince, w.vms[i].OutOfServiceSince = in, w.now, w.now
		}
	}
	w.applyPlan()
}

// run simulates the ticks. One zone leaves service after three eighths of
// them and returns after five eighths.
func (w *simulation) run(ticks int, arrivals *rand.Rand) *outcome {
	for w.tick = 0; w.tick < ticks; w.tick++ {
		w.now = simulationStart.Add(time.Duration(w.tick) * tick)
		if w.tick%60 == 0 {
			w.submitTasks(arrivals)
		}
		if w.tick == ticks*3/8 {
			w.setZone("Limerick", false)
		}
		if w.tick == ticks*5/8 {
			w.setZone("Limerick", true)
		}
		for _, b := range w.pendingReports[w.tick] {
			w.learner.RecordUsage(w.now, &w.vms[b.vm], b.samples, w.table, w.plan.LatencyWeight)
		}
		delete(w.pendingReports, w.tick)
		w.commit(w.decide(w.learner.Snapshot(w.now, w.plan, w.table, w.vms), w.table))
		zone := w.tick >= ticks*3/8 && w.tick < ticks*6/8
		for i := range w.vms {
			w.advance(i, zone)
		}
	}
	return &w.out
}

func (w *simulation) commit(decisions []Decision) {
	for i := range decisions {
		d := &decisions[i]
		switch d.Action {
		case Place:
			if w.table.Place(w.now, d.Placement()) != nil {
				continue
			}
			k := w.table.Task(d.Task)
			w.runs[d.VM][d.Task] = &taskRun{task: d.Task, generation: d.Generation, startTick: w.tick, progress: k.Progress, saved: k.Progress, throttle: 1}
		case Evict:
			if w.table.RequestEvict(w.now, d.Task, d.Generation, string(d.Reason)) != nil {
				continue
			}
			w.countEviction(d)
			l := w.runs[d.VM][d.Task]
			l.checkpoints = d.Grace >= checkpointTime
			l.stopTick = w.tick + int(math.Ceil(float64(min(d.Grace, checkpointTime))/float64(tick)))
		case Throttle:
			w.out.throttles++
			w.runs[d.VM][d.Task].throttle = d.Fraction
		}
		w.learner.RecordDecision(w.now, d)
	}
}

func (w *simulation) countEviction(d *Decision) {
	if d.Reason == ReasonRebalance {
		w.out.rebalances++
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

// load returns the load of the services as a share of the load that they are
// sized for.
func (w *simulation) load() float64 {
	hour := float64(w.tick) * tick.Hours()
	return 0.45 + 0.25*math.Sin(hour*1.1) + 0.1*math.Sin(hour*7)
}

// noisePeak reports whether noisy jobs slow services down more now.
func (w *simulation) noisePeak() bool { return w.tick%480 >= 360 }

func (w *simulation) report(vm string, l *taskRun, phase task.Phase) {
	k := w.table.Task(l.task)
	r := task.Report{Task: l.task, Generation: l.generation, Phase: phase, Progress: l.progress}
	if l.saved > 0 {
		r.Checkpoint, r.Progress = fmt.Sprintf("c%d-%.4f", l.generation, l.saved), l.saved
	}
	w.learner.RecordOutcome(w.now, vm, k, w.table.Report(w.now, vm, r))
}
