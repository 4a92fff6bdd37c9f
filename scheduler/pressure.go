package scheduler

import (
	"slices"

	"amaranthpaddle/task"
)

// Parameters of the mitigation of measured slowdowns, which escalates from
// throttling to moving to eviction.
const (
	throttleAfter  = 2    // consecutive measurements above the threshold
	moveAfter      = 6    // consecutive measurements above the threshold, if another VM has room
	evictAfter     = 12   // consecutive measurements above the threshold, if no other VM has room
	calmAfter      = 3    // consecutive calm measurements
	throttleTarget = 0.8  // ratio of the slowdown that a throttle aims at to the threshold
	minThrottle    = 0.25 // lowest fraction of the CPU that a throttle leaves
	minLift        = 0.1  // smallest increase of the fraction, except to 1
)

// relievePressure throttles, and later evicts, the batch tasks that slow down
// a service instance most, and lifts throttles when the slowdown is over.
func (c *cycle) relievePressure() {
	c.liftUnneeded()
	moves := c.s.EvictionsLeft
	for n := range c.vms {
		v := &c.vms[n]
		for _, p := range v.pressures {
			switch {
			case p.Mitigated:
			case p.HighCount >= moveAfter && moves > 0 && c.evictAntagonist(v, p):
				moves--
			case p.HighCount >= throttleAfter:
				c.throttle(v, p)
			}
		}
		c.liftThrottle(v)
	}
}

// worstAntagonist returns the running antagonist with the largest share of
// those that accept selects, and its share, or nil.
func (c *cycle) worstAntagonist(v *vmView, p *Pressure, accept func(*Task) bool) (*Task, float64) {
	var worst *Task
	share := 0.0
	for _, t := range v.tasks {
		if t.Class != task.Batch || t.State != task.Running || c.evicted[t] || !accept(t) {
			continue
		}
		k := slices.IndexFunc(p.Antagonists, func(d Antagonist) bool { return d.Task == t.ID })
		if k >= 0 && p.Antagonists[k].Share > share {
			worst, share = t, p.Antagonists[k].Share
		}
	}
	return worst, share
}

// throttle reduces the CPU of the worst antagonist by the ratio of the excess
// slowdown to its share, so that the slowdown falls to throttleTarget of the
// threshold.
func (c *cycle) throttle(v *vmView, p *Pressure) {
	t, share := c.worstAntagonist(v, p, func(t *Task) bool { return throttleFraction(t) > minThrottle })
	if t == nil {
		return
	}
	excess := p.Slowdown - throttleTarget*p.Threshold
	fraction := throttleFraction(t) * max(1-excess/share, 0)
	c.setThrottle(t, max(fraction, minThrottle), ReasonInterference, p.Task)
}

// evictAntagonist evicts the worst antagonist that is throttled to
// minThrottle, if another VM can take it or the slowdown has lasted for
// evictAfter measurements.
func (c *cycle) evictAntagonist(v *vmView, p *Pressure) bool {
	t, _ := c.worstAntagonist(v, p, func(t *Task) bool {
		return t.Movable && throttleFraction(t) <= minThrottle && !t.Urgent()
	})
	if t == nil {
		return false
	}
	if p.HighCount < evictAfter && c.pick(t) < 0 {
		return false
	}
	c.evict(t, ReasonInterference, checkpointGrace, p.Task)
	return true
}

// liftThrottle raises the fraction of the throttled task that can be raised
// furthest while each service instance on the VM is predicted to stay below
// the threshold. It waits until all instances are calm.
func (c *cycle) liftThrottle(v *vmView) {
	if len(v.pressures) == 0 || len(v.pressures) < v.services {
		return
	}
	for _, p := range v.pressures {
		if p.Mitigated || p.CalmCount < calmAfter {
			return
		}
	}
	var best *Task
	bestFraction := 0.0
	for _, t := range v.tasks {
		if t.State != task.Running || throttleFraction(t) >= 1 {
			continue
		}
		if fraction := c.safeFraction(t, v); fraction > bestFraction {
			best, bestFraction = t, fraction
		}
	}
	if best == nil || bestFraction < throttleFraction(best)+minLift && bestFraction < 1 {
		return
	}
	c.setThrottle(best, bestFraction, ReasonCalm, v.pressures[0].Task)
}

// safeFraction returns the largest fraction of its CPU with which the task is
// predicted to keep the slowdown of each service instance within
// throttleTarget of the threshold.
func (c *cycle) safeFraction(t *Task, v *vmView) float64 {
	fraction := 1.0
	full := float64(t.Grant.MilliCPU) / 1000
	for _, p := range v.pressures {
		spare := throttleTarget*p.Threshold - p.Slowdown
		added := c.slowdown(jobOf(p.Task), t.Job, full)
		if added > 0 {
			fraction = min(fraction, throttleFraction(t)+spare/added)
		}
	}
	return max(fraction, 0)
}

func (c *cycle) slowdown(victim, other string, cores float64) float64 {
	if c.s.Interference == nil {
		return 0
	}
	return c.s.Interference.Slowdown(victim, other, cores)
}

// liftUnneeded lifts the throttles on VMs without a service instance.
func (c *cycle) liftUnneeded() {
	for n := range c.vms {
		v := &c.vms[n]
		if v.services > 0 {
			continue
		}
		for _, t := range v.tasks {
			if t.State == task.Running && throttleFraction(t) < 1 {
				c.setThrottle(t, 1, ReasonCalm, "")
			}
		}
	}
}

func (c *cycle) setThrottle(t *Task, fraction float64, reason Reason, beneficiary string) {
	c.decisions = append(c.decisions, Decision{
		Action:      Throttle,
		Task:        t.ID,
		Generation:  t.Generation,
		VM:          t.VM,
		Fraction:    fraction,
		Reason:      reason,
		Beneficiary: beneficiary,
	})
}

// throttleFraction returns the fraction of its CPU that the task may use.
func throttleFraction(t *Task) float64 {
	if t.Throttle <= 0 || t.Throttle > 1 {
		return 1
	}
	return t.Throttle
}
