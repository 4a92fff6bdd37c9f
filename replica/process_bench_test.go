package replica

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// childEnvironment marks a process that BenchmarkProcesses started: it runs one
// replica and follows the commands on its standard input.
const childEnvironment = "REPLICA_BENCH_CHILD"

// childConfig is the first command, with the members' addresses.
type childConfig struct {
	ID     uint64
	Folder string
	Peers  map[uint64]string
}

// childCommand asks for writes, if this replica leads, and then for a report.
type childCommand struct{ Writers, Changes int }

// childReport is what a child has used so far.
type childReport struct {
	Leads bool
	CPU   time.Duration
}

func runChild() {
	h := &host{tb: &testing.B{}}
	var err error
	if h.listener, err = h.config.Security.Listen("127.0.0.1:0"); err != nil {
		panic(err)
	}
	fmt.Println(h.listener.Addr())
	commands, reports := json.NewDecoder(os.Stdin), json.NewEncoder(os.Stdout)
	var config childConfig
	if err := commands.Decode(&config); err != nil {
		return
	}
	h.config.ID, h.config.DataDir, h.config.Peers = config.ID, config.Folder, config.Peers
	h.config.Address = config.Peers[config.ID]
	h.start()
	defer h.stop()
	for {
		var command childCommand
		if err := commands.Decode(&command); err != nil {
			return
		}
		leads := h.replica.Status().LeaderReady
		if leads {
			writeFrom(h, command.Writers, command.Changes)
		}
		if err := reports.Encode(childReport{Leads: leads, CPU: cpuTime()}); err != nil {
			return
		}
	}
}

func writeFrom(h *host, writers, count int) {
	var next atomic.Int64
	var done sync.WaitGroup
	for range writers {
		done.Go(func() {
			for next.Add(1) <= int64(count) {
				if _, err := h.replica.Propose(context.Background(), make([]byte, benchDataBytes)); err != nil {
					panic(err)
				}
			}
		})
	}
	done.Wait()
}

// child is the parent's side of a child process.
type child struct {
	commands *json.Encoder
	reports  *json.Decoder
	input    io.Closer
	process  *exec.Cmd
	address  string
}

func startChild(b *testing.B) *child {
	c := &child{process: exec.Command(os.Args[0])}
	c.process.Env = append(os.Environ(), childEnvironment+"=1")
	input, err := c.process.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := c.process.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := c.process.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		c.input.Close()
		c.process.Wait()
	})
	reader := bufio.NewReader(output)
	if _, err := fmt.Fscanln(reader, &c.address); err != nil {
		b.Fatal(err)
	}
	c.input, c.commands, c.reports = input, json.NewEncoder(input), json.NewDecoder(reader)
	return c
}

// commandAll sends a command to all children and returns their reports.
func commandAll(b *testing.B, children []*child, command childCommand) []childReport {
	reports := make([]childReport, len(children))
	for i, c := range children {
		if err := c.commands.Encode(command); err != nil {
			b.Fatal(err)
		}
		if err := c.reports.Decode(&reports[i]); err != nil {
			b.Fatal(err)
		}
	}
	return reports
}

// BenchmarkProcesses measures the processor time of leader and follower, each
// in its own process.
func BenchmarkProcesses(b *testing.B) {
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) { benchProcesses(b, writers) })
	}
}

func benchProcesses(b *testing.B, writers int) {
	children := make([]*child, 3)
	peers := map[uint64]string{}
	for i := range children {
		children[i] = startChild(b)
		peers[uint64(i+1)] = children[i].address
	}
	for i, c := range children {
		if err := c.commands.Encode(childConfig{ID: uint64(i + 1), Folder: b.TempDir(), Peers: peers}); err != nil {
			b.Fatal(err)
		}
	}
	var before []childReport
	for leads := false; !leads; time.Sleep(10 * time.Millisecond) {
		before = commandAll(b, children, childCommand{Writers: writers, Changes: 100})
		leads = before[0].Leads || before[1].Leads || before[2].Leads
	}
	before = commandAll(b, children, childCommand{})
	b.ResetTimer()
	commandAll(b, children, childCommand{Writers: writers, Changes: b.N})
	b.StopTimer()
	after := commandAll(b, children, childCommand{})
	for i := range after {
		name := fmt.Sprintf("follower-%d-cpu-us/change", i+1)
		if after[i].Leads {
			name = "leader-cpu-us/change"
		}
		b.ReportMetric(float64((after[i].CPU-before[i].CPU).Microseconds())/float64(b.N), name)
	}
}
