package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
	"amaranthpaddle/routing"
)

// Budgets of extra attempts: tokens earned per first attempt, and the most that accumulate.
const (
	retryRatio   = 0.2
	retryBurst   = 20
	hedgeRatio   = 0.05
	hedgeBurst   = 5
	queueDivisor = 1 // the concurrency limit divided by this bounds the waiting requests
)

// service holds this entry's backend servers, limits and queue for one service.
type service struct {
	name      string
	queueTime time.Duration

	mu        sync.Mutex
	servers   map[string]*target
	backends  []*routing.Backend // of servers that accept new work
	objective time.Duration
	limit     *routing.Limit
	waiting   routing.ClassQueue[*waiter]
	running   int
	retries   *routing.Budget
	hedges    *routing.Budget
	latency   latencyWindow
}

// target is one backend server with its routing state. The fields do not change;
// what backend points to is guarded by the service's mu.
type target struct {
	server  *api.BackendServer
	backend *routing.Backend
	removed chan struct{} // closed when the server stops accepting new work
}

// waiter is a request that waits to be admitted. decided is closed when it is
// admitted, or displaced with the error in refused.
type waiter struct {
	class   request.Class
	decided chan struct{}
	refused error
}

func newService(name string, queueTime time.Duration) *service {
	return &service{
		name:      name,
		queueTime: queueTime,
		servers:   make(map[string]*target),
		limit:     routing.NewLimit(1),
		retries:   routing.NewBudget(retryRatio, retryBurst),
		hedges:    routing.NewBudget(hedgeRatio, hedgeBurst),
	}
}

// setPolicy applies the plan's policy for the service.
func (s *service) setPolicy(policy *api.ServicePolicy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objective = time.Duration(policy.ObjectiveMs * float64(time.Millisecond))
}

// update replaces the backend servers that accept new work.
func (s *service) update(servers []*api.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[string]*target, len(servers))
	s.backends = nil
	ceiling := 0
	for _, server := range servers {
		t := s.targetFor(server)
		kept[server.Id] = t
		s.backends = append(s.backends, t.backend)
		ceiling += 2 * t.backend.Slots
	}
	for id, t := range s.servers {
		if now, ok := kept[id]; !ok || now.removed != t.removed {
			close(t.removed)
		}
	}
	s.servers = kept
	s.limit.SetCeiling(ceiling)
	s.admitNext()
}

// targetFor returns the target of an announced backend server. A known server of
// the same incarnation keeps its routing state.
func (s *service) targetFor(server *api.BackendServer) *target {
	slots := max(int(server.Slots), 1)
	known, ok := s.servers[server.Id]
	if ok && known.server.Incarnation == server.Incarnation {
		known.backend.Slots = slots
		return &target{server: server, backend: known.backend, removed: known.removed}
	}
	return &target{
		server:  server,
		backend: &routing.Backend{ID: server.Id, Zone: server.Zone, Slots: slots},
		removed: make(chan struct{}),
	}
}

// admit waits until the request may run. Errors: fault.Overloaded, fault.DeadlineNotRun.
func (s *service) admit(ctx context.Context, class request.Class) error {
	t, err := s.enqueue(class)
	if err != nil || t == nil {
		return err
	}
	timer := time.NewTimer(s.queueTime)
	defer timer.Stop()
	select {
	case <-t.decided:
		return t.refused
	case <-timer.C:
		err = fault.New(fault.Overloaded, "the request waited too long for its turn")
	case <-ctx.Done():
		err = fault.New(fault.DeadlineNotRun, "the deadline passed before the request got its turn")
	}
	s.mu.Lock()
	removed := s.waiting.Remove(class, t)
	s.mu.Unlock()
	if !removed && t.refused == nil {
		s.release()
	}
	return err
}

func (s *service) enqueue(class request.Class) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.ObserveFirst()
	s.hedges.ObserveFirst()
	if s.running < s.limit.Current() && s.waiting.Len() == 0 {
		s.running++
		return nil, nil
	}
	t := &waiter{class: class, decided: make(chan struct{})}
	displaced, pushed := s.waiting.Push(class, t, s.limit.Current()/queueDivisor)
	if !pushed {
		return nil, fault.New(fault.Overloaded, "too many requests wait for this service")
	}
	if displaced != nil {
		displaced.refused = fault.New(fault.Overloaded, "displaced by an interactive caller")
		close(displaced.decided)
	}
	return t, nil
}

// release ends an admitted request and admits the next waiting ones.
func (s *service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.admitNext()
}

func (s *service) admitNext() {
	for s.running < s.limit.Current() {
		t, ok := s.waiting.Pop()
		if !ok {
			return
		}
		s.running++
		close(t.decided)
	}
}

// pick chooses a backend server and counts the attempt there. It returns
// fault.NoBackend when there is none left.
func (s *service) pick(info routing.PickInfo) (*target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := routing.Pick(time.Now(), globalRandom, s.backends, info)
	if chosen == nil {
		return nil, fault.New(fault.NoBackend, "no backend server takes the request")
	}
	if info.Standing {
		chosen.BeginStanding()
	} else {
		chosen.Begin()
	}
	return s.servers[chosen.ID], nil
}

// globalRandom draws from the runtime's random source, which is safe for concurrent use.
var globalRandom = rand.New(runtimeSource{})

type runtimeSource struct{}

// Uint64 implements rand.Source.
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

// observe records the result of an attempt at t.
func (s *service) observe(t *target, standing bool, result *result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if standing {
		t.backend.EndStanding()
	} else {
		t.backend.End()
	}
	if result.load != nil {
		t.backend.ReportLoad(now, int(result.load.Running+result.load.Waiting))
	}
	if result.err != nil {
		s.observeError(now, t, fault.KindOf(result.err))
		return
	}
	t.backend.ObserveResult(now, result.status >= 500)
	if standing || result.standing {
		return
	}
	if result.status < 500 {
		t.backend.ObserveLatency(now, result.backendTime)
		s.latency.add(result.took)
	}
	s.limit.ObserveAnswer(s.running)
}

func (s *service) observeError(now time.Time, t *target, kind fault.Kind) {
	switch kind {
	case fault.Overloaded:
		s.limit.ObserveOverload()
	case fault.ConnectionLost, fault.AnswerDamaged, fault.BackendUnavailable, fault.DeadlineUnknown:
		t.backend.ObserveResult(now, true)
	}
}

// observeLoad records a load that an agent reported between answers.
func (s *service) observeLoad(server string, load *api.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.servers[server]; ok {
		t.backend.ReportLoad(time.Now(), int(load.Running+load.Waiting))
	}
}

// latencyObjective returns the service's objective, or the maximum duration when it has none.
func (s *service) latencyObjective() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objective == 0 {
		return math.MaxInt64
	}
	return s.objective
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (s *service) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take()
}

// takeHedge takes one hedge from the budget and reports whether there was one.
func (s *service) takeHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedges.Take()
}

// hedgeDelay returns the recent 95th percentile of latency. It is 0 while that is
// not known, requests wait to be admitted or there are fewer than 2 backend servers.
func (s *service) hedgeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting.Len() > 0 || len(s.backends) < 2 {
		return 0
	}
	return s.latency.p95()
}
