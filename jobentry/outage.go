package jobentry

import (
	"math/rand/v2"
	"time"

	"amaranthpaddle/api"
)

// Limits of the decision, and the length of an election before any has been observed.
const (
	defaultElection = 1 * time.Second

	// quorumLossDelay is how long surveys must miss a quorum. A single one also
	// misses it when the entry itself was short of processor time.
	quorumLossDelay = 500 * time.Millisecond
	minElectionWait = 1500 * time.Millisecond // every call waits for an ordinary election of about 1 s
	minOutage       = 100 * time.Millisecond  // shorter ones are redirections to a new leader and are not learnt
	minRetryAfter   = 1 * time.Second         // Retry-After counts whole seconds
	maxRetryAfter   = 5 * time.Second

	// retrySpread is the random addition to the time after which callers return.
	// It exceeds the whole second that Retry-After is rounded up to, so that callers
	// who are told at the same time always get different times.
	retrySpread = 1500 * time.Millisecond
)

// outage estimates when a leader will answer again, and decides which calls need
// not wait for it. It has two phases: while no quorum of replicas can be reached,
// the recovery is waited for, and after that an election. Its size is constant. It
// is not safe for concurrent use.
type outage struct {
	began      time.Time // first failure since the leader last answered; zero while it answers
	quorumLost time.Time // first of the surveys in a row without a quorum; zero while there is one
	electing   time.Time // since when an election may be in progress
	recovering time.Time // when the quorum was lost that has since returned; zero for none

	elections  outageLengths // from the first failure, or the return of the quorum, to the leader's answer
	recoveries outageLengths // from the loss of the quorum to the leader's answer
}

func newOutage() (o outage) {
	o.elections.add(defaultElection)
	return o
}

// failed records an attempt that found no leader. It reports whether an outage began.
func (o *outage) failed(now time.Time) bool {
	if !o.began.IsZero() {
		return false
	}
	o.began, o.electing = now, now
	return true
}

// surveyed records how many of the replicas answered a survey in which none led.
// Half of them may be a quorum, because one of an even number may be a standby.
func (o *outage) surveyed(now time.Time, reachable, replicas int) {
	o.failed(now)
	switch quorum := 2*reachable >= replicas; {
	case !quorum && o.quorumLost.IsZero():
		o.quorumLost = now
	case quorum && !o.quorumLost.IsZero():
		if o.withoutQuorum(now) {
			o.recovering, o.electing = o.quorumLost, now
		}
		o.quorumLost = time.Time{}
	}
}

// answered records an answer of the leader and returns how long the outage before
// it lasted, 0 for none.
func (o *outage) answered(now time.Time) time.Duration {
	if o.began.IsZero() {
		return 0
	}
	lasted := now.Sub(o.began)
	if o.withoutQuorum(now) {
		o.recovering = o.quorumLost
	} else if election := now.Sub(o.electing); election >= minOutage {
		o.elections.add(election)
	}
	if !o.recovering.IsZero() {
		o.recoveries.add(now.Sub(o.recovering))
	}
	o.began, o.quorumLost, o.electing, o.recovering = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	return lasted
}

// active reports whether the leader is not known to answer.
func (o *outage) active() bool { return !o.began.IsZero() }

func (o *outage) withoutQuorum(now time.Time) bool {
	return !o.quorumLost.IsZero() && now.Sub(o.quorumLost) >= quorumLossDelay
}

// remaining estimates the time until a leader answers a call of the kind, at the
// earliest that earlier outages make likely. learnt is whether one of them lasted
// longer than this one has lasted; otherwise the estimate follows from the elapsed
// time alone.
//
// Of outages of unknown scale that have lasted for t, two in five end within 2t/3
// and a quarter within t/3. The smaller share is enough to keep a query or a
// cancellation while a quorum can be reached, which may elect a leader at any time.
func (o *outage) remaining(now time.Time, kind api.JobCallKind) (estimate time.Duration, learnt bool) {
	switch {
	case !o.active():
		return 0, false
	case o.withoutQuorum(now):
		elapsed := now.Sub(o.quorumLost)
		return o.recoveries.remaining(elapsed, elapsed*2/3)
	}
	elapsed := now.Sub(o.electing)
	if kind == api.JobCallKind_JOB_CALL_KIND_SUBMIT {
		return o.elections.remaining(elapsed, elapsed*2/3)
	}
	return o.elections.remaining(elapsed, elapsed/3)
}

// hopeless reports whether a call of the kind with this time left until its
// deadline should end now. waiting is whether it has been tried already.
//
// A call that waits is ended only by learnt lengths: once it has waited, the
// elapsed time alone tells too little about the short rest of its time. A call with
// less time left than the shortest Retry-After goes on, because its caller could
// not return before that deadline.
func (o *outage) hopeless(now time.Time, kind api.JobCallKind, left time.Duration, waiting bool) bool {
	if left < minRetryAfter || !o.withoutQuorum(now) && now.Sub(o.electing) < minElectionWait {
		return false
	}
	remaining, learnt := o.remaining(now, kind)
	return remaining > left && (learnt || !waiting)
}

// retryAfter returns the whole seconds after which a caller that is told so now
// should return: a random time of up to retrySpread after the leader is expected,
// and maxRetryAfter at most. Callers who are told later return later, within
// retrySpread and the rounding, unless the leader is expected earlier by then.
func (o *outage) retryAfter(now time.Time, kind api.JobCallKind) time.Duration {
	if !o.active() {
		return minRetryAfter
	}
	remaining, _ := o.remaining(now, kind)
	after := min(remaining, maxRetryAfter-retrySpread) + rand.N(retrySpread)
	return max((after + time.Second - 1).Truncate(time.Second), minRetryAfter)
}

// outageLengths holds the latest observed lengths of one phase of outages.
type outageLengths struct {
	samples     [7]time.Duration
	count, next int
}

func (l *outageLengths) add(sample time.Duration) {
	l.samples[l.next] = sample
	l.next = (l.next + 1) % len(l.samples)
	l.count = min(l.count+1, len(l.samples))
}

// remaining estimates how much longer a phase lasts that has lasted for elapsed:
// until the shortest longer length, if there is one (learnt), else for unlearnt.
// After a length has passed, the estimate grows from 0 by no more than the time
// since then: it never jumps to the next length.
func (l *outageLengths) remaining(elapsed, unlearnt time.Duration) (estimate time.Duration, learnt bool) {
	passed, next := time.Duration(0), time.Duration(0)
	for _, sample := range l.samples[:l.count] {
		if sample <= elapsed {
			passed = max(passed, sample)
		} else if next == 0 || sample < next {
			next = sample
		}
	}
	switch {
	case next == 0:
		return min(unlearnt, elapsed-passed), false
	case passed == 0:
		return next - elapsed, true
	}
	return min(next-elapsed, elapsed-passed), true
}
