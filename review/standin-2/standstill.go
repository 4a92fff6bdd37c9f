package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Traffic of playStandstill. Urgent jobs have one task on each minion; the others are less
// urgent. Together they use about a quarter of the room.
const (
	urgentGap       = 75 * time.Millisecond
	otherGap        = 200 * time.Millisecond
	standstillBound = 3 * time.Second
	calmBefore      = 4 * time.Second
)

// playStandstill hands in urgent and less urgent jobs. With trouble one minion crashes once
// and is back after 3 s, as it starts a task of a less urgent job. That job must go on elsewhere.
func playStandstill(f *fleet, trouble bool) (found played, err error) {
	var mu sync.Mutex
	accepted := map[string]time.Time{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	traffic := func(prefix, first string, gap time.Duration, body string) {
		defer clients.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				id := fmt.Sprintf("%s%014x", first, i)
				status, _, _ := f.call("POST", f.fronts[i%3], prefix, id, strings.NewReader(body), 3*time.Second)
				if status/100 == 2 && prefix == prefixB {
					mu.Lock()
					accepted[id] = time.Now()
					mu.Unlock()
				}
			}()
		}
	}
	clients.Add(2)
	go traffic(prefixA, "aa", urgentGap, fmt.Sprintf(`{"spec":"work=600","steps":[{"count":%d,"cpu":1000,"mem_mb":256,"estimated_ms":600,"max_per_server":1}]}`, len(f.minions)))
	go traffic(prefixB, "bb", otherGap, `{"spec":"work=400","steps":[{"count":8,"cpu":500,"mem_mb":256,"estimated_ms":400}]}`)
	time.Sleep(10 * time.Second)
	calm := time.Now()
	if trouble {
		var victim *minion
		for began := time.Now(); victim == nil; time.Sleep(2 * time.Millisecond) {
			for _, m := range f.minions {
				if victim == nil && m.crashWhileStarting("bb", 50*time.Millisecond) {
					victim = m
				}
			}
			if time.Since(began) > 10*time.Second {
				return found, fmt.Errorf("%w: no minion starts one of the jobs", errCannotRun)
			}
		}
		time.Sleep(3 * time.Second)
		if err := victim.begin(); err != nil {
			return found, fmt.Errorf("%w: %v", errCannotRun, err)
		}
		calm = time.Now().Add(calmBefore)
	}
	time.Sleep(time.Until(calm) + 25*time.Second)
	end := time.Now()
	close(stop)
	clients.Wait()

	// What ran when, by job: from the minions' record.
	running, idleSince, longest, left := map[string]int{}, map[string]time.Time{}, map[string]time.Duration{}, map[string]int{}
	mu.Lock()
	for id, at := range accepted {
		idleSince[id], left[id] = at, 8
	}
	mu.Unlock()
	onMinion := map[string]map[string]string{}
	note := func(job string, until time.Time) {
		since, known := idleSince[job]
		if !known || running[job] > 0 || left[job] == 0 {
			return
		}
		if since.Before(calm) {
			since = calm
		}
		longest[job] = max(longest[job], until.Sub(since))
	}
	used, mostUsed := 0, 0
	demand := map[string]int{"a": 1000, "b": 500}
	for _, e := range f.record.list() {
		if e.at.After(end) {
			break
		}
		job := strings.Split(e.task, ".")[0]
		if onMinion[e.minion] == nil {
			onMinion[e.minion] = map[string]string{}
		}
		switch e.kind {
		case "start":
			note(job, e.at)
			running[job]++
			onMinion[e.minion][e.task] = job
			used += demand[job[:1]]
		case "end":
			running[job]--
			delete(onMinion[e.minion], e.task)
			used -= demand[job[:1]]
			if e.detail == "done" {
				left[job]--
			}
			idleSince[job] = e.at
		case "crash":
			for _, job := range onMinion[e.minion] {
				running[job]--
				idleSince[job] = e.at
				used -= demand[job[:1]]
			}
			onMinion[e.minion] = nil
		}
		if e.at.After(calm) {
			mostUsed = max(mostUsed, used)
		}
	}
	room := 32000 * len(f.minions)
	stood := 0
	var worst time.Duration
	for job := range accepted {
		note(job, end)
		if longest[job] >= standstillBound {
			stood++
			f.record.note("job %s had nothing running for %.1f s in calm time; %d of its 8 tasks were not done", job, longest[job].Seconds(), left[job])
		}
		worst = max(worst, longest[job])
	}
	f.record.note("%d less urgent jobs accepted; at most %.0f%% of the room was in use in calm time; %d jobs stood still for 3 s or more, the longest for %.1f s",
		len(accepted), 100*float64(mostUsed)/float64(room), stood, worst.Seconds())
	if 2*mostUsed >= room {
		return found, fmt.Errorf("%w: half of the room was in use", errCannotRun)
	}
	if stood > 0 {
		found.broken = append(found.broken, fmt.Sprintf("LOST: %d accepted jobs had nothing running for up to %.1f s in calm time, with at most %.0f%% of the room in use", stood, worst.Seconds(), 100*float64(mostUsed)/float64(room)))
	}
	return found, nil
}
