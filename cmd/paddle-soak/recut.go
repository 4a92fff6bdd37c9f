package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// recutKinds are the faults in which workers restart under held calls and are cut off soon
// after, in one of some ways. They are played alone.
func recutKinds(ways ...int) []kind {
	return []kind{
		{"recut a worker", 3, func(r *run, _ time.Duration) (string, func()) { return r.recut(1, ways) }},
		{"recut a third of the workers", 1, func(r *run, _ time.Duration) (string, func()) { return r.recut(len(r.workers)/3, ways) }},
	}
}

// Times of recuts, in ms. In half of them the worker is cut off within longestSoon after
// it has begun again.
const (
	longestRecutGap                = 3000
	shortestHeld, longestRecutHeld = 200, 1200
	longestRecutCrossing           = 400 // after the worker has begun again
	longestSilence                 = 300 // until the calls to its next life are carried out
	longestWorking, longestSoon    = 2500, 800
	shortestCut, longestCut        = 5000, 9000
)

// Ways to cut a worker off.
const (
	cutLink     = iota // between the worker and its agent
	cutTogether        // the worker and its agent from the control replicas
	pauseAgent
)

var waysToCut = []string{"link cut", "agent cut", "agent paused"}

// recutTimes are the times of one restart and the cut after it.
type recutTimes struct {
	held, down, after, silent, working, cut, again time.Duration // again is when the worker restarts once more, after it has begun; 0 for never
	how                                            int           // one of the ways to cut off
}

func (t recutTimes) String() string {
	return fmt.Sprintf("(held %v, down %v, calls after %v, silent for %v, %s after %v for %v, again after %v)", t.held, t.down, t.after, t.silent, waysToCut[t.how], t.working, t.cut, t.again)
}

func (r *run) recutTimes(ways []int) recutTimes {
	ms := func(least, most int) time.Duration {
		return time.Duration(least+r.recuts.IntN(most-least)) * time.Millisecond
	}
	t := recutTimes{
		held: ms(shortestHeld, longestRecutHeld), down: ms(shortestDown, longestDown), after: ms(0, longestRecutCrossing), silent: ms(0, longestSilence),
		working: ms(0, longestWorking), cut: ms(shortestCut, longestCut), how: ways[r.recuts.IntN(len(ways))],
	}
	if r.recuts.IntN(2) == 0 {
		t.working = ms(0, longestSoon)
	}
	if r.recuts.IntN(3) == 0 {
		t.again = ms(0, int((t.working + t.cut).Milliseconds()))
	}
	return t
}

// recut restarts some workers under held calls, and cuts each of them off soon after.
func (r *run) recut(count int, ways []int) (string, func()) {
	var names []string
	var each []func()
	for _, i := range r.recuts.Perm(len(r.workers))[:count] {
		times := r.recutTimes(ways)
		names = append(names, fmt.Sprintf("%s %v", r.workers[i].id, times))
		each = append(each, func() { r.recutWorker(r.workers[i], r.agents[i], times) })
	}
	return strings.Join(names, ", "), func() {
		for _, inflict := range each {
			r.busy.Go(inflict)
		}
	}
}

func (r *run) recutWorker(w *worker, agent *process, t recutTimes) {
	if !w.recutting.TryLock() {
		return // it is being recut
	}
	defer w.recutting.Unlock()
	w.restartSilently(t.held, t.down, t.after, t.silent)
	if t.again > 0 {
		r.busy.Go(func() {
			time.Sleep(t.again)
			w.restart(t.down, false)
		})
	}
	time.Sleep(t.working)
	r.note("%s is cut off", w.incarnation())
	r.cutOff(w, agent, t.how, true)
	time.Sleep(t.cut)
	r.cutOff(w, agent, t.how, false)
	r.note("%s is in touch again", w.id)
}

// cutOff cuts a worker off in one of the ways, or brings it in touch again.
func (r *run) cutOff(w *worker, agent *process, how int, cut bool) {
	agent.noteFault()
	switch {
	case how == cutTogether:
		for _, link := range r.controlLinks {
			link.setCut(agent.name, cut)
		}
	case how == pauseAgent && cut:
		agent.signal(syscall.SIGSTOP)
	case how == pauseAgent:
		agent.signal(syscall.SIGCONT)
	case cut:
		w.link.shut()
	default:
		w.link.open()
	}
}
