package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"amaranthpaddle/burn"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// timeLayout is how tables show times.
const timeLayout = "2006-01-02 15:04 MST"

// table writes aligned rows.
type table struct {
	w *tabwriter.Writer
}

// row writes cells under the headings of the last heading row.
func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// heading starts a new table with the given headings.
func (t *table) heading(names ...any) {
	fmt.Fprintln(t.w)
	t.row(names...)
}

// line writes one line of text.
func (t *table) line(format string, args ...any) {
	fmt.Fprintf(t.w, format+"\n", args...)
}

// print writes value as JSON or, with --output table, by draw.
func (s *session) print(value any, draw func(*table)) error {
	if s.output == outputJSON {
		encoder := json.NewEncoder(s.stdout)
		encoder.SetIndent("", "  ")
		return fault.Wrap(fault.Internal, encoder.Encode(value), "output")
	}
	return drawTable(s.stdout, draw)
}

func drawTable(w io.Writer, draw func(*table)) error {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	draw(t)
	return fault.Wrap(fault.Internal, t.w.Flush(), "output")
}

func statusTable(t *table, status *operatorapi.Status) {
	t.line("revision %d, plan %d, leader %d in term %d", status.Revision, status.PlanNumber, status.Leader, status.Term)
	t.heading("ZONE", "REGION", "STATE", "VMS", "TASKS")
	for _, z := range status.Zones {
		state := "out"
		if z.InService {
			state = "in"
		}
		t.row(z.Name, z.Region, state, z.VMs, z.Tasks)
	}
	t.heading("VM", "ZONE", "RACK", "STATE", "CORES GRANTED", "GIB GRANTED", "CORES USED", "TASKS")
	for _, vm := range status.VMs {
		t.row(vm.ID, vm.Zone, vm.Rack, vm.State, ofTotal(vm.Granted.MilliCPU, vm.Capacity.MilliCPU, 1000),
			ofTotal(vm.Granted.MemoryMiB, vm.Capacity.MemoryMiB, 1024), fmt.Sprintf("%.1f", float64(vm.Used.MilliCPU)/1000), vm.Tasks)
	}
	t.heading("SERVICE", "INSTANCES", "RUNNING", "BACKEND SERVERS")
	for _, service := range status.Services {
		t.row(service.Name, service.Instances, service.Running, service.BackendServers)
	}
	t.heading("JOB", "TEAM", "STATE", "TASKS", "PENDING", "RUNNING", "FINISHED", "FAILED", "EVICTIONS", "DEADLINE", "REASON")
	for _, job := range status.Jobs {
		t.row(job.Name, job.Team, job.State, job.Tasks, job.Pending, job.Running, job.Finished, job.Failed,
			job.Evictions, formatTime(job.Deadline), job.Reason)
	}
}

func tasksTable(t *table, tasks *operatorapi.Tasks) {
	t.row("TASK", "OF", "STATE", "RUN", "VM", "ZONE", "CORES", "PROGRESS", "EVICTIONS", "REASON")
	for _, task := range tasks.Tasks {
		t.row(task.ID, task.Job+task.Service, task.State, task.Generation, task.VM, task.Zone,
			fmt.Sprintf("%.1f", float64(task.Grant.MilliCPU)/1000), fmt.Sprintf("%.0f%%", 100*task.Progress), task.Evictions, task.Reason)
	}
}

func membersTable(t *table, members *operatorapi.Members) {
	t.row("REPLICA", "ADDRESS", "OPERATORS", "ROLE", "LAST ENTRY", "ANSWERS")
	for _, m := range members.Members {
		role, answers := "learner", "yes"
		if m.Voter {
			role = "voter"
		}
		if m.ID == members.Leader {
			role = "leader"
		}
		if m.Silent {
			answers = "no"
		}
		t.row(m.ID, m.Address, m.OperatorAddress, role, m.Match, answers)
	}
}

func burnTable(t *table, r *burn.Report) {
	t.line("%s, plan %d", r.Time.Format(timeLayout), r.PlanNumber)
	t.heading("SERVICE", "WINDOW", "REQUESTS", "WITHIN", "NOT RUN", "UNKNOWN", "P50 MS", "P99 MS", "BURN RATE", "BUDGET LASTS")
	for _, service := range r.Services {
		for _, w := range service.Windows {
			t.row(service.Name, w.Name, w.Requests, percent(w.Within, w.Requests), w.NotRun, w.Unknown,
				fmt.Sprintf("%.1f", w.P50Millis), fmt.Sprintf("%.1f", w.P99Millis), fmt.Sprintf("%.2f", w.BurnRate), lasts(w.BudgetSeconds))
		}
	}
	t.heading("SERVICE", "OBJECTIVE", "BUDGET LEFT", "SLOWEST CAUSES OF THE LAST HOUR")
	for _, service := range r.Services {
		var causes []string
		for _, c := range service.Causes {
			causes = append(causes, fmt.Sprintf("%s %.2f ms (%.0f%%)", c.Name, c.MeanMillis, 100*c.Share))
		}
		t.row(service.Name, fmt.Sprintf("%g%% in %g ms", 100*service.ObjectiveFraction, service.ObjectiveMillis),
			fmt.Sprintf("%.1f%%", 100*service.BudgetLeft), strings.Join(causes, ", "))
	}
	t.heading("JOB", "STATE", "FINISHED", "RUNNING", "DEADLINE", "EXPECTED")
	for _, job := range r.Jobs {
		t.row(job.Name, job.State, fmt.Sprintf("%d/%d", job.Finished, job.Tasks), job.Running,
			formatTime(job.Deadline), formatTime(job.ExpectedFinish))
	}
}

func ofTotal(part, total, unit int64) string {
	return fmt.Sprintf("%.1f/%.1f", float64(part)/float64(unit), float64(total)/float64(unit))
}

func percent(part, total uint64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(total))
}

func lasts(seconds *float64) string {
	if seconds == nil {
		return "-"
	}
	return (time.Duration(*seconds) * time.Second).String()
}

func formatTime(t *time.Time) string {
	if t == nil || t.IsZero() {
		return "-"
	}
	return t.Format(timeLayout)
}
