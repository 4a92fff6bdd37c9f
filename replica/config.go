package replica

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"amaranthpaddle/disk"
	"amaranthpaddle/fault"
	"amaranthpaddle/raft"
	"amaranthpaddle/transport"
)

// Config holds the settings of one replica. Zero values mean the defaults.
type Config struct {
	ID      uint64
	Address string            // ip:port at which the other replicas dial this one; Peers[ID] when empty
	Peers   map[uint64]string // initial members (id to ip:port), the same on each; unused once the group exists
	Join    bool              // waits to be added to an existing group as a learner, instead of Peers
	DataDir string

	Tick      time.Duration // of the protocol's clock; a fifth of Heartbeat when 0
	Heartbeat time.Duration // between a leader's heartbeats
	Election  time.Duration // shortest silence of a leader before an election

	SnapshotEntries uint64 // entries between snapshots
	KeepEntries     uint64 // entries kept in memory behind a snapshot for slow members

	Security     transport.Security
	StateMachine StateMachine
	FS           disk.FS
	Random       rand.Source // for election timeouts and the data folder's incarnation
}

// Defaults for replicas in different availability zones and regions up to 12 ms
// apart; a new leader is there in under a second.
const (
	DefaultHeartbeat       = 100 * time.Millisecond
	DefaultElection        = 300 * time.Millisecond
	DefaultSnapshotEntries = 4096
	DefaultKeepEntries     = 1024
	ticksPerHeartbeat      = 5
)

// MaxProposalBytes is the largest proposal. It exceeds the largest configuration that
// operators may send, which is encoded together with its parsed form.
const MaxProposalBytes = 12 << 20

func (c *Config) setDefaults() {
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.Tick == 0 {
		c.Tick = max(c.Heartbeat/ticksPerHeartbeat, time.Millisecond)
	}
	if c.Election == 0 {
		c.Election = DefaultElection
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = DefaultKeepEntries
	}
	if c.FS == nil {
		c.FS = disk.OS{}
	}
	if c.Random == nil {
		c.Random = randomSource()
	}
	if c.Address == "" {
		c.Address = c.Peers[c.ID]
	}
}

func randomSource() rand.Source {
	var seed [32]byte
	crand.Read(seed[:])
	return rand.NewChaCha8(seed)
}

func (c *Config) validate() error {
	switch {
	case c.ID == 0:
		return fault.New(fault.InvalidArgument, "a replica id is a positive number")
	case c.StateMachine == nil || c.DataDir == "":
		return fault.New(fault.InvalidArgument, "a replica needs a state machine and a data folder")
	case c.Address == "":
		return fault.New(fault.InvalidArgument, "a replica needs its own address")
	case !c.Join && c.Peers[c.ID] == "":
		return fault.New(fault.InvalidArgument, "the initial members do not include this replica")
	case c.Heartbeat < c.Tick || c.Election < 2*c.Heartbeat:
		return fault.New(fault.InvalidArgument, "tick <= heartbeat <= election/2 does not hold")
	}
	return nil
}

func (c *Config) raftConfig(incarnation uint64) raft.Config {
	random := rand.New(c.Random)
	return raft.Config{
		ID:             c.ID,
		Incarnation:    incarnation,
		ElectionTicks:  int(c.Election / c.Tick),
		HeartbeatTicks: int(c.Heartbeat / c.Tick),
		Intn:           random.IntN,
	}
}

// newIncarnation returns a random number that is not 0.
func newIncarnation(random rand.Source) uint64 {
	for {
		if n := random.Uint64(); n != 0 {
			return n
		}
	}
}

// hash64 returns a number that depends on all values.
func hash64(values ...uint64) uint64 {
	var data []byte
	for _, value := range values {
		data = binary.LittleEndian.AppendUint64(data, value)
	}
	return sum64(data)
}
