package control

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/fleet"
	"amaranthpaddle/plan"
	"amaranthpaddle/task"
)

// Snapshot encodes the whole state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	tasks, err := s.tasks.Encode()
	if err != nil {
		return nil, err
	}
	counts, err := s.counts.Encode()
	if err != nil {
		return nil, err
	}
	snapshot := &api.ControlSnapshot{
		NowMs:     s.nowMS,
		Plan:      s.planData,
		Plans:     s.accepted.list,
		Zones:     s.encodeZones(),
		Vms:       s.registry.Encode(),
		Directory: s.directory().Full(),
		Changes:   s.changes.encode(),
		Claims:    s.claims.encode(),
		Tasks:     tasks,
		Burn:      counts,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return data, fault.Wrap(fault.Internal, err, "encode snapshot")
}

// Restore replaces the state with an encoded one. On error the state is unchanged.
func (s *State) Restore(data []byte) error {
	snapshot := &api.ControlSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return fault.Wrap(fault.DataCorrupt, err, "decode snapshot")
	}
	restored := NewState()
	if err := restored.restore(snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	s.copyFrom(restored)
	s.fleetVersion++
	observer := s.observer
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if observer != nil {
		observer(Effects{Revision: true, Reschedule: true, AllVMs: true})
	}
	return nil
}

func (s *State) copyFrom(o *State) {
	s.nowMS, s.plan, s.planData = o.nowMS, o.plan, o.planData
	s.accepted, s.zones = o.accepted, o.zones
	s.publisher, s.registry = o.publisher, o.registry
	s.tasks, s.changes, s.claims, s.counts = o.tasks, o.changes, o.claims, o.counts
}

func (s *State) restore(snapshot *api.ControlSnapshot) error {
	s.nowMS = snapshot.NowMs
	if err := s.restorePlan(snapshot); err != nil {
		return err
	}
	directory := fleet.NewDirectory()
	if err := directory.Apply(snapshot.Directory); err != nil {
		return err
	}
	s.publisher = fleet.NewPublisher(directory)
	s.registry = fleet.DecodeRegistry(snapshot.Vms, s.publisher)
	s.changes = decodeChanges(snapshot.Changes)
	var err error
	if s.claims, err = decodeClaims(snapshot.Claims); err != nil {
		return err
	}
	if err := s.counts.Decode(snapshot.Burn); err != nil {
		return err
	}
	s.tasks, err = task.Decode(snapshot.Tasks)
	return err
}

func (s *State) restorePlan(snapshot *api.ControlSnapshot) error {
	s.accepted.list = snapshot.Plans
	s.decodeZones(snapshot.Zones)
	if len(snapshot.Plan) == 0 {
		return nil
	}
	s.plan, s.planData = &plan.DayPlan{}, snapshot.Plan
	return s.plan.Decode(snapshot.Plan)
}

func (s *State) encodeZones() []*api.ZoneState {
	var list []*api.ZoneState
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[name]
		list = append(list, &api.ZoneState{
			Name:        z.name,
			Region:      z.region,
			PlannedIn:   z.plannedIn,
			OperatorOut: z.operatorOut,
			InSinceMs:   z.inSinceMS,
			OutSinceMs:  z.outSinceMS,
		})
	}
	return list
}

func (s *State) decodeZones(list []*api.ZoneState) {
	for _, z := range list {
		s.zones[z.Name] = &zone{z.Name, z.Region, z.PlannedIn, z.OperatorOut, z.InSinceMs, z.OutSinceMs}
	}
}
