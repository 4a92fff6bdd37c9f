package burn

import (
	"fmt"
	"testing"
	"time"

	"amaranthpaddle/api"
)

// fullDay returns a recorder with a whole day of the given number of services.
func fullDay(b *testing.B, services int) (*Recorder, *api.EntryReport, time.Time) {
	b.Helper()
	e := report("entry-1", 1, 0, noon, 0, 0)
	e.Counts = nil
	latency := encoded(b, 5_000, 6_000, 8_000, 9_000, 12_000, 15_000, 19_000, 25_000, 40_000, 70_000)
	for i := range services {
		e.Counts = append(e.Counts, &api.ServiceCounts{
			Service: fmt.Sprintf("service-%d", i), Requests: 10, WithinObjective: 9, LatencyHistogram: latency,
		})
	}
	r, now := NewRecorder(), noon
	for range keptMinutes {
		now = now.Add(time.Minute)
		advance(b, r, e, now)
	}
	return r, e, now
}

func advance(b *testing.B, r *Recorder, e *api.EntryReport, now time.Time) {
	e.Sequence++
	for _, c := range e.Counts {
		c.MinuteUnix = now.Unix()
	}
	record(b, r, e, now)
}

func BenchmarkRecord(b *testing.B) {
	for _, services := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			r, e, now := fullDay(b, services)
			for b.Loop() {
				advance(b, r, e, now)
			}
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, services := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			r, _, _ := fullDay(b, services)
			size := 0
			for b.Loop() {
				data, err := r.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
