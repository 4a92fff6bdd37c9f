// Package settings reads the INI settings of the daemons into typed values.
// Every fault names its section, key and value, unknown keys are refused, and
// settings with a fault are refused whole.
package settings

import (
	"os"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
	"amaranthpaddle/transport"
)

// MaxBytes limits the size of a settings file.
const MaxBytes = 1 << 20

// Process says who and where a process is.
type Process struct {
	Name     string // unique in the fleet
	Zone     string // availability zone
	Region   string
	LogLevel int // 0 for ordinary messages, higher for more
}

// TLS names the files for transport security.
type TLS struct {
	Files    transport.Files // empty for plaintext
	Insecure bool            // allows plaintext on addresses other than loopback
}

// Security opens the transport security that t describes.
func (t TLS) Security() (*transport.Security, error) {
	if t.Files == (transport.Files{}) {
		return &transport.Security{Insecure: t.Insecure}, nil
	}
	return transport.Open(t.Files)
}

// Entry holds the settings of paddle-entry. Zero limits take the defaults of package entry.
type Entry struct {
	Process
	TLS     TLS
	Control []string // ip:port of the control replicas' listeners

	Callers string // ip:port for callers
	Metrics string // ip:port for /metrics, empty for none

	Connections  int           // to each agent
	QueueTime    time.Duration // how long a request waits for its turn
	MaxRequests  int           // requests in progress at a time, standing streams included
	MaxBodyBytes int64         // of a request body
	BodyFolder   string        // of bodies in transfer, a temporary folder when empty
	BodyBytes    int64         // of bodies kept at a time
	LinkRate     int64         // share of the link to other regions, bytes/s each way; 0 for no limit
	DrainNotice  time.Duration // between readiness failing and the end of the listener
}

// Agent holds the settings of paddle-agent.
type Agent struct {
	Process
	TLS     TLS
	Control []string // ip:port of the control replicas' listeners

	Rack     string
	Capacity resource.Vector // that tasks may be granted on this VM

	Entries string // ip:port where entries and other agents reach this agent
	Local   string // ip:port on loopback for the backend servers beside it, and /metrics
	Worker  string // base URL of the worker's API

	BodyFolder string // of stored request bodies, a temporary folder when empty
}

// Control holds the settings of paddle-control. Zero limits take the defaults
// of packages control and replica.
type Control struct {
	Process
	TLS TLS

	ID         uint64 // of this replica, never used by another one
	DataFolder string
	Members    map[uint64]string // first members, id to ip:port; unused once the group exists
	Join       bool              // waits to be added to an existing group

	Listen    string            // ip:port for agents, entries and the other replicas
	Operators string            // ip:port of the operators' API, reports and /metrics
	Peers     map[uint64]string // operator listeners of all replicas, id to ip:port
	TokenFile string            // operators' tokens, one a line

	Heartbeat       time.Duration // between a leader's heartbeats
	Election        time.Duration // shortest silence of a leader before an election
	SnapshotEntries uint64        // log entries between snapshots
	Lease           time.Duration // of a VM
	LeaseMargin     time.Duration // for the drift of clocks over one lease
	Fresh           time.Duration // how long an agent may rely on its zone being in service
}

// LoadEntry reads the settings of paddle-entry. Errors have kind fault.InvalidArgument.
func LoadEntry(file string) (*Entry, error) { return load(file, ParseEntry) }

// LoadAgent reads the settings of paddle-agent. Errors have kind fault.InvalidArgument.
func LoadAgent(file string) (*Agent, error) { return load(file, ParseAgent) }

// LoadControl reads the settings of paddle-control. Errors have kind fault.InvalidArgument.
func LoadControl(file string) (*Control, error) { return load(file, ParseControl) }

func load[T any](file string, parse func(name string, data []byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidArgument, err, "settings")
	}
	return parse(file, data)
}

