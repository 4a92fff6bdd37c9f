package jobcontrol

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// Adviser says which workers may run a group of tasks, for queues whose policy
// only it knows.
type Adviser interface {
	// Advise returns a ticket for each of the workers (ids) that may run the group.
	Advise(ctx context.Context, group jobs.GroupID, workers []string) (map[string]string, error)
}

// Times and sizes of questions to the adviser.
const (
	mostAdvised   = 100 // workers in one question, which is what advisers take
	adviceTimeout = 5 * time.Second
	adviceRetry   = 300 * time.Millisecond
	adviceReserve = 0.25 // of a ticket's validity, for the way of the start
)

// advice is what is known of one group.
type advice struct {
	asked   time.Time
	asking  bool
	tickets map[string]string // by worker key
	until   time.Time
}

// ticketsFor returns the tickets of a group by worker key, and false while they
// are not known; then the adviser is asked. The lock is held.
func (l *leadership) ticketsFor(view jobs.View, queue *api.JobQueue, group jobs.GroupID) (map[string]string, bool) {
	now := l.server.now()
	known := l.advice[group]
	if known == nil {
		known = &advice{}
		l.advice[group] = known
	}
	if len(known.tickets) > 0 && now.Before(known.until) {
		return known.tickets, true
	}
	if !known.asking && now.Sub(known.asked) >= adviceRetry && l.server.config.Adviser != nil {
		known.asking, known.asked = true, now
		ids, keys := l.workersToAdvise(queue.Service)
		go l.ask(group, known, ids, keys, time.Duration(queue.Advice.GetValidityMs())*time.Millisecond)
	}
	return nil, false
}

// workersToAdvise returns the ids of a service's workers and their keys by id.
func (l *leadership) workersToAdvise(service string) (ids []string, keys map[string]string) {
	keys = map[string]string{}
	for id, view := range l.workers {
		if view.worker.Service == service && !view.worker.Draining && len(ids) < mostAdvised {
			ids = append(ids, id)
			keys[id] = view.key
		}
	}
	return ids, keys
}

// ask asks the adviser, one question at a time: it takes them in turn.
func (l *leadership) ask(group jobs.GroupID, known *advice, ids []string, keys map[string]string, validity time.Duration) {
	l.asking.Lock()
	defer l.asking.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout)
	defer cancel()
	sent := l.server.now()
	tickets, err := l.server.config.Adviser.Advise(ctx, group, ids)
	klog.InfoS("Adviser answered", "job", group.Job, "group", group.Group, "workers", len(ids), "allowed", len(tickets),
		"took_ms", l.server.now().Sub(sent).Milliseconds(), "error", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	known.asking = false
	if err != nil {
		return
	}
	known.tickets = map[string]string{}
	for id, ticket := range tickets {
		if key := keys[id]; key != "" {
			known.tickets[key] = ticket
		}
	}
	known.until = sent.Add(time.Duration((1 - adviceReserve) * float64(validity)))
	l.signal()
}

// forgetAdvice drops what is known of groups whose jobs have ended. The lock is held.
func (l *leadership) forgetAdvice(view jobs.View) {
	for group, known := range l.advice {
		if job := view.Job(group.Job); !known.asking && (job == nil || job.Phase.Ended()) {
			delete(l.advice, group)
		}
	}
}

// ticketOf returns the ticket of a start, empty for a queue without an adviser.
func (l *leadership) ticketOf(start dispatch.Start) string {
	if known := l.advice[start.Run.Task.GroupID()]; known != nil {
		return known.tickets[start.Worker]
	}
	return ""
}
