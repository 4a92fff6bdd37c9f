package integration

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"testing"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
	"amaranthpaddle/transport"
)

const (
	requestSeed     = 20261205
	seedEnvironment = "PADDLE_TEST_SEED"
	drainBound      = 2 * time.Second // no request begins on a drained VM later than this
	leavingBound    = 3 * time.Second // nor on a VM whose agent was asked to stop
	servingLimit    = 40 * time.Second
	requestFaults   = 12
	noticeShare     = 1500 * time.Millisecond // of an entry's notice, in which it takes requests as before
	answerMargin    = 2 * time.Second         // before its deadline, in which a done run's answer reaches its caller
	slowRunMS       = 3000                    // of the requests that are in progress at a planned stop
	slowCalls       = 12
)

// plannedStop is a planned stop of an entry or, with a VM, of its agent.
type plannedStop struct {
	name         string
	entry        int
	vm           string
	asked, ended time.Time
	err          error
}

// closure is a time in which a VM is to take no requests.
type closure struct {
	vm       string
	from, to time.Time
}

// requestScenario drives a system under callers.
type requestScenario struct {
	*scenario
	callers  *callers
	stops    []plannedStop
	closures []closure
}

// TestChargesRunAtMostOnceAndAnswersAreTrue sends checks and charges, with and
// without keys, through two entries, while entries, agents, workers and control
// replicas are killed, frozen, drained and stopped. What the backend servers
// really did is then compared with what callers were told.
func TestChargesRunAtMostOnceAndAnswersAreTrue(t *testing.T) {
	s := startRequestScenario(t)
	defer s.client.Close()
	seed := seedOf(t)
	random := rand.New(rand.NewPCG(seed, 1))
	s.callers = startCallers(s.callersAt, seed)
	began := time.Now()
	for _, kind := range random.Perm(requestFaults) {
		s.injectRequestFault(random, kind)
		time.Sleep(betweenFaults)
	}
	s.awaitServing()
	s.awaitAnswers()
	calls := s.callers.stop()
	t.Logf("%d faults in %v", requestFaults, time.Since(began).Round(time.Second))
	h := newRequestHistory(s.readRequestEvents(), calls)
	h.checkAtMostOnce(t)
	h.checkNotRun(t)
	h.checkAnswers(t)
	h.checkOneAnswer(t)
	h.checkStopsCutNothing(t, s.stops)
	h.checkDrained(t, s.closures)
	h.logFigures(t)
}

