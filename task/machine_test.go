package task_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
	"amaranthpaddle/task/lease"
)

var (
	vmSize   = resource.Vector{MilliCPU: 3000, MemoryMiB: 3000, Accelerators: 1}
	taskSize = resource.Vector{MilliCPU: 1000, MemoryMiB: 1400}
)

// fleetMachine simulates a leader with its table, the agents, and messages in
// flight that may be delayed, lost, repeated or reordered.
type fleetMachine struct {
	now        time.Time
	table      *task.Table
	plan       *plan.DayPlan
	grantors   map[string]*lease.Grantor
	agents     []*agent
	heartbeats []heartbeat
	answers    []answer
	outSince   map[string]time.Time
	finishes   map[string]int
	stops      map[string]bool // runs whose stop was committed, as task and generation
	starts     map[string]string
	violation  string
}

func newFleetMachine(t *rapid.T) *fleetMachine {
	f := &fleetMachine{
		now: epoch.Add(time.Hour), table: task.NewTable(), grantors: map[string]*lease.Grantor{},
		outSince: map[string]time.Time{}, finishes: map[string]int{}, stops: map[string]bool{}, starts: map[string]string{},
	}
	f.plan = &plan.DayPlan{
		Number: 1, Day: "2026-12-04",
		Zones:    []plan.Zone{{Name: "Zapopan", InService: true}, {Name: "Tlaquepaque", InService: true}},
		Services: []plan.Service{{Name: "routes", Instances: 1, Size: taskSize}},
		Jobs:     []plan.Job{{Name: "sort", Tasks: 4, Size: taskSize}},
	}
	f.table.ApplyPlan(f.plan, f.now)
	for _, vm := range []string{"a", "b", "c"} {
		zone := "Zapopan"
		if vm == "c" {
			zone = "Tlaquepaque"
		}
		f.agents = append(f.agents, &agent{
			vm: vm, zone: zone, rate: rapid.Float64Range(minClockRate, maxClockRate).Draw(t, "rate"),
			seen: map[string]uint64{}, statuses: map[string]task.Report{}, running: map[string]run{},
		})
	}
	f.elect()
	return f
}

// elect starts a new leadership, which does not know the granted leases.
func (f *fleetMachine) elect() {
	for _, a := range f.agents {
		g := lease.NewGrantor(terms, f.now)
		f.grantors[a.vm] = &g
	}
}

func (f *fleetMachine) zoneIn(zone string) bool { return f.outSince[zone].IsZero() }

// answerHeartbeat is the leader's side of a heartbeat: it applies the statuses,
// grants the lease, and answers with the runs to start and to stop.
func (f *fleetMachine) answerHeartbeat(h heartbeat) {
	vm := h.from.vm
	m := answer{to: h.from, renewal: h.sent, zoneIn: f.zoneIn(h.from.zone)}
	for _, r := range h.statuses {
		f.applyReport(vm, r)
		if r.Phase == task.PhaseRunning && !f.table.Owns(vm, r.Task, r.Generation) {
			m.stop = append(m.stop, directive{task: r.Task, generation: r.Generation})
		}
	}
	f.grantors[vm].Grant(terms, f.now)
	for _, k := range f.table.OnVM(vm) {
		d := directive{k.ID, k.Generation, k.Grant, k.Checkpoint}
		switch k.State {
		case task.Starting:
			m.start = append(m.start, d)
		case task.Stopping, task.Cancelling:
			m.stop = append(m.stop, d)
		}
	}
	f.answers = append(f.answers, m)
}

func (f *fleetMachine) applyReport(vm string, r task.Report) {
	key := task.TaskID(r.Task, int(r.Generation))
	switch f.table.Report(f.now, vm, r) {
	case task.Done:
		f.finishes[r.Task]++
	case task.Stopped:
		if f.stops[key] {
			f.violation = "a stop was committed twice: " + key
		}
		f.stops[key] = true
	}
}

