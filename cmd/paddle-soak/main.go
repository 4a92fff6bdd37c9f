// Command paddle-soak runs the programs of submitted jobs as processes on this
// machine, disturbs them from outside by a schedule that a seed fixes, and
// checks what callers, operators and workers see.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"amaranthpaddle/fault"
)

func main() {
	seed, disturbed, faults, load, folder, programs := uint64(1), 20*time.Second, allFaults, wideLoad, "", ""
	flaggy.SetName("paddle-soak")
	flaggy.SetDescription("disturbs the programs of submitted jobs and checks their promises")
	flaggy.UInt64(&seed, "s", "seed", "fixes the schedule of faults and the jobs")
	flaggy.Duration(&disturbed, "d", "duration", "time with faults, before the programs are left alone and must finish")
	flaggy.String(&faults, "k", "faults", "schedules of faults: all (general and restarts), general, restarts (of workers), orders (of operators), recut (restarts of workers that are cut off soon after), recut-soon (with their agents, sooner), recut-again (and restart once more), repause (with paused agents) or none")
	flaggy.String(&load, "l", "load", "jobs: wide (many for three workers), long (a third has tasks of 8 to 15 s, for nine) or mixed (services, short tasks and best-effort work for eleven)")
	flaggy.String(&folder, "f", "folder", "keeps logs and data in this folder, which must not exist")
	flaggy.String(&programs, "p", "programs", "folder of the built programs; they are built when empty")
	flaggy.Parse()
	violations, err := soak(seed, disturbed, faults, load, folder, programs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "paddle-soak:", err)
		os.Exit(fault.ExitFailure)
	}
	if len(violations) > 0 {
		os.Exit(fault.ExitConflict)
	}
}

// Schedules of faults.
const (
	allFaults     = "all"
	generalFaults = "general"
	restartFaults = "restarts"
	orderFaults   = "orders"
	recutFaults   = "recut"
	repauseFaults = "repause"

	recutSoonFaults  = "recut-soon"
	recutAgainFaults = "recut-again"
	noFaults         = "none"
)

// Loads of jobs.
const (
	wideLoad  = "wide"
	longLoad  = "long"
	mixedLoad = "mixed"
)

// soak runs one seed and prints its outcome.
func soak(seed uint64, disturbed time.Duration, faults, load, folder, programs string) ([]string, error) {
	_, recuts := recutSchedules[faults]
	if !recuts && !slices.Contains([]string{allFaults, generalFaults, restartFaults, orderFaults, noFaults}, faults) {
		return nil, fault.Newf(fault.InvalidArgument, "unknown schedules of faults %q", faults)
	}
	if !slices.Contains([]string{wideLoad, longLoad, mixedLoad}, load) {
		return nil, fault.Newf(fault.InvalidArgument, "unknown load %q", load)
	}
	keep := folder != ""
	if !keep {
		var err error
		if folder, err = os.MkdirTemp("", "paddle-soak-"); err != nil {
			return nil, fault.Wrap(fault.StorageFailed, err, "folder")
		}
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "folder")
	}
	if programs == "" {
		programs = filepath.Join(folder, "bin")
		if err := build(programs); err != nil {
			return nil, err
		}
	}
	r, err := newRun(seed, load, folder, programs)
	if err != nil {
		return nil, err
	}
	defer r.close()
	interrupted, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	played := make(chan []string, 1)
	go func() { played <- r.play(disturbed, faults) }()
	var violations []string
	select {
	case violations = <-played:
	case <-interrupted.Done():
		return nil, fault.New(fault.Canceled, "interrupted")
	}
	fmt.Printf("seed %d: %s, %d faults, %d violations\n", seed, r.check.summary(), r.faults.Load(), len(violations))
	for _, violation := range violations {
		fmt.Println("  ", violation)
	}
	if len(violations) == 0 && !keep {
		os.RemoveAll(folder)
	} else {
		fmt.Println("   logs:", folder)
	}
	return violations, nil
}
