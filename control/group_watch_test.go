package control_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fleet"
)

// followingWatcher keeps a directory up to date and switches to the next replica
// when a watch ends.
type followingWatcher struct {
	group *group

	mu        sync.Mutex
	directory *fleet.Directory
	broken    error // an update that the directory refused
	updates   int
}

func (w *followingWatcher) revision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Revision()
}

// run watches replica first, and the next one when a watch ends.
func (w *followingWatcher) run(ctx context.Context, first int) {
	addresses := w.group.addresses()
	for next := first; ctx.Err() == nil; next++ {
		w.watch(ctx, addresses[next%len(addresses)])
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *followingWatcher) watch(ctx context.Context, address string) {
	connection, err := w.group.security.Dial(address)
	if err != nil {
		return
	}
	defer connection.Close()
	stream, err := api.NewControlClient(connection).Watch(ctx, &api.WatchRequest{Watcher: "w", Kind: "entry", Revision: w.revision()})
	if err != nil {
		return
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return
		}
		w.apply(update)
	}
}

func (w *followingWatcher) apply(update *api.DirectoryUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updates++
	if err := w.directory.Apply(update); err != nil && w.broken == nil {
		w.broken = err
	}
}

// startWatchers starts one watcher per replica. The returned function checks that
// all watchers reach the same revision and that no watcher's directory refused an
// update, such as one with a lower revision or a wrong digest.
func (g *group) startWatchers(t *testing.T) (check func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var watchers []*followingWatcher
	for i := range g.nodes {
		w := &followingWatcher{group: g, directory: fleet.NewDirectory()}
		watchers = append(watchers, w)
		go w.run(ctx, i)
	}
	return func() {
		t.Helper()
		for i, w := range watchers {
			w.mustReach(t, i, watchers[0])
		}
	}
}

func (w *followingWatcher) mustReach(t *testing.T, i int, other *followingWatcher) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); w.revision() == 0 || w.revision() != other.revision(); {
		if time.Now().After(deadline) {
			t.Fatalf("watcher %d stays at revision %d, another one at %d", i, w.revision(), other.revision())
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken != nil {
		t.Fatalf("watcher %d: %v", i, w.broken)
	}
	t.Logf("watcher %d: %d updates, revision %d", i, w.updates, w.directory.Revision())
}
