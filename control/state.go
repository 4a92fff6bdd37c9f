package control

import (
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/burn"
	"amaranthpaddle/fault"
	"amaranthpaddle/fleet"
	"amaranthpaddle/plan"
	"amaranthpaddle/task"
)

// State is the replicated state machine of the control group. It implements
// replica.StateMachine. Read methods are safe for concurrent use.
type State struct {
	mu        sync.RWMutex
	nowMS     int64 // time of the latest log entry, never decreases
	plan      *plan.DayPlan
	planData  []byte
	accepted  acceptedPlans
	zones     map[string]*zone
	publisher *fleet.Publisher
	registry  *fleet.Registry
	tasks     *task.Table
	changes   *changeHistory
	claims    *claimTable
	counts    *burn.Recorder

	changed      chan struct{}     // closed when the directory gets its next revision
	vmVersions   map[string]uint64 // incremented when a VM's directives may have changed; not replicated
	fleetVersion uint64            // incremented when the directives of all VMs may have changed; not replicated
	observer     func(Effects)
}

// Effects describes what an applied command may have changed for sessions,
// watchers and the scheduler.
type Effects struct {
	Revision   bool     // the directory has a new revision
	Reschedule bool     // placements or evictions may be possible or due
	AllVMs     bool     // directives to every VM may have changed
	VMs        []string // VMs whose directives may have changed

	outcomes []outcome
}

// NewState returns the empty state.
func NewState() *State {
	s := &State{changed: make(chan struct{}), vmVersions: map[string]uint64{}}
	s.reset()
	return s
}

func (s *State) reset() {
	s.nowMS = 0
	s.plan, s.planData = nil, nil
	s.accepted = acceptedPlans{}
	s.zones = map[string]*zone{}
	s.publisher = fleet.NewPublisher(fleet.NewDirectory())
	s.registry = fleet.NewRegistry(s.publisher)
	s.tasks = task.NewTable()
	s.changes = newChangeHistory()
	s.claims = newClaimTable()
	s.counts = burn.NewRecorder()
}

// setObserver sets the function that is called after each applied command, on the
// applying goroutine and without holding locks. It must not block.
func (s *State) setObserver(observer func(Effects)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = observer
}

// Apply applies a committed command and returns an encoded api.CommandResult.
func (s *State) Apply(_ uint64, data []byte) []byte {
	command := &api.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return encodeResult(refusal(fault.Wrap(fault.Internal, err, "command")))
	}
	s.mu.Lock()
	s.nowMS = max(s.nowMS, command.NowMs)
	effects := &Effects{}
	result := s.dispatch(command, effects)
	s.signalRevision(effects)
	s.bumpVersions(effects)
	observer := s.observer
	s.mu.Unlock()
	if observer != nil {
		observer(*effects)
	}
	return encodeResult(result)
}

func (s *State) dispatch(command *api.Command, effects *Effects) *api.CommandResult {
	switch body := command.Body.(type) {
	case *api.Command_SubmitPlan:
		return s.submitPlan(body.SubmitPlan, effects)
	case *api.Command_SetZone:
		return s.applyOnce(body.SetZone.ChangeId, body.SetZone, func() error { return s.setZone(body.SetZone, effects) })
	case *api.Command_SetDrain:
		return s.applyOnce(body.SetDrain.ChangeId, body.SetDrain, func() error { return s.setDrain(body.SetDrain, effects) })
	case *api.Command_CancelJob:
		return s.applyOnce(body.CancelJob.ChangeId, body.CancelJob, func() error { return s.cancelJob(body.CancelJob, effects) })
	case *api.Command_AnnounceVm:
		return s.finish(s.announceVM(body.AnnounceVm, effects))
	case *api.Command_LoseVm:
		return s.finish(s.loseVM(body.LoseVm, effects))
	case *api.Command_ClaimKey:
		return s.claimKey(body.ClaimKey)
	case *api.Command_PlaceTasks:
		return s.placeTasks(body.PlaceTasks, effects)
	case *api.Command_ReportTasks:
		return s.finish(s.reportTasks(body.ReportTasks, effects))
	case *api.Command_EvictTasks:
		return s.evictTasks(body.EvictTasks, effects)
	case *api.Command_RecordCounts:
		return s.recordCounts(body.RecordCounts)
	case *api.Command_ReinstateVms:
		s.registry.Reinstate(s.nowMS)
		effects.Reschedule = true
		return s.finish(nil)
	default:
		return refusal(fault.New(fault.Internal, "command of an unknown type"))
	}
}

// finish publishes the collected directory changes as one revision and returns
// the result of a command that returned err.
func (s *State) finish(err error) *api.CommandResult {
	s.publisher.Commit()
	result := &api.CommandResult{}
	if err != nil {
		result = refusal(err)
	}
	result.Revision = s.directory().Revision()
	return result
}

// applyOnce applies a change once per change id. A resent change gets the first result.
func (s *State) applyOnce(id string, content proto.Message, change func() error) *api.CommandResult {
	if first, err := s.changes.lookup(id, content); err != nil {
		return refusal(err)
	} else if first != nil {
		return first
	}
	result := s.finish(change())
	s.changes.record(id, content, result)
	return result
}

func (s *State) signalRevision(effects *Effects) {
	if !s.takeRevisionChanged() {
		return
	}
	effects.Revision = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// bumpVersions increments the versions by which sessions see that their directives
// may have changed.
func (s *State) bumpVersions(effects *Effects) {
	if effects.AllVMs {
		s.fleetVersion++
	}
	for _, vm := range effects.VMs {
		s.vmVersions[vm]++
	}
}

// directiveVersion returns a number that increases when the VM's directives may have changed.
func (s *State) directiveVersion(vm string) uint64 { return s.fleetVersion + s.vmVersions[vm] }

// takeRevisionChanged reports whether the directory's revision has changed since
// the last call.
func (s *State) takeRevisionChanged() bool { return s.publisher.TakeCommitted() }

func (s *State) directory() *fleet.Directory { return s.publisher.Directory() }

func (s *State) now() time.Time { return time.UnixMilli(s.nowMS).UTC() }

// Revision returns the directory's revision and a channel that is closed at the next one.
func (s *State) Revision() (uint64, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.directory().Revision(), s.changed
}

// UpdateSince returns the directory update from revision base, or nil if there is none.
func (s *State) UpdateSince(base uint64) *api.DirectoryUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.publisher.Since(base)
}

// DirectoryCheck returns an update that carries only the directory's digest.
func (s *State) DirectoryCheck() *api.DirectoryUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.directory().Check()
}

func refusal(err error) *api.CommandResult {
	kind := fault.KindOf(err).String()
	return &api.CommandResult{Kind: kind, Message: strings.TrimPrefix(err.Error(), kind+": ")}
}

// resultError returns the error of a refused command, or nil.
func resultError(result *api.CommandResult) error {
	if result.Kind == "" {
		return nil
	}
	kind, _ := fault.ParseKind(result.Kind)
	return fault.New(kind, result.Message)
}

func encodeResult(result *api.CommandResult) []byte {
	data, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return data
}
