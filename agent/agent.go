package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/delivery"
	"amaranthpaddle/fault"
	"amaranthpaddle/session"
	"amaranthpaddle/timing"
	"amaranthpaddle/transport"
	"amaranthpaddle/worker"
)

const (
	expireInterval    = 200 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	// leavePropagation is how long a leaving agent goes on delivering: entries
	// that have not yet heard of its leaving still send to it.
	leavePropagation = 2 * time.Second
	// taskStopLimit bounds the wait for the VM's tasks, which the control group
	// checkpoints and moves once it hears of the leaving.
	taskStopLimit = 10 * time.Second
	taskStopPoll  = 100 * time.Millisecond
	// serverStopLimit bounds the end of connections once no request is in progress.
	serverStopLimit = 2 * time.Second
)

// Config is the configuration of an Agent.
type Config struct {
	VM               *api.VM
	ControlAddresses []string     // ip:port of the control replicas
	ListenAddress    string       // ip:port where entries reach this agent
	Listener         net.Listener // for entries; nil to open ListenAddress
	LocalAddress     string       // ip:port of the local interface, on loopback
	Local            net.Listener // of the local interface; nil to open LocalAddress
	WorkerURL        string       // base URL of the worker's interface
	DataDir          string       // bodies known by digest, a temporary folder when empty
	Security         *transport.Security
}

// Agent is the agent process of one VM.
type Agent struct {
	config   Config
	registry *Registry
	delivery *delivery.Delivery
	session  *session.Session
	control  *controlclient.Client
	server   *grpc.Server
	local    *http.Server
	listener net.Listener // entries
	localAt  net.Listener
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mu           sync.Mutex
	leaving      bool
	wasInService bool // the VM's zone, in an earlier directive
}

// Start opens the agent's listeners and joins the fleet. Errors:
// fault.InvalidArgument for bad addresses, fault.StorageFailed for the data folder.
func Start(config Config) (*Agent, error) {
	listener, err := listenEntries(config)
	if err != nil {
		return nil, err
	}
	localAt, err := listenLocal(config)
	if err != nil {
		listener.Close()
		return nil, err
	}
	a := &Agent{config: config, listener: listener, localAt: localAt}
	if err := a.assemble(); err != nil {
		listener.Close()
		localAt.Close()
		return nil, err
	}
	a.run()
	return a, nil
}

func listenEntries(config Config) (net.Listener, error) {
	if config.Listener != nil {
		return config.Listener, nil
	}
	return config.Security.Listen(config.ListenAddress)
}

func listenLocal(config Config) (net.Listener, error) {
	if config.Local != nil {
		return config.Local, nil
	}
	listener, err := net.Listen("tcp", config.LocalAddress)
	return listener, fault.Wrap(fault.InvalidArgument, err, "local address")
}

func (a *Agent) assemble() error {
	incarnation := newIncarnation(time.Now())
	address := a.listener.Addr().String()
	a.control = controlclient.New(a.config.Security, a.config.ControlAddresses)
	requests, err := delivery.New(delivery.Config{
		Incarnation: incarnation,
		Address:     address,
		Security:    a.config.Security,
		Claimer:     a.control,
		BlobDir:     a.config.DataDir,
	})
	if err != nil {
		return err
	}
	a.delivery = requests
	a.registry = NewRegistry(&api.BackendServer{
		Vm: a.config.VM.Id, Zone: a.config.VM.Zone, Region: a.config.VM.Region,
		AgentAddress: address, Incarnation: incarnation,
	})
	a.session = session.New(session.Config{
		VM:               a.config.VM,
		Incarnation:      incarnation,
		ControlAddresses: a.config.ControlAddresses,
		Security:         a.config.Security,
		Worker:           worker.NewClient(a.config.WorkerURL, &http.Client{}),
		Announcer:        a.registry,
		OnDirective:      a.takeDirective,
	})
	a.server = grpc.NewServer(append(delivery.ServerOptions(), a.config.Security.ServerOptions()...)...)
	a.delivery.Register(a.server)
	a.local = &http.Server{Handler: a.routes(), ReadHeaderTimeout: readHeaderTimeout}
	return nil
}

