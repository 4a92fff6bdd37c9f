package scheduler

import (
	"math"
	"slices"
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// advance simulates one tick of a VM.
func (w *simulation) advance(n int, zone bool) {
	vm := &w.vms[n]
	if !w.table.Committed(vm.ID).Fits(vm.Capacity) {
		w.out.overcommitted++
	}
	runs := w.sortedRuns(vm.ID)
	w.killForMemory(vm, runs)
	instances := max(w.instancesUp(), 1)
	demand := 0.0
	use := make([]float64, len(runs))
	for i, l := range runs {
		use[i] = w.demand(l, instances)
		demand += use[i]
	}
	capacity := float64(vm.Capacity.MilliCPU) / 1000
	contention := min(1, capacity/max(demand, 0.001))
	utilization := min(demand/capacity, 1)
	for i, l := range runs {
		slot := w.tick % sampleWindow
		l.used[slot] = use[i] * contention
		if w.table.Task(l.task).Job.Class == task.LatencyCritical {
			l.slowdown[slot] = w.instanceSlowdown(runs, use, i, utilization, contention)
			w.recordLatencies(l, l.slowdown[slot], instances)
		} else {
			l.slowdown[slot] = 0.004*(demand-use[i])/4 + 1/contention - 1
			w.progress(vm, l, use[i], l.slowdown[slot], zone)
		}
	}
	if w.tick%sampleWindow == sampleWindow-1 {
		w.sendReport(n, runs)
	}
	w.reportTransitions(vm, runs)
}

func (w *simulation) sortedRuns(vm string) []*taskRun {
	runs := make([]*taskRun, 0, len(w.runs[vm]))
	for _, l := range w.runs[vm] {
		runs = append(runs, l)
	}
	slices.SortFunc(runs, func(a, b *taskRun) int {
		if a.task < b.task {
			return -1
		}
		return 1
	})
	return runs
}

func (l *taskRun) running(tick int) bool { return tick >= l.startTick+startTicks }

func (w *simulation) instancesUp() int {
	up := 0
	for _, runs := range w.runs {
		for id, l := range runs {
			if jobOf(id) == serviceName && l.running(w.tick) {
				up++
			}
		}
	}
	return up
}

// demand returns the cores that the run would use without contention.
func (w *simulation) demand(l *taskRun, instances int) float64 {
	if !l.running(w.tick) {
		return 0
	}
	if jobOf(l.task) == serviceName {
		return 5 * min(w.load()*11/float64(instances), 1.2)
	}
	cores := w.models[jobOf(l.task)].cores
	if l.throttle < 1 {
		grant := float64(w.table.Task(l.task).Grant.MilliCPU) / 1000
		return min(cores, l.throttle*grant)
	}
	return cores
}

// instanceSlowdown returns the slowdown of a service instance.
func (w *simulation) instanceSlowdown(runs []*taskRun, use []float64, victim int, utilization, contention float64) float64 {
	sum := 0.4*max(utilization-0.85, 0) + 2*(1/contention-1)
	for i, l := range runs {
		if i == victim {
			continue
		}
		t := w.models[jobOf(l.task)]
		perCore := t.slowdownPerCore
		if t.noisy && w.noisePeak() {
			perCore *= 3
		}
		sum += perCore * use[i]
	}
	return sum
}

// recordLatencies draws request latencies of an instance, with its slowdown
// and when running alone.
func (w *simulation) recordLatencies(l *taskRun, slowdown float64, instances int) {
	if !l.running(w.tick) {
		return
	}
	load := min(w.load()*11/float64(instances), 1.2)
	for range requestsPerTick {
		noise := math.Exp(0.25 * w.rng.NormFloat64())
		w.out.latencies = append(w.out.latencies, latency(load)*(1+slowdown)*noise)
		w.out.aloneLatencies = append(w.out.aloneLatencies, latency(w.load())*noise)
	}
}

// latency returns the median latency in milliseconds at the given load.
func latency(load float64) float64 { return 20 * (1 + 0.3*load*load) }

func (w *simulation) progress(vm *VM, l *taskRun, use, slowdown float64, zone bool) {
	if !l.running(w.tick) || l.stopTick > 0 && l.checkpoints {
		return
	}
	t := w.models[jobOf(l.task)]
	step := float64(tick) / float64(t.runTime) * use / t.cores / (1 + slowdown)
	step = min(step, 1-l.progress)
	l.progress += step
	done := step * t.runTime.Hours() * t.cores
	w.out.work += done
	if zone {
		w.out.zoneWork += done
	}
	if (w.tick-l.startTick)%checkpointEvery == checkpointEvery-1 {
		l.saved = l.progress
		w.report(vm.ID, l, task.PhaseRunning)
	}
}

// reportTransitions reports starts, stops and finishes to the table.
func (w *simulation) reportTransitions(vm *VM, runs []*taskRun) {
	for _, l := range runs {
		switch {
		case w.runs[vm.ID][l.task] != l:
		case l.progress >= 1:
			w.report(vm.ID, l, task.PhaseFinished)
			delete(w.runs[vm.ID], l.task)
		case l.stopTick > 0 && w.tick >= l.stopTick:
			if l.checkpoints {
				l.saved = l.progress
			}
			w.countLostWork(l)
			w.report(vm.ID, l, task.PhaseStopped)
			delete(w.runs[vm.ID], l.task)
		case w.tick == l.startTick+startTicks:
			w.report(vm.ID, l, task.PhaseRunning)
		}
	}
}

// countLostWork counts the work since the last checkpoint as lost.
func (w *simulation) countLostWork(l *taskRun) {
	t := w.models[jobOf(l.task)]
	lost := (l.progress - l.saved) * t.runTime.Hours() * t.cores
	w.out.lost += lost
	w.out.work -= lost
}

// killForMemory imitates the kernel when memory runs out: it kills the batch
// task that exceeds its grant most.
func (w *simulation) killForMemory(vm *VM, runs []*taskRun) {
	for {
		total, worst, worstBy := 0.0, (*taskRun)(nil), 0.0
		for _, l := range runs {
			if w.runs[vm.ID][l.task] != l || !l.running(w.tick) {
				continue
			}
			used := w.memory(l)
			total += used
			over := used - float64(w.table.Task(l.task).Grant.MemoryMiB)
			if jobOf(l.task) != serviceName && (worst == nil || over > worstBy) {
				worst, worstBy = l, over
			}
		}
		if total <= float64(vm.Capacity.MemoryMiB) || worst == nil {
			return
		}
		w.out.evictions++
		w.out.outOfMemory++
		w.countLostWork(worst)
		w.report(vm.ID, worst, task.PhaseFailed)
		delete(w.runs[vm.ID], worst.task)
	}
}

func (w *simulation) memory(l *taskRun) float64 {
	if jobOf(l.task) == serviceName {
		return 12000
	}
	return w.models[jobOf(l.task)].memory * (0.7 + 0.3*min(1, 4*l.progress))
}

// sendReport measures a window and queues the report, which arrives sampleLag
// ticks later.
func (w *simulation) sendReport(n int, runs []*taskRun) {
	b := vmReport{vm: n}
	end := w.now.Add(tick)
	for _, l := range runs {
		if w.runs[w.vms[n].ID][l.task] != l || w.tick < l.startTick+startTicks+sampleWindow-1 {
			continue
		}
		var used, slowdown float64
		for i := range sampleWindow {
			used += l.used[i] / sampleWindow
			slowdown += l.slowdown[i] / sampleWindow
		}
		s := Sample{
			Task: l.task, Generation: l.generation, Start: end.Add(-sampleWindow * tick), End: end,
			Used: resource.Vector{MilliCPU: int64(1000 * used), MemoryMiB: int64(w.memory(l))},
		}
		noise := math.Exp(0.05 * w.rng.NormFloat64())
		if jobOf(l.task) == serviceName {
			load := min(w.load()*11/float64(max(w.instancesUp(), 1)), 1.2)
			s.Latency = time.Duration(latency(load) * (1 + slowdown) * noise * float64(time.Millisecond))
		} else {
			s.Speed = noise / (1 + slowdown)
		}
		b.samples = append(b.samples, s)
	}
	at := w.tick + sampleLag
	w.pendingReports[at] = append(w.pendingReports[at], b)
}
