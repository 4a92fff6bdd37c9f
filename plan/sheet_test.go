package plan

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"amaranthpaddle/fault"
)

// validSheet is the start of every spoiled sheet of these tests.
const validSheet = `record,name,number,day,time_zone,latency_weight,region,state,team,instances,tasks,cores,memory_gib,accelerators,objective_ms,objective_percent,slots,connections,run_time_s,deadline,priority
plan,,7,2026-12-04,Europe/Dublin,0.9,,,,,,,,,,,,,,,
zone,Cork,,,,,Munster,in,,,,,,,,,,,,,
zone,Kildare,,,,,Leinster,out,,,,,,,,,,,,,
team,tolls,,,,,,,,,,100,400,2,,,,,,,
service,ledger,,,,,,,tolls,11,,8,24,,60,99.5,8,64,,,
job,night,,,,,,,tolls,,12,4,8.5,1,,,,,3.5,2026-12-05 06:00,50
`

func readText(text string) (*DayPlan, Faults) {
	return ReadSheet("day.csv", strings.NewReader(text))
}

func TestReadSheetReadsEveryColumn(t *testing.T) {
	p, faults := readText(validSheet)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if p.Number != 7 || p.Day != "2026-12-04" || p.TimeZone != "Europe/Dublin" || p.LatencyWeight != 0.9 {
		t.Errorf("plan row: %+v", p)
	}
	if len(p.Zones) != 2 || !p.Zones[0].InService || p.Zones[1].InService || p.Zones[1].Region != "Leinster" {
		t.Errorf("zones: %+v", p.Zones)
	}
	service := p.Services[0]
	if service.Objective != 60*time.Millisecond || service.ObjectiveFraction != 0.995 || service.Slots != 8 ||
		service.Connections != 64 || service.Instances != 11 || service.Size.MilliCPU != 8000 {
		t.Errorf("service: %+v", service)
	}
	job := p.Jobs[0]
	deadline := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	if job.RunTime != 3500*time.Millisecond || !job.Deadline.Equal(deadline) || job.Size.MemoryMiB != 8704 ||
		job.Size.Accelerators != 1 || job.Tasks != 12 || job.Priority != 50 {
		t.Errorf("job: %+v", job)
	}
	if quota := p.Teams[0].Quota; quota.MilliCPU != 100_000 || quota.MemoryMiB != 400*1024 || quota.Accelerators != 2 {
		t.Errorf("quota: %+v", quota)
	}
}

// TestReadSheetAcceptsWhatSpreadsheetsExport gives the same sheet in the forms that exports take.
func TestReadSheetAcceptsWhatSpreadsheetsExport(t *testing.T) {
	want, _ := readText(validSheet)
	semicolons := strings.ReplaceAll(validSheet, ",", ";")
	forms := map[string]string{
		"byte-order mark":           "\ufeff" + validSheet,
		"CRLF":                      strings.ReplaceAll(validSheet, "\n", "\r\n"),
		"CR alone":                  strings.ReplaceAll(validSheet, "\n", "\r"),
		"no line end at the end":    strings.TrimSuffix(validSheet, "\n"),
		"semicolons with points":    semicolons,
		"semicolons with commas":    strings.NewReplacer("0.9", "0,9", "99.5", "99,5", "8.5", "8,5", "3.5", "3,5").Replace(semicolons),
		"tabs":                      strings.ReplaceAll(validSheet, ",", "\t"),
		"separator line":            "sep=;\r\n" + semicolons,
		"blank trailing rows":       validSheet + ",,,,\n\n  ,  ,\n",
		"blank trailing columns":    strings.ReplaceAll(validSheet, "\n", ",,,\n"),
		"blank leading rows":        "\n,,,,\n" + validSheet,
		"headings in capitals":      strings.ToUpper(validSheet[:strings.Index(validSheet, "\n")]) + validSheet[strings.Index(validSheet, "\n"):],
		"quoted cells":              strings.ReplaceAll(validSheet, "Cork", `"Cork"`),
		"spaces around cells":       strings.ReplaceAll(validSheet, "Cork", " Cork\u00a0"),
		"record names in capitals":  strings.ReplaceAll(validSheet, "\nzone", "\nZONE"),
		"deadline with T":           strings.ReplaceAll(validSheet, "2026-12-05 06:00", "2026-12-05T06:00"),
		"deadline as RFC 3339":      strings.ReplaceAll(validSheet, "2026-12-05 06:00", "2026-12-05T07:00:00+01:00"),
		"deadline with its seconds": strings.ReplaceAll(validSheet, "2026-12-05 06:00", "2026-12-05 06:00:00"),
		"short rows":                strings.ReplaceAll(validSheet, ",,,,,,,,,,,,,\nzone", "\nzone"),
	}
	for name, text := range forms {
		t.Run(name, func(t *testing.T) {
			got, faults := readText(text)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			if got.Digest() != want.Digest() {
				t.Errorf("another plan: %v", Diff(want, got))
			}
		})
	}
}

