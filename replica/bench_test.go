package replica

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const benchDataBytes = 200

// countingListener counts the bytes that its connections receive and send.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, &l.bytes}, err
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// startCountedGroup starts three replicas whose listeners count bytes.
func startCountedGroup(b *testing.B) ([]*host, []*countingListener) {
	hosts := make([]*host, 3)
	listeners := make([]*countingListener, 3)
	peers := map[uint64]string{}
	for i := range hosts {
		hosts[i] = newHost(b, uint64(i+1))
		listeners[i] = &countingListener{Listener: hosts[i].listener}
		hosts[i].listener = listeners[i]
		peers[uint64(i+1)] = hosts[i].config.Address
	}
	for _, h := range hosts {
		h.config.Peers = peers
		h.start()
	}
	return hosts, listeners
}

func totalBytes(listeners []*countingListener) int64 {
	var total int64
	for _, l := range listeners {
		total += l.bytes.Load()
	}
	return total
}

// write makes count changes with the given number of writers and returns their latencies.
func write(b *testing.B, leader *host, writers, count int) []time.Duration {
	latencies := make([]time.Duration, count)
	var next atomic.Int64
	var done sync.WaitGroup
	for range writers {
		done.Go(func() {
			for i := next.Add(1) - 1; i < int64(count); i = next.Add(1) - 1 {
				start := time.Now()
				if _, err := leader.replica.Propose(context.Background(), make([]byte, benchDataBytes)); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = time.Since(start)
			}
		})
	}
	done.Wait()
	slices.Sort(latencies)
	return latencies
}

func BenchmarkCommittedChanges(b *testing.B) {
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			hosts, listeners := startCountedGroup(b)
			leader := waitLeader(b, hosts)
			write(b, leader, writers, writers)
			bytes, cpu := totalBytes(listeners), cpuTime()
			b.ResetTimer()
			latencies := write(b, leader, writers, b.N)
			b.StopTimer()
			n := float64(b.N)
			b.ReportMetric(n/b.Elapsed().Seconds(), "changes/s")
			b.ReportMetric(float64(quantile(latencies, 0.5).Microseconds()), "p50-us")
			b.ReportMetric(float64(quantile(latencies, 0.99).Microseconds()), "p99-us")
			b.ReportMetric(float64(totalBytes(listeners)-bytes)/n, "bytes/change")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/n, "cpu-us/change")
		})
	}
}

// BenchmarkConfirmedReads measures quorum-confirmed reads on leader and follower.
func BenchmarkConfirmedReads(b *testing.B) {
	hosts := startGroup(b, 3, nil)
	leader := waitLeader(b, hosts)
	follower := others(hosts, leader)[0]
	mustConfirm(b, follower)
	for name, h := range map[string]*host{"leader": leader, "follower": follower} {
		for _, readers := range []int{1, 256} {
			b.Run(fmt.Sprintf("%s/readers=%d", name, readers), func(b *testing.B) {
				b.SetParallelism(max(1, readers/runtime.GOMAXPROCS(0)))
				if readers == 1 {
					for range b.N {
						mustConfirm(b, h)
					}
					return
				}
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						mustConfirm(b, h)
					}
				})
			})
		}
	}
}

// BenchmarkNewLeader stops the leader of three replicas at once and measures
// the time until another one is ready.
func BenchmarkNewLeader(b *testing.B) {
	hosts := startGroup(b, 3, nil)
	var times []time.Duration
	for range b.N {
		leader := waitLeader(b, hosts)
		mustPropose(b, leader, []byte("change"))
		for _, h := range others(hosts, leader) {
			mustConfirm(b, h)
		}
		start := time.Now()
		leader.stop()
		waitLeader(b, hosts)
		times = append(times, time.Since(start))
		leader.start()
	}
	slices.Sort(times)
	b.ReportMetric(float64(quantile(times, 0.5).Milliseconds()), "p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "worst-ms")
}

// BenchmarkRestart measures the start of a replica after 10,000 changes.
func BenchmarkRestart(b *testing.B) {
	h := startGroup(b, 1, nil)[0]
	waitLeader(b, []*host{h})
	write(b, h, 64, 10_000)
	h.stop()
	b.ResetTimer()
	for range b.N {
		h.start()
		b.StopTimer()
		b.ReportMetric(float64(h.replica.BytesRead()), "bytes-read")
		h.stop()
		b.StartTimer()
	}
}

// BenchmarkMemory reports the heap that 1,000 records hold in one replica.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		h := startGroup(b, 1, func(c *Config) { c.SnapshotEntries = 1 << 40 })[0]
		waitLeader(b, []*host{h})
		write(b, h, 64, 1_000)
		before := heapBytes()
		write(b, h, 64, 10_000)
		b.ReportMetric(float64(heapBytes()-before)/10, "heap-bytes/1000-records")
		h.stop()
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkIdle reports what three replicas without changes cost.
func BenchmarkIdle(b *testing.B) {
	hosts, listeners := startCountedGroup(b)
	leader := waitLeader(b, hosts)
	for range b.N {
		bytes, cpu, start := totalBytes(listeners), cpuTime(), time.Now()
		time.Sleep(5 * time.Second)
		seconds := time.Since(start).Seconds()
		b.ReportMetric(float64(totalBytes(listeners)-bytes)/seconds, "group-bytes/s")
		b.ReportMetric(100*(cpuTime()-cpu).Seconds()/seconds/3, "core-%/replica")
	}
	_ = leader
}
