package telemetry

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Gauges writes the gauges of one part of the process, as they are now.
type Gauges func(w io.Writer)

// MetricsHandler writes every counter and histogram of the process, and the
// given gauges, in the Prometheus text format.
func MetricsHandler(gauges ...Gauges) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		for _, write := range gauges {
			write(w)
		}
		metrics.WritePrometheus(w, true)
	})
}

// Mux serves /metrics, /healthz (the process runs) and /readyz (ready returns
// nil: the process takes new work).
func Mux(ready func() error, gauges ...Gauges) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", MetricsHandler(gauges...))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	return mux
}
