package dispatch

import (
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// locality decides, within one plan, whether tasks wait for room on the rack that
// holds their data, or start on another one at once and take longer there.
//
// It handles many tasks that want the data of one rack for some seconds, which the
// rack cannot hold: a short wait costs less than a run away from the data, a long one
// costs more. Each task that waits is counted against the room that is foreseen, so
// that no more tasks wait for a rack than it has room for in time.
type locality struct {
	forecast *forecast
	racks    map[string][]*load         // workers by rack
	promised map[string]resource.Vector // room that waiting tasks are going to take, by worker key
	waiting  int                        // tasks that wait for their rack in this plan
}

func newLocality(view jobs.View, in Input, fleet *fleetLoad) *locality {
	l := &locality{forecast: newForecast(view, in), racks: map[string][]*load{}, promised: map[string]resource.Vector{}}
	for _, worker := range fleet.workers {
		l.racks[worker.worker.Rack] = append(l.racks[worker.worker.Rack], worker)
	}
	return l
}

// waitsForRack reports whether a task of the candidate, for which chosen is the best
// worker with room, waits for a worker on the rack of its data instead. It waits if
// room is expected there in less time than a run away from the data takes longer, and
// the job can still be in time then. It never waits for a run that it may share its
// worker with only by chance, such as best-effort work.
func (p *planner) waitsForRack(c candidate, chosen *load, spread spread) bool {
	group := c.group.Spec
	penalty := p.in.Policy.RemotePenalty
	if penalty <= 1 || group.DataRack == "" || group.DataRack == chosen.worker.Rack || group.LongRunning || group.BestEffort {
		return false
	}
	if p.locality == nil {
		p.locality = newLocality(p.view, p.in, p.fleet)
	}
	near := milliseconds(p.in.Durations.Estimate(c.job.QueueKey, group.EstimatedMs))
	longest := min(time.Duration((penalty-1)*float64(near)), c.slack)
	if longest <= 0 {
		return false
	}
	return p.locality.promise(p, c, spread, longest)
}

// promise counts a task against the worker of its rack that has room for it first, if
// that is within the given time. It reports whether there is such a worker.
func (y *locality) promise(p *planner, c candidate, spread spread, within time.Duration) bool {
	need := demand(c.group.Spec)
	var first *load
	for _, l := range y.racks[c.group.Spec.DataRack] {
		if !p.eligible(c, l, spread) {
			continue
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
	y.waiting++
	return true
}
