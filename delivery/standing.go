package delivery

import (
	"bytes"
	"context"
	"io"
	"sync"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// standingBuffer is how many bytes of a standing stream are read at a time; one
// is held for each stream, however quiet.
const standingBuffer = 2 << 10

// boundaryScanner finds the ends of messages in a standing stream: an empty
// line in an event stream, a line end elsewhere.
type boundaryScanner struct {
	events  bool
	tail    []byte // last bytes of what was scanned
	pending int    // bytes since the last boundary
}

// scan takes the next bytes and returns how many of them belong to complete
// messages.
func (s *boundaryScanner) scan(p []byte) int {
	separator := []byte("\n")
	if s.events {
		separator = []byte("\n\n")
	}
	joined := append(append([]byte(nil), s.tail...), p...)
	last := bytes.LastIndex(joined, separator)
	end := 0
	if last >= 0 {
		end = max(last+len(separator)-len(s.tail), 0)
	}
	s.tail = append(s.tail[:0], joined[max(len(joined)-len(separator)+1, 0):]...)
	if end > 0 {
		s.pending = len(p) - end
	} else {
		s.pending += len(p)
	}
	return end
}

// atBoundary reports whether no message has begun.
func (s *boundaryScanner) atBoundary() bool { return s.pending == 0 }

// copyStanding passes a standing stream on as it is read. When the backend
// server leaves, the stream ends at the next message boundary as moved.
func (a *attempt) copyStanding(ctx context.Context, body io.ReadCloser) (*api.AnswerEnd, error) {
	s := &standingCopy{attempt: a, body: body, meter: newMeter()}
	s.scanner.events = isEventStream(a.answer.head)
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		select {
		case <-a.instance.leaving:
			s.leave()
		case <-stopped:
		}
	}()
	return s.run(ctx)
}

func isEventStream(head *api.AnswerHead) bool {
	for _, h := range head.Headers {
		if h.Name == "Content-Type" && bytes.HasPrefix([]byte(h.Value), []byte("text/event-stream")) {
			return true
		}
	}
	return false
}

type standingCopy struct {
	attempt *attempt
	body    io.ReadCloser
	meter   *meter

	mu      sync.Mutex // guards scanner, leaving and moved
	scanner boundaryScanner
	leaving bool
	moved   bool
}

// leave ends the stream now when it is at a boundary, else at the next one.
func (s *standingCopy) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	if s.scanner.atBoundary() {
		s.moved = true
		_ = s.body.Close()
	}
}

func (s *standingCopy) run(ctx context.Context) (*api.AnswerEnd, error) {
	buffer := make([]byte, standingBuffer)
	for {
		n, err := s.body.Read(buffer)
		passed, moved := s.pass(buffer[:n])
		if len(passed) > 0 {
			s.meter.add(passed)
			if !s.attempt.answer.write(ctx, passed) {
				return nil, fault.Wrap(fault.Canceled, ctx.Err(), "answer")
			}
		}
		if moved {
			end := s.meter.end()
			end.Moved = true
			return end, nil
		}
		if err == io.EOF {
			return s.meter.end(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// pass returns the bytes to pass on, and whether the stream ends after them.
func (s *standingCopy) pass(p []byte) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moved {
		return nil, true
	}
	end := s.scanner.scan(p)
	if s.leaving && end > 0 {
		s.moved = true
		_ = s.body.Close()
		return p[:end], true
	}
	return p, false
}
