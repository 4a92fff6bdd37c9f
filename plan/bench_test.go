package plan

import (
	"fmt"
	"strings"
	"testing"
)

// largeSheet returns a sheet with the given number of jobs and a team for each 100 of them.
func largeSheet(jobs int) string {
	var b strings.Builder
	b.WriteString(strings.Join(strings.Split(validSheet, "\n")[:4], "\n") + "\n")
	for i := range jobs/100 + 1 {
		fmt.Fprintf(&b, "team,team-%d,,,,,,,,,,1000,4000,16,,,,,,,\n", i)
	}
	for i := range jobs {
		fmt.Fprintf(&b, "job,reconcile-district-%d,,,,,,,team-%d,,%d,4,8.5,1,,,,,1800,2026-12-05 06:00,50\n", i, i/100, 1+i%7)
	}
	return b.String()
}

func BenchmarkReadSheet(b *testing.B) {
	for _, jobs := range []int{100, 1000, 8300} {
		text := largeSheet(jobs)
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for b.Loop() {
				if _, faults := readText(text); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
			b.ReportMetric(float64(len(text)), "sheet-bytes")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, jobs := range []int{100, 1000, 8300} {
		p, faults := readText(largeSheet(jobs))
		if len(faults) > 0 {
			b.Fatal(faults)
		}
		encoded, err := p.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for b.Loop() {
				var decoded DayPlan
				if err := decoded.Decode(encoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "plan-bytes")
		})
	}
}
