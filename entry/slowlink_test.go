package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The link between regions.
const (
	linkRate  = 30_000_000 / 8 // bytes/s each way
	linkDelay = 12 * time.Millisecond
)

// newRemoteHarness has n agents in another region behind one shaped link.
func newRemoteHarness(t testing.TB, n int, handler http.Handler, rate int64) (*harness, *shapedLink) {
	shape := &shapedLink{rate: rate, delay: linkDelay}
	var specs []backendSpec
	for range n {
		specs = append(specs, backendSpec{handler: handler, region: "leinster", zone: "kildare", proxy: func(address string) string {
			return newFaultProxy(t, address, shape).address()
		}})
	}
	return newHarness(t, specs, func(c *Config) { c.LinkRate = rate }), shape
}

// digestBody answers with a checksum of the body.
func digestBody(w http.ResponseWriter, r *http.Request) {
	hash := xxhash.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "%d %x", n, hash.Sum64())
}

// randomBody returns a body that does not compress.
func randomBody(size int) string {
	source := rand.NewChaCha8([32]byte{1})
	b := make([]byte, size)
	_, _ = source.Read(b)
	return string(b)
}

func TestRepeatedLargeBodyCrossesTheLinkOnce(t *testing.T) {
	h, shape := newRemoteHarness(t, 3, http.HandlerFunc(digestBody), 100*linkRate)
	body := randomBody(2 << 20)
	want := fmt.Sprintf("%d %x", len(body), xxhash.Sum64String(body))
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			a, err := h.do("POST", "/ledger/rights", body, map[string]string{"Paddle-Idempotent": "true"})
			if err != nil || a.body != want || a.outcome != "done" {
				t.Errorf("got %+v, %v", a, err)
			}
		})
	}
	callers.Wait()
	if _, outward := shape.transferred(); outward > int64(len(body))*5/4 {
		t.Errorf("%d bytes crossed the link for a body of %d", outward, len(body))
	}
}

func TestLargeAnswerComesWholeOverTheLink(t *testing.T) {
	body := randomBody(3 << 20)
	h, _ := newRemoteHarness(t, 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, body)
	}), 10*linkRate)
	a, err := h.do("GET", "/ledger/report", "", nil)
	if err != nil || a.body != body || a.outcome != "done" {
		t.Errorf("got %d of %d bytes, outcome %q, %v", len(a.body), len(body), a.outcome, err)
	}
}

// percentile returns the p-th percentile of latencies.
func percentile(latencies []time.Duration, p float64) time.Duration {
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	return sorted[min(int(float64(len(sorted))*p/100), len(sorted)-1)]
}

// smallCalls makes 1 KB calls until stop is closed, at least atLeast of them.
func smallCalls(h *harness, stop <-chan struct{}, atLeast int) []time.Duration {
	body := strings.Repeat("s", 1<<10)
	var latencies []time.Duration
	for {
		select {
		case <-stop:
			if len(latencies) >= atLeast {
				return latencies
			}
		default:
		}
		began := time.Now()
		a, err := h.do("POST", "/ledger/stall", body, map[string]string{"Paddle-Idempotent": "true"})
		if err == nil && a.outcome == "done" {
			latencies = append(latencies, time.Since(began))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// BenchmarkSlowLink sends the same 20 MB body from 20 callers, who arrive within
// two seconds, on two days over a link of 30 Mbit/s and 12 ms, beside 1 KB calls.
func BenchmarkSlowLink(b *testing.B) {
	const callers, days, size = 20, 2, 20 << 20
	for b.Loop() {
		h, shape := newRemoteHarness(b, 4, http.HandlerFunc(digestBody), linkRate)
		closed := make(chan struct{})
		close(closed)
		idle := smallCalls(h, closed, 200)
		beforeIn, beforeOut := shape.transferred()
		stop := make(chan struct{})
		busy := make(chan []time.Duration, 1)
		go func() { busy <- smallCalls(h, stop, 1) }()
		body := randomBody(size)
		failed := 0
		for range days {
			failed += callAll(h, callers, body)
		}
		close(stop)
		during := <-busy
		inward, outward := shape.transferred()
		plain := float64(callers * days * size)
		b.ReportMetric(float64(outward-beforeOut)/1e6, "MB-out")
		b.ReportMetric(float64(inward-beforeIn)/1e6, "MB-in")
		b.ReportMetric(plain/float64(outward-beforeOut+inward-beforeIn), "times-less")
		b.ReportMetric(float64(failed), "failed")
		b.ReportMetric(float64(len(during)), "small-calls")
		b.ReportMetric(milliseconds(percentile(idle, 50)), "idle-p50-ms")
		b.ReportMetric(milliseconds(percentile(idle, 99)), "idle-p99-ms")
		b.ReportMetric(milliseconds(percentile(during, 50)), "busy-p50-ms")
		b.ReportMetric(milliseconds(percentile(during, 99)), "busy-p99-ms")
	}
}

// arrivalSpread is the time over which the callers arrive.
const arrivalSpread = 2 * time.Second

// callAll sends the body from n callers and returns how many failed.
func callAll(h *harness, n int, body string) int {
	var mu sync.Mutex
	failed := 0
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			time.Sleep(arrivalSpread * time.Duration(i) / time.Duration(n))
			headers := map[string]string{"Paddle-Idempotent": "true", "Paddle-Deadline-Ms": "120000"}
			a, err := h.do("POST", "/ledger/rights", body, headers)
			if err != nil || a.outcome != "done" {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return failed
}
