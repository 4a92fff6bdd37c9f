package plan

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
)

func examplePlan(t *testing.T) *DayPlan {
	t.Helper()
	p, faults := readText(validSheet)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return p
}

func TestDigestDependsOnContentAndNotOnOrder(t *testing.T) {
	p := examplePlan(t)
	digest := p.Digest()
	slices.Reverse(p.Zones)
	p.Jobs[0].Deadline = p.Jobs[0].Deadline.In(time.FixedZone("elsewhere", 3600))
	if p.Digest() != digest {
		t.Error("the order of rows or the form of a time changed the digest")
	}
	p.Jobs[0].Priority++
	if p.Digest() == digest {
		t.Error("another priority has the same digest")
	}
}

func TestDecodeRefusesWhatEncodeDoesNotWrite(t *testing.T) {
	encoded, err := examplePlan(t).Encode()
	if err != nil {
		t.Fatal(err)
	}
	valid := string(encoded)
	cases := map[string]string{
		"empty":           "",
		"cut short":       valid[:len(valid)-1],
		"unknown field":   strings.Replace(valid, `"number"`, `"extra":1,"number"`, 1),
		"data after it":   valid + "{}",
		"an invalid plan": strings.Replace(valid, `"number":7`, `"number":0`, 1),
		"a bad deadline":  strings.Replace(valid, "2026-12-05T", "05.12.2026 ", 1),
		"another type":    "[]",
		"null":            "null",
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			p := DayPlan{Number: 3}
			err := p.Decode([]byte(data))
			if !fault.Is(err, fault.InvalidArgument) {
				t.Errorf("got %v", err)
			}
			if p.Number != 3 {
				t.Error("a refused plan replaced the value")
			}
		})
	}
}

func TestEncodeRefusesWhatIsNotANumber(t *testing.T) {
	p := examplePlan(t)
	p.LatencyWeight = math.NaN()
	if _, err := p.Encode(); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("got %v", err)
	}
	if len(p.Check()) == 0 {
		t.Error("Check accepts a weight that is not a number")
	}
}

// TestEncodedPlansSurviveDecoding checks random plans, valid or not, against Check and Decode.
func TestEncodedPlansSurviveDecoding(t *testing.T) {
	name := rapid.StringMatching(`[a-c]{1,2}`)
	vector := rapid.Custom(func(t *rapid.T) resource.Vector {
		return resource.Vector{
			MilliCPU:     rapid.Int64Range(0, 4000).Draw(t, "cpu"),
			MemoryMiB:    rapid.Int64Range(1, 4000).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		p := &DayPlan{
			Number:        rapid.Uint64().Draw(t, "number"),
			Day:           "2026-12-04",
			LatencyWeight: rapid.Float64Range(0, 1).Draw(t, "weight"),
			Zones:         []Zone{{Name: name.Draw(t, "zone"), Region: "r", InService: rapid.Bool().Draw(t, "in")}},
			Teams:         []Team{{Name: "a", Quota: vector.Draw(t, "quota")}},
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "jobs") {
			p.Jobs = append(p.Jobs, Job{
				Name: name.Draw(t, "job"), Team: "a", Tasks: i + 1, Size: vector.Draw(t, "size"),
				RunTime:  time.Duration(rapid.Int64Range(0, int64(maxRunTime)).Draw(t, "run time")),
				Deadline: p.DayStart().Add(time.Duration(rapid.Int64Range(0, int64(maxDeadlineAfter)).Draw(t, "deadline"))),
			})
		}
		encoded, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		var decoded DayPlan
		err = decoded.Decode(encoded)
		if valid := len(p.Check()) == 0; valid != (err == nil) {
			t.Fatalf("valid %v, decode: %v", valid, err)
		}
		if err == nil && (decoded.Digest() != p.Digest() || len(Diff(p, &decoded)) > 0) {
			t.Fatalf("changed: %v", Diff(p, &decoded))
		}
	})
}

func TestDiffNamesEveryChange(t *testing.T) {
	old, changed := examplePlan(t), examplePlan(t)
	changed.Number = 8
	changed.Zones[1].InService = true
	changed.Services[0].Slots = 16
	changed.Jobs = []Job{{Name: "noon", Team: "tolls", Tasks: 1}}
	var lines []string
	for _, change := range Diff(old, changed) {
		lines = append(lines, change.String())
	}
	want := []string{
		"~ plan, number: 7 -> 8",
		"~ zone Kildare, state: out -> in",
		"~ service ledger, slots: 8 -> 16",
		"+ job noon: team=tolls",
		"- job night: team=tolls",
	}
	if len(lines) != len(want) {
		t.Fatalf("%q", lines)
	}
	for i := range want {
		if !strings.HasPrefix(lines[i], want[i]) {
			t.Errorf("change %d is %q, want %q", i, lines[i], want[i])
		}
	}
	if added := Diff(nil, old); len(added) != 4+2+1+1+1 {
		t.Errorf("from no plan: %v", added)
	}
}

func TestUnplaceableNamesWhatNoVMHolds(t *testing.T) {
	p := examplePlan(t)
	small := resource.Vector{MilliCPU: 32_000, MemoryMiB: 8_000, Accelerators: 4}
	large := resource.Vector{MilliCPU: 32_000, MemoryMiB: 128_000}
	faults := p.Unplaceable([]resource.Vector{small, large})
	if len(faults) != 1 || faults[0].Subject != "job night" {
		t.Errorf("got %v", faults)
	}
}

func FuzzDecode(f *testing.F) {
	p, _ := readText(validSheet)
	encoded, err := p.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte(`{"number":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded := DayPlan{Number: 42}
		if err := decoded.Decode(data); err != nil {
			if decoded.Number != 42 || decoded.Zones != nil {
				t.Fatal("a refused plan replaced the value")
			}
			return
		}
		if faults := decoded.Check(); len(faults) > 0 {
			t.Fatalf("accepted an invalid plan: %v", faults)
		}
	})
}
