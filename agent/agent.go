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
	// leavePropagation is how long a leaving agent still accepts requests, because
	// entries that do not know yet that it is leaving still send to it.
	leavePropagation = 2 * time.Second
	// taskStopLimit limits the wait for the VM's tasks, which the control group
	// checkpoints and moves once it knows that the VM is leaving.
	taskStopLimit = 10 * time.Second
	taskStopPoll  = 100 * time.Millisecond
	// serverStopLimit limits the graceful close of connections once no request is
	// in progress.
	serverStopLimit = 2 * time.Second
)

// Config is the configuration of an Agent.
type Config struct {
	VM               *api.VM
	ControlAddresses []string     // ip:port of the control replicas
	ListenAddress    string       // ip:port on which entries reach this agent
	Listener         net.Listener // for entries; nil to open ListenAddress
	LocalAddress     string       // ip:port of the local interface, on loopback
	Local            net.Listener // of the local interface; nil to open LocalAddress
	WorkerURL        string       // base URL of the worker's interface
	DataDir          string       // folder for bodies stored by digest; a temporary folder when empty
	Security         *transport.Security
}

// Agent is the agent process of one VM.
type Agent struct {
	config        Config
	registry      *Registry
	delivery      *delivery.Delivery
	session       *session.Session
	control       *controlclient.Client
	server        *grpc.Server
	local         *http.Server
	listener      net.Listener // for entries
	localListener net.Listener
	failed        transport.ServerErrors
	cancel        context.CancelFunc
	wait          sync.WaitGroup

	mu           sync.Mutex
	leaving      bool
	wasInService bool // an earlier directive had the VM's zone in service
}

// Start opens the agent's listeners and starts its session with the control group. Errors:
// fault.InvalidArgument for bad addresses, fault.StorageFailed for the data folder.
func Start(config Config) (*Agent, error) {
	listener, err := listenEntries(config)
	if err != nil {
		return nil, err
	}
	localListener, err := listenLocal(config)
	if err != nil {
		listener.Close()
		return nil, err
	}
	a := &Agent{config: config, listener: listener, localListener: localListener, failed: transport.NewServerErrors()}
	if err := a.assemble(); err != nil {
		listener.Close()
		localListener.Close()
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
		OnDirective:      a.applyDirective,
	})
	a.server = grpc.NewServer(append(delivery.ServerOptions(), a.config.Security.ServerOptions()...)...)
	a.delivery.Register(a.server)
	a.local = &http.Server{Handler: a.routes(), ReadHeaderTimeout: readHeaderTimeout}
	return nil
}

// newIncarnation returns a number that is higher than that of earlier processes
// of this agent, unless the VM's clock stepped back. After such a step the
// control group accepts the agent once the previous process's lease has expired.
func newIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }

func (a *Agent) run() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.goRun(func() { a.failed.Serve("entries", a.listener, a.server.Serve) })
	a.goRun(func() { a.failed.Serve("local calls", a.localListener, a.local.Serve) })
	a.goRun(func() { a.registryLoop(ctx) })
	a.goRun(func() { a.session.Run(ctx) })
	klog.InfoS("Agent started", "vm", a.config.VM.Id, "zone", a.config.VM.Zone,
		"address", a.listener.Addr().String(), "local", a.localListener.Addr().String())
}

func (a *Agent) goRun(f func()) {
	a.wait.Add(1)
	go func() {
		defer a.wait.Done()
		f()
	}()
}

// Address returns the ip:port on which entries reach this agent.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Revision returns the configuration revision in force at this agent.
func (a *Agent) Revision() uint64 { return a.session.Revision() }

// registryLoop expires announcements and passes the current backend servers to
// delivery after each change, until ctx ends.
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

// applyDirective pauses the delivery of new requests while the VM is drained or
// after its zone went out of service. Entries are told too, but an entry that is
// cut off from the control group continues to send requests here.
func (a *Agent) applyDirective(directive *api.Directive) {
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

// Stop shuts the agent down gracefully: readiness fails first, the control group
// is told that the VM is leaving, tasks are checkpointed and stopped, requests in
// progress complete, then the servers stop. It returns an error if requests were
// still in progress when ctx ended. Tasks that still run continue until their
// lease expires.
func (a *Agent) Stop(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.session.Leave()
	timing.Sleep(ctx, leavePropagation)
	// No new work is accepted from here on, even if the control group cannot be told.
	a.delivery.Drain()
	a.awaitTasks(ctx)
	err := a.delivery.Wait(ctx)
	a.shutdown(a.stopServer)
	return err
}

// Failed returns a channel that receives why one of the listeners has ended by itself.
func (a *Agent) Failed() <-chan error { return a.failed }

// Kill stops the agent immediately, as a crash of its process would.
func (a *Agent) Kill() { a.shutdown(a.server.Stop) }

func (a *Agent) shutdown(stopServer func()) {
	a.cancel()
	if err := a.delivery.Close(); err != nil {
		klog.ErrorS(err, "Failed to close request delivery", "vm", a.config.VM.Id)
	}
	stopServer()
	a.local.Close()
	a.wait.Wait()
	a.control.Close()
}

// stopServer lets the last responses and refusals be sent before connections
// close: an entry whose response is cut off would have to look up the result at a
// process that no longer runs.
func (a *Agent) stopServer() {
	timer := time.AfterFunc(serverStopLimit, a.server.Stop)
	defer timer.Stop()
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
