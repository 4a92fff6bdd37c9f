package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports, as in a deployment: the same on all machines within a day.
const (
	portFrontend = 18161
	portControl  = 18166
	portReady    = 18167
	portMinion   = 18180
	portInternal = 17720
)

// Bounds of the small deployments that the cases use (ballinure-sched).
const (
	contactTime   = 4 * time.Second
	holdMax       = 6 * time.Second
	stopTimeout   = 900 * time.Millisecond
	gangTimeout   = 3 * time.Second
	checkpointGap = 500 * time.Millisecond
	restoreTime   = 600 * time.Millisecond
	visibleTime   = 3 * time.Second
	cancelTime    = 3 * time.Second
	heartbeat     = 1500 * time.Millisecond
)

var errCannotRun = errors.New("the case could not run")

// process is one of the project's programs.
type process struct {
	name     string
	program  string
	settings string
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.program, "--settings", p.settings)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s)
	}
}

// stop sends a signal and waits for the end.
func (p *process) stop(s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	done := make(chan struct{})
	go func() { cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		p.signal(syscall.SIGKILL)
		<-done
	}
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
}

// fleet is a small deployment on loopback addresses, one address a machine.
type fleet struct {
	folder   string
	block    string // first three numbers of all addresses
	programs map[string]string
	fronts   []string // addresses of the machines with a disk; they run entry and control
	entry    []*process
	control  []*process
	agents   []*process
	minions  []*minion
	record   *record
	hub      *gangHub
	closed   atomic.Bool
}

var zones = []string{"cork-a", "kildare-a", "limerick-a"}
var regions = map[string]string{"cork-a": "munster", "kildare-a": "leinster", "limerick-a": "munster"}

func newFleet(rec *record, minions int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: rec, programs: map[string]string{}, hub: newGangHub()}
	if err := f.readDeployFile(); err != nil {
		return nil, err
	}
	if err := f.chooseBlock(); err != nil {
		return nil, err
	}
	for i := range 3 {
		f.fronts = append(f.fronts, fmt.Sprintf("%s.%d", f.block, 10+i))
	}
	for i, ip := range f.fronts {
		for _, role := range []string{"control", "entry"} {
			p, err := f.newProcess(role, i, ip, zones[i])
			if err != nil {
				return nil, err
			}
			if role == "control" {
				f.control = append(f.control, p)
			} else {
				f.entry = append(f.entry, p)
			}
		}
	}
	for i := range minions {
		ip, zone := fmt.Sprintf("%s.%d", f.block, 50+i), zones[i%3]
		p, err := f.newProcess("agent", i, ip, zone)
		if err != nil {
			return nil, err
		}
		f.agents = append(f.agents, p)
		f.minions = append(f.minions, newMinion(f, i, ip, zone))
	}
	return f, nil
}

// readDeployFile takes the programs of the roles from the deploy file.
func (f *fleet) readDeployFile() error {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	role := ""
	header, run := regexp.MustCompile(`^\[roles\.(\w+)\]`), regexp.MustCompile(`^run = "(\S+) --settings `)
	for _, line := range strings.Split(string(data), "\n") {
		if m := header.FindStringSubmatch(line); m != nil {
			role = m[1]
		}
		if m := run.FindStringSubmatch(line); m != nil {
			f.programs[role] = m[1]
			if _, err := os.Stat(m[1]); err != nil {
				return err
			}
		}
	}
	if len(f.programs) < 3 {
		return errors.New("the deploy file has other roles")
	}
	return nil
}

