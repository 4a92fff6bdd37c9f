package jobagent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/timing"
)

// Interval and timeout of the worker's health check.
const (
	healthInterval = 1500 * time.Millisecond // short enough to notice an unhealthy worker before many of its runs fail
	healthTimeout  = 700 * time.Millisecond
)

// watchHealth checks the worker's health periodically until the incarnation
// ends. The result is only reported: the leader weighs it against the outcomes
// of the worker's runs.
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
		w.updateHealth(err)
	}
}

func (w *incarnation) updateHealth(err error) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	if unhealthy := err != nil; unhealthy != w.unhealthy {
		klog.InfoS("Worker health check result changed", "worker", w.key, "unhealthy", unhealthy, "error", err)
		w.unhealthy = unhealthy
		w.agent.requestReport()
	}
}
