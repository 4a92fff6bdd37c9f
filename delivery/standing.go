package delivery

import (
	"context"
	"io"
	"sync/atomic"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// standingBuffer is the size of the buffer for reading a standing stream, in
// bytes. It is small because every open stream holds one, even an idle stream.
const standingBuffer = 2 << 10

// copyStanding forwards a standing stream as it is read. When the backend server
// drains, the stream ends at once as moved, possibly within a message: the entry
// forwards only complete messages, and reopens the stream at another server.
func (a *attempt) copyStanding(ctx context.Context, body io.ReadCloser) (*api.AnswerEnd, error) {
	var moved atomic.Bool
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		select {
		case <-a.instance.draining:
			moved.Store(true)
			_ = body.Close()
		case <-stopped:
		}
	}()
	m := newMeter()
	buffer := make([]byte, standingBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			m.add(buffer[:n])
			if !a.answer.write(ctx, buffer[:n]) {
				return nil, fault.Wrap(fault.Canceled, ctx.Err(), "answer")
			}
		}
		if err == nil {
			continue
		}
		if moved.Load() || err == io.EOF {
			end := m.end()
			end.Moved = moved.Load()
			return end, nil
		}
		return nil, err
	}
}
