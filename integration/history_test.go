package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"os"
	"sort"
	"testing"
	"time"

	"amaranthpaddle/operatorapi"
	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/standin"
	"amaranthpaddle/transport"
)

const (
	zoneOutBound  = 3 * time.Second // no task starts in a zone later than this after it went out
	changeLimit   = 30 * time.Second
	finishLimit   = 100 * time.Second
	restartPause  = 500 * time.Millisecond
	outlastsLease = leaseDuration + 2*leaseMargin + time.Second
	betweenFaults = 1500 * time.Millisecond
)

// outage is the time from the acknowledged taking out of a zone to its return.
type outage struct {
	zone    string
	out, in time.Time
}

// workerKill is the loss of a worker process, with all it remembered.
type workerKill struct {
	vm string
	at time.Time
}

// agentPause is a time in which an agent was frozen for longer than a lease. A
// finish that it could not report is done again elsewhere, because the control
// group must take the VM for lost.
type agentPause struct {
	vm       string
	from, to time.Time
}

// unreported is how long before its freezing an agent may not yet have reported.
const unreported = time.Second

// scenario drives one system and records what it did to it.
type scenario struct {
	*system
	client  *operatorclient.Client
	outages []outage
	kills   []workerKill
	pauses  []agentPause
}

func testPlan() *plan.DayPlan {
	size := resource.Vector{MilliCPU: 2000, MemoryMiB: 2048}
	day := &plan.DayPlan{
		Number: 1, Day: time.Now().UTC().Format(time.DateOnly), TimeZone: "UTC", LatencyWeight: 0.5,
		Teams: []plan.Team{{Name: "t", Quota: resource.Vector{MilliCPU: 48_000, MemoryMiB: 96 << 10}}},
		Services: []plan.Service{{
			Name: "ledger", Team: "t", Instances: 3, Size: size, Slots: 8, Connections: 64,
			Objective: 100 * time.Millisecond, ObjectiveFraction: 0.99,
		}},
	}
	for _, zone := range zoneNames {
		day.Zones = append(day.Zones, plan.Zone{Name: zone, Region: "r", InService: true})
	}
	for i := range 4 {
		day.Jobs = append(day.Jobs, plan.Job{
			Name: fmt.Sprintf("sort-%d", i), Team: "t", Tasks: 30, Size: size,
			RunTime: time.Duration(3+i) * time.Second, Priority: 10 * i,
		})
	}
	return day
}

var zoneNames = []string{"a", "b", "c"}

// TestWorkIsDoneOnceAndNeverInTwoPlaces runs batch work and a service on real
// processes while control replicas, agents and workers are killed and frozen,
// some for longer than a lease, and zones go out and come in again. What the
// workers really did is then checked against the promises.
func TestWorkIsDoneOnceAndNeverInTwoPlaces(t *testing.T) {
	s := &scenario{system: startSystem(t, zoneNames, 2)}
	s.client = operatorclient.New(s.operators, &transport.Security{}, "")
	defer s.client.Close()
	day := testPlan()
	s.submit(day)
	random := rand.New(rand.NewPCG(20261204, 1))
	for round := range 10 {
		s.injectFault(random, round)
		time.Sleep(betweenFaults)
	}
	s.awaitFinished(day)
	events := s.readEvents()
	checkOnePlaceAtATime(t, events)
	checkFinishedOnce(t, events, day, s.kills, s.pauses)
	checkCapacity(t, events, s.kills)
	checkZones(t, events, s.outages)
	t.Logf("%d events of %d faults", len(events), 10)
}

func (s *scenario) post(path, change string, body []byte, answer any) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), changeLimit)
	defer cancel()
	if err := s.client.Post(ctx, path, change, body, answer); err != nil {
		s.t.Fatal(path, err)
	}
}

func (s *scenario) submit(day *plan.DayPlan) {
	body, err := day.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	var accepted operatorapi.PlanResult
	s.post(operatorapi.PathPlan, operatorclient.PlanChangeID(day), body, &accepted)
}

