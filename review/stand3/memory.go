package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

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

// unknownIDs: a client cancels jobs that nobody has handed in.
func unknownIDs(c *cluster, trouble bool) (int, error) {
	c.enforce = true
	paths, err := c.handIn("/lohu930/", 0xa000, 5, "ms=500")
	if err != nil {
		return 0, err
	}
	const connections, lasts = 150, 80 * time.Second
	var sent, answered atomic.Int64
	stop := make(chan struct{})
	for _, address := range c.callers {
		for range connections {
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					cancelMany(address, trouble, &sent, &answered, stop)
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
	}
	for began := time.Now(); time.Since(began) < lasts && c.often() < 2; {
		time.Sleep(5 * time.Second)
		line := ""
		for _, p := range c.control {
			line += fmt.Sprintf(" %d", p.residentKB()>>10)
		}
		c.rec.note("%d cancellations sent, %d answered 410; MiB at the control replicas:%s", sent.Load(), answered.Load(), line)
	}
	close(stop)
	time.Sleep(5 * time.Second)
	missing := c.askFor(paths)
	kills := c.noteProcesses()
	c.rec.note("%d of %d accepted jobs got no answer within finish_s; %d ends over the memory, three or more at %d of 3 control replicas", len(missing), len(paths), kills, c.often())
	if c.often() >= 2 {
		return broken, nil
	}
	return held, nil
}

// cancelMany cancels unknown jobs on one connection until it fails; without the trouble one and the same.
func cancelMany(address string, trouble bool, sent, answered *atomic.Int64, stop chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := uint64(7)
		if trouble {
			id = uint64(sent.Load()+1) * 0x9e3779b97f4a7c15
		}
		sent.Add(1)
		conn.SetDeadline(time.Now().Add(4 * time.Second))
		fmt.Fprintf(conn, "DELETE /lohu930/%016x HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 3000\r\n\r\n", id, host)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == 410 {
			answered.Add(1)
		}
	}
}
