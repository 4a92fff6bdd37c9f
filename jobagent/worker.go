package jobagent

import (
	"context"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Target identifies a worker and its address. Incarnations of the worker may share the id.
type Target struct {
	Address string // ip:port
	ID      string
}

// StartRequest starts a run on a worker.
type StartRequest struct {
	Run        jobs.RunID
	Payload    string
	Checkpoint string // checkpoint to resume from, empty for none
	Ticket     string // placement ticket from the queue's adviser, empty for none
	DeadlineMS int64  // end of the lease, on the worker's clock
	Fence      uint64 // fencing token: rises with the worker's incarnation, and in one with the term of the leader
}

// PollRequest renews the lease of all runs on a worker and asks for its lists of
// running and ended runs.
type PollRequest struct {
	DeadlineMS int64  // end of the lease, on the worker's clock; 0 to renew nothing
	Fence      uint64 // fencing token, as in StartRequest
	Cursor     int64  // acknowledges ended runs up to this position
	WaitMS     int64  // how long the worker may hold back the response until a run ends
}

// PollResponse holds a worker's lists of running and ended runs.
type PollResponse struct {
	ClockMS int64
	Born    int64 // start time of the incarnation that answered
	Running []*api.RunStatus
	Ends    []ListedEnd
	// MoreEnds is set when the worker has ended runs that did not fit into the response.
	// A run that it doesn't name may then be one of them.
	MoreEnds bool
}

// ListedEnd is the end of one run in a worker's list. Positions start at 1 and
// increase.
type ListedEnd struct {
	Position   int64
	Run        jobs.RunID
	Outcome    api.RunOutcome
	Checkpoint string
	Reason     string // how the run ended, in the worker's own terms
}

// Worker makes calls to a worker. The outcome of an error's kind tells whether
// the call may take effect: with fault.OutcomeNotRun it has not and never will,
// with any other outcome it may have, or still may later.
type Worker interface {
	Start(ctx context.Context, target Target, request StartRequest) (clockMS int64, err error)
	Stop(ctx context.Context, target Target, run jobs.RunID, fence uint64) (clockMS int64, err error)
	Poll(ctx context.Context, target Target, request PollRequest) (*PollResponse, error)
	Pace(ctx context.Context, target Target, run jobs.RunID, percent int, fence uint64) (clockMS int64, err error)
	// CheckHealth returns nil when the worker's health check at the path succeeds.
	CheckHealth(ctx context.Context, target Target, path string) error
}

// Registration is a worker's description of itself and its state.
type Registration struct {
	Worker   *api.Worker
	Address  string // ip:port at which the worker takes calls
	Sequence int64  // increases within an incarnation
}
