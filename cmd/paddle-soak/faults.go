package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// kind is one kind of fault. It prepares a fault, by what the schedule's random
// numbers choose, and returns it, or nil when it can't come now.
type kind struct {
	name    string
	weight  int
	prepare func(r *run, lasts time.Duration) (what string, inflict func())
}

var kinds = []kind{
	{"kill", 4, (*run).kill},
	{"stop", 4, (*run).stop},
	{"pause", 4, (*run).pause},
	{"kill all control processes", 1, (*run).killControl},
	{"lose a disk", 2, (*run).wipe},
	{"delay", 3, link(linkState{toward: true, back: true, delay: 150 * time.Millisecond})},
	{"silence", 3, link(linkState{})},
	{"one way", 3, link(linkState{toward: true})},
	{"other way", 2, link(linkState{back: true})},
	{"refuse", 2, link(linkState{toward: true, back: true, refuses: true})},
	{"reset", 3, (*run).reset},
	{"crash a worker", 3, (*run).crashWorker},
	{"mute worker", 3, (*run).muteWorker},
	{"late worker", 3, (*run).lateWorker},
	{"shrink a worker", 2, (*run).shrinkWorker},
	{"drain a worker", 2, (*run).drainWorker},
	{"zone out", 1, (*run).takeZoneOut},
}

// restartKinds are the kinds of faults in which workers restart while calls to them are
// held back. They have a schedule of their own beside that of the other kinds.
var restartKinds = []kind{
	{"crash all workers", 2, (*run).crashAllWorkers},
	{"restart a worker repeatedly", 2, (*run).restartRepeatedly},
	{"restart a worker under held calls", 3, (*run).restartUnderHeldCalls},
}

// orderKinds are the faults around series of operators' orders. They are played alone: a zone
// is out of service most of the time.
var orderKinds = []kind{
	{"pause around orders", 1, (*run).pauseAroundOrders},
}

// Lengths and pauses of faults, in ms.
const (
	shortestFault, longestFault = 100, 4000
	shortestGap, longestGap     = 100, 1600
	longestRestartGap           = 3000
	longestOrderGap             = 4000
)

// Times of restarts, in ms. Calls that are held back are carried out up to
// longestCrossing after the worker has begun again, before or after its agent hears of it.
const (
	shortestDown, longestDown = 200, 900
	longestCrossing           = 60
)

// wipeGap is the least time between lost disks: the group must have taken up
// the replica that joined in place of the last one.
const wipeGap = 15 * time.Second

// disturbAll inflicts the faults of the chosen schedules for a time.
func (r *run) disturbAll(d time.Duration, faults string) {
	var schedules sync.WaitGroup
	if faults == allFaults || faults == generalFaults {
		schedules.Go(func() { r.disturb(d, kinds, longestGap, r.random) })
	}
	if faults == allFaults || faults == restartFaults {
		schedules.Go(func() { r.disturb(d, restartKinds, longestRestartGap, r.restarts) })
	}
	if faults == noFaults {
		time.Sleep(d)
	}
	if faults == orderFaults {
		schedules.Go(func() { r.disturb(d, orderKinds, longestOrderGap, r.orders) })
	}
	if bounds, chosen := recutSchedules[faults]; chosen {
		schedules.Go(func() { r.disturb(d, bounds.kinds(), longestRecutGap, r.recuts) })
	}
	schedules.Wait()
}

// disturb inflicts faults, in series and overlapping, for a time.
func (r *run) disturb(d time.Duration, kinds []kind, longestGap int, random *rand.Rand) {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(shortestGap+random.IntN(longestGap-shortestGap)) * time.Millisecond)
		draw := random.IntN(total)
		lasts := time.Duration(shortestFault+random.IntN(longestFault-shortestFault)) * time.Millisecond
		for _, k := range kinds {
			if draw -= k.weight; draw >= 0 {
				continue
			}
			what, inflict := k.prepare(r, lasts)
			if inflict != nil {
				r.faults.Add(1)
				r.note("%s: %s for %v", k.name, what, lasts)
				r.busy.Go(func() {
					r.disturbedAt.Store(time.Now().UnixNano())
					inflict()
					r.disturbedAt.Store(time.Now().UnixNano())
				})
			}
			break
		}
	}
}

