package plan

import (
	"bytes"
	"encoding/csv"
	stderrors "errors"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxSheetBytes limits the size of a sheet.
const MaxSheetBytes = 4 << 20

// maxSheetRows limits the rows of a sheet, blank ones not counted.
const maxSheetRows = 20_000

// sheetRow is one row that is not blank.
type sheetRow struct {
	number int // as the spreadsheet numbers it
	cells  []string
}

// cell returns the cell of column index i, counted from 0; cells beyond the row's end are empty.
func (r *sheetRow) cell(i int) string {
	if i < 0 || i >= len(r.cells) {
		return ""
	}
	return r.cells[i]
}

// sheet is a parsed CSV file.
type sheet struct {
	name      string
	delimiter rune
	rows      []sheetRow
	faults    Faults
	damaged   bool // rows may be missing, so what they declare can't be judged
}

func (s *sheet) addFault(row, column int, subject, message string) {
	s.faults = append(s.faults, Fault{File: s.name, Row: row, Column: column, Subject: subject, Message: message})
}

// ReadSheet reads the day plan from a CSV export of a planner's spreadsheet.
// It returns either a plan that passes Check or every fault found, never both.
// Faults name the file by name, and rows and columns as the spreadsheet shows them.
func ReadSheet(name string, r io.Reader) (*DayPlan, Faults) {
	s := &sheet{name: name}
	data, err := io.ReadAll(io.LimitReader(r, MaxSheetBytes+1))
	if err != nil {
		s.addFault(0, 0, "", "read: "+err.Error())
		return nil, s.faults
	}
	s.parse(data)
	if len(s.rows) == 0 {
		if len(s.faults) == 0 {
			s.addFault(0, 0, "", "the sheet is empty")
		}
		return nil, s.faults
	}
	plan := newSheetReader(s).read()
	if len(s.faults) > 0 {
		s.faults.sort()
		return nil, s.faults
	}
	return plan, nil
}

func (s *sheet) parse(data []byte) {
	if len(data) > MaxSheetBytes {
		s.addFault(0, 0, "", "the sheet exceeds 4 MiB")
		return
	}
	if bytes.HasPrefix(data, []byte("\xff\xfe")) || bytes.HasPrefix(data, []byte("\xfe\xff")) {
		s.addFault(0, 0, "", "the sheet is encoded in UTF-16; export it as CSV in UTF-8")
		return
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	if !bytes.Contains(data, []byte("\n")) {
		data = bytes.ReplaceAll(data, []byte("\r"), []byte("\n"))
	}
	firstRow := 1
	s.delimiter, data, firstRow = cutSeparatorLine(data, firstRow)
	if s.delimiter == 0 {
		s.delimiter = detectDelimiter(data)
	}
	s.parseRows(data, firstRow)
}

// cutSeparatorLine removes a first line such as "sep=;", by which spreadsheet
// programs state the delimiter. Without one it returns delimiter 0.
func cutSeparatorLine(data []byte, row int) (delimiter rune, rest []byte, firstRow int) {
	line, rest, _ := bytes.Cut(data, []byte("\n"))
	text := strings.TrimRight(string(line), "\r")
	for _, candidate := range []rune{',', ';', '\t'} {
		if strings.EqualFold(text, "sep="+string(candidate)) {
			return candidate, rest, row + 1
		}
	}
	return 0, data, row
}

// detectDelimiter returns the most frequent delimiter of the first line that is not blank.
func detectDelimiter(data []byte) rune {
	first := ""
	for line := range strings.Lines(string(data)) {
		if strings.Trim(line, ",;\t\r\n ") != "" {
			first = line
			break
		}
	}
	best, most := ',', 0
	for _, candidate := range []rune{',', ';', '\t'} {
		if n := strings.Count(first, string(candidate)); n > most {
			best, most = candidate, n
		}
	}
	return best
}

func (s *sheet) parseRows(data []byte, firstRow int) {
	reader := csv.NewReader(bytes.NewReader(data))
	reader.Comma = s.delimiter
	reader.FieldsPerRecord = -1
	nextLine, nextRow := 1, firstRow // where the next row would start without blank lines before it
	var offset int64
	for {
		cells, err := reader.Read()
		if err == io.EOF {
			return
		}
		if err != nil {
			s.addParseFault(data, err, nextLine, nextRow)
			return
		}
		line, _ := reader.FieldPos(0)
		row := nextRow + line - nextLine
		nextLine += bytes.Count(data[offset:reader.InputOffset()], []byte("\n"))
		nextRow = row + 1
		offset = reader.InputOffset()
		if len(s.rows) == maxSheetRows {
			s.addFault(row, 0, "", "the sheet has more than 20000 rows")
			s.damaged = true
			return
		}
		s.addRow(row, cells)
	}
}

// addRow trims the cells, reports unreadable ones and keeps the row unless it is blank.
func (s *sheet) addRow(number int, cells []string) {
	blank := true
	for i, text := range cells {
		cells[i] = strings.TrimSpace(text)
		switch {
		case !utf8.ValidString(text):
			s.addFault(number, i+1, "", "the cell is not UTF-8; export the sheet as CSV in UTF-8")
			cells[i] = strings.ToValidUTF8(cells[i], "?")
		case strings.ContainsFunc(cells[i], unicode.IsControl):
			s.addFault(number, i+1, "", "the cell contains a line break or control character")
		}
		blank = blank && cells[i] == ""
	}
	if !blank {
		s.rows = append(s.rows, sheetRow{number: number, cells: cells})
	}
}

func (s *sheet) addParseFault(data []byte, err error, nextLine, nextRow int) {
	s.damaged = true
	var parseErr *csv.ParseError
	if !stderrors.As(err, &parseErr) {
		s.addFault(nextRow, 0, "", err.Error())
		return
	}
	row := nextRow + parseErr.StartLine - nextLine
	column := 0
	if parseErr.StartLine == parseErr.Line {
		column = s.columnAt(data, parseErr.Line, parseErr.Column)
	}
	message := "a quotation mark stands inside a cell that is not quoted; double it and quote the cell"
	if stderrors.Is(parseErr.Err, csv.ErrQuote) {
		message = "a quoted cell is not closed, or text follows its closing quotation mark"
	}
	s.addFault(row, column, "", message+"; the rows after it are not read")
}

// columnAt returns the sheet's column, from 1, at a byte position, from 1, of a line, from 1.
func (s *sheet) columnAt(data []byte, line, position int) int {
	lines := bytes.SplitN(data, []byte("\n"), line+1)
	if line > len(lines) {
		return 0
	}
	text := lines[line-1]
	column, quoted := 1, false
	for i, r := range string(text[:min(max(position-1, 0), len(text))]) {
		switch {
		case r == '"' && (quoted || i == 0 || rune(text[i-1]) == s.delimiter):
			quoted = !quoted
		case r == s.delimiter && !quoted:
			column++
		}
	}
	return column
}
