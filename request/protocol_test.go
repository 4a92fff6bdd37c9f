package request

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/fault"
)

// simulation is a run of the request protocol: entries send attempts of one
// non-idempotent request to agents over a network that loses, duplicates and
// reorders messages, while agents pause between admission and start, and restart.
type simulation struct {
	now     time.Duration
	agents  []*agentModel
	callers []*callerModel
	network []message
	claims  map[string]claimModel
	runs    []string        // attempts that ran, in order
	arrived map[string]bool // attempts of which a copy has reached an agent
	lastID  int
	keyed   bool
}

type agentModel struct {
	incarnation int
	table       *Table[string]
	ready       []admittedAttempt // admitted and not started; in a keyed simulation, with the claim
}

type admittedAttempt struct {
	attempt  string
	deadline time.Duration
}

type claimModel struct {
	attempt     string
	agent       int
	incarnation int
}

// callerModel is a request at one entry. If the simulation is keyed, all callers use
// the same idempotency key.
type callerModel struct {
	progress   Progress
	last       claimModel
	deadline   time.Duration
	claimAfter string
	attempts   int
	outcome    fault.Outcome
	answer     string
}

type message struct {
	kind        string // deliver, lookup
	caller      int
	agent       int
	incarnation int
	attempt     string
	deadline    time.Duration
	claimAfter  string
	fence       bool
}

const (
	modelDeadline  = 10 * time.Second
	modelRetention = 5 * time.Second
)

func newSimulation(callers int, keyed bool) *simulation {
	s := &simulation{claims: make(map[string]claimModel), arrived: make(map[string]bool), keyed: keyed}
	for range 2 {
		s.agents = append(s.agents, &agentModel{incarnation: 1, table: newModelTable()})
	}
	for range callers {
		s.callers = append(s.callers, &callerModel{})
	}
	return s
}

func newModelTable() *Table[string] {
	return NewTable[string](Limits{Attempts: 64, Bytes: 1 << 10, Reserve: 8, Retention: modelRetention})
}

// send sends a new attempt to an agent.
func (s *simulation) send(caller, agent int) {
	c := s.callers[caller]
	s.lastID++
	c.attempts++
	if c.deadline == 0 {
		c.deadline = s.now + modelDeadline
	}
	c.last = claimModel{attempt: fmt.Sprintf("a%d", s.lastID), agent: agent, incarnation: s.agents[agent].incarnation}
	s.network = append(s.network, message{kind: "deliver", caller: caller, agent: agent,
		incarnation: c.last.incarnation, attempt: c.last.attempt, deadline: c.deadline, claimAfter: c.claimAfter})
}

// handleError handles an attempt's error at its entry.
func (s *simulation) handleError(t *rapid.T, caller int, err error, holder *claimModel) {
	c := s.callers[caller]
	if holder != nil {
		c.last = *holder
	}
	switch c.progress.AfterAttempt(err) {
	case StepSend:
		s.resend(t, caller, err)
	case StepLookup:
		s.sendLookup(caller, true)
	case StepLookupHolder:
		s.sendLookup(caller, false)
	default:
		s.finish(caller, err)
	}
}

func (s *simulation) sendLookup(caller int, fence bool) {
	c := s.callers[caller]
	s.network = append(s.network, message{kind: "lookup", caller: caller, agent: c.last.agent,
		incarnation: c.last.incarnation, attempt: c.last.attempt, deadline: c.deadline, fence: fence})
}

