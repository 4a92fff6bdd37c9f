package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Bounds of a process under a crowd of clients.
const (
	memoryBound     = 128 << 20 // bytes, the memory of its settings
	descriptorLimit = 256       // RLIMIT_NOFILE of the process
	descriptorBound = 224       // of these under a crowd; the rest is for files and its own connections
	maxAttemptsOpen = 3         // connections that a client opens one after the other when they are closed
	sendLimit       = 10 * time.Second
	holdTime        = time.Second      // that connections stay open after all has been sent
	answerLimit     = 20 * time.Second // for an ordinary request, against a process that hangs
)

// target is a listener of a process, with a path that takes bodies and an ordinary request.
type target struct {
	name     string
	process  *process
	address  string
	bodyPath string
	ordinary func(address string) bool // reports whether the request is answered
}

// crowd is a number of clients that each send the same and keep their connection open.
type crowd struct {
	name    string
	clients int
	send    func(conn net.Conn, t target) error
}

// deployment is a deployment without faults, whose processes all serve metrics.
type deployment struct {
	*run
	targets []target
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	built, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	r, err := newRun(1, wideLoad, folder, built)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	d := &deployment{run: r}
	d.findTargets(t)
	if err := r.begin(); err != nil {
		t.Fatal(err)
	}
	return d
}

// findTargets adds a listener of metrics to a process of each role, and lists all listeners.
func (d *deployment) findTargets(t *testing.T) {
	t.Helper()
	entry, control, agent := d.run.entries[0], d.control[0], d.agents[0]
	d.targets = []target{
		{"callers", entry, d.entryLinks[0].target, "/jobs/00000000000000c1", submitted},
		{"readiness", entry, settingOf(t, entry, "readiness"), "/v1/readyz", got("/v1/readyz")},
		{"operators", control, d.operators[0], "/v1/Config.Replace", got("/v1/Config.Get")},
		{"control", control, d.controlLinks[0].target, "", calledOverGRPC},
		{"worker", agent, d.agentAddress[0], "/v1/Instances.Heartbeat/w-c", deregistered},
	}
	for _, p := range []*process{entry, control, agent} {
		listen, err := addresses(1)
		if err != nil {
			t.Fatal(err)
		}
		settings, err := os.ReadFile(p.settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.configure(strings.Replace(string(settings), "[listen]\n", "[listen]\nmetrics = "+listen[0]+"\n", 1)); err != nil {
			t.Fatal(err)
		}
		d.targets = append(d.targets, target{"metrics of " + p.name, p, listen[0], "/v1/jobs/where", got("/metrics")})
	}
}

func settingOf(t *testing.T, p *process, key string) string {
	t.Helper()
	settings, err := os.ReadFile(p.settings)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(settings)) {
		if name, value, _ := strings.Cut(line, " = "); name == key {
			return strings.TrimSpace(value)
		}
	}
	t.Fatalf("%s has no %s", p.name, key)
	return ""
}

func (d *deployment) target(t *testing.T, name string) target {
	t.Helper()
	for _, listener := range d.targets {
		if listener.name == name {
			return listener
		}
	}
	t.Fatalf("no listener %s", name)
	return target{}
}

// got returns an ordinary request that reads a path.
func got(path string) func(address string) bool {
	return func(address string) bool { return answers("GET", address, path, "") }
}

var nextJob atomic.Int64

func submitted(address string) bool {
	body := `{"spec":"work","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":500}]}`
	return answers("POST", address, fmt.Sprintf("/jobs/%016x", 0xc0000+nextJob.Add(1)), body)
}

func deregistered(address string) bool {
	return answers("POST", address, "/v1/Instances.Deregister/w-none", `{"born":1}`)
}

// answers reports whether a request on a connection of its own gets 200.
func answers(method, address, path, body string) bool {
	client := http.Client{Timeout: callDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Host = queueHost
	return answerOf(&client, request).status == http.StatusOK
}

// await fails the test if the ordinary request is not answered, tried as clients do.
func await(t *testing.T, listener target) {
	t.Helper()
	for limit := time.Now().Add(answerLimit); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		if listener.ordinary(listener.address) {
			return
		}
	}
	t.Errorf("%s: an ordinary request is not answered", listener.name)
}