// chooseBlock chooses loopback addresses on which the ports are free.
func (f *fleet) chooseBlock() error {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{portFrontend, portControl, portReady, portMinion, portInternal, 9464, 9465, 9466} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", block, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			f.block = block
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (f *fleet) seeds() []string {
	var list []string
	for _, ip := range f.fronts {
		list = append(list, fmt.Sprintf("%s:%d", ip, portControl))
	}
	return list
}

// newProcess renders the role's template of the deploy folder as the platform does.
func (f *fleet) newProcess(role string, i int, ip, zone string) (*process, error) {
	class := map[string]string{"control": "frontend", "entry": "frontend", "agent": "side"}[role]
	name := fmt.Sprintf("%s-%s-%d", class, zone, i+1)
	data := ""
	if role == "control" {
		data = filepath.Join(f.folder, "data-"+name)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return nil, err
		}
	}
	values := map[string]string{
		"node_name": name, "zone": zone, "region": regions[zone], "seeds": strings.Join(f.seeds(), ","), "ip": ip,
		"internal_port_range.0": strconv.Itoa(portInternal), "data_dir": data, "bootstrap": "true", "fault_tolerance.machines": "1",
		"listen_addrs.frontend": fmt.Sprintf("%s:%d", ip, portFrontend), "listen_addrs.readiness": fmt.Sprintf("%s:%d", ip, portReady),
		"listen_addrs.control_plane": fmt.Sprintf("%s:%d", ip, portControl),
		"bounds.hold_max_ms":         strconv.Itoa(int(holdMax.Milliseconds())), "bounds.grace_s": "6", "bounds.remote_penalty": "1.5",
		"limits.memory_mb": map[string]string{"frontend": "284", "side": "152"}[class],
	}
	template, err := os.ReadFile("deploy/" + role + ".ini")
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(f.folder, name+"-"+role+".ini")
	if err := os.WriteFile(settings, []byte(render(string(template), values)), 0o644); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.folder, name+"-"+role+".log"))
	if err != nil {
		return nil, err
	}
	return &process{name: name + "/" + role, program: f.programs[role], settings: settings, log: log}, nil
}

// render fills in a template: sections of values that exist, then the values.
func render(text string, values map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}\n?`)
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", values[m[1]])
	})
	return regexp.MustCompile(`\{\{([\w.]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		return values[strings.Trim(s, "{}")]
	})
}

func (f *fleet) processes() []*process {
	return append(append(append([]*process{}, f.control...), f.entry...), f.agents...)
}

// start starts everything, sends the configuration and waits until a client is served.
func (f *fleet) start(configuration string) error {
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, m := range f.minions {
		if err := m.begin(); err != nil {
			return err
		}
	}
	if err := f.configure(configuration, 30*time.Second); err != nil {
		return err
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, ip := range f.fronts {
		for {
			status, _, _ := f.call("GET", ip, prefixA, "", nil, time.Second)
			if status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", ip)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// All minions are known once each has been polled.
	for _, m := range f.minions {
		for !m.wasPolled() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not polled", m.id)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // a new leader takes up its work
	return nil
}

// configure sends a configuration to one node after the other until it is acknowledged.
func (f *fleet) configure(body string, within time.Duration) error {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		status, _, err := f.post(fmt.Sprintf("http://%s:%d/v1/Config.Replace", f.fronts[i%3], portControl), body, time.Second)
		if status == 200 {
			f.record.note("operator: configuration acknowledged")
			return nil
		}
		_ = err
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration is not acknowledged")
}

// leader returns the index of the control process that leads, from its log, -1 for none.
func (f *fleet) leader() int {
	best, at := -1, ""
	for i, p := range f.control {
		data, err := os.ReadFile(p.log.Name())
		if err != nil {
			continue
		}
		lines := bytes.Split(data, []byte("\n"))
		for _, line := range lines {
			if bytes.Contains(line, []byte("Leadership started")) {
				if time := string(line[:min(len(line), 45)]); time > at {
					best, at = i, time
				}
			}
		}
	}
	return best
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	f.closed.Store(true)
	var wait sync.WaitGroup
	for _, p := range f.processes() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.signal(syscall.SIGCONT)
			p.stop(syscall.SIGKILL)
		}()
	}
	wait.Wait()
	for _, m := range f.minions {
		m.crash()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}
