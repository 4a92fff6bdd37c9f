package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"

	"amaranthpaddle/burn"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
)

// checkResult answers "plan check".
type checkResult struct {
	Number   uint64   `json:"number"`
	Digest   string   `json:"digest"`
	Warnings []string `json:"warnings"`
}

func planCheck(ctx context.Context, s *session) error {
	p, err := s.readSheet()
	if err != nil {
		return err
	}
	result := checkResult{Number: p.Number, Digest: fmt.Sprintf("%x", p.Digest()), Warnings: []string{}}
	if len(s.addresses) > 0 {
		if result.Warnings, err = s.unplaceable(ctx, p); err != nil {
			return err
		}
	}
	return s.print(result, func(t *table) {
		t.line("plan %d is valid, digest %s", result.Number, result.Digest)
		for _, warning := range result.Warnings {
			t.line("warning: %s", warning)
		}
	})
}

// unplaceable compares the plan with the VMs that the fleet has now.
func (s *session) unplaceable(ctx context.Context, p *plan.DayPlan) ([]string, error) {
	var status operatorapi.Status
	if err := s.client.Get(ctx, operatorapi.PathStatus, &status); err != nil {
		return nil, err
	}
	var capacities []resource.Vector
	for _, vm := range status.VMs {
		capacities = append(capacities, resource.Vector(vm.Capacity))
	}
	warnings := []string{}
	for _, found := range p.Unplaceable(capacities) {
		warnings = append(warnings, found.Error())
	}
	return warnings, nil
}

func planDiff(ctx context.Context, s *session) error {
	p, err := s.readSheet()
	if err != nil {
		return err
	}
	current, _, err := s.planInForce(ctx)
	if err != nil {
		return err
	}
	changes := append([]plan.Change{}, plan.Diff(current, p)...)
	return s.print(changes, func(t *table) {
		if len(changes) == 0 {
			t.line("no changes")
		}
		for _, change := range changes {
			t.line("%s", change)
		}
	})
}

// planInForce returns the accepted plan, nil when there is none.
func (s *session) planInForce(ctx context.Context) (*plan.DayPlan, *operatorapi.PlanInForce, error) {
	var answer operatorapi.PlanInForce
	if err := s.client.Get(ctx, operatorapi.PathPlan, &answer); err != nil {
		return nil, nil, err
	}
	if len(answer.Plan) == 0 || string(answer.Plan) == "null" {
		return nil, &answer, nil
	}
	p := &plan.DayPlan{}
	if err := p.Decode(answer.Plan); err != nil {
		return nil, nil, fault.Wrap(fault.Internal, err, "plan in force")
	}
	return p, &answer, nil
}

func planSubmit(ctx context.Context, s *session) error {
	p, err := s.readSheet()
	if err != nil {
		return err
	}
	body, err := p.Encode()
	if err != nil {
		return err
	}
	var answer operatorapi.PlanResult
	if err := s.client.Post(ctx, operatorapi.PathPlan, s.changeIDOr(operatorclient.PlanChangeID(p)), body, &answer); err != nil {
		return err
	}
	return s.print(answer, func(t *table) {
		state := "accepted"
		if answer.Repeated {
			state = "was accepted before"
		}
		t.line("plan %d %s, revision %d, digest %s", answer.Number, state, answer.Revision, answer.Digest)
		for _, warning := range answer.Warnings {
			t.line("warning: %s", warning)
		}
	})
}

func planShow(ctx context.Context, s *session) error {
	p, answer, err := s.planInForce(ctx)
	if err != nil {
		return err
	}
	return s.print(answer, func(t *table) {
		if p == nil {
			t.line("no plan has been accepted")
			return
		}
		t.line("plan %d, revision %d, digest %s", answer.Number, answer.Revision, answer.Digest)
		for _, change := range plan.Diff(nil, p) {
			t.line("%s", change)
		}
	})
}

func zoneOut(ctx context.Context, s *session) error {
	return s.change(ctx, "zone-out-"+s.name, operatorapi.PathZones+url.PathEscape(s.name)+"/out", nil)
}

func zoneIn(ctx context.Context, s *session) error {
	return s.change(ctx, "zone-in-"+s.name, operatorapi.PathZones+url.PathEscape(s.name)+"/in", nil)
}

func drainVM(ctx context.Context, s *session) error {
	return s.change(ctx, "drain-"+s.name, operatorapi.PathVMs+url.PathEscape(s.name)+"/drain", nil)
}

func undrainVM(ctx context.Context, s *session) error {
	return s.change(ctx, "undrain-"+s.name, operatorapi.PathVMs+url.PathEscape(s.name)+"/undrain", nil)
}

func jobCancel(ctx context.Context, s *session) error {
	return s.change(ctx, "cancel-"+s.name, operatorapi.PathJobs+url.PathEscape(s.name)+"/cancel", nil)
}

func controlReplace(ctx context.Context, s *session) error {
	if s.remove == 0 || s.add == 0 || s.newAddress == "" {
		return fault.New(fault.InvalidArgument, "control replace needs --remove, --add and --new-address")
	}
	body, err := json.Marshal(operatorapi.ReplaceRequest{Remove: s.remove, Add: s.add, Address: s.newAddress})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "request")
	}
	action := fmt.Sprintf("replace-%d-by-%d", s.remove, s.add)
	return s.change(ctx, action, operatorapi.PathControlReplace, body)
}

// change makes a change that is answered by ChangeResult.
func (s *session) change(ctx context.Context, action, path string, body []byte) error {
	id := s.changeIDOr(operatorclient.NewChangeID(action))
	var answer operatorapi.ChangeResult
	if err := s.client.Post(ctx, path, id, body, &answer); err != nil {
		return err
	}
	return s.print(answer, func(t *table) {
		state := "accepted"
		if answer.Repeated {
			state = "was accepted before"
		}
		t.line("%s %s, revision %d", id, state, answer.Revision)
		if answer.Message != "" {
			t.line("%s", answer.Message)
		}
	})
}

func showStatus(ctx context.Context, s *session) error {
	var status operatorapi.Status
	if err := s.client.Get(ctx, operatorapi.PathStatus, &status); err != nil {
		return err
	}
	return s.print(status, func(t *table) { statusTable(t, &status) })
}

func showTasks(ctx context.Context, s *session) error {
	var tasks operatorapi.Tasks
	if err := s.client.Get(ctx, operatorapi.PathTasks, &tasks); err != nil {
		return err
	}
	kept := []operatorapi.Task{}
	for _, task := range tasks.Tasks {
		if (s.job == "" || task.Job == s.job) && (s.zone == "" || task.Zone == s.zone) {
			kept = append(kept, task)
		}
	}
	tasks.Tasks = kept
	return s.print(tasks, func(t *table) { tasksTable(t, &tasks) })
}

func reportBurn(ctx context.Context, s *session) error {
	var answer burn.Report
	if err := s.client.Get(ctx, operatorapi.PathBurn, &answer); err != nil {
		return err
	}
	return s.print(answer, func(t *table) { burnTable(t, &answer) })
}

func controlMembers(ctx context.Context, s *session) error {
	var members operatorapi.Members
	if err := s.client.Get(ctx, operatorapi.PathControlMembers, &members); err != nil {
		return err
	}
	return s.print(members, func(t *table) { membersTable(t, &members) })
}
