package main

import (
	"fmt"
	"time"
)

// playGangCheckpoint hands in a checkpointing gang. With trouble one minion crashes while
// the gang works, once, and is back after 3 s.
func playGangCheckpoint(f *fleet, trouble bool) (found played, err error) {
	const id = "a7c2190e55d34b68"
	body := `{"spec":"gang=3 saves work=9000","steps":[{"count":3,"cpu":12000,"mem_mb":4096,"estimated_ms":9000,"gang":true,"checkpointing":true,"max_per_server":1}]}`
	if err := f.submit("client", prefixA, id, body); err != nil {
		return found, err
	}
	calm := time.Now()
	if trouble {
		deadline := time.Now().Add(15 * time.Second)
		victim := -1
		for victim < 0 {
			if time.Now().After(deadline) {
				return found, fmt.Errorf("%w: the gang has not worked for 4 s", errCannotRun)
			}
			time.Sleep(50 * time.Millisecond)
			for i, m := range f.minions {
				m.mu.Lock()
				for _, r := range m.runs {
					if r.worked > 4*time.Second {
						victim = i
					}
				}
				m.mu.Unlock()
			}
		}
		f.minions[victim].crash()
		time.Sleep(3 * time.Second)
		if err := f.minions[victim].begin(); err != nil {
			return found, fmt.Errorf("%w: %v", errCannotRun, err)
		}
		calm = time.Now().Add(contactTime)
	}
	last := ""
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		_, last = f.clientCall("client", "GET", prefixA, id, "")
		if last == `{"state":"completed"}` {
			break
		}
	}
	alone := 0
	for _, e := range f.record.list() {
		if e.kind == "end" && e.detail == "alone" && e.at.Add(-gangTimeout).After(calm) {
			alone++
		}
	}
	f.record.note("the job is shown as %s; gang runs whose members carried different checkpoints: %d; members that ended alone in calm time: %d", last, f.record.mixedCheckpoints, alone)
	if alone > 0 {
		found.broken = append(found.broken, fmt.Sprintf("GANG: %d runs ended alone, started later than contact_ms after the only disruption; %d starts of the gang carried different checkpoints; the job is shown as %s 45 s later",
			alone, f.record.mixedCheckpoints, last))
	}
	return found, nil
}
