// Package health tells VMs that fail what they are given from jobs that fail
// everywhere, and keeps new work from the former for a while.
//
// A VM is judged relative to its peers, and only by jobs that are not failing
// everywhere. A quarantined VM is tried with single tasks after a time that
// doubles with each relapse. The quarantined share of the fleet is capped:
// when many VMs fail, the cause is likely common to them.
package health

import (
	"math"
	"slices"
	"time"
)

// Rules of the quarantine.
const (
	halfLife         = 5 * time.Minute // of counted outcomes
	minFailures      = 3.0             // decayed failures before a VM is suspected
	minJobs          = 2               // distinct jobs that must have failed there
	minFailureRate   = 0.5
	minOutcomes      = 1.0 // decayed outcomes with which a VM counts as a peer
	peerFactor       = 4.0 // how much worse than the median rate a VM must be
	maxFleetShare    = 0.2
	firstQuarantine  = time.Minute
	maxQuarantine    = 30 * time.Minute
	probationSuccess = 2                // successes in a row that end a probation
	maxProbation     = 10 * time.Minute // after which a VM that got no work to fail is trusted again
)

// State says how far a VM is trusted.
type State uint8

// The states of a VM.
const (
	Trusted     State = iota
	Quarantined       // takes no work until a time
	Probation         // takes one task at a time
)

// Tracker counts outcomes per VM. It is not safe for concurrent use.
type Tracker struct {
	vms   map[string]*vmHealth
	rates []float64 // reused
}

type vmHealth struct {
	state     State
	until     time.Time // end of the quarantine
	relapses  int
	streak    int // successes in a row while on probation
	successes float64
	failures  map[string]float64 // by job
	decayed   time.Time
}

// NewTracker returns a tracker that trusts every VM.
func NewTracker() *Tracker { return &Tracker{vms: map[string]*vmHealth{}} }

func (t *Tracker) vm(id string, now time.Time) *vmHealth {
	h := t.vms[id]
	if h == nil {
		h = &vmHealth{failures: map[string]float64{}, decayed: now}
		t.vms[id] = h
	}
	h.decay(now)
	return h
}

// negligible is the decayed count below which a job's failures are forgotten.
const negligible = 0.05

func (h *vmHealth) decay(now time.Time) {
	age := now.Sub(h.decayed)
	if age < time.Second {
		return
	}
	factor := math.Exp2(-float64(age) / float64(halfLife))
	h.successes *= factor
	for job, n := range h.failures {
		if n*factor < negligible {
			delete(h.failures, job)
			continue
		}
		h.failures[job] = n * factor
	}
	h.decayed = now
}

// Succeeded records that a task ran well on the VM.
func (t *Tracker) Succeeded(now time.Time, vm string) {
	h := t.vm(vm, now)
	h.successes++
	if h.state != Probation {
		return
	}
	h.streak++
	if h.streak >= probationSuccess {
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
	h.streak = 0
}

// Review moves VMs into quarantine and from quarantine into probation.
// failing tells which jobs fail everywhere; their failures do not count
// against a VM.
func (t *Tracker) Review(now time.Time, fleet []string, failing func(job string) bool) {
	held := 0
	for _, id := range fleet {
		h := t.vms[id]
		if h == nil {
			continue
		}
		h.decay(now)
		if h.state == Quarantined && !now.Before(h.until) {
			h.state = Probation
			h.streak = 0
		}
		if h.state == Probation && now.Sub(h.until) >= maxProbation {
			h.trust()
		}
		if h.state != Trusted {
			held++
		}
	}
	limit := max(int(maxFleetShare*float64(len(fleet))), 1)
	for _, id := range fleet {
		if held >= limit {
			return
		}
		h := t.vms[id]
		if h != nil && h.state == Trusted && t.suspect(id, fleet, failing) {
			h.quarantine(now)
			held++
		}
	}
}

type outcomes struct{ failures, successes float64 }

func (o outcomes) rate() float64 {
	return o.failures / max(o.failures+o.successes, 1)
}

// peerRate returns the failure rate of the middle one of the other VMs that
// had work, 0 when there is none. A mean would let a few bad VMs hide each
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

// outcomes returns the VM's counts and how many jobs failed there, without
// the jobs that fail everywhere.
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

// suspect reports whether the VM fails much more than its peers.
func (t *Tracker) suspect(vm string, fleet []string, failing func(string) bool) bool {
	own, jobs := t.vms[vm].outcomes(failing)
	if own.failures < minFailures || jobs < minJobs || own.rate() < minFailureRate {
		return false
	}
	return own.rate() >= peerFactor*t.peerRate(vm, fleet, failing)
}

// State returns how far the VM is trusted.
func (t *Tracker) State(vm string) State {
	if h := t.vms[vm]; h != nil {
		return h.state
	}
	return Trusted
}
