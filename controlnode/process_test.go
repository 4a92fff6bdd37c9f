package controlnode

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"amaranthpaddle/api"
	"amaranthpaddle/control"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
	"amaranthpaddle/transport"
)

// childEnvironment makes the test binary run as a control process. The variable
// holds the replica's id, its data folder and the addresses of all replicas.
const childEnvironment = "PADDLE_TEST_CONTROL"

const (
	replicas        = 3
	writers         = 4
	readers         = 2
	failures        = 9
	progressTimeout = 60 * time.Second
	failureInterval = 700 * time.Millisecond
	pauseDuration   = 1500 * time.Millisecond
	attemptTimeout  = 4 * time.Second // of one attempt at one call, over all replicas
)

func TestMain(m *testing.M) {
	if arguments := os.Getenv(childEnvironment); arguments != "" {
		runChild(strings.Split(arguments, " "))
		return
	}
	os.Exit(m.Run())
}

// runChild runs a control process. It inherits its listeners, so that a replica
// keeps its ports across restarts.
func runChild(arguments []string) {
	id, err := strconv.ParseUint(arguments[0], 10, 64)
	exitOn(err)
	listener, err := net.FileListener(os.NewFile(3, "listener"))
	exitOn(err)
	operator, err := net.FileListener(os.NewFile(4, "operator"))
	exitOn(err)
	_, err = Start(Config{
		ID: id, Peers: parsePeers(arguments[2:]), DataDir: arguments[1],
		Security: &transport.Security{}, Listener: listener, Operator: operator,
	})
	exitOn(err)
	// The parent holds the other end of standard input: this process ends with it.
	_, _ = os.Stdin.Read(make([]byte, 1))
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func parsePeers(pairs []string) map[uint64]control.Peer {
	peers := map[uint64]control.Peer{}
	for i, pair := range pairs {
		address, operator, _ := strings.Cut(pair, "/")
		peers[uint64(i+1)] = control.Peer{Address: address, OperatorAddress: operator}
	}
	return peers
}

// group is a control group whose replicas are separate processes.
type group struct {
	t         *testing.T
	dir       string
	pairs     []string
	operators []string
	addresses []string
	files     [replicas][2]*os.File
	processes [replicas]*exec.Cmd
}

func startGroup(t *testing.T) *group {
	g := &group{t: t, dir: t.TempDir()}
	for i := range replicas {
		address, file := listenInheritable(t)
		operatorAddress, operatorFile := listenInheritable(t)
		g.files[i] = [2]*os.File{file, operatorFile}
		g.pairs = append(g.pairs, address+"/"+operatorAddress)
		g.addresses = append(g.addresses, address)
		g.operators = append(g.operators, operatorAddress)
	}
	for i := range replicas {
		g.start(i)
	}
	t.Cleanup(g.stopAll)
	return g
}

func listenInheritable(t *testing.T) (string, *os.File) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close(); listener.Close() })
	return listener.Addr().String(), file
}

func (g *group) start(i int) {
	process := exec.Command(os.Args[0])
	arguments := append([]string{strconv.Itoa(i + 1), filepath.Join(g.dir, strconv.Itoa(i))}, g.pairs...)
	process.Env = append(os.Environ(), childEnvironment+"="+strings.Join(arguments, " "))
	process.ExtraFiles = g.files[i][:]
	process.Stderr = &bytes.Buffer{}
	if _, err := process.StdinPipe(); err != nil {
		g.t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		g.t.Fatal(err)
	}
	g.processes[i] = process
}

func (g *group) kill(i int) {
	_ = g.processes[i].Process.Kill()
	_ = g.processes[i].Wait()
}

func (g *group) pause(i int, d time.Duration) {
	_ = g.processes[i].Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = g.processes[i].Process.Signal(syscall.SIGCONT)
}

func (g *group) stopAll() {
	for i := range g.processes {
		g.kill(i)
		if g.t.Failed() {
			g.t.Logf("replica %d: %s", i+1, g.processes[i].Stderr)
		}
	}
}

// submitInput is the input of a recorded submission; a read has no input.
type submitInput struct {
	number uint64
	digest string
}

type submitOutput struct {
	kind   string // "accepted", "conflict", "stale"
	number uint64 // of a read
	digest string
}

// acceptedState is the model's state: the highest accepted number, and the
// digests of all accepted plans as "number=digest" items in order.
type acceptedState struct {
	latest   uint64
	accepted string
}

func (s acceptedState) digest(number uint64) (string, bool) {
	_, after, found := strings.Cut(s.accepted, fmt.Sprintf(";%d=", number))
	if !found {
		return "", false
	}
	digest, _, _ := strings.Cut(after, ";")
	return digest, true
}

// planModel is the sequential specification: the first content accepted under a
// number is kept, accepted numbers only increase, and a read returns the latest
// accepted plan.
var planModel = porcupine.Model{
	Init: func() any { return acceptedState{accepted: ";"} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(acceptedState), input, output.(submitOutput)
		submit, isSubmit := in.(submitInput)
		if !isSubmit {
			digest, _ := s.digest(s.latest)
			return out.number == s.latest && out.digest == digest, s
		}
		return stepSubmit(s, submit, out)
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepSubmit(s acceptedState, submit submitInput, out submitOutput) (bool, any) {
	first, known := s.digest(submit.number)
	switch {
	case known && first == submit.digest:
		return out.kind == "accepted", s
	case known:
		return out.kind == "conflict", s
	case submit.number <= s.latest:
		return out.kind == "stale", s
	default:
		next := acceptedState{submit.number, s.accepted + fmt.Sprintf("%d=%s;", submit.number, submit.digest)}
		return out.kind == "accepted", next
	}
}

// history records operations; it is safe for concurrent use.
type history struct {
	began time.Time
	mu    sync.Mutex
	list  []porcupine.Operation
}

func (h *history) add(client int, input any, call time.Time, output submitOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, porcupine.Operation{
		ClientId: client, Input: input, Output: output,
		Call: call.Sub(h.began).Nanoseconds(), Return: time.Since(h.began).Nanoseconds(),
	})
}

func (h *history) length() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.list)
}

