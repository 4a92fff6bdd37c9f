package jobs

import (
	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Limits of a job. They bound memory and are far above what callers send.
const (
	maxGroups      = 256
	maxTasks       = 100_000 // sum over all occurrences
	MaxPayloadSize = 4000    // bytes, from the contract with the callers
)

// CheckSpec returns fault.InvalidArgument if the specification of a job is not
// valid.
func CheckSpec(spec *api.JobSpec) error {
	if len(spec.GetGroups()) == 0 || len(spec.Groups) > maxGroups {
		return fault.Newf(fault.InvalidArgument, "a job has 1 to %d groups", maxGroups)
	}
	if len(spec.Payload) > MaxPayloadSize {
		return fault.Newf(fault.InvalidArgument, "the payload exceeds %d bytes", MaxPayloadSize)
	}
	times := int64(max(1, spec.GetSchedule().GetTimes()))
	var tasks int64
	for i, group := range spec.Groups {
		if err := checkGroup(group, i); err != nil {
			return err
		}
		tasks += int64(group.Count)
	}
	// Each factor is bounded by itself, as the product of two large ones overflows.
	if tasks > maxTasks || times > maxTasks || tasks*times > maxTasks {
		return fault.Newf(fault.InvalidArgument, "a job has at most %d tasks", maxTasks)
	}
	return nil
}

func checkGroup(group *api.TaskGroup, index int) error {
	if group.Count < 1 {
		return fault.Newf(fault.InvalidArgument, "group %d has no tasks", index)
	}
	if group.MilliCpu < 0 || group.MemoryMib < 0 || group.Accelerators < 0 {
		return fault.Newf(fault.InvalidArgument, "group %d asks for less than nothing", index)
	}
	for _, earlier := range group.DependsOn {
		if earlier < 0 || int(earlier) >= index {
			return fault.Newf(fault.InvalidArgument, "group %d depends on %d, which is not an earlier one", index, earlier)
		}
	}
	return nil
}

// CheckConfiguration returns fault.InvalidArgument if a configuration is not
// valid or not consistent.
func CheckConfiguration(c *api.JobConfiguration) error {
	if c.Version <= 0 {
		return fault.New(fault.InvalidArgument, "a configuration has a positive version")
	}
	services := map[string]bool{}
	for _, service := range c.Services {
		if service.Name == "" || services[service.Name] {
			return fault.Newf(fault.InvalidArgument, "service %q has no name or stands twice", service.Name)
		}
		services[service.Name] = true
	}
	keys := map[string]bool{}
	for _, queue := range c.Queues {
		if err := checkQueue(queue, services); err != nil {
			return err
		}
		key := QueueKey(queue.Host, queue.PathPrefix)
		if keys[key] {
			return fault.Newf(fault.InvalidArgument, "two queues share host and prefix %q", key)
		}
		keys[key] = true
	}
	return nil
}

func checkQueue(queue *api.JobQueue, services map[string]bool) error {
	switch {
	case queue.Host == "" || queue.PathPrefix == "":
		return fault.Newf(fault.InvalidArgument, "queue %q has no host or prefix", queue.Name)
	case !services[queue.Service]:
		return fault.Newf(fault.InvalidArgument, "queue %q names the unknown service %q", queue.Name, queue.Service)
	case queue.TimeoutMs <= 0:
		return fault.Newf(fault.InvalidArgument, "queue %q has no timeout", queue.Name)
	}
	return nil
}
