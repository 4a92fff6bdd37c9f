package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/delivery"
	"amaranthpaddle/fleet"
	"amaranthpaddle/transport"
)

// harness is one entry with agents and stand-in backend servers on loopback.
type harness struct {
	t       testing.TB
	control *fakeControl
	agents  []*testAgent
	entry   *Entry
}

// testAgent is a delivery behind its own gRPC server.
type testAgent struct {
	id       string
	region   string
	zone     string
	address  string // where entries reach it
	delivery *delivery.Delivery
	server   *grpc.Server
	servers  []*api.BackendServer
}

// fakeControl serves Watch, Claim and Report from memory.
type fakeControl struct {
	api.UnimplementedControlServer
	address string

	mu       sync.Mutex
	revision uint64
	zones    []*api.Zone
	servers  []*api.BackendServer
	changed  chan struct{}
	claims   map[string]*api.ClaimResponse
	digests  map[string]string // of the requests, by key
	reports  []*api.EntryReport
	direct   map[string]string // agents' own addresses by those of the proxies in front
}

// regionDialer connects agents to each other without the proxies, which stand
// between them and the entries only.
type regionDialer struct{ control *fakeControl }

// Dial connects to the agent behind the proxy at address.
func (d *regionDialer) Dial(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	d.control.mu.Lock()
	if direct, ok := d.control.direct[address]; ok {
		address = direct
	}
	d.control.mu.Unlock()
	return (&transport.Security{}).Dial(address, extra...)
}

func (c *fakeControl) setDirect(proxy, agent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct[proxy] = agent
}

