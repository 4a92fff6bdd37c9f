// Package fault defines the closed list of error kinds and, in one table, how
// each kind is answered over HTTP, gRPC and the command line.
package fault

import (
	stderrors "errors"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
)

// Kind classifies an error. The list is closed: every Kind has a row in the table.
type Kind int

// The error kinds.
const (
	Internal           Kind = iota // unexpected failure; the effect of the call is not known
	InvalidArgument                // malformed request, sheet or setting
	NotFound                       // the named service, task, plan or zone does not exist
	Conflict                       // the same number or key was used with different content
	Stale                          // a lower plan number, an older revision, or an order that a newer one may have overtaken
	Unauthenticated                // no valid credential
	Forbidden                      // the credential does not allow the call
	TooLarge                       // a body or header exceeds its limit
	Overloaded                     // shed by a limit or a full queue before it ran
	Draining                       // the process or backend server takes no new work
	NoBackend                      // no backend server can take the request
	NotLeader                      // another control replica leads
	NoQuorum                       // a quorum of control replicas could not be reached before the call took effect
	CommitUnknown                  // the change was proposed, and whether it was committed is not known
	DeadlineNotRun                 // the deadline passed before the request ran
	DeadlineUnknown                // the deadline passed while the request may have been running
	ConnectionLost                 // the connection failed after the request was delivered
	AnswerDamaged                  // the answer was cut short or failed its digest
	Fenced                         // the attempt was fenced before it ran and will never run
	BackendUnavailable             // the backend server refused the connection, so the request did not run
	StorageFailed                  // a write or sync of durable state failed
	DataCorrupt                    // durable state failed its checksum
	Canceled                       // the caller went away
	KeyInUse                       // the idempotency key is claimed by a request that is still running
	KeyExpired                     // the idempotency key's result is no longer retained
	kindCount
)

// Outcome states what a caller may conclude about the work it asked for.
type Outcome string

// The outcomes.
const (
	OutcomeNotRun  Outcome = "not-run" // the work did not run and will not run
	OutcomeUnknown Outcome = "unknown" // the work may have run
	OutcomeDone    Outcome = "done"    // the work ran, and the answer is whole
)

// Answer is how one Kind is presented to callers.
type Answer struct {
	Name      string     // stable name used in bodies, logs and metrics
	HTTP      int        // HTTP status code
	GRPC      codes.Code // gRPC status code
	Outcome   Outcome    // what the caller may conclude
	Retryable bool       // whether the same request may succeed later or elsewhere
	Exit      int        // exit code of the command line
}

// Exit codes of the command line.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the call failed
	ExitInvalid  = 2 // the input was refused; nothing changed
	ExitConflict = 3 // the change lost against another one
	ExitRetry    = 4 // nothing changed; try again later
	ExitUnknown  = 5 // the change may have taken effect; resend it with the same change id
)

