package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"amaranthpaddle/delivery"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
)

// Paths that the entry answers itself.
const (
	pathReady = "/-/ready"
	pathLive  = "/-/live"
)

// Handler returns the callers' HTTP handler.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathLive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc(pathReady, e.serveReady)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathLive || r.URL.Path == pathReady {
			// An earlier request may have left its deadline on the connection.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
			mux.ServeHTTP(w, r)
			return
		}
		e.serve(w, r)
	})
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve answers one caller.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	s := newSink(w, r, e.config.CallerStall)
	if e.active.Add(1) > int64(e.config.MaxRequests) {
		e.active.Add(-1)
		s.refuse(fault.New(fault.Overloaded, "too many requests are in progress"))
		return
	}
	defer e.active.Add(-1)
	parsed, err := request.Parse(r)
	if err != nil {
		s.refuse(err)
		return
	}
	x, err := e.execute(w, r, s, parsed, began)
	e.recorder.record(x, err, time.Since(began))
	if x != nil {
		countRequest(x.service.name, err, time.Since(began))
	}
	if err != nil {
		discardBody(s, r)
		s.refuse(err)
	}
}

// Bounds on reading a refused request's body, without which its caller may see
// a closed connection in place of the refusal.
const (
	discardBytes = 4 << 20
	discardTime  = time.Second
)

// discardBody reads the rest of the caller's body, within discardBytes and discardTime.
func discardBody(s *sink, r *http.Request) {
	if s.started || r.Body == nil {
		return
	}
	_ = s.control.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, r.Body, discardBytes)
}

// errDeadline ends a request whose deadline passed while an attempt was with an agent.
var errDeadline = fault.New(fault.DeadlineUnknown, "the deadline passed")

// execute reads the body and makes the request's attempts.
func (e *Entry) execute(w http.ResponseWriter, r *http.Request, s *sink, parsed *request.Request, began time.Time) (*execution, error) {
	svc, err := e.directory.service(parsed.Service)
	if err != nil {
		return nil, err
	}
	x := &execution{
		entry:    e,
		service:  svc,
		request:  parsed,
		headers:  callerHeaders(r),
		sink:     s,
		progress: request.Progress{Idempotent: parsed.Idempotent},
		tried:    make(map[string]bool),
	}
	x.collector = newCollector(s, x.acquireSink)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	x.ctx, x.cancel = ctx, cancel
	if parsed.Timeout > 0 {
		x.deadline = began.Add(parsed.Timeout)
		x.timer = time.AfterFunc(time.Until(x.deadline), func() { cancel(errDeadline) })
		defer x.timer.Stop()
	}
	if x.body, err = e.readBody(s, r, x.deadline); err != nil {
		return x, err
	}
	if parsed.NeedsClaim() {
		x.digest = requestDigest(parsed, x.body)
	}
	if parsed.Standing {
		return x, x.runStanding(ctx)
	}
	return x, x.run(ctx)
}

// skipHeader reports whether a caller's header is not passed on.
func skipHeader(name string) bool {
	switch name {
	case request.HeaderService, request.HeaderDeadline, request.HeaderIdempotent, request.HeaderClass, "Content-Length", "Expect":
		return true
	}
	return delivery.IsHopByHopHeader(name)
}