func TestReadSheetRefusesASpoiledSheetWhole(t *testing.T) {
	const header = "record,name,number"
	cases := []struct {
		name     string
		old, new string // replaced once in validSheet
		faults   []string
	}{
		{"unknown column", header, "record,nmae,number", []string{`day.csv:1:2: cell B1: unknown column "nmae"`, `has no column "name"`}},
		{"column twice", header, "record,name,name", []string{`day.csv:1:3: cell C1: column "name" stands twice`, `has no column "number"`}},
		{"no headings", "record", "plan", []string{"the first row must hold the column headings"}},
		{"unknown record", "zone,Cork", "zon,Cork", []string{`day.csv:3:1: cell A3: "zon" is not one of`}},
		{"blank record", "zone,Cork", ",Cork", []string{`day.csv:3:1: cell A3: "" is not one of`}},
		{"no plan row", "plan,,7,2026-12-04,Europe/Dublin,0.9", ",,,,,", []string{"the sheet has no plan row"}},
		{"two plan rows", "team,tolls", "plan,,8,2026-12-04,,0.5\nteam,tolls", []string{"day.csv:5:1: cell A5: the sheet has a plan row already, row 2"}},
		{"plan number zero", "plan,,7", "plan,,0", []string{"day.csv:2:3: cell C2: plan, number: the plan number must be at least 1"}},
		{"plan number empty", "plan,,7", "plan,,", []string{"cell C2: plan, number: the cell is empty"}},
		{"plan number in scientific notation", "plan,,7", "plan,,1E+05", []string{`"1E+05" is not a whole number`}},
		{"plan number negative", "plan,,7", "plan,,-7", []string{`"-7" is not a whole number`}},
		{"plan number too large", "plan,,7", "plan,,99999999999999999", []string{"too large"}},
		{"plan number far too large", "plan,,7", "plan,,9999999999999999999999", []string{"is not a whole number"}},
		{"day in another order", "2026-12-04,", "04/12/2026,", []string{`cell D2: plan, day: "04/12/2026" is not a day`}},
		{"day that does not exist", "2026-12-04,", "2026-02-30,", []string{"is not a day"}},
		{"unknown time zone", "Europe/Dublin", "Europe/Ballinure", []string{"is not an IANA time zone"}},
		{"local time zone", "Europe/Dublin", "Local", []string{"is not an IANA time zone"}},
		{"weight above one", "0.9", "1.1", []string{"the latency weight must be from 0 to 1"}},
		{"weight with a decimal comma", "0.9", `"0,9"`, []string{"has a comma"}},
		{"weight as a percentage", "0.9", "90%", []string{"is not a number"}},
		{"weight not a number", "0.9", "NaN", []string{"is not a number"}},
		{"formula error", "0.9", "#REF!", []string{`"#REF!" is not a number`}},
		{"zone state unknown", "Munster,in", "Munster,maybe", []string{`cell H3: zone Cork, state: "maybe" is neither in nor out`}},
		{"zone state empty", "Munster,in", "Munster,", []string{"cell H3: zone Cork, state: the cell is empty"}},
		{"zone twice", "zone,Kildare", "zone,cork", []string{`cell B4: zone cork, name: zone "cork" is declared already, as "Cork"`}},
		{"zone name with a space", "zone,Cork", "zone,Cork city", []string{"a name has 1 to 63"}},
		{"zone name with a slash", "zone,Cork", "zone,../Cork", []string{"a name has 1 to 63"}},
		{"zone without region", "Munster", "", []string{"cell G3: zone Cork, region: the cell is empty"}},
		{"team not declared", "tolls,11", "tools,11", []string{`cell I6: service ledger, team: no team row declares "tools"`}},
		{"team twice", "service,ledger", "team,tolls,,,,,,,,,,1,1\nservice,ledger", []string{"declared already"}},
		{"no instances", "tolls,11", "tolls,0", []string{"cell J6: service ledger, instances: 0 is not from 1 to 10000"}},
		{"instances with decimals", "tolls,11", "tolls,11.0", []string{`"11.0" is not a whole number`}},
		{"thousands separator", "tolls,11", `tolls,"1,100"`, []string{`"1,100" is not a whole number`}},
		{"negative cores", ",8,24", ",-8,24", []string{`"-8" is not a number`}},
		{"no cores", ",8,24", ",0,24", []string{"the cores must be from"}},
		{"cores with a unit", ",8,24", ",8 cores,24", []string{"is not a number"}},
		{"too many decimals", ",8,24", ",8.0001,24", []string{"has more than 3 decimals"}},
		{"cores above the team's quota", ",8,24", ",101,24", []string{"more cores than the whole quota of team tolls"}},
		{"memory above the team's quota", ",8,24", ",8,401", []string{"more memory than the whole quota of team tolls"}},
		{"memory too large to hold", ",8,24", ",8,999999999999", []string{"too large"}},
		{"accelerators above the team's quota", "8.5,1", "8.5,3", []string{"more accelerators than the whole quota"}},
		{"objective zero", "60,99.5", "0,99.5", []string{"the objective must be from"}},
		{"objective too large", "60,99.5", "999999999999,99.5", []string{"too large"}},
		{"whole hundred percent", "60,99.5", "60,100", []string{"the share of requests must be"}},
		{"percent written as a fraction", "60,99.5", "60,0.995", []string{"the share of requests must be"}},
		{"fewer connections than slots", "99.5,8,64", "99.5,8,4", []string{"4 connections are fewer than 8 slots"}},
		{"no tasks", ",12,4", ",0,4", []string{"cell K7: job night, tasks: 0 is not from 1 to 100000"}},
		{"run time zero", "3.5,2026", "0,2026", []string{"the run time must be from"}},
		{"run time above a week", "3.5,2026", "604801,2026", []string{"too large"}},
		{"deadline before the day", "2026-12-05 06:00", "2026-12-03 06:00", []string{"the deadline must be within 7 days"}},
		{"deadline in another order", "2026-12-05 06:00", "05/12/2026 06:00", []string{"is not a time"}},
		{"priority too high", ",50", ",5000", []string{"5000 is not from 0 to 1000"}},
		{"priority empty", ",50", ",", []string{"cell U7: job night, priority: the cell is empty"}},
		{"value in another record's column", "Munster,in,", "Munster,in,tolls", []string{`cell I3: a zone row has no team, but the cell holds "tolls"`}},
		{"value without a heading", "06:00,50", "06:00,50,note", []string{`cell V7: "note" stands in a column without a known heading`}},
		{"quotation mark inside a cell", "zone,Cork", `zone,Co"rk`, []string{"day.csv:3:2: cell B3: a quotation mark stands inside"}},
		{"quoted cell not closed", "zone,Cork", `zone,"Cork`, []string{"day.csv:3:0: a quoted cell is not closed"}},
		{"line break in a cell", "Cork", "\"Co\nrk\"", []string{"cell B3: the cell contains a line break"}},
		{"not UTF-8", "Cork", "C\xf3rk", []string{"cell B3: the cell is not UTF-8"}},
		{"control character", "Cork", "Co\x00rk", []string{"control character"}},
		{"another alphabet's look-alike", "Cork", "C\u043erk", []string{"a name has 1 to 63"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validSheet, c.old, c.new, 1)
			if text == validSheet {
				t.Fatal("the case changes nothing")
			}
			wantRefused(t, text, c.faults)
		})
	}
}

