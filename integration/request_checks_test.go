package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"sort"
	"testing"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/standin"
)

// requestHistory is what backend servers really did and what callers were told.
type requestHistory struct {
	events  []standin.RequestEvent // in the order of time
	calls   []*call
	begins  map[string][]standin.RequestEvent // by token
	sends   map[string]int                    // runs by sending
	wholes  map[string]standin.RequestEvent   // by run
	ends    map[string]standin.RequestEvent   // by run
	byToken map[string][]*call
}

func newRequestHistory(events []standin.RequestEvent, calls []*call) *requestHistory {
	h := &requestHistory{
		events: events, calls: calls, begins: map[string][]standin.RequestEvent{}, sends: map[string]int{},
		wholes: map[string]standin.RequestEvent{}, ends: map[string]standin.RequestEvent{}, byToken: map[string][]*call{},
	}
	for _, event := range events {
		switch event.Kind {
		case standin.RequestBegin:
			h.begins[event.Token] = append(h.begins[event.Token], event)
			h.sends[event.Send]++
		case standin.RequestWhole:
			h.wholes[event.Run] = event
		case standin.RequestEnd:
			h.ends[event.Run] = event
		}
	}
	for _, c := range calls {
		h.byToken[c.token] = append(h.byToken[c.token], c)
	}
	return h
}

