package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
	fmt.Print(line)
	r.file.WriteString(line)
}

// detail is a note that isn't printed.
func (r *recorder) detail(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

// process is a program of the project, started by the command of the deploy file.
type process struct {
	name     string
	args     []string
	logs     string
	settings string
	started  bool
	memoryMB int64 // as in [limits] memory_mb of its settings

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	ended    bool // ended on purpose
	peakKB   int64
	overKill int // times that the platform has killed it, as it used more than memory_mb
	exits    int // times that it ended by itself
}

type cluster struct {
	rec       *recorder
	folder    string
	prefix    string // of its loopback addresses
	control   []*process
	entries   []*process
	agents    []*process
	minions   []*minion
	callers   []string // addresses of the entries for callers
	ready     []string
	operators []string // addresses of the control replicas for operators
	enforce   bool     // kill what uses more than its memory, as the platform does
	closing   chan struct{}
	wg        sync.WaitGroup
}

const (
	internalPort = 7720
	graceS       = 6
	memoryMB     = 284 // of a frontend machine
	sideMemoryMB = 152
)

var zones = []struct{ zone, region string }{{"cork-a", "munster"}, {"limerick-a", "munster"}, {"kildare-a", "leinster"}}

func newCluster(rec *recorder, workers int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, folder: folder, closing: make(chan struct{})}
	pid := os.Getpid()
	c.prefix = fmt.Sprintf("127.%d.%d.", 20+pid%200, (pid/200)%250)
	ports, err := freePorts(c.prefix+"1", 8)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", c.prefix, i+1, ports[0]))
	}
	for i, z := range zones {
		ip := fmt.Sprintf("%s%d", c.prefix, i+1)
		c.operators = append(c.operators, seeds[i])
		data := filepath.Join(folder, fmt.Sprintf("data-%d", i))
		os.MkdirAll(data, 0o755)
		settings := fmt.Sprintf(`[process]
name = frontend-%[1]s-1
zone = %[1]s
region = %[2]s

[tls]
insecure = true

[control]
seeds = %[3]s
port = %[4]d
data_folder = %[5]s
first_start = true
tolerated_losses = 1

[listen]
metrics = %[6]s:%[7]d
control = %[6]s:%[4]d
operators = %[6]s:%[8]d

[leases]
limit = 6000ms

[limits]
memory = %[9]dMiB
descriptors = 4100
grace = %[10]ds

[scheduling]
admission = forecast
fair_shares = true
remote_penalty = 1.5
`, z.zone, z.region, strings.Join(seeds, ","), ports[1], data, ip, ports[2], ports[0], memoryMB, graceS)
		c.control = append(c.control, c.process("control-"+z.zone, "target/paddle-jobcontrol", settings, memoryMB))
		settings = fmt.Sprintf(`[process]
name = frontend-%[1]s-1
zone = %[1]s
region = %[2]s

[tls]
insecure = true

[control]
seeds = %[3]s
port = %[4]d

[listen]
metrics = %[5]s:%[6]d
callers = %[5]s:%[7]d
readiness = %[5]s:%[8]d

[limits]
memory = %[9]dMiB
descriptors = 4100
grace = %[10]ds

[calls]
refuse_without_leader = true
`, z.zone, z.region, strings.Join(seeds, ","), ports[1], ip, ports[3], ports[4], ports[5], memoryMB, graceS)
		c.entries = append(c.entries, c.process("entry-"+z.zone, "target/paddle-jobentry", settings, memoryMB))
		c.callers = append(c.callers, fmt.Sprintf("%s:%d", ip, ports[4]))
		c.ready = append(c.ready, fmt.Sprintf("%s:%d", ip, ports[5]))
	}
	for i := range workers {
		z := zones[i%len(zones)]
		ip := fmt.Sprintf("%s%d", c.prefix, i+11)
		settings := fmt.Sprintf(`[process]
name = side-%[1]s-%[2]d
zone = %[1]s
region = %[3]s

[tls]
insecure = true

[control]
seeds = %[4]s
port = %[5]d

[listen]
metrics = %[6]s:%[7]d
worker = %[6]s:%[8]d

[leases]
limit = 6000ms

[limits]
memory = %[9]dMiB
descriptors = 4096
grace = %[10]ds
`, z.zone, i+1, z.region, strings.Join(seeds, ","), ports[1], ip, ports[6], ports[7], sideMemoryMB, graceS)
		c.agents = append(c.agents, c.process(fmt.Sprintf("agent-%d", i+1), "target/paddle-jobagent", settings, sideMemoryMB))
		c.minions = append(c.minions, &minion{
			id: fmt.Sprintf("i-%08x", i+1), service: service, zone: z.zone, rack: "r1-" + strconv.Itoa(i/3+1),
			agent: fmt.Sprintf("%s:%d", ip, ports[7]), cpu: 32000, memMB: 128000, rec: rec,
		})
	}
	return c, nil
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, n int) (ports []int, err error) {
	for range n {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (c *cluster) process(name, program, settings string, memoryMB int64) *process {
	file := filepath.Join(c.folder, name+".ini")
	os.WriteFile(file, []byte(settings), 0o644)
	return &process{name: name, args: []string{program, "--settings", file}, settings: file, logs: filepath.Join(c.folder, name+".log"), memoryMB: memoryMB}
}

func (c *cluster) start(p *process) error {
	logs, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if text, err := os.ReadFile(p.settings); err == nil && p.started {
		// bootstrap is true only when the whole system starts for the first time.
		os.WriteFile(p.settings, bytes.Replace(text, []byte("first_start = true"), []byte("first_start = false"), 1), 0o644)
	}
	p.started = true
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		logs.Close()
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.ended = cmd, done, false
	p.mu.Unlock()
	c.wg.Go(func() {
		cmd.Wait()
		logs.Close()
		close(done)
		p.mu.Lock()
		own := !p.ended
		if own {
			p.exits++
		}
		p.mu.Unlock()
		if own {
			c.rec.note("%s has ended (%v); the platform starts it again", p.name, cmd.ProcessState)
			select {
			case <-c.closing:
			case <-time.After(500 * time.Millisecond):
				c.start(p)
			}
		}
	})
	return nil
}

// kill ends a process by SIGKILL and waits for its end. It isn't started again.
func (p *process) kill() {
	p.mu.Lock()
	p.ended = true
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-done
	}
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(s)
}

func (p *process) residentKB() int64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kb
		}
	}
	return 0
}

