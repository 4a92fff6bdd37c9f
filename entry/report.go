package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
)

// Reports of service-level counts.
const (
	reportInterval    = 10 * time.Second
	reportTimeout     = 5 * time.Second
	maxPendingReports = 90 // unacknowledged reports that are kept for sending
	maxLatencyUs      = int64(time.Hour / time.Microsecond)
	histogramDigits   = 2 // significant digits
)

// recorder counts requests by service and minute until they are reported.
type recorder struct {
	mu     sync.Mutex
	counts map[countKey]*minuteCounts
}

type countKey struct {
	service string
	minute  int64 // start, seconds since 1970
}

type minuteCounts struct {
	counts    *api.ServiceCounts
	histogram *hdrhistogram.Histogram
}

func newRecorder() *recorder { return &recorder{counts: make(map[countKey]*minuteCounts)} }

// record counts one request of a known service.
func (r *recorder) record(x *execution, err error, took time.Duration) {
	if x == nil || x.request.Standing {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.minute(x.service.name, time.Now())
	m.counts.Requests++
	m.counts.Retries += uint64(max(x.attempts-1, 0))
	m.counts.QueueMs += milliseconds(x.queued)
	m.counts.BackendMs += milliseconds(x.backendTime)
	m.counts.LinkMs += milliseconds(max(took-x.queued-x.backendTime, 0))
	_ = m.histogram.RecordValue(min(took.Microseconds(), maxLatencyUs))
	switch {
	case err == nil && took <= x.service.latencyObjective():
		m.counts.WithinObjective++
	case err == nil:
	case fault.KindOf(err).Answer().Outcome == fault.OutcomeNotRun:
		m.counts.NotRun++
	default:
		m.counts.Unknown++
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// minute returns the counts of the current minute. The caller holds mu.
func (r *recorder) minute(service string, now time.Time) *minuteCounts {
	key := countKey{service: service, minute: now.Truncate(time.Minute).Unix()}
	m, ok := r.counts[key]
	if !ok {
		m = &minuteCounts{
			counts:    &api.ServiceCounts{Service: service, MinuteUnix: key.minute},
			histogram: hdrhistogram.New(1, maxLatencyUs, histogramDigits),
		}
		r.counts[key] = m
	}
	return m
}

// take removes and returns what was counted.
func (r *recorder) take() []*api.ServiceCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := make([]*api.ServiceCounts, 0, len(r.counts))
	for _, m := range r.counts {
		encoded, err := m.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err == nil {
			m.counts.LatencyHistogram = encoded
		}
		taken = append(taken, m.counts)
	}
	clear(r.counts)
	return taken
}

// report sends the counts to the control group until the entry stops. What is
// not acknowledged is sent again under the same number.
func (e *Entry) report() {
	client := controlclient.New(e.config.Security, e.config.Control)
	defer client.Close()
	incarnation := rand.Uint64()
	var pending []*api.EntryReport
	for sequence := uint64(1); timing.Sleep(e.ctx, reportInterval); sequence++ {
		pending = append(pending, &api.EntryReport{
			Entry: e.config.Name, Incarnation: incarnation, Sequence: sequence, Counts: e.recorder.take(),
		})
		pending = pending[max(len(pending)-maxPendingReports, 0):]
		pending = e.sendReports(client, pending)
	}
}

// sendReports sends the pending reports in order and returns those that remain.
func (e *Entry) sendReports(client *controlclient.Client, pending []*api.EntryReport) []*api.EntryReport {
	ctx, cancel := context.WithTimeout(e.ctx, reportTimeout)
	defer cancel()
	for len(pending) > 0 {
		if _, err := client.Report(ctx, pending[0]); err != nil {
			klog.V(1).InfoS("Report not acknowledged", "sequence", pending[0].Sequence, "reason", err)
			return pending
		}
		pending = pending[1:]
	}
	return pending
}
