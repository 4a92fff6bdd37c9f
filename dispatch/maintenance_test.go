package dispatch

import (
	"slices"
	"testing"
	"time"
)

func TestMaintenanceRespectsMaxConcurrent(t *testing.T) {
	const duration = 20 * time.Second // 4 VMs, one at a time: 5 s each, half of it for runs to end
	up := func(name string) MaintenanceVM { return MaintenanceVM{Name: name} }
	closed := func(name string, since time.Duration, runs, guarded int) MaintenanceVM {
		return MaintenanceVM{Name: name, Closed: since, Runs: runs, Guarded: guarded}
	}
	down := MaintenanceVM{Name: "a", State: VMInMaintenance, Begun: true, Ordered: true}
	cases := []struct {
		name  string
		vms   []MaintenanceVM
		most  int
		close []string
		begin []string
	}{
		{"the first is closed", []MaintenanceVM{up("a"), up("b"), up("c"), up("d")}, 1, []string{"a"}, nil},
		{"an idle one begins", []MaintenanceVM{closed("a", 1, 0, 0), up("b"), up("c"), up("d")}, 1, []string{"a"}, []string{"a"}},
		{"runs get time to end", []MaintenanceVM{closed("a", time.Second, 3, 0), up("b"), up("c"), up("d")}, 1, []string{"a"}, nil},
		{"but not forever", []MaintenanceVM{closed("a", 3*time.Second, 3, 0), up("b"), up("c"), up("d")}, 1, []string{"a"}, []string{"a"}},
		{"tasks with a disruption budget are waited for", []MaintenanceVM{closed("a", time.Minute, 0, 1), up("b"), up("c"), up("d")}, 1, []string{"a"}, nil},
		{"while one is down the next waits", []MaintenanceVM{down, up("b"), up("c"), up("d")}, 1, nil, nil},
		{"two at a time", []MaintenanceVM{down, closed("b", 1, 0, 0), up("c"), up("d")}, 2, []string{"b"}, []string{"b"}},
		{"an unanswered order counts as down", []MaintenanceVM{{Name: "a", Ordered: true}, up("b"), up("c"), up("d")}, 1, nil, nil},
		{"one that is down for another reason is skipped", []MaintenanceVM{{Name: "a", State: VMDown}, up("b"), up("c"), up("d")}, 1, []string{"b"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plan := PlanMaintenance(c.vms, c.most, duration)
			if !slices.Equal(plan.Close, c.close) || !slices.Equal(plan.Begin, c.begin) {
				t.Errorf("%+v", plan)
			}
		})
	}
}
