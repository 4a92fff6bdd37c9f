package dispatch

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Policy holds the scheduling features that a deployment has switched on. The zero
// value switches all of them off.
type Policy struct {
	Reservations      int     // largest number of reservations per service at a time
	Preemption        bool    // runs of little value give way to waiting tasks
	ForecastAdmission bool    // admission by a forecast of the room, in place of the backlog's drain rate
	FairShares        bool    // callers that compete for too little room share it
	LateLast          bool    // late jobs go after those of less urgent queues that can still be in time
	PartialFit        float64 // least share of its CPU with which a best-effort task starts, 0 and 1 for all of it
	RemotePenalty     float64 // factor on the duration of a task away from its data or peers, 0 if unknown
	MoveFromShrunk    bool    // best-effort runs are moved off workers that hold more than their capacity
}

// RemoteFactor returns how many times as long a task takes on a worker because its
// data is on another rack, 1 if that is not known.
func (p Policy) RemoteFactor(group *api.TaskGroup, workerRack string) float64 {
	if group.GetDataRack() == "" || group.GetDataRack() == workerRack {
		return 1
	}
	return max(p.RemotePenalty, 1)
}

// Any reports whether any feature is switched on.
func (p Policy) Any() bool { return p != Policy{} }

// RunStatus is what the leader knows of an active run.
type RunStatus struct {
	Age      time.Duration // since its start was committed
	Percent  int32         // of its work that is done, by the latest listing
	Pace     int32         // in percent of full pace, 0 while it is paused
	Stopping bool          // a stop has been ordered
	// SavedPercent is Percent as of the latest checkpoint, 0 without one.
	SavedPercent int32

	Lost      time.Duration // of Age, to a pace below full pace
	ListedAgo time.Duration // since the listing that Percent is from
	// BasePercent and BaseAge are an earlier progress and the age at it, less what was
	// lost until then. They are zero for a run that began at 0 percent.
	BasePercent int32
	BaseAge     time.Duration
}

// runStatus returns the status of a run, false if nothing is known of it.
func (in Input) runStatus(run jobs.RunID) (RunStatus, bool) {
	if in.Run == nil {
		return RunStatus{}, false
	}
	return in.Run(run)
}
