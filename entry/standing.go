package entry

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
)

// Standing streams.
const (
	keepAliveInterval = 15 * time.Second // idle time before a keep-alive comment is sent
	maxMessageBytes   = 1 << 20          // of a message that is buffered until it is complete
	headerLastEventID = "Last-Event-Id"
	reopenBackoff     = 50 * time.Millisecond
	maxOpenRetries    = 2 // further attempts to open a stream that has not begun
)

// messageFilter passes on complete messages only, so that a stream can be
// opened elsewhere without cutting one. A message of an event stream ends with
// an empty line, any other with a line end.
type messageFilter struct {
	events  bool
	pending []byte
	lastID  string // of the last complete event that had one
}

func isEventStream(head *api.AnswerHead) bool {
	for _, h := range head.Headers {
		if strings.EqualFold(h.Name, "Content-Type") && strings.HasPrefix(h.Value, "text/event-stream") {
			return true
		}
	}
	return false
}

// complete takes the next bytes and returns the messages that are complete. A message
// longer than maxMessageBytes is passed on in parts.
func (f *messageFilter) complete(p []byte) []byte {
	f.pending = append(f.pending, p...)
	end := f.lastBoundary()
	if end == 0 && len(f.pending) > maxMessageBytes {
		end = len(f.pending)
	}
	whole := bytes.Clone(f.pending[:end])
	f.pending = append(f.pending[:0], f.pending[end:]...)
	if f.events {
		f.recordLastID(whole)
	}
	return whole
}

func (f *messageFilter) lastBoundary() int {
	if !f.events {
		return bytes.LastIndexByte(f.pending, '\n') + 1
	}
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(f.pending, []byte(separator)); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

func (f *messageFilter) recordLastID(messages []byte) {
	for line := range bytes.Lines(messages) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			f.lastID = string(bytes.TrimSpace(value))
		}
	}
}

// runStanding opens a standing stream, and opens it again elsewhere when its
// backend server leaves or its connection is lost. The caller's stream stays open.
func (x *execution) runStanding(ctx context.Context) error {
	stopKeepAlive := x.keepAlive(ctx)
	defer stopKeepAlive()
	failures := 0
	for {
		began := time.Now()
		err := x.openStream(ctx)
		if err == nil || x.entry.isStopping() && x.sink.started {
			return x.endStream(err)
		}
		if time.Since(began) > keepAliveInterval {
			failures = 0
		}
		failures++
		if !x.sink.started && failures > maxOpenRetries {
			return x.endStream(err)
		}
		if failures > maxAttempts || !timing.Sleep(ctx, rand.N(reopenBackoff<<failures)) {
			return x.endStream(err)
		}
	}
}

// endStream ends the caller's stream: at a message boundary once it has begun.
func (x *execution) endStream(err error) error {
	switch {
	case err == nil && (!x.sink.started || x.collector.streaming):
		return x.collector.finish()
	case x.sink.started:
		return nil
	}
	return x.progress.Final(err)
}

var errMoved = fault.New(fault.Draining, "the standing stream is to be opened elsewhere")

// openStream opens the stream once and returns nil when the backend server ended it.
func (x *execution) openStream(ctx context.Context) error {
	x.attempts++
	t, err := x.pick(false)
	if err != nil {
		clear(x.tried)
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-t.removed:
			cancel(errMoved)
		case <-x.entry.stopping:
			cancel(errMoved)
		case <-ctx.Done():
		}
	}()
	a := x.send(ctx, t)
	err = x.finishAttempt(a)
	x.sinkOwner.Store(nil)
	if id := a.collector.messages.lastID; id != "" {
		x.lastEventID = id
	}
	if err == nil && a.result.moved {
		streamsMovedTotal.Inc()
		err = errMoved
	}
	if err == nil || a.collector.streaming {
		clear(x.tried)
	}
	return err
}

// keepAlive sends comments on an idle event stream, so that no proxy between the
// entry and the caller drops the connection.
func (x *execution) keepAlive(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for timing.Sleep(ctx, keepAliveInterval/2) {
			x.sink.writeKeepAlive(keepAliveInterval)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// attemptHeaders are the caller's headers, with the id of the last event that reached it.
func (x *execution) attemptHeaders() []*api.HTTPHeader {
	if x.lastEventID == "" {
		return x.headers
	}
	headers := []*api.HTTPHeader{{Name: headerLastEventID, Value: x.lastEventID}}
	for _, h := range x.headers {
		if !strings.EqualFold(h.Name, headerLastEventID) {
			headers = append(headers, h)
		}
	}
	return headers
}

// isStopping reports whether standing streams are to end.
func (e *Entry) isStopping() bool {
	select {
	case <-e.stopping:
		return true
	default:
		return false
	}
}

// writeKeepAlive writes a comment to an event stream without writes for quiet.
func (s *sink) writeKeepAlive(quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastWrite.IsZero() || time.Since(s.lastWrite) < quiet || !s.eventStream {
		return
	}
	s.extendDeadline()
	if _, err := s.w.Write([]byte(": keep-alive\n\n")); err == nil {
		_ = s.control.Flush()
		s.lastWrite = time.Now()
	}
}
