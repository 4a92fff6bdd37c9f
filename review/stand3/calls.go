package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// manyDependencies: a client hands in one job whose last step names its earlier steps many times.
func manyDependencies(c *cluster, trouble bool) (int, error) {
	c.enforce = true
	const id = "00000000000000f1"
	lasting := map[string]any{
		"count": 6, "cpu": 2000, "mem_mb": 1000, "estimated_ms": 400, "long_running": true, "max_per_server": 1, "disruption_budget": 1,
	}
	if a := c.call(0, "POST", "/pule252/"+id, job("lasts", lasting)); a.status != 200 {
		return 0, fmt.Errorf("the lasting job was answered %v", a)
	}
	time.Sleep(4 * time.Second)
	c.rec.note("%d of 6 tasks that last are at work", c.running(id))
	if c.running(id) != 6 {
		return 0, fmt.Errorf("the lasting job doesn't work")
	}
	times, names := 390, 60_000
	if !trouble {
		times, names = 2, 255
	}
	var steps []any
	for range 255 {
		steps = append(steps, map[string]any{"count": 1, "cpu": 4000, "estimated_ms": 1000})
	}
	var earlier []int
	for i := range names {
		earlier = append(earlier, i%255)
	}
	steps = append(steps, map[string]any{"count": 1, "cpu": 4000, "estimated_ms": 1000, "depends_on": earlier})
	body, _ := json.Marshal(map[string]any{
		"spec": "ms=1000", "repeat_count": times, "start_at_ms": time.Now().UnixMilli(), "interval_ms": 0, "steps": steps,
	})
	a := c.call(0, "POST", "/pufi791/000000000000b001", body)
	c.rec.note("a job of 256 steps that runs %d times, %d bytes: %v", times, len(body), a)
	for i := range 5 {
		time.Sleep(3 * time.Second)
		path := fmt.Sprintf("/lohu930/%016x", 0xc000+i)
		began := time.Now()
		a := c.call(i, "POST", path, job("ms=500", plainStep(2)))
		c.rec.note("a plain job: %v after %d ms; %d of 6 tasks that last are at work", a, time.Since(began).Milliseconds(), c.running(id))
	}
	const finish, still = 14 * time.Second, 3 * time.Second
	c.rec.note("the clients have sent all; finish_s passes")
	time.Sleep(finish)
	most, used := 0, 0
	for began := time.Now(); time.Since(began) < still; time.Sleep(50 * time.Millisecond) {
		most, used = max(most, c.running(id)), max(used, c.running(""))
	}
	c.noteProcesses()
	c.rec.note("for 3 s at most %d of 6 tasks that last were at work, and %d tasks of up to 4 cores in all on %d minions of 32 cores", most, used, len(c.minions))
	if most == 0 && 2*used*4 < 32*len(c.minions) {
		return broken, nil
	}
	return held, nil
}

// badPaths: a client asks for jobs by a path that isn't text, on many connections. An ordinary client cancels
// its jobs meanwhile.
func badPaths(c *cluster, trouble bool) (int, error) {
	c.enforce = true
	const jobs, each = 6, 800
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < 4*each {
		return 0, fmt.Errorf("%d connections need more descriptors than %d", 3*each, files.Cur)
	}
	var paths, ids []string
	for i := range jobs {
		ids = append(ids, fmt.Sprintf("%016x", 0xa000+i))
		paths = append(paths, "/lohu930/"+ids[i])
		if a := c.call(i, "POST", paths[i], job("ms=60000", plainStep(2))); a.status != 200 {
			return 0, fmt.Errorf("a plain job was answered %v", a)
		}
	}
	name := "%ff%fe"
	if !trouble {
		name = "00000000000000ff"
	}
	asked := &crowd{stop: make(chan struct{})}
	defer close(asked.stop)
	for _, address := range c.callers {
		for i := range each {
			go asked.client(address, "/lohu930/"+name, time.Duration(i)*time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	c.rec.note("%d clients at each entry ask for /lohu930/%s; %d answers, %d connections closed", each, name, asked.answered.Load(), asked.closed.Load())
	const ackTimeout, cancelTime, stopTime = 5 * time.Second, 3 * time.Second, 900 * time.Millisecond
	sent := time.Now()
	open := map[string]bool{}
	for _, path := range paths {
		open[path] = true
	}
	for i := 0; time.Since(sent) < ackTimeout; i++ {
		for _, path := range paths {
			if open[path] {
				if a := c.call(i, "DELETE", path, nil); a.status/100 == 2 || a.status == 410 {
					delete(open, path)
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.rec.note("%d of %d cancellations have no 2xx or 410 after ack_timeout_ms, though they were sent again at all entries", len(open), jobs)
	time.Sleep(time.Until(sent.Add(ackTimeout + cancelTime + stopTime + time.Second)))
	running := 0
	for _, m := range c.minions {
		for _, id := range ids {
			running += m.runningOf(id)
		}
	}
	ready := 0
	for _, address := range c.ready {
		if response, err := http.Get("http://" + address + "/v1/readyz"); err == nil {
			response.Body.Close()
			if response.StatusCode == 200 {
				ready++
			}
		}
	}
	c.rec.note("%d tasks of the cancelled jobs run on stop_timeout_ms later; %d of %d entries say that they are ready", running, ready, len(c.ready))
	c.rec.note("the other client: %d answers, %d connections closed", asked.answered.Load(), asked.closed.Load())
	if len(open) >= 3 && running > 0 {
		return broken, nil
	}
	return held, nil
}

// crowd counts what many clients get.
type crowd struct {
	stop             chan struct{}
	answered, closed atomic.Int64
}

// client asks for a path again and again. It waits for 50 s for each answer.
func (c *crowd) client(address, path string, after time.Duration) {
	for pause := after; ; pause = time.Second {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 50000\r\n\r\n", path, host)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				c.closed.Add(1)
				return
			}
			response.Body.Close()
			c.answered.Add(1)
		}()
		select {
		case <-c.stop:
		case <-done:
		}
		conn.Close()
	}
}

// latinText: a client sends a spec that isn't UTF-8.
func latinText(c *cluster, trouble bool) (int, error) {
	spec := "ms=500 Ciar\xe1n \xd3 Briain"
	if !trouble {
		spec = "ms=500 Ciarán Ó Briain"
	}
	body := []byte(`{"spec":"` + spec + `","steps":[{"count":2,"cpu":500,"mem_mb":200,"estimated_ms":500}]}`)
	a := c.call(0, "POST", "/lohu930/00000000000000c1", body)
	c.rec.note("a job with the spec % x: %v", spec, a)
	time.Sleep(4 * time.Second)
	other := 0
	for _, m := range c.minions {
		for _, s := range m.startsOf("00000000000000c1") {
			c.rec.note("%s is told to start %s with the spec % x", m.id, s.task, s.spec)
			if s.spec != spec {
				other++
			}
		}
	}
	c.rec.note("%d starts carry another spec than the client's", other)
	if other > 0 {
		return broken, nil
	}
	return held, nil
}
