package limit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"amaranthpaddle/fault"
)

// requestState is what one request in progress holds.
type requestState struct {
	bodies      *Bodies
	conn        *conn // nil if the listener is not limited
	reservation *Reservation
}

type requestKey struct{}

// Bodies bounds the request bodies of a process.
type Bodies struct {
	Budget *Budget
	Time   time.Duration // for a body to arrive whole
}

// past is a deadline that ends reading at once.
var past = time.Unix(1, 0)

// Handler returns a handler that bounds the bodies which next reads with ReadBody, and ends
// the connection of a request whose body was not read.
func (b *Bodies) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := &requestState{bodies: b, conn: connOf(r.Context())}
		if r.ContentLength == 0 {
			state.conn.setPhase(serving)
			next.ServeHTTP(w, r)
			return
		}
		state.conn.setPhase(uploading)
		control, now := http.NewResponseController(w), time.Now()
		control.SetReadDeadline(now.Add(b.Time))
		state.reservation = b.Budget.Reserve(now, func() { control.SetReadDeadline(past) })
		defer state.reservation.Release()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestKey{}, state)))
	})
}

// firstBytes is the room for a body of which nothing has arrived.
const firstBytes = 2 << 10

// ReadBody returns the whole body of a request, at most limit bytes. After an error the
// connection is closed without reading the rest. Errors: fault.TooLarge; fault.Overloaded
// when there is no room for the body; fault.DeadlineNotRun when it comes too slowly;
// fault.InvalidArgument when it is cut short.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	state, _ := r.Context().Value(requestKey{}).(*requestState)
	if state == nil { // no body, or a handler outside a server with bounds
		unbounded := &Bodies{Budget: NewBudget(1 << 40)}
		state = &requestState{bodies: unbounded, reservation: unbounded.Budget.Reserve(time.Now(), func() {})}
	}
	data, err := state.read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	control := http.NewResponseController(w)
	if err == nil {
		// An expired deadline would cancel the context of a request that is still carried out.
		control.SetReadDeadline(time.Time{})
		return data, nil
	}
	refusals.add(fault.KindOf(err).String(), err)
	w.Header().Set("Connection", "close")
	// The server would read on for a while before it answers.
	control.SetReadDeadline(past)
	return nil, err
}

// read reads a body of an announced length, -1 if it is not known.
func (s *requestState) read(body io.Reader, announced, limit int64) ([]byte, error) {
	if announced > limit {
		return nil, fault.Newf(fault.TooLarge, "the body exceeds %d bytes", limit)
	}
	most := limit + 1 // the end of the body shows in one more byte
	if announced >= 0 {
		most = announced + 1
	}
	data, err := s.grow(nil, most)
	for err == nil {
		var n int
		n, err = body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == nil && len(data) == cap(data) {
			data, err = s.grow(data, most)
		}
	}
	if err == io.EOF {
		s.reservation.Complete()
		s.conn.setPhase(serving)
		if err = s.reservation.Take(decodedSize(data)); err == nil {
			return data, nil
		}
	}
	return nil, s.readError(err)
}

// grow returns data in a buffer of twice the size, at most a number of bytes.
func (s *requestState) grow(data []byte, most int64) ([]byte, error) {
	size := min(max(2*int64(cap(data)), firstBytes), most)
	if err := s.reservation.Take(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	if len(data) > 0 {
		s.reservation.Give(int64(cap(data)))
	}
	return larger, nil
}

func (s *requestState) readError(err error) error {
	var tooLarge *http.MaxBytesError
	var known *fault.Error
	switch {
	case errors.As(err, &known):
		return err
	case errors.As(err, &tooLarge):
		return fault.Wrap(fault.TooLarge, err, "body")
	case s.reservation.Abandoned():
		return errNoRoom()
	case isTimeout(err):
		return fault.Newf(fault.DeadlineNotRun, "the body did not arrive within %v", s.bodies.Time)
	}
	return fault.Wrap(fault.InvalidArgument, err, "body")
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Memory that a decoded JSON document takes for each object and for each other element,
// with the slices that are outgrown on the way.
const (
	objectBytes  = 640
	elementBytes = 24
)

// decodedSize estimates the memory that a JSON document takes beside its text.
func decodedSize(data []byte) (size int64) {
	quoted, escaped := false, false
	for _, c := range data {
		switch {
		case escaped:
			escaped = false
		case quoted && c == '\\':
			escaped = true
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{':
			size += objectBytes
		case c == ',':
			size += elementBytes
		}
	}
	return size
}
