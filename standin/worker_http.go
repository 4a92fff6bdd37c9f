package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"amaranthpaddle/worker"
)

const maxRequestBytes = 1 << 20

func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{task}/start", w.handleStart)
	mux.HandleFunc("POST /v1/tasks/{task}/throttle", w.handleThrottle)
	mux.HandleFunc("POST /v1/tasks/{task}/stop", w.handleStop)
	mux.HandleFunc("DELETE /v1/tasks/{task}", w.handleForget)
	mux.HandleFunc("GET /v1/tasks", w.handleTasks)
	mux.HandleFunc("POST /v1/lease", w.handleLease)
	mux.HandleFunc("GET /v1/usage", w.handleUsage)
	return mux
}

func decode(rw http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	var request worker.StartRequest
	if !decode(rw, r, &request) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.startRun(r.PathValue("task"), request) {
		http.Error(rw, "old generation or expired lease", http.StatusConflict)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) startRun(task string, request worker.StartRequest) bool {
	present := w.tasks[task]
	if present != nil && present.request.Generation == request.Generation {
		return true
	}
	if request.Generation <= w.highest[task] {
		return false
	}
	if request.Epoch != w.epoch {
		return false
	}
	// Runs whose lease has passed must end before the start extends it.
	w.expire()
	if present != nil {
		w.end(present, worker.PhaseStopped, "superseded")
	}
	at := w.now()
	if request.Service == "" && w.sinceStart(at) >= request.LeaseMS {
		return false
	}
	w.highest[task] = request.Generation
	if _, known := w.firsts[request.Job]; !known {
		w.firsts[request.Job] = request.Grant
	}
	w.leaseMS = max(w.leaseMS, request.LeaseMS)
	w.tasks[task] = w.newRun(task, request, at)
	return true
}

func (w *Worker) newRun(task string, request worker.StartRequest, at time.Time) *run {
	progress := checkpointProgress(request.Checkpoint)
	r := &run{request: request, fraction: 1}
	r.status = worker.TaskStatus{
		Task: task, Generation: request.Generation,
		Phase: worker.PhaseRunning, Checkpoint: request.Checkpoint, Progress: progress,
	}
	r.record = &Run{
		Task: task, Generation: request.Generation,
		VM: w.options.VM, Zone: w.options.Zone,
		Service: request.Service != "", Start: at, From: progress,
	}
	if w.options.Ledger != nil {
		r.record = w.options.Ledger.Begin(*r.record)
	}
	w.note(r, EventStart, at)
	if request.Service != "" {
		w.startBackend(r)
	}
	return r
}

func (w *Worker) startBackend(r *run) {
	backend, err := StartBackend(BackendOptions{
		ID: r.status.Task, Service: r.request.Service,
		Slots:       parameter(r.request.Parameters, "slots", defaultSlots),
		Connections: parameter(r.request.Parameters, "connections", defaultConnections),
		AnnounceURL: w.options.AnnounceURL, Ledger: w.options.Ledger,
		VM: w.options.VM, Zone: w.options.Zone, Events: w.options.Requests,
	})
	if err != nil {
		w.end(r, worker.PhaseFailed, err.Error())
		return
	}
	r.backend = backend
}

func parameter(parameters map[string]string, name string, fallback int) int {
	value, err := strconv.Atoi(parameters[name])
	if err != nil || value <= 0 {
		return fallback
	}
	return value
}

// present returns the run that the request means, or answers 404 or 409.
func (w *Worker) present(rw http.ResponseWriter, task string, generation uint64) *run {
	r := w.tasks[task]
	if r == nil {
		http.Error(rw, "no such task", http.StatusNotFound)
		return nil
	}
	if r.request.Generation != generation {
		http.Error(rw, "another generation", http.StatusConflict)
		return nil
	}
	return r
}

func (w *Worker) handleThrottle(rw http.ResponseWriter, r *http.Request) {
	var request worker.ThrottleRequest
	if !decode(rw, r, &request) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.present(rw, r.PathValue("task"), request.Generation)
	if task == nil {
		return
	}
	task.fraction = min(max(request.Fraction, 0), 1)
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	var request worker.StopRequest
	if !decode(rw, r, &request) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.present(rw, r.PathValue("task"), request.Generation)
	if task == nil {
		// A start of this run that is still on its way must not take effect.
		w.highest[r.PathValue("task")] = max(w.highest[r.PathValue("task")], request.Generation)
		return
	}
	w.stopRun(task, request.Checkpoint)
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) stopRun(r *run, checkpoint bool) {
	if r.stopping || r.status.Phase.Final() {
		return
	}
	r.stopping = true
	r.stopAtMS = w.clockMS()
	if checkpoint && r.request.Service == "" {
		r.status.Phase = worker.PhaseCheckpointing
		r.stopAtMS += checkpointTime.Milliseconds()
	}
}

func (w *Worker) handleForget(rw http.ResponseWriter, r *http.Request) {
	generation, err := strconv.ParseUint(r.URL.Query().Get("generation"), 10, 64)
	if err != nil {
		http.Error(rw, "generation: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.tasks[r.PathValue("task")]
	if task != nil && task.request.Generation == generation && task.status.Phase.Final() {
		delete(w.tasks, r.PathValue("task"))
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) handleLease(rw http.ResponseWriter, r *http.Request) {
	var request worker.LeaseRequest
	if !decode(rw, r, &request) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// Runs whose lease has passed must end, whatever arrives afterwards.
	w.expire()
	if request.Epoch != w.epoch {
		http.Error(rw, "another epoch", http.StatusConflict)
		return
	}
	w.leaseMS = max(w.leaseMS, request.UntilMS)
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) expire() {
	for _, r := range w.tasks {
		if w.expired(r, w.now()) {
			w.end(r, worker.PhaseStopped, errLeaseExpired)
		}
	}
}

func (w *Worker) handleTasks(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	list := worker.TaskList{Epoch: w.epoch, ClockMS: w.clockMS(), Tasks: w.statuses()}
	w.mu.Unlock()
	encode(rw, list)
}

func (w *Worker) handleUsage(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after_ms"), 10, 64)
	w.mu.Lock()
	now := w.clockMS()
	list := worker.UsageList{ClockMS: now}
	for _, usage := range w.usage {
		if usage.EndMS > after && usage.EndMS <= now-usageLag.Milliseconds() {
			list.Usage = append(list.Usage, usage)
		}
	}
	w.mu.Unlock()
	encode(rw, list)
}

func encode(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}
