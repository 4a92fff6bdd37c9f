package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// echo answers with the method, the URI and the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

func TestRequestReachesABackendServerAndItsWholeAnswerComesBack(t *testing.T) {
	h := newHarness(t, []backendSpec{{handler: http.HandlerFunc(echo)}}, nil)
	for _, test := range []struct {
		name, method, path, body, want string
		headers                        map[string]string
	}{
		{"service in the path", "GET", "/ledger/stalls/7?day=1", "", "GET /stalls/7?day=1 ", nil},
		{"service in a header", "POST", "/stalls", "toll", "POST /stalls toll", map[string]string{"Paddle-Service": "ledger"}},
		{"body of several chunks", "PUT", "/ledger/x", strings.Repeat("t", 100<<10), "PUT /x " + strings.Repeat("t", 100<<10), nil},
		{"answer longer than what is held back", "PUT", "/ledger/x", strings.Repeat("t", 256<<10), "PUT /x " + strings.Repeat("t", 256<<10), nil},
		{"keyed charge", "POST", "/ledger/charge", "5", "POST /charge 5", map[string]string{"Idempotency-Key": "k"}},
		{"keyed charge again", "POST", "/ledger/charge", "5", "POST /charge 5", map[string]string{"Idempotency-Key": "k"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := h.do(test.method, test.path, test.body, test.headers)
			if err != nil || got.status != 200 || got.body != test.want || got.outcome != "done" {
				t.Fatalf("got %d %q outcome %q, %v", got.status, got.body[:min(len(got.body), 200)], got.outcome, err)
			}
		})
	}
}

func TestUnknownServiceIsNotRun(t *testing.T) {
	h := newHarness(t, []backendSpec{{handler: http.HandlerFunc(echo)}}, nil)
	got, err := h.do("GET", "/nothing/x", "", nil)
	if err != nil || got.status != 404 || got.outcome != "not-run" {
		t.Fatalf("got %+v, %v", got, err)
	}
}