// newIncarnation returns a number that is higher than that of earlier processes
// of this agent, as long as the VM's clock did not step back. After such a step
// the control group takes the agent in once the former process's lease is over.
func newIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }

func (a *Agent) run() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.goRun(func() { _ = a.server.Serve(a.listener) })
	a.goRun(func() { _ = a.local.Serve(a.localAt) })
	a.goRun(func() { a.registryLoop(ctx) })
	a.goRun(func() { a.session.Run(ctx) })
	klog.InfoS("Agent started", "vm", a.config.VM.Id, "zone", a.config.VM.Zone,
		"address", a.listener.Addr().String(), "local", a.localAt.Addr().String())
}

func (a *Agent) goRun(f func()) {
	a.wait.Add(1)
	go func() {
		defer a.wait.Done()
		f()
	}()
}

// Address returns the ip:port where entries reach this agent.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Revision returns the configuration revision in force at this agent.
func (a *Agent) Revision() uint64 { return a.session.Revision() }

// registryLoop expires announcements and hands changes to the delivery side.
func (a *Agent) registryLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		changed := a.registry.Changed()
		a.delivery.SetServers(deliveryServers(a.registry.Present()))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			a.registry.Expire(now)
		}
	}
}

// takeDirective closes the VM to new requests once it is drained or its zone
// went out of service. Entries hear of it too, but one that is cut off from the
// control group goes on sending here.
func (a *Agent) takeDirective(directive *api.Directive) {
	a.mu.Lock()
	wentOut := a.wasInService && !directive.ZoneInService
	a.wasInService = a.wasInService || directive.ZoneInService
	a.mu.Unlock()
	a.delivery.Pause(directive.Drain || wentOut)
}

func deliveryServers(present []worker.Announcement) []delivery.Server {
	servers := make([]delivery.Server, 0, len(present))
	for _, p := range present {
		servers = append(servers, delivery.Server{
			ID: p.ID, Service: p.Service, URL: p.URL, Slots: p.Slots, Connections: p.Connections,
		})
	}
	return servers
}

// Stop is a planned stop: readiness fails first, the control group hears that
// the VM is leaving, tasks are checkpointed and stopped, requests in progress
// end, then the process leaves. It returns an error when requests were still in
// progress at ctx's end. Tasks that are still running go on to their lease's end.
func (a *Agent) Stop(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.session.Leave()
	timing.Sleep(ctx, leavePropagation)
	// Also when the control group can't be told, no new work is taken from here on.
	a.delivery.Drain()
	a.awaitTasks(ctx)
	err := a.delivery.Wait(ctx)
	a.end(a.stopServer)
	return err
}

// Kill ends the agent at once, as the loss of its process would.
func (a *Agent) Kill() { a.end(a.server.Stop) }

func (a *Agent) end(stopServer func()) {
	a.cancel()
	if err := a.delivery.Close(); err != nil {
		klog.ErrorS(err, "Closing the request side failed", "vm", a.config.VM.Id)
	}
	stopServer()
	a.local.Close()
	a.wait.Wait()
	a.control.Close()
}

// stopServer lets the last answers and refusals leave before connections close:
// an entry whose answer is cut would have to look it up at a process that is gone.
func (a *Agent) stopServer() {
	late := time.AfterFunc(serverStopLimit, a.server.Stop)
	defer late.Stop()
	a.server.GracefulStop()
}

func (a *Agent) awaitTasks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, taskStopLimit)
	defer cancel()
	for a.session.ActiveTasks() > 0 && ctx.Err() == nil {
		timing.Sleep(ctx, taskStopPoll)
	}
}

func (a *Agent) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}
