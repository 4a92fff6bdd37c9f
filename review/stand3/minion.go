package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// minion is a sound server of the platform: it does what PROTOCOL.md says under "Running tasks" and
// "Service discovery", and nothing else. The spec of a task tells it how long the task takes: "ms=800" or
// "lasts".
type minion struct {
	id, service, zone, rack string
	agent                   string // address for heartbeats
	cpu, memMB              int64
	rec                     *recorder

	mu       sync.Mutex
	address  string
	born     int64
	began    time.Time
	fence    uint64
	lease    int64 // on its clock, 0 for none
	running  map[string]*taskRun
	gone     map[string]int64 // highest run stopped or ended here
	finished []finishedRun
	position int64
	sequence int64
	changed  chan struct{}
	starts   []startRecord
	server   *http.Server
	quit     chan struct{}
	beats    int // heartbeats that were acknowledged
}

type taskRun struct {
	run     int64
	began   time.Time
	takes   time.Duration // 0: lasts
	stopped time.Time
}

type finishedRun struct {
	n    int64
	task string
	run  int64
	how  string
}

type startRecord struct {
	at   time.Time
	task string
	run  int64
	spec string
}

const leaseLimit = 6 * time.Second

func (m *minion) start(ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	m.address = listener.Addr().String()
	m.born, m.began = time.Now().UnixMilli(), time.Now()
	m.running, m.gone, m.changed, m.quit = map[string]*taskRun{}, map[string]int64{}, make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.handle(m.runStart))
	mux.HandleFunc("POST /v1/run-stop", m.handle(m.runStop))
	mux.HandleFunc("POST /v1/pace", m.handle(func(*orderBody) (int, map[string]any) { return 200, map[string]any{} }))
	mux.HandleFunc("POST /v1/hold", m.hold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	m.server = &http.Server{Handler: mux}
	go m.server.Serve(listener)
	go m.beat()
	go m.work()
	return nil
}

func (m *minion) clock() int64 { return 100_000 + time.Since(m.began).Milliseconds() }

type orderBody struct {
	Task     string `json:"task"`
	Run      int64  `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	WaitMS   int64  `json:"wait_ms"`
}

func (m *minion) handle(f func(*orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body orderBody
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(400)
			return
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
			w.WriteHeader(421)
			return
		}
		m.mu.Lock()
		status, answer := 409, map[string]any{"reason": "fence"}
		if body.Fence >= m.fence {
			m.fence = body.Fence
			status, answer = f(&body)
		}
		answer["clock_ms"] = m.clock()
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(answer)
	}
}

func (m *minion) renew(deadline int64) {
	m.lease = max(m.lease, min(deadline, m.clock()+leaseLimit.Milliseconds()))
}

func (m *minion) runStart(b *orderBody) (int, map[string]any) {
	m.renew(b.Deadline)
	if r := m.running[b.Task]; r != nil && r.run == b.Run {
		return 200, map[string]any{}
	}
	switch {
	case m.running[b.Task] != nil || b.Run <= m.gone[b.Task]:
		return 409, map[string]any{"reason": "old"}
	case b.Deadline <= m.clock():
		return 409, map[string]any{"reason": "late"}
	}
	run := &taskRun{run: b.Run, began: time.Now()}
	for _, word := range strings.Fields(b.Spec) {
		name, value, _ := strings.Cut(word, "=")
		number, _ := strconv.Atoi(value)
		switch name {
		case "ms":
			run.takes = time.Duration(number) * time.Millisecond
		}
	}
	m.running[b.Task] = run
	m.starts = append(m.starts, startRecord{time.Now(), b.Task, b.Run, b.Spec})
	if len(m.starts) <= 2000 {
		m.rec.detail("%s starts %s run %d, spec %q", m.id, b.Task, b.Run, b.Spec)
	}
	return 200, map[string]any{}
}

func (m *minion) runStop(b *orderBody) (int, map[string]any) {
	if r := m.running[b.Task]; r != nil && r.run <= b.Run && r.stopped.IsZero() {
		r.stopped = time.Now()
	}
	m.gone[b.Task] = max(m.gone[b.Task], b.Run)
	return 200, map[string]any{}
}

func (m *minion) end(task string, r *taskRun, how string) {
	m.position++
	m.finished = append(m.finished, finishedRun{n: m.position, task: task, run: r.run, how: how})
	m.gone[task] = max(m.gone[task], r.run)
	delete(m.running, task)
	if m.position <= 2000 {
		m.rec.detail("%s ends %s run %d %s", m.id, task, r.run, how)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) work() {
	for {
		select {
		case <-m.quit:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		for task, r := range m.running {
			switch {
			case m.lease < m.clock():
				m.end(task, r, "lapsed")
			case !r.stopped.IsZero() && time.Since(r.stopped) > 100*time.Millisecond:
				m.end(task, r, "stopped")
			case r.stopped.IsZero() && r.takes > 0 && time.Since(r.began) >= r.takes:
				m.end(task, r, "done")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var b orderBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(400)
		return
	}
	m.mu.Lock()
	if b.Fence < m.fence {
		answer := map[string]any{"reason": "fence", "clock_ms": m.clock()}
		m.mu.Unlock()
		w.WriteHeader(409)
		json.NewEncoder(w).Encode(answer)
		return
	}
	m.fence = b.Fence
	m.renew(b.Deadline)
	for len(m.finished) > 0 && m.finished[0].n <= b.Cursor {
		m.finished = m.finished[1:]
	}
	changed, wait := m.changed, len(m.finished) == 0 && b.WaitMS > 0
	m.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(b.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for task, r := range m.running {
		percent := 100
		if r.takes > 0 {
			percent = int(min(99, 100*time.Since(r.began)/r.takes))
		}
		running = append(running, []any{task, r.run, "", percent, 0})
	}
	for _, f := range m.finished[:min(len(m.finished), 500)] {
		finished = append(finished, []any{f.n, f.task, f.run, f.how, ""})
	}
	answer := map[string]any{"clock_ms": m.clock(), "born": m.born, "running": running, "finished": finished}
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

func (m *minion) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		m.mu.Lock()
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": 0},
			"labels": []string{"a", m.rack}, "clock_ms": m.clock(), "sequence": m.sequence, "born": m.born, "machine": "m-" + m.id,
		})
		m.mu.Unlock()
		response, err := client.Post(fmt.Sprintf("http://%s/v1/Instances.Heartbeat/%s", m.agent, m.id), "application/json", bytes.NewReader(body))
		pause := 300 * time.Millisecond
		if err == nil {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode == 200 {
				pause = 1500 * time.Millisecond
				m.mu.Lock()
				m.beats++
				m.mu.Unlock()
			}
		}
		select {
		case <-m.quit:
			return
		case <-time.After(pause):
		}
	}
}

// stop ends the minion's loops and its listener.
func (m *minion) stop() {
	close(m.quit)
	m.server.Close()
}

// runningOf returns how many tasks of a job run, of all jobs for an empty id.
func (m *minion) runningOf(job string) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for task := range m.running {
		if job == "" || strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// startsOf returns the starts of the tasks of a job.
func (m *minion) startsOf(job string) (starts []startRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.starts {
		if strings.HasPrefix(s.task, job+".") {
			starts = append(starts, s)
		}
	}
	return starts
}
