package raft

type progressState int

const (
	probing      progressState = iota // one append at a time until the logs match
	replicating                       // appends are pipelined
	snapshotting                      // no appends until a snapshot is installed
)

// progress is the leader's replication state for one member.
type progress struct {
	match          uint64 // last index known to be synced by the member
	next           uint64 // next index to send
	state          progressState
	paused         bool     // probing: wait for the response to an append
	inflight       []uint64 // replicating: last index of each unacknowledged append
	snapshotIndex  uint64   // snapshotting: index of the snapshot sent
	snapshotAge    int      // ticks since the snapshot was sent
	silentTicks    int      // ticks since the last message from the member
	incarnation    uint64   // data folder that match applies to
	readRound      uint64   // last read round that the member confirmed
	promotionIndex uint64   // commit index at the first promotion request, 0 before
}

func (p *progress) becomeProbing() {
	p.state = probing
	p.paused = false
	p.inflight = p.inflight[:0]
	p.next = p.match + 1
}

func (p *progress) becomeReplicating() {
	p.state = replicating
	p.inflight = p.inflight[:0]
	p.next = p.match + 1
}

func (p *progress) becomeSnapshotting(index uint64) {
	p.state = snapshotting
	p.inflight = p.inflight[:0]
	p.snapshotIndex = index
	p.snapshotAge = 0
}

// setIncarnation records which data folder the member uses, and discards what
// was acknowledged under an earlier one.
func (p *progress) setIncarnation(incarnation uint64) {
	if p.incarnation != 0 && p.incarnation != incarnation {
		*p = progress{next: 1}
	}
	p.incarnation = incarnation
}

// ack records that the member synced up to index, and reports whether match advanced.
func (p *progress) ack(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}
