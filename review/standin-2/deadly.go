package main

import (
	"fmt"
	"time"
)

// playDeadly hands in a job with one task. With trouble the task crashes each minion that
// starts it, 3 s after the start; the minion is back 3 s later.
func playDeadly(f *fleet, trouble bool) (found played, err error) {
	const id = "d3ad0190e55d34b6"
	spec := "work=8000"
	if trouble {
		spec += " kills=3000"
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":1000,"mem_mb":512,"estimated_ms":8000}]}`, spec)
	if err := f.submit("client", prefixA, id, body); err != nil {
		return found, err
	}
	last := ""
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		_, last = f.clientCall("client", "GET", prefixA, id, "")
		if _, more := startsAfterCrashes(f); more > 4 || last == `{"state":"completed"}` || last == `{"state":"failed"}` {
			break
		}
	}
	crashes, more := startsAfterCrashes(f)
	f.record.note("%d minions have crashed under the task; it was started %d times after the third crash; the job is shown as %s", crashes, more, last)
	if more >= 3 {
		found.broken = append(found.broken, fmt.Sprintf("BUDGET: the task was started %d times more after three minions had crashed under it (%d crashes in all); the job is shown as %s", more, crashes, last))
	}
	return found, nil
}

// startsAfterCrashes counts the crashes, and the starts after three of them.
func startsAfterCrashes(f *fleet) (crashes, more int) {
	for _, e := range f.record.list() {
		switch {
		case e.kind == "crash" && e.task != "":
			crashes++
		case e.kind == "start" && crashes >= 3:
			more++
		}
	}
	return crashes, more
}
