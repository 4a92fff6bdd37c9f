package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a stand-in worker.
const (
	workerCapacity = 8000 // milli-cores
	workerMemoryMB = 64000
	shrunkCapacity = 3000
	shrinkGrace    = 4500 * time.Millisecond // until starts that exceed a capacity that has shrunk count
	crashDelay     = 10 * time.Millisecond   // after the start of a task that crashes its worker
	stopRatio      = 0.9                     // of a run's duration is what its stop takes
	longestStop    = 900 * time.Millisecond
	beatInterval   = 400 * time.Millisecond
	beatDelay      = 30 * time.Millisecond // until the first heartbeat: calls for the incarnation before still arrive
	drainTime      = 2500 * time.Millisecond
	longestHold    = 2 * time.Second
	longestLease   = 6 * time.Second
	slowClock      = 0.985 // of the time that passes
)

// worker stands in for a worker of the platform. It lives through several
// incarnations under one id and address.
type worker struct {
	id    string
	zone  string
	agent string // address for registrations
	check *checker
	note  func(format string, values ...any)
	order func() bool // whether orders of its agent are timely now
	out   func() bool // whether its zone was taken out of service well before

	milliCPU, memoryMB int64 // full capacity
	rack               string
	epoch              time.Time // start of the soak
	noise              float64   // of the tail latencies of services; see latencyNoises

	lives     sync.Mutex // held from the end of an incarnation to the next one
	recutting sync.Mutex // held from a restart before a cut to the end of the cut
	link      gate       // between it and its agent

	mu          sync.Mutex
	address     string // empty before the first incarnation
	listener    net.Listener
	server      *http.Server
	born        int64
	began       time.Time
	sequence    int64
	fence       uint64
	runs        map[taskName]*workerRun
	gone        map[taskName]int64 // highest run stopped or ended here
	ends        []workerEnd
	recorded    int64
	leaseEnd    int64 // on its clock, 0 for none
	mute        bool  // gives no answers
	late        time.Duration
	heldUntil   time.Time // calls that arrive before are carried out then and are not answered
	shrunkSince time.Time // since when it has shrunkCapacity, zero at full capacity
	registered  bool      // a heartbeat of the incarnation was acknowledged
	drains      bool
	drainSince  time.Time // when the draining was acknowledged
	ended       chan struct{}
	changed     chan struct{} // closed at each end, and made anew
	closedByRun bool
}

type workerRun struct {
	number  int64
	spec    string
	began   time.Time
	takes   time.Duration
	fails   bool
	stopped bool
	model   *modelRun // nil but for the mixed load
}

// over reports whether a run has done its work, or its stop takes effect.
func (r *workerRun) over() bool {
	if r.model != nil && !r.stopped {
		return r.model.worked >= r.takes
	}
	return time.Since(r.began) >= r.takes
}

type workerEnd struct {
	position   int64
	task       taskName
	run        int64
	how        string
	checkpoint string
	at         time.Time
	lapsed     bool // the lease lapsed before the end was recorded; who gave it may run the task again
}

// incarnation names the present incarnation.
func (w *worker) incarnation() string { return fmt.Sprintf("%s@%d", w.id, w.born) }

// listen listens at the worker's address, which the first call chooses. The lock is held.
func (w *worker) listen() (net.Listener, error) {
	if w.address != "" {
		return net.Listen("tcp", w.address)
	}
	listener, err := listenAnywhere()
	if err == nil {
		w.address = fmt.Sprint(listener.Addr())
	}
	return listener, err
}

// begin starts a new incarnation.
func (w *worker) begin() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	listener, err := w.listen()
	if err != nil {
		return err
	}
	w.closedByRun = false
	w.born, w.began, w.sequence, w.fence = time.Now().UnixMilli(), time.Now(), 0, 0
	w.runs, w.gone, w.ends, w.recorded, w.leaseEnd = map[taskName]*workerRun{}, map[taskName]int64{}, nil, 0, 0
	w.registered, w.drains, w.drainSince = false, false, time.Time{}
	w.ended, w.changed = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.handle(w.startRun))
	mux.HandleFunc("POST /v1/run-stop", w.handle(w.stopRun))
	mux.HandleFunc("POST /v1/hold", w.handle(w.hold))
	mux.HandleFunc("POST /v1/pace", w.handle(w.paceRun))
	w.listener, w.server = listener, &http.Server{Handler: mux}
	go w.server.Serve(gatedListener{listener, &w.link})
	go w.beat(w.ended)
	go w.work(w.ended)
	w.note("%s has begun", w.incarnation())
	return nil
}

