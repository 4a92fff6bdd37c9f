package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and limits of the deployment, from the sheet of ballinure-sched.
const (
	holdMaxMS     = 6000
	stopTimeout   = 900 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond
	graceS        = 6
	frontMemory   = 284
	sideMemory    = 152
)

// Ports, the same on all machines.
type ports struct{ front, control, ready, app, internal int }

// process is one program of the project.
type process struct {
	name    string
	program string
	config  string
	logs    string
	rec     *record

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(p.program, "--settings", p.config)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.rec.note("process %s starts, pid %d", p.name, p.cmd.Process.Pid)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.rec.say("process %s gets %v", p.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Wait()
	p.cmd = nil
	p.rec.note("process %s has ended", p.name)
}

// machine is one machine: an address, and the processes on it.
type machine struct {
	name, zone, ip string
	control        *process
	entry          *process
	agent          *process
}

// deployment is a small deployment: core machines with control and entry, and
// side machines with an agent and a minion each.
type deployment struct {
	rec    *record
	root   string
	folder string
	ports  ports
	core   []*machine
	side   []*machine
	cloud  string   // address of the platform's API for machines, empty for none
	before []string // addresses of forwarders before the core machines, empty for none
}

// newDeployment lays out a deployment. Machine i has an address of its own in 127.0.0.0/8.
func newDeployment(rec *record, root string, core, side int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, folder: folder}
	zones := []string{"za", "zb", "zc"}
	for try := 0; ; try++ {
		d.core, d.side = nil, nil
		prefix := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(9000)
		d.ports = ports{front: base, control: base + 1, ready: base + 2, app: base + 3, internal: base + 10}
		for i := range core {
			d.core = append(d.core, &machine{name: fmt.Sprintf("frontend-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: fmt.Sprint(prefix, i+1)})
		}
		for i := range side {
			d.side = append(d.side, &machine{name: fmt.Sprintf("side-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: fmt.Sprint(prefix, 100+i)})
		}
		if d.portsAreFree() {
			return d, nil
		}
		if try > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
}

func (d *deployment) portsAreFree() bool {
	for _, m := range append(append([]*machine{}, d.core...), d.side...) {
		for _, port := range []int{d.ports.front, d.ports.control, d.ports.ready, d.ports.app, d.ports.internal, 9464, 9465, 9466} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// fields are the platform's fields of a machine's settings file.
func (d *deployment) fields(m *machine, role string, memory int, bootstrap bool) map[string]string {
	var seeds []string
	for _, c := range d.core[:min(3, len(d.core))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, d.ports.control))
	}
	for i, ip := range d.before {
		seeds[i] = fmt.Sprintf("%s:%d", ip, d.ports.control)
	}
	return map[string]string{
		"node_name": m.name, "zone": m.zone, "region": "munster", "ip": m.ip, "seeds": strings.Join(seeds, ","),
		"bootstrap": fmt.Sprint(bootstrap), "data_dir": filepath.Join(d.folder, "data-"+m.name+"-"+role),
		"internal_port_range.0": fmt.Sprint(d.ports.internal), "fault_tolerance.machines": "1",
		"listen_addrs.frontend":      fmt.Sprintf("%s:%d", m.ip, d.ports.front),
		"listen_addrs.readiness":     fmt.Sprintf("%s:%d", m.ip, d.ports.ready),
		"listen_addrs.control_plane": fmt.Sprintf("%s:%d", m.ip, d.ports.control),
		"limits.memory_mb":           fmt.Sprint(memory),
		"bounds.hold_max_ms":         fmt.Sprint(holdMaxMS), "bounds.grace_s": fmt.Sprint(graceS),
		"bounds.remote_penalty": "1.5", "cloud.address": d.cloud,
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}\n?(.*?)\{\{/[a-z0-9_.]+\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
)

// render fills a template as the platform does; only what the templates use is known.
func render(template string, fields map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(match string) string {
		parts := section.FindStringSubmatch(match)
		if fields[parts[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fields[parts[1]])
	})
	return placeholder.ReplaceAllStringFunc(template, func(match string) string { return fields[strings.Trim(match, "{}")] })
}

// writeSettings writes the settings of a role from its template in the deploy folder.
func (d *deployment) writeSettings(m *machine, role string, memory int, bootstrap bool) (string, error) {
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", role+".ini"))
	if err != nil {
		return "", err
	}
	for i, ip := range d.before {
		if role == "control" && m == d.core[i] {
			port := "port = {{internal_port_range.0}}\n"
			template = []byte(strings.Replace(string(template), port, port+fmt.Sprintf("advertised = %s:%d\n", ip, d.ports.internal), 1))
		}
	}
	path := filepath.Join(d.folder, m.name+"-"+role+".ini")
	return path, os.WriteFile(path, []byte(render(string(template), d.fields(m, role, memory, bootstrap))), 0o644)
}

func (d *deployment) newProcess(m *machine, role string, memory int) (*process, error) {
	config, err := d.writeSettings(m, role, memory, true)
	if err != nil {
		return nil, err
	}
	return &process{
		name: m.name + "/" + role, program: filepath.Join(d.root, "target", "paddle-job"+role),
		config: config, logs: filepath.Join(d.folder, m.name+"-"+role+".log"), rec: d.rec,
	}, nil
}

// start starts all processes at once, as at the first start of the whole system.
func (d *deployment) start() (err error) {
	for _, m := range d.core {
		if err := os.MkdirAll(filepath.Join(d.folder, "data-"+m.name+"-control"), 0o755); err != nil {
			return err
		}
		if m.control, err = d.newProcess(m, "control", frontMemory); err != nil {
			return err
		}
		if m.entry, err = d.newProcess(m, "entry", frontMemory); err != nil {
			return err
		}
	}
	for _, m := range d.side {
		if m.agent, err = d.newProcess(m, "agent", sideMemory); err != nil {
			return err
		}
	}
	for _, p := range d.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) processes() (list []*process) {
	for _, m := range append(append([]*machine{}, d.core...), d.side...) {
		for _, p := range []*process{m.control, m.entry, m.agent} {
			if p != nil {
				list = append(list, p)
			}
		}
	}
	return list
}

// restartControl starts a control process again after its end; the system has started before.
func (d *deployment) restartControl(m *machine) error {
	if _, err := d.writeSettings(m, "control", frontMemory, false); err != nil {
		return err
	}
	return m.control.start()
}

// forwardCore puts a forwarder before each core machine, at an address of its own.
func (d *deployment) forwardCore(f *forwarder) error {
	for _, m := range d.core {
		ip := m.ip + "5"
		if err := f.forward(fmt.Sprintf("%s:%d", ip, d.ports.internal), fmt.Sprintf("%s:%d", m.ip, d.ports.internal)); err != nil {
			return err
		}
		d.before = append(d.before, ip)
	}
	return nil
}

// stop ends all processes and removes the folder, unless KEEP is set.
func (d *deployment) stop() {
	var ends sync.WaitGroup
	for _, p := range d.processes() {
		ends.Go(p.kill)
	}
	ends.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

// leader returns the core machine whose control process says in its metrics or log that it
// leads: the one with the latest line on the start of a leadership.
func (d *deployment) leader() *machine {
	var latest string
	var leading *machine
	for _, m := range d.core {
		data, _ := os.ReadFile(m.control.logs)
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, `"Leadership started"`) {
				if at := stamp(line); at > latest {
					latest, leading = at, m
				}
			}
		}
	}
	return leading
}

var stampPattern = regexp.MustCompile(`"(?:ts|time|at)":"?([^",]+)`)

func stamp(line string) string {
	if parts := stampPattern.FindStringSubmatch(line); parts != nil {
		return parts[1]
	}
	return line
}
