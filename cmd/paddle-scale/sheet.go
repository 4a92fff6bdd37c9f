package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"amaranthpaddle/plan"
)

// The size that the generated plan asks for, at a scale of 1.
const (
	teamCount        = 70
	serviceCount     = 60
	instancesPerName = 55 // of one service
	jobCount         = 132
	tasksPerJob      = 100
	batchCores       = "1.6"
	minRunSeconds    = 60
	runSecondsSpread = 340
)

// zoneName names an availability zone and its region.
type zoneName struct{ name, region string }

// zones are the two regions and five availability zones of the generated plan.
var zones = []zoneName{
	{"east-1", "east"}, {"east-2", "east"}, {"east-3", "east"},
	{"west-1", "west"}, {"west-2", "west"},
}

var sheetColumns = []string{
	"record", "name", "number", "day", "time_zone", "latency_weight", "region", "state", "team",
	"instances", "tasks", "cores", "memory_gib", "accelerators", "objective_ms", "objective_percent",
	"slots", "connections", "run_time_s", "deadline", "priority",
}

// sheetRow is one row by column name; columns that it does not name are blank.
type sheetRow map[string]string

// sheetOptions says which plan writeSheet writes.
type sheetOptions struct {
	number uint64
	scale  float64 // size of the fleet relative to 550 VMs
	urgent int     // tasks of an urgent job, 0 for none
	day    time.Time
}

// writeSheet writes a day plan.
func writeSheet(w io.Writer, options sheetOptions) error {
	out := csv.NewWriter(w)
	rows := append(planRows(options.number, options.day), workRows(options.scale, options.day)...)
	if options.urgent > 0 {
		rows = append(rows, urgentRow(options.urgent))
	}
	if err := out.Write(sheetColumns); err != nil {
		return err
	}
	for _, row := range rows {
		cells := make([]string, len(sheetColumns))
		for i, column := range sheetColumns {
			cells[i] = row[column]
		}
		if err := out.Write(cells); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func planRows(number uint64, day time.Time) []sheetRow {
	rows := []sheetRow{{
		"record": "plan", "number": strconv.FormatUint(number, 10),
		"day": day.Format(time.DateOnly), "time_zone": "UTC", "latency_weight": "0.5",
	}}
	for _, zone := range zones {
		rows = append(rows, sheetRow{"record": "zone", "name": zone.name, "region": zone.region, "state": "in"})
	}
	for i := range teamCount {
		rows = append(rows, sheetRow{"record": "team", "name": teamName(i), "cores": "250", "memory_gib": "900", "accelerators": "9"})
	}
	return rows
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i%teamCount) }

func workRows(scale float64, day time.Time) []sheetRow {
	var rows []sheetRow
	for i := range serviceCount {
		rows = append(rows, sheetRow{
			"record": "service", "name": fmt.Sprintf("service-%02d", i), "team": teamName(i),
			"instances": scaled(instancesPerName, scale), "cores": "2", "memory_gib": "4",
			"objective_ms": "100", "objective_percent": "99", "slots": "8", "connections": "64",
		})
	}
	for i := range jobCount {
		rows = append(rows, sheetRow{
			"record": "job", "name": fmt.Sprintf("job-%03d", i), "team": teamName(i),
			"tasks": scaled(tasksPerJob, scale), "cores": batchCores, "memory_gib": "2",
			"run_time_s": strconv.Itoa(minRunSeconds + i*7%runSecondsSpread),
			"deadline":   day.Add(24 * time.Hour).Format(time.DateOnly + " 15:04"), "priority": strconv.Itoa(i % 50),
		})
	}
	return rows
}

func urgentRow(tasks int) sheetRow {
	return sheetRow{
		"record": "job", "name": "urgent", "team": teamName(0), "tasks": strconv.Itoa(tasks),
		"cores": batchCores, "memory_gib": "2", "run_time_s": strconv.Itoa(minRunSeconds),
		"priority": strconv.Itoa(plan.UrgentPriority),
	}
}

func scaled(count int, scale float64) string {
	return strconv.Itoa(max(1, int(float64(count)*scale+0.5)))
}
