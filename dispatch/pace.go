package dispatch

// Serving is what a worker shows of a task with a latency target.
type Serving struct {
	TailMS   int64 // tail latency over the last interval, 0 when nothing is known
	TargetMS int64
}

// Pacing is the pace of the best-effort tasks beside services on one worker.
// The load pattern that it answers: the services' load swings within seconds,
// and best-effort tasks disturb them by amounts that nobody declares. It goes
// down at once when a service nears its target, and up slowly while all are
// well below. The zero value is not ready for use; see NewPacing.
type Pacing struct {
	percent int
	calm    int // looks in a row at which a higher pace would have been fine
}

// Limits of the pace, in percent, and when it changes, as tail latency relative
// to the target.
const (
	fullPace   = 100
	lowestPace = 5    // below it a task is paused instead
	easePart   = 0.85 // from here on the pace goes down
	raisePart  = 0.6  // below it the pace goes up
	overFactor = 0.35 // of the pace, when a service is over its target
	nearFactor = 0.7  // of the pace, when one is near it
	raiseStep  = 15   // percent points
	calmLooks  = 2    // looks before a raise
)

// NewPacing returns the pacing of a worker that runs at full pace.
func NewPacing() *Pacing { return &Pacing{percent: fullPace} }

// Percent returns the pace in force, from 0 to 100.
func (p *Pacing) Percent() int { return p.percent }

// Look takes in one look at the services of the worker and returns the pace
// that its best-effort tasks should have.
func (p *Pacing) Look(services []Serving) int {
	worst := 0.0
	for _, s := range services {
		if s.TargetMS > 0 {
			worst = max(worst, float64(s.TailMS)/float64(s.TargetMS))
		}
	}
	switch {
	case worst >= 1:
		p.lower(overFactor)
	case worst >= easePart:
		p.lower(nearFactor)
	case worst < raisePart:
		p.calm++
		if p.calm >= calmLooks {
			p.percent = min(p.percent+raiseStep, fullPace)
		}
	default:
		p.calm = 0
	}
	return p.percent
}

func (p *Pacing) lower(factor float64) {
	p.calm = 0
	p.percent = int(float64(p.percent) * factor)
	if p.percent < lowestPace {
		p.percent = 0
	}
}
