package limit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/fault"
)

// Guards against unfinished bodies that take the room of those which arrive beside them.
func TestTheBodyThatHeldMostForLongestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(16 << 20)
		var abandoned []string
		reserve := func(name string, n int64) *Reservation {
			var r *Reservation
			r = budget.Reserve(time.Now(), func() {
				abandoned = append(abandoned, name)
				go r.Release()
			})
			if err := r.Take(n); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			return r
		}
		reserve("small", 1<<10)
		reserve("complete", 6<<20).Complete()
		reserve("older", 3<<20)
		time.Sleep(time.Second)
		reserve("younger", 3<<20)
		time.Sleep(time.Second)
		reserve("next", 1<<20)
		if got := strings.Join(abandoned, " "); got != "older" {
			t.Errorf("abandoned: %q, want the older one", got)
		}
	})
}

// Guards against a budget that large bodies use up, complete or not, before small ones come.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	budget := NewBudget(16 << 20)
	large := budget.Reserve(time.Now(), func() {})
	if err := large.Take(13 << 20); !fault.Is(err, fault.TooLarge) {
		t.Errorf("13 of 16 MiB: %v, want %v", err, fault.TooLarge)
	}
	if err := large.Take(12 << 20); err != nil {
		t.Fatal(err)
	}
	large.Complete()
	if err := budget.Reserve(time.Now(), func() {}).Take(1 << 20); !fault.Is(err, fault.Overloaded) {
		t.Errorf("another large body: %v, want %v", err, fault.Overloaded)
	}
	if err := budget.Reserve(time.Now(), func() {}).Take(smallBody); err != nil {
		t.Errorf("a small body: %v", err)
	}
	if large.Release(); budget.Used() != smallBody {
		t.Errorf("%d bytes in use", budget.Used())
	}
}

// Guards against bodies inside the limits that are refused, and others that are taken or kept.
func TestBodiesAreReadWholeOrRefused(t *testing.T) {
	const most = 4 << 20
	serve := func(limit time.Duration) string {
		bodies := Bodies{Budget: NewBudget(16 << 20), Time: limit}
		server := httptest.NewServer(bodies.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := ReadBody(w, r, most); err != nil {
				http.Error(w, err.Error(), fault.KindOf(err).Answer().HTTP)
			}
		})))
		t.Cleanup(server.Close)
		return server.URL
	}
	patient, hasty := serve(time.Minute), serve(50*time.Millisecond)
	for name, c := range map[string]struct {
		server string
		body   io.Reader
		want   int
	}{
		"largest, announced": {patient, strings.NewReader(strings.Repeat(" ", most)), 200},
		"largest, chunked":   {patient, io.MultiReader(strings.NewReader(strings.Repeat(" ", most))), 200},
		"too large, chunked": {patient, io.MultiReader(strings.NewReader(strings.Repeat(" ", most+1))), 413},
		"many elements":      {patient, strings.NewReader(strings.Repeat("{},", most/4)), 413},
		"too slow":           {hasty, io.MultiReader(strings.NewReader(" "), blocked{t.Context().Done()}), 504},
	} {
		response, err := http.Post(c.server, "application/json", c.body)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		response.Body.Close()
		if response.StatusCode != c.want {
			t.Errorf("%s: %d, want %d", name, response.StatusCode, c.want)
		}
	}
}

// blocked is a body that does not go on until a channel is closed.
type blocked struct{ done <-chan struct{} }

func (b blocked) Read([]byte) (int, error) {
	<-b.done
	return 0, errors.New("done")
}

// Guards against connections that keep others out at the bound, and against calls in
// progress that are cut off for new connections.
func TestTheConnectionThatMakesNoProgressGivesWay(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		conns []conn
		want  int // index of the one that is closed, -1 for none
	}{
		"the one receiving for longest": {[]conn{{since: now.Add(1)}, {since: now}, {phase: idle, since: now.Add(-1)}}, 1},
		"the one idle for longest":      {[]conn{{phase: serving, since: now}, {phase: idle, since: now.Add(2)}, {phase: idle, since: now.Add(1)}}, 2},
		"none that serves":              {[]conn{{phase: serving}, {phase: serving}}, -1},
		"one of the address with most":  {[]conn{{host: "a", since: now}, {host: "b", since: now.Add(2)}, {host: "b", since: now.Add(1)}}, 2},
	} {
		listener := NewListener(nil, name, len(c.conns), 0)
		for i := range c.conns {
			listener.conns[&c.conns[i]] = struct{}{}
		}
		victim, room := listener.admit(&conn{Conn: &net.TCPConn{}})
		got := -1
		for i := range c.conns {
			if victim == &c.conns[i] {
				got = i
			}
		}
		if got != c.want || room != (c.want >= 0) {
			t.Errorf("%s: closed %d, want %d; room %v", name, got, c.want, room)
		}
	}
}

// Guards against a bound that holds in plaintext and not under TLS, or that the new connection
// itself falls victim to.
func TestSilentConnectionsGiveWayWithAndWithoutTLS(t *testing.T) {
	for name, start := range map[string]func(*httptest.Server){"plaintext": (*httptest.Server).Start, "TLS": (*httptest.Server).StartTLS} {
		process := New(Config{Connections: 1})
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		server.Listener = process.HTTP(server.Listener, name, MainShare, server.Config)
		start(server)
		defer server.Close()
		for range 3 * minConnections {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
		}
		for range 3 {
			response, err := server.Client().Get(server.URL)
			if err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			response.Body.Close()
		}
		if open := process.listeners[0].Open(); open > minConnections {
			t.Errorf("%s: %d connections, the bound is %d", name, open, minConnections)
		}
	}
}
