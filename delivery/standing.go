package delivery

import (
	"context"
	"io"
	"sync/atomic"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// standingBuffer is how many bytes of a standing stream are read at a time; one
// is held for each stream, however quiet.
const standingBuffer = 2 << 10

// copyStanding passes a standing stream on as it is read. When the backend
// server leaves, the stream ends at once as moved: the entry passes on complete
// messages only, and opens it elsewhere.
func (a *attempt) copyStanding(ctx context.Context, body io.ReadCloser) (*api.AnswerEnd, error) {
	var moved atomic.Bool
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		select {
		case <-a.instance.leaving:
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
