package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// ledger holds what all minions have seen of the tasks: their runs.
type ledger struct {
	mu   sync.Mutex
	runs []*ledgerRun
}

// ledgerRun is one start that a minion has begun.
type ledgerRun struct {
	task     string
	run      int64
	minion   string // id
	born     int64
	zone     string
	labels   []string
	began    time.Time
	ended    time.Time // zero while it runs
	how      string
	position int64
	noted    time.Time // when ack_cursor reached its end; zero before
	lapsed   bool      // the lease lapsed between the end and that
}

// minion is a stand-in for a minion, as PROTOCOL.md tells of it.
type minion struct {
	rec      *record
	ledger   *ledger
	id       string
	machine  *machine
	address  string // of its calls
	agent    string // control_plane address of its machine
	takes    func(task string) time.Duration
	labels   []string
	capacity int64
	memory   int64

	mu       sync.Mutex
	up       bool
	born     int64
	began    time.Time
	sequence int64

	acknowledged   int64 // sequence of the latest heartbeat that was acknowledged, 0 before
	acknowledgedAt time.Time

	fence    uint64
	running  map[string]*ledgerRun
	gone     map[string]int64 // highest run stopped or ended here
	ends     []*ledgerRun
	cursor   int64
	leaseEnd int64 // on its clock, 0 for none
	stopping map[string]time.Time
	mute     time.Time // until when it leaves calls unanswered, and does not carry them out
	changed  chan struct{}
	over     chan struct{} // closed when the incarnation ends
	server   *http.Server
	listener net.Listener
}

// maxFinished is the number of ends in one response: "500 at a time".
const maxFinished = 500

// lasts stands for the duration of a task that lasts.
const lasts = 24 * time.Hour

// tick is how often the minion looks for runs that are done.
const tick = 4 * time.Millisecond

func newMinion(d *deployment, l *ledger, m *machine, id string, takes func(string) time.Duration) *minion {
	return &minion{
		rec: d.rec, ledger: l, id: id, machine: m, takes: takes, labels: []string{"a", "r-" + m.zone},
		address: fmt.Sprintf("%s:%d", m.ip, d.ports.app), agent: fmt.Sprintf("%s:%d", m.ip, d.ports.control),
		capacity: 32000, memory: 128000,
	}
}

// begin starts an incarnation: it listens, and sends its first heartbeat at once.
func (w *minion) begin() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.born, w.began = true, time.Now().UnixMilli(), time.Now()
	w.sequence, w.fence, w.cursor, w.leaseEnd, w.acknowledged = 0, 0, 0, 0, 0
	w.running, w.gone, w.stopping, w.ends = map[string]*ledgerRun{}, map[string]int64{}, map[string]time.Time{}, nil
	w.changed, w.over = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(200) })
	mux.HandleFunc("POST /v1/run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /v1/run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /v1/hold", w.handle(w.hold))
	mux.HandleFunc("POST /v1/pace", w.handle(func(*call) (int, any) { return 200, w.clockBody("") }))
	w.listener, w.server = listener, &http.Server{Handler: mux}
	go w.server.Serve(listener)
	go w.work(w.over)
	go w.beat(w.over)
	w.rec.note("minion %s begins, born %d, labels %v", w.id, w.born, w.labels)
	return nil
}

// end ends the incarnation without notice: all that runs on it is gone.
func (w *minion) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	close(w.over)
	w.server.Close()
	w.listener.Close()
	w.ledger.mu.Lock()
	for _, r := range w.running {
		r.ended, r.how = time.Now(), "gone with its minion"
	}
	w.ledger.mu.Unlock()
	w.rec.note("minion %s has crashed with %d runs", w.id, len(w.running))
}

// call is a call's body.
type call struct {
	Task       string `json:"task"`
	RunID      int64  `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Cursor     int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`

	over chan struct{}
}