// crash ends the incarnation; nothing of it is left. planned tells that the worker had
// announced its end, which an incarnation that began after the announcement has not.
func (w *worker) crash(planned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closedByRun || w.ended == nil {
		return // it has ended, or has not begun
	}
	w.closedByRun = true
	close(w.ended)
	w.server.Close()
	w.listener.Close() // the server closes only a listener that it already serves
	w.note("%s has ended", w.incarnation())
	w.check.workerGone(w.incarnation(), !planned || !w.drains)
	w.runs = map[taskName]*workerRun{}
}

// restart ends the incarnation and starts the next one after a while.
func (w *worker) restart(after time.Duration, planned bool) {
	w.lives.Lock()
	defer w.lives.Unlock()
	w.crash(planned)
	time.Sleep(after)
	if err := w.begin(); err != nil {
		w.note("%v", err)
	}
}

// restartUnder holds back the worker's calls for a time, then crashes it for another, and
// carries the calls out a while after it has begun again.
func (w *worker) restartUnder(held, down, after time.Duration) {
	w.set(func() { w.heldUntil = time.Now().Add(held + down + after) })
	time.Sleep(held)
	w.restart(down, false)
	w.set(func() { w.heldUntil = time.Time{} })
}

// restartSilently is restartUnder for a worker that takes calls in its next life but carries
// them out only a silent time after the held ones, so that those find no higher fencing token.
func (w *worker) restartSilently(held, down, after, silent time.Duration) {
	w.set(func() { w.heldUntil = time.Now().Add(held + down + after) })
	time.Sleep(held)
	w.restart(down, false)
	w.set(func() { w.heldUntil = time.Now().Add(after + silent) })
	time.Sleep(after + silent)
	w.set(func() { w.heldUntil = time.Time{} })
}

