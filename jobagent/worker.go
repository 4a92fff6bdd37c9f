package jobagent

import (
	"context"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Target names one incarnation of a worker and where it answers.
type Target struct {
	Address string // ip:port
	ID      string
}

// StartCall begins a run at a worker.
type StartCall struct {
	Run        jobs.RunID
	Payload    string
	Checkpoint string // to resume from, empty for none
	Ticket     string // of the queue's adviser, empty for none
	DeadlineMS int64  // end of the lease, on the worker's clock
	Fence      uint64 // term of the leader that ordered it
}

// HoldCall renews the lease of everything that runs at a worker and asks for
// its lists.
type HoldCall struct {
	DeadlineMS int64 // end of the lease, on the worker's clock; 0 to renew nothing
	Fence      uint64
	Cursor     int64 // ends up to this one are recorded
	WaitMS     int64 // for which the answer may wait for an end
}

// HoldAnswer is what a worker lists.
type HoldAnswer struct {
	ClockMS int64
	Born    int64 // of the incarnation that answered
	Running []*api.RunStatus
	Ends    []ListedEnd
}

// ListedEnd is one end in a worker's list. Positions begin at 1 and rise.
type ListedEnd struct {
	Position   int64
	Run        jobs.RunID
	Outcome    api.RunOutcome
	Checkpoint string
	Reason     string // the worker's own word
}

// Worker is the interface of workers. The outcome of an error's kind says
// whether the call may have been carried out: a fault.OutcomeNotRun is final,
// any other outcome means that it may still be, also later.
type Worker interface {
	Start(ctx context.Context, target Target, call StartCall) (clockMS int64, err error)
	Stop(ctx context.Context, target Target, run jobs.RunID, fence uint64) (clockMS int64, err error)
	Hold(ctx context.Context, target Target, call HoldCall) (*HoldAnswer, error)
	Pace(ctx context.Context, target Target, run jobs.RunID, percent int, fence uint64) error
	// CheckHealth returns nil when the worker says at the path that it is healthy.
	CheckHealth(ctx context.Context, target Target, path string) error
}

// Registration is what a worker says of itself.
type Registration struct {
	Worker   *api.Worker
	Address  string // ip:port at which it answers
	Sequence int64  // rises within an incarnation
}