func (w *minion) handle(f func(*call) (int, any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		c := &call{}
		if err := json.NewDecoder(r.Body).Decode(c); err != nil {
			out.WriteHeader(400)
			return
		}
		w.mu.Lock()
		mute := time.Now().Before(w.mute)
		c.over = w.over
		w.mu.Unlock()
		if mute {
			<-r.Context().Done()
			return
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			out.WriteHeader(421)
			return
		}
		status, body := f(c)
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		json.NewEncoder(out).Encode(body)
	}
}

// clock is the minion's own clock. The lock is held.
func (w *minion) clock() int64 { return 100_000 + time.Since(w.began).Milliseconds() }

func (w *minion) clockBody(reason string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	body := map[string]any{"clock_ms": w.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	return body
}

// renew extends the lease, which never shortens. The lock is held.
func (w *minion) renew(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+holdMaxMS))
}

// fenced takes a call's token, and reports whether it is too low. The lock is held.
func (w *minion) fenced(c *call) bool {
	if c.Fence < w.fence {
		return true
	}
	w.fence = c.Fence
	return false
}

func (w *minion) runStart(c *call) (int, any) {
	if reason := w.tryStart(c); reason != "" {
		w.rec.note("minion %s: run-start %s run %d refused: %s", w.id, c.Task, c.RunID, reason)
		return 409, w.clockBody(reason)
	}
	return 200, w.clockBody("")
}

func (w *minion) tryStart(c *call) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.fenced(c) {
		return "fence"
	}
	if r := w.running[c.Task]; r != nil && r.run == c.RunID {
		w.renew(c.DeadlineMS)
		return ""
	}
	if c.RunID <= w.gone[c.Task] || w.running[c.Task] != nil {
		w.renew(c.DeadlineMS)
		return "old"
	}
	if c.DeadlineMS <= w.clock() {
		return "late"
	}
	w.renew(c.DeadlineMS)
	r := &ledgerRun{task: c.Task, run: c.RunID, minion: w.id, born: w.born, zone: w.machine.zone, labels: w.labels, began: time.Now()}
	w.running[c.Task] = r
	w.ledger.mu.Lock()
	w.ledger.runs = append(w.ledger.runs, r)
	w.ledger.mu.Unlock()
	w.rec.note("minion %s: %s run %d begins", w.id, c.Task, c.RunID)
	return ""
}

func (w *minion) runStop(c *call) (int, any) {
	w.mu.Lock()
	if !w.up || w.fenced(c) {
		w.mu.Unlock()
		return 409, w.clockBody("fence")
	}
	if r := w.running[c.Task]; r != nil && r.run <= c.RunID && w.stopping[c.Task].IsZero() {
		w.stopping[c.Task] = time.Now().Add(stopTimeout / 3)
	}
	w.gone[c.Task] = max(w.gone[c.Task], c.RunID)
	w.rec.note("minion %s: run-stop %s run %d", w.id, c.Task, c.RunID)
	w.mu.Unlock()
	return 200, w.clockBody("")
}

func (w *minion) hold(c *call) (int, any) {
	w.mu.Lock()
	if !w.up || w.fenced(c) {
		w.mu.Unlock()
		return 409, w.clockBody("fence")
	}
	w.renew(c.DeadlineMS)
	w.forget(c.Cursor)
	changed, waits := w.changed, int64(len(w.ends)) == w.cursor
	w.mu.Unlock()
	if waits && c.WaitMS > 0 {
		select {
		case <-changed:
		case <-c.over:
		case <-time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond):
		}
	}
	return 200, w.lists()
}

// forget notes the ends up to the cursor. The lock is held.
func (w *minion) forget(cursor int64) {
	if cursor > w.cursor {
		w.rec.note("minion %s: ack_cursor %d, of %d ends", w.id, cursor, len(w.ends))
	}
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for ; w.cursor < min(cursor, int64(len(w.ends))); w.cursor++ {
		w.ends[w.cursor].noted = time.Now()
	}
}

