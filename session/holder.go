package session

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/task/lease"
)

// maxSentReports bounds the reports whose send times are remembered.
const maxSentReports = 1024

// sentReport is when a report was sent, on the agent's and on the worker's clock.
type sentReport struct {
	at            time.Time
	workerClockMS int64
}

// Holder is the lease and freshness that the control group has granted to this
// VM. Both are counted from the moment the answered report was sent, so that
// neither a slow answer nor a pause can lengthen them. It is not safe for
// concurrent use.
type Holder struct {
	sent         map[uint64]sentReport
	oldest       uint64 // lowest sequence that may be in sent
	lease        lease.Holder
	workerUntil  int64 // the lease on the worker's clock, in milliseconds
	freshUntil   time.Time
	inService    bool
	draining     bool
	revision     uint64
	acknowledged uint64
}

// NewHolder returns a Holder without a lease.
func NewHolder() *Holder { return &Holder{sent: map[uint64]sentReport{}} }

// Sent records that the report with the sequence number is about to be sent.
// workerClockMS is a reading of the worker's clock taken before.
func (h *Holder) Sent(sequence uint64, at time.Time, workerClockMS int64) {
	if len(h.sent) == 0 {
		h.oldest = sequence
	}
	h.sent[sequence] = sentReport{at: at, workerClockMS: workerClockMS}
	for len(h.sent) > maxSentReports {
		delete(h.sent, h.oldest)
		h.oldest++
	}
}

// Grant takes in the leader's directive. A directive for a report that is not
// remembered grants nothing.
func (h *Holder) Grant(directive *api.Directive) {
	h.revision = max(h.revision, directive.Revision)
	h.draining = directive.Drain
	report, known := h.sent[directive.Acknowledged]
	if !known {
		return
	}
	h.acknowledged = max(h.acknowledged, directive.Acknowledged)
	terms := lease.Terms{Duration: time.Duration(directive.LeaseMs) * time.Millisecond}
	h.lease.Renew(terms, report.at)
	h.workerUntil = max(h.workerUntil, report.workerClockMS+terms.Duration.Milliseconds())
	h.grantFreshness(directive, report)
	h.forgetUpTo(directive.Acknowledged)
}

func (h *Holder) grantFreshness(directive *api.Directive, report sentReport) {
	h.inService = directive.ZoneInService
	fresh := time.Duration(directive.FreshMs) * time.Millisecond
	if until := report.at.Add(fresh); until.After(h.freshUntil) {
		h.freshUntil = until
	}
}

// forgetUpTo drops the reports before sequence. The report itself stays: a
// later directive may answer it again.
func (h *Holder) forgetUpTo(sequence uint64) {
	for h.oldest < sequence {
		delete(h.sent, h.oldest)
		h.oldest++
	}
}

// WorkerRestarted drops every reading of the former worker process's clock.
func (h *Holder) WorkerRestarted() {
	clear(h.sent)
	h.workerUntil = 0
}

// MayStart reports whether a task may start at now: the VM's lease runs, and
// its availability zone is in service as confirmed within the freshness bound.
func (h *Holder) MayStart(now time.Time) bool {
	return h.inService && !h.draining && now.Before(h.freshUntil) && h.lease.Valid(now)
}

// Refuses reports whether the last directive forbade starts, so that waiting
// for a fresher one is of no use.
func (h *Holder) Refuses() bool { return !h.inService || h.draining }

// WorkerLeaseUntil is the end of the lease on the worker's clock, in milliseconds.
func (h *Holder) WorkerLeaseUntil() int64 { return h.workerUntil }

// Revision is the configuration revision in force at this agent.
func (h *Holder) Revision() uint64 { return h.revision }
