package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"amaranthpaddle/fault"
	"amaranthpaddle/request"
)

// Metrics of this process.
var (
	retriesTotal      = metrics.NewCounter("paddle_entry_retries_total")
	hedgesTotal       = metrics.NewCounter("paddle_entry_hedges_total")
	lookupsTotal      = metrics.NewCounter("paddle_entry_lookups_total")
	connsRetiredTotal = metrics.NewCounter("paddle_entry_links_retired_total")
	streamsMovedTotal = metrics.NewCounter("paddle_entry_streams_moved_total")
	bodiesSentTotal   = metrics.NewCounter("paddle_entry_bodies_sent_total")
	bodiesKnownTotal  = metrics.NewCounter("paddle_entry_bodies_known_total")
)

// countRequest counts an answered or refused request.
func countRequest(service string, err error, took time.Duration) {
	if err != nil {
		kind := fault.KindOf(err)
		metrics.GetOrCreateCounter(fmt.Sprintf(`paddle_entry_refusals_total{kind=%q}`, kind)).Inc()
		metrics.GetOrCreateCounter(fmt.Sprintf(`paddle_entry_requests_total{service=%q,outcome=%q}`,
			service, kind.Answer().Outcome)).Inc()
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`paddle_entry_requests_total{service=%q,outcome=%q}`,
		service, fault.OutcomeDone)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`paddle_entry_request_seconds{service=%q}`, service)).Update(took.Seconds())
}

// countLinkBytes counts bytes to ("out") or from ("in") another region.
func countLinkBytes(direction string, class request.Class, size int) {
	name := "interactive"
	if class == request.Batch {
		name = "batch"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`paddle_entry_link_bytes_total{direction=%q,class=%q}`, direction, name)).Add(size)
}

// gauges returns the names of this entry's gauges with their functions.
func (e *Entry) gauges() map[string]func() float64 {
	label := fmt.Sprintf("{entry=%q}", e.config.Name)
	return map[string]func() float64{
		"paddle_entry_requests_in_progress" + label: func() float64 { return float64(e.active.Load()) },
		"paddle_entry_directory_revision" + label:   func() float64 { return float64(e.directory.revision()) },
		"paddle_entry_body_bytes" + label:           func() float64 { return float64(e.blobs.Bytes()) },
		"paddle_entry_backends_avoided" + label:     func() float64 { return float64(e.directory.avoided()) },
		"paddle_entry_requests_waiting" + label:     func() float64 { return float64(e.directory.waiting()) },
	}
}

func (e *Entry) registerMetrics() {
	for name, read := range e.gauges() {
		metrics.GetOrCreateGauge(name, read)
	}
}

func (e *Entry) unregisterMetrics() {
	for name := range e.gauges() {
		metrics.UnregisterMetric(name)
	}
}

// sum adds up what read returns for each service.
func (d *directory) sum(read func(*service) int) (total int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		s.mu.Lock()
		total += read(s)
		s.mu.Unlock()
	}
	return total
}

// avoided returns the number of backend servers that are avoided.
func (d *directory) avoided() int {
	return d.sum(func(s *service) (n int) {
		for _, b := range s.backends {
			if b.Avoided() {
				n++
			}
		}
		return n
	})
}

// waiting returns the number of requests that wait to be admitted.
func (d *directory) waiting() int { return d.sum(func(s *service) int { return s.waiting.Len() }) }