// actions returns the events that rapid chooses from, and the check after each.
func (f *fleetMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"advance":   f.advance,
		"heartbeat": func(t *rapid.T) { f.heartbeats = append(f.heartbeats, f.drawAgent(t).heartbeat(f.now)) },
		"ask":       func(t *rapid.T) { f.answerHeartbeat(f.drawAgent(t).heartbeat(f.now)) },
		"exchange":  func(t *rapid.T) { f.exchange(f.drawAgent(t)) },
		"stopped":   func(t *rapid.T) { rapid.SampledFrom(f.agents).Draw(t, "agent").stopped() },
		"relocate":  f.relocate,
		"overtake":  f.overtake,
		"arrive":    f.deliverHeartbeat,
		"receive":   f.deliverAnswer,
		"lose":      f.loseMessages,
		"place":     f.place,
		"evict":     f.evict,
		"finish":    f.finish,
		"fail":      f.fail,
		"freeze": func(t *rapid.T) {
			a := rapid.SampledFrom(f.agents).Draw(t, "agent")
			a.paused = !a.paused
		},
		"fail over": f.failOver,
		"zone":      f.toggleZone,
		"replan":    f.replan,
		"":          f.check,
	}
}

func (f *fleetMachine) advance(t *rapid.T) {
	ms := rapid.SampledFrom([]int{1, 10, 100, 900, 1999, 4000, 9700, 10500}).Draw(t, "ms")
	f.advanceTo(f.now.Add(time.Duration(ms) * time.Millisecond))
}

func (f *fleetMachine) advanceTo(now time.Time) {
	f.now = now
	for _, a := range f.agents {
		a.expire(f.now)
		if f.grantors[a.vm].Expired(f.now) {
			f.table.VMLost(f.now, a.vm)
		}
	}
}

// exchange sends a heartbeat and delivers its answer without delay.
func (f *fleetMachine) exchange(a *agent) {
	f.answerHeartbeat(a.heartbeat(f.now))
	f.deliver(len(f.answers)-1, false)
}

// overtake delivers a stop before a start that was sent earlier.
func (f *fleetMachine) overtake(t *rapid.T) {
	a := f.drawAgent(t)
	f.answerHeartbeat(a.heartbeat(f.now))
	late := len(f.answers) - 1
	for _, k := range f.table.OnVM(a.vm) {
		_ = f.table.RequestEvict(f.now, k.ID, k.Generation, "test")
	}
	f.exchange(a)
	f.exchange(a)
	f.deliver(late, false)
}

// relocate advances the time until a VM's lease has expired at the grantor, and
// starts its tasks on another VM at the same instant.
func (f *fleetMachine) relocate(t *rapid.T) {
	lost := rapid.SampledFrom(f.agents).Draw(t, "lost")
	to := f.drawAgent(t)
	if lost == to || f.grantors[lost.vm].Expired(f.now) {
		t.Skip("nothing to wait for")
	}
	f.advanceTo(f.grantors[lost.vm].Expiry())
	for _, id := range taskIDs {
		if k := f.table.Task(id); k.State == task.Pending {
			f.placeOn(k, to, 1)
		}
	}
	f.exchange(to)
}

func (f *fleetMachine) deliverHeartbeat(t *rapid.T) {
	if len(f.heartbeats) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(f.heartbeats)-1).Draw(t, "message")
	h := f.heartbeats[i]
	if !rapid.Bool().Draw(t, "again") {
		f.heartbeats = append(f.heartbeats[:i], f.heartbeats[i+1:]...)
	}
	f.answerHeartbeat(h)
}

func (f *fleetMachine) deliverAnswer(t *rapid.T) {
	if len(f.answers) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(f.answers)-1).Draw(t, "message")
	if f.answers[i].to.paused {
		t.Skip("frozen")
	}
	f.deliver(i, rapid.Bool().Draw(t, "again"))
}

// deliver delivers an answer to its agent and records the starts.
func (f *fleetMachine) deliver(i int, again bool) {
	m := f.answers[i]
	if !again {
		f.answers = append(f.answers[:i], f.answers[i+1:]...)
	}
	for _, d := range m.to.receive(f.now, m) {
		f.recordStart(m.to, d)
	}
}

func (f *fleetMachine) recordStart(a *agent, d directive) {
	key := task.TaskID(d.task, int(d.generation))
	if f.starts[key] != "" {
		f.violation = "a generation started twice: " + key
	}
	f.starts[key] = a.vm
	if f.stops[key] {
		f.violation = "a start after its stop was committed: " + key
	}
	bound := freshnessBound
	if out := f.outSince[a.zone]; !out.IsZero() && f.now.Sub(out) > bound {
		f.violation = "a start in a zone out of service: " + key
	}
}

