package control

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
)

// announce sends a report that replaces the agent's backend servers.
func (a *testAgent) announce(servers ...*api.BackendServer) {
	a.sequence++
	a.stream.in <- &api.AgentReport{
		Sequence: a.sequence, Incarnation: a.incarnation, Servers: servers, ServersChanged: true,
	}
}

// publishedFor returns the VM for which the backend server is published.
func (s *testServer) publishedFor(id string) string {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	return s.state.directory().Server(id).GetVm()
}

// A VM that was lost returns with an instance that was moved meanwhile. A session
// that is refused for it renews no lease, learns of no finish and stops nothing.
func TestServerPublishedElsewhereIsRefusedAlone(t *testing.T) {
	for _, ending := range []string{"withdrawn", "lost"} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestServer(t, Config{})
			first := s.connect(t, testVM("vm-1", "a"), 1, nil)
			run := s.placeOne(t, first)
			first.report(running(run))
			first.next(t)
			first.close()
			for !s.lost("vm-1") {
				time.Sleep(100 * time.Millisecond)
			}
			other := s.connect(t, testVM("vm-2", "a"), 1, []*api.BackendServer{testBackend(run.task, "vm-2")})
			other.until(t, starts)
			back := s.connect(t, testVM("vm-1", "a"), 1,
				[]*api.BackendServer{testBackend(run.task, "vm-1"), testBackend("own", "vm-1")}, running(run))
			d := back.next(t)
			if len(d.RefusedServers) != 1 || d.RefusedServers[0].Id != run.task || d.RefusedServers[0].Vm != "vm-2" {
				t.Errorf("refused servers %v, want %s of vm-2", d.RefusedServers, run.task)
			}
			if len(d.Stop) != 1 || d.LeaseMs == 0 {
				t.Errorf("directive %v, want a lease and the stop of the run that is placed elsewhere", d)
			}
			if s.publishedFor("own") != "vm-1" || s.publishedFor(run.task) != "vm-2" {
				t.Errorf("published for %q and %q", s.publishedFor("own"), s.publishedFor(run.task))
			}
			if ending == "withdrawn" {
				other.announce()
				synctest.Wait()
			} else {
				other.close()
				for !s.lost("vm-2") {
					back.report()
					time.Sleep(100 * time.Millisecond)
				}
			}
			for len(back.next(t).RefusedServers) > 0 {
			}
			if s.publishedFor(run.task) != "vm-1" {
				t.Errorf("%s: published for %q, want vm-1", ending, s.publishedFor(run.task))
			}
		})
	}
}

// Another VM's announcement of the same id is committed between the check of an
// announcement and its commit, which the state machine then refuses as a whole.
func TestServerPublishedDuringAnnouncementIsRefusedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		earlier, err := proto.Marshal(&api.Command{Body: &api.Command_AnnounceVm{AnnounceVm: &api.AnnounceVM{
			Vm: testVM("vm-2", "a"), Incarnation: 1, Servers: []*api.BackendServer{testBackend("shared", "vm-2")}, ServersChanged: true,
		}}})
		if err != nil {
			t.Fatal(err)
		}
		s.node.mu.Lock()
		s.node.earlier = earlier
		s.node.mu.Unlock()
		agent := s.connect(t, testVM("vm-1", "a"), 1,
			[]*api.BackendServer{testBackend("shared", "vm-1"), testBackend("own", "vm-1")})
		if d := agent.next(t); len(d.RefusedServers) != 1 || d.LeaseMs == 0 || s.publishedFor("own") != "vm-1" {
			t.Errorf("directive %v, own server published for %q", d, s.publishedFor("own"))
		}
	})
}
