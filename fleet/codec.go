package fleet

import (
	"amaranthpaddle/api"
	"amaranthpaddle/resource"
)

// Vector converts a message to a resource vector; nil gives the zero vector.
func Vector(r *api.Resources) resource.Vector {
	return resource.Vector{
		MilliCPU:     r.GetMilliCpu(),
		MemoryMiB:    r.GetMemoryMib(),
		Accelerators: r.GetAccelerators(),
	}
}

// Resources converts a resource vector to a message.
func Resources(v resource.Vector) *api.Resources {
	return &api.Resources{MilliCpu: v.MilliCPU, MemoryMib: v.MemoryMiB, Accelerators: v.Accelerators}
}

// Encode returns a record of every VM, sorted by id.
func (r *Registry) Encode() []*api.VMRecord {
	records := make([]*api.VMRecord, 0, len(r.vms))
	for _, v := range r.VMs() {
		records = append(records, v.encode())
	}
	return records
}

func (v *VM) encode() *api.VMRecord {
	return &api.VMRecord{
		Vm:          &api.VM{Id: v.ID, Zone: v.Zone, Region: v.Region, Rack: v.Rack, Capacity: Resources(v.Capacity)},
		Incarnation: v.Incarnation,
		Draining:    v.Draining,
		Leaving:     v.Leaving,
		Lost:        v.Lost,
		FlapPenalty: v.flap.penalty,
		FlapMs:      v.flap.atMS,
		Suppressed:  v.Suppressed,
		Servers:     v.Servers(),
		InSinceMs:   v.InSinceMS,
		OutSinceMs:  v.OutSinceMS,
		LostMs:      v.lostMS,
	}
}

// DecodeRegistry returns the registry that Encode wrote. It publishes nothing,
// as p's directory is restored from the same snapshot.
func DecodeRegistry(records []*api.VMRecord, p *Publisher) *Registry {
	r := NewRegistry(p)
	for _, record := range records {
		v := decodeVM(record)
		r.vms[v.ID] = v
	}
	return r
}

func decodeVM(record *api.VMRecord) *VM {
	v := &VM{
		ID:          record.Vm.GetId(),
		Zone:        record.Vm.GetZone(),
		Region:      record.Vm.GetRegion(),
		Rack:        record.Vm.GetRack(),
		Capacity:    Vector(record.Vm.GetCapacity()),
		Incarnation: record.Incarnation,
		Draining:    record.Draining,
		Leaving:     record.Leaving,
		Lost:        record.Lost,
		Suppressed:  record.Suppressed,
		InSinceMS:   record.InSinceMs,
		OutSinceMS:  record.OutSinceMs,
		lostMS:      record.LostMs,
		servers:     make(map[string]*api.BackendServer, len(record.Servers)),
		flap:        flapScore{record.FlapPenalty, record.FlapMs},
	}
	for _, s := range record.Servers {
		v.servers[s.Id] = s
	}
	return v
}
