package agent

import (
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/delivery"
)

func TestDrainedVMAndVMInOutOfServiceZoneRefuseRequests(t *testing.T) {
	d, err := delivery.New(delivery.Config{Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.SetServers([]delivery.Server{{ID: "a", Service: "ledger", URL: "http://127.0.0.1:1", Slots: 8, Connections: 64}})
	a := &Agent{delivery: d}
	steps := []struct {
		name      string
		directive *api.Directive
		closed    bool
	}{
		{"zone not in any plan yet", &api.Directive{}, false},
		{"in service", &api.Directive{ZoneInService: true}, false},
		{"drained", &api.Directive{ZoneInService: true, Drain: true}, true},
		{"taken back", &api.Directive{ZoneInService: true}, false},
		{"zone out", &api.Directive{}, true},
		{"zone in", &api.Directive{ZoneInService: true}, false},
	}
	for _, step := range steps {
		a.applyDirective(step.directive)
		if closed := d.Load()["a"].Leaving; closed != step.closed {
			t.Errorf("%s: closed to requests %v", step.name, closed)
		}
	}
}
