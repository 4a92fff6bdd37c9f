// Package health distinguishes faulty VMs from failing jobs, and quarantines
// the faulty VMs.
//
// A VM is judged relative to its peers, and only by jobs that do not fail
// everywhere. After a time that doubles with each relapse, a quarantined VM
// is probed with single tasks. The quarantined share of the VMs is limited,
// because when many VMs fail, they probably have a common cause.
package health

import (
	"math"
	"slices"
	"time"
)

// Parameters of the quarantine.
const (
	halfLife           = 5 * time.Minute // of the outcome counts
	minFailures        = 3.0             // decayed failures before a VM is suspected
	minJobs            = 2               // distinct jobs that must have failed on the VM
	minFailureRate     = 0.5
	minOutcomes        = 1.0 // decayed outcomes from which on a VM counts as a peer
	peerFactor         = 4.0 // ratio to the median failure rate of the peers from which on a VM is suspected
	maxFleetShare      = 0.2
	firstQuarantine    = time.Minute
	maxQuarantine      = 30 * time.Minute
	probationSuccesses = 2                // consecutive successes that end a probation
	maxProbation       = 10 * time.Minute // after which a VM that got too few tasks is trusted again
)

// State is the degree to which a VM is trusted.
type State uint8

// The states of a VM.
const (
	Trusted     State = iota
	Quarantined       // takes no tasks until the quarantine ends
	Probation         // takes one task at a time
)

// Tracker counts the outcomes of tasks per VM. It is not safe for concurrent
// use.
type Tracker struct {
	vms   map[string]*vmHealth
	rates []float64 // reused
}

type vmHealth struct {
	state         State
	until         time.Time // end of the quarantine
	relapses      int
	successStreak int // consecutive successes during probation
	successes     float64
	failures      map[string]float64 // by job
	decayedAt     time.Time
}

// NewTracker returns a tracker without outcomes, in which every VM is
// trusted.
func NewTracker() *Tracker { return &Tracker{vms: map[string]*vmHealth{}} }

func (t *Tracker) vm(id string, now time.Time) *vmHealth {
	h := t.vms[id]
	if h == nil {
		h = &vmHealth{failures: map[string]float64{}, decayedAt: now}
		t.vms[id] = h
	}
	h.decay(now)
	return h
}

// minFailureCount is the decayed count below which a job's failures are
// deleted.
const minFailureCount = 0.05

func (h *vmHealth) decay(now time.Time) {
	age := now.Sub(h.decayedAt)
	if age < time.Second {
		return
	}
	factor := math.Exp2(-float64(age) / float64(halfLife))
	h.successes *= factor
	for job, n := range h.failures {
		if n*factor < minFailureCount {
			delete(h.failures, job)
			continue
		}
		h.failures[job] = n * factor
	}
	h.decayedAt = now
}

// Succeeded records that a task succeeded on the VM.
func (t *Tracker) Succeeded(now time.Time, vm string) {
	h := t.vm(vm, now)
	h.successes++
	if h.state != Probation {
		return
	}
	h.successStreak++
	if h.successStreak >= probationSuccesses {
		h.trust()
	}
}

func (h *vmHealth) trust() {
	h.state = Trusted
	h.failures = map[string]float64{}
	h.relapses = 0
}

// Failed records that a task of the job failed on the VM.
func (t *Tracker) Failed(now time.Time, vm, job string) {
	h := t.vm(vm, now)
	h.failures[job]++
	if h.state == Probation {
		h.quarantine(now)
	}
}

func (h *vmHealth) quarantine(now time.Time) {
	d := firstQuarantine
	for i := 0; i < h.relapses && d < maxQuarantine; i++ {
		d *= 2
	}
	h.state = Quarantined
	h.until = now.Add(min(d, maxQuarantine))
	h.relapses++
	h.successStreak = 0
}

// Review moves suspected VMs into quarantine, VMs whose quarantine is over
// into probation, and VMs out of a probation that reached maxProbation.
// failing reports whether a job fails everywhere; the failures of such jobs
// do not count against a VM.
func (t *Tracker) Review(now time.Time, fleet []string, failing func(job string) bool) {
	quarantined := 0
	for _, id := range fleet {
		h := t.vms[id]
		if h == nil {
			continue
		}
		h.decay(now)
		if h.state == Quarantined && !now.Before(h.until) {
			h.state = Probation
			h.successStreak = 0
		}
		if h.state == Probation && now.Sub(h.until) >= maxProbation {
			h.trust()
		}
		if h.state != Trusted {
			quarantined++
		}
	}
	limit := max(int(maxFleetShare*float64(len(fleet))), 1)
	for _, id := range fleet {
		if quarantined >= limit {
			return
		}
		h := t.vms[id]
		if h != nil && h.state == Trusted && t.failsMoreThanPeers(id, fleet, failing) {
			h.quarantine(now)
			quarantined++
		}
	}
}

type outcomes struct{ failures, successes float64 }

func (o outcomes) rate() float64 {
	return o.failures / max(o.failures+o.successes, 1)
}

// peerRate returns the median failure rate of the other VMs that ran tasks,
// or 0 if there are none. With the mean, a few faulty VMs would hide each
// other.
func (t *Tracker) peerRate(vm string, fleet []string, failing func(string) bool) float64 {
	t.rates = t.rates[:0]
	for _, id := range fleet {
		h := t.vms[id]
		if h == nil || id == vm {
			continue
		}
		if o, _ := h.outcomes(failing); o.failures+o.successes >= minOutcomes {
			t.rates = append(t.rates, o.rate())
		}
	}
	if len(t.rates) == 0 {
		return 0
	}
	slices.Sort(t.rates)
	return t.rates[(len(t.rates)-1)/2]
}

// outcomes returns the VM's counts and the number of jobs that failed on it,
// without the jobs that fail everywhere.
func (h *vmHealth) outcomes(failing func(string) bool) (outcomes, int) {
	o := outcomes{successes: h.successes}
	jobs := 0
	for job, n := range h.failures {
		if !failing(job) {
			o.failures += n
			jobs++
		}
	}
	return o, jobs
}

// failsMoreThanPeers reports whether the VM fails often, and much more often
// than its peers.
func (t *Tracker) failsMoreThanPeers(vm string, fleet []string, failing func(string) bool) bool {
	own, jobs := t.vms[vm].outcomes(failing)
	if own.failures < minFailures || jobs < minJobs || own.rate() < minFailureRate {
		return false
	}
	return own.rate() >= peerFactor*t.peerRate(vm, fleet, failing)
}

// State returns the degree to which the VM is trusted.
func (t *Tracker) State(vm string) State {
	if h := t.vms[vm]; h != nil {
		return h.state
	}
	return Trusted
}
