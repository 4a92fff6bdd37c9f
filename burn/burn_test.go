package burn

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/plan"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func testPlan() *plan.DayPlan {
	return &plan.DayPlan{Number: 5, Day: "2026-12-04", Services: []plan.Service{
		{Name: "ledger", Objective: 60 * time.Millisecond, ObjectiveFraction: 0.99},
	}}
}

func encoded(t testing.TB, micros ...int64) []byte {
	t.Helper()
	h := hdrhistogram.New(1, 3_600_000_000, 2)
	for _, v := range micros {
		if err := h.RecordValue(v); err != nil {
			t.Fatal(err)
		}
	}
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// report returns the report of one minute that ends at the given time.
func report(entry string, incarnation, sequence uint64, at time.Time, requests, within uint64) *api.EntryReport {
	return &api.EntryReport{Entry: entry, Incarnation: incarnation, Sequence: sequence, Counts: []*api.ServiceCounts{{
		Service: "ledger", MinuteUnix: at.Truncate(time.Minute).Unix(), Requests: requests, WithinObjective: within,
	}}}
}

func record(t testing.TB, r *Recorder, e *api.EntryReport, now time.Time) uint64 {
	t.Helper()
	sequence, err := r.Record(e, now)
	if err != nil {
		t.Fatal(err)
	}
	return sequence
}

// dayWindow returns the window of the whole day.
func dayWindow(r *Recorder, now time.Time) Window {
	return r.Report(now, testPlan(), nil).Services[0].Windows[3]
}

func TestAResentReportCountsOnce(t *testing.T) {
	r := NewRecorder()
	first := report("entry-1", 7, 1, noon, 10, 9)
	for range 3 {
		if got := record(t, r, first, noon); got != 1 {
			t.Errorf("sequence %d, want 1", got)
		}
	}
	record(t, r, report("entry-1", 7, 2, noon, 5, 5), noon)
	record(t, r, first, noon)                               // late
	record(t, r, report("entry-1", 3, 1, noon, 2, 2), noon) // restarted, with a lower incarnation
	record(t, r, report("entry-1", 7, 2, noon, 5, 5), noon) // late, of the earlier process
	record(t, r, report("entry-2", 7, 1, noon, 1, 1), noon)
	if got := dayWindow(r, noon).Requests; got != 10+5+2+1 {
		t.Errorf("%d requests, want 18", got)
	}
}

func TestARefusedReportChangesNothing(t *testing.T) {
	r := NewRecorder()
	bad := report("entry-1", 7, 1, noon, 10, 9)
	bad.Counts = append(bad.Counts, &api.ServiceCounts{Service: "ledger", LatencyHistogram: []byte("damaged")})
	if _, err := r.Record(bad, noon); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("got %v", err)
	}
	bad.Counts[1].LatencyHistogram = make([]byte, maxHistogramBytes+1)
	if _, err := r.Record(bad, noon); !fault.Is(err, fault.TooLarge) {
		t.Errorf("got %v", err)
	}
	if got := dayWindow(r, noon).Requests; got != 0 {
		t.Errorf("%d requests of a refused report count", got)
	}
	record(t, r, report("entry-1", 7, 1, noon, 4, 4), noon)
	if got := dayWindow(r, noon).Requests; got != 4 {
		t.Errorf("%d requests, want 4", got)
	}
}

func TestWindowsCountTheirTimeOnly(t *testing.T) {
	r := NewRecorder()
	ages := []time.Duration{time.Minute, 30 * time.Minute, 3 * time.Hour, 8 * time.Hour, 14 * time.Hour, -time.Minute, -time.Hour, 30 * time.Hour}
	for i, age := range ages {
		record(t, r, report("entry-1", 1, uint64(i+1), noon.Add(-age), 100, 99), noon)
	}
	var got []uint64
	for _, w := range r.Report(noon, testPlan(), nil).Services[0].Windows {
		got = append(got, w.Requests)
	}
	if want := []uint64{100, 200, 300, 400}; !slices.Equal(got, want) {
		t.Errorf("requests %v, want %v", got, want)
	}
	if kept := len(*r.services["ledger"]); kept != 6 {
		t.Errorf("%d minutes are kept, want 6: neither the last day's nor those far ahead", kept)
	}
}

func TestTheDayIsThePlansOwn(t *testing.T) {
	p := testPlan()
	p.TimeZone = "America/Mexico_City"
	day := NewRecorder().Report(noon, p, nil).DayStart
	if want := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC); !day.Equal(want) {
		t.Errorf("day starts at %v, want %v", day.UTC(), want)
	}
}

