package dispatch

import (
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// locality decides, within one plan, whether tasks wait for room on the rack of their
// data or peers, or start on another one at once and take longer there.
//
// It handles many tasks that want one rack for some seconds, which the rack cannot hold:
// a short wait costs less than a run away from data or peers, a long one costs more. Each
// task that waits is counted against the room that is foreseen, so that no more tasks
// wait for a rack than it has room for in time.
type locality struct {
	forecast *forecast
	racks    map[string][]*load         // workers by rack
	names    []string                   // of the racks, in the order of the input
	promised map[string]resource.Vector // room that waiting tasks are going to take, by worker key
	held     []jobs.GroupID             // groups with tasks that wait for their rack
}

func newLocality(view jobs.View, in Input, fleet *fleetLoad) *locality {
	l := &locality{forecast: newForecast(view, in), racks: map[string][]*load{}, promised: map[string]resource.Vector{}}
	for _, worker := range fleet.workers {
		if rack := worker.worker.Rack; l.racks[rack] == nil {
			l.names = append(l.names, rack)
		}
		l.racks[worker.worker.Rack] = append(l.racks[worker.worker.Rack], worker)
	}
	return l
}

// locate returns the locality of the plan.
func (p *planner) locate() *locality {
	if p.locality == nil {
		p.locality = newLocality(p.view, p.in, p.fleet)
	}
	return p.locality
}

// waitsForRack reports whether a task of the candidate, for which chosen is the best
// worker with room, waits for a worker on the rack of its data instead. It waits if
// room is expected there in less time than a run away from the data takes longer, as
// long as the job can be in time after the wait. It waits for no longer than the remote
// run takes, however often the forecast fails.
func (p *planner) waitsForRack(c candidate, chosen *load, spread spread) bool {
	group := c.group.Spec
	remote := p.in.Policy.RemoteFactor(group, chosen.worker.Rack)
	if remote <= 1 || group.LongRunning || group.BestEffort {
		return false
	}
	longest := p.longestWait(c, remote)
	return longest > 0 && p.locate().promise(p, c, group.DataRack, spread, longest)
}

// maxRackWait is how long tasks wait for a rack at most while their job has nothing at work.
// It is below the 3 s for which an accepted job may stand still.
const maxRackWait = 2 * time.Second

// longestWait returns for how long a task waits at most for a rack, if a run elsewhere
// takes a number of times as long. It is not positive if it does not wait.
func (p *planner) longestWait(c candidate, remote float64) time.Duration {
	near := milliseconds(p.in.Durations.Estimate(c.job.QueueKey, c.group.Spec.EstimatedMs))
	extra := time.Duration((remote - 1) * float64(near))
	spare := c.slack
	if spare >= extra {
		spare -= extra // a remote run would be in time, and must still be so after the wait
	}
	held := p.locate().heldFor(c)
	longest := min(extra, spare, near+extra-held)
	if c.job.ActiveRuns() == 0 || c.idle > 0 {
		longest = min(longest, maxRackWait-held)
	}
	return longest
}

// heldFor returns for how long tasks of the candidate have waited for their rack.
func (y *locality) heldFor(c candidate) time.Duration {
	if y.forecast.in.HeldForRack == nil {
		return 0
	}
	return y.forecast.in.HeldForRack(c.groupID())
}

// promise counts a task against the worker of a rack that has room for it first, if that
// is within the given time. It returns false if there is no such worker, or one
// has room now: then a worker elsewhere was preferred for its health.
func (y *locality) promise(p *planner, c candidate, rack string, spread spread, within time.Duration) bool {
	need := demand(c.group.Spec)
	var first *load
	for _, l := range y.racks[rack] {
		if !p.eligible(c, l, spread) {
			continue
		}
		if need.Fits(l.free()) && !p.heldBack(c, l) {
			return false
		}
		at, foreseeable := y.forecast.roomAt(l, need.Add(y.promised[l.worker.Key]))
		if foreseeable && at.Latest <= within {
			first, within = l, at.Latest
		}
	}
	if first == nil {
		return false
	}
	y.promised[first.worker.Key] = y.promised[first.worker.Key].Add(need)
	if id := c.groupID(); len(y.held) == 0 || y.held[len(y.held)-1] != id {
		y.held = append(y.held, id)
	}
	return true
}
