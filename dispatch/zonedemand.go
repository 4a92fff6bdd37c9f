package dispatch

import (
	"maps"
	"math"
	"time"
)

// ZoneDemand measures the work that the callers of each zone submit to a queue, and
// derives the weights of the zones' shares from it. A zone is entitled to its usual demand
// and to what other zones of the queue demand less than usually. So a burst in one zone
// delays that zone's jobs, while demand that moves from one zone to another takes its
// part of the room along. It is not safe for concurrent use.
type ZoneDemand struct {
	queues map[string]*queueDemand
}

type queueDemand struct {
	since, at time.Time // first and latest submission
	zones     map[string]*demandRate
}

// demandRate is the demand of a zone, in core-seconds of work per second.
type demandRate struct {
	sum      float64 // decayed with presentDemandTime
	entitled float64
}

const (
	// presentDemandTime is the time constant of the present demand. With 2 s, the chance
	// in the arrivals passed too much of the entitlement of a steady zone on to others.
	presentDemandTime = 3 * time.Second
	// entitlementTransferTime is the time constant with which entitlement moves between
	// zones. With 4 s, demand that moved 5 s before a burst still counted as part of it.
	entitlementTransferTime = 500 * time.Millisecond
	// usualDemandTime is the time constant with which the entitlement follows a demand that
	// grows or shrinks as a whole. Bursts last for 4 to 10 s: within one, the entitlement
	// rises by a sixth of the burst at most.
	usualDemandTime = 60 * time.Second
	// minZoneWeight bounds how much a zone with little usual demand gives way to others, so
	// that a zone from which nothing came before is delayed but not starved.
	minZoneWeight = 0.25
)

// NewZoneDemand returns a ZoneDemand without observations.
func NewZoneDemand() *ZoneDemand { return &ZoneDemand{queues: map[string]*queueDemand{}} }

// Learn records a submitted job by its work in core-seconds.
func (d *ZoneDemand) Learn(queue, zone string, work float64, now time.Time) {
	q := d.queues[queue]
	if q == nil {
		d.forget(now)
		q = &queueDemand{since: now, at: now, zones: map[string]*demandRate{}}
		d.queues[queue] = q
	}
	if q.zones[zone] == nil {
		q.zones[zone] = &demandRate{}
	}
	q.advance(now)
	q.zones[zone].sum += work
}

// forget drops the queues without demand for several times usualDemandTime, to bound the
// memory while configurations add and remove queues.
func (d *ZoneDemand) forget(now time.Time) {
	maps.DeleteFunc(d.queues, func(_ string, q *queueDemand) bool { return now.Sub(q.at) > 5*usualDemandTime })
}

// present returns the present demand of a zone: an average since the first submission to
// the queue, as long as that is shorter than the time constant.
func (q *queueDemand) present(z *demandRate) float64 {
	seen := max(q.at.Sub(q.since), time.Millisecond)
	return z.sum / (presentDemandTime.Seconds() * -math.Expm1(-float64(seen)/float64(presentDemandTime)))
}

// advance moves the averages forward to now.
func (q *queueDemand) advance(now time.Time) {
	passed := now.Sub(q.at)
	if passed <= 0 {
		return
	}
	q.at = now
	decay := math.Exp(-float64(passed) / float64(presentDemandTime))
	for _, z := range q.zones {
		z.sum *= decay
	}
	given, taken := q.transfer()
	transferred := -math.Expm1(-float64(passed) / float64(entitlementTransferTime))
	// Until the usual demand is known, the present one is taken for it.
	usual := -math.Expm1(-float64(passed) / float64(min(now.Sub(q.since), usualDemandTime)))
	for _, z := range q.zones {
		gap := q.present(z) - z.entitled
		moved := given
		if gap > 0 {
			moved = taken
		}
		z.entitled += gap * max(moved*transferred, usual)
	}
}

// transfer returns which part of what zones demand less than they are entitled to can go
// to others, and which part of what these demand more than that they can take.
func (q *queueDemand) transfer() (given, taken float64) {
	spare, excess := 0.0, 0.0
	for _, z := range q.zones {
		gap := q.present(z) - z.entitled
		spare += max(-gap, 0)
		excess += max(gap, 0)
	}
	moved := min(spare, excess)
	return moved / max(spare, math.SmallestNonzeroFloat64), moved / max(excess, math.SmallestNonzeroFloat64)
}

// Weights returns the weights of a queue's zones, 1 on average before the lower bound
// applies. It returns nil if there are no two zones to compare.
func (d *ZoneDemand) Weights(queue string, now time.Time) map[string]float64 {
	q := d.queues[queue]
	if q == nil || len(q.zones) < 2 {
		return nil
	}
	q.advance(now)
	given, taken := q.transfer()
	weights, sum := make(map[string]float64, len(q.zones)), 0.0
	for zone, z := range q.zones {
		gap := q.present(z) - z.entitled
		weights[zone] = z.entitled + taken*max(gap, 0) - given*max(-gap, 0)
		sum += weights[zone]
	}
	if sum <= 0 {
		return nil
	}
	for zone, entitled := range weights {
		weights[zone] = max(entitled*float64(len(weights))/sum, minZoneWeight)
	}
	return weights
}