// TestPlansAreLinearizableOverKilledAndFrozenProcesses kills and pauses randomly
// chosen processes of three control processes, while operators submit plans with
// equal and lower numbers concurrently, resend them after lost answers, and read.
func TestPlansAreLinearizableOverKilledAndFrozenProcesses(t *testing.T) {
	g := startGroup(t)
	h := &history{began: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var writing, wait sync.WaitGroup
	var number atomic.Uint64
	var stopped atomic.Bool
	for i := range writers {
		writing.Go(func() { write(ctx, g, h, i, &number, &stopped) })
	}
	for i := range readers {
		wait.Go(func() { read(ctx, g, h, writers+i) })
	}
	wait.Go(func() { watch(ctx, t, g) })
	awaitOperations(t, h, 1)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range failures {
		victim := random.IntN(replicas)
		if i%3 == 2 {
			g.pause(victim, pauseDuration)
		} else {
			g.kill(victim)
			time.Sleep(failureInterval)
			g.start(victim)
		}
		time.Sleep(failureInterval)
	}
	awaitOperations(t, h, h.length()+2*(writers+readers))
	// Writers end first and with a known outcome, so that no read sees a plan
	// that is not in the history.
	stopped.Store(true)
	writing.Wait()
	cancel()
	wait.Wait()
	t.Logf("%d operations", h.length())
	result, info := porcupine.CheckOperationsVerbose(planModel, h.list, progressTimeout)
	if result != porcupine.Ok {
		path := filepath.Join(t.TempDir(), "history.html")
		_ = porcupine.VisualizePath(planModel, info, path)
		t.Fatalf("the history of %d operations is %v", h.length(), result)
	}
}

// awaitOperations waits until the history has count operations. The group must
// make progress while a majority of its replicas runs.
func awaitOperations(t *testing.T, h *history, count int) {
	t.Helper()
	for deadline := time.Now().Add(progressTimeout); h.length() < count; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d operations within %v", h.length(), count, progressTimeout)
		}
	}
}

// write submits plans with a new number or with the latest number, which another
// writer may be using with other content.
func write(ctx context.Context, g *group, h *history, client int, number *atomic.Uint64, stopped *atomic.Bool) {
	random := rand.New(rand.NewPCG(uint64(client), 3))
	for !stopped.Load() {
		chosen := number.Load()
		if chosen == 0 || random.IntN(2) == 0 {
			chosen = number.Add(1)
		}
		content := random.IntN(2)
		submitUntilAnswered(ctx, g, h, client, chosen, content)
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// submitUntilAnswered resends a plan until its outcome is known, as an operator
// does after a lost answer. The operation lasts from the first attempt to the
// answer.
func submitUntilAnswered(ctx context.Context, g *group, h *history, client int, number uint64, content int) {
	day := smallPlan(number, content)
	body, err := day.Encode()
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(body)
	input := submitInput{number, hex.EncodeToString(sum[:])}
	operator := operatorclient.New(g.operators, &transport.Security{}, "")
	defer operator.Close()
	began := time.Now()
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		var accepted operatorapi.PlanResult
		err := operator.Post(attempt, operatorapi.PathPlan, operatorclient.PlanChangeID(day), body, &accepted)
		cancel()
		kind := ""
		switch {
		case err == nil:
			kind = "accepted"
		case fault.Is(err, fault.Conflict):
			kind = "conflict"
		case fault.Is(err, fault.Stale):
			kind = "stale"
		default:
			continue
		}
		h.add(client, input, began, submitOutput{kind: kind})
		return
	}
}

func smallPlan(number uint64, content int) *plan.DayPlan {
	return &plan.DayPlan{
		Number: number, Day: "2026-12-04", TimeZone: "UTC", LatencyWeight: float64(content) / 2,
		Zones: []plan.Zone{{Name: "a", Region: "r", InService: true}},
	}
}

func read(ctx context.Context, g *group, h *history, client int) {
	operator := operatorclient.New(g.operators, &transport.Security{}, "")
	defer operator.Close()
	for ctx.Err() == nil {
		began := time.Now()
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		var plan operatorapi.PlanInForce
		err := operator.Get(attempt, operatorapi.PathPlan, &plan)
		cancel()
		if err == nil {
			h.add(client, nil, began, submitOutput{number: plan.Number, digest: plan.Digest})
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// watch follows the directory at one replica after the other. The revision and the
// plan number must never decrease.
func watch(ctx context.Context, t *testing.T, g *group) {
	var revision, number uint64
	for next := 0; ctx.Err() == nil; next++ {
		connection, err := (&transport.Security{}).Dial(g.addresses[next%replicas])
		if err != nil {
			t.Error(err)
			return
		}
		once, cancel := context.WithTimeout(ctx, time.Second)
		stream, err := api.NewControlClient(connection).Watch(once, &api.WatchRequest{Watcher: "test", Kind: "entry", Revision: revision})
		for err == nil {
			var update *api.DirectoryUpdate
			if update, err = stream.Recv(); err != nil {
				break
			}
			if update.Revision < revision || (update.PlanNumber != 0 && update.PlanNumber < number) {
				t.Errorf("the directory went from revision %d plan %d back to %d plan %d",
					revision, number, update.Revision, update.PlanNumber)
			}
			revision, number = update.Revision, max(number, update.PlanNumber)
		}
		cancel()
		connection.Close()
	}
}