func (c *cluster) processes() (all []*process) {
	all = append(all, c.control...)
	all = append(all, c.entries...)
	return append(all, c.agents...)
}

// watchMemory does what DEPLOY.md says of the platform: a process that uses more than memory_mb is killed,
// and is started again after a short delay.
func (c *cluster) watchMemory() {
	for {
		select {
		case <-c.closing:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, p := range c.processes() {
			kb := p.residentKB()
			p.mu.Lock()
			p.peakKB = max(p.peakKB, kb)
			over := kb > p.memoryMB<<10
			if over && c.enforce {
				p.overKill++
			}
			p.mu.Unlock()
			if over && c.enforce {
				c.rec.note("%s uses %d MiB of %d; the platform kills it", p.name, kb>>10, p.memoryMB)
				p.signal(syscall.SIGKILL)
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

func (c *cluster) startAll() error {
	for _, p := range c.processes() {
		if err := c.start(p); err != nil {
			return err
		}
	}
	go c.watchMemory()
	for i, m := range c.minions {
		if err := m.start(fmt.Sprintf("%s%d", c.prefix, i+11)); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) close() {
	close(c.closing)
	for _, p := range c.processes() {
		p.kill()
	}
	c.wg.Wait()
	for _, m := range c.minions {
		if m.server != nil {
			m.stop()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept:", c.folder)
	}
}

const (
	service = "huvo11a"
	host    = "nony24.example"
)

type route struct {
	name, prefix  string
	priority, aim int
	attempts      int
	slack         float64
}

var plainRoutes = []route{
	{"r-stall", "/lohu930/", 0, 400, 4, 1.5},
	{"r-recon", "/pufi791/", 2, 1000, 2, 2},
	{"r-sync", "/pule252/", 0, 2500, 4, 2.2},
}

func configuration(version int, routes []route) []byte {
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_completion_ms": r.aim, "priority": r.priority, "service": service, "max_attempts": r.attempts,
			"slack_factor": r.slack, "allowed_regions": []string{},
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{
			"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0, "cold_per_s": 0, "enforces_capacity": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return body
}

// order sends an operator's order until it is acknowledged.
func (c *cluster) order(path string, body []byte, within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		response, err := client.Post("http://"+c.operators[i%len(c.operators)]+path, "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode == 200 {
				c.rec.detail("operator: POST %s: 200", path)
				return nil
			}
			if response.StatusCode < 500 {
				return fmt.Errorf("%s: %d %s", path, response.StatusCode, text)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s: no acknowledgement", path)
}

type answer struct {
	status int // 0 for none
	body   string
	state  string
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.body))
}

// call sends one request of a client, which waits for three seconds.
func (c *cluster) call(entry int, method, path string, body []byte) answer {
	request, _ := http.NewRequest(method, "http://"+c.callers[entry%len(c.callers)]+path, bytes.NewReader(body))
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.rec.detail("client: %s %s at entry %d: no answer", method, path, entry%len(c.callers))
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	a := answer{status: response.StatusCode, body: strings.TrimSpace(string(text))}
	var state struct {
		State string `json:"state"`
	}
	if json.Unmarshal(text, &state) == nil {
		a.state = state.State
	}
	c.rec.detail("client: %s %s at entry %d: %v", method, path, entry%len(c.callers), a)
	return a
}

func job(spec string, steps ...map[string]any) []byte {
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	return body
}

// awaitReady waits until all entries are ready and all minions have been acknowledged.
func (c *cluster) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(deadline) {
		ready := 0
		for _, address := range c.ready {
			if response, err := client.Get("http://" + address + "/v1/readyz"); err == nil {
				response.Body.Close()
				if response.StatusCode == 200 {
					ready++
				}
			}
		}
		for _, m := range c.minions {
			m.mu.Lock()
			if m.beats > 0 {
				ready++
			}
			m.mu.Unlock()
		}
		if ready == len(c.ready)+len(c.minions) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the programs aren't ready after %v", within)
}

// awaitState asks for a job's state until it is one of the wanted ones.
func (c *cluster) awaitState(path string, within time.Duration, wanted ...string) (last answer, reached bool) {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		last = c.call(i, "GET", path, nil)
		for _, state := range wanted {
			if last.state == state {
				return last, true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last, false
}
