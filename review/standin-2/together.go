package main

import (
	"fmt"
	"time"
)

// playTogether hands in a job with a step of eight tasks. With trouble each of them crashes
// each minion that starts it, 150 ms after the start; the minion is back 3 s later.
func playTogether(f *fleet, trouble bool) (found played, err error) {
	const id = "7093e1c2b45d90fa"
	spec := "work=5000"
	if trouble {
		spec += " kills=150"
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":8,"cpu":3500,"mem_mb":6400,"estimated_ms":5000}]}`, spec)
	if err := f.submit("client", prefixA, id, body); err != nil {
		return found, err
	}
	last := ""
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		_, last = f.clientCall("client", "GET", prefixA, id, "")
		if _, _, more := worstTask(f); more > 4 || last == `{"state":"completed"}` || last == `{"state":"failed"}` {
			break
		}
	}
	task, crashes, more := worstTask(f)
	f.record.note("of task %s: %d minions have crashed under it, and it was started %d times after the third crash; the job is shown as %s", task, crashes, more, last)
	if more >= 3 {
		found.broken = append(found.broken, fmt.Sprintf("BUDGET: task %s was started %d times more after three minions had crashed under it (%d crashes in all); the job is shown as %s", task, more, crashes, last))
	}
	return found, nil
}

// worstTask returns the task that was started most often after three minions had crashed
// under it. A crash counts for the task that caused it alone.
func worstTask(f *fleet) (worst string, crashes, more int) {
	crashesOf, moreOf := map[string]int{}, map[string]int{}
	for _, e := range f.record.list() {
		switch {
		case e.kind == "crash" && e.task != "":
			crashesOf[e.task]++
		case e.kind == "start" && crashesOf[e.task] >= 3:
			moreOf[e.task]++
		}
	}
	for task := range crashesOf {
		if worst == "" || moreOf[task] > moreOf[worst] || moreOf[task] == moreOf[worst] && crashesOf[task] > crashesOf[worst] {
			worst = task
		}
	}
	return worst, crashesOf[worst], moreOf[worst]
}
