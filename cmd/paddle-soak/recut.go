package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// Ways to cut a worker off.
const (
	cutLink     = iota // between the worker and its agent
	cutTogether        // the worker and its agent from the control replicas
	pauseAgent
)

var waysToCut = []string{"link cut", "agent cut", "agent paused"}

// span is a range of times in ms.
type span struct{ least, most int }

// recutBounds are the bounds of a schedule in which workers restart under held calls and are
// cut off soon after.
type recutBounds struct {
	ways    []int // to cut off
	held    span  // calls, before the crash
	after   span  // the next start, the held calls are carried out
	silent  span  // from then on, until those that came since are carried out
	working span  // until the cut
	soon    span  // the same, in half of the cases
	again   int   // one of this many restarts once more before the end of the cut; 0 for none
	several int   // of four faults, those that hit a third of the workers at once
}

// cutTime is for how long a worker is cut off, longer than most leases last.
var cutTime = span{5000, 9000}

const longestRecutGap = 3000

// recutSchedules are played alone.
var recutSchedules = map[string]recutBounds{
	recutFaults: {
		ways: []int{cutLink, cutTogether}, held: span{200, 1200}, after: span{0, 400}, silent: span{0, 300},
		working: span{0, 2500}, soon: span{0, 800}, again: 3, several: 1,
	},
	recutSoonFaults: {
		ways: []int{cutTogether}, held: span{500, 1000}, after: span{0, 100}, silent: span{50, 150},
		working: span{400, 1200}, soon: span{400, 1200},
	},
	recutAgainFaults: {
		ways: []int{cutLink}, held: span{200, 400}, after: span{0, 100}, silent: span{0, 100},
		working: span{100, 1000}, soon: span{100, 600}, again: 1,
	},
	repauseFaults: {
		ways: []int{pauseAgent}, held: span{0, 1}, after: span{0, 1}, silent: span{0, 1}, // no lease of a former life
		working: span{400, 2500}, soon: span{400, 800}, several: 1,
	},
}

// kinds returns the kinds of faults of the schedule.
func (b recutBounds) kinds() []kind {
	return []kind{
		{"recut a worker", 4 - b.several, func(r *run, _ time.Duration) (string, func()) { return r.recut(1, b) }},
		{"recut a third of the workers", b.several, func(r *run, _ time.Duration) (string, func()) { return r.recut(len(r.workers)/3, b) }},
	}
}

// recutTimes are the times of one restart and the cut after it.
type recutTimes struct {
	held, down, after, silent, working, cut, again time.Duration // again is when the worker restarts once more, after it has begun; 0 for never
	how                                            int           // one of the ways to cut off
}

func (t recutTimes) String() string {
	return fmt.Sprintf("(held %v, down %v, calls after %v, silent for %v, %s after %v for %v, again after %v)", t.held, t.down, t.after, t.silent, waysToCut[t.how], t.working, t.cut, t.again)
}

func (r *run) recutTimes(b recutBounds) recutTimes {
	within := func(s span) time.Duration {
		return time.Duration(s.least+r.recuts.IntN(s.most-s.least)) * time.Millisecond
	}
	t := recutTimes{
		held: within(b.held), down: within(span{shortestDown, longestDown}), after: within(b.after), silent: within(b.silent),
		working: within(b.working), cut: within(cutTime), how: b.ways[r.recuts.IntN(len(b.ways))],
	}
	if r.recuts.IntN(2) == 0 {
		t.working = within(b.soon)
	}
	if b.again > 0 && r.recuts.IntN(b.again) == 0 {
		t.again = within(span{0, int((t.working + t.cut).Milliseconds())})
	}
	return t
}

// recut restarts some workers under held calls, and cuts each of them off soon after.
func (r *run) recut(count int, b recutBounds) (string, func()) {
	var names []string
	var each []func()
	for _, i := range r.recuts.Perm(len(r.workers))[:count] {
		times := r.recutTimes(b)
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
