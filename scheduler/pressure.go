package scheduler

import (
	"slices"

	"amaranthpaddle/task"
)

// Answers to a slowdown that measurements show, in their order.
const (
	throttleAfter  = 2    // consecutive measurements above the bound
	moveAfter      = 6    // consecutive measurements above the bound, if another VM has room
	evictAfter     = 12   // consecutive measurements above the bound, if none has
	calmAfter      = 3    // consecutive measurements below the bound
	throttleTarget = 0.8  // of the bound, to which a throttle is to bring the slowdown
	throttleFloor  = 0.25 // lowest fraction
	smallestLift   = 0.1  // least change by which a throttle is lifted
)

// relievePressure throttles, and later moves, the batch tasks that slow a
// service instance down most, and lifts throttles once it is calm.
func (c *cycle) relievePressure() {
	c.liftIdle()
	moves := c.s.MovesLeft
	for n := range c.vms {
		v := &c.vms[n]
		for _, p := range v.pressures {
			switch {
			case p.Answered:
			case p.Sustained >= moveAfter && moves > 0 && c.move(v, p):
				moves--
			case p.Sustained >= throttleAfter:
				c.throttle(v, p)
			}
		}
		c.lift(v)
	}
}

// worst returns the running disturber with the largest share that keep
// accepts, and its share, or nil.
func (c *cycle) worst(v *vmView, p *Pressure, keep func(*Task) bool) (*Task, float64) {
	var worst *Task
	share := 0.0
	for _, t := range v.tasks {
		if t.Class != task.Batch || t.State != task.Running || c.evicted[t] || !keep(t) {
			continue
		}
		k := slices.IndexFunc(p.Disturbers, func(d Disturber) bool { return d.Task == t.ID })
		if k >= 0 && p.Disturbers[k].Share > share {
			worst, share = t, p.Disturbers[k].Share
		}
	}
	return worst, share
}

// throttle takes as much processor time from the worst disturber as brings
// the slowdown below the bound, by its share.
func (c *cycle) throttle(v *vmView, p *Pressure) {
	t, share := c.worst(v, p, func(t *Task) bool { return allowed(t) > throttleFloor })
	if t == nil {
		return
	}
	excess := p.Slowdown - throttleTarget*p.Bound
	fraction := allowed(t) * max(1-excess/share, 0)
	c.setThrottle(t, max(fraction, throttleFloor), ReasonInterference, p.Task)
}

// move evicts the worst disturber that is throttled as far as it goes, to a
// VM that has room for it, or in the end to wait for one.
func (c *cycle) move(v *vmView, p *Pressure) bool {
	t, _ := c.worst(v, p, func(t *Task) bool {
		return t.Movable && allowed(t) <= throttleFloor && !t.Urgent()
	})
	if t == nil {
		return false
	}
	if p.Sustained < evictAfter && c.pick(t) < 0 {
		return false
	}
	c.evict(t, ReasonInterference, checkpointGrace, p.Task)
	return true
}

// lift gives processor time back to the throttled task that does least harm,
// as far as each calm service instance on the VM is predicted to stay calm.
func (c *cycle) lift(v *vmView) {
	if len(v.pressures) == 0 || len(v.pressures) < v.services {
		return
	}
	for _, p := range v.pressures {
		if p.Answered || p.Calm < calmAfter {
			return
		}
	}
	var best *Task
	bestFraction := 0.0
	for _, t := range v.tasks {
		if t.State != task.Running || allowed(t) >= 1 {
			continue
		}
		if fraction := c.harmlessFraction(t, v); fraction > bestFraction {
			best, bestFraction = t, fraction
		}
	}
	if best == nil || bestFraction < allowed(best)+smallestLift && bestFraction < 1 {
		return
	}
	c.setThrottle(best, bestFraction, ReasonCalm, v.pressures[0].Task)
}

// harmlessFraction returns the largest fraction of its processor time with
// which the task is predicted to leave each service instance below the bound.
func (c *cycle) harmlessFraction(t *Task, v *vmView) float64 {
	fraction := 1.0
	full := float64(t.Grant.MilliCPU) / 1000
	for _, p := range v.pressures {
		spare := throttleTarget*p.Bound - p.Slowdown
		harm := c.slowdown(jobOf(p.Task), t.Job, full)
		if harm > 0 {
			fraction = min(fraction, allowed(t)+spare/harm)
		}
	}
	return max(fraction, 0)
}

func (c *cycle) slowdown(victim, other string, cores float64) float64 {
	if c.s.Harm == nil {
		return 0
	}
	return c.s.Harm.Slowdown(victim, other, cores)
}

// liftIdle lifts the throttles on VMs that run no service instance any more.
func (c *cycle) liftIdle() {
	for n := range c.vms {
		v := &c.vms[n]
		if v.services > 0 {
			continue
		}
		for _, t := range v.tasks {
			if t.State == task.Running && allowed(t) < 1 {
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