var table = [kindCount]Answer{
	Internal:           {"internal", http.StatusInternalServerError, codes.Internal, OutcomeUnknown, false, ExitFailure},
	InvalidArgument:    {"invalid-argument", http.StatusBadRequest, codes.InvalidArgument, OutcomeNotRun, false, ExitInvalid},
	NotFound:           {"not-found", http.StatusNotFound, codes.NotFound, OutcomeNotRun, false, ExitFailure},
	Conflict:           {"conflict", http.StatusConflict, codes.AlreadyExists, OutcomeNotRun, false, ExitConflict},
	Stale:              {"stale", http.StatusPreconditionFailed, codes.FailedPrecondition, OutcomeNotRun, false, ExitConflict},
	Unauthenticated:    {"unauthenticated", http.StatusUnauthorized, codes.Unauthenticated, OutcomeNotRun, false, ExitFailure},
	Forbidden:          {"forbidden", http.StatusForbidden, codes.PermissionDenied, OutcomeNotRun, false, ExitFailure},
	TooLarge:           {"too-large", http.StatusRequestEntityTooLarge, codes.OutOfRange, OutcomeNotRun, false, ExitInvalid},
	Overloaded:         {"overloaded", http.StatusTooManyRequests, codes.ResourceExhausted, OutcomeNotRun, true, ExitRetry},
	Draining:           {"draining", http.StatusServiceUnavailable, codes.Unavailable, OutcomeNotRun, true, ExitRetry},
	NoBackend:          {"no-backend", http.StatusServiceUnavailable, codes.Unavailable, OutcomeNotRun, true, ExitRetry},
	NotLeader:          {"not-leader", http.StatusMisdirectedRequest, codes.Unavailable, OutcomeNotRun, true, ExitRetry},
	NoQuorum:           {"no-quorum", http.StatusServiceUnavailable, codes.Unavailable, OutcomeNotRun, true, ExitRetry},
	CommitUnknown:      {"commit-unknown", http.StatusServiceUnavailable, codes.Unknown, OutcomeUnknown, true, ExitUnknown},
	DeadlineNotRun:     {"deadline-not-run", http.StatusGatewayTimeout, codes.DeadlineExceeded, OutcomeNotRun, true, ExitRetry},
	DeadlineUnknown:    {"deadline-unknown", http.StatusGatewayTimeout, codes.DeadlineExceeded, OutcomeUnknown, false, ExitUnknown},
	ConnectionLost:     {"connection-lost", http.StatusBadGateway, codes.Unknown, OutcomeUnknown, false, ExitUnknown},
	AnswerDamaged:      {"answer-damaged", http.StatusBadGateway, codes.DataLoss, OutcomeUnknown, false, ExitUnknown},
	Fenced:             {"fenced", http.StatusServiceUnavailable, codes.Aborted, OutcomeNotRun, true, ExitRetry},
	BackendUnavailable: {"backend-unavailable", http.StatusBadGateway, codes.Unavailable, OutcomeNotRun, true, ExitRetry},
	StorageFailed:      {"storage-failed", http.StatusInsufficientStorage, codes.Internal, OutcomeUnknown, false, ExitFailure},
	DataCorrupt:        {"data-corrupt", http.StatusInternalServerError, codes.DataLoss, OutcomeUnknown, false, ExitFailure},
	Canceled:           {"canceled", 499, codes.Canceled, OutcomeUnknown, false, ExitUnknown},
	KeyInUse:           {"key-in-use", http.StatusConflict, codes.Aborted, OutcomeUnknown, true, ExitUnknown},
	KeyExpired:         {"key-expired", http.StatusConflict, codes.FailedPrecondition, OutcomeUnknown, false, ExitUnknown},
}

// Answer returns the table row of k. A Kind outside the list is answered as Internal.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the stable name of k.
func (k Kind) String() string { return k.Answer().Name }

// Kinds returns every Kind in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// ParseKind returns the Kind with the stable name, and whether there is one.
func ParseKind(name string) (Kind, bool) {
	for k := Kind(0); k < kindCount; k++ {
		if table[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}

// Error is an error with a Kind.
type Error struct {
	Kind       Kind
	cause      error
	retryAfter time.Duration
}

// Error returns the message of the cause, after the kind's name. The name is
// not repeated when the cause, such as the error of a call to another process,
// begins with it.
func (e *Error) Error() string {
	message, prefix := e.cause.Error(), e.Kind.String()+": "
	if strings.HasPrefix(message, prefix) {
		return message
	}
	return prefix + message
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k with a constant message.
func New(k Kind, message string) error {
	return &Error{Kind: k, cause: errors.New(message)}
}

// Newf returns an error of kind k with a formatted message.
func Newf(k Kind, format string, args ...any) error {
	return &Error{Kind: k, cause: errors.Errorf(format, args...)}
}

// Wrap returns err as an error of kind k, with a message in front. It returns nil for a nil err.
func Wrap(k Kind, err error, message string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, cause: errors.WithMessage(err, message)}
}

// WithRetryAfter returns err with the time after which the call may be tried
// again. It returns nil for a nil err. The time is not sent over gRPC.
func WithRetryAfter(err error, after time.Duration) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: KindOf(err), cause: err, retryAfter: after}
}

// RetryAfter returns the time after which a call that failed with err may be
// tried again, from the outermost Error in its chain; 0 if it is not known.
func RetryAfter(err error) time.Duration {
	var e *Error
	if stderrors.As(err, &e) {
		return e.retryAfter
	}
	return 0
}

// KindOf returns the Kind of err: the outermost Error in its chain, or Internal.
func KindOf(err error) Kind {
	var e *Error
	if stderrors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err has kind k.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }
