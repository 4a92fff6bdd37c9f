package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
)

// backgroundLoad keeps callers sending until it is stopped, and counts what they got.
type backgroundLoad struct {
	stop   chan struct{}
	wait   sync.WaitGroup
	done   atomic.Int64
	failed atomic.Int64
	first  atomic.Value // error or answer of the first failure
}

func startBackground(h *harness, callers int) *backgroundLoad {
	b := &backgroundLoad{stop: make(chan struct{})}
	for c := range callers {
		b.wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-b.stop:
					return
				default:
				}
				charge := fmt.Sprintf("%d-%d", c, i)
				a, err := h.do("POST", "/ledger/charge", charge, nil)
				if err == nil && a.outcome == "done" && a.status == http.StatusOK {
					b.done.Add(1)
					continue
				}
				b.failed.Add(1)
				b.first.CompareAndSwap(nil, fmt.Sprintf("%+v %v", a, err))
			}
		})
	}
	return b
}

func (b *backgroundLoad) end() {
	close(b.stop)
	b.wait.Wait()
}

// await polls until ok returns true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(what)
}

func slowEcho(pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(pause)
		_, _ = w.Write(body)
	}
}

func TestPlannedStopOfAnAgentCutsNoRequest(t *testing.T) {
	specs := []backendSpec{{handler: slowEcho(20 * time.Millisecond)}, {handler: slowEcho(20 * time.Millisecond)}}
	h := newHarness(t, specs, nil)
	b := startBackground(h, 6)
	await(t, "no request was answered", func() bool { return b.done.Load() > 20 })
	leaving := h.agents[0]
	changed := proto.Clone(leaving.servers[0]).(*api.BackendServer)
	changed.Leaving = true
	leaving.servers = []*api.BackendServer{changed}
	h.announce()
	leaving.delivery.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := leaving.delivery.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	if err := leaving.delivery.Close(); err != nil {
		t.Fatal(err)
	}
	leaving.server.GracefulStop()
	before := b.done.Load()
	await(t, "no request was answered after the stop", func() bool { return b.done.Load() > before+20 })
	b.end()
	if b.failed.Load() > 0 {
		t.Errorf("%d requests failed, the first: %v", b.failed.Load(), b.first.Load())
	}
}

