package delivery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
)

// readBuffer is the size of the buffer for reading an answer, in bytes.
const readBuffer = 32 << 10

var readBuffers = sync.Pool{New: func() any { return new([readBuffer]byte) }}

// call sends the attempt to the backend server over HTTP and fills its answer.
func (a *attempt) call(ctx context.Context) {
	defer a.body.Close()
	hold := &slotHold{attempt: a, standing: a.start.Standing}
	defer hold.release()
	began := time.Now()
	w := &writeGuard{check: a.markStarted}
	response, err := a.roundTrip(ctx, w)
	if err != nil {
		a.fail(w, err)
		return
	}
	defer response.Body.Close()
	standing := isStanding(a.start, response)
	if standing && !a.start.Standing {
		hold.convert()
		a.keepOpen()
	}
	a.answer.setHead(answerHead(response, standing))
	end, err := a.copyBody(ctx, response.Body, standing)
	if err != nil {
		a.fail(w, err)
		return
	}
	hold.release()
	end.BackendMs = milliseconds(time.Since(began))
	end.QueueMs = milliseconds(a.queueTime)
	a.finish(end)
}

// isStanding reports whether the answer is a standing stream: requested as one,
// or marked as one by the backend server, with a status below 300.
func isStanding(start *api.AttemptStart, response *http.Response) bool {
	marked := response.Header.Get(request.HeaderStream) == request.StreamStanding
	return (start.Standing || marked) && response.StatusCode < http.StatusMultipleChoices
}

// keepOpen removes the deadline of an answer that the backend server marked as a
// standing stream, and stops keeping its bytes.
func (a *attempt) keepOpen() {
	a.timeout.Stop()
	a.answer.stopKeeping()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// markStarted is the last check before the first byte is sent: it fails when the
// attempt is fenced or past its deadline.
func (a *attempt) markStarted() error {
	d := a.delivery
	d.tableMu.Lock()
	defer d.tableMu.Unlock()
	return d.table.Start(d.now(), a.start.Attempt)
}

func (a *attempt) roundTrip(ctx context.Context, w *writeGuard) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*checkedConn); ok {
			conn.setGuard(w)
		}
	}}
	target, err := url.Parse(a.instance.server.URL + a.start.Uri)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidArgument, err, "URI")
	}
	call := &http.Request{
		Method:        a.start.Method,
		URL:           target,
		Host:          target.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.headers(),
		Body:          a.body,
		ContentLength: int64(a.start.BodyLength),
	}
	// net/http resends a request with an idempotency key or a safe method on its
	// own, unless the request has a body that cannot be read twice. So a
	// non-idempotent request always has such a body, even an empty one.
	if a.start.BodyLength == 0 && a.start.Idempotent {
		call.Body = http.NoBody
	}
	return a.instance.client.RoundTrip(call.WithContext(httptrace.WithClientTrace(ctx, trace)))
}

// headers returns the caller's headers and, except for a standing stream, the
// remaining time in milliseconds.
func (a *attempt) headers() http.Header {
	header := make(http.Header, len(a.start.Headers)+2)
	for _, h := range a.start.Headers {
		header[h.Name] = append(header[h.Name], h.Value)
	}
	if !a.start.Standing {
		header.Set(request.HeaderDeadline, strconv.FormatInt(max(a.remaining().Milliseconds(), 0), 10))
	}
	return header
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// IsHopByHopHeader reports whether the header with the canonical name applies to
// a single connection and is not forwarded.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[name] }

func answerHead(response *http.Response, standing bool) *api.AnswerHead {
	head := &api.AnswerHead{Status: uint32(response.StatusCode), Standing: standing}
	for name, values := range response.Header {
		if IsHopByHopHeader(name) {
			continue
		}
		for _, value := range values {
			head.Headers = append(head.Headers, &api.HTTPHeader{Name: name, Value: value})
		}
	}
	return head
}

// copyBody copies the answer's body to its end. A body that ends early is an error.
func (a *attempt) copyBody(ctx context.Context, body io.ReadCloser, standing bool) (*api.AnswerEnd, error) {
	if standing {
		return a.copyStanding(ctx, body)
	}
	m := newMeter()
	pooled := readBuffers.Get().(*[readBuffer]byte)
	defer readBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			m.add(buffer[:n])
			a.grow(int64(m.length))
			if !a.answer.write(ctx, buffer[:n]) {
				return nil, fault.Wrap(fault.Canceled, ctx.Err(), "answer")
			}
		}
		if err == io.EOF {
			return m.end(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow updates the accounted size of a kept answer. An answer that no longer fits
// is not kept.
func (a *attempt) grow(size int64) {
	if a.start.Idempotent {
		return
	}
	d := a.delivery
	d.tableMu.Lock()
	fits := d.table.Grow(a.start.Attempt, size)
	d.tableMu.Unlock()
	if !fits {
		a.answer.stopKeeping()
	}
}

func (a *attempt) finish(end *api.AnswerEnd) {
	d := a.delivery
	d.tableMu.Lock()
	d.table.Finish(d.now(), a.start.Attempt, int64(end.Length))
	d.tableMu.Unlock()
	a.answer.finish(end)
}

// fail ends the attempt with an error. Its outcome is not-run when nothing was
// sent, otherwise unknown.
func (a *attempt) fail(w *writeGuard, err error) {
	d := a.delivery
	if !w.mayHaveWritten() {
		a.abandon(asNotRun(err))
		return
	}
	d.tableMu.Lock()
	d.table.Finish(d.now(), a.start.Attempt, 0)
	d.tableMu.Unlock()
	if a.remaining() <= 0 && !a.start.Standing {
		a.answer.refuse(toRefusal(fault.Wrap(fault.DeadlineUnknown, err, "backend server")))
		return
	}
	a.answer.refuse(toRefusal(fault.Wrap(fault.AnswerDamaged, err, "backend server")))
}

// asNotRun returns err with a kind whose outcome is that nothing ran.
func asNotRun(err error) error {
	if fault.KindOf(err) != fault.Internal && fault.KindOf(err).Answer().Outcome == fault.OutcomeNotRun {
		return err
	}
	return fault.Wrap(fault.BackendUnavailable, err, "backend server")
}

// slotHold is the slot or standing stream's connection that a call holds. It is
// released once.
type slotHold struct {
	attempt  *attempt
	standing bool
	released bool
}

// convert turns the slot into a standing stream's connection if one is free.
func (h *slotHold) convert() {
	h.standing = h.attempt.instance.limiter.convertToStanding()
}

func (h *slotHold) release() {
	if h.released {
		return
	}
	h.released = true
	if h.standing {
		h.attempt.instance.limiter.releaseStanding()
		return
	}
	h.attempt.instance.limiter.release()
}