func (f *fleetMachine) loseMessages(t *rapid.T) {
	if len(f.heartbeats) > 0 {
		f.heartbeats = f.heartbeats[1:]
	}
	if len(f.answers) > 0 {
		f.answers = f.answers[1:]
	}
}

func (f *fleetMachine) place(t *rapid.T) {
	k := f.drawTask(t)
	a := rapid.SampledFrom(f.agents).Draw(t, "agent")
	f.placeOn(k, a, rapid.SampledFrom([]uint64{1, 1, 1, 0, 2}).Draw(t, "ahead"))
}

func (f *fleetMachine) placeOn(k *task.Task, a *agent, ahead uint64) {
	err := f.table.Place(f.now, task.Placement{
		Task: k.ID, Generation: k.Generation + ahead, VM: a.vm, Zone: a.zone, Capacity: vmSize, Grant: taskSize,
	})
	if err == nil && !f.zoneIn(a.zone) {
		f.violation = "a placement in a zone out of service"
	}
}

var taskIDs = []string{"service/routes/0", "job/sort/0", "job/sort/1", "job/sort/2", "job/sort/3"}

func (f *fleetMachine) drawTask(t *rapid.T) *task.Task {
	return f.table.Task(rapid.SampledFrom(taskIDs).Draw(t, "task"))
}

func (f *fleetMachine) evict(t *rapid.T) {
	k := f.drawTask(t)
	_ = f.table.RequestEvict(f.now, k.ID, k.Generation, "test")
}

func (f *fleetMachine) finish(t *rapid.T) { f.endRun(t, task.PhaseFinished) }
func (f *fleetMachine) fail(t *rapid.T)   { f.endRun(t, task.PhaseFailed) }

func (f *fleetMachine) endRun(t *rapid.T, phase task.Phase) {
	a := rapid.SampledFrom(f.agents).Draw(t, "agent")
	for _, id := range taskIDs {
		if r, ok := a.running[id]; ok {
			delete(a.running, id)
			a.report(task.Report{Task: id, Generation: r.generation, Phase: phase})
			return
		}
	}
}

// failOver makes a replica the leader that restored its table from a snapshot.
func (f *fleetMachine) failOver(t *rapid.T) {
	data, err := f.table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.table, err = task.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	f.elect()
}

func (f *fleetMachine) toggleZone(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"Zapopan", "Tlaquepaque"}).Draw(t, "zone")
	if f.zoneIn(zone) {
		f.outSince[zone] = f.now
	} else {
		delete(f.outSince, zone)
	}
	f.table.SetZone(zone, f.zoneIn(zone))
}

// replan applies a new plan, in which the job has 0 to 4 tasks.
func (f *fleetMachine) replan(t *rapid.T) {
	f.plan.Number++
	f.plan.Jobs[0].Tasks = rapid.IntRange(0, 4).Draw(t, "tasks")
	for i := range f.plan.Zones {
		f.plan.Zones[i].InService = f.zoneIn(f.plan.Zones[i].Name)
	}
	f.table.ApplyPlan(f.plan, f.now)
}

// check checks the invariants after each action.
func (f *fleetMachine) check(t *rapid.T) {
	if f.violation != "" {
		t.Fatal(f.violation)
	}
	where := map[string]string{}
	for _, a := range f.agents {
		var used resource.Vector
		for id, r := range a.running {
			if other := where[id]; other != "" {
				t.Fatalf("%s runs on %s and on %s", id, other, a.vm)
			}
			where[id] = a.vm
			used = used.Add(r.grant)
		}
		if !used.Fits(vmSize) {
			t.Fatalf("VM %s runs %v of %v", a.vm, used, vmSize)
		}
		if c := f.table.Committed(a.vm); !c.Fits(vmSize) {
			t.Fatalf("VM %s is committed %v of %v", a.vm, c, vmSize)
		}
	}
	for id, n := range f.finishes {
		if n > 1 {
			t.Fatalf("%s finished %d times", id, n)
		}
	}
}

func TestFleetInvariantsUnderDriftPausesAndLostMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetMachine(t)
		t.Repeat(f.actions())
	})
}
