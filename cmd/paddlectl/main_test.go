package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/plan"
)

const (
	testToken    = "0123456789abcdef"
	exampleSheet = "../../examples/ballinure.csv"
)

// fakeControl answers every call by one handler and notes the changes.
type fakeControl struct {
	mu      sync.Mutex
	changes []string // path and change id
	bodies  [][]byte
}

func (f *fakeControl) start(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+testToken {
			operatorapi.WriteError(w, fault.New(fault.Unauthenticated, "no token"), "")
			return
		}
		if r.Method == http.MethodPost {
			body, _ := io.ReadAll(r.Body)
			f.mu.Lock()
			f.changes = append(f.changes, r.URL.Path+" "+r.Header.Get(operatorapi.HeaderChangeID))
			f.bodies = append(f.bodies, body)
			f.mu.Unlock()
		}
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

type result struct {
	code           int
	stdout, stderr string
}

func paddlectl(t *testing.T, address string, args ...string) result {
	t.Helper()
	return paddlectlContext(context.Background(), t, address, args...)
}

func paddlectlContext(ctx context.Context, t *testing.T, address string, args ...string) result {
	t.Helper()
	tokenFile := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(tokenFile, []byte(testToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	args = append([]string{"--address", address, "--token-file", tokenFile}, args...)
	code := run(ctx, args, &stdout, &stderr)
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

func answer(value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(value) }
}

func refuse(kind fault.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		operatorapi.WriteError(w, fault.New(kind, "test"), "")
	}
}

func TestASpoiledSheetIsRefusedWithoutACall(t *testing.T) {
	control := &fakeControl{}
	address := control.start(t, answer(operatorapi.PlanResult{}))
	sheet := filepath.Join(t.TempDir(), "monday.csv")
	if err := os.WriteFile(sheet, []byte("record,name\nzon,Cork\nzone,\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{"check", "diff", "submit"} {
		got := paddlectl(t, address, "plan", command, sheet)
		if got.code != fault.ExitInvalid || !strings.Contains(got.stderr, sheet+":2:1: ") || !strings.Contains(got.stderr, sheet+":3:2: ") {
			t.Errorf("%s: %+v", command, got)
		}
	}
	if len(control.changes) > 0 {
		t.Errorf("changes made: %v", control.changes)
	}
}

func TestSubmitSendsTheCanonicalPlanUnderADerivedID(t *testing.T) {
	control := &fakeControl{}
	address := control.start(t, answer(operatorapi.PlanResult{Number: 1, Revision: 4, Warnings: []string{"job x: too large"}}))
	for range 2 {
		got := paddlectl(t, address, "plan", "submit", exampleSheet)
		if got.code != fault.ExitOK || !strings.Contains(got.stdout, "revision 4") || !strings.Contains(got.stdout, "warning: job x") {
			t.Fatalf("%+v", got)
		}
	}
	if control.changes[0] != control.changes[1] || !strings.HasPrefix(control.changes[0], "/v1/plan plan-1-") {
		t.Errorf("changes: %v", control.changes)
	}
	var sent plan.DayPlan
	if err := sent.Decode(control.bodies[0]); err != nil || len(sent.Zones) != 3 {
		t.Errorf("sent %+v, %v", sent, err)
	}
}

func TestChangesNameThePathAndAFreshOrGivenID(t *testing.T) {
	cases := []struct{ args, path, id string }{
		{"zone out Cork", "/v1/zones/Cork/out", "zone-out-Cork-"},
		{"zone in Cork", "/v1/zones/Cork/in", "zone-in-Cork-"},
		{"drain vm-1", "/v1/vms/vm-1/drain", "drain-vm-1-"},
		{"undrain vm-1", "/v1/vms/vm-1/undrain", "undrain-vm-1-"},
		{"job cancel night --change-id again", "/v1/jobs/night/cancel", "again"},
		{"control replace --remove 2 --add 4 --new-address 10.0.0.9:7071", "/v1/control/replace", "replace-2-by-4-"},
	}
	for _, c := range cases {
		control := &fakeControl{}
		address := control.start(t, answer(operatorapi.ChangeResult{Revision: 7}))
		got := paddlectl(t, address, strings.Fields(c.args)...)
		if got.code != fault.ExitOK || !strings.Contains(got.stdout, "revision 7") {
			t.Errorf("%s: %+v", c.args, got)
		}
		if len(control.changes) != 1 || !strings.HasPrefix(control.changes[0], c.path+" "+c.id) {
			t.Errorf("%s: changes %v", c.args, control.changes)
		}
	}
}

func TestExitCodesFollowTheKind(t *testing.T) {
	for _, kind := range []fault.Kind{fault.InvalidArgument, fault.NotFound, fault.Conflict, fault.Stale, fault.Forbidden} {
		address := (&fakeControl{}).start(t, refuse(kind))
		got := paddlectl(t, address, "zone", "out", "Cork")
		if got.code != kind.Answer().Exit || !strings.Contains(got.stderr, kind.String()) {
			t.Errorf("%v: %+v", kind, got)
		}
	}
}

// cancelAtSecondCall answers every call with an unknown outcome, and cancels
// once the first answer has been read.
func cancelAtSecondCall(cancel func()) http.HandlerFunc {
	calls := 0
	return func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 2 {
			cancel()
		}
		refuse(fault.CommitUnknown)(w, r)
	}
}

func TestAnUnknownOutcomeNamesTheChangeToResend(t *testing.T) {
	for _, output := range []string{outputTable, outputJSON} {
		ctx, cancel := context.WithCancel(context.Background())
		address := (&fakeControl{}).start(t, cancelAtSecondCall(cancel))
		got := paddlectlContext(ctx, t, address, "--output", output, "zone", "out", "Cork")
		if got.code != fault.ExitUnknown {
			t.Errorf("%s: %+v", output, got)
		}
		if output == outputTable {
			if !strings.Contains(got.stderr, "--change-id zone-out-Cork-") {
				t.Errorf("%+v", got)
			}
			continue
		}
		var failed failure
		if err := json.Unmarshal([]byte(got.stderr), &failed); err != nil {
			t.Fatalf("%v in %q", err, got.stderr)
		}
		if failed.Outcome != "unknown" || failed.ChangeID == "" {
			t.Errorf("%+v", failed)
		}
	}
}

func TestReadsPrintTablesOrJSON(t *testing.T) {
	status := operatorapi.Status{PlanNumber: 3, Zones: []operatorapi.ZoneStatus{{Name: "Cork", Region: "Munster"}}}
	address := (&fakeControl{}).start(t, answer(status))
	got := paddlectl(t, address, "status")
	if got.code != fault.ExitOK || !strings.Contains(got.stdout, "Cork  Munster  out") {
		t.Errorf("%+v", got)
	}
	got = paddlectl(t, address, "status", "--output", "json")
	var back operatorapi.Status
	if err := json.Unmarshal([]byte(got.stdout), &back); err != nil || back.PlanNumber != 3 {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestDiffComparesWithThePlanInForce(t *testing.T) {
	file, err := os.Open(exampleSheet)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	current, faults := plan.ReadSheet("example", file)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	current.Services[0].Slots = 4
	encoded, err := current.Encode()
	if err != nil {
		t.Fatal(err)
	}
	address := (&fakeControl{}).start(t, answer(operatorapi.PlanInForce{Number: 1, Plan: encoded}))
	if got := paddlectl(t, address, "plan", "diff", exampleSheet); got.stdout != "~ service toll-ledger, slots: 4 -> 8\n" {
		t.Errorf("%+v", got)
	}
	current.Services[0].Slots = 8
	if encoded, err = current.Encode(); err != nil {
		t.Fatal(err)
	}
	address = (&fakeControl{}).start(t, answer(operatorapi.PlanInForce{Number: 1, Plan: encoded}))
	if got := paddlectl(t, address, "--output", "json", "plan", "diff", exampleSheet); got.stdout != "[]\n" {
		t.Errorf("no change: %+v", got)
	}
}

func TestCheckWithAnAddressComparesWithTheFleet(t *testing.T) {
	small := operatorapi.Status{VMs: []operatorapi.VMStatus{{Capacity: operatorapi.Resources{MilliCPU: 4000, MemoryMiB: 65536}}}}
	address := (&fakeControl{}).start(t, answer(small))
	got := paddlectl(t, address, "plan", "check", exampleSheet)
	if got.code != fault.ExitOK || !strings.Contains(got.stdout, "warning: service toll-ledger: no VM of the fleet") {
		t.Errorf("%+v", got)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	for _, args := range [][]string{
		{"--output", "xml", "status"},
		{"--timeout", "0s", "status"},
		{"--certificate", "missing.pem", "status"},
		{"control", "replace", "--remove", "2"},
		{"--address", "control-1:7070", "status"},
		{"plan", "check", "missing.csv"},
	} {
		if got := paddlectl(t, "127.0.0.1:1", args...); got.code != fault.ExitInvalid {
			t.Errorf("%v: %+v", args, got)
		}
	}
}

func TestAddressesAreListedOrRepeatedOrFromTheEnvironment(t *testing.T) {
	address := (&fakeControl{}).start(t, answer(operatorapi.Status{}))
	if got := paddlectl(t, "127.0.0.1:1, "+address, "status"); got.code != fault.ExitOK {
		t.Errorf("list: %+v", got)
	}
	if got := paddlectl(t, "127.0.0.1:1", "--address", address, "status"); got.code != fault.ExitOK {
		t.Errorf("repeated: %+v", got)
	}
	t.Setenv(envAddress, "127.0.0.1:1,"+address)
	if got := paddlectl(t, "", "status"); got.code != fault.ExitOK {
		t.Errorf("environment: %+v", got)
	}
}
