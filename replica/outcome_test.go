package replica

import (
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

func newProposal() *proposal { return &proposal{done: make(chan proposalResult, 1)} }

func TestAProposalWhoseIndexAnotherEntryTookWasNotRun(t *testing.T) {
	var table proposalTable
	table.init()
	p := newProposal()
	table.add(5, 1, p)
	table.applied(5, 2, []byte("result of another entry"))
	if result := <-p.done; !fault.Is(result.err, fault.NotLeader) {
		t.Errorf("got %v, want not-leader", result.err)
	}
}

func TestAProposalReplacedInTheLogHasAnUnknownOutcome(t *testing.T) {
	var table proposalTable
	table.init()
	p := newProposal()
	table.add(5, 1, p)
	table.add(5, 3, newProposal())
	if result := <-p.done; !fault.Is(result.err, fault.CommitUnknown) {
		t.Errorf("got %v, want commit-unknown", result.err)
	}
}

func TestACallThatEndsEarlyTellsWhetherItsEntryMayBeInTheLog(t *testing.T) {
	queued, taken := newProposal(), newProposal()
	taken.state.Store(proposalTaken)
	if _, err := queued.abandon(); !fault.Is(err, fault.NoQuorum) {
		t.Errorf("queued: %v, want no-quorum", err)
	}
	if _, err := taken.abandon(); !fault.Is(err, fault.CommitUnknown) {
		t.Errorf("taken: %v, want commit-unknown", err)
	}
}

func TestAReadWaitsUntilItsIndexIsApplied(t *testing.T) {
	r := &Replica{config: Config{StateMachine: &counter{}, SnapshotEntries: 100}}
	r.view.init(1, 1)
	r.waiting.init()
	a := newApplier(r)
	read := &readRequest{done: make(chan readResult, 1)}
	a.handle(applyItem{reads: []*readRequest{read}, index: 2})
	a.handle(applyItem{entries: []*api.LogEntry{{Index: 1, Term: 1}}})
	a.releaseReads()
	if len(read.done) != 0 {
		t.Fatal("the read of index 2 ended at index 1")
	}
	a.handle(applyItem{entries: []*api.LogEntry{{Index: 2, Term: 1}}})
	a.releaseReads()
	if result := <-read.done; result.index != 2 || result.err != nil {
		t.Errorf("got %+v, want index 2", result)
	}
}
