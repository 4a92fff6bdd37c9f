package control

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/fleet"
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// applyTo applies a command to a state and returns the decoded result.
func applyTo(s *State, command *api.Command) *api.CommandResult {
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	result := &api.CommandResult{}
	if err := proto.Unmarshal(s.Apply(1, data), result); err != nil {
		panic(err)
	}
	return result
}

// stateMachine applies the same commands to a state and to one that is restored
// from snapshots in between, and checks the invariants after each command.
type stateMachine struct {
	state, restored *State
	nowMS           int64
	accepted        map[uint64][]byte // digest of the plan accepted under a number
	highest         uint64
	revision        uint64
	answers         map[string]*api.CommandResult // first answers by change id
}

func newStateMachine() *stateMachine {
	return &stateMachine{
		state: NewState(), restored: NewState(), accepted: map[uint64][]byte{},
		answers: map[string]*api.CommandResult{},
	}
}

// apply applies a command to both states, whose results must be equal.
func (m *stateMachine) apply(t *rapid.T, command *api.Command) *api.CommandResult {
	m.nowMS += rapid.Int64Range(-500, 5000).Draw(t, "elapsed")
	command.NowMs = m.nowMS
	result, restored := applyTo(m.state, command), applyTo(m.restored, command)
	if !proto.Equal(result, restored) {
		t.Fatalf("a state restored from a snapshot answered %v instead of %v", restored, result)
	}
	return result
}

func (m *stateMachine) SubmitPlan(t *rapid.T) {
	p := testPlan(rapid.Uint64Range(1, 8).Draw(t, "number"), rapid.IntRange(1, 3).Draw(t, "tasks"))
	p.Zones[1].InService = rapid.Bool().Draw(t, "b in service")
	digest := p.Digest()
	result := m.apply(t, &api.Command{Body: &api.Command_SubmitPlan{SubmitPlan: &api.SubmitPlan{Plan: compressedPlan(t, p)}}})
	first, known := m.accepted[p.Number]
	switch {
	case known && bytes.Equal(first, digest[:]):
		if result.Kind != "" || !result.Repeated {
			t.Fatalf("resend of plan %d: %v", p.Number, result)
		}
	case known:
		if result.Kind != fault.Conflict.String() || !bytes.Equal(result.PlanDigest, first) {
			t.Fatalf("plan %d with other content: %v", p.Number, result)
		}
	case p.Number < m.highest:
		if result.Kind != fault.Stale.String() {
			t.Fatalf("late plan %d after %d: %v", p.Number, m.highest, result)
		}
	default:
		if result.Kind != "" || result.Repeated {
			t.Fatalf("plan %d: %v", p.Number, result)
		}
		m.accepted[p.Number], m.highest = digest[:], p.Number
	}
}

// change sends an operator's change, sometimes under an id that was used before.
func (m *stateMachine) change(t *rapid.T, command func(id string) *api.Command) {
	id := fmt.Sprintf("change-%d", rapid.IntRange(0, 40).Draw(t, "change id"))
	sent := command(id)
	result := m.apply(t, sent)
	first := m.answers[id]
	if first == nil {
		if result.Repeated {
			t.Fatalf("new change %s counts as repeated", id)
		}
		m.answers[id] = result
		return
	}
	if result.Kind == fault.Conflict.String() {
		return
	}
	if !result.Repeated || result.Revision != first.Revision || result.Kind != first.Kind {
		t.Fatalf("change %s sent again: %v, first %v", id, result, first)
	}
}

func (m *stateMachine) SetZone(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
	in := rapid.Bool().Draw(t, "in service")
	m.change(t, func(id string) *api.Command {
		return &api.Command{Body: &api.Command_SetZone{SetZone: &api.SetZone{Zone: zone, InService: in, ChangeId: id}}}
	})
}

func (m *stateMachine) SetDrain(t *rapid.T) {
	vm, drain := m.drawVM(t), rapid.Bool().Draw(t, "drain")
	m.change(t, func(id string) *api.Command {
		return &api.Command{Body: &api.Command_SetDrain{SetDrain: &api.SetDrain{Vm: vm, Drain: drain, ChangeId: id}}}
	})
}

func (m *stateMachine) CancelJob(t *rapid.T) {
	m.change(t, func(id string) *api.Command {
		return &api.Command{Body: &api.Command_CancelJob{CancelJob: &api.CancelJob{Job: "sort", ChangeId: id}}}
	})
}

func (m *stateMachine) drawVM(t *rapid.T) string {
	return vmName(rapid.IntRange(0, 3).Draw(t, "vm"))
}

