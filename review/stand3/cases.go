package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() {
	cases["timed"] = timedJobs
	cases["path"] = badPaths
	cases["sameid"] = sameID
	cases["gang"] = gangCheckpoints
	cases["writer"] = otherWriter
}

func plainStep(count int) map[string]any {
	return map[string]any{"count": count, "cpu": 500, "mem_mb": 200, "estimated_ms": 500}
}

// handIn hands in plain jobs until each is acknowledged, and returns their paths.
func (c *cluster) handIn(prefix string, first, n int, spec string) (paths []string, err error) {
	for i := range n {
		path := fmt.Sprintf("%s%016x", prefix, first+i)
		if a := c.call(i, "POST", path, job(spec, plainStep(2))); a.status != 200 {
			return nil, fmt.Errorf("a plain job was answered %v", a)
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// askFor asks for accepted jobs for finish_s, and returns those that no entry has answered with a state in
// that time.
func (c *cluster) askFor(paths []string) (missing []string) {
	const finish = 14 * time.Second
	open := map[string]bool{}
	for _, path := range paths {
		open[path] = true
	}
	for i, deadline := 0, time.Now().Add(finish); len(open) > 0 && time.Now().Before(deadline); i++ {
		for _, path := range paths {
			if open[path] && time.Now().Before(deadline) && c.call(i, "GET", path, nil).state != "" {
				delete(open, path)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, path := range paths {
		if open[path] {
			missing = append(missing, path)
		}
	}
	return missing
}

// noteProcesses notes how often the platform has killed processes, and returns the sum.
func (c *cluster) noteProcesses() (kills int) {
	for _, p := range c.processes() {
		p.mu.Lock()
		c.rec.note("%s: at most %d MiB of %d, killed for it %d times, ended by itself %d times", p.name, p.peakKB>>10, p.memoryMB, p.overKill, p.exits-p.overKill)
		kills += p.overKill
		p.mu.Unlock()
	}
	return kills
}

// timedJobs: a client hands in jobs that run each minute, many times.
func timedJobs(c *cluster, trouble bool) (int, error) {
	c.enforce = true
	paths, err := c.handIn("/lohu930/", 0xa000, 5, "ms=500")
	if err != nil {
		return 0, err
	}
	for _, path := range paths {
		if last, ok := c.awaitState(path, 5*time.Second, "completed"); !ok {
			return 0, fmt.Errorf("a plain job isn't done: %v", last)
		}
	}
	times := 100_000
	if !trouble {
		times = 10
	}
	begin := time.Now().Add(time.Hour).UnixMilli()
	for i := range 12 {
		body, _ := json.Marshal(map[string]any{
			"spec": "ms=500", "repeat_count": times, "start_at_ms": begin, "interval_ms": 60_000,
			"steps": []any{plainStep(1)},
		})
		path := fmt.Sprintf("/lohu930/%016x", 0xb000+i)
		a := c.call(i, "POST", path, body)
		c.rec.note("a job that runs %d times, %d bytes: %v", times, len(body), a)
		if a.status == 200 {
			paths = append(paths, path)
		}
	}
	time.Sleep(20 * time.Second)
	c.rec.note("the client has sent nothing for 20 s; the accepted jobs are asked for")
	missing := c.askFor(paths)
	plain := c.call(0, "POST", "/lohu930/000000000000c001", job("ms=500", plainStep(2)))
	c.rec.note("a new plain job: %v", plain)
	kills := c.noteProcesses()
	c.rec.note("%d of %d accepted jobs got no answer within finish_s; %d ends over the memory", len(missing), len(paths), kills)
	if len(missing) > 0 {
		return broken, nil
	}
	return held, nil
}

// sameID: two clients of two queues choose the same id.
func sameID(c *cluster, trouble bool) (int, error) {
	other := "/pufi791/00000000000000a1"
	if !trouble {
		other = "/pufi791/00000000000000a2"
	}
	first := "/lohu930/00000000000000a1"
	a := c.call(0, "POST", first, job("ms=3000", plainStep(2)))
	c.rec.note("client 1: POST %s: %v", first, a)
	if a.status != 200 {
		return 0, fmt.Errorf("the first job was answered %v", a)
	}
	a = c.call(1, "POST", other, job("ms=700", plainStep(3)))
	c.rec.note("client 2: POST %s: %v", other, a)
	accepted := a.status/100 == 2
	time.Sleep(6 * time.Second) // visible_ms is 3 s
	lost := false
	if accepted {
		look := c.call(1, "GET", other, nil)
		ran := 0
		for _, m := range c.minions {
			m.mu.Lock()
			for _, s := range m.starts {
				if s.spec == "ms=700" {
					ran++
				}
			}
			m.mu.Unlock()
		}
		c.rec.note("client 2: GET %s: %v; %d of its 3 tasks have started", other, look, ran)
		lost = look.status == 410
	}
	// The other way round: the second client cancels.
	third, fourth := "/lohu930/00000000000000b1", "/pufi791/00000000000000b1"
	if !trouble {
		fourth = "/pufi791/00000000000000b2"
	}
	a = c.call(0, "POST", third, job("ms=8000", plainStep(2)))
	c.rec.note("client 1: POST %s: %v", third, a)
	if a.status != 200 {
		return 0, fmt.Errorf("the third job was answered %v", a)
	}
	time.Sleep(time.Second)
	c.rec.note("client 2: DELETE %s: %v", fourth, c.call(1, "DELETE", fourth, nil))
	time.Sleep(2 * time.Second)
	look := c.call(0, "GET", third, nil)
	c.rec.note("client 1, which has not cancelled: GET %s: %v", third, look)
	foreign := look.state == "cancelled"
	c.rec.note("an accepted job that nobody cancelled is answered 410: %v; one is shown as cancelled by another's call: %v", lost, foreign)
	if lost || foreign {
		return broken, nil
	}
	return held, nil
}

// gangCheckpoints: a minion crashes under members of gangs that save their progress.
func gangCheckpoints(c *cluster, trouble bool) (int, error) {
	step := map[string]any{
		"count": 4, "cpu": 6000, "mem_mb": 1000, "estimated_ms": 9000, "gang": true, "checkpointing": true, "max_per_server": 1,
	}
	var ids []string
	for i := range 3 {
		id := fmt.Sprintf("%016x", 0xd1+i)
		a := c.call(0, "POST", "/pufi791/"+id, job("ms=9000 saves=1 gang=4", step))
		c.rec.note("a gang of 4 that saves, %s: %v", id, a)
		if a.status != 200 {
			return 0, fmt.Errorf("the job was answered %v", a)
		}
		ids = append(ids, id)
		time.Sleep(170 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		most := c.minions[0]
		for _, m := range c.minions {
			if m.runs() > most.runs() {
				most = m
			}
		}
		most.crash()
		time.Sleep(4500 * time.Millisecond)
		if err := most.begin(); err != nil {
			return 0, err
		}
	}
	differ := 0
	for _, id := range ids {
		last, _ := c.awaitState("/pufi791/"+id, 30*time.Second, "completed", "failed")
		c.rec.note("%s: %v", id, last)
		carried := map[int64]map[string][]string{}
		for _, m := range c.minions {
			for _, s := range m.startsOf(id) {
				if carried[s.run] == nil {
					carried[s.run] = map[string][]string{}
				}
				carried[s.run][s.saved] = append(carried[s.run][s.saved], s.task)
			}
		}
		for run, values := range carried {
			for value, tasks := range values {
				c.rec.note("run %d: checkpoint %q is carried by %v", run, value, tasks)
			}
			if len(values) > 1 {
				differ++
			}
		}
	}
	c.rec.note("runs of gangs whose members carry different checkpoints: %d", differ)
	if differ > 0 {
		return broken, nil
	}
	return held, nil
}

// otherWriter: another writer sends a heartbeat of a service that no configuration names.
func otherWriter(c *cluster, trouble bool) (int, error) {
	ports, err := freePorts(c.prefix+"9", 1)
	if err != nil {
		return 0, err
	}
	if trouble {
		for i, m := range c.minions {
			body, _ := json.Marshal(map[string]any{
				"service": "kuwe7z", "address": fmt.Sprintf("%s9:%d", c.prefix, ports[0]), "zone": m.zone, "version": "v1", "slots": 8,
				"state": "ready", "cold_remaining_ms": 0, "capacity": map[string]any{"cpu": 16000, "mem_mb": 32768, "gpu": 0},
				"labels": []string{"a", m.rack}, "clock_ms": 1000, "sequence": 1, "born": time.Now().UnixMilli(), "machine": "m-x",
			})
			response, err := http.Post(fmt.Sprintf("http://%s/v1/Instances.Heartbeat/i-9%07d", m.agent, i), "application/json", bytes.NewReader(body))
			if err != nil {
				return 0, err
			}
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			c.rec.note("another writer's heartbeat at %s: %d %s", m.id, response.StatusCode, bytes.TrimSpace(text))
		}
	}
	time.Sleep(8 * time.Second)
	const path = "/lohu930/00000000000000e1"
	a := c.call(0, "POST", path, job("ms=500", plainStep(2)))
	c.rec.note("a plain job, 8 s later: %v", a)
	if a.status != 200 {
		return 0, fmt.Errorf("the job was answered %v", a)
	}
	last, done := c.awaitState(path, 30*time.Second, "completed")
	starts := 0
	for _, m := range c.minions {
		starts += len(m.startsOf("00000000000000e1"))
		m.mu.Lock()
		c.rec.note("%s: %d heartbeats acknowledged, %d tasks running", m.id, m.beats, len(m.running))
		m.mu.Unlock()
	}
	c.rec.note("30 s later the job is %v, with %d starts, on %d empty minions", last, starts, len(c.minions))
	if !done && starts == 0 {
		return broken, nil
	}
	return held, nil
}

// badPaths: a client asks for jobs by a path that isn't text, on many connections. An ordinary client cancels
// its jobs meanwhile.
func badPaths(c *cluster, trouble bool) (int, error) {
	c.enforce = true
	const jobs, each = 6, 800
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
