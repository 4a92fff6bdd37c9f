package control

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
)

// watcher is one stream of directory updates. Server.mu guards revision.
type watcher struct {
	name     string
	kind     string
	revision uint64 // of the last update sent
	cancel   context.CancelCauseFunc
}

// Watch streams the directory's updates from the watcher's revision on. The first
// update is sent after a read that a quorum confirmed.
func (s *Server) Watch(request *api.WatchRequest, stream grpc.ServerStreamingServer[api.DirectoryUpdate]) error {
	err := s.watch(request, stream)
	stream.SetTrailer(s.leaderMetadata())
	return fault.ToStatus(err)
}

func (s *Server) watch(request *api.WatchRequest, stream grpc.ServerStreamingServer[api.DirectoryUpdate]) error {
	if err := s.confirmRead(stream.Context()); err != nil {
		return err
	}
	revision, _ := s.state.Revision()
	if request.Revision > revision {
		return fault.Newf(fault.NoQuorum, "this replica is at revision %d, behind the watcher's %d", revision, request.Revision)
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	w := &watcher{name: request.Watcher, kind: request.Kind, revision: request.Revision, cancel: cancel}
	s.addWatcher(w)
	defer s.removeWatcher(w)
	return s.stream(ctx, w, stream)
}

// stream sends an update for new revisions, at most one per minUpdateInterval, and
// the directory's digest about every digestInterval.
func (s *Server) stream(ctx context.Context, w *watcher, stream grpc.ServerStreamingServer[api.DirectoryUpdate]) error {
	sent := w.revision
	if err := s.sendUpdate(stream, w, &sent); err != nil {
		return err
	}
	digests := time.NewTicker(timing.Jitter(digestInterval, digestJitter))
	defer digests.Stop()
	for {
		revision, changed := s.state.Revision()
		if revision > sent {
			if err := s.sendUpdate(stream, w, &sent); err != nil {
				return err
			}
			if err := pause(ctx, s.stopped, minUpdateInterval); err != nil {
				return err
			}
			continue
		}
		select {
		case <-changed:
		case <-digests.C:
			if err := stream.Send(s.state.DirectoryCheck()); err != nil {
				return fault.Wrap(fault.Canceled, err, "send digest")
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.stopped.Done():
			return fault.New(fault.Draining, "this control replica stops")
		}
	}
}

// sendUpdate sends the update from *sent to the current revision, or the digest
// if the watcher is up to date.
func (s *Server) sendUpdate(stream grpc.ServerStreamingServer[api.DirectoryUpdate], w *watcher, sent *uint64) error {
	update := s.state.UpdateSince(*sent)
	if update == nil {
		update = s.state.DirectoryCheck()
	}
	if err := stream.Send(update); err != nil {
		return fault.Wrap(fault.Canceled, err, "send update")
	}
	*sent = update.Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	w.revision = update.Revision
	return nil
}

func (s *Server) addWatcher(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[w] = struct{}{}
}

func (s *Server) removeWatcher(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

// monitorWatchers ends all watches when this replica can no longer confirm a read
// with a quorum, so that the watchers switch to another replica.
func (s *Server) monitorWatchers(ctx context.Context) {
	ticker := time.NewTicker(watchConfirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.watcherCount() == 0 {
			continue
		}
		if err := s.confirmRead(ctx); err != nil {
			s.endWatches(err)
		}
	}
}

func (s *Server) endWatches(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchers {
		w.cancel(cause)
	}
}

// confirmRead returns once the local state includes every change that was
// acknowledged before the call.
func (s *Server) confirmRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := s.config.Node.ConfirmRead(ctx)
	return err
}

// pause waits for d. It returns an error if the watch or the server ends earlier.
func pause(ctx, stopped context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-stopped.Done():
		return fault.New(fault.Draining, "this control replica stops")
	}
}
