// Command paddle-scale measures a control group under a large fleet: it writes
// the day plan of such a fleet, and runs the sessions of hundreds of light
// agents in one process. The control replicas run as processes of their own.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"amaranthpaddle/controlclient"
	"amaranthpaddle/transport"
)

const (
	sampleInterval = 20 * time.Millisecond
	printInterval  = 5 * time.Second
)

func main() {
	var (
		controls string
		agents          = 550
		runFor          = 2 * time.Minute
		number   uint64 = 1
		scale           = 1.0
		urgent          = 0
		deliver         = false
	)
	flaggy.SetDescription("measures a control group under a large fleet")
	planCommand := flaggy.NewSubcommand("plan")
	planCommand.Description = "writes the day plan of a large fleet to standard output"
	planCommand.UInt64(&number, "n", "number", "plan number")
	planCommand.Float64(&scale, "s", "scale", "size relative to 550 VMs")
	planCommand.Int(&urgent, "u", "urgent", "tasks of an urgent job")
	agentsCommand := flaggy.NewSubcommand("agents")
	agentsCommand.Description = "runs the sessions of many light agents"
	agentsCommand.String(&controls, "c", "control", "ip:port of each control replica, separated by commas")
	agentsCommand.Int(&agents, "a", "agents", "number of agents")
	agentsCommand.Bool(&deliver, "r", "requests", "open each agent's request side, for entries to connect to")
	agentsCommand.Duration(&runFor, "d", "duration", "how long to run")
	flaggy.AttachSubcommand(planCommand, 1)
	flaggy.AttachSubcommand(agentsCommand, 1)
	flaggy.Parse()
	switch {
	case planCommand.Used:
		exitOn(writeSheet(os.Stdout, sheetOptions{number: number, scale: scale, urgent: urgent, day: time.Now().UTC()}))
	case agentsCommand.Used && controls != "":
		exitOn(runAgents(strings.Split(controls, ","), agents, runFor, deliver))
	default:
		flaggy.ShowHelpAndExit("a command is needed; agents also needs --control")
	}
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "paddle-scale:", err)
		os.Exit(1)
	}
}

// runAgents runs the agents and prints, every few seconds, how many runs
// started and how long the last revision took to be in force at all of them.
func runAgents(controls []string, count int, runFor time.Duration, deliver bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), runFor)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	control := controlclient.New(&transport.Security{}, controls)
	defer control.Close()
	fleet := make([]*lightAgent, count)
	var wait sync.WaitGroup
	for i := range fleet {
		var requests *requestSide
		if deliver {
			started, err := startRequestSide(control)
			if err != nil {
				return err
			}
			requests = started
		}
		fleet[i] = newLightAgent(i, zones[i%len(zones)], controls, requests)
		wait.Add(1)
		go func() {
			defer wait.Done()
			fleet[i].run(ctx)
		}()
	}
	observe(ctx, fleet)
	wait.Wait()
	return nil
}

// spread is when a revision was first seen at one agent and at all of them.
type spread struct {
	revision    uint64
	first, last time.Time
}

func observe(ctx context.Context, fleet []*lightAgent) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	var newest spread
	printed := time.Now()
	started := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			newest.update(fleet, now)
			if now.Sub(printed) < printInterval {
				continue
			}
			total := startedRuns(fleet)
			fmt.Printf("%s runs started %d (%.1f/s), active %d, revision %d %s\n", now.Format(time.TimeOnly),
				total, float64(total-started)/now.Sub(printed).Seconds(), activeRuns(fleet), newest.revision, newest.describe())
			printed, started = now, total
		}
	}
}

func (s *spread) update(fleet []*lightAgent, now time.Time) {
	low, high := revisions(fleet)
	if high > s.revision {
		*s = spread{revision: high, first: now}
	}
	if low == s.revision && s.last.IsZero() {
		s.last = now
	}
}

func (s *spread) describe() string {
	if s.revision == 0 || s.last.IsZero() {
		return "not yet in force everywhere"
	}
	return fmt.Sprintf("in force everywhere %v after the first agent", s.last.Sub(s.first).Round(time.Millisecond))
}

func revisions(fleet []*lightAgent) (low, high uint64) {
	all := make([]uint64, len(fleet))
	for i, agent := range fleet {
		all[i] = agent.session.Revision()
	}
	return slices.Min(all), slices.Max(all)
}

func startedRuns(fleet []*lightAgent) int {
	total := 0
	for _, agent := range fleet {
		total += agent.worker.Started()
	}
	return total
}

func activeRuns(fleet []*lightAgent) int {
	total := 0
	for _, agent := range fleet {
		total += agent.session.ActiveTasks()
	}
	return total
}
