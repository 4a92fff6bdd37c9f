package integration

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/agent"
	"amaranthpaddle/api"
	"amaranthpaddle/control"
	"amaranthpaddle/controlnode"
	"amaranthpaddle/entry"
	"amaranthpaddle/resource"
	"amaranthpaddle/standin"
	"amaranthpaddle/task/lease"
	"amaranthpaddle/transport"
)

// childEnvironment holds the role and the arguments of a child process: the
// test binary runs itself as each process of the system.
const childEnvironment = "PADDLE_TEST_ROLE"

// requestsSuffix names the file of request events beside a worker's events.
const requestsSuffix = ".requests"

// The durations are shorter than in production, so that a test sees many leases.
const (
	plannedStopLimit = 20 * time.Second
	leaseDuration    = 4 * time.Second
	leaseMargin      = 500 * time.Millisecond
	freshness        = 2 * time.Second
)

var vmCapacity = resource.Vector{MilliCPU: 8000, MemoryMiB: 16 << 10}

func TestMain(m *testing.M) {
	arguments := strings.Split(os.Getenv(childEnvironment), " ")
	logVerbosely()
	switch arguments[0] {
	case "control":
		runControl(arguments[1:])
	case "agent":
		runAgent(arguments[1:])
	case "worker":
		runWorker(arguments[1:])
	case "entry":
		runEntry(arguments[1:])
	default:
		os.Exit(m.Run())
	}
	// The parent holds the other end of standard input: its end is ours.
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// logVerbosely makes a child's log, which is shown when the test fails, tell of
// each session that ended.
func logVerbosely() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", "1")
}

func must[T any](value T, err error) T {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return value
}

// inherited returns the listener with the number among the inherited files.
func inherited(number uintptr) net.Listener {
	return must(net.FileListener(os.NewFile(3+number, "listener")))
}

func runControl(arguments []string) {
	id := must(strconv.ParseUint(arguments[0], 10, 64))
	peers := map[uint64]control.Peer{}
	for i, pair := range arguments[2:] {
		address, operator, _ := strings.Cut(pair, "/")
		peers[uint64(i+1)] = control.Peer{Address: address, OperatorAddress: operator}
	}
	must(controlnode.Start(controlnode.Config{
		ID: id, Peers: peers, DataDir: arguments[1], Security: &transport.Security{},
		Listener: inherited(0), Operator: inherited(1),
		Lease: lease.Terms{Duration: leaseDuration, Margin: leaseMargin}, Freshness: freshness,
	}))
}

func runAgent(arguments []string) {
	vm, zone, workerURL, controls := arguments[0], arguments[1], arguments[2], arguments[3]
	started := must(agent.Start(agent.Config{
		VM: &api.VM{
			Id: vm, Zone: zone, Region: "r", Rack: vm,
			Capacity: &api.Resources{MilliCpu: vmCapacity.MilliCPU, MemoryMib: vmCapacity.MemoryMiB},
		},
		ControlAddresses: strings.Split(controls, ","), Listener: inherited(1), Local: inherited(0),
		WorkerURL: workerURL, Security: &transport.Security{},
	}))
	stopOnSignal(started.Stop)
}

func runEntry(arguments []string) {
	name, zone, controls := arguments[0], arguments[1], arguments[2]
	e := must(entry.New(entry.Config{
		Name: name, Zone: zone, Region: "r", Control: strings.Split(controls, ","),
		Listener: inherited(0), Security: &transport.Security{},
	}))
	if err := e.Start(); err != nil {
		must(0, err)
	}
	stopOnSignal(e.Stop)
}

// stopOnSignal makes SIGTERM a planned stop, as in the daemons: the process ends
// with code 0 once nothing is in progress.
func stopOnSignal(stop func(context.Context) error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() {
		<-signals
		ctx, cancel := context.WithTimeout(context.Background(), plannedStopLimit)
		defer cancel()
		must(0, stop(ctx))
		os.Exit(0)
	}()
}

func runWorker(arguments []string) {
	vm, zone, announceURL, events := arguments[0], arguments[1], arguments[2], arguments[3]
	appending := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	file := must(os.OpenFile(events, appending, 0o600))
	requests := must(os.OpenFile(events+requestsSuffix, appending, 0o600))
	must(standin.StartWorker(standin.WorkerOptions{
		VM: vm, Zone: zone, Capacity: vmCapacity, AnnounceURL: announceURL,
		Listener: inherited(0), Events: file, Requests: requests,
	}))
}

