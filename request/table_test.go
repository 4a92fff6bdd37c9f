package request

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/fault"
)

func TestFullTableRefusesNewAttemptsAndKeepsExisting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Attempts: 16, Bytes: 400, Reserve: 30, Retention: time.Minute}
		table := NewTable[int](limits)
		now := time.Duration(0)
		ends := make(map[string]time.Duration) // finished attempts
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if table.Len() > limits.Attempts || table.Bytes() > limits.Bytes || table.Bytes() < 0 {
					t.Fatalf("%d attempts, %d bytes", table.Len(), table.Bytes())
				}
				for id, end := range ends {
					if now >= end+limits.Retention {
						continue
					}
					if state, _, _ := table.Lookup(now, id, 0, false); state != Finished {
						t.Fatalf("attempt %s is %v %v after its end", id, state, now-end)
					}
				}
			},
			"run one": func(t *rapid.T) {
				next++
				id := fmt.Sprint(next)
				err := table.Begin(now, id, now+time.Second, time.Minute, next)
				if err != nil {
					if !fault.Is(err, fault.Overloaded) {
						t.Fatal(err)
					}
					return
				}
				if err := table.Start(now, id); err != nil {
					t.Fatal(err)
				}
				size := rapid.Int64Range(0, 200).Draw(t, "size")
				table.Grow(id, size)
				table.Finish(now, id, size)
				ends[id] = now
			},
			"fence one": func(t *rapid.T) {
				next++
				table.Lookup(now, fmt.Sprint(next), now+time.Second, true)
			},
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second
			},
		})
	})
}

func TestIdempotentAttemptsDoNotFillTheTable(t *testing.T) {
	table := NewTable[int](Limits{Attempts: 16, Bytes: 100, Reserve: 10, Retention: time.Minute})
	for i := range 1000 {
		id := fmt.Sprint(i)
		if err := table.Begin(0, id, time.Second, 0, 0); err != nil {
			t.Fatalf("attempt %d: %v", i, err)
		}
		if err := table.Start(0, id); err != nil {
			t.Fatal(err)
		}
		table.Finish(0, id, 50)
	}
	if table.Len() != 0 || table.Bytes() != 0 {
		t.Errorf("%d attempts and %d bytes are left", table.Len(), table.Bytes())
	}
}

func TestLargeAnswersDoNotBlockNewAttempts(t *testing.T) {
	table := NewTable[int](Limits{Attempts: 100, Bytes: 400, Reserve: 10, Retention: time.Minute})
	for i := range 10 {
		id := fmt.Sprint(i)
		if err := table.Begin(0, id, time.Second, time.Minute, 0); err != nil {
			t.Fatalf("attempt %d: %v", i, err)
		}
		if err := table.Start(0, id); err != nil {
			t.Fatal(err)
		}
		table.Grow(id, 150)
		table.Finish(0, id, 150)
	}
	if state, _, kept := table.Lookup(0, "9", time.Second, true); state != Finished || kept {
		t.Errorf("the last attempt is %v, kept %v; want finished and not kept", state, kept)
	}
}

func TestFencedAttemptNeverStarts(t *testing.T) {
	table := NewTable[int](Limits{Attempts: 8, Bytes: 100, Reserve: 1, Retention: time.Minute})
	if state, _, _ := table.Lookup(0, "early", time.Second, true); state != Fenced {
		t.Fatalf("an absent attempt is %v", state)
	}
	if err := table.Begin(0, "early", time.Second, time.Minute, 0); !fault.Is(err, fault.Fenced) {
		t.Fatalf("a fenced attempt was admitted: %v", err)
	}
	if err := table.Begin(0, "waiting", time.Second, time.Minute, 0); err != nil {
		t.Fatal(err)
	}
	if state, _, _ := table.Lookup(0, "waiting", time.Second, true); state != Fenced {
		t.Fatalf("a waiting attempt is %v", state)
	}
	if err := table.Start(0, "waiting"); !fault.Is(err, fault.Fenced) {
		t.Fatalf("a fenced attempt started: %v", err)
	}
}

func TestAttemptAfterItsRetentionIsUnknownNotFenced(t *testing.T) {
	table := NewTable[int](Limits{Attempts: 8, Bytes: 100, Reserve: 1, Retention: time.Minute})
	if err := table.Begin(0, "a", time.Second, time.Minute, 0); err != nil {
		t.Fatal(err)
	}
	if err := table.Start(0, "a"); err != nil {
		t.Fatal(err)
	}
	table.Finish(0, "a", 1)
	if state, _, _ := table.Lookup(2*time.Minute, "a", time.Second, true); state != Unknown {
		t.Fatalf("an attempt past its retention is %v", state)
	}
}

// A process that was frozen after it admitted an attempt must not start it once
// its deadline has passed.
func TestAttemptDoesNotStartAfterItsDeadline(t *testing.T) {
	table := NewTable[int](Limits{Attempts: 8, Bytes: 100, Reserve: 1, Retention: time.Minute})
	if err := table.Begin(0, "a", time.Second, time.Minute, 0); err != nil {
		t.Fatal(err)
	}
	if err := table.Start(time.Second, "a"); !fault.Is(err, fault.DeadlineNotRun) {
		t.Fatalf("start after the deadline: %v", err)
	}
}

func TestRefusalAfterAnAttemptThatMayHaveRunIsUnknown(t *testing.T) {
	p := Progress{Idempotent: true}
	if step := p.AfterAttempt(fault.New(fault.ConnectionLost, "cut")); step != StepSend {
		t.Fatalf("the next step of an idempotent request is %v", step)
	}
	for _, kind := range fault.Kinds() {
		final := p.Final(fault.New(kind, "last"))
		if fault.KindOf(final).Answer().Outcome != fault.OutcomeUnknown {
			t.Errorf("after an attempt that may have run, %v is reported as %v", kind, fault.KindOf(final))
		}
	}
}
