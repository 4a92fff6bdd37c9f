// Package standin holds small stand-ins for the systems around amaranthpaddle:
// workers, the backend servers that they run, and callers. They serve
// development runs and tests; they are no part of a production process.
package standin

import (
	"fmt"
	"sync"
	"time"
)

// Run is one run of a task at a worker, as the worker itself saw it.
type Run struct {
	Task       string
	Generation uint64
	VM         string
	Zone       string
	Service    bool
	Start      time.Time
	End        time.Time // zero while the run goes on
	From       float64   // progress at the start, 0 to 1
	To         float64   // progress at the end
	Finished   bool
}

// Ledger records what really ran, independent of what the system believes, so
// that lost and doubled work can be found afterwards. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string][]*Run // by task, in order of start
	requests map[string]int    // runs of a request, by the caller's token
	faults   []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string][]*Run{}, requests: map[string]int{}}
}

// Begin records the start of a run. A batch task that already runs elsewhere is a fault.
func (l *Ledger) Begin(run Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	recorded := run
	for _, earlier := range l.runs[run.Task] {
		l.checkAgainst(earlier, &recorded)
	}
	l.runs[run.Task] = append(l.runs[run.Task], &recorded)
	return &recorded
}

func (l *Ledger) checkAgainst(earlier, run *Run) {
	if run.Service {
		return
	}
	if earlier.End.IsZero() {
		l.faults = append(l.faults, fmt.Sprintf("task %s runs on %s (generation %d) and on %s (generation %d)",
			run.Task, earlier.VM, earlier.Generation, run.VM, run.Generation))
	}
	if earlier.Finished {
		l.faults = append(l.faults, fmt.Sprintf("task %s started again on %s after it had finished", run.Task, run.VM))
	}
}

// End records the end of a run.
func (l *Ledger) End(run *Run, at time.Time, progress float64, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.End = at
	run.To = progress
	run.Finished = finished
}

// Request records that a backend server runs the request with the caller's token.
func (l *Ledger) Request(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[token]++
}

// RequestRuns returns how many times the request with the token ran.
func (l *Ledger) RequestRuns(token string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[token]
}

// Faults returns what went against the promises so far.
func (l *Ledger) Faults() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.faults...)
}

// Runs returns copies of all runs.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []Run
	for _, list := range l.runs {
		for _, run := range list {
			runs = append(runs, *run)
		}
	}
	return runs
}

// StartsInZone returns how many runs started in the zone between from and to.
func (l *Ledger) StartsInZone(zone string, from, to time.Time) int {
	count := 0
	for _, run := range l.Runs() {
		if run.Zone == zone && run.Start.After(from) && run.Start.Before(to) {
			count++
		}
	}
	return count
}