// process is one child. Its ports live as long as the test, over restarts.
type process struct {
	t         *testing.T
	arguments string
	files     []*os.File
	command   *exec.Cmd
}

func (p *process) start() {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childEnvironment+"="+p.arguments)
	command.ExtraFiles = p.files
	command.Stderr = &bytes.Buffer{}
	if _, err := command.StdinPipe(); err != nil {
		p.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.command = command
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	if p.command.ProcessState.Exited() {
		p.t.Errorf("%.40s ended by itself: %v %s", p.arguments, p.command.ProcessState, p.command.Stderr)
	}
}

// stop asks for a planned stop and returns how the process ended.
func (p *process) stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(2*plannedStopLimit, func() { _ = p.command.Process.Kill() })
	defer late.Stop()
	return p.command.Wait()
}

func (p *process) freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }
func (p *process) thaw()   { _ = p.command.Process.Signal(syscall.SIGCONT) }

// port opens a listener that children inherit.
func port(t *testing.T) (string, *os.File) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close(); listener.Close() })
	return listener.Addr().String(), file
}

// machine is one VM: a worker and its agent.
type machine struct {
	id, zone      string
	worker, agent *process
	events        string
}

// system is the whole fleet.
type system struct {
	t         *testing.T
	dir       string
	operators []string
	addresses string // of the control replicas
	controls  []*process
	machines  []*machine
	entries   []*process
	callersAt []string // ip:port of each entry
}

func startSystem(t *testing.T, zones []string, vmsPerZone int) *system {
	s := &system{t: t, dir: t.TempDir()}
	s.addresses = s.startControls()
	for _, zone := range zones {
		for i := range vmsPerZone {
			s.startMachine(fmt.Sprintf("vm-%s%d", zone, i), zone, s.addresses)
		}
	}
	t.Cleanup(s.stop)
	return s
}

func (s *system) startControls() string {
	const replicas = 3
	var pairs, addresses []string
	for range replicas {
		address, file := port(s.t)
		operator, operatorFile := port(s.t)
		pairs = append(pairs, address+"/"+operator)
		addresses = append(addresses, address)
		s.operators = append(s.operators, operator)
		s.controls = append(s.controls, &process{t: s.t, files: []*os.File{file, operatorFile}})
	}
	for i, p := range s.controls {
		data := filepath.Join(s.dir, "control-"+strconv.Itoa(i))
		p.arguments = fmt.Sprintf("control %d %s %s", i+1, data, strings.Join(pairs, " "))
		p.start()
	}
	return strings.Join(addresses, ",")
}

func (s *system) startMachine(id, zone, controls string) {
	workerAddress, workerFile := port(s.t)
	localAddress, localFile := port(s.t)
	_, entriesFile := port(s.t)
	m := &machine{id: id, zone: zone, events: filepath.Join(s.dir, id+".events")}
	m.worker = &process{t: s.t, files: []*os.File{workerFile},
		arguments: fmt.Sprintf("worker %s %s http://%s %s", id, zone, localAddress, m.events)}
	m.agent = &process{t: s.t, files: []*os.File{localFile, entriesFile},
		arguments: fmt.Sprintf("agent %s %s http://%s %s", id, zone, workerAddress, controls)}
	m.worker.start()
	m.agent.start()
	s.machines = append(s.machines, m)
}

// startEntries starts count entries, spread over the zones.
func (s *system) startEntries(count int, zones []string) {
	for i := range count {
		address, file := port(s.t)
		name := fmt.Sprintf("entry-%d", i)
		p := &process{t: s.t, files: []*os.File{file},
			arguments: fmt.Sprintf("entry %s %s %s", name, zones[i%len(zones)], s.addresses)}
		p.start()
		s.entries = append(s.entries, p)
		s.callersAt = append(s.callersAt, address)
	}
}

func (s *system) stop() {
	all := append([]*process(nil), s.controls...)
	all = append(all, s.entries...)
	for _, m := range s.machines {
		all = append(all, m.worker, m.agent)
	}
	for _, p := range all {
		p.kill()
		if s.t.Failed() {
			s.t.Logf("%.40s: %s", p.arguments, p.command.Stderr)
		}
	}
}
