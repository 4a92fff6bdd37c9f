package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthpaddle/fault"
)

// Sizes and times of a run.
const (
	controls   = 3
	entries    = 2
	zones      = 3
	callers    = 4                // half of them at each queue
	grace      = 3 * time.Second  // between SIGTERM and SIGKILL
	startLimit = 20 * time.Second // for the programs to serve at first
	settleTime = 60 * time.Second // for all jobs to end once the faults are over
)

// run is one deployment with its callers, its operator and its faults.
type run struct {
	seed        uint64
	epoch       time.Time // when it was set up
	load        string
	random      *rand.Rand
	restarts    *rand.Rand // of the schedule of restarts
	orders      *rand.Rand // of the schedule of faults around orders
	recuts      *rand.Rand // of the schedule of restarts before a cut
	folder      string
	programs    string
	check       *checker
	faults      atomic.Int64
	disturbedAt atomic.Int64 // when a fault last began or ended, in Unix nanoseconds
	began       time.Time

	control      []*process
	controlLinks []*proxy
	operators    []string // addresses of the control processes
	entries      []*process
	entryLinks   []*proxy
	agents       []*process
	agentAddress []string
	workers      []*worker
	callers      []*caller
	operator     *operator

	ordering sync.Mutex // held during a series of orders around a pause

	mu       sync.Mutex
	zonesOut map[string]time.Time // since when their going out was acknowledged
	wiped    time.Time            // when a control process last lost its disk
	busy     sync.WaitGroup       // faults in progress
}

func newRun(seed uint64, load, folder, programs string) (*run, error) {
	r := &run{
		seed: seed, load: load, epoch: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), restarts: rand.New(rand.NewPCG(seed, 4)), orders: rand.New(rand.NewPCG(seed, 5)), recuts: rand.New(rand.NewPCG(seed, 6)), folder: folder, programs: programs, check: newChecker(maxAttempts),
		zonesOut: map[string]time.Time{},
	}
	if err := r.deploy(); err != nil {
		return nil, err
	}
	var addresses []string
	for _, link := range r.entryLinks {
		addresses = append(addresses, link.address)
	}
	for i := range callers {
		r.callers = append(r.callers, newCaller(seed*100+uint64(i), queuePrefixes[i%len(queuePrefixes)], addresses, r.check))
	}
	r.operator = newOperator(seed, r.operators, r.check)
	return r, nil
}

// addresses returns distinct loopback addresses that nothing listens on, and that nothing
// else of this process is given.
func addresses(n int) ([]string, error) {
	var list []string
	for range n {
		listener, err := listenAnywhere()
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		list = append(list, fmt.Sprint(listener.Addr()))
	}
	return list, nil
}

// deploy writes the settings and prepares all processes and links.
func (r *run) deploy() error {
	listen, err := addresses(controls*2 + entries*2 + 2*r.workerCount())
	if err != nil {
		return err
	}
	next := func() string {
		address := listen[0]
		listen = listen[1:]
		return address
	}
	var inner, seeds []string
	for range controls {
		address := next()
		link, err := newProxy(address)
		if err != nil {
			return err
		}
		inner, seeds = append(inner, address), append(seeds, link.address)
		r.controlLinks = append(r.controlLinks, link)
		r.operators = append(r.operators, next())
	}
	for i := range controls {
		p, err := newProcess(fmt.Sprintf("control-%d", i), filepath.Join(r.programs, "paddle-jobcontrol"), r.folder,
			r.controlSettings(i, seeds, inner[i], true))
		if err != nil {
			return err
		}
		r.control = append(r.control, p)
	}
	for i := range entries {
		address := next()
		link, err := newProxy(address)
		if err != nil {
			return err
		}
		p, err := newProcess(fmt.Sprintf("entry-%d", i), filepath.Join(r.programs, "paddle-jobentry"), r.folder,
			common(fmt.Sprintf("entry-%d", i), i, seeds)+fmt.Sprintf("[listen]\ncallers = %s\nreadiness = %s\n", address, next()))
		if err != nil {
			return err
		}
		r.entries, r.entryLinks = append(r.entries, p), append(r.entryLinks, link)
	}
	for i := range r.workerCount() {
		if err := r.deployWorker(i, seeds, next(), next()); err != nil {
			return err
		}
	}
	return nil
}

func common(name string, zone int, seeds []string) string {
	return fmt.Sprintf("[process]\nname = %s\nzone = z%d\nregion = r\n[tls]\ninsecure = true\n[limits]\nmemory = 128MiB\ngrace = 2s\n"+
		"[control]\nseeds = %s\n", name, zone, strings.Join(seeds, ","))
}

func (r *run) controlSettings(i int, seeds []string, listen string, first bool) string {
	return common(fmt.Sprintf("control-%d", i), i, seeds) + fmt.Sprintf("data_folder = %s\nfirst_start = %v\ntolerated_losses = 1\nadvertised = %s\n"+
		"[listen]\ncontrol = %s\noperators = %s\n[leases]\nlimit = %s\n"+
		"[scheduling]\nadmission = forecast\nfair_shares = true\n%s",
		r.dataFolder(i), first, seeds[i], listen, r.operators[i], longestLease, r.schedulingSettings())
}

func (r *run) schedulingSettings() string {
	if r.load == mixedLoad {
		return "remote_penalty = 1.5\n" // as in deploy/control.ini
	}
	return "reservations = 8\npreemption = true\n"
}

func (r *run) dataFolder(i int) string { return filepath.Join(r.folder, fmt.Sprintf("data-%d", i)) }