func newFakeControl(t testing.TB) *fakeControl {
	c := &fakeControl{
		changed: make(chan struct{}),
		claims:  make(map[string]*api.ClaimResponse),
		digests: make(map[string]string),
		direct:  make(map[string]string),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(delivery.ServerOptions()...)
	api.RegisterControlServer(server, c)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	c.address = listener.Addr().String()
	return c
}

func (c *fakeControl) update(zones []*api.Zone, servers []*api.BackendServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.zones, c.servers = zones, servers
	close(c.changed)
	c.changed = make(chan struct{})
}

// fullUpdate returns the whole directory with its digest.
func fullUpdate(revision uint64, zones []*api.Zone, servers []*api.BackendServer) *api.DirectoryUpdate {
	content := fleet.NewDirectory()
	// Without a digest the content is taken in and reported as corrupt.
	_ = content.Apply(&api.DirectoryUpdate{Revision: revision, Zones: zones, Servers: servers})
	return content.Full()
}

// Watch sends the whole directory at each change.
func (c *fakeControl) Watch(_ *api.WatchRequest, stream api.Control_WatchServer) error {
	for {
		c.mu.Lock()
		update := fullUpdate(c.revision, c.zones, c.servers)
		changed := c.changed
		c.mu.Unlock()
		if update.Revision > 0 {
			if err := stream.Send(update); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// Claim gives a key to the first attempt that asks.
func (c *fakeControl) Claim(_ context.Context, ask *api.ClaimRequest) (*api.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.claims[ask.Key]
	if !ok {
		held = &api.ClaimResponse{Attempt: ask.Attempt, Server: ask.Server, Incarnation: ask.Incarnation}
		c.digests[ask.Key] = string(ask.Digest)
		for _, server := range c.servers {
			if server.Id == ask.Server {
				held.AgentAddress = server.AgentAddress
			}
		}
		c.claims[ask.Key] = held
	}
	return &api.ClaimResponse{
		Granted: held.Attempt == ask.Attempt, Attempt: held.Attempt, Server: held.Server,
		Incarnation: held.Incarnation, AgentAddress: held.AgentAddress,
		DigestDiffers: c.digests[ask.Key] != string(ask.Digest),
	}, nil
}

// Report keeps the report.
func (c *fakeControl) Report(_ context.Context, report *api.EntryReport) (*api.EntryReportAck, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, report)
	return &api.EntryReportAck{Sequence: report.Sequence}, nil
}

// backendSpec is one stand-in backend server.
type backendSpec struct {
	zone    string
	region  string
	handler http.Handler
	slots   int

	connections int                         // 64 when 0
	proxy       func(address string) string // returns the address of a proxy in front of the agent
}

func newHarness(t testing.TB, specs []backendSpec, configure func(*Config)) *harness {
	h := &harness{t: t, control: newFakeControl(t)}
	for i, spec := range specs {
		h.agents = append(h.agents, startAgent(t, h.control, i, spec, 1))
	}
	h.announce()
	h.entry = startEntry(t, h.control, configure)
	h.awaitReady()
	return h
}

func startAgent(t testing.TB, control *fakeControl, i int, spec backendSpec, incarnation uint64) *testAgent {
	backend := httptest.NewServer(spec.handler)
	t.Cleanup(backend.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	d, err := delivery.New(delivery.Config{
		Incarnation: incarnation, Address: address, Claimer: control, Security: &regionDialer{control},
	})
	if err != nil {
		t.Fatal(err)
	}
	id := "ledger-" + string(rune('a'+i))
	slots := spec.slots
	if slots == 0 {
		slots = 8
	}
	connections := max(spec.connections, 64)
	d.SetServers([]delivery.Server{{ID: id, Service: "ledger", URL: backend.URL, Slots: slots, Connections: connections}})
	server := grpc.NewServer(delivery.ServerOptions()...)
	d.Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		_ = d.Close()
	})
	if spec.proxy != nil {
		direct := address
		address = spec.proxy(address)
		control.setDirect(address, direct)
	}
	return &testAgent{
		id: id, region: spec.region, zone: spec.zone, address: address, delivery: d, server: server,
		servers: []*api.BackendServer{{
			Id: id, Service: "ledger", Zone: spec.zone, Region: spec.region, AgentAddress: address,
			Incarnation: incarnation, Slots: uint32(slots), Connections: uint32(connections),
		}},
	}
}

// announce publishes all agents' servers in zones that are in service.
func (h *harness) announce() {
	var servers []*api.BackendServer
	zones := map[string]*api.Zone{}
	for _, a := range h.agents {
		servers = append(servers, a.servers...)
		zones[a.zone] = &api.Zone{Name: a.zone, Region: a.region, InService: true}
	}
	var list []*api.Zone
	for _, zone := range zones {
		list = append(list, zone)
	}
	h.control.update(list, servers)
}

func startEntry(t testing.TB, control *fakeControl, configure func(*Config)) *Entry {
	config := Config{
		Name: "entry", Control: []string{control.address}, Listen: "127.0.0.1:0",
		Security: &transport.Security{}, Region: "munster", Zone: "cork", DrainNotice: time.Millisecond,
	}
	if configure != nil {
		configure(&config)
	}
	e, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if !e.draining.Load() {
			_ = e.Stop(ctx)
		}
	})
	return e
}

func (h *harness) awaitReady() {
	awaitReady(h.t, h.entry)
}

func awaitReady(t testing.TB, e *Entry) {
	for range 500 {
		if e.Ready() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the entry did not become ready")
}

func (h *harness) url(path string) string { return "http://" + h.entry.Address().String() + path }

// answer is what a caller got.
type answer struct {
	status  int
	body    string
	outcome string
	header  http.Header
}

func (h *harness) do(method, path, body string, headers map[string]string) (answer, error) {
	return doRequest(h.url(path), method, body, headers)
}

func doRequest(url, method, body string, headers map[string]string) (answer, error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	outcome := response.Header.Get("Paddle-Outcome")
	if trailer := response.Trailer.Get("Paddle-Outcome"); trailer != "" {
		outcome = trailer
	}
	return answer{response.StatusCode, string(content), outcome, response.Header}, err
}
