package jobcontrol

import (
	"fmt"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
)

// costsReceived returns the pair costs in the directives received since the last
// call, by pair.
func (a *fakeAgent) costsReceived() map[dispatch.Pair]float64 {
	costs := map[dispatch.Pair]float64{}
	for {
		select {
		case d := <-a.stream.directives:
			for _, cost := range d.Costs {
				known := dispatch.PairCostOf(cost)
				costs[known.Pair] = known.PerCore
			}
		default:
			return costs
		}
	}
}

// wakeSessions signals all sessions of the leader.
func (r *rig) wakeSessions() {
	r.t.Helper()
	r.withLeadership(func(l *leadership) {
		for _, session := range l.sessions {
			session.signal()
		}
	})
	r.wait(10 * time.Millisecond)
}

// Failure: on 240 VMs, each answer to a report carried the costs of all pairs of
// images whenever one of them had changed. Together they filled the links between
// regions, so that heartbeats came late and leadership changed every four seconds.
func TestAgentReceivesOnlyChangedCostsOfPairsOnItsWorker(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		learnt := func(service, image string, perCore float64) {
			r.withLeadership(func(l *leadership) {
				l.knowledge.Interference.Set(dispatch.PairCost{Pair: dispatch.Pair{Service: service, BestEffort: image}, PerCore: perCore})
			})
		}
		for i := range 40 {
			learnt("serving", fmt.Sprintf("other%d", i), 0.2)
			learnt(fmt.Sprintf("other%d", i), "batch", 0.2)
		}
		learnt("serving", "batch", 0.1)
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{
			{Count: 1, MilliCpu: 1000, LongRunning: true, TargetLatencyMs: 100, Image: "serving"},
			{Count: 1, MilliCpu: 1000, EstimatedMs: 1000, BestEffort: true, Image: "batch"},
		}}, accepted)
		r.wait(time.Second)
		pair := dispatch.Pair{Service: "serving", BestEffort: "batch"}
		if costs := a.costsReceived(); len(costs) != 1 || costs[pair] != 0.1 {
			t.Errorf("costs %v, want that of the pair on the worker", costs)
		}
		a.report()
		if costs := a.costsReceived(); len(costs) != 0 {
			t.Errorf("unchanged costs were sent again: %v", costs)
		}
		learnt("serving", "batch", 0.3)
		r.wakeSessions() // with nothing else to send
		a.report()
		if costs := a.costsReceived(); costs[pair] != 0.3 {
			t.Errorf("costs %v after a change", costs)
		}
		a.reconnect()
		r.wait(time.Second)
		if costs := a.costsReceived(); costs[pair] != 0.3 {
			t.Errorf("costs %v on a new session", costs)
		}
	})
}

func TestNewSessionDescribesTheRunsOnItsWorker(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{
			{Count: 1, MilliCpu: 1000, LongRunning: true, TargetLatencyMs: 100, Image: "serving"},
			{Count: 1, MilliCpu: 1000, EstimatedMs: 1000, BestEffort: true, Image: "batch"},
			{Count: 1, MilliCpu: 1000, EstimatedMs: 1000},
		}}, accepted)
		r.wait(time.Second)
		a.drainDirectives()
		a.reconnect()
		r.wait(time.Second)
		described := map[string]*api.RunOrder{}
		for len(a.stream.directives) > 0 {
			for _, order := range (<-a.stream.directives).Described {
				described[order.Image] = order
			}
		}
		if len(described) != 2 || described["serving"].GetTargetLatencyMs() != 100 || !described["batch"].GetBestEffort() {
			t.Errorf("described runs %v", described)
		}
	})
}