// readRequestEvents returns what all backend servers did.
func (s *system) readRequestEvents() []standin.RequestEvent {
	var events []standin.RequestEvent
	for _, m := range s.machines {
		data, err := os.ReadFile(m.events + requestsSuffix)
		if err != nil {
			s.t.Fatal(err)
		}
		lines := bufio.NewScanner(bytes.NewReader(data))
		for lines.Scan() {
			var event standin.RequestEvent
			if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
				s.t.Fatal(m.id, err)
			}
			events = append(events, event)
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events
}

// checkAtMostOnce: a charge, with or without a key, runs at most once.
func (h *requestHistory) checkAtMostOnce(t *testing.T) {
	t.Helper()
	for token, runs := range h.begins {
		calls := h.byToken[token]
		if len(calls) > 0 && calls[0].work != check && len(runs) > 1 {
			t.Errorf("%s ran %d times: %+v; callers were told %s", token, len(runs), runs, describe(calls))
		}
	}
}

// checkNotRun: a sending that was told "not run" has no run, and a charge with
// a key has none of any sending.
func (h *requestHistory) checkNotRun(t *testing.T) {
	t.Helper()
	for _, c := range h.calls {
		if c.outcome == fault.OutcomeNotRun && h.sends[c.id] > 0 {
			t.Errorf("%s was told not-run (%s) and ran: %+v", c.id, c.kind, h.begins[c.token])
		}
		if c.outcome == fault.OutcomeNotRun && c.work == keyed && len(h.begins[c.token]) > 0 {
			t.Errorf("%s was told not-run (%s), and its charge ran: %+v", c.id, c.kind, h.begins[c.token])
		}
		if c.work == keyed && c.kind == fault.Conflict.String() {
			t.Errorf("%s was told that its key was used with another request", c.id)
		}
	}
}

// checkAnswers: an answer is the caller's own and whole, of a run that took place.
func (h *requestHistory) checkAnswers(t *testing.T) {
	t.Helper()
	for _, c := range h.calls {
		if c.outcome != fault.OutcomeDone {
			continue
		}
		run, took := h.wholes[c.answer.Run]
		own := c.answer.Token == c.token && c.answer.Digest == c.digest
		if !own || !took || run.Token != c.token || run.Digest != c.digest {
			t.Errorf("%s (digest %s) got the answer %.300v of run %+v", c.id, c.digest, c.answer, run)
		}
	}
}

// checkOneAnswer: all answers to one keyed charge are those of one run.
func (h *requestHistory) checkOneAnswer(t *testing.T) {
	t.Helper()
	for token, calls := range h.byToken {
		run := ""
		for _, c := range calls {
			if c.work != keyed || c.outcome != fault.OutcomeDone {
				continue
			}
			if run != "" && c.answer.Run != run {
				t.Errorf("%s got the answers of runs %s and %s", token, run, c.answer.Run)
			}
			run = c.answer.Run
		}
	}
}

// checkStopsCutNothing: no request in progress at a process with a planned stop was cut.
func (h *requestHistory) checkStopsCutNothing(t *testing.T, stops []plannedStop) {
	t.Helper()
	byID := map[string]*call{}
	for _, c := range h.calls {
		byID[c.id] = c
	}
	for _, stop := range stops {
		if stop.err != nil {
			t.Errorf("the planned stop of %s ended with %v", stop.name, stop.err)
		}
		inProgress := 0
		for _, c := range h.calls {
			if stop.vm != "" || c.entry != stop.entry || c.begun.After(stop.asked.Add(noticeShare)) || c.ended.Before(stop.asked) {
				continue
			}
			inProgress++
			if c.cut {
				t.Errorf("the planned stop of %s cut %s: %v", stop.name, c.id, c.err)
			}
		}
		for _, event := range h.events {
			at := time.Unix(0, event.At)
			if event.Kind != standin.RequestBegin || event.VM != stop.vm || at.After(stop.ended) {
				continue
			}
			c := byID[event.Send]
			if c == nil || c.ended.Before(stop.asked) {
				continue
			}
			inProgress++
			if c.cut || h.answerWithheld(c, event) {
				t.Errorf("the planned stop of %s cut %s: %s %s %v", stop.name, c.id, c.outcome, c.kind, c.err)
			}
		}
		t.Logf("planned stop of %s: %v, %d requests were in progress or came until its end",
			stop.name, stop.ended.Sub(stop.asked).Round(time.Millisecond), inProgress)
	}
}

// answerWithheld reports whether the run's work was done in time, and yet its
// caller was not told its outcome.
func (h *requestHistory) answerWithheld(c *call, run standin.RequestEvent) bool {
	end, done := h.ends[run.Run]
	inTime := done && time.Unix(0, end.At).Before(c.deadline.Add(-answerMargin))
	return inTime && (c.outcome == outcomeLost || c.outcome == fault.OutcomeUnknown)
}

// checkDrained: a VM gets no request from drainBound after its drain was
// acknowledged, or after its agent was asked to stop, until it takes work again.
func (h *requestHistory) checkDrained(t *testing.T, closures []closure) {
	t.Helper()
	for _, event := range h.events {
		at := time.Unix(0, event.At)
		for _, c := range closures {
			if event.Kind == standin.RequestBegin && event.VM == c.vm && at.After(c.from.Add(drainBound)) && at.Before(c.to) {
				t.Errorf("%s began on %s %v after it was to take no more", event.Send, c.vm, at.Sub(c.from))
			}
		}
	}
}

// logFigures logs how many calls of each kind of work ended in which way.
func (h *requestHistory) logFigures(t *testing.T) {
	t.Helper()
	counts := map[work]map[string]int{}
	afterRun := 0
	for _, c := range h.calls {
		if counts[c.work] == nil {
			counts[c.work] = map[string]int{}
		}
		name := string(c.outcome)
		if c.kind != "" {
			name += "/" + c.kind
		}
		counts[c.work][name]++
		runs := h.begins[c.token]
		if c.outcome == fault.OutcomeNotRun && len(runs) > 0 && runs[0].At < c.ended.UnixNano() {
			afterRun++
		}
	}
	for kind, outcomes := range counts {
		t.Logf("%s: %v", kind, outcomes)
	}
	t.Logf("%d requests, %d sendings, %d runs; %d sendings told not-run after another sending of the same request had run",
		len(h.byToken), len(h.calls), len(h.wholes), afterRun)
}

func describe(calls []*call) string {
	var text bytes.Buffer
	for _, c := range calls {
		text.WriteString(c.id + "=" + string(c.outcome) + "/" + c.kind + " ")
	}
	return text.String()
}
