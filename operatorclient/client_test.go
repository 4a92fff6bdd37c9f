package operatorclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/plan"
	"amaranthpaddle/transport"
)

const token = "0123456789abcdef"

// fakeReplica answers each call by the next of its steps, and by the last one from then on.
type fakeReplica struct {
	mu    sync.Mutex
	steps []http.HandlerFunc
	ids   []string
}

func (f *fakeReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	step := f.steps[0]
	if len(f.steps) > 1 {
		f.steps = f.steps[1:]
	}
	f.ids = append(f.ids, r.Header.Get(operatorapi.HeaderChangeID))
	f.mu.Unlock()
	if r.Header.Get("Authorization") != "Bearer "+token {
		operatorapi.WriteError(w, fault.New(fault.Unauthenticated, "no token"), "")
		return
	}
	step(w, r)
}

func start(t *testing.T, steps ...http.HandlerFunc) (*fakeReplica, string) {
	t.Helper()
	replica := &fakeReplica{steps: steps}
	server := httptest.NewServer(replica)
	t.Cleanup(server.Close)
	return replica, strings.TrimPrefix(server.URL, "http://")
}

func accept(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"revision":9}`)) }

func refuse(kind fault.Kind, leader string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		operatorapi.WriteError(w, fault.New(kind, "test"), leader)
	}
}

// hangUp takes the request and closes the connection without an answer.
func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cutShort(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"revision":`))
}

func page(w http.ResponseWriter, _ *http.Request) { http.Error(w, "<html>", http.StatusBadGateway) }

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newClient returns a client whose time is over after some rounds, not by a clock.
func newClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	client := New(addresses, &transport.Security{}, token)
	t.Cleanup(client.Close)
	rounds := 0
	client.sleep = func(context.Context, time.Duration) bool {
		rounds++
		return rounds < 8
	}
	return client
}

func post(t *testing.T, addresses ...string) (operatorapi.ChangeResult, error) {
	t.Helper()
	client := newClient(t, addresses...)
	ctx := context.Background()
	var answer operatorapi.ChangeResult
	err := client.Post(ctx, operatorapi.PathZones+"Cork/out", "change-1", []byte("{}"), &answer)
	return answer, err
}

func TestPostReachesTheLeader(t *testing.T) {
	_, leader := start(t, accept)
	_, follower := start(t, refuse(fault.NotLeader, leader))
	_, lost := start(t, refuse(fault.NotLeader, ""))
	for name, addresses := range map[string][]string{
		"by the leader's address in the answer": {follower},
		"by the next address":                   {lost, leader},
		"past a replica that is down":           {closedAddress(t), leader},
	} {
		answer, err := post(t, addresses...)
		if err != nil || answer.Revision != 9 {
			t.Errorf("%s: %+v, %v", name, answer, err)
		}
	}
}

func TestPostResendsUnderTheSameChangeID(t *testing.T) {
	replica, address := start(t, hangUp, cutShort, page, refuse(fault.CommitUnknown, ""), refuse(fault.NoQuorum, ""), accept)
	answer, err := post(t, address)
	if err != nil || answer.Revision != 9 {
		t.Fatalf("%+v, %v", answer, err)
	}
	if len(replica.ids) != 6 {
		t.Errorf("%d attempts, want 6", len(replica.ids))
	}
	for _, id := range replica.ids {
		if id != "change-1" {
			t.Errorf("sent under id %q", id)
		}
	}
}

func TestPostStatesWhatIsKnownOfTheChange(t *testing.T) {
	unauthenticated := refuse(fault.Unauthenticated, "")
	cases := []struct {
		name  string
		steps []http.HandlerFunc
		want  fault.Kind
	}{
		{"refused as invalid", []http.HandlerFunc{refuse(fault.InvalidArgument, "")}, fault.InvalidArgument},
		{"lost against another change", []http.HandlerFunc{refuse(fault.Conflict, "")}, fault.Conflict},
		{"conflict after a lost answer", []http.HandlerFunc{hangUp, refuse(fault.Conflict, "")}, fault.Conflict},
		{"token refused", []http.HandlerFunc{unauthenticated}, fault.Unauthenticated},
		{"token refused after a lost answer", []http.HandlerFunc{hangUp, unauthenticated}, fault.CommitUnknown},
		{"no quorum until the end", []http.HandlerFunc{refuse(fault.NoQuorum, "")}, fault.DeadlineNotRun},
		{"no leader until the end", []http.HandlerFunc{refuse(fault.NotLeader, "")}, fault.DeadlineNotRun},
		{"no answer until the end", []http.HandlerFunc{hangUp}, fault.CommitUnknown},
		{"lost answer, then no leader", []http.HandlerFunc{hangUp, refuse(fault.NotLeader, "")}, fault.CommitUnknown},
		{"answers cut short until the end", []http.HandlerFunc{cutShort}, fault.CommitUnknown},
		{"not a control replica", []http.HandlerFunc{page}, fault.CommitUnknown},
		{"failure inside", []http.HandlerFunc{refuse(fault.Internal, "")}, fault.CommitUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, address := start(t, c.steps...)
			if _, err := post(t, address); fault.KindOf(err) != c.want {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		if _, err := post(t, closedAddress(t)); !fault.Is(err, fault.DeadlineNotRun) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("no address", func(t *testing.T) {
		if _, err := post(t); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("got %v", err)
		}
	})
}

func TestGetNeverReportsAnUnknownChange(t *testing.T) {
	_, address := start(t, hangUp)
	var status operatorapi.Status
	if err := newClient(t, address).Get(context.Background(), operatorapi.PathStatus, &status); !fault.Is(err, fault.DeadlineNotRun) {
		t.Errorf("got %v", err)
	}
}

func TestOnlyPlansDeriveTheChangeIDFromContent(t *testing.T) {
	p := &plan.DayPlan{Number: 3, Day: "2026-12-04"}
	same := &plan.DayPlan{Number: 3, Day: "2026-12-04"}
	if PlanChangeID(p) != PlanChangeID(same) {
		t.Error("equal plans have two change ids")
	}
	same.Day = "2026-12-05"
	if PlanChangeID(p) == PlanChangeID(same) {
		t.Error("other plans share a change id")
	}
	first, second := NewChangeID("zone-out-Cork"), NewChangeID("zone-out-Cork")
	if first == second {
		t.Error("two changes share an id")
	}
}

func TestACallEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	_, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls++; calls == 2 {
			cancel() // the first answer has been read by now
		}
		operatorapi.WriteError(w, fault.New(fault.CommitUnknown, "test"), "")
	})
	client := New([]string{address}, &transport.Security{}, token)
	defer client.Close()
	var answer operatorapi.ChangeResult
	err := client.Post(ctx, operatorapi.PathZones+"Cork/out", "change-1", nil, &answer)
	if !fault.Is(err, fault.CommitUnknown) || calls > 3 {
		t.Errorf("%v after %d calls", err, calls)
	}
}

func TestASilentReplicaDoesNotHoldUpTheCall(t *testing.T) {
	silent := make(chan struct{})
	_, silentAddress := start(t, func(http.ResponseWriter, *http.Request) { <-silent })
	t.Cleanup(func() { close(silent) })
	_, leader := start(t, accept)
	client := New([]string{silentAddress, leader}, &transport.Security{}, token)
	defer client.Close()
	client.timeout = 50 * time.Millisecond
	var answer operatorapi.ChangeResult
	err := client.Post(context.Background(), operatorapi.PathZones+"Cork/out", "change-1", nil, &answer)
	if err != nil || answer.Revision != 9 {
		t.Errorf("%+v, %v", answer, err)
	}
}
