package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/delivery"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
)

// retryAfterSeconds is the Retry-After value of a retryable refusal.
const retryAfterSeconds = "1"

// sink writes one answer to a caller.
type sink struct {
	w            http.ResponseWriter
	request      *http.Request
	control      *http.ResponseController
	headOnly     bool // the caller asked for the head only
	started      bool
	stallTimeout time.Duration // longest time that the caller may take for the next bytes

	mu          sync.Mutex // guards writes; keep-alives are written concurrently
	lastWrite   time.Time  // when bytes were last written
	eventStream bool       // an event stream, which may contain comments
}

func newSink(w http.ResponseWriter, r *http.Request, stallTimeout time.Duration) *sink {
	return &sink{w: w, request: r, control: http.NewResponseController(w), headOnly: r.Method == http.MethodHead, stallTimeout: stallTimeout}
}

// begin writes the head. A length of -1 means that the answer is streamed as
// it arrives; its outcome then follows as a trailer.
func (s *sink) begin(head *api.AnswerHead, length int) error {
	if s.started {
		return nil
	}
	s.started = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventStream = head.Standing && isEventStream(head)
	s.lastWrite = time.Now()
	header := s.w.Header()
	for _, h := range head.Headers {
		name := http.CanonicalHeaderKey(h.Name)
		if delivery.IsHopByHopHeader(name) || name == request.HeaderOutcome || (name == "Content-Length" && !s.headOnly) {
			continue
		}
		header.Add(name, h.Value)
	}
	if length >= 0 {
		header.Set(request.HeaderOutcome, string(fault.OutcomeDone))
		if !s.headOnly && bodyAllowed(head.Status) {
			header.Set("Content-Length", strconv.Itoa(length))
		}
	} else if !head.Standing {
		header.Set("Trailer", request.HeaderOutcome)
	}
	s.extendDeadline()
	s.w.WriteHeader(int(head.Status))
	return nil
}

func bodyAllowed(status uint32) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// extendDeadline gives the caller more time to take the next bytes.
func (s *sink) extendDeadline() { _ = s.control.SetWriteDeadline(time.Now().Add(s.stallTimeout)) }

func (s *sink) write(p []byte, flush bool) error {
	if len(p) == 0 && !flush {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extendDeadline()
	if _, err := s.w.Write(p); err != nil {
		return fault.Wrap(fault.Canceled, err, "write to the caller")
	}
	s.lastWrite = time.Now()
	if flush {
		return fault.Wrap(fault.Canceled, s.control.Flush(), "write to the caller")
	}
	return nil
}

func (s *sink) finish() error {
	if s.w.Header().Get("Trailer") != "" {
		s.w.Header().Set(request.HeaderOutcome, string(fault.OutcomeDone))
	}
	return nil
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// refuse answers with an error. When a part of an answer was already passed
// on, it aborts the connection, so that the part is not taken for a complete answer.
func (s *sink) refuse(err error) {
	if s.started {
		panic(http.ErrAbortHandler)
	}
	s.started = true
	kind := fault.KindOf(err)
	answer := kind.Answer()
	outcome := string(request.RefusalOutcome(s.request, kind))
	body, _ := json.Marshal(refusalBody{Kind: answer.Name, Message: err.Error(), Outcome: outcome})
	header := s.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(request.HeaderOutcome, outcome)
	if answer.Retryable {
		header.Set("Retry-After", retryAfterSeconds)
	}
	s.extendDeadline()
	s.w.WriteHeader(answer.HTTP)
	if !s.headOnly {
		_, _ = s.w.Write(body)
	}
}
