package control

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/plan"
	"amaranthpaddle/scheduler"
)

// maxAcceptedPlans limits the number of accepted plans kept.
const maxAcceptedPlans = 64

// acceptedPlans holds the latest accepted plans, oldest first.
type acceptedPlans struct{ list []*api.AcceptedPlan }

func (a *acceptedPlans) find(number uint64) *api.AcceptedPlan {
	for _, p := range a.list {
		if p.Number == number {
			return p
		}
	}
	return nil
}

func (a *acceptedPlans) latest() *api.AcceptedPlan {
	if len(a.list) == 0 {
		return &api.AcceptedPlan{}
	}
	return a.list[len(a.list)-1]
}

func (a *acceptedPlans) add(p *api.AcceptedPlan) {
	a.list = append(a.list, p)
	if len(a.list) > maxAcceptedPlans {
		a.list = a.list[1:]
	}
}

// submitPlan accepts a plan whose number is higher than that of the plan in
// force. A second plan with the same number never replaces the first.
func (s *State) submitPlan(c *api.SubmitPlan, effects *Effects) *api.CommandResult {
	data, err := decompressPlan(c.Plan)
	if err != nil {
		return refusal(err)
	}
	submitted := &plan.DayPlan{}
	if err := submitted.Decode(data); err != nil {
		return refusal(err)
	}
	canonical, err := submitted.Encode()
	if err != nil {
		return refusal(err)
	}
	sum := sha256.Sum256(canonical)
	if first := s.accepted.find(submitted.Number); first != nil {
		return repeatedPlan(first, sum[:])
	}
	if latest := s.accepted.latest(); submitted.Number <= latest.Number {
		return refusal(fault.Newf(fault.Stale, "plan %d is older than plan %d, which is in force", submitted.Number, latest.Number))
	}
	warnings := append(s.zoneWarnings(submitted), s.unplaceableWarnings(submitted)...)
	s.applyPlan(submitted, canonical)
	effects.Reschedule, effects.AllVMs = true, true
	result := s.finish(nil)
	record := &api.AcceptedPlan{Number: submitted.Number, Digest: sum[:], Revision: result.Revision, Warnings: warnings}
	s.accepted.add(record)
	return planResult(record, false)
}

func repeatedPlan(first *api.AcceptedPlan, digest []byte) *api.CommandResult {
	if bytes.Equal(first.Digest, digest) {
		return planResult(first, true)
	}
	result := refusal(fault.Newf(fault.Conflict,
		"plan %d was accepted with other content, digest %x; this one has digest %x", first.Number, first.Digest, digest))
	result.PlanNumber, result.PlanDigest, result.Revision = first.Number, first.Digest, first.Revision
	return result
}

func planResult(p *api.AcceptedPlan, repeated bool) *api.CommandResult {
	return &api.CommandResult{
		Revision:   p.Revision,
		Repeated:   repeated,
		PlanNumber: p.Number,
		PlanDigest: p.Digest,
		Warnings:   p.Warnings,
	}
}

func (s *State) applyPlan(p *plan.DayPlan, canonical []byte) {
	s.plan, s.planData = p, canonical
	s.tasks.ApplyPlan(p, s.now())
	s.applyPlanZones(p)
	s.publishServices(p)
	s.publisher.SetPlanNumber(p.Number)
}

func (s *State) publishServices(p *plan.DayPlan) {
	declared := map[string]bool{}
	for i := range p.Services {
		service := &p.Services[i]
		declared[service.Name] = true
		s.publisher.SetService(&api.ServicePolicy{
			Name:              service.Name,
			ObjectiveMs:       float64(service.Objective.Microseconds()) / 1000,
			ObjectiveFraction: service.ObjectiveFraction,
			LatencyWeight:     p.LatencyWeight,
		})
	}
	for _, published := range s.directory().Services() {
		if !declared[published.Name] {
			s.publisher.RemoveService(published.Name)
		}
	}
}

// zoneWarnings returns a warning for each zone that the plan declares in service
// but an operator has taken out. It stays out until an operator puts it back.
func (s *State) zoneWarnings(p *plan.DayPlan) []string {
	var warnings []string
	for _, declared := range p.Zones {
		z := s.zones[declared.Name]
		if declared.InService && z != nil && z.operatorOut {
			warnings = append(warnings, fmt.Sprintf("zone %s stays out of service: an operator took it out", declared.Name))
		}
	}
	return warnings
}

// unplaceableWarnings returns a warning for each job or service of the plan that
// no known VM is large enough for.
func (s *State) unplaceableWarnings(p *plan.DayPlan) []string {
	var warnings []string
	for _, e := range scheduler.Unschedulable(p, s.capacities()) {
		warnings = append(warnings, e.Job+" can run nowhere: "+e.Reason)
	}
	return warnings
}

// capacities returns the VMs that are not lost, with their capacities only.
func (s *State) capacities() []scheduler.VM {
	var list []scheduler.VM
	for _, vm := range s.registry.VMs() {
		if !vm.Lost {
			list = append(list, scheduler.VM{ID: vm.ID, Capacity: vm.Capacity})
		}
	}
	return list
}
