package scheduler

import (
	"math"
	"slices"
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// advance lets a VM run for one tick.
func (w *world) advance(n int, zone bool) {
	vm := &w.vms[n]
	if !w.table.Committed(vm.ID).Fits(vm.Capacity) {
		w.out.overfull++
	}
	lives := w.sorted(vm.ID)
	w.killForMemory(vm, lives)
	up := max(w.instancesUp(), 1)
	demand := 0.0
	use := make([]float64, len(lives))
	for i, l := range lives {
		use[i] = w.demand(l, up)
		demand += use[i]
	}
	capacity := float64(vm.Capacity.MilliCPU) / 1000
	contention := min(1, capacity/max(demand, 0.001))
	util := min(demand/capacity, 1)
	for i, l := range lives {
		slot := w.tick % sampleWindow
		l.used[slot] = use[i] * contention
		if w.table.Task(l.task).Job.Class == task.LatencyCritical {
			l.slow[slot] = w.disturbance(lives, use, i, util, contention)
			w.serve(l, l.slow[slot], up)
		} else {
			l.slow[slot] = 0.004*(demand-use[i])/4 + 1/contention - 1
			w.progress(vm, l, use[i], l.slow[slot], zone)
		}
	}
	if w.tick%sampleWindow == sampleWindow-1 {
		w.sample(n, lives)
	}
	w.endings(vm, lives)
}

func (w *world) sorted(vm string) []*life {
	lives := make([]*life, 0, len(w.lives[vm]))
	for _, l := range w.lives[vm] {
		lives = append(lives, l)
	}
	slices.SortFunc(lives, func(a, b *life) int {
		if a.task < b.task {
			return -1
		}
		return 1
	})
	return lives
}

func (l *life) running(tick int) bool { return tick >= l.since+startTicks }

func (w *world) instancesUp() int {
	up := 0
	for _, lives := range w.lives {
		for id, l := range lives {
			if jobOf(id) == serviceName && l.running(w.tick) {
				up++
			}
		}
	}
	return up
}

// demand returns the cores that the run would use undisturbed.
func (w *world) demand(l *life, up int) float64 {
	if !l.running(w.tick) {
		return 0
	}
	if jobOf(l.task) == serviceName {
		return 5 * min(w.load()*11/float64(up), 1.2)
	}
	cores := w.truths[jobOf(l.task)].cores
	if l.throttle < 1 {
		grant := float64(w.table.Task(l.task).Grant.MilliCPU) / 1000
		return min(cores, l.throttle*grant)
	}
	return cores
}

// disturbance is the slowdown of a service instance.
func (w *world) disturbance(lives []*life, use []float64, victim int, util, contention float64) float64 {
	sum := 0.4*max(util-0.85, 0) + 2*(1/contention-1)
	for i, l := range lives {
		if i == victim {
			continue
		}
		t := w.truths[jobOf(l.task)]
		harm := t.harm
		if t.noisy && w.wave() {
			harm *= 3
		}
		sum += harm * use[i]
	}
	return sum
}

// serve draws request latencies of an instance, disturbed and alone.
func (w *world) serve(l *life, slow float64, up int) {
	if !l.running(w.tick) {
		return
	}
	load := min(w.load()*11/float64(up), 1.2)
	for range requestsATick {
		noise := math.Exp(0.25 * w.rng.NormFloat64())
		w.out.served = append(w.out.served, latency(load)*(1+slow)*noise)
		w.out.alone = append(w.out.alone, latency(w.load())*noise)
	}
}

// latency is the median latency in milliseconds at a load.
func latency(load float64) float64 { return 20 * (1 + 0.3*load*load) }

func (w *world) progress(vm *VM, l *life, use, slow float64, zone bool) {
	if !l.running(w.tick) || l.stopAt > 0 && l.keeps {
		return
	}
	t := w.truths[jobOf(l.task)]
	step := float64(tick) / float64(t.runTime) * use / t.cores / (1 + slow)
	step = min(step, 1-l.progress)
	l.progress += step
	done := step * t.runTime.Hours() * t.cores
	w.out.work += done
	if zone {
		w.out.zoneWork += done
	}
	if (w.tick-l.since)%checkpointTick == checkpointTick-1 {
		l.saved = l.progress
		w.report(vm.ID, l, task.PhaseRunning)
	}
}

// endings reports starts, stops and finishes.
func (w *world) endings(vm *VM, lives []*life) {
	for _, l := range lives {
		switch {
		case w.lives[vm.ID][l.task] != l:
		case l.progress >= 1:
			w.report(vm.ID, l, task.PhaseFinished)
			delete(w.lives[vm.ID], l.task)
		case l.stopAt > 0 && w.tick >= l.stopAt:
			if l.keeps {
				l.saved = l.progress
			}
			w.lose(l)
			w.report(vm.ID, l, task.PhaseStopped)
			delete(w.lives[vm.ID], l.task)
		case w.tick == l.since+startTicks:
			w.report(vm.ID, l, task.PhaseRunning)
		}
	}
}

// lose counts the work since the last checkpoint as lost.
func (w *world) lose(l *life) {
	t := w.truths[jobOf(l.task)]
	lost := (l.progress - l.saved) * t.runTime.Hours() * t.cores
	w.out.lost += lost
	w.out.work -= lost
}

// killForMemory does what a kernel does when memory runs out: it ends the
// batch task that is furthest above its grant.
func (w *world) killForMemory(vm *VM, lives []*life) {
	for {
		total, worst, worstBy := 0.0, (*life)(nil), 0.0
		for _, l := range lives {
			if w.lives[vm.ID][l.task] != l || !l.running(w.tick) {
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
		w.lose(worst)
		w.report(vm.ID, worst, task.PhaseFailed)
		delete(w.lives[vm.ID], worst.task)
	}
}

func (w *world) memory(l *life) float64 {
	if jobOf(l.task) == serviceName {
		return 12000
	}
	return w.truths[jobOf(l.task)].memory * (0.7 + 0.3*min(1, 4*l.progress))
}

// sample measures a window and sends it on its way.
func (w *world) sample(n int, lives []*life) {
	b := batchOfSamples{vm: n}
	end := w.now.Add(tick)
	for _, l := range lives {
		if w.lives[w.vms[n].ID][l.task] != l || w.tick < l.since+startTicks+sampleWindow-1 {
			continue
		}
		var used, slow float64
		for i := range sampleWindow {
			used += l.used[i] / sampleWindow
			slow += l.slow[i] / sampleWindow
		}
		s := Sample{
			Task: l.task, Generation: l.generation, Start: end.Add(-sampleWindow * tick), End: end,
			Used: resource.Vector{MilliCPU: int64(1000 * used), MemoryMiB: int64(w.memory(l))},
		}
		noise := math.Exp(0.05 * w.rng.NormFloat64())
		if jobOf(l.task) == serviceName {
			load := min(w.load()*11/float64(max(w.instancesUp(), 1)), 1.2)
			s.Latency = time.Duration(latency(load) * (1 + slow) * noise * float64(time.Millisecond))
		} else {
			s.Speed = noise / (1 + slow)
		}
		b.samples = append(b.samples, s)
	}
	at := w.tick + sampleLag
	w.late[at] = append(w.late[at], b)
}
