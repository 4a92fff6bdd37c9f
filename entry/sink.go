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

// retryAfter is the pause that a retryable refusal asks for, seconds.
const retryAfter = "1"

// sink writes one answer to a caller.
type sink struct {
	w       http.ResponseWriter
	asked   *http.Request
	control *http.ResponseController
	head    bool // the caller asked for the head only
	begun   bool
	stall   time.Duration // that the caller may take for the next bytes

	mu      sync.Mutex // guards writes, which a keep-alive may make too
	written time.Time  // of the last bytes
	events  bool       // an event stream, in which comments may stand
}

func newSink(w http.ResponseWriter, r *http.Request, stall time.Duration) *sink {
	return &sink{w: w, asked: r, control: http.NewResponseController(w), head: r.Method == http.MethodHead, stall: stall}
}

// begin writes the head. A length of -1 means that the answer is passed on as
// it arrives; its outcome then follows as a trailer.
func (s *sink) begin(head *api.AnswerHead, length int) error {
	if s.begun {
		return nil
	}
	s.begun = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = head.Standing && isEventStream(head)
	s.written = time.Now()
	header := s.w.Header()
	for _, h := range head.Headers {
		name := http.CanonicalHeaderKey(h.Name)
		if delivery.IsHopByHopHeader(name) || name == request.HeaderOutcome || (name == "Content-Length" && !s.head) {
			continue
		}
		header.Add(name, h.Value)
	}
	if length >= 0 {
		header.Set(request.HeaderOutcome, string(fault.OutcomeDone))
		if !s.head && bodyAllowed(head.Status) {
			header.Set("Content-Length", strconv.Itoa(length))
		}
	} else if !head.Standing {
		header.Set("Trailer", request.HeaderOutcome)
	}
	s.extend()
	s.w.WriteHeader(int(head.Status))
	return nil
}

func bodyAllowed(status uint32) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// extend gives the caller more time to take the next bytes.
func (s *sink) extend() { _ = s.control.SetWriteDeadline(time.Now().Add(s.stall)) }

func (s *sink) write(p []byte, flush bool) error {
	if len(p) == 0 && !flush {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extend()
	if _, err := s.w.Write(p); err != nil {
		return fault.Wrap(fault.Canceled, err, "write to the caller")
	}
	s.written = time.Now()
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
// on, the connection is cut, so that the part is not taken for the whole.
func (s *sink) refuse(err error) {
	if s.begun {
		panic(http.ErrAbortHandler)
	}
	s.begun = true
	kind := fault.KindOf(err)
	answer := kind.Answer()
	outcome := string(request.RefusalOutcome(s.asked, kind))
	body, _ := json.Marshal(refusalBody{Kind: answer.Name, Message: err.Error(), Outcome: outcome})
	header := s.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(request.HeaderOutcome, outcome)
	if answer.Retryable {
		header.Set("Retry-After", retryAfter)
	}
	s.extend()
	s.w.WriteHeader(answer.HTTP)
	if !s.head {
		_, _ = s.w.Write(body)
	}
}