func (m *stateMachine) Announce(t *rapid.T) {
	vm := m.drawVM(t)
	zone := map[string]string{vmName(0): "a", vmName(1): "a"}[vm]
	if zone == "" {
		zone = "b"
	}
	m.apply(t, &api.Command{Body: &api.Command_AnnounceVm{AnnounceVm: &api.AnnounceVM{
		Vm: testVM(vm, zone), Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
		Servers: []*api.BackendServer{testBackend("server-"+vm, vm)}, ServersChanged: true,
	}}})
}

func (m *stateMachine) Lose(t *rapid.T) {
	vm := m.drawVM(t)
	known := m.state.registry.VM(vm)
	if known == nil {
		return
	}
	result := m.apply(t, &api.Command{Body: &api.Command_LoseVm{LoseVm: &api.LoseVM{
		Vm: vm, Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
	}}})
	if result.Kind == "" && len(m.state.tasks.OnVM(vm)) > 0 {
		t.Fatalf("lost VM %s still holds tasks", vm)
	}
}

func (m *stateMachine) Place(t *rapid.T) {
	pending := m.state.tasks.Pending()
	if len(pending) == 0 {
		return
	}
	k := pending[rapid.IntRange(0, len(pending)-1).Draw(t, "task")]
	vm := m.drawVM(t)
	known := m.state.registry.VM(vm)
	placeable := known != nil && known.TakesWork() && m.state.inService(known.Zone)
	result := m.apply(t, &api.Command{Body: &api.Command_PlaceTasks{PlaceTasks: &api.PlaceTasks{
		Placements: []*api.Placement{{
			Task: k.ID, Generation: k.Generation + rapid.SampledFrom([]uint64{1, 1, 1, 0, 2}).Draw(t, "step"), Vm: vm,
			Grant: fleet.Resources(resource.Vector{MilliCPU: rapid.Int64Range(1500, 3500).Draw(t, "cpu"), MemoryMiB: 512}),
		}},
	}}})
	if result.Refusals[0] == "" && !placeable {
		t.Fatalf("placed on VM %s, which takes no work", vm)
	}
}

func (m *stateMachine) Evict(t *rapid.T) {
	if k := m.drawHeld(t); k != nil {
		m.apply(t, &api.Command{Body: &api.Command_EvictTasks{EvictTasks: &api.EvictTasks{
			Evictions: []*api.Eviction{{Task: k.ID, Generation: k.Generation}},
		}}})
	}
}

func (m *stateMachine) drawHeld(t *rapid.T) *task.Task {
	tasks := m.state.tasks.OnVM(m.drawVM(t))
	if len(tasks) == 0 {
		return nil
	}
	return tasks[rapid.IntRange(0, len(tasks)-1).Draw(t, "held")]
}

// Report reports a run, sometimes with an older generation.
func (m *stateMachine) Report(t *rapid.T) {
	k := m.drawHeld(t)
	if k == nil {
		return
	}
	vm := m.state.registry.VM(k.VM)
	late := rapid.Uint64Range(0, 1).Draw(t, "late")
	before := *k
	m.apply(t, &api.Command{Body: &api.Command_ReportTasks{ReportTasks: &api.ReportTasks{
		Vm: vm.ID, Incarnation: vm.Incarnation,
		Tasks: []*api.TaskStatus{{
			Task: k.ID, Generation: k.Generation - late, Progress: 0.5,
			Phase:      api.TaskPhase(rapid.IntRange(1, 6).Draw(t, "phase")),
			Checkpoint: rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(t, "checkpoint"),
		}},
	}}})
	if late > 0 && (k.State != before.State || k.Checkpoint != before.Checkpoint) {
		t.Fatalf("a late report changed task %s from %+v to %+v", k.ID, before, *k)
	}
}

func (m *stateMachine) Claim(t *rapid.T) {
	m.apply(t, &api.Command{Body: &api.Command_ClaimKey{ClaimKey: &api.ClaimKey{
		Request: &api.ClaimRequest{
			Key:     fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key")),
			Attempt: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "attempt")),
		},
		RetentionMs: 20_000, Limit: 5,
	}}})
}

func (m *stateMachine) RecordCounts(t *rapid.T) {
	m.apply(t, &api.Command{Body: &api.Command_RecordCounts{RecordCounts: &api.RecordCounts{Report: &api.EntryReport{
		Entry: "e", Incarnation: 1, Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence"),
		Counts: []*api.ServiceCounts{{Service: "ledger", MinuteUnix: 60, Requests: 1, WithinObjective: 1}},
	}}}})
}

// RestoreSnapshot checks that both states have equal snapshots, and replaces one of
// them with a state restored from the snapshot.
func (m *stateMachine) RestoreSnapshot(t *rapid.T) {
	snapshot, err := m.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other, err := m.restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snapshot, other) {
		t.Fatal("the same log gave different states")
	}
	m.restored = NewState()
	if err := m.restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
}

