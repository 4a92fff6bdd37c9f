package jobentry

import (
	"testing"
	"time"

	"amaranthpaddle/api"
)

const (
	submit = api.JobCallKind_JOB_CALL_KIND_SUBMIT
	look   = api.JobCallKind_JOB_CALL_KIND_LOOK
	cancel = api.JobCallKind_JOB_CALL_KIND_CANCEL

	patience = 3*time.Second - answerReserve // of the gateway, for a caller's deadline of 3 s
)

var epoch = time.Unix(1000, 0)

// loss is an outage of six replicas from time 0 on.
type loss struct {
	unreachable time.Duration // until when none of them answers
	leaderless  time.Duration // until when none of them leads
}

// play returns when a caller that arrives at a time is answered, and whether the
// leader answers it. Surveys take 500 ms without an answer, and are 200 ms apart.
func (l loss) play(o outage, kind api.JobCallKind, arrives time.Duration) (at time.Duration, served bool) {
	o.failed(epoch)
	for t, survey := time.Duration(0), time.Duration(0); ; t += 10 * time.Millisecond {
		now := epoch.Add(t)
		if t >= l.leaderless {
			o.answered(now)
		} else if t >= survey+shortSurvey || (t >= survey && t >= l.unreachable) {
			reachable := 6
			if survey < l.unreachable {
				reachable = 0
			}
			o.surveyed(now, reachable, 6)
			survey = t + surveyInterval
		}
		left := arrives + patience - t
		switch {
		case t < arrives:
		case !o.active():
			return t, true
		case left <= 0 || o.hopeless(now, kind, left, t > arrives):
			return t, false
		}
	}
}

// Guards against calls that are refused although the leader returns in time for
// them, and against callers that are kept for nothing: each row is one caller.
func TestCallsWaitOnlyForALeaderThatComesInTime(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	shortCuts := newOutage()
	for range 5 {
		shortCuts.recoveries.add(1500 * ms)
	}
	for _, c := range []struct {
		name    string
		learnt  outage
		loss    loss
		kind    api.JobCallKind
		arrives time.Duration
		served  bool
		latest  time.Duration // at which the caller is answered, after its arrival
	}{
		{"leader lost for 0.5 s", newOutage(), loss{0, 500 * ms}, submit, 0, true, 500 * ms},
		{"leader lost for 2 s, submission", newOutage(), loss{0, 2 * s}, submit, 0, true, 2 * s},
		{"leader lost for 2 s, later submission", newOutage(), loss{0, 2 * s}, submit, s, true, s},
		{"leader lost for 2 s, query", newOutage(), loss{0, 2 * s}, look, 0, true, 2 * s},
		{"leader lost for 8 s, first caller", newOutage(), loss{0, 8 * s}, submit, 0, false, patience},
		{"leader lost for 8 s, late submission", newOutage(), loss{0, 8 * s}, submit, 6 * s, false, 0},
		{"leader lost for 8 s, late cancellation", newOutage(), loss{0, 8 * s}, cancel, 6 * s, true, 2 * s},
		{"all off, caller before that is known", newOutage(), loss{8 * s, 9 * s}, submit, 0, false, 1300 * ms},
		{"all off, back while the election runs", newOutage(), loss{8 * s, 9 * s}, submit, 8800 * ms, true, 200 * ms},
		{"all off, after the leader is back", newOutage(), loss{8 * s, 9 * s}, submit, 9 * s, true, 0},
		{"cut in one direction for 0.6 s", newOutage(), loss{600 * ms, 600 * ms}, submit, 0, true, 600 * ms},
		{"cut in one direction for 4 s", newOutage(), loss{4 * s, 4 * s}, look, 2 * s, false, 0},
		{"cut of a learnt length, query", shortCuts, loss{1500 * ms, 2 * s}, look, 1300 * ms, true, 700 * ms},
		{"cut of a learnt length, submission", shortCuts, loss{4 * s, 4 * s}, submit, 3500 * ms, false, 0},
	} {
		at, served := c.loss.play(c.learnt, c.kind, c.arrives)
		if served != c.served || at-c.arrives > c.latest {
			t.Errorf("%s: served %v after %v, want %v after %v at most", c.name, served, at-c.arrives, c.served, c.latest)
		}
	}
}

// Guards against callers who wait for replicas that are all off, at any time
// between the entry's knowledge and the first replica's return.
func TestCallersAreToldAtOnceWhileAllReplicasAreOff(t *testing.T) {
	l := loss{8 * time.Second, 9 * time.Second}
	for arrives := 1300 * time.Millisecond; arrives < l.unreachable; arrives += 100 * time.Millisecond {
		for _, kind := range []api.JobCallKind{submit, look, cancel} {
			if at, served := l.play(newOutage(), kind, arrives); served || at != arrives {
				t.Errorf("%v at %v: served %v after %v", kind, arrives, served, at-arrives)
			}
		}
	}
}

// Guards against callers who return all at once, overtake those who were told
// before them, or stay away for longer than 5 s.
func TestCallersToldFirstReturnFirstAndSpread(t *testing.T) {
	o := newOutage()
	o.surveyed(epoch, 0, 6)
	last, times := epoch, map[time.Duration]bool{}
	for told := time.Second; told < 12*time.Second; told += 70 * time.Millisecond {
		after := o.retryAfter(epoch.Add(told))
		returns := epoch.Add(told + after)
		if returns.Before(last) || after < minRetryAfter || after > 5*time.Second || after%time.Second != 0 {
			t.Fatalf("told at %v to return after %v, at %v; the caller before at %v", told, after, returns, last)
		}
		last = returns
	}
	for range 100 {
		o.lastReturn = time.Time{}
		times[o.retryAfter(epoch.Add(5500*time.Millisecond))] = true
	}
	if len(times) < 2 {
		t.Errorf("100 callers told at one time all return after %v", times)
	}
}

// Guards against an estimate that stays at the default: entries that saw three
// recoveries of 2 s expect the next one to take as long.
func TestOutagesAreLearnt(t *testing.T) {
	o := newOutage()
	for i := range 3 {
		begin := epoch.Add(time.Duration(i) * time.Minute)
		o.surveyed(begin, 0, 6)
		o.surveyed(begin.Add(2*time.Second), 6, 6)
		o.answered(begin.Add(2300 * time.Millisecond))
	}
	begin := epoch.Add(time.Hour)
	o.surveyed(begin, 0, 6)
	if got := o.remaining(begin.Add(time.Second)); got < 1200*time.Millisecond || got > 1400*time.Millisecond {
		t.Errorf("after 1 s, %v are expected to remain; want a recovery's 1 s and an election's 0.3 s", got)
	}
}
