package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

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
