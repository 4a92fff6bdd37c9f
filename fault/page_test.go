package fault

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestThePageOfErrorsNamesEveryKindAsTheTableDoes(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	again := map[bool]string{true: "yes", false: "no"}
	for _, kind := range Kinds() {
		a := kind.Answer()
		row := fmt.Sprintf("\n| `%s` | %d | %s | %s | %d | ", a.Name, a.HTTP, a.Outcome, again[a.Retryable], a.Exit)
		if strings.Count(string(page), row) != 1 {
			t.Errorf("no single row %q", strings.TrimSpace(row))
		}
	}
	if rows := strings.Count(string(page), "\n| `") - len([]Outcome{OutcomeDone, OutcomeNotRun, OutcomeUnknown}); rows != len(Kinds()) {
		t.Errorf("%d rows of kinds, want %d", rows, len(Kinds()))
	}
}
