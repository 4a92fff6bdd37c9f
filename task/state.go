package task

// State is a task's state in its life cycle.
type State uint8

// The states of a task. A task in Starting, Running, Stopping or Cancelling
// holds a grant on one VM.
const (
	Pending    State = iota // waits for a VM
	Starting                // committed to a VM that has not confirmed the start
	Running                 // the VM has confirmed the start
	Stopping                // asked to take a checkpoint and stop; waits for the VM's confirmation
	Cancelling              // as Stopping, but the task is no longer wanted
	Finished                // done; not placed again in this run of the job
	Cancelled               // no longer wanted, and confirmed not running
	stateCount
)

var stateNames = [stateCount]string{
	"pending", "starting", "running", "stopping", "cancelling", "finished", "cancelled",
}

// String returns the lowercase name of s.
func (s State) String() string {
	if s >= stateCount {
		return "invalid"
	}
	return stateNames[s]
}

// HoldsGrant reports whether a task in state s occupies resources of a VM.
func (s State) HoldsGrant() bool { return s >= Starting && s <= Cancelling }

// active reports whether a task in state s counts against its team's quota. A task
// that was asked to stop no longer does.
func (s State) active() bool { return s == Starting || s == Running }

// Done reports whether a task in state s will not run again in this run of its job.
func (s State) Done() bool { return s == Finished || s == Cancelled }

type event uint8

const (
	eventPlace event = iota
	eventStarted
	eventStop
	eventStopped
	eventFinished
	eventFailed
	eventVMLost
	eventCancel
	eventUncancel
	eventRerun
	eventCount
)

// none marks an event that is not valid in a state.
const none = stateCount

// transitions gives the next state for each state and event.
var transitions = [stateCount][eventCount]State{
	//          place     started  stop      stopped    finished  failed     VM lost    cancel      uncancel  rerun
	Pending:    {Starting, none, none, none, none, none, none, Cancelled, none, none},
	Starting:   {none, Running, Stopping, Pending, Finished, Pending, Pending, Cancelling, none, none},
	Running:    {none, none, Stopping, Pending, Finished, Pending, Pending, Cancelling, none, none},
	Stopping:   {none, none, none, Pending, Finished, Pending, Pending, Cancelling, none, none},
	Cancelling: {none, none, none, Cancelled, Finished, Cancelled, Cancelled, none, Stopping, none},
	Finished:   {none, none, none, none, none, none, none, none, none, Pending},
	Cancelled:  {none, none, none, none, none, none, none, none, Pending, none},
}

// next returns the state after e, and whether e is valid in s.
func (s State) next(e event) (State, bool) {
	to := transitions[s][e]
	return to, to != none
}
