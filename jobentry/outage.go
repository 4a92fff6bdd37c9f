package jobentry

import (
	"math/rand/v2"
	"slices"
	"time"

	"amaranthpaddle/api"
)

// Estimates before anything has been observed, and limits of the decision.
const (
	defaultElection = 1 * time.Second
	defaultRecovery = 8 * time.Second // restart of the control VMs and their processes; above any caller's deadline

	// quorumLossDelay is how long surveys must miss a quorum. A single one also
	// misses it when the entry itself was short of processor time.
	quorumLossDelay = 500 * time.Millisecond
	minOutage       = 100 * time.Millisecond // shorter ones are redirections to a new leader and are not learnt
	minRetryAfter   = 1 * time.Second        // Retry-After counts whole seconds
	maxRetryAfter   = 5 * time.Second
	retrySpread     = 1 * time.Second // random addition to the time after which callers return
)

// outage estimates when a leader will answer again, and decides which calls need
// not wait for it. It has two phases: while no quorum of replicas can be reached,
// the recovery is waited for, and after that an election. Its size is constant. It
// is not safe for concurrent use.
type outage struct {
	began      time.Time // first failure since the leader last answered; zero while it answers
	quorumLost time.Time // first of the surveys in a row without a quorum; zero while there is one
	electing   time.Time // since when an election may be in progress
	lastReturn time.Time // latest time at which a caller was told to return

	elections, recoveries durations // of earlier outages
}

func newOutage() outage {
	return outage{elections: newDurations(defaultElection), recoveries: newDurations(defaultRecovery)}
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
			o.recoveries.add(now.Sub(o.quorumLost))
			o.electing = now
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
		o.recoveries.add(now.Sub(o.quorumLost))
	} else if election := now.Sub(o.electing); election >= minOutage {
		o.elections.add(election)
	}
	o.began, o.quorumLost, o.electing, o.lastReturn = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	return lasted
}

// active reports whether the leader is not known to answer.
func (o *outage) active() bool { return !o.began.IsZero() }

func (o *outage) withoutQuorum(now time.Time) bool {
	return !o.quorumLost.IsZero() && now.Sub(o.quorumLost) >= quorumLossDelay
}

// remaining estimates the time until a leader answers.
func (o *outage) remaining(now time.Time) time.Duration {
	switch {
	case !o.active():
		return 0
	case o.withoutQuorum(now):
		return o.recoveries.remaining(now.Sub(o.quorumLost)) + o.elections.remaining(0)
	}
	return o.elections.remaining(now.Sub(o.electing))
}

// hopeless reports whether a call of the kind with this time left until its
// deadline should end now. waiting is whether it has been tried already.
//
// A submission that waited for over two thirds of its time starts a job that has
// lost most of its value. A query or a cancellation is as useful at its deadline,
// so one that waits goes on while a quorum can be reached and may elect a leader
// at any time. A call with less time left than the shortest Retry-After goes on:
// its caller could not return before that deadline.
func (o *outage) hopeless(now time.Time, kind api.JobCallKind, left time.Duration, waiting bool) bool {
	if left < minRetryAfter {
		return false
	}
	if kind == api.JobCallKind_JOB_CALL_KIND_SUBMIT {
		return o.remaining(now) > left*2/3
	}
	return o.remaining(now) > left && (!waiting || o.withoutQuorum(now))
}

// retryAfter returns the whole seconds after which a caller that is told so now
// should return: a random time of up to retrySpread after the leader is expected,
// but not before those who were told earlier, and maxRetryAfter at most.
func (o *outage) retryAfter(now time.Time) time.Duration {
	if !o.active() {
		return minRetryAfter
	}
	after := max(o.remaining(now)+rand.N(retrySpread), o.lastReturn.Sub(now))
	after = (after + time.Second - 1).Truncate(time.Second)
	after = min(max(after, minRetryAfter), maxRetryAfter)
	o.lastReturn = now.Add(after)
	return after
}

// durations holds the latest observed durations of one kind.
type durations struct {
	samples     [7]time.Duration
	count, next int
}

func newDurations(first time.Duration) (d durations) {
	d.add(first)
	return d
}

func (d *durations) add(sample time.Duration) {
	d.samples[d.next] = sample
	d.next = (d.next + 1) % len(d.samples)
	d.count = min(d.count+1, len(d.samples))
}

// remaining estimates how much longer something lasts that has lasted for elapsed:
// the median of the observed durations that were longer. A third of elapsed is the
// least, so that the estimate grows once all observed durations are exceeded.
func (d *durations) remaining(elapsed time.Duration) time.Duration {
	var longer [len(d.samples)]time.Duration
	n := 0
	for _, sample := range d.samples[:d.count] {
		if sample > elapsed {
			longer[n] = sample
			n++
		}
	}
	if n == 0 {
		return elapsed / 3
	}
	slices.Sort(longer[:n])
	return max(longer[n/2]-elapsed, elapsed/3)
}
