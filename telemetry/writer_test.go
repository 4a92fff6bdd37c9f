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
