package control

import (
	"maps"
	"slices"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/fleet"
	"amaranthpaddle/plan"
	"amaranthpaddle/task"
)

// zone is an availability zone. It is in service if the plan says so and no
// operator has taken it out.
type zone struct {
	name        string
	region      string
	plannedIn   bool  // set by the plan in force, or by an operator after it
	operatorOut bool  // taken out by an operator, until one puts it back
	inSinceMS   int64 // Unix milliseconds at which the zone last came into service
	outSinceMS  int64 // Unix milliseconds at which the zone last left service
}

func (z *zone) inService() bool { return z.plannedIn && !z.operatorOut }

// inService reports whether the named zone is known and in service.
func (s *State) inService(name string) bool {
	z := s.zones[name]
	return z != nil && z.inService()
}

// applyPlanZones applies the plan's zones. A zone that the plan does not name is
// out of service. A zone that an operator has taken out stays out under a new
// plan.
func (s *State) applyPlanZones(p *plan.DayPlan) {
	planned := map[string]plan.Zone{}
	for _, declared := range p.Zones {
		planned[declared.Name] = declared
		if s.zones[declared.Name] == nil {
			s.zones[declared.Name] = &zone{name: declared.Name, region: declared.Region}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		declared, named := planned[name]
		z := s.zones[name]
		was := z.inService()
		z.plannedIn = declared.InService
		if named {
			z.region = declared.Region
		}
		s.publishZone(z, was)
	}
}

func (s *State) setZone(c *api.SetZone, effects *Effects) error {
	z := s.zones[c.Zone]
	if z == nil {
		return fault.Newf(fault.NotFound, "zone %q is not in the plan", c.Zone)
	}
	was := z.inService()
	z.operatorOut = !c.InService
	if c.InService {
		z.plannedIn = true
	}
	s.publishZone(z, was)
	effects.Reschedule, effects.AllVMs = true, true
	return nil
}

func (s *State) publishZone(z *zone, wasInService bool) {
	in := z.inService()
	if in && !wasInService {
		z.inSinceMS = s.nowMS
	}
	if wasInService && !in {
		z.outSinceMS = s.nowMS
	}
	s.tasks.SetZone(z.name, in)
	s.publisher.SetZone(&api.Zone{Name: z.name, Region: z.region, InService: in})
}

func (s *State) setDrain(c *api.SetDrain, effects *Effects) error {
	if err := s.registry.SetDraining(s.nowMS, c.Vm, c.Drain); err != nil {
		return err
	}
	effects.Reschedule = true
	effects.VMs = append(effects.VMs, c.Vm)
	return nil
}

func (s *State) announceVM(c *api.AnnounceVM, effects *Effects) error {
	effects.Reschedule = true
	effects.VMs = append(effects.VMs, c.Vm.GetId())
	return s.registry.Announce(s.nowMS, announcement(c))
}

func announcement(c *api.AnnounceVM) fleet.Announcement {
	return fleet.Announcement{
		VM:             c.Vm,
		Incarnation:    c.Incarnation,
		Servers:        c.Servers,
		ServersChanged: c.ServersChanged,
		Leaving:        c.Leaving,
	}
}

// loseVM marks the VM as lost and makes its tasks pending again. The leader
// proposes it only after the VM's lease has expired.
func (s *State) loseVM(c *api.LoseVM, effects *Effects) error {
	if !s.registry.MarkLost(s.nowMS, c.Vm, c.Incarnation) {
		return fault.Newf(fault.Stale, "VM %s is already lost or has announced itself again", c.Vm)
	}
	s.tasks.VMLost(s.now(), c.Vm)
	effects.Reschedule = true
	effects.VMs = append(effects.VMs, c.Vm)
	return nil
}

func (s *State) cancelJob(c *api.CancelJob, effects *Effects) error {
	if !s.tasks.CancelJob(s.now(), task.JobID(c.Job)) {
		return fault.Newf(fault.NotFound, "job %q is not in the plan", c.Job)
	}
	effects.Reschedule, effects.AllVMs = true, true
	return nil
}
