package jobcontrol

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// Adviser decides which workers may run a group of tasks, for queues with an
// external placement policy.
type Adviser interface {
	// Advise returns a ticket for each worker that may run the group, by worker id.
	Advise(ctx context.Context, group jobs.GroupID, workers []string) (map[string]string, error)
}

// Limits and intervals of requests to the adviser.
const (
	maxAdvisedWorkers   = 100 // workers in one request, the most that advisers accept
	adviceTimeout       = 5 * time.Second
	adviceRetryInterval = 300 * time.Millisecond
	adviceReserveRatio  = 0.25 // of a ticket's validity, reserved for delivering the start
)

// advice is the adviser's latest answer for one group.
type advice struct {
	askedAt    time.Time
	asking     bool
	tickets    map[string]string // by worker key
	validUntil time.Time
}

// ticketsFor returns the valid tickets of a group by worker key, false without any. If
// none of them is for an open worker, it asks the adviser unless a request is pending or
// the last one is too recent; what is known stands until the answer. The lock is held.
func (l *leadership) ticketsFor(queue *api.JobQueue, group jobs.GroupID, open map[string]bool) (map[string]string, bool) {
	now := l.server.now()
	cached := l.advice[group]
	if cached == nil {
		cached = &advice{}
		l.advice[group] = cached
	}
	valid, usable := len(cached.tickets) > 0 && now.Before(cached.validUntil), false
	if valid {
		for key := range cached.tickets {
			if usable = open[key]; usable {
				break
			}
		}
	}
	if !usable && !cached.asking && now.Sub(cached.askedAt) >= adviceRetryInterval && l.server.config.Adviser != nil {
		cached.asking, cached.askedAt = true, now
		ids, keys := l.adviserCandidates(queue.Service)
		go l.askAdviser(group, cached, ids, keys, time.Duration(queue.Advice.GetValidityMs())*time.Millisecond)
	}
	if !valid {
		return nil, false
	}
	return cached.tickets, true
}

// adviserCandidates returns the ids of a service's workers that are not draining,
// at most maxAdvisedWorkers, and their keys by id. The lock is held.
func (l *leadership) adviserCandidates(service string) (ids []string, keys map[string]string) {
	keys = map[string]string{}
	for id, view := range l.workers {
		if view.worker.Service == service && !view.worker.Draining && len(ids) < maxAdvisedWorkers {
			ids = append(ids, id)
			keys[id] = view.key
		}
	}
	return ids, keys
}

// askAdviser asks for the tickets of a group and stores them in answer. Requests
// are sent one at a time, as the adviser handles them in turn.
func (l *leadership) askAdviser(group jobs.GroupID, answer *advice, ids []string, keys map[string]string, validity time.Duration) {
	l.adviserMu.Lock()
	defer l.adviserMu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout)
	defer cancel()
	sent := l.server.now()
	tickets, err := l.server.config.Adviser.Advise(ctx, group, ids)
	klog.InfoS("Adviser answered", "job", group.Job, "group", group.Group, "workers", len(ids), "allowed", len(tickets),
		"took_ms", l.server.now().Sub(sent).Milliseconds(), "error", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	answer.asking = false
	if err != nil {
		return
	}
	answer.tickets = map[string]string{}
	for id, ticket := range tickets {
		if key := keys[id]; key != "" {
			answer.tickets[key] = ticket
		}
	}
	answer.validUntil = sent.Add(time.Duration((1 - adviceReserveRatio) * float64(validity)))
	l.signal()
}

// forgetAdvice drops the advice for groups whose jobs have ended. The lock is held.
func (l *leadership) forgetAdvice(view jobs.View) {
	for group, cached := range l.advice {
		if job := view.Job(group.Job); !cached.asking && (job == nil || job.Phase.Ended()) {
			delete(l.advice, group)
		}
	}
}

// ticketOf returns the ticket of a start, empty for a queue without an adviser.
// The lock is held.
func (l *leadership) ticketOf(start dispatch.Start) string {
	if cached := l.advice[start.Run.Task.GroupID()]; cached != nil {
		return cached.tickets[start.Worker]
	}
	return ""
}
