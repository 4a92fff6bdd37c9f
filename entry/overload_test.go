package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Servers and load of the overload benchmarks.
const (
	loadInstances   = 11
	loadSlots       = 8
	loadServiceTime = 100 * time.Millisecond // mean, uniform from half to one and a half
	loadSlowFactor  = 5
	loadDeadline    = 2 * time.Second
	loadWarmUp      = 4 * time.Second
	loadMeasured    = 8 * time.Second
)

// slottedServer is a stand-in backend server that runs loadSlots requests at a
// time and keeps any number waiting.
type slottedServer struct {
	slots  chan struct{}
	factor float64
	failed bool
	runs   atomic.Int64
}

func (s *slottedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	if s.failed {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	mean := float64(loadServiceTime) * s.factor
	time.Sleep(time.Duration(mean * (0.5 + rand.Float64())))
	_, _ = io.WriteString(w, "ok")
}

// loadFleet returns the backend servers: one slow, one failing.
func loadFleet() []*slottedServer {
	servers := make([]*slottedServer, loadInstances)
	for i := range servers {
		servers[i] = &slottedServer{slots: make(chan struct{}, loadSlots), factor: 1}
	}
	servers[0].factor = loadSlowFactor
	servers[1].failed = true
	return servers
}

// loadCapacity is what the slots can answer, requests/s.
func loadCapacity() float64 {
	perInstance := loadSlots / loadServiceTime.Seconds()
	return perInstance*(loadInstances-2) + perInstance/loadSlowFactor
}

// loadResult is what callers saw.
type loadResult struct {
	mu      sync.Mutex
	good    int
	waited  []time.Duration // of callers that were answered or timed out
	refused map[int]int     // by status
	sent    int
}

// offer sends Poisson arrivals at a rate to do and records those of the measured time.
func offer(rate float64, do func(ctx context.Context) (int, error)) *loadResult {
	result := &loadResult{refused: make(map[int]int)}
	var wait sync.WaitGroup
	began := time.Now()
	next := began
	for time.Since(began) < loadWarmUp+loadMeasured {
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		measured := next.Sub(began) > loadWarmUp
		arrived := next
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), loadDeadline)
			defer cancel()
			status, err := do(ctx)
			took := time.Since(arrived)
			if !measured {
				return
			}
			result.mu.Lock()
			defer result.mu.Unlock()
			result.sent++
			ok := err == nil && status == http.StatusOK && took <= loadDeadline
			if ok || err != nil || status == http.StatusGatewayTimeout {
				result.waited = append(result.waited, took)
			}
			if ok {
				result.good++
				return
			}
			result.refused[status]++
		})
	}
	wait.Wait()
	return result
}

func (r *loadResult) report(b *testing.B, attempts int64) {
	goodput := float64(r.good) / loadMeasured.Seconds()
	b.ReportMetric(goodput/loadCapacity()*100, "goodput-%")
	b.ReportMetric(float64(r.good)/float64(r.sent)*100, "answered-%")
	b.ReportMetric(milliseconds(percentile(r.waited, 50)), "p50-ms")
	b.ReportMetric(milliseconds(percentile(r.waited, 99)), "p99-ms")
	b.ReportMetric(milliseconds(percentile(r.waited, 99.9)), "p99.9-ms")
	b.ReportMetric(float64(attempts), "attempts")
	b.ReportMetric(0, "ns/op")
	b.Logf("statuses of the rest: %v", r.refused)
}

var loadClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}

func get(ctx context.Context, url string, headers ...string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	r.Header.Set("Paddle-Deadline-Ms", fmt.Sprint(loadDeadline.Milliseconds()))
	response, err := loadClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// BenchmarkOverload offers 50, 90 and 150 % of the slots' capacity to plain
// round robin without limits and to two entries.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.5, 0.9, 1.5} {
		rate := load * loadCapacity()
		b.Run(fmt.Sprintf("load=%.0f%%/roundrobin", load*100), func(b *testing.B) { benchmarkRoundRobin(b, rate) })
		b.Run(fmt.Sprintf("load=%.0f%%/entries", load*100), func(b *testing.B) { benchmarkEntries(b, rate) })
	}
}

// BenchmarkOverloadClasses offers 150 % of the capacity to two entries, half of
// it from batch callers, and reports how many of each class were answered.
func BenchmarkOverloadClasses(b *testing.B) {
	for range b.N {
		urls, _ := loadEntries(b)
		var turn, interactive, batch atomic.Int64
		var good [2]atomic.Int64
		offer(1.5*loadCapacity(), func(ctx context.Context) (int, error) {
			n := turn.Add(1)
			class, sent, which := "interactive", &interactive, 0
			if n%4 < 2 {
				class, sent, which = "batch", &batch, 1
			}
			sent.Add(1)
			status, err := get(ctx, urls[int(n)%len(urls)], "Paddle-Class", class)
			if err == nil && status == http.StatusOK {
				good[which].Add(1)
			}
			return status, err
		})
		b.ReportMetric(float64(good[0].Load())/float64(interactive.Load())*100, "interactive-answered-%")
		b.ReportMetric(float64(good[1].Load())/float64(batch.Load())*100, "batch-answered-%")
		b.ReportMetric(0, "ns/op")
	}
}

func benchmarkRoundRobin(b *testing.B, rate float64) {
	for range b.N {
		servers := loadFleet()
		var urls []string
		for _, s := range servers {
			backend := httptest.NewServer(s)
			defer backend.Close()
			urls = append(urls, backend.URL)
		}
		var turn atomic.Int64
		result := offer(rate, func(ctx context.Context) (int, error) {
			return get(ctx, urls[int(turn.Add(1))%len(urls)])
		})
		result.report(b, totalRuns(servers))
	}
}

func totalRuns(servers []*slottedServer) (total int64) {
	for _, s := range servers {
		total += s.runs.Load()
	}
	return total
}

// loadEntries starts the fleet behind two entries.
func loadEntries(b *testing.B) (urls []string, servers []*slottedServer) {
	servers = loadFleet()
	var specs []backendSpec
	for _, s := range servers {
		specs = append(specs, backendSpec{handler: s, region: "munster", zone: "cork", slots: loadSlots})
	}
	h := newHarness(b, specs, nil)
	other := startEntry(b, h.control, func(c *Config) { c.Name = "entry-2" })
	awaitReady(b, other)
	return []string{h.url("/ledger/check"), "http://" + other.Address().String() + "/ledger/check"}, servers
}

func benchmarkEntries(b *testing.B, rate float64) {
	for range b.N {
		urls, servers := loadEntries(b)
		var turn atomic.Int64
		result := offer(rate, func(ctx context.Context) (int, error) {
			return get(ctx, urls[int(turn.Add(1))%len(urls)])
		})
		result.report(b, totalRuns(servers))
	}
}
