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

	callTimeout = 3*time.Second - answerReserve // of the gateway, for a caller's deadline of 3 s
)

var epoch = time.Unix(1000, 0)

// loss is an outage of six replicas from time 0 on.
type loss struct {
	unreachable time.Duration // until when none of them answers
	leaderless  time.Duration // until when none of them leads
}

// play returns when a caller that arrives at a time is answered, and whether the
// leader answers it. Surveys take 500 ms without an answer, and are 200 ms apart.
func (l loss) play(o *outage, kind api.JobCallKind, arrives time.Duration) (at time.Duration, served bool) {
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
		left := arrives + callTimeout - t
		switch {
		case t < arrives:
		case !o.active():
			return t, true
		case left <= 0 || o.hopeless(now, kind, left, t > arrives):
			return t, false
		}
	}
}

// learnt returns an entry's state after the loss.
func (l loss) learnt() outage {
	o := newOutage()
	l.play(&o, look, l.leaderless)
	return o
}

// Guards against calls that are refused although the leader returns in time for
// them, and against callers that are kept for nothing: each row is one caller.
func TestCallsWaitOnlyForALeaderThatComesInTime(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	allOff, longElection := loss{8 * s, 9 * s}.learnt(), loss{0, 4 * s}.learnt()
	shortCuts, longElections := newOutage(), newOutage()
	for range 7 {
		longElections.elections.add(4 * s)
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
		{"leader lost for 8 s, first caller", newOutage(), loss{0, 8 * s}, submit, 0, false, callTimeout},
		{"leader lost for 8 s, late submission", newOutage(), loss{0, 8 * s}, submit, 6 * s, false, 0},
		{"leader lost for 8 s, late cancellation", newOutage(), loss{0, 8 * s}, cancel, 6 * s, true, 2 * s},
		{"election of 1.1 s after one of 4 s", longElection, loss{0, 1100 * ms}, submit, 0, true, 1100 * ms},
		{"election of 1.1 s after seven of 4 s", longElections, loss{0, 1100 * ms}, submit, 0, true, 1100 * ms},
		{"all off, caller before that is known", allOff, loss{8 * s, 9 * s}, submit, 0, false, 1300 * ms},
		{"all off, back while the election runs", newOutage(), loss{8 * s, 9 * s}, submit, 8800 * ms, true, 200 * ms},
		{"all off, after the leader is back", newOutage(), loss{8 * s, 9 * s}, submit, 9 * s, true, 0},
		{"cut in one direction for 0.6 s", newOutage(), loss{600 * ms, 600 * ms}, submit, 0, true, 600 * ms},
		{"cut in one direction for 4 s", newOutage(), loss{4 * s, 4 * s}, look, 2 * s, true, 2 * s},
		{"cut in one direction for 8 s", newOutage(), loss{8 * s, 8 * s}, look, 5 * s, false, 0},
		{"cut of a learnt length, query", shortCuts, loss{1500 * ms, 2 * s}, look, 1300 * ms, true, 700 * ms},
		{"cut of a learnt length, submission", shortCuts, loss{4 * s, 4 * s}, submit, 3500 * ms, true, 500 * ms},
		{"cut longer than learnt, submission", shortCuts, loss{8 * s, 8 * s}, submit, 5 * s, false, 0},
	} {
		at, served := c.loss.play(&c.learnt, c.kind, c.arrives)
		if served != c.served || at-c.arrives > c.latest {
			t.Errorf("%s: served %v after %v, want %v after %v at most", c.name, served, at-c.arrives, c.served, c.latest)
		}
	}
}

