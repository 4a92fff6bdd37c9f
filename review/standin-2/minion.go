package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// minion stands in for a minion of the platform, through several lives.
type minion struct {
	fleet *fleet
	id    string
	ip    string
	zone  string
	rack  string

	mu       sync.Mutex
	server   *http.Server
	alive    bool
	born     int64
	began    time.Time
	sequence int64
	fence    uint64
	leaseEnd int64 // on its clock
	runs     map[string]*run
	gone     map[string]int64
	ends     []runEnd
	acked    int64
	polled   bool
	changed  chan struct{}
	life     context.Context
	cancel   context.CancelFunc
}

// run is one run of a task on a minion.
type run struct {
	task       string
	number     int64
	spec       string
	checkpoint string
	began      time.Time
	worked     time.Duration // done so far
	stoppedAt  time.Time
	gang       *gang
	plan       taskPlan
}

// taskPlan tells how a task behaves. The case decides it by the task's spec.
type taskPlan struct {
	work   time.Duration
	saves  bool
	lasts  bool
	gangOf int // number of members, 0 for none
	fails  bool
	kills  time.Duration // after which the task crashes its minion, 0 for never
}

type runEnd struct {
	position int64
	task     string
	number   int64
	how      string
	saved    string
	at       time.Time
}

func newMinion(f *fleet, i int, ip, zone string) *minion {
	return &minion{fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), ip: ip, zone: zone, rack: fmt.Sprintf("r%d", 1+i/3)}
}

func (m *minion) address() string { return fmt.Sprintf("%s:%d", m.ip, portMinion) }

func (m *minion) begin() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	listener, err := net.Listen("tcp", m.address())
	if err != nil {
		return err
	}
	m.alive, m.born, m.began, m.sequence, m.fence, m.leaseEnd = true, time.Now().UnixMilli(), time.Now(), 0, 0, 0
	m.runs, m.gone, m.ends, m.acked, m.polled = map[string]*run{}, map[string]int64{}, nil, 0, false
	m.changed = make(chan struct{})
	m.life, m.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.serve(m.startRun))
	mux.HandleFunc("POST /v1/run-stop", m.serve(m.stopRun))
	mux.HandleFunc("POST /v1/hold", m.serve(m.hold))
	mux.HandleFunc("POST /v1/pace", m.serve(m.pace))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	m.server = &http.Server{Handler: mux}
	go m.server.Serve(listener)
	go m.beat(m.life)
	go m.work(m.life)
	m.fleet.record.note("minion %s begins, born %d", m.id, m.born)
	return nil
}

// crash ends the minion's life; nothing of it is left.
func (m *minion) crash() { m.crashUnder(nil) }

// crashUnder is crash; r is the run that has caused it, nil for none.
func (m *minion) crashUnder(r *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive {
		return
	}
	m.alive = false
	m.cancel()
	m.server.Close()
	e := event{kind: "crash", minion: m.id}
	if r != nil {
		e.task, e.run, e.spec = r.task, r.number, r.spec
	}
	m.fleet.record.event(e)
	for _, other := range m.runs {
		if other.gang != nil {
			go other.gang.leave(m, other, "crash")
		}
	}
	m.runs = map[string]*run{}
}

// killedBy crashes the minion under a run that is still on it, and begins its next life
// some seconds later.
func (m *minion) killedBy(r *run, life context.Context) {
	m.mu.Lock()
	there := life.Err() == nil && m.runs[r.task] == r && r.stoppedAt.IsZero()
	m.mu.Unlock()
	if !there {
		return
	}
	m.crashUnder(r)
	time.Sleep(minionDown)
	if m.fleet.closed.Load() {
		return
	}
	if err := m.begin(); err != nil {
		m.fleet.record.note("minion %s does not begin: %v", m.id, err)
	}
}

// minionDown is how long a minion is down after a task has crashed it.
const minionDown = 3 * time.Second

