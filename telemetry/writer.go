package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the lines that wait to be written.
const (
	maxBufferedBytes = 256 << 10             // some thousand lines
	writeInterval    = 25 * time.Millisecond // in which lines gather for a write
	maxWriteBytes    = 4096                  // of one write to a pipe, which is atomic up to this size
)

// Writer passes log lines on without blocking the caller: it gathers them, and
// drops lines while too many wait. How many were dropped is written later.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	idle    *sync.Cond // nothing waits and nothing is being written
	buffer  []byte
	dropped int
	writing bool
}

// NewWriter returns a Writer to out. Its goroutine runs until the process ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	w.idle = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write takes one line. It never blocks on the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
	} else {
		w.buffer = append(w.buffer, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *Writer) run() {
	for range w.wake {
		time.Sleep(writeInterval)
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	if len(w.buffer) == 0 && w.dropped == 0 {
		w.mu.Unlock()
		return // an earlier write took what the wake-up was for
	}
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = nil, 0
	w.writing = true
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"Log lines dropped\",\"lines\":%d}\n", dropped)
	}
	for len(lines) > 0 {
		n := writeSize(lines)
		// A broken output can't be reported anywhere.
		_, _ = w.out.Write(lines[:n])
		lines = lines[n:]
	}
	w.mu.Lock()
	w.writing = false
	w.idle.Broadcast()
	w.mu.Unlock()
}

// writeSize returns how many bytes to write next: whole lines that fit into
// maxWriteBytes, and a single line that is longer.
func writeSize(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// Flush waits until the lines so far are written, but not longer than the time.
func (w *Writer) Flush(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.mu.Lock()
		defer w.mu.Unlock()
		for len(w.buffer) > 0 || w.dropped > 0 || w.writing {
			w.idle.Wait()
		}
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}