func TestPlannedStopOfAnEntryAnswersRequestsInProgress(t *testing.T) {
	started := make(chan struct{}, 4)
	h := newHarness(t, []backendSpec{{handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})}}, nil)
	answers := make(chan answer, 4)
	for range 4 {
		go func() {
			a, err := h.do("POST", "/ledger/charge", "x", nil)
			if err != nil {
				t.Error(err)
			}
			answers <- a
		}()
	}
	for range 4 {
		<-started
	}
	stopped := make(chan error, 1)
	go func() { stopped <- h.entry.Stop(context.Background()) }()
	await(t, "readiness did not fail", func() bool { return !h.entry.Ready() })
	for range 4 {
		if a := <-answers; a.body != "whole" || a.outcome != "done" {
			t.Errorf("got %+v", a)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestZoneOutOfServiceGetsNoNewRequests(t *testing.T) {
	var inKildare atomic.Int64
	specs := []backendSpec{
		{zone: "kildare", handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { inKildare.Add(1) })},
		{zone: "cork", handler: slowEcho(0)},
	}
	h := newHarness(t, specs, nil)
	b := startBackground(h, 2)
	defer b.end()
	await(t, "no request reached the zone", func() bool { return inKildare.Load() > 0 })
	h.control.update([]*api.Zone{{Name: "kildare"}, {Name: "cork", InService: true}},
		append(h.agents[0].servers, h.agents[1].servers...))
	await(t, "the entry did not take the update in", func() bool { return h.entry.directory.revision() == 2 })
	before, done := inKildare.Load(), b.done.Load()
	await(t, "no request was answered", func() bool { return b.done.Load() > done+20 })
	// Attempts that were on their way when the update came in may still arrive.
	if got := inKildare.Load() - before; got > 2 {
		t.Errorf("%d requests reached a zone that is out of service", got)
	}
}

func TestOlderDirectoryIsNotTakenIn(t *testing.T) {
	h := newHarness(t, []backendSpec{{handler: slowEcho(0)}}, nil)
	h.announce() // revision 2
	await(t, "the update was not taken in", func() bool { return h.entry.directory.revision() == 2 })
	if err := h.entry.directory.apply(fullUpdate(1, nil, nil)); err != nil {
		t.Error(err)
	}
	damaged := fullUpdate(3, nil, nil)
	damaged.Digest[0]++
	if err := h.entry.directory.apply(damaged); !fault.Is(err, fault.DataCorrupt) {
		t.Errorf("a damaged update: %v", err)
	}
	if err := h.entry.directory.apply(fullUpdate(1, nil, nil)); err != nil || h.entry.directory.revision() == 1 {
		t.Errorf("an older directory was taken in after a damaged one: %v", err)
	}
	if a, err := h.do("GET", "/ledger/x", "", nil); err != nil || a.status != http.StatusOK {
		t.Errorf("got %+v, %v", a, err)
	}
}

func TestBadCallersGetAClearAnswer(t *testing.T) {
	h := newHarness(t, []backendSpec{{handler: slowEcho(0)}}, func(c *Config) { c.MaxBody = 1 << 20 })
	for _, test := range []struct {
		name, body string
		headers    map[string]string
		status     int
	}{
		{"deadline that is no number", "", map[string]string{"Paddle-Deadline-Ms": "soon"}, 400},
		{"deadline that is too long", "", map[string]string{"Paddle-Deadline-Ms": "900001"}, 400},
		{"class that does not exist", "", map[string]string{"Paddle-Class": "vip"}, 400},
		{"idempotence that is neither", "", map[string]string{"Paddle-Idempotent": "maybe"}, 400},
		{"key that is too long", "", map[string]string{"Idempotency-Key": strings.Repeat("k", 257)}, 400},
		{"standing stream that is not idempotent", "", map[string]string{"Paddle-Stream": "standing"}, 400},
		{"body that is too large", strings.Repeat("b", 1<<20+1), nil, 413},
	} {
		t.Run(test.name, func(t *testing.T) {
			a, err := h.do("POST", "/ledger/x", test.body, test.headers)
			if err != nil || a.status != test.status || a.outcome != "not-run" || !strings.Contains(a.body, `"kind"`) {
				t.Errorf("got %+v, %v", a, err)
			}
		})
	}
}

func TestChunkedBodyThatIsTooLargeIsRefused(t *testing.T) {
	h := newHarness(t, []backendSpec{{handler: slowEcho(0)}}, func(c *Config) { c.MaxBody = 1 << 20 })
	body := io.MultiReader(strings.NewReader(strings.Repeat("b", 2<<20)))
	response, err := http.Post(h.url("/ledger/x"), "text/plain", io.NopCloser(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %d", response.StatusCode)
	}
}

func TestHalfSentBodyNeverRuns(t *testing.T) {
	var runs atomic.Int64
	h := newHarness(t, []backendSpec{{handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) })}}, nil)
	conn, err := net.Dial("tcp", h.entry.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "POST /ledger/charge HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	await(t, "the request did not arrive", func() bool { return h.entry.active.Load() == 1 })
	_ = conn.Close()
	await(t, "the request did not end", func() bool { return h.entry.active.Load() == 0 })
	if runs.Load() != 0 {
		t.Error("a request with half a body ran")
	}
}

func TestCallerThatTricklesItsBodyIsRefusedAtItsDeadline(t *testing.T) {
	var runs atomic.Int64
	h := newHarness(t, []backendSpec{{handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) })}}, nil)
	conn, err := net.Dial("tcp", h.entry.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	head := "POST /ledger/charge HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\nPaddle-Deadline-Ms: 300\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	trickling, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for timing.Sleep(trickling, 20*time.Millisecond) {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.Header.Get("Paddle-Outcome") != "not-run" || response.StatusCode != http.StatusGatewayTimeout || runs.Load() != 0 {
		t.Errorf("got %d %v after %d runs", response.StatusCode, response.Header, runs.Load())
	}
}

func TestAnswerMayTakeLongerThanACallerMayStall(t *testing.T) {
	h := newHarness(t, []backendSpec{{handler: slowEcho(500 * time.Millisecond)}}, func(c *Config) { c.CallerStall = 100 * time.Millisecond })
	for range 2 {
		a, err := h.do("POST", "/ledger/charge", "toll", nil)
		if err != nil || a.body != "toll" || a.outcome != "done" {
			t.Errorf("got %+v, %v", a, err)
		}
	}
}
