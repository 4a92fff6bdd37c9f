package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
)

// A request without the queue, or with a change id, would be refused by the replica or
// counted as a change; a table without the obstacles doesn't say why a task waits.
func TestJobWhereAsksForAJobOrAFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(`{"groups":[{"count":3,"milliCpu":"1300"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	control := &fakeControl{}
	address := control.start(t, answer(dispatch.Explanation{Phase: "queued", Queue: "h /q/", Groups: []dispatch.GroupExplanation{{
		State: dispatch.GroupReady, Tasks: 3, Waiting: 3, Starts: 2, Left: 1,
		Workers:   []dispatch.WorkerStarts{{Worker: "w-1@7", Starts: 2}},
		Obstacles: map[dispatch.Obstacle]int{dispatch.ObstacleCPU: 4}, Room: &dispatch.RoomForecast{Worker: "w-2@1", LikelyMS: 1500, LatestMS: 4000},
	}}, Admission: &dispatch.Admission{Refused: true, Reason: "the work ahead takes too long", RetryAfterMS: 2000}}))
	got := paddlectl(t, address, "job", "where", "--file", file, "--host", "h", "--path", "/q/")
	for _, want := range []string{"refused, retry after 2s", ": the work ahead takes too long", "1.5s", "w-2@1", "cpu 4", "w-1@7"} {
		if got.code != fault.ExitOK || !strings.Contains(got.stdout, want) {
			t.Fatalf("%q is missing: %+v", want, got)
		}
	}
	got = paddlectl(t, address, "job", "where", "00000000000000aa", "--output", "json")
	var back dispatch.Explanation
	if err := json.Unmarshal([]byte(got.stdout), &back); err != nil || back.Groups[0].Left != 1 {
		t.Errorf("%+v, %v", got, err)
	}
	if len(control.changes) != 2 || control.changes[0] != "/v1/jobs/where " ||
		string(control.bodies[0]) != `{"host":"h","path":"/q/","spec":{"groups":[{"count":3,"milliCpu":"1300"}]}}` ||
		string(control.bodies[1]) != `{"job":"00000000000000aa"}` {
		t.Errorf("sent %v, %s", control.changes, control.bodies)
	}
	for _, args := range [][]string{{}, {"a", "--file", file}, {"--file", file}, {"a", "--host", "h"}, {"--file", "missing.json", "--host", "h", "--path", "/q/"}} {
		if got := paddlectl(t, address, append([]string{"job", "where"}, args...)...); got.code != fault.ExitInvalid {
			t.Errorf("%v: %+v", args, got)
		}
	}
}
