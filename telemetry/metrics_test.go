package telemetry

import (
	"io"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"amaranthpaddle/fault"
)

// pageRow matches a metric's row on the operators' page.
var pageRow = regexp.MustCompile("(?m)^\\| `(paddle_[a-z_]+)` \\| ([a-z, ]*) ?\\| [^|]+ \\| [^|]+ \\|$")

func TestThePageNamesEveryMetricWithItsLabels(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]string{}
	for _, row := range pageRow.FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = strings.TrimSpace(row[2])
	}
	names := map[string]bool{}
	for _, m := range Metrics() {
		if names[m.Name] {
			t.Errorf("%s is defined twice", m.Name)
		}
		names[m.Name] = true
		labels, found := documented[m.Name]
		if !found || labels != strings.Join(m.Labels, ", ") {
			t.Errorf("%s: labels %q on the page (found: %v), want %q", m.Name, labels, found, strings.Join(m.Labels, ", "))
		}
	}
	for name := range namesInCode(t) {
		if _, found := documented[name]; !found {
			t.Errorf("%s is not on the page", name)
		}
		names[name] = true
	}
	for name := range documented {
		if !names[name] {
			t.Errorf("the page names %s, which does not exist", name)
		}
	}
}

// namesInCode returns the metric names that stand in the module's code, tests left out.
func namesInCode(t *testing.T) map[string]bool {
	t.Helper()
	quoted := regexp.MustCompile("[\"`](paddle_[a-z_]+)")
	names := map[string]bool{}
	err := filepath.WalkDir("..", func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
			return err
		}
		source, err := os.ReadFile(file)
		for _, match := range quoted.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func TestMetricsHandlerWritesCountersAndGauges(t *testing.T) {
	TaskStarts.Add(3, `a"b`)
	mux := Mux(func() error { return fault.New(fault.Draining, "stopping") }, func(w io.Writer) {
		PlanNumber.Write(w, 7)
		ZoneInService.WriteBool(w, true, "Cork")
	})
	get := func(path string) *httptest.ResponseRecorder {
		answer := httptest.NewRecorder()
		mux.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
		return answer
	}
	lines := strings.Split(get("/metrics").Body.String(), "\n")
	for _, want := range []string{
		`paddle_agent_task_starts_total{result="a\"b"} 3`,
		`paddle_plan_number 7`,
		`paddle_zone_in_service{zone="Cork"} 1`,
	} {
		if !slices.Contains(lines, want) {
			t.Errorf("no line %s", want)
		}
	}
	if got := get("/readyz"); got.Code != http.StatusServiceUnavailable || !strings.Contains(got.Body.String(), "stopping") {
		t.Errorf("readyz: %d %s", got.Code, got.Body)
	}
	if got := get("/healthz").Code; got != http.StatusOK {
		t.Errorf("healthz: %d", got)
	}
}
