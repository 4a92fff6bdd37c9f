package raft

type progressState int

const (
	probing      progressState = iota // one append at a time until the logs match
	replicating                       // appends are pipelined
	snapshotting                      // waits for a snapshot to be installed
)

// progress is the leader's view of one member's log.
type progress struct {
	match          uint64 // last index known to be synced there
	next           uint64 // next index to send
	state          progressState
	paused         bool     // probing: an append awaits its answer
	inflight       []uint64 // replicating: last index of each unanswered append
	snapshotIndex  uint64   // snapshotting: index of the snapshot sent
	snapshotAge    int      // ticks since the snapshot was sent
	silentTicks    int      // ticks since it was heard from
	incarnation    uint64   // of the data folder that match speaks of
	readRound      uint64   // last read round confirmed
	promotionIndex uint64   // commit index when its promotion was first asked for, 0 before
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

// setIncarnation notes the data folder that answers, and drops what an earlier
// folder of the same member acknowledged.
func (p *progress) setIncarnation(incarnation uint64) {
	if p.incarnation != 0 && p.incarnation != incarnation {
		*p = progress{next: 1}
	}
	p.incarnation = incarnation
}

// ack takes in that the member synced up to index, and reports whether that is news.
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
