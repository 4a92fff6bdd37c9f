package request

import "amaranthpaddle/fault"

// Step is the next action of an entry for a request.
type Step int

// The steps.
const (
	StepSend         Step = iota // send a new attempt, to any backend server
	StepLookup                   // look up or fence the attempt at its agent
	StepLookupHolder             // look up the attempt that holds the key's claim
	StepAnswer                   // tell the caller the result
)

// Progress holds what an entry knows about a request's attempts so far. It decides
// whether the request may be sent again and which outcome its caller is told.
type Progress struct {
	Idempotent bool
	maybeRan   bool // an attempt may have run, but its answer did not reach the caller
}

// AfterAttempt returns the next step after an attempt ended with err, which is
// not nil. The step assumes that retry budget and time are left; without them
// StepSend becomes StepAnswer.
func (p *Progress) AfterAttempt(err error) Step {
	kind := fault.KindOf(err)
	answer := kind.Answer()
	switch {
	case kind == fault.KeyInUse:
		return StepLookupHolder
	case answer.Outcome == fault.OutcomeNotRun && answer.Retryable:
		return StepSend
	case answer.Outcome == fault.OutcomeNotRun:
		return StepAnswer
	case p.Idempotent:
		p.maybeRan = true
		return StepSend
	case kind == fault.ConnectionLost || kind == fault.AnswerDamaged || kind == fault.Canceled || kind == fault.DeadlineUnknown:
		return StepLookup
	default:
		p.maybeRan = true
		return StepAnswer
	}
}

// AfterLookup returns the next step after a lookup that found state. If an attempt
// is Fenced, a new one may be sent; if it is Finished, its answer is passed on to
// the caller. In any other state it may have run, and the caller is told so.
func (p *Progress) AfterLookup(state State) Step {
	switch state {
	case Fenced:
		return StepSend
	case Finished:
		return StepAnswer
	default:
		p.maybeRan = true
		return StepAnswer
	}
}

// Final returns the error that the caller is told for err. If an earlier attempt
// may have run, an error whose outcome is not-run is replaced by one whose outcome
// is unknown: fault.DeadlineUnknown for fault.DeadlineNotRun, or else
// fault.ConnectionLost.
func (p *Progress) Final(err error) error {
	kind := fault.KindOf(err)
	if !p.maybeRan || kind.Answer().Outcome != fault.OutcomeNotRun {
		return err
	}
	if kind == fault.DeadlineNotRun {
		return fault.Wrap(fault.DeadlineUnknown, err, "an earlier attempt may have run")
	}
	return fault.Wrap(fault.ConnectionLost, err, "an earlier attempt may have run")
}