// Check checks the invariants; rapid calls it after each action.
func (m *stateMachine) Check(t *rapid.T) {
	if m.state.directory().Revision() < m.revision {
		t.Fatalf("revision went from %d back to %d", m.revision, m.state.directory().Revision())
	}
	m.revision = m.state.directory().Revision()
	if m.state.accepted.latest().Number != m.highest || m.state.directory().PlanNumber() != m.highest {
		t.Fatalf("plan %d in force instead of %d", m.state.accepted.latest().Number, m.highest)
	}
	for _, vm := range m.state.registry.VMs() {
		granted := resource.Vector{}
		for _, k := range m.state.tasks.OnVM(vm.ID) {
			granted = granted.Add(k.Grant)
		}
		if !granted.Fits(vm.Capacity) {
			t.Fatalf("VM %s has %+v granted of %+v", vm.ID, granted, vm.Capacity)
		}
	}
}

func TestStateMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		for range 4 {
			m.SubmitPlan(t)
			m.Announce(t)
			m.Announce(t)
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func TestOperatorZoneOutSurvivesNextPlan(t *testing.T) {
	s := NewState()
	applyTo(s, &api.Command{Body: &api.Command_SubmitPlan{SubmitPlan: &api.SubmitPlan{Plan: compressedPlan(t, testPlan(1, 1))}}})
	setZone := func(id string, in bool) {
		applyTo(s, &api.Command{Body: &api.Command_SetZone{SetZone: &api.SetZone{Zone: "a", InService: in, ChangeId: id}}})
	}
	setZone("c1", false)
	result := applyTo(s, &api.Command{Body: &api.Command_SubmitPlan{SubmitPlan: &api.SubmitPlan{Plan: compressedPlan(t, testPlan(2, 1))}}})
	if s.inService("a") || len(result.Warnings) == 0 {
		t.Fatalf("zone in service %v, warnings %q", s.inService("a"), result.Warnings)
	}
	setZone("c2", true)
	if !s.inService("a") {
		t.Fatal("the zone is out although the operator put it back")
	}
}

func TestClaimsAreNotDroppedBeforeExpiry(t *testing.T) {
	s := NewState()
	claim := func(nowMS int64, key, attempt string) *api.CommandResult {
		return applyTo(s, &api.Command{NowMs: nowMS, Body: &api.Command_ClaimKey{ClaimKey: &api.ClaimKey{
			Request: &api.ClaimRequest{Key: key, Attempt: attempt, Digest: []byte("d")}, RetentionMs: 1000, Limit: 2,
		}}})
	}
	for _, step := range []struct {
		nowMS        int64
		key, attempt string
		kind         string
		granted      bool
	}{
		{0, "k1", "first", "", true},
		{0, "k1", "first", "", true},
		{0, "k1", "second", "", false},
		{500, "k2", "first", "", true},
		{999, "k3", "first", "overloaded", false},
		{999, "k1", "second", "", false},
		{1000, "k3", "first", "", true},
	} {
		result := claim(step.nowMS, step.key, step.attempt)
		if result.Kind != step.kind || result.Claim.GetGranted() != step.granted {
			t.Errorf("%+v: %v", step, result)
		}
	}
}

func TestAClaimWithAnotherDigestIsNotGranted(t *testing.T) {
	s := NewState()
	for i, want := range []bool{false, true} {
		result := applyTo(s, &api.Command{Body: &api.Command_ClaimKey{ClaimKey: &api.ClaimKey{
			Request: &api.ClaimRequest{Key: "k", Attempt: "a", Digest: []byte{byte(i)}}, RetentionMs: 1000, Limit: 2,
		}}})
		if result.Claim.DigestDiffers != want || result.Claim.Granted == want {
			t.Errorf("claim %d: %v", i, result.Claim)
		}
	}
}

func TestPlacementsNeverExceedVMCapacity(t *testing.T) {
	s := NewState()
	applyTo(s, &api.Command{Body: &api.Command_SubmitPlan{SubmitPlan: &api.SubmitPlan{Plan: compressedPlan(t, testPlan(1, 3))}}})
	applyTo(s, &api.Command{Body: &api.Command_AnnounceVm{AnnounceVm: &api.AnnounceVM{Vm: testVM("vm", "a"), Incarnation: 1}}})
	batch := &api.PlaceTasks{}
	for i := range 3 {
		batch.Placements = append(batch.Placements, &api.Placement{
			Task: fmt.Sprintf("job/sort/%d", i), Generation: 1, Vm: "vm", Grant: &api.Resources{MilliCpu: 1500, MemoryMib: 512},
		})
	}
	result := applyTo(s, &api.Command{Body: &api.Command_PlaceTasks{PlaceTasks: batch}})
	if result.Refusals[0] != "" || result.Refusals[1] != "" || result.Refusals[2] == "" {
		t.Fatalf("refusals %q", result.Refusals)
	}
}
