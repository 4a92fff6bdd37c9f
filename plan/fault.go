package plan

import (
	"fmt"
	"sort"
	"strings"

	"amaranthpaddle/fault"
)

// Fault is one reason why a plan or sheet is refused.
type Fault struct {
	File    string // name of the sheet, empty for a plan that did not come from one
	Row     int    // row of the sheet as the spreadsheet numbers it, from 1; 0 when it concerns the whole
	Column  int    // column of the sheet, from 1; 0 when it concerns the whole row
	Subject string // the record and column concerned, such as "service toll-ledger, slots"
	Message string
}

// Error returns the fault as "file:row:column: cell: subject: message". Parts
// that are not known are left out, but for the row and column of a sheet.
func (f Fault) Error() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Row, f.Column)
	}
	if f.Row > 0 && f.Column > 0 {
		fmt.Fprintf(&b, "cell %s%d: ", columnLetters(f.Column), f.Row)
	}
	if f.Subject != "" {
		b.WriteString(f.Subject + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// columnLetters returns the spreadsheet's letters of column n, counted from 1.
func columnLetters(n int) string {
	const letters = 26
	name := ""
	for ; n > 0; n = (n - 1) / letters {
		name = string(rune('A'+(n-1)%letters)) + name
	}
	return name
}

// Faults lists every reason why a plan or sheet is refused.
type Faults []Fault

// Error returns the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil when there are no faults, else an error of kind fault.InvalidArgument.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fault.Wrap(fault.InvalidArgument, fs, "plan refused")
}

// sort orders the faults by row and column, and keeps the order of equal ones.
func (fs Faults) sort() {
	sort.SliceStable(fs, func(i, j int) bool {
		if fs[i].Row != fs[j].Row {
			return fs[i].Row < fs[j].Row
		}
		return fs[i].Column < fs[j].Column
	})
}
