package jobnode

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/transport"
)

// A replica that answers a request that it cannot read, or that it has no leader for,
// with an empty explanation tells the operator that nothing waits.
func TestServeWhereRefusesWithoutALeader(t *testing.T) {
	security, seeds := &transport.Security{Insecure: true}, []string{"127.0.0.1:1", "127.0.0.1:2"}
	client := controlclient.New(security, seeds)
	defer client.Close()
	control, err := StartControl(Config{
		Address: seeds[0], Listen: "127.0.0.1:0", Seeds: seeds, FirstStart: true, DataDir: t.TempDir(), Voters: 3,
		Lease: time.Second, Retain: time.Second, Security: security,
	}, client)
	if err != nil {
		t.Fatal(err)
	}
	defer control.Kill()
	for body, want := range map[string]fault.Kind{
		`{"job":"00000000000000aa"}`: fault.NoQuorum,
		`{"job":`:                    fault.InvalidArgument,
		`{"host":"h","path":"/q/","spec":{"group":[]}}`:  fault.InvalidArgument,
		strings.Repeat(" ", operatorapi.MaxWhereBytes+1): fault.TooLarge,
	} {
		answer := httptest.NewRecorder()
		control.ServeWhere(answer, httptest.NewRequest(http.MethodPost, operatorapi.PathJobWhere, strings.NewReader(body)))
		if answer.Code != want.Answer().HTTP || !strings.Contains(answer.Body.String(), want.String()) {
			t.Errorf("%.60s: %d %s, want %v", body, answer.Code, answer.Body, want)
		}
	}
}

// A leader named by the port of its control protocol would be asked in vain.
func TestTheLeaderIsNamedByThePortOfTheListener(t *testing.T) {
	local := &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 9465}
	r := httptest.NewRequest(http.MethodPost, operatorapi.PathJobWhere, nil)
	r = r.WithContext(context.WithValue(r.Context(), http.LocalAddrContextKey, net.Addr(local)))
	if got := leaderAddress("10.0.0.2", r); got != "10.0.0.2:9465" {
		t.Errorf("leader at %q", got)
	}
	if got := leaderAddress("", r); got != "" {
		t.Errorf("an unknown leader at %q", got)
	}
}
