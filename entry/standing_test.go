package entry

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
)

// counter is a stand-in backend server for standing streams: it sends numbered events from the one
// after Last-Event-ID, each in two writes.
type counter struct {
	mu   sync.Mutex
	open int
}

func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.open++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	flusher := w.(http.Flusher)
	for i := last + 1; ; i++ {
		fmt.Fprintf(w, "id: %d\n", i)
		flusher.Flush()
		if fmt.Fprintf(w, "data: event %d\n\n", i); r.Context().Err() != nil {
			return
		}
		flusher.Flush()
		select {
		case <-time.After(2 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

func (c *counter) openStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// watch opens a standing stream and returns its reader.
func watch(t *testing.T, h *harness) (*bufio.Reader, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "GET", h.url("/ledger/sync"), nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Accept", "text/event-stream")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	return bufio.NewReader(response.Body), func() {
		cancel()
		_ = response.Body.Close()
	}
}

// readEvents reads n events and checks that they are whole and follow on first.
func readEvents(t *testing.T, reader *bufio.Reader, first, n int) {
	t.Helper()
	for i := first; i < first+n; i++ {
		for _, want := range []string{fmt.Sprintf("id: %d\n", i), fmt.Sprintf("data: event %d\n", i), "\n"} {
			line, err := reader.ReadString('\n')
			if err != nil || line != want {
				t.Fatalf("event %d: got %q, %v, want %q", i, line, err, want)
			}
		}
	}
}

func TestStandingStreamMovesOnADrainWithoutLosingAMessage(t *testing.T) {
	counters := []*counter{{}, {}}
	h := newHarness(t, []backendSpec{{handler: counters[0], zone: "kildare"}, {handler: counters[1], zone: "cork"}}, nil)
	reader, stop := watch(t, h)
	defer stop()
	readEvents(t, reader, 1, 20)
	first := 0
	if counters[1].openStreams() == 1 {
		first = 1
	}
	h.agents[first].delivery.Drain()
	readEvents(t, reader, 21, 200)
	if counters[first].openStreams() != 0 {
		t.Error("the stream is still open at the drained backend server")
	}
}

func TestStandingStreamLeavesAZoneThatIsOutOfService(t *testing.T) {
	counters := []*counter{{}, {}}
	h := newHarness(t, []backendSpec{{handler: counters[0], zone: "kildare"}, {handler: counters[1], zone: "cork"}}, nil)
	reader, stop := watch(t, h)
	defer stop()
	readEvents(t, reader, 1, 20)
	first := 0
	if counters[1].openStreams() == 1 {
		first = 1
	}
	var servers []*api.BackendServer
	for _, a := range h.agents {
		servers = append(servers, a.servers...)
	}
	h.control.update([]*api.Zone{
		{Name: h.agents[first].zone, InService: false}, {Name: h.agents[1-first].zone, InService: true},
	}, servers)
	readEvents(t, reader, 21, 200)
}

func TestStandingStreamEndsAtAMessageBoundaryWhenTheEntryStops(t *testing.T) {
	h := newHarness(t, []backendSpec{{handler: &counter{}}}, func(c *Config) { c.DrainNotice = 50 * time.Millisecond })
	reader, stop := watch(t, h)
	defer stop()
	readEvents(t, reader, 1, 20)
	stopped := make(chan error, 1)
	go func() { stopped <- h.entry.Stop(context.Background()) }()
	var rest strings.Builder
	if _, err := reader.WriteTo(&rest); err != nil {
		t.Fatalf("the stream was cut: %v", err)
	}
	if !strings.HasSuffix(rest.String(), "\n\n") {
		t.Errorf("the stream ended inside a message: %q", rest.String()[max(rest.Len()-40, 0):])
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestStandingStreamsLeaveConnectionsForRequests(t *testing.T) {
	h := newHarness(t, []backendSpec{{handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Accept") != "" {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		echo(w, r)
	})}}, nil)
	refused := 0
	for range 64 {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r, _ := http.NewRequestWithContext(ctx, "GET", h.url("/ledger/sync"), nil)
		r.Header.Set("Accept", "text/event-stream")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusTooManyRequests {
			refused++
		}
	}
	if refused != 16 {
		t.Errorf("%d of 64 standing streams were refused, want 16", refused)
	}
	if a, err := h.do("GET", "/ledger/x", "", nil); err != nil || a.status != 200 {
		t.Errorf("a request beside the standing streams got %+v, %v", a, err)
	}
}

func TestOnlyCompleteMessagesArePassedOnHoweverTheStreamIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.Bool().Draw(t, "events")
		text := rapid.StringMatching(`(id: [0-9]\n|data: x\n|\r\n|\n){0,20}`).Draw(t, "text")
		f := messageFilter{events: events}
		var passed strings.Builder
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			passed.Write(f.complete(rest[:n]))
			rest = rest[n:]
			got := passed.String()
			complete := got == "" || strings.HasSuffix(got, "\n\n") || strings.HasSuffix(got, "\r\n\r\n")
			if !events {
				complete = got == "" || strings.HasSuffix(got, "\n")
			}
			if !complete {
				t.Fatalf("%q was passed on of %q", got, text)
			}
		}
		if got := passed.String() + string(f.pending); got != text {
			t.Fatalf("%q became %q", text, got)
		}
		separator := "\n"
		if events {
			separator = "\n\n"
		}
		if strings.Contains(string(f.pending), separator) {
			t.Fatalf("%q is held back of %q", f.pending, text)
		}
	})
}

func TestAnswerMarkedAsStandingHasNoDeadlineAndEndsWhole(t *testing.T) {
	h := newHarness(t, []backendSpec{{handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Paddle-Stream", "standing")
		for i := range 3 {
			fmt.Fprintf(w, "row %d\n", i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
		fmt.Fprint(w, "end")
	})}}, nil)
	a, err := h.do("GET", "/ledger/rows", "", map[string]string{"Paddle-Deadline-Ms": "150"})
	if err != nil || a.body != "row 0\nrow 1\nrow 2\nend" {
		t.Errorf("got %+v, %v", a, err)
	}
}
