package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what clients and minions have seen, written to a file.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	events []event

	mixedCheckpoints int
}

// event is one thing that a minion has seen.
type event struct {
	at     time.Time
	kind   string // start, stop, end, noted
	minion string
	task   string
	run    int64
	detail string
	spec   string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, values...))
}

func (r *record) write(line string) {
	line = fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), line)
	r.file.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

func (r *record) event(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at = time.Now()
	r.events = append(r.events, e)
	r.write(fmt.Sprintf("minion %s: %s %s run %d %s", e.minion, e.kind, e.task, e.run, e.detail))
}

func (r *record) list() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}
