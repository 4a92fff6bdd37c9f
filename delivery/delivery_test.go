package delivery

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// claimerFunc implements Claimer with a function.
type claimerFunc func(context.Context, *api.ClaimRequest) (*api.ClaimResponse, error)

// Claim calls f.
func (f claimerFunc) Claim(ctx context.Context, c *api.ClaimRequest) (*api.ClaimResponse, error) {
	return f(ctx, c)
}

func grant(_ context.Context, c *api.ClaimRequest) (*api.ClaimResponse, error) {
	return &api.ClaimResponse{Granted: true, Attempt: c.Attempt}, nil
}

// start serves a Delivery with one backend server and returns it with a client.
func start(t *testing.T, claimer Claimer, handler http.Handler) (*Delivery, api.AgentClient) {
	backend := httptest.NewServer(handler)
	t.Cleanup(backend.Close)
	d, err := New(Config{Incarnation: 1, Claimer: claimer, ClaimTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	d.SetServers([]Server{{ID: "a", Service: "ledger", URL: backend.URL, Slots: 8, Connections: 64}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(ServerOptions()...)
	d.Register(server)
	go func() { _ = server.Serve(listener) }()
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		server.Stop()
		_ = d.Close()
	})
	return d, api.NewAgentClient(conn)
}

func charge(d *Delivery, id string) *api.AttemptStart {
	return &api.AttemptStart{
		Attempt: id, Server: "a", Incarnation: 1, Service: "ledger", Method: "POST", Uri: "/charge",
		DeadlineUs: (d.now() + 5*time.Second).Microseconds(),
	}
}

// send delivers an attempt and returns the message that ends it.
func send(t *testing.T, client api.AgentClient, start *api.AttemptStart) *api.DeliverResponse {
	t.Helper()
	stream, err := client.Deliver(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&api.DeliverRequest{Message: &api.DeliverRequest_Start{Start: start}}); err != nil {
		t.Fatal(err)
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if whole := message.GetWhole(); whole != nil {
			return &api.DeliverResponse{Message: &api.DeliverResponse_End{End: whole.End}}
		}
		if message.GetEnd() != nil || message.GetRefusal() != nil {
			return message
		}
	}
}

func lookup(t *testing.T, client api.AgentClient, req *api.LookupRequest) (api.AttemptState, []byte) {
	t.Helper()
	stream, err := client.Lookup(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	first, err := stream.Recv()
	if err != nil {
		t.Fatal(err)
	}
	var body []byte
	for {
		message, err := stream.Recv()
		if err == io.EOF {
			return first.GetState(), body
		}
		if err != nil {
			t.Fatal(err)
		}
		body = append(body, message.GetChunk().GetData()...)
		body = append(body, message.GetWhole().GetChunk().GetData()...)
	}
}

// counting returns a handler that counts its runs and answers "done".
func counting(runs *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "done")
	}
}

func TestFinishedAttemptIsFoundByLookupAndADuplicateDoesNotRun(t *testing.T) {
	var runs atomic.Int64
	d, client := start(t, nil, counting(&runs))
	first := charge(d, "x")
	if end := send(t, client, first).GetEnd(); end == nil || end.Length != 4 {
		t.Fatalf("got %v", end)
	}
	if refusal := send(t, client, first).GetRefusal(); refusal.GetKind() != fault.Conflict.String() {
		t.Errorf("a duplicate attempt got %v", refusal)
	}
	state, body := lookup(t, client, &api.LookupRequest{Attempt: "x", Incarnation: 1, Fence: true})
	if state != api.AttemptState_ATTEMPT_STATE_FINISHED || string(body) != "done" {
		t.Errorf("lookup: %v %q", state, body)
	}
	if state, _ := lookup(t, client, &api.LookupRequest{Attempt: "x", Incarnation: 2, Fence: true}); state != api.AttemptState_ATTEMPT_STATE_UNKNOWN {
		t.Errorf("lookup with another incarnation: %v", state)
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs", runs.Load())
	}
}

func TestFencedAttemptDoesNotRunWhenItArrivesLate(t *testing.T) {
	var runs atomic.Int64
	d, client := start(t, nil, counting(&runs))
	late := charge(d, "late")
	ask := &api.LookupRequest{Attempt: "late", Incarnation: 1, DeadlineUs: late.DeadlineUs, Fence: true}
	if state, _ := lookup(t, client, ask); state != api.AttemptState_ATTEMPT_STATE_FENCED {
		t.Fatalf("lookup: %v", state)
	}
	if refusal := send(t, client, late).GetRefusal(); refusal.GetKind() != fault.Fenced.String() || runs.Load() != 0 {
		t.Errorf("got %v after %d runs", refusal, runs.Load())
	}
}

func TestProcessSuspendedPastTheDeadlineDoesNotRunTheAttempt(t *testing.T) {
	var runs atomic.Int64
	slow := claimerFunc(func(ctx context.Context, c *api.ClaimRequest) (*api.ClaimResponse, error) {
		time.Sleep(150 * time.Millisecond) // suspended between the claim and the first byte
		return grant(ctx, c)
	})
	d, client := start(t, slow, counting(&runs))
	keyed := charge(d, "x")
	keyed.Key = "k"
	keyed.DeadlineUs = (d.now() + 100*time.Millisecond).Microseconds()
	if refusal := send(t, client, keyed).GetRefusal(); refusal.GetKind() != fault.DeadlineNotRun.String() {
		t.Errorf("got %v", refusal)
	}
	if runs.Load() != 0 {
		t.Error("the attempt ran after its deadline")
	}
}

func TestAttemptDoesNotRunWhenItsClaimIsNotAnswered(t *testing.T) {
	var runs atomic.Int64
	unanswered := claimerFunc(func(context.Context, *api.ClaimRequest) (*api.ClaimResponse, error) {
		return nil, fault.New(fault.CommitUnknown, "no answer")
	})
	d, client := start(t, unanswered, counting(&runs))
	keyed := charge(d, "x")
	keyed.Key = "k"
	refusal := send(t, client, keyed).GetRefusal()
	kind, _ := fault.ParseKind(refusal.GetKind())
	if kind.Answer().Outcome != fault.OutcomeNotRun || runs.Load() != 0 {
		t.Errorf("got %v after %d runs", refusal, runs.Load())
	}
	if state, _ := lookup(t, client, &api.LookupRequest{Attempt: "x", Incarnation: 1}); state != api.AttemptState_ATTEMPT_STATE_FENCED {
		t.Errorf("the holder of the claim is %v", state)
	}
}

// TestRequestWithAKeyIsNotResentOnAnotherConnection guards against
// net/http, which resends a request with an idempotency key or a safe method
// when a reused connection breaks.
func TestRequestWithAKeyIsNotResentOnAnotherConnection(t *testing.T) {
	var runs atomic.Int64
	d, client := start(t, claimerFunc(grant), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		runs.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	for i, method := range []string{"POST", "GET"} {
		warm := charge(d, "warm"+method)
		warm.Uri = "/warm"
		send(t, client, warm) // leaves an idle connection for reuse
		keyed := charge(d, "x"+method)
		keyed.Method = method
		keyed.Key = "k"
		keyed.Headers = []*api.HTTPHeader{{Name: "Idempotency-Key", Value: "k"}}
		refusal := send(t, client, keyed).GetRefusal()
		kind, _ := fault.ParseKind(refusal.GetKind())
		if kind.Answer().Outcome != fault.OutcomeUnknown {
			t.Errorf("%s: got %v", method, refusal)
		}
		if runs.Load() != int64(i+1) {
			t.Errorf("%s: %d runs", method, runs.Load())
		}
	}
}

func TestAttemptWithARefusedConnectionIsNotRun(t *testing.T) {
	d, client := start(t, nil, http.NotFoundHandler())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	d.SetServers([]Server{{ID: "a", Service: "ledger", URL: "http://" + listener.Addr().String(), Slots: 8, Connections: 64}})
	if refusal := send(t, client, charge(d, "x")).GetRefusal(); refusal.GetKind() != fault.BackendUnavailable.String() {
		t.Errorf("got %v", refusal)
	}
}

func TestTruncatedAnswerIsReportedAsDamaged(t *testing.T) {
	d, client := start(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}))
	if refusal := send(t, client, charge(d, "x")).GetRefusal(); refusal.GetKind() != fault.AnswerDamaged.String() {
		t.Errorf("got %v", refusal)
	}
}

func TestKeyInUseErrorKeepsItsHolder(t *testing.T) {
	held := &KeyInUseError{Holder: &api.Holder{Attempt: "other"}}
	refusal := toRefusal(errors.WithMessage(fault.Wrap(fault.KeyInUse, held, "claim"), "attempt"))
	if refusal.Holder.GetAttempt() != "other" || refusal.Kind != fault.KeyInUse.String() {
		t.Errorf("got %v", refusal)
	}
}
