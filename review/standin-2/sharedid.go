package main

import (
	"fmt"
	"strings"
	"time"
)

// playSharedID hands in one job at each of two queues. With trouble both clients have
// chosen the same id for their job.
func playSharedID(f *fleet, trouble bool) (found played, err error) {
	first, second := "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	if trouble {
		second = first
	}
	job := func(spec string) string {
		return fmt.Sprintf(`{"spec":%q,"steps":[{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":20000}]}`, spec)
	}
	if err := f.submit("client A", prefixA, first, job("client-a work=30000")); err != nil {
		return found, err
	}
	time.Sleep(time.Second)
	if err := f.submit("client B", prefixB, second, job("client-b work=6000")); err != nil {
		return found, err
	}
	accepted := time.Now()
	for time.Since(accepted) < visibleTime+500*time.Millisecond {
		time.Sleep(250 * time.Millisecond)
	}
	for range 3 {
		status, _ := f.clientCall("client B", "GET", prefixB, second, "")
		if status == 410 {
			found.broken = append(found.broken, fmt.Sprintf("LOST: client B's accepted job %s%s, which nobody has cancelled, is answered 410 %.1f s after its acknowledgement",
				prefixB, second, time.Since(accepted).Seconds()))
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	ran := false
	for _, e := range f.record.list() {
		ran = ran || e.kind == "start" && strings.HasPrefix(e.spec, "client-b")
	}
	f.record.note("client B's job has%s been started", map[bool]string{true: "", false: " not"}[ran])
	// Client B withdraws its job. Client A's job is client A's.
	status, _ := f.clientCall("client B", "DELETE", prefixB, second, "")
	f.record.note("client B's cancelling is answered %d", status)
	time.Sleep(2 * time.Second)
	if _, answer := f.clientCall("client A", "GET", prefixA, first, ""); strings.Contains(answer, "cancelled") {
		found.broken = append(found.broken, fmt.Sprintf("LOST: client A's accepted job %s%s is shown as cancelled; client A has cancelled nothing", prefixA, first))
	}
	time.Sleep(2 * time.Second)
	for _, e := range f.record.list() {
		if e.kind == "stop" && strings.HasPrefix(e.task, first) && !trouble {
			return found, fmt.Errorf("%w: client A's job was stopped without trouble", errCannotRun)
		}
	}
	return found, nil
}
