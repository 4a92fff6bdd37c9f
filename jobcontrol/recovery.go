package jobcontrol

import (
	"context"
	"time"

	"google.golang.org/grpc/metadata"
	"k8s.io/klog/v2"

	"amaranthpaddle/controlclient"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// Waits of a recovery, as values of the label of telemetry.JobRecovery. Each counts
// from the end of the one before it. The first six lead to the first start; the first
// four and the last two lead to the time when all workers with runs are settled.
const (
	waitElection     = "election"     // from the loss of the last leader to the leadership
	waitConfirmation = "confirmation" // to the first quorum confirmation
	waitSession      = "session"      // to the first session of an agent
	waitList         = "list"         // to the first worker's list of runs
	waitPlan         = "plan"         // to the first plan with a start
	waitCommit       = "commit"       // to the commit of that start
	waitMostLists    = "most_lists"   // from the first list to those of nine of ten workers
	waitLeases       = "leases"       // to the loss of the last worker that does not come back
)

// Results of a recovery in the log.
const (
	recoveryDone        = "done"
	recoveryInterrupted = "interrupted" // by the end of the leadership
	recoveryTimedOut    = "timed out"   // after maxRecovery
)

// maxRecovery ends the record of a recovery in which a worker has neither listed its
// runs nor been lost: its agent renews the lease while the worker is silent.
const maxRecovery = 15 * time.Second

// recovery records how long a new leadership takes until a run starts and until the
// workers with runs in the log are settled, which means that they have listed their
// runs or are lost. It is given the times. It is not safe for concurrent use.
type recovery struct {
	leaderless time.Time // when the replica lost the last leader; zero if that is not known
	began      time.Time // start of the leadership
	confirmed  time.Time
	session    time.Time // when the first session of an agent was opened
	list       time.Time // when the first worker listed its runs
	plan       time.Time // when a plan first had a start
	start      time.Time // when a start was first committed
	mostLists  time.Time // when nine of ten of the workers had listed their runs
	settled    time.Time // when the last worker had listed its runs or was lost

	unsettled      map[string]bool // keys of workers with runs
	workers        int             // number of workers with runs when the leadership started
	reported, lost int             // of these, those that have listed their runs, under this key or a later one, or are lost
	plannedNothing bool            // a plan for settled workers had nothing to start
	result         string          // empty while the recovery lasts
	finishedAt     time.Time
}

func newRecovery(leaderless, began time.Time, workers []string) recovery {
	r := recovery{leaderless: leaderless, began: began, workers: len(workers), unsettled: make(map[string]bool, len(workers))}
	for _, key := range workers {
		r.unsettled[key] = true
	}
	r.update(began)
	return r
}

// setFirst sets a time that has not been set.
func setFirst(t *time.Time, now time.Time) {
	if t.IsZero() {
		*t = now
	}
}

// listed records that a worker has listed its runs, or that a later incarnation of it
// or another worker of its VM has.
func (r *recovery) listed(key string, now time.Time) {
	setFirst(&r.list, now)
	if r.unsettled[key] {
		delete(r.unsettled, key)
		r.reported++
		r.update(now)
	}
}

// lose records that a worker's lease is over.
func (r *recovery) lose(key string, now time.Time) {
	if r.unsettled[key] {
		delete(r.unsettled, key)
		r.lost++
		r.update(now)
	}
}

func (r *recovery) update(now time.Time) {
	if 10*r.reported >= 9*r.workers {
		setFirst(&r.mostLists, now)
	}
	if len(r.unsettled) == 0 {
		setFirst(&r.settled, now)
	}
}

// planned records a plan with a number of starts. open reports whether any worker was
// open to new runs.
func (r *recovery) planned(starts int, open bool, now time.Time) {
	switch {
	case starts > 0:
		setFirst(&r.plan, now)
	case open && !r.settled.IsZero() && r.plan.IsZero():
		r.plannedNothing = true
	}
}

// finish ends the recovery if it is over at the given time, and reports whether it
// ended just now.
func (r *recovery) finish(now time.Time) bool {
	switch {
	case r.result != "":
		return false
	case !r.settled.IsZero() && (!r.start.IsZero() || r.plannedNothing):
		r.result = recoveryDone
	case now.Sub(r.began) >= maxRecovery:
		r.result = recoveryTimedOut
	default:
		return false
	}
	r.finishedAt = now
	return true
}

// interrupt ends a recovery that still lasts, and reports whether it did.
func (r *recovery) interrupt(now time.Time) bool {
	if r.result != "" {
		return false
	}
	r.result, r.finishedAt = recoveryInterrupted, now
	return true
}

// waits returns the length of each wait that has ended.
func (r *recovery) waits() map[string]time.Duration {
	waits := map[string]time.Duration{}
	if !r.leaderless.IsZero() {
		waits[waitElection] = r.began.Sub(r.leaderless)
	}
	addWaits(waits, r.began, []wait{
		{waitConfirmation, r.confirmed}, {waitSession, r.session}, {waitList, r.list}, {waitPlan, r.plan}, {waitCommit, r.start},
	})
	if !r.list.IsZero() {
		addWaits(waits, laterOf(r.confirmed, r.list), []wait{{waitMostLists, r.mostLists}, {waitLeases, r.settled}})
	}
	return waits
}

type wait struct {
	name string
	end  time.Time // zero if it has not ended
}

// addWaits adds waits that follow each other. One that ended before the wait before it
// has length 0.
func addWaits(waits map[string]time.Duration, from time.Time, sequence []wait) {
	for _, w := range sequence {
		if w.end.IsZero() {
			continue
		}
		end := laterOf(from, w.end)
		waits[w.name] = end.Sub(from)
		from = end
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// workersWithRuns returns the keys of the workers with runs in the log.
func (l *leadership) workersWithRuns() (keys []string) {
	l.assumed.Read(func(view jobs.View) {
		view.Workers(func(key string, _ int) { keys = append(keys, key) })
	})
	return keys
}

// checkRecovery logs the recovery once it is over. The lock is held.
func (l *leadership) checkRecovery() {
	if l.recovery.finish(l.server.now()) {
		l.recovery.publish(l.term)
	}
}

// interruptRecovery logs a recovery that the end of the leadership interrupts.
func (l *leadership) interruptRecovery() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recovery.interrupt(l.server.now()) {
		l.recovery.publish(l.term)
	}
}

// publish logs the recovery and adds its waits to the metric.
func (r *recovery) publish(term uint64) {
	milliseconds := map[string]int64{}
	for name, length := range r.waits() {
		milliseconds[name] = length.Milliseconds()
		telemetry.JobRecovery.Observe(length, name)
	}
	klog.InfoS("Recovery finished", "term", term, "result", r.result, "took_ms", r.finishedAt.Sub(r.began).Milliseconds(),
		"first_start_ms", r.since(r.start), "most_workers_ms", r.since(r.mostLists),
		"workers", r.workers, "reported", r.reported, "lost", r.lost, "waits_ms", milliseconds)
}

// since returns the milliseconds from the start of the leadership to a time, -1 if it
// has not come.
func (r *recovery) since(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(r.began).Milliseconds()
}

// awaitConfirmation waits for the first quorum confirmation of the leadership, and has
// the reports answered that arrived before it.
func (l *leadership) awaitConfirmation() {
	for l.ctx.Err() == nil {
		if _, err := l.server.confirmer.Wait(l.ctx, time.Time{}); err == nil {
			l.mu.Lock()
			l.recovery.confirmed = l.server.now()
			for _, session := range l.sessions {
				session.signal()
			}
			l.mu.Unlock()
			return
		}
	}
}

// leaderWatch knows since when a replica has known no leader.
type leaderWatch struct{ since time.Time } // zero while it knows one

// observe records the leader that the replica knows, 0 for none. The time of the
// outage is kept when the replica itself is elected.
func (w *leaderWatch) observe(self, leader uint64, now time.Time) {
	switch leader {
	case self:
	case 0:
		setFirst(&w.since, now)
	default:
		w.since = time.Time{}
	}
}

// watchLeader follows which leader the replica knows, until ctx ends.
func (s *Server) watchLeader(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.config.Replica.StatusChanged()
		status := s.config.Replica.Status()
		s.mu.Lock()
		s.leaders.observe(status.ID, status.Leader, s.now())
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// endLeaderless returns since when the replica had known no leader, the zero time if
// that is not known, and forgets it.
func (s *Server) endLeaderless() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.leaders.since
	s.leaders.since = time.Time{}
	return since
}

// maxLeaderWait is how long an agent's session waits for an election. It stays below the
// time after which the agent gives the replica up (900 ms), less a confirmation.
const maxLeaderWait = 700 * time.Millisecond

// lostLeader returns the address of the leader whose session an agent has lost, empty
// if it names none.
func lostLeader(ctx context.Context) string {
	header, _ := metadata.FromIncomingContext(ctx)
	if lost := header.Get(controlclient.LostLeaderHeader); len(lost) > 0 {
		return lost[0]
	}
	return ""
}

// awaitLeadership returns the leadership in progress. While this replica knows no leader
// except the one that the agent has lost, it waits up to maxLeaderWait for an election,
// so that the agents need not ask again. Errors: fault.NotLeader.
func (s *Server) awaitLeadership(ctx context.Context, lost string) (*leadership, error) {
	timeout := time.NewTimer(maxLeaderWait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		leadChanged := s.leadChanged
		s.mu.Unlock()
		statusChanged := s.config.Replica.StatusChanged()
		lead, err := s.currentLeadership()
		if err == nil || s.knowsOtherLeader(lost) {
			return lead, err
		}
		select {
		case <-leadChanged:
		case <-statusChanged:
		case <-timeout.C:
			return nil, err
		case <-ctx.Done():
			return nil, err
		case <-s.stopped:
			return nil, err
		}
	}
}

// knowsOtherLeader reports whether the replica knows a leader other than itself and the
// one at an address.
func (s *Server) knowsOtherLeader(address string) bool {
	status := s.config.Replica.Status()
	if status.Leader == 0 || status.Leader == status.ID {
		return false
	}
	for _, member := range s.members() {
		if member.ID == status.Leader {
			return member.Address != address
		}
	}
	return true
}