// seedOf returns the fixed seed, or for trials the one in seedEnvironment.
func seedOf(t *testing.T) uint64 {
	text := os.Getenv(seedEnvironment)
	if text == "" {
		return requestSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

func startRequestScenario(t *testing.T) *requestScenario {
	s := &requestScenario{scenario: &scenario{system: startSystem(t, zoneNames[:2], 2)}}
	s.startEntries(2, zoneNames)
	s.client = operatorclient.New(s.operators, &transport.Security{}, "")
	day := testPlan()
	day.Zones = day.Zones[:2]
	day.Jobs = []plan.Job{}
	day.Services[0].Instances = s.instances()
	s.submit(day)
	s.awaitServing()
	return s
}

// injectRequestFault does one kind of harm to processes drawn at random.
func (s *requestScenario) injectRequestFault(random *rand.Rand, kind int) {
	m := s.machines[random.IntN(len(s.machines))]
	entry := random.IntN(len(s.entries))
	frozen := time.Second + time.Duration(random.Int64N(int64(5*time.Second)))
	began := time.Now()
	name := ""
	switch kind {
	case 0:
		name = "kill entry"
		s.restart(s.entries[entry])
	case 1:
		name = "kill agent " + m.id
		s.restart(m.agent)
	case 2:
		name = "kill leader"
		s.restart(s.leader())
	case 3:
		name = "kill control replica"
		s.restart(s.controls[random.IntN(len(s.controls))])
	case 4:
		name = "freeze entry"
		freezeFor(s.entries[entry], frozen)
	case 5:
		name = "freeze agent " + m.id
		freezeFor(m.agent, frozen)
	case 6:
		name = "freeze worker " + m.id
		freezeFor(m.worker, frozen)
	case 7:
		name = "zone out " + m.zone
		s.takeOut(m.zone)
	case 8:
		name = "kill worker " + m.id
		s.restart(m.worker)
	case 9:
		name = "planned stop of an entry"
		s.stopEntry(entry)
	case 10:
		name = "planned stop of agent " + m.id
		s.stopAgent(m)
	case 11:
		name = "drain beside a frozen entry " + m.id
		s.drain(m, s.entries[entry])
	}
	s.t.Logf("%s %s: %s, %v", began.UTC().Format("15:04:05.000"), s.entries[entry].arguments[:13], name, time.Since(began).Round(time.Millisecond))
}

func freezeFor(p *process, d time.Duration) {
	p.freeze()
	time.Sleep(d)
	p.thaw()
}

func (s *requestScenario) leader() *process {
	var status operatorapi.Status
	if err := s.get(operatorapi.PathStatus, &status); err != nil || status.Leader == 0 {
		s.t.Fatal("no leader: ", err)
	}
	return s.controls[status.Leader-1]
}

// awaitServing waits until every instance runs, has announced itself and both
// entries are ready, so that a planned step is not blamed for an earlier fault.
func (s *requestScenario) awaitServing() {
	s.t.Helper()
	want := s.instances()
	for deadline := time.Now().Add(servingLimit); ; time.Sleep(100 * time.Millisecond) {
		var status operatorapi.Status
		err := s.get(operatorapi.PathStatus, &status)
		if err == nil && len(status.Services) == 1 && status.Services[0].BackendServers == want && s.entriesReady() {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("not all of the service is there within %v (%v): %+v", servingLimit, err, status)
		}
	}
}

// instances is how many instances the service has: 6 on 4 VMs.
func (s *requestScenario) instances() int { return (3*len(s.machines) + 1) / 2 }

func (s *requestScenario) entriesReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for _, address := range s.callersAt {
		response, err := client.Get("http://" + address + "/-/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// awaitAnswers waits until a request of each kind gets its answer through each entry.
func (s *requestScenario) awaitAnswers() {
	s.t.Helper()
	for _, kind := range []work{check, charge, keyed} {
		for entry := range s.entries {
			deadline := time.Now().Add(servingLimit)
			for {
				o := s.callers.newOrder(kind)
				if s.callers.send(o, o.token+"/0", entry).outcome == fault.OutcomeDone {
					break
				}
				if time.Now().After(deadline) {
					s.t.Fatalf("no %s is answered through entry %d within %v", kind, entry, servingLimit)
				}
			}
		}
	}
}

// sendSlow has requests in progress for slowRunMS.
func (s *requestScenario) sendSlow(entries ...int) {
	for i := range slowCalls {
		o := s.callers.newOrder([]work{check, charge, keyed}[i%3])
		o.runMS = slowRunMS
		s.callers.wait.Go(func() { s.callers.send(o, o.token+"/0", entries[i%len(entries)]) })
	}
	time.Sleep(restartPause)
}

func (s *requestScenario) stopEntry(entry int) {
	s.awaitServing()
	s.sendSlow(entry)
	stop := plannedStop{name: "entry", entry: entry, asked: time.Now()}
	stop.err = s.entries[entry].stop()
	stop.ended = time.Now()
	s.stops = append(s.stops, stop)
	s.entries[entry].start()
}

func (s *requestScenario) stopAgent(m *machine) {
	s.awaitServing()
	s.sendSlow(0, 1)
	stop := plannedStop{name: "agent", vm: m.id, asked: time.Now()}
	stop.err = m.agent.stop()
	stop.ended = time.Now()
	s.stops = append(s.stops, stop)
	s.closures = append(s.closures, closure{m.id, stop.asked.Add(leavingBound - drainBound), stop.ended})
	m.agent.start()
}

// drain drains a VM, and takes it in again, while an entry, if there is one, is
// frozen, which hears of the drain only when it goes on.
func (s *requestScenario) drain(m *machine, entry *process) {
	if entry != nil {
		s.awaitServing()
		entry.freeze()
	}
	path := operatorapi.PathVMs + url.PathEscape(m.id)
	var changed operatorapi.ChangeResult
	s.post(path+"/drain", operatorclient.NewChangeID("drain"), nil, &changed)
	acknowledged := time.Now()
	time.Sleep(drainBound + time.Second)
	if entry != nil {
		entry.thaw()
	}
	time.Sleep(2 * time.Second)
	s.closures = append(s.closures, closure{m.id, acknowledged, time.Now()})
	s.post(path+"/undrain", operatorclient.NewChangeID("undrain"), nil, &changed)
}