func TestBurnRateAndBudget(t *testing.T) {
	r := NewRecorder()
	// 2% bad against an allowed 1%: rate 2. Half of the day is over: the budget is used up.
	record(t, r, report("entry-1", 1, 1, noon.Add(-2*time.Hour), 1000, 980), noon)
	service := r.Report(noon, testPlan(), nil).Services[0]
	day := service.Windows[3]
	if math.Abs(day.BurnRate-2) > 1e-9 || math.Abs(service.BudgetLeft) > 1e-9 || *day.BudgetSeconds > 1e-3 {
		t.Errorf("rate %v, left %v, lasts %v", day.BurnRate, service.BudgetLeft, *day.BudgetSeconds)
	}
	if service.Windows[0].BudgetSeconds != nil {
		t.Error("an empty window states how long the budget lasts")
	}
	// Rate 0.5 at noon leaves three quarters, which last 36 hours.
	r = NewRecorder()
	record(t, r, report("entry-1", 1, 1, noon, 1000, 995), noon)
	service = r.Report(noon, testPlan(), nil).Services[0]
	if math.Abs(service.BudgetLeft-0.75) > 1e-9 || math.Abs(*service.Windows[1].BudgetSeconds-36*3600) > 1 {
		t.Errorf("left %v, lasts %v", service.BudgetLeft, *service.Windows[1].BudgetSeconds)
	}
}

func TestQuantilesAreAtMostATenthAbove(t *testing.T) {
	r := NewRecorder()
	var micros []int64
	for i := range int64(1000) {
		micros = append(micros, (i+1)*100) // 0.1 ms to 100 ms
	}
	e := report("entry-1", 1, 1, noon, 1000, 1000)
	e.Counts[0].LatencyHistogram = encoded(t, micros...)
	record(t, r, e, noon)
	w := dayWindow(r, noon)
	if w.P50Millis < 50 || w.P50Millis > 56 || w.P99Millis < 99 || w.P99Millis > 110 {
		t.Errorf("p50 %v, p99 %v", w.P50Millis, w.P99Millis)
	}
}

func TestCausesAreSlowestFirst(t *testing.T) {
	r := NewRecorder()
	e := report("entry-1", 1, 1, noon, 100, 100)
	e.Counts[0].QueueMs, e.Counts[0].LinkMs, e.Counts[0].BackendMs, e.Counts[0].Retries = 100, 2400, 500, 50
	e.Counts = append(e.Counts, &api.ServiceCounts{Service: "ledger", MinuteUnix: noon.Unix(), QueueMs: math.NaN(), LinkMs: math.Inf(1), BackendMs: -5})
	record(t, r, e, noon)
	var got []string
	for _, c := range r.Report(noon, testPlan(), nil).Services[0].Causes {
		got = append(got, c.Name)
	}
	if want := []string{"link", "retries", "backend server", "queue"}; !slices.Equal(got, want) {
		t.Errorf("causes %v, want %v", got, want)
	}
}

func TestJobsAgainstTheirDeadlines(t *testing.T) {
	job := plan.Job{Name: "night", Tasks: 10, RunTime: time.Hour, Deadline: noon.Add(3 * time.Hour)}
	free := job
	free.Deadline = time.Time{}
	cases := []struct {
		name     string
		progress JobProgress
		now      time.Time
		want     JobState
	}{
		{"two rounds are left", JobProgress{Job: job, Running: 5}, noon, JobOnTime},
		{"five rounds are left", JobProgress{Job: job, Running: 2}, noon, JobAtRisk},
		{"nothing runs yet", JobProgress{Job: job}, noon, JobWaiting},
		{"too late to start", JobProgress{Job: job}, noon.Add(150 * time.Minute), JobAtRisk},
		{"deadline passed", JobProgress{Job: job, Finished: 9, Running: 1}, noon.Add(4 * time.Hour), JobMissed},
		{"finished", JobProgress{Job: job, Finished: 10, FinishedAt: noon}, noon.Add(4 * time.Hour), JobFinished},
		{"finished late", JobProgress{Job: job, Finished: 10, FinishedAt: noon.Add(4 * time.Hour)}, noon.Add(5 * time.Hour), JobLate},
		{"canceled", JobProgress{Job: job, Finished: 1, Stopped: true}, noon, JobStopped},
		{"no deadline", JobProgress{Job: free, Running: 1}, noon, JobNoDeadline},
	}
	for _, c := range cases {
		got := NewRecorder().Report(c.now, testPlan(), []JobProgress{c.progress}).Jobs[0]
		if got.State != c.want {
			t.Errorf("%s: %q, want %q", c.name, got.State, c.want)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := NewRecorder()
	now := noon
	for i := range 2 * keptMinutes {
		now = noon.Add(time.Duration(i) * time.Minute)
		record(t, r, report("entry-1", uint64(i), 1, now, 1, 1), now)
	}
	if got := len(*r.services["ledger"]); got > keptMinutes {
		t.Errorf("%d minutes kept", got)
	}
	if got := len(r.entries["entry-1"]); got > maxIncarnations {
		t.Errorf("%d processes kept", got)
	}
	for i := range 2 * maxServices {
		e := report("entry-"+string(rune('A'+i)), 1, 1, now, 1, 1)
		e.Counts[0].Service = "service-" + string(rune('A'+i))
		record(t, r, e, now)
	}
	if len(r.services) > maxServices || len(r.entries) > maxEntries {
		t.Errorf("%d services, %d entries kept", len(r.services), len(r.entries))
	}
}

// TestReplicasAgree applies the same reports to two recorders, of which one is
// encoded and decoded in between.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := NewRecorder(), NewRecorder()
		now := noon
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "minutes")) * time.Minute)
			e := report(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"), uint64(rapid.IntRange(1, 6).Draw(t, "incarnation")),
				uint64(rapid.IntRange(1, 4).Draw(t, "sequence")), now, 9, 8)
			e.Counts[0].Service = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
			gotOne, _ := one.Record(e, now)
			gotTwo, _ := two.Record(e, now)
			if gotOne != gotTwo {
				t.Fatalf("acknowledged %d and %d", gotOne, gotTwo)
			}
			data, err := two.Encode()
			if err != nil {
				t.Fatal(err)
			}
			two = NewRecorder()
			if err := two.Decode(data); err != nil {
				t.Fatal(err)
			}
		}
		first, _ := one.Encode()
		second, _ := two.Encode()
		if !bytes.Equal(first, second) {
			t.Fatal("the states differ")
		}
	})
}