// injectFault does the round's kind of harm to a process drawn at random.
func (s *scenario) injectFault(random *rand.Rand, round int) {
	m := s.machines[random.IntN(len(s.machines))]
	c := s.controls[random.IntN(len(s.controls))]
	switch round % 5 {
	case 0:
		s.restart(c)
	case 1:
		began := time.Now()
		s.pause(m.agent)
		s.pauses = append(s.pauses, agentPause{m.id, began, time.Now()})
	case 2:
		s.pause(m.worker)
	case 3:
		s.takeOut(m.zone)
		s.restart(m.agent)
	case 4:
		s.kills = append(s.kills, workerKill{m.id, time.Now()})
		s.restart(m.worker)
		c.freeze()
		time.Sleep(betweenFaults)
		c.thaw()
	}
}

func (s *scenario) restart(p *process) {
	p.kill()
	time.Sleep(restartPause)
	p.start()
}

// pause freezes a process until its VM's lease has run out and its tasks may
// run elsewhere, and then lets it go on.
func (s *scenario) pause(p *process) {
	p.freeze()
	time.Sleep(outlastsLease)
	p.thaw()
}

func (s *scenario) takeOut(zone string) {
	var changed operatorapi.ChangeResult
	path := operatorapi.PathZones + url.PathEscape(zone)
	s.post(path+"/out", operatorclient.NewChangeID("out"), nil, &changed)
	o := outage{zone: zone, out: time.Now()}
	time.Sleep(zoneOutBound + time.Second)
	o.in = time.Now()
	s.outages = append(s.outages, o)
	s.post(path+"/in", operatorclient.NewChangeID("in"), nil, &changed)
}

func (s *scenario) awaitFinished(day *plan.DayPlan) {
	s.t.Helper()
	for deadline := time.Now().Add(finishLimit); ; time.Sleep(200 * time.Millisecond) {
		var status operatorapi.Status
		err := s.get(operatorapi.PathStatus, &status)
		finished := 0
		for _, job := range status.Jobs {
			if job.State == "finished" {
				finished++
			}
		}
		if finished == len(day.Jobs) {
			return
		}
		if time.Now().After(deadline) {
			s.logUnfinished()
			s.t.Fatalf("the work is not finished within %v (%v): %+v", finishLimit, err, status)
		}
	}
}

func (s *scenario) get(path string, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeLimit)
	defer cancel()
	return s.client.Get(ctx, path, answer)
}

func (s *scenario) logUnfinished() {
	var tasks operatorapi.Tasks
	err := s.get(operatorapi.PathTasks, &tasks)
	s.t.Logf("%d tasks, %v", len(tasks.Tasks), err)
	events := s.readEvents()
	for _, task := range tasks.Tasks {
		if task.State != "finished" && task.State != "pending" {
			s.t.Logf("%+v", task)
			logEvents(s.t, events, task.ID)
		}
	}
}

// logEvents logs a task's events but for its work.
func logEvents(t *testing.T, events []standin.Event, task string) {
	for _, event := range events {
		if event.Task == task && event.Kind != standin.EventWork {
			t.Logf("  %s %+v", time.Unix(0, event.At).UTC().Format("15:04:05.000"), event)
		}
	}
}

