package jobcontrol

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// leadership is what the leader of one term knows beyond the replicated state.
type leadership struct {
	server   *Server
	ctx      context.Context
	cancel   context.CancelFunc
	term     uint64
	since    time.Time
	wake     chan struct{} // a round has something to do
	inFlight chan *batch   // batches that wait for their commit, in order

	mu          sync.Mutex
	assumed     *jobs.State
	pending     []*pendingChange
	workers     map[string]*workerView // latest incarnation by worker id
	sessions    map[string]*session    // by agent
	firstSeen   map[string]time.Time   // when a job that has not ended was first seen
	startedJobs map[string]bool        // jobs that have not ended and of which a task has started

	knowledge         dispatch.Knowledge
	knowledgeSavedAt  time.Time                // when it was last put into the log
	savedCostsVersion int64                    // version of the pair costs that were
	startedAt         map[jobs.RunID]time.Time // of runs that were placed under this leadership

	health     *dispatch.Health
	progress   *dispatch.Progress
	drain      dispatch.DrainRate
	movingRuns map[jobs.RunID]bool // runs that are stopped to begin elsewhere

	advice    map[jobs.GroupID]*advice
	adviserMu sync.Mutex // held for a question to the adviser; taken without mu

	maintenance  maintenance
	lending      *dispatch.Lending
	cooldownFrom map[string]time.Time // VMs of which a move was ordered, since when

	joiners joiners
}

func newLeadership(ctx context.Context, cancel context.CancelFunc, server *Server, term uint64) *leadership {
	l := &leadership{
		server: server, ctx: ctx, cancel: cancel, term: term, since: server.now(),
		wake:     make(chan struct{}, 1),
		inFlight: make(chan *batch, maxInFlight),

		assumed:     server.config.State.Clone(),
		workers:     map[string]*workerView{},
		sessions:    map[string]*session{},
		firstSeen:   map[string]time.Time{},
		startedJobs: map[string]bool{},

		startedAt: map[jobs.RunID]time.Time{},
		health:    dispatch.NewHealth(), progress: dispatch.NewProgress(), movingRuns: map[jobs.RunID]bool{},
		advice: map[jobs.GroupID]*advice{},

		maintenance:  newMaintenance(),
		lending:      dispatch.NewLending(),
		cooldownFrom: map[string]time.Time{},

		joiners: joiners{byID: map[uint64]joiner{}},
	}
	l.assumed.Read(func(view jobs.View) { l.knowledge = dispatch.NewKnowledge(view.Learnt()) })
	l.initJobAges()
	return l
}

func (l *leadership) activeJobs() int {
	n := 0
	l.assumed.Read(func(view jobs.View) { view.ActiveJobs(func(*jobs.Job) { n++ }) })
	return n
}