func (r *run) deployWorker(i int, seeds []string, agentAddress, address string) error {
	name := fmt.Sprintf("agent-%d", i)
	p, err := newProcess(name, filepath.Join(r.programs, "paddle-jobagent"), r.folder,
		common(name, i%zones, seeds)+fmt.Sprintf("[listen]\nworker = %s\n[leases]\nlimit = %s\n", agentAddress, longestLease))
	if err != nil {
		return err
	}
	zone, milliCPU, memoryMB := zoneName(i%zones), int64(workerCapacity), int64(workerMemoryMB)
	if r.load == mixedLoad {
		milliCPU, memoryMB = mixedCapacity[i%len(mixedCapacity)], mixedMemoryMB
	}
	r.agents, r.agentAddress = append(r.agents, p), append(r.agentAddress, agentAddress)
	r.workers = append(r.workers, &worker{
		id: fmt.Sprintf("w-%d", i), zone: zone, agent: agentAddress, address: address, check: r.check, note: r.note,
		epoch: r.epoch, noise: latencyNoises[r.seed%uint64(len(latencyNoises))], milliCPU: milliCPU, memoryMB: memoryMB, rack: fmt.Sprintf("r-%s-%d", zone, i/zones/rackSize), order: p.calm, out: func() bool { return r.zoneOut(zone) },
	})
	return nil
}

// zoneOut reports whether orders for a zone should long have ended.
func (r *run) zoneOut(zone string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, out := r.zonesOut[zone]
	return out && time.Since(since) > calmAfter
}

func (r *run) processes() []*process {
	return slices.Concat(r.control, r.entries, r.agents)
}

// begin starts everything and waits for a configuration to be taken.
func (r *run) begin() error {
	for i := range controls {
		if err := os.MkdirAll(r.dataFolder(i), 0o755); err != nil {
			return fault.Wrap(fault.StorageFailed, err, "data folder")
		}
	}
	for _, p := range r.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, w := range r.workers {
		if err := w.begin(); err != nil {
			return err
		}
	}
	r.began = time.Now()
	if !r.operator.configureWithin(startLimit) {
		return fault.New(fault.Internal, "no configuration was taken at the start")
	}
	for i, p := range r.control {
		// Whatever starts from now on is no first start.
		settings, err := os.ReadFile(p.settings)
		if err != nil || p.configure(strings.Replace(string(settings), "first_start = true", "first_start = false", 1)) != nil {
			return fault.Newf(fault.StorageFailed, "settings of control %d can't be changed", i)
		}
	}
	return nil
}

// play starts everything, disturbs it for a time, waits for all jobs to end,
// and returns what promises were broken.
func (r *run) play(disturbed time.Duration, faults string) []string {
	if err := r.begin(); err != nil {
		return []string{err.Error()}
	}
	stop, settled := make(chan struct{}), make(chan struct{})
	var loops, watching sync.WaitGroup
	if r.load == mixedLoad {
		watching.Go(func() { r.watchStandstills(settled) })
	}
	r.submitJobs(&loops, stop)
	loops.Go(func() { r.operator.run(stop) })
	r.disturbAll(disturbed, faults)
	r.busy.Wait()
	close(stop)
	loops.Wait()
	r.settle()
	close(settled)
	watching.Wait()
	return r.check.finish()
}

// submitJobs starts the callers of the run's load, until stop is closed.
func (r *run) submitJobs(loops *sync.WaitGroup, stop chan struct{}) {
	if r.load == wideLoad {
		for _, c := range r.callers {
			loops.Go(func() { c.run(stop) })
		}
		return
	}
	if r.load == longLoad {
		for _, c := range r.callers {
			loops.Go(func() { c.runLong(stop) })
		}
		return
	}
	loops.Go(func() { r.callers[0].runMixed(stop, shortJobRate/2, 1.6, shortGroup) })
	loops.Go(func() { r.callers[2].runMixed(stop, shortJobRate/2, 1.6, shortGroup) })
	loops.Go(func() { r.callers[1].runMixed(stop, workJobRate, 2, workGroup) })
	loops.Go(func() { r.callers[3].runServices(stop) })
}

// workerCount returns the number of workers of the run's load.
func (r *run) workerCount() int {
	switch r.load {
	case mixedLoad:
		return mixedWorkers
	case longLoad:
		return longWorkers
	}
	return zones
}

// settle waits for all accepted jobs to end, and reads the configuration back.
func (r *run) settle() {
	for limit := time.Now().Add(settleTime); time.Now().Before(limit); time.Sleep(200 * time.Millisecond) {
		for _, c := range r.callers {
			c.lookAtOpen(len(c.open))
		}
		if r.load == mixedLoad && !r.anyOpen() && r.operator.read() {
			break // services last
		}
		if len(r.check.unfinished()) == 0 && r.operator.read() {
			break
		}
	}
	for _, p := range r.processes() {
		if !p.running() {
			r.check.endedByItself(p.name)
		}
	}
}

// anyOpen reports whether a caller waits for a job to end.
func (r *run) anyOpen() bool {
	return slices.ContainsFunc(r.callers, func(c *caller) bool { return len(c.open) > 0 })
}

func (r *run) close() {
	for _, w := range r.workers {
		w.crash(false)
	}
	for _, p := range r.processes() {
		p.end(syscall.SIGKILL, grace)
		p.log.Close()
	}
	for _, link := range slices.Concat(r.controlLinks, r.entryLinks) {
		link.close()
	}
}
