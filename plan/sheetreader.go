package plan

import (
	"fmt"
	"strings"
	"time"

	"amaranthpaddle/resource"
)

// sheetReader builds a plan from the rows of a sheet.
type sheetReader struct {
	sheet   *sheet
	plan    *DayPlan
	index   map[column]int  // column to its index in a row, from 0
	missing map[column]bool // columns reported as missing
	rows    map[place]int   // record, with an empty column, to its row
	refused map[place]bool  // cells that have a fault already
	current *sheetRow       // the row being read
	at      place           // the record being read
}

func newSheetReader(s *sheet) *sheetReader {
	return &sheetReader{
		sheet:   s,
		plan:    &DayPlan{},
		index:   map[column]int{},
		missing: map[column]bool{},
		rows:    map[place]int{},
		refused: map[place]bool{},
	}
}

// read returns the plan; it is valid only when the sheet has no faults afterwards.
func (r *sheetReader) read() *DayPlan {
	header := &r.sheet.rows[0]
	body := r.sheet.rows[1:]
	if !r.readHeader(header) {
		return nil
	}
	// Deadlines depend on the day of the plan row, which may stand anywhere.
	for i := range body {
		r.readRow(&body[i], true)
	}
	for i := range body {
		r.readRow(&body[i], false)
	}
	if r.sheet.damaged {
		return nil
	}
	if _, found := r.rows[place{record: recordPlan}]; !found {
		r.sheet.addFault(header.number, 0, "", "the sheet has no plan row")
		return nil
	}
	r.addCheckFaults(header.number)
	return r.plan
}

func (r *sheetReader) readHeader(header *sheetRow) bool {
	known := map[column]bool{}
	for _, col := range columns {
		known[col] = true
	}
	for i, text := range header.cells {
		col := column(strings.ToLower(text))
		if text == "" {
			continue
		}
		if !known[col] {
			r.sheet.addFault(header.number, i+1, "", fmt.Sprintf("unknown column %q", text))
			continue
		}
		if _, repeated := r.index[col]; repeated {
			r.sheet.addFault(header.number, i+1, "", fmt.Sprintf("column %q stands twice", text))
			continue
		}
		r.index[col] = i
	}
	if _, found := r.index[colRecord]; !found {
		r.sheet.addFault(header.number, 0, "", `the first row must hold the column headings, among them "record"`)
		return false
	}
	return true
}

// readRow reads a plan row when plans is set, else a row of another kind.
func (r *sheetReader) readRow(row *sheetRow, plans bool) {
	kind := record(strings.ToLower(row.cell(r.index[colRecord])))
	if (kind == recordPlan) != plans {
		return
	}
	r.current = row
	r.at = place{record: kind, index: r.count(kind)}
	used, known := usage[kind]
	if !known {
		r.sheet.addFault(row.number, r.index[colRecord]+1, "",
			fmt.Sprintf("%q is not one of plan, zone, team, service and job", row.cell(r.index[colRecord])))
		return
	}
	r.checkUnusedCells(used)
	if kind == recordPlan && r.rows[r.at] != 0 {
		r.sheet.addFault(row.number, r.index[colRecord]+1, "",
			fmt.Sprintf("the sheet has a plan row already, row %d", r.rows[r.at]))
		return
	}
	r.rows[r.at] = row.number
	r.addRecord(kind)
}

func (r *sheetReader) count(kind record) int {
	switch kind {
	case recordZone:
		return len(r.plan.Zones)
	case recordTeam:
		return len(r.plan.Teams)
	case recordService:
		return len(r.plan.Services)
	case recordJob:
		return len(r.plan.Jobs)
	}
	return 0
}

// checkUnusedCells reports values that the row's kind of record does not use.
func (r *sheetReader) checkUnusedCells(used map[column]bool) {
	headings := make(map[int]column, len(r.index))
	for col, i := range r.index {
		headings[i] = col
	}
	for i, text := range r.current.cells {
		col, titled := headings[i]
		switch _, uses := used[col]; {
		case text == "" || col == colRecord || uses:
		case !titled:
			r.sheet.addFault(r.current.number, i+1, "", fmt.Sprintf("%q stands in a column without a known heading", text))
		default:
			r.sheet.addFault(r.current.number, i+1, "", fmt.Sprintf("a %s row has no %s, but the cell holds %q", r.at.record, col, text))
		}
	}
}

func (r *sheetReader) addRecord(kind record) {
	switch kind {
	case recordPlan:
		r.plan.Number = uint64(r.integer(colNumber))
		r.plan.Day = r.text(colDay)
		r.plan.TimeZone = r.text(colTimeZone)
		r.plan.LatencyWeight = r.fraction(colLatencyWeight, 1)
	case recordZone:
		r.plan.Zones = append(r.plan.Zones, Zone{
			Name: r.text(colName), Region: r.text(colRegion), InService: r.state(colState),
		})
	case recordTeam:
		r.plan.Teams = append(r.plan.Teams, Team{Name: r.text(colName), Quota: r.vector()})
	case recordService:
		r.plan.Services = append(r.plan.Services, Service{
			Name:              r.text(colName),
			Team:              r.text(colTeam),
			Instances:         int(r.integer(colInstances)),
			Size:              r.vector(),
			Objective:         r.duration(colObjective, time.Millisecond),
			ObjectiveFraction: r.fraction(colObjectivePercent, percent),
			Slots:             int(r.integer(colSlots)),
			Connections:       int(r.integer(colConnections)),
		})
	case recordJob:
		r.plan.Jobs = append(r.plan.Jobs, Job{
			Name:     r.text(colName),
			Team:     r.text(colTeam),
			Tasks:    int(r.integer(colTasks)),
			Size:     r.vector(),
			RunTime:  r.duration(colRunTime, time.Second),
			Deadline: r.deadline(colDeadline),
			Priority: int(r.integer(colPriority)),
		})
	}
}