func (w *minion) lists() map[string]any {
	body := w.clockBody("")
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.run, "", w.percent(r), 0})
	}
	for _, r := range w.ends[w.cursor:] {
		if len(finished) == maxFinished {
			break
		}
		finished = append(finished, []any{r.position, r.task, r.run, r.how, ""})
	}
	body["born"], body["running"], body["finished"] = w.born, running, finished
	return body
}

// startup is the time until a task that lasts is at work.
const startup = 400 * time.Millisecond

// percent is the progress of a run: 100 for a task that lasts and is at work.
func (w *minion) percent(r *ledgerRun) int {
	if w.takes(r.task) == lasts {
		return int(math.Min(100*float64(time.Since(r.began))/float64(startup), 100))
	}
	return int(math.Min(100*float64(time.Since(r.began))/float64(w.takes(r.task)), 99))
}

// work ends the runs whose time has come, and all when the lease is over.
func (w *minion) work(over chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(tick):
		}
		w.mu.Lock()
		w.ledger.mu.Lock()
		lapsed := w.leaseEnd > 0 && w.clock() > w.leaseEnd
		if lapsed {
			for _, r := range w.ends[w.cursor:] {
				r.lapsed = true
			}
		}
		var tasks []string
		for task := range w.running {
			tasks = append(tasks, task)
		}
		sort.Strings(tasks)
		for _, task := range tasks {
			r, stop := w.running[task], w.stopping[task]
			switch {
			case lapsed:
				w.list(r, "lapsed")
			case time.Since(r.began) >= w.takes(task):
				w.list(r, "done")
			case !stop.IsZero() && time.Now().After(stop):
				w.list(r, "stopped")
			}
		}
		w.ledger.mu.Unlock()
		w.mu.Unlock()
	}
}

// list lists the end of a run. Both locks are held.
func (w *minion) list(r *ledgerRun, how string) {
	delete(w.running, r.task)
	delete(w.stopping, r.task)
	w.gone[r.task] = max(w.gone[r.task], r.run)
	r.ended, r.how, r.position = time.Now(), how, int64(len(w.ends)+1)
	w.ends = append(w.ends, r)
	w.rec.note("minion %s: %s run %d ends %s, listed at %d", w.id, r.task, r.run, how, r.position)
	close(w.changed)
	w.changed = make(chan struct{})
}

// beat sends heartbeats to the agent on the minion's machine, the first one at once.
func (w *minion) beat(over chan struct{}) {
	for {
		w.mu.Lock()
		w.sequence++
		body := map[string]any{
			"service": service, "address": w.address, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": w.capacity, "mem_mb": w.memory, "gpu": 0},
			"labels": w.labels, "clock_ms": w.clock(), "sequence": w.sequence, "born": w.born, "machine": "m-" + w.machine.name,
		}
		w.mu.Unlock()
		sent := time.Now()
		a := send("POST", w.agent, "/v1/Instances.Heartbeat/"+w.id, "", body, time.Second)
		wait := w.noteBeat(a, sent)
		select {
		case <-over:
			return
		case <-time.After(wait):
		}
	}
}

// noteBeat notes the answer to a heartbeat, and returns the time until the next one: a heartbeat_ms
// after this one was sent. An agent that has not answered any may not listen yet.
func (w *minion) noteBeat(a answer, sent time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.note("minion %s: heartbeat %d: %d %.60s", w.id, w.sequence, a.status, a.body)
	if a.status/100 == 2 {
		w.acknowledged, w.acknowledgedAt = w.sequence, sent
	} else if w.acknowledged == 0 {
		return 200 * time.Millisecond
	}
	return time.Until(sent.Add(heartbeatTime))
}

// spread returns a number from 0 to 1 for a task, always the same.
func spread(task string) float64 {
	h := fnv.New64a()
	h.Write([]byte(task))
	return float64(h.Sum64()%10007) / 10007
}