func (w *worker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// call is one decoded call.
type call struct {
	Task       string `json:"task"`
	RunID      int64  `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Cursor     int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
	Checkpoint string `json:"checkpoint"`

	late bool
	born int64 // of the incarnation that took it
}

// handle decodes calls that the present incarnation takes. A mute worker answers nothing; a late one carries the
// call out some seconds later and answers nothing either. The incarnation of that
// moment carries it out: Expect-Instance names the id, which all of them share. The lock is held.
func (w *worker) handle(f func(*call) (int, any)) http.HandlerFunc {
	born := w.born
	return func(out http.ResponseWriter, r *http.Request) {
		c := &call{born: born}
		err := json.NewDecoder(r.Body).Decode(c)
		c.late = w.link.isShut()
		w.link.wait()
		w.mu.Lock()
		mute, late := w.mute, max(w.late, time.Until(w.heldUntil))
		expected := r.Header.Get("Expect-Instance")
		w.mu.Unlock()
		switch {
		case err != nil:
			out.WriteHeader(400)
			return
		case expected != "" && expected != w.id:
			out.WriteHeader(421)
			return
		case late > 0:
			c.late = true
			go func() {
				time.Sleep(late)
				f(c)
			}()
			fallthrough
		case mute:
			<-r.Context().Done()
			return
		}
		status, body := f(c)
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		json.NewEncoder(out).Encode(body)
	}
}

// clockMS is the worker's own clock. The lock is held.
func (w *worker) clockMS() int64 {
	return 100_000 + int64(slowClock*float64(time.Since(w.began).Milliseconds()))
}

func (w *worker) clock(reason string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	body := map[string]any{"clock_ms": w.clockMS()}
	if reason != "" {
		body["reason"] = reason
	}
	return body
}

func parseTaskName(name string) (t taskName) {
	parts := strings.Split(name, ".")
	if len(parts) == 4 {
		t.job = parts[0]
		t.group, _ = strconv.Atoi(parts[2]) // a name that is not one of ours is not known to the checker either
		t.index, _ = strconv.Atoi(parts[3])
	}
	return t
}

func (w *worker) startRun(c *call) (int, any) {
	reason := w.tryStart(c)
	if reason != "" {
		return 409, w.clock(reason)
	}
	return 200, w.clock("")
}

func (w *worker) tryStart(c *call) string {
	timely, out := w.order(), w.out()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closedByRun {
		return "late" // the call is lost
	}
	name := parseTaskName(c.Task)
	if c.Fence < w.fence {
		return "fence"
	}
	w.fence = c.Fence
	w.renew(c.DeadlineMS)
	if run := w.runs[name]; run != nil && run.number == c.RunID {
		return ""
	}
	switch {
	case c.RunID <= w.gone[name] || w.runs[name] != nil:
		return "old"
	case c.DeadlineMS <= w.clockMS():
		return "late"
	}
	run := &workerRun{number: c.RunID, spec: c.Spec, began: time.Now()}
	run.takes, run.fails = taskOf(c.Spec, name, c.RunID)
	if group := mixedGroupOf(c.Spec, name); group != nil {
		run.model = &modelRun{group: group, pace: 100, tailMS: idleTailMS}
		run.takes, run.fails = mixedTaskOf(group, c.Spec, name, c.RunID)
		if done, err := strconv.ParseInt(c.Checkpoint, 10, 64); err == nil {
			run.model.worked = time.Duration(done) * time.Millisecond
		}
	}
	w.runs[name] = run
	if c.born != w.born || !w.registered {
		w.note("%s starts %v run %d, ordered for an earlier incarnation, taken by %d", w.incarnation(), name, c.RunID, c.born)
	}
	w.check.started(start{
		task: name, spec: c.Spec, worker: w.incarnation(), capacity: w.enforcedCapacity(), late: c.late || !timely,
		draining: !w.drainSince.IsZero() && time.Since(w.drainSince) > drainTime, zoneOut: out,
	})
	if crashes(c.Spec, name) {
		time.AfterFunc(crashDelay, func() { w.restart(run.takes, false) })
	}
	return ""
}

// capacity is what the worker reports of its room. The lock is held.
func (w *worker) capacity() int64 {
	if w.shrunkSince.IsZero() {
		return w.milliCPU
	}
	return shrunkCapacity
}

// enforcedCapacity is the room that starts must keep to. The lock is held.
func (w *worker) enforcedCapacity() int64 {
	if time.Since(w.shrunkSince) < shrinkGrace {
		return w.milliCPU
	}
	return w.capacity()
}

// renew extends the lease. The lock is held.
func (w *worker) renew(deadline int64) {
	limit := w.clockMS() + longestLease.Milliseconds()
	w.leaseEnd = max(w.leaseEnd, min(deadline, limit))
}

func (w *worker) stopRun(c *call) (int, any) {
	w.mu.Lock()
	name := parseTaskName(c.Task)
	if w.closedByRun || c.Fence < w.fence {
		w.mu.Unlock()
		return 409, w.clock("fence")
	}
	w.fence = c.Fence
	w.gone[name] = max(w.gone[name], c.RunID)
	if run := w.runs[name]; run != nil && run.number <= c.RunID && !run.stopped {
		stop := runStopTime
		if run.model == nil {
			stop = min(time.Duration(stopRatio*float64(run.takes)), longestStop)
		}
		run.stopped, run.takes, run.fails = true, time.Since(run.began)+stop, false
	}
	w.mu.Unlock()
	return 200, w.clock("")
}

// paceRun sets the pace of a run of the mixed load.
func (w *worker) paceRun(c *call) (int, any) {
	w.mu.Lock()
	if w.closedByRun || c.Fence < w.fence {
		w.mu.Unlock()
		return 409, w.clock("fence")
	}
	w.fence = c.Fence
	if run := w.runs[parseTaskName(c.Task)]; run != nil && run.number == c.RunID && run.model != nil {
		run.model.pace = c.Percent
	}
	w.mu.Unlock()
	return 200, w.clock("")
}

func (w *worker) hold(c *call) (int, any) {
	w.mu.Lock()
	if w.closedByRun || c.Fence < w.fence {
		w.mu.Unlock()
		return 409, w.clock("fence")
	}
	w.fence = c.Fence
	if c.born != w.born {
		w.note("%s is polled with the deadline %d and the token %d, taken by %d", w.incarnation(), c.DeadlineMS, c.Fence, c.born)
	}
	w.renew(c.DeadlineMS)
	w.record(c)
	changed, ended, waiting := w.changed, w.ended, w.recorded == int64(len(w.ends))
	w.mu.Unlock()
	if waiting && c.WaitMS > 0 {
		select {
		case <-changed:
		case <-ended:
		case <-time.After(min(time.Duration(c.WaitMS)*time.Millisecond, longestHold)):
		}
	}
	return 200, w.lists()
}

// record forgets the ends up to a call's position. A call to an earlier incarnation
// tells nothing about whether the ends of this one are recorded. The lock is held.
func (w *worker) record(c *call) {
	for ; w.recorded < min(c.Cursor, int64(len(w.ends))); w.recorded++ {
		if end := w.ends[w.recorded]; !end.lapsed && c.born == w.born {
			w.check.recorded(end.task, end.how, end.at)
		}
	}
}

// maxListedEnds is the number of ends that a worker returns at a time.
const maxListedEnds = 500

func (w *worker) lists() map[string]any {
	body := w.clock("")
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for name, run := range w.runs {
		checkpoint, percent, usage := "", min(100*time.Since(run.began).Milliseconds()/max(run.takes.Milliseconds(), 1), 99), int64(0)
		if run.model != nil {
			checkpoint, percent, usage = run.row()
		}
		running = append(running, []any{name.String(), run.number, checkpoint, percent, usage})
	}
	for _, end := range w.ends[w.recorded:min(w.recorded+maxListedEnds, int64(len(w.ends)))] {
		finished = append(finished, []any{end.position, end.task.String(), end.run, end.how, end.checkpoint})
	}
	body["born"], body["running"], body["finished"] = w.born, running, finished
	return body
}

// work ends the runs whose time has come, and all when the lease is over.
func (w *worker) work(ended chan struct{}) {
	for stepped := time.Now(); ; {
		select {
		case <-ended:
			return
		case <-time.After(modelStep):
		}
		w.mu.Lock()
		now := time.Now()
		w.stepModel(now.Sub(w.epoch), now.Sub(stepped))
		stepped = now
		lapsed := w.leaseEnd > 0 && w.clockMS() > w.leaseEnd
		for i := w.recorded; lapsed && i < int64(len(w.ends)); i++ {
			w.ends[i].lapsed = true
		}
		for name, run := range w.runs {
			switch {
			case lapsed:
				w.end(name, run, "lapsed")
			case !run.over():
			case run.stopped:
				w.end(name, run, "stopped")
			case run.fails:
				w.end(name, run, "failed")
			default:
				w.end(name, run, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end lists the end of a run. The lock is held.
func (w *worker) end(name taskName, run *workerRun, how string) {
	delete(w.runs, name)
	w.gone[name] = max(w.gone[name], run.number)
	checkpoint := ""
	if run.model != nil && run.model.group.Saves {
		checkpoint = saved(run.model.worked)
	}
	w.ends = append(w.ends, workerEnd{position: int64(len(w.ends) + 1), task: name, run: run.number, how: how, checkpoint: checkpoint, at: time.Now()})
	w.check.ended(name, w.incarnation(), how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// beat registers the worker with its agent again and again.
func (w *worker) beat(ended chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: w.link.dial}}
	defer client.CloseIdleConnections()
	for wait := beatDelay; ; wait = beatInterval {
		select {
		case <-ended:
			return
		case <-time.After(wait):
		}
		w.mu.Lock()
		w.sequence++
		state, remaining := "ready", int64(0)
		if w.drains {
			state, remaining = "draining", drainTime.Milliseconds()
		}
		body, err := json.Marshal(map[string]any{
			"service": "svc", "address": w.address, "zone": w.zone, "version": "v1", "state": state,
			"drain_remaining_ms": remaining, "capacity": map[string]any{"cpu": w.capacity(), "mem_mb": w.memoryMB},
			"labels": []string{"a", w.rack}, "sequence": w.sequence, "born": w.born, "machine": "m-" + w.id,
		})
		mute := w.mute
		w.mu.Unlock()
		if err == nil && !mute {
			answer, err := client.Post("http://"+w.agent+"/v1/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
			if err == nil {
				answer.Body.Close()
				w.noteAcknowledged(state)
			}
		}
	}
}

func (w *worker) noteAcknowledged(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registered = true
	if state == "draining" && w.drains && w.drainSince.IsZero() {
		w.drainSince = time.Now()
	}
}
