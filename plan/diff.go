package plan

import (
	"fmt"
	"strconv"
	"time"

	"amaranthpaddle/resource"
)

// Change is one difference between two plans.
type Change struct {
	Record string `json:"record"` // "plan", "zone", "team", "service" or "job"
	Name   string `json:"name"`   // of the record, empty for the plan itself
	Field  string `json:"field"`  // column of the sheet, empty when a whole record came or went
	Old    string `json:"old"`    // empty for an added record
	New    string `json:"new"`    // empty for a removed record
}

// String returns the change as one line.
func (c Change) String() string {
	subject := c.Record
	if c.Name != "" {
		subject += " " + c.Name
	}
	switch {
	case c.Field != "":
		return fmt.Sprintf("~ %s, %s: %s -> %s", subject, c.Field, c.Old, c.New)
	case c.Old == "":
		return "+ " + subject + ": " + c.New
	default:
		return "- " + subject + ": " + c.Old
	}
}

// cellValue is one column of a record as text.
type cellValue struct {
	column column
	text   string
}

// namedRecord is a record in a form that can be compared column by column.
type namedRecord struct {
	name   string
	values []cellValue
}

// Diff returns what changes from old to new: the plan's own columns, then the
// records of each kind in the canonical order. A nil old plan is an empty one.
func Diff(old, new *DayPlan) []Change {
	if old == nil {
		old = &DayPlan{}
	}
	var changes []Change
	before, after := old.records(), new.records()
	for _, kind := range []record{recordPlan, recordZone, recordTeam, recordService, recordJob} {
		changes = append(changes, diffRecords(kind, before[kind], after[kind])...)
	}
	return changes
}

func diffRecords(kind record, before, after []namedRecord) []Change {
	var changes []Change
	earlier := make(map[string]namedRecord, len(before))
	for _, r := range before {
		earlier[r.name] = r
	}
	kept := make(map[string]bool, len(after))
	for _, r := range after {
		kept[r.name] = true
		previous, existed := earlier[r.name]
		if !existed {
			changes = append(changes, Change{Record: string(kind), Name: r.name, New: r.summary()})
			continue
		}
		changes = append(changes, diffValues(kind, previous, r)...)
	}
	for _, r := range before {
		if !kept[r.name] {
			changes = append(changes, Change{Record: string(kind), Name: r.name, Old: r.summary()})
		}
	}
	return changes
}

func diffValues(kind record, before, after namedRecord) []Change {
	var changes []Change
	for i, value := range after.values {
		if before.values[i].text == value.text {
			continue
		}
		changes = append(changes, Change{
			Record: string(kind),
			Name:   after.name,
			Field:  string(value.column),
			Old:    before.values[i].text,
			New:    value.text,
		})
	}
	return changes
}

func (r namedRecord) summary() string {
	text := ""
	for _, value := range r.values {
		if value.text == "" {
			continue
		}
		if text != "" {
			text += " "
		}
		text += string(value.column) + "=" + value.text
	}
	return text
}

// records returns the plan in the form of its sheet, as column values by kind of record.
func (p *DayPlan) records() map[record][]namedRecord {
	w := p.wire()
	all := map[record][]namedRecord{recordPlan: {{values: []cellValue{
		{colNumber, strconv.FormatUint(w.Number, 10)},
		{colDay, w.Day},
		{colTimeZone, w.TimeZone},
		{colLatencyWeight, formatFloat(w.LatencyWeight)},
	}}}}
	for _, z := range w.Zones {
		all[recordZone] = append(all[recordZone], zoneRecord(z))
	}
	for _, t := range w.Teams {
		all[recordTeam] = append(all[recordTeam], namedRecord{t.Name, sizeValues(t.Quota)})
	}
	for _, s := range w.Services {
		all[recordService] = append(all[recordService], serviceRecord(s))
	}
	for _, j := range w.Jobs {
		all[recordJob] = append(all[recordJob], jobRecord(j))
	}
	return all
}

func zoneRecord(z wireZone) namedRecord {
	state := "out"
	if z.InService {
		state = "in"
	}
	return namedRecord{z.Name, []cellValue{{colRegion, z.Region}, {colState, state}}}
}

func serviceRecord(s wireService) namedRecord {
	return namedRecord{s.Name, append([]cellValue{
		{colTeam, s.Team},
		{colInstances, strconv.Itoa(s.Instances)},
		{colObjective, formatFloat(float64(s.ObjectiveNanos) / float64(time.Millisecond))},
		{colObjectivePercent, formatFloat(s.ObjectiveFraction * percent)},
		{colSlots, strconv.Itoa(s.Slots)},
		{colConnections, strconv.Itoa(s.Connections)},
	}, sizeValues(s.Size)...)}
}

func jobRecord(j wireJob) namedRecord {
	return namedRecord{j.Name, append([]cellValue{
		{colTeam, j.Team},
		{colTasks, strconv.Itoa(j.Tasks)},
		{colRunTime, formatFloat(time.Duration(j.RunTimeNanos).Seconds())},
		{colDeadline, j.Deadline},
		{colPriority, strconv.Itoa(j.Priority)},
	}, sizeValues(j.Size)...)}
}

func sizeValues(size wireVector) []cellValue {
	v := resource.Vector(size)
	const mibPerGiB = 1024
	return []cellValue{
		{colCores, formatFloat(float64(v.MilliCPU) / milli)},
		{colMemory, formatFloat(float64(v.MemoryMiB) / mibPerGiB)},
		{colAccelerators, strconv.FormatInt(v.Accelerators, 10)},
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', 8, 64) }
