package delivery

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"amaranthpaddle/fault"
)

// Metrics of this process.
var (
	attemptsTotal      = metrics.NewCounter("paddle_agent_attempts_total")
	bodiesStoredTotal  = metrics.NewCounter("paddle_agent_bodies_stored_total")
	bodiesFetchedTotal = metrics.NewCounter("paddle_agent_bodies_fetched_total")
)

func countRefusal(err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`paddle_agent_refusals_total{kind=%q}`, fault.KindOf(err))).Inc()
}

// gauges returns the functions that read this agent's gauges, by metric name.
func (d *Delivery) gauges() map[string]func() float64 {
	label := fmt.Sprintf("{agent=%q}", d.config.Address)
	return map[string]func() float64{
		"paddle_agent_attempts_kept" + label:     func() float64 { return float64(d.tableSize()) },
		"paddle_agent_answer_bytes_kept" + label: func() float64 { return float64(d.tableBytes()) },
		"paddle_agent_body_bytes" + label:        func() float64 { return float64(d.blobs.Bytes()) },
		"paddle_agent_slots_running" + label:     func() float64 { running, _ := d.inUse(); return float64(running) },
		"paddle_agent_standing_streams" + label:  func() float64 { _, standing := d.inUse(); return float64(standing) },
	}
}

func (d *Delivery) registerMetrics() {
	for name, read := range d.gauges() {
		metrics.GetOrCreateGauge(name, read)
	}
}

func (d *Delivery) unregisterMetrics() {
	for name := range d.gauges() {
		metrics.UnregisterMetric(name)
	}
}

func (d *Delivery) tableSize() int {
	d.tableMu.Lock()
	defer d.tableMu.Unlock()
	return d.table.Len()
}

func (d *Delivery) tableBytes() int64 {
	d.tableMu.Lock()
	defer d.tableMu.Unlock()
	return d.table.Bytes()
}

// inUse returns the numbers of slots in use and of open standing streams.
func (d *Delivery) inUse() (running, standing uint32) {
	for _, load := range d.Load() {
		running += load.Running
		standing += load.Standing
	}
	return running, standing
}
