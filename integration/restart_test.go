package integration

import (
	"testing"
	"time"

	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
	"amaranthpaddle/transport"
)

// TestWorkGoesOnOverRestartsOfAgentAndWorker restarts one VM's agent, then its
// worker. The work must be finished afterwards.
func TestWorkGoesOnOverRestartsOfAgentAndWorker(t *testing.T) {
	s := &scenario{system: startSystem(t, zoneNames[:1], 1)}
	s.client = operatorclient.New(s.operators, &transport.Security{}, "")
	defer s.client.Close()
	day := testPlan()
	day.Zones = day.Zones[:1]
	day.Jobs = day.Jobs[:1]
	day.Jobs[0].Tasks = 9
	day.Services = []plan.Service{}
	s.submit(day)
	time.Sleep(betweenFaults)
	s.restart(s.machines[0].agent)
	time.Sleep(betweenFaults)
	s.restart(s.machines[0].worker)
	s.awaitFinished(day)
	checkOnePlaceAtATime(t, s.readEvents())
}