// addCheckFaults reports what the plan's own checks find, at the cells that state it.
func (r *sheetReader) addCheckFaults(headerRow int) {
	for _, found := range r.plan.problems() {
		if r.refused[found.place] {
			continue
		}
		if found.column == colConnections && r.refused[place{found.record, found.index, colSlots}] {
			continue
		}
		row, known := r.rows[place{record: found.record, index: found.index}]
		if !known {
			row = headerRow
		}
		sheetColumn := 0
		if i, present := r.index[found.column]; present {
			sheetColumn = i + 1
		}
		r.sheet.addFault(row, sheetColumn, r.plan.subject(found.place), found.message)
	}
}

// text returns a cell of the current row, and reports a missing one when the record needs it.
func (r *sheetReader) text(col column) string {
	i, present := r.index[col]
	text := ""
	if present {
		text = r.current.cell(i)
	}
	if text != "" || !usage[r.at.record][col] {
		return text
	}
	r.refuse(col)
	switch {
	case present:
		r.sheet.addFault(r.current.number, i+1, r.subject(col), "the cell is empty")
	case !r.missing[col]:
		r.missing[col] = true
		r.sheet.addFault(r.current.number, 0, r.subject(col), fmt.Sprintf("the sheet has no column %q", col))
	}
	return ""
}

// subject names the current record by its own cells.
func (r *sheetReader) subject(col column) string {
	name := ""
	if i, present := r.index[colName]; present && r.current.cell(i) != "" {
		name = " " + r.current.cell(i)
	}
	return fmt.Sprintf("%s%s, %s", r.at.record, name, col)
}

func (r *sheetReader) refuse(col column) {
	r.refused[place{r.at.record, r.at.index, col}] = true
}

func (r *sheetReader) addCellFault(col column, err error) {
	r.refuse(col)
	r.sheet.addFault(r.current.number, r.index[col]+1, r.subject(col), err.Error())
}

func (r *sheetReader) integer(col column) int64 {
	text := r.text(col)
	if text == "" {
		return 0
	}
	n, err := parseInteger(text)
	if err == nil && n > maxSheetInteger {
		err = fmt.Errorf("%q is too large", text)
	}
	if err != nil {
		r.addCellFault(col, err)
	}
	return n
}

// scaled reads a decimal cell and returns it times 10^digits, 0 after a fault.
func (r *sheetReader) scaled(col column, digits int) int64 {
	text := r.text(col)
	if text == "" {
		return 0
	}
	n, err := parseScaled(text, digits, r.sheet.delimiter == ';')
	if err != nil {
		r.addCellFault(col, err)
		return 0
	}
	return n
}

// Scales of decimal cells.
const (
	maxSheetInteger = 1 << 53 // exact in every spreadsheet program
	milliDigits     = 3       // decimals of cores, GiB, milliseconds and seconds
	milli           = 1_000
	percentDigits   = 4 // decimals of fractions and percentages
	percentScale    = 10_000
	percent         = 100
)

// fraction reads a decimal cell in units of 1/whole.
func (r *sheetReader) fraction(col column, whole float64) float64 {
	return float64(r.scaled(col, percentDigits)) / (percentScale * whole)
}

func (r *sheetReader) duration(col column, unit time.Duration) time.Duration {
	n := r.scaled(col, milliDigits)
	step := unit / milli
	if n > int64(maxRunTime/step) {
		r.addCellFault(col, fmt.Errorf("%q is too large", r.text(col)))
		return 0
	}
	return time.Duration(n) * step
}

// vector reads the size columns; memory is rounded up to a whole mebibyte.
func (r *sheetReader) vector() resource.Vector {
	const mibPerGiB = 1024
	memory := r.scaled(colMemory, milliDigits)
	if memory > maxSheetInteger/mibPerGiB {
		r.addCellFault(colMemory, fmt.Errorf("%q is too large", r.text(colMemory)))
		memory = 0
	}
	return resource.Vector{
		MilliCPU:     r.scaled(colCores, milliDigits),
		MemoryMiB:    (memory*mibPerGiB + milli - 1) / milli,
		Accelerators: r.integer(colAccelerators),
	}
}

func (r *sheetReader) state(col column) bool {
	text := r.text(col)
	switch strings.ToLower(text) {
	case "in":
		return true
	case "out", "":
		return false
	}
	r.addCellFault(col, fmt.Errorf("%q is neither in nor out", text))
	return false
}

func (r *sheetReader) deadline(col column) time.Time {
	text := r.text(col)
	if text == "" {
		return time.Time{}
	}
	deadline, err := parseDeadline(text, r.plan.DayStart())
	if err != nil {
		r.addCellFault(col, err)
	}
	return deadline
}
