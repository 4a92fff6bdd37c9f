package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the
// seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) now() float64 { return time.Since(r.began).Seconds() }

// note writes a line to the record.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", r.now(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, values ...any) {
	r.note(format, values...)
	fmt.Printf("%9.3f  %s\n", r.now(), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
