package jobs

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// CheckWave returns fault.InvalidArgument if a wave is not valid.
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

// addWave adds a wave. A wave whose number is already known has no effect.
func (s *State) addWave(wave *api.MaintenanceWave) error {
	if err := CheckWave(wave); err != nil {
		return err
	}
	if s.waves[wave.Id] != nil {
		return nil
	}
	accepted := proto.Clone(wave).(*api.MaintenanceWave)
	accepted.BegunUnixMs, accepted.Maintained = s.nowMS, nil
	s.waves[wave.Id] = accepted
	return nil
}

func (s *State) recordMaintained(m *api.MaintainedVM) error {
	wave := s.waves[m.GetWave()]
	if wave == nil || !slices.Contains(wave.Vms, m.Vm) {
		return fault.Newf(fault.NotFound, "wave %d has no VM %q", m.GetWave(), m.GetVm())
	}
	if slices.Contains(wave.Maintained, m.Vm) {
		return nil
	}
	// Readers may still use the wave, so it is replaced, not changed.
	updated := proto.Clone(wave).(*api.MaintenanceWave)
	updated.Maintained = append(updated.Maintained, m.Vm)
	s.waves[wave.Id] = updated
	return nil
}

func (s *State) recordLent(lent *api.LentVM) {
	if lent.Home == "" {
		delete(s.lent, lent.Vm)
	} else {
		s.lent[lent.Vm] = lent.Home
	}
}

// Home returns the standby pool that a VM is lent from, empty if it is not
// lent.
func (v View) Home(vm string) string { return v.state.lent[vm] }

// WaveCompleted reports whether the maintenance of every VM of the wave has
// begun or the VM is gone.
func WaveCompleted(wave *api.MaintenanceWave) bool {
	return !slices.ContainsFunc(wave.Vms, func(vm string) bool { return !slices.Contains(wave.Maintained, vm) })
}

// Wave returns a wave, nil if there is none with this number.
func (v View) Wave(id int64) *api.MaintenanceWave { return v.state.waves[id] }

// OpenWaves returns the waves that are not completed, sorted by number.
func (v View) OpenWaves() []*api.MaintenanceWave {
	var open []*api.MaintenanceWave
	for _, id := range slices.Sorted(maps.Keys(v.state.waves)) {
		if wave := v.state.waves[id]; !WaveCompleted(wave) {
			open = append(open, wave)
		}
	}
	return open
}
