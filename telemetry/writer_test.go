package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockingOutput takes nothing until it is released.
type blockingOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockingOutput) Write(data []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(data)
}

func TestAWriterNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingOutput{release: make(chan struct{})}
		w := NewWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 2 * maxBufferedBytes / len(line) {
			if n, err := w.Write(line); n != len(line) || err != nil {
				t.Fatalf("%d, %v", n, err)
			}
		}
		close(out.release)
		w.Flush(time.Second)
		text := out.String()
		if !strings.Contains(text, `"msg":"Log lines dropped","lines":256`) {
			t.Errorf("the end of the output: %s", text[len(text)-100:])
		}
		if kept := strings.Count(text, "xxx\n"); kept != maxBufferedBytes/len(line) {
			t.Errorf("%d lines kept", kept)
		}
		close(w.wake)
		time.Sleep(2 * writeInterval) // for the writer's goroutine to end
	})
}

// writeRecorder records the size of each write.
type writeRecorder struct{ writes [][]byte }

func (r *writeRecorder) Write(data []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(data))
	return len(data), nil
}

// Failure: several hundred lines went into one write. A reader of the pipe gets
// more than 4,096 bytes in pieces, between which other processes' lines may stand:
// of a busy leader's lines, two thirds were cut.
func TestAWriteHoldsWholeLinesWithinTheAtomicSizeOfAPipe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &writeRecorder{}
		w := NewWriter(out)
		for i := range 100 {
			w.Write([]byte(strings.Repeat("x", 10*i) + "\n"))
		}
		w.Write([]byte(strings.Repeat("y", 2*maxWriteBytes) + "\n"))
		w.Flush(time.Second)
		total := 0
		for i, write := range out.writes {
			total += len(write)
			if !bytes.HasSuffix(write, []byte("\n")) {
				t.Errorf("write %d ends within a line", i)
			}
			if len(write) > maxWriteBytes && bytes.Count(write, []byte("\n")) > 1 {
				t.Errorf("write %d has %d bytes", i, len(write))
			}
		}
		if want := 100*99/2*10 + 100 + 2*maxWriteBytes + 1; total != want {
			t.Errorf("%d bytes written, want %d", total, want)
		}
		close(w.wake)
		time.Sleep(2 * writeInterval)
	})
}