// readEvents returns what all workers did, in the order of time.
func (s *scenario) readEvents() []standin.Event {
	var events []standin.Event
	for _, m := range s.machines {
		data, err := os.ReadFile(m.events)
		if err != nil {
			s.t.Fatal(err)
		}
		lines := bufio.NewScanner(bytes.NewReader(data))
		for lines.Scan() {
			var event standin.Event
			if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
				s.t.Fatal(m.id, err)
			}
			events = append(events, event)
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events
}

// checkOnePlaceAtATime: once a batch task has started or worked in a
// generation, no earlier generation works, and a generation starts once. Nothing
// is done after the end of the lease under which it is done.
func checkOnePlaceAtATime(t *testing.T, events []standin.Event) {
	t.Helper()
	highest := map[string]standin.Event{}
	for _, event := range events {
		if event.Service || event.Kind == standin.EventStop {
			continue
		}
		if event.At >= event.LeaseEnd {
			t.Errorf("task %s: generation %d %ss on %s after its lease\n  %s",
				event.Task, event.Generation, event.Kind, event.VM, describeLease(event))
		}
		last, known := highest[event.Task]
		if known && event.Generation < last.Generation {
			t.Errorf("task %s: generation %d %ss on %s after generation %d on %s\n  %s\n  %s",
				event.Task, event.Generation, event.Kind, event.VM, last.Generation, last.VM,
				describeLease(event), describeLease(last))
		}
		if known && event.Generation == last.Generation && event.VM != last.VM {
			t.Errorf("task %s: generation %d on %s and on %s", event.Task, event.Generation, event.VM, last.VM)
		}
		if event.Generation >= last.Generation {
			highest[event.Task] = event
		}
	}
}

// describeLease tells when an event was written, the end of its lease, and when
// its worker was last paused and resumed.
func describeLease(event standin.Event) string {
	clock := func(at int64) string { return time.Unix(0, at).UTC().Format("15:04:05.000000") }
	text := fmt.Sprintf("generation %d on %s: %s at %s, lease until %s",
		event.Generation, event.VM, event.Kind, clock(event.At), clock(event.LeaseEnd))
	if event.PausedAt != 0 {
		text += fmt.Sprintf(", worker paused at %s, resumed at %s", clock(event.PausedAt), clock(event.ResumedAt))
	}
	return text
}

// checkFinishedOnce: every task finished, and again only when the worker that
// finished it was killed, or its agent frozen past the lease, before the finish
// was reported.
func checkFinishedOnce(t *testing.T, events []standin.Event, day *plan.DayPlan, kills []workerKill, pauses []agentPause) {
	t.Helper()
	finishes := map[string][]standin.Event{}
	for _, event := range events {
		if event.Kind == standin.EventFinish {
			finishes[event.Task] = append(finishes[event.Task], event)
		}
	}
	for _, job := range day.Jobs {
		for index := range job.Tasks {
			id := fmt.Sprintf("job/%s/%d", job.Name, index)
			list := finishes[id]
			if len(list) == 0 {
				t.Errorf("task %s never finished", id)
			}
			for i := 1; i < len(list); i++ {
				if !killedBetween(kills, list[i-1], list[i]) && !finishedInPause(pauses, list[i-1]) {
					t.Errorf("task %s finished in generation %d on %s and again in generation %d on %s",
						id, list[i-1].Generation, list[i-1].VM, list[i].Generation, list[i].VM)
				}
			}
		}
	}
}

func finishedInPause(pauses []agentPause, finish standin.Event) bool {
	at := time.Unix(0, finish.At)
	for _, pause := range pauses {
		if pause.vm == finish.VM && at.After(pause.from.Add(-unreported)) && at.Before(pause.to) {
			return true
		}
	}
	return false
}

func killedBetween(kills []workerKill, first, second standin.Event) bool {
	for _, kill := range kills {
		at := kill.at.UnixNano()
		if kill.vm == first.VM && at > first.At && at < second.At {
			return true
		}
	}
	return false
}

// checkCapacity: the grants of the runs on a VM never exceed it.
func checkCapacity(t *testing.T, events []standin.Event, kills []workerKill) {
	t.Helper()
	type runKey struct {
		task       string
		generation uint64
	}
	running := map[string]map[runKey]resource.Vector{}
	for _, event := range events {
		key := runKey{event.Task, event.Generation}
		switch event.Kind {
		case standin.EventStart:
			dropKilled(running, kills, event)
			if running[event.VM] == nil {
				running[event.VM] = map[runKey]resource.Vector{}
			}
			running[event.VM][key] = event.Grant
		case standin.EventStop, standin.EventFinish:
			delete(running[event.VM], key)
		}
		var sum resource.Vector
		for _, grant := range running[event.VM] {
			sum = sum.Add(grant)
		}
		if !sum.Fits(vmCapacity) {
			t.Errorf("VM %s holds %+v of %+v", event.VM, sum, vmCapacity)
		}
	}
}

// dropKilled forgets the runs that ended with a killed worker, which wrote no end.
func dropKilled[K comparable](running map[string]map[K]resource.Vector, kills []workerKill, event standin.Event) {
	for i, kill := range kills {
		if kill.vm == event.VM && kill.at.UnixNano() < event.At {
			clear(running[event.VM])
			kills[i].vm = "" // once
		}
	}
}

// checkZones: no task starts in a zone that has been out for longer than the bound.
func checkZones(t *testing.T, events []standin.Event, outages []outage) {
	t.Helper()
	for _, event := range events {
		for _, o := range outages {
			at := time.Unix(0, event.At)
			if event.Kind == standin.EventStart && event.Zone == o.zone && at.After(o.out.Add(zoneOutBound)) && at.Before(o.in) {
				t.Errorf("task %s started in zone %s %v after it went out", event.Task, o.zone, at.Sub(o.out))
			}
		}
	}
}
