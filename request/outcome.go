package request

import (
	"net/http"

	"amaranthpaddle/fault"
)

// RefusalOutcome returns the outcome that the caller of a refused request is
// told. A refusal concerns only this sending of the request: with an idempotency
// key, an earlier sending may have run. The work is then "not run" only if the
// caller declares this to be the first sending, if the key belongs to another
// request, or if the key is too long for any request.
func RefusalOutcome(h *http.Request, kind fault.Kind) fault.Outcome {
	outcome := kind.Answer().Outcome
	key := h.Header.Get(HeaderKey)
	if key == "" || len(key) > MaxKeyLength {
		return outcome
	}
	if h.Header.Get(HeaderFirst) == "true" || kind == fault.Conflict {
		return outcome
	}
	return fault.OutcomeUnknown
}