func (r *run) note(format string, values ...any) {
	file, err := os.OpenFile(r.folder+"/faults.log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, "paddle-soak:", err)
		return
	}
	defer file.Close()
	fmt.Fprintf(file, "%s %s\n", time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, values...))
}

func (r *run) anyProcess() *process {
	all := r.processes()
	return all[r.random.IntN(len(all))]
}

// restart ends a process by a signal and starts it again after a while.
func (r *run) restart(p *process, signal syscall.Signal, after time.Duration, between func()) func() {
	return func() {
		p.lives.Lock()
		defer p.lives.Unlock()
		p.noteFault()
		p.end(signal, grace)
		between()
		time.Sleep(after)
		if err := p.start(); err != nil {
			r.note("%v", err)
		}
		p.noteFault()
	}
}

func nothing() {}

func (r *run) kill(lasts time.Duration) (string, func()) {
	p := r.anyProcess()
	return p.name, r.restart(p, syscall.SIGKILL, lasts/2, nothing)
}

func (r *run) stop(lasts time.Duration) (string, func()) {
	p := r.anyProcess()
	return p.name, r.restart(p, syscall.SIGTERM, lasts/4, nothing)
}

func (r *run) pause(lasts time.Duration) (string, func()) {
	p := r.anyProcess()
	return p.name, func() {
		p.noteFault()
		p.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		p.signal(syscall.SIGCONT)
		p.noteFault()
	}
}

func (r *run) killControl(lasts time.Duration) (string, func()) {
	return "all", func() {
		for _, p := range r.control {
			r.busy.Go(r.restart(p, syscall.SIGKILL, lasts/2, nothing))
		}
	}
}

// wipe ends a control process and empties its disk. One lost disk is tolerated
// at a time.
func (r *run) wipe(lasts time.Duration) (string, func()) {
	i := r.random.IntN(controls)
	if time.Since(r.wiped) < wipeGap {
		return "", nil
	}
	r.wiped = time.Now()
	p := r.control[i]
	return p.name, r.restart(p, syscall.SIGKILL, lasts/4, func() {
		if err := os.RemoveAll(r.dataFolder(i)); err != nil {
			r.note("%v", err)
		}
		if err := os.MkdirAll(r.dataFolder(i), 0o755); err != nil {
			r.note("%v", err)
		}
	})
}

func (r *run) anyLink() (string, *proxy) {
	if i := r.random.IntN(controls + entries); i < controls {
		return r.control[i].name, r.controlLinks[i]
	} else {
		return r.entries[i-controls].name, r.entryLinks[i-controls]
	}
}

// link returns a fault of the link before a process.
func link(state linkState) func(*run, time.Duration) (string, func()) {
	return func(r *run, lasts time.Duration) (string, func()) {
		name, l := r.anyLink()
		return name, func() {
			l.set(state)
			time.Sleep(lasts)
			l.set(healthyLink)
		}
	}
}

func (r *run) reset(time.Duration) (string, func()) {
	name, l := r.anyLink()
	return name, l.resetAll
}

func (r *run) anyWorker() *worker { return r.workers[r.random.IntN(len(r.workers))] }

func (r *run) crashWorker(lasts time.Duration) (string, func()) {
	w := r.anyWorker()
	return w.id, func() { w.restart(lasts/2, false) }
}

// restartTimes draws for how long a worker is down, and how long after its next start
// the calls that were held back are carried out.
func (r *run) restartTimes() (down, after time.Duration) {
	return time.Duration(shortestDown+r.restarts.IntN(longestDown-shortestDown)) * time.Millisecond,
		time.Duration(r.restarts.IntN(longestCrossing)) * time.Millisecond
}

func (r *run) crashAllWorkers(lasts time.Duration) (string, func()) {
	var each []func()
	for _, w := range r.workers {
		down, after := r.restartTimes()
		each = append(each, func() { w.restartUnder(lasts/8, down, after) })
	}
	return "all", func() {
		for _, restart := range each {
			r.busy.Go(restart)
		}
	}
}

