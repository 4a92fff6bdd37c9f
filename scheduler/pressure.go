package scheduler

import (
	"slices"

	"amaranthpaddle/task"
)

// Answers to a slowdown that measurements show, in their order.
const (
	throttleAfter = 2    // consecutive measurements above the bound
	moveAfter     = 6    // consecutive measurements above the bound, throttled all the while
	calmAfter     = 6    // consecutive measurements below the bound
	throttleStep  = 0.5  // factor on the allowed processor time
	throttleFloor = 0.25 // lowest fraction
)

// relievePressure throttles, and later moves, the batch tasks that slow a
// service instance down most, and lifts throttles once it is calm.
func (c *cycle) relievePressure() {
	c.liftIdle()
	moves := c.s.MovesLeft
	for i := range c.s.Pressures {
		p := &c.s.Pressures[i]
		switch {
		case p.Answered:
			continue
		case p.Calm >= calmAfter:
			c.lift(p)
		case p.Sustained >= moveAfter && moves > 0:
			if c.move(p) {
				moves--
			}
		case p.Sustained >= throttleAfter:
			c.throttle(p)
		}
	}
}

// worst returns the running disturber with the largest share that keep
// accepts, as an index in s.Tasks, or -1.
func (c *cycle) worst(p *Pressure, keep func(*Task) bool) int {
	n, ok := c.byID[p.VM]
	if !ok {
		return -1
	}
	worst, share := -1, 0.0
	for _, i := range c.vms[n].tasks {
		t := &c.s.Tasks[i]
		if t.Class != task.Batch || t.State != task.Running || c.evicted[i] || !keep(t) {
			continue
		}
		k := slices.IndexFunc(p.Disturbers, func(d Disturber) bool { return d.Task == t.ID })
		if k >= 0 && p.Disturbers[k].Share > share {
			worst, share = i, p.Disturbers[k].Share
		}
	}
	return worst
}

func (c *cycle) throttle(p *Pressure) {
	i := c.worst(p, func(t *Task) bool { return allowed(t) > throttleFloor })
	if i < 0 {
		return
	}
	t := &c.s.Tasks[i]
	c.setThrottle(t, max(allowed(t)*throttleStep, throttleFloor), ReasonInterference, p.Task)
}

// move evicts the worst disturber that was throttled already.
func (c *cycle) move(p *Pressure) bool {
	i := c.worst(p, func(t *Task) bool { return t.Movable && allowed(t) < 1 && !t.Urgent() })
	if i < 0 {
		c.throttle(p)
		return false
	}
	c.evict(i, ReasonInterference, checkpointGrace, p.Task)
	return true
}

// lift gives a throttled task on the VM a step of its processor time back.
func (c *cycle) lift(p *Pressure) {
	n, ok := c.byID[p.VM]
	if !ok {
		return
	}
	for _, i := range c.vms[n].tasks {
		t := &c.s.Tasks[i]
		if t.State == task.Running && allowed(t) < 1 {
			c.setThrottle(t, min(allowed(t)/throttleStep, 1), ReasonCalm, p.Task)
			return
		}
	}
}

// liftIdle lifts the throttles on VMs that run no service instance any more.
func (c *cycle) liftIdle() {
	for n := range c.vms {
		v := &c.vms[n]
		if v.services > 0 {
			continue
		}
		for _, i := range v.tasks {
			if t := &c.s.Tasks[i]; t.State == task.Running && allowed(t) < 1 {
				c.setThrottle(t, 1, ReasonCalm, "")
			}
		}
	}
}

func (c *cycle) setThrottle(t *Task, fraction float64, reason Reason, forTask string) {
	c.out = append(c.out, Decision{
		Action:     Throttle,
		Task:       t.ID,
		Generation: t.Generation,
		VM:         t.VM,
		Fraction:   fraction,
		Reason:     reason,
		For:        forTask,
	})
}

// allowed returns the fraction of its processor time that the task may use.
func allowed(t *Task) float64 {
	if t.Throttle <= 0 || t.Throttle > 1 {
		return 1
	}
	return t.Throttle
}
