package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// quick answers at once with 100 bytes.
func quick(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(quickAnswer[:]) }

var quickAnswer [100]byte

// BenchmarkDirect calls the stand-in without entry and agent.
func BenchmarkDirect(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(quick))
	defer backend.Close()
	measureCalls(b, backend.URL+"/check")
}

// BenchmarkThroughEntry calls it through one entry and one agent. Client and
// stand-in cost the same as in BenchmarkDirect.
func BenchmarkThroughEntry(b *testing.B) {
	h := newHarness(b, []backendSpec{{handler: http.HandlerFunc(quick), region: "munster", zone: "cork", slots: 64}}, nil)
	measureCalls(b, h.url("/ledger/check"))
}

func measureCalls(b *testing.B, url string) {
	for range 200 {
		if _, err := get(context.Background(), url); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("one-at-a-time", func(b *testing.B) {
		latencies := make([]time.Duration, 0, b.N)
		b.ReportAllocs()
		for b.Loop() {
			began := time.Now()
			if status, err := get(context.Background(), url); err != nil || status != http.StatusOK {
				b.Fatal(status, err)
			}
			latencies = append(latencies, time.Since(began))
		}
		b.ReportMetric(float64(percentile(latencies, 50).Microseconds()), "p50-us")
		b.ReportMetric(float64(percentile(latencies, 99).Microseconds()), "p99-us")
	})
	b.Run("32-at-a-time", func(b *testing.B) {
		b.ReportAllocs()
		before := cpuTime()
		b.SetParallelism(max(32/runtime.GOMAXPROCS(0), 1))
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if status, err := get(context.Background(), url); err != nil || status != http.StatusOK {
					b.Error(status, err)
					return
				}
			}
		})
		used := cpuTime() - before
		b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
		b.ReportMetric(float64(b.N)/used.Seconds(), "requests/cpu-s")
	})
}

// idleStream holds a standing stream open without a message.
func idleStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// BenchmarkIdleWatchers opens 4,000 standing streams (each takes four file descriptors here), directly and through an
// entry and four agents, and reports the memory of all ends in this process.
func BenchmarkIdleWatchers(b *testing.B) {
	const watchers = 4000
	b.Run("direct", func(b *testing.B) {
		for range b.N {
			backend := httptest.NewServer(http.HandlerFunc(idleStream))
			holdStreams(b, backend.URL+"/sync", watchers)
			backend.CloseClientConnections()
			backend.Close()
		}
	})
	b.Run("through-entry", func(b *testing.B) {
		for range b.N {
			var specs []backendSpec
			for range 4 {
				specs = append(specs, backendSpec{
					handler: http.HandlerFunc(idleStream), region: "munster", zone: "cork", connections: 4000,
				})
			}
			h := newHarness(b, specs, func(c *Config) { c.MaxRequests = 2 * watchers })
			holdStreams(b, h.url("/ledger/sync"), watchers)
		}
	})
}

// holdStreams opens n streams, reports the memory that each takes and closes them.
func holdStreams(b *testing.B, url string, n int) {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	var opened sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	starts := make(chan struct{}, 64)
	for range n {
		starts <- struct{}{}
		opened.Go(func() {
			defer func() { <-starts }()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				return
			}
			r.Header.Set("Accept", "text/event-stream")
			response, err := client.Do(r)
			if err == nil && response.StatusCode == http.StatusOK {
				go func() {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed++
		})
	}
	opened.Wait()
	cpu := cpuTime()
	time.Sleep(2 * time.Second)
	idle := cpuTime() - cpu
	after := memoryInUse()
	b.ReportMetric(float64(after-before)/float64(n), "B/watcher")
	b.ReportMetric(idle.Seconds()/2*100, "idle-%cpu")
	b.ReportMetric(float64(failed), "failed")
}

// memoryInUse returns heap and stacks after a collection, bytes.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
