package request

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthpaddle/fault"
)

// HTTP headers of callers' requests and of the answers to them.
const (
	HeaderService    = "Paddle-Service"       // service name; without it, the first path segment is the service name
	HeaderDeadline   = "Paddle-Deadline-Ms"   // how long the caller waits, milliseconds
	HeaderIdempotent = "Paddle-Idempotent"    // true or false; safe methods default to true
	HeaderKey        = "Idempotency-Key"      // a non-idempotent request runs at most once per key
	HeaderFirst      = "Paddle-First-Sending" // true when no request with the key was sent before
	HeaderClass      = "Paddle-Class"         // interactive or batch
	HeaderOutcome    = "Paddle-Outcome"       // on answers: done, not-run or unknown
	HeaderStream     = "Paddle-Stream"        // "standing", on requests and backend servers' answers
)

// StreamStanding is the value of HeaderStream that marks a standing stream.
const StreamStanding = "standing"

// Limits of callers' requests.
const (
	DefaultDeadline = 30 * time.Second
	MaxDeadline     = 15 * time.Minute
	MaxKeyLength    = 256 // bytes
	maxNameLength   = 128 // bytes
)

// Class is the priority of a caller when work is queued or shed.
type Class int

// The classes, in the order in which they are shed.
const (
	Batch Class = iota
	Interactive
)

// Request is a caller's request as read from its request line and headers.
type Request struct {
	Service    string
	Method     string
	URI        string // path and query at the backend server
	Class      Class
	Idempotent bool
	Key        string        // idempotency key, empty when there is none
	Timeout    time.Duration // how long the caller waits; 0 for a standing stream
	Standing   bool
}

// NeedsClaim reports whether the key must be claimed before the request runs.
func (r *Request) NeedsClaim() bool { return r.Key != "" && !r.Idempotent }

// Parse reads a caller's request line and headers. It returns
// fault.InvalidArgument when one of them is malformed or a standing stream is not
// idempotent.
func Parse(h *http.Request) (*Request, error) {
	r := &Request{Method: h.Method, Class: Interactive, Timeout: DefaultDeadline, Key: h.Header.Get(HeaderKey)}
	r.Service, r.URI = parseTarget(h)
	if r.Service == "" || len(r.Service) > maxNameLength {
		return nil, fault.New(fault.InvalidArgument, "the request names no service")
	}
	if len(r.Key) > MaxKeyLength {
		return nil, fault.Newf(fault.InvalidArgument, "%s is longer than %d bytes", HeaderKey, MaxKeyLength)
	}
	if err := r.parseIdempotent(h); err != nil {
		return nil, err
	}
	if err := r.parseClass(h.Header.Get(HeaderClass)); err != nil {
		return nil, err
	}
	r.Standing = h.Header.Get(HeaderStream) == StreamStanding ||
		strings.HasPrefix(h.Header.Get("Accept"), "text/event-stream")
	if r.Standing && !r.Idempotent {
		return nil, fault.New(fault.InvalidArgument, "a standing stream must be idempotent")
	}
	return r, r.parseDeadline(h.Header.Get(HeaderDeadline))
}

// parseTarget returns the service name and the URI for the backend server. A
// service name in the path is removed from the URI.
func parseTarget(h *http.Request) (service, uri string) {
	uri = h.URL.RequestURI()
	if name := h.Header.Get(HeaderService); name != "" {
		return name, uri
	}
	trimmed := strings.TrimPrefix(uri, "/")
	end := strings.IndexAny(trimmed, "/?")
	if end < 0 {
		return trimmed, "/"
	}
	service, rest := trimmed[:end], trimmed[end:]
	if rest[0] == '?' {
		rest = "/" + rest
	}
	return service, rest
}

func (r *Request) parseIdempotent(h *http.Request) error {
	value := h.Header.Get(HeaderIdempotent)
	if value == "" {
		r.Idempotent = isSafe(h.Method)
		return nil
	}
	idempotent, err := strconv.ParseBool(value)
	if err != nil {
		return fault.Newf(fault.InvalidArgument, "%s must be true or false", HeaderIdempotent)
	}
	r.Idempotent = idempotent
	return nil
}

func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

func (r *Request) parseClass(value string) error {
	switch value {
	case "", "interactive":
		r.Class = Interactive
	case "batch":
		r.Class = Batch
	default:
		return fault.Newf(fault.InvalidArgument, "%s must be interactive or batch", HeaderClass)
	}
	return nil
}

func (r *Request) parseDeadline(value string) error {
	if r.Standing {
		r.Timeout = 0
		return nil
	}
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > MaxDeadline.Milliseconds() {
		return fault.Newf(fault.InvalidArgument, "%s must be from 1 to %d", HeaderDeadline, MaxDeadline.Milliseconds())
	}
	r.Timeout = time.Duration(ms) * time.Millisecond
	return nil
}
