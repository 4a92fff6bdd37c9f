package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"amaranthpaddle/fault"
)

// build builds the programs into a folder.
func build(folder string) error {
	command := exec.Command("go", "build", "-o", folder+string(filepath.Separator),
		"amaranthpaddle/cmd/paddle-jobentry", "amaranthpaddle/cmd/paddle-jobcontrol", "amaranthpaddle/cmd/paddle-jobagent")
	if out, err := command.CombinedOutput(); err != nil {
		return fault.Newf(fault.Internal, "build: %s", out)
	}
	return nil
}

// process is one of the programs, which may be started several times.
type process struct {
	name     string
	program  string
	settings string // file
	log      *os.File
	lives    sync.Mutex // held from its end to its next start

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{} // closed when the command has ended
	disturbed time.Time     // end of the latest fault on it
}

func newProcess(name, program, folder, settings string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "log")
	}
	p := &process{name: name, program: program, settings: filepath.Join(folder, name+".ini"), log: log}
	return p, p.configure(settings)
}

func (p *process) configure(settings string) error {
	return fault.Wrap(fault.StorageFailed, os.WriteFile(p.settings, []byte(settings), 0o644), "settings")
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.program, "--settings", p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return fault.Wrap(fault.Internal, err, "start "+p.name)
	}
	ended := make(chan struct{})
	go func() {
		command.Wait() // its exit code is of no interest: signals end it
		close(ended)
	}()
	p.command, p.ended = command, ended
	return nil
}

// signal sends a signal to the process, by its id.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.command.Process.Signal(signal) // one that has ended takes none
	}
}

// end ends the process by a signal, and by SIGKILL when it takes too long.
func (p *process) end(signal syscall.Signal, grace time.Duration) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	p.signal(signal)
	select {
	case <-ended:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return false
	default:
		return p.command != nil
	}
}

func (p *process) noteFault() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
}

// calm reports whether no fault has hit the process lately.
func (p *process) calm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.disturbed) > calmAfter
}

// calmAfter a fault the bounds in time hold again.
const calmAfter = 6 * time.Second

// listenAnywhere listens on a free port of loopback. The IP is one of this process alone:
// on 127.0.0.1 an outgoing connection may take the port while nothing listens there.
// No address is returned twice: others may be about to use it.
func listenAnywhere() (net.Listener, error) {
	id := os.Getpid()
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+id>>14&63, id>>7&127, 1+id&127))
		if err != nil {
			return nil, fault.Wrap(fault.Internal, err, "find a port")
		}
		if _, again := drawn.LoadOrStore(listener.Addr().String(), true); !again {
			return listener, nil
		}
		listener.Close()
	}
}

// drawn holds the addresses that listenAnywhere has returned.
var drawn sync.Map