// crashWhileStarting crashes the minion if it began a run of a job whose id begins so
// less than a time ago, and reports whether it did.
func (m *minion) crashWhileStarting(job string, within time.Duration) bool {
	m.mu.Lock()
	starting := false
	for _, r := range m.runs {
		starting = starting || strings.HasPrefix(r.task, job) && time.Since(r.began) < within
	}
	m.mu.Unlock()
	if starting {
		m.crash()
	}
	return starting
}

func (m *minion) wasPolled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.polled
}

func (m *minion) clock() int64 { return 100_000 + time.Since(m.began).Milliseconds() }

// request holds the fields of all calls.
type request struct {
	Task       string `json:"task"`
	RunID      int64  `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Cursor     int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (m *minion) serve(f func(request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
			w.WriteHeader(421)
			return
		}
		var c request
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(400)
			return
		}
		status, body := f(c)
		if status == 0 {
			panic(http.ErrAbortHandler) // the minion has crashed: no answer
		}
		m.mu.Lock()
		body["clock_ms"], body["born"] = m.clock(), m.born
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(body)
	}
}

func refused(reason string) (int, map[string]any) { return 409, map[string]any{"reason": reason} }

// checkFence keeps the highest fencing token. The lock is held.
func (m *minion) checkFence(c request) bool {
	if c.Fence < m.fence {
		return false
	}
	m.fence = c.Fence
	return true
}

func (m *minion) renew(deadline int64) {
	m.leaseEnd = max(m.leaseEnd, min(deadline, m.clock()+holdMax.Milliseconds()))
}

func (m *minion) startRun(c request) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive {
		return 0, nil
	}
	if !m.checkFence(c) {
		return refused("fence")
	}
	if r := m.runs[c.Task]; r != nil && r.number == c.RunID {
		return 200, map[string]any{}
	}
	m.renew(c.DeadlineMS)
	if c.RunID <= m.gone[c.Task] || m.runs[c.Task] != nil {
		return refused("old")
	}
	if c.DeadlineMS <= m.clock() {
		return refused("late")
	}
	r := &run{task: c.Task, number: c.RunID, spec: c.Spec, checkpoint: c.Checkpoint, began: time.Now(), plan: planOf(c.Spec)}
	r.worked = progressOf(c.Checkpoint)
	m.runs[c.Task] = r
	m.fleet.record.event(event{kind: "start", minion: m.id, task: c.Task, run: c.RunID, detail: "checkpoint " + strconv.Quote(c.Checkpoint), spec: c.Spec})
	if r.plan.gangOf > 0 {
		r.gang = m.fleet.hub.join(m, r)
	}
	if r.plan.kills > 0 {
		life := m.life
		time.AfterFunc(r.plan.kills, func() { m.killedBy(r, life) })
	}
	return 200, map[string]any{}
}

func (m *minion) stopRun(c request) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive {
		return 0, nil
	}
	if !m.checkFence(c) {
		return refused("fence")
	}
	m.gone[c.Task] = max(m.gone[c.Task], c.RunID)
	if r := m.runs[c.Task]; r != nil && r.number <= c.RunID && r.stoppedAt.IsZero() {
		r.stoppedAt = time.Now()
		m.fleet.record.event(event{kind: "stop", minion: m.id, task: c.Task, run: c.RunID})
	}
	return 200, map[string]any{}
}

func (m *minion) pace(c request) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive {
		return 0, nil
	}
	m.checkFence(c)
	return 200, map[string]any{}
}

func (m *minion) hold(c request) (int, map[string]any) {
	m.mu.Lock()
	if !m.alive {
		m.mu.Unlock()
		return 0, nil
	}
	if !m.checkFence(c) {
		m.mu.Unlock()
		return refused("fence")
	}
	m.polled = true
	m.renew(c.DeadlineMS)
	for m.acked < min(c.Cursor, int64(len(m.ends))) {
		m.acked++
		end := m.ends[m.acked-1]
		m.fleet.record.event(event{kind: "noted", minion: m.id, task: end.task, run: end.number, detail: end.how})
	}
	changed, waiting, life := m.changed, m.acked == int64(len(m.ends)), m.life
	m.mu.Unlock()
	if waiting && c.WaitMS > 0 {
		select {
		case <-changed:
		case <-life.Done():
		case <-time.After(min(time.Duration(c.WaitMS)*time.Millisecond, 2*time.Second)):
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if life.Err() != nil {
		return 0, nil
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.number, r.saved(), r.percent(), 480})
	}
	for _, end := range m.ends[m.acked:min(m.acked+500, int64(len(m.ends)))] {
		finished = append(finished, []any{end.position, end.task, end.number, end.how, end.saved})
	}
	return 200, map[string]any{"running": running, "finished": finished}
}

// A checkpoint is the work done, in milliseconds, as 8 hexadecimal digits, and a part of
// the job's id.
func checkpointOf(worked time.Duration, task string) string {
	return fmt.Sprintf("%08x%s", worked.Milliseconds(), strings.Split(task, ".")[0][:8])
}

func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	ms, _ := strconv.ParseInt(checkpoint[:8], 16, 64)
	return time.Duration(ms) * time.Millisecond
}

// saved is the latest checkpoint: a new one comes with each checkpointGap of work.
func (r *run) saved() string {
	if !r.plan.saves {
		return ""
	}
	if done := r.worked.Truncate(checkpointGap); done > progressOf(r.checkpoint) {
		return checkpointOf(done, r.task)
	}
	return r.checkpoint
}

func (r *run) percent() int64 {
	if r.plan.lasts {
		if time.Since(r.began) > 500*time.Millisecond {
			return 100
		}
		return 50
	}
	return min(int64(100*r.worked/max(r.plan.work, 1)), 99)
}

const workStep = 20 * time.Millisecond

// work lets the runs work and ends those whose time has come.
func (m *minion) work(life context.Context) {
	for last := time.Now(); ; {
		select {
		case <-life.Done():
			return
		case <-time.After(workStep):
		}
		now := time.Now()
		step := now.Sub(last)
		last = now
		m.mu.Lock()
		lapsed := m.leaseEnd > 0 && m.clock() > m.leaseEnd
		for _, r := range m.runs {
			switch {
			case lapsed:
				m.end(r, "lapsed")
			case !r.stoppedAt.IsZero():
				if now.Sub(r.stoppedAt) > 200*time.Millisecond {
					m.end(r, "stopped")
				}
			case r.gang != nil:
				if how := r.gang.step(m, r, now); how != "" {
					m.end(r, how)
				}
			case r.checkpoint != "" && now.Sub(r.began) < restoreTime:
			default:
				r.worked += step
				if !r.plan.lasts && r.worked >= r.plan.work {
					if r.plan.fails {
						m.end(r, "failed")
					} else {
						m.end(r, "done")
					}
				}
			}
		}
		m.mu.Unlock()
	}
}

// end lists the end of a run. The lock is held.
func (m *minion) end(r *run, how string) {
	delete(m.runs, r.task)
	m.gone[r.task] = max(m.gone[r.task], r.number)
	m.ends = append(m.ends, runEnd{int64(len(m.ends) + 1), r.task, r.number, how, r.saved(), time.Now()})
	m.fleet.record.event(event{kind: "end", minion: m.id, task: r.task, run: r.number, detail: how, spec: r.spec})
	if r.gang != nil {
		go r.gang.leave(m, r, how)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) beat(life context.Context) {
	client := &http.Client{Timeout: time.Second}
	for {
		m.mu.Lock()
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": "toll-ledger", "address": m.address(), "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": 32000, "mem_mb": 128000, "gpu": 0}, "labels": []string{"a", m.rack},
			"clock_ms": m.clock(), "sequence": m.sequence, "born": m.born, "machine": "m-" + m.id[2:],
		})
		m.mu.Unlock()
		request, _ := http.NewRequestWithContext(life, "POST", fmt.Sprintf("http://%s:%d/v1/Instances.Heartbeat/%s", m.ip, portControl, m.id), strings.NewReader(string(body)))
		request.Header.Set("Content-Type", "application/json")
		wait := heartbeat
		if answer, err := client.Do(request); err == nil {
			answer.Body.Close()
		} else {
			wait = 200 * time.Millisecond
		}
		select {
		case <-life.Done():
			return
		case <-time.After(wait):
		}
	}
}
