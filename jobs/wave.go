package jobs

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// CheckWave returns fault.InvalidArgument when a wave can't be carried out.
func CheckWave(wave *api.MaintenanceWave) error {
	switch {
	case wave.GetId() <= 0:
		return fault.New(fault.InvalidArgument, "a wave has a positive number")
	case len(wave.Vms) == 0:
		return fault.Newf(fault.InvalidArgument, "wave %d names no VMs", wave.Id)
	case wave.MaxConcurrent < 1:
		return fault.Newf(fault.InvalidArgument, "wave %d allows no VM to be down", wave.Id)
	}
	return nil
}

// beginWave takes a wave; one that was taken before changes nothing.
func (s *State) beginWave(wave *api.MaintenanceWave) error {
	if err := CheckWave(wave); err != nil {
		return err
	}
	if s.waves[wave.Id] != nil {
		return nil
	}
	taken := proto.Clone(wave).(*api.MaintenanceWave)
	taken.BegunUnixMs, taken.Maintained = s.nowMS, nil
	s.waves[wave.Id] = taken
	return nil
}

func (s *State) noteMaintained(m *api.MaintainedVM) error {
	wave := s.waves[m.GetWave()]
	if wave == nil || !slices.Contains(wave.Vms, m.Vm) {
		return fault.Newf(fault.NotFound, "wave %d has no VM %q", m.GetWave(), m.GetVm())
	}
	if slices.Contains(wave.Maintained, m.Vm) {
		return nil
	}
	// Readers may hold the wave, so it is replaced.
	changed := proto.Clone(wave).(*api.MaintenanceWave)
	changed.Maintained = append(changed.Maintained, m.Vm)
	s.waves[wave.Id] = changed
	return nil
}

func (s *State) noteLent(lent *api.LentVM) {
	if lent.Home == "" {
		delete(s.lent, lent.Vm)
	} else {
		s.lent[lent.Vm] = lent.Home
	}
}

// Home returns the standby pool of a VM that is lent to another one, empty for
// any other VM.
func (v View) Home(vm string) string { return v.state.lent[vm] }

// WaveCompleted reports whether the maintenance of each VM has begun.
func WaveCompleted(wave *api.MaintenanceWave) bool {
	return !slices.ContainsFunc(wave.Vms, func(vm string) bool { return !slices.Contains(wave.Maintained, vm) })
}

// Wave returns a wave, nil when there is none with this number.
func (v View) Wave(id int64) *api.MaintenanceWave { return v.state.waves[id] }

// OpenWaves returns the waves that are not completed, by number.
func (v View) OpenWaves() []*api.MaintenanceWave {
	var open []*api.MaintenanceWave
	for _, id := range slices.Sorted(maps.Keys(v.state.waves)) {
		if wave := v.state.waves[id]; !WaveCompleted(wave) {
			open = append(open, wave)
		}
	}
	return open
}
