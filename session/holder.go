package session

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/task/lease"
)

// maxSentReports is the maximum number of reports whose send times are kept.
const maxSentReports = 1024

// sentReport holds the time at which a report was sent, on the agent's and on the
// worker's clock.
type sentReport struct {
	at            time.Time
	workerClockMS int64
}

// Holder holds the lease and the freshness bound that the control group has
// granted to this VM. The freshness bound limits how long the zone's state counts
// as confirmed. Both are counted from when the answered report was sent, so that
// neither a slow answer nor a pause can lengthen them. A Holder is not safe for
// concurrent use.
type Holder struct {
	sent             map[uint64]sentReport
	oldest           uint64 // lower bound of the sequences in sent
	lease            lease.Holder
	workerLeaseUntil int64 // end of the lease on the worker's clock, in milliseconds
	freshUntil       time.Time
	inService        bool
	draining         bool
	revision         uint64
	acknowledged     uint64
}

// NewHolder returns a Holder without a lease.
func NewHolder() *Holder { return &Holder{sent: map[uint64]sentReport{}} }

// RecordSent records that the report with this sequence number is about to be
// sent. workerClockMS is an earlier reading of the worker's clock.
func (h *Holder) RecordSent(sequence uint64, at time.Time, workerClockMS int64) {
	if len(h.sent) == 0 {
		h.oldest = sequence
	}
	h.sent[sequence] = sentReport{at: at, workerClockMS: workerClockMS}
	for len(h.sent) > maxSentReports {
		delete(h.sent, h.oldest)
		h.oldest++
	}
}

// ApplyDirective applies a directive of the leader. A directive that answers an
// unknown report grants nothing.
func (h *Holder) ApplyDirective(directive *api.Directive) {
	h.revision = max(h.revision, directive.Revision)
	h.draining = directive.Drain
	report, known := h.sent[directive.Acknowledged]
	if !known {
		return
	}
	h.acknowledged = max(h.acknowledged, directive.Acknowledged)
	terms := lease.Terms{Duration: time.Duration(directive.LeaseMs) * time.Millisecond}
	h.lease.Renew(terms, report.at)
	h.workerLeaseUntil = max(h.workerLeaseUntil, report.workerClockMS+terms.Duration.Milliseconds())
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

// forgetUpTo drops the reports before sequence. The report itself is kept: a
// later directive may answer it again.
func (h *Holder) forgetUpTo(sequence uint64) {
	for h.oldest < sequence {
		delete(h.sent, h.oldest)
		h.oldest++
	}
}

// WorkerRestarted drops all readings of the previous worker process's clock.
func (h *Holder) WorkerRestarted() {
	clear(h.sent)
	h.workerLeaseUntil = 0
}

// MayStart reports whether a task may start at now: the VM is not draining, its
// lease is valid, and its availability zone was confirmed to be in service within
// the freshness bound.
func (h *Holder) MayStart(now time.Time) bool {
	return h.inService && !h.draining && now.Before(h.freshUntil) && h.lease.Valid(now)
}

// StartsForbidden reports whether the latest directive forbids starts, so that
// waiting for a newer confirmation is pointless.
func (h *Holder) StartsForbidden() bool { return !h.inService || h.draining }

// WorkerLeaseUntil returns the end of the lease on the worker's clock, in milliseconds.
func (h *Holder) WorkerLeaseUntil() int64 { return h.workerLeaseUntil }

// Revision returns the configuration revision that is in force at this agent.
func (h *Holder) Revision() uint64 { return h.revision }
