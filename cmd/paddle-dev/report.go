package main

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/standin"
	"amaranthpaddle/task"
)

// outage is the time that an availability zone was out of service.
type outage struct {
	zone string
	out  time.Time // when the change was acknowledged
	in   time.Time // when the zone's return was asked for, zero if it never was
}

// result is everything the run observed.
type result struct {
	plan    *plan.DayPlan
	ledger  *standin.Ledger
	callers map[string]*callerStats
	outages []outage
	elapsed time.Duration
	late    []string // batch work that was not done when the run ended
}

// jobSummary is what really ran of one batch job.
type jobSummary struct {
	finished, runs, evictions int
}

func (r *result) summaries() map[string]*jobSummary {
	summaries := map[string]*jobSummary{}
	for _, job := range r.plan.Jobs {
		summaries[job.Name] = &jobSummary{}
		for index := range job.Tasks {
			r.addTask(summaries[job.Name], task.TaskID(task.JobID(job.Name), index))
		}
	}
	return summaries
}

func (r *result) addTask(summary *jobSummary, id string) {
	runs := 0
	for _, run := range r.ledger.Runs() {
		if run.Task != id {
			continue
		}
		runs++
		if run.Finished {
			summary.finished++
		}
	}
	summary.runs += runs
	summary.evictions += max(0, runs-1)
}

// problems returns everything that was lost, doubled or forbidden.
func (r *result) problems() []string {
	found := append([]string(nil), r.late...)
	found = append(found, r.ledger.Faults()...)
	for _, stats := range r.callers {
		found = append(found, stats.problems(r.ledger)...)
	}
	summaries := r.summaries()
	for _, job := range r.plan.Jobs {
		if finished := summaries[job.Name].finished; finished != job.Tasks {
			found = append(found, fmt.Sprintf("job %s: %d of %d tasks finished", job.Name, finished, job.Tasks))
		}
	}
	for _, o := range r.outages {
		if starts := r.startsAfter(o); starts > 0 {
			found = append(found, fmt.Sprintf("zone %s: %d tasks started after it went out", o.zone, starts))
		}
	}
	sort.Strings(found)
	return found
}

func (r *result) startsAfter(o outage) int {
	until := o.in
	if until.IsZero() {
		until = time.Now()
	}
	return r.ledger.StartsInZone(o.zone, o.out.Add(zoneOutBound), until)
}

func (r *result) print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tREQUESTS\tP50\tP99\tNOT RUN\tUNKNOWN")
	for _, service := range r.plan.Services {
		stats := r.callers[service.Name]
		fmt.Fprintf(table, "%s\t%d\t%v\t%v\t%d\t%d\n", service.Name, len(stats.requests),
			stats.quantile(50).Round(100*time.Microsecond), stats.quantile(99).Round(100*time.Microsecond),
			stats.notRun, stats.unknown)
	}
	fmt.Fprintln(table, "\nJOB\tTASKS\tFINISHED\tRUNS\tEVICTIONS")
	summaries := r.summaries()
	for _, job := range r.plan.Jobs {
		s := summaries[job.Name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n", job.Name, job.Tasks, s.finished, s.runs, s.evictions)
	}
	fmt.Fprintln(table, "\nZONE\tOUT FOR\tSTARTS AFTER IT WENT OUT")
	for _, o := range r.outages {
		fmt.Fprintf(table, "%s\t%v\t%d\n", o.zone, o.in.Sub(o.out).Round(10*time.Millisecond), r.startsAfter(o))
	}
	table.Flush()
	fmt.Fprintf(w, "\nelapsed %v\n", r.elapsed.Round(10*time.Millisecond))
}