func TestDecodeKeepsTheStateWhenDataIsDamaged(t *testing.T) {
	r := NewRecorder()
	record(t, r, report("entry-1", 1, 1, noon, 3, 3), noon)
	if err := r.Decode([]byte("damaged")); !fault.Is(err, fault.DataCorrupt) {
		t.Errorf("got %v", err)
	}
	if got := dayWindow(r, noon).Requests; got != 3 {
		t.Errorf("%d requests, want 3", got)
	}
	if err := r.Decode(nil); err != nil || dayWindow(r, noon).Requests != 0 {
		t.Errorf("empty data: %v", err)
	}
}

func TestPageAndPlots(t *testing.T) {
	r := NewRecorder()
	record(t, r, report("entry-1", 1, 1, noon, 100, 90), noon)
	job := plan.Job{Name: "<night>", Tasks: 1, RunTime: time.Hour, Deadline: noon}
	handler := Handler(func(context.Context) (*Report, error) {
		return r.Report(noon, testPlan(), []JobProgress{{Job: job}}), nil
	})
	get := func(path string) *httptest.ResponseRecorder {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
		return answer
	}
	body := get("/burn").Body.String()
	for _, want := range []string{"ledger", "10.00", "&lt;night&gt;", "at risk", `src="/burn/ledger/latency.svg"`} {
		if !strings.Contains(body, want) {
			t.Errorf("%q is not on the page", want)
		}
	}
	if got := get("/burn/ledger/burn.svg"); got.Code != 200 || !strings.Contains(got.Body.String(), "<svg") {
		t.Errorf("SVG: status %d", got.Code)
	}
	if got := get("/burn/ledger/latency.png"); got.Code != 200 || !strings.HasPrefix(got.Body.String(), "\x89PNG") {
		t.Errorf("PNG: status %d", got.Code)
	}
	for path, want := range map[string]int{"/burn/other/burn.svg": 404, "/burn/ledger/burn.gif": 404, "/burn/ledger/other.svg": 400} {
		if got := get(path); got.Code != want {
			t.Errorf("%s: status %d, want %d", path, got.Code, want)
		}
	}
	failing := Handler(func(context.Context) (*Report, error) { return nil, fault.New(fault.NotLeader, "test") })
	answer := httptest.NewRecorder()
	failing.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/burn", nil))
	if answer.Code != http.StatusMisdirectedRequest {
		t.Errorf("status %d", answer.Code)
	}
}

// FuzzRecord feeds histograms as they might come over the network: a panic here
// would end every replica at the same log entry.
func FuzzRecord(f *testing.F) {
	f.Add(encoded(f, 100, 5_000, 70_000), int64(0), 1.5)
	f.Add([]byte("damaged"), int64(math.MaxInt64), math.Inf(-1))
	f.Add([]byte{}, int64(math.MinInt64), math.NaN())
	f.Fuzz(func(t *testing.T, latency []byte, minute int64, millis float64) {
		r := NewRecorder()
		e := report("entry-1", 1, 1, noon, math.MaxUint64, 1)
		e.Counts[0].LatencyHistogram, e.Counts[0].QueueMs = latency, millis
		e.Counts = append(e.Counts, &api.ServiceCounts{Service: "ledger", MinuteUnix: minute, WithinObjective: math.MaxUint64})
		if _, err := r.Record(e, noon); err != nil {
			return
		}
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewRecorder().Decode(data); err != nil {
			t.Fatal(err)
		}
		if _, err := json.Marshal(r.Report(noon, testPlan(), nil)); err != nil {
			t.Fatal(err)
		}
	})
}