// ParseEntry reads the settings of paddle-entry from data; name stands in faults.
func ParseEntry(name string, data []byte) (*Entry, error) {
	r := newReader(name, data)
	s := &Entry{
		Process: r.process(),
		TLS:     r.tls(),
		Control: r.addresses("control", "addresses", required),

		Callers: r.address("listen", "callers", required),
		Metrics: r.address("listen", "metrics", optional),

		Connections:  r.count("limits", "connections", 1, 64),
		QueueTime:    r.duration("limits", "queue_time", time.Millisecond, time.Minute),
		MaxRequests:  r.count("limits", "max_requests", 1, 1_000_000),
		MaxBodyBytes: r.size("limits", "max_body", 1, 1<<40),
		BodyFolder:   r.text("bodies", "folder", optional),
		BodyBytes:    r.size("bodies", "size", 1, 1<<44),
		LinkRate:     r.rate("link", "rate"),
		DrainNotice:  r.duration("limits", "drain_notice", 0, 10*time.Minute),
	}
	return finish(r, s)
}

// ParseAgent reads the settings of paddle-agent from data; name stands in faults.
func ParseAgent(name string, data []byte) (*Agent, error) {
	r := newReader(name, data)
	s := &Agent{
		Process: r.process(),
		TLS:     r.tls(),
		Control: r.addresses("control", "addresses", required),

		Rack: r.text("process", "rack", required),
		Capacity: resource.Vector{
			MilliCPU:     r.milliCores("capacity", "cores"),
			MemoryMiB:    r.requiredSize("capacity", "memory") >> 20,
			Accelerators: int64(r.count("capacity", "accelerators", 0, 64)),
		},

		Entries: r.address("listen", "entries", required),
		Local:   r.loopbackAddress("listen", "local"),
		Worker:  r.url("worker", "url"),

		BodyFolder: r.text("bodies", "folder", optional),
	}
	return finish(r, s)
}

// ParseControl reads the settings of paddle-control from data; name stands in faults.
func ParseControl(name string, data []byte) (*Control, error) {
	r := newReader(name, data)
	s := &Control{
		Process: r.process(),
		TLS:     r.tls(),

		ID:         r.id("control", "id"),
		DataFolder: r.text("control", "data_folder", required),
		Members:    r.members("control", "members"),
		Join:       r.boolean("control", "join"),

		Listen:    r.address("listen", "control", required),
		Operators: r.address("listen", "operators", required),
		Peers:     r.members("operators", "addresses"),
		TokenFile: r.text("operators", "token_file", optional),

		Heartbeat:       r.duration("consensus", "heartbeat", 10*time.Millisecond, time.Minute),
		Election:        r.duration("consensus", "election", 20*time.Millisecond, 10*time.Minute),
		SnapshotEntries: uint64(r.count("consensus", "snapshot_entries", 1, 1_000_000_000)),
		Lease:           r.duration("leases", "duration", time.Second, 10*time.Minute),
		LeaseMargin:     r.duration("leases", "margin", 0, time.Minute),
		Fresh:           r.duration("leases", "fresh", 100*time.Millisecond, time.Minute),
	}
	r.checkControl(s)
	return finish(r, s)
}

// checkControl checks what concerns more than one key.
func (r *reader) checkControl(s *Control) {
	if s.Join && len(s.Members) > 0 {
		r.add("control", "members", "", "a replica that joins a group has no first members")
	}
	if !s.Join && len(s.Members) > 0 && s.Members[s.ID] == "" && s.ID != 0 {
		r.add("control", "members", "", "the first members do not include this replica")
	}
	if !s.Join && len(s.Members) == 0 {
		r.add("control", "members", "", "is missing; give the first members, or join = true")
	}
	if s.Heartbeat > 0 && s.Election > 0 && s.Election < 2*s.Heartbeat {
		r.add("consensus", "election", s.Election.String(), "must be at least twice the heartbeat")
	}
	if s.LeaseMargin > 0 && s.Lease == 0 {
		r.add("leases", "margin", s.LeaseMargin.String(), "is given without the duration")
	}
	if s.LeaseMargin > 0 && s.Lease > 0 && 2*s.LeaseMargin > s.Lease {
		r.add("leases", "margin", s.LeaseMargin.String(), "must be at most half of the lease")
	}
	if s.TokenFile == "" && s.TLS.Files == (transport.Files{}) {
		r.add("operators", "token_file", "", "is missing; operators need a token, or certificates by [tls]")
	}
}

// finish returns s, or every fault found.
func finish[T any](r *reader, s *T) (*T, error) {
	r.addUnknown()
	if err := r.err(); err != nil {
		return nil, err
	}
	return s, nil
}
