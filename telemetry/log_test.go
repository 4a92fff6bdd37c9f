package telemetry

import (
	"bytes"
	"encoding/json"
	"log"
	"log/slog"
	"strings"
	"testing"

	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
)

func TestLogsAreJSONLinesWithAConstantMessage(t *testing.T) {
	var out bytes.Buffer
	earlier, flags, writer := slog.Default(), log.Flags(), log.Writer()
	t.Cleanup(func() {
		klog.ClearLogger()
		slog.SetDefault(earlier)
		log.SetFlags(flags)
		log.SetOutput(writer)
	})
	if err := SetupLogs(&out, "control", "control-1", 2); err != nil {
		t.Fatal(err)
	}
	klog.InfoS("Task started", "task", "night-1", "generation", 3)
	klog.ErrorS(fault.New(fault.NoQuorum, "2 of 3 replicas are silent"), "Change refused", "change", "c-1")
	klog.V(2).InfoS("Detail")
	klog.V(3).InfoS("Too much detail")
	klog.Flush()
	log.Printf("http: TLS handshake error")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 {
		t.Fatalf("%d lines, want 4:\n%s", len(lines), out.String())
	}
	var first, second, last map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &first); err != nil {
		t.Fatal(err)
	}
	if first["msg"] != "Task started" || first["task"] != "night-1" || first["generation"] != 3.0 ||
		first["role"] != "control" || first["process"] != "control-1" || !strings.HasSuffix(first["time"].(string), "Z") {
		t.Errorf("line %v", first)
	}
	if err := json.Unmarshal([]byte(lines[1]), &second); err != nil {
		t.Fatal(err)
	}
	if second["err"] != "no-quorum: 2 of 3 replicas are silent" || second["level"] != "ERROR" {
		t.Errorf("line %v", second)
	}
	if err := json.Unmarshal([]byte(lines[3]), &last); err != nil {
		t.Fatal(err)
	}
	if last["msg"] != "http: TLS handshake error" || last["process"] != "control-1" {
		t.Errorf("line %v", last)
	}
}
