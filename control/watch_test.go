package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/fleet"
	"amaranthpaddle/operatorapi"
)

// testWatcher is the watcher's side of a stream.
type testWatcher struct {
	stream    *fakeStream[struct{}, api.DirectoryUpdate]
	done      chan error
	directory *fleet.Directory
	updates   []*api.DirectoryUpdate
}

func (s *testServer) watchFrom(t *testing.T, revision uint64) *testWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &testWatcher{
		stream:    newFakeStream[struct{}, api.DirectoryUpdate](ctx),
		done:      make(chan error, 1),
		directory: fleet.NewDirectory(),
	}
	request := &api.WatchRequest{Watcher: "w", Kind: "entry", Revision: revision}
	go func() { w.done <- fault.FromStatus(s.Watch(request, w.stream)) }()
	return w
}

// takeAll applies all received updates.
func (w *testWatcher) takeAll(t *testing.T) {
	t.Helper()
	for len(w.stream.out) > 0 {
		update := <-w.stream.out
		before := w.directory.Revision()
		if err := w.directory.Apply(update); err != nil {
			t.Fatalf("apply: %v", err)
		}
		if w.directory.Revision() < before {
			t.Fatalf("revision went from %d back to %d", before, w.directory.Revision())
		}
		w.updates = append(w.updates, update)
	}
}

func TestWatcherReceivesEveryChangeAsDelta(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		s.connect(t, testVM("vm", "a"), 1, []*api.BackendServer{testBackend("server", "vm")}).next(t)
		w := s.watchFrom(t, 0)
		synctest.Wait()
		w.takeAll(t)
		for i := range 20 {
			s.mustPost(t, operatorapi.PathPlan, vmName(i), encodePlan(t, testPlan(uint64(i+1), 1)))
			s.mustPost(t, operatorapi.PathZones+"a/out", "out"+vmName(i), nil)
			s.mustPost(t, operatorapi.PathZones+"a/in", "in"+vmName(i), nil)
			time.Sleep(2 * minUpdateInterval)
			synctest.Wait()
			w.takeAll(t)
			if revision, _ := s.state.Revision(); w.directory.Revision() != revision {
				t.Fatalf("watcher at %d, server at %d", w.directory.Revision(), revision)
			}
		}
		for _, update := range w.updates[1:] {
			if update.BaseRevision == 0 {
				t.Fatal("the whole directory was sent again")
			}
		}
		if w.directory.Server("server") == nil || w.directory.PlanNumber() != 20 {
			t.Fatal("the directory is incomplete")
		}
	})
}

func TestWatchersReceiveDrainInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		s.connect(t, testVM("vm", "a"), 1, []*api.BackendServer{testBackend("server", "vm")}).next(t)
		w := s.watchFrom(t, 0)
		synctest.Wait()
		w.takeAll(t)
		s.mustPost(t, operatorapi.PathVMs+"vm/drain", "c1", nil)
		time.Sleep(drainTarget)
		w.takeAll(t)
		if server := w.directory.Server("server"); server == nil || !server.Leaving {
			t.Fatalf("server %v", server)
		}
	})
}

func TestAnIdleWatcherGetsDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		w := s.watchFrom(t, 0)
		time.Sleep(5 * digestInterval)
		synctest.Wait()
		if n := len(w.stream.out); n < 4 {
			t.Fatalf("%d updates", n)
		}
		w.takeAll(t)
	})
}

func TestReplicaWithoutQuorumServesNoWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		early := s.watchFrom(t, 0)
		synctest.Wait()
		s.node.setQuorum(false)
		late := s.watchFrom(t, 0)
		if err := <-late.done; !fault.Is(err, fault.NoQuorum) || len(late.stream.out) > 0 {
			t.Fatalf("new watch: %v, %d updates", err, len(late.stream.out))
		}
		if err := <-early.done; !fault.Is(err, fault.NoQuorum) {
			t.Fatalf("early watch: %v", err)
		}
	})
}

func TestLaggingReplicaRefusesWatcher(t *testing.T) {
	s := newTestServer(t, Config{})
	if err := <-s.watchFrom(t, 99).done; !fault.Is(err, fault.NoQuorum) {
		t.Fatalf("error %v", err)
	}
}