func wantRefused(t *testing.T, text string, want []string) {
	t.Helper()
	p, faults := readText(text)
	if p != nil || len(faults) == 0 {
		t.Fatalf("accepted: plan %+v, faults %v", p, faults)
	}
	for _, message := range want {
		if !strings.Contains(faults.Error(), message) {
			t.Errorf("want %q among\n%v", message, faults)
		}
	}
	if !fault.Is(faults.Err(), fault.InvalidArgument) {
		t.Errorf("kind %v", fault.KindOf(faults.Err()))
	}
}

func TestReadSheetRefusesFilesThatAreNoSheet(t *testing.T) {
	semicolons := strings.ReplaceAll(validSheet, ",", ";")
	cases := map[string]struct{ text, want string }{
		"empty file":                  {"", "the sheet is empty"},
		"blank rows only":             {",,,\n,,\n", "the sheet is empty"},
		"byte-order mark only":        {"\ufeff", "the sheet is empty"},
		"UTF-16":                      {"\xff\xfer\x00e\x00", "UTF-16"},
		"headings only":               {validSheet[:strings.Index(validSheet, "\n")], "the sheet has no plan row"},
		"too large":                   {strings.Repeat(" ", MaxSheetBytes+1), "exceeds 4 MiB"},
		"too many rows":               {validSheet + strings.Repeat("zone,a,,,,,b,in\n", maxSheetRows), "more than 20000 rows"},
		"thousands in a ; sheet":      {strings.Replace(semicolons, ";8;24", ";8;1.024", 1), "may mean thousands or decimals"},
		"two commas in a ; sheet":     {strings.Replace(semicolons, ";8;24", ";8;1,0,2", 1), "is not a number"},
		"decimal comma in a tab file": {strings.ReplaceAll(strings.Replace(semicolons, "0.9", "0,9", 1), ";", "\t"), "has a comma"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { wantRefused(t, c.text, []string{c.want}) })
	}
}