func (s *simulation) resend(t *rapid.T, caller int, err error) {
	c := s.callers[caller]
	if c.attempts >= 5 || s.now >= c.deadline {
		s.finish(caller, err)
		return
	}
	s.send(caller, rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent"))
}

func (s *simulation) finish(caller int, err error) {
	c := s.callers[caller]
	c.outcome = fault.KindOf(c.progress.Final(err)).Answer().Outcome
}

// deliver hands a message to its agent. The reply reaches the entry only if the
// entry still waits for this attempt and the reply is not lost.
func (s *simulation) deliver(t *rapid.T, m message, replyLost bool) {
	a := s.agents[m.agent]
	current := s.callers[m.caller]
	replyArrives := current.outcome == "" && current.last.attempt == m.attempt && !replyLost
	if m.kind == "lookup" {
		s.lookup(t, a, m, replyArrives)
		return
	}
	// The entry sends an attempt once, and the reply comes on the stream that
	// carried it. A duplicate made by the network has no reply.
	replyArrives = replyArrives && !s.arrived[m.attempt]
	s.arrived[m.attempt] = true
	if holder, err := s.admit(a, m); err != nil {
		if replyArrives {
			s.handleError(t, m.caller, err, holder)
		}
		return
	}
	a.ready = append(a.ready, admittedAttempt{m.attempt, m.deadline})
}

func (s *simulation) admit(a *agentModel, m message) (*claimModel, error) {
	if m.incarnation != a.incarnation {
		return nil, fault.New(fault.NoBackend, "other incarnation")
	}
	if err := a.table.Begin(s.now, m.attempt, m.deadline, modelRetention, ""); err != nil {
		if fault.Is(err, fault.Conflict) {
			return nil, fault.New(fault.ConnectionLost, "a duplicate message gets no reply of its own")
		}
		return nil, err
	}
	if !s.keyed {
		return nil, nil
	}
	key := "k/" + m.claimAfter
	held, ok := s.claims[key]
	if !ok {
		held = claimModel{m.attempt, m.agent, m.incarnation}
		s.claims[key] = held
	}
	if held.attempt == m.attempt {
		return nil, nil
	}
	a.table.Abandon(s.now, m.attempt)
	return &held, fault.New(fault.KeyInUse, "claimed")
}

func (s *simulation) lookup(t *rapid.T, a *agentModel, m message, replyArrives bool) {
	state, answer := Unknown, ""
	if m.incarnation == a.incarnation {
		state, answer, _ = a.table.Lookup(s.now, m.attempt, m.deadline, m.fence)
	}
	if !replyArrives {
		return
	}
	c := s.callers[m.caller]
	if state == Finished {
		c.outcome, c.answer = fault.OutcomeDone, answer
		return
	}
	if state == Fenced && !m.fence {
		c.claimAfter = m.attempt
	}
	if c.progress.AfterLookup(state) == StepSend {
		s.resend(t, m.caller, fault.New(fault.Fenced, "fenced"))
		return
	}
	s.finish(m.caller, fault.New(fault.ConnectionLost, "no answer"))
}

// start runs an admitted attempt if the agent's table allows it.
func (s *simulation) start(agent, i int) {
	a := s.agents[agent]
	d := a.ready[i]
	a.ready = append(a.ready[:i:i], a.ready[i+1:]...)
	if a.table.Start(s.now, d.attempt) != nil {
		return
	}
	if s.now >= d.deadline {
		panic("started after its deadline")
	}
	s.runs = append(s.runs, d.attempt)
	record := a.table.records[d.attempt]
	record.answer = "answer of " + d.attempt
	a.table.Finish(s.now, d.attempt, 4)
}

func (s *simulation) restart(agent int) {
	a := s.agents[agent]
	a.incarnation++
	a.table = newModelTable()
	a.ready = nil
}

func (s *simulation) check(t *rapid.T) {
	if s.keyed || len(s.callers) == 1 {
		if len(s.runs) > 1 {
			t.Fatalf("a non-idempotent request ran %d times: %v", len(s.runs), s.runs)
		}
	}
	for i, c := range s.callers {
		if c.outcome == fault.OutcomeNotRun && len(s.runs) > 0 && len(s.callers) == 1 {
			t.Fatalf("caller %d was told not-run, but %v ran", i, s.runs)
		}
		if c.outcome == fault.OutcomeDone && c.answer != "answer of "+s.runs[0] {
			t.Fatalf("caller %d got %q, but %v ran", i, c.answer, s.runs)
		}
	}
}

func runSimulation(t *rapid.T, callers int, keyed bool) {
	s := newSimulation(callers, keyed)
	for i := range s.callers {
		s.send(i, 0)
	}
	t.Repeat(map[string]func(*rapid.T){
		"": s.check,
		"deliver, lose or duplicate a message": func(t *rapid.T) {
			if len(s.network) == 0 {
				t.Skip("no message in the network")
			}
			i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
			m := s.network[i]
			fate := rapid.IntRange(0, 3).Draw(t, "fate")
			if fate != 3 { // 3 leaves a duplicate in the network
				s.network = append(s.network[:i:i], s.network[i+1:]...)
			}
			if fate != 2 { // 2 loses the message
				s.deliver(t, m, fate == 1) // 1 loses the reply
			}
		},
		"start an attempt": func(t *rapid.T) {
			agent := rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent")
			if len(s.agents[agent].ready) == 0 {
				t.Skip("nothing to start")
			}
			s.start(agent, rapid.IntRange(0, len(s.agents[agent].ready)-1).Draw(t, "attempt"))
		},
		"entry loses the connection": func(t *rapid.T) {
			caller := rapid.IntRange(0, len(s.callers)-1).Draw(t, "caller")
			if s.callers[caller].outcome != "" {
				t.Skip("answered")
			}
			s.handleError(t, caller, fault.New(fault.ConnectionLost, "lost"), nil)
		},
		"time passes": func(t *rapid.T) {
			s.now += time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond
		},
		"agent restarts": func(t *rapid.T) {
			s.restart(rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent"))
		},
	})
}

func TestNonIdempotentRequestRunsAtMostOnceAndNotRunIsCorrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, 1, false) })
}

func TestSameKeyThroughThreeEntriesRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, 3, true) })
}
