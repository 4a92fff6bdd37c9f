package jobagent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/timing"
)

// Times of the questions whether the worker is healthy.
const (
	healthInterval = 1500 * time.Millisecond // under the time that a sick worker needs to spoil much
	healthTimeout  = 700 * time.Millisecond
)

// watchHealth asks the worker whether it is healthy, until the incarnation ends.
// What it says is passed on; the leader weighs it against how its runs end.
func (w *incarnation) watchHealth() {
	for timing.Sleep(w.ctx, healthInterval) {
		w.agent.mu.Lock()
		path, target := w.agent.healthPath, w.target()
		w.agent.mu.Unlock()
		if path == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(w.ctx, healthTimeout)
		err := w.agent.config.Worker.CheckHealth(ctx, target, path)
		cancel()
		if w.ctx.Err() != nil {
			return
		}
		w.noteHealth(err)
	}
}

func (w *incarnation) noteHealth(err error) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	if unhealthy := err != nil; unhealthy != w.unhealthy {
		klog.InfoS("Worker's own word on its health changed", "worker", w.key, "unhealthy", unhealthy, "error", err)
		w.unhealthy = unhealthy
		w.agent.signal()
	}
}
