package jobnode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/controlclient"
	"amaranthpaddle/disk"
	"amaranthpaddle/fault"
	"amaranthpaddle/transport"
)

const testTimeout = 30 * time.Second

// fillingDisk is the disk of one replica, whose writes fail while it is full.
type fillingDisk struct {
	disk.OS
	full atomic.Bool
}

type fillingFile struct {
	disk.File
	disk *fillingDisk
}

func (d *fillingDisk) Create(path string) (disk.File, error) {
	file, err := d.OS.Create(path)
	return &fillingFile{file, d}, err
}

func (d *fillingDisk) Append(path string) (disk.File, error) {
	file, err := d.OS.Append(path)
	return &fillingFile{file, d}, err
}

func (f *fillingFile) Write(data []byte) (int, error) {
	if f.disk.full.Load() {
		n, _ := f.File.Write(data[:len(data)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// supervised is a control replica that Supervise starts again when it ends.
type supervised struct {
	disk    fillingDisk
	starts  atomic.Int32
	planned atomic.Bool // the stop is a planned one
	cancel  context.CancelFunc
	stopped chan struct{}
	mu      sync.Mutex
	control *Control // nil between two replicas
}

func (s *supervised) current() *Control {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control
}

func (s *supervised) set(control *Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = control
}

// run runs one replica until it ends or ctx does.
func (s *supervised) run(ctx context.Context, config Config, client *controlclient.Client) error {
	s.starts.Add(1)
	control, err := StartControl(config, client)
	if err != nil {
		return err
	}
	defer control.Kill()
	s.set(control)
	defer s.set(nil)
	select {
	case err := <-control.Ended:
		return err
	case <-ctx.Done():
		if s.planned.Load() {
			stopping, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			control.HandOver(stopping)
			control.Leave(stopping)
		}
		return nil
	}
}

// stop stops the replica, as planned or at once, and waits for its end.
func (s *supervised) stop(planned bool) {
	s.planned.Store(planned)
	s.cancel()
	<-s.stopped
}

// confirms reports whether a quorum confirms the state of the replica.
func (s *supervised) confirms(ctx context.Context) bool {
	control := s.current()
	if control == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := control.replica.ConfirmRead(ctx)
	return err == nil
}

// startSupervised starts a group of three voters at addresses of its own, and returns
// a function that starts another replica, which joins it.
func startSupervised(t *testing.T) (group []*supervised, join func() *supervised) {
	host := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
	address := func(i int) string { return fmt.Sprintf("%s.%d:7401", host, i+1) }
	seeds := []string{address(0), address(1), address(2)}
	for i := range seeds {
		group = append(group, startOne(t, address(i), seeds, true))
	}
	return group, func() *supervised { return startOne(t, address(len(seeds)), seeds, false) }
}

func startOne(t *testing.T, address string, seeds []string, first bool) *supervised {
	security := &transport.Security{Insecure: true}
	folder, client := t.TempDir(), controlclient.New(security, seeds)
	ctx, cancel := context.WithCancel(context.Background())
	s := &supervised{cancel: cancel, stopped: make(chan struct{})}
	t.Cleanup(func() { cancel(); <-s.stopped })
	go func() {
		defer close(s.stopped)
		defer client.Close()
		err := Supervise(ctx, folder, first, func(first bool) error {
			return s.run(ctx, Config{
				Address: address, Seeds: seeds, FirstStart: first, DataDir: folder, Voters: len(seeds),
				Lease: time.Second, Retain: time.Minute, Security: security, FS: &s.disk,
			}, client)
		})
		if err != nil {
			t.Errorf("replica at %s: %v", address, err)
		}
	}()
	return s
}

func allConfirm(t *testing.T, group []*supervised) func() bool {
	return func() bool {
		for _, s := range group {
			if !s.confirms(t.Context()) {
				return false
			}
		}
		return true
	}
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// Guards against a full disk that ends a replica's part for good: its process went on,
// so nothing started it again, and the second such replica left the group without a quorum.
func TestReplicasWhoseDisksWereFullInTurnVoteAgain(t *testing.T) {
	group, _ := startSupervised(t)
	waitUntil(t, "the group forms", allConfirm(t, group))
	for i, s := range group {
		starts := s.starts.Load()
		s.disk.full.Store(true)
		waitUntil(t, "the replica fails and is started again", func() bool {
			for _, other := range group {
				if control := other.current(); control != nil {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					control.HandOver(ctx) // an election writes on each replica
					cancel()
				}
			}
			return s.starts.Load() >= starts+2
		})
		s.disk.full.Store(false)
		waitUntil(t, fmt.Sprintf("all confirm reads after the disk of replica %d was full", i+1), allConfirm(t, group))
	}
}

// Guards against a planned replacement that leaves the seat of the stopped voter empty:
// its successor had begun before the voter stopped, so it stayed a learner, and the next
// loss ended the group.
func TestGroupBearsALossRightAfterAPlannedReplacement(t *testing.T) {
	group, join := startSupervised(t)
	waitUntil(t, "the group forms", allConfirm(t, group))
	successor := join()
	waitUntil(t, "the successor catches up", allConfirm(t, []*supervised{successor}))
	group[0].stop(true)
	group[1].stop(false)
	rest := []*supervised{group[2], successor}
	waitUntil(t, "the other two go on", allConfirm(t, rest))
}

// Guards against a process that ends, or never ends, for an error of a replica from which
// it could recover, and against a folder that is emptied for an error of the settings.
func TestSuperviseRecoversFromWhatEndsAReplica(t *testing.T) {
	ended := func(kind fault.Kind) error { return &EndedError{Cause: fault.New(kind, "ended")} }
	cases := []struct {
		name   string
		errors []error // of the replicas that follow each other; the next one is stopped as planned
		want   fault.Kind
		fails  bool
		kept   bool // the data folder's content
	}{
		{"planned stop", nil, 0, false, true},
		{"storage failure", []error{ended(fault.StorageFailed)}, 0, false, true},
		{"disk still full at the next start", []error{ended(fault.StorageFailed), fault.New(fault.StorageFailed, "full")}, 0, false, true},
		{"removed from the group", []error{ended(fault.Conflict)}, 0, false, false},
		{"unusable folder at the first start", []error{fault.New(fault.StorageFailed, "no permission")}, fault.StorageFailed, true, true},
		{"folder of another replica", []error{fault.New(fault.Conflict, "the folder of replica 9")}, fault.Conflict, true, true},
		{"damaged state", []error{ended(fault.DataCorrupt)}, fault.DataCorrupt, true, true},
		{"listener ended", []error{ended(fault.Internal)}, fault.Internal, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				folder := t.TempDir()
				identity := filepath.Join(folder, "identity")
				if err := os.WriteFile(identity, nil, 0o600); err != nil {
					t.Fatal(err)
				}
				runs := 0
				err := Supervise(t.Context(), folder, true, func(first bool) error {
					runs++
					if _, err := os.Stat(identity); (err == nil) != first {
						t.Errorf("replica %d: first start %v, folder %v", runs, first, err)
					}
					if runs <= len(c.errors) {
						return c.errors[runs-1]
					}
					return nil
				})
				if c.fails != (err != nil) || c.fails && (!fault.Is(err, c.want) || runs != len(c.errors)) {
					t.Errorf("ended with %v after %d replicas", err, runs)
				}
				if _, err := os.Stat(identity); (err == nil) != c.kept {
					t.Errorf("content of the folder after the end: %v", err)
				}
			})
		})
	}
}

// Guards against a data folder that is half emptied at a crash, which every later start
// refused as damaged.
func TestEmptyingOfADataFolderGoesOnAfterACrash(t *testing.T) {
	folder := t.TempDir()
	for _, name := range []string{discardedFile, "log"} {
		if err := os.WriteFile(filepath.Join(folder, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	err := Supervise(t.Context(), folder, false, func(bool) error { return nil })
	left, _ := os.ReadDir(folder)
	if err != nil || len(left) > 0 {
		t.Errorf("error %v, left %v", err, left)
	}
}
