package jobcontrol

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// leadership is the soft state of the leader of one term.
type leadership struct {
	server   *Server
	ctx      context.Context
	cancel   context.CancelFunc
	term     uint64
	since    time.Time     // when the leadership started
	wake     chan struct{} // signals that a round has work
	inFlight chan *batch   // proposed batches, in order

	mu               sync.Mutex
	assumed          *jobs.State // committed state with the outstanding batches applied
	assumedStale     bool        // it may differ from that; see proposeBarrier
	assumedCheckedAt time.Time   // when it was last compared with the committed state

	zoneOrders   zoneOrders
	planned      dispatch.Schedule // of the present or latest round
	outstanding  int               // proposed batches whose results have not been handled
	queue        changeQueue
	workers      map[string]*workerView // latest incarnation by worker id
	sessions     map[string]*session    // by agent
	crashes      map[string]workerCrash // by worker key
	carried      map[jobs.RunID]carriedRun
	outages      *dispatch.Outages
	unweighed    []reportedCrash
	crashedUnder map[jobs.TaskID]map[string]time.Time // when the workers of agents crashed under a suspect
	spreadRuns   map[jobs.RunID]bool                  // suspects of crashes at the same time, until their ends are recorded
	pausedUntil  map[jobs.TaskID]time.Time            // tasks that wait after a crash
	firstSeen    map[string]time.Time                 // when each job that has not ended was first seen
	unplannable  map[string]bool                      // jobs that have not ended and whose planning has panicked
	startedJobs  map[string]bool                      // jobs that have not ended and have had a task start

	knowledge         dispatch.Knowledge
	knowledgeSavedAt  time.Time                // when knowledge was last added to the log
	savedCostsVersion int64                    // version of the pair costs saved then
	startedAt         map[jobs.RunID]time.Time // when runs placed by this leadership started

	health      *dispatch.Health
	progress    *dispatch.Progress
	rackWaits   rackWaits
	heldForRack []jobs.GroupID // groups with tasks that waited for a rack in the latest plan
	forecasts   *dispatch.Forecasts
	drain       dispatch.DrainRate
	movingRuns  map[jobs.RunID]bool // runs being stopped so that they start again on another worker
	relocatedAt time.Time           // when throttled runs were last looked for
	idleJobs    idleJobs
	kept        map[jobs.RunID]keptRun // see keepAtWork
	keptAt      time.Time              // when such runs were last looked for
	preemption  preemption

	shrunkenMoves shrunkenMoves

	reservations reservations

	advice    map[jobs.GroupID]*advice
	adviserMu sync.Mutex // held during a request to the adviser; locked before mu

	maintenance  maintenance
	lending      *dispatch.Lending
	cooldownFrom map[string]time.Time // VMs that are not moved until moveCooldown after this time
	returning    map[string]time.Time // VMs that get no new runs until moveCooldown after this time, as an order returns them to their pool

	admission admissionState

	joiners joiners
	leavers leavers

	recovery recovery

	standstills standstills
}

func newLeadership(ctx context.Context, cancel context.CancelFunc, server *Server, term uint64) *leadership {
	l := &leadership{
		server: server, ctx: ctx, cancel: cancel, term: term, since: server.now(),
		wake:     make(chan struct{}, 1),
		inFlight: make(chan *batch, maxInFlight),

		assumed:      server.config.State.Clone(),
		assumedStale: true, // what an earlier leadership of this replica proposed in this term may follow
		zoneOrders:   newZoneOrders(server.appliedIndex()),
		workers:      map[string]*workerView{},
		sessions:     map[string]*session{},
		crashes:      map[string]workerCrash{},
		carried:      map[jobs.RunID]carriedRun{},
		outages:      dispatch.NewOutages(server.now()),
		spreadRuns:   map[jobs.RunID]bool{},
		pausedUntil:  map[jobs.TaskID]time.Time{},
		crashedUnder: map[jobs.TaskID]map[string]time.Time{},
		firstSeen:    map[string]time.Time{},
		startedJobs:  map[string]bool{},
		unplannable:  map[string]bool{},

		startedAt: map[jobs.RunID]time.Time{},
		health:    dispatch.NewHealth(), progress: dispatch.NewProgress(), movingRuns: map[jobs.RunID]bool{},
		idleJobs: newIdleJobs(), kept: map[jobs.RunID]keptRun{},
		preemption: newPreemption(),
		rackWaits:  rackWaits{},
		forecasts:  dispatch.NewForecasts(),
		advice:     map[jobs.GroupID]*advice{},

		maintenance:  newMaintenance(),
		lending:      dispatch.NewLending(),
		cooldownFrom: map[string]time.Time{},
		returning:    map[string]time.Time{},

		admission: newAdmissionState(),

		joiners: joiners{byID: map[uint64]joiner{}}, leavers: leavers{byID: map[uint64]time.Time{}},
		standstills: newStandstills(),
	}
	l.assumed.Read(func(view jobs.View) { l.knowledge = dispatch.NewKnowledge(view.Learnt()) })
	l.initJobAges()
	l.recovery = newRecovery(server.endLeaderless(), l.since, l.workersWithRuns())
	l.signal()
	return l
}

func (l *leadership) activeJobs() int {
	n := 0
	l.assumed.Read(func(view jobs.View) { view.ActiveJobs(func(*jobs.Job) { n++ }) })
	return n
}