// checkCrowd starts the process anew, lets the crowd at it and checks that the process stays
// within the bounds and answers an ordinary request while the crowd's connections are open.
func checkCrowd(t *testing.T, listener target, c crowd) {
	t.Run(listener.name+"/"+c.name, func(t *testing.T) {
		p := listener.process
		p.end(syscall.SIGKILL, grace)
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		await(t, listener)
		if t.Failed() {
			t.Fatal("it is not served before the crowd")
		}
		observed := observe(p, listener.address)
		leave := c.enter(listener)
		await(t, listener)
		leave()
		peak := observed()
		await(t, listener)
		t.Logf("resident %.1f MiB, resident and unread %.1f MiB, %d descriptors",
			float64(peak.resident)/(1<<20), float64(peak.held)/(1<<20), peak.descriptors)
		if !p.running() {
			t.Error("the process has ended")
		}
		if peak.resident > memoryBound || peak.held > memoryBound {
			t.Errorf("%d bytes resident, %d with what has arrived and is unread; the process may use %d", peak.resident, peak.held, memoryBound)
		}
		if peak.descriptors > descriptorBound && limited(p) {
			t.Errorf("%d open descriptors, the bound is %d", peak.descriptors, descriptorBound)
		}
	})
}

// enter sends from all clients and returns once each has sent all that it can. leave closes
// their connections.
func (c crowd) enter(listener target) (leave func()) {
	var mu sync.Mutex
	var open []net.Conn
	var sending sync.WaitGroup
	limit := time.Now().Add(sendLimit)
	for range c.clients {
		sending.Go(func() {
			for range maxAttemptsOpen {
				conn, err := net.Dial("tcp", listener.address)
				if err != nil {
					return
				}
				mu.Lock()
				open = append(open, conn)
				mu.Unlock()
				conn.SetWriteDeadline(limit)
				if c.send(conn, listener) == nil || time.Now().After(limit) {
					return
				}
			}
		})
	}
	sending.Wait()
	time.Sleep(holdTime)
	return func() {
		for _, conn := range open {
			conn.Close()
		}
	}
}

// usage is the most that a process has used.
type usage struct {
	resident    int64 // bytes
	held        int64 // bytes resident or received on the listener's connections and unread
	descriptors int
}

// observe watches the process until the function that it returns is called.
func observe(p *process, address string) func() usage {
	pid := p.command.Process.Pid
	var peak usage
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			peak.held = max(peak.held, statusOf(pid, "VmRSS")+unreadAt(address))
			if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				peak.descriptors = max(peak.descriptors, len(list))
			}
		}
	}()
	return func() usage {
		close(stop)
		<-stopped
		peak.resident = statusOf(pid, "VmHWM")
		return peak
	}
}

// statusOf returns a size of /proc/PID/status in bytes.
func statusOf(pid int, key string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, key+":"); found {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// unreadAt returns the bytes that have arrived at an address and are unread.
func unreadAt(address string) (sum int64) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	host, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	ip := net.ParseIP(host).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	for line := range bytes.Lines(table) {
		fields := strings.Fields(string(line))
		if len(fields) < 5 || fields[1] != local || fields[3] == "0A" { // 0A: the listening socket
			continue
		}
		if _, unread, found := strings.Cut(fields[4], ":"); found {
			n, _ := strconv.ParseInt(unread, 16, 64)
			sum += n
		}
	}
	return sum
}

// limitDescriptors makes the process start with a limit of open descriptors.
func limitDescriptors(t *testing.T, p *process, folder string) {
	t.Helper()
	script := filepath.Join(folder, "limited-"+p.name)
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", descriptorLimit, p.program)
	if err := os.WriteFile(script, []byte(text), 0o755); err != nil {
		t.Fatal(err)
	}
	p.program = script
}

// limited reports whether limitDescriptors was called for the process.
func limited(p *process) bool { return strings.HasPrefix(filepath.Base(p.program), "limited-") }

// repeat writes a piece again and again until size bytes have been written.
func repeat(to io.Writer, piece []byte, size int) error {
	for size > 0 {
		n := min(size, len(piece))
		if _, err := to.Write(piece[:n]); err != nil {
			return err
		}
		size -= n
	}
	return nil
}
