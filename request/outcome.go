package request

import (
	"net/http"

	"amaranthpaddle/fault"
)

// RefusalOutcome returns the outcome that a refused request's caller is told.
// A refusal speaks of this sending only. When a request carries an idempotency
// key, an earlier sending of it may have run, so that its work is "not run"
// only if the caller states that this is the first sending, if the key belongs
// to another request, or if no request can have such a key.
func RefusalOutcome(h *http.Request, kind fault.Kind) fault.Outcome {
	stated := kind.Answer().Outcome
	key := h.Header.Get(HeaderKey)
	if key == "" || len(key) > MaxKeyLength {
		return stated
	}
	if h.Header.Get(HeaderFirst) == "true" || kind == fault.Conflict {
		return stated
	}
	return fault.OutcomeUnknown
}
