package jobcontrol

import "amaranthpaddle/api"

// maxOrderedZones bounds the zones whose orders are told apart.
const maxOrderedZones = 1000

// zoneOrders tells which orders on zones may have been overtaken. For each zone it holds
// the index up to which the log was applied when the last order on it was settled: a
// replica that is up to date when it reads a later order has applied at least that. It
// is guarded by leadership.mu.
type zoneOrders struct {
	floor       uint64            // index of zones that are not in applied
	applied     map[string]uint64 // by zone
	outstanding map[string]int    // number of orders that were proposed and not settled, by zone
}

// newZoneOrders returns the state of a leader that has applied the log up to an index.
func newZoneOrders(applied uint64) zoneOrders {
	return zoneOrders{floor: applied, applied: map[string]uint64{}, outstanding: map[string]int{}}
}

// overtaken reports whether an order on a zone may precede one that was applied or
// proposed: its reader had applied the log up to seen only. An order whose reader is not
// known to have applied anything (0) is never overtaken.
func (z *zoneOrders) overtaken(zone string, seen uint64) bool {
	if seen == 0 {
		return false
	}
	index, known := z.applied[zone]
	if !known {
		index = z.floor
	}
	return seen < index || z.outstanding[zone] > 0
}

// propose records the orders in a batch that is proposed.
func (z *zoneOrders) propose(changes []*pendingChange) {
	for _, p := range changes {
		if order := p.change.GetZone(); order != nil {
			z.outstanding[order.Zone]++
		}
	}
}

// settle records that the result of a batch is known, or that it failed. The log is
// applied up to an index.
func (z *zoneOrders) settle(changes []*pendingChange, applied uint64) {
	for _, p := range changes {
		if order := p.change.GetZone(); order != nil {
			z.settleOrder(order, applied)
		}
	}
	if len(z.applied) > maxOrderedZones {
		z.floor = applied
		clear(z.applied)
	}
}

func (z *zoneOrders) settleOrder(order *api.ZoneOrder, applied uint64) {
	if z.outstanding[order.Zone]--; z.outstanding[order.Zone] <= 0 {
		delete(z.outstanding, order.Zone)
	}
	z.applied[order.Zone] = applied
}
