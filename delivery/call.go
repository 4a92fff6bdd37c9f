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

// readBuffer is how many bytes of an answer are read at a time.
const readBuffer = 32 << 10

var readBuffers = sync.Pool{New: func() any { return new([readBuffer]byte) }}

// call delivers the attempt over HTTP and fills its answer.
func (a *attempt) call(ctx context.Context) {
	defer a.body.Close()
	hold := &slotHold{attempt: a, standing: a.start.Standing}
	defer hold.release()
	began := time.Now()
	w := &wire{check: a.startNow}
	response, err := a.roundTrip(ctx, w)
	if err != nil {
		a.failed(w, err)
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
		a.failed(w, err)
		return
	}
	hold.release()
	end.BackendMs = milliseconds(time.Since(began))
	end.QueueMs = milliseconds(a.queued)
	a.finished(end)
}

// isStanding reports whether the answer is a standing stream: asked for, or
// marked so by the backend server. An error answer is not.
func isStanding(start *api.AttemptStart, response *http.Response) bool {
	marked := response.Header.Get(request.HeaderStream) == request.StreamStanding
	return (start.Standing || marked) && response.StatusCode < http.StatusMultipleChoices
}

// keepOpen lifts the deadline of an answer that turned out to be a standing stream.
func (a *attempt) keepOpen() {
	a.timeout.Stop()
	a.answer.drop()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// startNow is the last check before the first byte is sent.
func (a *attempt) startNow() error {
	d := a.delivery
	d.tableMu.Lock()
	defer d.tableMu.Unlock()
	return d.table.Start(d.now(), a.start.Attempt)
}

func (a *attempt) roundTrip(ctx context.Context, w *wire) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*checkedConn); ok {
			conn.use(w)
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
	// net/http sends a request with an idempotency key or a safe method again by
	// itself, unless it has a body that can't be read twice. So a request that is
	// not idempotent always has one, be it empty.
	if a.start.BodyLength == 0 && a.start.Idempotent {
		call.Body = http.NoBody
	}
	return a.instance.client.RoundTrip(call.WithContext(httptrace.WithClientTrace(ctx, trace)))
}

// headers returns the caller's headers and the time that is left.
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

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// IsHopHeader reports whether the header with the canonical name is not passed on.
func IsHopHeader(name string) bool { return hopHeaders[name] }

func answerHead(response *http.Response, standing bool) *api.AnswerHead {
	head := &api.AnswerHead{Status: uint32(response.StatusCode), Standing: standing}
	for name, values := range response.Header {
		if IsHopHeader(name) {
			continue
		}
		for _, value := range values {
			head.Headers = append(head.Headers, &api.HTTPHeader{Name: name, Value: value})
		}
	}
	return head
}

// copyBody reads the answer's body to its end. A body that ends early is an error.
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

// grow accounts for a kept answer; one that no longer fits is not kept.
func (a *attempt) grow(size int64) {
	if a.start.Idempotent {
		return
	}
	d := a.delivery
	d.tableMu.Lock()
	fits := d.table.Grow(a.start.Attempt, size)
	d.tableMu.Unlock()
	if !fits {
		a.answer.drop()
	}
}

func (a *attempt) finished(end *api.AnswerEnd) {
	d := a.delivery
	d.tableMu.Lock()
	d.table.Finish(d.now(), a.start.Attempt, int64(end.Length))
	d.tableMu.Unlock()
	a.answer.finish(end)
}

// failed ends the attempt with an error: not run when nothing was sent, else unknown.
func (a *attempt) failed(w *wire, err error) {
	d := a.delivery
	if !w.wrote() {
		a.abandon(notRun(err))
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

// notRun returns err with a kind that promises that nothing ran.
func notRun(err error) error {
	if fault.KindOf(err) != fault.Internal && fault.KindOf(err).Answer().Outcome == fault.OutcomeNotRun {
		return err
	}
	return fault.Wrap(fault.BackendUnavailable, err, "backend server")
}

// slotHold is the slot or standing connection of one call, released once.
type slotHold struct {
	attempt  *attempt
	standing bool
	released bool
}

// convert turns the slot into a standing stream's connection, when there is one left.
func (h *slotHold) convert() {
	h.standing = h.attempt.instance.gate.convertToStanding()
}

func (h *slotHold) release() {
	if h.released {
		return
	}
	h.released = true
	if h.standing {
		h.attempt.instance.gate.releaseStanding()
		return
	}
	h.attempt.instance.gate.release()
}