func TestReadSheetListsEveryFaultInOrder(t *testing.T) {
	text := strings.NewReplacer("0.9", "2", "Munster,in", "Munster,on", "tolls,11", "x,0", ",50", ",-1").Replace(validSheet)
	_, faults := readText("\n\n" + text)
	want := []string{"day.csv:4:6: ", "day.csv:5:8: ", "day.csv:8:9: ", "day.csv:8:10: ", "day.csv:9:21: "}
	if len(faults) != len(want) {
		t.Fatalf("%d faults, want %d:\n%v", len(faults), len(want), faults)
	}
	for i, f := range faults {
		if !strings.HasPrefix(f.Error(), want[i]) {
			t.Errorf("fault %d is %q, want %q", i, f.Error(), want[i])
		}
	}
}

func TestRowNumbersCountRowsNotLines(t *testing.T) {
	text := strings.Replace(validSheet, "team,tolls", "\n,,\nteam,\"to\nlls\"", 1)
	text = strings.Replace(text, ",50", ",x", 1)
	wantRefused(t, text, []string{"day.csv:7:2: ", "day.csv:9:21: "})
}

func TestExamplesAreValid(t *testing.T) {
	for file, weight := range map[string]float64{"ballinure.csv": 0.9, "guadalajara.csv": 0.3} {
		data, err := os.ReadFile("../examples/" + file)
		if err != nil {
			t.Fatal(err)
		}
		p, faults := ReadSheet(file, bytes.NewReader(data))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		if len(p.Zones) != 3 || p.Services[0].Instances != 11 || p.Services[0].Slots != 8 ||
			p.Services[0].Connections != 64 || p.LatencyWeight != weight {
			t.Errorf("%s: %+v", file, p)
		}
	}
}

func FuzzReadSheet(f *testing.F) {
	f.Add([]byte(validSheet))
	f.Add([]byte("\ufeffsep=;\r\n" + strings.ReplaceAll(validSheet, ",", ";")))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, faults := ReadSheet("fuzz.csv", bytes.NewReader(data))
		if (p == nil) != (len(faults) > 0) {
			t.Fatalf("partial accept: plan %v, faults %v", p, faults)
		}
		if p == nil {
			return
		}
		if again := p.Check(); len(again) > 0 {
			t.Fatalf("accepted an invalid plan: %v", again)
		}
		encoded, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		var decoded DayPlan
		if err := decoded.Decode(encoded); err != nil {
			t.Fatal(err)
		}
		if decoded.Digest() != p.Digest() {
			t.Fatal("the digest changed over the encoding")
		}
	})
}