// Guards against callers who wait for replicas that are all off although they
// return too late, and against a refusal of calls that are answered in time: the
// entry tells from the elapsed time after 5 s, and once such an outage has been
// learnt as soon as it has missed a quorum for 500 ms.
func TestCallersAreToldAtOnceExactlyWhileTheLeaderIsTooLate(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for _, c := range []struct {
		learnt     outage
		loss       loss
		told, upTo time.Duration // arrivals that are refused at once
	}{
		{newOutage(), loss{0, 500 * ms}, 0, 0},
		{newOutage(), loss{500 * ms, 500 * ms}, 0, 0},
		{newOutage(), loss{0, 2 * s}, 0, 0},
		{newOutage(), loss{1 * s, 2 * s}, 0, 0},
		{newOutage(), loss{2 * s, 2 * s}, 0, 0},
		{newOutage(), loss{0, 4200 * ms}, 0, 0},
		{newOutage(), loss{3200 * ms, 4200 * ms}, 0, 0},
		{newOutage(), loss{4200 * ms, 4200 * ms}, 0, 0},
		{loss{4200 * ms, 4200 * ms}.learnt(), loss{4200 * ms, 4200 * ms}, 1100 * ms, 1200 * ms},
		{newOutage(), loss{8 * s, 9 * s}, 5 * s, 8200 * ms}, // the next survey that begins after 8 s
		{loss{8 * s, 9 * s}.learnt(), loss{8 * s, 9 * s}, 1200 * ms, 6 * s},
	} {
		for arrives := time.Duration(0); arrives < c.loss.leaderless; arrives += 50 * ms {
			for _, kind := range []api.JobCallKind{submit, look, cancel} {
				o := c.learnt
				at, served := c.loss.play(&o, kind, arrives)
				if refused := !served && at == arrives; c.told <= arrives && arrives < c.upTo && !refused {
					t.Errorf("%v: %v at %v is kept for %v", c.loss, kind, arrives, at-arrives)
				}
				inTime := arrives+callTimeout >= c.loss.leaderless
				if inTime && !served && (arrives < c.told || arrives >= c.upTo) {
					t.Errorf("%v: %v at %v is refused after %v", c.loss, kind, arrives, at-arrives)
				}
			}
		}
	}
}

// Guards against an estimate that jumps to the next learnt length when one has passed.
func TestTheEstimateDoesNotJump(t *testing.T) {
	const step = 10 * time.Millisecond
	var l outageLengths
	l.add(time.Second)
	l.add(4 * time.Second)
	last := time.Second
	for elapsed := step; elapsed < 12*time.Second; elapsed += step {
		got, _ := l.remaining(elapsed, elapsed*2/3)
		if (got - last).Abs() > step {
			t.Fatalf("the estimate changes from %v to %v at %v", last, got, elapsed)
		}
		last = got
	}
}

// Guards against callers who return all at once, overtake those who were told
// before them by more than the spread and the rounding, or stay away for longer
// than 5 s; and against times that climb with the number of callers.
func TestCallersToldFirstReturnFirstAndSpread(t *testing.T) {
	o := newOutage()
	o.surveyed(epoch, 0, 6)
	last, times := epoch, map[time.Duration]bool{}
	for told := time.Second; told < 12*time.Second; told += 70 * time.Millisecond {
		after := o.retryAfter(epoch.Add(told), submit)
		returns := epoch.Add(told + after)
		if returns.Before(last.Add(-retrySpread-time.Second)) || after < minRetryAfter || after > 5*time.Second || after%time.Second != 0 {
			t.Fatalf("told at %v to return after %v, at %v; the caller before at %v", told, after, returns, last)
		}
		last = returns
	}
	o.surveyed(epoch.Add(12*time.Second), 6, 6)
	for i := range 40 { // an election of 2 s
		after := o.retryAfter(epoch.Add(12*time.Second+time.Duration(i)*50*time.Millisecond), submit)
		if times[after] = true; after > 3*time.Second {
			t.Errorf("caller %d is told to return after %v during an election", i, after)
		}
	}
	if len(times) < 2 {
		t.Errorf("40 callers of an election all return after %v", times)
	}
	for _, told := range []time.Duration{0, time.Second, 11 * time.Second} {
		o, times := newOutage(), map[time.Duration]bool{}
		o.surveyed(epoch, 0, 6)
		for range 100 {
			times[o.retryAfter(epoch.Add(told), submit)] = true
		}
		if len(times) < 2 {
			t.Errorf("100 callers told at %v all return after %v", told, times)
		}
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
	if got, _ := o.remaining(begin.Add(time.Second), submit); got < 1200*time.Millisecond || got > 1400*time.Millisecond {
		t.Errorf("after 1 s, %v are expected to remain; want a recovery's 1 s and an election's 0.3 s", got)
	}
}