// restartRepeatedly restarts a worker two to five times, each time soon after it has begun.
func (r *run) restartRepeatedly(lasts time.Duration) (string, func()) {
	w, times := r.workers[r.restarts.IntN(len(r.workers))], 2+r.restarts.IntN(4)
	_, after := r.restartTimes()
	step := 50*time.Millisecond + lasts/16
	return w.id, func() {
		for range times {
			w.restartUnder(step, step, after)
			time.Sleep(step)
		}
	}
}

func (r *run) restartUnderHeldCalls(lasts time.Duration) (string, func()) {
	w := r.workers[r.restarts.IntN(len(r.workers))]
	down, after := r.restartTimes()
	return w.id, func() { w.restartUnder(lasts/4, down, after) }
}

// shrinkWorker takes most of a worker's capacity, for long enough that it counts.
func (r *run) shrinkWorker(lasts time.Duration) (string, func()) {
	w := r.anyWorker()
	return w.id, func() {
		w.set(func() { w.shrunkSince = time.Now() })
		time.Sleep(shrinkGrace + lasts)
		w.set(func() { w.shrunkSince = time.Time{} })
	}
}

func (r *run) muteWorker(lasts time.Duration) (string, func()) {
	w := r.anyWorker()
	return w.id, func() {
		w.set(func() { w.mute = true })
		time.Sleep(lasts)
		w.set(func() { w.mute = false })
	}
}

func (r *run) lateWorker(lasts time.Duration) (string, func()) {
	w := r.anyWorker()
	after := time.Duration(500+r.random.IntN(4000)) * time.Millisecond
	return w.id, func() {
		w.set(func() { w.late = after })
		time.Sleep(lasts / 4)
		w.set(func() { w.late = 0 })
	}
}

// drainWorker empties a worker, which then ends and starts anew.
func (r *run) drainWorker(lasts time.Duration) (string, func()) {
	w := r.anyWorker()
	return w.id, func() {
		w.set(func() { w.drains = true })
		time.Sleep(drainTime + lasts)
		w.restart(lasts/4, true)
	}
}

func (r *run) takeZoneOut(lasts time.Duration) (string, func()) {
	zone := r.random.IntN(zones)
	operator := newOperator(r.random.Uint64(), r.operators, r.check)
	return zoneName(zone), func() { r.evacuate(zone, operator, 2*lasts, nothing) }
}

// pauseAroundOrders takes an evacuated zone back and evacuates it again, repeatedly, while a
// control process is paused.
func (r *run) pauseAroundOrders(lasts time.Duration) (string, func()) {
	zone, p := r.orders.IntN(zones), r.control[r.orders.IntN(controls)]
	operator := newOperator(r.orders.Uint64(), r.operators, r.check)
	series := func() {
		p.noteFault()
		p.signal(syscall.SIGSTOP)
		var resumed sync.WaitGroup
		resumed.Go(func() {
			time.Sleep(shortestOrderPause + lasts/2)
			p.signal(syscall.SIGCONT)
			p.noteFault()
		})
		for range 2 {
			operator.setZone(zoneName(zone), false, nil)
			operator.setZone(zoneName(zone), true, nil)
		}
		resumed.Wait()
	}
	return p.name + ", " + zoneName(zone), func() {
		if !r.ordering.TryLock() {
			return // another series would leave the zone in another state
		}
		defer r.ordering.Unlock()
		r.evacuate(zone, operator, calmAfter+lasts/2, series)
	}
}

// shortestOrderPause is the shortest time for which a control process is paused around
// orders; clients give up calls to it earlier.
const shortestOrderPause = 4 * time.Second

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// evacuate takes a zone out of service for a time, after a series of orders that leaves it
// evacuated, and takes it back.
func (r *run) evacuate(zone int, operator *operator, lasts time.Duration, series func()) {
	stop := make(chan struct{})
	timer := time.AfterFunc(10*time.Second, func() { close(stop) })
	defer timer.Stop()
	if operator.setZone(zoneName(zone), true, stop) {
		series()
		r.mu.Lock()
		r.zonesOut[zoneName(zone)] = time.Now()
		r.mu.Unlock()
		time.Sleep(lasts)
	}
	r.mu.Lock()
	delete(r.zonesOut, zoneName(zone))
	r.mu.Unlock()
	operator.setZone(zoneName(zone), false, nil)
}
